//! Keeps this router's view of the fleet.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use peridotslip::{
    members::{self, MemberState, MemberUpdate, Members, Node, PROBE_INTERVAL_MS},
    prelude::*,
};
use peridotslip_store::Vm;
use rand::seq::IndexedRandom;
use tokio::sync::{oneshot, watch};

use crate::{
    clock,
    metrics::Metrics,
    peer::{PeerClient, PeerRequest, PeerResponse},
};

/// Longest wait for a probe's answer, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 400;
/// Others that are asked to probe a router that did not answer.
const HELPERS: usize = 2;
/// Routers told at once of new tables; each tells as many in turn.
const PUSH_FANOUT: usize = 6;

/// What the rest of the daemon sees of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct View {
    pub(crate) local: Node,
    /// Live routers, this one included unless it is leaving.
    pub(crate) live: Vec<Node>,
    /// Every router that is known.
    pub(crate) all: Vec<(Node, MemberState)>,
    /// Whether this router is one of its data centre's watchers.
    pub(crate) watches: bool,
    /// What the platform lists, if it could be read.
    pub(crate) listed: Option<Arc<Vec<Vm>>>,
}

impl View {
    /// The router that has a duty.
    pub(crate) fn owner(&self, key: &str) -> Option<&Node> {
        members::rendezvous_owner(key, self.live.iter(), |node| node.address.as_str())
    }

    /// Live routers other than this one.
    pub(crate) fn live_peers(&self) -> impl Iterator<Item = &Node> {
        let local = &self.local.address;
        self.live.iter().filter(move |node| node.address != *local)
    }

    /// The incarnation that answers at an address.
    pub(crate) fn incarnation_at(&self, address: &str) -> Option<Incarnation> {
        let node = self.live.iter().find(|node| node.address == address)?;
        Some(node.incarnation)
    }

    /// Whether the platform lists an address; `None` if its list is unknown.
    pub(crate) fn lists(&self, address: &str) -> Option<bool> {
        let listed = self.listed.as_ref()?;
        Some(listed.iter().any(|vm| vm.address == address))
    }
}

/// Watchers of the store's manifest in each data centre.
const WATCHERS: usize = 2;

/// Probes, applies updates and publishes the [`View`].
#[derive(Actor)]
pub(crate) struct MembersController {
    members: Members,
    client: PeerClient,
    listed: Option<Arc<Vec<Vm>>>,
    view: watch::Sender<Arc<View>>,
    newer: watch::Sender<Option<(String, Revision)>>,
    metrics: Arc<Metrics>,
}

struct Tick;

struct MergeUpdates {
    from: Option<String>,
    updates: Vec<MemberUpdate>,
}

struct Probed {
    updates: Vec<MemberUpdate>,
    all: bool,
    tx: oneshot::Sender<Vec<MemberUpdate>>,
}

struct MarkUnreachable {
    address: String,
}

struct Listed(Vec<Vm>);

struct InForce(Revision);

struct Leave;

impl MembersController {
    fn publish(&mut self) {
        let live: Vec<Node> = self.members.live().cloned().collect();
        let all = self
            .members
            .all()
            .map(|(node, state)| (node.clone(), state))
            .collect();
        self.metrics.gauges.live_members.set(live.len() as u64);
        self.view.send_replace(Arc::new(View {
            local: self.members.local_node().clone(),
            live,
            all,
            watches: self
                .members
                .is_owner_in_data_centre("config-watch", WATCHERS),
            listed: self.listed.clone(),
        }));
    }

    fn apply_updates(&mut self, from: Option<&str>, updates: &[MemberUpdate]) {
        let now_ms = clock::monotonic_ms();
        self.members.apply_updates(updates, now_ms);
        if let Some(from) = from {
            self.members.record_reachable(from, now_ms);
        }
        // The first update is the sender's own state.
        if let Some(sender) = updates.first() {
            let newer = sender.node.revision > self.members.local_node().revision;
            if newer && sender.node.firm == self.members.local_node().firm {
                let from = sender.node.address.clone();
                self.newer.send_replace(Some((from, sender.node.revision)));
            }
        }
        self.publish();
    }

    /// Probes a few live routers at once, so that they hear of this one's
    /// state.
    fn tell_some(&mut self, whom: impl Fn(&Node) -> bool, me: &ActorRef<Self>) {
        let others: Vec<String> = self
            .members
            .live_peers()
            .filter(|node| whom(node))
            .map(|node| node.address.clone())
            .collect();
        for address in others.choose_multiple(&mut rand::rng(), PUSH_FANOUT) {
            self.probe(address.clone(), me.clone());
        }
    }

    /// Probes `address` in the background, with the help of others if it
    /// doesn't answer.
    fn probe(&mut self, address: String, me: ActorRef<Self>) {
        let known = self.members.all().any(|(node, _)| node.address == address);
        let request = PeerRequest::Probe {
            updates: self.members.updates_for(&address),
            all: !known,
        };
        let others: Vec<String> = self
            .members
            .live_peers()
            .map(|node| node.address.clone())
            .filter(|other| *other != address)
            .collect();
        let client = self.client.clone();
        tokio::spawn(async move {
            let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
            if let Ok(PeerResponse::Probe { updates }) =
                client.call(&address, &request, timeout).await
            {
                let from = Some(address);
                let _ = me.tell(MergeUpdates { from, updates }).await;
                return;
            }
            let helpers: Vec<String> = others
                .choose_multiple(&mut rand::rng(), HELPERS)
                .cloned()
                .collect();
            let request = PeerRequest::IndirectProbe {
                address: address.clone(),
            };
            let asked = helpers
                .iter()
                .map(|helper| client.call(helper, &request, timeout * 2));
            let answers = futures::future::join_all(asked).await;
            let reached = |response: &crate::peer::Result<PeerResponse>| {
                matches!(response, Ok(PeerResponse::IndirectProbe(true)))
            };
            if !answers.iter().any(reached) {
                let _ = me.tell(MarkUnreachable { address }).await;
            }
        });
    }
}

impl Message<Tick> for MembersController {
    type Reply = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, ()>) {
        if let Some(address) = self.members.tick(clock::monotonic_ms()) {
            self.probe(address, cx.actor_ref().clone());
        }
        self.publish();
    }
}

impl Message<MergeUpdates> for MembersController {
    type Reply = ();

    async fn handle(&mut self, msg: MergeUpdates, _: &mut Context<Self, ()>) {
        self.apply_updates(msg.from.as_deref(), &msg.updates);
    }
}

impl Message<Probed> for MembersController {
    type Reply = ();

    async fn handle(&mut self, msg: Probed, _: &mut Context<Self, ()>) {
        let sender = msg
            .updates
            .first()
            .map(|update| update.node.address.clone());
        self.apply_updates(sender.as_deref(), &msg.updates);
        let updates = if msg.all {
            self.members.full_state()
        } else {
            self.members
                .updates_for(sender.as_deref().unwrap_or_default())
        };
        let _ = msg.tx.send(updates);
    }
}

impl Message<MarkUnreachable> for MembersController {
    type Reply = ();

    async fn handle(&mut self, msg: MarkUnreachable, _: &mut Context<Self, ()>) {
        self.members
            .record_unreachable(&msg.address, clock::monotonic_ms());
        self.publish();
    }
}

impl Message<Listed> for MembersController {
    type Reply = ();

    async fn handle(&mut self, Listed(vms): Listed, _: &mut Context<Self, ()>) {
        self.members
            .add_seeds(vms.iter().map(|vm| vm.address.as_str()));
        let named = |address: &str| vms.iter().any(|vm| vm.address == address);
        self.members.retain_seeds(&named);
        self.listed = Some(Arc::new(vms));
        self.publish();
    }
}

impl Message<InForce> for MembersController {
    type Reply = ();

    async fn handle(&mut self, InForce(revision): InForce, cx: &mut Context<Self, ()>) {
        self.members.set_revision(revision);
        self.tell_some(|node| node.revision < revision, cx.actor_ref());
        self.publish();
    }
}

impl Message<Leave> for MembersController {
    type Reply = ();

    async fn handle(&mut self, _: Leave, cx: &mut Context<Self, ()>) {
        self.members.leave();
        self.tell_some(|_| true, cx.actor_ref());
        self.publish();
    }
}

/// A handle to the [`MembersController`].
#[derive(Clone)]
pub(crate) struct MembersHandle {
    actor: ActorRef<MembersController>,
    view: watch::Receiver<Arc<View>>,
    newer: watch::Receiver<Option<(String, Revision)>>,
    client: PeerClient,
}

impl MembersHandle {
    /// Starts the controller, with addresses to try first.
    pub(crate) fn spawn(
        local: Node,
        seeds: &[String],
        client: PeerClient,
        metrics: Arc<Metrics>,
    ) -> Self {
        let mut members = Members::new(local.clone());
        members.add_seeds(seeds.iter().map(String::as_str));
        let (view_tx, view) = watch::channel(Arc::new(View {
            local: local.clone(),
            live: vec![local],
            all: Vec::new(),
            watches: true,
            listed: None,
        }));
        let (newer_tx, newer) = watch::channel(None);
        let controller = MembersController {
            members,
            client: client.clone(),
            listed: None,
            view: view_tx,
            newer: newer_tx,
            metrics,
        };
        let actor = MembersController::spawn_with_mailbox(controller, mailbox::unbounded());
        let ticked = actor.clone();
        tokio::spawn(async move {
            while ticked.tell(Tick).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
            }
        });
        Self {
            actor,
            view,
            newer,
            client,
        }
    }

    /// The fleet as this router sees it.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Tells of routers that have newer tables.
    pub(crate) fn newer(&self) -> watch::Receiver<Option<(String, Revision)>> {
        self.newer.clone()
    }

    /// Answers a probe.
    pub(crate) async fn probed(&self, updates: Vec<MemberUpdate>, all: bool) -> Vec<MemberUpdate> {
        let (tx, rx) = oneshot::channel();
        let _ = self.actor.tell(Probed { updates, all, tx }).await;
        rx.await.unwrap_or_default()
    }

    /// Whether another router answers this one.
    pub(crate) async fn reaches(&self, address: &str, timeout: Duration) -> bool {
        let request = PeerRequest::Probe {
            updates: Vec::new(),
            all: false,
        };
        self.client.call(address, &request, timeout).await.is_ok()
    }

    /// Notes that a router did not answer something else than a probe.
    pub(crate) async fn mark_unreachable(&self, address: &str) {
        let address = address.to_owned();
        let _ = self.actor.tell(MarkUnreachable { address }).await;
    }

    /// Takes in what the platform lists.
    pub(crate) async fn set_list(&self, vms: Vec<Vm>) {
        let _ = self.actor.tell(Listed(vms)).await;
    }

    /// Notes which tables are in force, and tells some others.
    pub(crate) async fn in_force(&self, revision: Revision) {
        let _ = self.actor.tell(InForce(revision)).await;
    }

    /// Gives up all duties and tells the others.
    pub(crate) async fn leave(&self) {
        let _ = self.actor.tell(Leave).await;
    }

    /// The addresses of these incarnations, as far as they are live.
    pub(crate) fn addresses_of(&self, incarnations: &[Incarnation]) -> Vec<String> {
        let view = self.view();
        let by_incarnation: HashMap<Incarnation, &str> = view
            .live_peers()
            .map(|node| (node.incarnation, node.address.as_str()))
            .collect();
        incarnations
            .iter()
            .filter_map(|incarnation| by_incarnation.get(incarnation))
            .map(|address| (*address).to_owned())
            .collect()
    }
}
