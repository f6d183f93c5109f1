//! A one-time event that tasks can wait for.

use tokio::sync::watch;

/// A one-time event: it is set once and stays set.
#[derive(Debug)]
pub(crate) struct Latch(watch::Sender<bool>);

impl Default for Latch {
    fn default() -> Self {
        Self(watch::channel(false).0)
    }
}

impl Latch {
    /// Sets the latch and wakes all waiting tasks.
    pub(crate) fn set(&self) {
        self.0.send_replace(true);
    }

    /// Waits until the latch is set.
    pub(crate) async fn wait(&self) {
        let mut state = self.0.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _set = state.wait_for(|set| *set).await;
    }
}
