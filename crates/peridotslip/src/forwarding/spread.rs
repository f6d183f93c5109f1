//! Random choice among servers of nearly the same predicted cost.
//!
//! Routers that read the same load report would all choose the server with the
//! lowest cost, until it reports that it is overloaded.

/// Numbers drawn from one seed (Steele, Lea and Flood, "Fast splittable pseudorandom
/// number generators").
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Draws {
    state: u64,
}

impl Draws {
    pub(super) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Draws a number from 0 up to but not including 1.
    pub(super) fn next(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
        let high = u32::try_from(z >> 32).unwrap_or(u32::MAX);
        f64::from(high) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Returns the index of one of `costs_ms`, chosen by `draw`, a number from 0 to 1.
/// The weight of a cost falls from 1 for the lowest one to 0 at `margin_ms` above it.
/// Returns `None` without costs.
pub(super) fn pick(costs_ms: &[f64], margin_ms: f64, draw: f64) -> Option<usize> {
    let (best, best_ms) = costs_ms
        .iter()
        .copied()
        .enumerate()
        .min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let weight = |cost_ms: f64| (1.0 - (cost_ms - best_ms) / margin_ms).max(0.0);
    let total: f64 = costs_ms.iter().map(|cost_ms| weight(*cost_ms)).sum();
    let mut left = total * draw;
    let drawn = costs_ms.iter().position(|cost_ms| {
        left -= weight(*cost_ms);
        left < 0.0
    });
    Some(drawn.unwrap_or(best))
}
