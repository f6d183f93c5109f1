//! Accounting of this router: grants, reservations, claims and settlements.
//!
//! A shard's record in the store accounts for the shard's budgets on all
//! routers. On each router, one actor per shard holds a [`LocalLedger`] and
//! exchanges reports for replies with the record over a [`LedgerTransport`]. A
//! shard has at most one exchange in flight; changes made during an exchange
//! are batched into the next one.

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
    CancelReservation, ClaimKey, CloseLedger, RaisePaid, RecallBudget, ReleaseClaim, ReserveTokens,
    SettleReservation, ShardController,
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

/// `Retry-After` while the ledger is unreachable, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// `Retry-After` for an exhausted budget, in seconds: long enough for a top-up
/// to become active on all routers.
const EXHAUSTED_RETRY_AFTER_S: u64 = 10;

quick_error! {
    /// Why reports could not be exchanged.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The record can't be read or written at the moment.
        Unreachable(reason: String) {
            display("the ledger is unreachable ({reason}); the exchange is retried")
        }
        /// The settings and the store have different numbers of shards.
        ShardCountMismatch(local: u16, stored: String) {
            display("ledger.shards is {local} in the settings and {stored} in the store; correct the settings, no tokens are spent until then")
        }
    }
}

/// The result of an exchange.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// A transport of reports to a shard's record.
#[async_trait]
pub(crate) trait LedgerTransport: Send + Sync {
    /// Applies reports to the record and returns once the store holds the
    /// result. The reports may have been applied even if there is an error.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] if the record can't be read or written,
    /// and [`Error::ShardCountMismatch`] if the store has another number of
    /// shards.
    async fn exchange(&self, shard: u16, reports: Vec<Report>) -> Result<Vec<ReportReply>>;
}

/// Recalls idle grants from other routers.
#[async_trait]
pub(crate) trait GrantRecall: Send + Sync {
    /// Sends a recall to the given incarnations, or to all live peers if none
    /// of them is live, and returns once each call has ended.
    async fn recall(&self, shard: u16, budget: BudgetName, holders: Vec<Incarnation>);
}

/// Dependencies shared by the controllers of all shards.
#[derive(Clone)]
pub(crate) struct ShardContext {
    pub(crate) incarnation: Incarnation,
    pub(crate) address: String,
    pub(crate) transport: Arc<dyn LedgerTransport>,
    pub(crate) recall: Arc<dyn GrantRecall>,
    pub(crate) replication: ReplicationHandle,
    pub(crate) metrics: Arc<Metrics>,
}

/// Tokens reserved for one request. Dropping the guard cancels the
/// reservation.
pub(crate) struct ReservationGuard {
    shard: ActorRef<ShardController>,
    incarnation: Incarnation,
    reservation: Option<Reservation>,
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let cancel = CancelReservation {
                incarnation: self.incarnation,
                reservation,
            };
            let _ = self.shard.tell(cancel).try_send();
        }
    }
}

/// A settlement that is being written to the store.
pub(crate) struct PendingSettlement {
    /// Completes once the record in the store has the bill.
    pub(crate) durable: oneshot::Receiver<()>,
    /// Completes once another router stores a replica.
    pub(crate) replicated: oneshot::Receiver<()>,
}

impl PendingSettlement {
    /// Returns once the bill survives the loss of this router: the store has
    /// it, or another router, in another data centre where possible, has a
    /// replica.
    pub(crate) async fn durable_or_replicated(self) {
        let completed = async |rx: oneshot::Receiver<()>| {
            if rx.await.is_err() {
                // A dropped sender confirms nothing.
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = completed(self.durable) => {}
            () = completed(self.replicated) => {}
        }
    }
}

/// Handles to the controllers of all shards.
#[derive(Clone)]
pub(crate) struct LedgerHandle {
    shards: Arc<[ActorRef<ShardController>]>,
    /// Longest wait for the record's reply to a reservation, claim or recall.
    refill_wait: Duration,
}

impl LedgerHandle {
    /// Starts the controllers of all shards.
    pub(crate) fn spawn(settings: &LedgerSettings, context: &ShardContext) -> Self {
        let shards = (0..settings.shards)
            .map(|shard| ShardController::spawn(shard, settings, context.clone()))
            .collect();
        Self {
            shards,
            refill_wait: Duration::from_millis(settings.refill_wait_ms),
        }
    }

    fn shard(&self, organisation: &OrganisationName) -> &ActorRef<ShardController> {
        let count = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
        &self.shards[usize::from(organisation.shard(count))]
    }

    /// Reserves tokens, requesting a grant from the record if too few are
    /// available.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the budget is exhausted or the record is
    /// unreachable.
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
            wait: self.refill_wait,
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

    /// Claims an idempotency key, so that no other request with the key is
    /// executed.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if another request holds or held the key, or if
    /// the claim is not certain to be recorded.
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
        let Ok(Ok(Some(status))) = tokio::time::timeout(self.refill_wait, rx).await else {
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

    /// Ends a reservation and records its bill in the shard's record.
    pub(crate) async fn settle(
        &self,
        mut guard: ReservationGuard,
        bill: Bill,
    ) -> PendingSettlement {
        let (tx, durable) = oneshot::channel();
        let (replicated_tx, replicated) = oneshot::channel();
        if let Some(reservation) = guard.reservation.take() {
            let settle = SettleReservation {
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

    /// Releases the claim of a request that was certainly not executed.
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

    /// Applies the paid amounts of newly activated tables.
    pub(crate) async fn set_paid(&self, index: &TableIndex) {
        for budget in &index.tables().pools.budgets {
            let paid = RaisePaid {
                budget: budget.name.clone(),
                paid: budget.paid_tokens,
            };
            let _ = self.shard(&budget.organisation).tell(paid).await;
        }
    }

    /// Gives this router's idle grants of a budget back to the record, because
    /// another router is short of tokens. Completes after an exchange, or once
    /// the refill wait has passed.
    pub(crate) async fn recall(&self, shard: u16, budget: BudgetName) {
        let (tx, rx) = oneshot::channel();
        if let Some(shard) = self.shards.get(usize::from(shard)) {
            let _ = shard.tell(RecallBudget { budget, tx }).await;
            let _ = tokio::time::timeout(self.refill_wait, rx).await;
        }
    }

    /// Closes all local ledgers, which gives their grants back to the record.
    /// Returns `true` if the record confirmed this for each shard within
    /// `limit`, so that no grant remains in doubt.
    pub(crate) async fn close(&self, limit: Duration) -> bool {
        let mut clean = true;
        for shard in self.shards.iter() {
            let (tx, rx) = oneshot::channel();
            let _ = shard.tell(CloseLedger { tx }).await;
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
