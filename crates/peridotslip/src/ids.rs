//! Identifiers of organisations, budgets, requests and router processes.
//!
//! Each kind of identifier has its own type, so that for example a pool name
//! can't be passed as a budget name.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of an organisation: a customer that owns budgets and API keys.
    OrganisationName
);
name_type!(
    /// The name of a prepaid budget.
    BudgetName
);
name_type!(
    /// The name of a pool, by which routes refer to it.
    PoolName
);
name_type!(
    /// The name of a row of the routes table.
    RouteName
);

impl OrganisationName {
    /// Returns the ledger shard, in `0..shards`, that contains the budgets and
    /// idempotency keys of the organisation.
    ///
    /// Sharding is by organisation and not by budget, so that an idempotency key
    /// and its claim stay in the same shard when a route moves to another budget.
    #[must_use]
    pub fn shard(&self, shards: u16) -> u16 {
        let slot = xxh3_64(self.0.as_bytes()) % u64::from(shards.max(1));
        u16::try_from(slot).unwrap_or(0)
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $int:ty, $format:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// Returns the number.
            #[must_use]
            pub fn value(self) -> $int {
                self.0
            }
        }

        impl From<$int> for $name {
            fn from(value: $int) -> Self {
                Self(value)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }
    };
}

number_type!(
    /// The identifier of one router process. A restarted router has a different
    /// incarnation.
    Incarnation, u128, "{:032x}"
);
number_type!(
    /// The revision of the pair of tables: 0 before the first `apply`.
    Revision, u64, "{}"
);
number_type!(
    /// A caller's idempotency key, scoped to its organisation and hashed.
    IdempotencyKey, u128, "{:032x}"
);
number_type!(
    /// A hash of a request's method, path and body.
    Fingerprint, u64, "{:016x}"
);

impl IdempotencyKey {
    /// Hashes a caller's idempotency key together with its organisation.
    #[must_use]
    pub fn new(organisation: &OrganisationName, key: &str) -> Self {
        let mut buf = Vec::with_capacity(organisation.as_str().len() + key.len() + 1);
        buf.extend_from_slice(organisation.as_str().as_bytes());
        buf.push(0);
        buf.extend_from_slice(key.as_bytes());
        Self(xxh3_128(&buf))
    }
}

impl Fingerprint {
    /// Hashes the parts of a request that are equal in duplicates of the request.
    #[must_use]
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let head = xxh3_64(format!("{method} {path}").as_bytes());
        Self(xxh3_64(body).rotate_left(17) ^ head)
    }
}
