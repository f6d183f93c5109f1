//! The two clocks: one that never goes back, one that means something to
//! other machines.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since this process first asked; never goes back.
pub(crate) fn monotonic_ms() -> u64 {
    let elapsed = START.get_or_init(Instant::now).elapsed();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds since the Unix epoch by this machine's clock.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
