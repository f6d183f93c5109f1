//! Registers the software versions of servers in the store, in the order in which
//! routers first see them, and the services that routes forward streams to.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use peridotslip::forwarding::{HistorySource, RoutingRule, ServerVersion, StoredHistory};
use tokio::time::Instant;

use crate::{
    context::SharedState,
    ports::{CasOutcome, Item, Revision, StoreEpoch, StoreError, StoreResult, bounded_key},
    registry,
    stream_origins::stream_services_history,
};

/// Prefix of the keys of histories. The history's name follows: a service's name, or
/// that of [`stream_services_history`].
const PREFIX: &str = "peridotslip/versions/";
/// How long after a restore of the store an earlier write may take effect, in
/// milliseconds.
const LATE_WRITE_MS: u64 = 10_000;
/// How long a router that follows others leaves a new version to its relays, in
/// milliseconds, so that it finds the version registered.
const RELAYS_FIRST_MS: u64 = 300;
/// Pause after the first failed call to the store, in milliseconds; doubled after
/// each further one.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest pause after a failed call to the store, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;

/// A history that lacks versions or descriptions which are in use, and these.
type Missing = (String, Vec<ServerVersion>);

/// Registers the versions of servers in the store until the process ends.
pub(crate) async fn register_versions(shared: Arc<SharedState>) {
    // A router that reads a second version then finds the entries of all witnesses
    // that have read the first one only.
    shared.budgets.wait_registered().await;
    let mut epoch = shared.platform.store.epoch();
    let mut check_again_at: Option<Instant> = None;
    let mut registrar = Registrar::default();
    loop {
        if shared.feeds.is_follower() && !unregistered(&shared).is_empty() {
            tokio::time::sleep(Duration::from_millis(RELAYS_FIRST_MS)).await;
        }
        registrar
            .register_all(&shared, || unregistered(&shared))
            .await;
        let check_again = async {
            match check_again_at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = shared.origins.wait_for_servers_changed() => {}
            Ok(()) = epoch.changed() => {
                register_known_versions(&shared, &mut registrar).await;
                // A write that was sent before the restore may still replace a
                // history.
                check_again_at = Some(Instant::now() + Duration::from_millis(LATE_WRITE_MS));
            }
            () = check_again => {
                register_known_versions(&shared, &mut registrar).await;
                check_again_at = None;
            }
        }
    }
}

/// Adds all known versions to the histories in the store, from which a restore
/// may have removed them.
async fn register_known_versions(shared: &SharedState, registrar: &mut Registrar) {
    let services = shared.origins.services().into_iter();
    let mut left: Vec<Missing> = services
        .map(|service| {
            let versions = shared.origins.versions(&service);
            (service, versions)
        })
        .collect();
    while !left.is_empty() {
        left = registrar.register_each(shared, left).await;
        registrar.pause(&left).await;
    }
}

/// Registers several histories, of which some may fail.
#[derive(Default)]
struct Registrar {
    /// Histories that the store never accepts, each with what was to be added.
    rejected: BTreeSet<Missing>,
    /// Histories whose last call failed, each with the number of the failure. They go last
    /// and in this order, so that a call that always fails delays no other.
    failed: BTreeMap<String, u64>,
    failures: u64,
    backoff_ms: u64,
}

impl Registrar {
    /// Registers what `missing` returns until nothing is left that the store may accept.
    async fn register_all(&mut self, shared: &SharedState, missing: impl Fn() -> Vec<Missing>) {
        loop {
            let mut left = missing();
            self.rejected.retain(|entry| left.contains(entry));
            left.retain(|entry| !self.rejected.contains(entry));
            if left.is_empty() {
                return;
            }
            let failed = self.register_each(shared, left).await;
            self.pause(&failed).await;
        }
    }

    /// Registers each history once, until a call fails. Returns those that are left.
    async fn register_each(
        &mut self,
        shared: &SharedState,
        mut missing: Vec<Missing>,
    ) -> Vec<Missing> {
        missing.sort_by_key(|(history, _)| self.failed.get(history).copied());
        let mut missing = missing.into_iter();
        while let Some((history, versions)) = missing.next() {
            match register(shared, &history, &versions).await {
                Ok(()) => {
                    self.failed.remove(&history);
                }
                Err(err @ StoreError::Rejected(_)) => {
                    self.failed.remove(&history);
                    log::error!(service = history.as_str(), reason = err.to_string().as_str(); "can't register server versions; new ones get no streams");
                    self.rejected.insert((history, versions));
                }
                Err(err) => {
                    shared.metrics.store_failed();
                    log::warn!(service = history.as_str(), reason = err.to_string().as_str(); "can't register server versions; new ones get no streams until a retry succeeds");
                    self.failures += 1;
                    self.failed.insert(history.clone(), self.failures);
                    let mut left: Vec<Missing> = missing.collect();
                    left.push((history, versions));
                    return left;
                }
            }
        }
        Vec::new()
    }

    /// Waits before the next attempt, if histories are left of the last one.
    async fn pause(&mut self, left: &[Missing]) {
        if left.is_empty() {
            self.backoff_ms = 0;
            self.failed.clear();
            return;
        }
        self.backoff_ms = (self.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
        tokio::time::sleep(Duration::from_millis(self.backoff_ms)).await;
    }
}

/// Returns whether this router knows a table and servers, and has read the histories of
/// all versions and stream services that are in use.
pub(crate) fn are_histories_read(shared: &SharedState) -> bool {
    let has_servers = !shared.placement().is_empty();
    shared.index().version() > 0 && has_servers && unregistered(shared).is_empty()
}

/// Returns the histories that lack versions or descriptions which are in use.
fn unregistered(shared: &SharedState) -> Vec<Missing> {
    let mut missing = unregistered_services(shared);
    missing.extend(unregistered_versions(shared));
    missing
}

/// Returns the histories of hosts' streams that lack the services of the active table,
/// each with their description.
fn unregistered_services(shared: &SharedState) -> Vec<Missing> {
    let index = shared.index();
    let hosts = index.stream_services().iter();
    hosts
        .map(|(host, services)| (stream_services_history(host), services))
        .filter(|(history, services)| !shared.origins.permits(history, services))
        .map(|(history, services)| (history, vec![services.clone()]))
        .collect()
}

/// Returns the services with resumable streams that have servers of unregistered
/// versions, each with these versions.
fn unregistered_versions(shared: &SharedState) -> Vec<Missing> {
    let index = shared.index();
    let routes = index.table().routes.iter().filter(|route| resumable(route));
    let services: BTreeSet<&str> = routes
        .flat_map(|route| &route.weighted_services)
        .map(|(service, _)| service.as_str())
        .collect();
    let missing_of = |service: &str| {
        let placement = shared.placement();
        let versions = placement.versions(service).into_iter();
        let missing: Vec<ServerVersion> = versions
            .filter(|version| !shared.origins.permits(service, version))
            .map(ToOwned::to_owned)
            .collect();
        (!missing.is_empty()).then(|| (service.to_owned(), missing))
    };
    services.into_iter().filter_map(missing_of).collect()
}

fn resumable(route: &RoutingRule) -> bool {
    route.streaming && route.resumable
}

/// Adds versions to a service's history in the store, and applies the history. Also
/// replaces a value that is unreadable, or longer than it has to be.
async fn register(
    shared: &SharedState,
    service: &str,
    versions: &[ServerVersion],
) -> StoreResult<()> {
    let store = &shared.platform.store;
    let key = bounded_key(PREFIX, service, "");
    shared.metrics.store_call("versions");
    let (mut revision, mut item) = store.get_for_swap(&key).await?;
    loop {
        let found = decode_or_replace(service, item.as_ref());
        let stored = found.history.history();
        let mut history = stored.clone();
        let added = versions
            .iter()
            .filter(|version| history.add(version))
            .count();
        if added > 0 || found.must_be_replaced {
            let value = serde_json::to_vec(&history)
                .map_err(|err| StoreError::Rejected(err.to_string()))?;
            shared.metrics.store_call("versions");
            match store.compare_and_swap(&key, revision, &value).await {
                Ok(CasOutcome::Done(_)) => {}
                Ok(CasOutcome::Conflict(current)) => {
                    revision = current
                        .as_ref()
                        .map_or(Revision::absent(revision.epoch), |item| item.revision);
                    item = current;
                    continue;
                }
                Err(err) => {
                    log::warn!(service, bytes = value.len(), versions = history.versions().len(), reason = err.to_string().as_str(); "can't write a history of server versions");
                    return Err(err);
                }
            }
        }
        let known = shared.origins.versions(service).len();
        if history.has_several() && known <= 1 {
            add_witnesses(shared).await?;
        }
        let stored_bytes = item.as_ref().map_or(0, |item| item.value.len());
        log::info!(service, versions:? = history.versions(), stored = found.history.len(), stored_bytes, replaced = found.must_be_replaced, epoch = revision.epoch.0; "server versions registered");
        let source = source(revision.epoch);
        shared
            .origins
            .set_history(service, &stored, &history, source);
        return Ok(());
    }
}

/// Adds all routers in the store to the known ones, before streams of a second version
/// are recorded: a witness that has read the first version only has an entry by now.
async fn add_witnesses(shared: &SharedState) -> StoreResult<()> {
    shared.metrics.store_call("list");
    let listing = shared.platform.store.list(registry::PREFIX).await?;
    for entry in listing.items.iter().filter_map(registry::decode) {
        if !shared.peers.knows(&entry.member.vm) {
            shared.peers.insert(entry);
        }
    }
    Ok(())
}

/// Returns what a history proves that was read in `epoch`.
fn source(epoch: StoreEpoch) -> HistorySource {
    if epoch == StoreEpoch::default() {
        HistorySource::Complete
    } else {
        HistorySource::Restored
    }
}

fn decode(item: Option<&Item>) -> StoreResult<StoredHistory> {
    let Some(item) = item else {
        return Ok(StoredHistory::default());
    };
    serde_json::from_slice(&item.value).map_err(|err| StoreError::Unreadable(err.to_string()))
}

/// A history that was read to be written again.
struct FoundHistory {
    history: StoredHistory,
    must_be_replaced: bool,
}

/// Decodes a history. An unreadable one may have had any versions, which is what its
/// replacement says.
fn decode_or_replace(service: &str, item: Option<&Item>) -> FoundHistory {
    match (decode(item), item) {
        (Err(err), Some(item)) => {
            log::error!(service, bytes = item.value.len(), reason = err.to_string().as_str(); "unreadable history of server versions; replacing it");
            FoundHistory {
                history: StoredHistory::unreadable(&item.value),
                must_be_replaced: true,
            }
        }
        (decoded, _) => {
            let history = decoded.unwrap_or_default();
            FoundHistory {
                must_be_replaced: history.has_surplus(),
                history,
            }
        }
    }
}

/// Reads the only version that has ever served a service. Returns `None` if there
/// are several, if a restore may have removed some, or if the store is unavailable.
pub(crate) async fn read_only_version(
    shared: &SharedState,
    service: &str,
) -> Option<ServerVersion> {
    let several = shared.origins.has_several_versions(service);
    if several || !shared.store_availability.is_available() {
        return None;
    }
    shared.metrics.store_call("versions");
    let store = &shared.platform.store;
    let item = store.get(&bounded_key(PREFIX, service, "")).await;
    let decoded = item.and_then(|item| {
        let epoch = item.as_ref().map(|item| item.revision.epoch);
        Ok((decode(item.as_ref())?.history(), epoch))
    });
    match decoded {
        Ok((history, Some(epoch))) if source(epoch) == HistorySource::Complete => {
            history.only().cloned()
        }
        Ok(_) => None,
        Err(err) => {
            log::warn!(service, reason = err.to_string().as_str(); "can't read the server versions of a service");
            None
        }
    }
}
