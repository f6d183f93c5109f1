//! Overload and draining backend servers, with real processes.

mod common;

use std::time::Duration;

use common::{
    eventually, exclusive,
    fleet::{Fleet, FleetOptions, metric, report},
    http::get,
    tables::TableOptions,
};
use serde_json::{Value, json};

/// Returns the number of requests that an engine has started.
fn started(fleet: &Fleet, engine: usize) -> u64 {
    let text = get(&format!("http://{}/stats", fleet.engines[engine])).unwrap_or_default();
    let stats: Value = serde_json::from_str(&text).unwrap_or_default();
    stats["started"].as_u64().unwrap_or_default()
}

/// Starts a fleet with slow engines that send long responses.
fn slow_fleet(routers: usize) -> Fleet {
    Fleet::start(&FleetOptions {
        routers,
        engine_args: vec!["--token-us=10000".to_owned(), "--full-length".to_owned()],
        ..FleetOptions::default()
    })
}

#[test]
fn draining_server_gets_no_new_requests_and_completes_its_streams() {
    let _exclusive = exclusive();
    for by_vm_list in [false, true] {
        let fleet = slow_fleet(2);
        let long = [
            "--model=tagline",
            "--stream",
            "--count=20",
            "--rate=100",
            "--max-tokens=400",
        ];
        let load = fleet.start_load(&[0, 1], &long);
        eventually("both engines have requests", || {
            (0..2).all(|engine| started(&fleet, engine) > 2)
        });

        if by_vm_list {
            let mut listed: Vec<Value> = fleet
                .routers
                .iter()
                .map(|router| json!({ "address": router.peers, "state": "live" }))
                .collect();
            listed.push(json!({ "address": fleet.engines[0], "state": "leaving" }));
            fleet.set_vms(&listed);
        } else {
            let servers = format!(
                "servers=[{{address: \"{}\", leaving: true}}, {{address: \"{}\"}}]",
                fleet.engines[0], fleet.engines[1]
            );
            let edited = fleet.cli(&["edit", "--wait=10", "pool", "engines", &servers]);
            assert!(
                edited.status.success(),
                "{}",
                String::from_utf8_lossy(&edited.stderr)
            );
        }
        std::thread::sleep(Duration::from_secs(2));
        let before = (started(&fleet, 0), started(&fleet, 1));
        let later = fleet.load(&[
            "--model=tagline",
            "--count=20",
            "--rate=50",
            "--max-tokens=5",
            "--seed=2",
        ]);
        let first = report(&load.wait_with_output().expect("the load generator exits"));

        assert_eq!(later["answered"], 20, "{later}");
        assert_eq!(first["answered"], 20, "by VM list: {by_vm_list}: {first}");
        assert_eq!(started(&fleet, 0), before.0, "by VM list: {by_vm_list}");
        assert_eq!(
            started(&fleet, 1),
            before.1 + 20,
            "by VM list: {by_vm_list}"
        );
    }
}

#[test]
fn overload_is_rejected_only_for_unmeetable_deadlines() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&FleetOptions {
        routers: 1,
        engines: 1,
        engine_args: ["--token-us=5000", "--batch=4", "--full-length"]
            .map(str::to_owned)
            .to_vec(),
        tables: TableOptions {
            deadline_ms: 1_000,
            ..TableOptions::default()
        },
        ..FleetOptions::default()
    });
    // The engine's capacity is 40 requests per second: four at a time, 100 ms
    // each. The load is 160 per second.
    let args = [
        "--model=tagline",
        "--stream",
        "--rate=160",
        "--max-tokens=20",
    ];
    let warm_up: Vec<&str> = args.into_iter().chain(["--count=640"]).collect();
    let _ = fleet.load(&warm_up);

    let overload: Vec<&str> = args
        .into_iter()
        .chain(["--count=800", "--seed=2"])
        .collect();
    let report = fleet.load(&overload);

    let answered = report["answered"].as_u64().unwrap_or_default();
    let refused = &report["refused"];
    let known = ["deadline-unmeetable/not-run", "backend-timeout/unknown"];
    let others = refused.as_object().into_iter().flatten();
    let others: Vec<&String> = others
        .map(|(reason, _)| reason)
        .filter(|reason| !known.contains(&reason.as_str()))
        .collect();
    assert!(others.is_empty(), "{report}");
    assert!(
        refused[known[0]].as_u64().unwrap_or_default() > 300,
        "{report}"
    );
    // Capacity for five seconds at 40 per second; at least half must be served.
    assert!(answered >= 100, "{report}");
    assert!(metric(&fleet.routers[0], "peridotslip_budget_overspend_tokens") < 0.5);
}
