//! The controllers of a router's state.
//!
//! Most controllers are actors: thin adapters that drive the decision logic of
//! the library crate with messages, the time and the results of I/O. The rest
//! of the daemon calls them through handles, which hide the messages.

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

/// Handles to all controllers.
pub(crate) struct Controllers {
    pub(crate) admission: admission::AdmissionHandle,
    pub(crate) config: config::ConfigHandle,
    pub(crate) ledger: ledger::LedgerHandle,
    /// Applies the reports that peers send to this router as a shard's writer.
    /// This router's own reports pass through a [`ledger::WriterTransport`].
    pub(crate) direct_transport: Arc<ledger::DirectTransport>,
    pub(crate) members: members::MembersHandle,
    pub(crate) replication: replication::ReplicationHandle,
    pub(crate) peers: PeerClient,
    pub(crate) backends: backends::BackendsHandle,
    pub(crate) dedupe: dedupe::DedupeHandle,
    /// Limits the number of open requests of this router.
    pub(crate) open_requests: Arc<Semaphore>,
}
