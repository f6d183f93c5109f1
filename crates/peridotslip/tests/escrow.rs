//! Random histories of local ledgers that transfer tokens to each other and
//! use their grants up to witnessed ceilings, checked against an independent
//! count of the used tokens.
//!
//! The histories guard against spending tokens twice. This could happen if a
//! transfer counted twice, or if tokens that a killed process had used were
//! reclaimed.

use peridotslip::{
    ledger::{
        Account, GrantTransfer, RefillPolicy, Report, ReportReply, WitnessSets, WitnessedCeilings,
    },
    prelude::*,
};
use proptest::prelude::*;

const BUDGET: &str = "muscat";
const ROUTERS: usize = 4;
const WITNESSES: usize = 2;
const PAID: u64 = 600;
/// The tokens by which a raised ceiling exceeds the needed one.
const CEILING_STEP: u64 = 40;

/// One event of a history. Its fields and variants keep their names, because
/// `escrow.proptest-regressions` shows failed histories in `Debug` form.
#[derive(Clone, Copy, Debug)]
enum Step {
    Reserve {
        router: usize,
        tokens: u64,
        /// The index of the witness in each set that records a raised ceiling.
        noted_by: usize,
    },
    Settle {
        router: usize,
        part: u64,
    },
    /// A transfer is issued.
    Lend {
        from: usize,
        to: usize,
        tokens: u64,
    },
    /// A transfer arrives, possibly again.
    Borrow {
        message: usize,
    },
    Report {
        router: usize,
    },
    /// A report is sent and applied, and its reply accepted, without events in
    /// between.
    Exchange {
        router: usize,
    },
    /// A report is applied, and the record is stored.
    Apply {
        message: usize,
    },
    /// A reply arrives, possibly again.
    Accept {
        message: usize,
    },
    /// A router chooses new witnesses.
    Rechoose {
        router: usize,
        noted_by: usize,
        skipped: usize,
    },
    /// A router that reaches no other names no witnesses.
    DropWitnesses {
        router: usize,
    },
    /// A process dies, and another incarnation replaces it.
    Kill {
        router: usize,
    },
    /// The owner reclaims the unused grant of a dead router, if all witnesses
    /// report their sealed ceilings.
    Release {
        dead: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let router = || 0..ROUTERS;
    prop_oneof![
        6 => (router(), 1..150_u64, 0..WITNESSES)
            .prop_map(|(router, tokens, noted_by)| Step::Reserve { router, tokens, noted_by }),
        5 => (router(), 0..=100_u64).prop_map(|(router, part)| Step::Settle { router, part }),
        3 => (router(), router(), 1..300_u64)
            .prop_map(|(from, to, tokens)| Step::Lend { from, to, tokens }),
        4 => (0..32_usize).prop_map(|message| Step::Borrow { message }),
        10 => router().prop_map(|router| Step::Exchange { router }),
        2 => router().prop_map(|router| Step::Report { router }),
        3 => (0..64_usize).prop_map(|message| Step::Apply { message }),
        3 => (0..64_usize).prop_map(|message| Step::Accept { message }),
        2 => (router(), 0..WITNESSES, 1..ROUTERS)
            .prop_map(|(router, noted_by, skipped)| Step::Rechoose { router, noted_by, skipped }),
        1 => router().prop_map(|router| Step::DropWitnesses { router }),
        1 => router().prop_map(|router| Step::Kill { router }),
        3 => (0..16_usize).prop_map(|dead| Step::Release { dead }),
    ]
}

/// A router process, also as a witness of others.
struct Process {
    incarnation: Incarnation,
    ledger: LocalLedger,
    witnesses: WitnessSets,
    ceilings: WitnessedCeilings,
    reservations: Vec<Reservation>,
}

impl Process {
    fn new(number: u128) -> Self {
        let incarnation = Incarnation::from(number);
        let refill_policy = RefillPolicy {
            horizon_ms: 0,
            prefetch_percent: 100,
            min_headroom_percent: 30,
            max_headroom_percent: 100,
            ..RefillPolicy::default()
        };
        let mut ledger = LocalLedger::new(incarnation).with_refill_policy(refill_policy);
        ledger.set_paid(&BUDGET.into(), PAID);
        Self {
            incarnation,
            ledger,
            witnesses: WitnessSets::default(),
            ceilings: WitnessedCeilings::default(),
            reservations: Vec::new(),
        }
    }
}

/// The reports that a process sent to the record: its own, and those on closed
/// transfers.
#[derive(Clone)]
struct Sent {
    from: Incarnation,
    own: Report,
    transfers: Vec<Report>,
}

/// The record's replies to the reports in [`Sent`].
struct Replied {
    to: Incarnation,
    own: ReportReply,
    transfers: Vec<ReportReply>,
}

/// The processes, the record and the messages, any of which may arrive at any
/// time.
struct World {
    processes: Vec<Process>,
    dead: Vec<Incarnation>,
    next_number: u128,
    record: ShardRecord,
    sent: Vec<Sent>,
    replied: Vec<Replied>,
    transfers: Vec<(Incarnation, GrantTransfer)>,
    /// Tokens that have been used, and those that requests of dead processes may
    /// have used.
    used: u64,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            processes: (0..ROUTERS as u128).map(Process::new).collect(),
            dead: Vec::new(),
            next_number: ROUTERS as u128,
            record: ShardRecord::default(),
            sent: Vec::new(),
            replied: Vec::new(),
            transfers: Vec::new(),
            used: 0,
        };
        for router in 0..ROUTERS {
            world.choose_witnesses(router, 0, 1);
        }
        world
    }

    fn is_running(&self, incarnation: Incarnation) -> bool {
        self.processes
            .iter()
            .any(|process| process.incarnation == incarnation)
    }

    fn process(&mut self, incarnation: Incarnation) -> Option<&mut Process> {
        self.processes
            .iter_mut()
            .find(|process| process.incarnation == incarnation)
    }

    /// Records a ceiling for `holder` at `witness`. Returns `false` if the
    /// witness does not run or has sealed the ceiling.
    fn record_ceiling(&mut self, holder: Incarnation, witness: Incarnation, ceiling: u64) -> bool {
        let witness = self.process(witness);
        witness.is_some_and(|witness| witness.ceilings.raise(holder, BUDGET.into(), ceiling))
    }

    /// Raises the ceiling of a router if one witness of each required set records
    /// it.
    fn raise(&mut self, router: usize, needed: u64, noted_by: usize) {
        let holder = self.processes[router].incarnation;
        let sets = self.processes[router]
            .witnesses
            .required(|witness| self.is_running(witness));
        if sets.is_empty() {
            let ledger = &mut self.processes[router].ledger;
            ledger.set_ceiling(&BUDGET.into(), None);
            return;
        }
        let ceiling = needed + CEILING_STEP;
        let recorded = sets
            .iter()
            .all(|set| self.record_ceiling(holder, set[noted_by % set.len()], ceiling));
        if recorded {
            let ledger = &mut self.processes[router].ledger;
            ledger.raise_ceiling(&BUDGET.into(), ceiling);
        }
    }

    /// Chooses witnesses among the other processes, except the one at offset
    /// `skipped`.
    fn choose_witnesses(&mut self, router: usize, noted_by: usize, skipped: usize) {
        let budget = BudgetName::from(BUDGET);
        let holder = self.processes[router].incarnation;
        let chosen: Vec<Incarnation> = (1..ROUTERS)
            .filter(|offset| *offset != skipped)
            .take(WITNESSES)
            .map(|offset| self.processes[(router + offset) % ROUTERS].incarnation)
            .collect();
        let (used, current) = self.processes[router].ledger.max_used(&budget);
        let ceiling = current.unwrap_or(0).max(used + CEILING_STEP);
        if !self.record_ceiling(holder, chosen[noted_by], ceiling) {
            return;
        }
        let process = &mut self.processes[router];
        process
            .ledger
            .set_ceiling(&budget, Some(current.unwrap_or(ceiling)));
        process.ledger.set_witnesses(chosen.clone());
        process.witnesses.push(chosen);
    }

    fn apply(&mut self, message: usize) {
        if self.sent.is_empty() {
            return;
        }
        let sent = self.sent[message % self.sent.len()].clone();
        let transfers = sent
            .transfers
            .iter()
            .map(|report| self.record.apply(report, 0))
            .collect();
        self.replied.push(Replied {
            to: sent.from,
            own: self.record.apply(&sent.own, 0),
            transfers,
        });
    }

    fn accept(&mut self, message: usize) {
        if self.replied.is_empty() {
            return;
        }
        let at = message % self.replied.len();
        let to = self.replied[at].to;
        let own = self.replied[at].own.clone();
        let transfers = self.replied[at].transfers.clone();
        if let Some(process) = self.process(to) {
            for reply in &transfers {
                process.ledger.accept_transfer_reply(reply);
            }
            process.ledger.accept(&own);
            if process.ledger.witness_set_confirmed() {
                process.witnesses.confirm_newest();
            }
        }
    }

    fn kill(&mut self, router: usize) {
        let process = Process::new(self.next_number);
        self.next_number += 1;
        let dead = std::mem::replace(&mut self.processes[router], process);
        self.used += dead.ledger.reserved();
        self.dead.push(dead.incarnation);
        self.choose_witnesses(router, 0, 1);
    }

    fn reclaim(&mut self, dead: usize) {
        if self.dead.is_empty() {
            return;
        }
        let dead = self.dead[dead % self.dead.len()];
        let budget = BudgetName::from(BUDGET);
        let holders = self.record.holders(&budget);
        let Some(holder) = holders.iter().find(|holder| holder.incarnation == dead) else {
            return;
        };
        if holder.witnesses.is_empty() {
            return;
        }
        let mut ceiling = 0;
        for witness in &holder.witnesses {
            let Some(witness) = self.process(*witness) else {
                return;
            };
            ceiling = ceiling.max(witness.ceilings.seal(dead, &budget));
        }
        self.record.reclaim_unused(dead, &budget, ceiling);
        // The dead router wrote its reports by compare-and-swap, which fails
        // once the record has changed.
        self.sent.retain(|sent| sent.from != dead);
    }

    fn apply_step(&mut self, step: Step) {
        let budget = BudgetName::from(BUDGET);
        match step {
            Step::Reserve {
                router,
                tokens,
                noted_by,
            } => {
                let ledger = &mut self.processes[router].ledger;
                match ledger.reserve(&budget, tokens, 0) {
                    ReserveResult::Reserved(held) => self.processes[router].reservations.push(held),
                    ReserveResult::CeilingTooLow(needed) => self.raise(router, needed, noted_by),
                    ReserveResult::Insufficient => {}
                }
            }
            Step::Settle { router, part } => {
                let process = &mut self.processes[router];
                if let Some(reservation) = process.reservations.pop() {
                    let tokens = reservation.tokens() * part / 100;
                    self.used += tokens;
                    process
                        .ledger
                        .settle(reservation, Bill::new(None, tokens), 0);
                }
            }
            Step::Lend { from, to, tokens } => {
                let transfer = self.processes[from].ledger.transfer_out(&budget, tokens);
                let to = self.processes[to].incarnation;
                self.transfers
                    .extend(transfer.map(|transfer| (to, transfer)));
            }
            Step::Borrow { message } => {
                let at = message % self.transfers.len().max(1);
                if let Some((to, transfer)) = self.transfers.get(at).cloned()
                    && let Some(process) = self.process(to)
                {
                    process.ledger.transfer_in(transfer);
                }
            }
            Step::Report { router } => {
                let process = &mut self.processes[router];
                process.ledger.close_transfers();
                let transfers = process.ledger.transfer_reports();
                let own = process.ledger.report(0);
                let from = process.incarnation;
                self.sent.push(Sent {
                    from,
                    own,
                    transfers,
                });
            }
            Step::Exchange { router } => {
                self.apply_step(Step::Report { router });
                self.apply(self.sent.len() - 1);
                self.accept(self.replied.len() - 1);
            }
            Step::Apply { message } => self.apply(message),
            Step::Accept { message } => self.accept(message),
            Step::Rechoose {
                router,
                noted_by,
                skipped,
            } => {
                // A router chooses new witnesses only once the record names the
                // last ones.
                if self.processes[router].witnesses.required(|_| true).len() < 2 {
                    self.choose_witnesses(router, noted_by, skipped);
                }
            }
            Step::DropWitnesses { router } => {
                let process = &mut self.processes[router];
                if process.witnesses.required(|_| true).len() < 2 {
                    process.ledger.set_witnesses(Vec::new());
                    process.witnesses.push(Vec::new());
                }
            }
            Step::Kill { router } => self.kill(router),
            Step::Release { dead } => self.reclaim(dead),
        }
    }

    /// Returns an upper bound on the tokens that can be used: the used ones,
    /// those outstanding at any process and those free at the record.
    fn max_usable(&self) -> u64 {
        let budget = BudgetName::from(BUDGET);
        let outstanding: u64 = self
            .processes
            .iter()
            .map(|process| process.ledger.outstanding(&budget))
            .sum();
        let free = self.record.account(&budget).map_or(PAID, Account::free);
        self.used + outstanding + free
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn no_history_of_transfers_and_kills_overspends(
        steps in proptest::collection::vec(step(), 20..250)
    ) {
        let mut world = World::new();
        for step in steps {
            world.apply_step(step);
            let max_usable = world.max_usable();
            prop_assert!(max_usable <= PAID, "{max_usable} of {PAID} can be used");
            let account = world.record.account(&BUDGET.into());
            prop_assert_eq!(account.map_or(0, Account::overspend), 0);
        }
    }
}

/// Returns a new record and a local ledger with a grant of `tokens` from it.
fn granted(number: u128, tokens: u64) -> (ShardRecord, LocalLedger) {
    let budget = BudgetName::from(BUDGET);
    let mut record = ShardRecord::default();
    let mut ledger = LocalLedger::new(Incarnation::from(number));
    ledger.set_paid(&budget, PAID);
    assert_eq!(
        ledger.reserve(&budget, tokens, 0),
        ReserveResult::Insufficient
    );
    let reply = record.apply(&ledger.report(0), 0);
    ledger.accept(&reply);
    (record, ledger)
}

#[test]
fn a_closed_transfer_settles_spent_tokens_and_frees_the_rest() {
    let budget = BudgetName::from(BUDGET);
    let (mut record, mut issuer) = granted(1, 500);
    let mut receiver = LocalLedger::new(Incarnation::from(2));
    let transfer = issuer.transfer_out(&budget, 300).unwrap();

    assert!(receiver.transfer_in(transfer.clone()));
    assert!(!receiver.transfer_in(transfer), "a transfer counts once");
    let ReserveResult::Reserved(reservation) = receiver.reserve(&budget, 200, 0) else {
        panic!("received tokens are spendable");
    };
    receiver.settle(reservation, Bill::new(None, 120), 0);
    let free = record.account(&budget).unwrap().free();
    receiver.close_transfers();
    for report in receiver.transfer_reports() {
        let reply = record.apply(&report, 0);
        receiver.accept_transfer_reply(&reply);
    }

    let account = record.account(&budget).unwrap();
    assert_eq!(account.settled, 120);
    assert_eq!(account.free(), free + 180);
    assert!(receiver.transfer_reports().is_empty());
}

#[test]
fn a_ceiling_frees_the_unused_grant_of_a_dead_router() {
    let budget = BudgetName::from(BUDGET);
    let (mut record, _) = granted(1, 500);
    let before = record.account(&budget).unwrap().free();

    let freed = record.reclaim_unused(Incarnation::from(1), &budget, 150);

    assert_eq!(freed, 350);
    assert_eq!(record.account(&budget).unwrap().free(), before + 350);
    assert_eq!(record.reclaim_unused(Incarnation::from(1), &budget, 150), 0);
}

#[test]
fn no_tokens_are_used_beyond_the_ceiling() {
    let budget = BudgetName::from(BUDGET);
    let (_, mut ledger) = granted(1, 500);
    ledger.set_ceiling(&budget, Some(100));

    assert_eq!(
        ledger.reserve(&budget, 150, 0),
        ReserveResult::CeilingTooLow(150)
    );
    assert!(
        ledger
            .transfer_out(&budget, 400)
            .is_some_and(|transfer| transfer.tokens == 100)
    );
    ledger.raise_ceiling(&budget, 300);

    assert!(matches!(
        ledger.reserve(&budget, 150, 0),
        ReserveResult::Reserved(_)
    ));
}

#[test]
fn a_sealed_ceiling_is_never_raised() {
    let mut ceilings = WitnessedCeilings::default();
    let (holder, budget) = (Incarnation::from(1), BudgetName::from(BUDGET));
    assert!(ceilings.raise(holder, budget.clone(), 100));
    assert!(ceilings.raise(holder, budget.clone(), 60));

    assert_eq!(ceilings.seal(holder, &budget), 100);

    assert!(!ceilings.raise(holder, budget, 200));
}

#[test]
fn headroom_is_limited_to_max_headroom_percent() {
    let budget = BudgetName::from(BUDGET);
    let mut record = ShardRecord::default();
    let refill_policy = RefillPolicy {
        horizon_ms: 10_000,
        prefetch_percent: 100,
        min_headroom_percent: 60,
        max_headroom_percent: 25,
        ..RefillPolicy::default()
    };
    let mut ledger = LocalLedger::new(Incarnation::from(1)).with_refill_policy(refill_policy);
    ledger.set_paid(&budget, PAID);

    let reply = record.apply(&ledger.report(0), 0);
    ledger.accept(&reply);

    assert_eq!(ledger.spendable(&budget), PAID / 4);
}
