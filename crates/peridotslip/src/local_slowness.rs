//! Whether a router is too slow itself to tell which servers are.
//!
//! A connection that is not opened in time, or a server that is silent, may be due to
//! the router: its processor was busy, or its link is full. While that is so, and for
//! some time after, a timeout says nothing about the other side. A connection that the
//! other side refuses or resets does.

/// Delay of the event loop from which the router is slow, in milliseconds: a third of
/// the longest wait for a connection to a server.
const LATE_WAKE_MS: u64 = 100;
/// Share of the link's bandwidth beyond which bytes queue.
const USABLE_LINK_SHARE: f64 = 0.9;
/// Time that queued bytes take on the link from which the router is slow, in
/// milliseconds.
const LATE_LINK_MS: f64 = 50.0;
/// Longest such time that is counted, in milliseconds. Bounds how long a burst is
/// remembered.
const MAX_LINK_MS: f64 = 200.0;
/// How long a router counts as slow after it was, in milliseconds. Longer than the wait
/// for a connection, and together with [`MAX_LINK_MS`] less than 2 s.
const SLOW_RETENTION_MS: u64 = 1_000;

/// What a router has measured since the last measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalLoad {
    /// How much later than it asked the measuring task was woken, in milliseconds.
    pub late_ms: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

/// Whether a router is slow itself. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalSlowness {
    measured_at: u64,
    /// The time that the queued bytes of each direction take on the link.
    queued_ms: [f64; 2],
    slow_until_ms: u64,
}

impl LocalSlowness {
    /// Records a measurement. `link_bytes_per_ms` is the link's bandwidth in each
    /// direction, 0 if it is unknown.
    pub fn record(&mut self, load: LocalLoad, link_bytes_per_ms: f64, now_ms: u64) {
        #[allow(clippy::cast_precision_loss)]
        let as_f64 = |value: u64| value as f64;
        let elapsed_ms = as_f64(now_ms.saturating_sub(self.measured_at));
        self.measured_at = now_ms;
        for (queued_ms, bytes) in self
            .queued_ms
            .iter_mut()
            .zip([load.bytes_in, load.bytes_out])
        {
            if link_bytes_per_ms > 0.0 {
                let added_ms = as_f64(bytes) / link_bytes_per_ms;
                let sent_ms = elapsed_ms * USABLE_LINK_SHARE;
                *queued_ms = (*queued_ms + added_ms - sent_ms).clamp(0.0, MAX_LINK_MS);
            } else {
                *queued_ms = 0.0;
            }
        }
        let late_link = self
            .queued_ms
            .iter()
            .any(|queued_ms| *queued_ms >= LATE_LINK_MS);
        if load.late_ms >= LATE_WAKE_MS || late_link {
            self.slow_until_ms = now_ms + SLOW_RETENTION_MS;
        }
    }

    /// Returns whether the router is slow or was a short time ago, so that a timeout is
    /// no failure of the other side.
    #[must_use]
    pub fn is_slow(&self, now_ms: u64) -> bool {
        now_ms < self.slow_until_ms
    }
}
