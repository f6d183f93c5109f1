//! Joining, replaying and forgetting duplicates.

use peridotslip::prelude::*;

fn key(number: u128) -> IdempotencyKey {
    IdempotencyKey::from(number)
}

const ONE: u64 = 1;

#[test]
fn duplicates_join_a_running_request_and_replay_a_finished_one() {
    let mut table = DedupeTable::new(100, 1_000);
    let print = Fingerprint::from(ONE);

    assert_eq!(
        table.begin(key(1), print, &"first"),
        DedupeDecision::Execute
    );
    assert_eq!(
        table.begin(key(1), print, &"second"),
        DedupeDecision::Follow("first")
    );
    table.finish(key(1), 10, 0);
    assert_eq!(
        table.begin(key(1), print, &"third"),
        DedupeDecision::Follow("first")
    );
    assert_eq!(
        table.begin(key(1), Fingerprint::from(2), &"other"),
        DedupeDecision::KeyReused
    );
}

#[test]
fn a_request_that_failed_is_run_again() {
    let mut table = DedupeTable::new(100, 1_000);
    let print = Fingerprint::from(ONE);
    assert_eq!(
        table.begin(key(1), print, &"first"),
        DedupeDecision::Execute
    );

    table.abort(key(1));

    assert_eq!(
        table.begin(key(1), print, &"again"),
        DedupeDecision::Execute
    );
    table.finish(key(1), 1, 0);
    table.abort(key(1));
    assert_eq!(
        table.begin(key(1), print, &"late"),
        DedupeDecision::Follow("again")
    );
}

#[test]
fn kept_answers_are_bounded_in_bytes_and_time_and_running_ones_stay() {
    let mut table = DedupeTable::new(100, 1_000);
    let print = Fingerprint::from(ONE);
    let _ = table.begin(key(99), print, &"running");
    for number in 0..10 {
        let _ = table.begin(key(number), print, &"answer");
        table.finish(key(number), 30, u64::try_from(number).unwrap_or(0));
    }

    assert!(
        table.retained_bytes() <= 100,
        "{} bytes",
        table.retained_bytes()
    );
    assert_eq!(
        table.begin(key(9), print, &"again"),
        DedupeDecision::Follow("answer")
    );
    assert_eq!(
        table.begin(key(0), print, &"again"),
        DedupeDecision::Execute
    );
    table.evict(5_000);
    assert_eq!(table.retained_bytes(), 0);
    assert_eq!(
        table.begin(key(99), print, &"again"),
        DedupeDecision::Follow("running")
    );
}
