//! Time in milliseconds, as the code without I/O expects it.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts with the process.
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

    /// Returns the milliseconds since the clock started.
    pub(crate) fn now_ms(self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the milliseconds from the clock's start to `at`.
    pub(crate) fn ms_at(self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.start);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the milliseconds since the Unix epoch. The system clock may jump,
    /// so correctness must not depend on this value.
    pub(crate) fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
    }
}
