//! The active tables of this router.
//!
//! The active revision never decreases: a snapshot, from the store or a peer,
//! is activated only if its revision is higher than the active one.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use peridotslip::{config::Manifest, prelude::*, tables::TableIndex};
use peridotslip_store::{Store, TableError, TableStore};
use tokio::sync::watch;

use super::members::MembersHandle;
use crate::{
    clock,
    metrics::Metrics,
    peer::{PeerClient, PeerRequest, PeerResponse},
};

/// Longest wait of one watch call to the store, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 10_000;
/// Interval, in milliseconds, at which a router that doesn't watch the store
/// checks whether it has become a watcher.
const IDLE_INTERVAL_MS: u64 = 1_000;
/// Number of idle intervals after which such a router reads the store anyway:
/// half a minute in all.
const MAX_IDLE_INTERVALS: u32 = 30;
/// Longest wait for a peer's manifest or pages, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 3_000;
/// Pause after a failed store call, in milliseconds.
const RETRY_MS: u64 = 250;

/// A manifest with all its pages.
#[derive(Clone, Debug)]
pub(crate) struct ConfigSnapshot {
    pub(crate) manifest: Manifest,
    /// The content of each page, by page id.
    pub(crate) pages: Arc<HashMap<String, Vec<u8>>>,
}

/// The active tables: their index and the snapshot that they were built from,
/// which is `None` before the first activation.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveConfig {
    pub(crate) index: Arc<TableIndex>,
    pub(crate) snapshot: Option<ConfigSnapshot>,
}

/// Validates submitted snapshots and activates newer ones.
#[derive(Actor)]
pub(crate) struct ConfigController {
    active: watch::Sender<ActiveConfig>,
    metrics: Arc<Metrics>,
}

impl Message<ConfigSnapshot> for ConfigController {
    type Reply = ();

    async fn handle(&mut self, snapshot: ConfigSnapshot, _: &mut Context<Self, ()>) {
        self.metrics
            .gauges
            .config_confirmed_ms
            .set(clock::unix_ms());
        let revision = snapshot.manifest.revision;
        if revision <= self.active.borrow().index.revision() {
            return;
        }
        let index = snapshot
            .manifest
            .assemble(&snapshot.pages)
            .map_err(|err| err.to_string());
        let index = index.and_then(|tables| tables.index().map_err(|err| err.to_string()));
        match index {
            Ok(index) => {
                log::info!(revision = revision.value(); "activated the tables");
                self.metrics.gauges.revision.set(revision.value());
                self.active.send_replace(ActiveConfig {
                    index: Arc::new(index),
                    snapshot: Some(snapshot),
                });
            }
            Err(err) => {
                self.metrics.event("config-unusable", 1);
                log::error!(revision = revision.value(); "new tables are invalid; keeping the active revision: {err}");
            }
        }
    }
}

/// A handle to the [`ConfigController`].
#[derive(Clone)]
pub(crate) struct ConfigHandle {
    actor: ActorRef<ConfigController>,
    active: watch::Receiver<ActiveConfig>,
}

impl ConfigHandle {
    /// Starts the controller, without active tables.
    pub(crate) fn spawn(metrics: Arc<Metrics>) -> Self {
        let (tx, rx) = watch::channel(ActiveConfig::default());
        let controller = ConfigController {
            active: tx,
            metrics,
        };
        let actor = ConfigController::spawn_with_mailbox(controller, mailbox::unbounded());
        Self { actor, active: rx }
    }

    /// Returns the index of the active tables.
    pub(crate) fn index(&self) -> Arc<TableIndex> {
        self.active.borrow().index.clone()
    }

    /// Returns the active tables with their snapshot, which peers fetch.
    pub(crate) fn active(&self) -> ActiveConfig {
        self.active.borrow().clone()
    }

    /// Returns the active revision.
    pub(crate) fn revision(&self) -> Revision {
        self.active.borrow().index.revision()
    }

    /// Submits a snapshot from the store or a peer for activation.
    pub(crate) async fn submit(&self, snapshot: ConfigSnapshot) {
        let _ = self.actor.tell(snapshot).await;
    }

    /// Returns a receiver that is notified of each activation.
    pub(crate) fn subscribe(&self) -> watch::Receiver<ActiveConfig> {
        self.active.clone()
    }
}

/// Watches the store's manifest and submits each new snapshot. Never returns.
///
/// To limit the load on the store, only a few routers of each data centre
/// watch it continuously. The others fetch new tables from their peers and
/// read the store only occasionally.
pub(crate) async fn watch_store(
    store: Arc<dyn Store>,
    handle: ConfigHandle,
    members: MembersHandle,
    metrics: Arc<Metrics>,
) {
    let tables = TableStore::new(store);
    let mut version = 0;
    let mut idle_intervals = 0;
    loop {
        let idle = !members.view().is_config_watcher
            && handle.revision().value() > 0
            && idle_intervals < MAX_IDLE_INTERVALS;
        if idle {
            idle_intervals += 1;
            tokio::time::sleep(Duration::from_millis(IDLE_INTERVAL_MS)).await;
            continue;
        }
        idle_intervals = 0;
        metrics.store_call("watch");
        match tables
            .watch(version, Duration::from_millis(WATCH_TIMEOUT_MS))
            .await
        {
            Ok(Some((manifest, new_version))) => {
                if fetch_and_submit(&tables, &handle, manifest, &metrics)
                    .await
                    .is_ok()
                {
                    version = new_version;
                    continue;
                }
            }
            Ok(None) => {
                metrics.gauges.config_confirmed_ms.set(clock::unix_ms());
                continue;
            }
            Err(err) => log::warn!("watching the manifest in the store failed; retrying: {err}"),
        }
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Fetches newer tables from the peers that announce them. Returns once the
/// controller of the fleet membership has stopped.
pub(crate) async fn fetch_newer_revisions(
    client: PeerClient,
    handle: ConfigHandle,
    members: MembersHandle,
    metrics: Arc<Metrics>,
) {
    let mut newer = members.newer_revisions();
    while newer.changed().await.is_ok() {
        let Some((peer, revision)) = newer.borrow_and_update().clone() else {
            continue;
        };
        if revision <= handle.revision() {
            continue;
        }
        match fetch_snapshot(&client, &peer, &handle).await {
            Some(snapshot) => {
                metrics.event("tables-from-peer", 1);
                handle.submit(snapshot).await;
            }
            None => log::debug!("fetching newer tables from {peer} failed"),
        }
    }
}

/// Fetches a peer's manifest and the pages that this router doesn't have.
/// Returns `None` if a call fails, or if the peer has no manifest or a corrupt
/// one.
async fn fetch_snapshot(
    client: &PeerClient,
    address: &str,
    handle: &ConfigHandle,
) -> Option<ConfigSnapshot> {
    let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
    let Ok(PeerResponse::Manifest(Some(manifest))) =
        client.call(address, &PeerRequest::Manifest, timeout).await
    else {
        return None;
    };
    let manifest = Manifest::decode(&manifest).ok()?;
    let cached = handle
        .active()
        .snapshot
        .map(|snapshot| snapshot.pages)
        .unwrap_or_default();
    let missing = |id: &&String| !cached.contains_key(*id);
    let ids: Vec<String> = manifest.page_ids().filter(missing).cloned().collect();
    let request = PeerRequest::Pages { ids };
    let Ok(PeerResponse::Pages(fetched)) = client.call(address, &request, timeout).await else {
        return None;
    };
    let mut pages: HashMap<String, Vec<u8>> = fetched.into_iter().collect();
    for id in manifest.page_ids() {
        if let Some(bytes) = cached.get(id) {
            pages.insert(id.clone(), bytes.clone());
        }
    }
    let pages = Arc::new(pages);
    Some(ConfigSnapshot { manifest, pages })
}

/// Fetches the pages that this router doesn't have from the store and submits
/// the snapshot.
async fn fetch_and_submit<S: Store>(
    tables: &TableStore<S>,
    handle: &ConfigHandle,
    manifest: Manifest,
    metrics: &Metrics,
) -> Result<(), TableError> {
    let cached = handle
        .active()
        .snapshot
        .map(|snapshot| snapshot.pages)
        .unwrap_or_default();
    let mut pages = HashMap::new();
    for id in manifest.page_ids() {
        if pages.contains_key(id) {
            continue;
        }
        let bytes = if let Some(bytes) = cached.get(id) {
            bytes.clone()
        } else {
            metrics.store_call("read");
            tables.page(id).await.inspect_err(|err| {
                log::warn!("fetching a page of the tables from the store failed: {err}");
            })?
        };
        pages.insert(id.clone(), bytes);
    }
    let pages = Arc::new(pages);
    handle.submit(ConfigSnapshot { manifest, pages }).await;
    Ok(())
}
