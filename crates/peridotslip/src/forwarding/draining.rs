//! The starts of servers that are draining.

use std::collections::VecDeque;

use super::ServerId;

/// Number of starts that a router remembers.
const MAX_STARTS: usize = 1_000;

/// The last starts of servers that were reported to be draining.
///
/// A start that drains never accepts requests again. Its entry may still say that
/// it is ready, or be removed and come back.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainingStarts {
    /// IDs and start times, the latest last.
    starts: VecDeque<(ServerId, u64)>,
}

impl DrainingStarts {
    /// Adds a start. Returns whether it was not yet known to be draining.
    pub(super) fn insert(&mut self, id: &str, started_ms: u64) -> bool {
        if self.contains(id, started_ms) {
            return false;
        }
        if self.starts.len() >= MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((id.to_owned(), started_ms));
        true
    }

    /// Returns whether a start is known to be draining.
    pub(super) fn contains(&self, id: &str, started_ms: u64) -> bool {
        self.starts
            .iter()
            .any(|(known, start)| known == id && *start == started_ms)
    }
}
