//! Keeps the limits that servers name over all routers: asks for permits, gives
//! them out, and shares changes; see [`RateLimits`].
//!
//! [`RateLimits`]: peridotslip::forwarding::RateLimits

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use peridotslip::forwarding::{
    LimitNews, LimitNotice, PermitReply, RateLimit, ServerEntry, ServerStart,
};

use crate::{
    budgets::PeerRequest,
    context::{RequestContext, SharedState},
    peers::RouterInstance,
};

/// Longest wait for a peer's reply, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 250;
/// When a router may ask again that has got no reply, or has asked one that does not
/// give out the server's permits, in milliseconds.
const NO_PERMIT_WAIT_MS: u64 = 100;

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// The server has no limit.
    NotNeeded,
    /// The limit admits the request.
    Granted,
    /// The limit admits no request now.
    Denied,
}

/// Obtains a permit for a request if the server has a limit.
pub(crate) async fn obtain_permit(cx: &RequestContext, server: &ServerEntry) -> Permit {
    let shared = &cx.shared;
    let start = ServerStart::from(server);
    let now_ms = shared.clock.now_ms();
    let Some(news) = shared.placement().limits_mut().begin_ask(&start, now_ms) else {
        return Permit::NotNeeded;
    };
    let reply = ask(shared, &news).await;
    let now_ms = shared.clock.now_ms();
    shared
        .placement()
        .limits_mut()
        .record_reply(&start, reply, now_ms);
    match reply {
        PermitReply::Granted => Permit::Granted,
        PermitReply::Ended { .. } => Permit::NotNeeded,
        PermitReply::Denied { .. } => Permit::Denied,
    }
}

/// Returns the router that gives out a server's permits.
fn grantor(shared: &SharedState, start: &ServerStart) -> RouterInstance {
    let peers = &shared.peers;
    let ranked = peers.owners(&start.server, !shared.is_stopping());
    let mut knowing = ranked
        .into_iter()
        .filter(RouterInstance::shares_observations);
    knowing.next().unwrap_or_else(|| peers.local().clone())
}

async fn ask(shared: &Arc<SharedState>, news: &LimitNews) -> PermitReply {
    let grantor = grantor(shared, &news.start);
    if grantor == *shared.peers.local() {
        return grant_locally(shared, news);
    }
    let request = PeerRequest::TakePermit(news.clone());
    let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
    let reply = shared.peers.call(&grantor, &request, timeout).await;
    reply.unwrap_or(PermitReply::Denied {
        wait_ms: NO_PERMIT_WAIT_MS,
    })
}

fn grant_locally(shared: &SharedState, news: &LimitNews) -> PermitReply {
    let now_ms = shared.clock.now_ms();
    let fleet = shared.peers.fleet_size();
    let mut placement = shared.placement();
    placement.limits_mut().grant(news, fleet, now_ms)
}

/// Replies to a peer that asks for a permit. Denies it if another router gives out
/// the server's permits, and checks that this one still responds.
pub(crate) fn grant(shared: &Arc<SharedState>, news: &LimitNews) -> PermitReply {
    let grantor = grantor(shared, &news.start);
    if grantor == *shared.peers.local() {
        return grant_locally(shared, news);
    }
    let peers = shared.peers.clone();
    tokio::spawn(async move {
        let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
        // A call that fails marks the peer unreachable, which is its purpose.
        let _reply = peers
            .call::<_, bool>(&grantor, &PeerRequest::Probe, timeout)
            .await;
    });
    PermitReply::Denied {
        wait_ms: NO_PERMIT_WAIT_MS,
    }
}

/// Records what a response says of its server's limit.
pub(crate) fn record_notice(
    shared: &SharedState,
    server: &ServerEntry,
    notice: LimitNotice,
    sent_ms: u64,
) {
    let start = ServerStart::from(server);
    let now_ms = shared.clock.now_ms();
    let changed = shared
        .placement()
        .limits_mut()
        .record_notice(&start, notice, sent_ms, now_ms);
    if changed {
        let limit = match notice {
            LimitNotice::Limited(limit) => Some(limit),
            LimitNotice::Unlimited | LimitNotice::Unreadable => None,
        };
        log_change(&start, limit, "server");
    }
}

/// Adds what a peer knows of limits. A relay passes it on.
pub(crate) fn merge(shared: &SharedState, news: &[LimitNews]) {
    let now_ms = shared.clock.now_ms();
    let pass_on = shared.crashes.passes_on();
    for news in news {
        let changed = shared.placement().limits_mut().merge(news, pass_on, now_ms);
        if changed {
            log_change(&news.start, news.limit, "peer");
        }
    }
}

/// Returns all limits that are known, for a router that starts.
pub(crate) fn snapshot(shared: &SharedState) -> Vec<LimitNews> {
    let now_ms = shared.clock.now_ms();
    shared.placement().limits_mut().snapshot(now_ms)
}

fn log_change(start: &ServerStart, limit: Option<RateLimit>, source: &str) {
    let server = start.server.as_str();
    match limit {
        Some(limit) => {
            let per_s = limit.as_per_second();
            log::info!(server, per_s, source; "server limits the requests of all routers");
        }
        None => log::info!(server, source; "server no longer limits requests"),
    }
}

/// Sends changes of limits to the peers until the process ends, directly or through
/// relays. A peer that misses one learns of it from a server's response or when it asks
/// for a permit.
pub(crate) async fn publish(shared: Arc<SharedState>) {
    let peers = &shared.peers;
    loop {
        let targets = peers.news_targets();
        tokio::time::sleep(targets.share_interval()).await;
        let now_ms = shared.clock.now_ms();
        let news = shared.placement().limits_mut().take_unpublished(now_ms);
        if news.is_empty() {
            continue;
        }
        let request = PeerRequest::ShareLimits(news);
        let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
        let routers = targets.routers.iter().map(|target| &target.router);
        let informed = routers.filter(|peer| peers.is_reachable(peer));
        join_all(informed.map(|peer| peers.call::<_, bool>(peer, &request, timeout))).await;
    }
}
