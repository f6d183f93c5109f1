//! Notices connections to peers that have fallen silent while a call waits.
//!
//! A call may be held by its peer for seconds, and a connection may be lost without a
//! sign. While a call waits and no byte arrives, the connection is checked with a ping. One
//! that stays silent is closed, so that its calls are made again on another connection.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use h2::{Ping, PingPong};
use tokio::sync::Notify;

/// Time without a byte after which a connection with a waiting call is checked, in
/// milliseconds.
const QUIET_MS: u64 = 500;
/// Longest time without a byte after a ping, in milliseconds.
const PONG_TIMEOUT_MS: u64 = 750;

/// What happens on a connection to a peer.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    received_bytes: AtomicU64,
    waiting_calls: AtomicUsize,
    call_started: Notify,
}

impl Activity {
    /// Counts a call as waiting until the guard is dropped.
    pub(crate) fn begin_call(self: &Arc<Self>) -> WaitingCall {
        self.waiting_calls.fetch_add(1, Ordering::Relaxed);
        self.call_started.notify_one();
        WaitingCall(self.clone())
    }

    /// Counts bytes that have arrived.
    pub(crate) fn record_received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    async fn wait_for_call(&self) {
        while self.waiting_calls.load(Ordering::Relaxed) == 0 {
            self.call_started.notified().await;
        }
    }

    /// Returns once the connection has fallen silent while a call waits.
    pub(crate) async fn wait_silent(&self, mut pings: PingPong) {
        loop {
            self.wait_for_call().await;
            let received = self.received_bytes();
            tokio::time::sleep(Duration::from_millis(QUIET_MS)).await;
            let is_quiet = received == self.received_bytes();
            if !is_quiet || self.waiting_calls.load(Ordering::Relaxed) == 0 {
                continue;
            }
            let mut pong = pin!(pings.ping(Ping::opaque()));
            loop {
                let received = self.received_bytes();
                let timeout = Duration::from_millis(PONG_TIMEOUT_MS);
                match tokio::time::timeout(timeout, pong.as_mut()).await {
                    Ok(Ok(_)) => break,
                    // The connection ends by itself.
                    Ok(Err(_)) => return std::future::pending().await,
                    Err(_) if received == self.received_bytes() => return,
                    // A long reply may be on its way before the pong.
                    Err(_) => {}
                }
            }
        }
    }
}

/// A call that waits for its reply.
pub(crate) struct WaitingCall(Arc<Activity>);

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.0.waiting_calls.fetch_sub(1, Ordering::Relaxed);
    }
}
