//! What one router knows of its backend servers.

use std::collections::HashMap;

use super::{Candidate, Policy};

/// Failures in a row after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection, in milliseconds; each further one is twice as long.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;

/// How a request at a server ended, as far as it tells of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server answered.
    Answered,
    /// The server could not be reached, broke off or was silent.
    Failed,
    /// The caller or this router gave up; it says nothing of the server.
    Neutral,
}

#[derive(Clone, Debug, Default)]
struct Health {
    in_flight: u32,
    reported: u32,
    in_flight_at_report: u32,
    failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
    leaving_by_table: bool,
    leaving_by_list: bool,
    leaving_by_itself: bool,
}

impl Health {
    fn leaving(&self) -> bool {
        self.leaving_by_table || self.leaving_by_list || self.leaving_by_itself
    }

    /// After an ejection, one request at a time tries the server until one
    /// succeeds.
    fn available(&self, now_ms: u64) -> bool {
        let ejected = now_ms < self.ejected_until_ms;
        let on_trial = self.ejections > 0 && self.in_flight > 0;
        !self.leaving() && !ejected && !on_trial
    }
}

/// The servers of all pools, by address.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    servers: HashMap<String, Health>,
}

impl LoadBalancer {
    /// Takes in the table's servers as `(address, leaving)`; forgets others
    /// that have nothing in flight.
    pub fn set_table<'a>(&mut self, table: impl Iterator<Item = (&'a str, bool)>) {
        for health in self.servers.values_mut() {
            health.leaving_by_table = true;
        }
        for (address, leaving) in table {
            let health = self.servers.entry(address.to_owned()).or_default();
            health.leaving_by_table = leaving;
        }
        self.servers
            .retain(|_, health| !health.leaving_by_table || health.in_flight > 0);
    }

    /// Takes in which servers the platform lists as leaving.
    pub fn set_draining_by_vm_list(&mut self, leaving: &dyn Fn(&str) -> bool) {
        for (address, health) in &mut self.servers {
            health.leaving_by_list = leaving(address);
        }
    }

    /// Takes in a server's own report: requests running or waiting there, and
    /// whether it is leaving.
    pub fn record_load(&mut self, address: &str, requests: u32, leaving: bool) {
        if let Some(health) = self.servers.get_mut(address) {
            health.reported = requests;
            health.in_flight_at_report = health.in_flight;
            health.leaving_by_itself = leaving;
        }
    }

    /// Picks a server among `addresses` that is not in `tried`, and counts the
    /// request as in flight there.
    pub fn choose(
        &mut self,
        addresses: &[&str],
        tried: &[String],
        policy: &dyn Policy,
        affinity: u64,
        random: u64,
        now_ms: u64,
    ) -> Option<String> {
        let candidates: Vec<Candidate<'_>> = addresses
            .iter()
            .filter(|address| !tried.iter().any(|other| other == *address))
            .filter_map(|address| Some((*address, self.servers.get(*address)?)))
            .filter(|(_, health)| health.available(now_ms))
            .map(|(server, health)| Candidate {
                server,
                reported: health.reported,
                in_flight: health.in_flight,
                in_flight_at_report: health.in_flight_at_report,
            })
            .collect();
        let chosen = policy.choose(&candidates, affinity, random)?;
        let address = candidates.get(chosen)?.server.to_owned();
        self.servers.get_mut(&address)?.in_flight += 1;
        Some(address)
    }

    /// Notes the end of a request that [`choose`](Self::choose) counted.
    /// Returns `true` if it made the server be ejected.
    pub fn finish(&mut self, address: &str, outcome: CallOutcome, now_ms: u64) -> bool {
        let Some(health) = self.servers.get_mut(address) else {
            return false;
        };
        health.in_flight = health.in_flight.saturating_sub(1);
        match outcome {
            CallOutcome::Neutral => false,
            CallOutcome::Answered => {
                health.failures = 0;
                health.ejections = 0;
                false
            }
            CallOutcome::Failed => {
                health.failures += 1;
                let eject = health.failures >= FAILURES_TO_EJECT || health.ejections > 0;
                if eject && now_ms >= health.ejected_until_ms {
                    let doubled = FIRST_EJECTION_MS << health.ejections.min(8);
                    health.ejected_until_ms = now_ms + doubled.min(MAX_EJECTION_MS);
                    health.ejections += 1;
                    health.failures = 0;
                    return true;
                }
                false
            }
        }
    }

    /// How long until one of `addresses` may be tried again, in milliseconds;
    /// `None` if none is known or all are leaving.
    #[must_use]
    pub fn retry_in_ms(&self, addresses: &[&str], now_ms: u64) -> Option<u64> {
        addresses
            .iter()
            .filter_map(|address| self.servers.get(*address))
            .filter(|health| !health.leaving())
            .map(|health| health.ejected_until_ms.saturating_sub(now_ms))
            .min()
    }

    /// Addresses of all known servers.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.servers.keys().map(String::as_str)
    }
}
