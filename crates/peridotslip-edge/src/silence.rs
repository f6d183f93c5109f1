//! Time limits on the silence of backend servers.

use std::time::{Duration, Instant};

/// Length of the steps in which silence is counted, in milliseconds.
const STEP_MS: u64 = 100;

/// Waits until a server has been silent for `limit`; without a limit, forever.
///
/// Only time in which this router was running counts. A step that ends late shows
/// that the process was suspended or busy, and what the server sent meanwhile
/// has not been read yet.
pub(crate) async fn silence(limit: Option<Duration>) {
    let Some(mut left) = limit else {
        return std::future::pending().await;
    };
    while !left.is_zero() {
        let step = left.min(Duration::from_millis(STEP_MS));
        let started = Instant::now();
        tokio::time::sleep(step).await;
        if started.elapsed() < step + Duration::from_millis(STEP_MS) {
            left -= step;
        }
    }
}
