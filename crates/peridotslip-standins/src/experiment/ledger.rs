//! Ways of spending one budget from many routers, on the same load.

mod schemes;

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

use self::schemes::{Decision, EvenSplit, Granted, Scheme, SwapEach};

/// Most tokens a request may cost, and the most it does cost.
const BOUND: u64 = 300;
const MOST_USED: u64 = 200;
/// How long a request runs, in milliseconds.
const RUN_MS: u64 = 200;
/// Longest wait of a request for tokens, in milliseconds.
const LONGEST_WAIT_MS: u64 = 1_500;
/// Requests a second of the whole fleet.
const RATE: f64 = 300.0;

/// What befalls the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// One router dies in the middle.
    Death,
    /// One router is cut off from the store and all others in the middle.
    Cut,
}

/// A run's figures.
#[derive(Default)]
struct Figures {
    requests: u64,
    refused: u64,
    /// Refusals by the router that is cut off: it has spent what it held.
    refused_cut_off: u64,
    false_refusals: u64,
    /// Tokens neither billed nor spent at the first false refusal.
    unspent_at_first: Option<u64>,
    waits_ms: Vec<u64>,
    writes: u64,
    overspent: u64,
    duration_ms: u64,
}

impl Figures {
    /// Counts a refusal as false if tokens for it were left anywhere.
    fn note_false(&mut self, unspent: u64) {
        if unspent >= BOUND {
            self.false_refusals += 1;
            self.unspent_at_first.get_or_insert(unspent);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { router: usize, used: u64, id: u64 },
    Retry { router: usize, since_ms: u64 },
    Arrive,
}

/// Runs all schemes.
pub(super) fn run(seed: u64) {
    for fault in [Fault::None, Fault::Death, Fault::Cut] {
        for scheme in schemes(9) {
            let paid = 4_000_000;
            let figures = play(scheme, 9, paid, u64::MAX, fault, seed);
            print("to the end of the budget", &figures, 9, paid, fault);
        }
    }
    for routers in [3, 9, 27, 81] {
        for scheme in schemes(routers) {
            let figures = play(scheme, routers, u64::MAX / 4, 20_000, Fault::None, seed);
            print("store writes", &figures, routers, 0, Fault::None);
        }
    }
}

fn schemes(routers: usize) -> Vec<Box<dyn Scheme>> {
    vec![
        Box::new(SwapEach::new(routers)),
        Box::new(EvenSplit::new(routers)),
        Box::new(Granted::direct(routers)),
        Box::new(Granted::with_writer(routers)),
    ]
}

struct Named {
    name: &'static str,
    figures: Figures,
}

fn print(what: &str, run: &Named, routers: usize, paid: u64, fault: Fault) {
    let figures = &run.figures;
    let mut waits = figures.waits_ms.clone();
    waits.sort_unstable();
    let quantile = |percent: usize| waits.get(waits.len() * percent / 100).copied().unwrap_or(0);
    let share = |part: u64, whole: u64| as_f64(part) / as_f64(whole.max(1));
    let line = json!({
        "what": what,
        "scheme": run.name,
        "routers": routers,
        "fault": format!("{fault:?}"),
        "requests": figures.requests,
        "refused": figures.refused,
        "refused_cut_off": figures.refused_cut_off,
        "false_refusals_per_10000": share(figures.false_refusals * 10_000, figures.requests),
        "unspent_percent_at_first_false_refusal":
            figures.unspent_at_first.map(|tokens| 100.0 * share(tokens, paid)),
        "wait_p50_ms": quantile(50),
        "wait_p99_ms": quantile(99),
        "writes_per_s": share(figures.writes * 1_000, figures.duration_ms),
        "overspent": figures.overspent,
    });
    println!("{line}");
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}

/// Plays one scheme until its budget is used up or the time is over.
fn play(
    mut scheme: Box<dyn Scheme>,
    routers: usize,
    paid: u64,
    limit_ms: u64,
    fault: Fault,
    seed: u64,
) -> Named {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut figures = Figures::default();
    let mut events: BinaryHeap<Reverse<(u64, Event)>> = BinaryHeap::new();
    let (mut spent, mut last_id, mut refused_in_a_row) = (0_u64, 0, 0);
    let mut next_arrival = 0.0_f64;
    let mut struck = false;
    let cut_off = |router: usize| fault == Fault::Cut && router == routers - 1;
    events.push(Reverse((0, Event::Arrive)));
    while let Some(Reverse((now_ms, event))) = events.pop() {
        if now_ms > limit_ms || refused_in_a_row > 200 {
            break;
        }
        figures.duration_ms = now_ms;
        scheme.advance(now_ms);
        if fault != Fault::None && !struck && spent > paid / 2 {
            struck = true;
            match fault {
                Fault::Death => scheme.kill(routers - 1),
                _ => scheme.cut(routers - 1),
            }
        }
        let (router, since_ms) = match event {
            Event::Finish { router, used, id } => {
                if struck && fault == Fault::Death && router == routers - 1 {
                    // Its caller never got a whole answer.
                    spent -= used;
                    continue;
                }
                scheme.settle(router, id, used, now_ms);
                continue;
            }
            Event::Retry { since_ms, .. } if now_ms > since_ms + LONGEST_WAIT_MS => {
                refused_in_a_row += 1;
                figures.refused += 1;
                figures.note_false(paid.saturating_sub(spent));
                continue;
            }
            Event::Retry { router, since_ms } => (router, since_ms),
            Event::Arrive => {
                let unit: f64 = rng.random();
                next_arrival += -(1.0 - unit).ln() * 1_000.0 / RATE;
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                events.push(Reverse((next_arrival as u64, Event::Arrive)));
                figures.requests += 1;
                let router = draw_router(&mut rng, routers);
                if struck && fault == Fault::Death && router == routers - 1 {
                    continue;
                }
                (router, now_ms)
            }
        };
        last_id += 1;
        match scheme.reserve(router, last_id, BOUND, paid, now_ms) {
            Decision::Go => {
                refused_in_a_row = 0;
                figures.waits_ms.push(now_ms - since_ms);
                let used = rng.random_range(20..=MOST_USED);
                spent += used;
                let id = last_id;
                events.push(Reverse((
                    now_ms + RUN_MS,
                    Event::Finish { router, used, id },
                )));
            }
            Decision::Wait(until_ms) => {
                let retry = Event::Retry { router, since_ms };
                events.push(Reverse((until_ms.max(now_ms + 1), retry)));
            }
            Decision::Refuse if cut_off(router) && struck => figures.refused_cut_off += 1,
            Decision::Refuse => {
                refused_in_a_row += 1;
                figures.refused += 1;
                figures.note_false(paid.saturating_sub(spent));
            }
        }
    }
    figures.overspent = spent.saturating_sub(paid);
    figures.writes = scheme.writes();
    Named {
        name: scheme.name(),
        figures,
    }
}

/// Routers get shares of the load that fall from first to last.
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
