//! The platform's key-value service.

use std::time::Duration;

use async_trait::async_trait;
use quick_error::quick_error;

quick_error! {
    /// Why a call to the store did not do what was asked.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The key has another version; nothing was written.
        Conflict(version: u64) {
            display("the key is at version {version}; read it again and repeat the change")
        }
        /// The store did not take the call; nothing was written.
        Unavailable(reason: String) {
            display("the store is unavailable ({reason}); retry later")
        }
        /// A write may or may not have taken effect.
        Indeterminate(reason: String) {
            display("the store's reply was lost ({reason}); read the key to see whether the write took effect")
        }
        /// The value is over the store's limit; nothing was written.
        TooLarge(bytes: usize) {
            display("a value of {bytes} bytes is over the store's limit of 1 MB; split it")
        }
    }
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// A value and the version that a swap must name to replace it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// From 1; each write adds at least 1.
    pub version: u64,
    /// The bytes.
    pub value: Vec<u8>,
}

/// A key-value service with compare-and-swap and watches.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`].
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>>;

    /// Replaces a key that is at `version`, 0 standing for a key that does
    /// not exist, and returns the new version.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; only after [`Error::Indeterminate`] may the write have
    /// taken effect.
    async fn compare_and_swap(&self, key: &str, version: u64, value: &[u8]) -> Result<u64>;

    /// Waits until a key passes version `after`; `None` if `wait` runs out.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`].
    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<VersionedValue>>;
}

#[async_trait]
impl<S: Store + ?Sized> Store for &S {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>> {
        (**self).get(key).await
    }

    async fn compare_and_swap(&self, key: &str, version: u64, value: &[u8]) -> Result<u64> {
        (**self).compare_and_swap(key, version, value).await
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<VersionedValue>> {
        (**self).watch(key, after, wait).await
    }
}

#[async_trait]
impl<S: Store + ?Sized> Store for std::sync::Arc<S> {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>> {
        (**self).get(key).await
    }

    async fn compare_and_swap(&self, key: &str, version: u64, value: &[u8]) -> Result<u64> {
        (**self).compare_and_swap(key, version, value).await
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<VersionedValue>> {
        (**self).watch(key, after, wait).await
    }
}
