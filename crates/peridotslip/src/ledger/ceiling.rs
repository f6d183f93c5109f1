//! Ceilings on the use of a grant, recorded by other routers.
//!
//! When a router dies, nothing shows how much of its grant it had spent, so
//! the whole grant would count as spent for good. A local ledger with
//! witnesses therefore uses its grant only up to a ceiling that at least one
//! witness has recorded, and the shard record names the witnesses. Once the
//! router has certainly ended, and if no witness has restarted since, the
//! highest recorded ceiling bounds the use, and the rest of the grant is
//! reclaimed
//! ([`ShardRecord::reclaim_unused`](super::ShardRecord::reclaim_unused)).

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{BudgetName, Incarnation};

/// The ceilings that one router has recorded as a witness of others.
#[derive(Clone, Debug, Default)]
pub struct WitnessedCeilings {
    recorded: BTreeMap<(Incarnation, BudgetName), u64>,
    sealed: BTreeSet<(Incarnation, BudgetName)>,
}

impl WitnessedCeilings {
    /// Records a ceiling of `tokens` for `holder`, unless a higher one is
    /// recorded already. Returns `false` if the ceiling is sealed because the
    /// holder has been declared dead.
    pub fn raise(&mut self, holder: Incarnation, budget: BudgetName, tokens: u64) -> bool {
        let key = (holder, budget);
        if self.sealed.contains(&key) {
            return false;
        }
        let recorded = self.recorded.entry(key).or_default();
        *recorded = tokens.max(*recorded);
        true
    }

    /// Returns the ceilings of a budget, by holder.
    #[must_use]
    pub fn of_budget(&self, budget: &BudgetName) -> Vec<(Incarnation, u64)> {
        self.recorded
            .iter()
            .filter(|((_, recorded), _)| recorded == budget)
            .map(|((holder, _), ceiling)| (*holder, *ceiling))
            .collect()
    }

    /// Seals the ceiling of `holder` and returns it, or 0 if none is recorded.
    /// A sealed ceiling is never raised again.
    pub fn seal(&mut self, holder: Incarnation, budget: &BudgetName) -> u64 {
        let key = (holder, budget.clone());
        let recorded = self.recorded.get(&key).copied().unwrap_or(0);
        self.sealed.insert(key);
        recorded
    }
}

/// The routers that must record the ceilings of a local ledger.
///
/// A record names one set of witnesses. While it may name either of two sets,
/// one router of each must record a ceiling. A set with a restarted router can
/// no longer prove how much was used, so its routers need not record ceilings.
/// An empty set proves nothing: once the record names it, the grant can't be
/// reclaimed.
#[derive(Clone, Debug, Default)]
pub struct WitnessSets {
    sets: Vec<Vec<Incarnation>>,
}

impl WitnessSets {
    /// Returns the set that was added last.
    #[must_use]
    pub fn newest(&self) -> Option<&[Incarnation]> {
        self.sets.last().map(Vec::as_slice)
    }

    /// Adds a set that the record does not name yet.
    pub fn push(&mut self, witnesses: Vec<Incarnation>) {
        self.sets.push(witnesses);
    }

    /// Drops all sets but the newest, because the record names the newest.
    pub fn confirm_newest(&mut self) {
        let older = self.sets.len().saturating_sub(1);
        self.sets.drain(..older);
    }

    /// Returns the sets that must each have a router that records a ceiling.
    /// If there are none, the local ledger is not bounded.
    #[must_use]
    pub fn required(&self, is_running: impl Fn(Incarnation) -> bool) -> Vec<Vec<Incarnation>> {
        let mut sets = self.sets.clone();
        sets.retain(|set| !set.is_empty() && set.iter().all(|witness| is_running(*witness)));
        sets
    }
}
