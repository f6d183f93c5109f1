//! Refusals that only a router with the table in force may give.

use std::collections::VecDeque;

use peridotslip::{
    forwarding::{MIN_APPLY_WITHIN_MS, TableFreshness, TableProof, TableTiming},
    relay::Position,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn position(revision: u64) -> Position {
    Position { epoch: 0, revision }
}

fn proof(changed: u64, age_ms: u64, held_ms: u64) -> TableProof {
    TableProof {
        changed: position(changed),
        age_ms,
        held_ms,
    }
}

/// Guards against a final refusal by a router that has never heard of the store.
#[test]
fn a_table_is_not_current_before_the_first_reply() {
    let freshness = TableFreshness::default();

    assert!(!freshness.is_current(1_900, 0));
}

/// Guards against CONFIG: a table counted as fresh from the arrival of a reply, which says
/// nothing of the time since its call was sent.
#[test]
fn a_table_is_current_as_of_the_moment_at_which_the_call_was_sent() {
    let mut freshness = TableFreshness::default();

    freshness.record_read(position(7), 1_000);

    assert_eq!(freshness.age_ms(2_500), Some(1_500));
    assert!(freshness.is_current(1_900, 2_900));
    assert!(!freshness.is_current(1_900, 2_901));
}

/// Guards against CONFIG: a relay that had read a newer table vouched for its follower's
/// older one.
#[test]
fn a_relay_with_a_later_change_proves_nothing() {
    let mut freshness = TableFreshness::default();
    freshness.record_read(position(7), 1_000);

    freshness.record_proof(&proof(8, 0, 0), 2_000);
    freshness.record_proof(&proof(9, 0, 0), 2_500);

    assert_eq!(freshness.age_ms(2_000), Some(1_000));
    assert_eq!(freshness.lacking_for_ms(3_000), Some(1_000));
    freshness.record_position(position(9));
    assert_eq!(freshness.lacking_for_ms(3_000), None);
}

/// Guards against CONFIG: the age of a relay's table was lost on the way to its followers.
#[test]
fn the_age_travels_through_relays() {
    let mut freshness = TableFreshness::default();
    freshness.record_read(position(7), 0);

    // Sent at 2,000, held for 500: the reply was made at 2,500 or later.
    freshness.record_proof(&proof(7, 700, 500), 2_000);

    assert_eq!(freshness.lacking_for_ms(2_600), None);
    assert_eq!(freshness.age_ms(2_600), Some(800));
}

/// Guards against a proof of another epoch of the store, whose revisions mean nothing.
#[test]
fn a_proof_of_another_epoch_counts_for_nothing() {
    let mut freshness = TableFreshness::default();
    let later = Position {
        epoch: 1,
        revision: 2,
    };
    freshness.record_read(later, 1_000);

    freshness.record_proof(&proof(9, 0, 0), 2_000);

    assert_eq!(freshness.lacking_for_ms(2_000), None);
    assert_eq!(freshness.age_ms(2_000), Some(1_000));
}

/// Guards against routers in calm whose table counts as outdated between two replies, for
/// each of the platform's bounds.
#[test]
fn tables_stay_current_in_calm() {
    const PAUSE_MS: u64 = 100;
    const REPLY_MS: u64 = 50;
    for apply_within_ms in [MIN_APPLY_WITHIN_MS, 2_000, 3_000, 4_000, 60_000] {
        let timing = TableTiming::new(apply_within_ms);
        let age_before_reply =
            |watch_ms: u64| (watch_ms + REPLY_MS + PAUSE_MS) + watch_ms + REPLY_MS;
        let relay_age_ms = age_before_reply(timing.watch_ms(true));
        // The next reply to a call for the servers' entries brings the proof.
        let follower_age_ms = relay_age_ms + 500 + REPLY_MS;

        assert!(age_before_reply(timing.watch_ms(false)) <= timing.max_age_ms());
        assert!(relay_age_ms <= timing.max_relay_age_ms());
        assert!(follower_age_ms <= timing.max_age_ms());
    }
}

/// A reply that is under way to a router.
#[derive(Clone, Copy)]
enum Reply {
    /// The table up to this revision, read by a call sent at a time.
    Read { revision: u64, sent_ms: u64 },
    /// A relay's proof, and the table up to this revision if the call asked for it.
    Relayed {
        table: Option<u64>,
        proof: Option<TableProof>,
        sent_ms: u64,
    },
}

/// A router and the replies to its calls, each with the time of its arrival.
#[derive(Default)]
struct SimulatedRouter {
    freshness: TableFreshness,
    /// The last revision up to which the table has been read.
    revision: u64,
    replies: VecDeque<(u64, Reply)>,
    /// How far this router's clock is ahead of the store's, in milliseconds.
    offset_ms: u64,
}

impl SimulatedRouter {
    fn apply_replies(&mut self, now_ms: u64) {
        let (due, left) = self
            .replies
            .drain(..)
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.replies = left;
        let due: VecDeque<(u64, Reply)> = due;
        for (_, reply) in due {
            match reply {
                Reply::Read { revision, sent_ms } => {
                    self.revision = self.revision.max(revision);
                    self.freshness.record_read(position(revision), sent_ms);
                }
                Reply::Relayed {
                    table,
                    proof,
                    sent_ms,
                } => {
                    if let Some(revision) = table {
                        self.revision = self.revision.max(revision);
                        self.freshness.record_position(position(revision));
                    }
                    if let Some(proof) = proof {
                        self.freshness.record_proof(&proof, sent_ms);
                    }
                }
            }
        }
    }
}

/// Plays a random history of one relay, two followers, slow and lost replies, and changes of
/// the table and of other keys. Asserts that no router ever counts its table as current
/// that lacks a change confirmed longer ago than the bound. Returns how often a router's
/// table counted as current.
fn play(seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let max_age_ms = TableTiming::new(2_000).max_age_ms();
    let mut routers: Vec<SimulatedRouter> = (0..3)
        .map(|_| SimulatedRouter {
            offset_ms: rng.random_range(0..100_000),
            ..SimulatedRouter::default()
        })
        .collect();
    // The store's revision, and its changes of the table with their times.
    let (mut revision, mut changes) = (1_u64, vec![(0_u64, 1_u64)]);
    let last_change = |changes: &[(u64, u64)], upto: u64| {
        let known = changes.iter().rev().find(|(_, at)| *at <= upto);
        known.map_or(0, |(_, at)| *at)
    };
    let mut current = 0;
    for now_ms in (0..60_000).step_by(10) {
        if rng.random_bool(0.05) {
            revision += 1;
        }
        if rng.random_bool(0.004) {
            revision += 1;
            changes.push((now_ms, revision));
        }
        for router in &mut routers {
            router.apply_replies(now_ms);
        }
        for number in 0..routers.len() {
            if !rng.random_bool(0.02) || rng.random_bool(0.3) {
                continue;
            }
            // The call is evaluated some time after it was sent, and its reply takes longer.
            let evaluated_ms = now_ms + rng.random_range(0..800);
            let held_ms = rng.random_range(0..=evaluated_ms - now_ms);
            let longest_ms = if rng.random_bool(0.2) { 4_000 } else { 300 };
            let arrives_ms = evaluated_ms + rng.random_range(0..longest_ms);
            let local_ms = now_ms + routers[number].offset_ms;
            let reply = if number == 0 || rng.random_bool(0.1) {
                // What the store knows now is less than at the time of its reply.
                Reply::Read {
                    revision,
                    sent_ms: local_ms,
                }
            } else {
                let relay = &routers[0];
                let relay_ms = now_ms + relay.offset_ms;
                // The relay replies now, having held a call that was sent earlier.
                let sent_ms = local_ms.saturating_sub(held_ms + rng.random_range(0..50));
                Reply::Relayed {
                    table: rng.random_bool(0.4).then_some(relay.revision),
                    proof: relay.freshness.age_ms(relay_ms).map(|age_ms| TableProof {
                        changed: position(last_change(&changes, relay.revision)),
                        age_ms,
                        held_ms,
                    }),
                    sent_ms,
                }
            };
            routers[number].replies.push_back((arrives_ms, reply));
        }
        for (number, router) in routers.iter().enumerate() {
            if !router
                .freshness
                .is_current(max_age_ms, now_ms + router.offset_ms)
            {
                continue;
            }
            current += 1;
            let due = changes
                .iter()
                .rev()
                .find(|(at_ms, _)| at_ms + max_age_ms < now_ms);
            let due = due.map_or(0, |(_, at)| *at);
            assert!(
                router.revision >= due,
                "seed {seed}, {now_ms} ms: router {number} lacks revision {due}, has {}",
                router.revision
            );
        }
    }
    current
}

/// Guards against CONFIG: in no history of watches, relays and lost or slow replies does a
/// router refuse for good what the table has in which a change is due.
#[test]
fn no_history_makes_an_outdated_table_current() {
    let current: u64 = (0..300).map(play).sum();

    let times = 300 * 3 * 6_000;
    assert!(
        current > times / 4,
        "tables were hardly ever current: {current} of {times}"
    );
}
