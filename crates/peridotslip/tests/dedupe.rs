//! Joining, replaying and forgetting duplicates.

use peridotslip::prelude::*;

fn key(number: u128) -> RequestKey {
    RequestKey::from(number)
}

const ONE: u64 = 1;

#[test]
fn duplicates_join_a_running_request_and_replay_a_finished_one() {
    let mut table = Dedupe::new(100, 1_000);
    let print = Fingerprint::from(ONE);

    assert_eq!(table.admit(key(1), print, &"first"), Admission::Run);
    assert_eq!(
        table.admit(key(1), print, &"second"),
        Admission::Follow("first")
    );
    table.finish(key(1), 10, 0);
    assert_eq!(
        table.admit(key(1), print, &"third"),
        Admission::Follow("first")
    );
    assert_eq!(
        table.admit(key(1), Fingerprint::from(2), &"other"),
        Admission::OtherRequest
    );
}

#[test]
fn a_request_that_failed_is_run_again() {
    let mut table = Dedupe::new(100, 1_000);
    let print = Fingerprint::from(ONE);
    assert_eq!(table.admit(key(1), print, &"first"), Admission::Run);

    table.forget(key(1));

    assert_eq!(table.admit(key(1), print, &"again"), Admission::Run);
    table.finish(key(1), 1, 0);
    table.forget(key(1));
    assert_eq!(
        table.admit(key(1), print, &"late"),
        Admission::Follow("again")
    );
}

#[test]
fn kept_answers_are_bounded_in_bytes_and_time_and_running_ones_stay() {
    let mut table = Dedupe::new(100, 1_000);
    let print = Fingerprint::from(ONE);
    let _ = table.admit(key(99), print, &"running");
    for number in 0..10 {
        let _ = table.admit(key(number), print, &"answer");
        table.finish(key(number), 30, u64::try_from(number).unwrap_or(0));
    }

    assert!(table.kept_bytes() <= 100, "{} bytes", table.kept_bytes());
    assert_eq!(
        table.admit(key(9), print, &"again"),
        Admission::Follow("answer")
    );
    assert_eq!(table.admit(key(0), print, &"again"), Admission::Run);
    table.evict(5_000);
    assert_eq!(table.kept_bytes(), 0);
    assert_eq!(
        table.admit(key(99), print, &"again"),
        Admission::Follow("running")
    );
}
