//! Choosing a backend server among those of a pool.
//!
//! A policy sees [`Candidate`]s: what this router knows of each server now.
//! Load reports lag, so `in_flight` (what this router has sent and not seen
//! finished) corrects them.

mod affinity;
mod health;
mod policies;

pub use self::{
    affinity::PrefixAffinity,
    health::{CallOutcome, LoadBalancer},
    policies::{LeastLoaded, RoundRobin, TwoChoices},
};

/// A backend server that may take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The server's address, which names it.
    pub server: &'a str,
    /// Requests that the server last reported as running or waiting.
    pub reported: u32,
    /// Requests that this router has running there.
    pub in_flight: u32,
    /// Requests of this router that the last report already counted.
    pub in_flight_at_report: u32,
}

impl Candidate<'_> {
    /// Estimated requests at the server: the report, corrected by what this
    /// router has sent or seen finished since.
    #[must_use]
    pub fn load(&self) -> u32 {
        (self.reported + self.in_flight).saturating_sub(self.in_flight_at_report)
    }
}

/// Picks one of several servers.
pub trait Policy: Send + Sync {
    /// The index of the chosen candidate, or `None` if there are none.
    ///
    /// `affinity` is a hash of the request's prompt prefix; equal prefixes
    /// are cheaper where they ran before. `random` is a fresh random number.
    fn choose(&self, candidates: &[Candidate<'_>], affinity: u64, random: u64) -> Option<usize>;

    /// The policy's name in settings.
    fn name(&self) -> &'static str;
}
