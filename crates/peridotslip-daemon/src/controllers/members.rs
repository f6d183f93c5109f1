//! Keeps this router's view of the fleet.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use peridotslip::{
    members::{self, Members, Node, PROBE_EVERY_MS, Rumour, State},
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
    pub(crate) me: Node,
    /// Live routers, this one included unless it is leaving.
    pub(crate) live: Vec<Node>,
    /// Every router that is known.
    pub(crate) all: Vec<(Node, State)>,
    /// Whether this router is one of its data centre's watchers.
    pub(crate) watches: bool,
    /// What the platform lists, if it could be read.
    pub(crate) listed: Option<Arc<Vec<Vm>>>,
}

impl View {
    /// The router that has a duty.
    pub(crate) fn holder(&self, duty: &str) -> Option<&Node> {
        members::winner(duty, self.live.iter(), |node| node.address.as_str())
    }

    /// Live routers other than this one.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Node> {
        let me = &self.me.address;
        self.live.iter().filter(move |node| node.address != *me)
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

/// Watchers of the store's head in each data centre.
const WATCHERS: usize = 2;

/// Probes, hears rumours and publishes the [`View`].
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

struct Heard {
    from: Option<String>,
    rumours: Vec<Rumour>,
}

struct Probed {
    rumours: Vec<Rumour>,
    all: bool,
    tx: oneshot::Sender<Vec<Rumour>>,
}

struct Silent {
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
            me: self.members.me().clone(),
            live,
            all,
            watches: self.members.is_among("config-watch", WATCHERS),
            listed: self.listed.clone(),
        }));
    }

    fn hear(&mut self, from: Option<&str>, rumours: &[Rumour]) {
        let now_ms = clock::monotonic_ms();
        self.members.hear(rumours, now_ms);
        if let Some(from) = from {
            self.members.answered(from, now_ms);
        }
        // The first rumour is the sender's own state.
        if let Some(sender) = rumours.first() {
            let newer = sender.node.revision > self.members.me().revision;
            if newer && sender.node.firm == self.members.me().firm {
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
            .live_others()
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
            rumours: self.members.rumours(&address),
            all: !known,
        };
        let others: Vec<String> = self
            .members
            .live_others()
            .map(|node| node.address.clone())
            .filter(|other| *other != address)
            .collect();
        let client = self.client.clone();
        tokio::spawn(async move {
            let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
            if let Ok(PeerResponse::Probe { rumours }) =
                client.call(&address, &request, timeout).await
            {
                let from = Some(address);
                let _ = me.tell(Heard { from, rumours }).await;
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
                let _ = me.tell(Silent { address }).await;
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

impl Message<Heard> for MembersController {
    type Reply = ();

    async fn handle(&mut self, msg: Heard, _: &mut Context<Self, ()>) {
        self.hear(msg.from.as_deref(), &msg.rumours);
    }
}

impl Message<Probed> for MembersController {
    type Reply = ();

    async fn handle(&mut self, msg: Probed, _: &mut Context<Self, ()>) {
        let sender = msg
            .rumours
            .first()
            .map(|rumour| rumour.node.address.clone());
        self.hear(sender.as_deref(), &msg.rumours);
        let rumours = if msg.all {
            self.members.all_rumours()
        } else {
            self.members.rumours(sender.as_deref().unwrap_or_default())
        };
        let _ = msg.tx.send(rumours);
    }
}

impl Message<Silent> for MembersController {
    type Reply = ();

    async fn handle(&mut self, msg: Silent, _: &mut Context<Self, ()>) {
        self.members.silent(&msg.address, clock::monotonic_ms());
        self.publish();
    }
}

impl Message<Listed> for MembersController {
    type Reply = ();

    async fn handle(&mut self, Listed(vms): Listed, _: &mut Context<Self, ()>) {
        self.members.hint(vms.iter().map(|vm| vm.address.as_str()));
        let named = |address: &str| vms.iter().any(|vm| vm.address == address);
        self.members.keep_hopes(&named);
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
        me: Node,
        seeds: &[String],
        client: PeerClient,
        metrics: Arc<Metrics>,
    ) -> Self {
        let mut members = Members::new(me.clone());
        members.hint(seeds.iter().map(String::as_str));
        let (view_tx, view) = watch::channel(Arc::new(View {
            me: me.clone(),
            live: vec![me],
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
                tokio::time::sleep(Duration::from_millis(PROBE_EVERY_MS)).await;
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
    pub(crate) async fn probed(&self, rumours: Vec<Rumour>, all: bool) -> Vec<Rumour> {
        let (tx, rx) = oneshot::channel();
        let _ = self.actor.tell(Probed { rumours, all, tx }).await;
        rx.await.unwrap_or_default()
    }

    /// Whether another router answers this one.
    pub(crate) async fn reaches(&self, address: &str, timeout: Duration) -> bool {
        let request = PeerRequest::Probe {
            rumours: Vec::new(),
            all: false,
        };
        self.client.call(address, &request, timeout).await.is_ok()
    }

    /// Notes that a router did not answer something else than a probe.
    pub(crate) async fn silent(&self, address: &str) {
        let address = address.to_owned();
        let _ = self.actor.tell(Silent { address }).await;
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
            .others()
            .map(|node| (node.incarnation, node.address.as_str()))
            .collect();
        incarnations
            .iter()
            .filter_map(|incarnation| by_incarnation.get(incarnation))
            .map(|address| (*address).to_owned())
            .collect()
    }
}
