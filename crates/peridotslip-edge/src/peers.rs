//! The other routers of the fleet and whether they are reachable.
//!
//! Routers discover each other by their entries in the store. A peer that does
//! not respond to a call is marked unreachable and skipped until it responds to
//! a probe. The routers need no consensus on this state: two routers that
//! disagree only choose different owners for some budgets.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::join_all;
use peridotslip::{
    ids::Incarnation,
    members::{PROBE_BATCH, ProbeRotation, preferred_owner_size, rank_owners, rendezvous_weight},
    relay::{NewsMember, RelayCandidate, VmSize, news_route, rank},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    budgets::PeerRequest,
    local_health::LocalHealth,
    ports::StoreEpoch,
    registry::Entry,
    rpc::{self, Client, RpcRequest},
};

/// The version of the messages between routers in this release. Version 1 adds
/// the priority of a reservation, version 2 the origins of streams, version 3 what
/// routers hold of a budget, version 4 observations of crashed servers and
/// limits of servers, version 5 the store's changes, version 6 permits for cold
/// servers, all keys that operators write, and the preference for large VMs as owners,
/// version 7 the origins of streams for the store, and pools of second attempts, version
/// 8 how current a relay's routing table is, version 9 lists of open reservations, and
/// transfers whose reply may be lost.
pub(crate) const PROTOCOL: u32 = 9;
/// How long an ended router is remembered, in milliseconds.
const ENDED_RETENTION_MS: u64 = 60_000;
/// Pause between two rounds of probes of unreachable routers, in milliseconds.
const PROBE_PAUSE_MS: u64 = 500;
/// The same while not all unreachable routers are in one round.
const BATCH_PAUSE_MS: u64 = 100;
/// Longest wait for the response to a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;

/// Longest wait for the reply to the announcement that a router is leaving, in
/// milliseconds.
const LEAVING_TIMEOUT_MS: u64 = 150;

/// The first version of the messages between routers that has those about
/// observations of servers.
const OBSERVATIONS_PROTOCOL: u32 = 4;
/// The first version of the messages between routers that has those about the
/// store's changes.
const RELAY_PROTOCOL: u32 = 5;
/// The first version of the messages between routers with which routers prefer large
/// VMs as owners.
const OWNERSHIP_PROTOCOL: u32 = 6;
/// The first version of the messages between routers that has those about cold
/// servers.
const WARMUP_PROTOCOL: u32 = 6;
/// The first version that passes on all keys which operators write, and not only the
/// routing table.
const OPERATOR_KEYS_PROTOCOL: u32 = 6;
/// The first version of the messages between routers that has those about origins of
/// streams for the store.
const STORED_ORIGINS_PROTOCOL: u32 = 7;
/// The first version of the messages between routers that has those about pools of second
/// attempts.
const POOLS_PROTOCOL: u32 = 7;
/// The first version of the messages between routers in which a relay says how current its
/// routing table is.
const TABLE_PROOF_PROTOCOL: u32 = 8;
/// The first version of the messages between routers that has lists of open reservations
/// and transfers whose reply may be lost.
const OPEN_RESERVATIONS_PROTOCOL: u32 = 9;
/// Shortest interval between two messages with observations to a peer, in
/// milliseconds.
const MIN_SHARE_INTERVAL_MS: u64 = 100;
/// Interval between two such messages, for each router to which they go, in
/// milliseconds. Bounds how many messages a router gets.
const SHARE_INTERVAL_PER_TARGET_MS: u64 = 5;
/// Longest interval between two such messages, in milliseconds.
const MAX_SHARE_INTERVAL_MS: u64 = 1_000;

/// A router's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RouterInstance {
    /// The VM's name, which is also the entry's key.
    pub(crate) vm: String,
    /// The address on which the router accepts its peers' requests.
    pub(crate) address: String,
    /// The incarnation of the router's process.
    pub(crate) incarnation: Incarnation,
    /// The version of the messages between routers that the process knows; 0 in
    /// the entries of the first release.
    #[serde(default)]
    pub(crate) protocol: u32,
}

impl RouterInstance {
    /// Returns whether the router knows the messages about observations of servers.
    pub(crate) fn shares_observations(&self) -> bool {
        self.protocol >= OBSERVATIONS_PROTOCOL
    }

    /// Returns whether the router knows the messages about the store's changes.
    pub(crate) fn relays(&self) -> bool {
        self.protocol >= RELAY_PROTOCOL
    }

    /// Returns whether the router gives out permits for cold servers.
    pub(crate) fn gives_warmup_permits(&self) -> bool {
        self.protocol >= WARMUP_PROTOCOL
    }

    /// Returns whether the router can write origins of streams to the store for others.
    pub(crate) fn stores_origins(&self) -> bool {
        self.protocol >= STORED_ORIGINS_PROTOCOL
    }

    /// Returns whether the router keeps pools of second attempts.
    pub(crate) fn pools_second_attempts(&self) -> bool {
        self.protocol >= POOLS_PROTOCOL
    }

    /// Returns whether the router can pass on all keys that operators write.
    pub(crate) fn relays_operator_keys(&self) -> bool {
        self.protocol >= OPERATOR_KEYS_PROTOCOL
    }

    /// Returns whether the router reads lists of open reservations, and delivers
    /// transfers whose reply may be lost.
    pub(crate) fn reads_open_reservations(&self) -> bool {
        self.protocol >= OPEN_RESERVATIONS_PROTOCOL
    }

    /// Returns whether the router says how current its routing table is.
    pub(crate) fn proves_tables(&self) -> bool {
        self.protocol >= TABLE_PROOF_PROTOCOL
    }
}

/// Where a router's VM is and what it has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct VmProfile {
    pub(crate) data_centre: String,
    pub(crate) size: VmSize,
}

#[derive(Clone, Debug)]
struct Peer {
    instance: RouterInstance,
    vm: VmProfile,
    /// The store's epoch when the router started.
    started_epoch: u64,
    reachable: bool,
    leaving: bool,
}

/// A router to which this one sends observations of servers.
#[derive(Clone, Debug)]
pub(crate) struct NewsTarget {
    pub(crate) router: RouterInstance,
    pub(crate) is_relay: bool,
}

/// The routers to which this one sends observations of servers.
#[derive(Clone, Debug)]
pub(crate) struct NewsTargets {
    /// Whether this router also passes on what others send it.
    pub(crate) is_relay: bool,
    pub(crate) routers: Vec<NewsTarget>,
}

impl NewsTargets {
    /// Returns the interval between two messages with observations to a router.
    pub(crate) fn share_interval(&self) -> Duration {
        let targets = u64::try_from(self.routers.len()).unwrap_or(u64::MAX);
        let interval_ms = targets.saturating_mul(SHARE_INTERVAL_PER_TARGET_MS);
        Duration::from_millis(interval_ms.clamp(MIN_SHARE_INTERVAL_MS, MAX_SHARE_INTERVAL_MS))
    }
}

/// The relays among the reachable routers.
struct RelayView {
    /// The number of changes of the peers when the view was made.
    changes: u64,
    candidates: Arc<[RelayCandidate]>,
    news_targets: NewsTargets,
}

/// The other routers of the fleet.
pub(crate) struct Peers {
    local: RouterInstance,
    local_vm: VmProfile,
    others: Mutex<BTreeMap<String, Peer>>,
    /// Number of changes of the routers that are known, reachable or leaving.
    changes: AtomicU64,
    relay_view: Mutex<Option<RelayView>>,
    /// Whether all entries in the store have been read once.
    synced: AtomicBool,
    /// Since when the fleet's VMs are known unchanged; `None` before this router has
    /// registered.
    settled_since: Mutex<Option<Instant>>,
    client: Client,
    health: Arc<LocalHealth>,
    /// How this router found the store when it started.
    start: OnceLock<StartState>,
    /// Routers that have ended, and when this router has noticed.
    ended: Mutex<Vec<(Incarnation, Instant)>>,
}

/// How a router found the store when it started.
#[derive(Clone, Copy, Debug)]
struct StartState {
    epoch: u64,
    /// Whether the store had no entry of the VM.
    first_on_vm: bool,
}

impl Peers {
    pub(crate) fn new(
        local: RouterInstance,
        local_vm: VmProfile,
        health: Arc<LocalHealth>,
    ) -> Arc<Self> {
        Arc::new(Self {
            local,
            local_vm,
            others: Mutex::default(),
            changes: AtomicU64::new(0),
            relay_view: Mutex::default(),
            synced: AtomicBool::new(false),
            settled_since: Mutex::default(),
            client: Client::default(),
            health,
            start: OnceLock::new(),
            ended: Mutex::default(),
        })
    }

    /// Records the store's epoch at this router's start, and whether the store had
    /// no entry of the VM. Later calls have no effect. Returns the epoch.
    pub(crate) fn record_start(&self, epoch: u64, first_on_vm: bool) -> u64 {
        let start = self.start.get_or_init(|| StartState { epoch, first_on_vm });
        start.epoch
    }

    /// Returns the store's epoch at this router's start; `None` before the router
    /// has registered.
    pub(crate) fn started_epoch(&self) -> Option<u64> {
        self.start.get().map(|start| start.epoch)
    }

    /// Returns whether this router was the first on its VM.
    pub(crate) fn is_first_on_vm(&self) -> bool {
        self.start.get().is_some_and(|start| start.first_on_vm)
    }

    /// Returns whether another router may have run in an epoch before `epoch`.
    pub(crate) fn any_started_before(&self, epoch: StoreEpoch) -> bool {
        let peers = self.lock();
        peers.values().any(|peer| peer.started_epoch < epoch.0)
    }

    /// Returns the other routers.
    pub(crate) fn others(&self) -> Vec<RouterInstance> {
        let peers = self.lock();
        peers.values().map(|peer| peer.instance.clone()).collect()
    }

    /// Returns the routers that have ended lately, each with the time since this
    /// router has noticed, in milliseconds.
    pub(crate) fn ended(&self) -> Vec<(Incarnation, u64)> {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        let as_ms = |at: &Instant| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        ended
            .iter()
            .map(|(incarnation, at)| (*incarnation, as_ms(at)))
            .collect()
    }

    /// Returns the VMs of the other routers and their incarnations.
    pub(crate) fn vms(&self) -> Vec<(String, Incarnation)> {
        let peers = self.lock();
        let instances = peers.values().map(|peer| &peer.instance);
        instances
            .map(|instance| (instance.vm.clone(), instance.incarnation))
            .collect()
    }

    /// Records that a router has ended.
    pub(crate) fn record_end(&self, incarnation: Incarnation) {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.retain(|(_, at)| at.elapsed() < Duration::from_millis(ENDED_RETENTION_MS));
        ended.push((incarnation, Instant::now()));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Peer>> {
        self.others.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this router's entry.
    pub(crate) fn local(&self) -> &RouterInstance {
        &self.local
    }

    /// Returns where this router's VM is and what it has.
    pub(crate) fn local_vm(&self) -> &VmProfile {
        &self.local_vm
    }

    /// Returns the routers of this data centre that may be relays, this one
    /// included, in the order in which they become relays.
    pub(crate) fn relay_candidates(&self) -> Arc<[RelayCandidate]> {
        self.with_relay_view(|view| view.candidates.clone())
    }

    /// Returns to whom this router sends observations of servers.
    pub(crate) fn news_targets(&self) -> NewsTargets {
        self.with_relay_view(|view| view.news_targets.clone())
    }

    fn with_relay_view<T>(&self, f: impl FnOnce(&RelayView) -> T) -> T {
        let mut view = self
            .relay_view
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let changes = self.changes.load(Ordering::Relaxed);
        match &*view {
            Some(known) if known.changes == changes => f(known),
            _ => f(view.insert(self.make_relay_view(changes))),
        }
    }

    fn make_relay_view(&self, changes: u64) -> RelayView {
        let member = |instance: &RouterInstance, vm: &VmProfile| NewsMember {
            router: RelayCandidate {
                vm: instance.vm.clone(),
                incarnation: instance.incarnation,
                size: vm.size,
            },
            data_centre: vm.data_centre.clone(),
            may_relay: instance.relays(),
        };
        let peers = self.lock();
        let reachable = peers
            .values()
            .filter(|peer| peer.reachable && !peer.leaving && peer.instance.shares_observations());
        let mut members: Vec<NewsMember> = reachable
            .map(|peer| member(&peer.instance, &peer.vm))
            .collect();
        members.push(member(&self.local, &self.local_vm));
        let route = news_route(&self.local.vm, &members);
        let targets = peers.values().filter_map(|peer| {
            let incarnation = &peer.instance.incarnation;
            let is_relay = route.relays.contains(incarnation);
            let is_target = is_relay || route.followers.contains(incarnation);
            is_target.then(|| NewsTarget {
                router: peer.instance.clone(),
                is_relay,
            })
        });
        let news_targets = NewsTargets {
            is_relay: route.is_relay,
            routers: targets.collect(),
        };
        drop(peers);
        let data_centre = self.local_vm.data_centre.as_str();
        let candidates = members
            .into_iter()
            .filter(|member| member.may_relay && member.data_centre == data_centre);
        let mut candidates: Vec<RelayCandidate> = candidates.map(|member| member.router).collect();
        rank(data_centre, &mut candidates);
        RelayView {
            changes,
            candidates: candidates.into(),
            news_targets,
        }
    }

    /// Returns how often the other routers have changed.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Relaxed)
    }

    fn record_change(&self) {
        self.changes.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that this router's entry is in the store, so that the others learn of
    /// it.
    pub(crate) fn set_registered(&self) {
        let mut since = self.lock_settled();
        since.get_or_insert_with(Instant::now);
    }

    fn lock_settled(&self) -> MutexGuard<'_, Option<Instant>> {
        self.settled_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a VM has joined or left the fleet.
    fn record_fleet_change(&self) {
        if let Some(since) = &mut *self.lock_settled() {
            *since = Instant::now();
        }
    }

    /// Returns for how long the fleet's VMs have been known unchanged, this router's
    /// own included.
    pub(crate) fn settled_for(&self) -> Duration {
        let since = *self.lock_settled();
        let since = since.filter(|_| self.is_synced());
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Records that all entries in the store have been read.
    pub(crate) fn set_synced(&self) {
        if !self.is_synced() {
            self.record_fleet_change();
        }
        self.synced.store(true, Ordering::Relaxed);
    }

    /// Returns whether all entries in the store have been read once.
    pub(crate) fn is_synced(&self) -> bool {
        self.synced.load(Ordering::Relaxed)
    }

    /// Adds or replaces the entry of another router. Ignores this router's own
    /// entry.
    pub(crate) fn insert(&self, entry: Entry) {
        let instance = entry.member;
        if instance.vm == self.local.vm {
            return;
        }
        let mut peers = self.lock();
        if let Some(known) = peers.get(&instance.vm) {
            if known.instance == instance {
                return;
            }
            if known.instance.incarnation != instance.incarnation {
                self.record_end(known.instance.incarnation);
            }
        }
        log::info!(peer = instance.vm.as_str(), address = instance.address.as_str(); "peer added");
        let peer = Peer {
            instance: instance.clone(),
            vm: entry.vm,
            started_epoch: entry.started_epoch,
            reachable: true,
            leaving: false,
        };
        if peers.insert(instance.vm, peer).is_none() {
            self.record_fleet_change();
        }
        self.record_change();
    }

    /// Returns whether the entry of a VM's router is known.
    pub(crate) fn knows(&self, vm: &str) -> bool {
        self.lock().contains_key(vm)
    }

    /// Removes the entry of a VM's router.
    pub(crate) fn remove(&self, vm: &str) {
        if let Some(peer) = self.lock().remove(vm) {
            self.record_end(peer.instance.incarnation);
            self.record_change();
            self.record_fleet_change();
            log::info!(peer = vm; "peer removed");
        }
    }

    /// Returns the incarnations of the other routers.
    pub(crate) fn incarnations(&self) -> Vec<Incarnation> {
        let peers = self.lock();
        peers
            .values()
            .map(|peer| peer.instance.incarnation)
            .collect()
    }

    /// Returns the incarnations of the other routers that are not leaving. A
    /// leaving router no longer reports the ceilings that it has recorded.
    pub(crate) fn staying_incarnations(&self) -> Vec<Incarnation> {
        let peers = self.lock();
        let staying = peers.values().filter(|peer| !peer.leaving);
        staying.map(|peer| peer.instance.incarnation).collect()
    }

    /// Returns the other router with this incarnation, if there is one.
    pub(crate) fn by_incarnation(&self, incarnation: Incarnation) -> Option<RouterInstance> {
        let peers = self.lock();
        let mut instances = peers.values().map(|peer| &peer.instance);
        instances
            .find(|instance| instance.incarnation == incarnation)
            .cloned()
    }

    /// Returns the router on a VM, if its entry is known.
    pub(crate) fn on_vm(&self, vm: &str) -> Option<RouterInstance> {
        self.lock().get(vm).map(|peer| peer.instance.clone())
    }

    /// Returns whether a later router runs on the VM of a router, which proves that it has
    /// ended.
    pub(crate) fn has_ended(&self, instance: &RouterInstance) -> bool {
        let peers = self.lock();
        let current = peers.get(&instance.vm);
        current.is_some_and(|peer| peer.instance.incarnation != instance.incarnation)
    }

    /// Returns the VM whose router has the peer address `address`.
    pub(crate) fn vm_at(&self, address: &str) -> Option<String> {
        let peers = self.lock();
        let mut instances = peers.values().map(|peer| &peer.instance);
        let other = instances.find(|instance| instance.address == address);
        other
            .or_else(|| Some(&self.local).filter(|local| local.address == address))
            .map(|instance| instance.vm.clone())
    }

    /// Returns the number of routers in the fleet, including this one and
    /// unreachable ones.
    pub(crate) fn fleet_size(&self) -> usize {
        self.lock().len() + 1
    }

    /// Marks the router with this incarnation as leaving: its process is about
    /// to end or has ended. Returns whether that is new.
    pub(crate) fn set_leaving(&self, incarnation: Incarnation) -> bool {
        let mut peers = self.lock();
        let mut others = peers.values_mut();
        let peer = others.find(|peer| peer.instance.incarnation == incarnation);
        let Some(peer) = peer.filter(|peer| !peer.leaving) else {
            return false;
        };
        peer.leaving = true;
        self.record_change();
        log::info!(peer = peer.instance.vm.as_str(); "peer is leaving");
        true
    }

    /// Announces that a router is leaving, this one or one that has told this relay.
    /// Followers tell their relays only, which pass it on.
    pub(crate) async fn announce_leaving(self: &Arc<Self>, incarnation: Incarnation) {
        let targets = self.news_targets().routers.into_iter();
        let targets = targets.map(|target| target.router).collect();
        let mut told = self.call_leaving(targets, incarnation).await;
        if !told {
            told = self.call_leaving(self.others(), incarnation).await;
        }
        if !told {
            log::warn!(
                "no peer has been told that a router is leaving; they notice when it has ended"
            );
        }
    }

    /// Returns whether any of `routers` has replied.
    async fn call_leaving(
        self: &Arc<Self>,
        routers: Vec<RouterInstance>,
        incarnation: Incarnation,
    ) -> bool {
        let request = PeerRequest::Leaving { incarnation };
        let timeout = Duration::from_millis(LEAVING_TIMEOUT_MS);
        let others = routers
            .iter()
            .filter(|router| router.incarnation != incarnation);
        let calls = others.map(|router| self.call::<_, bool>(router, &request, timeout));
        let replies = join_all(calls).await;
        replies.iter().any(Result::is_ok)
    }

    /// Returns the reachable routers that are not leaving, including this one if
    /// `include_self`, by descending rendezvous weight for `key`.
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

    /// Returns the reachable routers that are not leaving, including this one if
    /// `include_self`, in the order in which they own what one router keeps for all
    /// others under `key`; see [`rank_owners`].
    pub(crate) fn owners(&self, key: &str, include_self: bool) -> Vec<RouterInstance> {
        let peers = self.lock();
        let local_size = self.local_vm.size;
        let sizes = peers.values().map(|peer| peer.vm.size);
        let mut protocols = peers.values().map(|peer| peer.instance.protocol);
        // Beside routers of an earlier release, all rank as that release does.
        let preferred = if protocols.all(|protocol| protocol >= OWNERSHIP_PROTOCOL) {
            preferred_owner_size(sizes.chain([local_size]))
        } else {
            VmSize::default()
        };
        let mut candidates: Vec<(&RouterInstance, VmSize)> = peers
            .values()
            .filter(|peer| peer.reachable && !peer.leaving)
            .map(|peer| (&peer.instance, peer.vm.size))
            .collect();
        if include_self {
            candidates.push((&self.local, local_size));
        }
        rank_owners(key, preferred, &mut candidates, |(instance, size)| {
            (instance.vm.as_str(), *size)
        });
        let owners = candidates.into_iter();
        owners.map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns all routers, including this one and unreachable ones, by descending
    /// rendezvous weight for `key`.
    pub(crate) fn fleet(&self, key: &str) -> Vec<RouterInstance> {
        let mut fleet: Vec<RouterInstance> = self
            .lock()
            .values()
            .map(|peer| peer.instance.clone())
            .collect();
        fleet.push(self.local.clone());
        fleet.sort_by_key(|instance| std::cmp::Reverse(rendezvous_weight(key, &instance.vm)));
        fleet
    }

    /// Returns the place of this router in the fleet by descending rendezvous weight
    /// for `key`, from 0.
    pub(crate) fn rank(&self, key: &str) -> usize {
        let local_weight = rendezvous_weight(key, &self.local.vm);
        let peers = self.lock();
        let vms = peers.keys();
        vms.filter(|vm| rendezvous_weight(key, vm) > local_weight)
            .count()
    }

    /// Returns whether a router responded to its last call.
    pub(crate) fn is_reachable(&self, instance: &RouterInstance) -> bool {
        let peers = self.lock();
        peers.get(&instance.vm).is_some_and(|peer| peer.reachable)
    }

    /// Calls a router. If the call fails, the router is marked unreachable, unless it
    /// timed out while this router was slow itself.
    pub(crate) async fn call<Q: RpcRequest, A: DeserializeOwned>(
        &self,
        instance: &RouterInstance,
        request: &Q,
        timeout: Duration,
    ) -> rpc::Result<A> {
        let response = self.client.call(&instance.address, request, timeout).await;
        if let Err(err) = &response
            && !(err.is_timeout() && self.health.is_slow())
        {
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
        self.record_change();
        let peer = instance.vm.as_str();
        if reachable {
            log::info!(peer; "peer responds again; marking it reachable");
        } else {
            log::warn!(peer, reason; "peer did not respond; marking it unreachable");
        }
    }

    fn unreachable(&self) -> Vec<RouterInstance> {
        let peers = self.lock();
        let unreachable = peers.values().filter(|peer| !peer.reachable);
        unreachable.map(|peer| peer.instance.clone()).collect()
    }

    /// Sends `probe` to the unreachable routers at intervals until the process ends.
    /// While there are more than one batch, the batches follow each other at once.
    pub(crate) async fn probe_unreachable<Q: RpcRequest>(self: Arc<Self>, probe: Q) {
        let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
        let mut rotation = ProbeRotation::default();
        loop {
            let unreachable = self.unreachable();
            let incarnations: Vec<Incarnation> = unreachable
                .iter()
                .map(|instance| instance.incarnation)
                .collect();
            let batch = rotation.next_batch(&incarnations);
            let probed = unreachable
                .iter()
                .filter(|instance| batch.contains(&instance.incarnation));
            let calls = probed.map(|instance| async {
                let response: rpc::Result<bool> =
                    self.client.call(&instance.address, &probe, timeout).await;
                if response == Ok(true) {
                    self.set_reachable(instance, true, "");
                }
            });
            join_all(calls).await;
            let pause_ms = if unreachable.len() > PROBE_BATCH {
                BATCH_PAUSE_MS
            } else {
                PROBE_PAUSE_MS
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}
