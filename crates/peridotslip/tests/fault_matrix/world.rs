//! The simulated routers, store, replica holder and backend server of a cell.

use std::collections::BTreeMap;

use peridotslip::{
    ledger::{Claim, Report, ReportReply},
    prelude::*,
    reclaim::{GrantReclaimer, HolderLiveness, holder_liveness},
    replication::{SettlementId, SettlementReplica, SettlementReplicas},
};

use crate::cells::{Fault, InjectionPoint, RequestKind};

/// Tokens that an executed request uses.
const USED_TOKENS: u64 = 10;
/// Tokens that are reserved for a request.
const RESERVED_TOKENS: u64 = 15;
/// The paid amount of both budgets together, in tokens.
const PAID_TOKENS: u64 = 100;
/// How often a router sends a report before it stops waiting for a reply.
const EXCHANGE_ATTEMPTS: usize = 2;
/// How long the grants of an ended router are held before their release, in
/// milliseconds.
const IN_DOUBT_HOLD_MS: u64 = 10_000;

/// The outcome of a request from the caller's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The caller received the complete response.
    Whole,
    /// The caller received a refusal with execution status `not-run`.
    NotRun,
    /// The caller received an error with execution status `unknown`.
    Unknown,
    /// The router ended before it responded.
    Nothing,
}

#[allow(clippy::struct_excessive_bools)] // One for each fault.
pub struct Router {
    ledger: LocalLedger,
    budget: &'static str,
    dead: bool,
    partitioned_from_store: bool,
    partitioned_from_peers: bool,
    partitioned_from_backend: bool,
    backend_times_out: bool,
    /// Set by [`Fault::PlannedStop`]. The simulated router serves its request to
    /// the end regardless.
    shutting_down: bool,
}

impl Router {
    fn new(id: u128, address: &str) -> Self {
        Self {
            ledger: LocalLedger::new(Incarnation::from(id)).with_address(address),
            budget: "one",
            dead: false,
            partitioned_from_store: false,
            partitioned_from_peers: false,
            partitioned_from_backend: false,
            backend_times_out: false,
            shutting_down: false,
        }
    }
}

#[allow(clippy::struct_excessive_bools)] // One for each fault.
pub struct World {
    kind: RequestKind,
    plan: Vec<(InjectionPoint, Fault)>,
    routers: Vec<Router>,
    record: ShardRecord,
    version: u64,
    /// The base version and the record of a compare-and-swap that the store has
    /// received but not executed yet.
    delayed_swap: Option<(u64, ShardRecord)>,
    store_unavailable: bool,
    delay_next_swap: bool,
    lose_next_reply: bool,
    replicas: SettlementReplicas,
    paid: u64,
    /// How often the backend server executed the request.
    pub executions: u64,
    /// The number of complete responses to callers.
    pub delivered: u64,
    /// The number of injected faults.
    pub injected: usize,
    faults_ended: bool,
    now_ms: u64,
    attempts: u64,
    /// How often each invariant was checked.
    pub checks: BTreeMap<&'static str, u64>,
}

/// The idempotency key of the request.
const KEY: u128 = 77;

impl World {
    pub fn new(kind: RequestKind, plan: Vec<(InjectionPoint, Fault)>) -> Self {
        Self {
            kind,
            plan,
            routers: vec![Router::new(1, "a"), Router::new(2, "b")],
            record: ShardRecord::default(),
            version: 0,
            delayed_swap: None,
            store_unavailable: false,
            delay_next_swap: false,
            lose_next_reply: false,
            replicas: SettlementReplicas::default(),
            paid: PAID_TOKENS,
            executions: 0,
            delivered: 0,
            injected: 0,
            faults_ended: false,
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
        (self.kind != RequestKind::Unkeyed).then(|| IdempotencyKey::from(KEY))
    }

    /// Injects the faults planned for an injection point of the first router's
    /// request. Returns `false` if `router` is dead.
    fn reach(&mut self, router: usize, point: InjectionPoint) -> bool {
        self.now_ms += 1;
        if router == 0 && !self.faults_ended {
            let due: Vec<Fault> = self
                .plan
                .iter()
                .filter(|(planned, _)| *planned == point)
                .map(|(_, fault)| *fault)
                .collect();
            for fault in due {
                self.inject(fault);
            }
        }
        !self.routers[router].dead
    }

    fn inject(&mut self, fault: Fault) {
        self.injected += 1;
        match fault {
            Fault::Kill => self.routers[0].dead = true,
            // The rest of the system continues while the first router is paused.
            Fault::Pause => {
                self.release_if_ended(true);
                self.retry_elsewhere();
                self.now_ms += 3 * IN_DOUBT_HOLD_MS;
                self.release_if_ended(true);
            }
            Fault::CutFromStore => self.routers[0].partitioned_from_store = true,
            Fault::CutFromPeers => self.routers[0].partitioned_from_peers = true,
            Fault::CutFromBackend => self.routers[0].partitioned_from_backend = true,
            Fault::StoreDown => self.store_unavailable = true,
            Fault::StoreSlow => self.delay_next_swap = true,
            Fault::ReplyLost => self.lose_next_reply = true,
            Fault::ConnectionSilent => self.routers[0].backend_times_out = true,
            Fault::DuplicateElsewhere => self.retry_elsewhere(),
            Fault::TopUp => self.paid += 50,
            Fault::TablesChange => self.routers[1].budget = "two",
            Fault::PlannedStop => self.routers[0].shutting_down = true,
        }
    }

    /// Sends the request again, to the second router, if it has an idempotency key.
    fn retry_elsewhere(&mut self) {
        if self.kind != RequestKind::Unkeyed {
            self.request(1);
        }
    }

    /// Reads the record, applies `change` and writes the record with
    /// compare-and-swap, as a shard's writer does.
    fn swap(
        &mut self,
        change: impl FnOnce(&mut ShardRecord) -> ReportReply,
    ) -> Option<ReportReply> {
        if self.store_unavailable {
            return None;
        }
        let mut next = self.record.clone();
        let reply = change(&mut next);
        if std::mem::take(&mut self.delay_next_swap) {
            self.delayed_swap = Some((self.version, next));
            return None;
        }
        self.write_record(&next);
        (!std::mem::take(&mut self.lose_next_reply)).then_some(reply)
    }

    /// Replaces the record and checks the invariants on it.
    fn write_record(&mut self, record: &ShardRecord) {
        self.record = ShardRecord::decode(&record.encode()).expect("the record is decodable");
        self.version += 1;
        let overspend: u64 = self
            .record
            .accounts()
            .map(|(_, account)| account.overspend())
            .sum();
        let settled: u64 = self
            .record
            .accounts()
            .map(|(_, account)| account.settled)
            .sum();
        self.check(
            "escrow: settled and granted stay within paid",
            overspend == 0,
        );
        self.check("no overspend: bills stay within paid", settled <= self.paid);
    }

    /// Executes the delayed compare-and-swap of the slow store.
    fn complete_delayed_swap(&mut self) {
        if let Some((version, record)) = self.delayed_swap.take()
            && version == self.version
        {
            self.write_record(&record);
        }
    }

    /// Sends the router's report until it receives a reply. Returns the statuses of
    /// the claims in the reply.
    fn exchange(&mut self, router: usize, swapped: InjectionPoint) -> Option<Vec<ClaimStatus>> {
        for _ in 0..EXCHANGE_ATTEMPTS {
            if self.routers[router].dead {
                return None;
            }
            let now_ms = self.now_ms;
            let report = self.routers[router].ledger.report(now_ms);
            let connected = !self.routers[router].partitioned_from_store;
            let reply = connected
                .then(|| self.swap(|record| record.apply(&report, now_ms)))
                .flatten();
            if !self.reach(router, swapped) {
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

    /// Simulates a caller's request at one router, from arrival to response.
    pub fn request(&mut self, router: usize) -> CallerOutcome {
        let outcome = self.serve(router).unwrap_or(CallerOutcome::Nothing);
        match outcome {
            CallerOutcome::NotRun => {
                let executions = self.executions;
                let not_executed = self.kind != RequestKind::Order || executions == 0;
                self.check("a refusal with not-run is correct", not_executed);
            }
            CallerOutcome::Whole => self.delivered += 1,
            CallerOutcome::Unknown | CallerOutcome::Nothing => {}
        }
        if router == 0 {
            self.reach(0, InjectionPoint::Released);
        }
        outcome
    }

    /// Processes a request. Returns `None` if the router died.
    fn serve(&mut self, router: usize) -> Option<CallerOutcome> {
        self.reach(router, InjectionPoint::Arrived).then_some(())?;
        let key = self.key();
        if self.kind == RequestKind::Order {
            if let Some(ClaimStatus::Granted) = self.claim(router)? {
            } else {
                self.release_claim(router);
                return Some(CallerOutcome::Unknown);
            }
        }
        let Some(reservation) = self.reserve(router)? else {
            self.release_claim(router);
            return Some(match self.kind {
                RequestKind::Keyed => CallerOutcome::Unknown,
                _ => CallerOutcome::NotRun,
            });
        };
        self.reach(router, InjectionPoint::BeforeSend)
            .then_some(())?;
        if self.routers[router].partitioned_from_backend {
            self.routers[router].ledger.cancel(reservation);
            self.release_claim(router);
            return Some(match self.kind {
                RequestKind::Keyed => CallerOutcome::Unknown,
                _ => CallerOutcome::NotRun,
            });
        }
        self.executions += 1;
        self.reach(router, InjectionPoint::Sent).then_some(())?;
        let timed_out = self.routers[router].backend_times_out;
        if timed_out && self.kind != RequestKind::Order {
            // The router abandons the request and doesn't bill it.
            self.routers[router].ledger.cancel(reservation);
            return Some(CallerOutcome::Unknown);
        }
        self.reach(router, InjectionPoint::Answered).then_some(())?;
        let outcome = if timed_out {
            Outcome::Unknown
        } else {
            Outcome::Ran(200)
        };
        let bill = Bill {
            key,
            tokens: USED_TOKENS,
            outcome,
        };
        let now_ms = self.now_ms;
        let seq = self.routers[router]
            .ledger
            .settle(reservation, bill, now_ms);
        self.reach(router, InjectionPoint::Settled).then_some(())?;
        let replicated = self.replicate(router, seq);
        self.reach(router, InjectionPoint::Copied).then_some(())?;
        let durable = self.exchange(router, InjectionPoint::BillSwapped).is_some();
        self.reach(router, InjectionPoint::BillAnswered)
            .then_some(())?;
        let durable_or_replicated = replicated || durable;
        Some(if durable_or_replicated && !timed_out {
            CallerOutcome::Whole
        } else {
            CallerOutcome::Unknown
        })
    }

    /// Claims the idempotency key. Returns `None` if the router died and
    /// `Some(None)` if it received no status.
    #[allow(clippy::option_option)]
    fn claim(&mut self, router: usize) -> Option<Option<ClaimStatus>> {
        self.attempts += 1;
        let claim = Claim {
            key: IdempotencyKey::from(KEY),
            attempt: self.attempts,
            fingerprint: Fingerprint::from(5),
        };
        self.routers[router].ledger.claim(claim);
        self.reach(router, InjectionPoint::ClaimMade)
            .then_some(())?;
        let statuses = self.exchange(router, InjectionPoint::ClaimSwapped);
        self.reach(router, InjectionPoint::ClaimAnswered)
            .then_some(())?;
        self.routers[router].ledger.withdraw_claim(&claim);
        Some(statuses.and_then(|statuses| statuses.first().copied()))
    }

    fn release_claim(&mut self, router: usize) {
        if self.kind == RequestKind::Order {
            let budget = self.routers[router].budget.into();
            self.routers[router]
                .ledger
                .release_claim(&budget, IdempotencyKey::from(KEY));
        }
    }

    /// Reserves tokens. Returns `None` if the router died and `Some(None)` if there
    /// are no tokens.
    #[allow(clippy::option_option)]
    fn reserve(&mut self, router: usize) -> Option<Option<Reservation>> {
        let budget = BudgetName::from(self.routers[router].budget);
        // Each of the two budgets has half of the paid tokens.
        let paid = self.paid / 2;
        let now_ms = self.now_ms;
        for _ in 0..2 {
            let ledger = &mut self.routers[router].ledger;
            ledger.set_paid(&budget, paid);
            if let ReserveResult::Reserved(reservation) =
                ledger.reserve(&budget, RESERVED_TOKENS, now_ms)
            {
                return Some(Some(reservation));
            }
            self.reach(router, InjectionPoint::NeedMade).then_some(())?;
            let _ = self.exchange(router, InjectionPoint::GrantSwapped);
            self.reach(router, InjectionPoint::GrantAnswered)
                .then_some(())?;
        }
        self.routers[router].ledger.clear_shortfall();
        Some(None)
    }

    /// Sends a replica of the settlement to the replica holder. Returns `true` if
    /// the settlement is replicated or already confirmed.
    fn replicate(&mut self, router: usize, seq: u64) -> bool {
        let ledger = &self.routers[router].ledger;
        let Some(settlement) = ledger.unconfirmed_settlement(seq).cloned() else {
            return true;
        };
        if self.routers[router].partitioned_from_peers {
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

    /// Releases the first router's grants if the router has ended. `listed` is
    /// whether the platform's VM list contains the router.
    fn release_if_ended(&mut self, listed: bool) {
        let holder = Incarnation::from(1);
        let is_alive = !self.routers[0].dead;
        let responding = (is_alive && !listed).then_some(holder);
        let liveness = holder_liveness(holder, responding, Some(listed));
        if is_alive {
            self.check(
                "a router that may be alive keeps its grants",
                liveness == HolderLiveness::MayBeAlive,
            );
        }
        let mut reclaimer = GrantReclaimer::default();
        let _ = reclaimer.observe(holder, liveness, IN_DOUBT_HOLD_MS, self.now_ms);
        self.now_ms += IN_DOUBT_HOLD_MS;
        self.report_replicas();
        if reclaimer.observe(holder, liveness, IN_DOUBT_HOLD_MS, self.now_ms) {
            let now_ms = self.now_ms;
            let _ = self.swap(|record| {
                record.release(holder, now_ms);
                ReportReply::default()
            });
        }
    }

    /// Applies the reports of the replica holder on overdue replicas.
    fn report_replicas(&mut self) {
        let now_ms = self.now_ms;
        for (_, report) in self.replicas.overdue(now_ms) {
            let _ = self.swap(|record| record.apply(&report, now_ms));
        }
    }

    /// Ends all faults, lets the caller retry, and shuts all routers down.
    pub fn recover(&mut self, first: CallerOutcome) {
        self.faults_ended = true;
        self.store_unavailable = false;
        self.delay_next_swap = false;
        self.lose_next_reply = false;
        self.complete_delayed_swap();
        for router in &mut self.routers {
            router.partitioned_from_store = false;
            router.partitioned_from_peers = false;
            router.partitioned_from_backend = false;
            router.backend_times_out = false;
        }
        let is_alive = !self.routers[0].dead;
        if is_alive {
            let _ = self.exchange(0, InjectionPoint::Released);
        } else {
            self.release_if_ended(false);
        }
        if first != CallerOutcome::Whole {
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
            self.check("a graceful shutdown leaves nothing in doubt", closed);
        }
    }

    /// Checks the invariants that hold after the recovery.
    pub fn final_checks(&mut self) {
        let settled: u64 = self
            .record
            .accounts()
            .map(|(_, account)| account.settled)
            .sum();
        let outstanding: u64 = self
            .record
            .accounts()
            .map(|(_, account)| account.outstanding())
            .sum();
        self.check("every grant is returned", outstanding == 0);
        self.check(
            "only executed requests are billed",
            settled <= self.executions * USED_TOKENS,
        );
        if self.kind != RequestKind::Unkeyed {
            self.check(
                "an idempotency key is billed at most once",
                settled <= USED_TOKENS,
            );
        }
        if self.kind == RequestKind::Order {
            let executions = self.executions;
            self.check("an order is executed at most once", executions <= 1);
        }
        if self.delivered > 0 {
            self.check("a complete response is billed", settled >= USED_TOKENS);
        }
    }
}
