//! The controller of one ledger shard.

use std::{
    collections::{HashMap, VecDeque},
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
    ledger::{Claim, Report, ReportReply, Wallet},
    prelude::*,
};
use tokio::sync::oneshot;
use uuid::Uuid;

use super::{LedgerPath, Result, exhausted, unavailable};
use crate::{clock, metrics::Metrics, problem, settings::LedgerSettings};

/// How often idle grants are looked at, in milliseconds.
const HOUSEKEEPING_MS: u64 = 1_000;
/// Pause between two exchanges while requests wait for tokens that other
/// routers are giving back, in milliseconds.
const RECALL_PAUSE_MS: u64 = 100;
/// Pause after a failed exchange, in milliseconds.
const RETRY_MS: u64 = 200;

pub(crate) struct ReserveTokens {
    pub(crate) budget: BudgetName,
    pub(crate) paid: u64,
    pub(crate) tokens: u64,
    pub(crate) wait: Duration,
    pub(crate) tx: oneshot::Sender<problem::Result<(Incarnation, Reservation)>>,
}

pub(crate) struct ClaimKey {
    pub(crate) key: RequestKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) tx: oneshot::Sender<Option<ClaimVerdict>>,
}

pub(crate) struct Settle {
    pub(crate) incarnation: Incarnation,
    pub(crate) reservation: Reservation,
    pub(crate) bill: Bill,
    pub(crate) tx: oneshot::Sender<()>,
}

pub(crate) struct Cancel {
    pub(crate) incarnation: Incarnation,
    pub(crate) reservation: Reservation,
}

pub(crate) struct Paid {
    pub(crate) budget: BudgetName,
    pub(crate) paid: u64,
}

pub(crate) struct RecallBudget {
    pub(crate) budget: BudgetName,
    pub(crate) tx: oneshot::Sender<()>,
}

pub(crate) struct Close {
    pub(crate) tx: oneshot::Sender<()>,
}

struct Due;

struct Exchanged(Result<Vec<ReportReply>>);

struct Waiting {
    request: ReserveTokens,
    since: Instant,
    /// Whether the record has answered this need at least once.
    asked: bool,
}

/// Holds a wallet and exchanges its reports, one exchange at a time.
#[derive(Actor)]
pub(crate) struct ShardController {
    shard: u16,
    path: Arc<dyn LedgerPath>,
    metrics: Arc<Metrics>,
    group: Duration,
    wallet: Wallet,
    /// Wallets that the record has closed, until their settlements are in.
    retired: Vec<Wallet>,
    waiting: VecDeque<Waiting>,
    claims: HashMap<(RequestKey, u64), oneshot::Sender<Option<ClaimVerdict>>>,
    settling: HashMap<(Incarnation, u64), oneshot::Sender<()>>,
    recalls: Vec<oneshot::Sender<()>>,
    recalls_in_exchange: Vec<oneshot::Sender<()>>,
    closing: Vec<oneshot::Sender<()>>,
    exchanging: bool,
    due: bool,
    last_attempt: u64,
}

fn new_wallet() -> Wallet {
    Wallet::new(Incarnation::from(Uuid::now_v7().as_u128()))
}

impl ShardController {
    pub(super) fn spawn(
        shard: u16,
        settings: &LedgerSettings,
        path: Arc<dyn LedgerPath>,
        metrics: Arc<Metrics>,
    ) -> ActorRef<Self> {
        let controller = Self {
            shard,
            path,
            metrics,
            group: Duration::from_millis(settings.group_ms),
            wallet: new_wallet(),
            retired: Vec::new(),
            waiting: VecDeque::new(),
            claims: HashMap::new(),
            settling: HashMap::new(),
            recalls: Vec::new(),
            recalls_in_exchange: Vec::new(),
            closing: Vec::new(),
            exchanging: false,
            due: false,
            last_attempt: 0,
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

    fn wallet_of(&mut self, incarnation: Incarnation) -> Option<&mut Wallet> {
        std::iter::once(&mut self.wallet)
            .chain(&mut self.retired)
            .find(|wallet| wallet.incarnation() == incarnation)
    }

    /// Starts an exchange unless one is under way.
    fn exchange(&mut self, me: &ActorRef<Self>) {
        if self.exchanging {
            return;
        }
        let now_ms = clock::monotonic_ms();
        let reports: Vec<Report> = std::iter::once(&mut self.wallet)
            .chain(&mut self.retired)
            .map(|wallet| wallet.report(now_ms))
            .filter(|report| !report.is_empty())
            .collect();
        if reports.is_empty() {
            self.confirm_recalls();
            return;
        }
        self.exchanging = true;
        self.recalls_in_exchange.append(&mut self.recalls);
        let (path, shard, me) = (self.path.clone(), self.shard, me.clone());
        tokio::spawn(async move {
            let result = path.exchange(shard, reports).await;
            let _ = me.tell(Exchanged(result)).await;
        });
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

    fn accept(&mut self, replies: &[ReportReply], now: Instant) {
        let mut retire = false;
        for reply in replies {
            let Some(wallet) = self.wallet_of(reply.incarnation) else {
                continue;
            };
            let incarnation = wallet.incarnation();
            let accepted = wallet.accept(reply);
            for (seq, verdict) in accepted.settled {
                self.metrics.event(verdict.as_str(), 1);
                if let Some(tx) = self.settling.remove(&(incarnation, seq)) {
                    let _ = tx.send(());
                }
            }
            for (claim, verdict) in accepted.claims {
                if let Some(tx) = self.claims.remove(&(claim.key, claim.attempt)) {
                    let _ = tx.send(Some(verdict));
                }
            }
            retire |= reply.closed && incarnation == self.wallet.incarnation();
        }
        if retire && self.closing.is_empty() {
            self.metrics.event("incarnation-closed-by-others", 1);
            log::error!(shard = self.shard; "this router was taken for dead; its grants are void");
            let old = std::mem::replace(&mut self.wallet, new_wallet());
            self.retired.push(old);
        }
        self.retired.retain(|wallet| !wallet.is_settled());
        self.serve_waiting(now);
    }

    /// Gives granted tokens to waiting requests, oldest first, and refuses
    /// those that have waited long enough.
    fn serve_waiting(&mut self, now: Instant) {
        let now_ms = clock::monotonic_ms();
        for mut waiting in std::mem::take(&mut self.waiting) {
            if waiting.request.tx.is_closed() {
                continue;
            }
            let request = &waiting.request;
            match self.wallet.reserve(&request.budget, request.tokens, now_ms) {
                Reserve::Held(reservation) => self.hand_over(waiting.request, reservation),
                Reserve::Short => {
                    let waited = now.duration_since(waiting.since) >= request.wait;
                    if waiting.asked && waited {
                        let _ = waiting.request.tx.send(Err(exhausted()));
                    } else {
                        waiting.asked = true;
                        self.waiting.push_back(waiting);
                    }
                }
            }
        }
    }

    fn hand_over(&mut self, request: ReserveTokens, reservation: Reservation) {
        let held = (self.wallet.incarnation(), reservation);
        if let Err(Ok((_, reservation))) = request.tx.send(Ok(held)) {
            self.wallet.cancel(reservation);
        }
    }

    /// Nobody can be helped until the record can be reached.
    fn fail_waiting(&mut self) {
        for waiting in self.waiting.drain(..) {
            let refused = unavailable(Refusal::LedgerUnavailable);
            let _ = waiting.request.tx.send(Err(refused));
        }
        for ((key, attempt), tx) in self.claims.drain() {
            self.wallet.forget_claim(&Claim {
                key,
                attempt,
                fingerprint: Fingerprint::default(),
            });
            let _ = tx.send(None);
        }
        self.wallet.forget_needs();
    }

    fn show(&self) {
        let gauges = &self.metrics.gauges;
        gauges
            .unconfirmed_settlements
            .set(self.settling.len() as u64);
        gauges.reserved_tokens.set(self.wallet.reserved());
    }
}

impl Message<ReserveTokens> for ShardController {
    type Reply = ();

    async fn handle(&mut self, request: ReserveTokens, cx: &mut Context<Self, ()>) {
        self.wallet.set_paid(&request.budget, request.paid);
        let now_ms = clock::monotonic_ms();
        match self.wallet.reserve(&request.budget, request.tokens, now_ms) {
            Reserve::Held(reservation) => {
                let budget = request.budget.clone();
                self.hand_over(request, reservation);
                if self.wallet.is_low(&budget) {
                    self.exchange(cx.actor_ref());
                }
            }
            Reserve::Short => {
                self.waiting.push_back(Waiting {
                    request,
                    since: Instant::now(),
                    asked: false,
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
        self.wallet.claim(claim);
        self.exchange(cx.actor_ref());
    }
}

impl Message<Settle> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: Settle, cx: &mut Context<Self, ()>) {
        let Some(wallet) = self.wallet_of(msg.incarnation) else {
            return;
        };
        let seq = wallet.settle(msg.reservation, msg.bill, clock::monotonic_ms());
        self.settling.insert((msg.incarnation, seq), msg.tx);
        self.exchange_after(cx.actor_ref(), self.group);
    }
}

impl Message<Cancel> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: Cancel, _: &mut Context<Self, ()>) {
        if let Some(wallet) = self.wallet_of(msg.incarnation) {
            wallet.cancel(msg.reservation);
        }
    }
}

impl Message<Paid> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: Paid, _: &mut Context<Self, ()>) {
        self.wallet.raise_paid(&msg.budget, msg.paid);
    }
}

impl Message<RecallBudget> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: RecallBudget, cx: &mut Context<Self, ()>) {
        self.wallet.recall(&msg.budget);
        self.recalls.push(msg.tx);
        self.exchange(cx.actor_ref());
    }
}

impl Message<Close> for ShardController {
    type Reply = ();

    async fn handle(&mut self, msg: Close, cx: &mut Context<Self, ()>) {
        if self.wallet.is_untouched() {
            let _ = msg.tx.send(());
            return;
        }
        self.wallet.close();
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

impl Message<Exchanged> for ShardController {
    type Reply = ();

    async fn handle(&mut self, Exchanged(result): Exchanged, cx: &mut Context<Self, ()>) {
        self.exchanging = false;
        match result {
            Ok(replies) => {
                self.accept(&replies, Instant::now());
                self.confirm_recalls();
                if self.wallet.is_closed() {
                    for tx in self.closing.drain(..) {
                        let _ = tx.send(());
                    }
                } else if !self.claims.is_empty() || !self.closing.is_empty() {
                    self.exchange(cx.actor_ref());
                } else if !self.waiting.is_empty() {
                    let fresh = self.waiting.iter().any(|waiting| !waiting.asked);
                    let pause = if fresh { 0 } else { RECALL_PAUSE_MS };
                    self.exchange_after(cx.actor_ref(), Duration::from_millis(pause));
                } else if !self.settling.is_empty() {
                    self.exchange_after(cx.actor_ref(), self.group);
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
