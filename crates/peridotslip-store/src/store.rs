//! The interface of the platform's key-value service.

use std::time::Duration;

use async_trait::async_trait;
use quick_error::quick_error;

quick_error! {
    /// An error of a call to the store.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The key is at another version, which the error holds; nothing was
        /// written.
        Conflict(version: u64) {
            display("the key is at version {version}; read it again and repeat the change")
        }
        /// The store is unreachable or rejected the call; nothing was written.
        Unavailable(reason: String) {
            display("the store is unavailable ({reason}); retry later")
        }
        /// The reply to a write was lost or unusable; the write may or may not
        /// have taken effect.
        Indeterminate(reason: String) {
            display("the store's reply was lost ({reason}); read the key to see whether the write took effect")
        }
        /// The value exceeds the store's size limit; nothing was written. Holds
        /// the size of the value in bytes.
        TooLarge(bytes: usize) {
            display("a value of {bytes} bytes exceeds the store's limit of 1 MB; split the value")
        }
    }
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// A value and its version, which a compare-and-swap must name to replace the
/// value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The version of the key: at least 1, and increased by at least 1 with each
    /// write.
    pub version: u64,
    /// The stored bytes.
    pub value: Vec<u8>,
}

/// A key-value service with compare-and-swap and watches.
#[async_trait]
pub trait Store: Send + Sync {
    /// Returns the value of a key; `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if the key could not be read.
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>>;

    /// Writes `value` if the key is at `version`, and returns the new version.
    /// Version 0 means that the key does not exist.
    ///
    /// # Errors
    ///
    /// Any [`Error`]. The write may have taken effect only if the error is
    /// [`Error::Indeterminate`].
    async fn compare_and_swap(&self, key: &str, version: u64, value: &[u8]) -> Result<u64>;

    /// Waits until the version of a key is greater than `after` and returns the
    /// value; `None` if `wait` expires first.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if the key could not be read.
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
