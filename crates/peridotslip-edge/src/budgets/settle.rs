//! Ending reservations: at this router, or at another one that is home.

use std::{sync::Arc, time::Duration};

use peridotslip::{ids::OrganisationName, ledger::Reservation};

use super::{ASK_SLACK_MS, BudgetManager, PeerRequest, ReservationId, lock};
use crate::peers::{Peers, RouterInstance};

/// Time between two groups of settlements to homes, in milliseconds.
const SETTLE_GROUP_MS: u64 = 100;
/// Times that settlements and transfers are sent.
const SEND_TRIES: u32 = 3;
/// A reservation of another router that is older counts as spent, in
/// milliseconds: longer than any request lasts.
const REMOTE_RESERVATION_AGE_MS: u64 = 60_000;

impl BudgetManager {
    /// Ends other routers' reservations.
    pub(crate) fn settle_for(&self, settlements: &[(ReservationId, u64)]) {
        for (reservation_id, used) in settlements {
            let found = lock(&self.remote_reservations).remove(reservation_id);
            if let Some((organisation, reservation, _)) = found {
                self.settle_here(&organisation, reservation, *used);
            }
        }
        self.expire_remote_reservations();
    }

    fn expire_remote_reservations(&self) {
        let age = Duration::from_millis(REMOTE_RESERVATION_AGE_MS);
        let old: Vec<ReservationId> = lock(&self.remote_reservations)
            .iter()
            .filter(|(_, (_, _, since))| since.elapsed() > age)
            .map(|(reservation_id, _)| *reservation_id)
            .collect();
        for reservation_id in old {
            let found = lock(&self.remote_reservations).remove(&reservation_id);
            if let Some((organisation, reservation, _)) = found {
                let tokens = reservation.tokens();
                log::warn!(organisation = organisation.as_str(), tokens; "reservation was never settled; it counts as spent");
                self.settle_here(&organisation, reservation, tokens);
            }
        }
    }

    /// Sends settlements to homes, in groups, until the process ends.
    pub(super) async fn send_settlements(self: Arc<Self>) {
        loop {
            self.settle.notified().await;
            tokio::time::sleep(Duration::from_millis(SETTLE_GROUP_MS)).await;
            let groups: Vec<_> = lock(&self.outbox).drain().map(|(_, group)| group).collect();
            for (owner, settlements) in groups {
                tokio::spawn(send_group(self.peers.clone(), owner, settlements));
            }
        }
    }

    /// Whether other routers still have reservations here.
    pub(crate) fn has_remote_reservations(&self) -> bool {
        !lock(&self.remote_reservations).is_empty()
    }
}

async fn send_group(
    peers: Arc<Peers>,
    owner: RouterInstance,
    settlements: Vec<(ReservationId, u64)>,
) {
    send(&peers, &owner, &PeerRequest::Settle(settlements)).await;
}

/// Sends what must arrive, a few times until it is acknowledged. The receiver
/// takes a repeated message in once.
pub(super) async fn send(peers: &Peers, owner: &RouterInstance, request: &PeerRequest) {
    for _ in 0..SEND_TRIES {
        let timeout = Duration::from_millis(ASK_SLACK_MS * 2);
        if peers.call::<_, bool>(owner, request, timeout).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(SETTLE_GROUP_MS)).await;
    }
    log::warn!(home = owner.vm.as_str(); "tokens could not be delivered; they count as spent");
}

/// Where tokens are set aside.
pub(super) enum Place {
    Here(OrganisationName, Reservation),
    At(RouterInstance, ReservationId),
}

/// Tokens set aside for a request. Dropping it settles what was used.
pub(crate) struct ReservationGuard {
    pub(super) budgets: Arc<BudgetManager>,
    pub(super) place: Option<Place>,
    pub(super) used: u64,
}

impl ReservationGuard {
    /// Notes the tokens used in all.
    pub(crate) fn set_used(&mut self, tokens: u64) {
        self.used = tokens;
    }

    /// The tokens used in all.
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    /// Lets go of a reservation that the home did not make.
    pub(super) fn forget(mut self) {
        self.place = None;
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        match self.place.take() {
            None => {}
            Some(Place::Here(organisation, reservation)) => {
                self.budgets
                    .settle_here(&organisation, reservation, self.used);
            }
            Some(Place::At(owner, reservation_id)) => {
                let mut outbox = lock(&self.budgets.outbox);
                let group = outbox
                    .entry(owner.vm.clone())
                    .or_insert_with(|| (owner, Vec::new()));
                group.1.push((reservation_id, self.used));
                drop(outbox);
                self.budgets.settle.notify_one();
            }
        }
    }
}
