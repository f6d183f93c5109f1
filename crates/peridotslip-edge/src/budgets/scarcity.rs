//! Holding tokens back for more urgent requests while a budget can't be
//! refilled.

use std::sync::atomic::Ordering;

use super::{BudgetManager, BudgetState, ManagedBudget};

/// How long more urgent requests must be able to go on with the last tokens of a
/// budget while the store is reachable, in milliseconds.
const SCARCE_HORIZON_MS: u64 = 3_000;
/// The same if tokens are kept for more urgent requests early.
const URGENT_FIRST_HORIZON_MS: u64 = 15_000;
/// How long the store is expected to stay unreachable, in percent of the time
/// for which an owner's grant is meant to last.
const EXPECTED_OUTAGE_PERCENT: u64 = 75;
/// The shortest time that the store is expected to stay unreachable from now on,
/// in milliseconds.
const MIN_OUTAGE_REST_MS: u64 = 2_000;

impl BudgetManager {
    /// Returns whether tokens are kept for more urgent requests before they are short.
    pub(super) fn keeps_for_urgent(&self) -> bool {
        self.settings.urgent_first.unwrap_or(false)
    }

    /// Returns `false` if the available tokens are held back for more urgent
    /// requests, which are expected to need them before the budget is refilled.
    pub(super) fn admits(
        &self,
        budget: &ManagedBudget,
        state: &BudgetState,
        priority: u8,
        tokens: u64,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let scarcity = &state.scarcity;
        if budget.store_unreachable.load(Ordering::Relaxed) {
            let spendable = state.ledger.spendable(&budget.name);
            let rest_ms = self.expected_outage_rest_ms(state, now_ms);
            return scarcity.admits(priority, tokens, spendable, rest_ms, now_ms);
        }
        // Too few tokens for the request alone are not held back: the record may
        // have received more.
        let available = state.available(&budget.name);
        let horizon_ms = if self.keeps_for_urgent() {
            URGENT_FIRST_HORIZON_MS
        } else {
            SCARCE_HORIZON_MS
        };
        available < tokens || scarcity.admits(priority, tokens, available, horizon_ms, now_ms)
    }

    /// Returns the spendable tokens that a request leaves to more urgent ones while the
    /// store is reachable. A refill makes room for the request.
    pub(super) fn kept_for_outage(
        &self,
        budget: &ManagedBudget,
        state: &BudgetState,
        priority: u8,
    ) -> u64 {
        let unreachable = budget.store_unreachable.load(Ordering::Relaxed);
        if !self.keeps_for_urgent() || unreachable {
            return 0;
        }
        let headroom = state.ledger.headroom(&budget.name);
        let outage_ms = self.expected_outage_ms();
        let now_ms = self.clock.now_ms();
        state.scarcity.kept(priority, headroom, outage_ms, now_ms)
    }

    /// Returns how long an outage of the store is expected to last, in milliseconds.
    fn expected_outage_ms(&self) -> u64 {
        self.settings.horizon_ms * EXPECTED_OUTAGE_PERCENT / 100
    }

    /// Returns how much longer the store is expected to stay unreachable, in
    /// milliseconds.
    pub(super) fn expected_outage_rest_ms(&self, state: &BudgetState, now_ms: u64) -> u64 {
        let since_ms = now_ms.saturating_sub(state.replied_at_ms);
        self.expected_outage_ms()
            .saturating_sub(since_ms)
            .max(MIN_OUTAGE_REST_MS)
    }
}
