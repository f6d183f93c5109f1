//! Admission of requests, with a concurrency limiter for each pool.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use peridotslip::{
    admission::{AdmissionId, AdmissionRequest, ConcurrencyLimiter, Decisions},
    prelude::*,
    tables::ResolvedRoute,
};
use tokio::sync::oneshot;

use crate::{
    clock,
    problem::{Rejection, Result},
};

/// Interval at which queued requests are decided on even if no request arrives
/// or finishes, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 50;

/// Submits a request to its pool's limiter; `tx` receives the decision.
struct Submit {
    pool: PoolName,
    organisation: OrganisationName,
    class: DeadlineClass,
    /// The deadline, in milliseconds of the monotonic clock.
    due_ms: u64,
    tx: oneshot::Sender<Result<Permit>>,
}

/// Records the time to first byte of an admitted request, which had
/// `deadline_ms` milliseconds in all.
struct RecordFirstByte {
    pool: PoolName,
    elapsed_ms: u64,
    deadline_ms: u64,
}

/// Ends an admitted request, which frees its slot in the pool.
struct ReleasePermit {
    pool: PoolName,
}

/// Decides on the queued requests of all pools.
struct DecisionTick;

/// Holds a concurrency limiter for each pool of servers.
#[derive(Actor)]
pub(crate) struct AdmissionController {
    limiters: HashMap<PoolName, ConcurrencyLimiter>,
    /// The channels that receive the decisions on queued requests.
    decision_txs: HashMap<AdmissionId, oneshot::Sender<Result<Permit>>>,
    last_id: AdmissionId,
}

impl AdmissionController {
    /// Sends permits to the admitted requests and rejections to the refused
    /// ones.
    fn apply_decisions(
        &mut self,
        pool: &PoolName,
        decisions: Decisions,
        actor_ref: &ActorRef<Self>,
    ) {
        for id in decisions.admitted {
            let permit = Permit {
                pool: pool.clone(),
                actor: actor_ref.clone(),
            };
            if let Some(tx) = self.decision_txs.remove(&id) {
                // If the caller has disconnected, the permit is dropped here,
                // which releases the slot.
                let _ = tx.send(Ok(permit));
            }
        }
        for (id, retry_ms) in decisions.refused {
            let rejection = Rejection::not_run(Refusal::DeadlineUnmeetable);
            let after_s = retry_ms.div_ceil(1_000).max(1);
            if let Some(tx) = self.decision_txs.remove(&id) {
                let _ = tx.send(Err(rejection.retry_after(after_s)));
            }
        }
    }
}

impl Message<Submit> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, msg: Submit, cx: &mut Context<Self, ()>) {
        self.last_id += 1;
        let id = self.last_id;
        self.decision_txs.insert(id, msg.tx);
        let request = AdmissionRequest {
            id,
            organisation: msg.organisation,
            class: msg.class,
            due_ms: msg.due_ms,
        };
        let limiter = self.limiters.entry(msg.pool.clone()).or_default();
        let decisions = limiter.submit(request, clock::monotonic_ms());
        self.apply_decisions(&msg.pool, decisions, cx.actor_ref());
    }
}

impl Message<RecordFirstByte> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, msg: RecordFirstByte, _: &mut Context<Self, ()>) {
        if let Some(limiter) = self.limiters.get_mut(&msg.pool) {
            limiter.record_first_byte(msg.elapsed_ms, msg.deadline_ms);
        }
    }
}

impl Message<ReleasePermit> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, ReleasePermit { pool }: ReleasePermit, cx: &mut Context<Self, ()>) {
        if let Some(limiter) = self.limiters.get_mut(&pool) {
            let decisions = limiter.finish(clock::monotonic_ms());
            self.apply_decisions(&pool, decisions, cx.actor_ref());
        }
    }
}

impl Message<DecisionTick> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, _: DecisionTick, cx: &mut Context<Self, ()>) {
        let now_ms = clock::monotonic_ms();
        let decided: Vec<(PoolName, Decisions)> = self
            .limiters
            .iter_mut()
            .filter(|(_, limiter)| limiter.waiting() > 0)
            .map(|(pool, limiter)| (pool.clone(), limiter.decide(now_ms)))
            .collect();
        for (pool, decisions) in decided {
            self.apply_decisions(&pool, decisions, cx.actor_ref());
        }
    }
}

/// An admitted request's slot in its pool. Dropping the permit releases the
/// slot.
pub(crate) struct Permit {
    pool: PoolName,
    actor: ActorRef<AdmissionController>,
}

impl Permit {
    /// Records the time from sending the request to the first byte of the
    /// response.
    pub(crate) fn record_first_byte(&self, elapsed: Duration, deadline_ms: u64) {
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let msg = RecordFirstByte {
            pool: self.pool.clone(),
            elapsed_ms,
            deadline_ms,
        };
        let _ = self.actor.tell(msg).try_send();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let pool = self.pool.clone();
        let _ = self.actor.tell(ReleasePermit { pool }).try_send();
    }
}

/// A handle to the [`AdmissionController`].
#[derive(Clone)]
pub(crate) struct AdmissionHandle {
    actor: ActorRef<AdmissionController>,
}

impl AdmissionHandle {
    /// Starts the controller.
    pub(crate) fn spawn() -> Self {
        let controller = AdmissionController {
            limiters: HashMap::new(),
            decision_txs: HashMap::new(),
            last_id: 0,
        };
        let actor = AdmissionController::spawn_with_mailbox(controller, mailbox::unbounded());
        let ticker = actor.clone();
        tokio::spawn(async move {
            while ticker.tell(DecisionTick).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(DECISION_INTERVAL_MS)).await;
            }
        });
        Self { actor }
    }

    /// Waits for a slot in the server pool of a request's route.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] as soon as the request can't meet the route's
    /// deadline.
    pub(crate) async fn acquire(&self, resolved_route: &Arc<ResolvedRoute>) -> Result<Permit> {
        let (tx, rx) = oneshot::channel();
        let submit = Submit {
            pool: resolved_route.server_pool.clone(),
            organisation: resolved_route.route.organisation.clone(),
            class: resolved_route.route.class,
            due_ms: clock::monotonic_ms() + resolved_route.route.deadline_ms,
            tx,
        };
        let _ = self.actor.tell(submit).await;
        let unavailable = Rejection::not_run(Refusal::QueueFull).retry_after(1);
        rx.await.unwrap_or(Err(unavailable))
    }
}
