//! The router's side of the ledger.

mod local_account;

use std::collections::{BTreeMap, HashMap, HashSet};

pub use self::local_account::RefillPolicy;
use self::local_account::{LocalAccount, ReceivedTransfer};
use super::{
    Bill, BudgetReport, Claim, ClaimStatus, GrantTransfer, Outcome, Report, ReportReply,
    Settlement, SettlementStatus,
};
use crate::ids::{BudgetName, IdempotencyKey, Incarnation};

/// Tokens set aside for a request that is running.
///
/// It must be given back to its local ledger by [`LocalLedger::settle`] or
/// [`LocalLedger::cancel`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation holds tokens until it is settled or cancelled"]
pub struct Reservation {
    budget: BudgetName,
    tokens: u64,
}

impl Reservation {
    /// Tokens set aside.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The budget that pays.
    #[must_use]
    pub fn budget(&self) -> &BudgetName {
        &self.budget
    }
}

/// The answer to [`LocalLedger::reserve`].
#[derive(Debug, PartialEq, Eq)]
pub enum ReserveResult {
    /// The tokens are set aside.
    Reserved(Reservation),
    /// The local ledger holds too little; the next report asks for more.
    Insufficient,
    /// The local ledger must not use so much before a witness has noted this
    /// ceiling, in tokens used over the local ledger's life.
    CeilingTooLow(u64),
}

/// Grants, reservations and unconfirmed settlements of one router process in
/// one ledger shard.
///
/// The invariant is `spent + reserved + returned <= granted` for each budget,
/// where `granted` only ever rises by [`accept`](Self::accept) and transfers
/// add to it.
#[derive(Clone, Debug)]
pub struct LocalLedger {
    incarnation: Incarnation,
    address: String,
    refill_policy: RefillPolicy,
    accounts: HashMap<BudgetName, LocalAccount>,
    outbox: BTreeMap<u64, Settlement>,
    /// Settlements of other local ledgers' transfers that no reply has confirmed.
    transfer_outbox: BTreeMap<(Incarnation, u64), Settlement>,
    /// Routers that note ceilings, until a reply has come.
    witnesses: Vec<Incarnation>,
    /// How often they have been chosen.
    witness_set_version: u64,
    /// Transfers that have been taken in, so that none counts twice.
    seen_transfers: HashSet<(Incarnation, u64)>,
    claims: BTreeMap<(IdempotencyKey, u64), Claim>,
    last_seq: u64,
    closing: bool,
    closed: bool,
}

impl LocalLedger {
    /// An empty local ledger for one run of a router.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            address: String::new(),
            refill_policy: RefillPolicy::default(),
            accounts: HashMap::new(),
            outbox: BTreeMap::new(),
            transfer_outbox: BTreeMap::new(),
            witnesses: Vec::new(),
            witness_set_version: 0,
            seen_transfers: HashSet::new(),
            claims: BTreeMap::new(),
            last_seq: 0,
            closing: false,
            closed: false,
        }
    }

    /// Says where the router can be found.
    #[must_use]
    pub fn with_address(mut self, address: &str) -> Self {
        address.clone_into(&mut self.address);
        self
    }

    /// Says how much to ask for ahead of needs.
    #[must_use]
    pub fn with_refill_policy(mut self, refill_policy: RefillPolicy) -> Self {
        self.refill_policy = refill_policy;
        self
    }

    /// The run of the router that this local ledger belongs to.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Notes the cumulative amount paid into `budget`; it never falls.
    pub fn set_paid(&mut self, budget: &BudgetName, paid: u64) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.paid = account.paid.max(paid);
    }

    /// Sets `tokens` of `budget` aside, or notes that they are lacking.
    pub fn reserve(&mut self, budget: &BudgetName, tokens: u64, now_ms: u64) -> ReserveResult {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.decay(now_ms);
        if account.spendable() < tokens {
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

    /// Ends a reservation with its bill and returns the settlement's number.
    ///
    /// The bill is cut to the reservation: the router enforces the bound on
    /// the work, so a larger figure is the back end's error, not the
    /// organisation's debt.
    pub fn settle(&mut self, reservation: Reservation, mut bill: Bill, now_ms: u64) -> u64 {
        bill.tokens = bill.tokens.min(reservation.tokens);
        let account = self.accounts.entry(reservation.budget.clone()).or_default();
        account.reserved -= reservation.tokens;
        account.note_spend(bill.tokens, now_ms);
        if bill.key.is_none() {
            bill.tokens = account.spend_received(bill.tokens);
        }
        account.spent += bill.tokens;
        if bill.key.is_none() && bill.tokens == 0 {
            return self.last_seq;
        }
        self.post(reservation.budget, bill)
    }

    /// Hands out up to `tokens` of `budget` that are granted to this local ledger
    /// and not needed, for another local ledger to spend.
    pub fn transfer_out(&mut self, budget: &BudgetName, tokens: u64) -> Option<GrantTransfer> {
        let account = self.accounts.get_mut(budget)?;
        let room = account.ceiling.map_or(u64::MAX, |ceiling| {
            ceiling.saturating_sub(account.max_used())
        });
        let tokens = tokens.min(account.own_spare()).min(room);
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

    /// Takes in a transfer; `false` if it had been taken in before or is this
    /// local ledger's own.
    pub fn transfer_in(&mut self, transfer: GrantTransfer) -> bool {
        let fresh = self.seen_transfers.insert((transfer.issuer, transfer.seq));
        if !fresh || transfer.issuer == self.incarnation {
            return false;
        }
        let account = self.accounts.entry(transfer.budget.clone()).or_default();
        account
            .received_transfers
            .push(ReceivedTransfer { transfer, spent: 0 });
        true
    }

    /// Closes the transfers that running requests don't need, so that the next
    /// reports settle them. Call it only while the record can be reached: what
    /// is closed can't be spent any more.
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

    /// Whether any transfer is in use.
    #[must_use]
    pub fn has_open_transfers(&self) -> bool {
        self.accounts
            .values()
            .any(|account| !account.received_transfers.is_empty())
    }

    /// What to tell the record in place of the issuers of closed transfers:
    /// what was spent of them, and that the rest is free again.
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

    /// Takes in the record's reply to a report on transfers.
    pub fn accept_transfer_reply(&mut self, reply: &ReportReply) {
        for (seq, _) in &reply.settled {
            self.transfer_outbox.remove(&(reply.incarnation, *seq));
        }
    }

    /// Bounds what may be used of `budget`, or lifts a bound.
    pub fn set_ceiling(&mut self, budget: &BudgetName, ceiling: Option<u64>) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.ceiling = ceiling;
    }

    /// Allows more of `budget` to be used, because a witness has noted it.
    pub fn raise_ceiling(&mut self, budget: &BudgetName, ceiling: u64) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.ceiling = account.ceiling.map(|held| held.max(ceiling));
        }
    }

    /// Most that has been used of the grant of `budget` over the local ledger's
    /// life, and the bound on it.
    #[must_use]
    pub fn max_used(&self, budget: &BudgetName) -> (u64, Option<u64>) {
        let account = self.accounts.get(budget);
        account.map_or((0, None), |account| (account.max_used(), account.ceiling))
    }

    /// Tokens of `budget` that are spent in a second at present.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn rate(&self, budget: &BudgetName) -> u64 {
        let account = self.accounts.get(budget);
        account.map_or(0, |account| account.unbiased_rate() as u64)
    }

    /// Whether the record names the witnesses that were chosen last.
    #[must_use]
    pub fn witness_set_confirmed(&self) -> bool {
        self.witnesses.is_empty()
    }

    /// Names the routers that note ceilings, with the next reports until a
    /// reply has come.
    pub fn set_witnesses(&mut self, witnesses: Vec<Incarnation>) {
        self.witnesses = witnesses;
        self.witness_set_version += 1;
    }

    /// Tokens that waiting requests of `budget` lack.
    #[must_use]
    pub fn shortfall(&self, budget: &BudgetName) -> u64 {
        self.accounts
            .get(budget)
            .map_or(0, |account| account.shortfall)
    }

    /// Changes how much to ask for ahead of needs.
    pub fn set_refill_policy(&mut self, refill_policy: RefillPolicy) {
        self.refill_policy = refill_policy;
    }

    fn post(&mut self, budget: BudgetName, bill: Bill) -> u64 {
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

    /// Ends a reservation whose work never ran and that holds no claim.
    #[allow(clippy::needless_pass_by_value)] // Taking it keeps it from being used again.
    pub fn cancel(&mut self, reservation: Reservation) {
        if let Some(account) = self.accounts.get_mut(&reservation.budget) {
            account.reserved -= reservation.tokens;
        }
    }

    /// Gives a claim back whose work certainly never ran. If another local ledger
    /// holds the claim, nothing changes.
    pub fn release_claim(&mut self, budget: &BudgetName, key: IdempotencyKey) -> u64 {
        let bill = Bill {
            key: Some(key),
            tokens: 0,
            outcome: Outcome::NotRun,
        };
        self.post(budget.clone(), bill)
    }

    /// Asks to be the only runner of a key; the answer comes by
    /// [`accept`](Self::accept).
    pub fn claim(&mut self, claim: Claim) {
        self.claims.insert((claim.key, claim.attempt), claim);
    }

    /// Stops asking for a claim. It may have been granted all the same.
    pub fn withdraw_claim(&mut self, claim: &Claim) {
        self.claims.remove(&(claim.key, claim.attempt));
    }

    /// A settlement that no reply has confirmed.
    #[must_use]
    pub fn unconfirmed_settlement(&self, seq: u64) -> Option<&Settlement> {
        self.outbox.get(&seq)
    }

    /// Begins the last report: everything unspent is given back. No request
    /// may be running.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Whether the closing report has been confirmed, so that nothing of
    /// this incarnation is in doubt.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Whether every settlement is confirmed and nothing is reserved.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.outbox.is_empty() && self.reserved() == 0
    }

    /// Whether the spare tokens of `budget` are running out while the record
    /// may have more.
    #[must_use]
    pub fn is_low(&self, budget: &BudgetName) -> bool {
        self.accounts
            .get(budget)
            .is_some_and(|account| account.is_low(self.refill_policy))
    }

    /// Whether no record has ever heard of this local ledger.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.accounts
            .values()
            .all(|account| account.recorded_paid == 0)
            && self.last_seq == 0
            && self.claims.is_empty()
    }

    /// Forgets what waiting requests lack, because they were refused.
    pub fn clear_shortfall(&mut self) {
        for account in self.accounts.values_mut() {
            account.clear_shortfall();
        }
    }

    /// Notes a higher paid figure of a budget that this local ledger has used.
    pub fn raise_paid(&mut self, budget: &BudgetName, paid: u64) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.paid = account.paid.max(paid);
        }
    }

    /// Notes that another local ledger lacks tokens that this one may hold idle.
    pub fn recall(&mut self, budget: &BudgetName) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.recall = true;
        }
    }

    /// Tokens of `budget` that could be reserved now.
    #[must_use]
    pub fn spendable(&self, budget: &BudgetName) -> u64 {
        self.accounts.get(budget).map_or(0, LocalAccount::spendable)
    }

    /// Tokens of `budget` that are granted and not settled.
    #[must_use]
    pub fn outstanding(&self, budget: &BudgetName) -> u64 {
        let account = self.accounts.get(budget);
        account.map_or(0, |account| account.spendable() + account.reserved)
    }

    /// Tokens set aside over all budgets.
    #[must_use]
    pub fn reserved(&self) -> u64 {
        self.accounts.values().map(|account| account.reserved).sum()
    }

    /// What to tell the record now.
    pub fn report(&mut self, now_ms: u64) -> Report {
        let mut budgets = Vec::new();
        for (budget, account) in &mut self.accounts {
            account.decay(now_ms);
            account.return_excess(self.refill_policy);
            if account.needs_report(self.refill_policy) {
                budgets.push(account.position(budget, self.refill_policy));
            }
        }
        Report {
            incarnation: self.incarnation,
            address: self.address.clone(),
            budgets,
            settlements: self.outbox.values().cloned().collect(),
            claims: self.claims.values().copied().collect(),
            closed: self.closing && !self.closed,
            witnesses: self.witnesses.clone(),
            witness_set_version: if self.witnesses.is_empty() {
                0
            } else {
                self.witness_set_version
            },
        }
    }

    /// Takes in a record's reply, after the store holds the record.
    ///
    /// Replies may come late, twice or out of order. Returns the claims that
    /// were answered and the settlements that were confirmed.
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
        let settled = reply
            .settled
            .iter()
            .filter(|(seq, _)| self.outbox.remove(seq).is_some())
            .copied()
            .collect();
        let claims = reply
            .claims
            .iter()
            .filter(|(claim, _)| self.claims.remove(&(claim.key, claim.attempt)).is_some())
            .copied()
            .collect();
        self.closed |= reply.closed;
        if reply.witness_set_version == self.witness_set_version {
            self.witnesses.clear();
        }
        ReplySummary { settled, claims }
    }
}

/// What a reply resolved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplySummary {
    /// Settlements that are durable, with their statuses.
    pub settled: Vec<(u64, SettlementStatus)>,
    /// Claims that were answered.
    pub claims: Vec<(Claim, ClaimStatus)>,
}
