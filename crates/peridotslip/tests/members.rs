//! Membership: updates, suspicion, refutation and ownership of keys.

use std::collections::HashMap;

use peridotslip::{
    members::{MemberState, Members, Node, PROBE_INTERVAL_MS},
    prelude::*,
};

fn node(number: u128) -> Node {
    Node {
        address: format!("10.0.0.{number}:7"),
        incarnation: Incarnation::from(100 + number),
        firm: "qalam".to_owned(),
        vm: format!("vm-{number}"),
        data_centre: format!("dc-{}", number % 3),
        revision: Revision::from(1),
    }
}

/// Routers that probe each other; some of them may be unreachable.
struct Fleet {
    members: Vec<Members>,
    now_ms: u64,
    messages: u64,
    updates: u64,
}

impl Fleet {
    fn new(count: u128) -> Self {
        let first = node(0).address;
        let member = |number| {
            let mut member = Members::new(node(number));
            member.add_seeds(std::iter::once(first.as_str()));
            member
        };
        Self {
            members: (0..count).map(member).collect(),
            now_ms: 0,
            messages: 0,
            updates: 0,
        }
    }

    /// Runs one probe of every member for which `up` is true.
    fn round(&mut self, up: impl Fn(usize) -> bool) {
        self.now_ms += PROBE_INTERVAL_MS;
        let indices: HashMap<String, usize> = self
            .members
            .iter()
            .enumerate()
            .map(|(index, member)| (member.local_node().address.clone(), index))
            .collect();
        for prober in (0..self.members.len()).filter(|index| up(*index)) {
            let Some(address) = self.members[prober].tick(self.now_ms) else {
                continue;
            };
            let target = indices[&address];
            if !up(target) {
                self.members[prober].record_unreachable(&address, self.now_ms);
                continue;
            }
            let known = self.members[prober]
                .all()
                .any(|(node, _)| node.address == address);
            let sent = self.members[prober].updates_for(&address);
            let from = self.members[prober].local_node().address.clone();
            self.members[target].apply_updates(&sent, self.now_ms);
            self.members[target].record_reachable(&from, self.now_ms);
            let response = if known {
                self.members[target].updates_for(&from)
            } else {
                self.members[target].full_state()
            };
            self.messages += 2;
            self.updates += (sent.len() + response.len()) as u64;
            self.members[prober].apply_updates(&response, self.now_ms);
            self.members[prober].record_reachable(&address, self.now_ms);
        }
    }

    /// Runs rounds until `done` returns true and returns their number.
    ///
    /// # Panics
    ///
    /// Panics after `limit` rounds.
    fn rounds_until(
        &mut self,
        limit: u32,
        up: fn(usize) -> bool,
        done: impl Fn(&Self) -> bool,
    ) -> u32 {
        for round in 0..limit {
            if done(self) {
                return round;
            }
            self.round(up);
        }
        panic!("not within {limit} rounds");
    }
}

/// Returns whether `live` routers are live in the view of every router for
/// which `up` is true.
fn all_know(fleet: &Fleet, live: usize, up: fn(usize) -> bool) -> bool {
    let mut views = fleet
        .members
        .iter()
        .enumerate()
        .filter(|(index, _)| up(*index));
    views.all(|(_, member)| member.live().count() == live)
}

#[test]
fn every_router_learns_of_all_others_from_one_seed() {
    let mut fleet = Fleet::new(27);

    let rounds = fleet.rounds_until(60, |_| true, |fleet| all_know(fleet, 27, |_| true));

    assert!(rounds <= 40, "{rounds} rounds");
}

#[test]
fn a_dead_router_is_detected_by_all_and_only_its_keys_move() {
    let mut fleet = Fleet::new(9);
    fleet.rounds_until(60, |_| true, |fleet| all_know(fleet, 9, |_| true));
    let keys: Vec<String> = (0..100).map(|number| format!("duty-{number}")).collect();
    let owners = |fleet: &Fleet| -> Vec<String> {
        let view = &fleet.members[0];
        let owner = |key: &String| view.owner(key).map(|node| node.address.clone());
        keys.iter().filter_map(owner).collect()
    };
    let before = owners(&fleet);

    let up = |index: usize| index != 4;
    let rounds = fleet.rounds_until(40, up, |fleet| all_know(fleet, 8, |index| index != 4));

    // A round takes 500 ms, so every router detects the failure within 10 s.
    assert!(rounds <= 20, "{rounds} rounds");
    let dead = node(4).address;
    for (old, new) in before.iter().zip(owners(&fleet)) {
        assert!(
            *old == dead || *old == new,
            "a key moved from {old} to {new}"
        );
        assert_ne!(new, dead);
    }
}

#[test]
fn a_paused_router_that_was_declared_dead_becomes_live_again() {
    let mut fleet = Fleet::new(9);
    fleet.rounds_until(60, |_| true, |fleet| all_know(fleet, 9, |_| true));
    for _ in 0..30 {
        fleet.round(|index| index != 4);
    }
    let dead = |member: &Members| {
        let found = member.all().find(|(node, _)| node.vm == "vm-4");
        found.is_some_and(|(_, state)| state == MemberState::Dead)
    };
    assert!(
        fleet
            .members
            .iter()
            .enumerate()
            .all(|(index, view)| index == 4 || dead(view))
    );

    let rounds = fleet.rounds_until(60, |_| true, |fleet| all_know(fleet, 9, |_| true));

    assert!(rounds <= 50, "{rounds} rounds");
}

#[test]
fn a_router_of_another_firm_never_becomes_a_member() {
    let mut members = Members::new(node(1));
    let foreign = Members::new(Node {
        firm: "maraval".to_owned(),
        ..node(2)
    });
    let address = foreign.local_node().address.clone();
    members.add_seeds(std::iter::once(address.as_str()));

    members.apply_updates(&foreign.full_state(), 1);
    members.add_seeds(std::iter::once(address.as_str()));

    assert_eq!(members.live().count(), 1);
    assert_eq!(members.tick(PROBE_INTERVAL_MS), None);
}

#[test]
fn a_leaving_router_owns_no_keys_and_a_restart_replaces_it() {
    let (mut one, mut two) = (Members::new(node(1)), Members::new(node(2)));
    two.apply_updates(&one.full_state(), 1);
    assert_eq!(two.live().count(), 2);

    one.leave();
    two.apply_updates(&one.full_state(), 2);
    assert!((0..50).all(|key| two.owner(&key.to_string()) == Some(two.local_node())));

    let restarted = Members::new(Node {
        incarnation: Incarnation::from(999),
        ..node(1)
    });
    two.apply_updates(&restarted.full_state(), 3);
    assert_eq!(
        two.incarnations()[node(1).address.as_str()],
        Incarnation::from(999)
    );
}

#[test]
fn traffic_for_each_router_does_not_grow_with_the_fleet() {
    let per_round = |count: u128| {
        let mut fleet = Fleet::new(count);
        for _ in 0..150 {
            fleet.round(|_| true);
        }
        (fleet.messages, fleet.updates) = (0, 0);
        for _ in 0..40 {
            fleet.round(|_| true);
        }
        let rounds = 40 * u64::try_from(count).expect("the count fits in 64 bits");
        // In hundredths, for each router and round.
        (fleet.messages * 100 / rounds, fleet.updates * 100 / rounds)
    };

    let (small, large) = (per_round(9), per_round(81));

    assert!((180..=220).contains(&large.0), "messages: {large:?}");
    assert!(large.1 < small.1 * 2, "updates: {small:?}, {large:?}");
}
