//! Keeps the requests to cold servers over all routers within their bound: asks for
//! permits and gives them out; see [`Warmups`].
//!
//! [`Warmups`]: peridotslip::forwarding::Warmups

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use peridotslip::forwarding::{ServerEntry, WARMUP_PERMIT_MS, WarmupAsk, WarmupReply, giver_role};

use crate::{
    budgets::PeerRequest,
    context::{RequestContext, SharedState},
    peers::RouterInstance,
};

/// Longest wait for a peer's reply, in milliseconds. A later one is of no use.
const PEER_TIMEOUT_MS: u64 = WARMUP_PERMIT_MS;
/// Number of routers that give out a server's permits.
const GIVERS: usize = 2;

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmupPermit {
    /// The server is warm.
    NotNeeded,
    /// The cold server takes the request. Holds when this router asked, in
    /// milliseconds.
    Granted(u64),
    /// The cold server takes no request now.
    Denied,
}

impl WarmupPermit {
    /// Returns whether the request may be written now.
    pub(crate) fn is_usable(self, cx: &RequestContext, server: &ServerEntry) -> bool {
        let now_ms = cx.shared.clock.now_ms();
        match self {
            Self::NotNeeded => {
                let placement = cx.shared.placement();
                placement
                    .warmups()
                    .cold_left_ms(&server.id, now_ms)
                    .is_none()
            }
            Self::Granted(asked_ms) => now_ms.saturating_sub(asked_ms) <= WARMUP_PERMIT_MS,
            Self::Denied => false,
        }
    }

    /// Counts that the request can't be written with this permit.
    pub(crate) fn record_unused(self, cx: &RequestContext) {
        let cause = match self {
            Self::NotNeeded => "became-cold",
            Self::Granted(_) => "expired",
            // Counted when it was denied.
            Self::Denied => return,
        };
        cx.shared.metrics.record_warmup_denial(cause);
    }
}

/// Why there is no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DenialCause {
    /// The bound admits no request now.
    Bound,
    /// A router that gives out permits has not replied.
    NoReply,
    /// No router gives out permits that this one can reach.
    NoGiver,
}

impl DenialCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Bound => "bound",
            Self::NoReply => "no-reply",
            Self::NoGiver => "no-giver",
        }
    }
}

/// Obtains a permit for a request if the server is cold.
pub(crate) async fn obtain_permit(cx: &RequestContext, server: &ServerEntry) -> WarmupPermit {
    let shared = &cx.shared;
    let asked_ms = shared.clock.now_ms();
    let ask = {
        let mut placement = shared.placement();
        let warmups = placement.warmups_mut();
        match warmups.begin_ask(&server.id, asked_ms) {
            Some(ask) => ask,
            None if warmups.cold_left_ms(&server.id, asked_ms).is_none() => {
                return WarmupPermit::NotNeeded;
            }
            // The rate in the table is no number.
            None => return WarmupPermit::Denied,
        }
    };
    let (reply, cause) = ask_givers(shared, &ask).await;
    let now_ms = shared.clock.now_ms();
    shared
        .placement()
        .warmups_mut()
        .record_reply(&server.id, reply, now_ms);
    if reply == Some(WarmupReply::Granted) {
        return WarmupPermit::Granted(asked_ms);
    }
    shared.metrics.record_warmup_denial(cause.as_str());
    WarmupPermit::Denied
}

/// Asks the first router that gives out the server's permits and can be reached.
/// Returns its reply, and the cause of a denial.
async fn ask_givers(
    shared: &Arc<SharedState>,
    ask: &WarmupAsk,
) -> (Option<WarmupReply>, DenialCause) {
    let peers = &shared.peers;
    let mut fleet = peers.fleet(&ask.start.server);
    fleet.truncate(GIVERS);
    for giver in fleet {
        let reply = if giver == *peers.local() {
            grant(shared, ask)
        } else if may_ask(shared, &giver) {
            let request = PeerRequest::TakeWarmupPermit(ask.clone());
            let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
            match peers.call(&giver, &request, timeout).await {
                Ok(reply) => reply,
                // The call has marked the router unreachable, which is logged.
                Err(_) => return (None, DenialCause::NoReply),
            }
        } else {
            continue;
        };
        if reply != WarmupReply::NotGiver {
            return (Some(reply), DenialCause::Bound);
        }
    }
    (None, DenialCause::NoGiver)
}

/// Returns whether another router may be asked for permits.
fn may_ask(shared: &SharedState, giver: &RouterInstance) -> bool {
    giver.gives_warmup_permits() && shared.peers.is_reachable(giver)
}

/// Replies to a router that asks for a permit.
pub(crate) fn grant(shared: &SharedState, ask: &WarmupAsk) -> WarmupReply {
    let peers = &shared.peers;
    let as_ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let settled_ms = as_ms(peers.settled_for());
    let store_ms = shared.store_availability.available_for().map(as_ms);
    let rank = peers.rank(&ask.start.server);
    let role = giver_role(rank, settled_ms, store_ms).filter(|_| !shared.is_stopping());
    let Some(role) = role else {
        return WarmupReply::NotGiver;
    };
    let bound = shared.settings().warmup;
    let bound_per_s = ask.limit.as_per_second() * bound.overrun + bound.slack;
    let now_ms = shared.clock.now_ms();
    let mut permits = shared
        .warmup_permits
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    permits.grant(ask, role, bound_per_s, peers.fleet_size(), now_ms)
}

/// Has the placement know which services of the active table have cold servers.
pub(crate) fn apply_services(shared: &SharedState) {
    let index = shared.index();
    let services = index.table().services.iter();
    let services = services.filter_map(|service| Some((service.name.as_str(), service.warmup?)));
    shared.placement().warmups_mut().set_services(services);
}

/// Logs which servers have become cold or warm.
pub(crate) fn log_changes(shared: &SharedState) {
    let now_ms = shared.clock.now_ms();
    let changes = shared.placement().warmups_mut().take_changes(now_ms);
    for change in changes {
        let server = change.server.as_str();
        match change.cold_left_ms {
            Some(for_ms) => log::info!(server, for_ms; "server is cold"),
            None => log::info!(server; "server is warm"),
        }
    }
}
