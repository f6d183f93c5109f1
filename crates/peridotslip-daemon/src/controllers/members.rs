//! Fleet membership: failure detection by probes, and gossip.

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

/// Longest wait for the reply to a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 400;
/// Number of peers that are requested to probe a router that did not reply.
const INDIRECT_PROBES: usize = 2;
/// Number of peers to which a change of this router's state is pushed at once;
/// each of them pushes new tables to as many in turn.
const PUSH_FANOUT: usize = 6;

/// A snapshot of the fleet as this router sees it.
#[derive(Clone, Debug)]
pub(crate) struct MembershipView {
    /// This router.
    pub(crate) local: Node,
    /// Live routers, this one included unless it is leaving.
    pub(crate) live: Vec<Node>,
    /// All known routers and their states.
    pub(crate) members: Vec<(Node, MemberState)>,
    /// Whether this router is one of its data centre's watchers of the store.
    pub(crate) is_config_watcher: bool,
    /// The VMs that the platform lists; `None` until the list has been read.
    pub(crate) platform_vms: Option<Arc<Vec<Vm>>>,
}

impl MembershipView {
    /// Returns the live router that owns a rendezvous key.
    pub(crate) fn owner(&self, key: &str) -> Option<&Node> {
        members::rendezvous_owner(key, self.live.iter(), |node| node.address.as_str())
    }

    /// Iterates over the live routers other than this one.
    pub(crate) fn live_peers(&self) -> impl Iterator<Item = &Node> {
        let local = &self.local.address;
        self.live.iter().filter(move |node| node.address != *local)
    }

    /// Returns the live incarnation at an address.
    pub(crate) fn incarnation_at(&self, address: &str) -> Option<Incarnation> {
        let node = self.live.iter().find(|node| node.address == address)?;
        Some(node.incarnation)
    }

    /// Whether the platform lists an address; `None` if its list has not been
    /// read.
    pub(crate) fn is_listed(&self, address: &str) -> Option<bool> {
        let platform_vms = self.platform_vms.as_ref()?;
        Some(platform_vms.iter().any(|vm| vm.address == address))
    }
}

/// Number of routers in each data centre that watch the store's manifest.
const WATCHERS: usize = 2;

/// Probes other routers, applies their updates and publishes the
/// [`MembershipView`].
#[derive(Actor)]
pub(crate) struct MembersController {
    members: Members,
    client: PeerClient,
    platform_vms: Option<Arc<Vec<Vm>>>,
    view: watch::Sender<Arc<MembershipView>>,
    /// The address of the last router that announced newer tables, and their
    /// revision.
    newer_revisions: watch::Sender<Option<(String, Revision)>>,
    metrics: Arc<Metrics>,
}

/// Probes the next router.
struct ProbeTick;

/// Applies updates; `from` is the address of the router whose reply to a probe
/// contained them.
struct MergeUpdates {
    from: Option<String>,
    updates: Vec<MemberUpdate>,
}

/// Applies the updates of a peer's probe; `tx` receives the updates for the
/// reply.
struct HandleProbe {
    updates: Vec<MemberUpdate>,
    full_state: bool,
    tx: oneshot::Sender<Vec<MemberUpdate>>,
}

/// Records that a router did not respond.
struct MarkUnreachable {
    address: String,
}

/// Applies the platform's VM list.
struct SetVmList(Vec<Vm>);

/// Sets this router's active revision and announces it.
struct SetActiveRevision(Revision);

/// Announces that this router is leaving.
struct Leave;

impl MembersController {
    /// Publishes the current view and updates the gauge of live members.
    fn publish(&mut self) {
        let live: Vec<Node> = self.members.live().cloned().collect();
        let members = self
            .members
            .all()
            .map(|(node, state)| (node.clone(), state))
            .collect();
        self.metrics.gauges.live_members.set(live.len() as u64);
        self.view.send_replace(Arc::new(MembershipView {
            local: self.members.local_node().clone(),
            live,
            members,
            is_config_watcher: self
                .members
                .is_owner_in_data_centre("config-watch", WATCHERS),
            platform_vms: self.platform_vms.clone(),
        }));
    }

    /// Applies updates. Publishes the sender's revision if it is newer than
    /// this router's, and the new view.
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
                self.newer_revisions
                    .send_replace(Some((from, sender.node.revision)));
            }
        }
        self.publish();
    }

    /// Probes up to [`PUSH_FANOUT`] random live peers that `filter` selects, so
    /// that they learn this router's state immediately.
    fn push_gossip(&mut self, filter: impl Fn(&Node) -> bool, actor_ref: &ActorRef<Self>) {
        let peers: Vec<String> = self
            .members
            .live_peers()
            .filter(|node| filter(node))
            .map(|node| node.address.clone())
            .collect();
        for address in peers.choose_multiple(&mut rand::rng(), PUSH_FANOUT) {
            self.probe(address.clone(), actor_ref.clone());
        }
    }

    /// Probes `address` in the background, and indirectly through other peers
    /// if it doesn't reply.
    fn probe(&mut self, address: String, actor_ref: ActorRef<Self>) {
        let known = self.members.all().any(|(node, _)| node.address == address);
        let request = PeerRequest::Probe {
            updates: self.members.updates_for(&address),
            full_state: !known,
        };
        let peers: Vec<String> = self
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
                let _ = actor_ref.tell(MergeUpdates { from, updates }).await;
                return;
            }
            let helpers: Vec<String> = peers
                .choose_multiple(&mut rand::rng(), INDIRECT_PROBES)
                .cloned()
                .collect();
            let request = PeerRequest::IndirectProbe {
                address: address.clone(),
            };
            let calls = helpers
                .iter()
                .map(|helper| client.call(helper, &request, timeout * 2));
            let responses = futures::future::join_all(calls).await;
            let reached = |response: &crate::peer::Result<PeerResponse>| {
                matches!(response, Ok(PeerResponse::IndirectProbe(true)))
            };
            if !responses.iter().any(reached) {
                let _ = actor_ref.tell(MarkUnreachable { address }).await;
            }
        });
    }
}

impl Message<ProbeTick> for MembersController {
    type Reply = ();

    async fn handle(&mut self, _: ProbeTick, cx: &mut Context<Self, ()>) {
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

impl Message<HandleProbe> for MembersController {
    type Reply = ();

    async fn handle(&mut self, msg: HandleProbe, _: &mut Context<Self, ()>) {
        let sender = msg
            .updates
            .first()
            .map(|update| update.node.address.clone());
        self.apply_updates(sender.as_deref(), &msg.updates);
        let updates = if msg.full_state {
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

impl Message<SetVmList> for MembersController {
    type Reply = ();

    async fn handle(&mut self, SetVmList(vms): SetVmList, _: &mut Context<Self, ()>) {
        self.members
            .add_seeds(vms.iter().map(|vm| vm.address.as_str()));
        let is_listed = |address: &str| vms.iter().any(|vm| vm.address == address);
        self.members.retain_seeds(&is_listed);
        self.platform_vms = Some(Arc::new(vms));
        self.publish();
    }
}

impl Message<SetActiveRevision> for MembersController {
    type Reply = ();

    async fn handle(
        &mut self,
        SetActiveRevision(revision): SetActiveRevision,
        cx: &mut Context<Self, ()>,
    ) {
        self.members.set_revision(revision);
        self.push_gossip(|node| node.revision < revision, cx.actor_ref());
        self.publish();
    }
}

impl Message<Leave> for MembersController {
    type Reply = ();

    async fn handle(&mut self, _: Leave, cx: &mut Context<Self, ()>) {
        self.members.leave();
        self.push_gossip(|_| true, cx.actor_ref());
        self.publish();
    }
}

/// A handle to the [`MembersController`].
#[derive(Clone)]
pub(crate) struct MembersHandle {
    actor: ActorRef<MembersController>,
    view: watch::Receiver<Arc<MembershipView>>,
    newer_revisions: watch::Receiver<Option<(String, Revision)>>,
    client: PeerClient,
}

impl MembersHandle {
    /// Starts the controller, with the addresses to probe first.
    pub(crate) fn spawn(
        local: Node,
        seeds: &[String],
        client: PeerClient,
        metrics: Arc<Metrics>,
    ) -> Self {
        let mut members = Members::new(local.clone());
        members.add_seeds(seeds.iter().map(String::as_str));
        let (view_tx, view) = watch::channel(Arc::new(MembershipView {
            local: local.clone(),
            live: vec![local],
            members: Vec::new(),
            is_config_watcher: true,
            platform_vms: None,
        }));
        let (newer_revisions_tx, newer_revisions) = watch::channel(None);
        let controller = MembersController {
            members,
            client: client.clone(),
            platform_vms: None,
            view: view_tx,
            newer_revisions: newer_revisions_tx,
            metrics,
        };
        let actor = MembersController::spawn_with_mailbox(controller, mailbox::unbounded());
        let ticker = actor.clone();
        tokio::spawn(async move {
            while ticker.tell(ProbeTick).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
            }
        });
        Self {
            actor,
            view,
            newer_revisions,
            client,
        }
    }

    /// Returns the current view of the fleet.
    pub(crate) fn view(&self) -> Arc<MembershipView> {
        self.view.borrow().clone()
    }

    /// Returns a receiver of the address of the last router that announced
    /// newer tables, and their revision.
    pub(crate) fn newer_revisions(&self) -> watch::Receiver<Option<(String, Revision)>> {
        self.newer_revisions.clone()
    }

    /// Applies the updates of a peer's probe and returns the updates for the
    /// reply: the states of all known routers if `full_state`, otherwise recent
    /// changes.
    pub(crate) async fn handle_probe(
        &self,
        updates: Vec<MemberUpdate>,
        full_state: bool,
    ) -> Vec<MemberUpdate> {
        let (tx, rx) = oneshot::channel();
        let _ = self
            .actor
            .tell(HandleProbe {
                updates,
                full_state,
                tx,
            })
            .await;
        rx.await.unwrap_or_default()
    }

    /// Probes another router and returns whether it replied in time.
    pub(crate) async fn is_reachable(&self, address: &str, timeout: Duration) -> bool {
        let request = PeerRequest::Probe {
            updates: Vec::new(),
            full_state: false,
        };
        self.client.call(address, &request, timeout).await.is_ok()
    }

    /// Marks a router as unreachable because it did not respond to a call
    /// other than a probe.
    pub(crate) async fn mark_unreachable(&self, address: &str) {
        let address = address.to_owned();
        let _ = self.actor.tell(MarkUnreachable { address }).await;
    }

    /// Applies the platform's VM list.
    pub(crate) async fn set_vm_list(&self, vms: Vec<Vm>) {
        let _ = self.actor.tell(SetVmList(vms)).await;
    }

    /// Sets the active revision and announces it to some peers.
    pub(crate) async fn set_active_revision(&self, revision: Revision) {
        let _ = self.actor.tell(SetActiveRevision(revision)).await;
    }

    /// Marks this router as leaving, so that it owns no rendezvous keys, and
    /// announces this to some peers.
    pub(crate) async fn leave(&self) {
        let _ = self.actor.tell(Leave).await;
    }

    /// Returns the addresses of those of the incarnations that are live.
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
