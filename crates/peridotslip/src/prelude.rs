//! The types that most embedders need, for one `use`.

pub use crate::balance::{Candidate, Policy};
pub use crate::config::{Manifest, Page};
pub use crate::dedupe::{DedupeDecision, DedupeTable};
pub use crate::ids::{
    BudgetName, Fingerprint, IdempotencyKey, Incarnation, OrganisationName, PoolName, Revision,
    RouteName,
};
pub use crate::ledger::{
    Bill, ClaimStatus, LocalLedger, Outcome, Report, ReportReply, Reservation, ReserveResult,
    ShardRecord,
};
pub use crate::refusal::{ExecutionStatus, Refusal, RetryReason};
pub use crate::tables::{DeadlineClass, Pool, PoolKind, PoolTable, Route, RouteTable, Tables};
