//! Names and numbers that identify organisations, budgets, requests and
//! router processes.
//!
//! Each is its own type, so that a pool name can't be passed for a budget.

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
            /// Borrows the name as text.
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
    /// The name of an organisation: the customer that owns budgets and keys.
    OrganisationName
);
name_type!(
    /// The name of a prepaid budget.
    BudgetName
);
name_type!(
    /// The name that joins a route to a pool.
    PoolName
);
name_type!(
    /// The name of a row of the routes table.
    RouteName
);

impl OrganisationName {
    /// The ledger shard, in `0..shards`, that holds this organisation's
    /// budgets and idempotency keys.
    ///
    /// Sharding is by organisation and not by budget, so that moving a route
    /// to another budget can't separate an idempotency key from its claim.
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
            /// The number itself.
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
    /// One run of one router process. A restart has another incarnation.
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
    /// Hashes the caller's `key` within `organisation`.
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
    /// Hashes what makes two requests the same request.
    #[must_use]
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let head = xxh3_64(format!("{method} {path}").as_bytes());
        Self(xxh3_64(body).rotate_left(17) ^ head)
    }
}
