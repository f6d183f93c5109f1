//! Prompts that crash servers: which segment is blocked, by routers that each see
//! a part of the crashes.

use std::collections::BTreeSet;

use peridotslip::forwarding::{
    BlockChange, CrashEvidence, CrashVerdict, ObservationOrigin, PromptProfile, RequestFingerprint,
    RequestPart, ServerStart,
};
use proptest::prelude::*;

/// The segment that crashes servers.
const BAD: u64 = 0xbad;
/// A segment before it that sound prompts share.
const FIRST: u64 = 0xf0;
/// Crashes under a segment after which its prompts are blocked.
const CRASHES_TO_BLOCK: u64 = 4;
/// Time after which a decisive crash takes effect, in milliseconds.
const SETTLED_MS: u64 = 300;
const MINUTE_MS: u64 = 60_000;

fn start(number: u64) -> ServerStart {
    ServerStart {
        server: format!("e{number}"),
        address: format!("e{number}.example:80"),
        started_ms: 1,
    }
}

fn segments(ids: &[u64]) -> Vec<RequestPart> {
    let ids = ids.iter().copied().zip(0..);
    ids.map(|(id, position)| RequestPart { id, position })
        .collect()
}

/// Returns a prompt with these segments and a last one of its own.
fn prompt(ids: &[u64]) -> PromptProfile {
    let shared = ids.iter().map(|id| (*id, 100));
    PromptProfile {
        segments: shared.chain([(0x9999, 50)]).collect(),
        prompt_tokens: 500,
    }
}

/// Returns evidence of `count` crashes under the segments, 100 ms apart from 1,000
/// ms on, assessed after each.
fn crashed(ids: &[u64], count: u64) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for number in 0..count {
        crash(&mut evidence, number, ids, 1_000 + number * 100);
    }
    evidence
}

fn crash(evidence: &mut CrashEvidence, number: u64, ids: &[u64], now_ms: u64) {
    evidence.record_end(&start(number), &segments(ids), now_ms);
    evidence.assess(now_ms);
}

fn verdict(evidence: &mut CrashEvidence, ids: &[u64], now_ms: u64) -> CrashVerdict {
    evidence.assess(now_ms);
    evidence.verdict(&prompt(ids).shared_segments())
}

#[test]
fn a_segment_is_suspect_after_two_crashes_and_blocked_after_four() {
    let expected = [
        (0, CrashVerdict::Clear),
        (1, CrashVerdict::Clear),
        (2, CrashVerdict::Suspect),
        (3, CrashVerdict::Suspect),
        (4, CrashVerdict::Blocked(BAD)),
    ];
    for (count, expected) in expected {
        let mut evidence = crashed(&[FIRST, BAD], count);

        let found = verdict(&mut evidence, &[FIRST, BAD], 2_000);

        assert_eq!(found, expected, "{count} crashes");
    }
}

#[test]
fn a_segment_is_blocked_only_after_answers_have_had_time() {
    let mut evidence = crashed(&[BAD], CRASHES_TO_BLOCK);
    let last_ms = 1_000 + (CRASHES_TO_BLOCK - 1) * 100;

    let before = verdict(&mut evidence, &[BAD], last_ms + 200);
    let changes = evidence.assess(last_ms + SETTLED_MS);

    assert_eq!(before, CrashVerdict::Suspect);
    let crashes = 4;
    assert_eq!(
        changes,
        [BlockChange::Blocked {
            part: segments(&[BAD])[0],
            crashes
        }]
    );
}

#[test]
fn the_last_segment_of_a_prompt_does_not_count() {
    let mut evidence = crashed(&[BAD], CRASHES_TO_BLOCK);
    let last = PromptProfile {
        segments: vec![(0x11, 100), (BAD, 100)],
        prompt_tokens: 200,
    };

    evidence.assess(2_000);

    assert_eq!(
        evidence.verdict(&last.shared_segments()),
        CrashVerdict::Clear
    );
}

#[test]
fn an_answer_acquits_a_segment_of_the_crashes_before_it() {
    let mut evidence = crashed(&[FIRST], 3);
    evidence.record_answer(&segments(&[FIRST]), 1_250);

    for number in 3..6 {
        crash(&mut evidence, number, &[FIRST], 1_000 + number * 100);
        assert_ne!(
            verdict(&mut evidence, &[FIRST], 2_000),
            CrashVerdict::Blocked(FIRST)
        );
    }
    crash(&mut evidence, 6, &[FIRST], 1_600);

    assert_eq!(
        verdict(&mut evidence, &[FIRST], 2_000),
        CrashVerdict::Blocked(FIRST)
    );
}

#[test]
fn ends_of_one_start_count_once() {
    let mut evidence = CrashEvidence::default();
    for number in 0..10 {
        crash(&mut evidence, 1, &[BAD], 1_000 + number * 100);
    }

    assert_eq!(verdict(&mut evidence, &[BAD], 3_000), CrashVerdict::Clear);
}

#[test]
fn simultaneous_ends_of_many_servers_count_once() {
    let mut evidence = CrashEvidence::default();
    for number in 0..40 {
        crash(&mut evidence, number, &[BAD], 1_000 + number);
    }

    assert_eq!(verdict(&mut evidence, &[BAD], 3_000), CrashVerdict::Clear);
}

#[test]
fn of_segments_that_are_always_together_the_unanswered_one_is_blocked() {
    for (sound, bad) in [(&[FIRST, BAD], BAD), (&[BAD, FIRST], BAD)] {
        let mut evidence = CrashEvidence::default();
        evidence.record_answer(&segments(&[FIRST]), 100);
        for number in 0..CRASHES_TO_BLOCK {
            crash(&mut evidence, number, sound, 1_000 + number * 100);
        }

        assert_eq!(
            verdict(&mut evidence, &[bad], 2_000),
            CrashVerdict::Blocked(bad)
        );
        assert_eq!(verdict(&mut evidence, &[FIRST], 2_000), CrashVerdict::Clear);
    }
}

#[test]
fn of_segments_that_were_never_answered_the_later_one_is_blocked() {
    let mut evidence = crashed(&[FIRST, BAD], CRASHES_TO_BLOCK);

    assert_eq!(
        verdict(&mut evidence, &[BAD], 2_000),
        CrashVerdict::Blocked(BAD)
    );
    assert_eq!(verdict(&mut evidence, &[FIRST], 2_000), CrashVerdict::Clear);
}

/// Guards against a wrong segment that stays blocked after the right one is found.
#[test]
fn a_blocked_segment_is_released_when_another_explains_its_crashes() {
    let bystander = 0x77;
    let mut evidence = crashed(&[BAD, bystander], CRASHES_TO_BLOCK);
    assert_eq!(
        verdict(&mut evidence, &[bystander], 2_000),
        CrashVerdict::Blocked(bystander)
    );

    evidence.record_end(&start(10), &segments(&[BAD, 0x78]), 2_100);
    let changes = evidence.assess(2_500);

    assert!(
        changes.contains(&BlockChange::Released(bystander)),
        "{changes:?}"
    );
    assert_eq!(
        verdict(&mut evidence, &[BAD], 2_500),
        CrashVerdict::Blocked(BAD)
    );
    assert_eq!(
        verdict(&mut evidence, &[bystander], 2_500),
        CrashVerdict::Clear
    );
}

#[test]
fn two_bad_segments_are_both_blocked() {
    let mut evidence = CrashEvidence::default();
    for number in 0..8 {
        let bad = BAD + number % 2;
        crash(&mut evidence, number, &[bad], 1_000 + number * 100);
    }

    for bad in [BAD, BAD + 1] {
        assert_eq!(
            verdict(&mut evidence, &[bad], 3_000),
            CrashVerdict::Blocked(bad)
        );
    }
}

/// Guards against BUDGET: routers that each see one or two ends would not block.
#[test]
fn routers_that_each_see_one_end_block_together_and_so_does_one_that_starts() {
    let mut routers: Vec<CrashEvidence> = (0..4).map(|_| CrashEvidence::default()).collect();
    for (router, number) in routers.iter_mut().zip(0..) {
        router.record_end(
            &start(number),
            &segments(&[FIRST, BAD]),
            1_000 + number * 100,
        );
    }
    let shared: Vec<_> = routers
        .iter()
        .map(|router| {
            router
                .outgoing_since(0, ..=ObservationOrigin::Relay, 2_000)
                .1
        })
        .collect();
    for (number, router) in routers.iter_mut().enumerate() {
        let others = shared
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != number);
        for (_, observations) in others {
            // A repeated message has no further effect.
            router.merge(observations, None, 2_000);
            router.merge(observations, None, 2_000);
        }
    }
    let mut late = CrashEvidence::default();
    // Its clock has just begun.
    late.merge(&routers[0].snapshot(2_000), None, 5);

    for router in &mut routers {
        assert_eq!(verdict(router, &[BAD], 2_000), CrashVerdict::Blocked(BAD));
    }
    assert_eq!(verdict(&mut late, &[BAD], 10), CrashVerdict::Blocked(BAD));
}

#[test]
fn an_answer_that_another_router_saw_acquits() {
    let mut evidence = crashed(&[FIRST], CRASHES_TO_BLOCK);
    let mut other = CrashEvidence::default();
    other.merge(
        &evidence
            .outgoing_since(0, ..=ObservationOrigin::Relay, 1_400)
            .1,
        None,
        1_400,
    );
    other.record_answer(&segments(&[FIRST]), 1_450);

    evidence.merge(
        &other
            .outgoing_since(0, ..=ObservationOrigin::Relay, 1_500)
            .1,
        None,
        1_500,
    );

    assert_eq!(verdict(&mut evidence, &[FIRST], 2_000), CrashVerdict::Clear);
}

/// Guards against a sound segment that is blocked because only another router had
/// seen its answers before the crashes.
#[test]
fn an_answer_before_the_crashes_decides_between_segments_at_all_routers() {
    let mut answering = CrashEvidence::default();
    // The sound segment is the later one, which is blocked if nothing else decides.
    answering.record_answer(&segments(&[0, FIRST])[1..], 500);
    let mut evidence = crashed(&[BAD, FIRST], CRASHES_TO_BLOCK);
    answering.merge(
        &evidence
            .outgoing_since(0, ..=ObservationOrigin::Relay, 1_400)
            .1,
        None,
        1_400,
    );
    evidence.merge(
        &answering
            .outgoing_since(0, ..=ObservationOrigin::Relay, 1_500)
            .1,
        None,
        1_500,
    );
    let mut late = CrashEvidence::default();
    late.merge(&evidence.snapshot(1_600), None, 1_600);

    for router in [&mut answering, &mut evidence, &mut late] {
        assert_eq!(verdict(router, &[BAD], 2_000), CrashVerdict::Blocked(BAD));
        assert_eq!(verdict(router, &[FIRST], 2_000), CrashVerdict::Clear);
    }
}

#[test]
fn probes_are_few_and_a_block_ends_with_an_answer() {
    let mut evidence = crashed(&[BAD], CRASHES_TO_BLOCK);
    evidence.assess(2_000);
    let mut probes = Vec::new();

    for minute in 1..110 {
        let now_ms = minute * MINUTE_MS;
        if evidence.begin_probe(BAD, now_ms) {
            probes.push(minute);
            crash(&mut evidence, 100 + minute, &[BAD], now_ms + 100);
        }
        evidence.assess(now_ms + 200);
        assert_eq!(
            evidence.verdict(&prompt(&[BAD]).shared_segments()),
            CrashVerdict::Blocked(BAD)
        );
    }

    assert_eq!(probes.len(), 3, "{probes:?}");
    assert!(probes[0] >= 5 && probes[1] >= probes[0] + 15, "{probes:?}");
    evidence.record_answer(&segments(&[BAD]), 110 * MINUTE_MS);
    assert_eq!(
        verdict(&mut evidence, &[BAD], 111 * MINUTE_MS),
        CrashVerdict::Clear
    );
}

#[test]
fn one_probe_is_made_at_a_time() {
    let mut evidence = crashed(&[BAD], CRASHES_TO_BLOCK);
    evidence.assess(2_000);

    let probes = (0..100).filter(|number| evidence.begin_probe(BAD, 6 * MINUTE_MS + number));

    assert_eq!(probes.count(), 1);
}

#[test]
fn evidence_is_forgotten_after_hours() {
    let mut evidence = crashed(&[BAD], CRASHES_TO_BLOCK);
    evidence.assess(2_000);

    let found = verdict(&mut evidence, &[BAD], 121 * MINUTE_MS);

    assert_eq!(found, CrashVerdict::Clear);
}

/// A request that is in flight at a server.
#[derive(Clone, Copy)]
struct Running {
    router: usize,
    server: usize,
    sent_ms: u64,
    ends_ms: u64,
    segments: [u64; 2],
}

/// A server: up from the time, in milliseconds, with the number of its start.
#[derive(Clone, Copy)]
struct Engine {
    up_ms: u64,
    start: u64,
}

/// Time that a server takes for the first token, in milliseconds.
const FIRST_TOKEN_MS: u64 = 75;
/// Time after which an answer acquits, in milliseconds.
const ACQUITS_MS: u64 = 330;
/// Time for which a crashed server is down, in milliseconds.
const DOWN_MS: u64 = 4_000;
/// Interval between two messages to a peer, in milliseconds.
const SHARE_MS: u64 = 100;
/// Time after the fifth crash from which on few requests may be sent.
const STABLE_MS: u64 = 3_000;
const STEP_MS: u64 = 5;
const DAY_MS: u64 = 12_000;

/// Returns a random index below `len`.
fn pick(next: &mut impl FnMut(u64) -> u64, len: usize) -> usize {
    usize::try_from(next(u64::try_from(len).unwrap())).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against BUDGET and LOST: whatever the traffic, few requests with the
    /// bad segment are sent after the fifth crash, and no other segment stays
    /// blocked.
    #[test]
    fn fleets_block_the_bad_segment_and_no_other(
        routers in 1_usize..10,
        engines in 6_usize..16,
        bad_gap_ms in 80_u64..1_500,
        first_segments in 1_u64..6,
        seed in any::<u64>(),
    ) {
        let mut random = seed | 1;
        let mut next = |below: u64| {
            // A linear congruential generator is random enough here.
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (random >> 33) % below
        };
        let mut fleet = vec![CrashEvidence::default(); routers];
        let mut confirmed = vec![vec![0; routers]; routers];
        let mut servers: Vec<Engine> =
            (0..engines).map(|start| Engine { up_ms: 0, start: start as u64 }).collect();
        let mut starts = engines as u64;
        let mut running: Vec<Running> = Vec::new();
        let (mut crashes, mut late, mut last_blocked) = (Vec::new(), 0, BTreeSet::new());
        let mut next_bad_ms = 3_000;

        for now_ms in (0..DAY_MS / STEP_MS).map(|step| step * STEP_MS) {
            // One sound request a step, and a bad one now and then.
            let mut arriving = vec![[0x100 + next(first_segments), 0x200 + next(60)]];
            if now_ms >= next_bad_ms {
                next_bad_ms = now_ms + bad_gap_ms / 2 + next(bad_gap_ms);
                arriving.push([0x100, BAD]);
            }
            for segments in arriving {
                let router = pick(&mut next, routers);
                let up: Vec<usize> = (0..engines).filter(|server| servers[*server].up_ms <= now_ms).collect();
                let blocked = matches!(
                    fleet[router].verdict(&prompt(&segments).shared_segments()),
                    CrashVerdict::Blocked(_)
                );
                if blocked || up.is_empty() {
                    continue;
                }
                let is_bad = segments[1] == BAD;
                if is_bad && crashes.get(4).is_some_and(|fifth| now_ms > fifth + STABLE_MS) {
                    late += 1;
                }
                let lasts_ms = if is_bad { FIRST_TOKEN_MS } else { 200 + next(1_500) };
                let server = up[pick(&mut next, up.len())];
                running.push(Running { router, server, sent_ms: now_ms, ends_ms: now_ms + lasts_ms, segments });
            }
            for request in &running {
                if now_ms == request.sent_ms + ACQUITS_MS {
                    fleet[request.router].record_answer(&segments(&request.segments), now_ms);
                }
            }
            let ending: Vec<usize> = running
                .iter()
                .filter(|request| request.ends_ms <= now_ms && request.segments[1] == BAD)
                .map(|request| request.server)
                .collect();
            for server in ending {
                if servers[server].up_ms > now_ms {
                    continue;
                }
                crashes.push(now_ms);
                let ended = running.iter().filter(|request| request.server == server);
                for request in ended {
                    let start = start(servers[server].start);
                    fleet[request.router].record_end(&start, &segments(&request.segments), now_ms);
                }
                running.retain(|request| request.server != server);
                servers[server] = Engine { up_ms: now_ms + DOWN_MS, start: starts };
                starts += 1;
            }
            running.retain(|request| request.ends_ms > now_ms);
            if now_ms % SHARE_MS == 0 {
                for from in 0..routers {
                    for to in (0..routers).filter(|to| *to != from) {
                        let (seq, observations) = fleet[from].outgoing_since(
                            confirmed[from][to],
                            ..=ObservationOrigin::Relay,
                            now_ms,
                        );
                        confirmed[from][to] = seq;
                        fleet[to].merge(&observations, None, now_ms);
                    }
                }
            }
            for evidence in &mut fleet {
                for change in evidence.assess(now_ms) {
                    match change {
                        BlockChange::Blocked { part, .. } => last_blocked.insert(part.id),
                        BlockChange::Released(segment) => last_blocked.remove(&segment),
                    };
                }
            }
        }

        prop_assert!(late <= 3, "{late} requests after the fifth crash; {} crashes", crashes.len());
        if crashes.len() >= 5 {
            for evidence in &fleet {
                prop_assert_eq!(evidence.verdict(&prompt(&[BAD]).shared_segments()), CrashVerdict::Blocked(BAD));
            }
        }
        let others: Vec<u64> = last_blocked.into_iter().filter(|segment| *segment != BAD).collect();
        prop_assert!(others.is_empty(), "also blocked: {others:x?}");
    }
}

/// Guards against relays that send each other the same observations for ever: each
/// dropped segments that had been answered, and took them for new when they came back.
#[test]
fn observations_go_in_no_circles() {
    let mut relays = vec![CrashEvidence::default(); 3];
    for crash in 0..200 {
        relays[0].record_end(&start(crash), &segments(&[FIRST, BAD]), 1_000);
    }
    relays[1].record_answer(&segments(&[FIRST]), 1_100);
    let mut sent = 0;
    let mut next = vec![vec![0; 3]; 3];

    for round in 0..50 {
        let now_ms = 1_200 + round * 100;
        for from in 0..3 {
            relays[from].assess(now_ms);
            for to in (0..3).filter(|to| *to != from) {
                let origins = ..=ObservationOrigin::Observer;
                let (seq, observations) =
                    relays[from].outgoing_since(next[from][to], origins, now_ms);
                next[from][to] = seq;
                sent += observations.len();
                relays[to].merge(&observations, Some(ObservationOrigin::Relay), now_ms);
            }
        }
    }

    assert!(sent <= 3 * 202, "{sent} observations were sent");
}

/// A request that crashes servers.
const BAD_REQUEST: u64 = 0xbad_4e9;
/// Crashes under a request after which it is blocked.
const CRASHES_TO_BLOCK_REQUEST: u64 = 3;

/// Returns evidence of `count` crashes under a whole request, 100 ms apart from 1,000 ms
/// on, assessed after each.
fn crashed_by_request(count: u64) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for number in 0..count {
        let now_ms = 1_000 + number * 100;
        evidence.record_end(&start(number), &[RequestPart::whole(BAD_REQUEST)], now_ms);
        evidence.assess(now_ms);
    }
    evidence
}

/// Guards against BUDGET: the third crash under a request is the last one that is free.
#[test]
fn a_request_is_suspect_after_two_crashes_and_blocked_after_three() {
    let expected = [
        (1, CrashVerdict::Clear),
        (2, CrashVerdict::Suspect),
        (3, CrashVerdict::Blocked(BAD_REQUEST)),
    ];
    for (count, expected) in expected {
        let mut evidence = crashed_by_request(count);
        evidence.assess(2_000);

        let found = evidence.verdict(&[RequestPart::whole(BAD_REQUEST)]);

        assert_eq!(found, expected, "{count} crashes");
    }
}

/// Guards against LOST: a request that was answered between crashes is a bystander.
#[test]
fn an_answer_acquits_a_request_of_the_crashes_before_it() {
    let mut evidence = crashed_by_request(CRASHES_TO_BLOCK_REQUEST);
    evidence.record_answer(&[RequestPart::whole(BAD_REQUEST)], 1_210);

    evidence.assess(2_000);

    assert_eq!(
        evidence.verdict(&[RequestPart::whole(BAD_REQUEST)]),
        CrashVerdict::Clear
    );
}

/// Guards against LOST: of two requests that were in flight at all crashes, the one that
/// was answered before, at another router, was blocked.
#[test]
fn of_two_requests_at_all_crashes_the_unanswered_one_is_blocked() {
    for (bystander, culprit) in [(1, 2), (2, 1)] {
        let mut answering = CrashEvidence::default();
        answering.record_answer(&[RequestPart::whole(bystander)], 500);
        let mut evidence = CrashEvidence::default();
        let parts = [RequestPart::whole(bystander), RequestPart::whole(culprit)];
        for number in 0..CRASHES_TO_BLOCK_REQUEST {
            evidence.record_end(&start(number), &parts, 1_000 + number * 100);
        }
        let origins = ..=ObservationOrigin::Relay;
        let (_, ends) = evidence.outgoing_since(0, origins, 1_300);
        answering.merge(&ends, None, 1_300);
        let (_, answers) = answering.outgoing_since(0, origins, 1_400);
        evidence.merge(&answers, None, 1_400);

        for router in [&mut answering, &mut evidence] {
            router.assess(2_000);
            assert_eq!(router.verdict(&parts[..1]), CrashVerdict::Clear);
            assert_eq!(router.verdict(&parts[1..]), CrashVerdict::Blocked(culprit));
        }
    }
}

/// Guards against wrong blocks of whole requests: a segment that explains more crashes
/// takes them away.
#[test]
fn a_segment_at_fault_releases_the_requests_beside_it() {
    let mut evidence = CrashEvidence::default();
    for number in 0..3 {
        let mut parts = segments(&[BAD]);
        parts.push(RequestPart::whole(7));
        evidence.record_end(&start(number), &parts, 1_000 + number * 100);
    }
    evidence.assess(2_000);
    let before = evidence.verdict(&[RequestPart::whole(7)]);

    let mut parts = segments(&[BAD]);
    parts.push(RequestPart::whole(8));
    evidence.record_end(&start(3), &parts, 2_100);
    evidence.assess(3_000);

    assert_eq!(before, CrashVerdict::Blocked(7));
    assert_eq!(
        evidence.verdict(&[RequestPart::whole(7)]),
        CrashVerdict::Clear
    );
    assert_eq!(
        verdict(&mut evidence, &[BAD], 3_000),
        CrashVerdict::Blocked(BAD)
    );
}

/// Guards against a crash that is lost because the server closed a connection long before
/// it: the time of that one counted for both.
#[test]
fn a_connection_closed_earlier_by_the_same_server_moves_no_crash() {
    let mut evidence = CrashEvidence::default();
    for number in 0..CRASHES_TO_BLOCK_REQUEST {
        evidence.record_end(&start(number), &[RequestPart::whole(5)], 1_000);
    }
    evidence.record_answer(&[RequestPart::whole(BAD_REQUEST)], 5_000);

    for number in 0..CRASHES_TO_BLOCK_REQUEST {
        let parts = [RequestPart::whole(BAD_REQUEST)];
        evidence.record_end(&start(number), &parts, 60_000 + number * 100);
    }
    evidence.assess(61_000);

    assert_eq!(
        evidence.verdict(&[RequestPart::whole(BAD_REQUEST)]),
        CrashVerdict::Blocked(BAD_REQUEST)
    );
}

/// Guards against a flood of requests that servers end, which made routers forget the
/// request that crashes servers, or hold all others.
#[test]
fn a_flood_of_ended_requests_releases_nothing_and_takes_little_memory() {
    let mut evidence = crashed_by_request(CRASHES_TO_BLOCK_REQUEST);
    evidence.assess(2_000);
    let mut sent = 0;
    let mut seq = evidence.next_seq();

    for number in 0..200_000_u64 {
        let now_ms = 3_000 + number / 10;
        let server = start(1_000 + number % 300);
        evidence.record_end(&server, &[RequestPart::whole(1_000_000 + number)], now_ms);
        if number % 1_000 == 0 {
            evidence.assess(now_ms);
            let (next, observations) =
                evidence.outgoing_since(seq, ..=ObservationOrigin::Relay, now_ms);
            seq = next;
            sent += observations.len();
        }
    }
    evidence.assess(30_000);

    assert_eq!(
        evidence.verdict(&[RequestPart::whole(BAD_REQUEST)]),
        CrashVerdict::Blocked(BAD_REQUEST)
    );
    // 20 s with at most 512 ends each.
    assert!(sent <= 21 * 512, "{sent} observations were sent");
    assert!(evidence.snapshot(30_000).len() <= 128 * 512);
}

/// Guards against fingerprints that two different requests share, and against those that
/// depend on how a body arrives.
#[test]
fn fingerprints_tell_requests_apart() {
    let requests = [
        ["org-1", "GET", "a.example", "/x", "body"],
        ["org-2", "GET", "a.example", "/x", "body"],
        ["org-1", "POST", "a.example", "/x", "body"],
        ["org-1", "GET", "b.example", "/x", "body"],
        ["org-1", "GET", "a.example", "/y", "body"],
        ["org-1", "GET", "a.example", "/x", "other"],
        ["org-1", "GET", "a.example", "/xb", "ody"],
        ["org-1G", "ET", "a.example", "/x", "body"],
        ["org-1", "GET", "a.example", "/x", ""],
    ];
    let ids = requests.map(|[caller, method, host, path, body]| {
        let mut fingerprint = RequestFingerprint::new(caller, method, host, path);
        fingerprint.append(body.as_bytes());
        fingerprint.finish().id
    });
    let mut divided = RequestFingerprint::new("org-1", "GET", "a.example", "/x");
    divided.append(b"bo");
    divided.append(b"dy");

    assert_eq!(BTreeSet::from(ids).len(), requests.len());
    assert_eq!(divided.finish().id, ids[0]);
}
