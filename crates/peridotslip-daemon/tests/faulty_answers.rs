//! Answers of faulty servers that must not reach a caller as whole ones, at a router with
//! its own interface.

mod common;

use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use common::{
    exclusive,
    fleet::{Fleet, FleetOptions},
    http::block_on,
    tables::{MUSCAT_KEY, TableOptions},
};
use reqwest::Client;

/// Length of a long upload, in bytes: more than the kernel's buffers hold of it.
const UPLOAD_BYTES: usize = 900 * 1024;
/// Receive buffer of the server, in bytes.
const SMALL_BUFFER_BYTES: usize = 4 * 1024;

/// Starts a server that sends `answer` as soon as it has read a request's head, and closes
/// its side of the connection. Returns its address.
fn start_server(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener)
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || respond(stream, &answer));
        }
    });
    address
}

fn respond(mut stream: TcpStream, answer: &str) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if !stream.read(&mut byte).is_ok_and(|count| count > 0) {
            return;
        }
        head.push(byte[0]);
    }
    // The router may have given the request up.
    stream.write_all(answer.as_bytes()).ok();
    thread::sleep(Duration::from_millis(100));
    stream.shutdown(Shutdown::Write).ok();
    thread::sleep(Duration::from_secs(3));
}

/// Starts a router whose requests for `/faulty` reach a server that sends `answer`.
fn start(answer: &str) -> Fleet {
    start_with(start_server(answer.to_owned()))
}

/// Starts a router whose requests for `/faulty` reach the server at `address`.
fn start_with(address: String) -> Fleet {
    let route = "  - {name: faulty, organisation: muscat, path: /faulty, pool: muscat-orders, tokens_per_call: 1, deadline_ms: 2000}\n";
    let tables = TableOptions {
        extra_routes: route.to_owned(),
        ..TableOptions::default()
    };
    let mut fleet = Fleet::start(&FleetOptions {
        routers: 1,
        engines: 1,
        ..FleetOptions::default()
    });
    fleet.services = vec![address];
    fleet.apply(&tables);
    fleet
}

/// Sends a request with a body of `length` bytes. Returns the status and the body, if it
/// was whole.
fn send(fleet: &Fleet, length: usize) -> (u16, Option<String>) {
    let request = Client::new()
        .post(format!("http://{}/faulty", fleet.routers[0].callers))
        .bearer_auth(MUSCAT_KEY)
        .body("u".repeat(length));
    block_on(async {
        let response = request.send().await.unwrap();
        (response.status().as_u16(), response.text().await.ok())
    })
}

/// Guards against MIXED: the part of an answer that a server had sent before it gave up a
/// long upload was taken for the whole answer, as it had no length.
#[test]
fn an_early_answer_without_length_is_not_whole_before_the_upload() {
    let _exclusive = exclusive();
    let fleet = start("HTTP/1.1 200 OK\r\n\r\na part");

    let (status, text) = send(&fleet, UPLOAD_BYTES);
    let (small_status, small_text) = send(&fleet, 4);

    assert!(status >= 500, "{status} with {text:?}");
    assert_eq!((small_status, small_text.as_deref()), (200, Some("a part")));
}

/// Guards against MIXED: an answer whose status is none reached the caller.
#[test]
fn an_answer_without_a_valid_status_is_none() {
    let _exclusive = exclusive();
    for status in ["000", "101", "600", "999"] {
        let fleet = start(&format!(
            "HTTP/1.1 {status} X\r\nContent-Length: 4\r\n\r\nfine"
        ));

        let (found, text) = send(&fleet, 4);

        assert!(
            (500..600).contains(&found),
            "{status}: {found} with {text:?}"
        );
    }
}

/// Starts a server that breaks `answer` off after as many bytes as the request's body has.
/// Returns its address and the lengths that it has sent.
fn start_breaking_server(answer: String) -> (String, Arc<Mutex<BTreeSet<usize>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let sent = Arc::new(Mutex::new(BTreeSet::new()));
    let shared = sent.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, sent) = (answer.clone(), shared.clone());
            thread::spawn(move || break_off(stream, &answer, &sent));
        }
    });
    (address, sent)
}

fn break_off(mut stream: TcpStream, answer: &str, sent: &Mutex<BTreeSet<usize>>) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if !stream.read(&mut byte).is_ok_and(|count| count > 0) {
            return;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let length = head.split("\r\ncontent-length: ").nth(1);
    let length = length.and_then(|rest| rest.split("\r\n").next());
    let length: usize = length.unwrap().parse().unwrap();
    let mut body = vec![0; length];
    if stream.read_exact(&mut body).is_ok() {
        // The router may have given the request up.
        stream.write_all(&answer.as_bytes()[..length]).ok();
        sent.lock().unwrap().insert(length);
    }
}

/// Guards against MIXED: an answer whose head broke off, or that ended before its framing
/// says so, reached the caller as a success with an empty or short body.
#[test]
fn answers_that_break_off_anywhere_are_never_whole() {
    let _exclusive = exclusive();
    for framed in [
        "Content-Length: 4\r\n\r\nfine",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\nX-Other: a\r\n{framed}");
        let (address, sent) = start_breaking_server(answer.clone());
        let fleet = start_with(address);

        for length in 1..answer.len() {
            let (status, text) = send(&fleet, length);

            let is_success = (200..300).contains(&status) && text.is_some();
            assert!(
                !is_success,
                "{length} bytes of {answer:?}: {status} {text:?}"
            );
            // A server that only fails gets no more requests for some time.
            let whole = send(&fleet, answer.len());
            assert_eq!((whole.0, whole.1.as_deref()), (200, Some("fine")));
        }

        let all: BTreeSet<usize> = (1..=answer.len()).collect();
        assert_eq!(*sent.lock().unwrap(), all, "cuts that a server has made");
    }
}
