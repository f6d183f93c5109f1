//! What a shard's controller is told.

use std::time::Duration;

use peridotslip::{ledger::ReportReply, prelude::*};
use tokio::sync::oneshot;

use super::super::Result;
use crate::problem;

/// Sets tokens aside, looking for more if need be.
pub(crate) struct ReserveTokens {
    pub(crate) budget: BudgetName,
    pub(crate) paid: u64,
    pub(crate) tokens: u64,
    pub(crate) wait: Duration,
    pub(crate) tx: oneshot::Sender<problem::Result<(Incarnation, Reservation)>>,
}

/// Claims a key; `None` comes back if the claim is not certain.
pub(crate) struct ClaimKey {
    pub(crate) key: IdempotencyKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) tx: oneshot::Sender<Option<ClaimStatus>>,
}

/// Ends a reservation with its bill.
pub(crate) struct Settle {
    pub(crate) incarnation: Incarnation,
    pub(crate) reservation: Reservation,
    pub(crate) bill: Bill,
    pub(crate) tx: oneshot::Sender<()>,
    pub(crate) replicated_tx: oneshot::Sender<()>,
}

/// Gives a claim back.
pub(crate) struct ReleaseClaim {
    pub(crate) budget: BudgetName,
    pub(crate) key: IdempotencyKey,
}

/// Ends a reservation without a bill.
pub(crate) struct Cancel {
    pub(crate) incarnation: Incarnation,
    pub(crate) reservation: Reservation,
}

/// Notes what has been paid.
pub(crate) struct Paid {
    pub(crate) budget: BudgetName,
    pub(crate) paid: u64,
}

/// Gives back what is idle of a budget.
pub(crate) struct RecallBudget {
    pub(crate) budget: BudgetName,
    pub(crate) tx: oneshot::Sender<()>,
}

/// Gives everything back for good.
pub(crate) struct Close {
    pub(crate) tx: oneshot::Sender<()>,
}

/// Time to look whether an exchange is due.
pub(super) struct Due;

/// An exchange has ended.
pub(super) struct Exchanged(pub(super) Result<Vec<ReportReply>>);

/// Other routers have given back what they held idle of a budget.
pub(super) struct Recalled(pub(super) BudgetName);
