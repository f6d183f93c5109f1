//! The controller of one ledger shard.

mod messages;
mod pending;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use peridotslip::{
    ledger::{Claim, LocalLedger, Report, ReportReply},
    prelude::*,
    replication::{SettlementId, SettlementReplica},
};
use tokio::sync::oneshot;
use uuid::Uuid;

pub(crate) use self::messages::{
    CancelReservation, ClaimKey, CloseLedger, RaisePaid, RecallBudget, ReleaseClaim, ReserveTokens,
    SettleReservation,
};
use self::{
    messages::{ExchangeDue, ExchangeFinished, RecallFinished},
    pending::{BudgetAvailability, PendingReservation, RefillStage},
};
use super::ShardContext;
use crate::{clock, metrics::Metrics, settings::LedgerSettings};

/// Interval of the periodic exchange, which also returns idle grants, in
/// milliseconds.
const HOUSEKEEPING_MS: u64 = 1_000;
/// Pause between two exchanges while reservations wait for tokens that other
/// routers are returning, in milliseconds.
const RECALL_PAUSE_MS: u64 = 100;
/// Pause after a failed exchange, in milliseconds.
const RETRY_MS: u64 = 200;

/// Holds a shard's local ledger and exchanges its reports with the record, one
/// exchange at a time.
#[derive(Actor)]
pub(crate) struct ShardController {
    shard: u16,
    context: ShardContext,
    metrics: Arc<Metrics>,
    group_commit_interval: Duration,
    ledger: LocalLedger,
    /// Local ledgers that the record has closed, until their settlements are
    /// confirmed and none of their reservations is open.
    retired: Vec<LocalLedger>,
    pending: VecDeque<PendingReservation>,
    /// Unconfirmed claims, by idempotency key and attempt.
    claims: HashMap<(IdempotencyKey, u64), oneshot::Sender<Option<ClaimStatus>>>,
    /// Settlements that the record has not confirmed, by incarnation and
    /// sequence number.
    unconfirmed_settlements: HashMap<(Incarnation, u64), oneshot::Sender<()>>,
    /// Budgets with a recall from other routers in progress.
    recalls_in_progress: HashSet<BudgetName>,
    /// The last reported availability of each budget.
    availability: HashMap<BudgetName, BudgetAvailability>,
    /// Recalls by peers whose idle grants are not in a report yet.
    recall_waiters: Vec<oneshot::Sender<()>>,
    /// Recalls by peers whose idle grants are in the reports of the exchange
    /// in flight.
    recall_waiters_in_exchange: Vec<oneshot::Sender<()>>,
    /// Complete once the record has closed the current incarnation.
    close_waiters: Vec<oneshot::Sender<()>>,
    exchange_in_flight: bool,
    exchange_scheduled: bool,
    /// The attempt number of the last claim.
    last_attempt: u64,
    /// This shard's share of the gauge of reserved tokens.
    reported_reserved: u64,
}

impl ShardController {
    pub(super) fn spawn(
        shard: u16,
        settings: &LedgerSettings,
        context: ShardContext,
    ) -> ActorRef<Self> {
        let controller = Self {
            shard,
            metrics: context.metrics.clone(),
            group_commit_interval: Duration::from_millis(settings.group_ms),
            ledger: LocalLedger::new(context.incarnation).with_address(&context.address),
            context,
            retired: Vec::new(),
            pending: VecDeque::new(),
            claims: HashMap::new(),
            unconfirmed_settlements: HashMap::new(),
            recalls_in_progress: HashSet::new(),
            availability: HashMap::new(),
            recall_waiters: Vec::new(),
            recall_waiters_in_exchange: Vec::new(),
            close_waiters: Vec::new(),
            exchange_in_flight: false,
            exchange_scheduled: false,
            last_attempt: 0,
            reported_reserved: 0,
        };
        let actor = Spawn::spawn_with_mailbox(controller, mailbox::unbounded());
        let weak = actor.downgrade();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(HOUSEKEEPING_MS)).await;
                let Some(actor) = weak.upgrade() else { return };
                if actor.tell(ExchangeDue).await.is_err() {
                    return;
                }
            }
        });
        actor
    }

    /// Returns the local ledger of an incarnation, current or retired.
    fn ledger_of(&mut self, incarnation: Incarnation) -> Option<&mut LocalLedger> {
        std::iter::once(&mut self.ledger)
            .chain(&mut self.retired)
            .find(|ledger| ledger.incarnation() == incarnation)
    }

    /// Starts an exchange unless one is in flight.
    fn start_exchange(&mut self, actor_ref: &ActorRef<Self>) {
        if self.exchange_in_flight {
            return;
        }
        let now_ms = clock::monotonic_ms();
        let reports: Vec<Report> = std::iter::once(&mut self.ledger)
            .chain(&mut self.retired)
            .map(|ledger| ledger.report(now_ms))
            .filter(|report| !report.is_empty())
            .collect();
        if reports.is_empty() {
            self.confirm_recalls();
            return;
        }
        self.exchange_in_flight = true;
        for pending in &mut self.pending {
            if pending.stage == RefillStage::New {
                pending.stage = RefillStage::Reported;
            }
        }
        self.recall_waiters_in_exchange
            .append(&mut self.recall_waiters);
        let (transport, shard, actor_ref) = (
            self.context.transport.clone(),
            self.shard,
            actor_ref.clone(),
        );
        tokio::spawn(async move {
            let result = transport.exchange(shard, reports).await;
            let _ = actor_ref.tell(ExchangeFinished(result)).await;
        });
    }

    /// Starts the next exchange if claims, a close or new pending reservations
    /// wait for it. Otherwise schedules one, sooner for pending reservations
    /// than for settlements.
    fn schedule_exchange(&mut self, actor_ref: &ActorRef<Self>) {
        let unreported = |pending: &PendingReservation| pending.stage == RefillStage::New;
        let urgent = !self.claims.is_empty()
            || !self.close_waiters.is_empty()
            || self.pending.iter().any(unreported);
        if urgent {
            self.start_exchange(actor_ref);
        } else if !self.pending.is_empty() {
            self.exchange_after(actor_ref, Duration::from_millis(RECALL_PAUSE_MS));
        } else if !self.unconfirmed_settlements.is_empty() {
            self.exchange_after(actor_ref, self.group_commit_interval);
        }
    }

    /// Starts an exchange after `pause`, unless one is already scheduled.
    fn exchange_after(&mut self, actor_ref: &ActorRef<Self>, pause: Duration) {
        if self.exchange_scheduled {
            return;
        }
        self.exchange_scheduled = true;
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let _ = actor_ref.tell(ExchangeDue).await;
        });
    }

    /// Completes all recalls by peers.
    fn confirm_recalls(&mut self) {
        for tx in self
            .recall_waiters
            .drain(..)
            .chain(self.recall_waiters_in_exchange.drain(..))
        {
            let _ = tx.send(());
        }
    }

    /// Applies the replies of an exchange and completes the operations that
    /// they confirm. If another router has closed the current incarnation, the
    /// shard continues with a new one.
    fn apply_replies(&mut self, replies: &[ReportReply], actor_ref: &ActorRef<Self>) {
        let mut retire = false;
        for reply in replies {
            let Some(ledger) = self.ledger_of(reply.incarnation) else {
                continue;
            };
            let incarnation = ledger.incarnation();
            let summary = ledger.accept(reply);
            for (seq, status) in summary.settled {
                self.metrics.event(status.as_str(), 1);
                self.context.replication.mark_durable(SettlementId {
                    shard: self.shard,
                    incarnation,
                    seq,
                });
                if let Some(tx) = self.unconfirmed_settlements.remove(&(incarnation, seq)) {
                    self.metrics.gauges.unconfirmed_settlements.sub(1);
                    let _ = tx.send(());
                }
            }
            for (claim, status) in summary.claims {
                if let Some(tx) = self.claims.remove(&(claim.key, claim.attempt)) {
                    let _ = tx.send(Some(status));
                }
            }
            for grant in &reply.grants {
                self.metrics.event("grant", 1);
                let availability = BudgetAvailability {
                    free: grant.free,
                    held_by_others: grant.held_by_others,
                    holders: grant.holders.clone(),
                };
                self.availability.insert(grant.budget.clone(), availability);
            }
            retire |= reply.closed && incarnation == self.ledger.incarnation();
        }
        // During a graceful shutdown, the closed incarnation is the expected result.
        if retire && self.close_waiters.is_empty() {
            self.metrics.event("incarnation-closed-by-others", 1);
            log::error!(shard = self.shard; "another router closed this incarnation; its grants are void and a new incarnation starts");
            let next = Incarnation::from(Uuid::now_v7().as_u128());
            let new_ledger = LocalLedger::new(next).with_address(&self.context.address);
            let old = std::mem::replace(&mut self.ledger, new_ledger);
            self.retired.push(old);
        }
        self.retired.retain(|ledger| !ledger.is_settled());
        self.retry_pending(actor_ref);
    }

    /// Applies this shard's change to the gauge that all shards share.
    fn update_gauges(&mut self) {
        let gauge = &self.metrics.gauges.reserved_tokens;
        let reserved = self.ledger.reserved();
        gauge.add(reserved.saturating_sub(self.reported_reserved));
        gauge.sub(self.reported_reserved.saturating_sub(reserved));
        self.reported_reserved = reserved;
    }
}

impl Message<ReserveTokens> for ShardController {
    type Reply = ();

    async fn handle(&mut self, request: ReserveTokens, cx: &mut Context<Self, ()>) {
        self.ledger.set_paid(&request.budget, request.paid);
        let now_ms = clock::monotonic_ms();
        match self.ledger.reserve(&request.budget, request.tokens, now_ms) {
            ReserveResult::Reserved(reservation) => {
                let budget = request.budget.clone();
                self.deliver(request, reservation);
                // Requests a grant before the spendable tokens are used up.
                if self.ledger.is_low(&budget) {
                    self.start_exchange(cx.actor_ref());
                }
            }
            ReserveResult::Insufficient | ReserveResult::CeilingTooLow(_) => {
                self.pending.push_back(PendingReservation {
                    request,
                    since: Instant::now(),
                    stage: RefillStage::New,
                });
                self.start_exchange(cx.actor_ref());
            }
        }
    }
}

impl Message<ClaimKey> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: ClaimKey, cx: &mut Context<Self, ()>) {
        self.last_attempt += 1;
        let claim = Claim {
            key: msg.key,
            attempt: self.last_attempt,
            fingerprint: msg.fingerprint,
        };
        self.claims.insert((claim.key, claim.attempt), msg.tx);
        self.ledger.claim(claim);
        self.start_exchange(cx.actor_ref());
    }
}

impl Message<SettleReservation> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: SettleReservation, cx: &mut Context<Self, ()>) {
        let Some(ledger) = self.ledger_of(msg.incarnation) else {
            return;
        };
        let seq = ledger.settle(msg.reservation, msg.bill, clock::monotonic_ms());
        let incarnation = msg.incarnation;
        if let Some(settlement) = ledger.unconfirmed_settlement(seq).cloned() {
            let shard = self.shard;
            let id = SettlementId {
                shard,
                incarnation,
                seq,
            };
            self.context
                .replication
                .replicate(SettlementReplica { id, settlement }, msg.replicated_tx);
        }
        self.unconfirmed_settlements
            .insert((msg.incarnation, seq), msg.tx);
        self.metrics.gauges.unconfirmed_settlements.add(1);
        self.exchange_after(cx.actor_ref(), self.group_commit_interval);
    }
}

impl Message<ReleaseClaim> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: ReleaseClaim, cx: &mut Context<Self, ()>) {
        self.ledger.release_claim(&msg.budget, msg.key);
        self.exchange_after(cx.actor_ref(), self.group_commit_interval);
    }
}

impl Message<CancelReservation> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: CancelReservation, _: &mut Context<Self, ()>) {
        if let Some(ledger) = self.ledger_of(msg.incarnation) {
            ledger.cancel(msg.reservation);
        }
    }
}

impl Message<RaisePaid> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: RaisePaid, _: &mut Context<Self, ()>) {
        self.ledger.raise_paid(&msg.budget, msg.paid);
    }
}

impl Message<RecallBudget> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: RecallBudget, cx: &mut Context<Self, ()>) {
        self.ledger.recall(&msg.budget);
        self.recall_waiters.push(msg.tx);
        self.start_exchange(cx.actor_ref());
    }
}

impl Message<CloseLedger> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: CloseLedger, cx: &mut Context<Self, ()>) {
        // An unused ledger has nothing in the record to close.
        if self.ledger.is_unused() {
            let _ = msg.tx.send(());
            return;
        }
        self.ledger.close();
        self.close_waiters.push(msg.tx);
        self.start_exchange(cx.actor_ref());
    }
}

impl Message<ExchangeDue> for ShardController {
    type Reply = ();

    async fn handle(&mut self, _: ExchangeDue, cx: &mut Context<Self, ()>) {
        self.exchange_scheduled = false;
        self.update_gauges();
        self.start_exchange(cx.actor_ref());
    }
}

impl Message<RecallFinished> for ShardController {
    type Reply = ();

    async fn handle(&mut self, RecallFinished(budget): RecallFinished, cx: &mut Context<Self, ()>) {
        self.recalls_in_progress.remove(&budget);
        for pending in &mut self.pending {
            let same = pending.request.budget == budget;
            if same && pending.stage == RefillStage::Recalling {
                pending.stage = RefillStage::Recalled;
            }
        }
        self.start_exchange(cx.actor_ref());
    }
}

impl Message<ExchangeFinished> for ShardController {
    type Reply = ();

    async fn handle(
        &mut self,
        ExchangeFinished(result): ExchangeFinished,
        cx: &mut Context<Self, ()>,
    ) {
        self.exchange_in_flight = false;
        match result {
            Ok(replies) => {
                self.apply_replies(&replies, cx.actor_ref());
                self.confirm_recalls();
                if self.ledger.is_closed() {
                    for tx in self.close_waiters.drain(..) {
                        let _ = tx.send(());
                    }
                } else {
                    self.schedule_exchange(cx.actor_ref());
                }
            }
            Err(err) => {
                log::warn!(shard = self.shard; "exchange of ledger reports failed; rejecting the requests that wait for it: {err}");
                self.metrics.event("exchange-failed", 1);
                self.fail_pending();
                self.exchange_after(cx.actor_ref(), Duration::from_millis(RETRY_MS));
            }
        }
    }
}
