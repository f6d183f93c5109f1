//! Requests that wait for tokens, and how far the search for them goes.

use std::time::Instant;

use kameo::actor::ActorRef;
use peridotslip::{ledger::Claim, prelude::*};

use super::{
    super::{exhausted, unavailable},
    ShardController,
    messages::{Recalled, ReserveTokens},
};
use crate::clock;

/// A request that waits for tokens.
pub(super) struct Waiting {
    pub(super) request: ReserveTokens,
    pub(super) since: Instant,
    pub(super) stage: Stage,
}

/// How far the search for a waiting request's tokens has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The record has not been asked for these tokens.
    New,
    /// A report that tells the need is on its way.
    Asked,
    /// The record had too few free; other routers are giving back.
    Recalling,
    /// Other routers have given back what they held idle; what is left is set
    /// aside for running requests, which may yet give some back.
    Recalled,
}

/// What a record last said of a budget.
#[derive(Clone, Debug, Default)]
pub(super) struct Told {
    pub(super) free: u64,
    pub(super) held_by_others: u64,
    pub(super) holders: Vec<Incarnation>,
}

impl ShardController {
    /// Gives granted tokens to waiting requests, oldest first, and refuses
    /// those for which there are none.
    pub(super) fn serve_waiting(&mut self, me: &ActorRef<Self>) {
        let now_ms = clock::monotonic_ms();
        for mut waiting in std::mem::take(&mut self.waiting) {
            if waiting.request.tx.is_closed() {
                continue;
            }
            let request = &waiting.request;
            match self.ledger.reserve(&request.budget, request.tokens, now_ms) {
                ReserveResult::Reserved(reservation) => {
                    self.hand_over(waiting.request, reservation);
                }
                ReserveResult::Insufficient | ReserveResult::CeilingTooLow(_) => {
                    if self.may_still_find(&mut waiting, me) {
                        self.waiting.push_back(waiting);
                    } else {
                        self.refuse(waiting);
                    }
                }
            }
        }
    }

    /// Goes on looking for a request's tokens; `false` if there is nowhere
    /// left to look.
    fn may_still_find(&mut self, waiting: &mut Waiting, me: &ActorRef<Self>) -> bool {
        if waiting.since.elapsed() >= waiting.request.wait {
            return false;
        }
        let budget = &waiting.request.budget;
        match waiting.stage {
            Stage::Recalling | Stage::New => true,
            Stage::Recalled => self.left_anywhere(budget) >= waiting.request.tokens,
            Stage::Asked => {
                let told = self.told.get(budget).cloned().unwrap_or_default();
                // Granted to this request and taken by a quicker one.
                if told.free >= waiting.request.tokens {
                    waiting.stage = Stage::New;
                    return true;
                }
                if self.left_anywhere(budget) < waiting.request.tokens {
                    return false;
                }
                waiting.stage = Stage::Recalling;
                if self.recalling.insert(budget.clone()) {
                    self.metrics.event("recall", 1);
                    let (recall, shard) = (self.context.recall.clone(), self.shard);
                    let (budget, me) = (budget.clone(), me.clone());
                    let holders = told.holders;
                    tokio::spawn(async move {
                        recall.recall(shard, budget.clone(), holders).await;
                        let _ = me.tell(Recalled(budget)).await;
                    });
                }
                true
            }
        }
    }

    /// Tokens of a budget that are not billed, wherever they are held.
    fn left_anywhere(&self, budget: &BudgetName) -> u64 {
        let told = self.told.get(budget).cloned().unwrap_or_default();
        told.free + told.held_by_others + self.ledger.outstanding(budget)
    }

    /// Refuses a request for its budget, counting it as false if tokens were
    /// left with other routers.
    fn refuse(&mut self, waiting: Waiting) {
        let told = self.told.get(&waiting.request.budget);
        let held = told.map_or(0, |told| told.held_by_others);
        if held > 0 {
            self.metrics.event("false-refusal", 1);
            self.metrics.event("false-refusal-tokens", held);
        }
        let _ = waiting.request.tx.send(Err(exhausted()));
    }

    pub(super) fn hand_over(&mut self, request: ReserveTokens, reservation: Reservation) {
        let held = (self.ledger.incarnation(), reservation);
        if let Err(Ok((_, reservation))) = request.tx.send(Ok(held)) {
            self.ledger.cancel(reservation);
        }
    }

    /// Nobody can be helped until the record can be reached.
    pub(super) fn fail_waiting(&mut self) {
        for waiting in self.waiting.drain(..) {
            let rejection = unavailable(Refusal::LedgerUnavailable);
            let _ = waiting.request.tx.send(Err(rejection));
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
