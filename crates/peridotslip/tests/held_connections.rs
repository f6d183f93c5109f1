//! Which connections are closed under the loads of clients that don't behave.

use peridotslip::held_connections::{
    ConnectionPhase::{self, Body, Closing, Head, Idle, Response, Unused},
    HeldConnection, select_closed,
};

const NOW_MS: u64 = 100_000;

fn held(phase: ConnectionPhase, quiet_ms: u64) -> HeldConnection {
    HeldConnection {
        phase,
        since_ms: NOW_MS - quiet_ms,
    }
}

/// Guards against ordinary connections that are closed before those of a crowd.
#[test]
fn connections_are_closed_in_order_of_their_use() {
    let cases = [
        // Connections, with the one that is closed.
        (vec![], None),
        (vec![held(Response, 90_000), held(Body, 10)], None),
        // Those that callers leave open after a refusal.
        (vec![held(Unused, 5_000), held(Closing, 10)], Some(1)),
        // Those that have carried no request, before idle ones that have.
        (vec![held(Idle, 90_000), held(Unused, 1_000)], Some(1)),
        (vec![held(Idle, 90_000), held(Head, 1_000)], Some(1)),
        // A new caller has time to send its request.
        (vec![held(Idle, 2_000), held(Unused, 20)], Some(0)),
        (vec![held(Idle, 2_000), held(Head, 20)], Some(0)),
        // The one that was unused for longest.
        (vec![held(Idle, 2_000), held(Idle, 9_000)], Some(1)),
        // Stalled bodies, after idle connections.
        (vec![held(Body, 90_000), held(Idle, 10)], Some(1)),
        (vec![held(Body, 2_000), held(Body, 9_000)], Some(1)),
        (vec![held(Body, 2_000), held(Head, 20)], Some(0)),
    ];
    for (connections, expected) in cases {
        let closed = select_closed(connections.clone(), 1, NOW_MS);
        assert_eq!(closed.first().copied(), expected, "{connections:?}");
    }
}

/// Guards against a crowd of idle connections that keeps a new caller out.
#[test]
fn crowd_of_unused_connections_makes_room() {
    let mut connections = vec![held(Unused, 5_000); 1_000];
    connections.extend([held(Idle, 60_000), held(Response, 60_000)]);

    let closed = select_closed(connections, 32, NOW_MS);

    assert_eq!(closed.len(), 32);
    assert!(closed.iter().all(|index| *index < 1_000), "{closed:?}");
}

/// Guards against more closed connections than are needed.
#[test]
fn no_more_than_the_count_are_closed() {
    let connections = vec![held(Idle, 5_000); 10];

    for count in 0..12 {
        assert_eq!(
            select_closed(connections.clone(), count, NOW_MS).len(),
            count.min(10)
        );
    }
}
