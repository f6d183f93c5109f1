//! A store in memory, with faults, for tests and for the stand-in server.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use tokio::sync::Notify;

use crate::store::{Error, Result, Store, VersionedValue};

/// The store's limit on a value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// What happens to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// It is refused and does not take effect.
    Rejected,
    /// It takes effect and the reply is lost.
    ReplyLost,
    /// It does not take effect and the reply is lost.
    RequestLost,
}

/// What goes wrong at the moment.
#[derive(Clone, Debug, Default)]
pub struct InjectedFaults {
    /// Whether every call fails.
    pub unavailable: bool,
    /// How long every call takes, in milliseconds.
    pub delay_ms: u64,
    /// What happens to the next writes, one entry each; `None` is no fault.
    pub write_faults: VecDeque<Option<WriteFault>>,
}

#[derive(Default)]
struct State {
    keys: BTreeMap<String, VersionedValue>,
    /// When keys under a lease go, unless their lease is renewed.
    leases: BTreeMap<String, Instant>,
    faults: InjectedFaults,
    reads: u64,
    writes: u64,
}

/// A store in memory.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Notify,
}

impl MemoryStore {
    /// An empty store without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes what goes wrong from now on.
    pub fn set_faults(&self, faults: InjectedFaults) {
        self.lock().faults = faults;
    }

    /// Calls so far: reads (watches included) and writes.
    #[must_use]
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    /// Writes a key under a lease: as [`compare_and_swap`](Store::swap), and the key goes
    /// unless it is written again within `ttl`.
    ///
    /// # Errors
    ///
    /// As [`compare_and_swap`](Store::swap).
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

    async fn enter(&self) -> Result<()> {
        let faults = {
            let state = self.lock();
            (state.faults.unavailable, state.faults.delay_ms)
        };
        if faults.1 > 0 {
            tokio::time::sleep(Duration::from_millis(faults.1)).await;
        }
        if faults.0 {
            return Err(Error::Unavailable("outage".to_owned()));
        }
        Ok(())
    }

    fn read_after(&self, key: &str, after: u64) -> Option<VersionedValue> {
        let mut state = self.lock();
        state.lapse(key);
        state
            .keys
            .get(key)
            .filter(|found| found.version > after)
            .cloned()
    }
}

impl State {
    /// Removes a key whose lease has run out.
    fn lapse(&mut self, key: &str) {
        let over = self
            .leases
            .get(key)
            .is_some_and(|until| *until <= Instant::now());
        if over {
            self.leases.remove(key);
            self.keys.remove(key);
        }
    }

    fn compare_and_swap(&mut self, key: &str, version: u64, value: &[u8]) -> Result<u64> {
        self.lapse(key);
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
        self.enter().await?;
        self.lock().reads += 1;
        Ok(self.read_after(key, 0))
    }

    async fn compare_and_swap(&self, key: &str, version: u64, value: &[u8]) -> Result<u64> {
        self.enter().await?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(value.len()));
        }
        let result = {
            let mut state = self.lock();
            state.writes += 1;
            let lost = || Error::Indeterminate("fault".to_owned());
            match state.faults.write_faults.pop_front().flatten() {
                None => state.compare_and_swap(key, version, value),
                Some(WriteFault::Rejected) => Err(Error::Unavailable("fault".to_owned())),
                Some(WriteFault::RequestLost) => Err(lost()),
                Some(WriteFault::ReplyLost) => state
                    .compare_and_swap(key, version, value)
                    .and_then(|_| Err(lost())),
            }
        };
        self.changed.notify_waiters();
        result
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<VersionedValue>> {
        self.enter().await?;
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
