//! Counting outcomes and latencies.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Largest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How a request ended for its caller.
pub(super) enum Outcome {
    /// A whole, right answer that cost so many tokens.
    Answered { tokens: u64 },
    /// A problem document.
    Refused {
        reason: String,
        run: String,
        after: bool,
    },
    /// The connection or the answer broke.
    Broken(String),
    /// The caller left on purpose.
    Left,
    /// The answer is not what it must be.
    Wrong(String),
}

/// All outcomes.
pub(super) struct Report {
    answered: u64,
    tokens: u64,
    refused: BTreeMap<String, u64>,
    without_retry_after: u64,
    broken: BTreeMap<String, u64>,
    left: u64,
    pub(super) wrong: u64,
    wrong_first: Option<String>,
    duplicates_same: u64,
    duplicates_refused: u64,
    first_byte: Histogram<u64>,
    total: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are in order");
        Self {
            answered: 0,
            tokens: 0,
            refused: BTreeMap::new(),
            without_retry_after: 0,
            broken: BTreeMap::new(),
            left: 0,
            wrong: 0,
            wrong_first: None,
            duplicates_same: 0,
            duplicates_refused: 0,
            first_byte: histogram(),
            total: histogram(),
        }
    }
}

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

impl Report {
    pub(super) fn note(&mut self, outcome: Outcome, first_byte: Duration, total: Duration) {
        match outcome {
            Outcome::Answered { tokens } => {
                self.answered += 1;
                self.tokens += tokens;
                self.first_byte.saturating_record(micros(first_byte));
                self.total.saturating_record(micros(total));
            }
            Outcome::Refused { reason, run, after } => {
                *self.refused.entry(format!("{reason}/{run}")).or_default() += 1;
                self.without_retry_after += u64::from(!after);
            }
            Outcome::Broken(reason) => *self.broken.entry(reason).or_default() += 1,
            Outcome::Left => self.left += 1,
            Outcome::Wrong(reason) => self.wrong(reason),
        }
    }

    fn wrong(&mut self, reason: String) {
        self.wrong += 1;
        self.wrong_first.get_or_insert(reason);
    }

    /// Notes the second of two requests under one key.
    pub(super) fn duplicate(&mut self, outcome: Outcome, same: bool) {
        match outcome {
            Outcome::Answered { .. } if same => self.duplicates_same += 1,
            Outcome::Answered { .. } => self.wrong("duplicates got different answers".to_owned()),
            Outcome::Wrong(reason) => self.wrong(reason),
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
            "left": self.left,
            "wrong": self.wrong,
            "wrong_first": self.wrong_first,
            "duplicates_same": self.duplicates_same,
            "duplicates_refused": self.duplicates_refused,
            "first_byte": quantiles(&self.first_byte),
            "total": quantiles(&self.total),
            "elapsed_s": elapsed.as_secs_f64(),
        })
    }
}
