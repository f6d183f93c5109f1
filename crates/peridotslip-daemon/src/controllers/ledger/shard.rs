//! The controller of one ledger shard.

mod messages;
mod waiting;

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
    Cancel, ClaimKey, Close, Paid, RecallBudget, ReleaseClaim, ReserveTokens, Settle,
};
use self::{
    messages::{Due, Exchanged, Recalled},
    waiting::{Stage, Told, Waiting},
};
use super::ShardContext;
use crate::{clock, metrics::Metrics, settings::LedgerSettings};

/// How often idle grants are looked at, in milliseconds.
const HOUSEKEEPING_MS: u64 = 1_000;
/// Pause between two exchanges while requests wait for tokens that other
/// routers are giving back, in milliseconds.
const RECALL_PAUSE_MS: u64 = 100;
/// Pause after a failed exchange, in milliseconds.
const RETRY_MS: u64 = 200;

/// Holds a local ledger and exchanges its reports, one exchange at a time.
#[derive(Actor)]
pub(crate) struct ShardController {
    shard: u16,
    context: ShardContext,
    metrics: Arc<Metrics>,
    group: Duration,
    ledger: LocalLedger,
    /// Local ledgers that the record has closed, until their settlements are in.
    retired: Vec<LocalLedger>,
    waiting: VecDeque<Waiting>,
    claims: HashMap<(IdempotencyKey, u64), oneshot::Sender<Option<ClaimStatus>>>,
    settling: HashMap<(Incarnation, u64), oneshot::Sender<()>>,
    /// Budgets that are being recalled from other routers.
    recalling: HashSet<BudgetName>,
    /// What the record last said of budgets.
    told: HashMap<BudgetName, Told>,
    recalls: Vec<oneshot::Sender<()>>,
    recalls_in_exchange: Vec<oneshot::Sender<()>>,
    closing: Vec<oneshot::Sender<()>>,
    exchanging: bool,
    due: bool,
    last_attempt: u64,
    /// What this shard has added to the figure of reserved tokens.
    shown_reserved: u64,
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
            group: Duration::from_millis(settings.group_ms),
            ledger: LocalLedger::new(context.me).with_address(&context.address),
            context,
            retired: Vec::new(),
            waiting: VecDeque::new(),
            claims: HashMap::new(),
            settling: HashMap::new(),
            recalling: HashSet::new(),
            told: HashMap::new(),
            recalls: Vec::new(),
            recalls_in_exchange: Vec::new(),
            closing: Vec::new(),
            exchanging: false,
            due: false,
            last_attempt: 0,
            shown_reserved: 0,
        };
        let actor = Spawn::spawn_with_mailbox(controller, mailbox::unbounded());
        let weak = actor.downgrade();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(HOUSEKEEPING_MS)).await;
                let Some(actor) = weak.upgrade() else { return };
                if actor.tell(Due).await.is_err() {
                    return;
                }
            }
        });
        actor
    }

    fn ledger_of(&mut self, incarnation: Incarnation) -> Option<&mut LocalLedger> {
        std::iter::once(&mut self.ledger)
            .chain(&mut self.retired)
            .find(|ledger| ledger.incarnation() == incarnation)
    }

    /// Starts an exchange unless one is under way.
    fn exchange(&mut self, me: &ActorRef<Self>) {
        if self.exchanging {
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
        self.exchanging = true;
        for waiting in &mut self.waiting {
            if waiting.stage == Stage::New {
                waiting.stage = Stage::Asked;
            }
        }
        self.recalls_in_exchange.append(&mut self.recalls);
        let (transport, shard, me) = (self.context.transport.clone(), self.shard, me.clone());
        tokio::spawn(async move {
            let result = transport.exchange(shard, reports).await;
            let _ = me.tell(Exchanged(result)).await;
        });
    }

    /// Starts or plans the next exchange, as what is outstanding needs it.
    fn go_on(&mut self, me: &ActorRef<Self>) {
        let new = |waiting: &Waiting| waiting.stage == Stage::New;
        let urgent =
            !self.claims.is_empty() || !self.closing.is_empty() || self.waiting.iter().any(new);
        if urgent {
            self.exchange(me);
        } else if !self.waiting.is_empty() {
            self.exchange_after(me, Duration::from_millis(RECALL_PAUSE_MS));
        } else if !self.settling.is_empty() {
            self.exchange_after(me, self.group);
        }
    }

    /// Starts an exchange after `pause`, unless one is planned already.
    fn exchange_after(&mut self, me: &ActorRef<Self>, pause: Duration) {
        if self.due {
            return;
        }
        self.due = true;
        let me = me.clone();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let _ = me.tell(Due).await;
        });
    }

    fn confirm_recalls(&mut self) {
        for tx in self
            .recalls
            .drain(..)
            .chain(self.recalls_in_exchange.drain(..))
        {
            let _ = tx.send(());
        }
    }

    fn accept(&mut self, replies: &[ReportReply], me: &ActorRef<Self>) {
        let mut retire = false;
        for reply in replies {
            let Some(ledger) = self.ledger_of(reply.incarnation) else {
                continue;
            };
            let incarnation = ledger.incarnation();
            let accepted = ledger.accept(reply);
            for (seq, status) in accepted.settled {
                self.metrics.event(status.as_str(), 1);
                self.context.replication.mark_durable(SettlementId {
                    shard: self.shard,
                    incarnation,
                    seq,
                });
                if let Some(tx) = self.settling.remove(&(incarnation, seq)) {
                    self.metrics.gauges.unconfirmed_settlements.sub(1);
                    let _ = tx.send(());
                }
            }
            for (claim, status) in accepted.claims {
                if let Some(tx) = self.claims.remove(&(claim.key, claim.attempt)) {
                    let _ = tx.send(Some(status));
                }
            }
            for grant in &reply.grants {
                self.metrics.event("grant", 1);
                let told = Told {
                    free: grant.free,
                    held_by_others: grant.held_by_others,
                    holders: grant.holders.clone(),
                };
                self.told.insert(grant.budget.clone(), told);
            }
            retire |= reply.closed && incarnation == self.ledger.incarnation();
        }
        if retire && self.closing.is_empty() {
            self.metrics.event("incarnation-closed-by-others", 1);
            log::error!(shard = self.shard; "this router was taken for dead; its grants are void");
            let next = Incarnation::from(Uuid::now_v7().as_u128());
            let fresh = LocalLedger::new(next).with_address(&self.context.address);
            let old = std::mem::replace(&mut self.ledger, fresh);
            self.retired.push(old);
        }
        self.retired.retain(|ledger| !ledger.is_settled());
        self.serve_waiting(me);
    }

    /// Adds this shard's change to the figure that all shards share.
    fn show(&mut self) {
        let gauge = &self.metrics.gauges.reserved_tokens;
        let reserved = self.ledger.reserved();
        gauge.add(reserved.saturating_sub(self.shown_reserved));
        gauge.sub(self.shown_reserved.saturating_sub(reserved));
        self.shown_reserved = reserved;
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
                self.hand_over(request, reservation);
                if self.ledger.is_low(&budget) {
                    self.exchange(cx.actor_ref());
                }
            }
            ReserveResult::Insufficient | ReserveResult::CeilingTooLow(_) => {
                self.waiting.push_back(Waiting {
                    request,
                    since: Instant::now(),
                    stage: Stage::New,
                });
                self.exchange(cx.actor_ref());
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
        self.exchange(cx.actor_ref());
    }
}

impl Message<Settle> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: Settle, cx: &mut Context<Self, ()>) {
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
        self.settling.insert((msg.incarnation, seq), msg.tx);
        self.metrics.gauges.unconfirmed_settlements.add(1);
        self.exchange_after(cx.actor_ref(), self.group);
    }
}

impl Message<ReleaseClaim> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: ReleaseClaim, cx: &mut Context<Self, ()>) {
        self.ledger.release_claim(&msg.budget, msg.key);
        self.exchange_after(cx.actor_ref(), self.group);
    }
}

impl Message<Cancel> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: Cancel, _: &mut Context<Self, ()>) {
        if let Some(ledger) = self.ledger_of(msg.incarnation) {
            ledger.cancel(msg.reservation);
        }
    }
}

impl Message<Paid> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: Paid, _: &mut Context<Self, ()>) {
        self.ledger.raise_paid(&msg.budget, msg.paid);
    }
}

impl Message<RecallBudget> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: RecallBudget, cx: &mut Context<Self, ()>) {
        self.ledger.recall(&msg.budget);
        self.recalls.push(msg.tx);
        self.exchange(cx.actor_ref());
    }
}

impl Message<Close> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: Close, cx: &mut Context<Self, ()>) {
        if self.ledger.is_unused() {
            let _ = msg.tx.send(());
            return;
        }
        self.ledger.close();
        self.closing.push(msg.tx);
        self.exchange(cx.actor_ref());
    }
}

impl Message<Due> for ShardController {
    type Reply = ();

    async fn handle(&mut self, _: Due, cx: &mut Context<Self, ()>) {
        self.due = false;
        self.show();
        self.exchange(cx.actor_ref());
    }
}

impl Message<Recalled> for ShardController {
    type Reply = ();

    async fn handle(&mut self, Recalled(budget): Recalled, cx: &mut Context<Self, ()>) {
        self.recalling.remove(&budget);
        for waiting in &mut self.waiting {
            let same = waiting.request.budget == budget;
            if same && waiting.stage == Stage::Recalling {
                waiting.stage = Stage::Recalled;
            }
        }
        self.exchange(cx.actor_ref());
    }
}

impl Message<Exchanged> for ShardController {
    type Reply = ();

    async fn handle(&mut self, Exchanged(result): Exchanged, cx: &mut Context<Self, ()>) {
        self.exchanging = false;
        match result {
            Ok(replies) => {
                self.accept(&replies, cx.actor_ref());
                self.confirm_recalls();
                if self.ledger.is_closed() {
                    for tx in self.closing.drain(..) {
                        let _ = tx.send(());
                    }
                } else {
                    self.go_on(cx.actor_ref());
                }
            }
            Err(err) => {
                log::warn!(shard = self.shard; "exchange failed: {err}");
                self.metrics.event("exchange-failed", 1);
                self.fail_waiting();
                self.exchange_after(cx.actor_ref(), Duration::from_millis(RETRY_MS));
            }
        }
    }
}
