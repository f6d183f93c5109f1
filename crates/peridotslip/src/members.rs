//! Which routers there are.
//!
//! The platform's VM list lags, so it only tells whom to try. Each router
//! probes one other at a fixed pace and spreads updates on the probes, so a
//! node's traffic does not grow with the fleet. A router that doesn't answer
//! is suspected first; it can refute that, so a short pause costs it nothing,
//! and a paused router that was declared dead is taken back when it answers.
//! (The scheme follows Das, Gupta and Motivala, "SWIM: scalable
//! weakly-consistent infection-style process group membership protocol".)
//!
//! Nothing here is needed for correctness elsewhere: a wrong view sends work
//! to the wrong router, which costs time and no money.

mod gossip;
mod rendezvous;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

pub use self::{
    gossip::{MemberState, MemberUpdate, Node},
    rendezvous::{rendezvous_owner, rendezvous_weight},
};
use crate::ids::{Incarnation, Revision};

/// Time between two probes, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// How long a router is suspected before it counts as dead, in milliseconds.
const SUSPECT_MS: u64 = 2_000;
/// How long a dead or departed router is remembered, in milliseconds.
const FORGET_MS: u64 = 10 * 60 * 1_000;
/// Updates on one probe.
const UPDATES_PER_PROBE: usize = 8;
/// An update is sent this often for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;
/// A dead router is probed again once in so many rounds, in case it was only
/// cut off.
const DEAD_PROBE_ROUNDS: u64 = 8;

#[derive(Clone, Debug)]
struct MemberRecord {
    node: Node,
    state: MemberState,
    refutation: u32,
    since_ms: u64,
    sends_left: u32,
}

/// One router's view of the fleet, itself included.
#[derive(Clone, Debug)]
pub struct Members {
    local: MemberRecord,
    others: BTreeMap<String, MemberRecord>,
    /// Addresses that were named and never answered.
    seeds: Vec<String>,
    /// Addresses that work for another firm.
    foreign: HashSet<String>,
    order: VecDeque<String>,
    rounds: u64,
}

impl Members {
    /// A view that knows only this router.
    #[must_use]
    pub fn new(local: Node) -> Self {
        let local = MemberRecord {
            node: local,
            state: MemberState::Live,
            refutation: 0,
            since_ms: 0,
            sends_left: 1,
        };
        Self {
            local,
            others: BTreeMap::new(),
            seeds: Vec::new(),
            foreign: HashSet::new(),
            order: VecDeque::new(),
            rounds: 0,
        }
    }

    /// This router.
    #[must_use]
    pub fn local_node(&self) -> &Node {
        &self.local.node
    }

    /// Notes the revision that this router has in force.
    pub fn set_revision(&mut self, revision: Revision) {
        self.local.node.revision = revision;
    }

    /// Takes in addresses from the settings or the VM list.
    pub fn add_seeds<'a>(&mut self, addresses: impl Iterator<Item = &'a str>) {
        for address in addresses {
            let known = address == self.local.node.address
                || self.others.contains_key(address)
                || self.foreign.contains(address);
            if !known && !self.seeds.iter().any(|seed| seed == address) {
                self.seeds.push(address.to_owned());
            }
        }
    }

    /// Keeps only seeds that are still named, so that old ones don't pile up.
    pub fn retain_seeds(&mut self, named: &dyn Fn(&str) -> bool) {
        self.seeds.retain(|seed| named(seed));
    }

    /// Moves time on and returns the address to probe now, if any. Call it
    /// every [`PROBE_INTERVAL_MS`].
    pub fn tick(&mut self, now_ms: u64) -> Option<String> {
        self.rounds += 1;
        self.age(now_ms);
        if self.order.is_empty() {
            self.plan();
        }
        self.order.pop_front()
    }

    fn age(&mut self, now_ms: u64) {
        let sends = self.sends();
        for member in self.others.values_mut() {
            let age_ms = now_ms.saturating_sub(member.since_ms);
            if member.state == MemberState::Suspect && age_ms >= SUSPECT_MS {
                member.state = MemberState::Dead;
                member.since_ms = now_ms;
                member.sends_left = sends;
            }
        }
        self.others.retain(|_, member| {
            let over = matches!(member.state, MemberState::Dead | MemberState::Left);
            !over || now_ms.saturating_sub(member.since_ms) < FORGET_MS
        });
    }

    /// Orders the next round of probes: everyone once, in an order of this
    /// router's own so that routers don't all probe the same one.
    fn plan(&mut self) {
        let again = self.rounds.is_multiple_of(DEAD_PROBE_ROUNDS);
        let due = |member: &MemberRecord| match member.state {
            MemberState::Live | MemberState::Suspect | MemberState::Leaving => true,
            MemberState::Dead => again,
            MemberState::Left => false,
        };
        let mut round: Vec<String> = self
            .others
            .values()
            .filter(|member| due(member))
            .map(|member| member.node.address.clone())
            .chain(self.seeds.iter().cloned())
            .collect();
        let salt = format!("{}/{}", self.local.node.address, self.rounds);
        round.sort_by_key(|address| rendezvous_weight(&salt, address));
        self.order = round.into();
    }

    fn sends(&self) -> u32 {
        let size = u32::try_from(self.others.len() + 2).unwrap_or(u32::MAX);
        SENDS_PER_DOUBLING * size.ilog2().max(1)
    }

    /// What to say to `address` on a probe or its answer: this router's own
    /// state first, then what is thought of `address`, so that it can refute.
    pub fn updates_for(&mut self, address: &str) -> Vec<MemberUpdate> {
        let mut out = vec![update_of(&self.local)];
        let doubted = |member: &&MemberRecord| {
            matches!(member.state, MemberState::Suspect | MemberState::Dead)
        };
        let about = self.others.get(address).filter(doubted);
        out.extend(about.map(update_of));
        let mut fresh: Vec<&mut MemberRecord> = self
            .others
            .values_mut()
            .filter(|member| member.sends_left > 0)
            .collect();
        fresh.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        for member in fresh.into_iter().take(UPDATES_PER_PROBE - 1) {
            member.sends_left -= 1;
            out.push(update_of(member));
        }
        out
    }

    /// Everything known, for a router that has just come.
    #[must_use]
    pub fn full_state(&self) -> Vec<MemberUpdate> {
        std::iter::once(&self.local)
            .chain(self.others.values())
            .map(update_of)
            .collect()
    }

    /// Takes updates in.
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
        let sends = self.sends();
        let Some(member) = self.others.get_mut(address) else {
            self.seeds.retain(|seed| seed != address);
            let member = MemberRecord {
                node: update.node.clone(),
                state: update.state,
                refutation: update.refutation,
                since_ms: now_ms,
                sends_left: sends,
            };
            self.others.insert(address.clone(), member);
            return;
        };
        let news = update.supersedes(member.node.incarnation, member.refutation, member.state);
        if news {
            if member.state != update.state {
                member.since_ms = now_ms;
            }
            member.node = update.node.clone();
            member.state = update.state;
            member.refutation = update.refutation;
            member.sends_left = sends;
        } else if member.node.incarnation == update.node.incarnation {
            member.node.revision = member.node.revision.max(update.node.revision);
        }
    }

    /// Contradicts an update that this router is suspected or dead.
    fn refute(&mut self, update: &MemberUpdate) {
        let about_local = update.node.incarnation == self.local.node.incarnation;
        let wrong = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if about_local && wrong && update.refutation >= self.local.refutation {
            self.local.refutation = update.refutation + 1;
        }
    }

    /// Notes that `address` answered, whatever was said of it.
    pub fn record_reachable(&mut self, address: &str, now_ms: u64) {
        let sends = self.sends();
        if let Some(member) = self.others.get_mut(address)
            && matches!(member.state, MemberState::Suspect | MemberState::Dead)
        {
            member.state = MemberState::Live;
            member.since_ms = now_ms;
            member.sends_left = sends;
        }
    }

    /// Notes that `address` did not answer, and suspects it.
    pub fn record_unreachable(&mut self, address: &str, now_ms: u64) {
        let sends = self.sends();
        if let Some(member) = self.others.get_mut(address) {
            match member.state {
                MemberState::Live => {
                    member.state = MemberState::Suspect;
                    member.since_ms = now_ms;
                    member.sends_left = sends;
                }
                MemberState::Leaving => {
                    member.state = MemberState::Left;
                    member.since_ms = now_ms;
                    member.sends_left = sends;
                }
                MemberState::Suspect | MemberState::Dead | MemberState::Left => {}
            }
        }
    }

    /// Announces that this router takes no more duties.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Leaving;
        self.local.refutation += 1;
    }

    /// Routers that duties may be given to: live ones, this one included
    /// unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &Node> {
        std::iter::once(&self.local)
            .chain(self.others.values())
            .filter(|member| member.state == MemberState::Live)
            .map(|member| &member.node)
    }

    /// Live routers other than this one.
    pub fn live_peers(&self) -> impl Iterator<Item = &Node> {
        self.others
            .values()
            .filter(|member| member.state == MemberState::Live)
            .map(|member| &member.node)
    }

    /// Every router that is known, with its state.
    pub fn all(&self) -> impl Iterator<Item = (&Node, MemberState)> {
        std::iter::once(&self.local)
            .chain(self.others.values())
            .map(|member| (&member.node, member.state))
    }

    /// The live router that owns a key, by rendezvous hashing.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<&Node> {
        rendezvous_owner(key, self.live(), |node| node.address.as_str())
    }

    /// Whether this router is among the first `count` of its data centre for
    /// a duty.
    #[must_use]
    pub fn is_owner_in_data_centre(&self, key: &str, count: usize) -> bool {
        let mine = rendezvous_weight(key, &self.local.node.address);
        let before = self
            .live_peers()
            .filter(|node| node.data_centre == self.local.node.data_centre)
            .filter(|node| rendezvous_weight(key, &node.address) > mine)
            .count();
        before < count
    }

    /// The live incarnations, by address.
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
