//! Who is let in, in which order, and who is refused at once.

use peridotslip::{
    admission::{Arrival, Decisions, Gate},
    prelude::*,
};

fn arrival(ticket: u64, organisation: &str, class: DeadlineClass, due_ms: u64) -> Arrival {
    Arrival {
        ticket,
        organisation: organisation.into(),
        class,
        due_ms,
    }
}

/// A gate whose places are all taken by requests that began at once.
fn full_gate() -> (Gate, u64) {
    let mut gate = Gate::default();
    let mut taken = 0;
    loop {
        let next = arrival(1_000 + taken, "filler", DeadlineClass::Batch, 100_000);
        if gate.arrive(next, 0).start.is_empty() {
            gate.leave(1_000 + taken);
            return (gate, taken);
        }
        taken += 1;
    }
}

#[test]
fn urgent_requests_go_first_and_organisations_take_turns() {
    let (mut gate, _) = full_gate();
    let queued = [
        (1, "big", DeadlineClass::Standard),
        (2, "big", DeadlineClass::Standard),
        (3, "big", DeadlineClass::Standard),
        (4, "small", DeadlineClass::Standard),
        (5, "small", DeadlineClass::Batch),
        (6, "other", DeadlineClass::Interactive),
    ];
    for (ticket, organisation, class) in queued {
        let decisions = gate.arrive(arrival(ticket, organisation, class, 60_000), 1);
        assert_eq!(decisions, Decisions::default(), "{ticket}");
    }

    let order: Vec<u64> = (0..6).flat_map(|at| gate.finish(10 + at).start).collect();

    assert_eq!(order, [6, 1, 4, 2, 3, 5]);
}

#[test]
fn a_request_that_cannot_be_in_time_is_refused_at_once_with_when_to_retry() {
    let (mut gate, _) = full_gate();
    for ticket in 0..20 {
        let _ = gate.arrive(arrival(ticket, "one", DeadlineClass::Standard, 60_000), 0);
    }
    for at in 1..=10 {
        let _ = gate.finish(at * 100);
    }

    let decisions = gate.arrive(arrival(99, "one", DeadlineClass::Standard, 1_300), 1_000);

    assert!(decisions.start.is_empty());
    let [(99, retry_ms)] = decisions.refuse[..] else {
        panic!("refused: {:?}", decisions.refuse);
    };
    assert!((500..=2_000).contains(&retry_ms), "retry in {retry_ms} ms");
}

#[test]
fn a_waiting_request_is_refused_when_its_deadline_has_become_hopeless() {
    let (mut gate, _) = full_gate();
    let _ = gate.arrive(arrival(1, "one", DeadlineClass::Standard, 500), 0);

    let before = gate.decide(499);
    let after = gate.decide(501);

    assert_eq!(before, Decisions::default());
    assert_eq!(
        after
            .refuse
            .iter()
            .map(|(ticket, _)| *ticket)
            .collect::<Vec<_>>(),
        [1]
    );
    assert_eq!(gate.waiting(), 0);
}

#[test]
fn the_limit_falls_when_first_bytes_are_late_and_recovers() {
    let (mut gate, _) = full_gate();
    let first = gate.limit();
    for _ in 0..200 {
        gate.first_byte(900, 1_000);
    }
    let low = gate.limit();
    for _ in 0..2_000 {
        gate.first_byte(10, 1_000);
    }

    assert!(low < first / 4.0, "{low} of {first}");
    assert!(gate.limit() > low * 2.0, "{} of {low}", gate.limit());
}

#[test]
fn the_limit_doubles_in_a_round_until_a_first_byte_is_late() {
    let (mut gate, taken) = full_gate();

    for _ in 0..taken {
        gate.first_byte(5, 1_000);
    }
    let doubled = gate.limit();
    gate.first_byte(900, 1_000);
    let before = gate.limit();
    gate.first_byte(5, 1_000);

    assert!(doubled > 1.2 * f64::from(u32::try_from(taken).expect("it is small")));
    assert!(gate.limit() - before < 1.0);
}
