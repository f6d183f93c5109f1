//! Histories of local ledgers that lend to each other and are witnessed, with kills
//! at any moment, against an independent account of the money.

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
/// How far ahead of the need a ceiling is raised.
const STEP: u64 = 40;

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Step {
    Reserve {
        router: usize,
        tokens: u64,
        noted_by: usize,
    },
    Settle {
        router: usize,
        part: u64,
    },
    Lend {
        from: usize,
        to: usize,
        tokens: u64,
    },
    /// A transfer arrives; it may arrive again.
    Borrow {
        message: usize,
    },
    Report {
        router: usize,
    },
    /// A report is sent, applied and answered with nothing in between.
    Exchange {
        router: usize,
    },
    /// A report is applied, and the record is stored.
    Apply {
        message: usize,
    },
    /// A reply arrives; it may arrive again.
    Accept {
        message: usize,
    },
    Rechoose {
        router: usize,
        noted_by: usize,
        skipped: usize,
    },
    Kill {
        router: usize,
    },
    /// The home frees what a dead router held, if its witnesses tell.
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
        1 => router().prop_map(|router| Step::Kill { router }),
        3 => (0..16_usize).prop_map(|dead| Step::Release { dead }),
    ]
}

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

/// What a process sent to the record: its own report, and those on transfers.
#[derive(Clone)]
struct Sent {
    from: Incarnation,
    own: Report,
    transfers: Vec<Report>,
}

struct Replied {
    to: Incarnation,
    own: ReportReply,
    transfers: Vec<ReportReply>,
}

struct World {
    processes: Vec<Process>,
    dead: Vec<Incarnation>,
    next_number: u128,
    record: ShardRecord,
    sent: Vec<Sent>,
    replied: Vec<Replied>,
    transfers: Vec<(Incarnation, GrantTransfer)>,
    /// Tokens that have certainly been used, and those that requests of dead
    /// processes may have used.
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
            world.rechoose(router, 0, 1);
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

    /// One of `witnesses` notes a ceiling for `holder`.
    fn note(&mut self, holder: Incarnation, witness: Incarnation, ceiling: u64) -> bool {
        let witness = self.process(witness);
        witness.is_some_and(|witness| witness.ceilings.raise(holder, BUDGET.into(), ceiling))
    }

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
        let ceiling = needed + STEP;
        let noted = sets
            .iter()
            .all(|set| self.note(holder, set[noted_by % set.len()], ceiling));
        if noted {
            let ledger = &mut self.processes[router].ledger;
            ledger.raise_ceiling(&BUDGET.into(), ceiling);
        }
    }

    /// Chooses witnesses among the others, but for the one at offset `skipped`.
    fn rechoose(&mut self, router: usize, noted_by: usize, skipped: usize) {
        let budget = BudgetName::from(BUDGET);
        let holder = self.processes[router].incarnation;
        let chosen: Vec<Incarnation> = (1..ROUTERS)
            .filter(|offset| *offset != skipped)
            .take(WITNESSES)
            .map(|offset| self.processes[(router + offset) % ROUTERS].incarnation)
            .collect();
        let (used, held) = self.processes[router].ledger.max_used(&budget);
        let ceiling = held.unwrap_or(0).max(used + STEP);
        if !self.note(holder, chosen[noted_by], ceiling) {
            return;
        }
        let process = &mut self.processes[router];
        process
            .ledger
            .set_ceiling(&budget, Some(held.unwrap_or(ceiling)));
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
        self.rechoose(router, 0, 1);
    }

    fn release(&mut self, dead: usize) {
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
        // The dead router wrote its reports by swaps, which fail from now on.
        self.sent.retain(|sent| sent.from != dead);
    }

    fn run(&mut self, step: Step) {
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
                if let Some(held) = process.reservations.pop() {
                    let tokens = held.tokens() * part / 100;
                    self.used += tokens;
                    process.ledger.settle(held, Bill::new(None, tokens), 0);
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
                self.run(Step::Report { router });
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
                // The daemon chooses again only once the last choice is named.
                if self.processes[router].witnesses.required(|_| true).len() < 2 {
                    self.rechoose(router, noted_by, skipped);
                }
            }
            Step::Kill { router } => self.kill(router),
            Step::Release { dead } => self.release(dead),
        }
    }

    /// The most that can ever have been used if every token that is at hand
    /// anywhere now, or free at the record, is spent as well.
    fn potential(&self) -> u64 {
        let budget = BudgetName::from(BUDGET);
        let at_hand: u64 = self
            .processes
            .iter()
            .map(|process| process.ledger.outstanding(&budget))
            .sum();
        let free = self.record.account(&budget).map_or(PAID, Account::free);
        self.used + at_hand + free
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn no_history_of_lending_and_kills_overspends(
        steps in proptest::collection::vec(step(), 20..250)
    ) {
        let mut world = World::new();
        for step in steps {
            world.run(step);
            let potential = world.potential();
            prop_assert!(potential <= PAID, "{potential} of {PAID} can be used");
            let account = world.record.account(&BUDGET.into());
            prop_assert_eq!(account.map_or(0, Account::overspend), 0);
        }
    }
}

/// A local ledger with `tokens` granted out of a fresh record.
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
fn a_voucher_moves_tokens_and_its_rest_is_free_again() {
    let budget = BudgetName::from(BUDGET);
    let (mut record, mut issuer) = granted(1, 500);
    let mut receiver = LocalLedger::new(Incarnation::from(2));
    let transfer = issuer.transfer_out(&budget, 300).unwrap();

    assert!(receiver.transfer_in(transfer.clone()));
    assert!(!receiver.transfer_in(transfer), "a voucher counts once");
    let ReserveResult::Reserved(held) = receiver.reserve(&budget, 200, 0) else {
        panic!("borrowed tokens are spendable");
    };
    receiver.settle(held, Bill::new(None, 120), 0);
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
fn a_cap_frees_what_a_dead_router_cannot_have_used() {
    let budget = BudgetName::from(BUDGET);
    let (mut record, _) = granted(1, 500);
    let before = record.account(&budget).unwrap().free();

    let freed = record.reclaim_unused(Incarnation::from(1), &budget, 150);

    assert_eq!(freed, 350);
    assert_eq!(record.account(&budget).unwrap().free(), before + 350);
    assert_eq!(record.reclaim_unused(Incarnation::from(1), &budget, 150), 0);
}

#[test]
fn nothing_is_used_beyond_an_unnoted_ceiling() {
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
fn a_witness_that_has_told_notes_no_more() {
    let mut ceilings = WitnessedCeilings::default();
    let (holder, budget) = (Incarnation::from(1), BudgetName::from(BUDGET));
    assert!(ceilings.raise(holder, budget.clone(), 100));
    assert!(ceilings.raise(holder, budget.clone(), 60));

    assert_eq!(ceilings.seal(holder, &budget), 100);

    assert!(!ceilings.raise(holder, budget, 200));
}

#[test]
fn forecasts_hold_no_more_than_their_share() {
    let budget = BudgetName::from(BUDGET);
    let mut record = ShardRecord::default();
    let refill_policy = RefillPolicy {
        horizon_ms: 10_000,
        prefetch_percent: 100,
        min_headroom_percent: 60,
        max_headroom_percent: 25,
    };
    let mut ledger = LocalLedger::new(Incarnation::from(1)).with_refill_policy(refill_policy);
    ledger.set_paid(&budget, PAID);

    let reply = record.apply(&ledger.report(0), 0);
    ledger.accept(&reply);

    assert_eq!(ledger.spendable(&budget), PAID / 4);
}
