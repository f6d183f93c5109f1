//! The part of a grant that a restore of the store can't undo.

use peridotslip::ledger::{DurableGrant, EndedBound, LocalLedger, ReserveResult, ShardRecord};

/// Age of the oldest copy, in milliseconds.
const COPY_AGE_MS: u64 = 15_000;

/// Guards against a grant that is used before every copy of the store shows it.
#[test]
fn grant_is_durable_once_no_copy_is_older() {
    let mut grant = DurableGrant::default();
    grant.record_reply(100, 990, 1_000, COPY_AGE_MS);
    grant.record_reply(300, 4_990, 5_000, COPY_AGE_MS);

    grant.record_reply(300, 15_999, 16_005, COPY_AGE_MS);
    assert_eq!(grant.tokens(), 0);
    grant.record_reply(300, 16_000, 16_005, COPY_AGE_MS);
    assert_eq!(grant.tokens(), 100);
    grant.record_reply(300, 20_000, 20_005, COPY_AGE_MS);
    assert_eq!(grant.tokens(), 300);
}

/// Guards against a grant that grows with each reply and never counts as durable.
#[test]
fn grant_that_grows_all_the_time_becomes_durable() {
    let mut grant = DurableGrant::default();
    for reply in 0..300 {
        let now_ms = reply * 100;
        grant.record_reply(reply, now_ms, now_ms, COPY_AGE_MS);
    }

    // The newest reply is of 29,900 ms, and grants are remembered once a second.
    let durable = grant.tokens();
    assert!((139..=149).contains(&durable), "{durable}");
}

fn exchange(ledger: &mut LocalLedger, record: &mut ShardRecord) {
    let report = ledger.report(0);
    ledger.accept(&record.apply(&report, 0));
}

/// Guards against BUDGET: the witnesses that the copy of a restored store names don't know
/// how much a router used after it had released them.
#[test]
fn restored_record_names_no_witnesses_of_an_ended_router() {
    let budget = "budget".into();
    let mut ledger = LocalLedger::new(1.into()).with_address("a:1");
    ledger.set_paid(&budget, 1_000);
    let short = ledger.reserve(&budget, 500, 0);
    assert_eq!(short, ReserveResult::Insufficient);
    ledger.set_witnesses(vec![2.into()]);
    let mut record = ShardRecord::default();
    exchange(&mut ledger, &mut record);
    let held = ledger.reserve(&budget, 500, 0);
    assert!(matches!(held, ReserveResult::Reserved(_)));
    let mut copy = record.clone();
    assert_eq!(copy.holders(&budget)[0].witnesses, [2.into()]);
    ledger.set_witnesses(Vec::new());
    exchange(&mut ledger, &mut record);
    assert!(ledger.witness_set_confirmed());
    assert!(record.holders(&budget)[0].witnesses.is_empty());

    copy.reconcile(
        &budget,
        &[],
        &[(1.into(), EndedBound::Ceiling(40))],
        true,
        0,
    );

    let holders = copy.holders(&budget);
    assert_eq!(holders[0].outstanding, 500);
    assert!(holders[0].witnesses.is_empty());
}
