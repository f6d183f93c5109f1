//! One budget in a local ledger, and the policy for requesting tokens ahead of
//! need.

use super::{BudgetReport, GrantTransfer};
use crate::ids::BudgetName;

/// The smallest number of free tokens at the record for which a local ledger
/// requests tokens ahead of need.
const MIN_PREFETCH_TOKENS: u64 = 64;
/// The shortest time over which spending is averaged, in milliseconds.
const MIN_RATE_AGE_MS: u64 = 1_000;
/// The time constant of the spend-rate estimate, in milliseconds.
const RATE_WINDOW_MS: u64 = 5_000;
/// The default of [`RefillPolicy::horizon_ms`].
const DEFAULT_HORIZON_MS: u64 = 2_000;
/// The default of [`RefillPolicy::prefetch_percent`]. It is small so that the
/// last tokens of a budget are not held idle.
const DEFAULT_PREFETCH_PERCENT: u8 = 12;
/// The default of [`RefillPolicy::low_percent`].
const DEFAULT_LOW_PERCENT: u8 = 75;

/// The policy by which a local ledger requests tokens ahead of need. The
/// headroom is the number of tokens that it holds beyond its reservations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefillPolicy {
    /// How long the headroom should last at the current spend rate, in
    /// milliseconds.
    pub horizon_ms: u64,
    /// The largest share of the record's free tokens that one report may
    /// request ahead of need, in percent.
    pub prefetch_percent: u8,
    /// The headroom at low spend rates, in percent of the paid amount.
    pub min_headroom_percent: u8,
    /// The largest headroom while the whole paid amount is unspent, in percent
    /// of that amount. The limit falls with the square of the unspent part. The
    /// limit bounds the tokens that are lost when the router dies.
    pub max_headroom_percent: u8,
    /// The part of the headroom, in percent, below which a report requests tokens.
    pub low_percent: u8,
}

impl Default for RefillPolicy {
    fn default() -> Self {
        Self {
            horizon_ms: DEFAULT_HORIZON_MS,
            prefetch_percent: DEFAULT_PREFETCH_PERCENT,
            min_headroom_percent: 0,
            max_headroom_percent: 100,
            low_percent: DEFAULT_LOW_PERCENT,
        }
    }
}

/// One budget in a local ledger. `paid`, `granted`, `returned` and `spent` are
/// cumulative tokens.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalAccount {
    pub(super) paid: u64,
    pub(super) granted: u64,
    pub(super) returned: u64,
    pub(super) spent: u64,
    pub(super) reserved: u64,
    /// The ceiling on the tokens used of the grant over the local ledger's
    /// lifetime; `None` if the use is not bounded.
    pub(super) ceiling: Option<u64>,
    /// Transfers of other local ledgers that are not closed.
    pub(super) received_transfers: Vec<ReceivedTransfer>,
    /// Tokens that all waiting requests need.
    pub(super) shortfall: u64,
    /// Tokens that the smallest waiting request needs.
    pub(super) min_shortfall: u64,
    /// Whether another local ledger lacks tokens.
    pub(super) recall: bool,
    /// The spend rate at `rate_at_ms`, exponentially averaged, in tokens per
    /// second.
    pub(super) rate: f64,
    pub(super) rate_at_ms: u64,
    /// When spending began, in milliseconds.
    pub(super) rate_since_ms: Option<u64>,
    /// The free tokens of the budget in the record's last reply.
    pub(super) free_at_record: u64,
    /// The highest paid amount that a reply has confirmed.
    pub(super) recorded_paid: u64,
    /// The highest returned amount that a reply has confirmed.
    pub(super) recorded_returned: u64,
}

/// A received transfer and the tokens spent of it.
#[derive(Clone, Debug)]
pub(super) struct ReceivedTransfer {
    pub(super) transfer: GrantTransfer,
    pub(super) spent: u64,
}

impl ReceivedTransfer {
    pub(super) fn unspent(&self) -> u64 {
        self.transfer.tokens - self.spent
    }
}

impl LocalAccount {
    pub(super) fn spendable(&self) -> u64 {
        self.own_unspent() + self.received_unspent() - self.reserved
    }

    /// Returns the tokens of the local ledger's own grant that are neither spent
    /// nor returned.
    pub(super) fn own_unspent(&self) -> u64 {
        self.granted - self.returned - self.spent
    }

    pub(super) fn received_unspent(&self) -> u64 {
        self.received_transfers
            .iter()
            .map(ReceivedTransfer::unspent)
            .sum()
    }

    /// Returns the tokens of the local ledger's own grant that no running
    /// request may need.
    pub(super) fn own_idle(&self) -> u64 {
        let needed = self.reserved.saturating_sub(self.received_unspent());
        self.own_unspent() - needed.min(self.own_unspent())
    }

    /// Returns an upper bound on the tokens used of the grant over the local
    /// ledger's lifetime, including those of running requests, some of which
    /// may be covered by received transfers.
    pub(super) fn max_used(&self) -> u64 {
        self.spent + self.reserved
    }

    /// Spends up to `tokens` of received transfers and returns the number of
    /// tokens that they do not cover.
    pub(super) fn spend_received(&mut self, tokens: u64) -> u64 {
        let mut rest = tokens;
        for received in &mut self.received_transfers {
            let part = rest.min(received.unspent());
            received.spent += part;
            rest -= part;
        }
        rest
    }

    /// Removes and returns the received transfers that running requests don't
    /// need.
    pub(super) fn take_idle_transfers(&mut self) -> Vec<ReceivedTransfer> {
        let mut idle = Vec::new();
        let mut retained = Vec::new();
        let mut free = self.spendable();
        for received in std::mem::take(&mut self.received_transfers) {
            if received.unspent() <= free {
                free -= received.unspent();
                idle.push(received);
            } else {
                retained.push(received);
            }
        }
        self.received_transfers = retained;
        idle
    }

    /// Adds the tokens that a waiting request needs to the shortfall.
    pub(super) fn add_shortfall(&mut self, tokens: u64) {
        self.min_shortfall = match self.shortfall {
            0 => tokens,
            _ => self.min_shortfall.min(tokens),
        };
        self.shortfall += tokens;
    }

    pub(super) fn clear_shortfall(&mut self) {
        self.shortfall = 0;
        self.min_shortfall = 0;
    }

    /// Adds spent tokens to the spend rate.
    pub(super) fn record_spend(&mut self, tokens: u64, now_ms: u64) {
        self.decay_rate(now_ms);
        self.rate_since_ms.get_or_insert(now_ms);
        self.rate += as_f64(tokens) * 1_000.0 / as_f64(RATE_WINDOW_MS);
    }

    /// Applies the exponential decay of the spend rate up to `now_ms`.
    pub(super) fn decay_rate(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.rate_at_ms);
        self.rate *= (-as_f64(elapsed) / as_f64(RATE_WINDOW_MS)).exp();
        self.rate_at_ms = self.rate_at_ms.max(now_ms);
    }

    /// Returns the number of idle tokens to hold for the near future.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn target_headroom(&self, refill_policy: RefillPolicy) -> u64 {
        if self.recall {
            return 0;
        }
        let expected = (self.unbiased_rate() * as_f64(refill_policy.horizon_ms) / 1_000.0) as u64;
        let min_headroom = self.paid / 100 * u64::from(refill_policy.min_headroom_percent);
        let available = if self.recorded_paid == 0 {
            self.paid
        } else {
            self.free_at_record + self.own_idle()
        };
        // The headroom is lost when the router dies, which hurts most when few
        // tokens are left, so its limit falls with the unspent part as well.
        let unspent_part = as_f64(available) / as_f64(self.paid.max(1));
        let max_headroom =
            as_f64(available) * unspent_part * f64::from(refill_policy.max_headroom_percent)
                / 100.0;
        expected.max(min_headroom).min(max_headroom as u64)
    }

    /// Returns the spend rate in tokens per second, corrected for the time
    /// before spending began, which the average counts as zero.
    pub(super) fn unbiased_rate(&self) -> f64 {
        let age = self
            .rate_since_ms
            .map_or(0, |since| self.rate_at_ms.saturating_sub(since));
        let age = age.max(MIN_RATE_AGE_MS);
        self.rate / (1.0 - (-as_f64(age) / as_f64(RATE_WINDOW_MS)).exp())
    }

    /// Returns the idle tokens beyond the target headroom to the record if there
    /// are more than twice as many.
    pub(super) fn return_excess(&mut self, refill_policy: RefillPolicy) {
        let target_headroom = self.target_headroom(refill_policy);
        // While another local ledger lacks tokens, idle tokens that are too few
        // for the waiting requests here may suffice there.
        let retained = if self.recall { 0 } else { self.shortfall };
        let idle = self.own_idle().saturating_sub(retained);
        if idle > target_headroom.saturating_mul(2) {
            self.returned += idle - target_headroom;
        }
    }

    pub(super) fn budget_report(
        &self,
        budget: &BudgetName,
        refill_policy: RefillPolicy,
    ) -> BudgetReport {
        let reserved = self.reserved.saturating_sub(self.received_unspent());
        let committed = self.returned + self.spent + reserved;
        let required_total = committed + self.shortfall;
        BudgetReport {
            budget: budget.clone(),
            paid: self.paid,
            required_total,
            min_useful_total: committed + self.min_shortfall,
            desired_total: required_total + self.target_headroom(refill_policy),
            prefetch_percent: refill_policy.prefetch_percent,
            returned: self.returned,
        }
    }

    pub(super) fn is_low(&self, refill_policy: RefillPolicy) -> bool {
        self.free_at_record >= MIN_PREFETCH_TOKENS
            && self.spendable()
                < self.target_headroom(refill_policy) / 100 * u64::from(refill_policy.low_percent)
    }

    /// Returns whether the next report should include this account.
    pub(super) fn needs_report(&self, refill_policy: RefillPolicy) -> bool {
        self.is_low(refill_policy)
            || self.shortfall > 0
            || self.paid > self.recorded_paid
            || self.returned > self.recorded_returned
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
