//! Requests that crash servers: shares observations with the other routers and
//! applies what [`CrashEvidence`] concludes from them.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::join_all;
use peridotslip::{
    forwarding::{
        BlockChange, CrashEvidence, CrashObservation, CrashVerdict, ObservationOrigin, RequestPart,
        ServerStart,
    },
    ids::Incarnation,
};
use tokio::sync::watch;

use crate::{budgets::PeerRequest, clock::Clock, context::SharedState, peers::Peers};

/// When the caller of a blocked request may retry, in milliseconds: not before a
/// probe can have acquitted it.
pub(crate) const BLOCKED_RETRY_MS: u64 = 5 * 60 * 1_000;
/// Interval between two assessments, in milliseconds.
const ASSESS_INTERVAL_MS: u64 = 50;
/// A router whose last assessment is longer ago has been paused, in milliseconds.
const PAUSED_MS: u64 = 500;
/// Longest wait for a peer's reply, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 250;

/// The evidence that this router has, its own and that of its peers.
pub(crate) struct CrashWatch {
    evidence: Mutex<CrashEvidence>,
    clock: Clock,
    /// Notifies of changes of the blocked parts.
    blocks_changed: watch::Sender<()>,
    assessed_ms: AtomicU64,
    /// Whether this router passes on what its peers have observed.
    is_relay: AtomicBool,
}

impl CrashWatch {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            evidence: Mutex::default(),
            clock,
            blocks_changed: watch::Sender::new(()),
            assessed_ms: AtomicU64::new(clock.now_ms()),
            is_relay: AtomicBool::new(true),
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashEvidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a server has ended a request with `parts`. Ignored right
    /// after a pause of this router, when connections end for other reasons.
    pub(crate) fn record_end(&self, start: &ServerStart, parts: &[RequestPart]) {
        let now_ms = self.clock.now_ms();
        let assessed_ms = self.assessed_ms.load(Ordering::Relaxed);
        if now_ms.saturating_sub(assessed_ms) < PAUSED_MS {
            self.lock().record_end(start, parts, now_ms);
        }
    }

    /// Records that a server has answered a request with `parts`.
    pub(crate) fn record_answer(&self, parts: &[RequestPart]) {
        self.lock().record_answer(parts, self.clock.now_ms());
    }

    /// Adds the observations of a peer. A relay passes them on as ones of `origin`.
    pub(crate) fn merge(&self, observations: &[CrashObservation], origin: ObservationOrigin) {
        let origin = self.passes_on().then_some(origin);
        self.lock().merge(observations, origin, self.clock.now_ms());
    }

    /// Returns whether this router passes on what its peers have observed.
    pub(crate) fn passes_on(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Returns all that is known, for a router that starts.
    pub(crate) fn snapshot(&self) -> Vec<CrashObservation> {
        self.lock().snapshot(self.clock.now_ms())
    }

    /// Returns what is known of a request with `parts`.
    pub(crate) fn verdict(&self, parts: &[RequestPart]) -> CrashVerdict {
        self.lock().verdict(parts)
    }

    /// Returns whether this router may send a request with a blocked part to
    /// learn whether it still crashes servers. One router at a time makes probes.
    pub(crate) fn begin_probe(&self, part: u64, peers: &Peers) -> bool {
        let ranked = peers.ranked(&format!("{part:x}"), true);
        let first = ranked.first();
        first.is_some_and(|first| first == peers.local())
            && self.lock().begin_probe(part, self.clock.now_ms())
    }

    /// Waits until a request with `parts` is blocked.
    pub(crate) async fn wait_blocked(&self, parts: &[RequestPart]) {
        let mut changes = self.blocks_changed.subscribe();
        while !matches!(self.verdict(parts), CrashVerdict::Blocked(_)) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Assesses all observations, and applies and logs what has changed.
    pub(crate) fn assess(&self) {
        let now_ms = self.clock.now_ms();
        self.assessed_ms.store(now_ms, Ordering::Relaxed);
        let changes = self.lock().assess(now_ms);
        for change in &changes {
            match change {
                BlockChange::Blocked { part, crashes } if part.is_whole() => {
                    log::warn!(request = format!("{:x}", part.id).as_str(), crashes; "servers have crashed under a request; rejecting it when it comes again");
                }
                BlockChange::Blocked { part, crashes } => {
                    log::warn!(segment = format!("{:x}", part.id).as_str(), crashes; "servers have crashed under a prompt segment; rejecting requests with it");
                }
                BlockChange::Released(part) => {
                    log::info!(part = format!("{part:x}").as_str(); "prompt segment or request is no longer blocked");
                }
            }
        }
        if !changes.is_empty() {
            self.blocks_changed.send_replace(());
        }
    }
}

/// Assesses and shares observations until the process ends.
pub(crate) fn spawn(shared: &Arc<SharedState>) {
    tokio::spawn(share(shared.clone()));
    let shared = shared.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(ASSESS_INTERVAL_MS)).await;
            shared.crashes.assess();
        }
    });
}

/// Sends the observations that this router has made, or passes on as a relay, to its
/// peers.
async fn share(shared: Arc<SharedState>) {
    let (peers, crashes) = (&shared.peers, &shared.crashes);
    // The first observation that a router has not yet confirmed.
    let mut unconfirmed: HashMap<Incarnation, u64> = HashMap::new();
    loop {
        let targets = peers.news_targets();
        crashes.is_relay.store(targets.is_relay, Ordering::Relaxed);
        tokio::time::sleep(targets.share_interval()).await;
        let next_seq = crashes.lock().next_seq();
        unconfirmed.retain(|incarnation, _| {
            let mut routers = targets.routers.iter();
            routers.any(|target| target.router.incarnation == *incarnation)
        });
        let passes_on = targets.is_relay;
        let calls = targets.routers.iter().filter_map(|target| {
            let peer = &target.router;
            let from = unconfirmed.get(&peer.incarnation).copied().unwrap_or(0);
            let due = from < next_seq && peers.is_reachable(peer);
            due.then_some(async move {
                let now_ms = crashes.clock.now_ms();
                // A relay has from its followers what this one has from a relay.
                let origins = if target.is_relay {
                    ..=ObservationOrigin::Observer
                } else {
                    ..=ObservationOrigin::Relay
                };
                let (next, observations) = crashes.lock().outgoing_since(from, origins, now_ms);
                if observations.is_empty() {
                    return Some((peer.incarnation, next));
                }
                let request = if passes_on && peer.relays() {
                    PeerRequest::PassCrashes(observations)
                } else {
                    PeerRequest::ShareCrashes(observations)
                };
                let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
                let reply = peers.call::<_, bool>(peer, &request, timeout).await;
                (reply == Ok(true)).then_some((peer.incarnation, next))
            })
        });
        let confirmed = join_all(calls).await;
        unconfirmed.extend(confirmed.into_iter().flatten());
    }
}
