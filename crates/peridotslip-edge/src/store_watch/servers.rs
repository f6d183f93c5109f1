//! The watch of the backend servers' entries.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use peridotslip::forwarding::{ServerEntry, ServerStart};

use super::{ListCause, PrefixWatcher, as_ms};
use crate::{
    clock::Clock,
    context::SharedState,
    feeds::Feed,
    ports::{Item, Listing, Revision, WatchEvent},
    store_availability::Outage,
    warmup,
};

/// How long a watch of the servers waits for a change, in milliseconds. Servers'
/// entries change all the time, so a watch without a response soon shows that
/// the store is unavailable.
const WATCH_MS: u64 = 1_000;
/// The same at a router that others follow, which must notice sooner.
const RELAY_WATCH_MS: u64 = 500;
/// Pause between two watches of the servers, whose entries change all the
/// time, in milliseconds. The router must learn within the platform's drain
/// time of 2 s that a server is leaving.
const PAUSE_MS: u64 = 900;
/// Longest time from one call of this watch to the next in an outage, in
/// milliseconds. Bounds how precisely the store's return is known, and thereby
/// the time for which a server may be without an entry. Not less than a probe
/// without a response takes.
const PROBE_INTERVAL_MS: u64 = 800;
/// How long after the store's return a server may be without an entry before it
/// counts as gone, in milliseconds. A live server registers again within 2 s.
const REREGISTER_MS: u64 = 2_050;
/// Longest time from the last call that an outage made fail to the first reply
/// after it for which that reply shows the store's return, in milliseconds: two
/// probes.
const RETURN_SHOWN_MS: u64 = 1_700;
/// How long after the last call that failed a server may be without an entry if the
/// store's return is not known better, in milliseconds. 3 s after the return, no
/// request may reach a server that left during the outage.
const UNKNOWN_RETURN_MS: u64 = 2_850;
/// Outages longer than this may make the store lose servers' entries, in
/// milliseconds.
const LONG_OUTAGE_MS: u64 = 1_500;

/// Applies changes of the backend servers' entries.
pub(super) struct ServersWatcher {
    shared: Arc<SharedState>,
    /// The revision of the first listing after the store was restored. Older
    /// entries may be of servers that had been removed before.
    restored_revision: Option<Revision>,
}

impl ServersWatcher {
    pub(super) fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            restored_revision: None,
        }
    }

    fn decode(&self, item: &Item) -> Option<ServerEntry> {
        let dialect = &self.shared.platform.dialect;
        dialect.decode_server(&item.key, &item.value)
    }

    /// Applies a server's entry.
    fn apply(&self, server: ServerEntry, revision: Revision) {
        let id = server.id.clone();
        let (address, state, version) =
            (server.address.clone(), server.state, server.version.clone());
        let mut placement = self.shared.placement();
        let now_ms = self.shared.clock.now_ms();
        placement
            .warmups_mut()
            .record_entry(&server, now_ms, Clock::unix_ms());
        let changed = placement.upsert(server);
        drop(placement);
        if changed {
            self.shared.origins.servers_changed();
            log::info!(server = id.as_str(), address = address.as_str(), state:? = state, version = version.as_str(), revision = revision.number; "server entry changed");
        }
    }

    /// Removes the server of a key that has no entry any more.
    fn remove(&self, key: &str, reason: &str) {
        if let Some(id) = key.strip_prefix(self.prefix())
            && self.shared.placement().remove(id)
        {
            log::info!(server = id, reason; "server removed");
        }
    }

    /// Removes the servers that have been without an entry for too long.
    fn remove_gone(&self) {
        let gone = self
            .shared
            .placement()
            .remove_gone(self.shared.clock.now_ms());
        for id in gone {
            log::info!(server = id.as_str(), reason = "entry missing"; "server removed");
        }
    }
}

/// Returns from when on a server without an entry after an outage counts as gone.
fn gone_after(outage: &Outage) -> Instant {
    let uncertainty = outage
        .regained_at
        .saturating_duration_since(outage.last_failure);
    if uncertainty <= Duration::from_millis(RETURN_SHOWN_MS) {
        outage.regained_at + Duration::from_millis(REREGISTER_MS)
    } else {
        outage.last_failure + Duration::from_millis(UNKNOWN_RETURN_MS)
    }
}

impl PrefixWatcher for ServersWatcher {
    fn feed(&self) -> Feed {
        Feed::Servers
    }

    /// Servers rewrite their entries all the time with a new number and, while they
    /// are cold, less time until they are warm. An invalid entry names no server, whatever
    /// it says.
    fn is_same(&self, key: &str, old: &[u8], new: &[u8]) -> bool {
        let dialect = &self.shared.platform.dialect;
        let new = dialect.decode_server(key, new);
        let old = dialect.decode_server(key, old);
        let (mut new, old) = match (new, old) {
            (Some(new), Some(old)) => (new, old),
            (None, None) => return true,
            _ => return false,
        };
        let now_ms = self.shared.clock.now_ms();
        let is_warmup_changed = self
            .shared
            .placement()
            .warmups()
            .is_changed(&old, &new, now_ms);
        new.cold_left_ms = old.cold_left_ms;
        old == new && !is_warmup_changed
    }

    fn prefix(&self) -> &str {
        self.shared.platform.dialect.servers_prefix()
    }

    fn watch_timeout(&self) -> Duration {
        let has_followers = self.shared.feeds.has_followers();
        Duration::from_millis(if has_followers {
            RELAY_WATCH_MS
        } else {
            WATCH_MS
        })
    }

    fn pause(&self) -> Duration {
        Duration::from_millis(PAUSE_MS)
    }

    fn probe_interval(&self) -> Duration {
        Duration::from_millis(PROBE_INTERVAL_MS)
    }

    fn on_event(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Put(item) => match self.decode(&item) {
                Some(server) => self.apply(server, item.revision),
                None => self.remove(&item.key, "invalid entry"),
            },
            WatchEvent::Removed(key) => self.remove(&key, "entry removed"),
        }
    }

    fn on_list(&mut self, listing: Listing, cause: ListCause) {
        self.remove_gone();
        if cause.restored_after.is_some() {
            self.restored_revision = Some(listing.revision);
        }
        let mut listed = HashSet::new();
        for item in &listing.items {
            let Some(server) = self.decode(item) else {
                log::warn!(key = item.key.as_str(), bytes = item.value.len(); "invalid entry of a server; ignoring it");
                continue;
            };
            let id = server.id.clone();
            let may_be_restored = self
                .restored_revision
                .is_some_and(|restored| item.revision <= restored);
            if may_be_restored && self.shared.placement().was_removed(&server) {
                log::info!(server = id.as_str(), revision = item.revision.number; "restored entry of a removed server; waiting until the server writes it");
                continue;
            }
            self.apply(server, item.revision);
            listed.insert(id);
        }
        let long_outage = cause
            .outage
            .filter(|outage| outage.began.elapsed() > Duration::from_millis(LONG_OUTAGE_MS));
        let gone_at = match (long_outage, cause.restored_after) {
            (Some(outage), _) => gone_after(&outage),
            (None, Some(last_reply)) => last_reply + Duration::from_millis(UNKNOWN_RETURN_MS),
            (None, None) => Instant::now(),
        };
        let grace = gone_at.saturating_duration_since(Instant::now());
        let grace_ms = as_ms(grace);
        let gone_at_ms = self.shared.clock.now_ms() + grace_ms;
        let missing = self.shared.placement().expire_unlisted(&listed, gone_at_ms);
        if missing > 0 {
            log::info!(missing, grace_ms; "servers without an entry; removed unless they register again");
        }
    }

    fn on_batch_end(&mut self) {
        self.remove_gone();
        self.shared.placement().warmups_mut().set_listed();
        warmup::log_changes(&self.shared);
        let placement = self.shared.placement();
        let servers = placement.ids().filter_map(|id| placement.server(id));
        let known: HashSet<ServerStart> = servers.map(ServerStart::from).collect();
        drop(placement);
        self.shared.upstream.evict_idle(&known);
    }
}
