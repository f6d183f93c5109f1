//! The operators' tables in a store.

use std::collections::HashMap;

use peridotslip::{
    config::{self, Head},
    ids::Revision,
    tables::{self, Problem, Tables},
};
use quick_error::quick_error;

use crate::store::{Error, Store, VersionedValue};

/// The key of the head in force.
pub const HEAD_KEY: &str = "config/head";
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

    /// The head in force and its version in the store; the empty head at
    /// revision 0 and version 0 if there is none.
    ///
    /// # Errors
    ///
    /// [`TableError::Store`] or [`TableError::Config`].
    pub async fn head(&self) -> Result<(Head, u64)> {
        match self.store.get(HEAD_KEY).await? {
            Some(found) => Ok((Head::decode(&found.value)?, found.version)),
            None => Ok((Head::default(), 0)),
        }
    }

    /// The head of a revision, in force or in the history.
    ///
    /// # Errors
    ///
    /// [`TableError::NoSuchRevision`], or as [`head`](Self::head).
    pub async fn head_at(&self, revision: Revision) -> Result<Head> {
        let (head, _) = self.head().await?;
        if head.revision == revision {
            return Ok(head);
        }
        match self.store.get(&history_key(revision)).await? {
            Some(found) => Ok(Head::decode(&found.value)?),
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

    /// The tables that a head stands for.
    ///
    /// # Errors
    ///
    /// [`TableError::Store`] or [`TableError::Config`].
    pub async fn load_tables(&self, head: &Head) -> Result<Tables> {
        let mut pages = HashMap::new();
        for id in head.page_ids() {
            if !pages.contains_key(id) {
                pages.insert(id.clone(), self.page(id).await?);
            }
        }
        Ok(head.assemble(&pages)?)
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
                self.load_tables(&self.head_at(mine.revision).await?)
                    .await?
            }
        };
        loop {
            let (head, version) = self.head().await?;
            let current = self.load_tables(&head).await?;
            let mut merged = mine.rebase(&base, &current)?;
            check(&merged, &current)?;
            merged.revision = Revision::from(head.revision.value() + 1);
            let (mut new, pages) = Head::of(&merged);
            if version > 0 && new.same_rows(&head) {
                return Ok(head.revision);
            }
            author.clone_into(&mut new.author);
            note.clone_into(&mut new.note);
            new.at_ms = now_ms();
            for page in pages {
                self.create(&page_key(&page.id), &page.bytes).await?;
            }
            if version > 0 {
                self.create(&history_key(head.revision), &head.encode())
                    .await?;
            }
            match self
                .store
                .compare_and_swap(HEAD_KEY, version, &new.encode())
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

    /// Finds out whether a head whose reply was lost is or was in force.
    ///
    /// Whoever replaces a head archives it first, so a head that was in force
    /// is either the current one or in the history.
    async fn took_effect(&self, new: &Head) -> Result<bool> {
        for _ in 0..LOOKUP_TRIES {
            match self.find(new.revision).await {
                Ok(found) => return Ok(found.as_ref() == Some(new)),
                Err(TableError::Store(_)) => {}
                Err(err) => return Err(err),
            }
        }
        Err(TableError::Indeterminate(new.revision))
    }

    async fn find(&self, revision: Revision) -> Result<Option<Head>> {
        match self.head_at(revision).await {
            Ok(head) => Ok(Some(head)),
            Err(TableError::NoSuchRevision(_)) => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Waits until the head passes store version `after`.
    ///
    /// # Errors
    ///
    /// [`TableError::Store`] or [`TableError::Config`].
    pub async fn watch(
        &self,
        after: u64,
        wait: std::time::Duration,
    ) -> Result<Option<(Head, u64)>> {
        let found: Option<VersionedValue> = self.store.watch(HEAD_KEY, after, wait).await?;
        found
            .map(|found| Ok((Head::decode(&found.value)?, found.version)))
            .transpose()
    }
}

fn check(merged: &Tables, current: &Tables) -> Result<()> {
    let mut problems: Vec<Problem> = merged.problems();
    problems.extend(merged.problems_after(current));
    if problems.is_empty() {
        return Ok(());
    }
    Err(tables::Error::Invalid(problems).into())
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
