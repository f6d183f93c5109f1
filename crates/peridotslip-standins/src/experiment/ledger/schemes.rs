//! The ways that are compared.

use std::collections::HashMap;

use peridotslip::{ledger::Account, prelude::*};

/// Time of a swap in the store, in milliseconds.
const SWAP_MS: u64 = 3;
/// Pace of the shard's writer, in milliseconds.
const PACE_MS: u64 = 50;
/// Time between two housekeeping exchanges of a router, in milliseconds.
const HOUSEKEEPING_MS: u64 = 1_000;
/// How long an ended router's grants are held, in milliseconds.
const HOLD_MS: u64 = 10_000;
const BUDGET: &str = "shared";

/// What to do with a request.
pub(super) enum Decision {
    Go,
    /// Ask again at this time.
    Wait(u64),
    Refuse,
}

/// A way of spending a budget.
pub(super) trait Scheme {
    fn name(&self) -> &'static str;
    fn reserve(&mut self, router: usize, id: u64, bound: u64, paid: u64, now_ms: u64) -> Decision;
    fn settle(&mut self, router: usize, id: u64, used: u64, now_ms: u64);
    fn advance(&mut self, now_ms: u64);
    /// A router ends; its unspent tokens are lost until they are released.
    fn kill(&mut self, router: usize);
    /// A router is cut off from the store and the others.
    fn cut(&mut self, router: usize);
    /// Writes that reached the store.
    fn writes(&self) -> u64;
}

/// Every request swaps the budget's record before it runs and after.
pub(super) struct SwapEach {
    settled: u64,
    reserved: u64,
    held: HashMap<u64, u64>,
    busy_until_ms: u64,
    writes: u64,
    cut: Vec<bool>,
}

impl SwapEach {
    pub(super) fn new(routers: usize) -> Self {
        Self {
            settled: 0,
            reserved: 0,
            held: HashMap::new(),
            busy_until_ms: 0,
            writes: 0,
            cut: vec![false; routers],
        }
    }

    /// Swaps of one record follow one another.
    fn swap(&mut self, now_ms: u64) -> u64 {
        self.writes += 1;
        self.busy_until_ms = self.busy_until_ms.max(now_ms) + SWAP_MS;
        self.busy_until_ms
    }
}

impl Scheme for SwapEach {
    fn name(&self) -> &'static str {
        "swap for each request"
    }

    fn reserve(&mut self, router: usize, id: u64, bound: u64, paid: u64, now_ms: u64) -> Decision {
        if self.cut[router] {
            return Decision::Refuse;
        }
        if self.busy_until_ms > now_ms {
            return Decision::Wait(self.busy_until_ms);
        }
        self.swap(now_ms);
        if self.settled + self.reserved + bound > paid {
            return Decision::Refuse;
        }
        self.reserved += bound;
        self.held.insert(id, bound);
        Decision::Go
    }

    fn settle(&mut self, _router: usize, id: u64, used: u64, now_ms: u64) {
        self.swap(now_ms);
        self.reserved -= self.held.remove(&id).unwrap_or_default();
        self.settled += used;
    }

    fn advance(&mut self, _now_ms: u64) {}

    fn kill(&mut self, router: usize) {
        self.cut[router] = true;
    }

    fn cut(&mut self, router: usize) {
        self.cut[router] = true;
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}

/// Each router has the same share of what was paid, for good.
pub(super) struct EvenSplit {
    used: Vec<u64>,
    reserved: Vec<u64>,
    held: HashMap<u64, u64>,
    dirty: Vec<bool>,
    next_write_ms: u64,
    writes: u64,
}

impl EvenSplit {
    pub(super) fn new(routers: usize) -> Self {
        Self {
            used: vec![0; routers],
            reserved: vec![0; routers],
            held: HashMap::new(),
            dirty: vec![false; routers],
            next_write_ms: 0,
            writes: 0,
        }
    }
}

impl Scheme for EvenSplit {
    fn name(&self) -> &'static str {
        "even split"
    }

    fn reserve(&mut self, router: usize, id: u64, bound: u64, paid: u64, _now_ms: u64) -> Decision {
        let share = paid / self.used.len() as u64;
        if self.used[router] + self.reserved[router] + bound > share {
            return Decision::Refuse;
        }
        self.reserved[router] += bound;
        self.held.insert(id, bound);
        Decision::Go
    }

    fn settle(&mut self, router: usize, id: u64, used: u64, _now_ms: u64) {
        self.reserved[router] -= self.held.remove(&id).unwrap_or_default();
        self.used[router] += used;
        self.dirty[router] = true;
    }

    fn advance(&mut self, now_ms: u64) {
        if now_ms >= self.next_write_ms {
            self.next_write_ms = now_ms + HOUSEKEEPING_MS;
            self.writes += self.dirty.iter().filter(|dirty| **dirty).count() as u64;
            self.dirty.fill(false);
        }
    }

    fn kill(&mut self, _router: usize) {}

    fn cut(&mut self, _router: usize) {}

    fn writes(&self) -> u64 {
        self.writes
    }
}

/// Escrowed grants: the daemon's local ledgers and record.
pub(super) struct Granted {
    name: &'static str,
    record: ShardRecord,
    ledgers: Vec<LocalLedger>,
    held: HashMap<u64, Reservation>,
    /// When each router's next exchange may take effect.
    next_exchange_ms: Vec<u64>,
    wanted: Vec<bool>,
    /// When each router last found nothing left, if it has not exchanged
    /// since.
    recalled_at_ms: Vec<Option<u64>>,
    unreachable: Vec<bool>,
    release: Option<(usize, u64)>,
    writer: bool,
    last_swap_ms: Option<u64>,
    writes: u64,
}

impl Granted {
    /// Each router swaps the record by itself.
    pub(super) fn direct(routers: usize) -> Self {
        Self::new("grants, each router swaps", routers, false)
    }

    /// One router swaps the record for all.
    pub(super) fn with_writer(routers: usize) -> Self {
        Self::new("grants, one writer", routers, true)
    }

    fn new(name: &'static str, routers: usize, writer: bool) -> Self {
        let ledger = |id: usize| LocalLedger::new(Incarnation::from(id as u128));
        Self {
            name,
            record: ShardRecord::default(),
            ledgers: (0..routers).map(ledger).collect(),
            held: HashMap::new(),
            next_exchange_ms: vec![0; routers],
            wanted: vec![false; routers],
            recalled_at_ms: vec![None; routers],
            unreachable: vec![false; routers],
            release: None,
            writer,
            last_swap_ms: None,
            writes: 0,
        }
    }

    /// A router's exchange takes effect. With a writer, exchanges of one pace
    /// share a swap.
    fn exchange(&mut self, router: usize, now_ms: u64) {
        let report = self.ledgers[router].report(now_ms);
        if report.is_empty() {
            return;
        }
        let mut next = self.record.clone();
        let reply = next.apply(&report, now_ms);
        if !next.same_content(&self.record) {
            let shared = self.writer && self.last_swap_ms == Some(now_ms);
            self.writes += u64::from(!shared);
            self.last_swap_ms = Some(now_ms);
            self.record = next;
        }
        self.ledgers[router].accept(&reply);
    }

    /// When an exchange that is wanted now takes effect.
    fn slot(&self, now_ms: u64) -> u64 {
        if self.writer {
            (now_ms / PACE_MS + 1) * PACE_MS
        } else {
            now_ms + SWAP_MS
        }
    }

    /// Whether no request runs that may give tokens back.
    fn all_idle(&self) -> bool {
        self.ledgers.iter().all(|ledger| ledger.reserved() == 0)
    }

    fn want(&mut self, router: usize, now_ms: u64) -> u64 {
        if !self.wanted[router] {
            self.wanted[router] = true;
            self.next_exchange_ms[router] = self.slot(now_ms);
        }
        self.next_exchange_ms[router]
    }
}

impl Scheme for Granted {
    fn name(&self) -> &'static str {
        self.name
    }

    fn reserve(&mut self, router: usize, id: u64, bound: u64, paid: u64, now_ms: u64) -> Decision {
        let budget = BudgetName::from(BUDGET);
        self.ledgers[router].set_paid(&budget, paid);
        match self.ledgers[router].reserve(&budget, bound, now_ms) {
            ReserveResult::Reserved(reservation) => {
                self.held.insert(id, reservation);
                if self.ledgers[router].is_low(&budget) && !self.unreachable[router] {
                    self.want(router, now_ms);
                }
                self.recalled_at_ms[router] = None;
                Decision::Go
            }
            ReserveResult::Insufficient if self.unreachable[router] => {
                self.ledgers[router].clear_shortfall();
                Decision::Refuse
            }
            ReserveResult::Insufficient | ReserveResult::CeilingTooLow(_) => {
                match self.recalled_at_ms[router] {
                    // After an exchange, a recall and another exchange, what is
                    // left is set aside for requests that still run.
                    Some(at_ms) if now_ms >= at_ms + 2 * PACE_MS => {
                        self.recalled_at_ms[router] = None;
                        if self.all_idle() {
                            self.ledgers[router].clear_shortfall();
                            return Decision::Refuse;
                        }
                        Decision::Wait(self.want(router, now_ms))
                    }
                    Some(_) => Decision::Wait(self.want(router, now_ms)),
                    None => {
                        self.recalled_at_ms[router] = Some(now_ms);
                        let free = self.record.account(&budget).map_or(paid, Account::free);
                        for other in 0..self.ledgers.len() {
                            if free < bound && other != router && !self.unreachable[other] {
                                self.ledgers[other].recall(&budget);
                                self.want(other, now_ms);
                            }
                        }
                        Decision::Wait(self.want(router, now_ms))
                    }
                }
            }
        }
    }

    fn settle(&mut self, router: usize, id: u64, used: u64, now_ms: u64) {
        if let Some(reservation) = self.held.remove(&id) {
            self.ledgers[router].settle(reservation, Bill::new(None, used), now_ms);
        }
        if !self.unreachable[router] && !self.wanted[router] {
            self.wanted[router] = true;
            self.next_exchange_ms[router] = self.slot(now_ms + PACE_MS);
        }
    }

    fn advance(&mut self, now_ms: u64) {
        if let Some((router, at_ms)) = self.release.filter(|(_, at_ms)| now_ms >= *at_ms) {
            self.record
                .release(Incarnation::from(router as u128), at_ms);
            self.writes += 1;
            self.release = None;
        }
        loop {
            let due = (0..self.ledgers.len())
                .filter(|router| self.wanted[*router] && !self.unreachable[*router])
                .min_by_key(|router| self.next_exchange_ms[*router]);
            let Some(router) = due.filter(|router| self.next_exchange_ms[*router] <= now_ms) else {
                return;
            };
            self.wanted[router] = false;
            let at_ms = self.next_exchange_ms[router];
            self.exchange(router, at_ms);
        }
    }

    fn kill(&mut self, router: usize) {
        self.unreachable[router] = true;
        self.release = Some((router, self.last_swap_ms.unwrap_or(0) + HOLD_MS));
    }

    fn cut(&mut self, router: usize) {
        self.unreachable[router] = true;
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}
