//! Clients that send or hold more than a VM can bear, at real processes.
//!
//! The tests run one after another: each measures the memory and the descriptors of a
//! whole process. Their bounds are the limits of the VM in each test's settings.

#[path = "../common/mod.rs"]
mod common;
#[path = "../../../../platform/tests/common/mod.rs"]
mod edge;

mod bodies;
mod connections;
mod crowd;
mod own_interface;
mod process;
