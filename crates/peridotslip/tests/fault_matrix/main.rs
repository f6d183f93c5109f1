//! Every fault at every step of a request, then pairs of faults.
//!
//! Two routers, a keeper of copies, a record in a store and a back end are
//! played step by step, on the local ledgers, record, copies and doubts that the
//! daemon runs. Each cell names the invariants that it checked.

mod cells;
mod world;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use cells::{FAULTS, Fault, KINDS, Kind, POINTS, Point};
use world::{Told, World};

const PAIRS: usize = 60_000;
const SEED: u64 = 20_261_203;

/// Plays one cell and returns how often each invariant was checked.
fn play(kind: Kind, plan: Vec<(Point, Fault)>) -> (usize, BTreeMap<&'static str, u64>) {
    let mut world = World::new(kind, plan);
    let first = world.request(0);
    world.recover(first);
    world.final_checks();
    (world.struck, world.checks)
}

/// Points that a kind of request never passes.
fn passes(kind: Kind, point: Point) -> bool {
    let claims = [Point::ClaimMade, Point::ClaimSwapped, Point::ClaimAnswered];
    kind == Kind::Order || !claims.contains(&point)
}

#[test]
fn every_fault_at_every_step() {
    let mut cells = 0;
    for kind in KINDS {
        for point in POINTS.into_iter().filter(|point| passes(kind, *point)) {
            for fault in FAULTS {
                let (struck, checks) = play(kind, vec![(point, fault)]);

                assert!(struck > 0, "{kind:?} never came to {point:?}");
                let invariants: Vec<&str> = checks.into_keys().collect();
                println!("{kind:?} {point:?} {fault:?}: {}", invariants.join("; "));
                cells += 1;
            }
        }
    }
    assert_eq!(cells, FAULTS.len() * (POINTS.len() * KINDS.len() - 6));
}

#[test]
fn pairs_of_faults() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let pick = |rng: &mut SmallRng| {
        let point = POINTS[rng.random_range(0..POINTS.len())];
        (point, FAULTS[rng.random_range(0..FAULTS.len())])
    };
    for _ in 0..PAIRS {
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let plan = vec![pick(&mut rng), pick(&mut rng)];
        play(kind, plan);
    }
}

#[test]
fn without_faults_the_answer_is_whole_and_billed_once() {
    for kind in KINDS {
        let mut world = World::new(kind, Vec::new());

        let told = world.request(0);
        world.recover(told);
        world.final_checks();

        assert_eq!(
            (told, world.runs, world.delivered),
            (Told::Whole, 1, 1),
            "{kind:?}"
        );
    }
}
