//! The memory of engines that crash if the requests which they hold exceed it.
//!
//! A router knows the tokens of its own requests only. It estimates those of other
//! routers by their number and by the mean and the deviation of the requests that it
//! holds itself at the service's engines.

use std::{collections::BTreeMap, ops::RangeInclusive};

/// How much of an engine's memory requests of the most urgent priority may fill, in
/// percent.
const MOST_URGENT_FILL_PERCENT: u32 = 95;
/// How much of an engine's memory requests may fill, in percent. The rest is for
/// requests of other routers of which this one doesn't know yet.
const FILL_PERCENT: u32 = 90;
/// How much of an engine's memory requests of the least urgent priority may fill, in
/// percent.
const LEAST_URGENT_FILL_PERCENT: u32 = 85;
/// Weight of a new request in the mean tokens of requests.
const TOKENS_SMOOTHING: f64 = 1.0 / 32.0;
/// Standard deviations by which the requests of other routers may exceed the mean.
const DEVIATIONS: f64 = 2.0;
/// Time in which the expected number of requests at an engine halves unless reports
/// confirm it, in milliseconds. A router that sends nothing gets no reports, and has to
/// find out when there is room again.
const LOAD_HALF_LIFE_MS: f64 = 2_000.0;
/// Weight of a report of fewer requests than expected.
const FEWER_SMOOTHING: f64 = 0.1;
/// Age of a report at which the requests of other routers may all be different ones, in
/// milliseconds.
const TURNOVER_MS: f64 = 500.0;

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}

/// Returns what is left of a number of requests that was reported `age_ms` ago.
fn aged(count: f64, age_ms: u64) -> f64 {
    count * 0.5_f64.powf(as_f64(age_ms) / LOAD_HALF_LIFE_MS)
}

/// What a request needs of an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryDemand {
    /// The prompt and the most output of the request, in tokens.
    pub tokens: u64,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// How much of this capacity the request may fill, in percent.
    pub fill_percent: u32,
}

impl MemoryDemand {
    /// Returns the demand of a request with `priority` for a service with requests of
    /// the priorities `range`. More urgent requests may fill more of the memory, so
    /// that the least urgent ones are rejected first.
    #[must_use]
    pub fn new(tokens: u64, kv_tokens: u64, priority: u8, range: &RangeInclusive<u8>) -> Self {
        let (most, least) = (*range.start(), *range.end());
        let fill_percent = if priority < most || (priority == most && most < least) {
            MOST_URGENT_FILL_PERCENT
        } else if priority > least || (priority == least && most < least) {
            LEAST_URGENT_FILL_PERCENT
        } else {
            FILL_PERCENT
        };
        Self {
            tokens,
            kv_tokens,
            fill_percent,
        }
    }
}

/// The number, the tokens and the squares of the tokens of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeldTokens {
    count: f64,
    tokens: f64,
    squares: f64,
}

impl HeldTokens {
    fn of(tokens: u64) -> Self {
        let tokens = as_f64(tokens);
        Self {
            count: 1.0,
            tokens,
            squares: tokens * tokens,
        }
    }

    pub(super) fn add(&mut self, tokens: u64) {
        *self = self.plus(&Self::of(tokens), 1.0);
    }

    /// Removes a request. Rounding leaves nothing below 0.
    pub(super) fn remove(&mut self, tokens: u64) {
        let rest = self.plus(&Self::of(tokens), -1.0);
        *self = Self {
            count: rest.count.max(0.0),
            tokens: rest.tokens.max(0.0),
            squares: rest.squares.max(0.0),
        };
    }

    pub(super) fn plus(&self, other: &Self, factor: f64) -> Self {
        Self {
            count: self.count + other.count * factor,
            tokens: self.tokens + other.tokens * factor,
            squares: self.squares + other.squares * factor,
        }
    }

    /// Returns a bound on the tokens of about `count` other requests of this kind.
    /// The number itself is uncertain for the part `turnover` of them, and is taken to
    /// be Poisson distributed.
    fn likely_tokens(&self, count: f64, turnover: f64) -> f64 {
        if self.count <= 0.0 {
            return 0.0;
        }
        let mean = self.tokens / self.count;
        let variance = (self.squares / self.count - mean * mean).max(0.0);
        let variance = count * (variance + turnover * mean * mean);
        count * mean + DEVIATIONS * variance.sqrt()
    }
}

/// The requests of other routers at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct OtherRequests {
    /// Their number, as last reported.
    pub(super) count: f64,
    /// The age of the report, in milliseconds; `None` without one.
    pub(super) age_ms: Option<u64>,
}

/// What a router knows of the requests at a service's engines.
#[derive(Clone, Copy, Debug, Default)]
struct HeldRequests {
    /// The smoothed requests of this router that engines hold at the same time.
    own: Option<HeldTokens>,
    /// The number of other routers' requests at an engine as last reported, smoothed
    /// while it falls, and when, in milliseconds. A mean would lag behind a surge.
    others: Option<(f64, u64)>,
}

/// What a router knows of the requests at the engines of all services that crash when
/// their memory is exceeded.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineMemory {
    services: BTreeMap<String, HeldRequests>,
}

impl EngineMemory {
    /// Records the requests of this router that the engines of a service hold.
    pub(super) fn record_held(&mut self, service: &str, held: &HeldTokens) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), HeldRequests::default());
        }
        if let Some(known) = self.services.get_mut(service) {
            let own = known.own.get_or_insert(*held);
            let difference = held.plus(own, -1.0);
            *own = own.plus(&difference, TOKENS_SMOOTHING);
        }
    }

    /// Records how many requests of other routers an engine has reported.
    pub(super) fn record_report(&mut self, service: &str, others: f64, now_ms: u64) {
        let expected = self.expected_others(service, now_ms);
        if let Some(held) = self.services.get_mut(service) {
            let weight = if others >= expected {
                1.0
            } else {
                FEWER_SMOOTHING
            };
            held.others = Some((expected + weight * (others - expected), now_ms));
        }
    }

    /// Returns the expected number of other routers' requests at an engine.
    fn expected_others(&self, service: &str, now_ms: u64) -> f64 {
        let others = self.services.get(service).and_then(|held| held.others);
        others.map_or(0.0, |(highest, at_ms)| {
            aged(highest, now_ms.saturating_sub(at_ms))
        })
    }

    /// Returns whether an engine that holds `own` requests of this router and a number
    /// of others has room for another one.
    pub(super) fn has_room(
        &self,
        service: &str,
        own: &HeldTokens,
        others: OtherRequests,
        demand: &MemoryDemand,
        now_ms: u64,
    ) -> bool {
        let known = self.services.get(service).and_then(|held| held.own);
        let usual = known.unwrap_or_else(|| HeldTokens::of(demand.tokens));
        let turnover = others.age_ms.map_or(TURNOVER_MS, as_f64) / TURNOVER_MS;
        let turnover = turnover.min(1.0);
        let reported = aged(others.count, others.age_ms.unwrap_or(0));
        // Other routers fill an engine that was emptier than the others.
        let expected = self.expected_others(service, now_ms);
        let filled = (expected - reported).max(0.0) * turnover;
        let held = own.tokens + usual.likely_tokens(reported + filled, turnover);
        let most = as_f64(demand.kv_tokens) * f64::from(demand.fill_percent) / 100.0;
        held + as_f64(demand.tokens) <= most
    }
}
