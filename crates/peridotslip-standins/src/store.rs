//! The platform's key-value store, over HTTP.
//!
//! `GET /kv/KEY[?after=V&wait_ms=N]`, `PUT /kv/KEY?if_version=V[&ttl_ms=N]`,
//! `PUT /faults` to make it fail and `GET /calls` to count.

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Path, Query, State},
    http::{StatusCode, header::HeaderValue},
    response::{IntoResponse, Response},
    routing::{get, put},
};
use bpaf::Bpaf;
use peridotslip_store::{Error, InjectedFaults, MemoryStore, Store, VersionedValue, WriteFault};
use serde::Deserialize;

use crate::serve::{Result, serve};

/// Largest body, in bytes; the value limit itself is the store's.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Reads a second before it answers 429
    #[bpaf(argument("N"), fallback(2000))]
    reads_per_s: u32,
    /// Writes a second before it answers 429
    #[bpaf(argument("N"), fallback(400))]
    writes_per_s: u32,
}

/// What a test makes the store do.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FaultOrder {
    down: bool,
    delay_ms: u64,
    lose_replies: usize,
    lose_requests: usize,
}

struct Server {
    store: MemoryStore,
    reads: Mutex<Quota>,
    writes: Mutex<Quota>,
}

/// Counts the calls of the current second.
struct Quota {
    limit: u32,
    used: u32,
    since: Instant,
}

impl Quota {
    fn new(limit: u32) -> Mutex<Self> {
        Mutex::new(Self {
            limit,
            used: 0,
            since: Instant::now(),
        })
    }

    fn take(&mut self) -> bool {
        if self.since.elapsed() >= Duration::from_secs(1) {
            self.since = Instant::now();
            self.used = 0;
        }
        self.used += 1;
        self.used <= self.limit
    }
}

fn allowed(quota: &Mutex<Quota>) -> bool {
    quota
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .take()
}

#[derive(Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

#[derive(Deserialize)]
struct SwapQuery {
    if_version: u64,
    /// Makes the write a lease of so many milliseconds.
    ttl_ms: Option<u64>,
}

/// Runs the store.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let server = Arc::new(Server {
        store: MemoryStore::new(),
        reads: Quota::new(options.reads_per_s),
        writes: Quota::new(options.writes_per_s),
    });
    let app = Router::new()
        .route("/kv/{*key}", get(read).put(compare_and_swap))
        .route("/faults", put(set_faults))
        .route("/calls", get(calls))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(server);
    serve(options.listen, app).await
}

fn versioned(status: StatusCode, version: u64, value: Vec<u8>) -> Response {
    let mut reply = (status, value).into_response();
    reply
        .headers_mut()
        .insert("x-version", HeaderValue::from(version));
    reply
}

async fn read(
    State(server): State<Arc<Server>>,
    Path(key): Path<String>,
    Query(query): Query<WatchQuery>,
) -> Response {
    if !allowed(&server.reads) {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let found = match (query.after, query.wait_ms) {
        (Some(after), Some(wait_ms)) => {
            let wait = Duration::from_millis(wait_ms);
            server.store.watch(&key, after, wait).await
        }
        _ => server.store.get(&key).await,
    };
    match found {
        Ok(Some(VersionedValue { version, value })) => versioned(StatusCode::OK, version, value),
        Ok(None) if query.after.is_some() => StatusCode::NOT_MODIFIED.into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn compare_and_swap(
    State(server): State<Arc<Server>>,
    Path(key): Path<String>,
    Query(query): Query<SwapQuery>,
    body: Bytes,
) -> Response {
    if !allowed(&server.writes) {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let version = query.if_version;
    let swapped = match query.ttl_ms.map(Duration::from_millis) {
        Some(ttl) => {
            server
                .store
                .compare_and_swap_with_ttl(&key, version, &body, ttl)
                .await
        }
        None => server.store.compare_and_swap(&key, version, &body).await,
    };
    match swapped {
        Ok(version) => versioned(StatusCode::OK, version, Vec::new()),
        Err(Error::Conflict(version)) => {
            versioned(StatusCode::PRECONDITION_FAILED, version, Vec::new())
        }
        Err(Error::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        Err(Error::Unavailable(_)) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        // A status that the client can't tell from a broken proxy.
        Err(Error::Indeterminate(_)) => StatusCode::BAD_GATEWAY.into_response(),
    }
}

async fn set_faults(State(server): State<Arc<Server>>, Json(order): Json<FaultOrder>) {
    let lost = std::iter::repeat_n(Some(WriteFault::ReplyLost), order.lose_replies);
    let never = std::iter::repeat_n(Some(WriteFault::RequestLost), order.lose_requests);
    server.store.set_faults(InjectedFaults {
        unavailable: order.down,
        delay_ms: order.delay_ms,
        write_faults: lost.chain(never).collect(),
    });
}

async fn calls(State(server): State<Arc<Server>>) -> Json<serde_json::Value> {
    let (reads, writes) = server.store.call_counts();
    Json(serde_json::json!({ "reads": reads, "writes": writes }))
}
