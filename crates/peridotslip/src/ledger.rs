//! Money: accounts, grants, settlements and claims.
//!
//! [`ShardRecord`] is the durable side and [`LocalLedger`] the router's side. They
//! exchange a [`Report`] and a [`ReportReply`]. Every figure that is
//! exchanged is cumulative or carries a sequence number, so applying a report
//! twice, late or out of order changes nothing that was already applied:
//!
//! - `settled + outstanding grants <= paid` holds in every record.
//! - a local ledger reserves at most what its accepted replies granted.
//! - a settlement's sequence number is applied once, and its request key is
//!   billed once.
//! - a claim has one holder.
//!
//! Writers need no lease for this: any router may apply a report, because the
//! store's compare-and-swap orders the records.

use quick_error::quick_error;

mod account;
mod ceiling;
mod local_ledger;
mod record;
mod report;

pub use self::account::{Account, Grant};
pub use self::ceiling::{WitnessSets, WitnessedCeilings};
pub use self::local_ledger::{LocalLedger, RefillPolicy, ReplySummary, Reservation, ReserveResult};
pub use self::record::{GrantHolder, KeyEntry, KeyState, ShardRecord};
pub use self::report::{
    Bill, BudgetReport, Claim, ClaimStatus, GrantReply, GrantTransfer, Outcome, Report,
    ReportReply, Settlement, SettlementStatus,
};

quick_error! {
    /// A ledger error.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The bytes of a record are not a record.
        Corrupt {
            display("the ledger record can't be read; restore the key from the store's history")
        }
    }
}

/// The result of a ledger operation.
pub type Result<T> = std::result::Result<T, Error>;
