//! A bound on the memory of buffers that requests share.
//!
//! Each buffer may hold at most as much as stays free. So a single buffer may
//! use half of the pool, many large ones get less each, and there is always room
//! for small ones. No buffer waits for another, so none can block another.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use quick_error::quick_error;

/// Largest part by which a buffer grows ahead of need, in bytes.
const MAX_PART_BYTES: usize = 32 * 1024;

/// A bounded amount of memory, in bytes.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    free: Arc<AtomicUsize>,
}

/// The memory that a buffer holds. Dropping it returns the memory to the pool.
#[derive(Debug)]
pub struct MemoryShare {
    pool: MemoryPool,
    held: usize,
}

/// The pool has too little free memory for a buffer to grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

quick_error! {
    /// Why content can't be added to a buffer.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum AppendError {
        /// The content exceeds the buffer's limit, in bytes.
        TooLong(limit: usize) {
            display("the content has more than {limit} bytes")
        }
        /// The pool has no memory for so many bytes of the content.
        OutOfMemory(bytes: usize) {
            display("there is no memory for {bytes} bytes of the content")
        }
    }
}

/// A buffer of limited length whose memory belongs to a pool. It grows by parts,
/// so that growing frees no memory which the allocator would retain uncounted.
#[derive(Debug)]
pub struct PooledBuffer {
    parts: Vec<Vec<u8>>,
    len: usize,
    share: MemoryShare,
    /// Most bytes of the content.
    limit: usize,
}

/// The complete content of a [`PooledBuffer`]. Its memory belongs to the pool
/// until it is dropped.
#[derive(Debug)]
pub struct PooledContent {
    content: Vec<u8>,
    _share: MemoryShare,
}

impl MemoryPool {
    /// Returns a pool of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            free: Arc::new(AtomicUsize::new(capacity)),
        }
    }

    /// Returns an empty share.
    #[must_use]
    pub fn share(&self) -> MemoryShare {
        MemoryShare {
            pool: self.clone(),
            held: 0,
        }
    }

    /// Returns the number of free bytes.
    #[must_use]
    pub fn free(&self) -> usize {
        self.free.load(Ordering::Relaxed)
    }
}

impl MemoryShare {
    /// Changes the size of the share to `bytes`. Always succeeds if it shrinks.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if more than the pool's remaining free bytes would be
    /// held. The share is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let held = self.held;
        let update = |free: usize| {
            let available = free + held;
            let remaining = available.checked_sub(bytes)?;
            (bytes <= held || bytes <= remaining).then_some(remaining)
        };
        self.pool
            .free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .map_err(|_| OutOfMemory)?;
        self.held = bytes;
        Ok(())
    }

    /// Returns the size of the share, in bytes.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Moves up to `bytes` bytes to a share of their own.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let moved = bytes.min(self.held);
        self.held -= moved;
        Self {
            pool: self.pool.clone(),
            held: moved,
        }
    }
}

impl PooledBuffer {
    /// Returns an empty buffer for up to `limit` bytes.
    #[must_use]
    pub fn new(pool: &MemoryPool, limit: usize) -> Self {
        Self {
            parts: Vec::new(),
            len: 0,
            share: pool.share(),
            limit,
        }
    }

    /// Appends content.
    ///
    /// # Errors
    ///
    /// An [`AppendError`] if the content exceeds a limit. The buffer is
    /// unchanged.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), AppendError> {
        let needed = self.len + bytes.len();
        if needed > self.limit {
            return Err(AppendError::TooLong(self.limit));
        }
        if let Some(last) = self.parts.last_mut()
            && last.capacity() - last.len() >= bytes.len()
        {
            last.extend_from_slice(bytes);
            self.len = needed;
            return Ok(());
        }
        let size = self.len.min(MAX_PART_BYTES).min(self.limit - self.len);
        let size = size.max(bytes.len());
        self.share
            .resize(self.share.held() + size)
            .map_err(|_| AppendError::OutOfMemory(needed))?;
        let mut part = Vec::with_capacity(size);
        part.extend_from_slice(bytes);
        self.parts.push(part);
        self.len = needed;
        Ok(())
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the buffer has no content.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Joins the parts.
    #[must_use]
    pub fn finish(mut self) -> PooledContent {
        let parts = std::mem::take(&mut self.parts);
        let content = match <[Vec<u8>; 1]>::try_from(parts) {
            Ok([only]) => only,
            Err(parts) => {
                let mut content = Vec::with_capacity(self.len);
                // Each part is freed once it has been copied.
                for part in parts {
                    content.extend_from_slice(&part);
                }
                content
            }
        };
        PooledContent {
            content,
            _share: self.share,
        }
    }
}

impl PooledContent {
    /// Returns the content, which the pool no longer counts.
    #[must_use]
    pub fn into_content(self) -> Vec<u8> {
        self.content
    }
}

impl AsRef<[u8]> for PooledContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.pool.free.fetch_add(self.held, Ordering::Relaxed);
    }
}
