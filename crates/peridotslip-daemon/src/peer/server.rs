//! The server of the RPC between routers.

use std::time::Duration;

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use super::{
    ResponseFrame,
    client::next_chunk,
    wire::{self, FORWARD_PATH, ForwardedRequest, PeerRequest, PeerResponse},
};
use crate::{
    clock,
    context::{ACCEPTS_SERVER_FRAME_HEADER, BufferedRequest, RequestContext},
    problem::Rejection,
    response::{ResponseHead, ResponseReader},
    server::CallerService,
};

/// Flow-control window of each stream and of the connection, in bytes.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;
/// Time without another frame after which a heartbeat is sent on the response to
/// a forwarded request, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// Longest wait for the reply of the router that is probed on behalf of a peer,
/// in milliseconds.
const INDIRECT_PROBE_TIMEOUT_MS: u64 = 300;

/// Serves peers until the process ends.
pub(crate) async fn serve(listener: TcpListener, callers: CallerService) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, callers.clone()));
            }
            Err(err) => {
                log::warn!("accepting a peer connection failed; retrying: {err}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Serves the calls of one connection, concurrently.
async fn serve_connection(stream: TcpStream, callers: CallerService) {
    let _ = stream.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(u32::MAX)
        .handshake::<_, Bytes>(stream);
    let Ok(mut connection) = handshake.await else {
        return;
    };
    while let Some(Ok((request, responder))) = connection.accept().await {
        tokio::spawn(serve_stream(request, responder, callers.clone()));
    }
}

/// Serves one call. Returns `None`, without a complete response, if the request
/// can't be received or decoded or the stream fails.
async fn serve_stream(
    request: Request<RecvStream>,
    mut responder: SendResponse<Bytes>,
    callers: CallerService,
) -> Option<()> {
    let forwarded = request.uri().path() == FORWARD_PATH;
    let body = read_body(request.into_body()).await?;
    if forwarded {
        let request: ForwardedRequest = wire::decode(&body)?;
        return serve_forwarded(request, responder, &callers).await;
    }
    let request: PeerRequest = wire::decode(&body)?;
    let response = handle_request(request, &callers).await;
    let mut stream = responder.send_response(Response::new(()), false).ok()?;
    stream.send_data(wire::encode(&response).into(), true).ok()
}

/// Reads a request. Returns `None` if the stream fails or the request is longer
/// than [`MAX_REQUEST_BYTES`].
async fn read_body(mut stream: RecvStream) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    while let Some(chunk) = next_chunk(&mut stream).await.ok()? {
        buf.extend_from_slice(&chunk);
        if buf.len() > MAX_REQUEST_BYTES {
            return None;
        }
    }
    Some(buf)
}

/// Handles a request that has a single response.
async fn handle_request(request: PeerRequest, callers: &CallerService) -> PeerResponse {
    let controllers = &callers.shared.controllers;
    match request {
        PeerRequest::Probe {
            updates,
            full_state,
        } => PeerResponse::Probe {
            updates: controllers.members.handle_probe(updates, full_state).await,
        },
        PeerRequest::IndirectProbe { address } => {
            let timeout = Duration::from_millis(INDIRECT_PROBE_TIMEOUT_MS);
            PeerResponse::IndirectProbe(controllers.members.is_reachable(&address, timeout).await)
        }
        PeerRequest::Exchange {
            shards,
            shard,
            reports,
        } => {
            let direct_transport = &controllers.direct_transport;
            if shards != direct_transport.shards() {
                return PeerResponse::Exchange(None);
            }
            PeerResponse::Exchange(direct_transport.exchange_direct(shard, reports).await.ok())
        }
        PeerRequest::Replicate { replicas, durable } => {
            controllers
                .replication
                .store(replicas, &durable, clock::monotonic_ms());
            PeerResponse::Ack
        }
        PeerRequest::Recall { shard, budget } => {
            controllers.ledger.recall(shard, budget).await;
            PeerResponse::Ack
        }
        PeerRequest::Manifest => {
            let active = controllers.config.active();
            PeerResponse::Manifest(active.snapshot.map(|snapshot| snapshot.manifest.encode()))
        }
        PeerRequest::Pages { ids } => {
            let active = controllers.config.active();
            let pages = active
                .snapshot
                .map(|snapshot| snapshot.pages)
                .unwrap_or_default();
            let found = ids
                .into_iter()
                .filter_map(|id| Some((id.clone(), pages.get(&id)?.clone())));
            PeerResponse::Pages(found.collect())
        }
    }
}

/// Executes a request that another router received from a caller, and streams
/// the response back in frames.
async fn serve_forwarded(
    request: ForwardedRequest,
    mut responder: SendResponse<Bytes>,
    callers: &CallerService,
) -> Option<()> {
    let mut incoming = decode_forwarded(request)?;
    let accepts_server_frame = incoming
        .headers
        .remove(ACCEPTS_SERVER_FRAME_HEADER)
        .is_some();
    let shared = callers.shared.clone();
    let mut cx = RequestContext::new(shared.clone(), shared.controllers.config.index(), incoming);
    cx.forwarded = true;
    let follower = cx.response.reader();
    let chain = callers.chain.clone();
    tokio::spawn(async move { chain.run(&mut cx).await });
    let mut stream = responder.send_response(Response::new(()), false).ok()?;
    let mut frames = ResponseFrames::new(follower, accepts_server_frame);
    loop {
        let next = tokio::select! {
            frame = frames.next() => frame,
            () = tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)) => ResponseFrame::Heartbeat,
        };
        let last = matches!(
            next,
            ResponseFrame::End | ResponseFrame::Aborted | ResponseFrame::Rejected { .. }
        );
        stream.send_data(next.encode(), last).ok()?;
        if last {
            return Some(());
        }
    }
}

/// Decodes a forwarded request. Returns `None` if the method, the URI or a
/// header is invalid.
fn decode_forwarded(request: ForwardedRequest) -> Option<BufferedRequest> {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(BufferedRequest {
        method: request.method.parse::<Method>().ok()?,
        uri: request.uri.parse::<Uri>().ok()?,
        headers,
        body: request.body.into(),
    })
}

/// Converts a response to frames.
struct ResponseFrames {
    follower: ResponseReader,
    head_sent: bool,
    /// Whether the forwarding router accepts [`ResponseFrame::Server`].
    accepts_server_frame: bool,
    /// The backend server in the last [`ResponseFrame::Server`].
    server: Option<String>,
}

impl ResponseFrames {
    fn new(follower: ResponseReader, accepts_server_frame: bool) -> Self {
        Self {
            follower,
            head_sent: false,
            accepts_server_frame,
            server: None,
        }
    }

    /// Returns the next frame: the backend servers, then the head or the
    /// rejection, then chunks of the body, then the end.
    async fn next(&mut self) -> ResponseFrame {
        if !self.head_sent {
            if self.accepts_server_frame
                && let Some(server) = self.follower.next_server(self.server.as_deref()).await
            {
                self.server = Some(server.clone());
                return ResponseFrame::Server(server);
            }
            let frame = match self.follower.head().await {
                Ok(head) => ResponseFrame::Head {
                    status: head.status.as_u16(),
                    headers: header_pairs(&head.headers),
                },
                Err(rejection) => rejected_frame(&rejection),
            };
            self.head_sent = true;
            return frame;
        }
        match self.follower.next().await {
            Some(Ok(chunk)) => ResponseFrame::Chunk(chunk.to_vec()),
            Some(Err(_)) => ResponseFrame::Aborted,
            None => ResponseFrame::End,
        }
    }
}

/// Converts headers to the form in which they are sent to a peer.
pub(crate) fn header_pairs(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

/// Decodes a response head received from a peer. Invalid headers are skipped;
/// an invalid status becomes 502.
pub(crate) fn decode_head(status: u16, pairs: Vec<(String, Vec<u8>)>) -> ResponseHead {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let (name, value) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(&value));
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    ResponseHead {
        status: StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers,
    }
}

fn rejected_frame(rejection: &Rejection) -> ResponseFrame {
    ResponseFrame::Rejected {
        reason: rejection.refusal.as_str().to_owned(),
        execution: rejection.execution.as_str().to_owned(),
        retry_after_s: rejection.retry_after_s,
    }
}
