//! Ways of choosing an engine, on the same skewed prompts.
//!
//! Engines batch continuously and cache prompt prefixes; routers see load
//! reports with a lag and correct them by what they have in flight.

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
const BATCH: usize = 16;
/// Prefixes that an engine's cache holds.
const CACHED_PREFIXES: usize = 12;
const PREFIXES: f64 = 200.0;
/// Time to read a prompt that is not cached, and one that is, in steps of a
/// millisecond of an engine's time.
const COLD_MS: u64 = 60;
const WARM_MS: u64 = 6;
const ANSWER_TOKENS: u64 = 40;
const TOKEN_MS: u64 = 4;
const LAG_MS: u64 = 300;
const DURATION_MS: u64 = 60_000;
/// Requests a second that the engines can just carry without any cached
/// prefix: 12 engines of 16 places, each request taking 60 + 160 ms.
const COLD_CAPACITY: f64 = 870.0;
/// Longest wait for a first token that counts as good, in milliseconds.
const DEADLINE_MS: u64 = 840;

struct Request {
    router: usize,
    prefix: u64,
    arrived_ms: u64,
    started_ms: u64,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<Request>,
    /// When each running request ends, and whose it is.
    running: Vec<(u64, usize)>,
    /// Prefixes, least recently used first.
    cache: VecDeque<u64>,
    reports: VecDeque<(u64, u32)>,
}

impl Engine {
    fn load(&self) -> u32 {
        u32::try_from(self.waiting.len() + self.running.len()).unwrap_or(u32::MAX)
    }

    /// Reads a prefix and says how long it took.
    fn read(&mut self, prefix: u64) -> u64 {
        let cached = self.cache.iter().position(|other| *other == prefix);
        if let Some(at) = cached {
            self.cache.remove(at);
        } else if self.cache.len() == CACHED_PREFIXES {
            self.cache.pop_front();
        }
        self.cache.push_back(prefix);
        if cached.is_some() { WARM_MS } else { COLD_MS }
    }

    fn reported(&self, now_ms: u64) -> u32 {
        let old = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| at + LAG_MS <= now_ms);
        old.map_or(0, |(_, load)| *load)
    }
}

/// Runs all policies at several loads.
pub(super) fn run(seed: u64) {
    for load in [0.5, 1.0, 2.0, 4.0] {
        let policies: [Box<dyn Policy>; 4] = [
            Box::new(RoundRobin::default()),
            Box::new(LeastLoaded),
            Box::new(TwoChoices),
            Box::new(PrefixAffinity),
        ];
        for policy in policies {
            play(policy.as_ref(), load, false, seed);
            play(policy.as_ref(), load, true, seed);
        }
    }
}

/// Moves started requests on and returns how many were refused.
fn take(
    waiting: &mut HashMap<u64, (u64, u64)>,
    ready: &mut Vec<(usize, u64, u64)>,
    decisions: Decisions,
    router: usize,
) -> u64 {
    for id in decisions.admitted {
        if let Some((prefix, arrived_ms)) = waiting.remove(&id) {
            ready.push((router, prefix, arrived_ms));
        }
    }
    for (id, _) in &decisions.refused {
        waiting.remove(id);
    }
    decisions.refused.len() as u64
}

/// Plays one policy, with or without limiters in the routers.
#[allow(clippy::too_many_lines)] // One loop over time, read from top to bottom.
fn play(policy: &dyn Policy, load: f64, gated: bool, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let names: Vec<String> = (0..ENGINES)
        .map(|engine| format!("engine-{engine}"))
        .collect();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    // In flight by router and engine, now and at the report's time.
    let mut in_flight = vec![vec![0_u32; ENGINES]; ROUTERS];
    let mut past: VecDeque<(u64, Vec<Vec<u32>>)> = VecDeque::new();
    let mut first_bytes: Vec<u64> = Vec::new();
    let (mut due, mut good, mut warm, mut count) = (0.0, 0_u64, 0_u64, 0_u64);
    let mut admission: Vec<ConcurrencyLimiter> = (0..ROUTERS)
        .map(|_| ConcurrencyLimiter::default())
        .collect();
    let mut waiting: HashMap<u64, (u64, u64)> = HashMap::new();
    let mut ready: Vec<(usize, u64, u64)> = Vec::new();
    let mut ended: Vec<usize> = Vec::new();
    let mut refused = 0;
    for now_ms in 0..DURATION_MS {
        #[allow(clippy::cast_precision_loss)]
        while due <= now_ms as f64 {
            let unit: f64 = rng.random();
            due += -(1.0 - unit).ln() * 1_000.0 / (COLD_CAPACITY * load);
            count += 1;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let prefix = (rng.random::<f64>().powi(3) * PREFIXES) as u64;
            let router = rng.random_range(0..ROUTERS);
            if !gated {
                ready.push((router, prefix, now_ms));
                continue;
            }
            waiting.insert(count, (prefix, now_ms));
            let request = AdmissionRequest {
                id: count,
                organisation: "one".into(),
                class: DeadlineClass::Standard,
                due_ms: now_ms + DEADLINE_MS,
            };
            let decisions = admission[router].submit(request, now_ms);
            refused += take(&mut waiting, &mut ready, decisions, router);
        }
        for (router, prefix, arrived_ms) in ready.drain(..) {
            let at_report = past.front().map(|(_, old)| &old[router]);
            let candidates: Vec<Candidate<'_>> = (0..ENGINES)
                .map(|engine| Candidate {
                    server: &names[engine],
                    reported: engines[engine].reported(now_ms),
                    in_flight: in_flight[router][engine],
                    in_flight_at_report: at_report.map_or(0, |old| old[engine]),
                })
                .collect();
            let chosen = policy.choose(&candidates, prefix, rng.random());
            if let Some(engine) = chosen {
                in_flight[router][engine] += 1;
                engines[engine].waiting.push_back(Request {
                    router,
                    prefix,
                    arrived_ms,
                    started_ms: now_ms,
                });
            }
        }
        for (number, engine) in engines.iter_mut().enumerate() {
            engine.running.retain(|(until_ms, router)| {
                let running = *until_ms > now_ms;
                if !running {
                    in_flight[*router][number] -= 1;
                    ended.push(*router);
                }
                running
            });
            while engine.running.len() < BATCH
                && let Some(request) = engine.waiting.pop_front()
            {
                let read_ms = engine.read(request.prefix);
                warm += u64::from(read_ms == WARM_MS);
                let wait_ms = now_ms + read_ms - request.arrived_ms;
                good += u64::from(wait_ms <= DEADLINE_MS);
                first_bytes.push(wait_ms);
                let elapsed_ms = now_ms + read_ms - request.started_ms;
                admission[request.router].record_first_byte(elapsed_ms, DEADLINE_MS);
                let until_ms = now_ms + read_ms + ANSWER_TOKENS * TOKEN_MS;
                engine.running.push((until_ms, request.router));
            }
            engine.reports.push_back((now_ms, engine.load()));
            while engine
                .reports
                .front()
                .is_some_and(|(at, _)| at + 2 * LAG_MS < now_ms)
            {
                engine.reports.pop_front();
            }
        }
        for router in ended.drain(..) {
            let decisions = admission[router].finish(now_ms);
            refused += take(&mut waiting, &mut ready, decisions, router);
        }
        if now_ms.is_multiple_of(50) {
            past.push_back((now_ms, in_flight.clone()));
            while past.get(1).is_some_and(|(at, _)| at + LAG_MS <= now_ms) {
                past.pop_front();
            }
        }
    }
    first_bytes.sort_unstable();
    let quantile = |percent: usize| first_bytes.get(first_bytes.len() * percent / 100).copied();
    let line = json!({
        "policy": policy.name(),
        "gated": gated,
        "load": load,
        "refused": refused,
        "requests": count,
        "first_token_p50_ms": quantile(50),
        "first_token_p95_ms": quantile(95),
        "good_per_s": good * 1_000 / DURATION_MS,
        "warm_percent": warm * 100 / (first_bytes.len() as u64).max(1),
    });
    println!("{line}");
}
