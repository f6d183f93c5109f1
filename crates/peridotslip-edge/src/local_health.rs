//! Measures how late this router's event loop is and how much of its link is used.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use peridotslip::local_slowness::{LocalLoad, LocalSlowness};

use crate::clock::Clock;

/// Interval between two measurements, in milliseconds.
const INTERVAL_MS: u64 = 20;
/// Bytes per millisecond of a link of 1 Mbit/s.
pub(crate) const BYTES_PER_MS_AND_MBPS: f64 = 125.0;

/// The bytes of callers' and servers' connections since the process started.
#[derive(Debug, Default)]
pub(crate) struct LinkMeter {
    received: AtomicU64,
    sent: AtomicU64,
}

impl LinkMeter {
    pub(crate) fn record_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// Whether this router is too slow itself to tell which servers are.
pub(crate) struct LocalHealth {
    clock: Clock,
    pub(crate) meter: Arc<LinkMeter>,
    link_bytes_per_ms: f64,
    slowness: Mutex<LocalSlowness>,
}

impl LocalHealth {
    /// Starts to measure. `link_mbps` is the bandwidth of the link, 0 if it is unknown.
    pub(crate) fn spawn(clock: Clock, link_mbps: f64) -> Arc<Self> {
        let health = Arc::new(Self {
            clock,
            meter: Arc::default(),
            link_bytes_per_ms: link_mbps * BYTES_PER_MS_AND_MBPS,
            slowness: Mutex::default(),
        });
        tokio::spawn(health.clone().measure());
        health
    }

    fn slowness(&self) -> MutexGuard<'_, LocalSlowness> {
        self.slowness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this router is slow or was a short time ago, so that a timeout
    /// is no failure of the other side.
    pub(crate) fn is_slow(&self) -> bool {
        self.slowness().is_slow(self.clock.now_ms())
    }

    async fn measure(self: Arc<Self>) {
        let interval = Duration::from_millis(INTERVAL_MS);
        let mut was_slow = false;
        let (mut received, mut sent) = (0, 0);
        loop {
            let slept_at = Instant::now();
            tokio::time::sleep(interval).await;
            let late = slept_at.elapsed().saturating_sub(interval);
            let load = LocalLoad {
                late_ms: u64::try_from(late.as_millis()).unwrap_or(u64::MAX),
                bytes_in: self.meter.received() - received,
                bytes_out: self.meter.sent() - sent,
            };
            received += load.bytes_in;
            sent += load.bytes_out;
            let now_ms = self.clock.now_ms();
            let mut slowness = self.slowness();
            slowness.record(load, self.link_bytes_per_ms, now_ms);
            let slow = slowness.is_slow(now_ms);
            drop(slowness);
            if slow && !was_slow {
                log::warn!(late_ms = load.late_ms, bytes_in = load.bytes_in, bytes_out = load.bytes_out; "router is slow itself; timeouts don't count as failures");
            } else if was_slow && !slow {
                log::info!("router is no longer slow; timeouts count as failures");
            }
            was_slow = slow;
        }
    }
}
