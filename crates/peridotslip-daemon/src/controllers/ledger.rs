//! Money in this router: grants, reservations, claims and settlements.
//!
//! One actor for each ledger shard holds a [`LocalLedger`] and exchanges reports
//! with the shard's record over a [`LedgerTransport`]. Exchanges of a shard follow
//! one another, and what gathers during one goes together in the next.

mod direct;
mod layout;
mod recall;
mod reclaim;
mod shard;
mod via_writer;
mod writer;

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use kameo::actor::ActorRef;
use peridotslip::{
    ledger::{Report, ReportReply},
    prelude::*,
    tables::{Budget, TableIndex},
};
use quick_error::quick_error;
use tokio::sync::oneshot;

use self::shard::{
    Cancel, ClaimKey, Close, Paid, RecallBudget, ReleaseClaim, ReserveTokens, Settle,
    ShardController,
};
pub(crate) use self::{
    direct::DirectTransport, recall::PeerRecall, reclaim::reclaim_ended_grants,
    via_writer::WriterTransport,
};
use crate::{
    controllers::replication::ReplicationHandle,
    metrics::Metrics,
    problem::{self, Rejection},
    settings::LedgerSettings,
};

/// When to come back if the ledger can't be reached, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// When to come back if a budget is used up, in seconds: a top-up is in force
/// everywhere by then.
const EXHAUSTED_RETRY_AFTER_S: u64 = 10;

quick_error! {
    /// Why reports could not be exchanged.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The record can't be read or written now.
        Unreachable(reason: String) {
            display("the ledger can't be reached ({reason}); it is tried again")
        }
        /// The store knows of another number of shards.
        Layout(mine: u16, theirs: String) {
            display("ledger.shards is {mine} here and {theirs} in the store; correct the settings, nothing is spent until then")
        }
    }
}

/// The result of an exchange.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// A way to a shard's record.
#[async_trait]
pub(crate) trait LedgerTransport: Send + Sync {
    /// Applies reports to the record and returns once the store holds the
    /// result. The reports may have been applied even if there is an error.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`].
    async fn exchange(&self, shard: u16, reports: Vec<Report>) -> Result<Vec<ReportReply>>;
}

/// A way to have other routers give idle grants back.
#[async_trait]
pub(crate) trait GrantRecall: Send + Sync {
    /// Asks these incarnations, or everyone if none is named, and returns
    /// once they have answered.
    async fn recall(&self, shard: u16, budget: BudgetName, holders: Vec<Incarnation>);
}

/// What every shard's controller works with.
#[derive(Clone)]
pub(crate) struct ShardContext {
    pub(crate) me: Incarnation,
    pub(crate) address: String,
    pub(crate) transport: Arc<dyn LedgerTransport>,
    pub(crate) recall: Arc<dyn GrantRecall>,
    pub(crate) replication: ReplicationHandle,
    pub(crate) metrics: Arc<Metrics>,
}

/// Tokens set aside for one request. Dropping it frees them.
pub(crate) struct ReservationGuard {
    shard: ActorRef<ShardController>,
    incarnation: Incarnation,
    reservation: Option<Reservation>,
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let cancel = Cancel {
                incarnation: self.incarnation,
                reservation,
            };
            let _ = self.shard.tell(cancel).try_send();
        }
    }
}

/// A settlement on its way to the store.
pub(crate) struct PendingSettlement {
    /// Hears of it once the store has the bill.
    pub(crate) durable: oneshot::Receiver<()>,
    /// Hears of it once another router keeps a copy.
    pub(crate) replicated: oneshot::Receiver<()>,
}

impl PendingSettlement {
    /// Returns once the bill can't be lost: the store has it, or a router in
    /// another data centre has a copy.
    pub(crate) async fn durable_or_replicated(self) {
        let heard = async |rx: oneshot::Receiver<()>| {
            if rx.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = heard(self.durable) => {}
            () = heard(self.replicated) => {}
        }
    }
}

/// Handles to all shards.
#[derive(Clone)]
pub(crate) struct LedgerHandle {
    shards: Arc<[ActorRef<ShardController>]>,
    wait: Duration,
}

impl LedgerHandle {
    /// Starts the controllers of all shards.
    pub(crate) fn spawn(settings: &LedgerSettings, context: &ShardContext) -> Self {
        let shards = (0..settings.shards)
            .map(|shard| ShardController::spawn(shard, settings, context.clone()))
            .collect();
        Self {
            shards,
            wait: Duration::from_millis(settings.refill_wait_ms),
        }
    }

    fn shard(&self, organisation: &OrganisationName) -> &ActorRef<ShardController> {
        let count = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
        &self.shards[usize::from(organisation.shard(count))]
    }

    /// Sets tokens aside, getting more from the record if need be.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if the budget is used up or the record can't be reached.
    pub(crate) async fn reserve(
        &self,
        organisation: &OrganisationName,
        budget: &Budget,
        tokens: u64,
    ) -> problem::Result<ReservationGuard> {
        let shard = self.shard(organisation);
        let (tx, rx) = oneshot::channel();
        let reserve = ReserveTokens {
            budget: budget.name.clone(),
            paid: budget.paid_tokens,
            tokens,
            wait: self.wait,
            tx,
        };
        let _ = shard.tell(reserve).await;
        let unavailable = || unavailable(Refusal::LedgerUnavailable);
        let (incarnation, reservation) = rx.await.unwrap_or_else(|_| Err(unavailable()))?;
        Ok(ReservationGuard {
            shard: shard.clone(),
            incarnation,
            reservation: Some(reservation),
        })
    }

    /// Claims a key, so that nobody else may run it.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if somebody else holds or held it, or if the claim is not
    /// certain to be recorded.
    pub(crate) async fn claim(
        &self,
        organisation: &OrganisationName,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> problem::Result<()> {
        let (tx, rx) = oneshot::channel();
        let claim = ClaimKey {
            key,
            fingerprint,
            tx,
        };
        let _ = self.shard(organisation).tell(claim).await;
        let Ok(Ok(Some(status))) = tokio::time::timeout(self.wait, rx).await else {
            return Err(Rejection::unknown(Refusal::LedgerUnavailable).retry_after(RETRY_AFTER_S));
        };
        match status {
            ClaimStatus::Granted => Ok(()),
            ClaimStatus::FingerprintMismatch => Err(Rejection::not_run(Refusal::KeyReused)),
            ClaimStatus::HeldByOther | ClaimStatus::Completed(Outcome::Unknown) => {
                Err(Rejection::unknown(Refusal::OutcomeUnknown))
            }
            ClaimStatus::Completed(Outcome::Ran(_)) => Err(Rejection {
                refusal: Refusal::AlreadyRan,
                execution: ExecutionStatus::Ran,
                retry_after_s: None,
            }),
            ClaimStatus::KeyLimitReached | ClaimStatus::Completed(Outcome::NotRun) => {
                Err(unavailable(Refusal::LedgerUnavailable))
            }
        }
    }

    /// Ends a reservation with its bill.
    pub(crate) async fn settle(
        &self,
        mut guard: ReservationGuard,
        bill: Bill,
    ) -> PendingSettlement {
        let (tx, durable) = oneshot::channel();
        let (replicated_tx, replicated) = oneshot::channel();
        if let Some(reservation) = guard.reservation.take() {
            let settle = Settle {
                incarnation: guard.incarnation,
                reservation,
                bill,
                tx,
                replicated_tx,
            };
            let _ = guard.shard.tell(settle).await;
        }
        PendingSettlement {
            durable,
            replicated,
        }
    }

    /// Gives a claim back whose work certainly never ran.
    pub(crate) async fn release_claim(
        &self,
        organisation: &OrganisationName,
        budget: &BudgetName,
        key: IdempotencyKey,
    ) {
        let budget = budget.clone();
        let _ = self
            .shard(organisation)
            .tell(ReleaseClaim { budget, key })
            .await;
    }

    /// Takes in the paid figures of new tables.
    pub(crate) async fn set_paid(&self, index: &TableIndex) {
        for budget in &index.tables().pools.budgets {
            let paid = Paid {
                budget: budget.name.clone(),
                paid: budget.paid_tokens,
            };
            let _ = self.shard(&budget.organisation).tell(paid).await;
        }
    }

    /// Gives back what is idle of a budget that is short elsewhere, and
    /// returns once the record knows.
    pub(crate) async fn recall(&self, shard: u16, budget: BudgetName) {
        let (tx, rx) = oneshot::channel();
        if let Some(shard) = self.shards.get(usize::from(shard)) {
            let _ = shard.tell(RecallBudget { budget, tx }).await;
            let _ = tokio::time::timeout(self.wait, rx).await;
        }
    }

    /// Gives everything back for good; `true` if nothing is left in doubt.
    pub(crate) async fn close(&self, limit: Duration) -> bool {
        let mut clean = true;
        for shard in self.shards.iter() {
            let (tx, rx) = oneshot::channel();
            let _ = shard.tell(Close { tx }).await;
            clean &= matches!(tokio::time::timeout(limit, rx).await, Ok(Ok(())));
        }
        clean
    }
}

fn unavailable(refusal: Refusal) -> Rejection {
    Rejection::not_run(refusal).retry_after(RETRY_AFTER_S)
}

fn exhausted() -> Rejection {
    Rejection::not_run(Refusal::BudgetExhausted).retry_after(EXHAUSTED_RETRY_AFTER_S)
}
