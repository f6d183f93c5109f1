//! Connections to backend servers.
//!
//! A connection carries one request at a time and is kept for the next. Its
//! owner is a [`Lease`]: dropped before the answer is whole, it closes the
//! connection, which cancels the work at the server.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use peridotslip::forwarding::{ServerEntry, ServerId};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

use crate::metrics::Metrics;

/// Longest wait for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// How long sent bytes may stay unacknowledged, in milliseconds. A server
/// that is only slow still acknowledges.
const UNACKNOWLEDGED_LIMIT_MS: u64 = 1_200;
/// Idle time before the kernel probes a connection, in seconds.
const KEEP_ALIVE_S: u64 = 1;
/// How long a connection is kept idle if the server names no limit, in
/// milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// A connection is closed this long before the server would, in milliseconds.
const IDLE_MARGIN_MS: u64 = 700;

struct Idle {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until: Instant,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    open: usize,
}

type Pools = HashMap<ServerId, Pool>;

/// The connections of all servers.
pub(crate) struct Upstream {
    pools: Arc<Mutex<Pools>>,
    metrics: Arc<Metrics>,
}

/// Why no connection could be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoConnection {
    /// The router's share of the server's connections is in use.
    Limit,
    /// The server can't be reached.
    Unreachable,
}

/// What became of a request on a connection.
pub(crate) enum Exchange {
    /// An answer's head came.
    Answer(Response<Incoming>),
    /// The connection had closed before the request was written.
    Unwritten,
    /// The request was written and no head came.
    Broken(String),
}

fn lock(pools: &Mutex<Pools>) -> MutexGuard<'_, Pools> {
    pools.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Upstream {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            pools: Arc::default(),
            metrics,
        }
    }

    /// A connection to `server`, of at most `limit` by this router.
    pub(crate) async fn connect(
        &self,
        server: &ServerEntry,
        limit: usize,
    ) -> Result<Lease, NoConnection> {
        if let Some(lease) = self.reuse(&server.id) {
            return Ok(lease);
        }
        {
            let mut pools = lock(&self.pools);
            let pool = pools.entry(server.id.clone()).or_default();
            if pool.open >= limit {
                return Err(NoConnection::Limit);
            }
            pool.open += 1;
        }
        let open = Open {
            server: server.id.clone(),
            pools: self.pools.clone(),
        };
        let connecting = handshake(&server.address);
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connected = tokio::time::timeout(timeout, connecting).await;
        let Some((sender, connection)) = connected.ok().and_then(Result::ok) else {
            return Err(NoConnection::Unreachable);
        };
        self.metrics.connected();
        let task = tokio::spawn(async move {
            let _open = open;
            if let Err(err) = connection.await {
                log::debug!("a server connection ended: {err}");
            }
        });
        Ok(Lease {
            server: server.id.clone(),
            pools: self.pools.clone(),
            sender: Some(sender),
            task: task.abort_handle(),
        })
    }

    fn reuse(&self, server: &str) -> Option<Lease> {
        let mut pools = lock(&self.pools);
        let pool = pools.get_mut(server)?;
        let now = Instant::now();
        while let Some(idle) = pool.idle.pop() {
            if idle.until > now && idle.sender.is_ready() {
                return Some(Lease {
                    server: server.to_owned(),
                    pools: self.pools.clone(),
                    sender: Some(idle.sender),
                    task: idle.task,
                });
            }
            idle.task.abort();
        }
        None
    }

    /// Closes idle connections that are past their time, and those of servers
    /// that are gone.
    pub(crate) fn sweep(&self, known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let mut pools = lock(&self.pools);
        for (server, pool) in pools.iter_mut() {
            let gone = !known(server);
            pool.idle.retain(|idle| {
                let keep = !gone && idle.until > now && !idle.sender.is_closed();
                if !keep {
                    idle.task.abort();
                }
                keep
            });
        }
        pools.retain(|server, pool| known(server) || pool.open > 0);
    }
}

/// Counts a connection while its task lives.
struct Open {
    server: ServerId,
    pools: Arc<Mutex<Pools>>,
}

impl Drop for Open {
    fn drop(&mut self) {
        if let Some(pool) = lock(&self.pools).get_mut(&self.server) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

type Connection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

async fn handshake(
    address: &str,
) -> Result<(http1::SendRequest<Full<Bytes>>, Connection), Box<dyn std::error::Error + Send + Sync>>
{
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_LIMIT_MS)))?;
    let keep_alive = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEP_ALIVE_S))
        .with_interval(Duration::from_secs(KEEP_ALIVE_S))
        .with_retries(2);
    socket.set_tcp_keepalive(&keep_alive)?;
    Ok(http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await?)
}

/// A connection in use for one request.
pub(crate) struct Lease {
    server: ServerId,
    pools: Arc<Mutex<Pools>>,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
    task: AbortHandle,
}

impl Lease {
    /// Sends a request and waits for the answer's head.
    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> Exchange {
        let Some(sender) = &mut self.sender else {
            return Exchange::Unwritten;
        };
        if sender.ready().await.is_err() {
            return Exchange::Unwritten;
        }
        match sender.try_send_request(request).await {
            Ok(response) => Exchange::Answer(response),
            Err(mut err) => match err.take_message() {
                Some(_) => Exchange::Unwritten,
                None => Exchange::Broken(err.into_error().to_string()),
            },
        }
    }

    /// Keeps the connection for another request, its answer having been read
    /// whole. `limit_s` is how long the server keeps it idle.
    pub(crate) fn keep(mut self, limit_s: Option<u64>) {
        let idle_ms = limit_s.map_or(DEFAULT_IDLE_MS, |seconds| seconds * 1_000);
        let kept = Duration::from_millis(idle_ms.saturating_sub(IDLE_MARGIN_MS));
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() || kept.is_zero() {
            self.task.abort();
            return;
        }
        if let Some(pool) = lock(&self.pools).get_mut(&self.server) {
            pool.idle.push(Idle {
                sender,
                task: self.task.clone(),
                until: Instant::now() + kept,
            });
        } else {
            self.task.abort();
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}
