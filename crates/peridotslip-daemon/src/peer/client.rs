//! Asking peers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use h2::{RecvStream, client::SendRequest};
use http::Request;
use tokio::net::TcpStream;

use super::{
    Error, Frame, Result,
    frames::FrameReader,
    wire::{self, FORWARD_PATH, ForwardedRequest, PeerRequest, PeerResponse, request_path},
};

/// Flow-control window of a stream and a connection, in bytes.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Longest wait for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Longest silence of a router that works on a forwarded request, in
/// milliseconds: three of its heartbeats.
const FORWARD_SILENCE_MS: u64 = 3_000;

type Connections = HashMap<String, SendRequest<Bytes>>;

/// Connections to peers, opened when needed.
#[derive(Clone, Default)]
pub(crate) struct PeerClient {
    connections: Arc<Mutex<Connections>>,
}

impl PeerClient {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Asks the router at `address`, waiting `timeout` in all.
    pub(crate) async fn call(
        &self,
        address: &str,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse> {
        let call = self.call_once(address, request);
        match tokio::time::timeout(timeout, call).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) => {
                self.forget(address);
                Err(err)
            }
            Err(_) => {
                self.forget(address);
                Err(Error::Timeout(address.to_owned()))
            }
        }
    }

    async fn call_once(&self, address: &str, request: &PeerRequest) -> Result<PeerResponse> {
        let broken = || Error::Broken(address.to_owned());
        let body = wire::encode(request).into();
        let mut stream = self.send(address, request_path(request), body).await?;
        let mut buf = Vec::new();
        while let Some(part) = receive(&mut stream).await.map_err(|_| broken())? {
            buf.extend_from_slice(&part);
        }
        wire::decode(&buf).ok_or_else(broken)
    }

    /// Sends a caller's request to the router at `address`.
    pub(crate) async fn forward(
        &self,
        address: &str,
        request: &ForwardedRequest,
    ) -> Result<Forwarded> {
        let body = wire::encode(request).into();
        let sent = self.send(address, FORWARD_PATH, body);
        let silence = Duration::from_millis(FORWARD_SILENCE_MS);
        match tokio::time::timeout(silence, sent).await {
            Ok(Ok(stream)) => Ok(Forwarded {
                address: address.to_owned(),
                stream,
                reader: FrameReader::default(),
            }),
            Ok(Err(err)) => {
                self.forget(address);
                Err(err)
            }
            Err(_) => {
                self.forget(address);
                Err(Error::Timeout(address.to_owned()))
            }
        }
    }

    /// Drops the connection to a router, so that the next question opens
    /// another.
    pub(crate) fn forget(&self, address: &str) {
        self.lock().remove(address);
    }

    async fn send(&self, address: &str, path: &str, body: Bytes) -> Result<RecvStream> {
        let broken = |_| Error::Broken(address.to_owned());
        let connection = self.connection(address).await?;
        let mut ready = connection.ready().await.map_err(broken)?;
        let request = Request::post(format!("http://{address}{path}"))
            .body(())
            .map_err(|_| Error::Broken(address.to_owned()))?;
        let (response, mut stream) = ready.send_request(request, false).map_err(broken)?;
        stream.send_data(body, true).map_err(broken)?;
        Ok(response.await.map_err(broken)?.into_body())
    }

    async fn connection(&self, address: &str) -> Result<SendRequest<Bytes>> {
        if let Some(connection) = self.lock().get(address) {
            return Ok(connection.clone());
        }
        let opened = tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), open(address));
        let connection = opened
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
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(stream)
        .await
        .ok()?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("a peer connection ended: {err}");
        }
    });
    Some(sender)
}

/// The next bytes of a stream, giving their window back.
pub(super) async fn receive(
    stream: &mut RecvStream,
) -> std::result::Result<Option<Bytes>, h2::Error> {
    match stream.data().await {
        None => Ok(None),
        Some(part) => {
            let part = part?;
            stream.flow_control().release_capacity(part.len())?;
            Ok(Some(part))
        }
    }
}

/// An answer that another router works on.
pub(crate) struct Forwarded {
    address: String,
    stream: RecvStream,
    reader: FrameReader,
}

impl Forwarded {
    /// The next frame that is not a heartbeat.
    pub(crate) async fn next(&mut self) -> Result<Frame> {
        let silence = Duration::from_millis(FORWARD_SILENCE_MS);
        loop {
            let broken = || Error::Broken(self.address.clone());
            match self.reader.next().map_err(|_| broken())? {
                Some(Frame::Heartbeat) => continue,
                Some(frame) => return Ok(frame),
                None => {}
            }
            match tokio::time::timeout(silence, receive(&mut self.stream)).await {
                Ok(Ok(Some(bytes))) => self.reader.push(&bytes),
                Ok(_) => return Err(broken()),
                Err(_) => return Err(Error::Timeout(self.address.clone())),
            }
        }
    }
}
