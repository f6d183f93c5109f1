//! The operators' two tables: validation, comparison, merging and matching.
//!
//! The routes table assigns requests to pools, and the pools table lists the
//! backend servers and the budget of each pool. Requests are matched by a
//! [`TableIndex`], which [`Tables::index`] builds only from a valid pair of
//! tables. The functions in this module do no I/O.

mod check;
mod index;
mod merge;
mod pool;
mod route;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use self::check::Violation;
pub use self::index::{ResolvedRoute, TableIndex};
pub use self::merge::{RowChange, RowConflict, TableRow, changes, merge_rows};
pub use self::pool::{Budget, Firm, Pool, PoolKind, PoolTable, Server};
pub use self::route::{ApiKeyHash, DeadlineClass, Route, RouteTable};
use crate::ids::Revision;

quick_error! {
    /// An error in validating or merging tables.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The tables violate rules; the error lists all violations.
        Invalid(violations: Vec<Violation>) {
            display("the tables are invalid: {}", violations.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        }
        /// Another operator has changed the same rows since the base revision.
        Conflicts(conflicts: Vec<RowConflict>) {
            display("{}", conflicts.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        }
    }
}

/// The result of an operation on tables.
pub type Result<T> = std::result::Result<T, Error>;

/// Both tables at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tables {
    /// The revision of the tables, or the revision that an edit is based on.
    pub revision: Revision,
    /// The routes table.
    pub routes: RouteTable,
    /// The pools table.
    pub pools: PoolTable,
}

impl Tables {
    /// Returns every violation of the rules that concern only these tables.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        check::violations(self)
    }

    /// Returns every violation of the rules for replacing the active tables
    /// `current`.
    #[must_use]
    pub fn transition_violations(&self, current: &Self) -> Vec<Violation> {
        check::transition_violations(self, current)
    }

    /// Validates the tables and builds an index for matching requests.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every violation.
    pub fn index(self) -> Result<TableIndex> {
        let violations = self.violations();
        if violations.is_empty() {
            Ok(TableIndex::build(self))
        } else {
            Err(Error::Invalid(violations))
        }
    }

    /// Returns `current` with the changes between `base` and `self` applied.
    ///
    /// # Errors
    ///
    /// [`Error::Conflicts`] if both edits changed the same row differently.
    pub fn rebase(&self, base: &Self, current: &Self) -> Result<Self> {
        let mut conflicts = Vec::new();
        let routes = merge_rows(
            &base.routes.routes,
            &self.routes.routes,
            &current.routes.routes,
            &mut conflicts,
        );
        let pools = merge_rows(
            &base.pools.pools,
            &self.pools.pools,
            &current.pools.pools,
            &mut conflicts,
        );
        let budgets = merge_rows(
            &base.pools.budgets,
            &self.pools.budgets,
            &current.pools.budgets,
            &mut conflicts,
        );
        if !conflicts.is_empty() {
            return Err(Error::Conflicts(conflicts));
        }
        Ok(Self {
            revision: current.revision,
            routes: RouteTable { routes },
            pools: PoolTable { budgets, pools },
        })
    }

    /// Returns the rows that differ between `self` and `new`.
    #[must_use]
    pub fn changes_to(&self, new: &Self) -> Vec<RowChange> {
        let mut all = changes(&self.routes.routes, &new.routes.routes);
        all.extend(changes(&self.pools.pools, &new.pools.pools));
        all.extend(changes(&self.pools.budgets, &new.pools.budgets));
        all
    }
}
