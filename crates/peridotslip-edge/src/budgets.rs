//! Spending prepaid budgets.
//!
//! Each organisation's budget has an owner: the first reachable router in an
//! order that the organisation's name determines. The owner requests grants
//! from the ledger record in the store ahead of need, and all routers reserve
//! and settle at the owner, so that the granted tokens are not split over the
//! fleet. If two routers both consider themselves the owner, each has a grant
//! of its own, and the record keeps the sum of the grants within the paid
//! amount.

mod epochs;
mod exchange;
mod lending;
mod managed_budget;
mod messages;
mod reconcile;
mod scarcity;
mod settle;
mod shared_attempt;
mod witness;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use peridotslip::{
    ids::{Incarnation, OrganisationName},
    ledger::{
        Bill, LocalLedger, RefillPolicy, RemoteReservations, Reservation, ReserveResult,
        WitnessedCeilings,
    },
    scarcity::ScarcityGate,
};
use tokio::sync::Notify;

use self::managed_budget::{BudgetState, ManagedBudget};
use self::settle::{HeldReservation, OwnerLink, ReservationSite};
use self::shared_attempt::SharedAttempt;
pub(crate) use self::{
    messages::{
        CeilingAck, LEAST_URGENT, PeerRequest, ReservationId, ReservationRequest, ReserveReply,
    },
    reconcile::HoldingReply,
    settle::ReservationGuard,
};

use crate::{
    clock::Clock,
    latch::Latch,
    metrics::Metrics,
    peers::{Peers, RouterInstance},
    ports::{MetadataStore, StoreEpoch},
    settings::Money,
};

/// How long the headroom of a router that is not the owner should last, in
/// milliseconds.
const FAILOVER_HORIZON_MS: u64 = 2_000;
/// The limits on the prefetch and the headroom of a router that is not the
/// owner, in percent.
const FAILOVER_PERCENT: u8 = 10;
/// The largest share of the record's free tokens that an owner prefetches at
/// once, in percent. A setting limits its headroom.
const PREFETCH_PERCENT: u8 = 100;
/// The headroom of an owner at low or unknown spend rates, in percent of the
/// paid amount.
const MIN_HEADROOM_PERCENT: u8 = 15;
/// The time that a peer's reply may take beyond the owner's wait for tokens, in
/// milliseconds.
const CALL_SLACK_MS: u64 = 150;
/// The available share of the paid amount, in percent, below which reservations
/// are paced.
const SCARCE_PERCENT: u64 = 3;
/// The time over which the last available tokens are spread, in milliseconds.
const SCARCE_SPREAD_MS: u64 = 10_000;
/// How long a reply with too few free tokens remains valid, in milliseconds:
/// settlements free tokens at the interval of reports.
const SHORTAGE_VALID_MS: u64 = 700;
/// How long such a reply remains valid if other routers held enough tokens for
/// the request, in milliseconds. The time is shorter because those routers may
/// return the tokens at any time. It equals the default wait of a request for a
/// reply, so that a lasting shortage costs one store call in that time.
const RECOVERABLE_SHORTAGE_VALID_MS: u64 = 250;
/// The largest number of routers at which one reservation is attempted.
const MAX_OWNER_CANDIDATES: usize = 3;

/// The reason why tokens could not be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReserveError {
    /// The paid amount does not cover the request.
    Exhausted,
    /// The tokens are not available now, but may be later.
    Short,
    /// The tokens are not available at this router, because the store is
    /// unreachable.
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

/// The result of one attempt to reserve tokens of a managed budget.
enum ReserveAttempt {
    Reserved(Reservation),
    /// A witness must record this ceiling first.
    CeilingTooLow(u64),
    Exhausted,
    /// The reservation may succeed after the next reply of the record.
    Insufficient,
    /// The tokens are held back for more urgent requests.
    HeldBack,
    /// The next reply is not worth waiting for: reservations of the last tokens
    /// are paced, or a recent reply had too few free tokens.
    Denied,
}

/// Manages the budgets that this router spends from or owns.
pub(crate) struct BudgetManager {
    store: Arc<dyn MetadataStore>,
    peers: Arc<Peers>,
    metrics: Arc<Metrics>,
    clock: Clock,
    settings: Money,
    /// The budgets that this router spends from or owns.
    budgets: Mutex<HashMap<OrganisationName, Arc<ManagedBudget>>>,
    /// Open reservations of other routers at this router, by requester.
    remote_reservations: Mutex<HashMap<Incarnation, RemoteReservations<HeldReservation>>>,
    /// When reservations of routers that have ended are next searched for, in milliseconds
    /// of the router's clock.
    next_expiry_ms: AtomicU64,
    /// This router's reservations at other routers, by the VM of the owner.
    owner_links: Mutex<HashMap<String, OwnerLink>>,
    settlement_queued: Notify,
    /// The number of this router's next remote reservation. Changed only while
    /// `owner_links` is locked, so that a list of open reservations is complete.
    next_seq: AtomicU64,
    leaving: AtomicBool,
    /// Set once the store has this router's entry.
    registered: Latch,
    /// The store's first epoch, once this router has read it.
    first_epoch: OnceLock<StoreEpoch>,
    /// The ceilings that this router has recorded as a witness.
    ceilings: Mutex<WitnessedCeilings>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl BudgetManager {
    /// Creates the manager and starts the task that sends settlements to owners.
    pub(crate) fn spawn(
        store: Arc<dyn MetadataStore>,
        peers: Arc<Peers>,
        metrics: Arc<Metrics>,
        clock: Clock,
        settings: Money,
    ) -> Arc<Self> {
        let manager = Arc::new(Self {
            store,
            peers,
            metrics,
            clock,
            settings,
            budgets: Mutex::default(),
            remote_reservations: Mutex::default(),
            next_expiry_ms: AtomicU64::new(0),
            owner_links: Mutex::default(),
            settlement_queued: Notify::new(),
            next_seq: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            registered: Latch::default(),
            first_epoch: OnceLock::new(),
            ceilings: Mutex::default(),
        });
        tokio::spawn(manager.clone().send_settlements());
        manager
    }

    /// Reserves tokens of an organisation's budget at the owner. `id` is the
    /// request's identifier in log lines.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        id: &str,
        organisation: &OrganisationName,
        request: ReservationRequest,
    ) -> Result<ReservationGuard, ReserveError> {
        let include_self = !self.is_leaving();
        let owners = self.peers.owners(organisation.as_str(), include_self);
        for owner in owners.into_iter().take(MAX_OWNER_CANDIDATES) {
            let reply = if owner.vm == self.peers.local().vm {
                match self.reserve_locally(organisation, request).await {
                    Ok(reservation) => {
                        return Ok(
                            self.guard(ReservationSite::Local(organisation.clone(), reservation))
                        );
                    }
                    Err(err) => err.into(),
                }
            } else if !self.peers.is_reachable(&owner) {
                // Another request has found out meanwhile.
                continue;
            } else {
                let reservation_id = self.begin_remote_reservation(&owner);
                let site = ReservationSite::Remote(owner.vm.clone(), reservation_id.seq);
                let guard = self.guard(site);
                let reply = self
                    .request_reservation(&owner, organisation, request, reservation_id)
                    .await;
                match reply {
                    Some(ReserveReply::Held) => return Ok(guard),
                    Some(reply) => {
                        guard.disarm();
                        self.refuse_remote_reservation(&owner, reservation_id);
                        reply
                    }
                    // Dropping `guard` releases the tokens if the owner has
                    // reserved them or does so later.
                    None => {
                        self.lose_reply(&owner);
                        log::info!(id, organisation = organisation.as_str(), tokens = request.tokens, home = owner.vm.as_str(); "owner did not reply; trying the next candidate");
                        continue;
                    }
                }
            };
            log::info!(id, organisation = organisation.as_str(), tokens = request.tokens, home = owner.vm.as_str(), verdict:? = reply; "tokens were not reserved");
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
        request: ReservationRequest,
        reservation_id: ReservationId,
    ) -> Option<ReserveReply> {
        let organisation = organisation.clone();
        let message = if owner.protocol >= 1 {
            PeerRequest::ReserveWithPriority {
                organisation,
                request,
                reservation_id,
            }
        } else {
            PeerRequest::Reserve {
                organisation,
                paid: request.paid,
                tokens: request.tokens,
                reservation_id,
            }
        };
        let timeout = Duration::from_millis(self.settings.wait_ms + CALL_SLACK_MS);
        self.peers.call(owner, &message, timeout).await.ok()
    }

    fn guard(self: &Arc<Self>, site: ReservationSite) -> ReservationGuard {
        ReservationGuard {
            manager: self.clone(),
            site: Some(site),
            usage: Mutex::default(),
        }
    }

    /// Reserves tokens for another router. A repeated request does not make a
    /// second reservation.
    pub(crate) async fn reserve_for(
        self: &Arc<Self>,
        organisation: OrganisationName,
        request: ReservationRequest,
        reservation_id: ReservationId,
    ) -> ReserveReply {
        let ReservationId { requester, seq } = reservation_id;
        {
            let mut remote = lock(&self.remote_reservations);
            let reservations = remote.entry(requester).or_default();
            if reservations.is_held(seq) {
                return ReserveReply::Held;
            }
            if reservations.is_closed(seq) {
                log::info!(organisation = organisation.as_str(), tokens = request.tokens; "reservation was given up by its requester before it was made");
                return ReserveReply::Elsewhere;
            }
        }
        if self.is_leaving() {
            return ReserveReply::Elsewhere;
        }
        match self.reserve_locally(&organisation, request).await {
            Ok(reservation) => {
                let held = HeldReservation::new(organisation, reservation);
                let mut remote = lock(&self.remote_reservations);
                let reservations = remote.entry(requester).or_default();
                // The requester may have given up meanwhile, and a repetition of the
                // request may have been handled concurrently.
                let cancelled = reservations.hold(seq, held);
                let is_held = reservations.is_held(seq);
                drop(remote);
                if let Some(cancelled) = cancelled {
                    self.settle_locally(&cancelled.organisation, cancelled.reservation, 0);
                }
                if is_held {
                    ReserveReply::Held
                } else {
                    ReserveReply::Elsewhere
                }
            }
            Err(err) => err.into(),
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether this router owns an organisation's budget.
    fn is_owner(&self, organisation: &OrganisationName) -> bool {
        let ranked = self.peers.owners(organisation.as_str(), true);
        let first = ranked
            .first()
            .is_some_and(|owner| owner.vm == self.peers.local().vm);
        first && !self.is_leaving()
    }

    /// Returns the policy for requesting tokens ahead of need. A router that is
    /// not the owner requests few, so that it holds no tokens that the owner
    /// lacks.
    fn refill_policy(&self, organisation: &OrganisationName) -> RefillPolicy {
        if self.is_owner(organisation) {
            RefillPolicy {
                horizon_ms: self.settings.horizon_ms,
                prefetch_percent: PREFETCH_PERCENT,
                min_headroom_percent: MIN_HEADROOM_PERCENT,
                max_headroom_percent: self.settings.most_percent,
                low_percent: if self.keeps_for_urgent() {
                    100
                } else {
                    RefillPolicy::default().low_percent
                },
            }
        } else {
            let leaving = self.is_leaving();
            RefillPolicy {
                horizon_ms: if leaving { 0 } else { FAILOVER_HORIZON_MS },
                prefetch_percent: FAILOVER_PERCENT,
                min_headroom_percent: 0,
                max_headroom_percent: FAILOVER_PERCENT,
                ..RefillPolicy::default()
            }
        }
    }

    fn managed_budget(self: &Arc<Self>, organisation: &OrganisationName) -> Arc<ManagedBudget> {
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get(organisation) {
            return budget.clone();
        }
        let local = self.peers.local();
        let ledger = LocalLedger::new(local.incarnation)
            .with_address(&local.address)
            .with_refill_policy(self.refill_policy(organisation));
        let budget = Arc::new(ManagedBudget {
            organisation: organisation.clone(),
            witnesses: Mutex::default(),
            ceiling_lock: tokio::sync::Mutex::default(),
            ceiling_raise: SharedAttempt::default(),
            durable_grant: Mutex::default(),
            store_unreachable: AtomicBool::new(false),
            transfer_round: SharedAttempt::default(),
            last_transfer_round: Mutex::default(),
            name: organisation.as_str().into(),
            state: Mutex::new(BudgetState {
                ledger,
                reply: None,
                reply_count: 0,
                replied_at_ms: 0,
                paced_until_ms: 0,
                scarcity: ScarcityGate::new(self.keeps_for_urgent()),
            }),
            write_lock: tokio::sync::Mutex::default(),
            written: Mutex::default(),
            record_missing: Mutex::default(),
            refill: Notify::new(),
            refilled: Notify::new(),
        });
        budgets.insert(organisation.clone(), budget.clone());
        tokio::spawn(self.clone().run_exchange_loop(budget.clone()));
        budget
    }

    /// Starts to manage the budgets that this router owns, so that tokens are
    /// granted before the first request, and raises the paid amounts of all
    /// managed budgets.
    pub(crate) fn set_paid(self: &Arc<Self>, paid: &[(OrganisationName, u64)]) {
        if self.is_leaving() {
            return;
        }
        for (organisation, paid) in paid {
            let is_owner = self.is_owner(organisation);
            let is_managed = lock(&self.budgets).contains_key(organisation);
            if is_owner || is_managed {
                let budget = self.managed_budget(organisation);
                budget.lock().ledger.set_paid(&budget.name, *paid);
                budget.refill.notify_one();
            }
        }
    }

    async fn reserve_locally(
        self: &Arc<Self>,
        organisation: &OrganisationName,
        request: ReservationRequest,
    ) -> Result<Reservation, ReserveError> {
        let budget = self.managed_budget(organisation);
        let now_ms = self.clock.now_ms();
        budget
            .lock()
            .scarcity
            .record_demand(request.priority, request.tokens, now_ms);
        let reserved = self.reserve_from(&budget, request).await;
        if let Err(err) = &reserved {
            let store_unreachable = budget.store_unreachable.load(Ordering::Relaxed);
            let state = budget.lock();
            let reply = state.reply.as_ref();
            log::info!(
                organisation = organisation.as_str(),
                tokens = request.tokens,
                priority = request.priority,
                denied:? = err,
                spendable = state.ledger.spendable(&budget.name),
                free = reply.map(|reply| reply.free),
                others = reply.map(|reply| reply.held_by_others),
                reply_age_ms = self.clock.now_ms().saturating_sub(state.replied_at_ms),
                cut_off = store_unreachable;
                "reservation denied"
            );
        }
        reserved
    }

    async fn reserve_from(
        self: &Arc<Self>,
        budget: &Arc<ManagedBudget>,
        request: ReservationRequest,
    ) -> Result<Reservation, ReserveError> {
        let ReservationRequest { paid, tokens, .. } = request;
        let deadline = tokio::time::Instant::now() + Duration::from_millis(self.settings.wait_ms);
        let reply_count = budget.lock().reply_count;
        loop {
            let refilled = budget.refilled.notified();
            match self.try_reserve(budget, request, reply_count) {
                ReserveAttempt::Reserved(reservation) => {
                    self.raise_ceiling_ahead(budget);
                    return Ok(reservation);
                }
                ReserveAttempt::Exhausted => return Err(ReserveError::Exhausted),
                ReserveAttempt::CeilingTooLow(needed) => {
                    let raise = self.raise_ceiling(budget, needed);
                    if !matches!(tokio::time::timeout_at(deadline, raise).await, Ok(true)) {
                        return Err(ReserveError::Short);
                    }
                    continue;
                }
                ReserveAttempt::Denied => return Err(ReserveError::Short),
                ReserveAttempt::HeldBack => {
                    // Another router may still reach the store.
                    let store_unreachable = budget.store_unreachable.load(Ordering::Relaxed);
                    return Err(if store_unreachable {
                        ReserveError::CutOff
                    } else {
                        ReserveError::Short
                    });
                }
                ReserveAttempt::Insufficient => budget.refill.notify_one(),
            }
            let store_unreachable = budget.store_unreachable.load(Ordering::Relaxed);
            if store_unreachable {
                let transfers = self.request_transfers(budget, paid, tokens);
                // Those that have arrived by the deadline may suffice.
                let _elapsed = tokio::time::timeout_at(deadline, transfers).await;
                if budget.lock().ledger.spendable(&budget.name) < tokens {
                    return Err(ReserveError::CutOff);
                }
            }
            if !store_unreachable && tokio::time::timeout_at(deadline, refilled).await.is_err() {
                // A store that doesn't reply in time counts as unreachable.
                let replied = budget.lock().reply_count > reply_count;
                return Err(if replied {
                    ReserveError::Short
                } else {
                    ReserveError::CutOff
                });
            }
        }
    }

    /// Attempts to reserve tokens of the local ledger. `reply_count` is the
    /// number of the record's replies when the request arrived: only a later or
    /// a recent reply shows that the budget is exhausted.
    fn try_reserve(
        &self,
        budget: &ManagedBudget,
        request: ReservationRequest,
        reply_count: u64,
    ) -> ReserveAttempt {
        let ReservationRequest {
            paid,
            tokens,
            priority,
        } = request;
        let mut state = budget.lock();
        let name = &budget.name;
        state.ledger.set_paid(name, paid);
        let now_ms = self.clock.now_ms();
        let available = state.available(name);
        let is_recent = now_ms < state.replied_at_ms + SHORTAGE_VALID_MS;
        if (is_recent || state.reply_count > reply_count) && state.is_exhausted(name, tokens) {
            return ReserveAttempt::Exhausted;
        }
        if !self.admits(budget, &state, priority, tokens) {
            return ReserveAttempt::HeldBack;
        }
        let scarce = available < paid / 100 * SCARCE_PERCENT;
        if scarce && now_ms < state.paced_until_ms {
            return ReserveAttempt::Denied;
        }
        let kept = self.kept_for_outage(budget, &state, priority);
        match state.ledger.reserve_leaving(name, tokens, kept, now_ms) {
            ReserveResult::Reserved(reservation) => {
                if scarce {
                    let spread_ms = tokens * SCARCE_SPREAD_MS / available.max(tokens);
                    state.paced_until_ms = now_ms + spread_ms;
                }
                ReserveAttempt::Reserved(reservation)
            }
            ReserveResult::CeilingTooLow(needed) => ReserveAttempt::CeilingTooLow(needed),
            ReserveResult::Insufficient
                if available < tokens && now_ms < state.insufficient_until_ms(name, tokens) =>
            {
                ReserveAttempt::Denied
            }
            ReserveResult::Insufficient => ReserveAttempt::Insufficient,
        }
    }

    fn settle_locally(&self, organisation: &OrganisationName, reservation: Reservation, used: u64) {
        let budget = lock(&self.budgets).get(organisation).cloned();
        if let Some(budget) = budget {
            let now_ms = self.clock.now_ms();
            let mut state = budget.lock();
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
