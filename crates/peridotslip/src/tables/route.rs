//! Rows of the routes table.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{OrganisationName, PoolName, RouteName};

/// The SHA-256 of a caller's key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ApiKeyHash([u8; 32]);

impl ApiKeyHash {
    /// Hashes a caller's key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
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
            "a key hash is 64 hexadecimal digits; make one with `peridotslip hash-key`".to_owned()
        })?;
        Ok(Self(hash))
    }
}

/// How urgent a route's requests are. Earlier classes go first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum DeadlineClass {
    /// Somebody waits in front of the screen.
    Interactive,
    /// The usual.
    #[default]
    Standard,
    /// Nobody waits.
    Batch,
}

impl DeadlineClass {
    /// The number sent to engines as priority: lower is more urgent.
    #[must_use]
    pub fn priority(self) -> u8 {
        match self {
            Self::Interactive => 0,
            Self::Standard => 1,
            Self::Batch => 2,
        }
    }
}

/// One row: requests of an organisation that match go to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The row's name, unique in the table.
    pub name: RouteName,
    /// Whose requests.
    pub organisation: OrganisationName,
    /// Hashes of the keys that callers of this organisation present.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<ApiKeyHash>,
    /// The `model` that a completion request names; excludes `path`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The path, with everything below it, of a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Methods of `path`; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// The pool that answers.
    pub pool: PoolName,
    /// How urgent the requests are.
    #[serde(default)]
    pub class: DeadlineClass,
    /// Time from arrival to the first byte of the answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether the work may be repeated. Services say so explicitly.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Tokens that one call of a plain service costs.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tokens_per_call: u64,
    /// The highest `max_tokens` that a request may ask for.
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
