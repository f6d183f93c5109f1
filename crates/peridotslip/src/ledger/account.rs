//! One budget's figures in a shard record.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// Most local ledgers that are named for a recall.
const MAX_HOLDERS: usize = 32;

/// A local ledger's share of a budget. Cumulative tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Ever granted.
    pub granted: u64,
    /// Ever settled out of the grant, refunds of duplicates included.
    pub used: u64,
    /// Ever given back unspent.
    pub returned: u64,
}

impl Grant {
    /// Tokens that the local ledger may still spend or owes a settlement for.
    #[must_use]
    pub fn outstanding(&self) -> u64 {
        self.granted.saturating_sub(self.used + self.returned)
    }

    /// Takes `tokens` out of the grant as far as it reaches and returns how
    /// many it did not cover.
    pub(crate) fn consume(&mut self, tokens: u64) -> u64 {
        let covered = tokens.min(self.outstanding());
        self.used += covered;
        tokens - covered
    }
}

/// One budget. The invariant is `settled + outstanding <= paid`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Highest cumulative amount paid that any report has named.
    pub paid: u64,
    /// Tokens billed.
    pub settled: u64,
    /// Grants of live incarnations.
    pub grants: BTreeMap<Incarnation, Grant>,
    /// When a need could last not be met, in milliseconds of the writers'
    /// clock.
    pub short_at_ms: Option<u64>,
}

impl Account {
    /// Sum of all outstanding grants.
    #[must_use]
    pub fn outstanding(&self) -> u64 {
        self.grants.values().map(Grant::outstanding).sum()
    }

    /// Tokens that may still be granted.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.paid.saturating_sub(self.settled + self.outstanding())
    }

    /// The local ledgers other than `except` that hold most.
    pub(crate) fn holders(&self, except: Incarnation) -> Vec<Incarnation> {
        let mut holders: Vec<(u64, Incarnation)> = self
            .grants
            .iter()
            .filter(|(holder, grant)| **holder != except && grant.outstanding() > 0)
            .map(|(holder, grant)| (grant.outstanding(), *holder))
            .collect();
        holders.sort_unstable_by(|a, b| b.cmp(a));
        holders.truncate(MAX_HOLDERS);
        holders.into_iter().map(|(_, holder)| holder).collect()
    }

    /// Tokens settled beyond what was paid; always 0.
    #[must_use]
    pub fn overspend(&self) -> u64 {
        (self.settled + self.outstanding()).saturating_sub(self.paid)
    }
}
