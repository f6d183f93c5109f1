//! The changes that a relay passes on.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

/// Most keys in a log.
const MAX_KEYS: usize = 4_096;
/// Most bytes of the values in a log.
const MAX_VALUE_BYTES: usize = 8 * 1024 * 1024;

/// How far a router has read the store's changes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the store had been restored from an older copy.
    pub epoch: u64,
    /// The store's revision, which means nothing in another epoch.
    pub revision: u64,
}

/// The last change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The key was written.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The revision of the write.
        revision: u64,
    },
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
    },
}

/// The changes after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChangeUpdate {
    /// The last change of each changed key, in the order of their revisions.
    pub changes: Vec<Change>,
    /// The position after them.
    pub position: Position,
}

/// The last change of each key under a prefix of the store since some position.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// The log covers the changes after this position.
    base: Position,
    position: Position,
    entries: HashMap<String, Entry>,
    /// The keys by the revision of their last change.
    by_revision: BTreeSet<(u64, String)>,
    value_bytes: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    /// `None` if the key was removed.
    value: Option<Vec<u8>>,
}

impl ChangeLog {
    /// Forgets all changes and starts at `position`.
    pub fn restart(&mut self, position: Position) {
        *self = Self {
            base: position,
            position,
            ..Self::default()
        };
    }

    /// Returns how far the log goes.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the position of the last change, or where the log starts if it has none.
    #[must_use]
    pub fn last_change(&self) -> Position {
        let last = self.by_revision.last().map(|(revision, _)| *revision);
        Position {
            revision: last.unwrap_or(0).max(self.base.revision),
            ..self.base
        }
    }

    /// Returns the last value of a key; `None` if the log has none.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.entries.get(key)?.value.as_deref()
    }

    /// Adds the write of a key at `revision`.
    pub fn put(&mut self, key: &str, value: &[u8], revision: u64) {
        self.insert(key, Some(value.to_vec()), revision);
    }

    /// Adds the removal of a key by the changes up to `revision`.
    pub fn remove(&mut self, key: &str, revision: u64) {
        self.insert(key, None, revision);
    }

    /// Records that all changes up to `position`, in the log's epoch, have been
    /// added.
    pub fn advance(&mut self, position: Position) {
        self.position = self.position.max(position);
    }

    fn insert(&mut self, key: &str, value: Option<Vec<u8>>, revision: u64) {
        self.forget(key);
        self.value_bytes += value.as_ref().map_or(0, Vec::len);
        self.by_revision.insert((revision, key.to_owned()));
        self.entries
            .insert(key.to_owned(), Entry { revision, value });
        while self.entries.len() > MAX_KEYS || self.value_bytes > MAX_VALUE_BYTES {
            let Some((oldest, key)) = self.by_revision.first().cloned() else {
                return;
            };
            self.forget(&key);
            self.base.revision = self.base.revision.max(oldest);
        }
    }

    fn forget(&mut self, key: &str) {
        if let Some(entry) = self.entries.remove(key) {
            self.value_bytes -= entry.value.as_ref().map_or(0, Vec::len);
            self.by_revision.remove(&(entry.revision, key.to_owned()));
        }
    }

    /// Returns whether a router at `position`, in the log's epoch, has read further
    /// than this log goes.
    #[must_use]
    pub fn is_behind(&self, position: Position) -> bool {
        self.position < position
    }

    /// Returns the changes after `position`, or `None` if the log does not cover
    /// them. The position never goes back.
    #[must_use]
    pub fn since(&self, position: Position) -> Option<ChangeUpdate> {
        if position.epoch != self.position.epoch || position < self.base {
            return None;
        }
        let newer = self
            .by_revision
            .range((position.revision + 1, String::new())..);
        let changes = newer.filter_map(|(_, key)| self.change(key));
        Some(ChangeUpdate {
            changes: changes.collect(),
            position: self.position.max(position),
        })
    }

    fn change(&self, key: &str) -> Option<Change> {
        let entry = self.entries.get(key)?;
        let key = key.to_owned();
        Some(match &entry.value {
            Some(value) => Change::Put {
                key,
                value: value.clone(),
                revision: entry.revision,
            },
            None => Change::Removed { key },
        })
    }
}
