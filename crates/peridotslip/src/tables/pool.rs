//! Rows of the pools table.

use serde::{Deserialize, Serialize};

use crate::ids::{BudgetName, OrganisationName, PoolName};

/// The firm whose entry VMs serve a budget.
pub type Firm = String;

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The row's name, unique in the table.
    pub name: BudgetName,
    /// The firm whose routers serve it.
    pub firm: Firm,
    /// The organisation that paid.
    pub organisation: OrganisationName,
    /// Tokens paid for since the beginning; it never falls.
    pub paid_tokens: u64,
}

/// What a pool's servers speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    Model,
    /// A plain service.
    Service,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// `IP:port`, which also names the server.
    pub address: String,
    /// Whether it gets no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub checks_fencing: bool,
}

/// One row: the servers and the budget behind a name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name that routes use, unique in the table.
    pub name: PoolName,
    /// What the servers speak.
    pub kind: PoolKind,
    /// The servers; excludes `servers_of`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<Server>,
    /// Another pool whose servers this one shares.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub servers_of: Option<PoolName>,
    /// The budget that pays; a pool without one can't be routed to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<BudgetName>,
}

/// The pools table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolTable {
    /// Prepaid budgets.
    #[serde(default)]
    pub budgets: Vec<Budget>,
    /// Pools.
    #[serde(default)]
    pub pools: Vec<Pool>,
}
