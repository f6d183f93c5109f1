//! A bound on repeated sends.

/// Milliseconds over which sends are averaged.
const WINDOW_MS: f64 = 10_000.0;

/// Allows repeated sends as a share of the first ones, plus a small allowance
/// that refills over the window, so that a failing service is not flooded by
/// its own retries. Each router keeps one for each service, with its share of
/// the fleet's allowance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    allowance: f64,
    tokens: f64,
    updated_ms: u64,
}

impl RetryBudget {
    /// A budget of `ratio` repeated sends for each first one, and `allowance`
    /// more in each window.
    #[must_use]
    pub fn new(ratio: f64, allowance: f64) -> Self {
        Self {
            ratio,
            allowance,
            tokens: allowance,
            updated_ms: 0,
        }
    }

    /// Notes a request's first send.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.most());
    }

    /// Takes one repeated send out; `false` if the budget is spent.
    pub fn withdraw(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Savings are bounded, so that a quiet time can't pay for a storm.
    fn most(&self) -> f64 {
        self.allowance.max(1.0) * 2.0
    }

    fn refill(&mut self, now_ms: u64) {
        #[allow(clippy::cast_precision_loss)]
        let elapsed = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        if self.tokens < self.allowance {
            let refilled = self.tokens + self.allowance * elapsed / WINDOW_MS;
            self.tokens = refilled.min(self.allowance);
        }
    }
}
