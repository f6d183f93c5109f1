//! Lets requests in, pool by pool.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use peridotslip::{
    admission::{Arrival, Decisions, Gate, Ticket},
    prelude::*,
    tables::Matched,
};
use tokio::sync::oneshot;

use crate::{
    clock,
    problem::{Rejection, Result},
};

/// How often waiting requests are looked at without other occasion, in
/// milliseconds.
const LOOK_MS: u64 = 50;

struct Arrive {
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

/// Holds a gate for each pool of servers.
#[derive(Actor)]
pub(crate) struct AdmissionController {
    gates: HashMap<PoolName, Gate>,
    waiting: HashMap<Ticket, oneshot::Sender<Result<Permit>>>,
    last_ticket: Ticket,
}

impl AdmissionController {
    fn carry_out(&mut self, pool: &PoolName, decisions: Decisions, me: &ActorRef<Self>) {
        for ticket in decisions.start {
            let permit = Permit {
                pool: pool.clone(),
                actor: me.clone(),
            };
            if let Some(tx) = self.waiting.remove(&ticket) {
                // A caller that has left drops the permit, which ends it.
                let _ = tx.send(Ok(permit));
            }
        }
        for (ticket, retry_ms) in decisions.refuse {
            let rejection = Rejection::not_run(Refusal::DeadlineUnmeetable);
            let after_s = retry_ms.div_ceil(1_000).max(1);
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.send(Err(rejection.retry_after(after_s)));
            }
        }
    }
}

impl Message<Arrive> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, msg: Arrive, cx: &mut Context<Self, ()>) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.waiting.insert(ticket, msg.tx);
        let arrival = Arrival {
            ticket,
            organisation: msg.organisation,
            class: msg.class,
            due_ms: msg.due_ms,
        };
        let gate = self.gates.entry(msg.pool.clone()).or_default();
        let decisions = gate.arrive(arrival, clock::monotonic_ms());
        self.carry_out(&msg.pool, decisions, cx.actor_ref());
    }
}

impl Message<FirstByte> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, msg: FirstByte, _: &mut Context<Self, ()>) {
        if let Some(gate) = self.gates.get_mut(&msg.pool) {
            gate.first_byte(msg.elapsed_ms, msg.deadline_ms);
        }
    }
}

impl Message<Finish> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, Finish { pool }: Finish, cx: &mut Context<Self, ()>) {
        if let Some(gate) = self.gates.get_mut(&pool) {
            let decisions = gate.finish(clock::monotonic_ms());
            self.carry_out(&pool, decisions, cx.actor_ref());
        }
    }
}

impl Message<Look> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, _: Look, cx: &mut Context<Self, ()>) {
        let now_ms = clock::monotonic_ms();
        let decided: Vec<(PoolName, Decisions)> = self
            .gates
            .iter_mut()
            .filter(|(_, gate)| gate.waiting() > 0)
            .map(|(pool, gate)| (pool.clone(), gate.decide(now_ms)))
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
            gates: HashMap::new(),
            waiting: HashMap::new(),
            last_ticket: 0,
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
    pub(crate) async fn enter(&self, matched: &Arc<Matched>) -> Result<Permit> {
        let (tx, rx) = oneshot::channel();
        let arrive = Arrive {
            pool: matched.server_pool.clone(),
            organisation: matched.route.organisation.clone(),
            class: matched.route.class,
            due_ms: clock::monotonic_ms() + matched.route.deadline_ms,
            tx,
        };
        let _ = self.actor.tell(arrive).await;
        let gone = Rejection::not_run(Refusal::QueueFull).retry_after(1);
        rx.await.unwrap_or(Err(gone))
    }
}
