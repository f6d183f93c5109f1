//! The messages between a local ledger and a shard record.

use serde::{Deserialize, Serialize};

use crate::ids::{BudgetName, Fingerprint, IdempotencyKey, Incarnation};

/// The outcome of a request's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The work ran and the backend server responded with this HTTP status.
    Ran(u16),
    /// Nothing was sent to a backend server; a claim is released.
    NotRun,
    /// The work may have run.
    Unknown,
}

/// The cost of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The key under which the request is billed once; `None` if the caller
    /// sent no key, in which case no other router can bill the request.
    pub key: Option<IdempotencyKey>,
    /// Tokens used.
    pub tokens: u64,
    /// The outcome of the work.
    pub outcome: Outcome,
}

impl Bill {
    /// Creates a bill for work that ran and got the HTTP status 200.
    #[must_use]
    pub fn new(key: Option<IdempotencyKey>, tokens: u64) -> Self {
        Self {
            key,
            tokens,
            outcome: Outcome::Ran(200),
        }
    }
}

/// A bill with its number in the sequence of a local ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The sequence number within the incarnation and this shard, from 1.
    pub seq: u64,
    /// The budget that is billed.
    pub budget: BudgetName,
    /// The bill.
    pub bill: Bill,
    /// Tokens of the grant that the settlement consumes: the billed tokens and
    /// the unspent rest of a closed transfer, which becomes free again.
    pub consumed: u64,
}

/// Tokens of one local ledger's grant that another local ledger may spend.
///
/// The issuer counts the tokens as spent before it sends the transfer, and the
/// receiver settles the transfer once, under the issuer's sequence number. The
/// tokens of a lost transfer are never spent and never become free again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantTransfer {
    /// The local ledger whose grant the tokens are part of.
    pub issuer: Incarnation,
    /// The number of the transfer's settlement in the issuer's sequence.
    pub seq: u64,
    /// The budget of the tokens.
    pub budget: BudgetName,
    /// The number of tokens.
    pub tokens: u64,
}

/// A request for the exclusive right to run the work of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key to claim.
    pub key: IdempotencyKey,
    /// Distinguishes the attempts of one incarnation.
    pub attempt: u64,
    /// The fingerprint of the caller's request; a claim with another
    /// fingerprint is refused.
    pub fingerprint: Fingerprint,
}

/// The state of one budget in a local ledger. All amounts are cumulative
/// tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetReport {
    /// The budget.
    pub budget: BudgetName,
    /// The highest paid amount in the tables that this router has seen.
    pub paid: u64,
    /// The total grant that lets all waiting requests run.
    pub required_total: u64,
    /// The total grant below which no waiting request can run; a smaller grant
    /// would lie idle.
    pub min_useful_total: u64,
    /// The total grant that also covers the expected spending of the near
    /// future.
    pub desired_total: u64,
    /// The largest share of the free tokens that may be granted beyond
    /// `required_total`, in percent.
    pub prefetch_percent: u8,
    /// Total tokens returned unspent.
    pub returned: u64,
}

/// A message from a local ledger to a record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The incarnation whose ledger is reported.
    pub incarnation: Incarnation,
    /// The address of the incarnation; empty if another router reports in its
    /// name.
    pub address: String,
    /// The budgets that have changed.
    pub budgets: Vec<BudgetReport>,
    /// Settlements that no reply has confirmed.
    pub settlements: Vec<Settlement>,
    /// Claims that no reply has decided.
    pub claims: Vec<Claim>,
    /// Whether the incarnation has ended.
    pub closed: bool,
    /// The routers that record ceilings for the incarnation from now on; empty
    /// if none does or the set does not change.
    pub witnesses: Vec<Incarnation>,
    /// The version of the witness set, from 1, so that a late report does not
    /// restore an earlier set; 0 if the set does not change.
    pub witness_set_version: u64,
}

impl Report {
    /// Returns whether the report is empty: applying it changes no account,
    /// key or witness set of a record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
            && self.settlements.is_empty()
            && self.claims.is_empty()
            && self.witness_set_version == 0
            && !self.closed
    }
}

/// The status of a settlement in a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettlementStatus {
    /// Billed, by this or by an earlier delivery of the same settlement.
    Billed,
    /// The key had been billed already; the tokens are free again.
    Duplicate,
    /// The grant had been released, and the budget has too few free tokens.
    Unbillable,
}

impl SettlementStatus {
    /// Returns the label used in counters.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Billed => "bill-recorded",
            Self::Duplicate => "bill-duplicate",
            Self::Unbillable => "bill-unbillable",
        }
    }
}

/// The status of a claim in a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The claimant holds the claim and may send the work.
    Granted,
    /// Another incarnation or attempt holds the claim and no outcome is
    /// recorded, or the claimant's incarnation is closed.
    HeldByOther,
    /// The work is recorded with this outcome.
    Completed(Outcome),
    /// The key belongs to a request with another fingerprint.
    FingerprintMismatch,
    /// The record stores too many keys to add another; no incarnation holds
    /// the claim.
    KeyLimitReached,
}

/// A record's reply about one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The budget.
    pub budget: BudgetName,
    /// The highest paid amount recorded, in tokens.
    pub paid: u64,
    /// Total tokens granted to the incarnation.
    pub granted: u64,
    /// Total tokens returned by the incarnation, as recorded.
    pub returned: u64,
    /// Tokens that are neither granted nor settled.
    pub free: u64,
    /// Outstanding tokens of other local ledgers.
    pub held_by_others: u64,
    /// The local ledgers with the largest outstanding grants, the largest
    /// first; empty unless `recall` is set.
    pub holders: Vec<Incarnation>,
    /// Whether a local ledger recently required more tokens than were free, so
    /// that idle grants should be returned.
    pub recall: bool,
}

/// A record's reply to a report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// The incarnation of the report.
    pub incarnation: Incarnation,
    /// Replies about the report's budgets, in the order of the report.
    pub grants: Vec<GrantReply>,
    /// Statuses of settlements, by sequence number.
    pub settled: Vec<(u64, SettlementStatus)>,
    /// Statuses of claims, in the order of the report.
    pub claims: Vec<(Claim, ClaimStatus)>,
    /// Whether the record has closed this incarnation and grants nothing more
    /// to it.
    pub closed: bool,
    /// The version of the witness set that the record names; 0 if it names
    /// none.
    pub witness_set_version: u64,
}
