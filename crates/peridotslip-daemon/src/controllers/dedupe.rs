//! Deduplication of this process's requests by idempotency key.

use std::sync::{Arc, Mutex, MutexGuard};

use peridotslip::prelude::*;

use crate::{metrics::Metrics, response::ResponseBuffer};

/// A shared [`DedupeTable`]. A lock protects the table instead of an actor,
/// because no operation on the table waits for another event.
#[derive(Clone)]
pub(crate) struct DedupeHandle {
    table: Arc<Mutex<DedupeTable<Arc<ResponseBuffer>>>>,
    metrics: Arc<Metrics>,
}

impl DedupeHandle {
    /// Creates a table that retains up to `max_bytes` of finished responses,
    /// each for `retention_ms` milliseconds.
    pub(crate) fn open(max_bytes: usize, retention_ms: u64, metrics: Arc<Metrics>) -> Self {
        Self {
            table: Arc::new(Mutex::new(DedupeTable::new(max_bytes, retention_ms))),
            metrics,
        }
    }

    fn lock(&self) -> MutexGuard<'_, DedupeTable<Arc<ResponseBuffer>>> {
        self.table
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Begins a request with a key; `response` is where its response will be
    /// stored. Returns whether to execute the request, to follow the response of
    /// an earlier request with the key, or to reject the request.
    pub(crate) fn begin(
        &self,
        key: IdempotencyKey,
        fingerprint: Fingerprint,

        response: &Arc<ResponseBuffer>,
    ) -> DedupeDecision<Arc<ResponseBuffer>> {
        self.lock().begin(key, fingerprint, response)
    }

    /// Marks the request of a key as finished, with a response of `bytes`
    /// bytes that is retained for replay.
    pub(crate) fn finish(&self, key: IdempotencyKey, bytes: usize, now_ms: u64) {
        let mut table = self.lock();
        table.finish(key, bytes, now_ms);
        self.metrics
            .gauges
            .replay_bytes
            .set(table.retained_bytes() as u64);
    }

    /// Removes a key whose request failed, so that a retry is executed.
    pub(crate) fn abort(&self, key: IdempotencyKey) {
        self.lock().abort(key);
    }
}
