//! Spending prepaid budgets.
//!
//! Each organisation has a home router, the first of the answering routers in
//! an order that its name decides. The home takes grants out of the ledger
//! record in the store ahead of need, and all routers reserve and settle
//! there, so that what the store granted is never split over the fleet. A
//! router that believes itself home when another does too takes a grant of
//! its own; the record keeps their sum within what was paid.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use peridotslip::{
    ids::{BudgetName, Incarnation, OrganisationName},
    ledger::{
        Bill, Forecast, GrantReply, Report, ReportReply, Reservation, Reserve, ShardRecord,
        Voucher, Wallet,
    },
};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{
    clock::Clock,
    metrics::Metrics,
    peers::{Member, Peers},
    ports::{MetadataStore, StoreError, Swap},
    settings::Money,
};

/// Keys of ledger records begin with this; the organisation's name follows.
const LEDGER_PREFIX: &str = "peridotslip/ledger/";
/// Most of what is free at the record that a home takes at once, in percent;
/// what it may hold in all is a setting.
const WISH_PERCENT: u8 = 100;
/// Tokens that a home holds while it doesn't know the rate, in percent of
/// what was paid.
const FLOOR_PERCENT: u8 = 15;
/// Shortest time between two exchanges with a record, in milliseconds.
const MIN_EXCHANGE_GAP_MS: u64 = 100;
/// First pause after a failed exchange, in milliseconds; doubled each time.
const FIRST_BACKOFF_MS: u64 = 150;
/// Longest pause after failed exchanges, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_200;
/// Swaps tried in one exchange.
const MAX_SWAPS: u32 = 6;
/// What a peer's answer may take beyond the home's wait, in milliseconds.
const ASK_SLACK_MS: u64 = 150;
/// Homes tried for one reservation.
const MAX_HOMES: usize = 3;
/// Time between two groups of settlements to homes, in milliseconds.
const SETTLE_GROUP_MS: u64 = 100;
/// Times that settlements and vouchers are sent.
const SEND_TRIES: u32 = 3;
/// Shortest time between two rounds of borrowing for one organisation, in
/// milliseconds.
const BORROW_PAUSE_MS: u64 = 300;
/// A round of borrowing asks for this part of what was paid beyond the need.
const BORROW_DIVISOR: u64 = 20;
/// Routers asked in one round of borrowing.
const MAX_LENDERS: usize = 8;
/// A reservation of another router that is older counts as spent, in
/// milliseconds: longer than any request lasts.
const TICKET_AGE_MS: u64 = 60_000;

/// Names a reservation of one router at another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Ticket {
    holder: Incarnation,
    number: u64,
}

/// What routers ask each other about money.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// Set tokens aside.
    Reserve {
        organisation: OrganisationName,
        paid: u64,
        tokens: u64,
        ticket: Ticket,
    },
    /// End reservations, each with the tokens used.
    Settle(Vec<(Ticket, u64)>),
    /// Hand over tokens that the store can't grant now.
    Lend {
        organisation: OrganisationName,
        tokens: u64,
    },
    /// Take over tokens of a router that leaves.
    Take(Vec<(OrganisationName, Voucher)>),
    /// Are you there?
    Probe,
}

/// Answers to [`Ask::Reserve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Verdict {
    /// The tokens are set aside.
    Held,
    /// What was paid does not cover the request.
    Exhausted,
    /// The tokens can't be had now.
    Short,
    /// The router is leaving; ask the next.
    Leaving,
}

/// Why tokens could not be set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// What was paid does not cover the request.
    Exhausted,
    /// The tokens can't be had now, but may be later.
    Short,
}

struct Account {
    organisation: OrganisationName,
    key: String,
    /// Whether the last exchange with the store failed.
    cut_off: AtomicBool,
    /// When other routers were last asked for tokens.
    borrowed_at: tokio::sync::Mutex<Option<Instant>>,
    budget: BudgetName,
    state: Mutex<State>,
    /// Wakes the task that exchanges reports with the record.
    refill: Notify,
    /// Wakes requests that wait for tokens.
    refilled: Notify,
}

struct State {
    wallet: Wallet,
    /// What the record last said, and how many replies there were.
    reply: Option<GrantReply>,
    replies: u64,
}

impl Account {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether what was paid certainly doesn't cover `tokens`: nobody else
    /// holds any of it, and requests that are running use up to their bounds.
    fn exhausted(&self, budget: &BudgetName, tokens: u64) -> bool {
        self.reply.as_ref().is_some_and(|reply| {
            reply.held_by_others == 0 && reply.free + self.wallet.spendable(budget) < tokens
        })
    }
}

/// The budgets that this router spends from or is home to.
pub(crate) struct Treasury {
    store: Arc<dyn MetadataStore>,
    peers: Arc<Peers>,
    metrics: Arc<Metrics>,
    clock: Clock,
    settings: Money,
    accounts: Mutex<HashMap<OrganisationName, Arc<Account>>>,
    tickets: Mutex<HashMap<Ticket, (OrganisationName, Reservation, Instant)>>,
    outbox: Mutex<HashMap<String, (Member, Vec<(Ticket, u64)>)>>,
    settle: Notify,
    next_ticket: AtomicU64,
    leaving: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Treasury {
    pub(crate) fn spawn(
        store: Arc<dyn MetadataStore>,
        peers: Arc<Peers>,
        metrics: Arc<Metrics>,
        clock: Clock,
        settings: Money,
    ) -> Arc<Self> {
        let treasury = Arc::new(Self {
            store,
            peers,
            metrics,
            clock,
            settings,
            accounts: Mutex::default(),
            tickets: Mutex::default(),
            outbox: Mutex::default(),
            settle: Notify::new(),
            next_ticket: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        });
        tokio::spawn(treasury.clone().send_settlements());
        treasury
    }

    /// Sets `tokens` of an organisation aside, at its home.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        organisation: &OrganisationName,
        paid: u64,
        tokens: u64,
    ) -> Result<Held, Denied> {
        let with_me = !self.leaving.load(Ordering::Relaxed);
        let homes = self.peers.ranked(organisation.as_str(), with_me);
        for home in homes.into_iter().take(MAX_HOMES) {
            let verdict = if home.vm == self.peers.me().vm {
                match self.reserve_here(organisation, paid, tokens).await {
                    Ok(reservation) => {
                        return Ok(self.held(Place::Here(organisation.clone(), reservation)));
                    }
                    Err(Denied::Exhausted) => Verdict::Exhausted,
                    Err(Denied::Short) => Verdict::Short,
                }
            } else {
                let ticket = Ticket {
                    holder: self.peers.me().incarnation,
                    number: self.next_ticket.fetch_add(1, Ordering::Relaxed),
                };
                let held = self.held(Place::At(home.clone(), ticket));
                let verdict = self.ask(&home, organisation, paid, tokens, ticket).await;
                match verdict {
                    Some(Verdict::Held) => return Ok(held),
                    Some(verdict) => {
                        held.forget();
                        verdict
                    }
                    // Whatever was set aside is given back when `held` goes.
                    None => continue,
                }
            };
            match verdict {
                Verdict::Exhausted => return Err(Denied::Exhausted),
                Verdict::Leaving => {}
                Verdict::Held | Verdict::Short => return Err(Denied::Short),
            }
        }
        Err(Denied::Short)
    }

    async fn ask(
        &self,
        home: &Member,
        organisation: &OrganisationName,
        paid: u64,
        tokens: u64,
        ticket: Ticket,
    ) -> Option<Verdict> {
        let ask = Ask::Reserve {
            organisation: organisation.clone(),
            paid,
            tokens,
            ticket,
        };
        let timeout = Duration::from_millis(self.settings.wait_ms + ASK_SLACK_MS);
        self.peers.ask(home, &ask, timeout).await.ok()
    }

    fn held(self: &Arc<Self>, place: Place) -> Held {
        Held {
            treasury: self.clone(),
            place: Some(place),
            used: 0,
        }
    }

    /// Answers another router's reservation.
    pub(crate) async fn reserve_for(
        self: &Arc<Self>,
        organisation: OrganisationName,
        paid: u64,
        tokens: u64,
        ticket: Ticket,
    ) -> Verdict {
        if self.leaving.load(Ordering::Relaxed) {
            return Verdict::Leaving;
        }
        match self.reserve_here(&organisation, paid, tokens).await {
            Ok(reservation) => {
                lock(&self.tickets).insert(ticket, (organisation, reservation, Instant::now()));
                Verdict::Held
            }
            Err(Denied::Exhausted) => Verdict::Exhausted,
            Err(Denied::Short) => Verdict::Short,
        }
    }

    /// Ends other routers' reservations.
    pub(crate) fn settle_for(&self, settlements: &[(Ticket, u64)]) {
        for (ticket, used) in settlements {
            let found = lock(&self.tickets).remove(ticket);
            if let Some((organisation, reservation, _)) = found {
                self.settle_here(&organisation, reservation, *used);
            }
        }
        self.expire_tickets();
    }

    fn expire_tickets(&self) {
        let age = Duration::from_millis(TICKET_AGE_MS);
        let old: Vec<Ticket> = lock(&self.tickets)
            .iter()
            .filter(|(_, (_, _, since))| since.elapsed() > age)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in old {
            let found = lock(&self.tickets).remove(&ticket);
            if let Some((organisation, reservation, _)) = found {
                let tokens = reservation.tokens();
                log::warn!(organisation = organisation.as_str(), tokens; "reservation was never settled; it counts as spent");
                self.settle_here(&organisation, reservation, tokens);
            }
        }
    }

    /// Whether this router is the home of an organisation's budget.
    fn is_home(&self, organisation: &OrganisationName) -> bool {
        let ranked = self.peers.ranked(organisation.as_str(), true);
        let first = ranked
            .first()
            .is_some_and(|home| home.vm == self.peers.me().vm);
        first && !self.leaving.load(Ordering::Relaxed)
    }

    /// How much to ask for ahead of needs: nothing where another router is
    /// home, so that what it lacks is not held here.
    fn forecast(&self, organisation: &OrganisationName) -> Forecast {
        if self.is_home(organisation) {
            Forecast {
                horizon_ms: self.settings.horizon_ms,
                share_percent: WISH_PERCENT,
                floor_percent: FLOOR_PERCENT,
                most_percent: self.settings.most_percent,
            }
        } else {
            Forecast {
                horizon_ms: 0,
                share_percent: 0,
                floor_percent: 0,
                most_percent: 0,
            }
        }
    }

    fn account(self: &Arc<Self>, organisation: &OrganisationName) -> Arc<Account> {
        let mut accounts = lock(&self.accounts);
        if let Some(account) = accounts.get(organisation) {
            return account.clone();
        }
        let me = self.peers.me();
        let wallet = Wallet::new(me.incarnation)
            .at(&me.address)
            .with_forecast(self.forecast(organisation));
        let account = Arc::new(Account {
            organisation: organisation.clone(),
            key: format!("{LEDGER_PREFIX}{organisation}"),
            cut_off: AtomicBool::new(false),
            borrowed_at: tokio::sync::Mutex::default(),
            budget: organisation.as_str().into(),
            state: Mutex::new(State {
                wallet,
                reply: None,
                replies: 0,
            }),
            refill: Notify::new(),
            refilled: Notify::new(),
        });
        accounts.insert(organisation.clone(), account.clone());
        tokio::spawn(self.clone().keep_account(account.clone()));
        account
    }

    /// Opens the accounts that this router is home to, so that grants are
    /// there before the first request, and raises what was paid.
    pub(crate) fn set_paid(self: &Arc<Self>, paid: &[(OrganisationName, u64)]) {
        if self.leaving.load(Ordering::Relaxed) {
            return;
        }
        for (organisation, paid) in paid {
            let home = self.is_home(organisation);
            let known = lock(&self.accounts).contains_key(organisation);
            if home || known {
                let account = self.account(organisation);
                account.lock().wallet.set_paid(&account.budget, *paid);
                account.refill.notify_one();
            }
        }
    }

    async fn reserve_here(
        self: &Arc<Self>,
        organisation: &OrganisationName,
        paid: u64,
        tokens: u64,
    ) -> Result<Reservation, Denied> {
        let account = self.account(organisation);
        let until = tokio::time::Instant::now() + Duration::from_millis(self.settings.wait_ms);
        let replies = account.lock().replies;
        loop {
            let refilled = account.refilled.notified();
            {
                let mut state = account.lock();
                state.wallet.set_paid(&account.budget, paid);
                let now_ms = self.clock.now_ms();
                if let Reserve::Held(reservation) =
                    state.wallet.reserve(&account.budget, tokens, now_ms)
                {
                    return Ok(reservation);
                }
                let heard = state.replies > replies;
                if heard && state.exhausted(&account.budget, tokens) {
                    return Err(Denied::Exhausted);
                }
            }
            account.refill.notify_one();
            let cut_off = account.cut_off.load(Ordering::Relaxed);
            if cut_off && !self.borrow(&account, paid, tokens).await {
                return Err(Denied::Short);
            }
            if !cut_off && tokio::time::timeout_at(until, refilled).await.is_err() {
                return Err(Denied::Short);
            }
        }
    }

    /// Asks other routers for tokens that they hold, while the store can't
    /// grant any. Returns whether there are enough now.
    async fn borrow(&self, account: &Account, paid: u64, tokens: u64) -> bool {
        let mut borrowed_at = account.borrowed_at.lock().await;
        let enough = || account.lock().wallet.spendable(&account.budget) >= tokens;
        let pause = Duration::from_millis(BORROW_PAUSE_MS);
        if enough() {
            return true;
        }
        if borrowed_at.is_some_and(|at| at.elapsed() < pause) {
            return false;
        }
        *borrowed_at = Some(Instant::now());
        let ask = Ask::Lend {
            organisation: account.organisation.clone(),
            tokens: tokens + paid / BORROW_DIVISOR,
        };
        let lenders = self.peers.ranked(account.organisation.as_str(), false);
        for lender in lenders.into_iter().take(MAX_LENDERS) {
            let timeout = Duration::from_millis(ASK_SLACK_MS);
            let answer: crate::rpc::Result<Option<Voucher>> =
                self.peers.ask(&lender, &ask, timeout).await;
            if let Ok(Some(voucher)) = answer {
                log::info!(budget = account.budget.as_str(), lender = lender.vm.as_str(), tokens = voucher.tokens; "tokens borrowed while the store is away");
                account.lock().wallet.borrow(voucher);
            }
            if enough() {
                return true;
            }
        }
        false
    }

    /// Hands tokens over to another router.
    pub(crate) fn lend(&self, organisation: &OrganisationName, tokens: u64) -> Option<Voucher> {
        let account = lock(&self.accounts).get(organisation).cloned()?;
        let home = self.is_home(organisation);
        let mut state = account.lock();
        let tokens = if home {
            tokens.min(state.wallet.spendable(&account.budget) / 2)
        } else {
            u64::MAX
        };
        state.wallet.lend(&account.budget, tokens)
    }

    /// Takes over tokens of another router.
    pub(crate) fn take(self: &Arc<Self>, vouchers: Vec<(OrganisationName, Voucher)>) {
        for (organisation, voucher) in vouchers {
            let account = self.account(&organisation);
            let tokens = voucher.tokens;
            if account.lock().wallet.borrow(voucher) {
                log::info!(budget = account.budget.as_str(), tokens; "tokens taken over from a router that leaves");
            }
        }
    }

    /// Hands everything that can be spent over to the next homes.
    async fn hand_over(self: &Arc<Self>) {
        let accounts: Vec<_> = lock(&self.accounts).values().cloned().collect();
        let mut groups: HashMap<String, (Member, Vec<(OrganisationName, Voucher)>)> =
            HashMap::new();
        for account in accounts {
            let ranked = self.peers.ranked(account.organisation.as_str(), false);
            let Some(home) = ranked.into_iter().next() else {
                continue;
            };
            if let Some(voucher) = account.lock().wallet.lend(&account.budget, u64::MAX) {
                let group = groups
                    .entry(home.vm.clone())
                    .or_insert_with(|| (home, Vec::new()));
                group.1.push((account.organisation.clone(), voucher));
            }
        }
        for (home, vouchers) in groups.into_values() {
            let tokens: u64 = vouchers.iter().map(|(_, voucher)| voucher.tokens).sum();
            log::info!(home = home.vm.as_str(), tokens; "handing tokens over");
            send(&self.peers, &home, &Ask::Take(vouchers)).await;
        }
    }

    fn settle_here(&self, organisation: &OrganisationName, reservation: Reservation, used: u64) {
        let account = lock(&self.accounts).get(organisation).cloned();
        if let Some(account) = account {
            let now_ms = self.clock.now_ms();
            let mut state = account.lock();
            if used == 0 {
                state.wallet.cancel(reservation);
            } else {
                state
                    .wallet
                    .settle(reservation, Bill::new(None, used), now_ms);
            }
        }
    }

    /// Exchanges reports with one organisation's record until the process
    /// ends.
    async fn keep_account(self: Arc<Self>, account: Arc<Account>) {
        let mut known: Option<(u64, ShardRecord)> = None;
        let mut backoff_ms = FIRST_BACKOFF_MS;
        loop {
            let pace = Duration::from_millis(self.settings.settle_ms);
            let _paced = tokio::time::timeout(pace, account.refill.notified()).await;
            let forecast = self.forecast(&account.organisation);
            account.lock().wallet.set_forecast(forecast);
            let outcome = self.exchange(&account, &mut known).await;
            account.cut_off.store(outcome.is_err(), Ordering::Relaxed);
            match outcome {
                Ok(()) => {
                    backoff_ms = FIRST_BACKOFF_MS;
                    tokio::time::sleep(Duration::from_millis(MIN_EXCHANGE_GAP_MS)).await;
                }
                Err(err) => {
                    known = None;
                    let budget = account.budget.as_str();
                    log::warn!(budget, reason = err.to_string().as_str(); "budget could not be exchanged with the store");
                    self.metrics.store_failed();
                    tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
                    backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
                }
            }
        }
    }

    /// Tells the record what has changed and takes in its reply.
    async fn exchange(
        &self,
        account: &Account,
        known: &mut Option<(u64, ShardRecord)>,
    ) -> Result<(), StoreError> {
        let (report, vouchers) = {
            let mut state = account.lock();
            let vouchers = state.wallet.voucher_reports();
            (state.wallet.report(self.clock.now_ms()), vouchers)
        };
        if report.is_empty() && vouchers.is_empty() {
            return Ok(());
        }
        for _ in 0..MAX_SWAPS {
            let (revision, record) = match known.take() {
                Some(known) => known,
                None => self.read_record(&account.key).await?,
            };
            let mut next = record;
            let now_ms = self.clock.unix_ms();
            let apply = |report| next.apply(report, now_ms);
            let voucher_replies: Vec<ReportReply> = vouchers.iter().map(apply).collect();
            let reply = next.apply(&report, now_ms);
            next.expire();
            self.metrics.store_call("swap");
            match self.store.swap(&account.key, revision, &next.encode()).await? {
                Swap::Done(revision) => {
                    *known = Some((revision, next));
                    for reply in &voucher_replies {
                        account.lock().wallet.accept_voucher_reply(reply);
                    }
                    self.accept(account, &report, &reply);
                    return Ok(());
                }
                Swap::Conflict(item) => {
                    *known = item.map(decode_record).transpose()?;
                    log::info!(budget = account.budget.as_str(), revision; "record was changed by another router");
                }
            }
        }
        Err(StoreError::Unavailable("too many conflicts".to_owned()))
    }

    fn accept(&self, account: &Account, report: &Report, reply: &ReportReply) {
        let mut state = account.lock();
        state.wallet.accept(reply);
        if let Some(grant) = reply.grants.first() {
            log::info!(
                budget = account.budget.as_str(),
                paid = grant.paid,
                granted = grant.granted,
                free = grant.free,
                others = grant.held_by_others,
                settled = report.settlements.len(),
                spendable = state.wallet.spendable(&account.budget);
                "grant renewed"
            );
            state.reply = Some(grant.clone());
            state.replies += 1;
            drop(state);
            account.refilled.notify_waiters();
        }
    }

    async fn read_record(&self, key: &str) -> Result<(u64, ShardRecord), StoreError> {
        self.metrics.store_call("get");
        match self.store.get(key).await? {
            Some(item) => decode_record(item),
            None => Ok((0, ShardRecord::default())),
        }
    }

    /// Sends settlements to homes, in groups, until the process ends.
    async fn send_settlements(self: Arc<Self>) {
        loop {
            self.settle.notified().await;
            tokio::time::sleep(Duration::from_millis(SETTLE_GROUP_MS)).await;
            let groups: Vec<_> = lock(&self.outbox).drain().map(|(_, group)| group).collect();
            for (home, settlements) in groups {
                tokio::spawn(send_group(self.peers.clone(), home, settlements));
            }
        }
    }

    /// Gives back what is not spent: to the store, or to other routers if it
    /// is away. Call it when no request is running any more.
    pub(crate) async fn close(self: &Arc<Self>, limit: Duration) {
        let accounts: Vec<_> = lock(&self.accounts).values().cloned().collect();
        let until = tokio::time::Instant::now() + limit;
        for account in accounts {
            let mut known = None;
            let forecast = self.forecast(&account.organisation);
            account.lock().wallet.set_forecast(forecast);
            let closing = self.exchange(&account, &mut known);
            if !matches!(tokio::time::timeout_at(until, closing).await, Ok(Ok(()))) {
                log::warn!(budget = account.budget.as_str(); "grant could not be settled with the store");
            }
        }
        self.hand_over().await;
    }

    /// Stops being home to any budget, and hands over what can be spent.
    pub(crate) async fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        self.hand_over().await;
    }

    /// Whether other routers still have reservations here.
    pub(crate) fn has_tickets(&self) -> bool {
        !lock(&self.tickets).is_empty()
    }
}

fn decode_record(item: crate::ports::Item) -> Result<(u64, ShardRecord), StoreError> {
    let record = ShardRecord::decode(&item.value)
        .map_err(|err| StoreError::Unreadable(err.to_string()))?;
    Ok((item.revision, record))
}

async fn send_group(peers: Arc<Peers>, home: Member, settlements: Vec<(Ticket, u64)>) {
    send(&peers, &home, &Ask::Settle(settlements)).await;
}

/// Sends what must arrive, a few times until it is acknowledged. The receiver
/// takes a repeated message in once.
async fn send(peers: &Peers, home: &Member, ask: &Ask) {
    for _ in 0..SEND_TRIES {
        let timeout = Duration::from_millis(ASK_SLACK_MS * 2);
        if peers.ask::<_, bool>(home, ask, timeout).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(SETTLE_GROUP_MS)).await;
    }
    log::warn!(home = home.vm.as_str(); "tokens could not be delivered; they count as spent");
}

enum Place {
    Here(OrganisationName, Reservation),
    At(Member, Ticket),
}

/// Tokens set aside for a request. Dropping it settles what was used.
pub(crate) struct Held {
    treasury: Arc<Treasury>,
    place: Option<Place>,
    used: u64,
}

impl Held {
    /// Notes the tokens used in all.
    pub(crate) fn set_used(&mut self, tokens: u64) {
        self.used = tokens;
    }

    /// Lets go of a reservation that the home did not make.
    fn forget(mut self) {
        self.place = None;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        match self.place.take() {
            None => {}
            Some(Place::Here(organisation, reservation)) => {
                self.treasury
                    .settle_here(&organisation, reservation, self.used);
            }
            Some(Place::At(home, ticket)) => {
                let mut outbox = lock(&self.treasury.outbox);
                let group = outbox
                    .entry(home.vm.clone())
                    .or_insert_with(|| (home, Vec::new()));
                group.1.push((ticket, self.used));
                drop(outbox);
                self.treasury.settle.notify_one();
            }
        }
    }
}
