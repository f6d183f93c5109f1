//! Something that happens once and that tasks wait for.

use tokio::sync::watch;

/// Something that happens once.
#[derive(Debug)]
pub(crate) struct Latch(watch::Sender<bool>);

impl Default for Latch {
    fn default() -> Self {
        Self(watch::channel(false).0)
    }
}

impl Latch {
    /// It has happened.
    pub(crate) fn set(&self) {
        self.0.send_replace(true);
    }

    /// Waits until it has happened.
    pub(crate) async fn wait(&self) {
        let mut happened = self.0.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _set = happened.wait_for(|set| *set).await;
    }
}
