//! The world that the cells are played in.

use std::collections::BTreeMap;

use peridotslip::{
    ledger::{Claim, Report, ReportReply},
    prelude::*,
    reclaim::{GrantReclaimer, HolderLiveness, holder_liveness},
    replication::{SettlementId, SettlementReplica, SettlementReplicas},
};

use crate::cells::{Fault, Kind, Point};

const COST: u64 = 10;
const BOUND: u64 = 15;
const PAID: u64 = 100;
const TRIES: usize = 2;
const HOLD_MS: u64 = 10_000;

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Whole,
    NotRun,
    Unknown,
    Nothing,
}

#[allow(clippy::struct_excessive_bools)] // One for each fault.
pub struct Router {
    ledger: LocalLedger,
    budget: &'static str,
    dead: bool,
    cut_from_store: bool,
    cut_from_peers: bool,
    cut_from_backend: bool,
    silent_backend: bool,
    stopping: bool,
}

impl Router {
    fn new(id: u128, address: &str) -> Self {
        Self {
            ledger: LocalLedger::new(Incarnation::from(id)).with_address(address),
            budget: "one",
            dead: false,
            cut_from_store: false,
            cut_from_peers: false,
            cut_from_backend: false,
            silent_backend: false,
            stopping: false,
        }
    }
}

#[allow(clippy::struct_excessive_bools)] // One for each fault.
pub struct World {
    kind: Kind,
    plan: Vec<(Point, Fault)>,
    routers: Vec<Router>,
    record: ShardRecord,
    version: u64,
    /// A swap that the store has not looked at yet.
    slow: Option<(u64, ShardRecord)>,
    down: bool,
    be_slow: bool,
    lose_reply: bool,
    replicas: SettlementReplicas,
    paid: u64,
    pub runs: u64,
    pub delivered: u64,
    pub struck: usize,
    healed: bool,
    now_ms: u64,
    attempts: u64,
    pub checks: BTreeMap<&'static str, u64>,
}

const KEY: u128 = 77;

impl World {
    pub fn new(kind: Kind, plan: Vec<(Point, Fault)>) -> Self {
        Self {
            kind,
            plan,
            routers: vec![Router::new(1, "a"), Router::new(2, "b")],
            record: ShardRecord::default(),
            version: 0,
            slow: None,
            down: false,
            be_slow: false,
            lose_reply: false,
            replicas: SettlementReplicas::default(),
            paid: PAID,
            runs: 0,
            delivered: 0,
            struck: 0,
            healed: false,
            now_ms: 0,
            attempts: 0,
            checks: BTreeMap::new(),
        }
    }

    fn check(&mut self, invariant: &'static str, holds: bool) {
        *self.checks.entry(invariant).or_default() += 1;
        assert!(holds, "{invariant}: {:?} {:?}", self.kind, self.plan);
    }

    fn key(&self) -> Option<IdempotencyKey> {
        (self.kind != Kind::Unkeyed).then(|| IdempotencyKey::from(KEY))
    }

    /// Strikes the faults planned for a point of the first router's request.
    /// Returns `false` if that router is dead.
    fn at(&mut self, router: usize, point: Point) -> bool {
        self.now_ms += 1;
        if router == 0 && !self.healed {
            let due: Vec<Fault> = self
                .plan
                .iter()
                .filter(|(at, _)| *at == point)
                .map(|(_, fault)| *fault)
                .collect();
            for fault in due {
                self.strike(fault);
            }
        }
        !self.routers[router].dead
    }

    fn strike(&mut self, fault: Fault) {
        self.struck += 1;
        match fault {
            Fault::Kill => self.routers[0].dead = true,
            // Everything else goes on while the first router stands still.
            Fault::Pause => {
                self.look_for_ended(true);
                self.retry_elsewhere();
                self.now_ms += 3 * HOLD_MS;
                self.look_for_ended(true);
            }
            Fault::CutFromStore => self.routers[0].cut_from_store = true,
            Fault::CutFromPeers => self.routers[0].cut_from_peers = true,
            Fault::CutFromBackend => self.routers[0].cut_from_backend = true,
            Fault::StoreDown => self.down = true,
            Fault::StoreSlow => self.be_slow = true,
            Fault::ReplyLost => self.lose_reply = true,
            Fault::ConnectionSilent => self.routers[0].silent_backend = true,
            Fault::DuplicateElsewhere => self.retry_elsewhere(),
            Fault::TopUp => self.paid += 50,
            Fault::TablesChange => self.routers[1].budget = "two",
            Fault::PlannedStop => self.routers[0].stopping = true,
        }
    }

    fn retry_elsewhere(&mut self) {
        if self.kind != Kind::Unkeyed {
            self.request(1);
        }
    }

    /// One read, application and swap, as the writer does it.
    fn swap(
        &mut self,
        change: impl FnOnce(&mut ShardRecord) -> ReportReply,
    ) -> Option<ReportReply> {
        if self.down {
            return None;
        }
        let mut next = self.record.clone();
        let reply = change(&mut next);
        if std::mem::take(&mut self.be_slow) {
            self.slow = Some((self.version, next));
            return None;
        }
        self.store(&next);
        (!std::mem::take(&mut self.lose_reply)).then_some(reply)
    }

    fn store(&mut self, record: &ShardRecord) {
        self.record = ShardRecord::decode(&record.encode()).expect("it reads back");
        self.version += 1;
        let over: u64 = self
            .record
            .accounts()
            .map(|(_, account)| account.overspend())
            .sum();
        let settled: u64 = self
            .record
            .accounts()
            .map(|(_, account)| account.settled)
            .sum();
        self.check("escrow: settled and granted stay within paid", over == 0);
        self.check("no overspend: bills stay within paid", settled <= self.paid);
    }

    /// The slow store comes to the swap that it still holds.
    fn land_slow(&mut self) {
        if let Some((version, record)) = self.slow.take()
            && version == self.version
        {
            self.store(&record);
        }
    }

    /// Exchanges until a reply comes; the answered claims' statuses.
    fn exchange(&mut self, router: usize, swapped: Point) -> Option<Vec<ClaimStatus>> {
        for _ in 0..TRIES {
            if self.routers[router].dead {
                return None;
            }
            let now_ms = self.now_ms;
            let report = self.routers[router].ledger.report(now_ms);
            let reached = !self.routers[router].cut_from_store;
            let reply = reached
                .then(|| self.swap(|record| record.apply(&report, now_ms)))
                .flatten();
            if !self.at(router, swapped) {
                return None;
            }
            if let Some(reply) = reply {
                let accepted = self.routers[router].ledger.accept(&reply);
                return Some(
                    accepted
                        .claims
                        .into_iter()
                        .map(|(_, status)| status)
                        .collect(),
                );
            }
        }
        None
    }

    /// A caller's request at one router, from arrival to answer.
    pub fn request(&mut self, router: usize) -> Told {
        let told = self.serve(router).unwrap_or(Told::Nothing);
        match told {
            Told::NotRun => {
                let runs = self.runs;
                let true_word = self.kind != Kind::Order || runs == 0;
                self.check("a refusal that says not-run is true", true_word);
            }
            Told::Whole => self.delivered += 1,
            Told::Unknown | Told::Nothing => {}
        }
        if router == 0 {
            self.at(0, Point::Released);
        }
        told
    }

    /// `None` if the router died.
    fn serve(&mut self, router: usize) -> Option<Told> {
        self.at(router, Point::Arrived).then_some(())?;
        let key = self.key();
        if self.kind == Kind::Order {
            if let Some(ClaimStatus::Granted) = self.claim(router)? {
            } else {
                self.release_claim(router);
                return Some(Told::Unknown);
            }
        }
        let Some(reservation) = self.reserve(router)? else {
            self.release_claim(router);
            return Some(match self.kind {
                Kind::Keyed => Told::Unknown,
                _ => Told::NotRun,
            });
        };
        self.at(router, Point::BeforeSend).then_some(())?;
        if self.routers[router].cut_from_backend {
            self.routers[router].ledger.cancel(reservation);
            self.release_claim(router);
            return Some(match self.kind {
                Kind::Keyed => Told::Unknown,
                _ => Told::NotRun,
            });
        }
        self.runs += 1;
        self.at(router, Point::Sent).then_some(())?;
        let silent = self.routers[router].silent_backend;
        if silent && self.kind != Kind::Order {
            // Given up, and not billed.
            self.routers[router].ledger.cancel(reservation);
            return Some(Told::Unknown);
        }
        self.at(router, Point::Answered).then_some(())?;
        let outcome = if silent {
            Outcome::Unknown
        } else {
            Outcome::Ran(200)
        };
        let bill = Bill {
            key,
            tokens: COST,
            outcome,
        };
        let now_ms = self.now_ms;
        let seq = self.routers[router]
            .ledger
            .settle(reservation, bill, now_ms);
        self.at(router, Point::Settled).then_some(())?;
        let replicated = self.replicate(router, seq);
        self.at(router, Point::Copied).then_some(())?;
        let durable = self.exchange(router, Point::BillSwapped).is_some();
        self.at(router, Point::BillAnswered).then_some(())?;
        let safe = replicated || durable;
        Some(if safe && !silent {
            Told::Whole
        } else {
            Told::Unknown
        })
    }

    /// `None` if the router died, `Some(None)` without a status.
    #[allow(clippy::option_option)]
    fn claim(&mut self, router: usize) -> Option<Option<ClaimStatus>> {
        self.attempts += 1;
        let claim = Claim {
            key: IdempotencyKey::from(KEY),
            attempt: self.attempts,
            fingerprint: Fingerprint::from(5),
        };
        self.routers[router].ledger.claim(claim);
        self.at(router, Point::ClaimMade).then_some(())?;
        let statuses = self.exchange(router, Point::ClaimSwapped);
        self.at(router, Point::ClaimAnswered).then_some(())?;
        self.routers[router].ledger.withdraw_claim(&claim);
        Some(statuses.and_then(|statuses| statuses.first().copied()))
    }

    fn release_claim(&mut self, router: usize) {
        if self.kind == Kind::Order {
            let budget = self.routers[router].budget.into();
            self.routers[router]
                .ledger
                .release_claim(&budget, IdempotencyKey::from(KEY));
        }
    }

    /// `None` if the router died, `Some(None)` without tokens.
    #[allow(clippy::option_option)]
    fn reserve(&mut self, router: usize) -> Option<Option<Reservation>> {
        let budget = BudgetName::from(self.routers[router].budget);
        // Each of two budgets has half of what was paid.
        let paid = self.paid / 2;
        let now_ms = self.now_ms;
        for _ in 0..2 {
            let ledger = &mut self.routers[router].ledger;
            ledger.set_paid(&budget, paid);
            if let ReserveResult::Reserved(reservation) = ledger.reserve(&budget, BOUND, now_ms) {
                return Some(Some(reservation));
            }
            self.at(router, Point::NeedMade).then_some(())?;
            let _ = self.exchange(router, Point::GrantSwapped);
            self.at(router, Point::GrantAnswered).then_some(())?;
        }
        self.routers[router].ledger.clear_shortfall();
        Some(None)
    }

    fn replicate(&mut self, router: usize, seq: u64) -> bool {
        let ledger = &self.routers[router].ledger;
        let Some(settlement) = ledger.unconfirmed_settlement(seq).cloned() else {
            return true;
        };
        if self.routers[router].cut_from_peers {
            return false;
        }
        let id = SettlementId {
            shard: 0,
            incarnation: ledger.incarnation(),
            seq,
        };
        self.replicas
            .insert(vec![SettlementReplica { id, settlement }], self.now_ms);
        true
    }

    /// The release of ended routers' grants; `listed` is whether the
    /// platform lists the first router.
    fn look_for_ended(&mut self, listed: bool) {
        let holder = Incarnation::from(1);
        let alive = !self.routers[0].dead;
        let answers = (alive && !listed).then_some(holder);
        let liveness = holder_liveness(holder, answers, Some(listed));
        if alive {
            self.check(
                "a router that may live keeps its grants",
                liveness == HolderLiveness::MayBeAlive,
            );
        }
        let mut reclaimer = GrantReclaimer::default();
        let _ = reclaimer.observe(holder, liveness, HOLD_MS, self.now_ms);
        self.now_ms += HOLD_MS;
        self.report_replicas();
        if reclaimer.observe(holder, liveness, HOLD_MS, self.now_ms) {
            let now_ms = self.now_ms;
            let _ = self.swap(|record| {
                record.release(holder, now_ms);
                ReportReply::default()
            });
        }
    }

    fn report_replicas(&mut self) {
        let now_ms = self.now_ms;
        for (_, report) in self.replicas.overdue(now_ms) {
            let _ = self.swap(|record| record.apply(&report, now_ms));
        }
    }

    /// Heals everything, lets the caller ask again, and ends all processes.
    pub fn recover(&mut self, first: Told) {
        self.healed = true;
        self.down = false;
        self.be_slow = false;
        self.lose_reply = false;
        self.land_slow();
        for router in &mut self.routers {
            router.cut_from_store = false;
            router.cut_from_peers = false;
            router.cut_from_backend = false;
            router.silent_backend = false;
        }
        let alive = !self.routers[0].dead;
        if alive {
            let _ = self.exchange(0, Point::Released);
        } else {
            self.look_for_ended(false);
        }
        if first != Told::Whole {
            self.retry_elsewhere();
        }
        for router in 0..2 {
            if self.routers[router].dead {
                continue;
            }
            self.routers[router].ledger.close();
            let report: Report = self.routers[router].ledger.report(self.now_ms);
            let now_ms = self.now_ms;
            if let Some(reply) = self.swap(|record| record.apply(&report, now_ms)) {
                self.routers[router].ledger.accept(&reply);
            }
            let closed = self.routers[router].ledger.is_closed();
            self.check("a planned stop leaves nothing in doubt", closed);
        }
    }

    pub fn final_checks(&mut self) {
        let settled: u64 = self
            .record
            .accounts()
            .map(|(_, account)| account.settled)
            .sum();
        let held: u64 = self
            .record
            .accounts()
            .map(|(_, account)| account.outstanding())
            .sum();
        self.check("every grant comes back", held == 0);
        self.check("bills are for work that ran", settled <= self.runs * COST);
        if self.kind != Kind::Unkeyed {
            self.check("a key is billed at most once", settled <= COST);
        }
        if self.kind == Kind::Order {
            let runs = self.runs;
            self.check("an order runs at most once", runs <= 1);
        }
        if self.delivered > 0 {
            self.check("a whole answer is billed", settled >= COST);
        }
    }
}
