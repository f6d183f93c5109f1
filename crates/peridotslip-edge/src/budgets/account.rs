//! One organisation's budget at this router.

use std::{
    sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Instant,
};

use peridotslip::{
    ids::{BudgetName, OrganisationName},
    ledger::{GrantReply, LocalLedger, WitnessSets},
};
use tokio::sync::Notify;

use super::{OTHERS_AGE_MS, REPLY_AGE_MS};

/// One organisation's budget at this router.
pub(super) struct Account {
    pub(super) organisation: OrganisationName,
    pub(super) key: String,
    /// Whether the last exchange with the store failed.
    pub(super) cut_off: AtomicBool,
    /// When other routers were last asked for tokens.
    pub(super) borrowed_at: tokio::sync::Mutex<Option<Instant>>,
    pub(super) budget: BudgetName,
    pub(super) state: Mutex<State>,
    /// The routers that note ceilings.
    pub(super) witnesses: Mutex<WitnessSets>,
    /// Held while a ceiling is being raised.
    pub(super) raising: tokio::sync::Mutex<()>,
    /// Wakes the task that exchanges reports with the record.
    pub(super) refill: Notify,
    /// Wakes requests that wait for tokens.
    pub(super) refilled: Notify,
}

/// What changes of an account.
pub(super) struct State {
    pub(super) ledger: LocalLedger,
    /// What the record last said, and how many replies there were.
    pub(super) reply: Option<GrantReply>,
    pub(super) replies: u64,
    /// When the last one came, in milliseconds.
    pub(super) replied_ms: u64,
    /// Until when the last tokens are kept back, in milliseconds.
    pub(super) paced_until_ms: u64,
}

impl Account {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tokens that are at hand here or free at the record, as far as is known.
    pub(super) fn left(&self, budget: &BudgetName) -> u64 {
        let free = self.reply.as_ref().map_or(u64::MAX, |reply| reply.free);
        free.saturating_add(self.ledger.spendable(budget))
    }

    /// Until when the record's last word is taken for it that `tokens` can't
    /// be had, in milliseconds.
    pub(super) fn short_until_ms(&self, budget: &BudgetName, tokens: u64) -> u64 {
        let others = self.reply.as_ref().map_or(0, |reply| reply.held_by_others);
        let age_ms = if self.left(budget).saturating_add(others) < tokens {
            REPLY_AGE_MS
        } else {
            OTHERS_AGE_MS
        };
        self.replied_ms + age_ms
    }

    /// Whether what was paid certainly doesn't cover `tokens`: nobody else
    /// holds any of it, and requests that are running use up to their bounds.
    pub(super) fn exhausted(&self, budget: &BudgetName, tokens: u64) -> bool {
        self.reply.as_ref().is_some_and(|reply| {
            reply.held_by_others == 0 && reply.free + self.ledger.spendable(budget) < tokens
        })
    }
}
