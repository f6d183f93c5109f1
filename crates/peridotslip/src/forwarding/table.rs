//! The operators' routing table.

use serde::{Deserialize, Serialize};

use crate::ids::OrganisationName;

/// Whether work may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Running again does no harm.
    Idempotent,
    /// At most one run for each request.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// One row: whose requests go where, and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingRule {
    /// The row's name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether a plain answer's work may be repeated.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Whether a stream may go on at another server after its last event.
    pub resumable: bool,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time until the first byte that is still on time, in milliseconds.
    #[serde(rename = "target_ms")]
    pub first_byte_target_ms: u64,
    /// Longest pause between events that is still on time, in milliseconds;
    /// 0 if the row names none.
    pub gap_target_ms: u64,
    /// Most servers that one request may be sent to.
    pub max_attempts: u32,
    /// Rank, 0 the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that answer, with their weights.
    #[serde(rename = "targets")]
    pub weighted_services: Vec<(String, u32)>,
}

impl RoutingRule {
    /// Whether the same request may be sent to a second server after the
    /// first may have begun to work on it.
    #[must_use]
    pub fn is_retry_safe(&self) -> bool {
        if self.streaming {
            self.resumable
        } else {
            self.idempotency == Idempotency::Idempotent
        }
    }

    /// The service for a request, chosen by weight with a number that is
    /// drawn for the request.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&str> {
        let total: u64 = self
            .weighted_services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut at = random.checked_rem(total)?;
        for (service, weight) in &self.weighted_services {
            let weight = u64::from(*weight);
            if at < weight {
                return Some(service);
            }
            at -= weight;
        }
        None
    }
}

/// What the servers of a service share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Set if the servers are model engines.
    pub engine: Option<EngineTraits>,
}

/// What model engines of one service share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineTraits {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into one engine's KV memory.
    pub kv_tokens: u64,
    /// Most tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// A customer and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Organisation {
    /// The organisation's name.
    pub name: OrganisationName,
    /// Keys that its requests may carry.
    pub keys: Vec<String>,
    /// Goes before the route's priority.
    pub priority: Option<u8>,
    /// Tokens paid for in all; `None` if spending is not limited.
    pub prepaid: Option<u64>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_header_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to send a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Applies until a table has been read.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The whole table. A higher version replaces a lower one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingTable {
    /// The operators' version; 0 before the first table.
    pub version: u64,
    /// Rows.
    pub routes: Vec<RoutingRule>,
    /// Services that rows name.
    pub services: Vec<Service>,
    /// Organisations; `None` if requests need no keys.
    pub organisations: Option<Vec<Organisation>>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}
