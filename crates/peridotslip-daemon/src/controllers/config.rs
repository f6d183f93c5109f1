//! Keeps the tables in force in this router.
//!
//! The revision never falls: a head counts only if its revision is higher
//! than the one held, wherever it comes from.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use peridotslip::{config::Head, prelude::*, tables::Index};
use peridotslip_platform::{Store, TableError, TableStore};
use tokio::sync::watch;

use crate::{clock, metrics::Metrics};

/// How long one watch waits, in milliseconds.
const WATCH_MS: u64 = 10_000;
/// Pause after a failed call to the store, in milliseconds.
const RETRY_MS: u64 = 250;

/// A head with all its pages.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) head: Head,
    pub(crate) pages: Arc<HashMap<String, Vec<u8>>>,
}

/// What the controller holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    pub(crate) index: Arc<Index>,
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
        let revision = offer.head.revision;
        if revision <= self.held.borrow().index.revision() {
            return;
        }
        let index = offer
            .head
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
    pub(crate) fn index(&self) -> Arc<Index> {
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

/// Watches the store's head and offers what it finds, forever.
pub(crate) async fn watch_store(
    store: Arc<dyn Store>,
    handle: ConfigHandle,
    metrics: Arc<Metrics>,
) {
    let tables = TableStore::new(store);
    let mut version = 0;
    loop {
        metrics.store_call("watch");
        match tables.watch(version, Duration::from_millis(WATCH_MS)).await {
            Ok(Some((head, found))) => {
                if fetch(&tables, &handle, head, &metrics).await.is_ok() {
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

/// Fetches the pages that are not held yet and offers the whole.
async fn fetch<S: Store>(
    tables: &TableStore<S>,
    handle: &ConfigHandle,
    head: Head,
    metrics: &Metrics,
) -> Result<(), TableError> {
    let held = handle
        .held()
        .offer
        .map(|offer| offer.pages)
        .unwrap_or_default();
    let mut pages = HashMap::new();
    for id in head.page_ids() {
        if pages.contains_key(id) {
            continue;
        }
        let bytes = if let Some(bytes) = held.get(id) {
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
    handle.offer(Offer { head, pages }).await;
    Ok(())
}
