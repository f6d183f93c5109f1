//! The software versions at which streams began.
//!
//! Servers of several software versions may serve one service side by side. A
//! stream may resume only at a server of the version that began it, often at a
//! router that has never seen the stream, because the one that began it has
//! died.
//!
//! The metadata store holds the [`VersionHistory`] of each service: the first two
//! versions in the order in which they were added. A router uses a version for streams
//! only after it has read the version there, or that there have been several. While it
//! knows a single version, it records nothing. Once it knows more, it records each stream
//! at a majority of the stream's witnesses, which are routers chosen by the stream's ID,
//! before the caller gets the first event.
//!
//! A stream of a later version is forwarded only once a majority of its witnesses
//! has the record. Histories never lose their first two versions, so whatever has never
//! been recorded began at the first one. A router that lacks a stream's record therefore needs one
//! witness that has it, or a majority that surely never had it. Without either, the
//! origin is unknown. Routers may be partitioned from the store and see different
//! histories; they may die, and witnesses lose their records when they do.
//!
//! A restore of the store from an older copy removes versions from a history, and
//! the next ones may be added in another order. A history that is first read after a
//! restore therefore proves nothing about streams that began before it was read: see
//! [`HistorySource`].
//!
//! The services of routes have histories of the same kind, because a stream must not
//! go on at another service either.

use std::{
    borrow::Cow,
    collections::{BTreeMap, HashMap},
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The name of a version of servers' software.
pub type ServerVersion = String;

/// Number of versions that a history keeps.
const MAX_HISTORY_VERSIONS: usize = 2;
/// Longest version that a history names in full, in bytes.
const MAX_HISTORY_NAME_BYTES: usize = 1_024;
/// The number of witnesses of a stream.
pub const ORIGIN_WITNESSES: usize = 3;
/// Longest life of a stream over all attempts of its caller, in milliseconds.
pub const MAX_STREAM_MS: u64 = 60_000;
/// How long after its first read of a history that followed a restore a router trusts the
/// history's first version, in milliseconds. Routers that ran before the
/// restore notice it within one such life, and streams that they have begun until
/// then end within another.
const FIRST_VERSION_DELAY_MS: u64 = 2 * MAX_STREAM_MS;
/// Interval at which expired records are removed, in milliseconds.
const PURGE_INTERVAL_MS: u64 = 1_000;
/// Largest number of records of one router, as a bound on its memory.
const MAX_RECORDS: usize = 50_000;

/// The first two versions that have served a service, in the order in which they were
/// added.
///
/// The first one began the streams that were never recorded. The second shows that there
/// have been several; streams of all later ones are recorded, so a history proves nothing
/// by naming them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct VersionHistory {
    versions: Vec<ServerVersion>,
}

/// A history as the store holds it. Earlier releases add all versions, in full length.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StoredHistory {
    versions: Vec<ServerVersion>,
}

/// Returns how a history names a version: by itself, or by a digest if it is long.
pub(super) fn history_name(version: &str) -> Cow<'_, str> {
    if version.len() <= MAX_HISTORY_NAME_BYTES {
        return Cow::Borrowed(version);
    }
    Cow::Owned(format!("sha256:{}", hex::encode(Sha256::digest(version))))
}

impl StoredHistory {
    /// Returns what replaces a value that can't be decoded: several versions, of which no
    /// server has any.
    #[must_use]
    pub fn unreadable(value: &[u8]) -> Self {
        let digest = hex::encode(Sha256::digest(value));
        Self {
            versions: vec![format!("unreadable:{digest}"), "unreadable".to_owned()],
        }
    }

    /// Returns whether the history has versions that prove nothing, so that the value in
    /// the store should be replaced by a shorter one.
    #[must_use]
    pub fn has_surplus(&self) -> bool {
        self.versions.len() > MAX_HISTORY_VERSIONS
    }

    /// Returns the number of versions in the store.
    #[must_use]
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Returns whether the store has no versions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Returns the part of the history that proves something.
    #[must_use]
    pub fn history(&self) -> VersionHistory {
        let mut history = VersionHistory::default();
        for version in &self.versions {
            history.add(version);
        }
        history
    }
}

impl VersionHistory {
    /// Adds a version. Returns `false` if the history contains it, or has several
    /// versions already.
    pub fn add(&mut self, version: &str) -> bool {
        let new = self.versions.len() < MAX_HISTORY_VERSIONS && !self.contains(version);
        if new {
            self.versions.push(history_name(version).into_owned());
        }
        new
    }

    /// Returns whether the history contains a version.
    #[must_use]
    pub fn contains(&self, version: &str) -> bool {
        let name = history_name(version);
        self.versions.iter().any(|known| *known == name)
    }

    /// Returns whether streams of a version may begin: the history contains the version,
    /// or has several, in which case all streams are recorded.
    #[must_use]
    pub fn permits(&self, version: &str) -> bool {
        self.has_several() || self.contains(version)
    }

    /// Returns whether there have been several versions.
    #[must_use]
    pub fn has_several(&self) -> bool {
        self.versions.len() > 1
    }

    /// Returns the first version.
    #[must_use]
    pub fn first(&self) -> Option<&ServerVersion> {
        self.versions.first()
    }

    /// Returns the only version, or `None` if there are several or none.
    #[must_use]
    pub fn only(&self) -> Option<&ServerVersion> {
        self.versions.first().filter(|_| self.versions.len() == 1)
    }

    /// Returns the versions that the history contains.
    #[must_use]
    pub fn versions(&self) -> &[ServerVersion] {
        &self.versions
    }
}

/// What the store's state at the time of a read says about a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistorySource {
    /// The store has never been restored from an older copy, so the history has all
    /// versions that were ever added.
    Complete,
    /// The store has been restored. The history may lack versions, and may have the
    /// others in another order than before.
    Restored,
}

/// The service and the version whose server began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamOrigin {
    /// The service.
    pub service: String,
    /// The version of the server's software.
    pub version: ServerVersion,
}

/// A witness's answer about one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OriginReply {
    /// The stream's origin, if the witness has a record of it.
    pub origin: Option<StreamOrigin>,
    /// Whether the witness would have a record if there had ever been one.
    pub complete: bool,
}

/// A history and whether this router has all records of the service's streams.
#[derive(Clone, Debug)]
struct KnownHistory {
    history: VersionHistory,
    /// Whether the store held at most one version when this router first read
    /// the history, and had lost none: then no stream had been recorded before.
    from_first_record: bool,
    /// How this router first read a version of the history.
    source: HistorySource,
    /// When it did, in milliseconds.
    read_ms: u64,
    /// Whether the store has had another first version than this router knows. Then
    /// streams of both may never have been recorded.
    first_disputed: bool,
    /// When this router learnt of the second version, in milliseconds.
    several_since_ms: Option<u64>,
}

/// What one router knows of versions and of streams' origins.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    started_ms: u64,
    histories: BTreeMap<String, KnownHistory>,
    /// Origins by stream ID, each with the time at which it expires, in
    /// milliseconds.
    records: HashMap<String, (StreamOrigin, u64)>,
    next_purge_ms: u64,
}

impl StreamOrigins {
    /// Creates the state of a router that starts at `now_ms`.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            histories: BTreeMap::new(),
            records: HashMap::new(),
            next_purge_ms: now_ms,
        }
    }

    /// Applies a service's history. `stored` is what the store held before this
    /// router added versions, and `history` what the store holds now. What this
    /// router knows stays known, in the same order.
    pub fn set_history(
        &mut self,
        service: &str,
        stored: &VersionHistory,
        history: &VersionHistory,
        source: HistorySource,
        now_ms: u64,
    ) {
        let known = self
            .histories
            .entry(service.to_owned())
            .or_insert_with(|| KnownHistory {
                history: VersionHistory::default(),
                from_first_record: source == HistorySource::Complete && stored.versions.len() <= 1,
                source,
                read_ms: now_ms,
                first_disputed: false,
                several_since_ms: None,
            });
        if known.history.versions.is_empty() {
            known.source = source;
            known.read_ms = now_ms;
        }
        for version in &history.versions {
            known.history.add(version);
        }
        known.first_disputed |= history.first() != known.history.first();
        if known.history.has_several() {
            known.several_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the services with known histories.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.histories.keys().map(String::as_str)
    }

    /// Returns the known versions of a service: the first two at most.
    #[must_use]
    pub fn versions(&self, service: &str) -> &[ServerVersion] {
        let known = self.histories.get(service);
        known.map_or(&[], |known| known.history.versions())
    }

    /// Returns whether servers of a version may begin streams of a service.
    #[must_use]
    pub fn permits(&self, service: &str, version: &str) -> bool {
        let known = self.histories.get(service);
        known.is_some_and(|known| known.history.permits(version))
    }

    /// Returns the version at which streams of a service began that were never
    /// recorded; `None` if that is unknown.
    #[must_use]
    pub fn first_version(&self, service: &str, now_ms: u64) -> Option<&ServerVersion> {
        let known = self.histories.get(service)?;
        let trusted = match known.source {
            HistorySource::Complete => true,
            HistorySource::Restored => now_ms >= known.read_ms + FIRST_VERSION_DELAY_MS,
        };
        let first = known.history.first()?;
        (trusted && !known.first_disputed).then_some(first)
    }

    /// Returns whether streams of a version may begin without a record.
    #[must_use]
    pub fn may_begin_unrecorded(&self, service: &str, version: &str, now_ms: u64) -> bool {
        let first = self.first_version(service, now_ms);
        first.is_some_and(|first| first == version)
    }

    /// Returns whether a service is known to have had several versions.
    #[must_use]
    pub fn has_several_versions(&self, service: &str) -> bool {
        let known = self.histories.get(service);
        known.is_some_and(|known| known.history.has_several())
    }

    /// Returns whether streams of a service must be recorded at witnesses: it has had
    /// several versions, or routers may know different first ones.
    #[must_use]
    pub fn must_record(&self, service: &str, now_ms: u64) -> bool {
        self.has_several_versions(service) || self.first_version(service, now_ms).is_none()
    }

    /// Records a stream's origin until `expires_ms`. Returns `false` if there are
    /// too many records.
    pub fn record(&mut self, id: &str, origin: StreamOrigin, expires_ms: u64, now_ms: u64) -> bool {
        if now_ms >= self.next_purge_ms {
            self.records.retain(|_, (_, expires)| now_ms < *expires);
            self.next_purge_ms = now_ms + PURGE_INTERVAL_MS;
        }
        if self.records.len() >= MAX_RECORDS {
            return false;
        }
        self.records.insert(id.to_owned(), (origin, expires_ms));
        true
    }

    /// Looks up a stream that began at one of `services`.
    #[must_use]
    pub fn find(&self, id: &str, services: &[String], now_ms: u64) -> OriginReply {
        let all_lifetimes_over = now_ms >= self.started_ms + MAX_STREAM_MS;
        let complete = services.iter().all(|service| {
            let Some(known) = self.histories.get(service) else {
                return false;
            };
            // Later, records may have expired that a caller still refers to.
            let unexpired = known
                .several_since_ms
                .is_none_or(|since_ms| now_ms < since_ms + MAX_STREAM_MS);
            unexpired && (known.from_first_record || all_lifetimes_over)
        });
        let complete = complete && !services.is_empty();
        OriginReply {
            origin: self.records.get(id).map(|(origin, _)| origin.clone()),
            complete,
        }
    }
}

/// What the witnesses' answers prove.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginVerdict {
    /// The stream began there.
    Recorded(StreamOrigin),
    /// The stream was never recorded, so it began at its service's first version.
    NeverRecorded,
}

/// Collects the witnesses' answers about one stream.
#[derive(Clone, Debug)]
pub struct OriginQuery {
    majority: usize,
    negative: usize,
}

/// Returns how many of a stream's witnesses must record it.
#[must_use]
pub fn origin_majority(witnesses: usize) -> usize {
    witnesses / 2 + 1
}

impl OriginQuery {
    /// Creates a query of a stream with this number of witnesses.
    #[must_use]
    pub fn new(witnesses: usize) -> Self {
        Self {
            majority: origin_majority(witnesses),
            negative: 0,
        }
    }

    /// Adds one witness's answer. Returns the verdict once there is one.
    pub fn add(&mut self, reply: OriginReply) -> Option<OriginVerdict> {
        if let Some(origin) = reply.origin {
            return Some(OriginVerdict::Recorded(origin));
        }
        self.negative += usize::from(reply.complete);
        (self.negative >= self.majority).then_some(OriginVerdict::NeverRecorded)
    }
}
