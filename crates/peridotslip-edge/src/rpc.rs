//! How routers talk: `bincode` messages on h2 streams.
//!
//! Each question is one stream of a connection that is kept open. A
//! connection whose answer doesn't come in time is dropped, so one that has
//! gone silent costs one time limit.

use std::{
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use h2::{RecvStream, client::SendRequest, server::SendResponse};
use http::{Request, Response};
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::{TcpListener, TcpStream};

/// Longest wait for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

quick_error! {
    /// Why a peer did not answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// No connection can be opened.
        Connect(address: String) {
            display("{address} can't be reached; check that the router runs and its peer address")
        }
        /// No answer in time.
        Timeout(address: String) {
            display("{address} did not answer in time; it is tried again")
        }
        /// The connection broke, or the peer speaks otherwise.
        Broken(address: String) {
            display("the exchange with {address} broke; it is tried again")
        }
    }
}

/// The result of asking a peer.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// What peers are asked.
pub(crate) trait RpcRequest: Serialize {
    /// Whether asking twice does no harm, because the peer knows the question
    /// again or the answer changes nothing.
    fn is_idempotent(&self) -> bool;
}

type Connections = HashMap<String, SendRequest<Bytes>>;

fn encode<T: Serialize>(value: &T) -> Option<Bytes> {
    let buf = bincode::serde::encode_to_vec(value, bincode::config::standard());
    buf.map(Into::into).ok()
}

fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<T> {
    let (value, used) = bincode::serde::decode_from_slice(buf, bincode::config::standard()).ok()?;
    (used == buf.len()).then_some(value)
}

/// Connections to peers, opened when needed.
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

    /// Asks the router at `address`, waiting `timeout` in all. A kept
    /// connection that turns out to be broken says nothing of the router, so
    /// a question that may be repeated goes over a new one.
    pub(crate) async fn call<Q: RpcRequest, A: DeserializeOwned>(
        &self,
        address: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A> {
        let call = async {
            let kept = self.lock().contains_key(address);
            let response = self.call_once(address, message).await;
            if kept && matches!(response, Err(Error::Broken(_))) && message.is_idempotent() {
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
        let mut ready = connection.ready().await.map_err(|_| broken())?;
        let request = Request::post(format!("http://{address}/"))
            .body(())
            .map_err(|_| broken())?;
        let (response, mut stream) = ready.send_request(request, false).map_err(|_| broken())?;
        stream.send_data(body, true).map_err(|_| broken())?;
        let body = response.await.map_err(|_| broken())?.into_body();
        let buf = read(body).await.ok_or_else(broken)?;
        decode(&buf).ok_or_else(broken)
    }

    async fn connection(&self, address: &str) -> Result<SendRequest<Bytes>> {
        if let Some(connection) = self.lock().get(address) {
            return Ok(connection.clone());
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connection = tokio::time::timeout(limit, open(address))
            .await
            .ok()
            .flatten()
            .ok_or_else(|| Error::Connect(address.to_owned()))?;
        self.lock().insert(address.to_owned(), connection.clone());
        Ok(connection)
    }
}

async fn open(address: &str) -> Option<SendRequest<Bytes>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = h2::client::handshake(stream).await.ok()?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("a peer connection ended: {err}");
        }
    });
    Some(sender)
}

async fn read(mut stream: RecvStream) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    while let Some(part) = stream.data().await {
        let part = part.ok()?;
        stream.flow_control().release_capacity(part.len()).ok()?;
        buf.extend_from_slice(&part);
        if buf.len() > MAX_MESSAGE_BYTES {
            return None;
        }
    }
    Some(buf)
}

/// Answers peers' questions with `answer` until the process ends.
pub(crate) async fn serve<Q, A, F>(
    listener: TcpListener,
    answer: impl Fn(Q) -> F + Clone + Send + 'static,
) where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Future<Output = A> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, answer.clone()));
            }
            Err(err) => {
                log::warn!("a peer connection could not be accepted: {err}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn connection<Q, A, F>(stream: TcpStream, answer: impl Fn(Q) -> F + Clone + Send + 'static)
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Future<Output = A> + Send + 'static,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("a peer connection can't be set up: {err}");
    }
    let Ok(mut connection) = h2::server::handshake(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        tokio::spawn(answer_one(request, respond, answer.clone()));
    }
}

async fn answer_one<Q, A, F>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    answer: impl Fn(Q) -> F,
) -> Option<()>
where
    Q: DeserializeOwned,
    A: Serialize,
    F: Future<Output = A>,
{
    let message = decode(&read(request.into_body()).await?)?;
    let body = encode(&answer(message).await)?;
    let mut stream = respond.send_response(Response::new(()), false).ok()?;
    stream.send_data(body, true).ok()
}
