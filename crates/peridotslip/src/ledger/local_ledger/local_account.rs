//! One budget's figures in a local ledger, and what to ask for ahead of needs.

use super::{BudgetReport, GrantTransfer};
use crate::ids::BudgetName;

/// Fewest free tokens at the record for which a local ledger asks ahead of need.
const MIN_PREFETCH: u64 = 64;
/// Shortest time over which spending is averaged, in milliseconds.
const MIN_RATE_AGE_MS: u64 = 1_000;
/// Time constant of the spend-rate estimate, in milliseconds.
const RATE_WINDOW_MS: u64 = 5_000;
/// How far ahead of its spending a local ledger keeps grants by default, in
/// milliseconds.
const HORIZON_MS: u64 = 2_000;
/// Share of what is free at the record that a wish may take by default, in
/// percent, so that the last tokens of a budget are not held idle.
const PREFETCH_PERCENT: u8 = 12;

/// How much a local ledger asks for ahead of its needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefillPolicy {
    /// How long grants should last at the present rate, in milliseconds.
    pub horizon_ms: u64,
    /// Most of what is free at the record that one wish may take, in percent.
    pub prefetch_percent: u8,
    /// Spare tokens to hold even while little is spent, as a share of what was
    /// paid, in percent.
    pub min_headroom_percent: u8,
    /// Most spare tokens to hold while all that was paid is unspent, as a
    /// share of it, in percent; it falls with the square of what is left. It
    /// bounds what is lost with the router.
    pub max_headroom_percent: u8,
}

impl Default for RefillPolicy {
    fn default() -> Self {
        Self {
            horizon_ms: HORIZON_MS,
            prefetch_percent: PREFETCH_PERCENT,
            min_headroom_percent: 0,
            max_headroom_percent: 100,
        }
    }
}

/// A local ledger's share of one budget. Cumulative tokens, but for `reserved`.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalAccount {
    pub(super) paid: u64,
    pub(super) granted: u64,
    pub(super) returned: u64,
    pub(super) spent: u64,
    pub(super) reserved: u64,
    /// Most that may be used of the grant over the local ledger's life; `None` if
    /// nobody bounds it.
    pub(super) ceiling: Option<u64>,
    /// Transfers of other local ledgers that are in use.
    pub(super) received_transfers: Vec<ReceivedTransfer>,
    /// Tokens that waiting requests lack, in all and for the smallest.
    pub(super) shortfall: u64,
    pub(super) min_shortfall: u64,
    /// Whether other local ledgers are short.
    pub(super) recall: bool,
    /// Spend per second, exponentially averaged.
    pub(super) rate: f64,
    pub(super) rate_at_ms: u64,
    /// When spending began.
    pub(super) rate_since_ms: Option<u64>,
    /// Tokens that the record had free when last heard of.
    pub(super) free_at_record: u64,
    /// The `paid` figure that the record is known to hold.
    pub(super) recorded_paid: u64,
    /// The `returned` figure that the record is known to hold.
    pub(super) recorded_returned: u64,
}

/// A transfer and what has been spent of it.
#[derive(Clone, Debug)]
pub(super) struct ReceivedTransfer {
    pub(super) transfer: GrantTransfer,
    pub(super) spent: u64,
}

impl ReceivedTransfer {
    pub(super) fn left(&self) -> u64 {
        self.transfer.tokens - self.spent
    }
}

impl LocalAccount {
    pub(super) fn spendable(&self) -> u64 {
        self.own_left() + self.received_unspent() - self.reserved
    }

    /// Tokens of the local ledger's own grant that are not spent or given back.
    pub(super) fn own_left(&self) -> u64 {
        self.granted - self.returned - self.spent
    }

    pub(super) fn received_unspent(&self) -> u64 {
        self.received_transfers
            .iter()
            .map(ReceivedTransfer::left)
            .sum()
    }

    /// Tokens of the local ledger's own grant that no running request may need.
    pub(super) fn own_spare(&self) -> u64 {
        let needed = self.reserved.saturating_sub(self.received_unspent());
        self.own_left() - needed.min(self.own_left())
    }

    /// Most that has been used of the grant over the local ledger's life, running
    /// requests included. Transfers may have paid for a part of these.
    pub(super) fn max_used(&self) -> u64 {
        self.spent + self.reserved
    }

    /// Spends out of transfers as far as they reach and returns the rest.
    pub(super) fn spend_received(&mut self, tokens: u64) -> u64 {
        let mut rest = tokens;
        for received in &mut self.received_transfers {
            let part = rest.min(received.left());
            received.spent += part;
            rest -= part;
        }
        rest
    }

    /// Takes out the transfers that the running requests don't need.
    pub(super) fn take_idle_transfers(&mut self) -> Vec<ReceivedTransfer> {
        let mut spare = Vec::new();
        let mut kept = Vec::new();
        let mut free = self.spendable();
        for received in std::mem::take(&mut self.received_transfers) {
            if received.left() <= free {
                free -= received.left();
                spare.push(received);
            } else {
                kept.push(received);
            }
        }
        self.received_transfers = kept;
        spare
    }

    /// Notes that a waiting request lacks tokens.
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

    pub(super) fn note_spend(&mut self, tokens: u64, now_ms: u64) {
        self.decay(now_ms);
        self.rate_since_ms.get_or_insert(now_ms);
        self.rate += as_f64(tokens) * 1_000.0 / as_f64(RATE_WINDOW_MS);
    }

    pub(super) fn decay(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.rate_at_ms);
        self.rate *= (-as_f64(elapsed) / as_f64(RATE_WINDOW_MS)).exp();
        self.rate_at_ms = self.rate_at_ms.max(now_ms);
    }

    /// Spare tokens that cover the near future.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn target_headroom(&self, refill_policy: RefillPolicy) -> u64 {
        if self.recall {
            return 0;
        }
        let expected = (self.unbiased_rate() * as_f64(refill_policy.horizon_ms) / 1_000.0) as u64;
        let floor = self.paid / 100 * u64::from(refill_policy.min_headroom_percent);
        let reach = if self.recorded_paid == 0 {
            self.paid
        } else {
            self.free_at_record + self.own_spare()
        };
        // The scarcer the tokens, the smaller the part of them at risk: what
        // is lost with the router is missed most when little is left.
        let left = as_f64(reach) / as_f64(self.paid.max(1));
        let most = as_f64(reach) * left * f64::from(refill_policy.max_headroom_percent) / 100.0;
        expected.max(floor).min(most as u64)
    }

    /// Spend per second, corrected for an average that has not yet run over
    /// its whole window.
    pub(super) fn unbiased_rate(&self) -> f64 {
        let age = self
            .rate_since_ms
            .map_or(0, |since| self.rate_at_ms.saturating_sub(since));
        let age = age.max(MIN_RATE_AGE_MS);
        self.rate / (1.0 - (-as_f64(age) / as_f64(RATE_WINDOW_MS)).exp())
    }

    pub(super) fn return_excess(&mut self, refill_policy: RefillPolicy) {
        let target_headroom = self.target_headroom(refill_policy);
        // While others are short, a spare that is too small for the waiting
        // requests here may complete what another local ledger lacks.
        let kept = if self.recall { 0 } else { self.shortfall };
        let spare = self.own_spare().saturating_sub(kept);
        if spare > target_headroom.saturating_mul(2) {
            self.returned += spare - target_headroom;
        }
    }

    pub(super) fn position(
        &self,
        budget: &BudgetName,
        refill_policy: RefillPolicy,
    ) -> BudgetReport {
        let reserved = self.reserved.saturating_sub(self.received_unspent());
        let base = self.returned + self.spent + reserved;
        let required_total = base + self.shortfall;
        BudgetReport {
            budget: budget.clone(),
            paid: self.paid,
            required_total,
            min_useful_total: base + self.min_shortfall,
            desired_total: required_total + self.target_headroom(refill_policy),
            prefetch_percent: refill_policy.prefetch_percent,
            returned: self.returned,
        }
    }

    pub(super) fn is_low(&self, refill_policy: RefillPolicy) -> bool {
        self.free_at_record >= MIN_PREFETCH
            && self.spendable() < self.target_headroom(refill_policy) / 4 * 3
    }

    /// Whether the record should hear of this local account.
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
