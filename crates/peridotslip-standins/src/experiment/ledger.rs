//! A comparison of schemes for spending one budget from many routers, under the
//! same load.

mod schemes;

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

use self::schemes::{CasPerRequest, Decision, EscrowedGrants, Scheme, StaticPartition};

/// Tokens reserved for each request.
const RESERVED_TOKENS: u64 = 300;
/// Largest number of tokens that a request uses.
const MAX_USED_TOKENS: u64 = 200;
/// Duration of a request, in milliseconds.
const REQUEST_DURATION_MS: u64 = 200;
/// Longest time for which a request waits for tokens, in milliseconds.
const MAX_WAIT_MS: u64 = 1_500;
/// Arrival rate of the whole fleet, in requests per second.
const REQUESTS_PER_S: f64 = 300.0;

/// The fault injected when half the budget is spent. The names are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// One router crashes.
    Death,
    /// One router is partitioned from the store and from all other routers.
    Cut,
}

/// Counts and latencies of one simulation.
#[derive(Default)]
struct SimulationStats {
    requests: u64,
    refused: u64,
    /// Refusals by the partitioned router, which has spent its grants.
    refused_partitioned: u64,
    false_refusals: u64,
    /// Unspent tokens of the budget at the first false refusal.
    unspent_at_first_false_refusal: Option<u64>,
    /// Times from the arrival of each admitted request to its admission.
    waits_ms: Vec<u64>,
    /// Writes that reached the store.
    writes: u64,
    /// Tokens spent beyond the paid amount.
    overspent: u64,
    duration_ms: u64,
}

impl SimulationStats {
    /// Counts a refusal as false if `unspent`, the tokens left in the whole fleet,
    /// would have covered the request.
    fn record_false_refusal(&mut self, unspent: u64) {
        if unspent >= RESERVED_TOKENS {
            self.false_refusals += 1;
            self.unspent_at_first_false_refusal.get_or_insert(unspent);
        }
    }
}

/// An event of the simulation. Events at the same time are processed in the order
/// of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request ends after using `used` tokens.
    Finish { router: usize, used: u64, id: u64 },
    /// A request that arrived at `since_ms` tries again to reserve tokens.
    Retry { router: usize, since_ms: u64 },
    /// A new request arrives.
    Arrive,
}

/// Runs all schemes and prints the results.
pub(super) fn run(seed: u64) {
    for fault in [Fault::None, Fault::Death, Fault::Cut] {
        for scheme in schemes(9) {
            let paid = 4_000_000;
            let result = simulate(scheme, 9, paid, u64::MAX, fault, seed);
            print("to the end of the budget", &result, 9, paid, fault);
        }
    }
    for routers in [3, 9, 27, 81] {
        for scheme in schemes(routers) {
            let result = simulate(scheme, routers, u64::MAX / 4, 20_000, Fault::None, seed);
            print("store writes", &result, routers, 0, Fault::None);
        }
    }
}

fn schemes(routers: usize) -> Vec<Box<dyn Scheme>> {
    vec![
        Box::new(CasPerRequest::new(routers)),
        Box::new(StaticPartition::new(routers)),
        Box::new(EscrowedGrants::direct(routers)),
        Box::new(EscrowedGrants::with_writer(routers)),
    ]
}

struct SchemeResult {
    name: &'static str,
    stats: SimulationStats,
}

fn print(measurement: &str, result: &SchemeResult, routers: usize, paid: u64, fault: Fault) {
    let stats = &result.stats;
    let mut waits = stats.waits_ms.clone();
    waits.sort_unstable();
    let quantile = |percent: usize| waits.get(waits.len() * percent / 100).copied().unwrap_or(0);
    let ratio = |part: u64, whole: u64| as_f64(part) / as_f64(whole.max(1));
    let line = json!({
        "what": measurement,
        "scheme": result.name,
        "routers": routers,
        "fault": format!("{fault:?}"),
        "requests": stats.requests,
        "refused": stats.refused,
        "refused_cut_off": stats.refused_partitioned,
        "false_refusals_per_10000": ratio(stats.false_refusals * 10_000, stats.requests),
        "unspent_percent_at_first_false_refusal":
            stats.unspent_at_first_false_refusal.map(|tokens| 100.0 * ratio(tokens, paid)),
        "wait_p50_ms": quantile(50),
        "wait_p99_ms": quantile(99),
        "writes_per_s": ratio(stats.writes * 1_000, stats.duration_ms),
        "overspent": stats.overspent,
    });
    println!("{line}");
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}

/// Simulates one scheme until `limit_ms` is reached or more than 200 requests in a
/// row are refused, which means that the budget is exhausted. Refusals by a
/// partitioned router don't count.
fn simulate(
    mut scheme: Box<dyn Scheme>,
    routers: usize,
    paid: u64,
    limit_ms: u64,
    fault: Fault,
    seed: u64,
) -> SchemeResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut stats = SimulationStats::default();
    let mut events: BinaryHeap<Reverse<(u64, Event)>> = BinaryHeap::new();
    let (mut spent, mut last_id, mut consecutive_refusals) = (0_u64, 0, 0);
    let mut next_arrival = 0.0_f64;
    let mut fault_injected = false;
    let is_partitioned = |router: usize| fault == Fault::Cut && router == routers - 1;
    events.push(Reverse((0, Event::Arrive)));
    while let Some(Reverse((now_ms, event))) = events.pop() {
        if now_ms > limit_ms || consecutive_refusals > 200 {
            break;
        }
        stats.duration_ms = now_ms;
        scheme.advance(now_ms);
        if fault != Fault::None && !fault_injected && spent > paid / 2 {
            fault_injected = true;
            match fault {
                Fault::Death => scheme.crash(routers - 1),
                _ => scheme.partition(routers - 1),
            }
        }
        let (router, since_ms) = match event {
            Event::Finish { router, used, id } => {
                if fault_injected && fault == Fault::Death && router == routers - 1 {
                    // The caller of the crashed router never received a complete
                    // response, so the tokens are not billed.
                    spent -= used;
                    continue;
                }
                scheme.settle(router, id, used, now_ms);
                continue;
            }
            Event::Retry { since_ms, .. } if now_ms > since_ms + MAX_WAIT_MS => {
                consecutive_refusals += 1;
                stats.refused += 1;
                stats.record_false_refusal(paid.saturating_sub(spent));
                continue;
            }
            Event::Retry { router, since_ms } => (router, since_ms),
            Event::Arrive => {
                let unit: f64 = rng.random();
                next_arrival += -(1.0 - unit).ln() * 1_000.0 / REQUESTS_PER_S;
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                events.push(Reverse((next_arrival as u64, Event::Arrive)));
                stats.requests += 1;
                let router = draw_router(&mut rng, routers);
                if fault_injected && fault == Fault::Death && router == routers - 1 {
                    continue;
                }
                (router, now_ms)
            }
        };
        last_id += 1;
        match scheme.reserve(router, last_id, RESERVED_TOKENS, paid, now_ms) {
            Decision::Admit => {
                consecutive_refusals = 0;
                stats.waits_ms.push(now_ms - since_ms);
                let used = rng.random_range(20..=MAX_USED_TOKENS);
                spent += used;
                let id = last_id;
                events.push(Reverse((
                    now_ms + REQUEST_DURATION_MS,
                    Event::Finish { router, used, id },
                )));
            }
            Decision::RetryAt(until_ms) => {
                let retry = Event::Retry { router, since_ms };
                events.push(Reverse((until_ms.max(now_ms + 1), retry)));
            }
            Decision::Reject if is_partitioned(router) && fault_injected => {
                stats.refused_partitioned += 1;
            }
            Decision::Reject => {
                consecutive_refusals += 1;
                stats.refused += 1;
                stats.record_false_refusal(paid.saturating_sub(spent));
            }
        }
    }
    stats.overspent = spent.saturating_sub(paid);
    stats.writes = scheme.writes();
    SchemeResult {
        name: scheme.name(),
        stats,
    }
}

/// Draws a router from a skewed distribution: the load falls from the first
/// router to the last.
fn draw_router(rng: &mut SmallRng, routers: usize) -> usize {
    let skewed = rng.random::<f64>().powi(2);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let router = (skewed * routers as f64) as usize;
    router.min(routers - 1)
}
