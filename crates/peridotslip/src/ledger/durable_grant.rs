//! The part of a grant that the store keeps when it is restored from a copy.

use std::collections::VecDeque;

/// Shortest time between two recorded grants, in milliseconds. Bounds how many
/// are remembered.
const MIN_INTERVAL_MS: u64 = 1_000;

/// Remembers when a total grant was confirmed, to tell which part of it every
/// copy of the store shows that the store may return to.
#[derive(Clone, Debug, Default)]
pub struct DurableGrant {
    /// Total grants with the times of the replies that confirmed them, in
    /// milliseconds.
    confirmed: VecDeque<(u64, u64)>,
    /// The total grant that all copies show.
    durable: u64,
}

impl DurableGrant {
    /// Records a reply of the store, by which the total grant is `granted`.
    /// `sent_ms` and `replied_ms` are when the call was sent and when the reply
    /// arrived; a copy is at most `max_copy_age_ms` old.
    pub fn record_reply(
        &mut self,
        granted: u64,
        sent_ms: u64,
        replied_ms: u64,
        max_copy_age_ms: u64,
    ) {
        let count = self.confirmed.len();
        let is_dense = count >= 2
            && self.confirmed[count - 1].0 < self.confirmed[count - 2].0 + MIN_INTERVAL_MS;
        let newest = self.confirmed.back();
        let is_known = granted <= newest.map_or(self.durable, |(_, newest)| *newest);
        if is_dense && !is_known {
            self.confirmed.pop_back();
        }
        if !is_known {
            self.confirmed.push_back((replied_ms, granted));
        }
        // The store had not been restored when the call was sent, so a later
        // restore returns to a copy that is not older than this.
        let Some(oldest_copy_ms) = sent_ms.checked_sub(max_copy_age_ms) else {
            return;
        };
        while let Some((at_ms, granted)) = self.confirmed.front().copied()
            && at_ms <= oldest_copy_ms
        {
            self.durable = self.durable.max(granted);
            self.confirmed.pop_front();
        }
    }

    /// Returns the total grant that every copy of the store shows, in tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.durable
    }
}
