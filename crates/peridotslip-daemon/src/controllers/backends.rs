//! The state of the backend servers, and the selection of a server for each
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

use crate::{
    backend::{self, ForwardClient},
    clock,
    metrics::Metrics,
    settings::BackendSettings,
};

/// Holds the servers' state and the load balancing policy.
#[derive(Actor)]
pub(crate) struct BackendsController {
    balancer: LoadBalancer,
    policy: Box<dyn Policy>,
    /// The tasks that poll the load of model engines, by server address.
    pollers: HashMap<String, AbortHandle>,
    load_poll_interval: Duration,
    client: reqwest::Client,
    metrics: Arc<Metrics>,
}

/// Applies the servers of newly activated tables.
struct SetTable(Arc<TableIndex>);

/// Applies the platform's VM list.
struct SetVmList(Vec<Vm>);

/// Selects a server and counts the request as in flight there. `tx` receives
/// the server's address, or the milliseconds until a retry may succeed.
struct SelectServer {
    resolved_route: Arc<ResolvedRoute>,
    /// Servers that the request has been sent to without success.
    attempted: Vec<String>,
    /// The key for which an affinity policy selects the same server again.
    affinity: u64,
    tx: oneshot::Sender<Result<String, u64>>,
}

/// A request at a server has ended.
struct RequestFinished {
    server: String,
    outcome: CallOutcome,
}

/// A model engine has reported its load.
struct LoadReported {
    server: String,
    requests: u32,
    draining: bool,
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
            let listed = engines.contains(address);
            if !listed {
                poller.abort();
            }
            listed
        });
        for address in engines {
            if !self.pollers.contains_key(&address) {
                let poll = poll_load(
                    cx.actor_ref().clone(),
                    self.client.clone(),
                    address.clone(),
                    self.load_poll_interval,
                );
                let poller = tokio::spawn(poll).abort_handle();
                self.pollers.insert(address, poller);
            }
        }
    }
}

impl Message<SetVmList> for BackendsController {
    type Reply = ();

    async fn handle(&mut self, SetVmList(vms): SetVmList, _: &mut Context<Self, ()>) {
        let is_draining = |address: &str| {
            vms.iter()
                .any(|vm| vm.address == address && vm.state == VmState::Leaving)
        };
        self.balancer.set_draining_by_vm_list(&is_draining);
    }
}

impl Message<SelectServer> for BackendsController {
    type Reply = ();

    async fn handle(&mut self, msg: SelectServer, _: &mut Context<Self, ()>) {
        let now_ms = clock::monotonic_ms();
        let addresses: Vec<&str> = msg
            .resolved_route
            .servers
            .iter()
            .map(|server| server.address.as_str())
            .collect();
        let selected = self.balancer.choose(
            &addresses,
            &msg.attempted,
            self.policy.as_ref(),
            msg.affinity,
            rand::rng().random(),
            now_ms,
        );
        let result = selected.ok_or_else(|| {
            self.balancer
                .retry_in_ms(&addresses, now_ms)
                .unwrap_or_default()
        });
        let _ = msg.tx.send(result);
    }
}

impl Message<RequestFinished> for BackendsController {
    type Reply = ();

    async fn handle(&mut self, msg: RequestFinished, _: &mut Context<Self, ()>) {
        let now_ms = clock::monotonic_ms();
        if self.balancer.finish(&msg.server, msg.outcome, now_ms) {
            self.metrics.event("backend-ejected", 1);
            log::warn!(server = msg.server.as_str(); "backend server ejected after failures; it gets no requests for a while");
        }
    }
}

impl Message<LoadReported> for BackendsController {
    type Reply = ();

    async fn handle(&mut self, msg: LoadReported, _: &mut Context<Self, ()>) {
        self.balancer
            .record_load(&msg.server, msg.requests, msg.draining);
    }
}

/// Polls the load of a model engine until the controller stops or aborts the
/// task. A failed poll reports nothing; the engine's last load stays recorded.
async fn poll_load(
    actor: ActorRef<BackendsController>,
    client: reqwest::Client,
    server: String,
    interval: Duration,
) {
    let url = format!("http://{server}/load");
    loop {
        tokio::time::sleep(interval).await;
        let Ok(reply) = client.get(&url).timeout(interval * 2).send().await else {
            continue;
        };
        let Ok(load) = reply.json::<Load>().await else {
            continue;
        };
        let report = LoadReported {
            server: server.clone(),
            requests: load.running + load.waiting,
            draining: load.leaving,
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
    forward: ForwardClient,
    forward_unpooled: ForwardClient,
    unpooled: reqwest::Client,
}

/// A request in flight at a selected server. Dropping the guard reports the
/// end of the request to the controller.
pub(crate) struct InFlightGuard {
    pub(crate) server: String,
    outcome: CallOutcome,
    actor: ActorRef<BackendsController>,
    /// Whether the controller counts the request as in flight at `server`.
    is_counted: bool,
}

impl InFlightGuard {
    /// Ends the request with its outcome.
    pub(crate) fn complete(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if !self.is_counted {
            return;
        }
        let server = std::mem::take(&mut self.server);
        let outcome = self.outcome;
        let _ = self
            .actor
            .tell(RequestFinished { server, outcome })
            .try_send();
    }
}

impl BackendsHandle {
    /// Starts the controller.
    ///
    /// # Errors
    ///
    /// Returns an error if an HTTP client can't be created.
    pub(crate) fn spawn(
        settings: &BackendSettings,
        metrics: Arc<Metrics>,
    ) -> Result<Self, reqwest::Error> {
        let client = backend::client(settings, true)?;
        let unpooled = backend::client(settings, false)?;
        let controller = BackendsController {
            balancer: LoadBalancer::default(),
            policy: backend::policy(&settings.policy)
                .unwrap_or_else(|| Box::new(peridotslip::balance::TwoChoices)),
            pollers: HashMap::new(),
            load_poll_interval: Duration::from_millis(settings.load_poll_ms),
            client,
            metrics,
        };
        let actor = BackendsController::spawn_with_mailbox(controller, mailbox::unbounded());
        Ok(Self {
            actor,
            forward: ForwardClient::new(settings, true),
            forward_unpooled: ForwardClient::new(settings, false),
            unpooled,
        })
    }

    /// Returns a guard for a request that another router sent to `server` and
    /// this router takes over. The controller doesn't count the request.
    pub(crate) fn uncounted_guard(&self, server: String) -> InFlightGuard {
        InFlightGuard {
            server,
            outcome: CallOutcome::Neutral,
            actor: self.actor.clone(),
            is_counted: false,
        }
    }

    /// Returns a client that opens a connection for each request, so that a
    /// request whose connection failed was certainly not sent.
    pub(crate) fn unpooled_client(&self) -> reqwest::Client {
        self.unpooled.clone()
    }

    /// Returns the client for callers' idempotent or non-idempotent requests;
    /// the latter don't use pooled connections.
    pub(crate) fn client_for(&self, idempotent: bool) -> ForwardClient {
        if idempotent {
            self.forward.clone()
        } else {
            self.forward_unpooled.clone()
        }
    }

    /// Applies the servers of newly activated tables.
    pub(crate) async fn set_table(&self, index: Arc<TableIndex>) {
        let _ = self.actor.tell(SetTable(index)).await;
    }

    /// Applies the platform's VM list: listed servers that are leaving get no
    /// further requests.
    pub(crate) async fn set_vm_list(&self, vms: Vec<Vm>) {
        let _ = self.actor.tell(SetVmList(vms)).await;
    }

    /// Selects a server for a request, other than the `attempted` ones.
    ///
    /// # Errors
    ///
    /// If no server can accept the request, returns the time until a retry may
    /// succeed, in milliseconds.
    pub(crate) async fn select(
        &self,
        resolved_route: &Arc<ResolvedRoute>,
        attempted: &[String],
        affinity: u64,
    ) -> Result<InFlightGuard, u64> {
        let (tx, rx) = oneshot::channel();
        let select = SelectServer {
            resolved_route: resolved_route.clone(),
            attempted: attempted.to_vec(),
            affinity,
            tx,
        };
        let _ = self.actor.tell(select).await;
        let server = rx.await.unwrap_or(Err(0))?;
        Ok(InFlightGuard {
            server,
            outcome: CallOutcome::Neutral,
            actor: self.actor.clone(),
            is_counted: true,
        })
    }
}
