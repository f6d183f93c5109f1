//! The tokens that one request uses.

/// Counts the tokens that a request has used, over all its attempts.
///
/// A request that is sent may have run, so that its prompt counts, until its
/// server states that it has not. What another attempt has used stays used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestUsage {
    prompt_tokens: u64,
    /// Attempts that were sent and whose server has not refused them.
    possible_runs: u32,
    output_tokens: u64,
}

impl RequestUsage {
    /// Records that a request with this prompt is being sent.
    pub fn record_send(&mut self, prompt_tokens: u64) {
        self.prompt_tokens = prompt_tokens;
        self.possible_runs += 1;
    }

    /// Records that one of the sent attempts has not run and never will.
    pub fn record_not_run(&mut self) {
        self.possible_runs = self.possible_runs.saturating_sub(1);
    }

    /// Raises the number of delivered output tokens to `tokens`.
    pub fn raise_output(&mut self, tokens: u64) {
        self.output_tokens = self.output_tokens.max(tokens);
    }

    /// Returns the number of tokens used.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        if self.possible_runs == 0 && self.output_tokens == 0 {
            return 0;
        }
        self.prompt_tokens + self.output_tokens
    }
}
