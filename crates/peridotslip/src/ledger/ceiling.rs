//! Bounds on what a local ledger has used, kept by other routers.
//!
//! What a router that dies had spent of its grant is not known, so the whole
//! grant would count as spent for good. A local ledger with witnesses therefore uses
//! its grant only up to a ceiling that at least one of them has noted, and the
//! record names them. Once the router is certainly dead, and if every witness
//! still has its memory, the highest ceiling noted bounds what was used, and
//! the rest is free again ([`ShardRecord::reclaim_unused`](super::ShardRecord::reclaim_unused)).

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{BudgetName, Incarnation};

/// What one router has noted for others.
#[derive(Clone, Debug, Default)]
pub struct WitnessedCeilings {
    recorded: BTreeMap<(Incarnation, BudgetName), u64>,
    sealed: BTreeSet<(Incarnation, BudgetName)>,
}

impl WitnessedCeilings {
    /// Notes a ceiling; it never falls. `false` if the holder has been
    /// declared dead.
    pub fn raise(&mut self, holder: Incarnation, budget: BudgetName, tokens: u64) -> bool {
        let key = (holder, budget);
        if self.sealed.contains(&key) {
            return false;
        }
        let recorded = self.recorded.entry(key).or_default();
        *recorded = tokens.max(*recorded);
        true
    }

    /// The highest ceiling noted, 0 if there is none. None is noted any more.
    pub fn seal(&mut self, holder: Incarnation, budget: &BudgetName) -> u64 {
        let key = (holder, budget.clone());
        let recorded = self.recorded.get(&key).copied().unwrap_or(0);
        self.sealed.insert(key);
        recorded
    }
}

/// The routers that must note a local ledger's ceilings.
///
/// A record names one set of witnesses. While it may name either of two, one
/// router of each must note a ceiling. A set of which one router has started
/// anew can't free anything any more and need not be asked.
#[derive(Clone, Debug, Default)]
pub struct WitnessSets {
    sets: Vec<Vec<Incarnation>>,
}

impl WitnessSets {
    /// The set chosen last.
    #[must_use]
    pub fn newest(&self) -> Option<&[Incarnation]> {
        self.sets.last().map(Vec::as_slice)
    }

    /// Adds a set, which the record names from some later time on.
    pub fn push(&mut self, witnesses: Vec<Incarnation>) {
        self.sets.push(witnesses);
    }

    /// The record names the newest set.
    pub fn confirm_newest(&mut self) {
        let older = self.sets.len().saturating_sub(1);
        self.sets.drain(..older);
    }

    /// The sets of which one router each must note a ceiling; if there are
    /// none, nothing bounds the local ledger.
    #[must_use]
    pub fn required(&self, is_running: impl Fn(Incarnation) -> bool) -> Vec<Vec<Incarnation>> {
        let mut sets = self.sets.clone();
        sets.retain(|set| set.iter().all(|witness| is_running(*witness)));
        sets
    }
}
