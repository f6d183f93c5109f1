//! The other routers: who they are and which of them answer.
//!
//! Routers find each other by entries in the store. Whether one answers is
//! learned from the exchanges themselves; one that fails is passed over until
//! it answers a probe. Nothing here has to be agreed on: two routers that
//! disagree only divide the work otherwise.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use peridotslip::{ids::Incarnation, members::rendezvous_weight};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::rpc::{self, Client, RpcRequest};

/// Time between two probes of a router that does not answer, in milliseconds.
const PROBE_PAUSE_MS: u64 = 500;
/// Longest wait for the answer to a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;

/// A router's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RouterInstance {
    /// The VM's name, which is also the entry's key.
    pub(crate) vm: String,
    /// Where it answers peers.
    pub(crate) address: String,
    /// Its run.
    pub(crate) incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Peer {
    instance: RouterInstance,
    reachable: bool,
    leaving: bool,
}

/// The other routers of the fleet.
pub(crate) struct Peers {
    local: RouterInstance,
    others: Mutex<BTreeMap<String, Peer>>,
    /// Whether all entries in the store have been read once.
    synced: AtomicBool,
    client: Client,
}

impl Peers {
    pub(crate) fn new(local: RouterInstance) -> Arc<Self> {
        Arc::new(Self {
            local,
            others: Mutex::default(),
            synced: AtomicBool::new(false),
            client: Client::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Peer>> {
        self.others.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This router's entry.
    pub(crate) fn local(&self) -> &RouterInstance {
        &self.local
    }

    /// All entries in the store have been read.
    pub(crate) fn set_synced(&self) {
        self.synced.store(true, Ordering::Relaxed);
    }

    /// Whether all entries in the store have been read once.
    pub(crate) fn is_synced(&self) -> bool {
        self.synced.load(Ordering::Relaxed)
    }

    /// Takes in an entry.
    pub(crate) fn insert(&self, instance: RouterInstance) {
        if instance.vm == self.local.vm {
            return;
        }
        let mut peers = self.lock();
        if peers.get(&instance.vm).map(|peer| &peer.instance) == Some(&instance) {
            return;
        }
        log::info!(peer = instance.vm.as_str(), address = instance.address.as_str(); "router joined");
        let peer = Peer {
            instance: instance.clone(),
            reachable: true,
            leaving: false,
        };
        peers.insert(instance.vm, peer);
    }

    /// Forgets an entry.
    pub(crate) fn remove(&self, vm: &str) {
        if self.lock().remove(vm).is_some() {
            log::info!(peer = vm; "router left");
        }
    }

    /// The known runs of other routers.
    pub(crate) fn incarnations(&self) -> Vec<Incarnation> {
        let peers = self.lock();
        peers
            .values()
            .map(|peer| peer.instance.incarnation)
            .collect()
    }

    /// The known runs of other routers that still tell what they have noted: a
    /// router that leaves tells nothing any more.
    pub(crate) fn staying_incarnations(&self) -> Vec<Incarnation> {
        let peers = self.lock();
        let staying = peers.values().filter(|peer| !peer.leaving);
        staying.map(|peer| peer.instance.incarnation).collect()
    }

    /// The router whose run this is, if it is known.
    pub(crate) fn by_incarnation(&self, incarnation: Incarnation) -> Option<RouterInstance> {
        let peers = self.lock();
        let mut instances = peers.values().map(|peer| &peer.instance);
        instances
            .find(|instance| instance.incarnation == incarnation)
            .cloned()
    }

    /// The VM whose router answers peers at `address`.
    pub(crate) fn vm_at(&self, address: &str) -> Option<String> {
        let peers = self.lock();
        let mut instances = peers.values().map(|peer| &peer.instance);
        let other = instances.find(|instance| instance.address == address);
        other
            .or_else(|| Some(&self.local).filter(|local| local.address == address))
            .map(|instance| instance.vm.clone())
    }

    /// How many routers the fleet has, those that don't answer included.
    pub(crate) fn fleet_size(&self) -> usize {
        self.lock().len() + 1
    }

    /// A run of a router has ended, or is about to.
    pub(crate) fn set_leaving(&self, incarnation: Incarnation) {
        let mut peers = self.lock();
        let mut others = peers.values_mut();
        if let Some(peer) = others.find(|peer| peer.instance.incarnation == incarnation)
            && !peer.leaving
        {
            peer.leaving = true;
            log::info!(peer = peer.instance.vm.as_str(); "router is leaving");
        }
    }

    /// The routers that answer and stay, this one included if `include_self`, in the order
    /// in which they should take on `key`.
    pub(crate) fn ranked(&self, key: &str, include_self: bool) -> Vec<RouterInstance> {
        let mut ranked: Vec<RouterInstance> = self
            .lock()
            .values()
            .filter(|peer| peer.reachable && !peer.leaving)
            .map(|peer| peer.instance.clone())
            .collect();
        if include_self {
            ranked.push(self.local.clone());
        }
        ranked.sort_by_key(|instance| std::cmp::Reverse(rendezvous_weight(key, &instance.vm)));
        ranked
    }

    /// Asks a router.
    pub(crate) async fn call<Q: RpcRequest, A: DeserializeOwned>(
        &self,
        instance: &RouterInstance,
        request: &Q,
        timeout: Duration,
    ) -> rpc::Result<A> {
        let response = self.client.call(&instance.address, request, timeout).await;
        if let Err(err) = &response {
            self.set_reachable(instance, false, &err.to_string());
        }
        response
    }

    fn set_reachable(&self, instance: &RouterInstance, reachable: bool, reason: &str) {
        let mut peers = self.lock();
        let Some(peer) = peers.get_mut(&instance.vm) else {
            return;
        };
        if peer.instance != *instance || peer.reachable == reachable {
            return;
        }
        peer.reachable = reachable;
        let peer = instance.vm.as_str();
        if reachable {
            log::info!(peer; "router answers again");
        } else {
            log::warn!(peer, reason; "router does not answer");
        }
    }

    fn unreachable(&self) -> Vec<RouterInstance> {
        let peers = self.lock();
        let unreachable = peers.values().filter(|peer| !peer.reachable);
        unreachable.map(|peer| peer.instance.clone()).collect()
    }

    /// Probes the routers that don't answer, with `probe`, until the process
    /// ends.
    pub(crate) async fn probe_unreachable<Q: RpcRequest>(self: Arc<Self>, probe: Q) {
        loop {
            tokio::time::sleep(Duration::from_millis(PROBE_PAUSE_MS)).await;
            for instance in self.unreachable() {
                let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
                let response: rpc::Result<bool> =
                    self.client.call(&instance.address, &probe, timeout).await;
                if response == Ok(true) {
                    self.set_reachable(&instance, true, "");
                }
            }
        }
    }
}
