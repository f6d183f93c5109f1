//! Exchanging reports with the ledger records in the store.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use peridotslip::ledger::{Report, ReportReply, ShardRecord};

use super::{Account, BudgetManager, lock};
use crate::{
    clock::Clock,
    ports::{CasOutcome, Item, StoreError},
};

/// Shortest time between two exchanges with a record, in milliseconds.
const MIN_EXCHANGE_GAP_MS: u64 = 100;
/// First pause after a failed exchange, in milliseconds; doubled each time.
const FIRST_BACKOFF_MS: u64 = 150;
/// Longest pause after failed exchanges, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_200;
/// Swaps tried in one exchange.
const MAX_SWAPS: u32 = 6;

/// A record and its revision.
pub(super) type Known = Option<(u64, ShardRecord)>;

impl BudgetManager {
    /// Exchanges reports with one organisation's record until the process
    /// ends.
    pub(super) async fn keep_account(self: Arc<Self>, account: Arc<Account>) {
        let mut known: Known = None;
        let mut backoff_ms = FIRST_BACKOFF_MS;
        self.registered.wait().await;
        loop {
            let pace = Duration::from_millis(self.settings.settle_ms);
            let _paced = tokio::time::timeout(pace, account.refill.notified()).await;
            let refill_policy = self.refill_policy(&account.organisation);
            account.lock().ledger.set_refill_policy(refill_policy);
            self.choose_witnesses(&account).await;
            let outcome = self.exchange(&account, &mut known).await;
            match outcome {
                Ok(talked) => {
                    if talked {
                        account.cut_off.store(false, Ordering::Relaxed);
                    }
                    backoff_ms = FIRST_BACKOFF_MS;
                    self.release_dead(&account, &mut known).await;
                    tokio::time::sleep(Duration::from_millis(MIN_EXCHANGE_GAP_MS)).await;
                }
                Err(err) => {
                    account.cut_off.store(true, Ordering::Relaxed);
                    known = None;
                    let budget = account.budget.as_str();
                    log::warn!(budget, reason = err.to_string().as_str(); "budget could not be exchanged with the store");
                    self.metrics.store_failed();
                    self.pass_to_owner(&account).await;
                    tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
                    backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
                }
            }
        }
    }

    /// Tells the record what has changed and takes in its reply. Returns
    /// whether the store was asked at all.
    async fn exchange(&self, account: &Account, known: &mut Known) -> Result<bool, StoreError> {
        let has_transfers = account.lock().ledger.has_open_transfers();
        if has_transfers {
            // While the store is away, borrowed tokens are what is spent, so
            // they are closed only right after it has answered.
            *known = Some(self.read_record(&account.key).await?);
        }
        let (report, transfers) = {
            let mut state = account.lock();
            if has_transfers {
                state.ledger.close_transfers();
            }
            let transfers = state.ledger.transfer_reports();
            (state.ledger.report(self.clock.now_ms()), transfers)
        };
        if report.is_empty() && transfers.is_empty() {
            return Ok(has_transfers);
        }
        for _ in 0..MAX_SWAPS {
            let (revision, record) = match known.take() {
                Some(known) => known,
                None => self.read_record(&account.key).await?,
            };
            let mut next = record;
            let now_ms = Clock::unix_ms();
            let apply = |report| next.apply(report, now_ms);
            let transfer_replies: Vec<ReportReply> = transfers.iter().map(apply).collect();
            let reply = next.apply(&report, now_ms);
            next.expire();
            self.metrics.store_call("swap");
            match self
                .store
                .compare_and_swap(&account.key, revision, &next.encode())
                .await?
            {
                CasOutcome::Done(revision) => {
                    *known = Some((revision, next));
                    for reply in &transfer_replies {
                        account.lock().ledger.accept_transfer_reply(reply);
                    }
                    self.accept(account, &report, &reply);
                    return Ok(true);
                }
                CasOutcome::Conflict(item) => {
                    *known = item.as_ref().map(decode_record).transpose()?;
                    log::info!(budget = account.budget.as_str(), revision; "record was changed by another router");
                }
            }
        }
        Err(StoreError::Unavailable("too many conflicts".to_owned()))
    }

    fn accept(&self, account: &Account, report: &Report, reply: &ReportReply) {
        let mut state = account.lock();
        state.ledger.accept(reply);
        if state.ledger.witness_set_confirmed() {
            lock(&account.witnesses).confirm_newest();
        }
        if let Some(grant) = reply.grants.first() {
            log::info!(
                budget = account.budget.as_str(),
                paid = grant.paid,
                granted = grant.granted,
                free = grant.free,
                others = grant.held_by_others,
                settled = report.settlements.len(),
                spendable = state.ledger.spendable(&account.budget);
                "grant renewed"
            );
            state.reply = Some(grant.clone());
            state.replies += 1;
            state.replied_ms = self.clock.now_ms();
            drop(state);
            account.refilled.notify_waiters();
        }
    }

    async fn read_record(&self, key: &str) -> Result<(u64, ShardRecord), StoreError> {
        self.metrics.store_call("get");
        match self.store.get(key).await? {
            Some(item) => decode_record(&item),
            None => Ok((0, ShardRecord::default())),
        }
    }

    /// Gives back what is not spent: to the store, or to other routers if it
    /// is away. Call it when no request is running any more.
    pub(crate) async fn close(self: &Arc<Self>, limit: Duration) {
        let accounts: Vec<_> = lock(&self.accounts).values().cloned().collect();
        let until = tokio::time::Instant::now() + limit;
        for account in accounts {
            let mut known = None;
            let refill_policy = self.refill_policy(&account.organisation);
            account.lock().ledger.set_refill_policy(refill_policy);
            let closing = self.exchange(&account, &mut known);
            if !matches!(tokio::time::timeout_at(until, closing).await, Ok(Ok(_))) {
                log::warn!(budget = account.budget.as_str(); "grant could not be settled with the store");
            }
        }
        self.hand_over().await;
    }
}

fn decode_record(item: &Item) -> Result<(u64, ShardRecord), StoreError> {
    let record =
        ShardRecord::decode(&item.value).map_err(|err| StoreError::Unreadable(err.to_string()))?;
    Ok((item.revision, record))
}
