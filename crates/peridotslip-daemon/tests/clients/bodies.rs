//! Bodies inside the limits that many clients send at the same time.

use tokio::sync::Mutex;

use crate::{
    crowd::{Crowd, Framing, Request, exchange},
    edge::server::ServerAction,
    process::{EdgeProcess, Limits},
};

/// A VM of the smallest size, with shorter bodies.
const SMALL_VM: Limits = Limits {
    memory_mb: 88,
    max_fds: 1_024,
    body_bytes: 1 << 20,
};

/// Most memory that a body takes while it is received and forwarded, in lengths of the
/// body.
const MAX_GROWTH_FACTOR: u64 = 4;

/// Lets one test of this process run at a time.
pub static ALONE: Mutex<()> = Mutex::const_new(());

/// Lets `clients` send `request` to a router with `limits`, and checks that the router
/// bears them and serves others.
async fn check_crowd(limits: Limits, clients: usize, request: &Request) {
    let _alone = ALONE.lock().await;
    let mut router = EdgeProcess::start(limits, ServerAction::Respond(200, "fine")).await;

    let crowd = Crowd::send(&router.callers, clients, request).await;

    router.check_ordinary("with-crowd").await;
    drop(crowd);
    router.check_ordinary("after-crowd").await;
    router.wait_calm().await;
    router.check_longest("longest").await;
    router.check_limits();
}

/// Guards against bodies with a length that fill the memory, sent at once.
#[tokio::test]
async fn large_bodies_sent_whole_stay_within_memory() {
    let request = Request {
        length: SMALL_VM.body_bytes,
        ..Request::default()
    };
    check_crowd(SMALL_VM, 160, &request).await;
}

/// Guards against bodies with a length that fill the memory, sent in turn.
#[tokio::test]
async fn large_bodies_sent_in_pieces_stay_within_memory() {
    let request = Request {
        framing: Framing::Pieces,
        length: SMALL_VM.body_bytes,
        ..Request::default()
    };
    check_crowd(SMALL_VM, 160, &request).await;
}

/// Guards against bodies in large chunks that fill the memory.
#[tokio::test]
async fn large_chunks_stay_within_memory() {
    let request = Request {
        framing: Framing::Chunks(64 * 1024),
        length: SMALL_VM.body_bytes,
        ..Request::default()
    };
    check_crowd(SMALL_VM, 160, &request).await;
}

/// Guards against bodies in chunks of a byte that fill the memory.
#[tokio::test]
async fn tiny_chunks_stay_within_memory() {
    let limits = Limits {
        memory_mb: 40,
        body_bytes: 32 * 1024,
        ..SMALL_VM
    };
    let request = Request {
        framing: Framing::Chunks(1),
        length: limits.body_bytes,
        ..Request::default()
    };
    check_crowd(limits, 32, &request).await;
}

/// Guards against a complete body in chunks of a byte that takes many times its length.
#[tokio::test]
async fn complete_body_in_tiny_chunks_takes_memory_near_its_length() {
    let _alone = ALONE.lock().await;
    let mut router = EdgeProcess::start(SMALL_VM, ServerAction::Respond(200, "fine")).await;
    router.check_ordinary("before").await;
    let before_kb = router.usage.peak_kb();
    let request = Request {
        framing: Framing::Chunks(1),
        length: SMALL_VM.body_bytes,
        ..Request::default()
    };

    let response = exchange(&router.callers, &request).await;

    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    let received = router.server.received();
    assert_eq!(received[1].body.len(), request.length);
    let growth_kb = router.usage.peak_kb() - before_kb;
    assert!(
        growth_kb <= MAX_GROWTH_FACTOR * request.length as u64 / 1_024,
        "{growth_kb} kB"
    );
    router.check_limits();
}

/// Guards against bodies that are read although the table refuses their requests.
#[tokio::test]
async fn bodies_with_unknown_keys_stay_within_memory() {
    let request = Request {
        key: "no-such-key",
        length: SMALL_VM.body_bytes,
        ..Request::default()
    };
    check_crowd(SMALL_VM, 160, &request).await;
}

/// Guards against bodies that are read although no route matches.
#[tokio::test]
async fn bodies_without_routes_stay_within_memory() {
    let request = Request {
        path: "/no-such-route/a",
        length: SMALL_VM.body_bytes,
        ..Request::default()
    };
    check_crowd(SMALL_VM, 160, &request).await;
}
