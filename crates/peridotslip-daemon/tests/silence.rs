//! Backend servers and routers that fall silent for a while and go on.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{
    exclusive,
    fleet::{Fleet, FleetOptions, number, report},
    http::{block_on, send},
    scripted::{Part, ScriptedServer},
    tables::{MUSCAT_KEY, TableOptions},
};
use reqwest::{Client, Method, RequestBuilder};
use serde_json::json;

/// A silence several times as long as all silence timeouts of the tests.
const LONG_SILENCE: Duration = Duration::from_millis(2_500);

/// A route to the engines whose requests may run once, with a short deadline.
const ONCE_ROUTE: &str = "  - {name: once, organisation: muscat, model: once, pool: muscat-model, idempotent: false, deadline_ms: 2000}\n";

fn options(silence_timeout_ms: u64) -> FleetOptions {
    FleetOptions {
        routers: 1,
        engines: 1,
        settings: format!("backends: {{silence_timeout_ms: {silence_timeout_ms}}}\n"),
        ..FleetOptions::default()
    }
}

fn request(fleet: &Fleet, method: Method, path: &str) -> RequestBuilder {
    let url = format!("http://{}{path}", fleet.routers[0].callers);
    Client::new().request(method, url).bearer_auth(MUSCAT_KEY)
}

fn stream_request(fleet: &Fleet, max_tokens: u64) -> RequestBuilder {
    let body =
        json!({ "model": "tagline", "stream": true, "messages": [], "max_tokens": max_tokens });
    request(fleet, Method::POST, "/v1/chat/completions").json(&body)
}

/// Sends a request; returns the status and the whole body, or nothing if the
/// response ended early.
fn whole_text(request: RequestBuilder) -> Option<(u16, String)> {
    block_on(async {
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.text().await.ok()?))
    })
}

fn event(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

/// Returns the parts of a stream with a long silence after its first event.
fn stream_with_a_silence() -> [Part; 2] {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    let usage = "data: {\"choices\":[],\"usage\":{\"total_tokens\":7}}\n\ndata: [DONE]\n\n";
    [
        (Duration::ZERO, format!("{head}{}", event("first"))),
        (LONG_SILENCE, format!("{}{usage}", event("second"))),
    ]
}

/// Guards against dropping the connection of a silent stream before another
/// connection delivers.
#[test]
fn silent_stream_of_a_server_that_cannot_resume_it_goes_on() {
    let _exclusive = exclusive();
    let server = ScriptedServer::spawn(&stream_with_a_silence());
    let mut fleet = Fleet::start(&options(200));
    fleet.engines = vec![server.address.clone()];
    fleet.apply(&TableOptions::default());

    let answer = whole_text(stream_request(&fleet, 5));

    let (status, text) = answer.expect("the stream is whole");
    assert_eq!(status, 200, "{text}");
    assert_eq!(text.matches("\"content\"").count(), 2, "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(server.runs(), 1);
    assert_eq!(fleet.settled_totals().settled, 7);
}

/// Guards against a count of silences over a whole stream, which ends a long
/// stream that goes on after each of them.
#[test]
fn stream_with_many_silences_is_answered_whole_and_billed_once() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&FleetOptions {
        engine_args: ["--full-length", "--pause-every=5", "--pause-ms=500"]
            .map(str::to_owned)
            .to_vec(),
        ..options(200)
    });

    let report = fleet.load(&[
        "--model=tagline",
        "--stream",
        "--count=5",
        "--rate=100",
        "--max-tokens=50",
    ]);

    assert_eq!(number(&report, "answered"), 5, "{report}");
    assert_eq!(fleet.engine_stat("started"), 5);
    assert_eq!(fleet.settled_totals().settled, number(&report, "tokens"));
}

/// Guards against a count of resumes over a whole stream, which ends a long
/// stream that makes progress after each of them.
#[test]
fn stream_whose_connection_is_lost_many_times_is_answered_whole() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&FleetOptions {
        engine_args: vec!["--token-us=20000".to_owned(), "--full-length".to_owned()],
        engine_proxies: true,
        ..options(5_000)
    });
    let args = ["--model=tagline", "--stream", "--max-tokens=300"];
    let load = fleet.start_load(&[0], &args);
    thread::sleep(Duration::from_secs(1));

    for _ in 0..8 {
        fleet.engine_proxies[0].set("cut");
        fleet.engine_proxies[0].set("pass");
        thread::sleep(Duration::from_millis(400));
    }

    let report = report(&load.wait_with_output().expect("the load generator exits"));
    assert_eq!(number(&report, "answered"), 1, "{report}");
    assert!(fleet.metric_total("peridotslip_retries_total{reason=\"stream-resumed\"") > 7.5);
    assert_eq!(fleet.settled_totals().settled, number(&report, "tokens"));
}

/// Guards against ending a stream that hasn't begun before its deadline.
#[test]
fn engine_silent_before_its_first_event_has_until_the_deadline() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&FleetOptions {
        engine_args: vec!["--prefill-us=250000".to_owned(), "--full-length".to_owned()],
        ..options(200)
    });
    let sent_at = Instant::now();

    let answer = whole_text(stream_request(&fleet, 5));

    let (status, text) = answer.expect("the stream is whole");
    assert_eq!(status, 200, "{text}");
    assert!(sent_at.elapsed() > LONG_SILENCE, "{:?}", sent_at.elapsed());
    assert_eq!(fleet.engine_stat("started"), 1);
}

/// Guards against ending a whole response before its deadline because its body
/// pauses: work that ran would be lost or run again.
#[test]
fn whole_response_with_a_silence_in_its_body_is_delivered_and_run_once() {
    let _exclusive = exclusive();
    let head = "HTTP/1.1 201 Created\r\ncontent-length: 10\r\nconnection: close\r\n\r\n12345";
    let parts = [
        (Duration::ZERO, head.to_owned()),
        (LONG_SILENCE, "67890".to_owned()),
    ];
    let mut fleet = Fleet::start(&options(200));
    for (method, path) in [(Method::POST, "/orders"), (Method::GET, "/status")] {
        let server = ScriptedServer::spawn(&parts);
        fleet.services = vec![server.address.clone()];
        fleet.apply(&TableOptions::default());

        let request = request(&fleet, method, path).header("idempotency-key", path);
        let answer = whole_text(request);

        assert_eq!(answer, Some((201, "1234567890".to_owned())), "{path}");
        assert_eq!(server.runs(), 1, "{path}");
    }
}

/// Guards against taking the silence of a key's owner for its failure: a
/// non-idempotent request that only the owner may run is answered by the owner.
#[test]
fn owner_that_falls_silent_for_seconds_still_answers_its_requests() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&FleetOptions {
        service_args: vec!["--work-ms=2000".to_owned()],
        ..FleetOptions::default()
    });
    let orders: Vec<_> = (0..12)
        .map(|number| {
            let order = request(&fleet, Method::POST, "/orders")
                .header("idempotency-key", format!("order-{number}"))
                .body("{}");
            thread::spawn(move || send(order))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));

    fleet.signal(2, "STOP");
    thread::sleep(Duration::from_millis(4_500));
    fleet.signal(2, "CONT");

    for order in orders {
        let answer = order.join().expect("the order is answered");
        assert_eq!(answer.status, 201, "{}", answer.body);
    }
    assert_eq!(fleet.run_counts(), vec![1; 12]);
    assert_eq!(fleet.settled_totals().settled, 120);
}

/// Guards against losing a stream that only its owner receives, because the owner
/// was silent and no other router can resume the stream.
#[test]
fn stream_of_a_silent_owner_goes_on_if_it_cannot_be_resumed() {
    let _exclusive = exclusive();
    let server = ScriptedServer::spawn(&stream_with_a_silence());
    let mut fleet = Fleet::start(&FleetOptions::default());
    fleet.engines = vec![server.address.clone()];
    fleet.apply(&TableOptions::default());
    let streams: Vec<_> = (0..12)
        .map(|number| {
            let key = format!("stream-{number}");
            let stream = stream_request(&fleet, 5).header("idempotency-key", key);
            thread::spawn(move || whole_text(stream))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));

    fleet.signal(2, "STOP");
    thread::sleep(Duration::from_millis(4_500));
    fleet.signal(2, "CONT");

    for stream in streams {
        let answer = stream.join().expect("the request is sent");
        let (_, text) = answer.expect("the stream is whole");
        assert_eq!(text.matches("\"content\"").count(), 2, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
    assert!(fleet.metric_total("peridotslip_events_total{event=\"home-unreachable\"") > 0.0);
    assert_eq!(server.runs(), 12);
    assert_eq!(fleet.settled_totals().settled, 12 * 7);
}

/// Guards against work of a non-idempotent stream that isn't billed, or that runs
/// again, because the stream failed or was late.
#[test]
fn non_idempotent_stream_that_fails_is_billed_and_not_run_again() {
    let _exclusive = exclusive();
    let [begun, rest] = stream_with_a_silence();
    let late = (Duration::from_secs(3), String::new());
    for (case, parts) in [
        ("broken", vec![begun.clone()]),
        ("late", vec![late, begun, rest]),
    ] {
        let server = ScriptedServer::spawn(&parts);
        let mut fleet = Fleet::start(&options(200));
        fleet.engines = vec![server.address.clone()];
        fleet.apply(&TableOptions {
            extra_routes: ONCE_ROUTE.to_owned(),
            ..TableOptions::default()
        });
        let body = json!({ "model": "once", "stream": true, "messages": [], "max_tokens": 5 });
        let once = || {
            request(&fleet, Method::POST, "/v1/chat/completions")
                .header("idempotency-key", "once")
                .json(&body)
        };

        let first = whole_text(once());
        let again = send(once());

        assert_ne!(first.map(|(status, _)| status), Some(200), "{case}");
        assert_eq!(again.refusal(), ("outcome-unknown", "unknown"), "{case}");
        assert_eq!(server.runs(), 1, "{case}");
        assert!(fleet.settled_totals().settled > 5, "{case}");
    }
}

/// Guards against withholding a ready response for ever because its bill became
/// durable late, though before the request's deadline.
#[test]
fn response_whose_bill_is_late_is_delivered_before_the_deadline() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&options(200));
    let warm = fleet.load(&["--model=tagline", "--count=20", "--rate=100"]);
    assert_eq!(number(&warm, "answered"), 20, "{warm}");
    fleet.settled_totals();
    let body = json!({ "model": "tagline", "messages": [], "max_tokens": 5 });
    let late = request(&fleet, Method::POST, "/v1/chat/completions").json(&body);

    fleet.store_faults(&json!({ "down": true }));
    let late = thread::spawn(move || send(late));
    thread::sleep(Duration::from_secs(12));
    fleet.store_faults(&json!({}));

    let answer = late.join().expect("the request is answered");
    assert_eq!(answer.status, 200, "{}", answer.body);
    let tokens =
        number(&warm, "tokens") + answer.body["usage"]["total_tokens"].as_u64().unwrap_or(0);
    assert_eq!(fleet.settled_totals().settled, tokens);
}
