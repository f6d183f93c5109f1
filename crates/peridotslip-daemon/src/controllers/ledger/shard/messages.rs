//! The messages of a shard's controller.

use std::time::Duration;

use peridotslip::{ledger::ReportReply, prelude::*};
use tokio::sync::oneshot;

use super::super::Result;
use crate::problem;

/// Reserves tokens, waiting up to `wait` for a grant if too few are available.
pub(crate) struct ReserveTokens {
    pub(crate) budget: BudgetName,
    /// The cumulative paid amount of the budget, in tokens.
    pub(crate) paid: u64,
    pub(crate) tokens: u64,
    pub(crate) wait: Duration,
    pub(crate) tx: oneshot::Sender<problem::Result<(Incarnation, Reservation)>>,
}

/// Claims an idempotency key; the result is `None` if the claim is not certain
/// to be recorded.
pub(crate) struct ClaimKey {
    pub(crate) key: IdempotencyKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) tx: oneshot::Sender<Option<ClaimStatus>>,
}

/// Ends a reservation and records its bill. `tx` completes once the record has
/// the bill, `replicated_tx` once another router stores a replica.
pub(crate) struct SettleReservation {
    pub(crate) incarnation: Incarnation,
    pub(crate) reservation: Reservation,
    pub(crate) bill: Bill,
    pub(crate) tx: oneshot::Sender<()>,
    pub(crate) replicated_tx: oneshot::Sender<()>,
}

/// Releases the claim of a request that was certainly not executed.
pub(crate) struct ReleaseClaim {
    pub(crate) budget: BudgetName,
    pub(crate) key: IdempotencyKey,
}

/// Ends a reservation without a bill.
pub(crate) struct CancelReservation {
    pub(crate) incarnation: Incarnation,
    pub(crate) reservation: Reservation,
}

/// Raises the paid amount of a budget that this router has used.
pub(crate) struct RaisePaid {
    pub(crate) budget: BudgetName,
    pub(crate) paid: u64,
}

/// Gives the idle grants of a budget back to the record; `tx` completes after
/// an exchange.
pub(crate) struct RecallBudget {
    pub(crate) budget: BudgetName,
    pub(crate) tx: oneshot::Sender<()>,
}

/// Closes the local ledger, which gives all its grants back to the record;
/// `tx` completes once the record confirms this.
pub(crate) struct CloseLedger {
    pub(crate) tx: oneshot::Sender<()>,
}

/// Starts an exchange if there is anything to report.
pub(super) struct ExchangeDue;

/// An exchange has ended with this result.
pub(super) struct ExchangeFinished(pub(super) Result<Vec<ReportReply>>);

/// The recall of a budget's idle grants from other routers has ended.
pub(super) struct RecallFinished(pub(super) BudgetName);
