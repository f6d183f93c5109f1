//! What a router reads from its peers when it starts: prompts that crash servers,
//! and limits of servers.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::future::{join, join_all};
use peridotslip::forwarding::{CrashObservation, LimitNews, ObservationOrigin};

use crate::{
    budgets::PeerRequest, context::SharedState, peers::RouterInstance, rpc, server_limits,
    server_versions,
};

/// A peer's observations of crashes and the limits that it knows.
type Replies = (
    rpc::Result<Vec<CrashObservation>>,
    rpc::Result<Vec<LimitNews>>,
);

/// Longest wait for a peer's reply, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 250;
/// Number of peers that are asked at the same time.
const ASKED_PEERS: usize = 3;
/// Longest time for which a router with a routing table waits for replies, in
/// milliseconds.
const LOAD_TIMEOUT_MS: u64 = 2_000;
/// Interval between two checks for peers, in milliseconds.
const POLL_MS: u64 = 20;

/// Reads the peers' state until one has replied, and has the router count as ready
/// then.
pub(crate) async fn load(shared: Arc<SharedState>) {
    let poll = Duration::from_millis(POLL_MS);
    while !shared.peers.is_synced() && shared.index().version() == 0 {
        tokio::time::sleep(poll).await;
    }
    let timeout = Duration::from_millis(LOAD_TIMEOUT_MS);
    let loaded = tokio::time::timeout(timeout, async {
        while !shared.peers.is_synced() {
            tokio::time::sleep(poll).await;
        }
        while !load_from_some(&shared).await {}
    });
    if loaded.await.is_err() {
        log::warn!("no peer has sent its observations of servers; starting without them");
    }
    // Until then, this router rejects all new resumable streams.
    let registered = tokio::time::timeout(timeout, async {
        while !server_versions::are_histories_read(&shared) {
            tokio::time::sleep(poll).await;
        }
    });
    if registered.await.is_err() {
        log::warn!("server versions have not been read from the store; starting without them");
    }
    shared.crashes.assess();
    shared.peer_state_loaded.store(true, Ordering::Relaxed);
}

/// Asks some peers for their state. Returns whether one replied or none is left: a
/// peer that does not reply is marked unreachable.
async fn load_from_some(shared: &Arc<SharedState>) -> bool {
    let peers = &shared.peers;
    let mut asked = peers.ranked(&peers.local().vm, false);
    asked.retain(RouterInstance::shares_observations);
    asked.truncate(ASKED_PEERS);
    let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
    let replies = join_all(asked.iter().map(|peer| {
        let crashes = peers.call(peer, &PeerRequest::FetchCrashes, timeout);
        let limits = peers.call(peer, &PeerRequest::FetchLimits, timeout);
        join(crashes, limits)
    }));
    let replies: Vec<Replies> = replies.await;
    let mut any_replied = false;
    for (crashes, limits) in replies {
        any_replied |= crashes.is_ok();
        shared
            .crashes
            .merge(&crashes.unwrap_or_default(), ObservationOrigin::Relay);
        server_limits::merge(shared, &limits.unwrap_or_default());
    }
    any_replied || asked.is_empty()
}
