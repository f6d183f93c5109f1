//! What a local ledger and a record tell each other.

use serde::{Deserialize, Serialize};

use crate::ids::{BudgetName, Fingerprint, IdempotencyKey, Incarnation};

/// What became of a request's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The work ran and the backend server answered with this HTTP status.
    Ran(u16),
    /// Nothing was sent to a backend server; a claim is given back.
    NotRun,
    /// The work may have run.
    Unknown,
}

/// What a finished request costs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The key under which the request is billed once; `None` if the caller
    /// sent none, in which case no other router can ever bill it.
    pub key: Option<IdempotencyKey>,
    /// Tokens used.
    pub tokens: u64,
    /// What became of the work.
    pub outcome: Outcome,
}

impl Bill {
    /// A bill for work that ran well.
    #[must_use]
    pub fn new(key: Option<IdempotencyKey>, tokens: u64) -> Self {
        Self {
            key,
            tokens,
            outcome: Outcome::Ran(200),
        }
    }
}

/// One bill in a local ledger's sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Position in the incarnation's sequence for this shard, from 1.
    pub seq: u64,
    /// The budget that pays.
    pub budget: BudgetName,
    /// The bill.
    pub bill: Bill,
    /// Tokens of the grant that the settlement lets go: those billed, and the
    /// unspent rest of a transfer, which nobody holds any more.
    pub consumed: u64,
}

/// Tokens of one local ledger's grant that another local ledger may spend.
///
/// The issuer counts them as spent before it sends the transfer, and whoever
/// has it settles it once, under the issuer's number. A transfer that is lost
/// is never spent and never free again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantTransfer {
    /// The local ledger whose grant it is part of.
    pub issuer: Incarnation,
    /// The number of its settlement in the issuer's sequence.
    pub seq: u64,
    /// The budget.
    pub budget: BudgetName,
    /// The tokens.
    pub tokens: u64,
}

/// A request to be the only one that may run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key to claim.
    pub key: IdempotencyKey,
    /// Distinguishes two attempts of one incarnation.
    pub attempt: u64,
    /// What the caller sent; a claim with another fingerprint is refused.
    pub fingerprint: Fingerprint,
}

/// A local ledger's position in one budget. All figures are cumulative tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetReport {
    /// The budget.
    pub budget: BudgetName,
    /// The highest `paid` figure in the tables this router has seen.
    pub paid: u64,
    /// Total grants without which a waiting request can't run.
    pub required_total: u64,
    /// Total grants below which no waiting request can run; a smaller grant
    /// would only lie idle.
    pub min_useful_total: u64,
    /// Total grants that would cover the near future as well.
    pub desired_total: u64,
    /// Most of the free tokens that the wish beyond the need may take, in
    /// percent.
    pub prefetch_percent: u8,
    /// Total given back unspent.
    pub returned: u64,
}

/// Everything a local ledger tells a record in one exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Who reports.
    pub incarnation: Incarnation,
    /// The reporter's address; empty if somebody else reports for it.
    pub address: String,
    /// Positions that changed.
    pub budgets: Vec<BudgetReport>,
    /// Settlements that no reply has confirmed.
    pub settlements: Vec<Settlement>,
    /// Claims that no reply has answered.
    pub claims: Vec<Claim>,
    /// Whether the incarnation has stopped for good.
    pub closed: bool,
    /// The routers that note ceilings for the reporter from now on; empty if
    /// nothing changes.
    pub witnesses: Vec<Incarnation>,
    /// Which choice of witnesses this is, from 1, so that a report that comes
    /// late does not bring an earlier choice back.
    pub witness_set_version: u64,
}

impl Report {
    /// Whether applying this report could change a record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
            && self.settlements.is_empty()
            && self.claims.is_empty()
            && self.witnesses.is_empty()
            && !self.closed
    }
}

/// What became of a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettlementStatus {
    /// Billed, now or by an earlier delivery of the same settlement.
    Billed,
    /// Another incarnation billed the key; the tokens are free again.
    Duplicate,
    /// The grant had been released and the budget has no room left.
    Unbillable,
}

impl SettlementStatus {
    /// The word used in counters.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Billed => "bill-recorded",
            Self::Duplicate => "bill-duplicate",
            Self::Unbillable => "bill-unbillable",
        }
    }
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The claimant is the holder and may send the work.
    Granted,
    /// Somebody else is or was the holder and no outcome is recorded.
    HeldByOther,
    /// The work is recorded with this outcome.
    Completed(Outcome),
    /// The key belongs to a request with another fingerprint.
    FingerprintMismatch,
    /// The record remembers too many keys to take another; nobody holds it.
    KeyLimitReached,
}

/// A record's answer about one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The budget.
    pub budget: BudgetName,
    /// The highest `paid` figure recorded.
    pub paid: u64,
    /// Total granted to the incarnation, cumulative.
    pub granted: u64,
    /// Total that the incarnation gave back, as recorded.
    pub returned: u64,
    /// Tokens that nobody holds and that are not settled.
    pub free: u64,
    /// Tokens that other local ledgers hold.
    pub held_by_others: u64,
    /// Some of the local ledgers that hold them, the largest first, if a recall is
    /// wanted.
    pub holders: Vec<Incarnation>,
    /// Whether the need of some local ledger could not be met lately, so that idle
    /// grants should be given back.
    pub recall: bool,
}

/// A record's answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Whose report this answers.
    pub incarnation: Incarnation,
    /// Answers for the report's budgets, in its order.
    pub grants: Vec<GrantReply>,
    /// Statuses by sequence number.
    pub settled: Vec<(u64, SettlementStatus)>,
    /// Statuses by claim, in the report's order.
    pub claims: Vec<(Claim, ClaimStatus)>,
    /// Whether the record regards this incarnation as closed, after which it
    /// grants nothing to it.
    pub closed: bool,
    /// Which choice of witnesses the record names; 0 if none.
    pub witness_set_version: u64,
}
