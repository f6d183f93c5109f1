//! Few routers of a data centre watch the store, and the others follow them.

use std::collections::{BTreeMap, HashSet};

use peridotslip::{
    ids::Incarnation,
    relay::{
        Change, ChangeLog, NewsMember, NewsRoute, Position, RELAYS_PER_DATA_CENTRE, Rejection,
        RelayCandidate, Source, SourceSelector, VmSize, news_route, rank,
    },
};
use proptest::prelude::*;

const NORTH: &str = "north";
const SMALL: VmSize = VmSize {
    millicores: 120,
    link_mbps: 20,
};
const LARGE: VmSize = VmSize {
    millicores: 500,
    link_mbps: 200,
};

fn at(revision: u64) -> Position {
    Position { epoch: 1, revision }
}

fn log_from(revision: u64) -> ChangeLog {
    let mut log = ChangeLog::default();
    log.restart(at(revision));
    log
}

fn candidate(number: u32, size: VmSize) -> RelayCandidate {
    RelayCandidate {
        vm: format!("vm-{number}"),
        incarnation: Incarnation::from(u128::from(number)),
        size,
    }
}

fn fleet(count: u32, size: VmSize) -> Vec<RelayCandidate> {
    (0..count).map(|number| candidate(number, size)).collect()
}

fn key(change: &Change) -> &str {
    match change {
        Change::Put { key, .. } | Change::Removed { key } => key,
    }
}

#[test]
fn log_has_no_changes_before_its_start() {
    let mut log = log_from(10);
    log.put("a", b"1", 12);
    log.advance(at(15));

    let before_start = log.since(at(9));
    let from_start = log.since(at(10)).unwrap();
    let from_change = log.since(at(12)).unwrap();

    assert_eq!(before_start, None);
    assert_eq!(from_start.changes.len(), 1);
    assert_eq!(from_start.position, at(15));
    assert!(from_change.changes.is_empty());
}

#[test]
fn log_serves_no_other_epoch() {
    let log = log_from(10);

    for epoch in [0, 2] {
        let position = Position {
            epoch,
            revision: 10,
        };
        assert_eq!(log.since(position), None, "epoch {epoch}");
    }
}

/// Guards against going back: a relay that has been paused serves a follower that
/// has read further meanwhile.
#[test]
fn position_of_a_follower_never_goes_back() {
    let log = log_from(10);

    let update = log.since(at(20)).unwrap();

    assert!(log.is_behind(at(20)));
    assert_eq!(update.position, at(20));
}

/// Guards against a log that grows for ever, and against changes that are dropped
/// without notice.
#[test]
fn log_is_bounded_and_says_so() {
    let mut log = log_from(0);

    for revision in 1..=10_000 {
        log.put(&format!("key-{revision}"), b"value", revision);
    }
    log.advance(at(10_000));

    assert_eq!(log.since(at(100)), None);
    let newest = log.since(at(9_990)).unwrap();
    assert_eq!(newest.changes.len(), 10);
}

#[test]
fn large_values_are_bounded_too() {
    let mut log = log_from(0);
    let value = vec![0; 1024 * 1024];

    for revision in 1..=20 {
        log.put(&format!("key-{revision}"), &value, revision);
    }
    log.advance(at(20));

    assert_eq!(log.since(at(5)), None);
    assert_eq!(log.since(at(15)).unwrap().changes.len(), 5);
}

/// A change of the store: the key's number, and its value unless it is removed.
type Step = (u8, Option<u8>);

fn store_at(steps: &[Step]) -> BTreeMap<String, Vec<u8>> {
    let mut items = BTreeMap::new();
    for (key, value) in steps {
        let key = format!("key-{key}");
        match value {
            Some(value) => items.insert(key, vec![*value]),
            None => items.remove(&key),
        };
    }
    items
}

fn apply(items: &mut BTreeMap<String, Vec<u8>>, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Put { key, value, .. } => items.insert(key, value),
            Change::Removed { key } => items.remove(&key),
        };
    }
}

proptest! {
    /// A follower that turns between relays and the store at any moment has the
    /// store's items once it has read as far, and each key at most once a reply.
    #[test]
    fn followers_have_what_the_store_has(
        steps in prop::collection::vec((0..6u8, prop::option::of(0..3u8)), 1..60),
        // For each reply: the relay's start, how far the relay has read, and
        // whether the follower reads the store instead.
        replies in prop::collection::vec((0.0..1.0f64, 0.0..1.0f64, any::<bool>()), 1..20),
    ) {
        let count = steps.len();
        #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
        let part = |share: f64| (share * count as f64) as usize;
        let mut items = BTreeMap::new();
        let mut read_to = 0;
        for (start, end, reads_store) in replies {
            let (start, end) = (part(start), part(end).max(part(start)));
            if reads_store {
                let read = end.max(read_to);
                items = store_at(&steps[..read]);
                read_to = read;
                continue;
            }
            let mut log = log_from(start as u64);
            for (number, (key, value)) in steps[start..end].iter().enumerate() {
                let (key, revision) = (format!("key-{key}"), (start + number + 1) as u64);
                match value {
                    Some(value) => log.put(&key, &[*value], revision),
                    // The store's reply does not name the revision of a removal.
                    None => log.remove(&key, end as u64),
                }
            }
            log.advance(at(end as u64));
            let Some(update) = log.since(at(read_to as u64)) else {
                prop_assert!(read_to < start);
                continue;
            };
            let keys: HashSet<&str> = update.changes.iter().map(key).collect();
            prop_assert_eq!(keys.len(), update.changes.len());
            prop_assert!(update.position >= at(read_to as u64));
            read_to = usize::try_from(update.position.revision).unwrap();
            apply(&mut items, update.changes);
            prop_assert_eq!(&items, &store_at(&steps[..read_to]));
        }
    }
}

#[test]
fn larger_vms_become_relays_first() {
    let mut candidates = fleet(40, SMALL);
    candidates.extend((100..103).map(|number| candidate(number, LARGE)));

    rank(NORTH, &mut candidates);

    let relays = &candidates[..RELAYS_PER_DATA_CENTRE];
    assert!(relays.iter().all(|relay| relay.size == LARGE));
}

/// Guards against roles that fall to one VM by the order of names.
#[test]
fn data_centres_rank_equal_vms_differently() {
    let mut first = HashSet::new();

    for data_centre in 0..20 {
        let mut candidates = fleet(10, SMALL);
        rank(&format!("centre-{data_centre}"), &mut candidates);
        first.insert(candidates[0].vm.clone());
    }

    assert!(first.len() >= 5, "{first:?}");
}

/// Guards against a difference between small and large deployments by a setting: a
/// small one has only relays.
#[test]
fn routers_of_a_small_data_centre_read_the_store() {
    for count in 1..=3 {
        let mut candidates = fleet(count, SMALL);
        rank(NORTH, &mut candidates);
        for candidate in &candidates {
            let source = SourceSelector::new(&candidate.vm).select(&candidates, false, 0);
            assert_eq!(source, Source::Store);
        }
    }
}

#[test]
fn relays_share_the_followers() {
    let mut candidates = fleet(39, SMALL);
    rank(NORTH, &mut candidates);
    let mut followers: BTreeMap<Incarnation, usize> = BTreeMap::new();

    for candidate in &candidates {
        let source = SourceSelector::new(&candidate.vm).select(&candidates, false, 0);
        if let Source::Relay(relay) = source {
            *followers.entry(relay).or_default() += 1;
        }
    }

    assert_eq!(followers.values().sum::<usize>(), 36);
    assert_eq!(followers.len(), RELAYS_PER_DATA_CENTRE);
    assert!(
        followers.values().all(|count| *count <= 20),
        "{followers:?}"
    );
}

/// Guards against a follower that has no source: without relays it reads the store,
/// and it returns to a relay later.
#[test]
fn a_follower_without_relays_reads_the_store() {
    let mut candidates = fleet(10, SMALL);
    rank(NORTH, &mut candidates);
    let mut selector = SourceSelector::new(&candidates[9].vm);

    for _ in 0..RELAYS_PER_DATA_CENTRE {
        let Source::Relay(relay) = selector.select(&candidates, false, 0) else {
            panic!("a relay is left");
        };
        selector.reject(relay, Rejection::NoService, 0);
    }

    assert_eq!(selector.select(&candidates, false, 100), Source::Store);
    assert_ne!(selector.select(&candidates, false, 60_000), Source::Store);
}

#[test]
fn the_store_is_read_directly_for_as_long_as_asked() {
    let mut candidates = fleet(10, SMALL);
    rank(NORTH, &mut candidates);
    let mut selector = SourceSelector::new(&candidates[9].vm);

    selector.read_directly(30_000, 1_000);

    assert_eq!(selector.select(&candidates, false, 30_999), Source::Store);
    assert_ne!(selector.select(&candidates, false, 31_000), Source::Store);
}

/// Guards against an outage in which all routers probe the store: a follower waits at
/// a relay that has lost the store too.
#[test]
fn in_an_outage_a_follower_waits_at_a_relay_that_has_lost_the_store() {
    let mut candidates = fleet(10, SMALL);
    rank(NORTH, &mut candidates);
    let mut selector = SourceSelector::new(&candidates[9].vm);

    for relay in &candidates[..RELAYS_PER_DATA_CENTRE] {
        selector.reject(relay.incarnation, Rejection::Outage, 0);
    }

    assert_eq!(selector.select(&candidates, false, 100), Source::Store);
    assert_ne!(selector.select(&candidates, true, 100), Source::Store);
}

/// Returns a fleet of routers over five data centres, three of each on larger VMs.
fn members(count: u32) -> Vec<NewsMember> {
    let member = |number| {
        let size = if number < 15 { LARGE } else { SMALL };
        NewsMember {
            router: candidate(number, size),
            data_centre: format!("centre-{}", number % 5),
            may_relay: true,
        }
    };
    (0..count).map(member).collect()
}

fn routes(members: &[NewsMember]) -> Vec<NewsRoute> {
    let vms = members.iter().map(|member| &member.router.vm);
    vms.map(|vm| news_route(vm, members)).collect()
}

/// Returns how many steps it takes until all live members know what the first one has
/// learned, and how many messages. `dead` are members that the others still count as
/// reachable.
fn spread(
    members: &[NewsMember],
    routes: &[NewsRoute],
    origin: usize,
    dead: &HashSet<usize>,
) -> Option<(usize, usize)> {
    let index_of: BTreeMap<Incarnation, usize> = members
        .iter()
        .enumerate()
        .map(|(index, member)| (member.router.incarnation, index))
        .collect();
    let mut knowing = HashSet::from([origin]);
    // Routers that send, and whether they have the news from a relay.
    let mut senders = vec![(origin, false)];
    let (mut steps, mut messages) = (0, 0);
    while knowing.len() < members.len() - dead.len() {
        let mut informed = Vec::new();
        for (sender, from_relay) in senders {
            let route = &routes[sender];
            if sender != origin && !route.is_relay {
                continue;
            }
            let relays = route.relays.iter().filter(|_| !from_relay);
            for target in relays.chain(&route.followers) {
                messages += 1;
                informed.push((index_of[target], route.is_relay));
            }
        }
        informed.retain(|(index, _)| !dead.contains(index) && knowing.insert(*index));
        if informed.is_empty() {
            return None;
        }
        senders = informed;
        steps += 1;
    }
    Some((steps, messages))
}

/// Guards against messages and connections that grow with the square of the fleet:
/// each router sent each observation to all others itself.
#[test]
fn news_reach_all_routers_in_three_steps_over_few_connections() {
    for count in [7, 73, 195, 330] {
        let members = members(count);
        let size = usize::try_from(count).unwrap();
        let routes = routes(&members);
        let mut targets = 0;
        for route in &routes {
            let most = if route.is_relay { size / 5 + 16 } else { 3 };
            let connections = route.relays.len() + route.followers.len();
            assert!(connections <= most, "{count}: {route:?}");
            targets += connections;
        }
        assert!(targets <= 6 * size + 15 * 14, "{count}: {targets}");
        for origin in 0..size {
            let (steps, messages) = spread(&members, &routes, origin, &HashSet::new()).unwrap();
            assert!(steps <= 3, "{count}, {origin}: {steps} steps");
            assert!(messages <= 3 * size + 15 * 15, "{count}: {messages}");
        }
    }
}

/// Guards against news that depend on a single relay.
#[test]
fn news_pass_two_lost_relays_of_each_data_centre() {
    let members = members(195);
    let dead: HashSet<usize> = (0..10).collect();

    let spread = spread(&members, &routes(&members), 100, &dead);

    assert!(spread.is_some_and(|(steps, _)| steps <= 3), "{spread:?}");
}

/// Guards against a release that knows no relays and is left out.
#[test]
fn routers_without_relays_get_news_too() {
    let mut members = members(73);
    for member in &mut members[60..] {
        member.may_relay = false;
        member.data_centre = String::new();
        member.router.size = VmSize::default();
    }

    let relay = news_route("vm-0", &members);
    let follower = news_route("vm-20", &members);

    let old: Vec<Incarnation> = members[60..]
        .iter()
        .map(|member| member.router.incarnation)
        .collect();
    assert!(old.iter().all(|old| relay.followers.contains(old)));
    assert!(follower.followers.is_empty());
    assert!(!old.iter().any(|old| follower.relays.contains(old)));
}
