//! Few routers of a data centre watch the store, and the others follow them.

use std::collections::{BTreeMap, HashSet};

use peridotslip::{
    ids::Incarnation,
    relay::{
        Change, ChangeLog, Position, RELAYS_PER_DATA_CENTRE, Rejection, RelayCandidate, Source,
        SourceSelector, VmSize, rank,
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
