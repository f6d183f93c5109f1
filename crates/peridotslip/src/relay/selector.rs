//! The choice of whom a router follows.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use serde::{Deserialize, Serialize};

use crate::{ids::Incarnation, members::rendezvous_weight};

/// Number of routers of a data centre that read the store for the others.
pub const RELAYS_PER_DATA_CENTRE: usize = 3;
/// How long a relay is passed over after a rejection, in milliseconds.
const REJECTION_MS: u64 = 2_000;

/// What a VM has to serve other routers with.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct VmSize {
    /// Thousandths of a processor core.
    pub millicores: u32,
    /// Bandwidth of the VM's link, in Mbit/s.
    pub link_mbps: u32,
}

/// A router that may be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The VM's name.
    pub vm: String,
    /// The router's process.
    pub incarnation: Incarnation,
    /// The VM's size.
    pub size: VmSize,
}

/// A router of the fleet that gets news from others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewsMember {
    /// The router.
    pub router: RelayCandidate,
    /// The VM's data centre.
    pub data_centre: String,
    /// Whether the router's release knows relays.
    pub may_relay: bool,
}

/// To whom a router sends what it learns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewsRoute {
    /// Whether the router also passes on what others send it.
    pub is_relay: bool,
    /// The relays to which it sends.
    pub relays: Vec<Incarnation>,
    /// The other routers to which it sends.
    pub followers: Vec<Incarnation>,
}

/// Returns to whom the router on `vm`, which is one of `members`, sends news. It
/// reaches all members in three steps: relays send to the relays of all data centres
/// and to the routers of their own, the others to the relays of their own. What a relay
/// has from another relay it sends to followers only, so that nothing goes in circles.
#[must_use]
pub fn news_route(vm: &str, members: &[NewsMember]) -> NewsRoute {
    let mut centres: BTreeMap<&str, Vec<RelayCandidate>> = BTreeMap::new();
    for member in members.iter().filter(|member| member.may_relay) {
        let centre = centres.entry(&member.data_centre).or_default();
        centre.push(member.router.clone());
    }
    for (data_centre, centre) in &mut centres {
        rank(data_centre, centre);
        centre.truncate(RELAYS_PER_DATA_CENTRE);
    }
    let is_relay = |member: &NewsMember| {
        let relays = centres.get(member.data_centre.as_str());
        relays.is_some_and(|relays| relays.iter().any(|relay| relay.vm == member.router.vm))
    };
    let local = members.iter().find(|member| member.router.vm == vm);
    let mut route = NewsRoute {
        is_relay: local.is_some_and(is_relay),
        relays: Vec::new(),
        followers: Vec::new(),
    };
    for member in members.iter().filter(|member| member.router.vm != vm) {
        let is_local = local.is_some_and(|local| local.data_centre == member.data_centre);
        if is_relay(member) && (route.is_relay || is_local) {
            route.relays.push(member.router.incarnation);
        } else if route.is_relay && (is_local || !member.may_relay) {
            route.followers.push(member.router.incarnation);
        }
    }
    route
}

/// Orders the routers of a data centre: larger VMs first, then by rendezvous
/// weight, so that no order of names decides.
pub fn rank(data_centre: &str, candidates: &mut [RelayCandidate]) {
    candidates.sort_by_key(|candidate| {
        let weight = rendezvous_weight(data_centre, &candidate.vm);
        Reverse((candidate.size, weight))
    });
}

/// Where a router reads the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From the relay with this incarnation.
    Relay(Incarnation),
}

/// Why a relay is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The relay has not replied, or does not serve this router.
    NoService,
    /// The store is unavailable to the relay. A router to which it is unavailable
    /// too may still wait there for its return.
    Outage,
}

/// Chooses between the relays of the data centre and the store.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    vm: String,
    /// Until when a relay is passed over, in milliseconds, and why.
    rejected: HashMap<Incarnation, (u64, Rejection)>,
    /// Until when the store is read directly, in milliseconds.
    direct_until: u64,
}

impl SourceSelector {
    /// Returns a selector of the router on `vm`.
    #[must_use]
    pub fn new(vm: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            rejected: HashMap::new(),
            direct_until: 0,
        }
    }

    /// Returns the source for this router. `ranked` are the reachable routers of
    /// its data centre, this one included, by [`rank`]. `in_outage`: whether the
    /// store is unavailable to this router.
    #[must_use]
    pub fn select(&self, ranked: &[RelayCandidate], in_outage: bool, now_ms: u64) -> Source {
        let relays = &ranked[..ranked.len().min(RELAYS_PER_DATA_CENTRE)];
        if now_ms < self.direct_until || relays.iter().any(|relay| relay.vm == self.vm) {
            return Source::Store;
        }
        // Each router prefers another relay, so that they share the followers.
        let usable = relays
            .iter()
            .filter(|relay| !self.is_rejected(relay.incarnation, in_outage, now_ms));
        let chosen = usable.max_by_key(|relay| rendezvous_weight(&self.vm, &relay.vm));
        chosen.map_or(Source::Store, |relay| Source::Relay(relay.incarnation))
    }

    /// Returns whether a relay is passed over now.
    #[must_use]
    pub fn is_rejected(&self, relay: Incarnation, in_outage: bool, now_ms: u64) -> bool {
        self.rejected.get(&relay).is_some_and(|(until, rejection)| {
            now_ms < *until && !(in_outage && *rejection == Rejection::Outage)
        })
    }

    /// Passes a relay over for some time.
    pub fn reject(&mut self, relay: Incarnation, rejection: Rejection, now_ms: u64) {
        self.rejected.retain(|_, (until, _)| now_ms < *until);
        self.rejected
            .insert(relay, (now_ms + REJECTION_MS, rejection));
    }

    /// Has the store read directly for `duration_ms` milliseconds.
    pub fn read_directly(&mut self, duration_ms: u64, now_ms: u64) {
        self.direct_until = self.direct_until.max(now_ms + duration_ms);
    }
}
