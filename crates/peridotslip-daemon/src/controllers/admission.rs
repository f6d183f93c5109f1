//! Lets requests in, pool by pool.

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

/// How often waiting requests are looked at without other occasion, in
/// milliseconds.
const LOOK_MS: u64 = 50;

struct Submit {
    pool: PoolName,
    organisation: OrganisationName,
    class: DeadlineClass,
    due_ms: u64,
    tx: oneshot::Sender<Result<Permit>>,
}

struct FirstByte {
    pool: PoolName,
    elapsed_ms: u64,
    deadline_ms: u64,
}

struct Finish {
    pool: PoolName,
}

struct Look;

/// Holds a limiter for each pool of servers.
#[derive(Actor)]
pub(crate) struct AdmissionController {
    limiters: HashMap<PoolName, ConcurrencyLimiter>,
    waiting: HashMap<AdmissionId, oneshot::Sender<Result<Permit>>>,
    last_id: AdmissionId,
}

impl AdmissionController {
    fn carry_out(&mut self, pool: &PoolName, decisions: Decisions, me: &ActorRef<Self>) {
        for id in decisions.admitted {
            let permit = Permit {
                pool: pool.clone(),
                actor: me.clone(),
            };
            if let Some(tx) = self.waiting.remove(&id) {
                // A caller that has left drops the permit, which ends it.
                let _ = tx.send(Ok(permit));
            }
        }
        for (id, retry_ms) in decisions.refused {
            let rejection = Rejection::not_run(Refusal::DeadlineUnmeetable);
            let after_s = retry_ms.div_ceil(1_000).max(1);
            if let Some(tx) = self.waiting.remove(&id) {
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
        self.waiting.insert(id, msg.tx);
        let request = AdmissionRequest {
            id,
            organisation: msg.organisation,
            class: msg.class,
            due_ms: msg.due_ms,
        };
        let limiter = self.limiters.entry(msg.pool.clone()).or_default();
        let decisions = limiter.submit(request, clock::monotonic_ms());
        self.carry_out(&msg.pool, decisions, cx.actor_ref());
    }
}

impl Message<FirstByte> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, msg: FirstByte, _: &mut Context<Self, ()>) {
        if let Some(limiter) = self.limiters.get_mut(&msg.pool) {
            limiter.record_first_byte(msg.elapsed_ms, msg.deadline_ms);
        }
    }
}

impl Message<Finish> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, Finish { pool }: Finish, cx: &mut Context<Self, ()>) {
        if let Some(limiter) = self.limiters.get_mut(&pool) {
            let decisions = limiter.finish(clock::monotonic_ms());
            self.carry_out(&pool, decisions, cx.actor_ref());
        }
    }
}

impl Message<Look> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, _: Look, cx: &mut Context<Self, ()>) {
        let now_ms = clock::monotonic_ms();
        let decided: Vec<(PoolName, Decisions)> = self
            .limiters
            .iter_mut()
            .filter(|(_, limiter)| limiter.waiting() > 0)
            .map(|(pool, limiter)| (pool.clone(), limiter.decide(now_ms)))
            .collect();
        for (pool, decisions) in decided {
            self.carry_out(&pool, decisions, cx.actor_ref());
        }
    }
}

/// A request's place in a pool; dropping it lets another in.
pub(crate) struct Permit {
    pool: PoolName,
    actor: ActorRef<AdmissionController>,
}

impl Permit {
    /// Notes how long the first byte took.
    pub(crate) fn first_byte(&self, elapsed: Duration, deadline_ms: u64) {
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let msg = FirstByte {
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
        let _ = self.actor.tell(Finish { pool }).try_send();
    }
}

/// A handle to the [`AdmissionController`].
#[derive(Clone)]
pub(crate) struct AdmissionHandle {
    actor: ActorRef<AdmissionController>,
}

impl AdmissionHandle {
    pub(crate) fn spawn() -> Self {
        let controller = AdmissionController {
            limiters: HashMap::new(),
            waiting: HashMap::new(),
            last_id: 0,
        };
        let actor = AdmissionController::spawn_with_mailbox(controller, mailbox::unbounded());
        let looked = actor.clone();
        tokio::spawn(async move {
            while looked.tell(Look).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
        });
        Self { actor }
    }

    /// Waits for a place in the pool of a matched request.
    ///
    /// # Errors
    ///
    /// [`Rejection`] as soon as the deadline can't be met.
    pub(crate) async fn enter(&self, resolved_route: &Arc<ResolvedRoute>) -> Result<Permit> {
        let (tx, rx) = oneshot::channel();
        let submit = Submit {
            pool: resolved_route.server_pool.clone(),
            organisation: resolved_route.route.organisation.clone(),
            class: resolved_route.route.class,
            due_ms: clock::monotonic_ms() + resolved_route.route.deadline_ms,
            tx,
        };
        let _ = self.actor.tell(submit).await;
        let gone = Rejection::not_run(Refusal::QueueFull).retry_after(1);
        rx.await.unwrap_or(Err(gone))
    }
}
