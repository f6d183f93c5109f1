//! Settling reservations at this router or at the owner.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use peridotslip::{
    ids::OrganisationName,
    ledger::{RequestUsage, Reservation},
};

use super::{BudgetManager, CALL_SLACK_MS, PeerRequest, ReservationId, lock};
use crate::peers::{Peers, RouterInstance};

/// The time over which settlements to owners are batched, and the pause before
/// a request is sent again, in milliseconds.
const SETTLE_BATCH_MS: u64 = 100;
/// The largest number of attempts to send settlements or transfers.
const SEND_ATTEMPTS: u32 = 3;
/// The age at which another router's reservation counts as spent, in
/// milliseconds: longer than any request lasts.
const REMOTE_RESERVATION_AGE_MS: u64 = 60_000;

impl BudgetManager {
    /// Settles other routers' reservations, each with the tokens used.
    pub(crate) fn settle_for(&self, settlements: &[(ReservationId, u64)]) {
        for (reservation_id, used) in settlements {
            let found = lock(&self.remote_reservations).remove(reservation_id);
            if let Some((organisation, reservation, _)) = found {
                self.settle_locally(&organisation, reservation, *used);
            }
        }
        self.expire_remote_reservations();
    }

    fn expire_remote_reservations(&self) {
        let age = Duration::from_millis(REMOTE_RESERVATION_AGE_MS);
        let expired: Vec<ReservationId> = lock(&self.remote_reservations)
            .iter()
            .filter(|(_, (_, _, since))| since.elapsed() > age)
            .map(|(reservation_id, _)| *reservation_id)
            .collect();
        for reservation_id in expired {
            let found = lock(&self.remote_reservations).remove(&reservation_id);
            if let Some((organisation, reservation, _)) = found {
                let tokens = reservation.tokens();
                log::warn!(organisation = organisation.as_str(), tokens; "reservation of another router was not settled in time; counting it as spent");
                self.settle_locally(&organisation, reservation, tokens);
            }
        }
    }

    /// Sends settlements to owners in batches until the process ends.
    pub(super) async fn send_settlements(self: Arc<Self>) {
        loop {
            self.settlement_queued.notified().await;
            tokio::time::sleep(Duration::from_millis(SETTLE_BATCH_MS)).await;
            let batches: Vec<_> = lock(&self.outbox).drain().map(|(_, batch)| batch).collect();
            for (owner, settlements) in batches {
                tokio::spawn(send_batch(self.peers.clone(), owner, settlements));
            }
        }
    }

    /// Returns whether other routers have open reservations at this router.
    pub(crate) fn has_remote_reservations(&self) -> bool {
        !lock(&self.remote_reservations).is_empty()
    }
}

async fn send_batch(
    peers: Arc<Peers>,
    owner: RouterInstance,
    settlements: Vec<(ReservationId, u64)>,
) {
    send(&peers, &owner, &PeerRequest::Settle(settlements)).await;
}

/// Sends a request until it is acknowledged, at most [`SEND_ATTEMPTS`] times.
/// The receiver applies a repeated request once.
pub(super) async fn send(peers: &Peers, owner: &RouterInstance, request: &PeerRequest) {
    for _ in 0..SEND_ATTEMPTS {
        let timeout = Duration::from_millis(CALL_SLACK_MS * 2);
        if peers.call::<_, bool>(owner, request, timeout).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(SETTLE_BATCH_MS)).await;
    }
    log::warn!(home = owner.vm.as_str(); "owner did not acknowledge settlements or transfers; counting the tokens as spent");
}

/// The router at which tokens are reserved.
pub(super) enum ReservationSite {
    /// This router owns the budget or acts in place of the owner.
    Local(OrganisationName, Reservation),
    /// Another router has made the reservation.
    Remote(RouterInstance, ReservationId),
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
            Some(ReservationSite::Remote(owner, reservation_id)) => {
                let mut outbox = lock(&self.manager.outbox);
                let batch = outbox
                    .entry(owner.vm.clone())
                    .or_insert_with(|| (owner, Vec::new()));
                batch.1.push((reservation_id, used));
                drop(outbox);
                self.manager.settlement_queued.notify_one();
            }
        }
    }
}
