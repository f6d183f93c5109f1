//! Who is let in, in which order, and who is refused at once.

use peridotslip::{
    admission::{AdmissionRequest, ConcurrencyLimiter, Decisions},
    prelude::*,
};

fn request(id: u64, organisation: &str, class: DeadlineClass, due_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        id,
        organisation: organisation.into(),
        class,
        due_ms,
    }
}

/// A limiter whose places are all taken by requests that began at once.
fn full_limiter() -> (ConcurrencyLimiter, u64) {
    let mut limiter = ConcurrencyLimiter::default();
    let mut taken = 0;
    loop {
        let next = request(1_000 + taken, "filler", DeadlineClass::Batch, 100_000);
        if limiter.submit(next, 0).admitted.is_empty() {
            limiter.cancel(1_000 + taken);
            return (limiter, taken);
        }
        taken += 1;
    }
}

#[test]
fn urgent_requests_go_first_and_organisations_take_turns() {
    let (mut limiter, _) = full_limiter();
    let queued = [
        (1, "big", DeadlineClass::Standard),
        (2, "big", DeadlineClass::Standard),
        (3, "big", DeadlineClass::Standard),
        (4, "small", DeadlineClass::Standard),
        (5, "small", DeadlineClass::Batch),
        (6, "other", DeadlineClass::Interactive),
    ];
    for (id, organisation, class) in queued {
        let decisions = limiter.submit(request(id, organisation, class, 60_000), 1);
        assert_eq!(decisions, Decisions::default(), "{id}");
    }

    let order: Vec<u64> = (0..6)
        .flat_map(|at| limiter.finish(10 + at).admitted)
        .collect();

    assert_eq!(order, [6, 1, 4, 2, 3, 5]);
}

#[test]
fn a_request_that_cannot_be_in_time_is_refused_at_once_with_when_to_retry() {
    let (mut limiter, _) = full_limiter();
    for id in 0..20 {
        let _ = limiter.submit(request(id, "one", DeadlineClass::Standard, 60_000), 0);
    }
    for at in 1..=10 {
        let _ = limiter.finish(at * 100);
    }

    let decisions = limiter.submit(request(99, "one", DeadlineClass::Standard, 1_300), 1_000);

    assert!(decisions.admitted.is_empty());
    let [(99, retry_ms)] = decisions.refused[..] else {
        panic!("refused: {:?}", decisions.refused);
    };
    assert!((500..=2_000).contains(&retry_ms), "retry in {retry_ms} ms");
}

#[test]
fn a_waiting_request_is_refused_when_its_deadline_has_become_hopeless() {
    let (mut limiter, _) = full_limiter();
    let _ = limiter.submit(request(1, "one", DeadlineClass::Standard, 500), 0);

    let before = limiter.decide(499);
    let after = limiter.decide(501);

    assert_eq!(before, Decisions::default());
    assert_eq!(
        after.refused.iter().map(|(id, _)| *id).collect::<Vec<_>>(),
        [1]
    );
    assert_eq!(limiter.waiting(), 0);
}

#[test]
fn the_limit_falls_when_first_bytes_are_late_and_recovers() {
    let (mut limiter, _) = full_limiter();
    let first = limiter.limit();
    for _ in 0..200 {
        limiter.record_first_byte(900, 1_000);
    }
    let low = limiter.limit();
    for _ in 0..2_000 {
        limiter.record_first_byte(10, 1_000);
    }

    assert!(low < first / 4.0, "{low} of {first}");
    assert!(limiter.limit() > low * 2.0, "{} of {low}", limiter.limit());
}

#[test]
fn the_limit_doubles_in_a_round_until_a_first_byte_is_late() {
    let (mut limiter, taken) = full_limiter();

    for _ in 0..taken {
        limiter.record_first_byte(5, 1_000);
    }
    let doubled = limiter.limit();
    limiter.record_first_byte(900, 1_000);
    let before = limiter.limit();
    limiter.record_first_byte(5, 1_000);

    assert!(doubled > 1.2 * f64::from(u32::try_from(taken).expect("it is small")));
    assert!(limiter.limit() - before < 1.0);
}
