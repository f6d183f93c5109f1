//! Choosing backend balancer: policies, ejection and leaving.

use peridotslip::{
    balance::{CallOutcome, LeastLoaded, LoadBalancer, PrefixAffinity, RoundRobin, TwoChoices},
    prelude::*,
};

const ADDRESSES: [&str; 4] = ["a:1", "b:1", "c:1", "d:1"];

fn balancer() -> LoadBalancer {
    let mut balancer = LoadBalancer::default();
    balancer.set_table(ADDRESSES.into_iter().map(|address| (address, false)));
    balancer
}

fn choose(balancer: &mut LoadBalancer, now_ms: u64) -> Option<String> {
    balancer.choose(&ADDRESSES, &[], &LeastLoaded, 0, 0, now_ms)
}

#[test]
fn every_policy_picks_a_candidate_and_none_of_none() {
    let policies: [Box<dyn Policy>; 4] = [
        Box::new(RoundRobin::default()),
        Box::new(LeastLoaded),
        Box::new(TwoChoices),
        Box::new(PrefixAffinity),
    ];
    for policy in &policies {
        for count in 0..5 {
            let candidates: Vec<Candidate<'_>> = ADDRESSES[..count.min(4)]
                .iter()
                .map(|server| Candidate {
                    server,
                    reported: 3,
                    in_flight: 1,
                    in_flight_at_report: 1,
                })
                .collect();
            for random in [0, 1, u64::MAX, 0x1234_5678_9abc_def0] {
                let chosen = policy.choose(&candidates, random, random);
                let name = policy.name();
                assert_eq!(chosen.is_some(), count > 0, "{name} of {count}");
                assert!(
                    chosen.is_none_or(|i| i < candidates.len()),
                    "{name} of {count}"
                );
            }
        }
    }
}

#[test]
fn a_report_is_corrected_by_what_was_sent_and_finished_since() {
    let candidate = |in_flight, at_report| Candidate {
        server: "a:1",
        reported: 10,
        in_flight,
        in_flight_at_report: at_report,
    };

    assert_eq!(candidate(5, 2).load(), 13);
    assert_eq!(candidate(2, 5).load(), 7);
    assert_eq!(candidate(0, 50).load(), 0);
}

#[test]
fn equal_prefixes_stay_together_until_the_load_bound() {
    let mut balancer = balancer();
    let place = |balancer: &mut LoadBalancer| {
        balancer
            .choose(&ADDRESSES, &[], &PrefixAffinity, 42, 0, 0)
            .expect("all are there")
    };

    let first = place(&mut balancer);
    let second = place(&mut balancer);
    let many: Vec<String> = (0..40).map(|_| place(&mut balancer)).collect();

    assert_eq!(first, second);
    let most = ADDRESSES
        .iter()
        .map(|address| many.iter().filter(|chosen| chosen == address).count())
        .max();
    // 42 requests on four balancer: 125% of the average, and the slack.
    assert!(most.is_some_and(|most| most <= 16), "{most:?}");
}

#[test]
fn a_failing_server_is_ejected_and_tried_by_one_request_at_a_time() {
    let mut balancer = balancer();
    let others = ["b:1".to_owned(), "c:1".to_owned(), "d:1".to_owned()];
    let only_a = |balancer: &mut LoadBalancer, now_ms| {
        balancer.choose(&ADDRESSES, &others, &LeastLoaded, 0, 0, now_ms)
    };
    let mut ejected = false;
    for _ in 0..3 {
        assert_eq!(only_a(&mut balancer, 0).as_deref(), Some("a:1"));
        ejected = balancer.finish("a:1", CallOutcome::Failed, 0);
    }
    assert!(ejected);
    assert_eq!(balancer.retry_in_ms(&["a:1"], 400), Some(600));
    assert_eq!(only_a(&mut balancer, 500), None);

    let trial = only_a(&mut balancer, 1_000);
    let second = only_a(&mut balancer, 1_000);
    assert_eq!((trial.as_deref(), second), (Some("a:1"), None));
    assert!(balancer.finish("a:1", CallOutcome::Failed, 1_000));
    assert_eq!(only_a(&mut balancer, 2_500), None);
    assert_eq!(only_a(&mut balancer, 3_000).as_deref(), Some("a:1"));
    balancer.finish("a:1", CallOutcome::Answered, 3_100);
    assert!(only_a(&mut balancer, 3_100).is_some() && only_a(&mut balancer, 3_100).is_some());
}

#[test]
fn a_server_leaves_on_the_first_hint_from_any_side() {
    let chosen = |balancer: &mut LoadBalancer| -> Vec<String> {
        (0..12).filter_map(|_| choose(balancer, 0)).collect()
    };
    let mut by_table = balancer();
    by_table.set_table(
        ADDRESSES
            .into_iter()
            .map(|address| (address, address == "a:1")),
    );
    let mut by_list = balancer();
    by_list.set_draining_by_vm_list(&|address| address == "a:1");
    let mut by_itself = balancer();
    by_itself.record_load("a:1", 0, true);
    let mut removed = balancer();
    removed.set_table(ADDRESSES[1..].iter().map(|address| (*address, false)));

    for balancer in [&mut by_table, &mut by_list, &mut by_itself, &mut removed] {
        let chosen = chosen(balancer);
        assert_eq!(chosen.len(), 12);
        assert!(!chosen.contains(&"a:1".to_owned()));
    }
}
