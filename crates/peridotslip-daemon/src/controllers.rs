//! The controllers of a router's state.
//!
//! Each is an actor: a thin shell on decision logic of the library crate,
//! which it feeds with messages, time and the results of I/O. Handles hide
//! the messages from the rest of the daemon.

pub(crate) mod admission;
pub(crate) mod backends;
pub(crate) mod config;
pub(crate) mod dedupe;
pub(crate) mod ledger;
pub(crate) mod members;
pub(crate) mod replication;

use std::sync::Arc;

use tokio::sync::Semaphore;

use crate::peer::PeerClient;

/// Handles to every controller.
pub(crate) struct Controllers {
    pub(crate) admission: admission::AdmissionHandle,
    pub(crate) config: config::ConfigHandle,
    pub(crate) ledger: ledger::LedgerHandle,
    pub(crate) direct_transport: Arc<ledger::DirectTransport>,
    pub(crate) members: members::MembersHandle,
    pub(crate) replication: replication::ReplicationHandle,
    pub(crate) peers: PeerClient,
    pub(crate) backends: backends::BackendsHandle,
    pub(crate) dedupe: dedupe::DedupeHandle,
    pub(crate) open_requests: Arc<Semaphore>,
}
