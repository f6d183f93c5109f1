//! The epochs of the store and the keys of the records of each.
//!
//! The first epoch in which routers run, which a key in the store names, and each
//! later one have records under keys of their own. So a write of an earlier epoch
//! that takes effect late can't change what a later epoch decides by.

use std::time::Duration;

use peridotslip::{ids::OrganisationName, ledger::ShardRecord};

use super::{BudgetManager, ManagedBudget, exchange::decode_record};
use crate::ports::{CasOutcome, Item, Revision, StoreEpoch, StoreError, StoreResult, bounded_key};

/// Prefix of the keys of records of the first epoch. The organisation's name
/// follows.
const FIRST_PREFIX: &str = "peridotslip/ledger/";
/// Prefix of the keys of records of later epochs. The organisation's name and the
/// epoch follow.
const LATER_PREFIX: &str = "peridotslip/ledgers/";
/// The key that holds the number of the first epoch.
const FIRST_EPOCH_KEY: &str = "peridotslip/first-epoch";
/// Pause after the first failed call to the store, in milliseconds; doubled after
/// each further one.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest pause after a failed call to the store, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;
fn first_record_key(organisation: &OrganisationName) -> String {
    bounded_key(FIRST_PREFIX, organisation.as_str(), "")
}

/// Returns the key of the record of a later epoch.
fn later_record_key(organisation: &OrganisationName, epoch: u64) -> String {
    // Fixed width, so that the keys are in the order of the epochs.
    bounded_key(
        LATER_PREFIX,
        organisation.as_str(),
        &format!("/{epoch:020}"),
    )
}

fn decode_epoch(item: &Item) -> StoreResult<StoreEpoch> {
    let text = std::str::from_utf8(&item.value).ok();
    let epoch = text.and_then(|text| text.parse().ok()).map(StoreEpoch);
    epoch.ok_or_else(|| StoreError::Unreadable("invalid number of the first epoch".to_owned()))
}

/// A record of an earlier epoch that a new one is made from.
pub(super) struct EarlierRecord {
    pub(super) epoch: u64,
    pub(super) revision: u64,
    pub(super) record: ShardRecord,
    /// Time since the write was sent, in milliseconds; `None` if it is unknown.
    pub(super) age_ms: Option<u64>,
}

impl BudgetManager {
    /// Returns the store's epoch; 0 if the store names none.
    pub(super) fn epoch(&self) -> StoreEpoch {
        *self.store.epoch().borrow()
    }

    /// Returns the key of a budget's record in an epoch.
    pub(super) fn record_key(&self, organisation: &OrganisationName, epoch: StoreEpoch) -> String {
        let first_epoch = self.first_epoch.get().copied().unwrap_or_default();
        if epoch == first_epoch {
            return first_record_key(organisation);
        }
        later_record_key(organisation, epoch.0)
    }

    /// Reads the number of the first epoch, or writes it if this is the first
    /// epoch.
    pub(super) async fn read_first_epoch(&self) -> StoreResult<StoreEpoch> {
        if let Some(first_epoch) = self.first_epoch.get() {
            return Ok(*first_epoch);
        }
        if self.epoch() == StoreEpoch::default() {
            return Ok(StoreEpoch::default());
        }
        self.metrics.store_call("get");
        let (revision, found) = self.store.get_for_swap(FIRST_EPOCH_KEY).await?;
        let first_epoch = match found {
            Some(item) => decode_epoch(&item)?,
            // Routers that know the number write it again after a restore.
            None if self.peers.any_started_before(revision.epoch) => {
                let reason = "the number of the first epoch is not known yet";
                return Err(StoreError::Unavailable(reason.to_owned()));
            }
            None => self.write_first_epoch(revision, revision.epoch).await?,
        };
        Ok(*self.first_epoch.get_or_init(|| first_epoch))
    }

    async fn write_first_epoch(
        &self,
        revision: Revision,
        first_epoch: StoreEpoch,
    ) -> StoreResult<StoreEpoch> {
        self.metrics.store_call("swap");
        let value = first_epoch.0.to_string();
        let written = self
            .store
            .compare_and_swap(FIRST_EPOCH_KEY, revision, value.as_bytes());
        match written.await? {
            CasOutcome::Done(_) => Ok(first_epoch),
            CasOutcome::Conflict(Some(item)) => decode_epoch(&item),
            CasOutcome::Conflict(None) => Err(StoreError::Restored),
        }
    }

    /// Writes the number of the first epoch again if a restore has removed it.
    pub(crate) async fn restore_first_epoch(&self) {
        let Some(first_epoch) = self.first_epoch.get() else {
            return;
        };
        let mut pause = Duration::from_millis(FIRST_BACKOFF_MS);
        loop {
            self.metrics.store_call("get");
            let restored = match self.store.get_for_swap(FIRST_EPOCH_KEY).await {
                Ok((_, Some(_))) => return,
                Ok((revision, None)) => self.write_first_epoch(revision, *first_epoch).await,
                Err(err) => Err(err),
            };
            let Err(err) = restored else {
                return;
            };
            log::warn!(reason = err.to_string().as_str(); "can't write the number of the first epoch again; retrying");
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(Duration::from_millis(MAX_BACKOFF_MS));
        }
    }

    /// Returns the newest record of an earlier epoch in the store.
    pub(super) async fn newest_stored_record(
        &self,
        budget: &ManagedBudget,
        epoch: StoreEpoch,
    ) -> StoreResult<Option<EarlierRecord>> {
        self.metrics.store_call("list");
        let mut prefix = later_record_key(&budget.organisation, 0);
        prefix.truncate(prefix.rfind('/').map_or(0, |slash| slash + 1));
        let listing = self.store.list(&prefix).await?;
        let newest = listing.items.iter().rev().find_map(|item| {
            let written_in = item.key.strip_prefix(&prefix)?.parse().ok()?;
            (written_in < epoch.0).then_some((written_in, item.clone()))
        });
        let (written_in, item) = if let Some(newest) = newest {
            newest
        } else {
            self.metrics.store_call("get");
            let first_key = first_record_key(&budget.organisation);
            let Some(item) = self.store.get(&first_key).await? else {
                return Ok(None);
            };
            let first_epoch = self.first_epoch.get().copied().unwrap_or_default();
            (first_epoch.0, item)
        };
        let (revision, record) = decode_record(&item)?;
        Ok(Some(EarlierRecord {
            epoch: written_in,
            revision: revision.number,
            record,
            age_ms: None,
        }))
    }
}
