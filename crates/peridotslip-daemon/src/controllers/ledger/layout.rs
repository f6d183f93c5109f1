//! Makes sure that all routers of a firm cut the ledger alike.
//!
//! Two routers with different numbers of shards would keep a budget in two
//! records and spend it twice. The number is therefore in the store, written
//! by the first router, and nothing is exchanged before it has been compared.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use peridotslip_store::{Error as StoreError, Store};

use super::{Error, Result};

/// The number of shards that the store knows of.
pub(super) struct Layout {
    key: String,
    shards: u16,
    store: Arc<dyn Store>,
    agreed: AtomicBool,
}

impl Layout {
    pub(super) fn new(firm: &str, shards: u16, store: Arc<dyn Store>) -> Self {
        Self {
            key: format!("ledger/{firm}/layout"),
            shards,
            store,
            agreed: AtomicBool::new(false),
        }
    }

    /// Returns once this router's number is known to be the store's.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the store can't be asked, [`Error::Layout`]
    /// if it has another number.
    pub(super) async fn agree(&self) -> Result<()> {
        if self.agreed.load(Ordering::Relaxed) {
            return Ok(());
        }
        let unreachable = |err: StoreError| Error::Unreachable(err.to_string());
        let mine = self.shards.to_string();
        if self
            .store
            .get(&self.key)
            .await
            .map_err(unreachable)?
            .is_none()
        {
            match self
                .store
                .compare_and_swap(&self.key, 0, mine.as_bytes())
                .await
            {
                // Somebody's number is there now, this router's or another's.
                Ok(_) | Err(StoreError::Conflict(_) | StoreError::Indeterminate(_)) => {}
                Err(err) => return Err(unreachable(err)),
            }
        }
        let found = self.store.get(&self.key).await.map_err(unreachable)?;
        let theirs = found.map(|found| String::from_utf8_lossy(&found.value).into_owned());
        match theirs {
            Some(theirs) if theirs == mine => {
                self.agreed.store(true, Ordering::Relaxed);
                Ok(())
            }
            Some(theirs) => Err(Error::Layout(self.shards, theirs)),
            None => Err(Error::Unreachable(
                "the layout is not written yet".to_owned(),
            )),
        }
    }
}
