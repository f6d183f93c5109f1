//! Tables in force everywhere, and routers that disagree.

mod common;

use common::{
    alone,
    fleet::{Fleet, Plan, number},
    http::get,
    tables::Shape,
};
use serde_json::{Value, json};

#[test]
fn a_router_cut_from_the_store_takes_tables_from_its_peers() {
    let _alone = alone();
    let fleet = Fleet::start(&Plan {
        store_relays: true,
        ..Plan::default()
    });
    let revision = |router: usize| {
        let url = format!("http://{}/status", fleet.routers[router].operators);
        let status: Value =
            serde_json::from_str(&get(&url).unwrap_or_default()).unwrap_or_default();
        number(&status, "revision")
    };
    fleet.store_relays[2].set("cut");

    fleet.apply(&Shape {
        deadline_ms: 9_000,
        ..Shape::default()
    });

    assert!((0..3).all(|router| revision(router) == 2));
    let report = fleet.load(&["--model=tagline", "--count=60", "--rate=60"]);
    assert_eq!(number(&report, "answered"), 60, "{report}");
}

#[test]
fn a_new_router_in_a_store_outage_takes_tables_from_its_peers() {
    let _alone = alone();
    let mut fleet = Fleet::start(&Plan::default());
    fleet.store_faults(&json!({ "down": true }));

    fleet.start_router(3);

    fleet.wait_ready();
    let url = format!("http://{}/readyz", fleet.routers[3].operators);
    assert!(get(&url).is_some());
}

#[test]
fn racing_operators_both_succeed_on_different_rows_and_one_on_the_same() {
    let _alone = alone();
    let fleet = Fleet::start(&Plan::default());
    let edit = |field: &str| fleet.tool(&["edit", "route", "tagline", field]);
    let (mine, theirs) = (
        fleet.dir.path().join("mine"),
        fleet.dir.path().join("theirs"),
    );
    let dirs = [mine.display().to_string(), theirs.display().to_string()];
    for dir in &dirs {
        assert!(fleet.tool(&["get", dir]).status.success());
    }
    let replace = |dir: &str, from: &str, to: &str| {
        let file = format!("{dir}/routes.yaml");
        let text = std::fs::read_to_string(&file).expect("get wrote it");
        assert!(text.contains(from), "{text}");
        std::fs::write(&file, text.replacen(from, to, 1)).expect("it can be written");
    };
    replace(&dirs[0], "deadline_ms: 20000", "deadline_ms: 11000");
    replace(&dirs[1], "tokens_per_call: 10", "tokens_per_call: 11");

    let both = [
        fleet.tool(&["apply", &dirs[0]]),
        fleet.tool(&["apply", &dirs[1]]),
    ];
    let again = fleet.tool(&["apply", &dirs[0]]);
    let same_row = fleet.tool(&["edit", "route", "tagline", "deadline_ms=12000"]);
    let stale = {
        replace(&dirs[0], "deadline_ms: 11000", "deadline_ms: 13000");
        fleet.tool(&["apply", &dirs[0]])
    };

    assert!(both.iter().all(|output| output.status.success()));
    assert!(again.status.success() && same_row.status.success());
    assert_eq!(stale.status.code(), Some(1));
    let told = String::from_utf8_lossy(&stale.stderr).into_owned();
    assert!(told.contains("12000"), "{told}");
    assert_eq!(edit("deadline_ms=0").status.code(), Some(1));
    assert_eq!(edit("nonsense=1").status.code(), Some(2));
}

#[test]
fn a_router_that_cuts_the_ledger_otherwise_spends_nothing() {
    let _alone = alone();
    let mut fleet = Fleet::start(&Plan::default());
    let before = fleet.load(&["--model=tagline", "--count=20", "--rate=100"]);

    fleet.start_router_with(3, common::fleet::SHARDS + 1);
    fleet.wait_ready();
    let refused = fleet.load_at(
        &[3],
        &["--model=tagline", "--count=10", "--rate=50", "--seed=2"],
    );

    assert_eq!(number(&before, "answered"), 20, "{before}");
    assert_eq!(
        refused["refused"],
        json!({ "ledger-unavailable/not-run": 10 }),
        "{refused}"
    );
    assert_eq!(fleet.all_settled().settled, number(&before, "tokens"));
}
