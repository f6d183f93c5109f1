//! Real processes that are killed, paused, cut off and stopped.

mod common;

use std::time::Duration;

use common::{
    alone, eventually,
    fleet::{Fleet, Money, Plan, metric, number, report},
    http::send,
    tables::{MUSCAT_KEY, Shape},
};
use reqwest::Client;
use serde_json::json;

#[test]
fn callers_tokens_and_bills_agree_over_three_routers() {
    let _alone = alone();
    let fleet = Fleet::start(&Plan::default());

    let streamed = fleet.load(&["--model=tagline", "--stream", "--count=150", "--rate=150"]);
    let whole = fleet.load(&["--model=tagline", "--count=150", "--rate=150", "--seed=2"]);
    let orders = fleet.load(&[
        "--path=/orders",
        "--keyed",
        "--count=60",
        "--rate=100",
        "--seed=3",
    ]);

    for report in [&streamed, &whole, &orders] {
        assert_eq!(number(report, "wrong"), 0, "{report}");
        assert_eq!(report["refused"], json!({}), "{report}");
        assert_eq!(report["broken"], json!({}), "{report}");
    }
    let expected = number(&streamed, "tokens") + number(&whole, "tokens") + 600;
    let money = fleet.all_settled();
    assert_eq!((money.settled, money.overspent), (expected, 0));
    assert_eq!(fleet.runs(), vec![1; 60]);
}

#[test]
fn duplicates_at_two_routers_run_and_are_billed_once() {
    let _alone = alone();
    let fleet = Fleet::start(&Plan::default());

    let streams = fleet.load(&[
        "--model=tagline",
        "--stream",
        "--twice",
        "--count=60",
        "--rate=60",
    ]);
    let orders = fleet.load(&[
        "--path=/orders",
        "--twice",
        "--count=60",
        "--rate=60",
        "--seed=2",
    ]);

    assert_eq!(number(&streams, "duplicates_same"), 60, "{streams}");
    assert_eq!(number(&orders, "duplicates_same"), 60, "{orders}");
    assert_eq!(fleet.engine_stat("started"), 60);
    assert_eq!(fleet.runs(), vec![1; 60]);
    let expected = number(&streams, "tokens") + 600;
    assert_eq!(fleet.all_settled().settled, expected);
}

#[test]
fn a_planned_stop_under_load_cuts_nothing_and_gives_everything_back() {
    let _alone = alone();
    let mut fleet = Fleet::start(&Plan {
        settings: "shutdown: {grace_ms: 500}\n".to_owned(),
        ..Plan::default()
    });
    let args = [
        "--model=tagline",
        "--stream",
        "--count=200",
        "--rate=100",
        "--max-tokens=100",
    ];
    let orders = [
        "--path=/orders",
        "--keyed",
        "--count=100",
        "--rate=50",
        "--seed=2",
    ];
    let load = fleet.start_load(&[0, 1], &args);
    let order_load = fleet.start_load(&[0, 1], &orders);
    std::thread::sleep(Duration::from_millis(700));

    let clean = fleet.stop(2);
    let (streams, orders) = (load.wait_with_output(), order_load.wait_with_output());
    let (streams, orders) = (
        report(&streams.expect("it ends")),
        report(&orders.expect("it ends")),
    );

    assert!(clean);
    assert_eq!(number(&streams, "answered"), 200, "{streams}");
    assert_eq!(number(&orders, "answered"), 100, "{orders}");
    // The stopping router has open streams of its own as well.
    let long = [
        "--model=tagline",
        "--stream",
        "--count=20",
        "--rate=200",
        "--max-tokens=300",
    ];
    let load = fleet.start_load(&[1], &long);
    std::thread::sleep(Duration::from_millis(300));
    assert!(fleet.stop(1));
    let last = report(&load.wait_with_output().expect("it ends"));
    assert_eq!(number(&last, "answered"), 20, "{last}");
    assert!(fleet.stop(0));
    let money = fleet.money();
    let tokens = number(&streams, "tokens") + number(&last, "tokens") + 1_000;
    assert_eq!(
        money,
        Money {
            settled: tokens,
            granted: 0,
            overspent: 0,
            holders: 0,
        }
    );
}

#[test]
fn a_killed_routers_bills_are_kept_and_its_grants_come_back() {
    let _alone = alone();
    let mut fleet = Fleet::start(&Plan::default());
    let first = fleet.load(&["--model=tagline", "--count=100", "--rate=200"]);
    let load = fleet.start_load(
        &[0, 1, 2],
        &[
            "--model=tagline",
            "--count=300",
            "--rate=150",
            "--seed=2",
            "--keyed",
        ],
    );
    std::thread::sleep(Duration::from_millis(800));

    fleet.kill(2);
    let died = std::time::Instant::now();
    fleet.list_vms();

    let second = report(&load.wait_with_output().expect("it ends"));
    assert_eq!(number(&second, "wrong"), 0, "{second}");
    assert!(number(&second, "answered") > 150, "{second}");
    let told = number(&first, "tokens") + number(&second, "tokens");
    eventually("the bills of all answers are recorded", || {
        fleet.money().settled >= told
    });
    eventually("only live routers hold grants", || {
        fleet.money().holders == 2
    });
    println!("grants free {:?} after the death", died.elapsed());
    assert_eq!(fleet.money().overspent, 0);
    assert!(fleet.stop(0) && fleet.stop(1));
    assert_eq!(fleet.money().granted, 0);
}

#[test]
fn a_killed_home_leaves_its_callers_streams_whole() {
    let _alone = alone();
    let mut fleet = Fleet::start(&Plan {
        engine_args: vec!["--token-us=10000".to_owned(), "--full-length".to_owned()],
        ..Plan::default()
    });
    let args = [
        "--model=tagline",
        "--stream",
        "--keyed",
        "--count=60",
        "--rate=100",
        "--max-tokens=200",
    ];
    let load = fleet.start_load(&[0, 1], &args);
    std::thread::sleep(Duration::from_millis(1_200));

    fleet.kill(2);

    let report = report(&load.wait_with_output().expect("it ends"));
    assert_eq!(number(&report, "answered"), 60, "{report}");
    assert!(fleet.total("peridotslip_events_total{event=\"stream-adopted\"") > 0.0);
    assert_eq!(fleet.engine_stat("started"), 60);
    assert_eq!(fleet.all_settled().settled, number(&report, "tokens"));
}

#[test]
fn an_order_whose_router_dies_is_never_run_again() {
    let _alone = alone();
    let mut fleet = Fleet::start(&Plan::default());
    let order = |fleet: &Fleet, router: usize, key: &str| {
        let url = format!("http://{}/orders", fleet.routers[router].callers);
        let request = Client::new().post(url).bearer_auth(MUSCAT_KEY);
        send(request.header("idempotency-key", key.to_owned()).body("{}"))
    };
    let keys: Vec<String> = (0..12).map(|number| format!("order-{number}")).collect();
    for key in &keys {
        assert_eq!(order(&fleet, 0, key).status, 201);
    }
    let _ = fleet.all_settled();

    fleet.kill(2);
    fleet.kill(1);

    for key in &keys {
        let again = order(&fleet, 0, key);
        let (reason, run) = again.refusal();
        let replayed = again.status == 201;
        let known = reason == "already-ran" && run == "ran";
        assert!(replayed || known, "{key}: {} {}", again.status, again.body);
    }
    assert_eq!(fleet.runs(), vec![1; 12]);
}

#[test]
fn a_store_outage_leaves_grants_usable_and_refusals_true() {
    let _alone = alone();
    let fleet = Fleet::start(&Plan::default());
    let warm = fleet.load(&["--model=tagline", "--count=200", "--rate=200"]);
    assert_eq!(number(&warm, "answered"), 200, "{warm}");

    fleet.store_faults(&json!({ "down": true }));
    let models = fleet.load(&["--model=tagline", "--count=20", "--rate=40", "--seed=2"]);
    let orders = fleet.load(&[
        "--path=/orders",
        "--keyed",
        "--count=10",
        "--rate=40",
        "--seed=3",
    ]);
    fleet.store_faults(&json!({}));

    assert!(number(&models, "answered") >= 15, "{models}");
    assert_eq!(
        orders["refused"],
        json!({ "ledger-unavailable/unknown": 10 }),
        "{orders}"
    );
    assert_eq!(number(&orders, "refused_without_retry_after"), 0);
    assert_eq!(fleet.runs(), Vec::<u64>::new());
    let retried = fleet.load(&[
        "--path=/orders",
        "--keyed",
        "--count=10",
        "--rate=40",
        "--seed=3",
    ]);
    assert_eq!(number(&retried, "answered"), 10, "{retried}");
    let tokens = number(&warm, "tokens") + number(&models, "tokens") + 100;
    eventually("every bill is recorded", || fleet.money().settled == tokens);
    assert_eq!(fleet.runs(), vec![1; 10]);
}

#[test]
fn lost_replies_of_the_store_bill_and_run_once() {
    let _alone = alone();
    let fleet = Fleet::start(&Plan::default());

    fleet.store_faults(&json!({ "lose_replies": 25, "lose_requests": 0 }));
    let orders = fleet.load(&["--path=/orders", "--keyed", "--count=40", "--rate=40"]);
    fleet.store_faults(&json!({ "lose_requests": 10 }));
    let models = fleet.load(&["--model=tagline", "--count=40", "--rate=40", "--seed=2"]);

    assert_eq!(number(&orders, "answered"), 40, "{orders}");
    assert_eq!(number(&models, "answered"), 40, "{models}");
    assert!(fleet.total("peridotslip_retries_total{reason=\"store-reply-lost\"") > 0.0);
    assert_eq!(fleet.runs(), vec![1; 40]);
    assert_eq!(fleet.all_settled().settled, number(&models, "tokens") + 400);
}

#[test]
fn a_small_budget_is_spent_to_the_end_and_not_beyond() {
    let _alone = alone();
    let shape = Shape {
        paid_tokens: 6_000,
        ..Shape::default()
    };
    let fleet = Fleet::start(&Plan {
        shape: shape.clone(),
        ..Plan::default()
    });

    let report = fleet.load(&["--model=tagline", "--count=200", "--rate=200"]);

    let money = fleet.all_settled();
    assert_eq!(money.settled, number(&report, "tokens"));
    assert!(money.settled <= 6_000 && money.overspent == 0, "{money:?}");
    let refused = report["refused"]["budget-exhausted/not-run"]
        .as_u64()
        .unwrap_or_default();
    assert_eq!(refused + number(&report, "answered"), 200, "{report}");
    // The last request's bound is about 370 tokens.
    assert!(money.settled > 5_600, "{money:?}, {report}");

    fleet.apply(&Shape {
        paid_tokens: 100_000,
        ..shape
    });
    let after = fleet.load(&["--model=tagline", "--count=20", "--rate=50", "--seed=2"]);
    assert_eq!(number(&after, "answered"), 20, "{after}");
}

#[test]
fn a_paused_router_comes_back_and_harms_nothing() {
    let _alone = alone();
    let fleet = Fleet::start(&Plan::default());
    let before = fleet.load(&["--model=tagline", "--count=60", "--rate=120"]);

    fleet.signal(1, "STOP");
    let during = fleet.load_at(
        &[0, 2],
        &["--model=tagline", "--count=240", "--rate=60", "--seed=2"],
    );
    fleet.signal(1, "CONT");

    assert_eq!(number(&during, "answered"), 240, "{during}");
    eventually("the paused router is taken back", || {
        fleet
            .routers
            .iter()
            .all(|router| metric(router, "peridotslip_live_members") > 2.5)
    });
    let after = fleet.load(&["--model=tagline", "--count=60", "--rate=60", "--seed=3"]);
    assert_eq!(number(&after, "answered"), 60, "{after}");
    let tokens = [&before, &during, &after].map(|report| number(report, "tokens"));
    let money = fleet.all_settled();
    assert_eq!((money.settled, money.overspent), (tokens.iter().sum(), 0));
}

#[test]
fn connections_that_go_silent_are_resumed_within_the_stream() {
    let _alone = alone();
    let fleet = Fleet::start(&Plan {
        engine_args: vec!["--token-us=10000".to_owned(), "--full-length".to_owned()],
        engine_relays: true,
        settings: "backends: {silence_timeout_ms: 700}\n".to_owned(),
        ..Plan::default()
    });
    let args = [
        "--model=tagline",
        "--stream",
        "--count=30",
        "--rate=100",
        "--max-tokens=200",
    ];
    let load = fleet.start_load(&[0, 1, 2], &args);
    std::thread::sleep(Duration::from_secs(1));

    for relay in &fleet.engine_relays {
        relay.set("freeze-open");
    }

    let report = report(&load.wait_with_output().expect("it ends"));
    assert_eq!(number(&report, "answered"), 30, "{report}");
    assert!(fleet.total("peridotslip_retries_total{reason=\"stream-silent\"") > 0.0);
    assert_eq!(fleet.all_settled().settled, number(&report, "tokens"));
}

#[test]
fn a_retry_of_an_order_that_ran_is_never_told_not_run() {
    let _alone = alone();
    let shape = Shape {
        paid_tokens: 15,
        ..Shape::default()
    };
    let mut fleet = Fleet::start(&Plan {
        shape,
        ..Plan::default()
    });
    let order = |fleet: &Fleet, key: &str| {
        let url = format!("http://{}/orders", fleet.routers[0].callers);
        let request = Client::new().post(url).bearer_auth(MUSCAT_KEY);
        send(request.header("idempotency-key", key.to_owned()).body("{}"))
    };
    assert_eq!(order(&fleet, "first").status, 201);
    let _ = fleet.all_settled();
    fleet.kill(1);
    fleet.kill(2);

    let unfunded = order(&fleet, "second");
    let repeated = order(&fleet, "first");
    fleet.store_faults(&json!({ "down": true }));
    let cut_off = order(&fleet, "first");

    assert_eq!(unfunded.refusal(), ("budget-exhausted", "not-run"));
    for again in [repeated, cut_off] {
        assert!(
            again.status == 201 || again.refusal().1 != "not-run",
            "{}",
            again.body
        );
    }
}
