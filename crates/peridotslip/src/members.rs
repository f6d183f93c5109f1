//! Membership of the routers in the fleet.
//!
//! The platform's VM list lags, so it only supplies addresses to probe. Each
//! router probes one peer at a fixed interval and piggybacks updates on the
//! probes, so the traffic of a node does not grow with the fleet. A router that
//! doesn't respond to a probe is suspected before it counts as dead. The router
//! can refute the suspicion, so a short pause has no effect, and a router that
//! was declared dead during a long pause is live again when it responds. (The
//! protocol follows Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
//! infection-style process group membership protocol".)
//!
//! Other modules don't depend on the view for correctness: with a wrong view,
//! requests go to the wrong router, which costs time but no money.

mod gossip;
mod ownership;
mod probe_rotation;
mod rendezvous;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

pub use self::{
    gossip::{MemberState, MemberUpdate, Node},
    ownership::{preferred_owner_size, rank_owners},
    probe_rotation::{PROBE_BATCH, ProbeRotation},
    rendezvous::{rendezvous_owner, rendezvous_weight},
};
use crate::ids::{Incarnation, Revision};

/// Interval between two probes, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// How long a router is suspected before it is marked as dead, in milliseconds.
const SUSPICION_TIMEOUT_MS: u64 = 2_000;
/// How long the entry of a dead or departed router is retained, in milliseconds.
const TOMBSTONE_RETENTION_MS: u64 = 10 * 60 * 1_000;
/// Maximum number of updates on one probe, including the one about the sender
/// but not the one that lets a suspected or dead recipient refute its state.
const UPDATES_PER_PROBE: usize = 8;
/// Number of times that an update is sent, for each doubling of the fleet size.
const SENDS_PER_FLEET_DOUBLING: u32 = 3;
/// A round of probes includes the dead routers if the number of its first tick
/// is a multiple of this number. A dead router is still probed because it may
/// only have been partitioned.
const DEAD_PROBE_ROUNDS: u64 = 8;

/// The local view of one router.
#[derive(Clone, Debug)]
struct MemberRecord {
    node: Node,
    state: MemberState,
    /// The version of the state, as in [`MemberUpdate::refutation`].
    refutation: u32,
    /// When the state last changed, in milliseconds.
    state_since_ms: u64,
    /// How many more times the update about this router is sent.
    sends_left: u32,
}

/// One router's view of the fleet, including the router itself.
#[derive(Clone, Debug)]
pub struct Members {
    local: MemberRecord,
    peers: BTreeMap<String, MemberRecord>,
    /// Addresses from the settings or the VM list that have not responded yet.
    seeds: Vec<String>,
    /// Addresses of routers of another firm.
    foreign: HashSet<String>,
    /// Addresses left to probe in the current round.
    probe_queue: VecDeque<String>,
    /// Number of calls of [`tick`](Self::tick).
    ticks: u64,
}

impl Members {
    /// Creates a view that contains only this router.
    #[must_use]
    pub fn new(local: Node) -> Self {
        let local = MemberRecord {
            node: local,
            state: MemberState::Live,
            refutation: 0,
            state_since_ms: 0,
            sends_left: 1,
        };
        Self {
            local,
            peers: BTreeMap::new(),
            seeds: Vec::new(),
            foreign: HashSet::new(),
            probe_queue: VecDeque::new(),
            ticks: 0,
        }
    }

    /// Returns this router's node.
    #[must_use]
    pub fn local_node(&self) -> &Node {
        &self.local.node
    }

    /// Sets the revision that is active on this router.
    pub fn set_revision(&mut self, revision: Revision) {
        self.local.node.revision = revision;
    }

    /// Adds addresses from the settings or the VM list to the addresses to probe.
    pub fn add_seeds<'a>(&mut self, addresses: impl Iterator<Item = &'a str>) {
        for address in addresses {
            let known = address == self.local.node.address
                || self.peers.contains_key(address)
                || self.foreign.contains(address);
            if !known && !self.seeds.iter().any(|seed| seed == address) {
                self.seeds.push(address.to_owned());
            }
        }
    }

    /// Removes seeds for which `listed` is false, so that the number of outdated
    /// seeds stays bounded.
    pub fn retain_seeds(&mut self, listed: &dyn Fn(&str) -> bool) {
        self.seeds.retain(|seed| listed(seed));
    }

    /// Applies timeouts and returns the next address to probe, if any. Call this
    /// method every [`PROBE_INTERVAL_MS`].
    pub fn tick(&mut self, now_ms: u64) -> Option<String> {
        self.ticks += 1;
        self.expire(now_ms);
        if self.probe_queue.is_empty() {
            self.schedule_probes();
        }
        self.probe_queue.pop_front()
    }

    /// Marks routers as dead whose suspicion has timed out, and removes the
    /// entries of routers that died or left more than [`TOMBSTONE_RETENTION_MS`]
    /// ago.
    fn expire(&mut self, now_ms: u64) {
        let max_sends = self.max_sends();
        for member in self.peers.values_mut() {
            let age_ms = now_ms.saturating_sub(member.state_since_ms);
            if member.state == MemberState::Suspect && age_ms >= SUSPICION_TIMEOUT_MS {
                member.state = MemberState::Dead;
                member.state_since_ms = now_ms;
                member.sends_left = max_sends;
            }
        }
        self.peers.retain(|_, member| {
            let is_tombstone = matches!(member.state, MemberState::Dead | MemberState::Left);
            !is_tombstone || now_ms.saturating_sub(member.state_since_ms) < TOMBSTONE_RETENTION_MS
        });
    }

    /// Schedules the next round of probes: each peer and seed once, in an order
    /// that differs between routers, so that the routers don't all probe the same
    /// peer at once.
    fn schedule_probes(&mut self) {
        let probe_dead = self.ticks.is_multiple_of(DEAD_PROBE_ROUNDS);
        let due = |member: &MemberRecord| match member.state {
            MemberState::Live | MemberState::Suspect | MemberState::Leaving => true,
            MemberState::Dead => probe_dead,
            MemberState::Left => false,
        };
        let mut round: Vec<String> = self
            .peers
            .values()
            .filter(|member| due(member))
            .map(|member| member.node.address.clone())
            .chain(self.seeds.iter().cloned())
            .collect();
        let salt = format!("{}/{}", self.local.node.address, self.ticks);
        round.sort_by_key(|address| rendezvous_weight(&salt, address));
        self.probe_queue = round.into();
    }

    fn max_sends(&self) -> u32 {
        let size = u32::try_from(self.peers.len() + 2).unwrap_or(u32::MAX);
        SENDS_PER_FLEET_DOUBLING * size.ilog2().max(1)
    }

    /// Returns the updates to send to `address` with a probe or the response to
    /// one: this router's state first, then the local view of `address` if it is
    /// suspected or dead, so that it can refute, then recent updates.
    pub fn updates_for(&mut self, address: &str) -> Vec<MemberUpdate> {
        let mut out = vec![update_of(&self.local)];
        let suspected = |member: &&MemberRecord| {
            matches!(member.state, MemberState::Suspect | MemberState::Dead)
        };
        let suspected_recipient = self.peers.get(address).filter(suspected);
        out.extend(suspected_recipient.map(update_of));
        let mut recent: Vec<&mut MemberRecord> = self
            .peers
            .values_mut()
            .filter(|member| member.sends_left > 0)
            .collect();
        recent.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        for member in recent.into_iter().take(UPDATES_PER_PROBE - 1) {
            member.sends_left -= 1;
            out.push(update_of(member));
        }
        out
    }

    /// Returns the updates about all routers, for a router that has just joined.
    #[must_use]
    pub fn full_state(&self) -> Vec<MemberUpdate> {
        std::iter::once(&self.local)
            .chain(self.peers.values())
            .map(update_of)
            .collect()
    }

    /// Applies updates from another router. A router of another firm is not added
    /// to the view, and its address is no longer probed as a seed.
    pub fn apply_updates(&mut self, updates: &[MemberUpdate], now_ms: u64) {
        for update in updates {
            if update.node.firm == self.local.node.firm {
                self.apply_update(update, now_ms);
            } else {
                let address = &update.node.address;
                self.seeds.retain(|seed| seed != address);
                self.foreign.insert(address.clone());
            }
        }
    }

    fn apply_update(&mut self, update: &MemberUpdate, now_ms: u64) {
        let address = &update.node.address;
        if *address == self.local.node.address {
            self.refute(update);
            return;
        }
        let max_sends = self.max_sends();
        let Some(member) = self.peers.get_mut(address) else {
            self.seeds.retain(|seed| seed != address);
            let member = MemberRecord {
                node: update.node.clone(),
                state: update.state,
                refutation: update.refutation,
                state_since_ms: now_ms,
                sends_left: max_sends,
            };
            self.peers.insert(address.clone(), member);
            return;
        };
        let newer = update.supersedes(member.node.incarnation, member.refutation, member.state);
        if newer {
            if member.state != update.state {
                member.state_since_ms = now_ms;
            }
            member.node = update.node.clone();
            member.state = update.state;
            member.refutation = update.refutation;
            member.sends_left = max_sends;
        } else if member.node.incarnation == update.node.incarnation {
            member.node.revision = member.node.revision.max(update.node.revision);
        }
    }

    /// Refutes an update that declares this router suspected or dead.
    fn refute(&mut self, update: &MemberUpdate) {
        let about_local = update.node.incarnation == self.local.node.incarnation;
        let declared_failed = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if about_local && declared_failed && update.refutation >= self.local.refutation {
            self.local.refutation = update.refutation + 1;
        }
    }

    /// Records that `address` responded, which overrides updates that declare the
    /// router suspected or dead.
    pub fn record_reachable(&mut self, address: &str, now_ms: u64) {
        let max_sends = self.max_sends();
        if let Some(member) = self.peers.get_mut(address)
            && matches!(member.state, MemberState::Suspect | MemberState::Dead)
        {
            member.state = MemberState::Live;
            member.state_since_ms = now_ms;
            member.sends_left = max_sends;
        }
    }

    /// Records that `address` did not respond: a live router becomes suspected, a
    /// leaving one has left.
    pub fn record_unreachable(&mut self, address: &str, now_ms: u64) {
        let max_sends = self.max_sends();
        if let Some(member) = self.peers.get_mut(address) {
            match member.state {
                MemberState::Live => {
                    member.state = MemberState::Suspect;
                    member.state_since_ms = now_ms;
                    member.sends_left = max_sends;
                }
                MemberState::Leaving => {
                    member.state = MemberState::Left;
                    member.state_since_ms = now_ms;
                    member.sends_left = max_sends;
                }
                MemberState::Suspect | MemberState::Dead | MemberState::Left => {}
            }
        }
    }

    /// Marks this router as leaving, so that it owns no keys any more.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Leaving;
        self.local.refutation += 1;
    }

    /// Returns the routers that can own keys: the live ones, including this router
    /// unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &Node> {
        std::iter::once(&self.local)
            .chain(self.peers.values())
            .filter(|member| member.state == MemberState::Live)
            .map(|member| &member.node)
    }

    /// Returns the live routers without this one.
    pub fn live_peers(&self) -> impl Iterator<Item = &Node> {
        self.peers
            .values()
            .filter(|member| member.state == MemberState::Live)
            .map(|member| &member.node)
    }

    /// Returns all routers in the view with their states.
    pub fn all(&self) -> impl Iterator<Item = (&Node, MemberState)> {
        std::iter::once(&self.local)
            .chain(self.peers.values())
            .map(|member| (&member.node, member.state))
    }

    /// Returns the live router that owns a rendezvous key.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<&Node> {
        rendezvous_owner(key, self.live(), |node| node.address.as_str())
    }

    /// Returns whether this router is among the `count` routers of its data
    /// centre with the highest weights for a rendezvous key.
    #[must_use]
    pub fn is_owner_in_data_centre(&self, key: &str, count: usize) -> bool {
        let local_weight = rendezvous_weight(key, &self.local.node.address);
        let higher = self
            .live_peers()
            .filter(|node| node.data_centre == self.local.node.data_centre)
            .filter(|node| rendezvous_weight(key, &node.address) > local_weight)
            .count();
        higher < count
    }

    /// Returns the incarnations of the live routers, by address.
    #[must_use]
    pub fn incarnations(&self) -> HashMap<&str, Incarnation> {
        self.live()
            .map(|node| (node.address.as_str(), node.incarnation))
            .collect()
    }
}

fn update_of(member: &MemberRecord) -> MemberUpdate {
    MemberUpdate {
        node: member.node.clone(),
        state: member.state,
        refutation: member.refutation,
    }
}
