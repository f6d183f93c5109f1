//! Whether the metadata store is available, as all store watches observe it
//! together.

use std::time::{Duration, Instant};

use tokio::sync::watch;

/// What the watches have observed.
#[derive(Clone, Copy, Debug)]
struct Observed {
    /// Whether the last call that ended got a reply.
    available: bool,
    /// When the last call that failed was sent.
    last_failure: Option<Instant>,
    /// When the last reply arrived.
    last_success: Option<Instant>,
    /// When the first reply after the last outage arrived.
    regained_at: Option<Instant>,
}

/// An outage that one watch has noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Outage {
    /// When the watch noticed the outage.
    pub(crate) began: Instant,
    /// When the last call of any watch that failed was sent. The store returned
    /// after that.
    pub(crate) last_failure: Instant,
    /// When the first reply to any watch arrived. The store returned before that.
    pub(crate) regained_at: Instant,
}

/// The availability of the store.
#[derive(Debug)]
pub(crate) struct StoreAvailability {
    observed: watch::Sender<Observed>,
}

impl StoreAvailability {
    pub(crate) fn new() -> Self {
        Self {
            observed: watch::Sender::new(Observed {
                available: true,
                last_failure: None,
                last_success: None,
                regained_at: None,
            }),
        }
    }

    /// Returns whether the store is available.
    pub(crate) fn is_available(&self) -> bool {
        self.observed.borrow().available
    }

    /// Returns for how long the store has been available without an outage; `None`
    /// if it is unavailable.
    pub(crate) fn available_for(&self) -> Option<Duration> {
        let observed = self.observed.borrow();
        let since = observed.regained_at;
        let available_for = since.map_or(Duration::MAX, |since| since.elapsed());
        observed.available.then_some(available_for)
    }

    /// Records that the store has replied to a call.
    pub(crate) fn record_success(&self) {
        self.observed.send_if_modified(|observed| {
            let regained = !observed.available;
            observed.available = true;
            let now = Instant::now();
            observed.last_success = Some(now);
            if regained {
                observed.regained_at = Some(now);
            }
            regained
        });
    }

    /// Records that a call that was sent at `sent_at` has failed. Returns whether
    /// the store has replied to another call since, so that the failure proves
    /// nothing about the present.
    pub(crate) fn record_failure(&self, sent_at: Instant) -> bool {
        let mut replied_since = false;
        self.observed.send_if_modified(|observed| {
            replied_since = observed.last_success > Some(sent_at);
            let lost = observed.available && !replied_since;
            observed.available &= replied_since;
            observed.last_failure = observed.last_failure.max(Some(sent_at));
            lost
        });
        replied_since
    }

    /// Returns the outage that a watch noticed at `began`.
    pub(crate) fn outage_since(&self, began: Instant) -> Outage {
        let observed = self.observed.borrow();
        Outage {
            began,
            last_failure: observed.last_failure.unwrap_or(began),
            regained_at: observed.regained_at.unwrap_or_else(Instant::now),
        }
    }

    pub(crate) fn subscribe(&self) -> AvailabilityReceiver {
        AvailabilityReceiver {
            observed: self.observed.subscribe(),
        }
    }
}

/// Receives the changes of the store's availability.
pub(crate) struct AvailabilityReceiver {
    observed: watch::Receiver<Observed>,
}

impl AvailabilityReceiver {
    /// Returns whether the store is available. Later calls of
    /// [`changed_to`](Self::changed_to) wait for changes after this one.
    pub(crate) fn is_available(&mut self) -> bool {
        self.observed.borrow_and_update().available
    }

    /// Waits until the store has become available, or unavailable.
    pub(crate) async fn changed_to(&mut self, available: bool) {
        while self.observed.changed().await.is_ok() {
            if self.is_available() == available {
                return;
            }
        }
        // The sender lives as long as the process.
        std::future::pending::<()>().await;
    }
}
