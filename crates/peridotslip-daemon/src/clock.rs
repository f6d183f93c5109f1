//! A monotonic clock, and a wall clock for times that other VMs read.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the milliseconds since the first call in this process; never
/// decreases.
pub(crate) fn monotonic_ms() -> u64 {
    let elapsed = START.get_or_init(Instant::now).elapsed();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds since the Unix epoch by this VM's clock.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
