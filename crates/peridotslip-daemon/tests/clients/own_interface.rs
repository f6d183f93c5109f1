//! Clients at a router with its own interface.

use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;

use crate::{
    bodies::ALONE,
    common::{
        fleet::{Fleet, FleetOptions},
        tables::MUSCAT_KEY,
    },
    crowd::{Crowd, Framing, Request},
    process::Usage,
};

/// Memory of the smallest VM, in MB.
const MEMORY_MB: u64 = 88;
/// Clients at the same time.
const CLIENTS: usize = 80;
/// Longest permitted body, in bytes.
const BODY_BYTES: usize = 2 << 20;

/// Descriptors of a router whose clients hold connections.
const MAX_FDS: usize = 300;
/// Clients that each try to hold a connection.
const HELD_CONNECTIONS: usize = 400;
/// Longest wait of an ordinary caller; a passing run does not reach it.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the status of a request with a body of `length` bytes, whose key is `key`.
async fn order(address: &str, key: &str, length: usize) -> u16 {
    let request = Client::new()
        .post(format!("http://{address}/orders"))
        .bearer_auth(MUSCAT_KEY)
        .header("Idempotency-Key", key)
        .timeout(ORDINARY_TIMEOUT)
        .body(vec![b'x'; length]);
    request.send().await.unwrap().status().as_u16()
}

/// Starts a router with one engine.
async fn start(max_fds: Option<usize>) -> Fleet {
    let start = move || {
        Fleet::start(&FleetOptions {
            routers: 1,
            engines: 1,
            max_fds,
            ..FleetOptions::default()
        })
    };
    tokio::task::spawn_blocking(start).await.unwrap()
}

/// Lets clients send bodies of the longest permitted length with this framing.
async fn check_crowd(framing: Framing) {
    let _alone = ALONE.lock().await;
    let mut fleet = start(None).await;
    let router = &fleet.routers[0];
    let address = router.callers.clone();
    let usage = Usage::watch(router.child.id(), &[&address]);
    let request = Request {
        path: "/orders",
        key: MUSCAT_KEY,
        framing,
        length: BODY_BYTES,
    };

    let crowd = Crowd::send(&address, CLIENTS, &request).await;

    assert_eq!(order(&address, "with-crowd", 8).await, 201);
    drop(crowd);
    assert_eq!(order(&address, "after-crowd", 8).await, 201);
    assert_eq!(order(&address, "longest", BODY_BYTES).await, 201);
    let status = fleet.routers[0].child.try_wait().unwrap();
    assert!(status.is_none(), "the router has ended: {status:?}");
    let peak_kb = usage.peak_kb();
    eprintln!("peak: {peak_kb} kB");
    assert!(peak_kb <= MEMORY_MB * 1_000_000 / 1_024, "{peak_kb} kB");
    tokio::task::spawn_blocking(move || drop(fleet))
        .await
        .unwrap();
}

/// Guards against bodies with a length that fill the memory.
#[tokio::test]
async fn large_bodies_at_the_own_interface_stay_within_memory() {
    check_crowd(Framing::Whole).await;
}

/// Guards against bodies in chunks that fill the memory.
#[tokio::test]
async fn large_chunks_at_the_own_interface_stay_within_memory() {
    check_crowd(Framing::Chunks(64 * 1024)).await;
}

/// Guards against idle connections that use up the descriptors.
#[tokio::test]
async fn idle_connections_at_the_own_interface_leave_descriptors() {
    let _alone = ALONE.lock().await;
    let mut fleet = start(Some(MAX_FDS)).await;
    let address = fleet.routers[0].callers.clone();

    let crowd = Crowd::send_bytes(&address, HELD_CONNECTIONS, &Bytes::new()).await;

    assert_eq!(order(&address, "with-crowd", 8).await, 201);
    drop(crowd);
    assert_eq!(order(&address, "after-crowd", 8).await, 201);
    let status = fleet.routers[0].child.try_wait().unwrap();
    assert!(status.is_none(), "the router has ended: {status:?}");
    tokio::task::spawn_blocking(move || drop(fleet))
        .await
        .unwrap();
}
