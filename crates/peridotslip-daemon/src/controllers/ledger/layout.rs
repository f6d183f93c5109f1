//! Verifies that all routers of a firm use the same number of ledger shards.
//!
//! Two routers with different numbers of shards would account for one budget
//! in two records and spend it twice. The first router therefore writes the
//! number to the store, and no router exchanges reports before it has compared
//! its own number with the stored one.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use peridotslip_store::{Error as StoreError, Store};

use super::{Error, Result};

/// Checks this router's number of shards against the number in the store.
pub(super) struct ShardLayout {
    key: String,
    shards: u16,
    store: Arc<dyn Store>,
    verified: AtomicBool,
}

impl ShardLayout {
    pub(super) fn new(firm: &str, shards: u16, store: Arc<dyn Store>) -> Self {
        Self {
            key: format!("ledger/{firm}/layout"),
            shards,
            store,
            verified: AtomicBool::new(false),
        }
    }

    /// Compares this router's number of shards with the stored one, which is
    /// written if it is missing. A successful result is cached.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] if the store can't be read or written,
    /// and [`Error::ShardCountMismatch`] if the stored number differs.
    pub(super) async fn verify(&self) -> Result<()> {
        if self.verified.load(Ordering::Relaxed) {
            return Ok(());
        }
        let unreachable = |err: StoreError| Error::Unreachable(err.to_string());
        let local = self.shards.to_string();
        if self
            .store
            .get(&self.key)
            .await
            .map_err(unreachable)?
            .is_none()
        {
            match self
                .store
                .compare_and_swap(&self.key, 0, local.as_bytes())
                .await
            {
                // This router or another has written the key; the read below
                // shows the number, or that the write did not succeed.
                Ok(_) | Err(StoreError::Conflict(_) | StoreError::Indeterminate(_)) => {}
                Err(err) => return Err(unreachable(err)),
            }
        }
        let found = self.store.get(&self.key).await.map_err(unreachable)?;
        let stored = found.map(|found| String::from_utf8_lossy(&found.value).into_owned());
        match stored {
            Some(stored) if stored == local => {
                self.verified.store(true, Ordering::Relaxed);
                Ok(())
            }
            Some(stored) => Err(Error::ShardCountMismatch(self.shards, stored)),
            None => Err(Error::Unreachable(
                "the number of ledger shards is not in the store yet".to_owned(),
            )),
        }
    }
}
