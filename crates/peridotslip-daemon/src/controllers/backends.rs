//! Keeps what this router knows of backend servers and picks one for each
//! request.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use peridotslip::{
    balance::{CallOutcome, LoadBalancer},
    prelude::*,
    tables::{ResolvedRoute, TableIndex},
};
use peridotslip_store::{Vm, VmState};
use rand::Rng;
use serde::Deserialize;
use tokio::{sync::oneshot, task::AbortHandle};

use crate::{backend, clock, metrics::Metrics, settings::BackendSettings};

/// Holds the servers' state and the policy.
#[derive(Actor)]
pub(crate) struct BackendsController {
    balancer: LoadBalancer,
    policy: Box<dyn Policy>,
    pollers: HashMap<String, AbortHandle>,
    poll: Duration,
    client: reqwest::Client,
    metrics: Arc<Metrics>,
}

struct SetTable(Arc<TableIndex>);

struct SetList(Vec<Vm>);

struct Choose {
    resolved_route: Arc<ResolvedRoute>,
    tried: Vec<String>,
    affinity: u64,
    tx: oneshot::Sender<Result<String, u64>>,
}

struct Finished {
    server: String,
    outcome: CallOutcome,
}

struct Reported {
    server: String,
    requests: u32,
    leaving: bool,
}

/// A model engine's load report.
#[derive(Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
    #[serde(default)]
    leaving: bool,
}

impl Message<SetTable> for BackendsController {
    type Reply = ();

    async fn handle(&mut self, SetTable(index): SetTable, cx: &mut Context<Self, ()>) {
        let table = index.servers();
        self.balancer
            .set_table(table.map(|(_, server)| (server.address.as_str(), server.leaving)));
        let engines: Vec<String> = index
            .servers()
            .filter(|(kind, _)| *kind == PoolKind::Model)
            .map(|(_, server)| server.address.clone())
            .collect();
        self.pollers.retain(|address, poller| {
            let kept = engines.contains(address);
            if !kept {
                poller.abort();
            }
            kept
        });
        for address in engines {
            if !self.pollers.contains_key(&address) {
                let poll = poll_load(
                    cx.actor_ref().clone(),
                    self.client.clone(),
                    address.clone(),
                    self.poll,
                );
                let poller = tokio::spawn(poll).abort_handle();
                self.pollers.insert(address, poller);
            }
        }
    }
}

impl Message<SetList> for BackendsController {
    type Reply = ();

    async fn handle(&mut self, SetList(vms): SetList, _: &mut Context<Self, ()>) {
        let leaving = |address: &str| {
            vms.iter()
                .any(|vm| vm.address == address && vm.state == VmState::Leaving)
        };
        self.balancer.set_draining_by_vm_list(&leaving);
    }
}

impl Message<Choose> for BackendsController {
    type Reply = ();

    async fn handle(&mut self, choose: Choose, _: &mut Context<Self, ()>) {
        let now_ms = clock::monotonic_ms();
        let addresses: Vec<&str> = choose
            .resolved_route
            .servers
            .iter()
            .map(|server| server.address.as_str())
            .collect();
        let chosen = self.balancer.choose(
            &addresses,
            &choose.tried,
            self.policy.as_ref(),
            choose.affinity,
            rand::rng().random(),
            now_ms,
        );
        let answer = chosen.ok_or_else(|| {
            self.balancer
                .retry_in_ms(&addresses, now_ms)
                .unwrap_or_default()
        });
        let _ = choose.tx.send(answer);
    }
}

impl Message<Finished> for BackendsController {
    type Reply = ();

    async fn handle(&mut self, msg: Finished, _: &mut Context<Self, ()>) {
        let now_ms = clock::monotonic_ms();
        if self.balancer.finish(&msg.server, msg.outcome, now_ms) {
            self.metrics.event("backend-ejected", 1);
            log::warn!(server = msg.server.as_str(); "backend server ejected");
        }
    }
}

impl Message<Reported> for BackendsController {
    type Reply = ();

    async fn handle(&mut self, msg: Reported, _: &mut Context<Self, ()>) {
        self.balancer
            .record_load(&msg.server, msg.requests, msg.leaving);
    }
}

async fn poll_load(
    actor: ActorRef<BackendsController>,
    client: reqwest::Client,
    server: String,
    every: Duration,
) {
    let url = format!("http://{server}/load");
    loop {
        tokio::time::sleep(every).await;
        let Ok(reply) = client.get(&url).timeout(every * 2).send().await else {
            continue;
        };
        let Ok(load) = reply.json::<Load>().await else {
            continue;
        };
        let report = Reported {
            server: server.clone(),
            requests: load.running + load.waiting,
            leaving: load.leaving,
        };
        if actor.tell(report).await.is_err() {
            return;
        }
    }
}

/// A handle to the [`BackendsController`].
#[derive(Clone)]
pub(crate) struct BackendsHandle {
    actor: ActorRef<BackendsController>,
    client: reqwest::Client,
    fresh: reqwest::Client,
}

/// A server that was chosen for a request. Dropping it ends the request's
/// count there.
pub(crate) struct Chosen {
    pub(crate) server: String,
    outcome: CallOutcome,
    actor: ActorRef<BackendsController>,
    /// Whether the controller counts the request as in flight there.
    counted: bool,
}

impl Chosen {
    /// Notes how the request ended.
    pub(crate) fn finish(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Chosen {
    fn drop(&mut self) {
        if !self.counted {
            return;
        }
        let server = std::mem::take(&mut self.server);
        let outcome = self.outcome;
        let _ = self.actor.tell(Finished { server, outcome }).try_send();
    }
}

impl BackendsHandle {
    /// Starts the controller.
    ///
    /// # Errors
    ///
    /// An error if no HTTP client can be made.
    pub(crate) fn spawn(
        settings: &BackendSettings,
        metrics: Arc<Metrics>,
    ) -> Result<Self, reqwest::Error> {
        let client = backend::client(settings, true)?;
        let fresh = backend::client(settings, false)?;
        let controller = BackendsController {
            balancer: LoadBalancer::default(),
            policy: backend::policy(&settings.policy)
                .unwrap_or_else(|| Box::new(peridotslip::balance::TwoChoices)),
            pollers: HashMap::new(),
            poll: Duration::from_millis(settings.load_poll_ms),
            client: client.clone(),
            metrics,
        };
        let actor = BackendsController::spawn_with_mailbox(controller, mailbox::unbounded());
        Ok(Self {
            actor,
            client,
            fresh,
        })
    }

    /// Stands for a server that works on a request which another router sent.
    pub(crate) fn adopt(&self, server: String) -> Chosen {
        Chosen {
            server,
            outcome: CallOutcome::Neutral,
            actor: self.actor.clone(),
            counted: false,
        }
    }

    /// A client that opens a connection for each request: what it could not
    /// connect for was certainly not sent.
    pub(crate) fn fresh_client(&self) -> reqwest::Client {
        self.fresh.clone()
    }

    /// The client for work that may be repeated, or not.
    pub(crate) fn client_for(&self, idempotent: bool) -> reqwest::Client {
        if idempotent {
            self.client.clone()
        } else {
            self.fresh.clone()
        }
    }

    pub(crate) async fn set_table(&self, index: Arc<TableIndex>) {
        let _ = self.actor.tell(SetTable(index)).await;
    }

    pub(crate) async fn set_list(&self, vms: Vec<Vm>) {
        let _ = self.actor.tell(SetList(vms)).await;
    }

    /// Picks a server for a request.
    ///
    /// # Errors
    ///
    /// Milliseconds until a retry can help, if no server can take it.
    pub(crate) async fn choose(
        &self,
        resolved_route: &Arc<ResolvedRoute>,
        tried: &[String],
        affinity: u64,
    ) -> Result<Chosen, u64> {
        let (tx, rx) = oneshot::channel();
        let choose = Choose {
            resolved_route: resolved_route.clone(),
            tried: tried.to_vec(),
            affinity,
            tx,
        };
        let _ = self.actor.tell(choose).await;
        let server = rx.await.unwrap_or(Err(0))?;
        Ok(Chosen {
            server,
            outcome: CallOutcome::Neutral,
            actor: self.actor.clone(),
            counted: true,
        })
    }
}
