//! The operators' routing table.

use serde::{Deserialize, Serialize};

use crate::ids::OrganisationName;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Repeated execution has no further effect.
    Idempotent,
    /// Each request may be executed at most once.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// One row of the table: which requests the rule matches, which services they
/// are forwarded to, and the limits that apply to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingRule {
    /// The row's name.
    pub name: String,
    /// The host name of matching requests.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether a request without a streamed response may be executed again.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Whether another server can resume a stream after the last event received.
    pub resumable: bool,
    /// Longest time until the end of the response, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the time to the first byte, in milliseconds.
    #[serde(rename = "target_ms")]
    pub first_byte_target_ms: u64,
    /// Target for the longest pause between events, in milliseconds; 0 if the
    /// row has none.
    pub gap_target_ms: u64,
    /// Maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services that handle the requests, with their weights.
    #[serde(rename = "targets")]
    pub weighted_services: Vec<(String, u32)>,
    /// Regions whose servers may get the requests; empty if all may.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

impl RoutingRule {
    /// Returns whether the router may send a request to a second server when
    /// the first one may already have started to execute it.
    #[must_use]
    pub fn is_retry_safe(&self) -> bool {
        if self.streaming {
            self.resumable
        } else {
            self.idempotency == Idempotency::Idempotent
        }
    }

    /// Returns the service for a request, selected by weight. `random` is a
    /// random number drawn for the request.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&str> {
        self.pick_service_where(random, |_| true)
    }

    /// Like [`pick_service`](Self::pick_service), from the services that `permits`
    /// returns `true` for.
    #[must_use]
    pub fn pick_service_where(&self, random: u64, permits: impl Fn(&str) -> bool) -> Option<&str> {
        let services = self.weighted_services.iter();
        let services: Vec<_> = services.filter(|(service, _)| permits(service)).collect();
        let weights = services.iter().map(|(_, weight)| u64::from(*weight));
        let mut offset = random.checked_rem(weights.sum())?;
        for (service, weight) in services {
            let weight = u64::from(*weight);
            if offset < weight {
                return Some(service);
            }
            offset -= weight;
        }
        None
    }
}

/// The properties that all servers of a service share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Connections that one server accepts from all clients together.
    pub max_connections: u32,
    /// The properties of the engines, if the servers are model engines.
    pub engine: Option<EngineTraits>,
    /// How the servers warm up; `None` if they are never cold.
    #[serde(default)]
    pub warmup: Option<Warmup>,
}

/// How the servers of a service warm up after a start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Warmup {
    /// How long a server is cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// Requests per second that a cold server takes from all routers together.
    pub requests_per_s: f64,
}

/// The properties that all model engines of a service share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineTraits {
    /// Requests that one engine runs at the same time.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Maximum number of tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// A customer and its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Organisation {
    /// The organisation's name.
    pub name: OrganisationName,
    /// API keys that authenticate the organisation's requests.
    pub keys: Vec<String>,
    /// Priority that overrides the route's priority.
    pub priority: Option<u8>,
    /// Total of tokens paid for; `None` if spending is not limited.
    pub prepaid: Option<u64>,
    /// Regions whose servers may get the organisation's requests; empty if all may.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

/// Limits on the requests that callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a caller may take to send a request head, in
    /// milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a table has been read.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The whole routing table. A table with a higher version replaces one with a
/// lower version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingTable {
    /// The version set by the operators; 0 before the first table.
    pub version: u64,
    /// The rows.
    pub routes: Vec<RoutingRule>,
    /// The services that the rows refer to.
    pub services: Vec<Service>,
    /// The organisations; `None` if requests need no API keys.
    pub organisations: Option<Vec<Organisation>>,
    /// Limits on the requests that callers may send.
    pub limits: CallerLimits,
}
