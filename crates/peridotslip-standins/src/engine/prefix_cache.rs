//! A cache of prompt prefixes in blocks, least recently used first out.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use serde::Serialize;

/// Bytes of prompt in a block.
const BLOCK_BYTES: usize = 256;
/// Tokens in a block, at four bytes a token.
const BLOCK_TOKENS: u64 = 64;
/// Every so many events one is never published.
const GAP_EVERY: u64 = 10;
/// Events that are remembered.
const MAX_EVENTS: usize = 10_000;

/// A block that was cached or evicted.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    seq: u64,
    block: u64,
    cached: bool,
}

#[derive(Default)]
pub(super) struct PrefixCache {
    max_blocks: usize,
    /// When each block was last used, as a count of uses.
    used: HashMap<u64, u64>,
    uses: u64,
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

    /// Looks a prompt up, caches what is missing and returns how many of its
    /// tokens were cached.
    pub(super) fn read(&mut self, prompt: &[u8]) -> u64 {
        let mut hasher = DefaultHasher::new();
        let mut cached = 0;
        let mut unbroken = true;
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            block.hash(&mut hasher);
            let id = hasher.finish();
            self.uses += 1;
            let known = self.used.insert(id, self.uses).is_some();
            unbroken &= known;
            if unbroken {
                cached += BLOCK_TOKENS;
            }
            if !known {
                self.note(id, true);
            }
        }
        while self.used.len() > self.max_blocks {
            let Some((&oldest, _)) = self.used.iter().min_by_key(|(_, used)| **used) else {
                break;
            };
            self.used.remove(&oldest);
            self.note(oldest, false);
        }
        cached
    }

    fn note(&mut self, block: u64, cached: bool) {
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

    /// Published events after `after`, at least `lag` old.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq > after && at.elapsed() >= lag)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
