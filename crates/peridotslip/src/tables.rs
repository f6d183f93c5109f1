//! The operators' two tables and what can be said about them without I/O.
//!
//! The routes table says which caller's requests go where, the pools table
//! says which backend servers and which budget stand behind a name. A pair of
//! tables is only usable as [`TableIndex`], which [`Tables::index`] builds and
//! which refuses tables that don't fit together.

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
    /// Why tables are refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The tables break rules; all broken rules are listed.
        Invalid(violations: Vec<Violation>) {
            display("the tables can't be used: {}", violations.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        }
        /// Rows were changed by somebody else since the base revision.
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
    /// The revision that these tables are, or that an edit began from.
    pub revision: Revision,
    /// Which caller's requests go where.
    pub routes: RouteTable,
    /// What stands behind a pool's name.
    pub pools: PoolTable,
}

impl Tables {
    /// Lists every rule that the tables break; empty if they can be applied.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        check::violations(self)
    }

    /// Lists the rules that break only by comparison with what is in force.
    #[must_use]
    pub fn transition_violations(&self, current: &Self) -> Vec<Violation> {
        check::transition_violations(self, current)
    }

    /// Checks the tables and makes them ready for matching requests.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every broken rule.
    pub fn index(self) -> Result<TableIndex> {
        let violations = self.violations();
        if violations.is_empty() {
            Ok(TableIndex::build(self))
        } else {
            Err(Error::Invalid(violations))
        }
    }

    /// Repeats the edit that led from `base` to `self` on top of `current`.
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

    /// The rows that differ between `self` and `new`.
    #[must_use]
    pub fn changes_to(&self, new: &Self) -> Vec<RowChange> {
        let mut all = changes(&self.routes.routes, &new.routes.routes);
        all.extend(changes(&self.pools.pools, &new.pools.pools));
        all.extend(changes(&self.pools.budgets, &new.pools.budgets));
        all
    }
}
