//! The router's side of the ledger.

mod purse;

use std::collections::{BTreeMap, HashMap, HashSet};

pub use self::purse::Forecast;
use self::purse::{Borrowed, Purse};
use super::{
    Bill, BudgetReport, Claim, ClaimVerdict, Outcome, Report, ReportReply, Settlement, Verdict,
    Voucher,
};
use crate::ids::{BudgetName, IdempotencyKey, Incarnation};

/// Tokens set aside for a request that is running.
///
/// It must be given back to its wallet by [`Wallet::settle`] or
/// [`Wallet::cancel`].
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

/// The answer to [`Wallet::reserve`].
#[derive(Debug, PartialEq, Eq)]
pub enum Reserve {
    /// The tokens are set aside.
    Held(Reservation),
    /// The wallet holds too little; the next report asks for more.
    Short,
    /// The wallet must not use so much before a witness has noted this
    /// ceiling, in tokens used over the wallet's life.
    Unwitnessed(u64),
}

/// Grants, reservations and unconfirmed settlements of one router process in
/// one ledger shard.
///
/// The invariant is `spent + reserved + returned <= granted` for each budget,
/// where `granted` only ever rises by [`accept`](Self::accept) and vouchers
/// add to it.
#[derive(Clone, Debug)]
pub struct Wallet {
    incarnation: Incarnation,
    address: String,
    forecast: Forecast,
    purses: HashMap<BudgetName, Purse>,
    outbox: BTreeMap<u64, Settlement>,
    /// Settlements of other wallets' vouchers that no reply has confirmed.
    borrowed_outbox: BTreeMap<(Incarnation, u64), Settlement>,
    /// Routers that note ceilings, until a reply has come.
    witnesses: Vec<Incarnation>,
    /// How often they have been chosen.
    witnesses_choice: u64,
    /// Vouchers that have been taken in, so that none counts twice.
    seen_vouchers: HashSet<(Incarnation, u64)>,
    claims: BTreeMap<(IdempotencyKey, u64), Claim>,
    last_seq: u64,
    closing: bool,
    closed: bool,
}

impl Wallet {
    /// An empty wallet for one run of a router.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            address: String::new(),
            forecast: Forecast::default(),
            purses: HashMap::new(),
            outbox: BTreeMap::new(),
            borrowed_outbox: BTreeMap::new(),
            witnesses: Vec::new(),
            witnesses_choice: 0,
            seen_vouchers: HashSet::new(),
            claims: BTreeMap::new(),
            last_seq: 0,
            closing: false,
            closed: false,
        }
    }

    /// Says where the router can be found.
    #[must_use]
    pub fn at(mut self, address: &str) -> Self {
        address.clone_into(&mut self.address);
        self
    }

    /// Says how much to ask for ahead of needs.
    #[must_use]
    pub fn with_forecast(mut self, forecast: Forecast) -> Self {
        self.forecast = forecast;
        self
    }

    /// The run of the router that this wallet belongs to.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Notes the cumulative amount paid into `budget`; it never falls.
    pub fn set_paid(&mut self, budget: &BudgetName, paid: u64) {
        let purse = self.purses.entry(budget.clone()).or_default();
        purse.paid = purse.paid.max(paid);
    }

    /// Sets `tokens` of `budget` aside, or notes that they are lacking.
    pub fn reserve(&mut self, budget: &BudgetName, tokens: u64, now_ms: u64) -> Reserve {
        let purse = self.purses.entry(budget.clone()).or_default();
        purse.decay(now_ms);
        if purse.spendable() < tokens {
            purse.lack(tokens);
            return Reserve::Short;
        }
        let used = purse.used_at_most() + tokens;
        if purse.ceiling.is_some_and(|ceiling| used > ceiling) {
            return Reserve::Unwitnessed(used);
        }
        purse.reserved += tokens;
        Reserve::Held(Reservation {
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
        let purse = self.purses.entry(reservation.budget.clone()).or_default();
        purse.reserved -= reservation.tokens;
        purse.note_spend(bill.tokens, now_ms);
        if bill.key.is_none() {
            bill.tokens = purse.spend_borrowed(bill.tokens);
        }
        purse.spent += bill.tokens;
        if bill.key.is_none() && bill.tokens == 0 {
            return self.last_seq;
        }
        self.post(reservation.budget, bill)
    }

    /// Hands out up to `tokens` of `budget` that are granted to this wallet
    /// and not needed, for another wallet to spend.
    pub fn lend(&mut self, budget: &BudgetName, tokens: u64) -> Option<Voucher> {
        let purse = self.purses.get_mut(budget)?;
        let room = purse.ceiling.map_or(u64::MAX, |ceiling| {
            ceiling.saturating_sub(purse.used_at_most())
        });
        let tokens = tokens.min(purse.own_spare()).min(room);
        if tokens == 0 {
            return None;
        }
        purse.spent += tokens;
        self.last_seq += 1;
        Some(Voucher {
            lender: self.incarnation,
            seq: self.last_seq,
            budget: budget.clone(),
            tokens,
        })
    }

    /// Takes in a voucher; `false` if it had been taken in before or is this
    /// wallet's own.
    pub fn borrow(&mut self, voucher: Voucher) -> bool {
        let fresh = self.seen_vouchers.insert((voucher.lender, voucher.seq));
        if !fresh || voucher.lender == self.incarnation {
            return false;
        }
        let purse = self.purses.entry(voucher.budget.clone()).or_default();
        purse.vouchers.push(Borrowed { voucher, spent: 0 });
        true
    }

    /// Closes the vouchers that running requests don't need, so that the next
    /// reports settle them. Call it only while the record can be reached: what
    /// is closed can't be spent any more.
    pub fn close_vouchers(&mut self) {
        for purse in self.purses.values_mut() {
            for borrowed in purse.take_spare_vouchers() {
                let Borrowed { voucher, spent } = borrowed;
                let settlement = Settlement {
                    seq: voucher.seq,
                    budget: voucher.budget,
                    bill: Bill::new(None, spent),
                    held: voucher.tokens,
                };
                self.borrowed_outbox
                    .insert((voucher.lender, voucher.seq), settlement);
            }
        }
    }

    /// Whether any voucher is in use.
    #[must_use]
    pub fn has_vouchers(&self) -> bool {
        self.purses.values().any(|purse| !purse.vouchers.is_empty())
    }

    /// What to tell the record in place of the lenders of closed vouchers:
    /// what was spent of them, and that the rest is free again.
    #[must_use]
    pub fn voucher_reports(&self) -> Vec<Report> {
        let mut reports: BTreeMap<Incarnation, Report> = BTreeMap::new();
        for ((lender, _), settlement) in &self.borrowed_outbox {
            let report = reports.entry(*lender).or_insert_with(|| Report {
                incarnation: *lender,
                ..Report::default()
            });
            report.settlements.push(settlement.clone());
        }
        reports.into_values().collect()
    }

    /// Takes in the record's reply to a report on vouchers.
    pub fn accept_voucher_reply(&mut self, reply: &ReportReply) {
        for (seq, _) in &reply.settled {
            self.borrowed_outbox.remove(&(reply.incarnation, *seq));
        }
    }

    /// Bounds what may be used of `budget`, or lifts a bound.
    pub fn set_ceiling(&mut self, budget: &BudgetName, ceiling: Option<u64>) {
        let purse = self.purses.entry(budget.clone()).or_default();
        purse.ceiling = ceiling;
    }

    /// Allows more of `budget` to be used, because a witness has noted it.
    pub fn raise_ceiling(&mut self, budget: &BudgetName, ceiling: u64) {
        if let Some(purse) = self.purses.get_mut(budget) {
            purse.ceiling = purse.ceiling.map(|held| held.max(ceiling));
        }
    }

    /// Most that has been used of the grant of `budget` over the wallet's
    /// life, and the bound on it.
    #[must_use]
    pub fn used_at_most(&self, budget: &BudgetName) -> (u64, Option<u64>) {
        let purse = self.purses.get(budget);
        purse.map_or((0, None), |purse| (purse.used_at_most(), purse.ceiling))
    }

    /// Tokens of `budget` that are spent in a second at present.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn rate(&self, budget: &BudgetName) -> u64 {
        let purse = self.purses.get(budget);
        purse.map_or(0, |purse| purse.unbiased_rate() as u64)
    }

    /// Whether the record names the witnesses that were chosen last.
    #[must_use]
    pub fn witnesses_are_named(&self) -> bool {
        self.witnesses.is_empty()
    }

    /// Names the routers that note ceilings, with the next reports until a
    /// reply has come.
    pub fn set_witnesses(&mut self, witnesses: Vec<Incarnation>) {
        self.witnesses = witnesses;
        self.witnesses_choice += 1;
    }

    /// Tokens that waiting requests of `budget` lack.
    #[must_use]
    pub fn lacking(&self, budget: &BudgetName) -> u64 {
        self.purses.get(budget).map_or(0, |purse| purse.lacking)
    }

    /// Changes how much to ask for ahead of needs.
    pub fn set_forecast(&mut self, forecast: Forecast) {
        self.forecast = forecast;
    }

    fn post(&mut self, budget: BudgetName, bill: Bill) -> u64 {
        self.last_seq += 1;
        let settlement = Settlement {
            seq: self.last_seq,
            budget,
            held: bill.tokens,
            bill,
        };
        self.outbox.insert(self.last_seq, settlement);
        self.last_seq
    }

    /// Ends a reservation whose work never ran and that holds no claim.
    #[allow(clippy::needless_pass_by_value)] // Taking it keeps it from being used again.
    pub fn cancel(&mut self, reservation: Reservation) {
        if let Some(purse) = self.purses.get_mut(&reservation.budget) {
            purse.reserved -= reservation.tokens;
        }
    }

    /// Gives a claim back whose work certainly never ran. If another wallet
    /// holds the claim, nothing changes.
    pub fn unclaim(&mut self, budget: &BudgetName, key: IdempotencyKey) -> u64 {
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
    pub fn forget_claim(&mut self, claim: &Claim) {
        self.claims.remove(&(claim.key, claim.attempt));
    }

    /// A settlement that no reply has confirmed.
    #[must_use]
    pub fn unconfirmed(&self, seq: u64) -> Option<&Settlement> {
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
        self.purses
            .get(budget)
            .is_some_and(|purse| purse.is_low(self.forecast))
    }

    /// Whether no record has ever heard of this wallet.
    #[must_use]
    pub fn is_untouched(&self) -> bool {
        self.purses.values().all(|purse| purse.recorded_paid == 0)
            && self.last_seq == 0
            && self.claims.is_empty()
    }

    /// Forgets what waiting requests lack, because they were refused.
    pub fn forget_needs(&mut self) {
        for purse in self.purses.values_mut() {
            purse.forget_needs();
        }
    }

    /// Notes a higher paid figure of a budget that this wallet has used.
    pub fn raise_paid(&mut self, budget: &BudgetName, paid: u64) {
        if let Some(purse) = self.purses.get_mut(budget) {
            purse.paid = purse.paid.max(paid);
        }
    }

    /// Notes that another wallet lacks tokens that this one may hold idle.
    pub fn recall(&mut self, budget: &BudgetName) {
        if let Some(purse) = self.purses.get_mut(budget) {
            purse.recall = true;
        }
    }

    /// Tokens of `budget` that could be reserved now.
    #[must_use]
    pub fn spendable(&self, budget: &BudgetName) -> u64 {
        self.purses.get(budget).map_or(0, Purse::spendable)
    }

    /// Tokens of `budget` that are granted and not settled.
    #[must_use]
    pub fn held(&self, budget: &BudgetName) -> u64 {
        let purse = self.purses.get(budget);
        purse.map_or(0, |purse| purse.spendable() + purse.reserved)
    }

    /// Tokens set aside over all budgets.
    #[must_use]
    pub fn reserved(&self) -> u64 {
        self.purses.values().map(|purse| purse.reserved).sum()
    }

    /// What to tell the record now.
    pub fn report(&mut self, now_ms: u64) -> Report {
        let mut budgets = Vec::new();
        for (budget, purse) in &mut self.purses {
            purse.decay(now_ms);
            purse.give_back(self.forecast);
            if purse.needs_report(self.forecast) {
                budgets.push(purse.position(budget, self.forecast));
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
            witnesses_choice: if self.witnesses.is_empty() {
                0
            } else {
                self.witnesses_choice
            },
        }
    }

    /// Takes in a record's reply, after the store holds the record.
    ///
    /// Replies may come late, twice or out of order. Returns the claims that
    /// were answered and the settlements that were confirmed.
    pub fn accept(&mut self, reply: &ReportReply) -> Accepted {
        for grant in &reply.grants {
            let purse = self.purses.entry(grant.budget.clone()).or_default();
            purse.granted = purse.granted.max(grant.granted);
            purse.recall = grant.recall;
            purse.free_at_record = grant.free;
            purse.forget_needs();
            purse.recorded_paid = purse.recorded_paid.max(grant.paid);
            purse.recorded_returned = purse.recorded_returned.max(grant.returned);
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
        if reply.witnesses_choice == self.witnesses_choice {
            self.witnesses.clear();
        }
        Accepted { settled, claims }
    }
}

/// What a reply resolved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accepted {
    /// Settlements that are durable, with their verdicts.
    pub settled: Vec<(u64, Verdict)>,
    /// Claims that were answered.
    pub claims: Vec<(Claim, ClaimVerdict)>,
}
