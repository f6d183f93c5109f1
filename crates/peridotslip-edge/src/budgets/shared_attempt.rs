//! Attempts whose outcome serves all requests that wait for it.

use std::{
    future::Future,
    sync::{Mutex, PoisonError},
};

use futures::{
    FutureExt,
    future::{BoxFuture, Shared},
};

/// Runs at most one attempt at a time.
///
/// An attempt goes on if the requests that wait for it are given up, because
/// later requests need its outcome too.
#[derive(Default)]
pub(super) struct SharedAttempt {
    running: Mutex<Option<Shared<BoxFuture<'static, bool>>>>,
}

impl SharedAttempt {
    /// Waits for the running attempt, or for the one that `attempt` returns if
    /// none is running. Returns the outcome; an attempt that panics has failed.
    pub(super) fn join<F>(&self, attempt: impl FnOnce() -> F) -> Shared<BoxFuture<'static, bool>>
    where
        F: Future<Output = bool> + Send + 'static,
    {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(running) = running.as_ref().filter(|attempt| is_open(attempt)) {
            return running.clone();
        }
        let task = tokio::spawn(attempt());
        let started = task.map(|outcome| outcome.unwrap_or(false));
        running.insert(started.boxed().shared()).clone()
    }

    /// Returns whether an attempt is running.
    pub(super) fn is_running(&self) -> bool {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.as_ref().is_some_and(is_open)
    }
}

/// Returns whether the outcome of an attempt is still unknown.
fn is_open(attempt: &Shared<BoxFuture<'static, bool>>) -> bool {
    attempt.clone().now_or_never().is_none()
}
