//! Calls between routers: `bincode` messages on HTTP/2 streams.
//!
//! Each call uses one stream of a persistent connection. When a call times
//! out, its connection is dropped, so that a dead connection delays only one
//! call.

use std::{
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use h2::{RecvStream, client::SendRequest, server::SendResponse};
use http::{Request, Response};
use peridotslip::memory::{MemoryPool, PooledBuffer, PooledContent};
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::io::InspectReader;

use crate::{
    port_connections::{LastUse, PortConnections},
    rpc_liveness::Activity,
};

/// Longest wait for a new connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Most memory that the strings and lists of a message may ask for while it is decoded, in
/// bytes. A number counts with its full size, of which a message may have an eighth.
const MAX_DECODED_BYTES: usize = 8 * MAX_MESSAGE_BYTES;
/// Most calls at the same time on one connection of a peer.
const MAX_CONCURRENT_CALLS: u32 = 1_024;
/// Longest head of a call, in bytes.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// Longest time in which a message arrives, in milliseconds.
const MESSAGE_TIMEOUT_MS: u64 = 10_000;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

quick_error! {
    /// Why a call to a peer failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The router does not accept connections.
        Connect(address: String) {
            display("can't connect to {address}; check that the router runs and that its peer address is correct")
        }
        /// The peer did not respond in time.
        Timeout(address: String) {
            display("{address} did not respond in time; the call is retried")
        }
        /// The connection failed, or the peer's message is invalid.
        Broken(address: String) {
            display("the call to {address} failed; it is retried")
        }
    }
}

impl Error {
    /// Returns whether a time limit expired, which this router may have caused itself.
    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self, Self::Timeout(_))
    }
}

/// The result of a call to a peer.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// A request to a peer.
pub(crate) trait RpcRequest: Serialize {
    /// Returns whether the request may be sent twice, because the peer
    /// recognises the duplicate or the request changes no state.
    fn is_idempotent(&self) -> bool;
}

/// A connection to a peer.
#[derive(Clone)]
struct Connection {
    sender: SendRequest<Bytes>,
    activity: Arc<Activity>,
}

type Connections = HashMap<String, Connection>;

fn encode<T: Serialize>(value: &T) -> Option<Bytes> {
    let buf = bincode::serde::encode_to_vec(value, bincode::config::standard());
    buf.map(Into::into).ok()
}

fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (value, used) = bincode::serde::decode_from_slice(buf, config).ok()?;
    (used == buf.len()).then_some(value)
}

/// A client with persistent connections to peers, which are opened on demand.
#[derive(Clone, Default)]
pub(crate) struct Client {
    connections: Arc<Mutex<Connections>>,
}

impl Client {
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls the router at `address` and waits up to `timeout` in total. The
    /// failure of a reused connection does not mean that the router is
    /// unreachable, so an idempotent request is sent again on a new connection.
    ///
    /// # Errors
    ///
    /// An [`Error`] that names the address.
    pub(crate) async fn call<Q: RpcRequest, A: DeserializeOwned>(
        &self,
        address: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A> {
        let call = async {
            let reused = self.lock().contains_key(address);
            let response = self.call_once(address, message).await;
            if reused && matches!(response, Err(Error::Broken(_))) && message.is_idempotent() {
                self.lock().remove(address);
                return self.call_once(address, message).await;
            }
            response
        };
        let response = tokio::time::timeout(timeout, call)
            .await
            .unwrap_or_else(|_| Err(Error::Timeout(address.to_owned())));
        if response.is_err() {
            self.lock().remove(address);
        }
        response
    }

    async fn call_once<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        message: &Q,
    ) -> Result<A> {
        let broken = || Error::Broken(address.to_owned());
        let body = encode(message).ok_or_else(broken)?;
        let connection = self.connection(address).await?;
        let _waiting = connection.activity.begin_call();
        let mut ready = connection.sender.ready().await.map_err(|_| broken())?;
        let request = Request::post(format!("http://{address}/"))
            .body(())
            .map_err(|_| broken())?;
        let (response, mut stream) = ready.send_request(request, false).map_err(|_| broken())?;
        stream.send_data(body, true).map_err(|_| broken())?;
        let body = response.await.map_err(|_| broken())?.into_body();
        let pool = MemoryPool::new(2 * MAX_MESSAGE_BYTES);
        let buf = read_message(body, &pool).await.ok_or_else(broken)?;
        decode(buf.as_ref()).ok_or_else(broken)
    }

    async fn connection(&self, address: &str) -> Result<Connection> {
        if let Some(connection) = self.lock().get(address) {
            return Ok(connection.clone());
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connection = tokio::time::timeout(limit, open(address))
            .await
            .map_err(|_| Error::Timeout(address.to_owned()))?
            .ok_or_else(|| Error::Connect(address.to_owned()))?;
        self.lock().insert(address.to_owned(), connection.clone());
        Ok(connection)
    }
}

async fn open(address: &str) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let activity = Arc::new(Activity::default());
    let received = activity.clone();
    let stream = InspectReader::new(stream, move |buf: &[u8]| {
        received.record_received(buf.len());
    });
    let (sender, mut connection) = h2::client::handshake(stream).await.ok()?;
    let pings = connection.ping_pong();
    let (address, watched) = (address.to_owned(), activity.clone());
    tokio::spawn(async move {
        let silent = async {
            match pings {
                Some(pings) => watched.wait_silent(pings).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // What has arrived is read before the connection counts as silent.
            biased;
            ended = connection => {
                if let Err(err) = ended {
                    log::debug!("a connection to a peer failed: {err}");
                }
            }
            () = silent => {
                log::info!(address = address.as_str(); "connection to a peer is silent while a call waits; closing it");
            }
        }
    });
    Some(Connection { sender, activity })
}

/// Reads a complete message. Returns `None` if the stream fails, the message is longer
/// than [`MAX_MESSAGE_BYTES`] or `pool` has no memory for it.
async fn read_message(mut stream: RecvStream, pool: &MemoryPool) -> Option<PooledContent> {
    let mut buf = PooledBuffer::new(pool, MAX_MESSAGE_BYTES);
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.ok()?;
        stream.flow_control().release_capacity(chunk.len()).ok()?;
        buf.append(&chunk).ok()?;
    }
    Some(buf.finish())
}

/// What peers can make a router hold.
#[derive(Clone, Debug)]
pub(crate) struct ServerLimits {
    /// Most connections.
    pub(crate) connections: usize,
    /// Memory for messages that are being received.
    pub(crate) messages: MemoryPool,
}

/// Serves peers' requests with `handler` until the process ends.
pub(crate) async fn serve<Q, A, F>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: impl Fn(Q) -> F + Clone + Send + 'static,
) where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Future<Output = A> + Send + 'static,
{
    let connections = PortConnections::new("peers", limits.connections);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (messages, handler) = (limits.messages.clone(), handler.clone());
                connections.spawn(|last_use| serve_connection(stream, last_use, messages, handler));
            }
            Err(err) => {
                log::warn!("can't accept a peer's connection; retrying: {err}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_connection<Q, A, F>(
    stream: TcpStream,
    last_use: LastUse,
    messages: MemoryPool,
    handler: impl Fn(Q) -> F + Clone + Send + 'static,
) where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Future<Output = A> + Send + 'static,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY on a peer's connection: {err}");
    }
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(MAX_CONCURRENT_CALLS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake(stream);
    let Ok(mut connection) = handshake.await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        last_use.record();
        let serving = serve_stream(request, respond, messages.clone(), handler.clone());
        tokio::spawn(serving);
    }
}

async fn serve_stream<Q, A, F>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    messages: MemoryPool,
    handler: impl Fn(Q) -> F,
) -> Option<()>
where
    Q: DeserializeOwned,
    A: Serialize,
    F: Future<Output = A>,
{
    let timeout = Duration::from_millis(MESSAGE_TIMEOUT_MS);
    let received = tokio::time::timeout(timeout, read_message(request.into_body(), &messages));
    let message = decode(received.await.ok()??.as_ref())?;
    let body = encode(&handler(message).await)?;
    let mut stream = respond.send_response(Response::new(()), false).ok()?;
    stream.send_data(body, true).ok()
}
