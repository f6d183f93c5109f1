//! The state of one organisation's budget at this router.

use std::{
    sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Instant,
};

use peridotslip::{
    ids::{BudgetName, OrganisationName},
    ledger::{DurableGrant, GrantReply, LocalLedger, WitnessSets},
    scarcity::ScarcityGate,
};
use tokio::sync::Notify;

use super::{
    RECOVERABLE_SHORTAGE_VALID_MS, SHORTAGE_VALID_MS, reconcile::WrittenRecord,
    shared_attempt::SharedAttempt,
};
use crate::ports::StoreEpoch;

/// One organisation's budget at this router.
pub(super) struct ManagedBudget {
    pub(super) organisation: OrganisationName,
    /// Whether the last exchange with the store failed.
    pub(super) store_unreachable: AtomicBool,
    /// Requests transfers from other routers.
    pub(super) transfer_round: SharedAttempt,
    /// When the last round of such requests ended.
    pub(super) last_transfer_round: Mutex<Option<Instant>>,
    pub(super) name: BudgetName,
    pub(super) state: Mutex<BudgetState>,
    /// Held during a write to the store, until its reply has been applied.
    pub(super) write_lock: tokio::sync::Mutex<()>,
    /// The record that this router has written last.
    pub(super) written: Mutex<Option<WrittenRecord>>,
    /// The epoch whose record this router tries to make, and since when.
    pub(super) record_missing: Mutex<Option<(StoreEpoch, Instant)>>,
    /// The routers that record ceilings for this router.
    pub(super) witnesses: Mutex<WitnessSets>,
    /// Serialises the raising of the ceiling and the choice of witnesses.
    pub(super) ceiling_lock: tokio::sync::Mutex<()>,
    /// Raises the ceiling for the requests that need it.
    pub(super) ceiling_raise: SharedAttempt,
    /// The part of the grant that a restore of the store can't undo.
    pub(super) durable_grant: Mutex<DurableGrant>,
    /// Wakes the task that exchanges reports with the record.
    pub(super) refill: Notify,
    /// Wakes the requests that wait for tokens.
    pub(super) refilled: Notify,
}

/// The mutable state of a [`ManagedBudget`].
pub(super) struct BudgetState {
    pub(super) ledger: LocalLedger,
    /// The last reply of the record.
    pub(super) reply: Option<GrantReply>,
    /// The number of replies so far.
    pub(super) reply_count: u64,
    /// When the last reply arrived, in milliseconds of the router's clock.
    pub(super) replied_at_ms: u64,
    /// The time until which reservations are denied if few tokens are available,
    /// in milliseconds. The pause after each reservation spreads the last tokens
    /// over time.
    pub(super) paced_until_ms: u64,
    /// The demand for the budget, and who may have its last tokens.
    pub(super) scarcity: ScarcityGate,
}

impl ManagedBudget {
    pub(super) fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    /// Returns the tokens that are spendable at this router or free at the
    /// record according to its last reply.
    pub(super) fn available(&self, budget: &BudgetName) -> u64 {
        let free = self.reply.as_ref().map_or(u64::MAX, |reply| reply.free);
        free.saturating_add(self.ledger.spendable(budget))
    }

    /// Returns the time until which a reservation of `tokens` is denied on the
    /// evidence of the record's last reply, in milliseconds.
    pub(super) fn insufficient_until_ms(&self, budget: &BudgetName, tokens: u64) -> u64 {
        let others = self.reply.as_ref().map_or(0, |reply| reply.held_by_others);
        let valid_ms = if self.available(budget).saturating_add(others) < tokens {
            SHORTAGE_VALID_MS
        } else {
            RECOVERABLE_SHORTAGE_VALID_MS
        };
        self.replied_at_ms + valid_ms
    }

    /// Returns whether the paid amount does not cover `tokens`: no other router
    /// holds a grant, and the free and spendable tokens are too few. Running
    /// requests are assumed to use all their reserved tokens.
    pub(super) fn is_exhausted(&self, budget: &BudgetName, tokens: u64) -> bool {
        self.reply.as_ref().is_some_and(|reply| {
            reply.held_by_others == 0 && reply.free + self.ledger.spendable(budget) < tokens
        })
    }
}
