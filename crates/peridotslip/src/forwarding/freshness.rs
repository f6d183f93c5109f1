//! How current a router's routing table is.
//!
//! A table is current as of the moment at which the call was sent whose reply proved it.
//! The reply itself may have been under way for any time. Only two replies prove it: one
//! to a watch of the table, and one of a relay that says as of when its own table is
//! current and when that last changed. A reply to any other watch proves nothing.

use serde::{Deserialize, Serialize};

use crate::relay::Position;

/// Shortest time in which changes may have to be in force, in milliseconds. Watches of
/// the table would otherwise load the store.
pub const MIN_APPLY_WITHIN_MS: u64 = 1_500;
/// Longest wait of a watch of the table, in milliseconds.
const MAX_WATCH_MS: u64 = 10_000;
/// Time for which a proof must last beyond two watches of the table, in milliseconds: the
/// pause between them and the time of their replies.
const WATCH_SLACK_MS: u64 = 400;
/// The same at a relay, in milliseconds. Its followers learn of the proof with their next
/// call for the servers' entries.
const RELAY_WATCH_SLACK_MS: u64 = 1_100;
/// Time in which a relay turns its followers away and these read the table elsewhere, in
/// milliseconds.
const FOLLOWER_MOVE_MS: u64 = 800;
/// Time for a reply, in milliseconds.
const REPLY_MS: u64 = 100;

/// What follows from the time in which changes of the table must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableTiming {
    apply_within_ms: u64,
}

impl TableTiming {
    /// Returns the timing for changes that must be in force `apply_within_ms` milliseconds
    /// after the store has confirmed them.
    #[must_use]
    pub fn new(apply_within_ms: u64) -> Self {
        Self {
            apply_within_ms: apply_within_ms.max(MIN_APPLY_WITHIN_MS),
        }
    }

    /// Returns how long a watch of the table waits for a change, in milliseconds. Between
    /// two replies, the proof of the first one lasts.
    #[must_use]
    pub fn watch_ms(self, has_followers: bool) -> u64 {
        let slack_ms = if has_followers {
            RELAY_WATCH_SLACK_MS
        } else {
            WATCH_SLACK_MS
        };
        ((self.apply_within_ms - slack_ms) / 2).min(MAX_WATCH_MS)
    }

    /// Returns how old the proof of a table may be by which a router refuses a request for
    /// good, in milliseconds.
    #[must_use]
    pub fn max_age_ms(self) -> u64 {
        self.apply_within_ms - REPLY_MS
    }

    /// Returns how old the proof of a relay's table may be, in milliseconds.
    #[must_use]
    pub fn max_relay_age_ms(self) -> u64 {
        self.apply_within_ms - FOLLOWER_MOVE_MS
    }
}

/// How current a relay's table is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableProof {
    /// The last change of the table that the relay has read.
    pub changed: Position,
    /// How long before the relay's reply its table was current, in milliseconds.
    pub age_ms: u64,
    /// How long the relay has held the call before its reply, in milliseconds.
    pub held_ms: u64,
}

impl TableProof {
    /// Returns as of when the relay's table is current, on the clock of a follower that
    /// sent its call at `sent_ms`.
    fn as_of_ms(&self, sent_ms: u64) -> u64 {
        sent_ms
            .saturating_add(self.held_ms)
            .saturating_sub(self.age_ms)
    }
}

/// As of when a router's table is current. Times are in milliseconds of the router's own
/// clock.
///
/// A refusal for lack of a route or a key is final for a caller, so a router gives it only
/// by a table that is current as of a recent moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableFreshness {
    /// How far the table's changes have been read.
    position: Position,
    as_of_ms: Option<u64>,
    /// The last change that a relay has read and this router has not.
    lacking: Option<LackingChange>,
}

/// A change that a router knows only of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LackingChange {
    position: Position,
    /// Since when the router lacks any change, in milliseconds.
    since_ms: u64,
}

impl TableFreshness {
    /// Records that the table's changes up to `position` have been read from the store, by
    /// a call that was sent at `sent_ms`.
    pub fn record_read(&mut self, position: Position, sent_ms: u64) {
        self.record_position(position);
        self.record_as_of(sent_ms);
    }

    /// Records that the table's changes up to `position` have been read.
    pub fn record_position(&mut self, position: Position) {
        self.position = self.position.max(position);
        let position = self.position;
        self.lacking.take_if(|change| change.position <= position);
    }

    /// Records a relay's proof, in the reply to a call that was sent at `sent_ms`. It says
    /// nothing of this router's table if that lacks the relay's last change.
    pub fn record_proof(&mut self, proof: &TableProof, sent_ms: u64) {
        if proof.changed.epoch != self.position.epoch {
            return;
        }
        if proof.changed > self.position {
            let since_ms = self.lacking.map_or(sent_ms, |change| change.since_ms);
            self.lacking = Some(LackingChange {
                position: proof.changed,
                since_ms,
            });
            return;
        }
        self.record_as_of(proof.as_of_ms(sent_ms));
    }

    /// Returns for how long this router has lacked changes of which it knows, in
    /// milliseconds; `None` if it lacks none.
    #[must_use]
    pub fn lacking_for_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.lacking?.since_ms))
    }

    fn record_as_of(&mut self, as_of_ms: u64) {
        self.as_of_ms = self.as_of_ms.max(Some(as_of_ms));
    }

    /// Returns how long ago the table was current, in milliseconds; `None` if it was never
    /// read.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.as_of_ms?))
    }

    /// Returns whether the table was current at most `max_age_ms` ago.
    #[must_use]
    pub fn is_current(&self, max_age_ms: u64, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms <= max_age_ms)
    }
}
