//! Requests of callers to one fleet: validation and the reason, status and cost
//! of each rejection, timeouts, idempotency keys, disconnects, and streaming.

mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use common::{
    eventually, exclusive,
    fleet::{Fleet, FleetOptions, free_address, metric, program},
    http::{get, send},
    tables::{MUSCAT_KEY, NIZWA_KEY, TableOptions},
};
use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};

fn start_one_router() -> Fleet {
    Fleet::start(&FleetOptions {
        routers: 1,
        engines: 1,
        settings: "limits: {max_body_bytes: 4000, header_timeout_ms: 500, body_timeout_ms: 500}\n"
            .to_owned(),
        ..FleetOptions::default()
    })
}

fn completion_request(fleet: &Fleet, body: &Value) -> RequestBuilder {
    completion_request_with_key(fleet, MUSCAT_KEY, body)
}

fn completion_request_with_key(fleet: &Fleet, key: &str, body: &Value) -> RequestBuilder {
    let url = format!("http://{}/v1/chat/completions", fleet.routers[0].callers);
    Client::new().post(url).bearer_auth(key).json(body)
}

fn valid_body() -> Value {
    json!({ "model": "tagline", "messages": [], "max_tokens": 5 })
}

#[test]
#[allow(clippy::too_many_lines)] // A table of cases.
fn invalid_requests_are_rejected_with_their_reason_and_not_billed() {
    let _exclusive = exclusive();
    let fleet = start_one_router();
    let url = |path: &str| format!("http://{}{path}", fleet.routers[0].callers);
    let request_with = |field: &str, value: Value| {
        let mut body = valid_body();
        body[field] = value;
        completion_request(&fleet, &body)
    };
    let long_key = "x".repeat(300);
    let cases: Vec<(&str, u16, &str, RequestBuilder)> = vec![
        (
            "no API key",
            401,
            "unauthenticated",
            Client::new().post(url("/nowhere")),
        ),
        (
            "an unknown API key",
            401,
            "unauthenticated",
            Client::new()
                .post(url("/v1/completions"))
                .bearer_auth("guess")
                .body("{"),
        ),
        (
            "not JSON",
            400,
            "malformed-body",
            completion_request(&fleet, &valid_body()).body("{\"model\":"),
        ),
        (
            "no model",
            400,
            "malformed-body",
            completion_request(&fleet, &json!({ "max_tokens": 1 })),
        ),
        (
            "two choices per request",
            400,
            "malformed-body",
            request_with("n", json!(2)),
        ),
        (
            "an unknown model",
            404,
            "no-route",
            request_with("model", json!("other")),
        ),
        (
            "an unknown path",
            404,
            "no-route",
            Client::new().get(url("/x")).bearer_auth(MUSCAT_KEY),
        ),
        (
            "no max_tokens",
            400,
            "max-tokens",
            request_with("max_tokens", Value::Null),
        ),
        (
            "max_tokens of 0",
            400,
            "max-tokens",
            request_with("max_tokens", json!(0)),
        ),
        (
            "max_tokens above the route's limit",
            400,
            "max-tokens",
            request_with("max_tokens", json!(1_000_000)),
        ),
        (
            "a large body",
            413,
            "body-too-large",
            request_with("messages", json!([long_key.repeat(20)])),
        ),
        (
            "a non-idempotent request without an idempotency key",
            400,
            "idempotency-key-required",
            Client::new().post(url("/orders")).bearer_auth(MUSCAT_KEY),
        ),
        (
            "an idempotency key longer than 255 bytes",
            400,
            "idempotency-key-malformed",
            completion_request(&fleet, &valid_body()).header("idempotency-key", &long_key),
        ),
        (
            "another organisation's path",
            404,
            "no-route",
            Client::new().post(url("/orders")).bearer_auth(NIZWA_KEY),
        ),
    ];
    for (case, status, reason, request) in cases {
        let name = format!("peridotslip_refusals_total{{reason=\"{reason}\"");
        let before = metric(&fleet.routers[0], &name);

        let response = send(request);

        assert_eq!(response.status, status, "{case}: {}", response.body);
        assert_eq!(response.refusal(), (reason, "not-run"), "{case}");
        assert_eq!(
            response.headers["content-type"], "application/problem+json",
            "{case}"
        );
        let after = metric(&fleet.routers[0], &name);
        assert!(
            (after - before - 1.0).abs() < 0.1,
            "{case}: {reason} counted {before} to {after}"
        );
    }
    assert_eq!(fleet.engine_stat("started"), 0);
    assert_eq!(fleet.run_counts(), Vec::<u64>::new());
    assert_eq!(fleet.ledger_totals().settled, 0);
}

#[test]
fn slow_headers_and_bodies_time_out_and_bad_chunks_are_rejected() {
    let _exclusive = exclusive();
    let fleet = start_one_router();
    let open = || {
        let stream = TcpStream::connect(&fleet.routers[0].callers).expect("the router listens");
        let read_timeout = Some(Duration::from_secs(20));
        stream
            .set_read_timeout(read_timeout)
            .expect("a read timeout can be set");
        stream
    };
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {MUSCAT_KEY}\r\n"
    );
    let cases = [
        ("half a head", head.clone(), None),
        (
            "half a body",
            format!("{head}content-length: 50\r\n\r\n{{"),
            Some("408"),
        ),
        (
            "a bad chunk",
            format!("{head}transfer-encoding: chunked\r\n\r\nxyz\r\n"),
            Some("400"),
        ),
    ];
    for (case, sent, status) in cases {
        let mut stream = open();
        stream
            .write_all(sent.as_bytes())
            .expect("the request is sent");

        let mut response = Vec::new();
        let ended = stream.read_to_end(&mut response);

        let text = String::from_utf8_lossy(&response).into_owned();
        match status {
            Some(status) => assert!(
                text.starts_with(&format!("HTTP/1.1 {status}")),
                "{case}: {text}"
            ),
            None => assert!(
                ended.is_ok() && !text.contains("200"),
                "{case}: {ended:?} {text}"
            ),
        }
    }
}

#[test]
fn idempotency_key_is_scoped_to_one_request_of_one_organisation() {
    let _exclusive = exclusive();
    let fleet = start_one_router();
    let mut other_body = valid_body();
    other_body["max_tokens"] = json!(6);
    let keyed = |body: &Value| completion_request(&fleet, body).header("idempotency-key", "k1");

    let first = send(keyed(&valid_body()));
    let again = send(keyed(&valid_body()));
    let different = send(keyed(&other_body));
    let other_organisation = send(
        completion_request_with_key(&fleet, NIZWA_KEY, &other_body).header("idempotency-key", "k1"),
    );

    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(first.body, again.body);
    assert_eq!(different.refusal(), ("idempotency-key-reused", "not-run"));
    assert_ne!(other_organisation.body["id"], first.body["id"]);
    assert_eq!(fleet.engine_stat("started"), 2);
}

#[test]
fn disconnect_cancels_the_engine_and_bills_used_tokens() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&FleetOptions {
        routers: 1,
        engines: 1,
        engine_args: vec!["--token-us=5000".to_owned(), "--full-length".to_owned()],
        ..FleetOptions::default()
    });

    let report = fleet.load(&[
        "--model=tagline",
        "--stream",
        "--max-tokens=2000",
        "--leave-after=10",
    ]);

    assert_eq!(report["left"], 1);
    eventually("the engine gets the cancellation", || {
        fleet.engine_stat("cancelled") == 1
    });
    let used_tokens =
        || fleet.engine_stat("prompt_tokens") + fleet.engine_stat("completion_tokens");
    eventually("the bill is recorded", || fleet.ledger_totals().settled > 0);
    assert_eq!(fleet.ledger_totals().settled, used_tokens());
    assert!(fleet.engine_stat("completion_tokens") < 1_000);
}

#[test]
fn streams_are_relayed_before_the_response_is_complete() {
    let _exclusive = exclusive();
    let fleet = Fleet::start(&FleetOptions {
        engine_args: vec!["--token-us=20000".to_owned(), "--full-length".to_owned()],
        ..FleetOptions::default()
    });

    let report = fleet.load(&["--model=tagline", "--stream", "--max-tokens=50"]);

    let (first, total) = (&report["first_byte"]["p50_us"], &report["total"]["p50_us"]);
    let (first, total) = (first.as_u64().unwrap_or(0), total.as_u64().unwrap_or(0));
    assert_eq!(report["answered"], 1);
    assert!(
        first > 0 && first * 3 < total,
        "first byte at {first} of {total} us"
    );
}

/// Starts a server that reads a request and closes the connection without a
/// response; returns its address.
fn spawn_closing_server() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut stream = stream;
            let _ = stream.read(&mut [0; 4096]);
        }
    });
    address
}

/// Guards against a rejection with status "not run" after a retry: the first
/// server may have run the request before it closed the connection, and the
/// connection refused by the second server doesn't disprove that.
#[test]
fn retry_at_another_server_preserves_unknown_status() {
    let _exclusive = exclusive();
    let mut fleet = start_one_router();
    fleet.engines = vec![spawn_closing_server(), "127.0.0.1:9".to_owned()];
    fleet.apply(&TableOptions::default());
    for number in 0..12 {
        let mut body = valid_body();
        body["messages"] = json!([number.to_string().repeat(40)]);

        let response = send(completion_request(&fleet, &body));

        let (reason, run) = response.refusal();
        let ejected = reason == "no-backend";
        assert!(ejected || run == "unknown", "{number}: {}", response.body);
    }
}

#[test]
fn router_without_tables_sends_retry_after_and_unknown_for_keyed_requests() {
    let _exclusive = exclusive();
    let dir = tempfile::TempDir::new().expect("a directory can be made");
    let settings = dir.path().join("settings.yaml");
    let addresses: Vec<String> = (0..3).map(|_| free_address()).collect();
    let text = format!(
        "firm: qalam\nvm: lone\ndata_centre: here\nstore: {{address: \"127.0.0.1:9\"}}\nlog: {{level: error}}\n\
         listen: {{callers: \"{}\", operators: \"{}\", peers: \"{}\"}}\n",
        addresses[0], addresses[1], addresses[2]
    );
    std::fs::write(&settings, text).expect("the file can be written");
    let mut router = program("peridotslipd")
        .arg("--settings")
        .arg(&settings)
        .spawn()
        .expect("cargo has built the daemon");
    let health = format!("http://{}/healthz", addresses[1]);
    eventually("the router responds", || get(&health).is_some());
    let url = format!("http://{}/v1/completions", addresses[0]);
    let request = || {
        Client::new()
            .post(&url)
            .bearer_auth(MUSCAT_KEY)
            .json(&valid_body())
    };

    let plain = send(request());
    let keyed = send(request().header("idempotency-key", "k"));

    router.kill().expect("the router runs");
    router.wait().expect("the router exits");
    assert_eq!(plain.refusal(), ("not-configured", "not-run"));
    assert_eq!(keyed.refusal(), ("not-configured", "unknown"));
    assert!(plain.headers.contains_key("retry-after") && keyed.headers.contains_key("retry-after"));
}
