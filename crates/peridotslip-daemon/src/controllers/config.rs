//! Keeps the tables in force in this router.
//!
//! The revision never falls: a manifest counts only if its revision is higher
//! than the one held, wherever it comes from.

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

/// How long one watch waits, in milliseconds.
const WATCH_MS: u64 = 10_000;
/// How long a router that is not a watcher rests, and how often, before it
/// looks at the store: half a minute in all.
const REST_MS: u64 = 1_000;
const MAX_RESTS: u32 = 30;
/// Longest wait for a peer's tables, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 3_000;
/// Pause after a failed call to the store, in milliseconds.
const RETRY_MS: u64 = 250;

/// A manifest with all its pages.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) manifest: Manifest,
    pub(crate) pages: Arc<HashMap<String, Vec<u8>>>,
}

/// What the controller holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    pub(crate) index: Arc<TableIndex>,
    pub(crate) offer: Option<Offer>,
}

/// Decides which tables are in force.
#[derive(Actor)]
pub(crate) struct ConfigController {
    held: watch::Sender<Held>,
    metrics: Arc<Metrics>,
}

impl Message<Offer> for ConfigController {
    type Reply = ();

    async fn handle(&mut self, offer: Offer, _: &mut Context<Self, ()>) {
        self.metrics
            .gauges
            .config_confirmed_ms
            .set(clock::unix_ms());
        let revision = offer.manifest.revision;
        if revision <= self.held.borrow().index.revision() {
            return;
        }
        let index = offer
            .manifest
            .assemble(&offer.pages)
            .map_err(|err| err.to_string());
        let index = index.and_then(|tables| tables.index().map_err(|err| err.to_string()));
        match index {
            Ok(index) => {
                log::info!(revision = revision.value(); "tables in force");
                self.metrics.gauges.revision.set(revision.value());
                self.held.send_replace(Held {
                    index: Arc::new(index),
                    offer: Some(offer),
                });
            }
            Err(err) => {
                self.metrics.event("config-unusable", 1);
                log::error!(revision = revision.value(); "tables kept as they were: {err}");
            }
        }
    }
}

/// A handle to the [`ConfigController`].
#[derive(Clone)]
pub(crate) struct ConfigHandle {
    actor: ActorRef<ConfigController>,
    held: watch::Receiver<Held>,
}

impl ConfigHandle {
    pub(crate) fn spawn(metrics: Arc<Metrics>) -> Self {
        let (tx, rx) = watch::channel(Held::default());
        let controller = ConfigController { held: tx, metrics };
        let actor = ConfigController::spawn_with_mailbox(controller, mailbox::unbounded());
        Self { actor, held: rx }
    }

    /// The tables in force.
    pub(crate) fn index(&self) -> Arc<TableIndex> {
        self.held.borrow().index.clone()
    }

    /// Everything held, for peers.
    pub(crate) fn held(&self) -> Held {
        self.held.borrow().clone()
    }

    /// The revision in force.
    pub(crate) fn revision(&self) -> Revision {
        self.held.borrow().index.revision()
    }

    /// Offers tables from the store or a peer.
    pub(crate) async fn offer(&self, offer: Offer) {
        let _ = self.actor.tell(offer).await;
    }

    /// A receiver that tells of each change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Held> {
        self.held.clone()
    }
}

/// Watches the store's manifest and offers what it finds, forever.
///
/// Only a few routers of each data centre watch all the time, to save the
/// store's calls; the others hear of new tables from their peers and look at
/// the store now and then.
pub(crate) async fn watch_store(
    store: Arc<dyn Store>,
    handle: ConfigHandle,
    members: MembersHandle,
    metrics: Arc<Metrics>,
) {
    let tables = TableStore::new(store);
    let mut version = 0;
    let mut rests = 0;
    loop {
        let rest = !members.view().watches && handle.revision().value() > 0 && rests < MAX_RESTS;
        if rest {
            rests += 1;
            tokio::time::sleep(Duration::from_millis(REST_MS)).await;
            continue;
        }
        rests = 0;
        metrics.store_call("watch");
        match tables.watch(version, Duration::from_millis(WATCH_MS)).await {
            Ok(Some((manifest, found))) => {
                if fetch(&tables, &handle, manifest, &metrics).await.is_ok() {
                    version = found;
                    continue;
                }
            }
            Ok(None) => {
                metrics.gauges.config_confirmed_ms.set(clock::unix_ms());
                continue;
            }
            Err(err) => log::warn!("the head can't be watched: {err}"),
        }
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Fetches newer tables from the peers that have them, forever.
pub(crate) async fn follow_peers(
    client: PeerClient,
    handle: ConfigHandle,
    members: MembersHandle,
    metrics: Arc<Metrics>,
) {
    let mut newer = members.newer();
    while newer.changed().await.is_ok() {
        let Some((peer, revision)) = newer.borrow_and_update().clone() else {
            continue;
        };
        if revision <= handle.revision() {
            continue;
        }
        match fetch_from_peer(&client, &peer, &handle).await {
            Some(offer) => {
                metrics.event("tables-from-peer", 1);
                handle.offer(offer).await;
            }
            None => log::debug!("newer tables could not be fetched from {peer}"),
        }
    }
}

async fn fetch_from_peer(
    client: &PeerClient,
    address: &str,
    handle: &ConfigHandle,
) -> Option<Offer> {
    let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
    let Ok(PeerResponse::Head(Some(manifest))) =
        client.call(address, &PeerRequest::Head, timeout).await
    else {
        return None;
    };
    let manifest = Manifest::decode(&manifest).ok()?;
    let known = handle
        .held()
        .offer
        .map(|offer| offer.pages)
        .unwrap_or_default();
    let missing = |id: &&String| !known.contains_key(*id);
    let ids: Vec<String> = manifest.page_ids().filter(missing).cloned().collect();
    let request = PeerRequest::Pages { ids };
    let Ok(PeerResponse::Pages(fetched)) = client.call(address, &request, timeout).await else {
        return None;
    };
    let mut pages: HashMap<String, Vec<u8>> = fetched.into_iter().collect();
    for id in manifest.page_ids() {
        if let Some(bytes) = known.get(id) {
            pages.insert(id.clone(), bytes.clone());
        }
    }
    let pages = Arc::new(pages);
    Some(Offer { manifest, pages })
}

/// Fetches the pages that are not known yet and offers the whole.
async fn fetch<S: Store>(
    tables: &TableStore<S>,
    handle: &ConfigHandle,
    manifest: Manifest,
    metrics: &Metrics,
) -> Result<(), TableError> {
    let known = handle
        .held()
        .offer
        .map(|offer| offer.pages)
        .unwrap_or_default();
    let mut pages = HashMap::new();
    for id in manifest.page_ids() {
        if pages.contains_key(id) {
            continue;
        }
        let bytes = if let Some(bytes) = known.get(id) {
            bytes.clone()
        } else {
            metrics.store_call("read");
            tables.page(id).await.inspect_err(|err| {
                log::warn!("a page can't be fetched: {err}");
            })?
        };
        pages.insert(id.clone(), bytes);
    }
    let pages = Arc::new(pages);
    handle.offer(Offer { manifest, pages }).await;
    Ok(())
}
