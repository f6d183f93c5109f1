//! The client of the RPC between routers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use h2::{RecvStream, client::SendRequest};
use http::Request;
use tokio::net::TcpStream;

use super::{
    Error, ResponseFrame, Result,
    frames::FrameDecoder,
    wire::{self, FORWARD_PATH, ForwardedRequest, PeerRequest, PeerResponse, request_path},
};

/// Flow-control window of each stream and of the connection, in bytes.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Longest wait for a new connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Longest silence of a router that executes a forwarded request, in
/// milliseconds: three of its heartbeats.
const FORWARD_SILENCE_MS: u64 = 3_000;

type Connections = HashMap<String, SendRequest<Bytes>>;

/// Connections to peers, opened on demand.
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

    /// Calls the router at `address`; `timeout` applies to the whole call. The
    /// connection is dropped if the call fails.
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
                self.disconnect(address);
                Err(err)
            }
            Err(_) => {
                self.disconnect(address);
                Err(Error::Timeout(address.to_owned()))
            }
        }
    }

    async fn call_once(&self, address: &str, request: &PeerRequest) -> Result<PeerResponse> {
        let interrupted = || Error::Interrupted(address.to_owned());
        let body = wire::encode(request).into();
        let mut stream = self
            .send_request(address, request_path(request), body)
            .await?;
        let mut buf = Vec::new();
        while let Some(chunk) = next_chunk(&mut stream).await.map_err(|_| interrupted())? {
            buf.extend_from_slice(&chunk);
        }
        wire::decode(&buf).ok_or_else(interrupted)
    }

    /// Forwards a caller's request to the router at `address` and returns the
    /// response, of which nothing may have arrived yet.
    pub(crate) fn forward(&self, address: &str, request: &ForwardedRequest) -> ForwardedResponse {
        let (client, to) = (self.clone(), address.to_owned());
        let body = wire::encode(request).into();
        ForwardedResponse {
            client: self.clone(),
            address: address.to_owned(),
            stream: ForwardedStream::Opening(Box::pin(async move {
                client.send_request(&to, FORWARD_PATH, body).await
            })),
            decoder: FrameDecoder::default(),
        }
    }

    /// Drops the connection to a router, so that the next call opens a new
    /// one.
    pub(crate) fn disconnect(&self, address: &str) {
        self.lock().remove(address);
    }

    /// Sends a request on a new stream and returns the stream of its response's
    /// body.
    async fn send_request(&self, address: &str, path: &str, body: Bytes) -> Result<RecvStream> {
        let interrupted = |_| Error::Interrupted(address.to_owned());
        let connection = self.connection(address).await?;
        let mut ready = connection.ready().await.map_err(interrupted)?;
        let request = Request::post(format!("http://{address}{path}"))
            .body(())
            .map_err(|_| Error::Interrupted(address.to_owned()))?;
        let (response, mut stream) = ready.send_request(request, false).map_err(interrupted)?;
        stream.send_data(body, true).map_err(interrupted)?;
        Ok(response.await.map_err(interrupted)?.into_body())
    }

    /// Returns the connection to a router, opening it if there is none.
    async fn connection(&self, address: &str) -> Result<SendRequest<Bytes>> {
        if let Some(connection) = self.lock().get(address) {
            return Ok(connection.clone());
        }
        let connecting =
            tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect(address));
        let connection = connecting
            .await
            .ok()
            .flatten()
            .ok_or_else(|| Error::Connect(address.to_owned()))?;
        self.lock().insert(address.to_owned(), connection.clone());
        Ok(connection)
    }
}

/// Opens a connection and starts the task that drives it. Returns `None` if the
/// connection can't be opened.
async fn connect(address: &str) -> Option<SendRequest<Bytes>> {
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
            log::debug!("peer connection closed: {err}");
        }
    });
    Some(sender)
}

/// Receives the next bytes of a stream and releases their flow-control
/// capacity.
pub(super) async fn next_chunk(
    stream: &mut RecvStream,
) -> std::result::Result<Option<Bytes>, h2::Error> {
    match stream.data().await {
        None => Ok(None),
        Some(chunk) => {
            let chunk = chunk?;
            stream.flow_control().release_capacity(chunk.len())?;
            Ok(Some(chunk))
        }
    }
}

/// The stream of a response, before and after the router accepts the request.
enum ForwardedStream {
    Opening(BoxFuture<'static, Result<RecvStream>>),
    Open(RecvStream),
}

/// The response to a forwarded request, streamed by the executing router.
pub(crate) struct ForwardedResponse {
    client: PeerClient,
    address: String,
    stream: ForwardedStream,
    decoder: FrameDecoder,
}

impl ForwardedResponse {
    /// Returns the next frame that is not a heartbeat. This method is cancel
    /// safe, and can be called again after a timeout: the router may go on.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] if the router is silent. After any error the next
    /// call to the router opens a new connection.
    pub(crate) async fn next(&mut self) -> Result<ResponseFrame> {
        let silence = Duration::from_millis(FORWARD_SILENCE_MS);
        loop {
            match self.decoder.next().map_err(|_| self.interrupted())? {
                Some(ResponseFrame::Heartbeat) => continue,
                Some(frame) => return Ok(frame),
                None => {}
            }
            let received = tokio::time::timeout(silence, self.receive()).await;
            if let Err(err) = received.unwrap_or_else(|_| Err(Error::Timeout(self.address.clone())))
            {
                self.client.disconnect(&self.address);
                return Err(err);
            }
        }
    }

    /// Waits until the stream is open, or for its next bytes.
    async fn receive(&mut self) -> Result<()> {
        match &mut self.stream {
            ForwardedStream::Opening(opening) => {
                self.stream = ForwardedStream::Open(opening.await?);
            }
            ForwardedStream::Open(stream) => match next_chunk(stream).await {
                Ok(Some(bytes)) => self.decoder.push(&bytes),
                _ => return Err(self.interrupted()),
            },
        }
        Ok(())
    }

    fn interrupted(&self) -> Error {
        Error::Interrupted(self.address.clone())
    }
}
