//! A comparison of policies for choosing an engine, on the same skewed prompts.
//!
//! Engines batch continuously and cache prompt prefixes. Routers receive load
//! reports with a delay and correct them by their own requests in flight.

use std::collections::{HashMap, VecDeque};

use peridotslip::{
    admission::{AdmissionRequest, ConcurrencyLimiter, Decisions},
    balance::{LeastLoaded, PrefixAffinity, RoundRobin, TwoChoices},
    prelude::*,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

const ENGINES: usize = 12;
const ROUTERS: usize = 9;
/// Largest number of requests that an engine runs at the same time.
const BATCH_SIZE: usize = 16;
/// Capacity of an engine's cache, in prefixes.
const CACHED_PREFIXES: usize = 12;
/// Number of distinct prefixes.
const PREFIXES: f64 = 200.0;
/// Prefill time of a prompt whose prefix is not cached, in milliseconds.
const COLD_PREFILL_MS: u64 = 60;
/// Prefill time of a prompt whose prefix is cached, in milliseconds.
const WARM_PREFILL_MS: u64 = 6;
/// Tokens of each response.
const RESPONSE_TOKENS: u64 = 40;
/// Time per token, in milliseconds.
const TOKEN_MS: u64 = 4;
/// Delay of load reports, in milliseconds.
const REPORT_LAG_MS: u64 = 300;
/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 60_000;
/// Requests per second that saturate the engines if no prefix is cached: 12
/// engines with batches of 16 requests, each of which takes 60 + 160 ms.
const COLD_CAPACITY_PER_S: f64 = 870.0;
/// Deadline of the first token, in milliseconds after the arrival of the request.
const DEADLINE_MS: u64 = 840;

struct SimulatedRequest {
    router: usize,
    prefix: u64,
    arrived_ms: u64,
    /// When the router sent the request to the engine, in milliseconds.
    sent_ms: u64,
}

#[derive(Default)]
struct SimulatedEngine {
    queued: VecDeque<SimulatedRequest>,
    /// End of each running request, in milliseconds, and the router that sent it.
    running: Vec<(u64, usize)>,
    /// Prefixes, least recently used first.
    cache: VecDeque<u64>,
    /// Time, in milliseconds, and load at the end of each simulated millisecond.
    reports: VecDeque<(u64, u32)>,
}

impl SimulatedEngine {
    fn load(&self) -> u32 {
        u32::try_from(self.queued.len() + self.running.len()).unwrap_or(u32::MAX)
    }

    /// Looks up a prefix, inserts it if it is missing and returns the prefill time
    /// in milliseconds.
    fn prefill(&mut self, prefix: u64) -> u64 {
        let cached = self.cache.iter().position(|other| *other == prefix);
        if let Some(position) = cached {
            self.cache.remove(position);
        } else if self.cache.len() == CACHED_PREFIXES {
            self.cache.pop_front();
        }
        self.cache.push_back(prefix);
        if cached.is_some() {
            WARM_PREFILL_MS
        } else {
            COLD_PREFILL_MS
        }
    }

    /// Returns the load that routers see: as of [`REPORT_LAG_MS`] ago.
    fn reported(&self, now_ms: u64) -> u32 {
        let delayed = self
            .reports
            .iter()
            .rev()
            .find(|(at_ms, _)| at_ms + REPORT_LAG_MS <= now_ms);
        delayed.map_or(0, |(_, load)| *load)
    }
}

/// Runs all policies at several loads, which are multiples of
/// [`COLD_CAPACITY_PER_S`], with and without concurrency limits, and prints the
/// results.
pub(super) fn run(seed: u64) {
    for load in [0.5, 1.0, 2.0, 4.0] {
        let policies: [Box<dyn Policy>; 4] = [
            Box::new(RoundRobin::default()),
            Box::new(LeastLoaded),
            Box::new(TwoChoices),
            Box::new(PrefixAffinity),
        ];
        for policy in policies {
            simulate(policy.as_ref(), load, false, seed);
            simulate(policy.as_ref(), load, true, seed);
        }
    }
}

/// Moves admitted requests from the queue to `admitted`, removes refused requests
/// and returns the number of refused requests.
///
/// The queue maps the ID of a request to its prefix and arrival time in
/// milliseconds; entries of `admitted` are a router, a prefix and an arrival time.
fn apply_decisions(
    queued: &mut HashMap<u64, (u64, u64)>,
    admitted: &mut Vec<(usize, u64, u64)>,
    decisions: Decisions,
    router: usize,
) -> u64 {
    for id in decisions.admitted {
        if let Some((prefix, arrived_ms)) = queued.remove(&id) {
            admitted.push((router, prefix, arrived_ms));
        }
    }
    for (id, _) in &decisions.refused {
        queued.remove(id);
    }
    decisions.refused.len() as u64
}

/// Simulates one policy, with or without concurrency limits in the routers, and
/// prints the result.
#[allow(clippy::too_many_lines)] // One loop over simulated time, clearer in one piece.
fn simulate(policy: &dyn Policy, load: f64, with_limiters: bool, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let engine_names: Vec<String> = (0..ENGINES)
        .map(|engine| format!("engine-{engine}"))
        .collect();
    let mut engines: Vec<SimulatedEngine> =
        (0..ENGINES).map(|_| SimulatedEngine::default()).collect();
    // Requests in flight by router and engine, now and at the time of the load
    // report.
    let mut in_flight = vec![vec![0_u32; ENGINES]; ROUTERS];
    let mut in_flight_history: VecDeque<(u64, Vec<Vec<u32>>)> = VecDeque::new();
    let mut first_token_ms: Vec<u64> = Vec::new();
    let (mut next_arrival_ms, mut within_deadline, mut warm_count, mut request_count) =
        (0.0, 0_u64, 0_u64, 0_u64);
    let mut limiters: Vec<ConcurrencyLimiter> = (0..ROUTERS)
        .map(|_| ConcurrencyLimiter::default())
        .collect();
    let mut queued: HashMap<u64, (u64, u64)> = HashMap::new();
    let mut admitted: Vec<(usize, u64, u64)> = Vec::new();
    let mut finished: Vec<usize> = Vec::new();
    let mut refused = 0;
    for now_ms in 0..DURATION_MS {
        #[allow(clippy::cast_precision_loss)]
        while next_arrival_ms <= now_ms as f64 {
            let unit: f64 = rng.random();
            next_arrival_ms += -(1.0 - unit).ln() * 1_000.0 / (COLD_CAPACITY_PER_S * load);
            request_count += 1;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let prefix = (rng.random::<f64>().powi(3) * PREFIXES) as u64;
            let router = rng.random_range(0..ROUTERS);
            if !with_limiters {
                admitted.push((router, prefix, now_ms));
                continue;
            }
            queued.insert(request_count, (prefix, now_ms));
            let request = AdmissionRequest {
                id: request_count,
                organisation: "one".into(),
                class: DeadlineClass::Standard,
                due_ms: now_ms + DEADLINE_MS,
            };
            let decisions = limiters[router].submit(request, now_ms);
            refused += apply_decisions(&mut queued, &mut admitted, decisions, router);
        }
        for (router, prefix, arrived_ms) in admitted.drain(..) {
            let at_report = in_flight_history.front().map(|(_, old)| &old[router]);
            let candidates: Vec<Candidate<'_>> = (0..ENGINES)
                .map(|engine| Candidate {
                    server: &engine_names[engine],
                    reported: engines[engine].reported(now_ms),
                    in_flight: in_flight[router][engine],
                    in_flight_at_report: at_report.map_or(0, |old| old[engine]),
                })
                .collect();
            let chosen = policy.choose(&candidates, prefix, rng.random());
            if let Some(engine) = chosen {
                in_flight[router][engine] += 1;
                engines[engine].queued.push_back(SimulatedRequest {
                    router,
                    prefix,
                    arrived_ms,
                    sent_ms: now_ms,
                });
            }
        }
        for (index, engine) in engines.iter_mut().enumerate() {
            engine.running.retain(|(until_ms, router)| {
                let running = *until_ms > now_ms;
                if !running {
                    in_flight[*router][index] -= 1;
                    finished.push(*router);
                }
                running
            });
            while engine.running.len() < BATCH_SIZE
                && let Some(request) = engine.queued.pop_front()
            {
                let prefill_ms = engine.prefill(request.prefix);
                warm_count += u64::from(prefill_ms == WARM_PREFILL_MS);
                let wait_ms = now_ms + prefill_ms - request.arrived_ms;
                within_deadline += u64::from(wait_ms <= DEADLINE_MS);
                first_token_ms.push(wait_ms);
                let elapsed_ms = now_ms + prefill_ms - request.sent_ms;
                limiters[request.router].record_first_byte(elapsed_ms, DEADLINE_MS);
                let until_ms = now_ms + prefill_ms + RESPONSE_TOKENS * TOKEN_MS;
                engine.running.push((until_ms, request.router));
            }
            engine.reports.push_back((now_ms, engine.load()));
            while engine
                .reports
                .front()
                .is_some_and(|(at_ms, _)| at_ms + 2 * REPORT_LAG_MS < now_ms)
            {
                engine.reports.pop_front();
            }
        }
        for router in finished.drain(..) {
            let decisions = limiters[router].finish(now_ms);
            refused += apply_decisions(&mut queued, &mut admitted, decisions, router);
        }
        // A snapshot is taken every 50 ms. Snapshots older than the load report are
        // dropped, except the last, which serves as the state at the report.
        if now_ms.is_multiple_of(50) {
            in_flight_history.push_back((now_ms, in_flight.clone()));
            while in_flight_history
                .get(1)
                .is_some_and(|(at_ms, _)| at_ms + REPORT_LAG_MS <= now_ms)
            {
                in_flight_history.pop_front();
            }
        }
    }
    first_token_ms.sort_unstable();
    let quantile = |percent: usize| {
        first_token_ms
            .get(first_token_ms.len() * percent / 100)
            .copied()
    };
    let line = json!({
        "policy": policy.name(),
        "gated": with_limiters,
        "load": load,
        "refused": refused,
        "requests": request_count,
        "first_token_p50_ms": quantile(50),
        "first_token_p95_ms": quantile(95),
        "good_per_s": within_deadline * 1_000 / DURATION_MS,
        "warm_percent": warm_count * 100 / (first_token_ms.len() as u64).max(1),
    });
    println!("{line}");
}
