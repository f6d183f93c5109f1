//! Whether a router that rejects requests should get new connections.
//!
//! A router whose readiness checks fail gets no new connections. It goes on serving
//! those that it has.

use std::collections::VecDeque;

/// Length of the intervals in which rejections are noted, in milliseconds.
const INTERVAL_MS: u64 = 100;
/// The time that is looked at for rejections, in milliseconds.
const OBSERVED_MS: u64 = 2_000;
/// Intervals with a rejection, of those in [`OBSERVED_MS`], after which the router goes
/// out of rotation.
const REJECTING_INTERVALS: usize = 10;
/// Share of what the router can carry below which its load has fallen.
const LOW_USE: f64 = 0.7;
/// How long the load must have fallen before the router returns, in milliseconds.
const LOW_USE_MS: u64 = 1_000;
/// Longest time out of rotation, in milliseconds.
const MAX_OUT_MS: u64 = 5_000;
/// Shortest time in rotation before the router goes out again, in milliseconds: two
/// readiness checks.
const MIN_IN_MS: u64 = 2_000;
/// The time in which the router may be out for [`MAX_TOTAL_OUT_MS`], in milliseconds.
const TOTAL_MS: u64 = 60_000;
/// An eighth of [`TOTAL_MS`].
const MAX_TOTAL_OUT_MS: u64 = TOTAL_MS / 8;

/// A time out of rotation that has ended.
#[derive(Clone, Copy, Debug)]
struct Outing {
    from_ms: u64,
    to_ms: u64,
}

/// Whether a router is in rotation. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    /// The numbers of the intervals with a rejection.
    rejecting: VecDeque<u64>,
    out_since_ms: Option<u64>,
    /// Since when the router's use has been low.
    low_since_ms: Option<u64>,
    outings: VecDeque<Outing>,
}

impl Rotation {
    /// Records that the router has rejected a request because it is overloaded.
    pub fn record_rejection(&mut self, now_ms: u64) {
        let interval = now_ms / INTERVAL_MS;
        if self.rejecting.back() != Some(&interval) {
            self.rejecting.push_back(interval);
        }
        self.forget_rejections(now_ms);
    }

    /// Decides whether the router is out of rotation. `used` is the share of what it can
    /// carry that it uses. Must be called at least every [`INTERVAL_MS`], so that no
    /// time out of rotation is longer than permitted.
    pub fn update(&mut self, used: f64, now_ms: u64) -> bool {
        self.forget_rejections(now_ms);
        if used < LOW_USE {
            self.low_since_ms.get_or_insert(now_ms);
        } else {
            self.low_since_ms = None;
        }
        // The next decision is that much later.
        let until_ms = now_ms + INTERVAL_MS;
        if let Some(from_ms) = self.out_since_ms {
            let has_room = self
                .low_since_ms
                .is_some_and(|low_ms| now_ms >= low_ms + LOW_USE_MS);
            if has_room
                || until_ms - from_ms > MAX_OUT_MS
                || self.total_out_ms(until_ms) > MAX_TOTAL_OUT_MS
            {
                self.out_since_ms = None;
                self.outings.push_back(Outing {
                    from_ms,
                    to_ms: now_ms,
                });
            }
        } else {
            let rests = self
                .outings
                .back()
                .is_some_and(|last| now_ms < last.to_ms + MIN_IN_MS);
            let rejects = self.rejecting.len() >= REJECTING_INTERVALS;
            if rejects && !rests && self.total_out_ms(until_ms) + INTERVAL_MS <= MAX_TOTAL_OUT_MS {
                self.out_since_ms = Some(now_ms);
            }
        }
        self.out_since_ms.is_some()
    }

    fn forget_rejections(&mut self, now_ms: u64) {
        let first = now_ms.saturating_sub(OBSERVED_MS) / INTERVAL_MS;
        self.rejecting.retain(|interval| *interval >= first);
    }

    /// Returns for how much of the last [`TOTAL_MS`] before `now_ms` the router has been
    /// out of rotation, if it stays out until then when it is out.
    fn total_out_ms(&mut self, now_ms: u64) -> u64 {
        let start_ms = now_ms.saturating_sub(TOTAL_MS);
        self.outings.retain(|outing| outing.to_ms > start_ms);
        let ended = self.outings.iter();
        let ended = ended.map(|outing| outing.to_ms - outing.from_ms.max(start_ms));
        let current = self.out_since_ms.map_or(0, |from_ms| now_ms - from_ms);
        ended.sum::<u64>() + current
    }
}
