//! Origins of streams in the metadata store, which survive the end of all routers.
//!
//! One router of each data centre, the writer, collects the records of its neighbours
//! and writes them in batches to a ring of keys of its own. A record states a fact about
//! one attempt ID: it never becomes wrong, so a late, repeated or lost write, and a restore of
//! the store, only decide whether a resumption can be proved. That there is no record
//! proves nothing.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{MAX_STREAM_MS, ServerVersion, StreamOrigin};
use crate::util;

/// Number of records in one value of the store. Such a value has about 27 kB, and 36 kB
/// in base64, far below the store's limit of 1 MB.
pub const MAX_BATCH_RECORDS: usize = 1_500;
/// Number of records that wait in one queue, as a bound on its memory: about half a
/// megabyte.
const MAX_QUEUED_RECORDS: usize = 5_000;
/// Number of records that a reader keeps, as a bound on its memory.
const MAX_FOUND_RECORDS: usize = 50_000;
/// How long after it was written a batch is read, in milliseconds: the life of a stream,
/// and as much again for clocks of VMs that differ.
const READ_BATCH_MS: u64 = 2 * MAX_STREAM_MS;
/// The encoding of batches in this release.
const FORMAT: u8 = 1;
/// Length of a key, in bytes. With 128 bits of SHA-256, no caller can construct an ID
/// with the key of another one's.
const KEY_BYTES: usize = 16;

/// Identifies a stream by a hash of the ID of the attempt that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OriginKey([u8; KEY_BYTES]);

impl OriginKey {
    /// Returns the key of an attempt ID.
    #[must_use]
    pub fn of(id: &str) -> Self {
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&Sha256::digest(id.as_bytes())[..KEY_BYTES]);
        Self(key)
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub key: OriginKey,
    /// The service and the version that began it.
    pub origin: StreamOrigin,
}

/// A record in a queue.
#[derive(Clone, Debug)]
pub struct QueuedOrigin {
    /// The record.
    pub record: OriginRecord,
    expires_ms: u64,
}

/// Records that wait for a call. When there are too many, the oldest are dropped.
#[derive(Clone, Debug, Default)]
pub struct OriginQueue {
    records: VecDeque<QueuedOrigin>,
}

impl OriginQueue {
    /// Adds a record. Returns `false` if another one was dropped for it.
    pub fn push(&mut self, record: OriginRecord, now_ms: u64) -> bool {
        let fits = self.records.len() < MAX_QUEUED_RECORDS;
        if !fits {
            self.records.pop_front();
        }
        let expires_ms = now_ms + MAX_STREAM_MS;
        self.records.push_back(QueuedOrigin { record, expires_ms });
        fits
    }

    /// Takes the oldest records for a call. Those of streams that have ended are dropped.
    pub fn take(&mut self, now_ms: u64) -> Vec<QueuedOrigin> {
        self.records.retain(|queued| now_ms < queued.expires_ms);
        let count = self.records.len().min(MAX_BATCH_RECORDS);
        self.records.drain(..count).collect()
    }

    /// Returns records whose call has failed. Returns how many were dropped, because
    /// newer ones have taken their place.
    pub fn put_back(&mut self, batch: Vec<QueuedOrigin>) -> usize {
        let room = MAX_QUEUED_RECORDS.saturating_sub(self.records.len());
        let dropped = batch.len().saturating_sub(room);
        for queued in batch.into_iter().skip(dropped).rev() {
            self.records.push_front(queued);
        }
        dropped
    }

    /// Returns whether no record waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Chooses the keys of a writer's ring.
///
/// The place in the ring follows the clock, so that a writer that starts again first
/// overwrites its oldest batches. It also advances with each write, so that a clock that goes
/// back does not overwrite a young batch. After a jump of the clock, a writer that starts
/// again may overwrite young batches, whose streams can then not be proved.
#[derive(Clone, Copy, Debug, Default)]
pub struct OriginRing {
    last: Option<u64>,
}

impl OriginRing {
    /// Returns the number of keys of a ring with at most one write in `interval_ms`, which
    /// covers the life of a stream. The first write may be at the end of its interval, and
    /// the one that overwrites it at the beginning of its own.
    #[must_use]
    pub fn len(interval_ms: u64) -> u64 {
        MAX_STREAM_MS / interval_ms.max(1) + 2
    }

    /// Returns the place in the ring of the next write.
    pub fn next_slot(&mut self, unix_ms: u64, interval_ms: u64) -> u64 {
        let by_clock = unix_ms / interval_ms.max(1);
        let next = self.last.map_or(by_clock, |last| by_clock.max(last + 1));
        self.last = Some(next);
        next % Self::len(interval_ms)
    }
}

/// The stored form of a batch. Encoded by position.
#[derive(Serialize, Deserialize)]
struct StoredBatch {
    format: u8,
    written_ms: u64,
    origins: Vec<StreamOrigin>,
    /// Each stream with the position of its origin in `origins`.
    records: Vec<(OriginKey, u16)>,
}

impl StoredBatch {
    /// Returns whether the batch has no more records and origins than a router writes. A
    /// longer one takes too much time to read.
    fn is_bounded(&self) -> bool {
        self.records.len() <= MAX_BATCH_RECORDS && self.origins.len() <= MAX_BATCH_RECORDS
    }
}

/// Encodes records as a value of the store. `unix_ms` is when they are written.
#[must_use]
pub fn encode_origins(records: &[QueuedOrigin], unix_ms: u64) -> Vec<u8> {
    let mut batch = StoredBatch {
        format: FORMAT,
        written_ms: unix_ms,
        origins: Vec::new(),
        records: Vec::with_capacity(records.len()),
    };
    for queued in records.iter().take(MAX_BATCH_RECORDS) {
        let OriginRecord { key, origin } = &queued.record;
        let known = batch.origins.iter().position(|other| other == origin);
        let index = known.unwrap_or_else(|| {
            batch.origins.push(origin.clone());
            batch.origins.len() - 1
        });
        // A batch has fewer records than the type has values.
        let index = u16::try_from(index).unwrap_or(u16::MAX);
        batch.records.push((*key, index));
    }
    util::encode(&batch)
}

/// The records that a router has read from the store.
#[derive(Clone, Debug, Default)]
pub struct StoredOrigins {
    origins: Vec<StreamOrigin>,
    /// The position of each stream's origin; `None` if two batches disagree.
    records: HashMap<OriginKey, Option<usize>>,
}

impl StoredOrigins {
    /// Decodes the values of all rings. `unix_ms` is when they were read. Invalid values
    /// and those of streams that have ended are passed over; when there are too many
    /// records, the oldest are.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>, unix_ms: u64) -> Self {
        let batches = values.filter_map(util::decode::<StoredBatch>);
        // A batch from the future was written by a clock that is ahead.
        let mut batches: Vec<StoredBatch> = batches
            .filter(|batch| batch.format == FORMAT && batch.is_bounded())
            .filter(|batch| unix_ms < batch.written_ms.saturating_add(READ_BATCH_MS))
            .collect();
        batches.sort_by_key(|batch| std::cmp::Reverse(batch.written_ms));
        let mut found = Self::default();
        for batch in batches {
            found.add(batch);
        }
        found
    }

    fn add(&mut self, batch: StoredBatch) {
        let positions: Vec<usize> = batch
            .origins
            .into_iter()
            .map(|origin| self.intern(origin))
            .collect();
        for (key, index) in batch.records {
            let Some(position) = positions.get(usize::from(index)) else {
                continue;
            };
            if let Some(known) = self.records.get_mut(&key) {
                *known = known.filter(|known| known == position);
            } else if self.records.len() < MAX_FOUND_RECORDS {
                self.records.insert(key, Some(*position));
            }
        }
    }

    fn intern(&mut self, origin: StreamOrigin) -> usize {
        let known = self.origins.iter().position(|other| *other == origin);
        known.unwrap_or_else(|| {
            self.origins.push(origin);
            self.origins.len() - 1
        })
    }

    /// Returns where a stream began. `None` if no record says so, or if two records
    /// disagree because its ID was used twice.
    #[must_use]
    pub fn find(&self, key: OriginKey) -> Option<&StreamOrigin> {
        let position = (*self.records.get(&key)?)?;
        self.origins.get(position)
    }

    /// Returns the number of streams with records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// When servers of each version were last known.
#[derive(Clone, Debug, Default)]
pub struct VersionSightings {
    last_seen: BTreeMap<String, BTreeMap<ServerVersion, u64>>,
}

impl VersionSightings {
    /// Records the versions of a service's servers.
    pub fn observe<'a>(
        &mut self,
        service: &str,
        versions: impl IntoIterator<Item = &'a str>,
        now_ms: u64,
    ) {
        let seen = self.last_seen.entry(service.to_owned()).or_default();
        for version in versions {
            seen.insert(version.to_owned(), now_ms);
        }
        seen.retain(|_, last_ms| now_ms < *last_ms + MAX_STREAM_MS);
    }

    /// Returns the versions of a service that have servers, or had some within the life of
    /// a stream.
    #[must_use]
    pub fn versions(&self, service: &str) -> Vec<ServerVersion> {
        let seen = self.last_seen.get(service).into_iter();
        seen.flat_map(BTreeMap::keys).cloned().collect()
    }

    /// Returns whether more than one of `history` has servers, or had some within the life
    /// of a stream.
    #[must_use]
    pub fn several_serve(&self, service: &str, history: &[ServerVersion], now_ms: u64) -> bool {
        let Some(seen) = self.last_seen.get(service) else {
            return false;
        };
        let serving = history.iter().filter(|version| {
            let last_ms = seen.get(*version);
            last_ms.is_some_and(|last_ms| now_ms < last_ms + MAX_STREAM_MS)
        });
        serving.count() > 1
    }
}
