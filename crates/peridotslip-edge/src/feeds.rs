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
    forwarding::TableProof,
    ids::Incarnation,
    relay::{Change, ChangeLog, ChangeUpdate, Position, Rejection, Source, SourceSelector},
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    budgets::PeerRequest,
    clock::Clock,
    context::SharedState,
    peers::RouterInstance,
    ports::{Item, Revision, StoreEpoch, StoreError, WatchEvent, WatchResponse},
    rpc,
};

/// How long a relay serves others after it has read the servers' entries, in
/// milliseconds. Longer than the time from one read to the next, and less than the
/// platform's drain time.
const MAX_AGE_MS: u64 = 1_700;
/// How long after its last call a follower counts as one, in milliseconds.
const FOLLOWER_RETENTION_MS: u64 = 5_000;
/// How long a relay holds a call for changes of the servers' entries, in
/// milliseconds. These calls show whether the relay still serves.
const SERVERS_WAIT_MS: u64 = 500;
/// Time beyond its wait after which such a call fails, in milliseconds.
const SERVERS_SLACK_MS: u64 = 350;
/// Such a wait after a router has read the store itself, and in an outage, in
/// milliseconds. A relay holds the call until it has read as far, so this is not
/// less than the time from one read to the next.
const CATCH_UP_WAIT_MS: u64 = 1_400;
/// Interval between two pings of the store by a follower in an outage, in
/// milliseconds. Bounds how precisely the store's return to this router is known.
const PING_INTERVAL_MS: u64 = 800;
/// How long a relay holds a call for rarely changing keys, in milliseconds.
const LONG_WAIT_MS: u64 = 5_000;
/// Time beyond its wait after which such a call fails, in milliseconds: enough
/// for a large table over a small VM's link.
const LONG_SLACK_MS: u64 = 3_000;

/// How long after the store's return a relay may be without a reply to its watch of the
/// routing table, in milliseconds.
const TABLE_RETURN_MS: u64 = 1_200;

/// How long before the proof of a follower's table expires the follower calls for another
/// one, in milliseconds.
const CONFIRM_LEAD_MS: u64 = 300;
/// Interval between two such calls, and longest wait for a reply, in milliseconds.
const CONFIRM_INTERVAL_MS: u64 = 350;
/// How late the reply to a relay's watch of the routing table may be before it turns its
/// followers away, in milliseconds.
const TABLE_LATE_MS: u64 = 300;

/// A prefix of the store that routers watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Feed {
    Table,
    Servers,
    Routers,
    /// All keys that operators write: the routing table and evacuations. Takes the
    /// place of `Table` where data centres can be evacuated.
    OperatorKeys,
}

/// Number of feeds.
const FEEDS: usize = 4;

impl Feed {
    /// Returns the label in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Servers => "servers",
            Self::Routers => "routers",
            Self::OperatorKeys => "operator-keys",
        }
    }

    /// Returns whether the feed has the routing table.
    pub(crate) fn has_table(self) -> bool {
        matches!(self, Self::Table | Self::OperatorKeys)
    }

    /// Returns whether a relay knows the feed. The table is followed only where the relay
    /// says how current it is.
    pub(crate) fn is_known_to(self, relay: &RouterInstance) -> bool {
        (self != Self::OperatorKeys || relay.relays_operator_keys())
            && (!self.has_table() || relay.proves_tables())
    }

    /// Returns how long a relay holds a call. `must_catch_up`: whether the caller
    /// may have read further than the relay.
    fn wait_ms(self, must_catch_up: bool) -> u64 {
        match self {
            Self::Servers if must_catch_up => CATCH_UP_WAIT_MS,
            Self::Servers => SERVERS_WAIT_MS,
            Self::Table | Self::Routers | Self::OperatorKeys => LONG_WAIT_MS,
        }
    }

    /// Returns how long a caller waits beyond that.
    fn slack(self) -> Duration {
        Duration::from_millis(match self {
            Self::Servers => SERVERS_SLACK_MS,
            Self::Table | Self::Routers | Self::OperatorKeys => LONG_SLACK_MS,
        })
    }
}

/// A follower's call for the changes after a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FollowRequest {
    feed: Feed,
    position: Position,
    wait_ms: u64,
    /// Whether the store is unavailable to the follower.
    in_outage: bool,
}

/// A relay's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FollowReply {
    /// The changes after the follower's position, and how far the relay has read.
    Changes(ChangeUpdate),
    /// The router can't serve the follower.
    Refused(FollowRefusal),
}

/// A relay's reply, and how current its routing table is. `None` if the relay reads it from
/// another one.
pub(crate) type ProvenReply = (FollowReply, Option<TableProof>);

/// Why a router does not serve a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FollowRefusal {
    /// The router does not read the store directly.
    NotRelay,
    /// The router is stopping.
    Stopping,
    /// The store is unavailable to the router.
    Outage,
    /// The router has last read the feed from the store too long ago.
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
    states: [Mutex<FeedState>; FEEDS],
    /// Notifies held calls of changes.
    changed: [watch::Sender<()>; FEEDS],
    /// Until when this router serves others without another read of the servers'
    /// entries from the store.
    fresh_until: Mutex<Option<Instant>>,
    /// When the last follower called.
    last_call: Mutex<Option<Instant>>,
    selector: Mutex<SourceSelector>,
    /// Where the servers' entries are read; `None` at first. Calls for them are short,
    /// so that they show first whether a relay still replies. Other feeds choose their
    /// source anew when it changes.
    servers_source: watch::Sender<Option<Source>>,
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
            last_call: Mutex::default(),
            selector: Mutex::new(SourceSelector::new(vm)),
            servers_source: watch::Sender::default(),
            rejected: watch::Sender::new(()),
        }
    }

    fn state(&self, feed: Feed) -> MutexGuard<'_, FeedState> {
        lock(&self.states[feed as usize])
    }

    /// Returns whether this router reads the servers' entries from a relay.
    pub(crate) fn is_follower(&self) -> bool {
        !self.state(Feed::Servers).is_direct
    }

    /// Returns whether other routers follow this one.
    pub(crate) fn has_followers(&self) -> bool {
        let retention = Duration::from_millis(FOLLOWER_RETENTION_MS);
        lock(&self.last_call).is_some_and(|at| at.elapsed() < retention)
    }

    /// Returns the relay from which to read a feed, or `None` if this router reads
    /// the store. `in_outage`: whether the store is unavailable to this router.
    pub(crate) fn relay(
        &self,
        shared: &SharedState,
        feed: Feed,
        in_outage: bool,
    ) -> Option<RouterInstance> {
        let source = self.select_source(shared, in_outage);
        if feed == Feed::Servers {
            self.servers_source.send_if_modified(|known| {
                let changed = *known != Some(source);
                *known = Some(source);
                changed
            });
        }
        match source {
            Source::Store => None,
            Source::Relay(incarnation) => shared.peers.by_incarnation(incarnation),
        }
    }

    /// Waits until another source than `relay` is to be used, as the watch of servers
    /// has found.
    async fn wait_moved(
        &self,
        shared: &SharedState,
        feed: Feed,
        relay: Incarnation,
        in_outage: bool,
    ) {
        if feed == Feed::Servers {
            return std::future::pending().await;
        }
        let mut source = self.servers_source.subscribe();
        while source.changed().await.is_ok() {
            if self.select_source(shared, in_outage) != Source::Relay(relay) {
                return;
            }
        }
        // The sender lives as long as the process.
        std::future::pending::<()>().await;
    }

    fn select_source(&self, shared: &SharedState, in_outage: bool) -> Source {
        let candidates = shared.peers.relay_candidates();
        let now_ms = self.clock.now_ms();
        lock(&self.selector).select(&candidates, in_outage, now_ms)
    }

    /// Passes a relay over for some time.
    fn reject(&self, relay: &RouterInstance, feed: Feed, rejection: Rejection, reason: &str) {
        let now_ms = self.clock.now_ms();
        lock(&self.selector).reject(relay.incarnation, rejection, now_ms);
        self.rejected.send_replace(());
        log::info!(feed = feed.name(), relay = relay.vm.as_str(), reason; "relay does not serve the store's changes; reading them elsewhere");
    }

    /// Waits until a relay is passed over.
    async fn wait_rejected(&self, relay: Incarnation, in_outage: bool) {
        let mut rejected = self.rejected.subscribe();
        while !lock(&self.selector).is_rejected(relay, in_outage, self.clock.now_ms()) {
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
        self.record_read(feed);
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
        self.record_read(feed);
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

    /// Returns the last change of the table that this router has read from the store;
    /// `None` if it reads the table from a relay.
    fn last_table_change(&self) -> Option<Position> {
        let feeds = [Feed::Table, Feed::OperatorKeys];
        feeds.into_iter().find_map(|feed| {
            let state = self.state(feed);
            state.is_direct.then(|| state.log.last_change())
        })
    }

    fn record_read(&self, feed: Feed) {
        if feed == Feed::Servers {
            let age = Duration::from_millis(MAX_AGE_MS);
            *lock(&self.fresh_until) = Some(Instant::now() + age);
        }
    }
}

pub(crate) fn position(revision: Revision) -> Position {
    Position {
        epoch: revision.epoch.0,
        revision: revision.number,
    }
}

/// Returns until when this router serves a feed without another read of it from the store;
/// `None` if it does not serve it now. The servers' entries vouch for the entries of
/// routers, which change rarely.
fn fresh_until(shared: &SharedState, feed: Feed) -> Option<Instant> {
    let now = Instant::now();
    if feed.has_table() {
        let max_age_ms = shared.settings().table_timing().max_relay_age_ms();
        let age_ms = shared.table_age_ms()?;
        let rest_ms = max_age_ms.checked_sub(age_ms)?;
        return Some(now + Duration::from_millis(rest_ms + 1));
    }
    lock(&shared.feeds.fresh_until).filter(|until| *until > now)
}

/// Returns until when this router holds its followers although its table is not proven to
/// be current, because a reply that proves it is due; `None` if it turns them away.
fn settles_at(shared: &SharedState, feed: Feed) -> Option<Instant> {
    if !feed.has_table() {
        return None;
    }
    let available_for = shared.store_availability.available_for()?;
    let since_return = Duration::from_millis(TABLE_RETURN_MS).checked_sub(available_for);
    let max_age_ms = shared.settings().table_timing().max_relay_age_ms();
    let age_ms = shared.table_age_ms()?;
    let since_stale = (max_age_ms + TABLE_LATE_MS).checked_sub(age_ms);
    let rest = since_return.max(since_stale.map(Duration::from_millis))?;
    (!rest.is_zero()).then(|| Instant::now() + rest)
}

/// Replies to a follower like [`serve`], and says how current the routing table is.
pub(crate) async fn serve_with_proof(
    shared: &Arc<SharedState>,
    request: &FollowRequest,
) -> ProvenReply {
    let arrived = Instant::now();
    let reply = serve(shared, request).await;
    (reply, table_proof(shared, arrived))
}

/// Returns how current the routing table is, in reply to a call that arrived at `arrived`;
/// `None` if it is read from another router.
pub(crate) fn table_proof(shared: &SharedState, arrived: Instant) -> Option<TableProof> {
    // Before the last change is read: a later one must not count as of this moment.
    let age_ms = shared.table_age_ms()?;
    Some(TableProof {
        changed: shared.feeds.last_table_change()?,
        age_ms,
        held_ms: u64::try_from(arrived.elapsed().as_millis()).ok()?,
    })
}

/// Replies to a follower once there are changes, after some time without any, or
/// when this router can't serve it. In an outage of both, replies once the store has
/// returned.
pub(crate) async fn serve(shared: &Arc<SharedState>, request: &FollowRequest) -> FollowReply {
    let feeds = &shared.feeds;
    *lock(&feeds.last_call) = Some(Instant::now());
    let wait_ms = request.wait_ms.min(LONG_WAIT_MS);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut changed = feeds.changed[request.feed as usize].subscribe();
    loop {
        let is_late = Instant::now() >= deadline;
        let fresh_until = fresh_until(shared, request.feed);
        let settles_at = settles_at(shared, request.feed);
        match current_update(shared, request, fresh_until.is_some()) {
            Ok(update) if is_late || request.in_outage || !update.changes.is_empty() => {
                return FollowReply::Changes(update);
            }
            Ok(_) => {}
            Err(FollowRefusal::Behind) if !is_late => {}
            Err(FollowRefusal::Outage) if !is_late && request.in_outage => {}
            Err(FollowRefusal::Stale) if !is_late && settles_at.is_some() => {}
            Err(refusal) => return FollowReply::Refused(refusal),
        }
        let wake_at = fresh_until.or(settles_at);
        let wake_at = wake_at.map_or(deadline, |wake_at| wake_at.min(deadline));
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
    if !shared.store_availability.is_available() {
        return Err(FollowRefusal::Outage);
    }
    if !is_fresh {
        return Err(FollowRefusal::Stale);
    }
    let update = state.log.since(request.position);
    let update = update.ok_or(FollowRefusal::NotCovered)?;
    // The store's revisions also count changes of other keys, so only this feed, which
    // is read at short intervals, shows that a relay has been paused.
    if request.feed == Feed::Servers && state.log.is_behind(request.position) {
        return Err(FollowRefusal::Behind);
    }
    Ok(update)
}

/// What a relay has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Followed {
    /// The changes after the position.
    Changes(WatchResponse),
    /// The store has not returned to the relay.
    StillOutage,
    /// Nothing: the relay does not serve this router, or another watch has found so
    /// meanwhile. It is passed over for some time.
    Rejected,
    /// Nothing yet: another source is to be used.
    Moved,
}

/// Reads the changes of a feed after `revision` from a relay. `in_outage`: whether the
/// store is unavailable to this router.
pub(crate) async fn follow(
    shared: &SharedState,
    relay: &RouterInstance,
    feed: Feed,
    revision: Revision,
    in_outage: bool,
) -> Followed {
    let feeds = &shared.feeds;
    let was_direct = feeds.record_followed(feed);
    let wait_ms = feed.wait_ms(was_direct || in_outage);
    let request = FollowRequest {
        feed,
        position: position(revision),
        wait_ms,
        in_outage,
    };
    let reply = tokio::select! {
        reply = call_relay(shared, relay, request) => reply,
        () = feeds.wait_rejected(relay.incarnation, in_outage) => return Followed::Rejected,
        () = feeds.wait_moved(shared, feed, relay.incarnation, in_outage) => return Followed::Moved,
    };
    let (rejection, reason) = match reply {
        Ok(FollowReply::Changes(update)) if update.position >= position(revision) => {
            return Followed::Changes(watch_response(update));
        }
        Ok(FollowReply::Changes(_)) => (Rejection::NoService, "position went back".to_owned()),
        Ok(FollowReply::Refused(FollowRefusal::Outage)) if in_outage => {
            return Followed::StillOutage;
        }
        Ok(FollowReply::Refused(FollowRefusal::Outage)) => (
            Rejection::Outage,
            "the store is unavailable to it".to_owned(),
        ),
        Ok(FollowReply::Refused(refusal)) => (Rejection::NoService, format!("{refusal:?}")),
        Err(err) => (Rejection::NoService, err.to_string()),
    };
    feeds.reject(relay, feed, rejection, &reason);
    Followed::Rejected
}

/// Calls a relay. If it does not reply in time while this router is slow itself, calls
/// it once more without a wait: the reply may only have been late here.
async fn call_relay(
    shared: &SharedState,
    relay: &RouterInstance,
    request: FollowRequest,
) -> rpc::Result<FollowReply> {
    let slack = request.feed.slack();
    let timeout = Duration::from_millis(request.wait_ms) + slack;
    let reply = call_once(shared, relay, request.clone(), timeout).await;
    let is_late_here = reply.as_ref().is_err_and(rpc::Error::is_timeout) && shared.health.is_slow();
    if !is_late_here {
        return reply;
    }
    let request = FollowRequest {
        wait_ms: 0,
        ..request
    };
    call_once(shared, relay, request, slack).await
}

/// Calls a relay, and records what it says of the routing table.
async fn call_once(
    shared: &SharedState,
    relay: &RouterInstance,
    request: FollowRequest,
    timeout: Duration,
) -> rpc::Result<FollowReply> {
    if !relay.proves_tables() {
        let call = PeerRequest::Follow(request);
        return shared.peers.call(relay, &call, timeout).await;
    }
    let feed = request.feed;
    let sent_ms = shared.clock.now_ms();
    let call = PeerRequest::FollowWithProof(request);
    let (reply, proof): ProvenReply = shared.peers.call(relay, &call, timeout).await?;
    // Changes that the reply brings have not been applied yet.
    let brings_table = matches!(&reply, FollowReply::Changes(update) if feed.has_table() && !update.changes.is_empty());
    if let Some(proof) = proof
        && !brings_table
    {
        shared.table_freshness().record_proof(&proof, sent_ms);
    }
    Ok(reply)
}

/// Returns the time until this router should call a relay for a proof of its table, unless
/// replies to its calls for servers bring one before.
fn time_to_confirm(shared: &SharedState) -> Duration {
    let max_age_ms = shared.settings().table_timing().max_age_ms();
    let age_ms = shared.table_age_ms().unwrap_or(max_age_ms);
    let rest_ms = max_age_ms.saturating_sub(CONFIRM_LEAD_MS + age_ms);
    Duration::from_millis(rest_ms)
}

/// Asks the relay from which the table is read for a proof whenever the last one is about to
/// expire. Returns once the watch of the table should call the relay again, because the
/// changes that this router lacks have not arrived in the time that a large table may take,
/// neither since it knows of them nor by this call. An earlier call would break off their
/// transfer.
pub(crate) async fn keep_table_proven(shared: &SharedState, relay: &RouterInstance, feed: Feed) {
    if !feed.has_table() {
        return std::future::pending().await;
    }
    let called_at = Instant::now();
    let interval = Duration::from_millis(CONFIRM_INTERVAL_MS);
    loop {
        tokio::time::sleep(time_to_confirm(shared).max(interval)).await;
        let now_ms = shared.clock.now_ms();
        let lacking_for_ms = shared.table_freshness().lacking_for_ms(now_ms);
        if let Some(lacking_for_ms) = lacking_for_ms {
            let called_long_ago = called_at.elapsed() >= Duration::from_millis(LONG_WAIT_MS);
            if called_long_ago && lacking_for_ms >= LONG_SLACK_MS {
                log::info!(relay = relay.vm.as_str(), lacking_for_ms; "relay has read changes of the routing table that this router lacks; reading them again");
                return;
            }
        } else if time_to_confirm(shared).is_zero() {
            ask_proof(shared, relay).await;
        }
    }
}

/// Asks a relay how current its routing table is.
async fn ask_proof(shared: &SharedState, relay: &RouterInstance) {
    let sent_ms = shared.clock.now_ms();
    let timeout = Duration::from_millis(CONFIRM_INTERVAL_MS);
    let call = PeerRequest::ProveTable;
    let reply = shared
        .peers
        .call::<_, Option<TableProof>>(relay, &call, timeout);
    if let Ok(Some(proof)) = reply.await {
        shared.table_freshness().record_proof(&proof, sent_ms);
    }
}

/// Waits in an outage until the store has returned to a relay.
pub(crate) async fn wait_at_relay(
    shared: &SharedState,
    relay: &RouterInstance,
    feed: Feed,
    revision: Revision,
) -> Followed {
    loop {
        let followed = follow(shared, relay, feed, revision, true).await;
        if followed != Followed::StillOutage {
            return followed;
        }
    }
}

/// Waits in an outage until the store replies to this router, which may happen before
/// or after it replies to the relay.
pub(crate) async fn ping_until_reachable(shared: &SharedState) {
    loop {
        let sent_at = Instant::now();
        shared.metrics.store_call("ping");
        let Err(err) = shared.platform.store.ping().await else {
            return;
        };
        if err == StoreError::Restored {
            return;
        }
        shared.metrics.store_failed();
        shared.store_availability.record_failure(sent_at);
        let interval = Duration::from_millis(PING_INTERVAL_MS);
        tokio::time::sleep(interval.saturating_sub(sent_at.elapsed())).await;
    }
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
