//! The record of a budget after the store was restored from an older copy.
//!
//! The copy lacks grants, returns and settlements that the store had
//! acknowledged. The record of the new epoch is made from the newest record that
//! is known and from what the running routers hold, before anything is granted
//! from it. What an ended router may have been granted since is charged as far as
//! it can't be bounded, so nothing is overspent.

use serde::{Deserialize, Serialize};

use super::{BudgetReport, Report, Settlement, ShardRecord};
use crate::ids::{BudgetName, Incarnation};

/// What a running router holds of one budget. All amounts are cumulative tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Holding {
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// The router's address.
    pub address: String,
    /// The highest paid amount that the router has seen.
    pub paid: u64,
    /// Total tokens granted to the router.
    pub granted: u64,
    /// Total tokens returned by the router.
    pub returned: u64,
    /// The routers that record the router's ceilings.
    pub witnesses: Vec<Incarnation>,
    /// The version of the witness set; 0 if there is none.
    pub witness_set_version: u64,
    /// The settlements that records have confirmed lately.
    pub settlements: Vec<Settlement>,
    /// Reports in the names of other routers about their transfers, which
    /// records have confirmed lately.
    pub transfers: Vec<Report>,
}

impl Holding {
    /// Returns the report that tells a record what it may have forgotten.
    fn report(&self, budget: &BudgetName) -> Report {
        Report {
            incarnation: self.incarnation,
            address: self.address.clone(),
            budgets: vec![BudgetReport {
                budget: budget.clone(),
                paid: self.paid,
                required_total: 0,
                min_useful_total: 0,
                desired_total: 0,
                prefetch_percent: 0,
                returned: self.returned,
            }],
            settlements: self.settlements.clone(),
            witnesses: self.witnesses.clone(),
            witness_set_version: self.witness_set_version,
            ..Report::default()
        }
    }
}

/// What bounds the tokens that an ended router used of its grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedBound {
    /// It ended before the base record was written, so the record has all its
    /// grants.
    Recorded,
    /// All its possible witnesses are running, and this is the highest ceiling
    /// that they have recorded.
    Ceiling(u64),
    /// Nothing: it may have been granted all free tokens.
    Unknown,
}

/// The incarnation that holds the tokens which unknown routers may have used.
const UNKNOWN_ROUTERS: u128 = 0;

impl ShardRecord {
    /// Adds what running routers hold and what ended ones may have used.
    /// `all_known` says whether `ended` has all routers that may have been granted
    /// tokens which the record lacks. Returns the tokens that are charged without
    /// proof that they were spent.
    ///
    /// The store must not apply any other report to the record before.
    pub fn reconcile(
        &mut self,
        budget: &BudgetName,
        holdings: &[Holding],
        ended: &[(Incarnation, EndedBound)],
        all_known: bool,
        now_ms: u64,
    ) -> u64 {
        for holding in holdings {
            self.restore_grant(budget, holding.incarnation, holding.granted);
        }
        for holding in holdings {
            self.apply(&holding.report(budget), now_ms);
        }
        for report in holdings.iter().flat_map(|holding| &holding.transfers) {
            self.apply(report, now_ms);
        }
        let mut charged = 0;
        for (incarnation, bound) in ended {
            if *bound != EndedBound::Recorded {
                // The router may have changed or released the witnesses that the
                // record names, which then don't know how much it used.
                self.drop_witnesses(*incarnation);
            }
            charged += match bound {
                EndedBound::Recorded => 0,
                EndedBound::Ceiling(ceiling) => self.restore_grant(budget, *incarnation, *ceiling),
                EndedBound::Unknown => self.charge_free(budget, *incarnation),
            };
        }
        if !all_known {
            charged += self.charge_free(budget, UNKNOWN_ROUTERS.into());
        }
        charged
    }

    /// Charges all free tokens of a budget to a router. Returns their number.
    fn charge_free(&mut self, budget: &BudgetName, incarnation: Incarnation) -> u64 {
        let free = self.account(budget).map_or(0, super::Account::free);
        let granted = self.granted(budget, incarnation);
        self.restore_grant(budget, incarnation, granted + free)
    }
}
