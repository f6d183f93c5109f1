//! The requests of this process by idempotency key.

use std::sync::{Arc, Mutex, MutexGuard};

use peridotslip::prelude::*;

use crate::{answer::Answer, metrics::Metrics};

/// A shared [`DedupeTable`]. It is a lock and not an actor, because admitting a
/// duplicate never waits for anything.
#[derive(Clone)]
pub(crate) struct DedupeHandle {
    table: Arc<Mutex<DedupeTable<Arc<Answer>>>>,
    metrics: Arc<Metrics>,
}

impl DedupeHandle {
    pub(crate) fn open(max_bytes: usize, retention_ms: u64, metrics: Arc<Metrics>) -> Self {
        Self {
            table: Arc::new(Mutex::new(DedupeTable::new(max_bytes, retention_ms))),
            metrics,
        }
    }

    fn lock(&self) -> MutexGuard<'_, DedupeTable<Arc<Answer>>> {
        self.table
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub(crate) fn begin(
        &self,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        answer: &Arc<Answer>,
    ) -> DedupeDecision<Arc<Answer>> {
        self.lock().begin(key, fingerprint, answer)
    }

    pub(crate) fn finish(&self, key: IdempotencyKey, bytes: usize, now_ms: u64) {
        let mut table = self.lock();
        table.finish(key, bytes, now_ms);
        self.metrics
            .gauges
            .replay_bytes
            .set(table.retained_bytes() as u64);
    }

    pub(crate) fn abort(&self, key: IdempotencyKey) {
        self.lock().abort(key);
    }
}
