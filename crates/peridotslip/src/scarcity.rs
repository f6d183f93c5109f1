//! Which requests may use the last tokens of a budget.
//!
//! While a budget can't be refilled, because the store is unreachable or the
//! paid amount is almost used up, every token that a request takes is missing
//! for a later one. [`ScarcityGate`] therefore holds back what the more urgent
//! requests of the same budget are expected to need until the end of the
//! shortage. It follows the demand that it observes, so nothing is held back for
//! a kind of request that doesn't come, and the held back part shrinks as the
//! end comes nearer.

use std::collections::BTreeMap;

/// A kind of request whose demand is at most this part of that of the more urgent ones
/// counts as the least urgent of these: to refuse it would hardly help them.
const SMALL_PART: f64 = 1.0 / 8.0;
/// Share of its headroom that an owner keeps for more urgent requests at most, in percent.
/// The rest serves the other requests between two refills.
const KEPT_PERCENT: u64 = 75;
/// The time constant of the demand estimate, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 1_500.0;

/// The demand of the requests with one priority, in tokens per millisecond,
/// exponentially averaged.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    tokens_per_ms: f64,
    updated_ms: u64,
}

impl Demand {
    #[allow(clippy::cast_precision_loss)]
    fn at(self, now_ms: u64) -> f64 {
        let elapsed = now_ms.saturating_sub(self.updated_ms) as f64;
        self.tokens_per_ms * (-elapsed / DEMAND_WINDOW_MS).exp()
    }
}

/// The demand for the tokens of one budget, by priority, and the decision which
/// requests may have them while they are scarce.
#[derive(Clone, Debug, Default)]
pub struct ScarcityGate {
    demand: BTreeMap<u8, Demand>,
    serves_small_kinds: bool,
}

impl ScarcityGate {
    /// Creates a gate. With `serves_small_kinds`, kinds of request that need few tokens
    /// are not refused in favour of more urgent ones.
    #[must_use]
    pub fn new(serves_small_kinds: bool) -> Self {
        Self {
            serves_small_kinds,
            ..Self::default()
        }
    }

    /// Records a request for `tokens`. Priority 0 is the most urgent.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_demand(&mut self, priority: u8, tokens: u64, now_ms: u64) {
        let demand = self.demand.entry(priority).or_default();
        let added = tokens as f64 / DEMAND_WINDOW_MS;
        demand.tokens_per_ms = demand.at(now_ms) + added;
        demand.updated_ms = demand.updated_ms.max(now_ms);
    }

    /// Returns the tokens that requests more urgent than `priority` are expected
    /// to need within `horizon_ms`.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn held_back(&self, priority: u8, horizon_ms: u64, now_ms: u64) -> u64 {
        let tokens_per_ms = self.more_urgent_per_ms(priority, now_ms);
        (tokens_per_ms * horizon_ms as f64) as u64
    }

    /// Returns the demand of the kinds of request that go before those with `priority`.
    fn more_urgent_per_ms(&self, priority: u8, now_ms: u64) -> f64 {
        let mut tokens_per_ms = 0.0;
        for (_, demand) in self.demand.range(..priority) {
            tokens_per_ms += demand.at(now_ms);
        }
        let Some((&next, _)) = self.demand.range(..priority).next_back() else {
            return tokens_per_ms;
        };
        let own = self.demand.get(&priority).map_or(0.0, |own| own.at(now_ms));
        if self.serves_small_kinds && own <= tokens_per_ms * SMALL_PART {
            return self.more_urgent_per_ms(next, now_ms);
        }
        tokens_per_ms
    }

    /// Returns the tokens that a request leaves to more urgent ones while the budget can be
    /// refilled, in case that the store becomes unreachable for `horizon_ms`. An outage is
    /// noticed only when a call fails, and by then less urgent requests would have used the
    /// `headroom` that the owner holds for it.
    #[must_use]
    pub fn kept(&self, priority: u8, headroom: u64, horizon_ms: u64, now_ms: u64) -> u64 {
        let needed = self.held_back(priority, horizon_ms, now_ms);
        needed.min(headroom / 100 * KEPT_PERCENT)
    }

    /// Returns whether a request for `tokens` may be served from the `available`
    /// ones, if the shortage lasts for another `horizon_ms`.
    #[must_use]
    pub fn admits(
        &self,
        priority: u8,
        tokens: u64,
        available: u64,
        horizon_ms: u64,
        now_ms: u64,
    ) -> bool {
        available >= tokens.saturating_add(self.held_back(priority, horizon_ms, now_ms))
    }
}
