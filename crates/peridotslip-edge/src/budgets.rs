//! Spending prepaid budgets.
//!
//! Each organisation has a home router, the first of the answering routers in
//! an order that its name decides. The home takes grants out of the ledger
//! record in the store ahead of need, and all routers reserve and settle
//! there, so that what the store granted is never split over the fleet. A
//! router that believes itself home when another does too takes a grant of
//! its own; the record keeps their sum within what was paid.

mod account;
mod exchange;
mod lending;
mod messages;
mod settle;
mod witness;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use peridotslip::{
    ids::OrganisationName,
    ledger::{Bill, LocalLedger, RefillPolicy, Reservation, ReserveResult, WitnessedCeilings},
};
use tokio::sync::Notify;

use self::account::{Account, State};
use self::settle::{Place, send};
pub(crate) use self::{
    messages::{CeilingAck, PeerRequest, ReservationId, ReserveReply},
    settle::ReservationGuard,
};

use crate::{
    clock::Clock,
    latch::Latch,
    metrics::Metrics,
    peers::{Peers, RouterInstance},
    ports::MetadataStore,
    settings::Money,
};

/// Keys of ledger records begin with this; the organisation's name follows.
const LEDGER_PREFIX: &str = "peridotslip/ledger/";
/// How long the grants of a router that stands in for a home last, in
/// milliseconds.
const FAILOVER_HORIZON_MS: u64 = 2_000;
/// Most of what is unspent that a stand-in holds, in percent.
const FAILOVER_PERCENT: u8 = 10;
/// Most of what is free at the record that a home takes at once, in percent;
/// what it may hold in all is a setting.
const PREFETCH_PERCENT: u8 = 100;
/// Tokens that a home holds while it doesn't know the rate, in percent of
/// what was paid.
const MIN_HEADROOM_PERCENT: u8 = 15;
/// What a peer's answer may take beyond the home's wait, in milliseconds.
const ASK_SLACK_MS: u64 = 150;
/// When less than this part of what was paid is left, in percent, the rest is
/// paced instead of spent at once.
const SCARCE_PERCENT: u64 = 3;
/// Time over which the rest is spread, in milliseconds.
const SCARCE_SPREAD_MS: u64 = 10_000;
/// How long a record's word that nothing is free is taken as it is, in
/// milliseconds: settlements free tokens at the pace of reports.
const REPLY_AGE_MS: u64 = 700;
/// The same where others held enough for the request, in milliseconds: they
/// may give it back at any time. As long as a request waits for a reply, so
/// that a lasting shortage costs a call to the store in that time.
const OTHERS_AGE_MS: u64 = 250;
/// Homes tried for one reservation.
const MAX_OWNER_CANDIDATES: usize = 3;

/// Why tokens could not be set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReserveError {
    /// What was paid does not cover the request.
    Exhausted,
    /// The tokens can't be had now, but may be later.
    Short,
    /// The tokens can't be had here, because the store is out of reach.
    CutOff,
}

impl From<ReserveError> for ReserveReply {
    fn from(err: ReserveError) -> Self {
        match err {
            ReserveError::Exhausted => Self::Exhausted,
            ReserveError::Short => Self::Short,
            ReserveError::CutOff => Self::Elsewhere,
        }
    }
}

/// Settlements that wait to be sent to a home.
type Outgoing = (RouterInstance, Vec<(ReservationId, u64)>);

/// What came of asking a local ledger.
enum Tried {
    Held(Reservation),
    CeilingTooLow(u64),
    Exhausted,
    Short,
    /// The last tokens are spread over time, or the record said only just now
    /// that it has too few.
    Hopeless,
}

/// The budgets that this router spends from or is home to.
pub(crate) struct BudgetManager {
    store: Arc<dyn MetadataStore>,
    peers: Arc<Peers>,
    metrics: Arc<Metrics>,
    clock: Clock,
    settings: Money,
    accounts: Mutex<HashMap<OrganisationName, Arc<Account>>>,
    remote_reservations: Mutex<HashMap<ReservationId, (OrganisationName, Reservation, Instant)>>,
    outbox: Mutex<HashMap<String, Outgoing>>,
    settle: Notify,
    next_seq: AtomicU64,
    leaving: AtomicBool,
    /// Set once the store has this router's entry.
    registered: Latch,
    /// What this router has noted for others.
    ceilings: Mutex<WitnessedCeilings>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl BudgetManager {
    pub(crate) fn spawn(
        store: Arc<dyn MetadataStore>,
        peers: Arc<Peers>,
        metrics: Arc<Metrics>,
        clock: Clock,
        settings: Money,
    ) -> Arc<Self> {
        let budgets = Arc::new(Self {
            store,
            peers,
            metrics,
            clock,
            settings,
            accounts: Mutex::default(),
            remote_reservations: Mutex::default(),
            outbox: Mutex::default(),
            settle: Notify::new(),
            next_seq: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            registered: Latch::default(),
            ceilings: Mutex::default(),
        });
        tokio::spawn(budgets.clone().send_settlements());
        budgets
    }

    /// Sets `tokens` of an organisation aside, at its home, for the request
    /// that is called `id` in logs.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        id: &str,
        organisation: &OrganisationName,
        paid: u64,
        tokens: u64,
    ) -> Result<ReservationGuard, ReserveError> {
        let include_self = !self.is_leaving();
        let owners = self.peers.ranked(organisation.as_str(), include_self);
        for owner in owners.into_iter().take(MAX_OWNER_CANDIDATES) {
            let reply = if owner.vm == self.peers.local().vm {
                match self.reserve_here(organisation, paid, tokens).await {
                    Ok(reservation) => {
                        return Ok(self.guard(Place::Here(organisation.clone(), reservation)));
                    }
                    Err(err) => err.into(),
                }
            } else {
                let reservation_id = ReservationId {
                    requester: self.peers.local().incarnation,
                    seq: self.next_seq.fetch_add(1, Ordering::Relaxed),
                };
                let guard = self.guard(Place::At(owner.clone(), reservation_id));
                let reply = self
                    .request_reservation(&owner, organisation, paid, tokens, reservation_id)
                    .await;
                match reply {
                    Some(ReserveReply::Held) => return Ok(guard),
                    Some(reply) => {
                        guard.forget();
                        reply
                    }
                    // Whatever was set aside is given back when `guard` goes.
                    None => {
                        log::info!(id, organisation = organisation.as_str(), tokens, home = owner.vm.as_str(); "home did not answer");
                        continue;
                    }
                }
            };
            log::info!(id, organisation = organisation.as_str(), tokens, home = owner.vm.as_str(), verdict:? = reply; "tokens were not set aside");
            match reply {
                ReserveReply::Exhausted => return Err(ReserveError::Exhausted),
                ReserveReply::Elsewhere => {}
                ReserveReply::Held | ReserveReply::Short => return Err(ReserveError::Short),
            }
        }
        Err(ReserveError::Short)
    }

    async fn request_reservation(
        &self,
        owner: &RouterInstance,
        organisation: &OrganisationName,
        paid: u64,
        tokens: u64,
        reservation_id: ReservationId,
    ) -> Option<ReserveReply> {
        let request = PeerRequest::Reserve {
            organisation: organisation.clone(),
            paid,
            tokens,
            reservation_id,
        };
        let timeout = Duration::from_millis(self.settings.wait_ms + ASK_SLACK_MS);
        self.peers.call(owner, &request, timeout).await.ok()
    }

    fn guard(self: &Arc<Self>, place: Place) -> ReservationGuard {
        ReservationGuard {
            budgets: self.clone(),
            place: Some(place),
            used: 0,
        }
    }

    /// Answers another router's reservation. One that is asked for again is
    /// made once.
    pub(crate) async fn reserve_for(
        self: &Arc<Self>,
        organisation: OrganisationName,
        paid: u64,
        tokens: u64,
        reservation_id: ReservationId,
    ) -> ReserveReply {
        if lock(&self.remote_reservations).contains_key(&reservation_id) {
            return ReserveReply::Held;
        }
        if self.is_leaving() {
            return ReserveReply::Elsewhere;
        }
        match self.reserve_here(&organisation, paid, tokens).await {
            Ok(reservation) => {
                let made = (organisation, reservation, Instant::now());
                let earlier = lock(&self.remote_reservations).insert(reservation_id, made);
                if let Some((organisation, reservation, _)) = earlier {
                    self.settle_here(&organisation, reservation, 0);
                }
                ReserveReply::Held
            }
            Err(err) => err.into(),
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether this router is the home of an organisation's budget.
    fn is_owner(&self, organisation: &OrganisationName) -> bool {
        let ranked = self.peers.ranked(organisation.as_str(), true);
        let first = ranked
            .first()
            .is_some_and(|owner| owner.vm == self.peers.local().vm);
        first && !self.is_leaving()
    }

    /// How much to ask for ahead of needs: little where another router is
    /// home, so that what it lacks is not held here.
    fn refill_policy(&self, organisation: &OrganisationName) -> RefillPolicy {
        if self.is_owner(organisation) {
            RefillPolicy {
                horizon_ms: self.settings.horizon_ms,
                prefetch_percent: PREFETCH_PERCENT,
                min_headroom_percent: MIN_HEADROOM_PERCENT,
                max_headroom_percent: self.settings.most_percent,
            }
        } else {
            let leaving = self.is_leaving();
            RefillPolicy {
                horizon_ms: if leaving { 0 } else { FAILOVER_HORIZON_MS },
                prefetch_percent: FAILOVER_PERCENT,
                min_headroom_percent: 0,
                max_headroom_percent: FAILOVER_PERCENT,
            }
        }
    }

    fn account(self: &Arc<Self>, organisation: &OrganisationName) -> Arc<Account> {
        let mut accounts = lock(&self.accounts);
        if let Some(account) = accounts.get(organisation) {
            return account.clone();
        }
        let local = self.peers.local();
        let ledger = LocalLedger::new(local.incarnation)
            .with_address(&local.address)
            .with_refill_policy(self.refill_policy(organisation));
        let account = Arc::new(Account {
            organisation: organisation.clone(),
            key: format!("{LEDGER_PREFIX}{organisation}"),
            witnesses: Mutex::default(),
            raising: tokio::sync::Mutex::default(),
            cut_off: AtomicBool::new(false),
            borrowed_at: tokio::sync::Mutex::default(),
            budget: organisation.as_str().into(),
            state: Mutex::new(State {
                ledger,
                reply: None,
                replies: 0,
                replied_ms: 0,
                paced_until_ms: 0,
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
        if self.is_leaving() {
            return;
        }
        for (organisation, paid) in paid {
            let is_owner = self.is_owner(organisation);
            let known = lock(&self.accounts).contains_key(organisation);
            if is_owner || known {
                let account = self.account(organisation);
                account.lock().ledger.set_paid(&account.budget, *paid);
                account.refill.notify_one();
            }
        }
    }

    async fn reserve_here(
        self: &Arc<Self>,
        organisation: &OrganisationName,
        paid: u64,
        tokens: u64,
    ) -> Result<Reservation, ReserveError> {
        let account = self.account(organisation);
        let reserved = self.reserve_in(&account, paid, tokens).await;
        if let Err(err) = &reserved {
            let cut_off = account.cut_off.load(Ordering::Relaxed);
            let state = account.lock();
            let reply = state.reply.as_ref();
            log::info!(
                            organisation = organisation.as_str(),
                            tokens,
            denied:?=err,spendable=state.ledger.spendable(&account.budget),
                            free = reply.map(|reply| reply.free),
                            others = reply.map(|reply| reply.held_by_others),
                            reply_age_ms = self.clock.now_ms().saturating_sub(state.replied_ms),
                            cut_off;
                            "reservation denied"
                        );
        }
        reserved
    }

    async fn reserve_in(
        self: &Arc<Self>,
        account: &Arc<Account>,
        paid: u64,
        tokens: u64,
    ) -> Result<Reservation, ReserveError> {
        let until = tokio::time::Instant::now() + Duration::from_millis(self.settings.wait_ms);
        let replies = account.lock().replies;
        loop {
            let refilled = account.refilled.notified();
            match self.try_reserve(account, paid, tokens, replies) {
                Tried::Held(reservation) => {
                    self.raise_ahead(account);
                    return Ok(reservation);
                }
                Tried::Exhausted => return Err(ReserveError::Exhausted),
                Tried::CeilingTooLow(needed) => {
                    if !self.raise(account, needed).await {
                        return Err(ReserveError::Short);
                    }
                    continue;
                }
                Tried::Hopeless => return Err(ReserveError::Short),
                Tried::Short => account.refill.notify_one(),
            }
            let cut_off = account.cut_off.load(Ordering::Relaxed);
            if cut_off && !self.borrow(account, paid, tokens).await {
                return Err(ReserveError::CutOff);
            }
            if !cut_off && tokio::time::timeout_at(until, refilled).await.is_err() {
                // A store that doesn't answer in time is as good as away.
                let answered = account.lock().replies > replies;
                return Err(if answered {
                    ReserveError::Short
                } else {
                    ReserveError::CutOff
                });
            }
        }
    }

    /// Sets tokens aside if they are at hand. `replies` is how many replies of
    /// the record had come when the request did: only a later or a fresh one
    /// shows that nothing is left.
    fn try_reserve(&self, account: &Account, paid: u64, tokens: u64, replies: u64) -> Tried {
        let mut state = account.lock();
        let budget = &account.budget;
        state.ledger.set_paid(budget, paid);
        let now_ms = self.clock.now_ms();
        let left = state.left(budget);
        let fresh = now_ms < state.replied_ms + REPLY_AGE_MS;
        if (fresh || state.replies > replies) && state.exhausted(budget, tokens) {
            return Tried::Exhausted;
        }
        let scarce = left < paid / 100 * SCARCE_PERCENT;
        if scarce && now_ms < state.paced_until_ms {
            return Tried::Hopeless;
        }
        match state.ledger.reserve(budget, tokens, now_ms) {
            ReserveResult::Reserved(reservation) => {
                if scarce {
                    let spread_ms = tokens * SCARCE_SPREAD_MS / left.max(tokens);
                    state.paced_until_ms = now_ms + spread_ms;
                }
                Tried::Held(reservation)
            }
            ReserveResult::CeilingTooLow(needed) => Tried::CeilingTooLow(needed),
            ReserveResult::Insufficient
                if left < tokens && now_ms < state.short_until_ms(budget, tokens) =>
            {
                Tried::Hopeless
            }
            ReserveResult::Insufficient => Tried::Short,
        }
    }

    fn settle_here(&self, organisation: &OrganisationName, reservation: Reservation, used: u64) {
        let account = lock(&self.accounts).get(organisation).cloned();
        if let Some(account) = account {
            let now_ms = self.clock.now_ms();
            let mut state = account.lock();
            if used == 0 {
                state.ledger.cancel(reservation);
            } else {
                state
                    .ledger
                    .settle(reservation, Bill::new(None, used), now_ms);
            }
        }
    }
}
