//! The watch of the keys that operators write: the routing table and evacuations.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use peridotslip::forwarding::{RESTORED_EVACUATION_MS, RoutingIndex};

use super::{CHANGES_PAUSE_MS, ListCause, PrefixWatcher, update_budgets};
use crate::{
    context::SharedState,
    feeds::Feed,
    ports::{Item, Listing, WatchEvent},
    settings::Evacuation,
    warmup,
};

/// How long a watch of the table waits for a change after a failed one, in
/// milliseconds. Longer than other probes, so that the reply also arrives over a
/// congested link. A change is replied to at once.
const TABLE_PROBE_WATCH_MS: u64 = 1_000;
/// Longest time from one call of the table's watch to the next in an outage, in
/// milliseconds: the time that a probe without a response takes.
const TABLE_PROBE_INTERVAL_MS: u64 = 1_600;

/// Applies changes of the routing table and, where data centres can be evacuated, of
/// evacuations.
pub(super) struct OperatorKeysWatcher {
    shared: Arc<SharedState>,
    /// The settings of evacuations when the router started. Which prefix is watched
    /// does not change while the router runs.
    evacuation: Option<Evacuation>,
}

impl OperatorKeysWatcher {
    pub(super) fn new(shared: Arc<SharedState>) -> Self {
        let evacuation = shared.settings().evacuation;
        Self { shared, evacuation }
    }

    /// Activates the routing table in `item` if it is a newer one.
    fn apply_table(&self, item: &Item) {
        let shared = &self.shared;
        if item.key != shared.platform.dialect.table_key() {
            return;
        }
        let Some(table) = shared.platform.dialect.decode_table(&item.value) else {
            return;
        };
        let index = RoutingIndex::build(table);
        let (version, routes) = (index.version(), index.table().routes.len());
        if shared.set_index(index) {
            log::info!(version, routes, revision = item.revision.number; "routing table activated");
            warmup::apply_services(shared);
            shared.origins.servers_changed();
            update_budgets(shared);
        }
    }

    /// Returns the data centre that is evacuated while `key` exists.
    fn evacuated_data_centre<'a>(&self, key: &'a str) -> Option<&'a str> {
        self.evacuation?;
        self.shared.platform.dialect.evacuated_data_centre(key)
    }

    /// Applies all evacuations of a listing.
    fn apply_evacuations(&self, listing: &Listing, restored: bool) {
        let shared = &self.shared;
        let keys = listing.items.iter().map(|item| item.key.as_str());
        let listed: BTreeSet<String> = keys
            .filter_map(|key| self.evacuated_data_centre(key))
            .map(ToOwned::to_owned)
            .collect();
        let now_ms = shared.clock.now_ms();
        let changes = shared
            .placement()
            .apply_evacuations(&listed, restored, now_ms);
        for data_centre in &changes.begun {
            log_begun(data_centre, listing.revision.number);
        }
        for data_centre in &changes.ended {
            record_ended(shared, data_centre, "not listed");
        }
        for data_centre in &changes.unconfirmed {
            log::warn!(data_centre = data_centre.as_str(), for_ms = RESTORED_EVACUATION_MS; "restored store lacks an evacuation; it ends unless it is written again");
        }
        if !changes.unconfirmed.is_empty() {
            tokio::spawn(expire_evacuations(shared.clone()));
        }
        count_evacuated(shared);
    }
}

/// Ends the evacuations that are not written again in time after a restore. The
/// selection of servers heeds the time without this.
async fn expire_evacuations(shared: Arc<SharedState>) {
    tokio::time::sleep(Duration::from_millis(RESTORED_EVACUATION_MS + 1)).await;
    let now_ms = shared.clock.now_ms();
    let expired = shared.placement().evacuations_mut().expire(now_ms);
    for data_centre in &expired {
        record_ended(&shared, data_centre, "not written again after a restore");
    }
    count_evacuated(&shared);
}

fn log_begun(data_centre: &str, revision: u64) {
    log::warn!(data_centre, revision; "data centre evacuated");
}

/// Records that an evacuation has ended: the servers of the data centre are cold.
fn record_ended(shared: &SharedState, data_centre: &str, reason: &str) {
    let mut placement = shared.placement();
    if let Some(ended_ms) = placement.evacuation_ended_ms(data_centre) {
        placement
            .warmups_mut()
            .evacuation_ended(data_centre, ended_ms);
    }
    drop(placement);
    log::info!(data_centre, reason; "evacuation ended");
}

/// Updates the metric of evacuated data centres.
fn count_evacuated(shared: &SharedState) {
    let now_ms = shared.clock.now_ms();
    let count = shared.placement().evacuations_mut().count(now_ms);
    shared.metrics.set_evacuated_data_centres(count);
}

impl PrefixWatcher for OperatorKeysWatcher {
    fn feed(&self) -> Feed {
        match self.evacuation {
            Some(_) => Feed::OperatorKeys,
            None => Feed::Table,
        }
    }

    fn prefix(&self) -> &str {
        let dialect = &self.shared.platform.dialect;
        match self.evacuation {
            Some(_) => dialect.operator_prefix(),
            None => dialect.table_key(),
        }
    }

    /// A watch whose reply is lost ends with its time limit, and only the reply to a watch
    /// proves that the table is current.
    fn watch_timeout(&self) -> Duration {
        let timing = self.shared.settings().table_timing();
        Duration::from_millis(timing.watch_ms(self.shared.feeds.has_followers()))
    }

    fn pause(&self) -> Duration {
        Duration::from_millis(CHANGES_PAUSE_MS)
    }

    fn probe_timeout(&self) -> Duration {
        Duration::from_millis(TABLE_PROBE_WATCH_MS)
    }

    fn probe_interval(&self) -> Duration {
        Duration::from_millis(TABLE_PROBE_INTERVAL_MS)
    }

    fn on_event(&mut self, event: WatchEvent) {
        let shared = &self.shared;
        let now_ms = shared.clock.now_ms();
        match event {
            WatchEvent::Put(item) => match self.evacuated_data_centre(&item.key) {
                Some(data_centre) => {
                    let begun = shared
                        .placement()
                        .evacuations_mut()
                        .begin(data_centre, now_ms);
                    if begun {
                        log_begun(data_centre, item.revision.number);
                    }
                }
                None => self.apply_table(&item),
            },
            // The last table stays active.
            WatchEvent::Removed(key) if key == shared.platform.dialect.table_key() => {
                log::error!(key = key.as_str(); "routing table was removed from the store; the last one stays active");
            }
            WatchEvent::Removed(key) => {
                let data_centre = self.evacuated_data_centre(&key);
                if let Some(data_centre) = data_centre
                    && shared
                        .placement()
                        .evacuations_mut()
                        .end(data_centre, now_ms)
                {
                    record_ended(shared, data_centre, "key removed");
                }
            }
        }
    }

    /// Applies evacuations first, so that a router without a table knows them before
    /// it sends the first request.
    fn on_list(&mut self, listing: Listing, cause: ListCause) {
        if self.evacuation.is_some() {
            self.apply_evacuations(&listing, cause.restored_after.is_some());
        }
        for item in &listing.items {
            self.apply_table(item);
        }
    }

    fn on_batch_end(&mut self) {
        if self.evacuation.is_some() {
            count_evacuated(&self.shared);
        }
    }
}
