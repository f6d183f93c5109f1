//! The figures of one budget in a shard record.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// The largest number of local ledgers that a reply names for a recall.
const MAX_RECALL_HOLDERS: usize = 32;

/// The share of a budget that is granted to one local ledger, in cumulative
/// tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Total tokens granted.
    pub granted: u64,
    /// Total tokens settled out of the grant, including those of duplicate
    /// settlements.
    pub used: u64,
    /// Total tokens returned unspent.
    pub returned: u64,
}

impl Grant {
    /// Returns the tokens that the local ledger may still spend or has spent
    /// without a settlement.
    #[must_use]
    pub fn outstanding(&self) -> u64 {
        self.granted.saturating_sub(self.used + self.returned)
    }

    /// Consumes up to `tokens` of the grant and returns the number of tokens
    /// that the grant does not cover.
    pub(crate) fn consume(&mut self, tokens: u64) -> u64 {
        let covered = tokens.min(self.outstanding());
        self.used += covered;
        tokens - covered
    }
}

/// One budget, with the invariant `settled + outstanding <= paid`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The highest cumulative paid amount of all reports, in tokens.
    pub paid: u64,
    /// Total tokens billed.
    pub settled: u64,
    /// Grants of incarnations that have not been released.
    pub grants: BTreeMap<Incarnation, Grant>,
    /// When a report last required more tokens than were free, in milliseconds
    /// of the writers' clock.
    pub short_at_ms: Option<u64>,
}

impl Account {
    /// Returns the sum of all outstanding grants, in tokens.
    #[must_use]
    pub fn outstanding(&self) -> u64 {
        self.grants.values().map(Grant::outstanding).sum()
    }

    /// Returns the tokens that may still be granted.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.paid.saturating_sub(self.settled + self.outstanding())
    }

    /// Returns the local ledgers other than `except` with the largest
    /// outstanding grants, the largest first.
    pub(crate) fn largest_holders(&self, except: Incarnation) -> Vec<Incarnation> {
        let mut holders: Vec<(u64, Incarnation)> = self
            .grants
            .iter()
            .filter(|(holder, grant)| **holder != except && grant.outstanding() > 0)
            .map(|(holder, grant)| (grant.outstanding(), *holder))
            .collect();
        holders.sort_unstable_by(|a, b| b.cmp(a));
        holders.truncate(MAX_RECALL_HOLDERS);
        holders.into_iter().map(|(_, holder)| holder).collect()
    }

    /// Returns the settled and granted tokens beyond the paid amount. The
    /// result is 0 unless the invariant is broken.
    #[must_use]
    pub fn overspend(&self) -> u64 {
        (self.settled + self.outstanding()).saturating_sub(self.paid)
    }
}
