//! Admission: the order of requests, early refusals and the adaptive limit.

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

/// Returns a limiter with as many requests in flight as the limit allows, and
/// the number of these requests.
fn full_limiter() -> (ConcurrencyLimiter, u64) {
    let mut limiter = ConcurrencyLimiter::default();
    let mut admitted_count = 0;
    loop {
        let next = request(
            1_000 + admitted_count,
            "filler",
            DeadlineClass::Batch,
            100_000,
        );
        if limiter.submit(next, 0).admitted.is_empty() {
            limiter.cancel(1_000 + admitted_count);
            return (limiter, admitted_count);
        }
        admitted_count += 1;
    }
}

#[test]
fn requests_are_served_by_class_and_round_robin_by_organisation() {
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

    let admission_order: Vec<u64> = (0..6)
        .flat_map(|i| limiter.finish(10 + i).admitted)
        .collect();

    assert_eq!(admission_order, [6, 1, 4, 2, 3, 5]);
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_with_the_time_to_retry() {
    let (mut limiter, _) = full_limiter();
    for id in 0..20 {
        let _ = limiter.submit(request(id, "one", DeadlineClass::Standard, 60_000), 0);
    }
    for i in 1..=10 {
        let _ = limiter.finish(i * 100);
    }

    let decisions = limiter.submit(request(99, "one", DeadlineClass::Standard, 1_300), 1_000);

    assert!(decisions.admitted.is_empty());
    let [(99, retry_ms)] = decisions.refused[..] else {
        panic!("refused: {:?}", decisions.refused);
    };
    assert!((500..=2_000).contains(&retry_ms), "retry in {retry_ms} ms");
}

#[test]
fn a_waiting_request_is_refused_once_it_misses_its_deadline() {
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
fn the_limit_decreases_after_late_first_bytes_and_recovers() {
    let (mut limiter, _) = full_limiter();
    let initial = limiter.limit();
    for _ in 0..200 {
        limiter.record_first_byte(900, 1_000);
    }
    let low = limiter.limit();
    for _ in 0..2_000 {
        limiter.record_first_byte(10, 1_000);
    }

    assert!(low < initial / 4.0, "{low} of {initial}");
    assert!(limiter.limit() > low * 2.0, "{} of {low}", limiter.limit());
}

#[test]
fn the_limit_grows_by_one_with_each_first_byte_until_one_is_late() {
    let (mut limiter, admitted_count) = full_limiter();

    for _ in 0..admitted_count {
        limiter.record_first_byte(5, 1_000);
    }
    let grown = limiter.limit();
    limiter.record_first_byte(900, 1_000);
    let before = limiter.limit();
    limiter.record_first_byte(5, 1_000);

    assert!(
        grown > 1.2 * f64::from(u32::try_from(admitted_count).expect("the count fits in 32 bits"))
    );
    assert!(limiter.limit() - before < 1.0);
}
