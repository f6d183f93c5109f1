//! Settling reservations at this router or at the owner.

use std::{
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::{Duration, Instant},
};

use peridotslip::{
    ids::{Incarnation, OrganisationName},
    ledger::{RequestUsage, RequestedReservations, Reservation, SettlementBatch},
};

use super::{BudgetManager, CALL_SLACK_MS, PeerRequest, ReservationId, lock};
use crate::peers::RouterInstance;

/// The time over which settlements to owners are batched, and the pause before they are
/// sent again, in milliseconds.
const SETTLE_BATCH_MS: u64 = 100;
/// The pause between two messages to an owner that does not respond, in milliseconds.
const UNREACHABLE_PAUSE_MS: u64 = 1_000;
/// Longest wait for an acknowledgement, in milliseconds.
const SETTLE_TIMEOUT_MS: u64 = 2 * CALL_SLACK_MS;
/// The age at which the reservation of a router that has ended counts as spent, in
/// milliseconds: longer than any request lasts.
const REMOTE_RESERVATION_AGE_MS: u64 = 60_000;
/// Shortest interval between two searches for such reservations, in milliseconds. A search
/// compares all requesters with the fleet.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// A reservation of another router at this one.
#[derive(Debug)]
pub(super) struct HeldReservation {
    pub(super) organisation: OrganisationName,
    pub(super) reservation: Reservation,
    since: Instant,
}

impl HeldReservation {
    pub(super) fn new(organisation: OrganisationName, reservation: Reservation) -> Self {
        Self {
            organisation,
            reservation,
            since: Instant::now(),
        }
    }
}

/// This router's reservations at the owner on one VM. The entry by which the owner is known
/// may be that of an earlier process, so a reservation belongs to the VM: a process ignores
/// settlements of reservations that it has not made.
pub(super) struct OwnerLink {
    owner: RouterInstance,
    reservations: RequestedReservations,
    is_sending: bool,
    /// When settlements were last sent.
    sent_at: Option<Instant>,
}

impl OwnerLink {
    fn new(owner: RouterInstance) -> Self {
        Self {
            owner,
            reservations: RequestedReservations::default(),
            is_sending: false,
            sent_at: None,
        }
    }

    /// Returns whether settlements are to be sent now.
    fn is_due(&self, is_reachable: bool) -> bool {
        let pause = Duration::from_millis(UNREACHABLE_PAUSE_MS);
        let has_paused = self.sent_at.is_none_or(|at| at.elapsed() >= pause);
        !self.is_sending && !self.reservations.is_acknowledged() && (is_reachable || has_paused)
    }
}

impl BudgetManager {
    /// Settles other routers' reservations, each with the tokens used. Their requesters
    /// know no later version of the messages.
    pub(crate) fn settle_for(&self, settlements: &[(ReservationId, u64)]) {
        for (reservation_id, used) in settlements {
            let mut remote = lock(&self.remote_reservations);
            let reservations = remote.get_mut(&reservation_id.requester);
            let settled = reservations.and_then(|held| held.settle(reservation_id.seq));
            drop(remote);
            if let Some(held) = settled {
                self.settle_locally(&held.organisation, held.reservation, *used);
            }
        }
        self.expire_remote_reservations();
    }

    /// Settles the reservations of `requester` that have ended, and releases those that it
    /// no longer knows.
    pub(crate) fn apply_settlements(&self, requester: Incarnation, batch: &SettlementBatch) {
        let mut remote = lock(&self.remote_reservations);
        let ended = remote.entry(requester).or_default().apply(batch);
        drop(remote);
        for (held, used) in ended {
            self.settle_locally(&held.organisation, held.reservation, used);
        }
        self.expire_remote_reservations();
    }

    /// Counts the old reservations of routers that have ended as spent. A router that
    /// still runs settles its reservations, however late.
    fn expire_remote_reservations(&self) {
        let now_ms = self.clock.now_ms();
        if now_ms < self.next_expiry_ms.load(Ordering::Relaxed) {
            return;
        }
        let next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
        self.next_expiry_ms.store(next_expiry_ms, Ordering::Relaxed);
        let age = Duration::from_millis(REMOTE_RESERVATION_AGE_MS);
        let running = self.peers.incarnations();
        let mut expired = Vec::new();
        lock(&self.remote_reservations).retain(|requester, reservations| {
            let has_ended = !running.contains(requester);
            if has_ended {
                expired.extend(reservations.take_if(|held| held.since.elapsed() > age));
            }
            !has_ended || !reservations.is_empty()
        });
        for held in expired {
            let tokens = held.reservation.tokens();
            log::warn!(organisation = held.organisation.as_str(), tokens; "reservation of a router that has ended was not settled; counting it as spent");
            self.settle_locally(&held.organisation, held.reservation, tokens);
        }
    }

    /// Numbers a reservation that is going to be requested from `owner`.
    pub(super) fn begin_remote_reservation(&self, owner: &RouterInstance) -> ReservationId {
        let mut links = lock(&self.owner_links);
        let seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
        let link = links
            .entry(owner.vm.clone())
            .or_insert_with(|| OwnerLink::new(owner.clone()));
        link.reservations.begin(seq);
        ReservationId {
            requester: self.peers.local().incarnation,
            seq,
        }
    }

    /// Records the owner's reply that it has reserved nothing.
    pub(super) fn refuse_remote_reservation(&self, owner: &RouterInstance, id: ReservationId) {
        if let Some(link) = lock(&self.owner_links).get_mut(&owner.vm) {
            link.reservations.refuse(id.seq);
        }
    }

    /// Records that an owner has not replied to a request for a reservation.
    pub(super) fn lose_reply(&self, owner: &RouterInstance) {
        if let Some(link) = lock(&self.owner_links).get_mut(&owner.vm) {
            link.reservations.lose_reply();
        }
    }

    fn end_remote_reservation(&self, owner: &str, seq: u64, used: u64) {
        let mut links = lock(&self.owner_links);
        let Some(link) = links.get_mut(owner) else {
            return;
        };
        if !link.reservations.end(seq, used) {
            log::error!(home = link.owner.vm.as_str(), used; "too many settlements are not acknowledged; the owner counts the tokens as reserved");
        }
        drop(links);
        self.settlement_queued.notify_one();
    }

    /// Sends settlements to owners in batches until the process ends.
    pub(super) async fn send_settlements(self: Arc<Self>) {
        loop {
            if !self.has_settlements() {
                self.settlement_queued.notified().await;
            }
            tokio::time::sleep(Duration::from_millis(SETTLE_BATCH_MS)).await;
            for owner in self.due_owners() {
                tokio::spawn(self.clone().send_batch(owner));
            }
        }
    }

    fn has_settlements(&self) -> bool {
        let links = lock(&self.owner_links);
        let mut links = links.values();
        links.any(|link| !link.reservations.is_acknowledged())
    }

    /// Returns the owners to which settlements are to be sent now, and marks them.
    fn due_owners(&self) -> Vec<RouterInstance> {
        let mut links = lock(&self.owner_links);
        for link in links.values_mut() {
            if let Some(current) = self.peers.on_vm(&link.owner.vm) {
                link.owner = current;
            }
        }
        let due = links
            .values_mut()
            .filter(|link| link.is_due(self.peers.is_reachable(&link.owner)));
        due.map(|link| {
            link.is_sending = true;
            link.owner.clone()
        })
        .collect()
    }

    async fn send_batch(self: Arc<Self>, owner: RouterInstance) {
        let (batch, lost_replies) = {
            let mut links = lock(&self.owner_links);
            let next = self.next_seq.load(Ordering::Relaxed);
            let Some(link) = links.get_mut(&owner.vm) else {
                return;
            };
            link.sent_at = Some(Instant::now());
            link.reservations.batch(next, self.clock.now_ms())
        };
        let requester = self.peers.local().incarnation;
        let message = if owner.reads_open_reservations() {
            let batch = batch.clone();
            PeerRequest::SettleReservations { requester, batch }
        } else {
            let settlements = batch.settlements.iter();
            let with_id = settlements.map(|(seq, used)| {
                let seq = *seq;
                (ReservationId { requester, seq }, *used)
            });
            PeerRequest::Settle(with_id.collect())
        };
        let timeout = Duration::from_millis(SETTLE_TIMEOUT_MS);
        let reply = self.peers.call::<_, bool>(&owner, &message, timeout).await;
        let mut links = lock(&self.owner_links);
        let Some(link) = links.get_mut(&owner.vm) else {
            return;
        };
        link.is_sending = false;
        match reply {
            Ok(_) => link.reservations.acknowledge(&batch, lost_replies),
            Err(err) => {
                let settlements = batch.settlements.len();
                log::info!(home = owner.vm.as_str(), settlements, reason = err.to_string().as_str(); "owner did not acknowledge settlements; sending them again");
            }
        }
    }

    /// Returns whether other routers that are reachable have open reservations at this
    /// router.
    pub(crate) fn has_remote_reservations(&self) -> bool {
        let remote = lock(&self.remote_reservations);
        let mut requesters = remote
            .iter()
            .filter(|(_, reservations)| !reservations.is_empty());
        requesters.any(|(requester, _)| self.is_reachable(*requester))
    }

    /// Returns whether an owner that is reachable has not acknowledged settlements.
    pub(crate) fn has_unacknowledged_settlements(&self) -> bool {
        let links = lock(&self.owner_links);
        let mut links = links
            .values()
            .filter(|link| !link.reservations.is_acknowledged());
        links.any(|link| self.peers.is_reachable(&link.owner))
    }

    fn is_reachable(&self, router: Incarnation) -> bool {
        let instance = self.peers.by_incarnation(router);
        instance.is_some_and(|instance| self.peers.is_reachable(&instance))
    }
}

/// The router at which tokens are reserved.
pub(super) enum ReservationSite {
    /// This router owns the budget or acts in place of the owner.
    Local(OrganisationName, Reservation),
    /// The router on this VM has made the reservation of this number.
    Remote(String, u64),
}

/// Tokens reserved for a request. Dropping the guard settles the used tokens
/// and releases the rest.
pub(crate) struct ReservationGuard {
    pub(super) manager: Arc<BudgetManager>,
    /// Where the tokens are reserved; `None` once there is nothing to settle.
    pub(super) site: Option<ReservationSite>,
    pub(super) usage: Mutex<RequestUsage>,
}

impl ReservationGuard {
    /// Returns the tokens used, to be updated. The lock must not be held over
    /// an await.
    pub(crate) fn usage(&self) -> MutexGuard<'_, RequestUsage> {
        lock(&self.usage)
    }

    /// Returns the total number of tokens used.
    pub(crate) fn used(&self) -> u64 {
        self.usage().tokens()
    }

    /// Drops the guard without settling, because the owner made no reservation.
    pub(super) fn disarm(mut self) {
        self.site = None;
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        let used = self.used();
        match self.site.take() {
            None => {}
            Some(ReservationSite::Local(organisation, reservation)) => {
                self.manager
                    .settle_locally(&organisation, reservation, used);
            }
            Some(ReservationSite::Remote(owner, seq)) => {
                self.manager.end_remote_reservation(&owner, seq, used);
            }
        }
    }
}
