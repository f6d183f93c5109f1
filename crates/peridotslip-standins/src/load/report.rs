//! Counts of request outcomes and histograms of latencies.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Largest latency recorded, in microseconds; longer ones count as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The outcome of a request, as seen by its caller.
pub(super) enum RequestOutcome {
    /// A complete and correct response that cost this many tokens.
    Answered { tokens: u64 },
    /// An error response with a problem document.
    Refused {
        reason: String,
        /// The execution status that the document states.
        execution: String,
        has_retry_after: bool,
    },
    /// The connection or the response ended early.
    Broken(String),
    /// The caller disconnected on purpose, as `--leave-after` demands.
    Disconnected,
    /// The response is incorrect.
    Incorrect(String),
}

/// Totals and latencies of all requests.
pub(super) struct LoadSummary {
    answered: u64,
    tokens: u64,
    /// Counts by `reason/execution`, the reason and the execution status of the
    /// problem document.
    refused: BTreeMap<String, u64>,
    /// Number of refusals without a `Retry-After` header.
    without_retry_after: u64,
    /// Counts by reason.
    broken: BTreeMap<String, u64>,
    disconnected: u64,
    pub(super) incorrect: u64,
    first_incorrect: Option<String>,
    /// Number of duplicate requests with a correct response whose text doesn't
    /// differ from the response to the first request.
    duplicates_same: u64,
    /// Number of duplicate requests without a complete response.
    duplicates_refused: u64,
    /// Times to the first byte of correct responses, in microseconds.
    first_byte: Histogram<u64>,
    /// Times to the end of correct responses, in microseconds.
    total: Histogram<u64>,
}

impl Default for LoadSummary {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are in order");
        Self {
            answered: 0,
            tokens: 0,
            refused: BTreeMap::new(),
            without_retry_after: 0,
            broken: BTreeMap::new(),
            disconnected: 0,
            incorrect: 0,
            first_incorrect: None,
            duplicates_same: 0,
            duplicates_refused: 0,
            first_byte: histogram(),
            total: histogram(),
        }
    }
}

/// Converts a latency to microseconds within the range of the histograms.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros())
        .unwrap_or(MAX_LATENCY_US)
        .clamp(1, MAX_LATENCY_US)
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    json!({
        "p50_us": histogram.value_at_quantile(0.5),
        "p95_us": histogram.value_at_quantile(0.95),
        "p99_us": histogram.value_at_quantile(0.99),
        "max_us": histogram.max(),
    })
}

impl LoadSummary {
    /// Records the outcome and latencies of a request.
    pub(super) fn record(
        &mut self,
        outcome: RequestOutcome,
        first_byte: Duration,
        total: Duration,
    ) {
        match outcome {
            RequestOutcome::Answered { tokens } => {
                self.answered += 1;
                self.tokens += tokens;
                self.first_byte.saturating_record(micros(first_byte));
                self.total.saturating_record(micros(total));
            }
            RequestOutcome::Refused {
                reason,
                execution,
                has_retry_after,
            } => {
                *self
                    .refused
                    .entry(format!("{reason}/{execution}"))
                    .or_default() += 1;
                self.without_retry_after += u64::from(!has_retry_after);
            }
            RequestOutcome::Broken(reason) => *self.broken.entry(reason).or_default() += 1,
            RequestOutcome::Disconnected => self.disconnected += 1,
            RequestOutcome::Incorrect(reason) => self.record_incorrect(reason),
        }
    }

    fn record_incorrect(&mut self, reason: String) {
        self.incorrect += 1;
        self.first_incorrect.get_or_insert(reason);
    }

    /// Records the outcome of the second of two requests that were sent with the
    /// same idempotency key. `same` is false if both have a text and the texts
    /// differ.
    pub(super) fn record_duplicate(&mut self, outcome: RequestOutcome, same: bool) {
        match outcome {
            RequestOutcome::Answered { .. } if same => self.duplicates_same += 1,
            RequestOutcome::Answered { .. } => {
                self.record_incorrect("duplicate requests received different responses".to_owned());
            }
            RequestOutcome::Incorrect(reason) => self.record_incorrect(reason),
            _ => self.duplicates_refused += 1,
        }
    }

    pub(super) fn to_json(&self, elapsed: Duration) -> Value {
        json!({
            "answered": self.answered,
            "tokens": self.tokens,
            "refused": self.refused,
            "refused_without_retry_after": self.without_retry_after,
            "broken": self.broken,
            "left": self.disconnected,
            "wrong": self.incorrect,
            "wrong_first": self.first_incorrect,
            "duplicates_same": self.duplicates_same,
            "duplicates_refused": self.duplicates_refused,
            "first_byte": quantiles(&self.first_byte),
            "total": quantiles(&self.total),
            "elapsed_s": elapsed.as_secs_f64(),
        })
    }
}
