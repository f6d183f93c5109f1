//! Fault injection: every fault at every step of a request, then pairs of faults.
//!
//! The tests simulate two routers, a replica holder, a store and a backend server
//! step by step, with the local ledger, shard record, settlement replicas and
//! grant reclaimer of the daemon. Each cell prints the invariants that it checked.

mod cells;
mod world;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use cells::{FAULTS, Fault, INJECTION_POINTS, InjectionPoint, REQUEST_KINDS, RequestKind};
use world::{CallerOutcome, World};

/// The number of random pairs of faults.
const PAIRS: usize = 60_000;
/// The seed of the random pairs.
const SEED: u64 = 20_261_203;

/// Runs one cell. Returns the number of injected faults and how often each
/// invariant was checked.
fn run_cell(
    kind: RequestKind,
    plan: Vec<(InjectionPoint, Fault)>,
) -> (usize, BTreeMap<&'static str, u64>) {
    let mut world = World::new(kind, plan);
    let outcome = world.request(0);
    world.recover(outcome);
    world.final_checks();
    (world.injected, world.checks)
}

/// Whether requests of a kind reach an injection point.
fn reaches(kind: RequestKind, point: InjectionPoint) -> bool {
    let claims = [
        InjectionPoint::ClaimMade,
        InjectionPoint::ClaimSwapped,
        InjectionPoint::ClaimAnswered,
    ];
    kind == RequestKind::Order || !claims.contains(&point)
}

#[test]
fn every_fault_at_every_step() {
    let mut cells = 0;
    for kind in REQUEST_KINDS {
        for point in INJECTION_POINTS
            .into_iter()
            .filter(|point| reaches(kind, *point))
        {
            for fault in FAULTS {
                let (injected, checks) = run_cell(kind, vec![(point, fault)]);

                assert!(injected > 0, "{kind:?} never reached {point:?}");
                let invariants: Vec<&str> = checks.into_keys().collect();
                println!("{kind:?} {point:?} {fault:?}: {}", invariants.join("; "));
                cells += 1;
            }
        }
    }
    assert_eq!(
        cells,
        FAULTS.len() * (INJECTION_POINTS.len() * REQUEST_KINDS.len() - 6)
    );
}

#[test]
fn pairs_of_faults() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let random_injection = |rng: &mut SmallRng| {
        let point = INJECTION_POINTS[rng.random_range(0..INJECTION_POINTS.len())];
        (point, FAULTS[rng.random_range(0..FAULTS.len())])
    };
    for _ in 0..PAIRS {
        let kind = REQUEST_KINDS[rng.random_range(0..REQUEST_KINDS.len())];
        let plan = vec![random_injection(&mut rng), random_injection(&mut rng)];
        run_cell(kind, plan);
    }
}

#[test]
fn without_faults_the_response_is_complete_and_billed_once() {
    for kind in REQUEST_KINDS {
        let mut world = World::new(kind, Vec::new());

        let outcome = world.request(0);
        world.recover(outcome);
        world.final_checks();

        assert_eq!(
            (outcome, world.executions, world.delivered),
            (CallerOutcome::Whole, 1, 1),
            "{kind:?}"
        );
    }
}
