//! Reservations that wait for tokens, and the stages of refilling the local
//! ledger for them.

use std::time::Instant;

use kameo::actor::ActorRef;
use peridotslip::{ledger::Claim, prelude::*};

use super::{
    super::{exhausted, unavailable},
    ShardController,
    messages::{RecallFinished, ReserveTokens},
};
use crate::clock;

/// A reservation that waits for tokens.
pub(super) struct PendingReservation {
    pub(super) request: ReserveTokens,
    pub(super) since: Instant,
    pub(super) stage: RefillStage,
}

/// The stage of the refill for a pending reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RefillStage {
    /// The shortfall has not been reported to the record.
    New,
    /// A report with the shortfall has been sent.
    Reported,
    /// The record had too few free tokens; a recall of other routers' idle
    /// grants is in progress.
    Recalling,
    /// Other routers have returned their idle grants. Tokens that they still
    /// hold are reserved for running requests, which may return some of them.
    Recalled,
}

/// The tokens of a budget outside this router, according to the last grant
/// reply.
#[derive(Clone, Debug, Default)]
pub(super) struct BudgetAvailability {
    /// Tokens that no incarnation holds.
    pub(super) free: u64,
    /// Tokens that other incarnations hold.
    pub(super) held_by_others: u64,
    /// The incarnations that hold them.
    pub(super) holders: Vec<Incarnation>,
}

impl ShardController {
    /// Retries pending reservations, oldest first, and refuses those for which
    /// no more tokens can be obtained.
    pub(super) fn retry_pending(&mut self, actor_ref: &ActorRef<Self>) {
        let now_ms = clock::monotonic_ms();
        for mut pending in std::mem::take(&mut self.pending) {
            if pending.request.tx.is_closed() {
                continue;
            }
            let request = &pending.request;
            match self.ledger.reserve(&request.budget, request.tokens, now_ms) {
                ReserveResult::Reserved(reservation) => {
                    self.deliver(pending.request, reservation);
                }
                ReserveResult::Insufficient | ReserveResult::CeilingTooLow(_) => {
                    if self.advance_refill(&mut pending, actor_ref) {
                        self.pending.push_back(pending);
                    } else {
                        self.refuse(pending);
                    }
                }
            }
        }
    }

    /// Advances the refill of a pending reservation. Returns `false` if the
    /// reservation has waited too long, or if too few unbilled tokens of the
    /// budget are left.
    fn advance_refill(
        &mut self,
        pending: &mut PendingReservation,
        actor_ref: &ActorRef<Self>,
    ) -> bool {
        if pending.since.elapsed() >= pending.request.wait {
            return false;
        }
        let budget = &pending.request.budget;
        match pending.stage {
            RefillStage::Recalling | RefillStage::New => true,
            RefillStage::Recalled => self.unbilled_tokens(budget) >= pending.request.tokens,
            RefillStage::Reported => {
                let availability = self.availability.get(budget).cloned().unwrap_or_default();
                // The grant came, but another reservation of this router used
                // it first.
                if availability.free >= pending.request.tokens {
                    pending.stage = RefillStage::New;
                    return true;
                }
                if self.unbilled_tokens(budget) < pending.request.tokens {
                    return false;
                }
                pending.stage = RefillStage::Recalling;
                if self.recalls_in_progress.insert(budget.clone()) {
                    self.metrics.event("recall", 1);
                    let (recall, shard) = (self.context.recall.clone(), self.shard);
                    let (budget, actor_ref) = (budget.clone(), actor_ref.clone());
                    let holders = availability.holders;
                    tokio::spawn(async move {
                        recall.recall(shard, budget.clone(), holders).await;
                        let _ = actor_ref.tell(RecallFinished(budget)).await;
                    });
                }
                true
            }
        }
    }

    /// Returns the unbilled tokens of a budget, on all routers and in the
    /// record.
    fn unbilled_tokens(&self, budget: &BudgetName) -> u64 {
        let availability = self.availability.get(budget).cloned().unwrap_or_default();
        availability.free + availability.held_by_others + self.ledger.outstanding(budget)
    }

    /// Refuses a reservation because its budget is exhausted. The refusal
    /// counts as false if other routers still held tokens of the budget.
    fn refuse(&mut self, pending: PendingReservation) {
        let availability = self.availability.get(&pending.request.budget);
        let held = availability.map_or(0, |availability| availability.held_by_others);
        if held > 0 {
            self.metrics.event("false-refusal", 1);
            self.metrics.event("false-refusal-tokens", held);
        }
        let _ = pending.request.tx.send(Err(exhausted()));
    }

    /// Sends a reservation to its requester, or cancels it if the requester no
    /// longer waits.
    pub(super) fn deliver(&mut self, request: ReserveTokens, reservation: Reservation) {
        let reserved = (self.ledger.incarnation(), reservation);
        if let Err(Ok((_, reservation))) = request.tx.send(Ok(reserved)) {
            self.ledger.cancel(reservation);
        }
    }

    /// Fails all pending reservations and claims after a failed exchange: none
    /// of them can succeed before the record is reachable again.
    pub(super) fn fail_pending(&mut self) {
        for pending in self.pending.drain(..) {
            let rejection = unavailable(Refusal::LedgerUnavailable);
            let _ = pending.request.tx.send(Err(rejection));
        }
        for ((key, attempt), tx) in self.claims.drain() {
            self.ledger.withdraw_claim(&Claim {
                key,
                attempt,
                fingerprint: Fingerprint::default(),
            });
            let _ = tx.send(None);
        }
        self.ledger.clear_shortfall();
    }
}
