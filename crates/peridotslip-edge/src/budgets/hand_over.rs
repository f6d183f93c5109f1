//! Handing over reservations by an owner that stops.
//!
//! Requests of other routers may outlast the owner at which their tokens are reserved. The
//! owner transfers the tokens of each to the requester, which settles them from then on.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use peridotslip::{ids::Incarnation, ledger::HandedOver};

use super::{
    BudgetManager, CALL_SLACK_MS, HandedOverReservation, PeerRequest, lock, settle::HeldReservation,
};
use crate::peers::RouterInstance;

/// Number of times that reservations are handed over to a requester that does not respond.
const ATTEMPTS: u32 = 3;

impl BudgetManager {
    /// Hands the reservations of other routers over to them. The tokens of those that
    /// can't be handed over stay booked in this router's grant.
    pub(crate) async fn hand_over_reservations(self: &Arc<Self>) {
        let mut taken = Vec::new();
        for (requester, reservations) in lock(&self.remote_reservations).iter_mut() {
            let instance = self.peers.by_incarnation(*requester);
            let instance = instance.filter(RouterInstance::reads_open_reservations);
            if let Some(instance) = instance {
                taken.push((instance, reservations.hand_over()));
            }
        }
        let deliveries = taken.into_iter().map(|(requester, held)| {
            let held = held.into_iter();
            let handed_over = held.filter_map(|(seq, held)| self.transfer_held(seq, held));
            self.deliver_reservations(requester, handed_over.collect())
        });
        join_all(deliveries).await;
    }

    fn transfer_held(&self, seq: u64, held: HeldReservation) -> Option<HandedOverReservation> {
        let budget = lock(&self.budgets).get(&held.organisation).cloned()?;
        // A reservation that the grant does not cover stays reserved.
        let transfer = budget.lock().ledger.hand_over(held.reservation).ok()?;
        Some(HandedOverReservation {
            seq,
            organisation: held.organisation,
            transfer,
        })
    }

    async fn deliver_reservations(
        &self,
        requester: RouterInstance,
        reservations: Vec<HandedOverReservation>,
    ) {
        if reservations.is_empty() {
            return;
        }
        let (peer, count) = (requester.vm.as_str(), reservations.len());
        let request = PeerRequest::HandOverReservations {
            requester: requester.incarnation,
            owner: self.peers.local().incarnation,
            reservations,
        };
        let timeout = Duration::from_millis(CALL_SLACK_MS);
        for _ in 0..ATTEMPTS {
            if let Ok(true) = self
                .peers
                .call::<_, bool>(&requester, &request, timeout)
                .await
            {
                log::info!(peer, count; "handed open reservations over to their requester");
                return;
            }
        }
        log::warn!(peer, count; "requester did not take over its open reservations; counting the tokens as spent");
    }

    /// Accepts reservations of this router's requests from an owner that stops.
    pub(crate) fn accept_reservations(
        self: &Arc<Self>,
        requester: Incarnation,
        owner: Incarnation,
        reservations: Vec<HandedOverReservation>,
    ) {
        if requester != self.peers.local().incarnation {
            log::warn!(
                "reservations are addressed to another incarnation of this router; discarding them"
            );
            return;
        }
        for handed_over in reservations {
            let HandedOverReservation {
                seq,
                organisation,
                transfer,
            } = handed_over;
            let budget = self.managed_budget(&organisation);
            let Some(reservation) = budget.lock().ledger.adopt(transfer) else {
                continue;
            };
            // Both maps change under one lock, as the request may end at any time.
            let mut links = lock(&self.owner_links);
            let state = links
                .get_mut(&owner)
                .map_or(HandedOver::Ended(0), |link| link.reservations.take(seq));
            match state {
                HandedOver::InUse => {
                    lock(&self.adopted).insert((owner, seq), (organisation, reservation));
                }
                HandedOver::Ended(used) => {
                    drop(links);
                    self.settle_locally(&organisation, reservation, used);
                }
            }
        }
    }
}
