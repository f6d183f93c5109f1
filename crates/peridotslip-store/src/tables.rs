//! The operators' tables, kept in the platform's store.

use std::collections::HashMap;

use peridotslip::{
    config::{self, Manifest},
    ids::Revision,
    tables::{self, Tables, Violation},
};
use quick_error::quick_error;

use crate::store::{Error, Store, VersionedValue};

/// The store key of the active manifest.
pub const MANIFEST_KEY: &str = "config/head";
/// The number of attempts to create a key while replies are lost, and to look up
/// a published manifest before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 3;

quick_error! {
    /// An error of reading or publishing tables.
    #[derive(Debug)]
    pub enum TableError {
        /// The store failed; the active tables are unchanged.
        Store(err: Error) {
            from()
            display("{err}; nothing was changed")
        }
        /// A stored manifest or page is missing or can't be decoded.
        Config(err: config::Error) {
            from()
            display("{err}")
        }
        /// The tables break a rule or conflict with another operator's change.
        Rejected(err: tables::Error) {
            from()
            display("the tables were rejected: {err}")
        }
        /// The revision is neither active nor in the history.
        NoSuchRevision(revision: Revision) {
            display("revision {revision} is not in the history; see `peridotslip history`")
        }
        /// The reply to the write of the revision's manifest was lost, and the
        /// outcome could not be looked up.
        Indeterminate(revision: Revision) {
            display("it is unknown whether revision {revision} is active; apply the same files again (applying them twice changes nothing)")
        }
    }
}

/// The result of an operation on stored tables.
pub type Result<T> = std::result::Result<T, TableError>;

/// Reads and publishes the operators' tables in a store.
pub struct TableStore<S> {
    store: S,
}

fn page_key(id: &str) -> String {
    format!("config/page/{id}")
}

fn history_key(revision: Revision) -> String {
    format!("config/history/{revision}")
}

impl<S: Store> TableStore<S> {
    /// Returns access to the tables in `store`.
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Returns the active manifest and its version in the store; the empty
    /// manifest at revision 0 and version 0 if none has been published.
    ///
    /// # Errors
    ///
    /// [`TableError::Store`] or [`TableError::Config`].
    pub async fn manifest(&self) -> Result<(Manifest, u64)> {
        match self.store.get(MANIFEST_KEY).await? {
            Some(found) => Ok((Manifest::decode(&found.value)?, found.version)),
            None => Ok((Manifest::default(), 0)),
        }
    }

    /// Returns the manifest of a revision, active or in the history.
    ///
    /// # Errors
    ///
    /// [`TableError::NoSuchRevision`], or an error of
    /// [`manifest`](Self::manifest).
    pub async fn manifest_at(&self, revision: Revision) -> Result<Manifest> {
        let (manifest, _) = self.manifest().await?;
        if manifest.revision == revision {
            return Ok(manifest);
        }
        match self.store.get(&history_key(revision)).await? {
            Some(found) => Ok(Manifest::decode(&found.value)?),
            None => Err(TableError::NoSuchRevision(revision)),
        }
    }

    /// Returns the bytes of a page.
    ///
    /// # Errors
    ///
    /// [`TableError::Config`] if the page is not in the store, or
    /// [`TableError::Store`].
    pub async fn page(&self, id: &str) -> Result<Vec<u8>> {
        match self.store.get(&page_key(id)).await? {
            Some(found) => Ok(found.value),
            None => Err(config::Error::MissingPage(id.to_owned()).into()),
        }
    }

    /// Loads the pages that a manifest lists and returns the tables.
    ///
    /// # Errors
    ///
    /// [`TableError::Store`] or [`TableError::Config`].
    pub async fn load_tables(&self, manifest: &Manifest) -> Result<Tables> {
        let mut pages = HashMap::new();
        for id in manifest.page_ids() {
            if !pages.contains_key(id) {
                pages.insert(id.clone(), self.page(id).await?);
            }
        }
        Ok(manifest.assemble(&pages)?)
    }

    /// Makes `edited` the active tables and returns their revision.
    ///
    /// The revision in `edited` is the base of the edit. Changes that other
    /// operators have published since that revision are merged with the edit.
    /// Publishing the same tables twice changes nothing the second time.
    ///
    /// # Errors
    ///
    /// [`TableError::Rejected`] if the tables break a rule or conflict with another
    /// operator's change, [`TableError::Indeterminate`] if it can't be determined
    /// whether the new manifest was written; after any other error the active
    /// tables are unchanged.
    pub async fn publish(&self, edited: &Tables, author: &str, note: &str) -> Result<Revision> {
        let base = match edited.revision.value() {
            0 => Tables::default(),
            _ => {
                self.load_tables(&self.manifest_at(edited.revision).await?)
                    .await?
            }
        };
        loop {
            let (manifest, version) = self.manifest().await?;
            let current = self.load_tables(&manifest).await?;
            let mut merged = edited.rebase(&base, &current)?;
            validate(&merged, &current)?;
            merged.revision = Revision::from(manifest.revision.value() + 1);
            let (mut new, pages) = Manifest::build(&merged);
            if version > 0 && new.same_rows(&manifest) {
                return Ok(manifest.revision);
            }
            author.clone_into(&mut new.author);
            note.clone_into(&mut new.note);
            new.at_ms = now_ms();
            for page in pages {
                self.create_if_absent(&page_key(&page.id), &page.bytes)
                    .await?;
            }
            if version > 0 {
                self.create_if_absent(&history_key(manifest.revision), &manifest.encode())
                    .await?;
            }
            match self
                .store
                .compare_and_swap(MANIFEST_KEY, version, &new.encode())
                .await
            {
                Ok(_) => return Ok(new.revision),
                Err(Error::Conflict(_)) => {}
                Err(Error::Indeterminate(_)) => {
                    if self.was_activated(&new).await? {
                        return Ok(new.revision);
                    }
                }
                Err(err) => return Err(err.into()),
            }
        }
    }

    /// Creates a key unless it exists.
    ///
    /// The name of a page or of an archived manifest determines its content, so a
    /// key that exists has the same content already, and the write is safe to repeat.
    async fn create_if_absent(&self, key: &str, value: &[u8]) -> Result<()> {
        for _ in 0..MAX_ATTEMPTS {
            match self.store.compare_and_swap(key, 0, value).await {
                Ok(_) | Err(Error::Conflict(_)) => return Ok(()),
                Err(Error::Indeterminate(_)) => {}
                Err(err) => return Err(err.into()),
            }
        }
        let reason = format!("no reply to {MAX_ATTEMPTS} writes");
        Err(Error::Unavailable(reason).into())
    }

    /// Returns whether a manifest whose write had no reply is or was active.
    ///
    /// A manifest is archived before it is replaced, so a manifest that was active
    /// is either the current manifest or in the history.
    async fn was_activated(&self, new: &Manifest) -> Result<bool> {
        for _ in 0..MAX_ATTEMPTS {
            match self.find_manifest(new.revision).await {
                Ok(found) => return Ok(found.as_ref() == Some(new)),
                Err(TableError::Store(_)) => {}
                Err(err) => return Err(err),
            }
        }
        Err(TableError::Indeterminate(new.revision))
    }

    /// Returns the manifest of a revision, or `None` if the revision doesn't exist.
    async fn find_manifest(&self, revision: Revision) -> Result<Option<Manifest>> {
        match self.manifest_at(revision).await {
            Ok(manifest) => Ok(Some(manifest)),
            Err(TableError::NoSuchRevision(_)) => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Waits until the store version of the active manifest is greater than
    /// `after` and returns the manifest and its version; `None` if `wait` expires
    /// first.
    ///
    /// # Errors
    ///
    /// [`TableError::Store`] or [`TableError::Config`].
    pub async fn watch(
        &self,
        after: u64,
        wait: std::time::Duration,
    ) -> Result<Option<(Manifest, u64)>> {
        let found: Option<VersionedValue> = self.store.watch(MANIFEST_KEY, after, wait).await?;
        found
            .map(|found| Ok((Manifest::decode(&found.value)?, found.version)))
            .transpose()
    }
}

/// Returns an error if the tables break a rule, or if replacing `current` by them
/// does.
fn validate(merged: &Tables, current: &Tables) -> Result<()> {
    let mut violations: Vec<Violation> = merged.violations();
    violations.extend(merged.transition_violations(current));
    if violations.is_empty() {
        return Ok(());
    }
    Err(tables::Error::Invalid(violations).into())
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
