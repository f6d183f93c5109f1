//! Deduplication: following, replaying and eviction.

use peridotslip::prelude::*;

fn key(number: u128) -> IdempotencyKey {
    IdempotencyKey::from(number)
}

/// The fingerprint of the request in most tests.
const FINGERPRINT: u64 = 1;

#[test]
fn duplicates_follow_a_running_request_and_replay_a_finished_one() {
    let mut table = DedupeTable::new(100, 1_000);
    let fingerprint = Fingerprint::from(FINGERPRINT);

    assert_eq!(
        table.begin(key(1), fingerprint, &"first"),
        DedupeDecision::Execute
    );
    assert_eq!(
        table.begin(key(1), fingerprint, &"second"),
        DedupeDecision::Follow("first")
    );
    table.finish(key(1), 10, 0);
    assert_eq!(
        table.begin(key(1), fingerprint, &"third"),
        DedupeDecision::Follow("first")
    );
    assert_eq!(
        table.begin(key(1), Fingerprint::from(2), &"other"),
        DedupeDecision::KeyReused
    );
}

#[test]
fn an_aborted_request_is_executed_again() {
    let mut table = DedupeTable::new(100, 1_000);
    let fingerprint = Fingerprint::from(FINGERPRINT);
    assert_eq!(
        table.begin(key(1), fingerprint, &"first"),
        DedupeDecision::Execute
    );

    table.abort(key(1));

    assert_eq!(
        table.begin(key(1), fingerprint, &"again"),
        DedupeDecision::Execute
    );
    table.finish(key(1), 1, 0);
    table.abort(key(1));
    assert_eq!(
        table.begin(key(1), fingerprint, &"late"),
        DedupeDecision::Follow("again")
    );
}

#[test]
fn retained_responses_are_bounded_by_size_and_time_and_running_requests_stay() {
    let mut table = DedupeTable::new(100, 1_000);
    let fingerprint = Fingerprint::from(FINGERPRINT);
    let _ = table.begin(key(99), fingerprint, &"running");
    for number in 0..10 {
        let _ = table.begin(key(number), fingerprint, &"answer");
        table.finish(key(number), 30, u64::try_from(number).unwrap_or(0));
    }

    assert!(
        table.retained_bytes() <= 100,
        "{} bytes",
        table.retained_bytes()
    );
    assert_eq!(
        table.begin(key(9), fingerprint, &"again"),
        DedupeDecision::Follow("answer")
    );
    assert_eq!(
        table.begin(key(0), fingerprint, &"again"),
        DedupeDecision::Execute
    );
    table.evict(5_000);
    assert_eq!(table.retained_bytes(), 0);
    assert_eq!(
        table.begin(key(99), fingerprint, &"again"),
        DedupeDecision::Follow("running")
    );
}
