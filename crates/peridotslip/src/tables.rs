//! The operators' two tables and what can be said about them without I/O.
//!
//! The routes table says which caller's requests go where, the pools table
//! says which backend servers and which budget stand behind a name. A pair of
//! tables is only usable as [`Index`], which [`Tables::index`] builds and
//! which refuses tables that don't fit together.

mod check;
mod index;
mod merge;
mod pool;
mod route;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use self::check::Problem;
pub use self::index::{Index, Matched};
pub use self::merge::{Change, Conflict, Row, changes, merge_rows};
pub use self::pool::{Budget, Firm, Pool, PoolKind, PoolTable, Server};
pub use self::route::{DeadlineClass, KeyHash, Route, RouteTable};
use crate::ids::Revision;

quick_error! {
    /// Why tables are refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The tables break rules; all broken rules are listed.
        Invalid(problems: Vec<Problem>) {
            display("the tables can't be used: {}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        }
        /// Rows were changed by somebody else since the base revision.
        Conflicts(conflicts: Vec<Conflict>) {
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
    pub fn problems(&self) -> Vec<Problem> {
        check::problems(self)
    }

    /// Lists the rules that break only by comparison with what is in force.
    #[must_use]
    pub fn problems_after(&self, current: &Self) -> Vec<Problem> {
        check::problems_after(self, current)
    }

    /// Checks the tables and makes them ready for matching requests.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every broken rule.
    pub fn index(self) -> Result<Index> {
        let problems = self.problems();
        if problems.is_empty() {
            Ok(Index::build(self))
        } else {
            Err(Error::Invalid(problems))
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
    pub fn changes_to(&self, new: &Self) -> Vec<Change> {
        let mut all = changes(&self.routes.routes, &new.routes.routes);
        all.extend(changes(&self.pools.pools, &new.pools.pools));
        all.extend(changes(&self.pools.budgets, &new.pools.budgets));
        all
    }
}
