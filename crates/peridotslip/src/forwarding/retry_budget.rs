//! A bound on retries.

/// Time in which the whole allowance refills, in milliseconds.
const WINDOW_MS: f64 = 10_000.0;

/// Allows retries as a share of first attempts, plus a small allowance that
/// refills over a time window, so that retries don't overload a failing
/// service. Each router has one budget for each service, with the router's
/// share of the fleet's allowance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    allowance: f64,
    /// Retries that the budget allows now.
    balance: f64,
    updated_ms: u64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each first attempt, and
    /// `allowance` more in each window of 10 seconds.
    #[must_use]
    pub fn new(ratio: f64, allowance: f64) -> Self {
        Self {
            ratio,
            allowance,
            balance: allowance,
            updated_ms: 0,
        }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, ratio: f64, allowance: f64) {
        self.ratio = ratio;
        self.allowance = allowance;
        self.balance = self.balance.min(self.max_balance());
    }

    /// Records the first attempt of a request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.max_balance());
    }

    /// Returns whether the budget allows a retry now.
    pub fn permits_retry(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        self.balance >= 1.0
    }

    /// Returns whether at least half of what the budget can hold is left, so that an
    /// optional attempt takes nothing that failed requests may need.
    pub fn is_half_left(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        self.balance >= (self.max_balance() / 2.0).max(1.0)
    }

    /// Takes one retry from the budget. Returns `false` if the budget is spent.
    pub fn withdraw(&mut self, now_ms: u64) -> bool {
        if !self.permits_retry(now_ms) {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns a retry that was taken and not made.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.max_balance());
    }

    /// Returns the highest balance. Without a bound, a long time without failures
    /// would allow a burst of retries.
    fn max_balance(&self) -> f64 {
        self.allowance.max(1.0) * 2.0
    }

    fn refill(&mut self, now_ms: u64) {
        #[allow(clippy::cast_precision_loss)]
        let elapsed = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        if self.balance < self.allowance {
            let refilled = self.balance + self.allowance * elapsed / WINDOW_MS;
            self.balance = refilled.min(self.allowance);
        }
    }
}
