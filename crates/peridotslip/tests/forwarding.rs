//! Routing, placement and retry budgets under named patterns of load.

use std::collections::{BTreeMap, BTreeSet};

use peridotslip::forwarding::{
    AttemptOutcome, CallerLimits, Idempotency, LoadReport, Organisation, Placement, PromptProfile,
    RetryBudget, RouteMatch, RoutingIndex, RoutingRule, RoutingTable, SelectedServer, ServerEntry,
    ServerState,
};
use proptest::prelude::*;

fn route(name: &str, prefix: &str, public: bool) -> RoutingRule {
    RoutingRule {
        name: name.to_owned(),
        host: "muscat.example".to_owned(),
        path_prefix: prefix.to_owned(),
        idempotency: Idempotency::Idempotent,
        streaming: false,
        resumable: false,
        timeout_ms: 1_000,
        first_byte_target_ms: 100,
        gap_target_ms: 0,
        max_attempts: 2,
        priority: 1,
        public,
        weighted_services: vec![("desk".to_owned(), 1)],
    }
}

fn table(routes: Vec<RoutingRule>) -> RoutingTable {
    RoutingTable {
        version: 1,
        routes,
        services: Vec::new(),
        organisations: Some(vec![Organisation {
            name: "org".into(),
            keys: vec!["key".to_owned()],
            priority: None,
            prepaid: None,
        }]),
        limits: CallerLimits::default(),
    }
}

fn address(id: &str) -> String {
    format!("{id}.example:80")
}

fn server(id: &str, data_centre: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: "model".to_owned(),
        address: address(id),
        data_centre: data_centre.to_owned(),
        slots: 8,
        state: ServerState::Ready,
        started_ms: 1,
    }
}

fn engines(count: usize) -> Placement {
    let mut placement = Placement::new("north");
    for i in 0..count {
        placement.upsert(server(&format!("e{i}"), "north"));
    }
    placement
}

/// A request of a session that begins with a part many sessions share.
fn session(number: u64, own: u64) -> PromptProfile {
    PromptProfile {
        segments: vec![(1, 2_500), (100 + number, 3_800), (10_000 + own, 2_900)],
        prompt_tokens: 9_200,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let index = RoutingIndex::build(table(vec![
        route("short", "/a/", true),
        route("long", "/a/b/", true),
    ]));
    let cases = [
        ("muscat.example", "/a/x", Some("short")),
        ("MUSCAT.example:8080", "/a/b/x", Some("long")),
        ("muscat.example", "/a/b", Some("short")),
        ("muscat.example", "/a", None),
        ("other.example", "/a/x", None),
    ];
    for (host, path, expected) in cases {
        let found = match index.lookup(host, path, None) {
            RouteMatch::Found { route, .. } => Some(route.name.clone()),
            RouteMatch::NoRoute | RouteMatch::UnknownKey => None,
        };
        assert_eq!(found.as_deref(), expected, "{host}{path}");
    }
}

#[test]
fn a_route_that_is_not_public_needs_a_known_key() {
    let index = RoutingIndex::build(table(vec![route("r", "/a/", false)]));

    assert_eq!(
        index.lookup("muscat.example", "/a/x", None),
        RouteMatch::UnknownKey
    );
    assert_eq!(
        index.lookup("muscat.example", "/a/x", Some("old")),
        RouteMatch::UnknownKey
    );
    let found = index.lookup("muscat.example", "/a/x", Some("key"));
    assert!(
        matches!(found, RouteMatch::Found { organisation: Some(org), .. } if org.name.as_str() == "org")
    );
}

#[test]
fn calm_sessions_stay_at_one_engine_on_every_router() {
    let (mut one, mut other) = (engines(12), engines(12));
    for number in 0..20 {
        let mut seen = BTreeSet::new();
        for own in 0..3 {
            let prompt = session(number, own);
            for placement in [&mut one, &mut other] {
                let chosen = placement.choose("model", &prompt, &[], 0).unwrap();
                placement.finish(&chosen.id, AttemptOutcome::Answered, 0);
                seen.insert(chosen.id);
            }
        }
        assert_eq!(seen.len(), 1, "session {number}: {seen:?}");
    }
}

#[test]
fn a_hot_session_spreads_over_engines() {
    let mut placement = engines(12);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for own in 0..120 {
        let chosen = placement.choose("model", &session(1, own), &[], 0).unwrap();
        *counts.entry(chosen.id).or_default() += 1;
    }

    let most = counts.values().max().copied().unwrap();
    assert_eq!(counts.len(), 12);
    assert!(most <= 20, "an even share is 10: {counts:?}");
}

/// Runs a request of `session(number, own)` to its end and returns the server
/// and the engine to copy from.
fn run(placement: &mut Placement, number: u64, own: u64, now_ms: u64) -> SelectedServer {
    let prompt = session(number, own);
    let selected = placement
        .choose_with_kv_source("model", &prompt, &[], now_ms)
        .unwrap();
    placement.finish(&selected.server.id, AttemptOutcome::Answered, now_ms);
    selected
}

#[test]
fn a_beginning_that_many_sessions_share_is_read_once_and_copied() {
    let mut placement = engines(12);
    let first = run(&mut placement, 0, 0, 0);

    let mut read_by = BTreeSet::from([first.server.id.clone()]);
    for number in 1..40 {
        let selected = run(&mut placement, number, number, 1_000 + number);
        if read_by.insert(selected.server.id) {
            assert_eq!(selected.kv_source, Some(address(&first.server.id)));
        } else {
            assert_eq!(selected.kv_source, None, "it has all that others have");
        }
    }

    assert_eq!(read_by.len(), 12);
}

#[test]
fn a_hot_session_is_copied_to_the_engines_it_spreads_to() {
    let mut placement = engines(3);
    let home = run(&mut placement, 1, 0, 0).server.id;
    let tried = [home.clone()];

    let prompt = session(1, 1);
    let away = placement.choose_with_kv_source("model", &prompt, &tried, 1_000);

    assert_eq!(away.unwrap().kv_source, Some(address(&home)));
}

#[test]
fn nothing_is_copied_from_an_engine_that_may_not_have_it() {
    let leaving: fn(&mut Placement, &str) = |placement, id| placement.mark_draining(id);
    let failing: fn(&mut Placement, &str) = |placement, id| {
        for _ in 0..2 {
            placement.finish(id, AttemptOutcome::Failed, 1_000);
        }
    };
    let nothing: fn(&mut Placement, &str) = |_, _| {};
    for (what, happens, now_ms) in [
        ("it still reads", nothing, 100),
        ("nobody used it for long", nothing, 60_000),
        ("it leaves", leaving, 1_000),
        ("it fails", failing, 1_000),
    ] {
        let mut placement = engines(3);
        let home = run(&mut placement, 1, 0, 0).server.id;
        happens(&mut placement, &home);

        let prompt = session(1, 1);
        let away =
            placement.choose_with_kv_source("model", &prompt, std::slice::from_ref(&home), now_ms);

        assert_ne!(away.unwrap().kv_source, Some(address(&home)), "{what}");
    }
}

#[test]
fn what_other_routers_had_read_is_copied_from_its_home() {
    // Nothing of this session has passed through this router yet, and its
    // home is too busy.
    let home = run(&mut engines(12), 1, 0, 0).server.id;
    let mut placement = engines(12);
    let busy = LoadReport {
        running: 60,
        waiting: 20,
        slots: 8,
    };
    placement.record_load(&home, busy, 0);

    let selected = run(&mut placement, 1, 1, 0);

    assert_ne!(selected.server.id, home);
    assert_eq!(selected.kv_source, Some(address(&home)));
}

#[test]
fn a_release_wave_moves_work_to_servers_that_stay() {
    let mut placement = engines(4);
    let mut draining = server("e1", "north");
    draining.state = ServerState::Draining;
    placement.upsert(draining);
    placement.mark_draining("e2");
    placement.remove("e3");

    for own in 0..20 {
        let chosen = placement.choose("model", &session(own, own), &[], 0);
        assert_eq!(chosen.unwrap().id, "e0");
    }
    assert_eq!(
        placement.choose("model", &session(1, 1), &["e0".to_owned()], 0),
        None
    );
}

#[test]
fn a_grey_server_is_avoided_and_tried_again() {
    let mut placement = engines(2);
    for _ in 0..2 {
        placement.choose("model", &PromptProfile::default(), &["e1".to_owned()], 0);
        placement.finish("e0", AttemptOutcome::Failed, 0);
    }

    let chosen = |placement: &mut Placement, now_ms| {
        let chosen = placement.choose("model", &PromptProfile::default(), &[], now_ms);
        let id = chosen.unwrap().id;
        placement.finish(&id, AttemptOutcome::Answered, now_ms);
        id
    };
    assert!((0..10).all(|_| chosen(&mut placement, 500) == "e1"));
    assert!(
        placement
            .choose(
                "model",
                &PromptProfile::default(),
                &["e1".to_owned()],
                1_500
            )
            .is_some()
    );
}

#[test]
fn a_slow_server_gets_less_work() {
    let mut placement = engines(3);
    for (id, elapsed_ms) in [("e0", 30), ("e1", 35), ("e2", 300)] {
        placement.record_first_byte(id, &PromptProfile::default(), elapsed_ms);
    }

    for _ in 0..10 {
        let chosen = placement
            .choose("model", &PromptProfile::default(), &[], 0)
            .unwrap();
        assert_ne!(chosen.id, "e2");
    }
}

#[test]
fn a_burst_of_other_routers_shows_in_load_reports_until_they_are_old() {
    let mut placement = engines(2);
    let busy = LoadReport {
        running: 8,
        waiting: 20,
        slots: 8,
    };
    placement.record_load("e0", busy, 1_000);

    let chosen = placement
        .choose("model", &PromptProfile::default(), &[], 1_000)
        .unwrap();
    assert_eq!(chosen.id, "e1");
    placement.finish("e1", AttemptOutcome::Answered, 1_000);
    let far = placement.choose(
        "model",
        &PromptProfile::default(),
        &["e1".to_owned()],
        9_000,
    );
    assert_eq!(far.unwrap().id, "e0");
}

#[test]
fn a_server_that_starts_anew_is_unknown() {
    let mut placement = engines(1);
    placement.mark_draining("e0");
    assert!(!placement.accepts_requests("e0"));
    let mut reborn = server("e0", "north");
    reborn.started_ms = 2;

    assert!(placement.upsert(reborn));

    assert!(placement.accepts_requests("e0"));
}

proptest! {
    #[test]
    fn repeated_sends_stay_within_ratio_and_allowance(
        gaps in proptest::collection::vec((0..400_u64, any::<bool>()), 1..400)
    ) {
        let (ratio, allowance) = (0.14, 4.0);
        let mut budget = RetryBudget::new(ratio, allowance);
        let (mut now_ms, mut firsts, mut repeats) = (0_u64, Vec::new(), Vec::new());
        for (gap_ms, failed) in gaps {
            now_ms += gap_ms;
            budget.deposit();
            firsts.push(now_ms);
            if failed && budget.withdraw(now_ms) {
                repeats.push(now_ms);
            }
            let recent = |times: &[u64]| {
                times.iter().filter(|at| **at + 10_000 > now_ms).map(|_| 1_u32).sum::<u32>()
            };
            // What was saved before the window may be spent in it as well.
            let most = f64::from(recent(&firsts)) * ratio + 3.0 * allowance + 1.0;
            prop_assert!(f64::from(recent(&repeats)) <= most);
        }
    }
}
