//! Time as the parts without I/O take it.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the process started, and since the epoch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Milliseconds of the monotonic clock.
    pub(crate) fn now_ms(self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Milliseconds since the epoch. It may jump, so nothing that has to be
    /// right depends on it.
    pub(crate) fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
    }
}
