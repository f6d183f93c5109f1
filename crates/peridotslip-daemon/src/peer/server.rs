//! Answering peers.

use std::time::Duration;

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use super::{
    Frame,
    client::receive,
    wire::{self, FORWARD_PATH, ForwardedRequest, PeerRequest, PeerResponse},
};
use crate::{
    answer::{Follower, Head},
    clock,
    context::{Incoming, RequestContext},
    problem::Rejection,
    server::Callers,
};

/// Flow-control window of a stream and a connection, in bytes.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Longest question, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;
/// Time between two heartbeats of a forwarded answer, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// Longest wait for another router in a probe on somebody's behalf, in
/// milliseconds.
const INDIRECT_PROBE_TIMEOUT_MS: u64 = 300;

/// Answers peers until the process ends.
pub(crate) async fn serve(listener: TcpListener, callers: Callers) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, callers.clone()));
            }
            Err(err) => {
                log::warn!("a peer connection could not be accepted: {err}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, callers: Callers) {
    let _ = stream.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(u32::MAX)
        .handshake::<_, Bytes>(stream);
    let Ok(mut connection) = handshake.await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        tokio::spawn(answer(request, respond, callers.clone()));
    }
}

async fn answer(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    callers: Callers,
) -> Option<()> {
    let forwarded = request.uri().path() == FORWARD_PATH;
    let body = read(request.into_body()).await?;
    if forwarded {
        let request: ForwardedRequest = wire::decode(&body)?;
        return forward(request, respond, &callers).await;
    }
    let request: PeerRequest = wire::decode(&body)?;
    let response = handle(request, &callers).await;
    let mut stream = respond.send_response(Response::new(()), false).ok()?;
    stream.send_data(wire::encode(&response).into(), true).ok()
}

async fn read(mut stream: RecvStream) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    while let Some(part) = receive(&mut stream).await.ok()? {
        buf.extend_from_slice(&part);
        if buf.len() > MAX_REQUEST_BYTES {
            return None;
        }
    }
    Some(buf)
}

async fn handle(request: PeerRequest, callers: &Callers) -> PeerResponse {
    let controllers = &callers.shared.controllers;
    match request {
        PeerRequest::Probe { updates, all } => PeerResponse::Probe {
            updates: controllers.members.probed(updates, all).await,
        },
        PeerRequest::IndirectProbe { address } => {
            let timeout = Duration::from_millis(INDIRECT_PROBE_TIMEOUT_MS);
            PeerResponse::IndirectProbe(controllers.members.reaches(&address, timeout).await)
        }
        PeerRequest::Exchange {
            shards,
            shard,
            reports,
        } => {
            let direct_transport = &controllers.direct_transport;
            if shards != direct_transport.shards() {
                return PeerResponse::Exchanged(None);
            }
            PeerResponse::Exchanged(direct_transport.exchange_direct(shard, reports).await.ok())
        }
        PeerRequest::Replicate { replicas, durable } => {
            controllers
                .replication
                .store(replicas, &durable, clock::monotonic_ms());
            PeerResponse::Done
        }
        PeerRequest::Recall { shard, budget } => {
            controllers.ledger.recall(shard, budget).await;
            PeerResponse::Done
        }
        PeerRequest::Head => {
            let held = controllers.config.held();
            PeerResponse::Head(held.offer.map(|offer| offer.manifest.encode()))
        }
        PeerRequest::Pages { ids } => {
            let held = controllers.config.held();
            let pages = held.offer.map(|offer| offer.pages).unwrap_or_default();
            let found = ids
                .into_iter()
                .filter_map(|id| Some((id.clone(), pages.get(&id)?.clone())));
            PeerResponse::Pages(found.collect())
        }
    }
}

/// Works on a request that another router took in, and sends its answer back
/// frame by frame.
async fn forward(
    request: ForwardedRequest,
    mut respond: SendResponse<Bytes>,
    callers: &Callers,
) -> Option<()> {
    let incoming = incoming(request)?;
    let shared = callers.shared.clone();
    let mut cx = RequestContext::new(shared.clone(), shared.controllers.config.index(), incoming);
    cx.forwarded = true;
    let follower = cx.answer.follow();
    let chain = callers.chain.clone();
    tokio::spawn(async move { chain.run(&mut cx).await });
    let mut stream = respond.send_response(Response::new(()), false).ok()?;
    let mut frames = Frames::new(follower);
    loop {
        let next = tokio::select! {
            frame = frames.next() => frame,
            () = tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)) => Frame::Heartbeat,
        };
        let last = matches!(next, Frame::End | Frame::Broken | Frame::Rejected { .. });
        stream.send_data(next.to_bytes(), last).ok()?;
        if last {
            return Some(());
        }
    }
}

fn incoming(request: ForwardedRequest) -> Option<Incoming> {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(Incoming {
        method: request.method.parse::<Method>().ok()?,
        uri: request.uri.parse::<Uri>().ok()?,
        headers,
        body: request.body.into(),
    })
}

/// The frames of an answer, in their order.
struct Frames {
    follower: Follower,
    headed: bool,
}

impl Frames {
    fn new(follower: Follower) -> Self {
        Self {
            follower,
            headed: false,
        }
    }

    async fn next(&mut self) -> Frame {
        if !self.headed {
            let frame = match self.follower.head().await {
                Ok(head) => Frame::Head {
                    status: head.status.as_u16(),
                    headers: header_pairs(&head.headers),
                },
                Err(rejection) => rejected_frame(&rejection),
            };
            self.headed = true;
            return frame;
        }
        match self.follower.next().await {
            Some(Ok(part)) => Frame::Part(part.to_vec()),
            Some(Err(_)) => Frame::Broken,
            None => Frame::End,
        }
    }
}

/// Headers as they are sent to a peer.
pub(crate) fn header_pairs(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

/// A head as a peer sent it.
pub(crate) fn head(status: u16, pairs: Vec<(String, Vec<u8>)>) -> Head {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let (name, value) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(&value));
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    Head {
        status: StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers,
    }
}

fn rejected_frame(rejection: &Rejection) -> Frame {
    Frame::Rejected {
        reason: rejection.refusal.as_str().to_owned(),
        execution: rejection.execution.as_str().to_owned(),
        retry_after_s: rejection.retry_after_s,
    }
}
