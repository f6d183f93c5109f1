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
    /// The firm whose routers serve the budget.
    pub firm: Firm,
    /// The organisation that paid.
    pub organisation: OrganisationName,
    /// Total of tokens ever paid for; the value never decreases.
    pub paid_tokens: u64,
}

/// The kind of a pool's servers, which determines how requests are matched and
/// which protocol the servers speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines, which serve completion requests.
    Model,
    /// Servers of a plain service, which serve requests by path.
    Service,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// `IP:port`, which also identifies the server.
    pub address: String,
    /// Whether the server is leaving and gets no new requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether the server rejects requests with an outdated fencing token.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub checks_fencing: bool,
}

/// One row: the servers and the budget of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The row's name, unique in the table; routes refer to the name.
    pub name: PoolName,
    /// The kind of the servers.
    pub kind: PoolKind,
    /// The servers; mutually exclusive with `servers_of`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<Server>,
    /// Another pool whose servers this pool shares.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub servers_of: Option<PoolName>,
    /// The budget that pays for requests; no route may refer to a pool without a
    /// budget.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<BudgetName>,
}

/// The pools table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolTable {
    /// The prepaid budgets.
    #[serde(default)]
    pub budgets: Vec<Budget>,
    /// The pools.
    #[serde(default)]
    pub pools: Vec<Pool>,
}
