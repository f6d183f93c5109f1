//! Passes the store's changes on to other routers, and reads them from a relay.
//!
//! Whom a router follows is decided in [`peridotslip::relay`]. A router serves
//! others only what it has read from the store itself, and only while that is
//! recent, so that a relay which is cut off, paused or overloaded is noticed from
//! its silence or its refusal.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use peridotslip::{
    ids::Incarnation,
    relay::{Change, ChangeLog, ChangeUpdate, Position, Source, SourceSelector},
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    budgets::PeerRequest,
    clock::Clock,
    context::SharedState,
    peers::RouterInstance,
    ports::{Item, Revision, StoreEpoch, WatchEvent, WatchResponse},
};

/// How long a relay serves others after it has read the servers' entries, in
/// milliseconds. Longer than its pause between two reads, and less than the
/// platform's drain time.
const MAX_AGE_MS: u64 = 1_300;
/// How much longer if the last read brought no change: the next one may wait for a
/// change, in milliseconds.
const QUIET_AGE_MS: u64 = 1_000;
/// How long a relay holds a call for changes of the servers' entries, in
/// milliseconds. These calls show whether the relay still serves.
const SERVERS_WAIT_MS: u64 = 500;
/// Time beyond its wait after which such a call fails, in milliseconds.
const SERVERS_SLACK_MS: u64 = 350;
/// Such a wait after a router has read the store itself, in milliseconds. A relay
/// holds the call until it has read as far, so this is longer than its pause
/// between two reads.
const CATCH_UP_WAIT_MS: u64 = 1_000;
/// How long a relay holds a call for rarely changing keys, in milliseconds.
const LONG_WAIT_MS: u64 = 5_000;
/// Time beyond its wait after which such a call fails, in milliseconds: enough
/// for a large table over a small VM's link.
const LONG_SLACK_MS: u64 = 3_000;

/// A prefix of the store that routers watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Feed {
    Table,
    Servers,
    Routers,
}

impl Feed {
    /// Returns the label in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Servers => "servers",
            Self::Routers => "routers",
        }
    }

    /// Returns how long a relay holds a call. `was_direct`: whether the caller has
    /// last read the store itself.
    fn wait_ms(self, was_direct: bool) -> u64 {
        match self {
            Self::Servers if was_direct => CATCH_UP_WAIT_MS,
            Self::Servers => SERVERS_WAIT_MS,
            Self::Table | Self::Routers => LONG_WAIT_MS,
        }
    }

    /// Returns how long a caller waits beyond that.
    fn slack(self) -> Duration {
        Duration::from_millis(match self {
            Self::Servers => SERVERS_SLACK_MS,
            Self::Table | Self::Routers => LONG_SLACK_MS,
        })
    }
}

/// A follower's call for the changes after a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FollowRequest {
    feed: Feed,
    position: Position,
    wait_ms: u64,
}

/// A relay's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FollowReply {
    /// The changes after the follower's position, and how far the relay has read.
    Changes(ChangeUpdate),
    /// The router can't serve the follower.
    Refused(FollowRefusal),
}

/// Why a router does not serve a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FollowRefusal {
    /// The router does not read the store directly.
    NotRelay,
    /// The router is stopping.
    Stopping,
    /// The router can't reach the store, or has last read it too long ago.
    Stale,
    /// The router does not have the changes after the follower's position.
    NotCovered,
    /// The router has not read the servers' entries as far as the follower.
    Behind,
}

/// What a router passes on of one feed.
#[derive(Debug, Default)]
struct FeedState {
    log: ChangeLog,
    /// Whether the router reads this feed from the store.
    is_direct: bool,
}

/// What this router passes on, and whom it follows.
pub(crate) struct Feeds {
    clock: Clock,
    states: [Mutex<FeedState>; 3],
    /// Notifies held calls of changes.
    changed: [watch::Sender<()>; 3],
    /// Until when this router serves others without another read of the servers'
    /// entries from the store.
    fresh_until: Mutex<Option<Instant>>,
    selector: Mutex<SourceSelector>,
    /// Notifies the watches of relays that are passed over.
    rejected: watch::Sender<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Feeds {
    pub(crate) fn new(vm: &str, clock: Clock) -> Self {
        Self {
            clock,
            states: Default::default(),
            changed: Default::default(),
            fresh_until: Mutex::default(),
            selector: Mutex::new(SourceSelector::new(vm)),
            rejected: watch::Sender::new(()),
        }
    }

    fn state(&self, feed: Feed) -> MutexGuard<'_, FeedState> {
        lock(&self.states[feed as usize])
    }

    /// Returns the relay to follow, or `None` if this router reads the store.
    pub(crate) fn relay(&self, shared: &SharedState) -> Option<RouterInstance> {
        let candidates = shared.peers.relay_candidates();
        let source = lock(&self.selector).select(&candidates, self.clock.now_ms());
        match source {
            Source::Store => None,
            Source::Relay(incarnation) => shared.peers.by_incarnation(incarnation),
        }
    }

    /// Passes a relay over for some time.
    fn reject(&self, relay: &RouterInstance, feed: Feed, reason: &str) {
        let now_ms = self.clock.now_ms();
        lock(&self.selector).reject(relay.incarnation, now_ms);
        self.rejected.send_replace(());
        log::info!(feed = feed.name(), relay = relay.vm.as_str(), reason; "relay does not serve the store's changes; reading them elsewhere");
    }

    /// Waits until a relay is passed over.
    async fn wait_rejected(&self, relay: Incarnation) {
        let mut rejected = self.rejected.subscribe();
        while !lock(&self.selector).is_rejected(relay, self.clock.now_ms()) {
            if rejected.changed().await.is_err() {
                // The sender lives as long as the process.
                return std::future::pending().await;
            }
        }
    }

    /// Has this router read the store directly for some time.
    pub(crate) fn read_directly(&self, duration: Duration) {
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        lock(&self.selector).read_directly(duration_ms, self.clock.now_ms());
    }

    /// Records that all keys of a feed were listed from the store at `revision`.
    pub(crate) fn record_listing(&self, feed: Feed, revision: Revision) {
        let mut state = self.state(feed);
        state.log.restart(position(revision));
        state.is_direct = true;
        drop(state);
        self.record_read(feed, false);
        self.changed[feed as usize].send_replace(());
    }

    /// Records changes of a feed that were read from the store after `from`.
    /// `is_same` returns whether two values of a key mean the same to all routers.
    pub(crate) fn record_changes(
        &self,
        feed: Feed,
        from: Revision,
        response: &WatchResponse,
        is_same: impl Fn(&str, &[u8], &[u8]) -> bool,
    ) {
        let mut state = self.state(feed);
        if !state.is_direct || state.log.position() != position(from) {
            state.log.restart(position(from));
            state.is_direct = true;
        }
        for event in &response.events {
            match event {
                WatchEvent::Put(item) => {
                    let known = state.log.value(&item.key);
                    if !known.is_some_and(|known| is_same(&item.key, known, &item.value)) {
                        state.log.put(&item.key, &item.value, item.revision.number);
                    }
                }
                WatchEvent::Removed(key) => {
                    state.log.remove(key, response.revision.number);
                }
            }
        }
        state.log.advance(position(response.revision));
        drop(state);
        self.record_read(feed, response.events.is_empty());
        self.changed[feed as usize].send_replace(());
    }

    /// Records that a feed is read from a relay. Returns whether it was read from
    /// the store before.
    fn record_followed(&self, feed: Feed) -> bool {
        let mut state = self.state(feed);
        let was_direct = state.is_direct;
        if was_direct {
            *state = FeedState::default();
            drop(state);
            self.changed[feed as usize].send_replace(());
        }
        was_direct
    }

    fn record_read(&self, feed: Feed, is_quiet: bool) {
        if feed == Feed::Servers {
            let quiet_ms = if is_quiet { QUIET_AGE_MS } else { 0 };
            let age = Duration::from_millis(MAX_AGE_MS + quiet_ms);
            *lock(&self.fresh_until) = Some(Instant::now() + age);
        }
    }
}

fn position(revision: Revision) -> Position {
    Position {
        epoch: revision.epoch.0,
        revision: revision.number,
    }
}

/// Replies to a follower once there are changes, after some time without any, or
/// when this router can't serve it.
pub(crate) async fn serve(shared: &Arc<SharedState>, request: &FollowRequest) -> FollowReply {
    let feeds = &shared.feeds;
    let wait_ms = request.wait_ms.min(LONG_WAIT_MS);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut changed = feeds.changed[request.feed as usize].subscribe();
    loop {
        let now = Instant::now();
        let fresh_until = lock(&feeds.fresh_until).filter(|until| *until > now);
        let update = match current_update(shared, request, fresh_until.is_some()) {
            Ok(update) => update,
            Err(refusal) => return FollowReply::Refused(refusal),
        };
        let log_is_behind = feeds.state(request.feed).log.is_behind(request.position);
        let is_behind = log_is_behind && request.feed == Feed::Servers;
        if now >= deadline && is_behind {
            return FollowReply::Refused(FollowRefusal::Behind);
        }
        if !is_behind && (now >= deadline || !update.changes.is_empty()) {
            return FollowReply::Changes(update);
        }
        let wake_at = fresh_until.map_or(deadline, |until| until.min(deadline));
        tokio::select! {
            Ok(()) = changed.changed() => {}
            () = tokio::time::sleep_until(wake_at.into()) => {}
        }
    }
}

fn current_update(
    shared: &SharedState,
    request: &FollowRequest,
    is_fresh: bool,
) -> Result<ChangeUpdate, FollowRefusal> {
    if shared.is_stopping() {
        return Err(FollowRefusal::Stopping);
    }
    let state = shared.feeds.state(request.feed);
    if !state.is_direct {
        return Err(FollowRefusal::NotRelay);
    }
    if !is_fresh || !shared.store_availability.is_available() {
        return Err(FollowRefusal::Stale);
    }
    let update = state.log.since(request.position);
    update.ok_or(FollowRefusal::NotCovered)
}

/// Reads the changes of a feed after `revision` from a relay. Returns `None` if the
/// relay does not serve this router, or another watch has found so meanwhile; it is
/// passed over then.
pub(crate) async fn follow(
    shared: &SharedState,
    relay: &RouterInstance,
    feed: Feed,
    revision: Revision,
) -> Option<WatchResponse> {
    let feeds = &shared.feeds;
    let wait_ms = feed.wait_ms(feeds.record_followed(feed));
    let request = PeerRequest::Follow(FollowRequest {
        feed,
        position: position(revision),
        wait_ms,
    });
    let timeout = Duration::from_millis(wait_ms) + feed.slack();
    let reply = tokio::select! {
        reply = shared.peers.call(relay, &request, timeout) => reply,
        () = feeds.wait_rejected(relay.incarnation) => return None,
    };
    let reason = match reply {
        Ok(FollowReply::Changes(update)) if update.position >= position(revision) => {
            return Some(watch_response(update));
        }
        Ok(FollowReply::Changes(_)) => "position went back".to_owned(),
        Ok(FollowReply::Refused(refusal)) => format!("{refusal:?}"),
        Err(err) => err.to_string(),
    };
    feeds.reject(relay, feed, &reason);
    None
}

fn watch_response(update: ChangeUpdate) -> WatchResponse {
    let epoch = StoreEpoch(update.position.epoch);
    let revision = |number| Revision { epoch, number };
    let events = update.changes.into_iter().map(|change| match change {
        Change::Put {
            key,
            value,
            revision: number,
        } => WatchEvent::Put(Item {
            key,
            value,
            revision: revision(number),
        }),
        Change::Removed { key } => WatchEvent::Removed(key),
    });
    WatchResponse {
        events: events.collect(),
        revision: revision(update.position.revision),
    }
}
