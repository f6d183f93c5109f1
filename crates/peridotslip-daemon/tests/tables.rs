//! Distribution of tables to all routers, and routers whose configuration
//! differs.

mod common;

use common::{
    exclusive,
    fleet::{Fleet, FleetOptions, number},
    http::get,
    tables::TableOptions,
};
use serde_json::{Value, json};

#[test]
fn router_partitioned_from_the_store_fetches_tables_from_peers() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&FleetOptions {
        store_proxies: true,
        ..FleetOptions::default()
    });
    let revision = |router: usize| {
        let url = format!("http://{}/status", fleet.routers[router].operators);
        let status: Value =
            serde_json::from_str(&get(&url).unwrap_or_default()).unwrap_or_default();
        number(&status, "revision")
    };
    fleet.store_proxies[2].set("cut");

    fleet.apply(&TableOptions {
        deadline_ms: 9_000,
        ..TableOptions::default()
    });

    assert!((0..3).all(|router| revision(router) == 2));
    let report = fleet.load(&["--model=tagline", "--count=60", "--rate=60"]);
    assert_eq!(number(&report, "answered"), 60, "{report}");
}

#[test]
fn new_router_during_a_store_outage_fetches_tables_from_peers() {
    let _exclusive = exclusive();
    let mut fleet = Fleet::start(&FleetOptions::default());
    fleet.store_faults(&json!({ "down": true }));

    fleet.start_router(3);

    fleet.wait_ready();
    let url = format!("http://{}/readyz", fleet.routers[3].operators);
    assert!(get(&url).is_some());
}

#[test]
fn concurrent_applies_merge_different_rows_and_conflict_on_the_same_row() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&FleetOptions::default());
    let edit = |field: &str| fleet.cli(&["edit", "route", "tagline", field]);
    let (mine, theirs) = (
        fleet.dir.path().join("mine"),
        fleet.dir.path().join("theirs"),
    );
    let dirs = [mine.display().to_string(), theirs.display().to_string()];
    for dir in &dirs {
        assert!(fleet.cli(&["get", dir]).status.success());
    }
    let replace = |dir: &str, from: &str, to: &str| {
        let file = format!("{dir}/routes.yaml");
        let text = std::fs::read_to_string(&file).expect("get has written the file");
        assert!(text.contains(from), "{text}");
        std::fs::write(&file, text.replacen(from, to, 1)).expect("the file can be written");
    };
    replace(&dirs[0], "deadline_ms: 20000", "deadline_ms: 11000");
    replace(&dirs[1], "tokens_per_call: 10", "tokens_per_call: 11");

    let different_rows = [
        fleet.cli(&["apply", &dirs[0]]),
        fleet.cli(&["apply", &dirs[1]]),
    ];
    let repeated = fleet.cli(&["apply", &dirs[0]]);
    let edited = fleet.cli(&["edit", "route", "tagline", "deadline_ms=12000"]);
    // The directory's version of the row is older than the edit.
    let conflicting = {
        replace(&dirs[0], "deadline_ms: 11000", "deadline_ms: 13000");
        fleet.cli(&["apply", &dirs[0]])
    };

    assert!(different_rows.iter().all(|output| output.status.success()));
    assert!(repeated.status.success() && edited.status.success());
    assert_eq!(conflicting.status.code(), Some(1));
    let stderr_text = String::from_utf8_lossy(&conflicting.stderr).into_owned();
    assert!(stderr_text.contains("12000"), "{stderr_text}");
    assert_eq!(edit("deadline_ms=0").status.code(), Some(1));
    assert_eq!(edit("nonsense=1").status.code(), Some(2));
}

#[test]
fn router_with_a_different_shard_count_reserves_no_tokens() {
    let _exclusive = exclusive();
    let mut fleet = Fleet::start(&FleetOptions::default());
    let served = fleet.load(&["--model=tagline", "--count=20", "--rate=100"]);

    fleet.start_router_with_shards(3, common::fleet::SHARDS + 1);
    fleet.wait_ready();
    let refused = fleet.load_at(
        &[3],
        &["--model=tagline", "--count=10", "--rate=50", "--seed=2"],
    );

    assert_eq!(number(&served, "answered"), 20, "{served}");
    assert_eq!(
        refused["refused"],
        json!({ "ledger-unavailable/not-run": 10 }),
        "{refused}"
    );
    assert_eq!(fleet.settled_totals().settled, number(&served, "tokens"));
}
