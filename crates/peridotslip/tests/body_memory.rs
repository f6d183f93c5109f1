//! Memory of the bodies of requests under the loads of clients that don't behave.

use peridotslip::body_memory::{BodyId, BodyMemory, Growth, MIN_STALL_MS};
use proptest::prelude::*;

const CAPACITY: usize = 16 << 20;
const LONGEST: usize = 4 << 20;
const PIECE: usize = 32 << 10;

/// Lets a body grow by `bytes` in pieces, and ends each body that gives way. Returns
/// whether the body got all of it, and how many gave way.
fn grow(memory: &mut BodyMemory, id: BodyId, bytes: usize, now_ms: u64) -> (bool, usize) {
    let mut gave_way = 0;
    let mut rest = bytes;
    while rest > 0 {
        memory.record_growth(id, now_ms);
        match memory.reserve(id, rest.min(PIECE), now_ms) {
            Growth::Granted => rest -= rest.min(PIECE),
            Growth::AfterGivingWay(stalled) => {
                memory.end(stalled, now_ms);
                gave_way += 1;
            }
            Growth::Denied => return (false, gave_way),
        }
    }
    (true, gave_way)
}

/// Begins bodies of an organisation that stop short of their end. Returns those that got
/// memory.
fn crowd(
    memory: &mut BodyMemory,
    organisation: &str,
    count: usize,
    bytes: usize,
    now_ms: u64,
) -> Vec<BodyId> {
    let mut held = Vec::new();
    for _ in 0..count {
        let id = memory.begin(organisation, now_ms);
        if grow(memory, id, bytes, now_ms).0 {
            held.push(id);
        } else {
            memory.end(id, now_ms);
        }
    }
    held
}

/// Guards against a single long body that is refused in calm.
#[test]
fn longest_body_fits_into_calm_memory() {
    let mut memory = BodyMemory::new(CAPACITY);
    let id = memory.begin("a", 0);

    assert_eq!(grow(&mut memory, id, LONGEST, 0), (true, 0));
    assert_eq!(memory.end(id, 0).0, LONGEST);
    assert_eq!(memory.used(), 0);
}

/// Guards against a slow body that is given up though memory suffices.
#[test]
fn slow_body_stays_while_memory_suffices() {
    let mut memory = BodyMemory::new(CAPACITY);
    let slow = memory.begin("a", 0);
    assert!(grow(&mut memory, slow, PIECE, 0).0);

    for now_ms in (0..600_000).step_by(1_000) {
        let other = memory.begin("b", now_ms);
        assert_eq!(grow(&mut memory, other, PIECE, now_ms), (true, 0));
        memory.end(other, now_ms);
    }

    assert_eq!(grow(&mut memory, slow, PIECE, 600_000), (true, 0));
}

/// Guards against ordinary bodies that are refused because many large ones have stopped
/// short of their end.
#[test]
fn bodies_that_stopped_short_give_way_to_an_ordinary_one() {
    for (organisation, now_ms) in [("a", MIN_STALL_MS), ("b", MIN_STALL_MS), ("b", 0)] {
        let mut memory = BodyMemory::new(CAPACITY);
        let held = crowd(&mut memory, "a", 100, 1 << 20, 0);
        assert!(!held.is_empty());

        let ordinary = memory.begin(organisation, now_ms);

        let (served, _) = grow(&mut memory, ordinary, PIECE, now_ms);
        assert!(served, "of {organisation} after {now_ms} ms");
    }
}

/// Guards against a long body that is refused after a crowd has stalled.
#[test]
fn stalled_bodies_give_way_to_a_long_one() {
    let mut memory = BodyMemory::new(CAPACITY);
    crowd(&mut memory, "a", 100, 1 << 20, 0);
    let long = memory.begin("a", MIN_STALL_MS);

    let (served, gave_way) = grow(&mut memory, long, LONGEST, MIN_STALL_MS);

    assert!(served);
    assert!(gave_way > 0);
}

/// Guards against bodies whose callers send at the same time and end each other.
#[test]
fn bodies_that_grow_end_none_that_grow() {
    let mut memory = BodyMemory::new(CAPACITY);
    let ids: Vec<BodyId> = (0..100).map(|_| memory.begin("a", 0)).collect();

    for now_ms in 0..64 {
        for id in &ids {
            let (_, gave_way) = grow(&mut memory, *id, PIECE, now_ms);
            assert_eq!(gave_way, 0);
        }
    }
}

/// Guards against an organisation that loses a body to one that holds more.
#[test]
fn body_of_an_organisation_with_less_does_not_give_way() {
    let mut memory = BodyMemory::new(CAPACITY);
    let small = memory.begin("small", 0);
    assert!(grow(&mut memory, small, PIECE, 0).0);
    let complete = crowd(&mut memory, "large", 100, 1 << 20, 0);
    for id in complete {
        memory.complete(id);
    }
    let next = memory.begin("large", 10 * MIN_STALL_MS);

    let (served, gave_way) = grow(&mut memory, next, LONGEST, 10 * MIN_STALL_MS);

    assert_eq!((served, gave_way), (false, 0));
}

/// Guards against complete bodies that give way although a server may have them.
#[test]
fn complete_bodies_never_give_way() {
    let mut memory = BodyMemory::new(CAPACITY);
    for id in crowd(&mut memory, "a", 100, 1 << 20, 0) {
        memory.complete(id);
    }
    let id = memory.begin("a", 1_000_000);

    assert_eq!(grow(&mut memory, id, LONGEST, 1_000_000), (false, 0));
}

proptest! {
    /// Guards against bodies that together hold more than the memory, and against memory
    /// that isn't returned.
    #[test]
    fn bodies_stay_within_the_memory(
        steps in prop::collection::vec((0..6_usize, 0..8_usize, 1..200_000_usize, 0..900_u64), 1..200),
    ) {
        let mut memory = BodyMemory::new(1 << 20);
        let mut ids: Vec<BodyId> = Vec::new();
        let mut now_ms = 0;
        for (action, pick, bytes, passed_ms) in steps {
            now_ms += passed_ms;
            match action {
                0 | 1 => ids.push(memory.begin(["a", "b", "c"][pick % 3], now_ms)),
                2 if !ids.is_empty() => memory.complete(ids[pick % ids.len()]),
                3 if !ids.is_empty() => {
                    memory.end(ids.swap_remove(pick % ids.len()), now_ms);
                }
                _ if !ids.is_empty() => {
                    grow(&mut memory, ids[pick % ids.len()], bytes, now_ms);
                }
                _ => {}
            }
            prop_assert!(memory.used() <= 1 << 20);
        }
        for id in ids {
            memory.end(id, now_ms);
        }
        prop_assert_eq!(memory.used(), 0);
    }
}
