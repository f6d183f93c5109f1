//! Pools of connections to backend servers.
//!
//! A connection carries one request at a time and is reused for the next. A
//! [`PooledConnection`] owns the connection during a request: dropped before
//! the response is complete, it closes the connection, which cancels the
//! request at the server.

mod overhead;

use std::{
    collections::{HashMap, HashSet},
    error::Error as StdError,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use peridotslip::forwarding::{ServerEntry, ServerStart};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

use self::overhead::{OverheadAllowance, OverheadLimitedStream};
use crate::{local_health::LinkMeter, metrics::Metrics, request_body::RequestContent};

/// Longest wait for a new connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// How long sent bytes may stay unacknowledged before the kernel closes the
/// connection, in milliseconds. Longer than a sound server may be silent: one that
/// doesn't read acknowledges nothing beyond its receive window.
const UNACKNOWLEDGED_LIMIT_MS: u64 = 3_000;
/// Idle time before the kernel probes a connection, and between probes, in
/// seconds.
const KEEP_ALIVE_S: u64 = 1;
/// How long a connection may stay idle in the pool if the server sets no limit,
/// in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// How long before the server's idle limit the router stops reusing a
/// connection, in milliseconds.
const IDLE_MARGIN_MS: u64 = 700;

/// Most bytes that a connection reads ahead, which also limits a response's
/// head, in bytes.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// Errors of a connection that the server's side has closed or reset. One to a
/// lost VM or over a broken link times out instead.
const CLOSED_BY_SERVER: [io::ErrorKind; 4] = [
    io::ErrorKind::BrokenPipe,
    io::ErrorKind::ConnectionAborted,
    io::ErrorKind::ConnectionReset,
    io::ErrorKind::UnexpectedEof,
];
/// Send buffer of a connection, in bytes. What is in it counts as sent.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Most headers of a response.
const MAX_HEADERS: usize = 100;

/// A connection that waits for its next request.
struct IdleConnection {
    sender: http1::SendRequest<RequestContent>,
    overhead: OverheadAllowance,
    task: AbortHandle,
    expires_at: Instant,
}

#[derive(Default)]
struct ConnectionPool {
    idle: Vec<IdleConnection>,
    /// Number of connections that are idle, in use or being opened.
    open: usize,
}

type PoolsByStart = HashMap<ServerStart, ConnectionPool>;

/// The connections to all servers.
pub(crate) struct ConnectionPools {
    pools: Arc<Mutex<PoolsByStart>>,
    metrics: Arc<Metrics>,
    meter: Arc<LinkMeter>,
}

/// How many connections this router has to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionUsage {
    /// Connections that are idle, in use or being opened.
    pub(crate) open: usize,
    /// Connections that wait for their next request.
    pub(crate) idle: usize,
}

/// Why no connection is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// The router's share of the server's connection limit is in use.
    Limit,
    /// The server can't be reached.
    Unreachable,
    /// The connection could not be opened in time.
    TimedOut,
}

/// The result of sending a request on a connection.
pub(crate) enum SendResult {
    /// The head of the response was received.
    Response(Response<Incoming>),
    /// The connection was closed before the request was written.
    Unwritten,
    /// The connection failed after the request was written and before the
    /// response's head was received.
    ConnectionLost(ConnectionError),
}

/// How a connection to a server failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionError {
    pub(crate) reason: String,
    /// Whether the server's side has closed or reset the connection.
    pub(crate) closed_by_server: bool,
    /// Whether a time limit of the connection has expired.
    pub(crate) timed_out: bool,
}

impl From<&hyper::Error> for ConnectionError {
    fn from(err: &hyper::Error) -> Self {
        let sources = std::iter::successors(err.source(), |&err| err.source());
        let kinds: Vec<io::ErrorKind> = sources
            .filter_map(|source| source.downcast_ref::<io::Error>())
            .map(io::Error::kind)
            .collect();
        Self {
            reason: describe(err),
            closed_by_server: err.is_incomplete_message()
                || kinds.iter().any(|kind| CLOSED_BY_SERVER.contains(kind)),
            timed_out: kinds.contains(&io::ErrorKind::TimedOut),
        }
    }
}

/// Returns an error's message with those of its sources.
fn describe(err: &dyn StdError) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(err) = source {
        text = format!("{text}: {err}");
        source = err.source();
    }
    text
}

fn lock(pools: &Mutex<PoolsByStart>) -> MutexGuard<'_, PoolsByStart> {
    pools.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionPools {
    pub(crate) fn new(metrics: Arc<Metrics>, meter: Arc<LinkMeter>) -> Self {
        Self {
            pools: Arc::default(),
            metrics,
            meter,
        }
    }

    /// Returns an idle connection to `server`, or opens one if this router has
    /// fewer than `limit`.
    ///
    /// # Errors
    ///
    /// An [`AcquireError`] if the limit is reached, or the server is unreachable or
    /// does not accept the connection in time.
    pub(crate) async fn acquire(
        &self,
        server: &ServerEntry,
        limit: usize,
    ) -> Result<PooledConnection, AcquireError> {
        let start = ServerStart::from(server);
        if let Some(connection) = self.take_idle(&start) {
            return Ok(connection);
        }
        {
            let mut pools = lock(&self.pools);
            let pool = pools.entry(start.clone()).or_default();
            if pool.open >= limit {
                return Err(AcquireError::Limit);
            }
            pool.open += 1;
        }
        let open_guard = OpenConnectionGuard {
            start: start.clone(),
            pools: self.pools.clone(),
        };
        let overhead = OverheadAllowance::new();
        let connecting = handshake(&server.address, overhead.clone(), self.meter.clone());
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connected = tokio::time::timeout(timeout, connecting).await;
        let (sender, connection) = connected
            .map_err(|_| AcquireError::TimedOut)?
            .map_err(|_| AcquireError::Unreachable)?;
        self.metrics.record_connection();
        let task = tokio::spawn(async move {
            let _open_guard = open_guard;
            if let Err(err) = connection.await {
                log::debug!("a connection to a server failed: {err}");
            }
        });
        Ok(PooledConnection {
            start,
            pools: self.pools.clone(),
            sender: Some(sender),
            overhead,
            task: task.abort_handle(),
        })
    }

    /// Takes the most recently released connection that is still usable, and
    /// closes unusable ones.
    fn take_idle(&self, start: &ServerStart) -> Option<PooledConnection> {
        let mut pools = lock(&self.pools);
        let pool = pools.get_mut(start)?;
        let now = Instant::now();
        while let Some(idle) = pool.idle.pop() {
            if idle.expires_at > now && idle.sender.is_ready() {
                return Some(PooledConnection {
                    start: start.clone(),
                    pools: self.pools.clone(),
                    sender: Some(idle.sender),
                    overhead: idle.overhead,
                    task: idle.task,
                });
            }
            idle.task.abort();
        }
        None
    }

    /// Returns the connections of this router to a server.
    pub(crate) fn usage(&self, start: &ServerStart) -> ConnectionUsage {
        let pools = lock(&self.pools);
        pools
            .get(start)
            .map_or_else(ConnectionUsage::default, |pool| ConnectionUsage {
                open: pool.open,
                idle: pool.idle.len(),
            })
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&self, server: &str) {
        let mut pools = lock(&self.pools);
        let pools = pools.iter_mut();
        pools
            .filter(|(start, _)| start.server == server)
            .flat_map(|(_, pool)| pool.idle.drain(..))
            .for_each(|idle| idle.task.abort());
    }

    /// Closes idle connections that have expired or whose start is not
    /// `known`.
    pub(crate) fn evict_idle(&self, known: &HashSet<ServerStart>) {
        let now = Instant::now();
        let mut pools = lock(&self.pools);
        for (start, pool) in pools.iter_mut() {
            let removed = !known.contains(start);
            pool.idle.retain(|idle| {
                let keep = !removed && idle.expires_at > now && !idle.sender.is_closed();
                if !keep {
                    idle.task.abort();
                }
                keep
            });
        }
        pools.retain(|start, pool| known.contains(start) || pool.open > 0);
    }
}

/// Counts a connection as open while its task runs.
struct OpenConnectionGuard {
    start: ServerStart,
    pools: Arc<Mutex<PoolsByStart>>,
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        if let Some(pool) = lock(&self.pools).get_mut(&self.start) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

type Connection = http1::Connection<TokioIo<OverheadLimitedStream>, RequestContent>;

/// Opens a connection.
async fn handshake(
    address: &str,
    overhead: OverheadAllowance,
    meter: Arc<LinkMeter>,
) -> Result<(http1::SendRequest<RequestContent>, Connection), Box<dyn StdError + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_LIMIT_MS)))?;
    let keep_alive = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEP_ALIVE_S))
        .with_interval(Duration::from_secs(KEEP_ALIVE_S))
        .with_retries(2);
    socket.set_tcp_keepalive(&keep_alive)?;
    let stream = OverheadLimitedStream::new(stream, overhead, meter);
    Ok(http1::Builder::new()
        .max_buf_size(MAX_READ_AHEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(stream))
        .await?)
}

/// A connection that is in use for one request.
pub(crate) struct PooledConnection {
    start: ServerStart,
    pools: Arc<Mutex<PoolsByStart>>,
    sender: Option<http1::SendRequest<RequestContent>>,
    overhead: OverheadAllowance,
    task: AbortHandle,
}

impl PooledConnection {
    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(&mut self, request: Request<RequestContent>) -> SendResult {
        let Some(sender) = &mut self.sender else {
            return SendResult::Unwritten;
        };
        if sender.ready().await.is_err() {
            return SendResult::Unwritten;
        }
        self.overhead.reset();
        match sender.try_send_request(request).await {
            Ok(response) => SendResult::Response(response),
            Err(mut err) => match err.take_message() {
                Some(_) => SendResult::Unwritten,
                None => SendResult::ConnectionLost((&err.into_error()).into()),
            },
        }
    }

    /// Records that a piece of the response's content with `bytes` bytes has been
    /// read. A server that sends little content among other bytes, or a `chunked`
    /// body in many short pieces, is cut off.
    pub(crate) fn record_content(&self, bytes: usize, chunked: bool) {
        if chunked {
            self.overhead.extend_by_piece(bytes);
        } else {
            self.overhead.extend(bytes);
        }
    }

    /// Returns the connection to the pool after the complete response has been
    /// read. `limit_s` is the server's idle limit in seconds.
    pub(crate) fn release(mut self, limit_s: Option<u64>) {
        let idle_ms = limit_s.map_or(DEFAULT_IDLE_MS, |seconds| seconds * 1_000);
        let max_idle = Duration::from_millis(idle_ms.saturating_sub(IDLE_MARGIN_MS));
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() || max_idle.is_zero() {
            self.task.abort();
            return;
        }
        if let Some(pool) = lock(&self.pools).get_mut(&self.start) {
            pool.idle.push(IdleConnection {
                sender,
                overhead: self.overhead.clone(),
                task: self.task.clone(),
                expires_at: Instant::now() + max_idle,
            });
        } else {
            self.task.abort();
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}
