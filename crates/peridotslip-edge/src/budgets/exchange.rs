//! The exchange of reports with the ledger records in the store.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use peridotslip::ledger::{Report, ReportReply, ShardRecord};

use super::{
    BudgetManager, ManagedBudget, lock,
    reconcile::{RETENTION_MS, WrittenRecord},
    witness::ReclaimAttempts,
};
use crate::{
    clock::Clock,
    ports::{CasOutcome, Item, Revision, StoreEpoch, StoreError},
};

/// The shortest pause between two exchanges with a record, in milliseconds.
const MIN_EXCHANGE_GAP_MS: u64 = 100;
/// The pause after the first failed exchange, in milliseconds. Each further
/// failure doubles it.
const FIRST_BACKOFF_MS: u64 = 150;
/// The longest pause after a failed exchange, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_200;
/// Pause after the store has rejected a record, in milliseconds. The write succeeds only
/// once entries of the record have expired.
const REJECTED_PAUSE_MS: u64 = 30_000;
/// The largest number of compare-and-swap attempts in one exchange.
const MAX_SWAP_ATTEMPTS: u32 = 6;

/// A record and its revision, if they are known.
pub(super) type CachedRecord = Option<(Revision, ShardRecord)>;

impl BudgetManager {
    /// Exchanges reports with the record of one organisation until the process
    /// ends.
    pub(super) async fn run_exchange_loop(self: Arc<Self>, budget: Arc<ManagedBudget>) {
        let mut cached: CachedRecord = None;
        let mut attempted = ReclaimAttempts::default();
        let mut backoff_ms = FIRST_BACKOFF_MS;
        let mut epoch = self.store.epoch();
        let mut opened_epoch: Option<StoreEpoch> = None;
        self.registered.wait().await;
        loop {
            let interval = Duration::from_millis(self.settings.settle_ms);
            tokio::select! {
                () = budget.refill.notified() => {}
                Ok(()) = epoch.changed() => {}
                () = tokio::time::sleep(interval) => {}
            }
            let refill_policy = self.refill_policy(&budget.organisation);
            budget.lock().ledger.set_refill_policy(refill_policy);
            self.choose_witnesses(&budget).await;
            if self.lacks_witnesses(&budget) {
                tokio::time::sleep(Duration::from_millis(MIN_EXCHANGE_GAP_MS)).await;
                budget.refill.notify_one();
                continue;
            }
            let outcome = self
                .open_and_exchange(&budget, &mut cached, opened_epoch)
                .await;
            if let Some((revision, _)) = &cached {
                opened_epoch = Some(revision.epoch);
            }
            match outcome {
                Ok(contacted) => {
                    if contacted {
                        budget.store_unreachable.store(false, Ordering::Relaxed);
                    }
                    backoff_ms = FIRST_BACKOFF_MS;
                    self.reclaim_dead_grants(&budget, &mut cached, &mut attempted)
                        .await;
                    tokio::time::sleep(Duration::from_millis(MIN_EXCHANGE_GAP_MS)).await;
                }
                Err(err) => {
                    budget.store_unreachable.store(true, Ordering::Relaxed);
                    cached = None;
                    let name = budget.name.as_str();
                    let reason = err.to_string();
                    self.metrics.store_failed();
                    self.transfer_to_owner(&budget).await;
                    if matches!(err, StoreError::Rejected(_)) {
                        log::error!(budget = name, reason = reason.as_str(), retry_ms = REJECTED_PAUSE_MS; "the store rejects the budget's record; its tokens can't be refilled");
                        let pause = Duration::from_millis(REJECTED_PAUSE_MS);
                        tokio::select! {
                            () = tokio::time::sleep(pause) => {}
                            Ok(()) = epoch.changed() => {}
                        }
                        continue;
                    }
                    log::warn!(budget = name, reason = reason.as_str(); "exchange with the store failed; marking the store unreachable");
                    tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
                    backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
                }
            }
        }
    }

    /// Like [`exchange`](Self::exchange), and first makes or reads the record of a
    /// new epoch if this router is the budget's owner. `opened_epoch` is the epoch
    /// of the last record that was read.
    async fn open_and_exchange(
        &self,
        budget: &ManagedBudget,
        cached: &mut CachedRecord,
        opened_epoch: Option<StoreEpoch>,
    ) -> Result<bool, StoreError> {
        let epoch = self.epoch();
        if cached
            .as_ref()
            .is_some_and(|(revision, _)| revision.epoch != epoch)
        {
            *cached = None;
        }
        let restored = opened_epoch.is_some_and(|opened| opened < epoch);
        if restored && self.is_owner(&budget.organisation) {
            *cached = Some(self.open_record(budget).await?);
        }
        self.exchange(budget, cached).await
    }

    /// Sends a report to the record and applies the reply. Returns whether the
    /// store was contacted.
    async fn exchange(
        &self,
        budget: &ManagedBudget,
        cached: &mut CachedRecord,
    ) -> Result<bool, StoreError> {
        let has_open_transfers = budget.lock().ledger.has_open_transfers();
        if has_open_transfers {
            // While the store is unreachable, only received transfers can be
            // spent, so the transfers are closed only right after the store has
            // replied.
            *cached = Some(self.open_record(budget).await?);
        }
        let needs_durable_grant = self.needs_durable_grant(budget);
        if needs_durable_grant {
            // Without a reply of the store, no grant is known to outlast a restore.
            let sent_at = Instant::now();
            *cached = Some(self.open_record(budget).await?);
            self.record_durable_grant(budget, sent_at);
        }
        let (report, transfers) = {
            let mut state = budget.lock();
            if self.epoch() > StoreEpoch::default() {
                state.ledger.set_retention(RETENTION_MS);
            }
            if has_open_transfers {
                state.ledger.close_transfers();
            }
            let transfers = state.ledger.transfer_reports();
            (state.ledger.report(self.clock.now_ms()), transfers)
        };
        if report.is_empty() && transfers.is_empty() {
            return Ok(has_open_transfers || needs_durable_grant);
        }
        for _ in 0..MAX_SWAP_ATTEMPTS {
            let (revision, record) = match cached.take() {
                Some(cached) => cached,
                None => self.open_record(budget).await?,
            };
            let mut next = record;
            let now_ms = Clock::unix_ms();
            let apply = |report| next.apply(report, now_ms);
            let transfer_replies: Vec<ReportReply> = transfers.iter().map(apply).collect();
            let reply = next.apply(&report, now_ms);
            next.expire();
            self.metrics.store_call("swap");
            let key = self.record_key(&budget.organisation, revision.epoch);
            let _write_guard = budget.write_lock.lock().await;
            let sent_at = Instant::now();
            match self
                .store
                .compare_and_swap(&key, revision, &next.encode())
                .await?
            {
                CasOutcome::Done(revision) => {
                    if revision.epoch > StoreEpoch::default() {
                        let record = next.clone();
                        *lock(&budget.written) = Some(WrittenRecord {
                            revision,
                            record,
                            sent_at,
                        });
                    }
                    *cached = Some((revision, next));
                    for reply in &transfer_replies {
                        budget.lock().ledger.accept_transfer_reply(reply);
                    }
                    self.accept(budget, &report, &reply);
                    self.record_durable_grant(budget, sent_at);
                    return Ok(true);
                }
                CasOutcome::Conflict(item) => {
                    *cached = item.as_ref().map(decode_record).transpose()?;
                    log::info!(budget = budget.name.as_str(), revision = revision.number; "another router has changed the record; retrying with its version");
                }
            }
        }
        Err(StoreError::Unavailable(
            "too many conflicting writes".to_owned(),
        ))
    }

    /// Applies the record's reply to `report`, and wakes the requests that wait
    /// for tokens if the grant was updated.
    fn accept(&self, budget: &ManagedBudget, report: &Report, reply: &ReportReply) {
        let mut state = budget.lock();
        state.ledger.accept(reply);
        if state.ledger.witness_set_confirmed() {
            lock(&budget.witnesses).confirm_newest();
        }
        if let Some(grant) = reply.grants.first() {
            log::info!(
                budget = budget.name.as_str(),
                paid = grant.paid,
                granted = grant.granted,
                free = grant.free,
                others = grant.held_by_others,
                settled = report.settlements.len(),
                spendable = state.ledger.spendable(&budget.name);
                "grant updated"
            );
            state.reply = Some(grant.clone());
            state.reply_count += 1;
            state.replied_at_ms = self.clock.now_ms();
            drop(state);
            budget.refilled.notify_waiters();
        }
    }

    /// Returns unspent tokens to the store. Tokens that could not be returned,
    /// for instance because the store is unreachable, are transferred to other
    /// routers. Call this only when no request is running.
    pub(crate) async fn close(self: &Arc<Self>, limit: Duration) {
        let budgets: Vec<_> = lock(&self.budgets).values().cloned().collect();
        let deadline = tokio::time::Instant::now() + limit;
        for budget in budgets {
            let mut cached = None;
            let refill_policy = self.refill_policy(&budget.organisation);
            budget.lock().ledger.set_refill_policy(refill_policy);
            let closing = self.exchange(&budget, &mut cached);
            if !matches!(tokio::time::timeout_at(deadline, closing).await, Ok(Ok(_))) {
                log::warn!(budget = budget.name.as_str(); "last exchange with the store failed; transferring the tokens to other routers");
            }
        }
        self.transfer_all().await;
    }
}

pub(super) fn decode_record(item: &Item) -> Result<(Revision, ShardRecord), StoreError> {
    let record =
        ShardRecord::decode(&item.value).map_err(|err| StoreError::Unreadable(err.to_string()))?;
    Ok((item.revision, record))
}
