//! A router's data on the health and load of its backend servers.

use std::collections::HashMap;

use super::{Candidate, Policy};

/// Consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection, in milliseconds; each further one is twice
/// as long.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Longest duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;

/// How a request at a server ended, for the health record of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server responded.
    Answered,
    /// The server was unreachable, closed the connection early or timed out.
    Failed,
    /// The caller or this router cancelled the request, which is no evidence
    /// about the server's health.
    Neutral,
}

/// The health record of a server.
#[derive(Clone, Debug, Default)]
struct Health {
    in_flight: u32,
    /// Running and waiting requests in the last load report.
    reported: u32,
    /// Requests of this router that were in flight when the last report arrived.
    in_flight_at_report: u32,
    /// Consecutive failures since the last response or ejection.
    failures: u32,
    /// Ejections since the last response.
    ejections: u32,
    ejected_until_ms: u64,
    draining_by_table: bool,
    draining_by_vm_list: bool,
    draining_by_report: bool,
}

impl Health {
    fn is_draining(&self) -> bool {
        self.draining_by_table || self.draining_by_vm_list || self.draining_by_report
    }

    /// Returns whether the server can be selected. After an ejection the
    /// server has at most one request in flight until a request succeeds.
    fn is_available(&self, now_ms: u64) -> bool {
        let ejected = now_ms < self.ejected_until_ms;
        let trial_in_flight = self.ejections > 0 && self.in_flight > 0;
        !self.is_draining() && !ejected && !trial_in_flight
    }
}

/// Selects servers for requests, from health records of the servers of all
/// pools.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    servers: HashMap<String, Health>,
}

impl LoadBalancer {
    /// Sets the servers of the pools table, given as `(address, draining)`. A
    /// server that is missing from the table counts as draining. A server that
    /// drains according to the table is removed at the first call after its
    /// last request has finished.
    pub fn set_table<'a>(&mut self, table: impl Iterator<Item = (&'a str, bool)>) {
        for health in self.servers.values_mut() {
            health.draining_by_table = true;
        }
        for (address, draining) in table {
            let health = self.servers.entry(address.to_owned()).or_default();
            health.draining_by_table = draining;
        }
        self.servers
            .retain(|_, health| !health.draining_by_table || health.in_flight > 0);
    }

    /// Sets which servers are draining according to the platform's VM list.
    pub fn set_draining_by_vm_list(&mut self, draining: &dyn Fn(&str) -> bool) {
        for (address, health) in &mut self.servers {
            health.draining_by_vm_list = draining(address);
        }
    }

    /// Records a server's load report: the number of running and waiting requests
    /// and whether the server is draining.
    pub fn record_load(&mut self, address: &str, requests: u32, draining: bool) {
        if let Some(health) = self.servers.get_mut(address) {
            health.reported = requests;
            health.in_flight_at_report = health.in_flight;
            health.draining_by_report = draining;
        }
    }

    /// Selects a server of `addresses` that is not in `attempted` and counts the
    /// request as in flight there.
    pub fn choose(
        &mut self,
        addresses: &[&str],
        attempted: &[String],
        policy: &dyn Policy,
        affinity: u64,
        random: u64,
        now_ms: u64,
    ) -> Option<String> {
        let candidates: Vec<Candidate<'_>> = addresses
            .iter()
            .filter(|address| !attempted.iter().any(|other| other == *address))
            .filter_map(|address| Some((*address, self.servers.get(*address)?)))
            .filter(|(_, health)| health.is_available(now_ms))
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

    /// Records the end of a request that [`choose`](Self::choose) counted.
    /// Returns `true` if the server is ejected because of it.
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

    /// Returns the time until one of `addresses` can be selected again, in
    /// milliseconds, or `None` if no server is known or all are draining.
    #[must_use]
    pub fn retry_in_ms(&self, addresses: &[&str], now_ms: u64) -> Option<u64> {
        addresses
            .iter()
            .filter_map(|address| self.servers.get(*address))
            .filter(|health| !health.is_draining())
            .map(|health| health.ejected_until_ms.saturating_sub(now_ms))
            .min()
    }

    /// Returns the addresses of all servers.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.servers.keys().map(String::as_str)
    }
}
