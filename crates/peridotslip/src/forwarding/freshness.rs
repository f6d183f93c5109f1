//! How recent a router's knowledge of the routing table is.

/// Age of the last news of the store from which the routing table is stale, in
/// milliseconds. Longer than the time between two replies to a healthy router: 1,900 ms
/// while it reads the store, and 2,850 ms while it goes over to a relay that turns out
/// not to serve it.
const MAX_NEWS_AGE_MS: u64 = 3_000;

/// Whether a router knows the routing table that is in force. Times are in
/// milliseconds.
///
/// A refusal for lack of a route or a key is final for a caller, so a router gives it
/// only if it would have learnt of a table that has them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableFreshness {
    last_news_ms: Option<u64>,
}

impl TableFreshness {
    /// Records that the store, or a router that reads it, has replied to a watch.
    pub fn record_news(&mut self, now_ms: u64) {
        self.last_news_ms = Some(now_ms);
    }

    /// Returns the age of the last news, in milliseconds; `None` if there is none.
    #[must_use]
    pub fn news_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.last_news_ms?))
    }

    /// Returns whether the last news is recent.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.last_news_ms
            .is_some_and(|news_ms| now_ms < news_ms.saturating_add(MAX_NEWS_AGE_MS))
    }
}
