//! What the store tells: the routing table, the servers and the routers.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use peridotslip::{forwarding::RoutingIndex, ids::OrganisationName};

use crate::{
    context::SharedState,
    ports::{Item, StoreError, WatchEvent},
    registry,
};

/// Wait of a watch whose keys rarely change, in milliseconds.
const LONG_WATCH_MS: u64 = 10_000;
/// Wait of a watch of the servers, in milliseconds. Their entries change all
/// the time, so a watch that hears nothing shows that the store is away.
const SERVERS_WATCH_MS: u64 = 1_000;
/// Wait of a watch after a failed one, in milliseconds: a call that was sent
/// while the store was away may stay unanswered after its return.
const PROBE_WATCH_MS: u64 = 200;
/// Pause between two watches of the servers, whose entries change all the
/// time, in milliseconds. A server that leaves must be known to within the
/// platform's drain time of 2 s.
const SERVERS_PAUSE_MS: u64 = 900;
/// Pause between two watches of the routing table or the routers, in
/// milliseconds, so that a burst of changes is read at once.
const CHANGES_PAUSE_MS: u64 = 100;
/// First pause after a failed call, in milliseconds; doubled each time.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest pause after failed calls, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;
/// How long servers that the store has lost during an outage of its own may
/// take to register again, in milliseconds.
const REGISTER_AGAIN_MS: u64 = 2_500;
/// An outage of at least this long may have cost servers their entries, in
/// milliseconds.
const LONG_OUTAGE_MS: u64 = 1_500;

/// One prefix of the store that a router follows.
trait PrefixWatcher: Send {
    /// The word in logs and counters.
    fn name(&self) -> &'static str;
    /// The prefix.
    fn prefix(&self) -> &str;
    /// Wait of a watch.
    fn wait(&self) -> Duration;
    /// Pause between two watches.
    fn pause(&self) -> Duration;
    /// Takes in one change.
    fn event(&mut self, event: WatchEvent);
    /// Takes in everything under the prefix, after an outage of so long.
    fn all(&mut self, items: Vec<Item>, outage: Duration);
    /// Called when all changes of a watch have been taken in.
    fn settled(&mut self);
}

/// Follows a prefix until the process ends.
async fn follow(shared: Arc<SharedState>, mut watcher: impl PrefixWatcher) {
    let store = shared.platform.store.clone();
    let mut revision = None;
    let mut backoff_ms = FIRST_BACKOFF_MS;
    let mut lost_at: Option<Instant> = None;
    let mut outages = shared.store_outages.subscribe();
    let mut probing = false;
    loop {
        let outcome = match revision {
            None => {
                shared.metrics.store_call("list");
                store.list(watcher.prefix()).await.map(|listing| {
                    let outage = lost_at.map_or(Duration::ZERO, |at| at.elapsed());
                    watcher.all(listing.items, outage);
                    listing.revision
                })
            }
            Some(revision) => {
                shared.metrics.store_call("watch");
                let wait = if probing {
                    Duration::from_millis(PROBE_WATCH_MS)
                } else {
                    watcher.wait()
                };
                let result = tokio::select! {
                    result = store.watch(watcher.prefix(), revision, wait) => result,
                    _ = outages.changed(), if !probing => {
                        probing = true;
                        continue;
                    }
                };
                result.map(|response| {
                    response
                        .events
                        .into_iter()
                        .for_each(|event| watcher.event(event));
                    response.revision
                })
            }
        };
        match outcome {
            Ok(next) => {
                if let Some(at) = lost_at.take() {
                    let after_ms = as_ms(at.elapsed());
                    log::info!(feed = watcher.name(), after_ms, revision = next; "store is followed again");
                }
                revision = Some(next);
                probing = false;
                outages.mark_unchanged();
                backoff_ms = FIRST_BACKOFF_MS;
                watcher.settled();
                tokio::time::sleep(watcher.pause()).await;
            }
            Err(err) => {
                shared.metrics.store_failed();
                if err == StoreError::Compacted {
                    log::warn!(feed = watcher.name(); "store has dropped its history; reading all keys");
                    revision = None;
                    continue;
                }
                probing = true;
                if lost_at.is_none() {
                    lost_at = Some(Instant::now());
                    shared.store_outages.send_modify(|outages| *outages += 1);
                    log::warn!(feed = watcher.name(), reason = err.to_string().as_str(); "store can't be followed");
                }
                tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Starts following everything.
pub(crate) fn spawn(shared: &Arc<SharedState>) {
    tokio::spawn(follow(shared.clone(), TableWatcher(shared.clone())));
    tokio::spawn(follow(
        shared.clone(),
        ServersWatcher {
            shared: shared.clone(),
            missing: None,
        },
    ));
    tokio::spawn(follow(shared.clone(), RoutersWatcher(shared.clone())));
    tokio::spawn(register(shared.clone()));
}

struct TableWatcher(Arc<SharedState>);

impl TableWatcher {
    fn read(&self, item: &Item) {
        let shared = &self.0;
        if item.key != shared.platform.dialect.table_key() {
            return;
        }
        let Some(table) = shared.platform.dialect.decode_table(&item.value) else {
            return;
        };
        let index = RoutingIndex::build(table);
        let (version, routes) = (index.version(), index.table().routes.len());
        if shared.set_index(index) {
            log::info!(version, routes, revision = item.revision; "routing table in force");
            open_accounts(shared);
        }
    }
}

/// Opens the budgets of the table in force, once it is known who else might be
/// home to them.
fn open_accounts(shared: &SharedState) {
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

impl PrefixWatcher for TableWatcher {
    fn name(&self) -> &'static str {
        "table"
    }

    fn prefix(&self) -> &str {
        self.0.platform.dialect.table_key()
    }

    fn wait(&self) -> Duration {
        Duration::from_millis(LONG_WATCH_MS)
    }

    fn pause(&self) -> Duration {
        Duration::from_millis(CHANGES_PAUSE_MS)
    }

    fn event(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Put(item) => self.read(&item),
            // The last table stays in force.
            WatchEvent::Removed(key) => {
                log::error!(key = key.as_str(); "routing table was removed from the store");
            }
        }
    }

    fn all(&mut self, items: Vec<Item>, _outage: Duration) {
        for item in &items {
            self.read(item);
        }
    }

    fn settled(&mut self) {}
}

struct ServersWatcher {
    shared: Arc<SharedState>,
    /// Servers whose entries were missing after an outage, and when they are
    /// given up.
    missing: Option<(HashSet<String>, Instant)>,
}

impl ServersWatcher {
    fn read(&self, item: &Item) -> Option<String> {
        let dialect = &self.shared.platform.dialect;
        let server = dialect.decode_server(&item.key, &item.value)?;
        let id = server.id.clone();
        let (address, state) = (server.address.clone(), server.state);
        if self.shared.placement().upsert(server) {
            log::info!(server = id.as_str(), address = address.as_str(), state:? = state, revision = item.revision; "server entry changed");
        }
        Some(id)
    }

    fn forget(&self, id: &str, reason: &str) {
        if self.shared.placement().remove(id) {
            log::info!(server = id, reason; "server is gone");
        }
    }
}

impl PrefixWatcher for ServersWatcher {
    fn name(&self) -> &'static str {
        "servers"
    }

    fn prefix(&self) -> &str {
        self.shared.platform.dialect.servers_prefix()
    }

    fn wait(&self) -> Duration {
        Duration::from_millis(SERVERS_WATCH_MS)
    }

    fn pause(&self) -> Duration {
        Duration::from_millis(SERVERS_PAUSE_MS)
    }

    fn event(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Put(item) => {
                let id = self.read(&item);
                if let (Some(id), Some((missing, _))) = (id, &mut self.missing) {
                    missing.remove(&id);
                }
            }
            WatchEvent::Removed(key) => {
                if let Some(id) = key.strip_prefix(self.shared.platform.dialect.servers_prefix()) {
                    self.forget(id, "entry removed");
                }
            }
        }
    }

    fn all(&mut self, items: Vec<Item>, outage: Duration) {
        let listed: HashSet<String> = items.iter().filter_map(|item| self.read(item)).collect();
        let placement = self.shared.placement();
        let missing: HashSet<String> = placement
            .ids()
            .filter(|id| !listed.contains(*id))
            .map(ToOwned::to_owned)
            .collect();
        drop(placement);
        if missing.is_empty() {
            return;
        }
        let grace = if outage > Duration::from_millis(LONG_OUTAGE_MS) {
            Duration::from_millis(REGISTER_AGAIN_MS)
        } else {
            Duration::ZERO
        };
        self.missing = Some((missing, Instant::now() + grace));
    }

    fn settled(&mut self) {
        if self
            .missing
            .as_ref()
            .is_some_and(|(_, until)| Instant::now() >= *until)
        {
            for id in self.missing.take().into_iter().flat_map(|(ids, _)| ids) {
                self.forget(&id, "entry missing");
            }
        }
        let placement = self.shared.placement();
        let known: HashSet<String> = placement.ids().map(ToOwned::to_owned).collect();
        drop(placement);
        self.shared.upstream.sweep(|id| known.contains(id));
    }
}

struct RoutersWatcher(Arc<SharedState>);

impl PrefixWatcher for RoutersWatcher {
    fn name(&self) -> &'static str {
        "routers"
    }

    fn prefix(&self) -> &str {
        registry::PREFIX
    }

    fn wait(&self) -> Duration {
        Duration::from_millis(LONG_WATCH_MS)
    }

    fn pause(&self) -> Duration {
        Duration::from_millis(CHANGES_PAUSE_MS)
    }

    fn event(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Put(item) => match registry::decode(&item) {
                Some(instance) => self.0.peers.insert(instance),
                None => log::warn!(key = item.key.as_str(); "a router's entry can't be read"),
            },
            WatchEvent::Removed(key) => {
                if let Some(vm) = key.strip_prefix(registry::PREFIX) {
                    self.0.peers.remove(vm);
                }
            }
        }
    }

    fn all(&mut self, items: Vec<Item>, _outage: Duration) {
        for item in items {
            self.event(WatchEvent::Put(item));
        }
        self.0.peers.set_synced();
    }

    fn settled(&mut self) {
        // Who is home to which budget may have changed.
        open_accounts(&self.0);
    }
}

/// Registers this router, after which it may spend.
async fn register(shared: Arc<SharedState>) {
    let store = shared.platform.store.clone();
    registry::register(store.as_ref(), shared.peers.local(), &shared.metrics).await;
    shared.budgets.set_registered();
}
