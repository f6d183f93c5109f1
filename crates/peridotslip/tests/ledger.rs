//! Random histories of local ledgers and a shard record, checked against an
//! independent count of the spent tokens.
//!
//! The histories guard against overspending, lost or duplicate bills and
//! claims with two holders. They arise when messages are lost, repeated or
//! reordered and when processes restart.

use std::collections::{BTreeMap, BTreeSet};

use peridotslip::{
    ledger::{Claim, Report, ReportReply, SettlementStatus},
    prelude::*,
};
use proptest::prelude::*;

const BUDGET: &str = "muscat";
/// The number of idempotency keys in a history.
const KEYS: u128 = 4;

/// One event of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Reserve {
        ledger: usize,
        tokens: u64,
    },
    Settle {
        ledger: usize,
        part: u64,
        key: Option<u128>,
    },
    Cancel {
        ledger: usize,
    },
    /// A local ledger sends a report.
    Report {
        ledger: usize,
    },
    /// A sent report is applied, again if it had been applied before. The record
    /// is stored, or the compare-and-swap fails.
    Apply {
        message: usize,
        stored: bool,
    },
    /// A reply arrives, possibly again.
    Accept {
        reply: usize,
    },
    Claim {
        ledger: usize,
        key: u128,
    },
    TopUp {
        by: u64,
    },
    /// A process dies, and another incarnation replaces it. The record may
    /// release the grants of the dead one.
    Restart {
        ledger: usize,
        released: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let ledger = 0..3_usize;
    prop_oneof![
        4 => (ledger.clone(), 1..200_u64).prop_map(|(ledger, tokens)| Step::Reserve { ledger, tokens }),
        4 => (ledger.clone(), 0..=100_u64, proptest::option::of(0..KEYS))
            .prop_map(|(ledger, part, key)| Step::Settle { ledger, part, key }),
        1 => ledger.clone().prop_map(|ledger| Step::Cancel { ledger }),
        6 => ledger.clone().prop_map(|ledger| Step::Report { ledger }),
        8 => (0..64_usize, prop::bool::weighted(0.8))
            .prop_map(|(message, stored)| Step::Apply { message, stored }),
        8 => (0..64_usize).prop_map(|reply| Step::Accept { reply }),
        2 => (ledger.clone(), 0..KEYS).prop_map(|(ledger, key)| Step::Claim { ledger, key }),
        1 => (1..500_u64).prop_map(|by| Step::TopUp { by }),
        1 => (ledger, any::<bool>()).prop_map(|(ledger, released)| Step::Restart { ledger, released }),
    ]
}

/// Three processes, the stored record, all messages ever sent, any of which may
/// arrive at any time, and an independent count of the spent tokens.
struct World {
    ledgers: Vec<LocalLedger>,
    reservations: Vec<Vec<Reservation>>,
    record: ShardRecord,
    reports: Vec<Report>,
    replies: Vec<ReportReply>,
    paid: u64,
    next_incarnation: u128,
    /// Tokens that processes have spent, by incarnation, reported or not.
    spent: BTreeMap<Incarnation, u64>,
    /// Incarnations and attempts that were granted a claim, by key.
    claimants: BTreeMap<u128, BTreeSet<(Incarnation, u64)>>,
    attempts: u64,
    now_ms: u64,
}

fn world(paid: u64) -> World {
    World {
        ledgers: (0..3)
            .map(|id| LocalLedger::new(Incarnation::from(id)))
            .collect(),
        reservations: vec![Vec::new(), Vec::new(), Vec::new()],
        record: ShardRecord::default(),
        reports: Vec::new(),
        replies: Vec::new(),
        paid,
        next_incarnation: 3,
        spent: BTreeMap::new(),
        claimants: BTreeMap::new(),
        attempts: 0,
        now_ms: 0,
    }
}

impl World {
    fn apply_step(&mut self, step: Step) {
        self.now_ms += 10;
        match step {
            Step::Reserve { ledger, tokens } => {
                self.ledgers[ledger].set_paid(&BUDGET.into(), self.paid);
                let result = self.ledgers[ledger].reserve(&BUDGET.into(), tokens, self.now_ms);
                if let ReserveResult::Reserved(reservation) = result {
                    self.reservations[ledger].push(reservation);
                }
            }
            Step::Settle { ledger, part, key } => {
                if let Some(reservation) = self.reservations[ledger].pop() {
                    let tokens = reservation.tokens() * part / 100;
                    let incarnation = self.ledgers[ledger].incarnation();
                    *self.spent.entry(incarnation).or_default() += tokens;
                    let bill = Bill::new(key.map(IdempotencyKey::from), tokens);
                    self.ledgers[ledger].settle(reservation, bill, self.now_ms);
                }
            }
            Step::Cancel { ledger } => {
                if let Some(reservation) = self.reservations[ledger].pop() {
                    self.ledgers[ledger].cancel(reservation);
                }
            }
            Step::Report { ledger } => {
                let report = self.ledgers[ledger].report(self.now_ms);
                self.reports.push(report);
            }
            Step::Apply { message, stored } => self.apply(message, stored),
            Step::Accept { reply } => {
                if !self.replies.is_empty() {
                    let reply = self.replies[reply % self.replies.len()].clone();
                    self.accept(&reply);
                }
            }
            Step::Claim { ledger, key } => {
                self.attempts += 1;
                self.ledgers[ledger].claim(Claim {
                    key: IdempotencyKey::from(key + 1_000),
                    attempt: self.attempts,
                    fingerprint: Fingerprint::from(1),
                });
            }
            Step::TopUp { by } => self.paid += by,
            Step::Restart { ledger, released } => {
                let old = self.ledgers[ledger].incarnation();
                self.ledgers[ledger] = LocalLedger::new(Incarnation::from(self.next_incarnation));
                self.next_incarnation += 1;
                self.reservations[ledger].clear();
                if released {
                    self.record.release(old, self.now_ms);
                }
            }
        }
    }

    fn apply(&mut self, message: usize, stored: bool) {
        if self.reports.is_empty() {
            return;
        }
        let report = &self.reports[message % self.reports.len()];
        let mut next = self.record.clone();
        let reply = next.apply(report, self.now_ms);
        if stored {
            self.record = ShardRecord::decode(&next.encode()).expect("the encoded record decodes");
            self.replies.push(reply);
        }
    }

    fn accept(&mut self, reply: &ReportReply) {
        let ledger = self
            .ledgers
            .iter_mut()
            .find(|ledger| ledger.incarnation() == reply.incarnation);
        let Some(ledger) = ledger else { return };
        for (claim, status) in ledger.accept(reply).claims {
            if status == ClaimStatus::Granted {
                let claimants = self.claimants.entry(claim.key.value()).or_default();
                claimants.insert((reply.incarnation, claim.attempt));
            }
        }
    }

    fn check(&self) {
        let Some(account) = self.record.account(&BUDGET.into()) else {
            return;
        };
        let spent: u64 = self.spent.values().sum();
        assert!(
            account.paid <= self.paid,
            "the record's paid amount exceeds the actual one"
        );
        assert_eq!(
            account.overspend(),
            0,
            "settled and granted tokens exceed the paid amount"
        );
        assert!(
            account.settled <= spent,
            "billed {} of {spent} spent",
            account.settled
        );
        for (key, claimants) in &self.claimants {
            assert!(claimants.len() <= 1, "key {key} may run at {claimants:?}");
        }
    }

    /// Cancels all reservations and exchanges the closing reports.
    fn drain(&mut self) {
        for ledger in 0..self.ledgers.len() {
            while let Some(reservation) = self.reservations[ledger].pop() {
                self.ledgers[ledger].cancel(reservation);
            }
            self.ledgers[ledger].close();
            let report = self.ledgers[ledger].report(self.now_ms);
            let reply = self.record.apply(&report, self.now_ms);
            self.accept(&reply);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_history_overspends_or_grants_a_claim_twice(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut world = world(1_000);
        for step in steps {
            world.apply_step(step);
            world.check();
        }
        world.drain();
        world.check();
    }

    #[test]
    fn without_restarts_every_key_is_billed_exactly_once(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut world = world(1_000);
        let mut unkeyed = 0;
        let mut keyed: BTreeMap<u128, Vec<u64>> = BTreeMap::new();
        for step in steps {
            if matches!(step, Step::Restart { .. }) {
                continue;
            }
            if let Step::Settle { ledger, part, key } = &step
                && let Some(reservation) = world.reservations[*ledger].last() {
                    let tokens = reservation.tokens() * part / 100;
                    match key {
                        Some(key) => keyed.entry(*key).or_default().push(tokens),
                        None => unkeyed += tokens,
                    }
                }
            world.apply_step(step);
        }
        world.drain();
        let settled = world.record.account(&BUDGET.into()).map_or(0, |account| account.settled);
        let outstanding = world.record.account(&BUDGET.into()).map_or(0, peridotslip::ledger::Account::outstanding);
        prop_assert_eq!(outstanding, 0);
        let min_billed: u64 = keyed.values().filter_map(|bills| bills.iter().min()).sum();
        let max_billed: u64 = keyed.values().filter_map(|bills| bills.iter().max()).sum();
        prop_assert!(settled >= unkeyed + min_billed, "{settled} < {unkeyed} + {min_billed}");
        prop_assert!(settled <= unkeyed + max_billed, "{settled} > {unkeyed} + {max_billed}");
    }
}

#[test]
fn a_settlement_after_release_of_its_grant_bills_only_free_tokens() {
    let budget = BudgetName::from(BUDGET);
    let mut record = ShardRecord::default();
    let mut late = LocalLedger::new(Incarnation::from(1));
    late.set_paid(&budget, 100);
    assert_eq!(late.reserve(&budget, 60, 0), ReserveResult::Insufficient);
    let reply = record.apply(&late.report(0), 0);
    late.accept(&reply);
    let ReserveResult::Reserved(reservation) = late.reserve(&budget, 60, 1) else {
        panic!("60 of 100 tokens are granted");
    };
    late.settle(reservation, Bill::new(None, 60), 2);
    record.release(Incarnation::from(1), 3);
    let mut other = LocalLedger::new(Incarnation::from(2));
    assert_eq!(other.reserve(&budget, 90, 4), ReserveResult::Insufficient);
    let reply = record.apply(&other.report(4), 4);
    other.accept(&reply);

    let reply = record.apply(&late.report(5), 5);

    assert_eq!(reply.settled, [(1, SettlementStatus::Unbillable)]);
    let account = record
        .account(&budget)
        .expect("a report has named the budget");
    assert_eq!((account.overspend(), account.settled), (0, 10));
}

#[test]
fn keys_are_bounded_and_claims_are_never_evicted() {
    const MAX_KEYS: usize = 25_000;
    let mut record = ShardRecord::default();
    let claim = |number: u128| Claim {
        key: IdempotencyKey::from(number),
        attempt: 1,
        fingerprint: Fingerprint::from(1),
    };
    let claims = |from: u128, to: u128| Report {
        incarnation: Incarnation::from(1),
        claims: (from..to).map(claim).collect(),
        ..Report::default()
    };
    let mut ledger = LocalLedger::new(Incarnation::from(2));
    ledger.set_paid(&BUDGET.into(), 1_000_000);
    assert_eq!(
        ledger.reserve(&BUDGET.into(), 100_000, 0),
        ReserveResult::Insufficient
    );
    let reply = record.apply(&ledger.report(0), 0);
    ledger.accept(&reply);
    for number in 0..20_000 {
        let ReserveResult::Reserved(reservation) = ledger.reserve(&BUDGET.into(), 1, 1) else {
            panic!("the tokens were granted");
        };
        let key = IdempotencyKey::from(1_000_000 + number);
        ledger.settle(reservation, Bill::new(Some(key), 1), 1);
    }
    record.apply(&ledger.report(1), 1);

    let mut limit_reached = 0;
    for from in (0..30_000).step_by(1_000) {
        record.expire();
        let reply = record.apply(&claims(from, from + 1_000), 2);
        limit_reached += reply
            .claims
            .iter()
            .filter(|(_, status)| *status == ClaimStatus::KeyLimitReached)
            .count();
    }

    assert_eq!(record.key_count(), MAX_KEYS);
    assert!(
        record.encode().len() < 1_000_000,
        "{} bytes",
        record.encode().len()
    );
    assert!((0..25_000).all(|number| record.key(IdempotencyKey::from(number)).is_some()));
    assert_eq!(limit_reached, 5_000);
}

#[test]
fn claimed_keys_are_retained_for_two_hours() {
    let (minute, hour) = (60_000, 3_600_000);
    let mut record = ShardRecord::default();
    let claim = Claim {
        key: IdempotencyKey::from(1),
        attempt: 1,
        fingerprint: Fingerprint::from(1),
    };
    record.apply(
        &Report {
            incarnation: Incarnation::from(1),
            claims: vec![claim],
            ..Report::default()
        },
        0,
    );
    let is_retained_at = |record: &mut ShardRecord, now_ms: u64| {
        record.release(Incarnation::from(9), now_ms);
        record.expire();
        record.key(IdempotencyKey::from(1)).is_some()
    };

    assert!(is_retained_at(&mut record, hour + 50 * minute));
    assert!(!is_retained_at(&mut record, 2 * hour + minute));
}
