//! The order in which unreachable routers are probed.

use std::collections::VecDeque;

use crate::ids::Incarnation;

/// Number of routers that are probed at the same time.
pub const PROBE_BATCH: usize = 32;

/// Takes turns among unreachable routers, so that each one is probed within a bounded
/// time although each probe may have to wait for its timeout.
#[derive(Clone, Debug, Default)]
pub struct ProbeRotation {
    /// Routers that were unreachable, the one probed longest ago first.
    queue: VecDeque<Incarnation>,
}

impl ProbeRotation {
    /// Returns the routers to probe now: at most [`PROBE_BATCH`] of `unreachable`,
    /// those first that were probed longest ago or never.
    pub fn next_batch(&mut self, unreachable: &[Incarnation]) -> Vec<Incarnation> {
        self.queue.retain(|router| unreachable.contains(router));
        let new = unreachable
            .iter()
            .filter(|router| !self.queue.contains(router));
        let new: Vec<Incarnation> = new.copied().collect();
        for router in new {
            self.queue.push_front(router);
        }
        let count = self.queue.len().min(PROBE_BATCH);
        let batch: Vec<Incarnation> = self.queue.drain(..count).collect();
        self.queue.extend(batch.iter().copied());
        batch
    }
}
