//! Clients at a router with its own interface.

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

/// Returns the status of a request with a body of `length` bytes, whose key is `key`.
async fn order(address: &str, key: &str, length: usize) -> u16 {
    let request = Client::new()
        .post(format!("http://{address}/orders"))
        .bearer_auth(MUSCAT_KEY)
        .header("Idempotency-Key", key)
        .body(vec![b'x'; length]);
    request.send().await.unwrap().status().as_u16()
}

/// Lets clients send bodies of the longest permitted length with this framing.
async fn check_crowd(framing: Framing) {
    let _alone = ALONE.lock().await;
    let fleet = tokio::task::spawn_blocking(|| {
        Fleet::start(&FleetOptions {
            routers: 1,
            engines: 1,
            ..FleetOptions::default()
        })
    });
    let mut fleet = fleet.await.unwrap();
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
