//! Rows of the routes table.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{OrganisationName, PoolName, RouteName};

/// The SHA-256 hash of an API key; the API key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ApiKeyHash([u8; 32]);

impl ApiKeyHash {
    /// Hashes an API key.
    #[must_use]
    pub fn of(api_key: &str) -> Self {
        Self(Sha256::digest(api_key.as_bytes()).into())
    }
}

impl fmt::Display for ApiKeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for ApiKeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl From<ApiKeyHash> for String {
    fn from(hash: ApiKeyHash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for ApiKeyHash {
    type Error = String;

    fn try_from(text: String) -> std::result::Result<Self, Self::Error> {
        let mut hash = [0; 32];
        hex::decode_to_slice(&text, &mut hash).map_err(|_| {
            "an API key hash has 64 hexadecimal digits; create one with `peridotslip hash-key`"
                .to_owned()
        })?;
        Ok(Self(hash))
    }
}

/// The urgency of a route's requests. Requests of earlier classes are served
/// first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum DeadlineClass {
    /// A user waits for the response.
    Interactive,
    /// The default class.
    #[default]
    Standard,
    /// No user waits for the response.
    Batch,
}

impl DeadlineClass {
    /// Returns the priority that is sent to engines; a lower number is more urgent.
    #[must_use]
    pub fn priority(self) -> u8 {
        match self {
            Self::Interactive => 0,
            Self::Standard => 1,
            Self::Batch => 2,
        }
    }
}

/// One row, which assigns matching requests of an organisation to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The row's name, unique in the table.
    pub name: RouteName,
    /// The organisation whose requests match.
    pub organisation: OrganisationName,
    /// Hashes of the API keys of the organisation's callers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<ApiKeyHash>,
    /// The `model` of matching completion requests; mutually exclusive with `path`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The path of matching requests to a plain service; paths below match as
    /// well. Mutually exclusive with `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// The methods of requests that match by `path`; empty if all methods match.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// The pool that serves the requests.
    pub pool: PoolName,
    /// The deadline class of the requests.
    #[serde(default)]
    pub class: DeadlineClass,
    /// Longest time from the arrival of a request to the first byte of the
    /// response, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether a request may be executed more than once. The default is `true`,
    /// so a route to a plain service must set the field to `false` if repeated
    /// execution would do harm.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Cost of one request to a plain service, in tokens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tokens_per_call: u64,
    /// The highest `max_tokens` that a request may contain.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_idempotent() -> bool {
    true
}

fn default_max_tokens() -> u64 {
    4_096
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// The routes table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// The rows.
    pub routes: Vec<Route>,
}
