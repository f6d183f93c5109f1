//! An in-memory store with fault injection, for tests and the fake store server.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use tokio::sync::Notify;

use crate::store::{Error, Result, Store, VersionedValue};

/// The maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// A fault of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// The write is rejected and does not take effect.
    Rejected,
    /// The write takes effect, but its reply is lost.
    ReplyLost,
    /// The request is lost: the write does not take effect and has no reply.
    RequestLost,
}

/// The faults that a [`MemoryStore`] injects into calls.
#[derive(Clone, Debug, Default)]
pub struct InjectedFaults {
    /// Whether every call fails.
    pub unavailable: bool,
    /// The delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// The faults of the next writes, one entry for each write; `None` is no
    /// fault.
    pub write_faults: VecDeque<Option<WriteFault>>,
}

#[derive(Default)]
struct State {
    keys: BTreeMap<String, VersionedValue>,
    /// When each key with a lease expires, unless the lease is renewed before.
    leases: BTreeMap<String, Instant>,
    faults: InjectedFaults,
    reads: u64,
    writes: u64,
}

/// An in-memory store with fault injection.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Notify,
}

impl MemoryStore {
    /// Returns an empty store without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: InjectedFaults) {
        self.lock().faults = faults;
    }

    /// Returns the number of reads, watches included, and the number of writes.
    #[must_use]
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    /// Writes a key as [`compare_and_swap`](Store::compare_and_swap) does, with a
    /// lease: the key expires unless this method writes it again within `ttl`.
    ///
    /// # Errors
    ///
    /// The errors of [`compare_and_swap`](Store::compare_and_swap).
    pub async fn compare_and_swap_with_ttl(
        &self,
        key: &str,
        version: u64,
        value: &[u8],
        ttl: Duration,
    ) -> Result<u64> {
        let result = self.compare_and_swap(key, version, value).await;
        if matches!(result, Ok(_) | Err(Error::Indeterminate(_))) {
            let until = Instant::now() + ttl;
            self.lock().leases.insert(key.to_owned(), until);
        }
        result
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn inject_call_faults(&self) -> Result<()> {
        let faults = {
            let state = self.lock();
            (state.faults.unavailable, state.faults.delay_ms)
        };
        if faults.1 > 0 {
            tokio::time::sleep(Duration::from_millis(faults.1)).await;
        }
        if faults.0 {
            return Err(Error::Unavailable("injected outage".to_owned()));
        }
        Ok(())
    }

    fn read_after(&self, key: &str, after: u64) -> Option<VersionedValue> {
        let mut state = self.lock();
        state.remove_if_expired(key);
        state
            .keys
            .get(key)
            .filter(|found| found.version > after)
            .cloned()
    }
}

impl State {
    /// Removes a key if its lease has expired.
    fn remove_if_expired(&mut self, key: &str) {
        let expired = self
            .leases
            .get(key)
            .is_some_and(|until| *until <= Instant::now());
        if expired {
            self.leases.remove(key);
            self.keys.remove(key);
        }
    }

    fn compare_and_swap(&mut self, key: &str, version: u64, value: &[u8]) -> Result<u64> {
        self.remove_if_expired(key);
        let current = self.keys.get(key).map_or(0, |found| found.version);
        if current != version {
            return Err(Error::Conflict(current));
        }
        let new = VersionedValue {
            version: current + 1,
            value: value.to_vec(),
        };
        self.keys.insert(key.to_owned(), new);
        Ok(current + 1)
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>> {
        self.inject_call_faults().await?;
        self.lock().reads += 1;
        Ok(self.read_after(key, 0))
    }

    async fn compare_and_swap(&self, key: &str, version: u64, value: &[u8]) -> Result<u64> {
        self.inject_call_faults().await?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(value.len()));
        }
        let result = {
            let mut state = self.lock();
            state.writes += 1;
            let indeterminate = || Error::Indeterminate("injected fault".to_owned());
            match state.faults.write_faults.pop_front().flatten() {
                None => state.compare_and_swap(key, version, value),
                Some(WriteFault::Rejected) => Err(Error::Unavailable("injected fault".to_owned())),
                Some(WriteFault::RequestLost) => Err(indeterminate()),
                Some(WriteFault::ReplyLost) => state
                    .compare_and_swap(key, version, value)
                    .and_then(|_| Err(indeterminate())),
            }
        };
        self.changed.notify_waiters();
        result
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<VersionedValue>> {
        self.inject_call_faults().await?;
        self.lock().reads += 1;
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if let Some(found) = self.read_after(key, after) {
                return Ok(Some(found));
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Ok(None);
            }
        }
    }
}
