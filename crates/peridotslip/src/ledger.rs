//! Prepaid budgets: accounts, grants, settlements and claims.
//!
//! [`ShardRecord`] is the durable state in the store and [`LocalLedger`] the
//! state of one router process. A router sends a [`Report`], and the record
//! replies with a [`ReportReply`]. Every exchanged figure is cumulative or
//! carries a sequence number, so a report that is applied twice, late or out
//! of order does not change what has already been applied. The invariants:
//!
//! - `settled + outstanding grants <= paid` holds in every record.
//! - A local ledger reserves at most the tokens that its accepted replies and
//!   received transfers grant.
//! - The sequence number of a settlement is applied once, and its idempotency
//!   key is billed once.
//! - A claim has one holder.
//!
//! Writers need no lease: any router may apply a report, because the store's
//! compare-and-swap orders the versions of a record.

use quick_error::quick_error;

mod account;
mod ceiling;
mod durable_grant;
mod local_ledger;
mod reconcile;
mod record;
mod remote_reservations;
mod report;
mod usage;

pub use self::account::{Account, Grant};
pub use self::ceiling::{WitnessSets, WitnessedCeilings};
pub use self::durable_grant::DurableGrant;
pub use self::local_ledger::{LocalLedger, RefillPolicy, ReplySummary, Reservation, ReserveResult};
pub use self::reconcile::{EndedBound, Holding};
pub use self::record::{GrantHolder, KeyEntry, KeyState, ShardRecord};
pub use self::remote_reservations::{
    OpenReservations, RemoteReservations, RequestedReservations, SettlementBatch,
};
pub use self::report::{
    Bill, BudgetReport, Claim, ClaimStatus, GrantReply, GrantTransfer, Outcome, Report,
    ReportReply, Settlement, SettlementStatus,
};
pub use self::usage::RequestUsage;

quick_error! {
    /// An error of the ledger.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The bytes do not decode to a record.
        Corrupt {
            display("the ledger record can't be read; restore the key from the store's history")
        }
    }
}

/// The result of a ledger operation.
pub type Result<T> = std::result::Result<T, Error>;
