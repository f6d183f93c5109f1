//! The schemes that the ledger experiment compares.

use std::collections::HashMap;

use peridotslip::{ledger::Account, prelude::*};

/// Duration of a compare-and-swap in the store, in milliseconds.
const CAS_MS: u64 = 3;
/// Interval between two writes of the shard's writer, in milliseconds.
const WRITER_INTERVAL_MS: u64 = 50;
/// Interval between two housekeeping writes of a router, in milliseconds.
const HOUSEKEEPING_INTERVAL_MS: u64 = 1_000;
/// Time after which the grants of a crashed router are released, in
/// milliseconds.
const GRANT_HOLD_MS: u64 = 10_000;
const BUDGET: &str = "shared";

/// The decision on a request.
pub(super) enum Decision {
    /// Run the request.
    Admit,
    /// Retry at this time, in milliseconds.
    RetryAt(u64),
    /// Refuse the request.
    Reject,
}

/// A scheme for spending one budget from many routers.
pub(super) trait Scheme {
    fn name(&self) -> &'static str;
    /// Reserves tokens for a request, from a budget of `paid` tokens.
    fn reserve(&mut self, router: usize, id: u64, tokens: u64, paid: u64, now_ms: u64) -> Decision;
    /// Settles a request that used `used` tokens.
    fn settle(&mut self, router: usize, id: u64, used: u64, now_ms: u64);
    /// Performs the work that is due by `now_ms`.
    fn advance(&mut self, now_ms: u64);
    /// Crashes a router. The unspent tokens of its grants are unavailable until
    /// they are released.
    fn crash(&mut self, router: usize);
    /// Partitions a router from the store and from the other routers.
    fn partition(&mut self, router: usize);
    /// Returns the number of writes that reached the store.
    fn writes(&self) -> u64;
}

/// Compare-and-swaps the budget's record before and after each request.
pub(super) struct CasPerRequest {
    settled: u64,
    reserved: u64,
    /// Reserved tokens by request ID.
    reservations: HashMap<u64, u64>,
    /// When the last compare-and-swap ends, in milliseconds.
    busy_until_ms: u64,
    writes: u64,
    unreachable: Vec<bool>,
}

impl CasPerRequest {
    pub(super) fn new(routers: usize) -> Self {
        Self {
            settled: 0,
            reserved: 0,
            reservations: HashMap::new(),
            busy_until_ms: 0,
            writes: 0,
            unreachable: vec![false; routers],
        }
    }

    /// Performs a compare-and-swap and returns the time at which it ends.
    ///
    /// The compare-and-swaps of one record are serialised.
    fn compare_and_swap(&mut self, now_ms: u64) -> u64 {
        self.writes += 1;
        self.busy_until_ms = self.busy_until_ms.max(now_ms) + CAS_MS;
        self.busy_until_ms
    }
}

impl Scheme for CasPerRequest {
    fn name(&self) -> &'static str {
        "swap for each request"
    }

    fn reserve(&mut self, router: usize, id: u64, tokens: u64, paid: u64, now_ms: u64) -> Decision {
        if self.unreachable[router] {
            return Decision::Reject;
        }
        if self.busy_until_ms > now_ms {
            return Decision::RetryAt(self.busy_until_ms);
        }
        self.compare_and_swap(now_ms);
        if self.settled + self.reserved + tokens > paid {
            return Decision::Reject;
        }
        self.reserved += tokens;
        self.reservations.insert(id, tokens);
        Decision::Admit
    }

    fn settle(&mut self, _router: usize, id: u64, used: u64, now_ms: u64) {
        self.compare_and_swap(now_ms);
        self.reserved -= self.reservations.remove(&id).unwrap_or_default();
        self.settled += used;
    }

    fn advance(&mut self, _now_ms: u64) {}

    fn crash(&mut self, router: usize) {
        self.unreachable[router] = true;
    }

    fn partition(&mut self, router: usize) {
        self.unreachable[router] = true;
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}

/// Assigns each router a fixed, equal part of the paid amount.
pub(super) struct StaticPartition {
    used: Vec<u64>,
    reserved: Vec<u64>,
    reservations: HashMap<u64, u64>,
    /// Whether each router has settlements that are not written yet.
    dirty: Vec<bool>,
    next_write_ms: u64,
    writes: u64,
}

impl StaticPartition {
    pub(super) fn new(routers: usize) -> Self {
        Self {
            used: vec![0; routers],
            reserved: vec![0; routers],
            reservations: HashMap::new(),
            dirty: vec![false; routers],
            next_write_ms: 0,
            writes: 0,
        }
    }
}

impl Scheme for StaticPartition {
    fn name(&self) -> &'static str {
        "even split"
    }

    fn reserve(
        &mut self,
        router: usize,
        id: u64,
        tokens: u64,
        paid: u64,
        _now_ms: u64,
    ) -> Decision {
        let quota = paid / self.used.len() as u64;
        if self.used[router] + self.reserved[router] + tokens > quota {
            return Decision::Reject;
        }
        self.reserved[router] += tokens;
        self.reservations.insert(id, tokens);
        Decision::Admit
    }

    fn settle(&mut self, router: usize, id: u64, used: u64, _now_ms: u64) {
        self.reserved[router] -= self.reservations.remove(&id).unwrap_or_default();
        self.used[router] += used;
        self.dirty[router] = true;
    }

    fn advance(&mut self, now_ms: u64) {
        if now_ms >= self.next_write_ms {
            self.next_write_ms = now_ms + HOUSEKEEPING_INTERVAL_MS;
            self.writes += self.dirty.iter().filter(|dirty| **dirty).count() as u64;
            self.dirty.fill(false);
        }
    }

    fn crash(&mut self, _router: usize) {}

    fn partition(&mut self, _router: usize) {}

    fn writes(&self) -> u64 {
        self.writes
    }
}

/// Grants each router tokens in advance, with the local ledger and the record
/// that the daemon uses.
pub(super) struct EscrowedGrants {
    name: &'static str,
    record: ShardRecord,
    ledgers: Vec<LocalLedger>,
    reservations: HashMap<u64, Reservation>,
    /// When each router's pending exchange takes effect, in milliseconds.
    next_exchange_ms: Vec<u64>,
    exchange_pending: Vec<bool>,
    /// When each router last ran out of tokens, in milliseconds, or `None` if it
    /// has admitted or refused a request since.
    recalled_at_ms: Vec<Option<u64>>,
    unreachable: Vec<bool>,
    /// A crashed router and the time at which its grants are released.
    scheduled_release: Option<(usize, u64)>,
    has_writer: bool,
    last_cas_ms: Option<u64>,
    writes: u64,
}

impl EscrowedGrants {
    /// Returns the scheme in which each router compare-and-swaps the record
    /// itself.
    pub(super) fn direct(routers: usize) -> Self {
        Self::new("grants, each router swaps", routers, false)
    }

    /// Returns the scheme in which one router, the writer, compare-and-swaps the
    /// record for all routers.
    pub(super) fn with_writer(routers: usize) -> Self {
        Self::new("grants, one writer", routers, true)
    }

    fn new(name: &'static str, routers: usize, has_writer: bool) -> Self {
        let ledger = |id: usize| LocalLedger::new(Incarnation::from(id as u128));
        Self {
            name,
            record: ShardRecord::default(),
            ledgers: (0..routers).map(ledger).collect(),
            reservations: HashMap::new(),
            next_exchange_ms: vec![0; routers],
            exchange_pending: vec![false; routers],
            recalled_at_ms: vec![None; routers],
            unreachable: vec![false; routers],
            scheduled_release: None,
            has_writer,
            last_cas_ms: None,
            writes: 0,
        }
    }

    /// Applies a router's report to the record and the reply to the router's
    /// ledger. With a writer, all exchanges of one interval share a
    /// compare-and-swap.
    fn exchange(&mut self, router: usize, now_ms: u64) {
        let report = self.ledgers[router].report(now_ms);
        if report.is_empty() {
            return;
        }
        let mut next = self.record.clone();
        let reply = next.apply(&report, now_ms);
        if !next.same_content(&self.record) {
            let shared = self.has_writer && self.last_cas_ms == Some(now_ms);
            self.writes += u64::from(!shared);
            self.last_cas_ms = Some(now_ms);
            self.record = next;
        }
        self.ledgers[router].accept(&reply);
    }

    /// Returns the time at which an exchange requested at `now_ms` takes effect.
    fn exchange_time(&self, now_ms: u64) -> u64 {
        if self.has_writer {
            (now_ms / WRITER_INTERVAL_MS + 1) * WRITER_INTERVAL_MS
        } else {
            now_ms + CAS_MS
        }
    }

    /// Returns whether no running request can return tokens.
    fn all_idle(&self) -> bool {
        self.ledgers.iter().all(|ledger| ledger.reserved() == 0)
    }

    /// Schedules an exchange unless one is pending and returns the time at which
    /// it takes effect.
    fn schedule_exchange(&mut self, router: usize, now_ms: u64) -> u64 {
        if !self.exchange_pending[router] {
            self.exchange_pending[router] = true;
            self.next_exchange_ms[router] = self.exchange_time(now_ms);
        }
        self.next_exchange_ms[router]
    }
}

impl Scheme for EscrowedGrants {
    fn name(&self) -> &'static str {
        self.name
    }

    fn reserve(&mut self, router: usize, id: u64, tokens: u64, paid: u64, now_ms: u64) -> Decision {
        let budget = BudgetName::from(BUDGET);
        self.ledgers[router].set_paid(&budget, paid);
        match self.ledgers[router].reserve(&budget, tokens, now_ms) {
            ReserveResult::Reserved(reservation) => {
                self.reservations.insert(id, reservation);
                if self.ledgers[router].is_low(&budget) && !self.unreachable[router] {
                    self.schedule_exchange(router, now_ms);
                }
                self.recalled_at_ms[router] = None;
                Decision::Admit
            }
            ReserveResult::Insufficient if self.unreachable[router] => {
                self.ledgers[router].clear_shortfall();
                Decision::Reject
            }
            ReserveResult::Insufficient | ReserveResult::CeilingTooLow(_) => {
                match self.recalled_at_ms[router] {
                    // After an exchange, a recall and another exchange, any
                    // tokens left are reserved for requests that are still
                    // running.
                    Some(at_ms) if now_ms >= at_ms + 2 * WRITER_INTERVAL_MS => {
                        self.recalled_at_ms[router] = None;
                        if self.all_idle() {
                            self.ledgers[router].clear_shortfall();
                            return Decision::Reject;
                        }
                        Decision::RetryAt(self.schedule_exchange(router, now_ms))
                    }
                    Some(_) => Decision::RetryAt(self.schedule_exchange(router, now_ms)),
                    None => {
                        self.recalled_at_ms[router] = Some(now_ms);
                        let free = self.record.account(&budget).map_or(paid, Account::free);
                        for other in 0..self.ledgers.len() {
                            if free < tokens && other != router && !self.unreachable[other] {
                                self.ledgers[other].recall(&budget);
                                self.schedule_exchange(other, now_ms);
                            }
                        }
                        Decision::RetryAt(self.schedule_exchange(router, now_ms))
                    }
                }
            }
        }
    }

    fn settle(&mut self, router: usize, id: u64, used: u64, now_ms: u64) {
        if let Some(reservation) = self.reservations.remove(&id) {
            self.ledgers[router].settle(reservation, Bill::new(None, used), now_ms);
        }
        if !self.unreachable[router] && !self.exchange_pending[router] {
            self.exchange_pending[router] = true;
            self.next_exchange_ms[router] = self.exchange_time(now_ms + WRITER_INTERVAL_MS);
        }
    }

    fn advance(&mut self, now_ms: u64) {
        if let Some((router, at_ms)) = self.scheduled_release.filter(|(_, at_ms)| now_ms >= *at_ms)
        {
            self.record
                .release(Incarnation::from(router as u128), at_ms);
            self.writes += 1;
            self.scheduled_release = None;
        }
        loop {
            let due = (0..self.ledgers.len())
                .filter(|router| self.exchange_pending[*router] && !self.unreachable[*router])
                .min_by_key(|router| self.next_exchange_ms[*router]);
            let Some(router) = due.filter(|router| self.next_exchange_ms[*router] <= now_ms) else {
                return;
            };
            self.exchange_pending[router] = false;
            let at_ms = self.next_exchange_ms[router];
            self.exchange(router, at_ms);
        }
    }

    fn crash(&mut self, router: usize) {
        self.unreachable[router] = true;
        self.scheduled_release = Some((router, self.last_cas_ms.unwrap_or(0) + GRANT_HOLD_MS));
    }

    fn partition(&mut self, router: usize) {
        self.unreachable[router] = true;
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}
