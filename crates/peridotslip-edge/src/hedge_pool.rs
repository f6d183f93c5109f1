//! Pools second attempts over all routers: reports this router's requests to the pools'
//! keepers, takes leases of them, and keeps pools itself; see [`HedgePools`].
//!
//! [`HedgePools`]: peridotslip::forwarding::HedgePools

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use peridotslip::forwarding::{PoolAsk, PoolReply};

use crate::{budgets::PeerRequest, context::SharedState, peers::RouterInstance};

/// Longest wait for a keeper's reply, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 250;
/// Interval between two checks for reports that are due, in milliseconds.
const REPORT_POLL_MS: u64 = 500;

/// A request whose second attempt is due soon, until dropped.
pub(crate) struct NearDue<'a> {
    shared: &'a Arc<SharedState>,
    service: &'a str,
}

impl<'a> NearDue<'a> {
    /// Counts the request, and takes a lease in advance if the router may have too few
    /// second attempts left.
    pub(crate) fn enter(shared: &'a Arc<SharedState>, service: &'a str) -> Self {
        let now_ms = shared.clock.now_ms();
        let needs_lease = shared.with_hedging(|hedging, extra_work| {
            hedging.add_near_due(service);
            hedging.needs_lease(service, extra_work, now_ms)
        });
        if needs_lease == Some(true) {
            tokio::spawn(exchange(shared.clone(), service.to_owned()));
        }
        Self { shared, service }
    }
}

impl Drop for NearDue<'_> {
    fn drop(&mut self) {
        self.shared
            .with_hedging(|hedging, _| hedging.remove_near_due(self.service));
    }
}

/// Returns the router that keeps the pool of a service; `None` if no other router could.
fn keeper(shared: &SharedState, service: &str) -> Option<RouterInstance> {
    let peers = &shared.peers;
    let key = format!("second-attempts/{service}");
    let mut able = peers.owners(&key, !shared.is_stopping());
    able.retain(RouterInstance::pools_second_attempts);
    let alone = able.iter().all(|router| router == peers.local());
    able.into_iter().next().filter(|_| !alone)
}

/// Exchanges reports and leases with the keeper of a service's pool until the router needs
/// no further lease.
async fn exchange(shared: Arc<SharedState>, service: String) {
    loop {
        let asked_ms = shared.clock.now_ms();
        let Some(keeper) = keeper(&shared, &service) else {
            shared.with_hedging(|hedging, _| hedging.lose_keeper(&service, asked_ms));
            return;
        };
        let ask = shared.with_hedging(|hedging, extra_work| {
            hedging.begin_exchange(&service, keeper.incarnation, extra_work, asked_ms)
        });
        let Some(ask) = ask.flatten() else {
            return;
        };
        let reply = if keeper == *shared.peers.local() {
            Some(keep(&shared, &ask))
        } else {
            let request = PeerRequest::PoolSecondAttempts(ask.clone());
            let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
            // A call that fails marks the peer unreachable, which is logged.
            shared.peers.call(&keeper, &request, timeout).await.ok()
        };
        let now_ms = shared.clock.now_ms();
        let needs_more = shared.with_hedging(|hedging, extra_work| {
            hedging.end_exchange(&ask, reply, asked_ms, now_ms);
            hedging.needs_lease(&service, extra_work, now_ms)
        });
        if needs_more != Some(true) {
            return;
        }
    }
}

/// Replies to a router that reports its requests or asks for leases. Whoever is asked
/// keeps a pool: each has requests of its own only, so that two keepers grant no more
/// than one.
pub(crate) fn keep(shared: &SharedState, ask: &PoolAsk) -> PoolReply {
    let extra_work = shared.settings().hedging.extra_work;
    let now_ms = shared.clock.now_ms();
    let pools = shared.hedge_pools.lock();
    let mut pools = pools.unwrap_or_else(PoisonError::into_inner);
    pools.exchange(ask, extra_work, now_ms)
}

/// Reports this router's requests to the keepers until the process ends.
pub(crate) async fn report(shared: Arc<SharedState>) {
    loop {
        tokio::time::sleep(Duration::from_millis(REPORT_POLL_MS)).await;
        let now_ms = shared.clock.now_ms();
        let in_fleet = shared.peers.fleet_size() > 1;
        let due = shared.with_hedging(|hedging, extra_work| {
            hedging.set_shared(in_fleet);
            hedging.due_reports(extra_work, now_ms)
        });
        let reports = due.unwrap_or_default().into_iter();
        join_all(reports.map(|service| exchange(shared.clone(), service))).await;
    }
}
