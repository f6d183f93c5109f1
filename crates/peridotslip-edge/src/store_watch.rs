//! Watches of the store: the routing table, the servers and the routers.

mod operator_keys;
mod servers;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use peridotslip::ids::OrganisationName;
use tokio::sync::watch;

use self::{operator_keys::OperatorKeysWatcher, servers::ServersWatcher};
use crate::{
    context::SharedState,
    feeds::{self, Feed, Followed},
    ports::{Listing, Revision, StoreEpoch, StoreError, StoreResult, WatchEvent, WatchResponse},
    registry,
    store_availability::Outage,
};

/// How long a watch of rarely changing keys waits for a change, in
/// milliseconds.
const LONG_WATCH_MS: u64 = 10_000;
/// How long a watch waits for a change after a failed one, in milliseconds. A
/// call that was sent while the store was unavailable may get no response even
/// after the store has recovered, so the watch must end soon.
const PROBE_WATCH_MS: u64 = 200;
/// How long a watch of the routing table waits for a change while the table is not proven to
/// be current, although the store replies to other calls, in milliseconds.
const PROOF_WATCH_MS: u64 = 50;
/// Time for a reply of the store, in milliseconds.
const REPLY_MS: u64 = 50;
/// Pause between two watches of the routing table or the routers, in
/// milliseconds, so that a burst of changes is read in one response.
const CHANGES_PAUSE_MS: u64 = 100;
/// Pause after the first failed call, in milliseconds; doubled after each
/// further one.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest time from one call to the next in an outage, in milliseconds. The first
/// reply to any watch ends the pauses of all.
const PROBE_INTERVAL_MS: u64 = 3_200;

/// Pause of a rarely changing feed after a relay did not serve it, in milliseconds.
const REJECTED_PAUSE_MS: u64 = 400;
/// How long after a restore of the store all routers read it directly, in
/// milliseconds. Until servers have written their entries again, it matters also
/// which entries they rewrite unchanged.
const DIRECT_AFTER_RESTORE_MS: u64 = 30_000;

/// Applies the changes of the keys under one prefix of the store.
trait PrefixWatcher: Send {
    /// Returns the prefix's feed.
    fn feed(&self) -> Feed;
    /// Returns whether two values of a key mean the same to all routers.
    fn is_same(&self, _key: &str, old: &[u8], new: &[u8]) -> bool {
        old == new
    }
    /// Returns the prefix.
    fn prefix(&self) -> &str;
    /// Returns how long a watch waits for changes at most.
    fn watch_timeout(&self) -> Duration;
    /// Returns the pause between two watches.
    fn pause(&self) -> Duration;
    /// Returns how long a watch waits for changes after a failed one.
    fn probe_timeout(&self) -> Duration {
        Duration::from_millis(PROBE_WATCH_MS)
    }
    /// Returns the longest time from one call to the next in an outage.
    fn probe_interval(&self) -> Duration {
        Duration::from_millis(PROBE_INTERVAL_MS)
    }
    /// Applies one change.
    fn on_event(&mut self, event: WatchEvent);
    /// Applies all items under the prefix.
    fn on_list(&mut self, listing: Listing, cause: ListCause);
    /// Called after all changes of a watch or listing have been applied.
    fn on_batch_end(&mut self);
}

/// Why a prefix is listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListCause {
    /// The outage that the listing ends, if any.
    outage: Option<Outage>,
    /// When the watch got its last reply before the store was restored from an
    /// older copy, if it was. The items may be older than what the watch has
    /// seen.
    restored_after: Option<Instant>,
}

/// A reply of the store to a watcher's call.
enum StoreReply {
    Listing(Listing),
    Changes(WatchResponse),
}

/// What a call for changes has to find out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchPurpose {
    /// The next changes, whenever they come.
    Changes,
    /// Whether the store is available.
    Probe,
    /// Whether the routing table is the newest, at once, as the last proof of it is about
    /// to expire.
    Proof,
}

/// Returns how long a watch waits for changes.
fn wait(watcher: &impl PrefixWatcher, purpose: WatchPurpose) -> Duration {
    match purpose {
        WatchPurpose::Changes => watcher.watch_timeout(),
        WatchPurpose::Probe => watcher.probe_timeout(),
        WatchPurpose::Proof => Duration::from_millis(PROOF_WATCH_MS),
    }
}

/// Returns the purpose of a watch's next call. `is_probe`: whether it has to find out
/// whether the store is available.
fn next_purpose(
    shared: &SharedState,
    watcher: &impl PrefixWatcher,
    progress: &Progress,
    is_probe: bool,
) -> WatchPurpose {
    let purpose = if is_probe {
        WatchPurpose::Probe
    } else {
        WatchPurpose::Changes
    };
    let lasts = || {
        let reply_due = wait(watcher, purpose) + Duration::from_millis(REPLY_MS);
        shared.is_table_current_after(reply_due)
    };
    if watcher.feed().has_table() && !progress.proof_failed && !lasts() {
        WatchPurpose::Proof
    } else {
        purpose
    }
}

/// Lists a prefix, or watches it for changes after `revision`.
async fn read_store(
    shared: &SharedState,
    watcher: &impl PrefixWatcher,
    revision: Option<Revision>,
    purpose: WatchPurpose,
) -> StoreResult<StoreReply> {
    let store = &shared.platform.store;
    let Some(revision) = revision else {
        shared.metrics.store_call("list");
        return store.list(watcher.prefix()).await.map(StoreReply::Listing);
    };
    shared.metrics.store_call("watch");
    let wait = wait(watcher, purpose);
    let response = store.watch(watcher.prefix(), revision, wait).await;
    response.map(StoreReply::Changes)
}

/// How far a watch has come.
struct Progress {
    /// The revision from which to go on; `None` if all items must be listed.
    revision: Option<Revision>,
    /// The epoch and the time of the last reply.
    last_reply: Option<(StoreEpoch, Instant)>,
    /// When this watch lost the store; `None` while it has the store.
    lost_at: Option<Instant>,
    backoff_ms: u64,
    /// When this watch last called the store.
    called_at: Instant,
    /// Whether the next call goes to the store although there may be a relay.
    must_call: bool,
    /// Whether the last call for a proof got no reply in time. Replies may be slow, so
    /// that a longer wait is needed.
    proof_failed: bool,
}

impl Progress {
    fn new() -> Self {
        Self {
            revision: None,
            last_reply: None,
            lost_at: None,
            backoff_ms: FIRST_BACKOFF_MS,
            called_at: Instant::now(),
            must_call: false,
            proof_failed: false,
        }
    }

    fn record_reply(&mut self, revision: Revision) {
        self.revision = Some(revision);
        self.last_reply = Some((revision.epoch, Instant::now()));
        self.lost_at = None;
        self.backoff_ms = FIRST_BACKOFF_MS;
        self.proof_failed = false;
    }

    /// Returns when the last reply before the store was restored arrived, if it has
    /// been restored since.
    fn restored_after(&self, epoch: StoreEpoch) -> Option<Instant> {
        let (replied_in, at) = self.last_reply?;
        (replied_in < epoch).then_some(at)
    }
}

/// Lists and watches a prefix until the process ends.
async fn list_and_watch(shared: Arc<SharedState>, mut watcher: impl PrefixWatcher) {
    let mut progress = Progress::new();
    let mut availability = shared.store_availability.subscribe();
    let mut epoch = shared.platform.store.epoch();
    let feed = watcher.feed();
    loop {
        let in_outage = !availability.is_available();
        let probing = progress.lost_at.is_some() || in_outage;
        // Once the store replies to this router again, each watch that has lost it calls
        // it: relays may still be cut off.
        let must_call = progress.must_call || (progress.lost_at.is_some() && !in_outage);
        if !must_call
            && let Some(after) = progress.revision
            && let Some(relay) = shared.feeds.relay(&shared, feed, in_outage)
            && feed.is_known_to(&relay)
        {
            if in_outage && feed == Feed::Servers {
                progress.lost_at.get_or_insert_with(Instant::now);
            }
            let served = tokio::select! {
                followed = feeds::follow(&shared, &relay, feed, after, false), if !in_outage => {
                    apply_followed(&shared, &mut watcher, &mut progress, followed, false)
                }
                followed = feeds::wait_at_relay(&shared, &relay, feed, after), if in_outage => {
                    apply_followed(&shared, &mut watcher, &mut progress, followed, true)
                }
                () = feeds::ping_until_reachable(&shared), if in_outage && feed == Feed::Servers => {
                    progress.must_call = true;
                    true
                }
                () = availability.changed_to(true), if in_outage => true,
                () = feeds::keep_table_proven(&shared, &relay, feed), if !in_outage => true,
                () = epoch_changed(&mut epoch, progress.revision) => {
                    progress.revision = None;
                    true
                }
            };
            if !served && !in_outage && feed != Feed::Servers {
                // The servers' watch finds out first whether the store is lost.
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_millis(REJECTED_PAUSE_MS)) => {
                        progress.must_call = true;
                    }
                    () = availability.changed_to(false) => {}
                }
            }
            continue;
        }
        let is_check = std::mem::take(&mut progress.must_call) && feed == Feed::Servers;
        let purpose = next_purpose(&shared, &watcher, &progress, probing || is_check);
        let revision = progress.revision;
        progress.called_at = Instant::now();
        let outcome = tokio::select! {
            outcome = read_store(&shared, &watcher, revision, purpose) => outcome,
            // Another watch has lost the store: this call may never get a
            // response, so a short one replaces it.
            () = availability.changed_to(false), if !probing => continue,
            // A watch from a revision of an earlier epoch misses changes.
            () = epoch_changed(&mut epoch, revision) => {
                log::warn!(feed = feed.name(), epoch = epoch.borrow().0; "store was restored from an older copy; listing all keys");
                progress.revision = None;
                continue;
            }
        };
        match outcome {
            Ok(reply) => {
                apply_reply(&shared, &mut watcher, &mut progress, reply);
                tokio::time::sleep(watcher.pause()).await;
            }
            Err(StoreError::Compacted) => {
                shared.metrics.store_failed();
                shared.store_availability.record_success();
                log::warn!(feed = feed.name(); "store has compacted its history; listing all keys");
                progress.revision = None;
            }
            Err(StoreError::Restored) => {
                progress.revision = None;
                tokio::time::sleep(Duration::from_millis(FIRST_BACKOFF_MS)).await;
            }
            Err(err) => {
                shared.metrics.store_failed();
                let started = progress.called_at;
                progress.proof_failed |= purpose == WatchPurpose::Proof;
                let replied_since = shared.store_availability.record_failure(started);
                if progress.lost_at.is_none() {
                    progress.lost_at = Some(Instant::now());
                    log::warn!(feed = feed.name(), reason = err.to_string().as_str(); "store is unavailable; retrying");
                }
                let interval_rest = watcher.probe_interval().saturating_sub(started.elapsed());
                let pause = Duration::from_millis(progress.backoff_ms).min(interval_rest);
                if !replied_since {
                    tokio::select! {
                        () = tokio::time::sleep(pause) => {}
                        () = availability.changed_to(true) => {}
                    }
                }
                progress.backoff_ms = progress.backoff_ms.saturating_mul(2);
            }
        }
    }
}

/// Applies what the store has replied.
fn apply_reply(
    shared: &SharedState,
    watcher: &mut impl PrefixWatcher,
    progress: &mut Progress,
    reply: StoreReply,
) {
    shared.store_availability.record_success();
    let feed = watcher.feed();
    let outage = progress
        .lost_at
        .map(|began| shared.store_availability.outage_since(began));
    let revision = match reply {
        StoreReply::Listing(listing) => {
            let cause = ListCause {
                outage,
                restored_after: progress.restored_after(listing.revision.epoch),
            };
            apply_listing(shared, watcher, listing, cause)
        }
        StoreReply::Changes(response) => {
            let from = progress.revision.unwrap_or_default();
            let is_same = |key: &str, old: &[u8], new: &[u8]| watcher.is_same(key, old, new);
            shared.feeds.record_changes(feed, from, &response, is_same);
            apply_changes(watcher, response)
        }
    };
    progress.record_reply(revision);
    if feed.has_table() {
        let called_ms = shared.clock.ms_at(progress.called_at);
        let position = feeds::position(revision);
        shared.table_freshness().record_read(position, called_ms);
    }
    if let Some(outage) = outage {
        let after_ms = as_ms(outage.began.elapsed());
        log::info!(feed = feed.name(), after_ms, revision = revision.number; "store is available again");
    }
    watcher.on_batch_end();
}

/// Applies what a relay has replied. `probing`: whether this router had lost the store.
/// Returns whether the relay serves this router.
fn apply_followed(
    shared: &SharedState,
    watcher: &mut impl PrefixWatcher,
    progress: &mut Progress,
    followed: Followed,
    probing: bool,
) -> bool {
    let feed = watcher.feed();
    match followed {
        Followed::Changes(response) => {
            if probing {
                shared.store_availability.record_success();
                log::info!(feed = feed.name(), revision = response.revision.number; "store is available again, as a relay reads it");
            }
            let revision = apply_changes(watcher, response);
            progress.record_reply(revision);
            if feed.has_table() {
                let position = feeds::position(revision);
                shared.table_freshness().record_position(position);
            }
            watcher.on_batch_end();
            true
        }
        Followed::StillOutage | Followed::Moved => true,
        Followed::Rejected => {
            // Another relay may have read less of the entries that matter most.
            progress.must_call = !probing && feed == Feed::Servers;
            false
        }
    }
}

/// Applies all items under the prefix. Returns the revision from which to go on.
fn apply_listing(
    shared: &SharedState,
    watcher: &mut impl PrefixWatcher,
    listing: Listing,
    cause: ListCause,
) -> Revision {
    let revision = listing.revision;
    if cause.restored_after.is_some() {
        let duration = Duration::from_millis(DIRECT_AFTER_RESTORE_MS);
        shared.feeds.read_directly(duration);
    }
    shared.feeds.record_listing(watcher.feed(), revision);
    watcher.on_list(listing, cause);
    revision
}

/// Applies changes. Returns the revision from which to go on.
fn apply_changes(watcher: &mut impl PrefixWatcher, response: WatchResponse) -> Revision {
    for event in response.events {
        watcher.on_event(event);
    }
    response.revision
}

/// Waits until the store's epoch is later than that of `revision`.
async fn epoch_changed(epoch: &mut watch::Receiver<StoreEpoch>, revision: Option<Revision>) {
    let newer = |epoch: &StoreEpoch| revision.is_some_and(|revision| *epoch > revision.epoch);
    if epoch.wait_for(newer).await.is_err() {
        // The client of the store lives as long as the process.
        std::future::pending::<()>().await;
    }
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Starts all watches and registers this router.
pub(crate) fn spawn(shared: &Arc<SharedState>) {
    tokio::spawn(list_and_watch(
        shared.clone(),
        OperatorKeysWatcher::new(shared.clone()),
    ));
    tokio::spawn(list_and_watch(
        shared.clone(),
        ServersWatcher::new(shared.clone()),
    ));
    tokio::spawn(list_and_watch(
        shared.clone(),
        RoutersWatcher(shared.clone()),
    ));
    tokio::spawn(register(shared.clone()));
}

/// Sets the paid amounts of the active table's budgets. Does nothing until all
/// routers' entries have been read, because other routers may own the budgets.
fn update_budgets(shared: &SharedState) {
    if !shared.peers.is_synced() {
        return;
    }
    let index = shared.index();
    let organisations = index.table().organisations.iter().flatten();
    let paid: Vec<(OrganisationName, u64)> = organisations
        .filter_map(|organisation| Some((organisation.name.clone(), organisation.prepaid?)))
        .collect();
    shared.budgets.set_paid(&paid);
}

/// Applies changes of the other routers' entries.
struct RoutersWatcher(Arc<SharedState>);

impl PrefixWatcher for RoutersWatcher {
    fn feed(&self) -> Feed {
        Feed::Routers
    }

    fn prefix(&self) -> &str {
        registry::PREFIX
    }

    fn watch_timeout(&self) -> Duration {
        Duration::from_millis(LONG_WATCH_MS)
    }

    fn pause(&self) -> Duration {
        Duration::from_millis(CHANGES_PAUSE_MS)
    }

    fn on_event(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Put(item) => match registry::decode(&item) {
                Some(entry) => self.0.peers.insert(entry),
                None => {
                    log::warn!(key = item.key.as_str(); "invalid entry of a router; ignoring it");
                }
            },
            WatchEvent::Removed(key) => {
                if let Some(vm) = key.strip_prefix(registry::PREFIX) {
                    self.0.peers.remove(vm);
                }
            }
        }
    }

    fn on_list(&mut self, listing: Listing, cause: ListCause) {
        for item in listing.items {
            // A restored entry may name an earlier incarnation than the known one.
            let vm = item.key.strip_prefix(registry::PREFIX);
            if cause.restored_after.is_some() && vm.is_some_and(|vm| self.0.peers.knows(vm)) {
                continue;
            }
            self.on_event(WatchEvent::Put(item));
        }
        self.0.peers.set_synced();
    }

    fn on_batch_end(&mut self) {
        // The owners of budgets may have changed.
        update_budgets(&self.0);
    }
}

/// Registers this router in the store, and then permits it to spend budgets.
/// Registers again in each later epoch of the store.
async fn register(shared: Arc<SharedState>) {
    let store = shared.platform.store.clone();
    let mut epoch = store.epoch();
    loop {
        let registered_in =
            registry::register(store.as_ref(), &shared.peers, &shared.metrics).await;
        shared.peers.set_registered();
        shared.budgets.set_registered();
        shared.budgets.restore_first_epoch().await;
        let later = |epoch: &StoreEpoch| *epoch > registered_in;
        if epoch.wait_for(later).await.is_err() {
            return;
        }
        log::info!(epoch = epoch.borrow().0; "store was restored from an older copy; registering again");
    }
}
