//! A prefix cache of prompt blocks with least-recently-used eviction.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use serde::Serialize;

/// Size of a block, in bytes of prompt.
const BLOCK_BYTES: usize = 256;
/// Size of a block, in tokens of four bytes each.
const BLOCK_TOKENS: u64 = 64;
/// One in this many events is not published, so that clients encounter gaps in
/// the sequence numbers.
const GAP_EVERY: u64 = 10;
/// Largest number of events retained.
const MAX_EVENTS: usize = 10_000;

/// The insertion or eviction of a block.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    /// Sequence number, from 1.
    seq: u64,
    /// Block ID: the hash of the prompt up to the end of the block.
    block: u64,
    /// Whether the block was inserted; `false` for an eviction.
    cached: bool,
}

/// The set of cached blocks and the events of its changes.
#[derive(Default)]
pub(super) struct PrefixCache {
    max_blocks: usize,
    /// Value of `use_count` at the last use of each block, by block ID.
    last_used: HashMap<u64, u64>,
    /// Number of block lookups so far, which serves as a logical clock.
    use_count: u64,
    /// Published events and their times, oldest first.
    events: VecDeque<(Instant, CacheEvent)>,
    last_seq: u64,
}

impl PrefixCache {
    pub(super) fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            ..Self::default()
        }
    }

    /// Looks up the blocks of a prompt, inserts the missing blocks and returns
    /// the number of tokens in the prefix that was cached already.
    pub(super) fn lookup_and_insert(&mut self, prompt: &[u8]) -> u64 {
        let mut hasher = DefaultHasher::new();
        let mut cached = 0;
        let mut in_prefix = true;
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            block.hash(&mut hasher);
            let id = hasher.finish();
            self.use_count += 1;
            let known = self.last_used.insert(id, self.use_count).is_some();
            in_prefix &= known;
            if in_prefix {
                cached += BLOCK_TOKENS;
            }
            if !known {
                self.publish_event(id, true);
            }
        }
        while self.last_used.len() > self.max_blocks {
            let Some((&oldest, _)) = self
                .last_used
                .iter()
                .min_by_key(|(_, last_used)| **last_used)
            else {
                break;
            };
            self.last_used.remove(&oldest);
            self.publish_event(oldest, false);
        }
        cached
    }

    /// Assigns the next sequence number to an event and publishes the event,
    /// except for one in [`GAP_EVERY`].
    fn publish_event(&mut self, block: u64, cached: bool) {
        self.last_seq += 1;
        let seq = self.last_seq;
        if !seq.is_multiple_of(GAP_EVERY) {
            let event = CacheEvent { seq, block, cached };
            self.events.push_back((Instant::now(), event));
        }
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the published events with a sequence number above `after` that are
    /// at least `lag` old.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq > after && at.elapsed() >= lag)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
