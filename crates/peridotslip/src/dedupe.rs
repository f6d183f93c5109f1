//! Joining and replaying duplicates of a request within one process.
//!
//! A key is running, finished or unknown. A duplicate of a running request
//! joins it; a duplicate of a finished one gets the kept answer, for as long
//! as it is kept. Memory is bounded: kept answers are evicted oldest first
//! past a byte limit and after a retention time.
//!
//! `A` is the handle by which an answer is followed or replayed.

use std::collections::{HashMap, VecDeque};

use crate::ids::{Fingerprint, IdempotencyKey};

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DedupeDecision<A> {
    /// The first of its key: run it, then call [`DedupeTable::finish`] or
    /// [`DedupeTable::abort`].
    Execute,
    /// The key is known: follow this answer.
    Follow(A),
    /// The key belongs to a different request.
    KeyReused,
}

struct Entry<A> {
    fingerprint: Fingerprint,
    answer: A,
    finished: Option<Finished>,
}

#[derive(Clone, Copy)]
struct Finished {
    bytes: usize,
    until_ms: u64,
}

/// The running and finished requests of one process, by key.
pub struct DedupeTable<A> {
    entries: HashMap<IdempotencyKey, Entry<A>>,
    finished: VecDeque<IdempotencyKey>,
    retained_bytes: usize,
    max_bytes: usize,
    retention_ms: u64,
}

impl<A: Clone> DedupeTable<A> {
    /// An empty table that keeps finished answers of `max_bytes` together,
    /// each for `retention_ms`.
    #[must_use]
    pub fn new(max_bytes: usize, retention_ms: u64) -> Self {
        Self {
            entries: HashMap::new(),
            finished: VecDeque::new(),
            retained_bytes: 0,
            max_bytes,
            retention_ms,
        }
    }

    /// Decides about a request; `answer` is kept if it is the first.
    pub fn begin(
        &mut self,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        answer: &A,
    ) -> DedupeDecision<A> {
        if let Some(entry) = self.entries.get(&key) {
            if entry.fingerprint != fingerprint {
                return DedupeDecision::KeyReused;
            }
            return DedupeDecision::Follow(entry.answer.clone());
        }
        let entry = Entry {
            fingerprint,
            answer: answer.clone(),
            finished: None,
        };
        self.entries.insert(key, entry);
        DedupeDecision::Execute
    }

    /// Keeps the whole answer of a request, `bytes` long, for replay.
    pub fn finish(&mut self, key: IdempotencyKey, bytes: usize, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.finished.is_some() {
            return;
        }
        let until_ms = now_ms + self.retention_ms;
        entry.finished = Some(Finished { bytes, until_ms });
        self.retained_bytes += bytes;
        self.finished.push_back(key);
        self.evict(now_ms);
    }

    /// Drops a request that did not run to its end, so that a retry runs.
    pub fn abort(&mut self, key: IdempotencyKey) {
        if self
            .entries
            .get(&key)
            .is_some_and(|entry| entry.finished.is_none())
        {
            self.entries.remove(&key);
        }
    }

    /// Drops finished answers past their retention or the byte limit.
    pub fn evict(&mut self, now_ms: u64) {
        while let Some(key) = self.finished.front() {
            let Some(finished) = self.entries.get(key).and_then(|entry| entry.finished) else {
                self.finished.pop_front();
                continue;
            };
            if finished.until_ms > now_ms && self.retained_bytes <= self.max_bytes {
                return;
            }
            self.entries.remove(key);
            self.retained_bytes -= finished.bytes;
            self.finished.pop_front();
        }
    }

    /// Bytes of finished answers that are kept.
    #[must_use]
    pub fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Keys that are known, running and finished.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
