//! The operators' tables in a store.

use std::collections::HashMap;

use peridotslip::{
    config::{self, Manifest},
    ids::Revision,
    tables::{self, Tables, Violation},
};
use quick_error::quick_error;

use crate::store::{Error, Store, VersionedValue};

/// The key of the manifest in force.
pub const MANIFEST_KEY: &str = "config/head";
/// How often a write whose reply was lost is looked up before its outcome is
/// given as unknown.
const LOOKUP_TRIES: u32 = 3;

quick_error! {
    /// Why tables could not be read or published.
    #[derive(Debug)]
    pub enum TableError {
        /// The store failed before anything was in force.
        Store(err: Error) {
            from()
            display("{err}; nothing was changed")
        }
        /// What the store holds can't be read.
        Config(err: config::Error) {
            from()
            display("{err}")
        }
        /// The tables are refused.
        Rejected(err: tables::Error) {
            from()
            display("refused: {err}")
        }
        /// The base revision is not in the history.
        NoSuchRevision(revision: Revision) {
            display("revision {revision} is not in the history; see `peridotslip history`")
        }
        /// The swap's outcome could not be found out.
        Indeterminate(revision: Revision) {
            display("it is unknown whether revision {revision} is in force; apply the same files again, which is harmless")
        }
    }
}

/// The result of an operation on stored tables.
pub type Result<T> = std::result::Result<T, TableError>;

/// The tables kept in a store.
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
    /// Tables in `store`.
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// The manifest in force and its version in the store; the empty manifest at
    /// revision 0 and version 0 if there is none.
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

    /// The manifest of a revision, in force or in the history.
    ///
    /// # Errors
    ///
    /// [`TableError::NoSuchRevision`], or as [`manifest`](Self::manifest).
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

    /// One page's bytes.
    ///
    /// # Errors
    ///
    /// [`TableError::Config`] if the store doesn't have it.
    pub async fn page(&self, id: &str) -> Result<Vec<u8>> {
        match self.store.get(&page_key(id)).await? {
            Some(found) => Ok(found.value),
            None => Err(config::Error::MissingPage(id.to_owned()).into()),
        }
    }

    /// The tables that a manifest stands for.
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

    /// Puts `mine`, an edit of the revision it names, in force.
    ///
    /// The edit is repeated on top of what others applied in the meantime.
    /// Applying the same tables twice changes nothing the second time.
    ///
    /// # Errors
    ///
    /// [`TableError::Rejected`] if the tables break a rule or meet another
    /// operator's change, [`TableError::Indeterminate`] if the outcome of the swap
    /// can't be found out; after any other error nothing has changed.
    pub async fn publish(&self, mine: &Tables, author: &str, note: &str) -> Result<Revision> {
        let base = match mine.revision.value() {
            0 => Tables::default(),
            _ => {
                self.load_tables(&self.manifest_at(mine.revision).await?)
                    .await?
            }
        };
        loop {
            let (manifest, version) = self.manifest().await?;
            let current = self.load_tables(&manifest).await?;
            let mut merged = mine.rebase(&base, &current)?;
            check(&merged, &current)?;
            merged.revision = Revision::from(manifest.revision.value() + 1);
            let (mut new, pages) = Manifest::build(&merged);
            if version > 0 && new.same_rows(&manifest) {
                return Ok(manifest.revision);
            }
            author.clone_into(&mut new.author);
            note.clone_into(&mut new.note);
            new.at_ms = now_ms();
            for page in pages {
                self.create(&page_key(&page.id), &page.bytes).await?;
            }
            if version > 0 {
                self.create(&history_key(manifest.revision), &manifest.encode())
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
                    if self.took_effect(&new).await? {
                        return Ok(new.revision);
                    }
                }
                Err(err) => return Err(err.into()),
            }
        }
    }

    /// Writes a key whose content is fixed by its name.
    async fn create(&self, key: &str, value: &[u8]) -> Result<()> {
        for _ in 0..LOOKUP_TRIES {
            match self.store.compare_and_swap(key, 0, value).await {
                Ok(_) | Err(Error::Conflict(_)) => return Ok(()),
                Err(Error::Indeterminate(_)) => {}
                Err(err) => return Err(err.into()),
            }
        }
        let reason = format!("no reply to {LOOKUP_TRIES} writes");
        Err(Error::Unavailable(reason).into())
    }

    /// Finds out whether a manifest whose reply was lost is or was in force.
    ///
    /// Whoever replaces a manifest archives it first, so a manifest that was in force
    /// is either the current one or in the history.
    async fn took_effect(&self, new: &Manifest) -> Result<bool> {
        for _ in 0..LOOKUP_TRIES {
            match self.find(new.revision).await {
                Ok(found) => return Ok(found.as_ref() == Some(new)),
                Err(TableError::Store(_)) => {}
                Err(err) => return Err(err),
            }
        }
        Err(TableError::Indeterminate(new.revision))
    }

    async fn find(&self, revision: Revision) -> Result<Option<Manifest>> {
        match self.manifest_at(revision).await {
            Ok(manifest) => Ok(Some(manifest)),
            Err(TableError::NoSuchRevision(_)) => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Waits until the manifest passes store version `after`.
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

fn check(merged: &Tables, current: &Tables) -> Result<()> {
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
