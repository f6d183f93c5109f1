//! Routers' entries in the store.
//!
//! An entry names the run of the router on a VM. It is written by a swap, so
//! that a write which takes effect late can't replace a later run's entry.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    metrics::Metrics,
    peers::RouterInstance,
    ports::{CasOutcome, Item, MetadataStore, StoreResult},
};

/// Keys of routers' entries begin with this; the VM's name follows.
pub(crate) const PREFIX: &str = "peridotslip/members/";
/// First pause after a failed call, in milliseconds; doubled each time.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest pause after failed calls, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;

/// An entry as it is stored.
#[derive(Serialize, Deserialize)]
struct Entry {
    member: RouterInstance,
}

fn key(vm: &str) -> String {
    format!("{PREFIX}{vm}")
}

/// Reads an entry; `None` if it is not one.
pub(crate) fn decode(item: &Item) -> Option<RouterInstance> {
    let entry: Entry = serde_json::from_slice(&item.value).ok()?;
    Some(entry.member)
}

/// The entry of a VM as the store has it now; `None` if it can't be had.
pub(crate) async fn read(store: &dyn MetadataStore, vm: &str) -> Option<RouterInstance> {
    match store.get(&key(vm)).await {
        Ok(item) => item.as_ref().and_then(decode),
        Err(err) => {
            log::warn!(vm, reason = err.to_string().as_str(); "a router's entry can't be had");
            None
        }
    }
}

/// Writes this router's entry until the store certainly has it.
pub(crate) async fn register(store: &dyn MetadataStore, local: &RouterInstance, metrics: &Metrics) {
    let mut backoff_ms = FIRST_BACKOFF_MS;
    loop {
        metrics.store_call("register");
        match register_once(store, local).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(err) => {
                log::warn!(reason = err.to_string().as_str(); "this router could not be registered yet");
                tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

async fn register_once(store: &dyn MetadataStore, local: &RouterInstance) -> StoreResult<bool> {
    let key = key(&local.vm);
    let found = store.get(&key).await?;
    if found.as_ref().and_then(decode).as_ref() == Some(local) {
        return Ok(true);
    }
    let revision = found.map_or(0, |item| item.revision);
    let entry = Entry {
        member: local.clone(),
    };
    let value = serde_json::to_vec(&entry)
        .map_err(|err| crate::ports::StoreError::Unreadable(err.to_string()))?;
    Ok(matches!(
        store.compare_and_swap(&key, revision, &value).await?,
        CasOutcome::Done(_)
    ))
}
