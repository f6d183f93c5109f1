//! Routers' entries in the store.
//!
//! A VM's entry holds the address and the incarnation of its router. A router
//! writes its entry by compare-and-swap, so that a delayed write can't replace
//! the entry of a later incarnation.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    metrics::Metrics,
    peers::{Peers, RouterInstance, VmProfile},
    ports::{CasOutcome, Item, MetadataStore, StoreEpoch, StoreResult},
};

/// Prefix of the keys of routers' entries. The VM's name follows.
pub(crate) const PREFIX: &str = "peridotslip/members/";
/// Pause after the first failed call, in milliseconds; doubled after each
/// further one.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest pause after a failed call, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;

/// The stored form of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) member: RouterInstance,
    /// The store's epoch when the router started.
    #[serde(default)]
    pub(crate) started_epoch: u64,
    /// Where the VM is and what it has; empty in the entries of releases without
    /// relays.
    #[serde(default)]
    pub(crate) vm: VmProfile,
}

fn key(vm: &str) -> String {
    format!("{PREFIX}{vm}")
}

/// Decodes an entry. Returns `None` if it is invalid, or names another VM than its key.
pub(crate) fn decode(item: &Item) -> Option<Entry> {
    let entry: Entry = serde_json::from_slice(&item.value).ok()?;
    (key(&entry.member.vm) == item.key).then_some(entry)
}

/// Reads the entry of a VM from the store. Returns `None` if there is no valid
/// entry or the store is unavailable.
pub(crate) async fn read(store: &dyn MetadataStore, vm: &str) -> Option<RouterInstance> {
    match store.get(&key(vm)).await {
        Ok(item) => item.as_ref().and_then(decode).map(|entry| entry.member),
        Err(err) => {
            log::warn!(vm, reason = err.to_string().as_str(); "can't read a router's entry");
            None
        }
    }
}

/// Writes this router's entry. Retries until the write succeeds or a read finds
/// the entry in the store. Returns the store's epoch then.
pub(crate) async fn register(
    store: &dyn MetadataStore,
    peers: &Peers,
    metrics: &Metrics,
) -> StoreEpoch {
    let mut backoff_ms = FIRST_BACKOFF_MS;
    loop {
        metrics.store_call("register");
        match register_once(store, peers).await {
            Ok(Some(epoch)) => return epoch,
            Ok(None) => {}
            Err(err) => {
                log::warn!(reason = err.to_string().as_str(); "can't register this router; retrying");
                tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

/// Reads this router's entry and writes it if it differs. Returns the epoch in
/// which the store holds the entry; `None` means that another write came first.
async fn register_once(
    store: &dyn MetadataStore,
    peers: &Peers,
) -> StoreResult<Option<StoreEpoch>> {
    let local = peers.local();
    let key = key(&local.vm);
    let (revision, found) = store.get_for_swap(&key).await?;
    let found_entry = found.as_ref().and_then(decode);
    if let Some(earlier) = found_entry.as_ref().map(|entry| entry.member.incarnation)
        && earlier != local.incarnation
    {
        peers.record_end(earlier);
    }
    let entry = Entry {
        member: local.clone(),
        started_epoch: peers.record_start(revision.epoch.0, found.is_none()),
        vm: peers.local_vm().clone(),
    };
    if found_entry.as_ref() == Some(&entry) {
        return Ok(Some(revision.epoch));
    }
    let value = serde_json::to_vec(&entry)
        .map_err(|err| crate::ports::StoreError::Unreadable(err.to_string()))?;
    match store.compare_and_swap(&key, revision, &value).await? {
        CasOutcome::Done(revision) => Ok(Some(revision.epoch)),
        CasOutcome::Conflict(_) => Ok(None),
    }
}
