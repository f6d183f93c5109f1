//! A fake of the platform's key-value store, over HTTP.
//!
//! - `GET /kv/KEY[?after=V&wait_ms=N]`: reads a key, or waits for a version
//!   after V.
//! - `PUT /kv/KEY?if_version=V[&ttl_ms=N]`: replaces the value if the key is at
//!   version V.
//! - `PUT /faults`: sets the faults to inject.
//! - `GET /calls`: the number of reads and writes.

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

/// Largest request body, in bytes. The store itself enforces the limit on
/// values.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Reads per second; further reads get status 429
    #[bpaf(argument("N"), fallback(2000))]
    reads_per_s: u32,
    /// Writes per second; further writes get status 429
    #[bpaf(argument("N"), fallback(400))]
    writes_per_s: u32,
}

/// The body of `PUT /faults`: the faults that a test injects.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FaultRequest {
    /// Whether all reads and writes of keys fail.
    down: bool,
    /// Delay of each call, in milliseconds.
    delay_ms: u64,
    /// Number of next writes that take effect but whose replies are lost.
    lose_replies: usize,
    /// Number of writes after those whose requests are lost: the writes don't take
    /// effect and have no reply.
    lose_requests: usize,
}

struct StoreServer {
    store: MemoryStore,
    reads: Mutex<RateLimiter>,
    writes: Mutex<RateLimiter>,
}

/// A limit on the number of calls per second.
struct RateLimiter {
    /// Calls per second.
    limit: u32,
    /// Number of calls in the current window.
    used: u32,
    window_start: Instant,
}

impl RateLimiter {
    fn new(limit: u32) -> Mutex<Self> {
        Mutex::new(Self {
            limit,
            used: 0,
            window_start: Instant::now(),
        })
    }

    /// Counts a call and returns whether the call is within the limit. Each window
    /// of one second begins with a count of zero.
    fn try_acquire(&mut self) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.used = 0;
        }
        self.used += 1;
        self.used <= self.limit
    }
}

fn allowed(limiter: &Mutex<RateLimiter>) -> bool {
    limiter
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .try_acquire()
}

#[derive(Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

#[derive(Deserialize)]
struct CasQuery {
    if_version: u64,
    /// Time to live of the value, in milliseconds.
    ttl_ms: Option<u64>,
}

/// Serves the fake store until the process receives a stop signal.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let server = Arc::new(StoreServer {
        store: MemoryStore::new(),
        reads: RateLimiter::new(options.reads_per_s),
        writes: RateLimiter::new(options.writes_per_s),
    });
    let app = Router::new()
        .route("/kv/{*key}", get(read).put(compare_and_swap))
        .route("/faults", put(set_faults))
        .route("/calls", get(calls))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(server);
    serve(options.listen, app).await
}

fn versioned_response(status: StatusCode, version: u64, value: Vec<u8>) -> Response {
    let mut response = (status, value).into_response();
    response
        .headers_mut()
        .insert("x-version", HeaderValue::from(version));
    response
}

async fn read(
    State(server): State<Arc<StoreServer>>,
    Path(key): Path<String>,
    Query(query): Query<WatchQuery>,
) -> Response {
    if !allowed(&server.reads) {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let result = match (query.after, query.wait_ms) {
        (Some(after), Some(wait_ms)) => {
            let wait = Duration::from_millis(wait_ms);
            server.store.watch(&key, after, wait).await
        }
        _ => server.store.get(&key).await,
    };
    match result {
        Ok(Some(VersionedValue { version, value })) => {
            versioned_response(StatusCode::OK, version, value)
        }
        Ok(None) if query.after.is_some() => StatusCode::NOT_MODIFIED.into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn compare_and_swap(
    State(server): State<Arc<StoreServer>>,
    Path(key): Path<String>,
    Query(query): Query<CasQuery>,
    body: Bytes,
) -> Response {
    if !allowed(&server.writes) {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let version = query.if_version;
    let result = match query.ttl_ms.map(Duration::from_millis) {
        Some(ttl) => {
            server
                .store
                .compare_and_swap_with_ttl(&key, version, &body, ttl)
                .await
        }
        None => server.store.compare_and_swap(&key, version, &body).await,
    };
    match result {
        Ok(version) => versioned_response(StatusCode::OK, version, Vec::new()),
        Err(Error::Conflict(version)) => {
            versioned_response(StatusCode::PRECONDITION_FAILED, version, Vec::new())
        }
        Err(Error::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        Err(Error::Unavailable(_)) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        // A broken proxy returns the same status, so the client has to treat
        // the outcome of the write as unknown.
        Err(Error::Indeterminate(_)) => StatusCode::BAD_GATEWAY.into_response(),
    }
}

async fn set_faults(State(server): State<Arc<StoreServer>>, Json(request): Json<FaultRequest>) {
    let lost_replies = std::iter::repeat_n(Some(WriteFault::ReplyLost), request.lose_replies);
    let lost_requests = std::iter::repeat_n(Some(WriteFault::RequestLost), request.lose_requests);
    server.store.set_faults(InjectedFaults {
        unavailable: request.down,
        delay_ms: request.delay_ms,
        write_faults: lost_replies.chain(lost_requests).collect(),
    });
}

async fn calls(State(server): State<Arc<StoreServer>>) -> Json<serde_json::Value> {
    let (reads, writes) = server.store.call_counts();
    Json(serde_json::json!({ "reads": reads, "writes": writes }))
}
