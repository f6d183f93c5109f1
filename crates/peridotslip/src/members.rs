//! Which routers there are.
//!
//! The platform's VM list lags, so it only tells whom to try. Each router
//! probes one other at a fixed pace and spreads rumours on the probes, so a
//! node's traffic does not grow with the fleet. A router that doesn't answer
//! is suspected first; it can refute that, so a short pause costs it nothing,
//! and a paused router that was declared dead is taken back when it answers.
//! (The scheme follows Das, Gupta and Motivala, "SWIM: scalable
//! weakly-consistent infection-style process group membership protocol".)
//!
//! Nothing here is needed for correctness elsewhere: a wrong view sends work
//! to the wrong router, which costs time and no money.

mod rendezvous;
mod rumour;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

pub use self::{
    rendezvous::{rank, winner},
    rumour::{Node, Rumour, State},
};
use crate::ids::{Incarnation, Revision};

/// Time between two probes, in milliseconds.
pub const PROBE_EVERY_MS: u64 = 500;
/// How long a router is suspected before it counts as dead, in milliseconds.
const SUSPECT_MS: u64 = 2_000;
/// How long a dead or departed router is remembered, in milliseconds.
const FORGET_MS: u64 = 10 * 60 * 1_000;
/// Rumours on one probe.
const RUMOURS_PER_PROBE: usize = 8;
/// A rumour is sent this often for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;
/// A dead router is probed again once in so many rounds, in case it was only
/// cut off.
const DEAD_PROBE_ROUNDS: u64 = 8;

#[derive(Clone, Debug)]
struct Member {
    node: Node,
    state: State,
    refutation: u32,
    since_ms: u64,
    sends_left: u32,
}

/// One router's view of the fleet, itself included.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    others: BTreeMap<String, Member>,
    /// Addresses that were named and never answered.
    hopes: Vec<String>,
    /// Addresses that work for another firm.
    foreign: HashSet<String>,
    order: VecDeque<String>,
    rounds: u64,
}

impl Members {
    /// A view that knows only this router.
    #[must_use]
    pub fn new(me: Node) -> Self {
        let me = Member {
            node: me,
            state: State::Live,
            refutation: 0,
            since_ms: 0,
            sends_left: 1,
        };
        Self {
            me,
            others: BTreeMap::new(),
            hopes: Vec::new(),
            foreign: HashSet::new(),
            order: VecDeque::new(),
            rounds: 0,
        }
    }

    /// This router.
    #[must_use]
    pub fn me(&self) -> &Node {
        &self.me.node
    }

    /// Notes the revision that this router has in force.
    pub fn set_revision(&mut self, revision: Revision) {
        self.me.node.revision = revision;
    }

    /// Takes in addresses from the settings or the VM list.
    pub fn hint<'a>(&mut self, addresses: impl Iterator<Item = &'a str>) {
        for address in addresses {
            let known = address == self.me.node.address
                || self.others.contains_key(address)
                || self.foreign.contains(address);
            if !known && !self.hopes.iter().any(|hope| hope == address) {
                self.hopes.push(address.to_owned());
            }
        }
    }

    /// Keeps only hopes that are still named, so that old ones don't pile up.
    pub fn keep_hopes(&mut self, named: &dyn Fn(&str) -> bool) {
        self.hopes.retain(|hope| named(hope));
    }

    /// Moves time on and returns the address to probe now, if any. Call it
    /// every [`PROBE_EVERY_MS`].
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
            if member.state == State::Suspect && age_ms >= SUSPECT_MS {
                member.state = State::Dead;
                member.since_ms = now_ms;
                member.sends_left = sends;
            }
        }
        self.others.retain(|_, member| {
            let over = matches!(member.state, State::Dead | State::Left);
            !over || now_ms.saturating_sub(member.since_ms) < FORGET_MS
        });
    }

    /// Orders the next round of probes: everyone once, in an order of this
    /// router's own so that routers don't all probe the same one.
    fn plan(&mut self) {
        let again = self.rounds.is_multiple_of(DEAD_PROBE_ROUNDS);
        let due = |member: &Member| match member.state {
            State::Live | State::Suspect | State::Leaving => true,
            State::Dead => again,
            State::Left => false,
        };
        let mut round: Vec<String> = self
            .others
            .values()
            .filter(|member| due(member))
            .map(|member| member.node.address.clone())
            .chain(self.hopes.iter().cloned())
            .collect();
        let salt = format!("{}/{}", self.me.node.address, self.rounds);
        round.sort_by_key(|address| rank(&salt, address));
        self.order = round.into();
    }

    fn sends(&self) -> u32 {
        let size = u32::try_from(self.others.len() + 2).unwrap_or(u32::MAX);
        SENDS_PER_DOUBLING * size.ilog2().max(1)
    }

    /// What to say to `address` on a probe or its answer: this router's own
    /// state first, then what is thought of `address`, so that it can refute.
    pub fn rumours(&mut self, address: &str) -> Vec<Rumour> {
        let mut out = vec![rumour_of(&self.me)];
        let doubted = |member: &&Member| matches!(member.state, State::Suspect | State::Dead);
        let about = self.others.get(address).filter(doubted);
        out.extend(about.map(rumour_of));
        let mut fresh: Vec<&mut Member> = self
            .others
            .values_mut()
            .filter(|member| member.sends_left > 0)
            .collect();
        fresh.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        for member in fresh.into_iter().take(RUMOURS_PER_PROBE - 1) {
            member.sends_left -= 1;
            out.push(rumour_of(member));
        }
        out
    }

    /// Everything known, for a router that has just come.
    #[must_use]
    pub fn all_rumours(&self) -> Vec<Rumour> {
        std::iter::once(&self.me)
            .chain(self.others.values())
            .map(rumour_of)
            .collect()
    }

    /// Takes rumours in.
    pub fn hear(&mut self, rumours: &[Rumour], now_ms: u64) {
        for rumour in rumours {
            if rumour.node.firm == self.me.node.firm {
                self.hear_one(rumour, now_ms);
            } else {
                let address = &rumour.node.address;
                self.hopes.retain(|hope| hope != address);
                self.foreign.insert(address.clone());
            }
        }
    }

    fn hear_one(&mut self, rumour: &Rumour, now_ms: u64) {
        let address = &rumour.node.address;
        if *address == self.me.node.address {
            self.refute(rumour);
            return;
        }
        let sends = self.sends();
        let Some(member) = self.others.get_mut(address) else {
            self.hopes.retain(|hope| hope != address);
            let member = Member {
                node: rumour.node.clone(),
                state: rumour.state,
                refutation: rumour.refutation,
                since_ms: now_ms,
                sends_left: sends,
            };
            self.others.insert(address.clone(), member);
            return;
        };
        let news = rumour.outranks(member.node.incarnation, member.refutation, member.state);
        if news {
            if member.state != rumour.state {
                member.since_ms = now_ms;
            }
            member.node = rumour.node.clone();
            member.state = rumour.state;
            member.refutation = rumour.refutation;
            member.sends_left = sends;
        } else if member.node.incarnation == rumour.node.incarnation {
            member.node.revision = member.node.revision.max(rumour.node.revision);
        }
    }

    /// Contradicts a rumour that this router is suspected or dead.
    fn refute(&mut self, rumour: &Rumour) {
        let about_me = rumour.node.incarnation == self.me.node.incarnation;
        let wrong = matches!(rumour.state, State::Suspect | State::Dead);
        if about_me && wrong && rumour.refutation >= self.me.refutation {
            self.me.refutation = rumour.refutation + 1;
        }
    }

    /// Notes that `address` answered, whatever was said of it.
    pub fn answered(&mut self, address: &str, now_ms: u64) {
        let sends = self.sends();
        if let Some(member) = self.others.get_mut(address)
            && matches!(member.state, State::Suspect | State::Dead)
        {
            member.state = State::Live;
            member.since_ms = now_ms;
            member.sends_left = sends;
        }
    }

    /// Notes that `address` did not answer, and suspects it.
    pub fn silent(&mut self, address: &str, now_ms: u64) {
        let sends = self.sends();
        if let Some(member) = self.others.get_mut(address) {
            match member.state {
                State::Live => {
                    member.state = State::Suspect;
                    member.since_ms = now_ms;
                    member.sends_left = sends;
                }
                State::Leaving => {
                    member.state = State::Left;
                    member.since_ms = now_ms;
                    member.sends_left = sends;
                }
                State::Suspect | State::Dead | State::Left => {}
            }
        }
    }

    /// Announces that this router takes no more duties.
    pub fn leave(&mut self) {
        self.me.state = State::Leaving;
        self.me.refutation += 1;
    }

    /// Routers that duties may be given to: live ones, this one included
    /// unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &Node> {
        std::iter::once(&self.me)
            .chain(self.others.values())
            .filter(|member| member.state == State::Live)
            .map(|member| &member.node)
    }

    /// Live routers other than this one.
    pub fn live_others(&self) -> impl Iterator<Item = &Node> {
        self.others
            .values()
            .filter(|member| member.state == State::Live)
            .map(|member| &member.node)
    }

    /// Every router that is known, with its state.
    pub fn all(&self) -> impl Iterator<Item = (&Node, State)> {
        std::iter::once(&self.me)
            .chain(self.others.values())
            .map(|member| (&member.node, member.state))
    }

    /// The live router that has a duty, by rendezvous hashing.
    #[must_use]
    pub fn holder(&self, duty: &str) -> Option<&Node> {
        winner(duty, self.live(), |node| node.address.as_str())
    }

    /// Whether this router is among the first `count` of its data centre for
    /// a duty.
    #[must_use]
    pub fn is_among(&self, duty: &str, count: usize) -> bool {
        let mine = rank(duty, &self.me.node.address);
        let before = self
            .live_others()
            .filter(|node| node.data_centre == self.me.node.data_centre)
            .filter(|node| rank(duty, &node.address) > mine)
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

fn rumour_of(member: &Member) -> Rumour {
    Rumour {
        node: member.node.clone(),
        state: member.state,
        refutation: member.refutation,
    }
}
