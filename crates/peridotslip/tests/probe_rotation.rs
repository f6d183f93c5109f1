//! Probing unreachable routers in turn.

use std::collections::HashMap;

use peridotslip::{
    ids::Incarnation,
    members::{PROBE_BATCH, ProbeRotation},
};

/// How long a round with a router that doesn't respond takes, with the pause after it,
/// in milliseconds.
const ROUND_MS: usize = 350;
/// Longest time until a router that responds again is found, in milliseconds, in a fleet
/// of 330 routers.
const BOUND_MS: usize = 4_000;

fn routers(count: u128) -> Vec<Incarnation> {
    (1..=count).map(Incarnation::from).collect()
}

/// Guards against a healed split that stays split, and against owners of budgets that
/// differ from router to router after a loss of power: the routers were probed one
/// after the other, a quarter of a second each.
#[test]
fn each_unreachable_router_is_probed_within_a_bounded_time() {
    for count in [1, 7, 33, 73, 195, 330] {
        let unreachable = routers(count);
        let mut rotation = ProbeRotation::default();
        let mut last_round: HashMap<Incarnation, usize> = HashMap::new();
        let mut longest = 0;
        for round in 0..100 {
            for router in rotation.next_batch(&unreachable) {
                let before = last_round.insert(router, round);
                longest = longest.max(round - before.unwrap_or(0));
            }
        }

        assert_eq!(last_round.len(), unreachable.len());
        assert!(longest * ROUND_MS <= BOUND_MS, "{count}: {longest} rounds");
    }
}

#[test]
fn batches_are_bounded() {
    let mut rotation = ProbeRotation::default();

    let batch = rotation.next_batch(&routers(330));

    assert_eq!(batch.len(), PROBE_BATCH);
}

/// Guards against a router that has just become unreachable and waits behind all others.
#[test]
fn new_ones_come_first_and_reachable_ones_not_at_all() {
    let mut rotation = ProbeRotation::default();
    rotation.next_batch(&routers(100));
    let mut unreachable = routers(100);
    let reachable = unreachable.remove(50);
    let new = Incarnation::from(1_000);
    unreachable.push(new);

    let batches: Vec<Vec<Incarnation>> =
        (0..4).map(|_| rotation.next_batch(&unreachable)).collect();

    assert!(batches[0].contains(&new));
    assert!(!batches.concat().contains(&reachable));
}
