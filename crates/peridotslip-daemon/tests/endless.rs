//! Responses of backend servers that have no end, at a router with its own
//! interface.

mod common;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use common::{
    exclusive,
    fleet::{Fleet, FleetOptions},
    http::block_on,
    tables::{MUSCAT_KEY, TableOptions},
};
use reqwest::Client;

/// Responses without end at once.
const RESPONSES: usize = 50;
/// Most memory that the responses may take, in kilobytes: a small VM has 88 MB.
const MAX_GROWTH_KB: u64 = 48 * 1024;
/// Deadline of the route.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after the deadline in which the caller must be answered.
const SLACK: Duration = Duration::from_secs(1);

/// How a server writes after the head.
#[derive(Clone, Copy)]
enum Pace {
    Full,
    /// One byte at a time, with pauses of 100 ms.
    Trickle,
}

/// Starts a server whose response bodies have no end, and returns its address.
fn start_server(pace: Pace) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || write_endless(stream, pace));
        }
    });
    address
}

/// Writes until the router closes the connection.
fn write_endless(mut stream: TcpStream, pace: Pace) {
    let mut request = [0; 4096];
    if !stream.read(&mut request).is_ok_and(|count| count > 0) {
        return;
    }
    let mut written = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").is_ok();
    let block = vec![b'x'; 16 * 1024];
    while written {
        written = match pace {
            Pace::Full => stream.write_all(&block).is_ok(),
            Pace::Trickle => {
                thread::sleep(Duration::from_millis(100));
                stream.write_all(b"x").is_ok()
            }
        };
    }
}

/// Starts a router whose requests for `/endless` reach a server with responses
/// without end.
fn start(pace: Pace) -> Fleet {
    let tables = TableOptions {
        extra_routes: format!(
            "  - {{name: endless, organisation: muscat, path: /endless, pool: muscat-orders, tokens_per_call: 1, deadline_ms: {}}}\n",
            DEADLINE.as_millis()
        ),
        ..TableOptions::default()
    };
    let mut fleet = Fleet::start(&FleetOptions {
        routers: 1,
        engines: 1,
        ..FleetOptions::default()
    });
    fleet.services = vec![start_server(pace)];
    fleet.apply(&tables);
    fleet
}

async fn send(address: &str) -> u16 {
    let request = Client::new()
        .post(format!("http://{address}/endless"))
        .bearer_auth(MUSCAT_KEY);
    request.send().await.unwrap().status().as_u16()
}

/// Returns the router's peak of resident memory, in kilobytes.
fn peak_kb(fleet: &Fleet) -> u64 {
    let path = format!("/proc/{}/status", fleet.routers[0].child.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    line.unwrap()
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse()
        .unwrap()
}

/// Guards against bodies without end that together exceed the memory of a VM
/// though each is limited.
#[test]
fn bodies_without_end_take_bounded_memory() {
    let _exclusive = exclusive();
    let fleet = start(Pace::Full);
    let address = &fleet.routers[0].callers;
    let before_kb = peak_kb(&fleet);

    let statuses = block_on(async {
        let sent = (0..RESPONSES).map(|_| send(address));
        futures::future::join_all(sent).await
    });

    let growth_kb = peak_kb(&fleet) - before_kb;
    assert!(statuses.iter().all(|status| *status >= 500), "{statuses:?}");
    assert!(growth_kb <= MAX_GROWTH_KB, "{growth_kb} kB");
}

/// Guards against a slow body without end that holds its caller beyond the
/// deadline.
#[test]
fn slow_body_without_end_is_given_up_at_the_deadline() {
    let _exclusive = exclusive();
    let fleet = start(Pace::Trickle);
    let address = &fleet.routers[0].callers;
    let started = Instant::now();

    let status = block_on(async {
        let limit = DEADLINE + SLACK + SLACK;
        tokio::time::timeout(limit, send(address)).await.ok()
    });

    let elapsed = started.elapsed();
    assert_eq!(status, Some(504), "after {elapsed:?}");
    assert!(elapsed < DEADLINE + SLACK, "took {elapsed:?}");
}
