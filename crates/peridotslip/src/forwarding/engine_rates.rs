//! How fast the engines of a service work, learnt from times to first byte.
//!
//! Waiting for other requests only makes a first byte later, so a low quantile of
//! the time per prompt token is close to the time that the work itself takes.
//! Samples are weighed by their tokens, because fixed delays dominate the time of
//! a small prompt, and lose weight with age.

use std::collections::{BTreeMap, VecDeque};

use super::LoadReport;

/// Prompt tokens that an engine processes in a millisecond until the rate of its
/// service has been learnt.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 32.4;
/// Predicted delay for each request that an engine is running until the delay has
/// been learnt, in milliseconds.
pub(super) const ENGINE_REQUEST_MS: f64 = 9.0;
/// Lowest and highest rate of a service, in prompt tokens per millisecond.
const RATE_BOUNDS: (f64, f64) = (8.0, 400.0);
/// Lowest and highest speed of an engine relative to its service.
const SPEED_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Lowest and highest delay of a request for each running one, in milliseconds. A
/// request also slows the events of the batch that it joins, so the lowest one is
/// above 0.
const REQUEST_DELAY_BOUNDS_MS: (f64, f64) = (3.0, 27.0);
/// Fewest prompt tokens of a sample.
const MIN_SAMPLE_TOKENS: u64 = 256;
/// Weight of the prior rate of a service, in tokens.
const RATE_PRIOR_TOKENS: f64 = 50_000.0;
/// Weight of the prior speed of an engine, in tokens.
const SPEED_PRIOR_TOKENS: f64 = 3_000.0;
/// Weight of the prior delay of a running request, in samples.
const REQUEST_DELAY_PRIOR_SAMPLES: f64 = 20.0;
/// Time in which samples lose half of their weight, in milliseconds.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Quantile of the time per token that is taken for the work itself.
const WORK_QUANTILE: f64 = 0.25;
/// Quantile of the further delay for each running request.
const REQUEST_DELAY_QUANTILE: f64 = 0.5;
/// Number of samples that are kept for each engine.
const MAX_ENGINE_SAMPLES: usize = 24;
/// Age from which the sample of an engine is dropped, in milliseconds.
const MAX_ENGINE_SAMPLE_AGE_MS: u64 = 180_000;
/// How long a service counts as one whose engines report the speed of their machines
/// after the last such report, in milliseconds.
const REPORTING_MS: u64 = 60_000;
/// Maximum number of services with rates.
const MAX_SERVICES: usize = 1_000;
/// Ratio of the upper to the lower bound of a histogram's bin.
const BIN_RATIO: f64 = 1.04;

/// Lowest and highest percentage that a report of a machine's speed counts as.
const WORK_PERCENT_BOUNDS: (u32, u32) = (50, 400);
/// Age at which a report of a machine's speed no longer counts, in milliseconds:
/// other users of a machine slow it for about as long at a time.
const MAX_WORK_REPORT_AGE_MS: f64 = 600.0;

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}

/// Returns the factor on the time that work takes on an engine's machine, by a
/// report that arrived `age_ms` ago. It approaches 1 as the report gets older. A
/// figure of 0 can't be true and counts as none.
pub(super) fn work_factor(report: &LoadReport, age_ms: u64) -> f64 {
    let Some(percent) = report.work_percent.filter(|percent| *percent > 0) else {
        return 1.0;
    };
    let (lowest, highest) = WORK_PERCENT_BOUNDS;
    let reported = f64::from(percent.clamp(lowest, highest)) / 100.0;
    let weight = (1.0 - as_f64(age_ms) / MAX_WORK_REPORT_AGE_MS).max(0.0);
    1.0 + weight * (reported - 1.0)
}

/// Weighted samples of a positive quantity in bins of equal ratio. Older samples
/// have less weight.
#[derive(Clone, Debug)]
struct AgedHistogram {
    lowest: f64,
    weights: Vec<f64>,
    aged_at_ms: u64,
}

impl AgedHistogram {
    /// Returns an empty histogram for values between `lowest` and `highest`. Others
    /// count as the nearest of these.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Few bins.
    fn new(lowest: f64, highest: f64) -> Self {
        let bins = ((highest / lowest).ln() / BIN_RATIO.ln()).ceil() as usize + 1;
        Self {
            lowest,
            weights: vec![0.0; bins],
            aged_at_ms: 0,
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
    fn record(&mut self, value: f64, weight: f64, now_ms: u64) {
        let age_ms = as_f64(now_ms.saturating_sub(self.aged_at_ms));
        self.aged_at_ms = self.aged_at_ms.max(now_ms);
        let decay = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        for weight in &mut self.weights {
            *weight *= decay;
        }
        let bin = ((value / self.lowest).max(1.0).ln() / BIN_RATIO.ln()) as usize;
        let last = self.weights.len() - 1;
        self.weights[bin.min(last)] += weight;
    }

    fn total(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// Returns the value below which `quantile` of the weight lies; `None` without
    /// samples.
    fn quantile(&self, quantile: f64) -> Option<f64> {
        let mut left = self.total() * quantile;
        if left <= 0.0 {
            return None;
        }
        let mut lower = self.lowest;
        for weight in &self.weights {
            if *weight >= left {
                return Some(lower * BIN_RATIO.powf(left / weight));
            }
            left -= weight;
            lower *= BIN_RATIO;
        }
        Some(lower)
    }

    /// Returns the geometric mean of `prior` and the quantile, by their weights.
    fn estimate(&self, quantile: f64, prior: f64, prior_weight: f64) -> f64 {
        let Some(learnt) = self.quantile(quantile) else {
            return prior;
        };
        blend(prior, prior_weight, learnt, self.total())
    }
}

/// Returns the geometric mean of two positive values, by their weights.
fn blend(a: f64, a_weight: f64, b: f64, b_weight: f64) -> f64 {
    let sum = a.ln() * a_weight + b.ln() * b_weight;
    (sum / (a_weight + b_weight)).exp()
}

/// A first byte of an engine, as a sample of how fast the engine works.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstByteSample {
    /// Prompt tokens that the engine had to process.
    pub(super) tokens: u64,
    /// Time from the request to the first byte, in milliseconds.
    pub(super) elapsed_ms: u64,
    /// Requests at the engine.
    pub(super) load: u32,
    /// Factor on the time that work takes on the engine's machine.
    pub(super) work_factor: f64,
    /// When the first byte arrived, in milliseconds.
    pub(super) at_ms: u64,
}

impl FirstByteSample {
    /// Returns the milliseconds for each prompt token on a machine that works at its
    /// usual speed; `None` if the prompt is too small.
    fn ms_per_token(&self) -> Option<f64> {
        (self.tokens >= MIN_SAMPLE_TOKENS)
            .then(|| as_f64(self.elapsed_ms.max(1)) / as_f64(self.tokens) / self.work_factor)
    }
}

/// How fast one engine works.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineSpeed {
    /// The times of the last samples, their milliseconds for each prompt token and
    /// their tokens, the latest last.
    samples: VecDeque<(u64, f64, f64)>,
    /// The quantile of the milliseconds for each prompt token, and the tokens of all
    /// samples.
    learnt: Option<(f64, f64)>,
}

impl EngineSpeed {
    fn record(&mut self, ms_per_token: f64, sample: &FirstByteSample) {
        let oldest_ms = sample.at_ms.saturating_sub(MAX_ENGINE_SAMPLE_AGE_MS);
        self.samples.retain(|(at_ms, _, _)| *at_ms >= oldest_ms);
        if self.samples.len() >= MAX_ENGINE_SAMPLES {
            self.samples.pop_front();
        }
        self.samples
            .push_back((sample.at_ms, ms_per_token, as_f64(sample.tokens)));
        self.learnt = self.quantile();
    }

    /// Returns the quantile of the milliseconds for each prompt token, and the tokens of
    /// all samples.
    fn quantile(&self) -> Option<(f64, f64)> {
        let mut sorted: Vec<(f64, f64)> = self
            .samples
            .iter()
            .map(|(_, ms_per_token, tokens)| (*ms_per_token, *tokens))
            .collect();
        sorted.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        let total: f64 = sorted.iter().map(|(_, tokens)| tokens).sum();
        let mut left = total * WORK_QUANTILE;
        let quantile = sorted.iter().find(|(_, tokens)| {
            left -= tokens;
            left <= 0.0
        });
        quantile.map(|(ms_per_token, _)| (*ms_per_token, total))
    }

    /// Returns the speed relative to a service that processes `tokens_per_ms`.
    fn relative(&self, tokens_per_ms: f64) -> f64 {
        let Some((ms_per_token, tokens)) = self.learnt else {
            return 1.0;
        };
        let relative = 1.0 / (ms_per_token * tokens_per_ms);
        let (lowest, highest) = SPEED_BOUNDS;
        blend(1.0, SPEED_PRIOR_TOKENS, relative, tokens).clamp(lowest, highest)
    }
}

/// What is predicted of an engine that works at its usual speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EngineRate {
    /// Prompt tokens that the engine processes in a millisecond.
    pub(super) tokens_per_ms: f64,
    /// Delay for each request that the engine is running, in milliseconds.
    pub(super) request_ms: f64,
}

/// The rates of a service whose engines report the speed of their machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRate {
    /// Prompt tokens that an engine processes in a millisecond.
    pub tokens_per_ms: f64,
    /// Delay of a request for each one that its engine is running, in milliseconds.
    pub request_ms: f64,
}

#[derive(Clone, Debug)]
struct ServiceSamples {
    /// When an engine last reported the speed of its machine.
    reported_at_ms: u64,
    ms_per_token: AgedHistogram,
    request_ms: AgedHistogram,
    rate: ServiceRate,
}

impl ServiceSamples {
    fn new() -> Self {
        let (slowest, fastest) = RATE_BOUNDS;
        let (shortest_ms, longest_ms) = REQUEST_DELAY_BOUNDS_MS;
        Self {
            reported_at_ms: 0,
            ms_per_token: AgedHistogram::new(1.0 / fastest, 1.0 / slowest),
            request_ms: AgedHistogram::new(shortest_ms, longest_ms),
            rate: ServiceRate {
                tokens_per_ms: PREFILL_TOKENS_PER_MS,
                request_ms: ENGINE_REQUEST_MS,
            },
        }
    }

    fn record(&mut self, ms_per_token: f64, sample: &FirstByteSample) {
        let weight = as_f64(sample.tokens);
        self.ms_per_token.record(ms_per_token, weight, sample.at_ms);
        let prior = 1.0 / PREFILL_TOKENS_PER_MS;
        let learnt = self
            .ms_per_token
            .estimate(WORK_QUANTILE, prior, RATE_PRIOR_TOKENS);
        let (slowest, fastest) = RATE_BOUNDS;
        self.rate.tokens_per_ms = (1.0 / learnt).clamp(slowest, fastest);
        if sample.load > 1 {
            let others = f64::from(sample.load - 1);
            let work_ms = as_f64(sample.tokens) / self.rate.tokens_per_ms;
            let waited_ms = as_f64(sample.elapsed_ms) / sample.work_factor - work_ms;
            self.request_ms
                .record(waited_ms / others, 1.0, sample.at_ms);
            let (shortest_ms, longest_ms) = REQUEST_DELAY_BOUNDS_MS;
            self.rate.request_ms = self
                .request_ms
                .estimate(
                    REQUEST_DELAY_QUANTILE,
                    ENGINE_REQUEST_MS,
                    REQUEST_DELAY_PRIOR_SAMPLES,
                )
                .clamp(shortest_ms, longest_ms);
        }
    }
}

/// The rates of all services whose engines report the speed of their machines.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineRates {
    services: BTreeMap<String, ServiceSamples>,
}

impl EngineRates {
    /// Records that a load report of an engine has arrived.
    pub(super) fn record_report(&mut self, service: &str, report: &LoadReport, now_ms: u64) {
        if report.work_percent.is_none() {
            return;
        }
        if let Some(samples) = self.services.get_mut(service) {
            samples.reported_at_ms = samples.reported_at_ms.max(now_ms);
            return;
        }
        if self.services.len() >= MAX_SERVICES {
            self.services
                .retain(|_, samples| now_ms < samples.reported_at_ms + REPORTING_MS);
        }
        if self.services.len() < MAX_SERVICES {
            let mut samples = ServiceSamples::new();
            samples.reported_at_ms = now_ms;
            self.services.insert(service.to_owned(), samples);
        }
    }

    /// Records the first byte of an engine of a service.
    pub(super) fn record_first_byte(
        &mut self,
        service: &str,
        speed: &mut EngineSpeed,
        sample: &FirstByteSample,
    ) {
        let samples = self.services.get_mut(service);
        if let Some(samples) = samples
            && let Some(ms_per_token) = sample.ms_per_token()
        {
            samples.record(ms_per_token, sample);
            speed.record(ms_per_token, sample);
        }
    }

    /// Returns the rates of a service; `None` if its engines have not reported the
    /// speed of their machines lately.
    pub(super) fn service(&self, service: &str, now_ms: u64) -> Option<ServiceRate> {
        let samples = self.services.get(service)?;
        (now_ms < samples.reported_at_ms + REPORTING_MS).then_some(samples.rate)
    }
}

impl ServiceRate {
    /// Returns what is predicted of an engine of the service.
    pub(super) fn of_engine(&self, speed: &EngineSpeed) -> EngineRate {
        let relative = speed.relative(self.tokens_per_ms);
        EngineRate {
            tokens_per_ms: self.tokens_per_ms * relative,
            request_ms: self.request_ms / relative,
        }
    }
}
