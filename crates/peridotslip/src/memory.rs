//! A bound on the memory of buffers that requests share.
//!
//! Each buffer may hold at most as much as stays free. So a single buffer may
//! use half of the pool, many large ones get less each, and there is always room
//! for small ones. No buffer waits for another, so none can block another.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

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

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.pool.free.fetch_add(self.held, Ordering::Relaxed);
    }
}
