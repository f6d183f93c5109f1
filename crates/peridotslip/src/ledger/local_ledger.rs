//! The ledger state of one router process.

mod local_account;

use std::collections::{BTreeMap, HashMap, HashSet};

pub use self::local_account::RefillPolicy;
use self::local_account::{LocalAccount, ReceivedTransfer};
use super::{
    Bill, BudgetReport, Claim, ClaimStatus, GrantTransfer, Holding, Outcome, Report, ReportReply,
    Settlement, SettlementStatus,
};
use crate::ids::{BudgetName, IdempotencyKey, Incarnation};

/// Tokens reserved for a running request.
///
/// A reservation must be ended at its local ledger by [`LocalLedger::settle`]
/// or [`LocalLedger::cancel`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation holds tokens until it is settled or cancelled"]
pub struct Reservation {
    budget: BudgetName,
    tokens: u64,
}

impl Reservation {
    /// Returns the number of reserved tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the budget that the tokens belong to.
    #[must_use]
    pub fn budget(&self) -> &BudgetName {
        &self.budget
    }
}

/// The result of [`LocalLedger::reserve`].
#[derive(Debug, PartialEq, Eq)]
pub enum ReserveResult {
    /// The tokens are reserved.
    Reserved(Reservation),
    /// The local ledger holds too few tokens; the next report requests more.
    Insufficient,
    /// The reservation exceeds the ceiling. The reservation is possible once a
    /// witness has recorded this ceiling, in tokens used over the local ledger's
    /// lifetime.
    CeilingTooLow(u64),
}

/// The grants, reservations and unconfirmed settlements of one router process
/// in one ledger shard.
///
/// The invariant for each budget is `spent + reserved + returned <= granted +
/// unspent received transfers`. Only [`accept`](Self::accept) raises `granted`.
#[derive(Clone, Debug)]
pub struct LocalLedger {
    incarnation: Incarnation,
    address: String,
    refill_policy: RefillPolicy,
    accounts: HashMap<BudgetName, LocalAccount>,
    /// Settlements that no reply has confirmed, by sequence number.
    outbox: BTreeMap<u64, Settlement>,
    /// Settlements of received transfers that no reply has confirmed, by issuer
    /// and the issuer's sequence number.
    transfer_outbox: BTreeMap<(Incarnation, u64), Settlement>,
    /// The newest set of witnesses until a reply confirms it, then `None`.
    unconfirmed_witnesses: Option<Vec<Incarnation>>,
    /// The version of the newest set of witnesses; 0 before the first.
    witness_set_version: u64,
    /// Transfers that have been received, so that none counts twice.
    seen_transfers: HashSet<(Incarnation, u64)>,
    /// Claims that no reply has decided, by key and attempt.
    claims: BTreeMap<(IdempotencyKey, u64), Claim>,
    /// The last sequence number of a settlement or an issued transfer.
    last_seq: u64,
    /// How long confirmed settlements are retained, in milliseconds; 0 if the
    /// records never forget them.
    retention_ms: u64,
    /// The time of the last report, in milliseconds.
    reported_at_ms: u64,
    /// Confirmed settlements, each with the incarnation in whose name it was
    /// reported and the time of its confirmation, in milliseconds.
    confirmed: Vec<(u64, Incarnation, Settlement)>,
    /// Whether the next reports close the incarnation.
    closing: bool,
    /// Whether a reply has confirmed the closing.
    closed: bool,
}

impl LocalLedger {
    /// Creates an empty local ledger for one incarnation of a router.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            address: String::new(),
            refill_policy: RefillPolicy::default(),
            accounts: HashMap::new(),
            outbox: BTreeMap::new(),
            transfer_outbox: BTreeMap::new(),
            unconfirmed_witnesses: None,
            witness_set_version: 0,
            seen_transfers: HashSet::new(),
            claims: BTreeMap::new(),
            last_seq: 0,
            retention_ms: 0,
            reported_at_ms: 0,
            confirmed: Vec::new(),
            closing: false,
            closed: false,
        }
    }

    /// Sets the address of the router.
    #[must_use]
    pub fn with_address(mut self, address: &str) -> Self {
        address.clone_into(&mut self.address);
        self
    }

    /// Sets the policy for requesting tokens ahead of need.
    #[must_use]
    pub fn with_refill_policy(mut self, refill_policy: RefillPolicy) -> Self {
        self.refill_policy = refill_policy;
        self
    }

    /// Returns the incarnation that this local ledger belongs to.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets the cumulative paid amount of `budget`, in tokens, unless a higher
    /// one is set already.
    pub fn set_paid(&mut self, budget: &BudgetName, paid: u64) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.paid = account.paid.max(paid);
    }

    /// Reserves `tokens` of `budget`, or adds them to the shortfall if too few
    /// are spendable.
    pub fn reserve(&mut self, budget: &BudgetName, tokens: u64, now_ms: u64) -> ReserveResult {
        self.reserve_leaving(budget, tokens, 0, now_ms)
    }

    /// Like [`reserve`](Self::reserve), but leaves at least `kept` spendable tokens.
    pub fn reserve_leaving(
        &mut self,
        budget: &BudgetName,
        tokens: u64,
        kept: u64,
        now_ms: u64,
    ) -> ReserveResult {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.decay_rate(now_ms);
        if account.spendable() < tokens.saturating_add(kept) {
            account.add_shortfall(tokens);
            return ReserveResult::Insufficient;
        }
        let used = account.max_used() + tokens;
        if account.ceiling.is_some_and(|ceiling| used > ceiling) {
            return ReserveResult::CeilingTooLow(used);
        }
        account.reserved += tokens;
        ReserveResult::Reserved(Reservation {
            budget: budget.clone(),
            tokens,
        })
    }

    /// Ends a reservation with its bill and returns the sequence number of the
    /// settlement. If no settlement is needed, the last assigned number is
    /// returned.
    ///
    /// The bill is limited to the reservation: the router enforces the bound on
    /// the work, so a larger figure is an error of the backend server, for
    /// which the organisation does not pay.
    pub fn settle(&mut self, reservation: Reservation, mut bill: Bill, now_ms: u64) -> u64 {
        bill.tokens = bill.tokens.min(reservation.tokens);
        let account = self.accounts.entry(reservation.budget.clone()).or_default();
        account.reserved -= reservation.tokens;
        account.record_spend(bill.tokens, now_ms);
        // Settlements of transfers carry no idempotency key, so a bill with a
        // key must be settled from this local ledger's own grant.
        if bill.key.is_none() {
            bill.tokens = account.spend_received(bill.tokens);
        }
        account.spent += bill.tokens;
        if bill.key.is_none() && bill.tokens == 0 {
            return self.last_seq;
        }
        self.enqueue_settlement(reservation.budget, bill)
    }

    /// Issues a transfer of up to `tokens` of `budget`, from idle tokens of this
    /// local ledger's own grant. Returns `None` if there are none.
    pub fn transfer_out(&mut self, budget: &BudgetName, tokens: u64) -> Option<GrantTransfer> {
        let account = self.accounts.get_mut(budget)?;
        let below_ceiling = account.ceiling.map_or(u64::MAX, |ceiling| {
            ceiling.saturating_sub(account.max_used())
        });
        let tokens = tokens.min(account.own_idle()).min(below_ceiling);
        if tokens == 0 {
            return None;
        }
        account.spent += tokens;
        self.last_seq += 1;
        Some(GrantTransfer {
            issuer: self.incarnation,
            seq: self.last_seq,
            budget: budget.clone(),
            tokens,
        })
    }

    /// Receives a transfer. Returns `false` if it had been received before or
    /// was issued by this local ledger.
    pub fn transfer_in(&mut self, transfer: GrantTransfer) -> bool {
        let is_new = self.seen_transfers.insert((transfer.issuer, transfer.seq));
        if !is_new || transfer.issuer == self.incarnation {
            return false;
        }
        let account = self.accounts.entry(transfer.budget.clone()).or_default();
        account
            .received_transfers
            .push(ReceivedTransfer { transfer, spent: 0 });
        true
    }

    /// Closes the received transfers that running requests don't need, so that
    /// the next reports settle them.
    ///
    /// Call this only while the record is reachable, because the tokens of a
    /// closed transfer can't be spent any more.
    pub fn close_transfers(&mut self) {
        for account in self.accounts.values_mut() {
            for received in account.take_idle_transfers() {
                let ReceivedTransfer { transfer, spent } = received;
                let settlement = Settlement {
                    seq: transfer.seq,
                    budget: transfer.budget,
                    bill: Bill::new(None, spent),
                    consumed: transfer.tokens,
                };
                self.transfer_outbox
                    .insert((transfer.issuer, transfer.seq), settlement);
            }
        }
    }

    /// Returns whether any received transfer is not closed.
    #[must_use]
    pub fn has_open_transfers(&self) -> bool {
        self.accounts
            .values()
            .any(|account| !account.received_transfers.is_empty())
    }

    /// Returns reports in the names of the issuers of closed transfers. The
    /// reports settle the spent tokens and free the rest.
    #[must_use]
    pub fn transfer_reports(&self) -> Vec<Report> {
        let mut reports: BTreeMap<Incarnation, Report> = BTreeMap::new();
        for ((issuer, _), settlement) in &self.transfer_outbox {
            let report = reports.entry(*issuer).or_insert_with(|| Report {
                incarnation: *issuer,
                ..Report::default()
            });
            report.settlements.push(settlement.clone());
        }
        reports.into_values().collect()
    }

    /// Applies the record's reply to one of the
    /// [`transfer_reports`](Self::transfer_reports).
    pub fn accept_transfer_reply(&mut self, reply: &ReportReply) {
        for (seq, _) in &reply.settled {
            let settlement = self.transfer_outbox.remove(&(reply.incarnation, *seq));
            self.retain(reply.incarnation, settlement);
        }
    }

    /// Sets how long confirmed settlements are retained, in milliseconds, because
    /// a restored store may have forgotten them.
    pub fn set_retention(&mut self, retention_ms: u64) {
        self.retention_ms = retention_ms;
    }

    fn retain(&mut self, reporter: Incarnation, settlement: Option<Settlement>) {
        if self.retention_ms > 0
            && let Some(settlement) = settlement
        {
            let entry = (self.reported_at_ms, reporter, settlement);
            self.confirmed.push(entry);
        }
    }

    /// Returns what this local ledger holds of `budget`, for the record of a new
    /// epoch. `witnesses` are those that the ledger has set last.
    #[must_use]
    pub fn holding(&self, budget: &BudgetName, witnesses: Vec<Incarnation>) -> Holding {
        let account = self.accounts.get(budget);
        let of = |amount: fn(&LocalAccount) -> u64| account.map_or(0, amount);
        let mut own = Vec::new();
        let mut transfers: BTreeMap<Incarnation, Report> = BTreeMap::new();
        for (_, reporter, settlement) in &self.confirmed {
            if settlement.budget != *budget {
                continue;
            }
            if *reporter == self.incarnation {
                own.push(settlement.clone());
                continue;
            }
            let report = transfers.entry(*reporter).or_insert_with(|| Report {
                incarnation: *reporter,
                ..Report::default()
            });
            report.settlements.push(settlement.clone());
        }
        Holding {
            incarnation: self.incarnation,
            address: self.address.clone(),
            paid: of(|account| account.paid),
            granted: of(|account| account.granted),
            returned: of(|account| account.returned),
            witness_set_version: self.witness_set_version,
            witnesses,
            settlements: own,
            transfers: transfers.into_values().collect(),
        }
    }

    /// Sets the ceiling on the tokens used of `budget`; `None` removes it.
    pub fn set_ceiling(&mut self, budget: &BudgetName, ceiling: Option<u64>) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.ceiling = ceiling;
    }

    /// Raises the ceiling of `budget` to `ceiling`, which a witness has
    /// recorded. A budget without a ceiling stays without.
    pub fn raise_ceiling(&mut self, budget: &BudgetName, ceiling: u64) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.ceiling = account.ceiling.map(|current| current.max(ceiling));
        }
    }

    /// Returns an upper bound on the tokens used of the grant of `budget` over
    /// the local ledger's lifetime, and the ceiling on them.
    #[must_use]
    pub fn max_used(&self, budget: &BudgetName) -> (u64, Option<u64>) {
        let account = self.accounts.get(budget);
        account.map_or((0, None), |account| (account.max_used(), account.ceiling))
    }

    /// Returns the total tokens of `budget` that replies have granted.
    #[must_use]
    pub fn granted(&self, budget: &BudgetName) -> u64 {
        let account = self.accounts.get(budget);
        account.map_or(0, |account| account.granted)
    }

    /// Returns the current spend rate of `budget`, in tokens per second.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn rate(&self, budget: &BudgetName) -> u64 {
        let account = self.accounts.get(budget);
        account.map_or(0, |account| account.unbiased_rate() as u64)
    }

    /// Returns whether the record names the newest set of witnesses.
    #[must_use]
    pub fn witness_set_confirmed(&self) -> bool {
        self.unconfirmed_witnesses.is_none()
    }

    /// Sets the routers that record ceilings, or none. Reports name them until a
    /// reply confirms the set.
    pub fn set_witnesses(&mut self, witnesses: Vec<Incarnation>) {
        self.unconfirmed_witnesses = Some(witnesses);
        self.witness_set_version += 1;
    }

    /// Returns the tokens that waiting requests of `budget` need.
    #[must_use]
    pub fn shortfall(&self, budget: &BudgetName) -> u64 {
        self.accounts
            .get(budget)
            .map_or(0, |account| account.shortfall)
    }

    /// Changes the policy for requesting tokens ahead of need.
    pub fn set_refill_policy(&mut self, refill_policy: RefillPolicy) {
        self.refill_policy = refill_policy;
    }

    fn enqueue_settlement(&mut self, budget: BudgetName, bill: Bill) -> u64 {
        self.last_seq += 1;
        let settlement = Settlement {
            seq: self.last_seq,
            budget,
            consumed: bill.tokens,
            bill,
        };
        self.outbox.insert(self.last_seq, settlement);
        self.last_seq
    }

    /// Ends a reservation of a request that never ran and has no claim.
    #[allow(clippy::needless_pass_by_value)] // By value, so that a reservation is ended only once.
    pub fn cancel(&mut self, reservation: Reservation) {
        if let Some(account) = self.accounts.get_mut(&reservation.budget) {
            account.reserved -= reservation.tokens;
        }
    }

    /// Releases a claim whose work certainly never ran, and returns the
    /// sequence number of the settlement. If another local ledger holds the
    /// claim, the record does not change.
    pub fn release_claim(&mut self, budget: &BudgetName, key: IdempotencyKey) -> u64 {
        let bill = Bill {
            key: Some(key),
            tokens: 0,
            outcome: Outcome::NotRun,
        };
        self.enqueue_settlement(budget.clone(), bill)
    }

    /// Requests a claim; [`accept`](Self::accept) returns its status.
    pub fn claim(&mut self, claim: Claim) {
        self.claims.insert((claim.key, claim.attempt), claim);
    }

    /// Stops requesting a claim, which may have been granted already.
    pub fn withdraw_claim(&mut self, claim: &Claim) {
        self.claims.remove(&(claim.key, claim.attempt));
    }

    /// Returns the settlement `seq` unless a reply has confirmed it.
    #[must_use]
    pub fn unconfirmed_settlement(&self, seq: u64) -> Option<&Settlement> {
        self.outbox.get(&seq)
    }

    /// Makes the next reports close the incarnation, which frees all unspent
    /// tokens. No request may be running.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Returns whether the record has confirmed the closing of this
    /// incarnation, so that none of its tokens are in doubt.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns whether every settlement is confirmed and no tokens are reserved.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.outbox.is_empty() && self.reserved() == 0
    }

    /// Returns whether the spendable tokens of `budget` are below the target
    /// headroom while the record may have free tokens.
    #[must_use]
    pub fn is_low(&self, budget: &BudgetName) -> bool {
        self.accounts
            .get(budget)
            .is_some_and(|account| account.is_low(self.refill_policy))
    }

    /// Returns whether no record knows this local ledger: no reply has
    /// confirmed a paid amount, and there is no settlement, transfer or claim.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.accounts
            .values()
            .all(|account| account.recorded_paid == 0)
            && self.last_seq == 0
            && self.claims.is_empty()
    }

    /// Clears the shortfall of all budgets, because the waiting requests were
    /// refused.
    pub fn clear_shortfall(&mut self) {
        for account in self.accounts.values_mut() {
            account.clear_shortfall();
        }
    }

    /// Raises the paid amount of `budget`, if this local ledger has used it.
    pub fn raise_paid(&mut self, budget: &BudgetName, paid: u64) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.paid = account.paid.max(paid);
        }
    }

    /// Records that another local ledger lacks tokens of `budget`, so that the
    /// next report returns idle ones.
    pub fn recall(&mut self, budget: &BudgetName) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.recall = true;
        }
    }

    /// Returns the unspent tokens of `budget` that are not reserved.
    #[must_use]
    pub fn spendable(&self, budget: &BudgetName) -> u64 {
        self.accounts.get(budget).map_or(0, LocalAccount::spendable)
    }

    /// Returns how many spendable tokens of `budget` this local ledger requests to hold
    /// for the near future.
    #[must_use]
    pub fn headroom(&self, budget: &BudgetName) -> u64 {
        let account = self.accounts.get(budget);
        account.map_or(0, |account| account.target_headroom(self.refill_policy))
    }

    /// Returns the tokens of `budget` that are granted or received and not
    /// spent, reserved ones included.
    #[must_use]
    pub fn outstanding(&self, budget: &BudgetName) -> u64 {
        let account = self.accounts.get(budget);
        account.map_or(0, |account| account.spendable() + account.reserved)
    }

    /// Returns the reserved tokens over all budgets.
    #[must_use]
    pub fn reserved(&self) -> u64 {
        self.accounts.values().map(|account| account.reserved).sum()
    }

    /// Builds the next report to the record. The report also returns excess
    /// tokens.
    pub fn report(&mut self, now_ms: u64) -> Report {
        self.reported_at_ms = now_ms;
        let oldest_ms = now_ms.saturating_sub(self.retention_ms);
        self.confirmed.retain(|(at_ms, ..)| *at_ms >= oldest_ms);
        let mut budgets = Vec::new();
        for (budget, account) in &mut self.accounts {
            account.decay_rate(now_ms);
            account.return_excess(self.refill_policy);
            if account.needs_report(self.refill_policy) {
                budgets.push(account.budget_report(budget, self.refill_policy));
            }
        }
        Report {
            incarnation: self.incarnation,
            address: self.address.clone(),
            budgets,
            settlements: self.outbox.values().cloned().collect(),
            claims: self.claims.values().copied().collect(),
            closed: self.closing && !self.closed,
            witnesses: self.unconfirmed_witnesses.clone().unwrap_or_default(),
            witness_set_version: if self.unconfirmed_witnesses.is_some() {
                self.witness_set_version
            } else {
                0
            },
        }
    }

    /// Applies a record's reply, after the store has accepted the record.
    ///
    /// Replies may arrive late, twice or out of order. Returns the claims that
    /// were decided and the settlements that were confirmed.
    pub fn accept(&mut self, reply: &ReportReply) -> ReplySummary {
        for grant in &reply.grants {
            let account = self.accounts.entry(grant.budget.clone()).or_default();
            account.granted = account.granted.max(grant.granted);
            account.recall = grant.recall;
            account.free_at_record = grant.free;
            account.clear_shortfall();
            account.recorded_paid = account.recorded_paid.max(grant.paid);
            account.recorded_returned = account.recorded_returned.max(grant.returned);
        }
        let mut settled = Vec::new();
        for (seq, status) in &reply.settled {
            let settlement = self.outbox.remove(seq);
            if settlement.is_some() {
                settled.push((*seq, *status));
            }
            self.retain(self.incarnation, settlement);
        }
        let claims = reply
            .claims
            .iter()
            .filter(|(claim, _)| self.claims.remove(&(claim.key, claim.attempt)).is_some())
            .copied()
            .collect();
        self.closed |= reply.closed;
        if reply.witness_set_version == self.witness_set_version {
            self.unconfirmed_witnesses = None;
        }
        ReplySummary { settled, claims }
    }
}

/// The settlements and claims that a reply resolved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplySummary {
    /// Settlements that are durable, with their statuses.
    pub settled: Vec<(u64, SettlementStatus)>,
    /// Claims that were decided, with their statuses.
    pub claims: Vec<(Claim, ClaimStatus)>,
}
