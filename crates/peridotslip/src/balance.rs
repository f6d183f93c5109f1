//! Selecting a backend server of a pool.
//!
//! A policy selects among [`Candidate`]s, which hold this router's current data
//! on each server. Load reports lag, so a router corrects a report by the
//! requests that it has sent or seen finished since.

mod affinity;
mod health;
mod policies;

pub use self::{
    affinity::PrefixAffinity,
    health::{CallOutcome, LoadBalancer},
    policies::{LeastLoaded, RoundRobin, TwoChoices},
};

/// A backend server that can be selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The server's address, which identifies the server.
    pub server: &'a str,
    /// Running and waiting requests in the server's last load report.
    pub reported: u32,
    /// Requests of this router that are in flight at the server.
    pub in_flight: u32,
    /// Requests of this router that were in flight when the last report arrived,
    /// which the report already counts.
    pub in_flight_at_report: u32,
}

impl Candidate<'_> {
    /// Returns the estimated number of requests at the server: the last report,
    /// corrected by the requests that this router has sent or seen finished
    /// since.
    #[must_use]
    pub fn load(&self) -> u32 {
        (self.reported + self.in_flight).saturating_sub(self.in_flight_at_report)
    }
}

/// A load-balancing policy.
pub trait Policy: Send + Sync {
    /// Returns the index of the selected candidate, or `None` if there are no
    /// candidates.
    ///
    /// `affinity` is a hash of the request's prompt prefix; an engine that has
    /// processed the same prefix before responds faster. `random` is a random
    /// number drawn for the request.
    fn choose(&self, candidates: &[Candidate<'_>], affinity: u64, random: u64) -> Option<usize>;

    /// Returns the policy's name in the settings.
    fn name(&self) -> &'static str;
}
