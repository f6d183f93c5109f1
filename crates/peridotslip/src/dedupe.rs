//! Deduplication of requests with the same idempotency key within one process.
//!
//! An idempotency key is running, finished or unknown. A duplicate of a running
//! request follows the response of that request; a duplicate of a finished one
//! gets the retained response. Memory is bounded: retained responses are evicted
//! oldest first, above a byte limit and after a retention time.
//!
//! `A` is the handle for following or replaying a response.

use std::collections::{HashMap, VecDeque};

use crate::ids::{Fingerprint, IdempotencyKey};

/// The decision about a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DedupeDecision<A> {
    /// The request is the first with its idempotency key and must be executed,
    /// followed by a call of [`DedupeTable::finish`] or [`DedupeTable::abort`].
    Execute,
    /// The request is a duplicate and gets this response.
    Follow(A),
    /// A different request has used the idempotency key.
    KeyReused,
}

/// A running or finished request.
struct Entry<A> {
    fingerprint: Fingerprint,
    response: A,
    finished: Option<Finished>,
}

/// The size of a retained response and the end of its retention.
#[derive(Clone, Copy)]
struct Finished {
    bytes: usize,
    expires_at_ms: u64,
}

/// The running and finished requests of one process, by idempotency key.
pub struct DedupeTable<A> {
    entries: HashMap<IdempotencyKey, Entry<A>>,
    /// Idempotency keys of finished requests, oldest first.
    finished: VecDeque<IdempotencyKey>,
    retained_bytes: usize,
    max_bytes: usize,
    retention_ms: u64,
}

impl<A: Clone> DedupeTable<A> {
    /// Creates an empty table that retains responses of at most `max_bytes` in
    /// total, each for `retention_ms`.
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

    /// Decides about a request. Stores `response` if the request is the first with
    /// its idempotency key.
    pub fn begin(
        &mut self,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        response: &A,
    ) -> DedupeDecision<A> {
        if let Some(entry) = self.entries.get(&key) {
            if entry.fingerprint != fingerprint {
                return DedupeDecision::KeyReused;
            }
            return DedupeDecision::Follow(entry.response.clone());
        }
        let entry = Entry {
            fingerprint,
            response: response.clone(),
            finished: None,
        };
        self.entries.insert(key, entry);
        DedupeDecision::Execute
    }

    /// Marks a request as finished and retains its response of `bytes` bytes for
    /// replay.
    pub fn finish(&mut self, key: IdempotencyKey, bytes: usize, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.finished.is_some() {
            return;
        }
        let expires_at_ms = now_ms + self.retention_ms;
        entry.finished = Some(Finished {
            bytes,
            expires_at_ms,
        });
        self.retained_bytes += bytes;
        self.finished.push_back(key);
        self.evict(now_ms);
    }

    /// Removes a request that did not finish, so that a retry is executed.
    pub fn abort(&mut self, key: IdempotencyKey) {
        if self
            .entries
            .get(&key)
            .is_some_and(|entry| entry.finished.is_none())
        {
            self.entries.remove(&key);
        }
    }

    /// Evicts responses whose retention has ended or that exceed the byte limit.
    pub fn evict(&mut self, now_ms: u64) {
        while let Some(key) = self.finished.front() {
            let Some(finished) = self.entries.get(key).and_then(|entry| entry.finished) else {
                self.finished.pop_front();
                continue;
            };
            if finished.expires_at_ms > now_ms && self.retained_bytes <= self.max_bytes {
                return;
            }
            self.entries.remove(key);
            self.retained_bytes -= finished.bytes;
            self.finished.pop_front();
        }
    }

    /// Returns the total size of the retained responses, in bytes.
    #[must_use]
    pub fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Returns the number of running and finished requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
