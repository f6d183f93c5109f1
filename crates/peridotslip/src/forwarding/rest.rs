//! Times for which servers have asked for no requests.
//!
//! A server that refuses a request may name a time for which it wants no more.
//! The rest belongs to one start of the server and outlasts the removal and the
//! return of its entry.

use std::collections::HashMap;

use super::{ServerEntry, ServerId};

/// Longest rest that a server can ask for, in milliseconds. Bounds how long a
/// wrong value makes a server unusable.
pub const MAX_REST_MS: u64 = 10 * 60 * 1_000;
/// Requests that a server may have in flight right after its rest before others
/// are preferred; doubled with each answer.
const FIRST_IN_FLIGHT: u32 = 2;
/// How long after a rest the limit on requests in flight applies, in
/// milliseconds.
const RECOVERY_MS: u64 = 10_000;

/// A rest that a server has asked for, and its recovery afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    until_ms: u64,
    /// Requests that the server may have in flight after the rest.
    max_in_flight: u32,
}

impl Rest {
    /// Begins a rest of `rest_ms`, at most [`MAX_REST_MS`].
    #[must_use]
    pub fn begin(rest_ms: u64, now_ms: u64) -> Self {
        Self {
            until_ms: now_ms + rest_ms.min(MAX_REST_MS),
            max_in_flight: FIRST_IN_FLIGHT,
        }
    }

    /// Begins another rest of `rest_ms`. It doesn't shorten the current one.
    pub fn extend(&mut self, rest_ms: u64, now_ms: u64) {
        let next = Self::begin(rest_ms, now_ms);
        self.until_ms = self.until_ms.max(next.until_ms);
        self.max_in_flight = next.max_in_flight;
    }

    /// Returns the end of the rest, in milliseconds.
    #[must_use]
    pub fn until_ms(&self) -> u64 {
        self.until_ms
    }

    /// Returns whether the server must get no requests.
    #[must_use]
    pub fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns whether the server, with `in_flight` requests, may get another one
    /// although others are available.
    #[must_use]
    pub fn admits(&self, in_flight: u32, now_ms: u64) -> bool {
        self.is_over(now_ms) || (!self.is_active(now_ms) && in_flight < self.max_in_flight)
    }

    /// Records that the server has answered a request.
    pub fn record_answer(&mut self, now_ms: u64) {
        if !self.is_active(now_ms) {
            self.max_in_flight = self.max_in_flight.saturating_mul(2);
        }
    }

    /// Returns whether the rest and the recovery have ended.
    #[must_use]
    pub fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms.saturating_add(RECOVERY_MS)
    }
}

/// The rest of one start of a server.
#[derive(Clone, Debug)]
struct StartRest {
    started_ms: u64,
    /// Distinguishes starts if the entries don't contain their times.
    address: String,
    rest: Rest,
}

impl StartRest {
    fn is_of(&self, server: &ServerEntry) -> bool {
        self.started_ms == server.started_ms && self.address == server.address
    }
}

/// The rests of the servers of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct Rests {
    servers: HashMap<ServerId, StartRest>,
}

impl Rests {
    fn get(&self, server: &ServerEntry) -> Option<&Rest> {
        let found = self.servers.get(&server.id)?;
        found.is_of(server).then_some(&found.rest)
    }

    /// Returns the end of the server's rest, in milliseconds, if it rests.
    pub(super) fn end_ms(&self, server: &ServerEntry, now_ms: u64) -> Option<u64> {
        let rest = self.get(server).filter(|rest| rest.is_active(now_ms));
        rest.map(Rest::until_ms)
    }

    /// Returns whether the server must get no requests.
    pub(super) fn is_resting(&self, server: &ServerEntry, now_ms: u64) -> bool {
        self.end_ms(server, now_ms).is_some()
    }

    /// Returns whether a server with `in_flight` requests may get another one
    /// although others are available.
    pub(super) fn admits(&self, server: &ServerEntry, in_flight: u32, now_ms: u64) -> bool {
        self.get(server)
            .is_none_or(|rest| rest.admits(in_flight, now_ms))
    }

    /// Begins or extends a server's rest. Returns whether it began.
    pub(super) fn record(&mut self, server: &ServerEntry, rest_ms: u64, now_ms: u64) -> bool {
        self.servers.retain(|_, found| !found.rest.is_over(now_ms));
        let began = !self.is_resting(server, now_ms);
        match self.servers.get_mut(&server.id) {
            Some(found) if found.is_of(server) => found.rest.extend(rest_ms, now_ms),
            _ => {
                let rest = StartRest {
                    started_ms: server.started_ms,
                    address: server.address.clone(),
                    rest: Rest::begin(rest_ms, now_ms),
                };
                self.servers.insert(server.id.clone(), rest);
            }
        }
        began
    }

    /// Records that a server has answered a request.
    pub(super) fn record_answer(&mut self, server: &ServerEntry, now_ms: u64) {
        if let Some(found) = self.servers.get_mut(&server.id)
            && found.is_of(server)
        {
            found.rest.record_answer(now_ms);
        }
    }
}
