//! Bodies inside the limits that many clients send at the same time.

use tokio::sync::Mutex;

use crate::{
    crowd::{Crowd, Request},
    edge::server::ServerAction,
    process::{EdgeProcess, Limits},
};

/// A VM of the smallest size, with shorter bodies.
const SMALL_VM: Limits = Limits {
    memory_mb: 88,
    max_fds: 1_024,
    body_bytes: 1 << 20,
};

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
