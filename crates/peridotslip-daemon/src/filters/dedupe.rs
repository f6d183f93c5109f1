//! Runs one request per idempotency key in the whole fleet and gives its
//! response to duplicates.
//!
//! Each key has an owner, a router to which all others forward the key's
//! requests. If the owner is unreachable, the router that received the request
//! runs it: an idempotent request is still billed only once, and the ledger's
//! claim on the key prevents a second execution of a non-idempotent
//! request. The response of an owner that is only silent is still taken if this
//! router has none.

use std::{sync::Arc, time::Instant};

use async_trait::async_trait;
use peridotslip::events::EventFramer;
use peridotslip::prelude::*;

use super::{Filter, Next};
use crate::{
    backend::sse,
    clock,
    context::{
        ACCEPTS_SERVER_FRAME_HEADER, REQUEST_ID_HEADER, RequestContext, STREAM_SERVER_HEADER,
    },
    peer::{self, ForwardedRequest, ForwardedResponse, ResponseFrame, header_pairs},
    problem::{Rejection, Result},
    response::{ResponseBuffer, ResponseHead},
};

pub(super) struct Deduplicate;

#[async_trait]
impl Filter for Deduplicate {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        let Some(key) = cx.idempotency_key else {
            return next.call(cx).await;
        };
        let mut silent_owner = None;
        if let Some(owner) = remote_owner(cx, key) {
            match forward(cx, &owner).await {
                ForwardOutcome::Finished(result) => {
                    cx.answered_by_owner = true;
                    return result;
                }
                ForwardOutcome::OwnerUnreachable => {}
                ForwardOutcome::OwnerSilent(response) => silent_owner = Some(response),
            }
            cx.shared.controllers.members.mark_unreachable(&owner).await;
            cx.shared.metrics.event("home-unreachable", 1);
        }
        let dedupe = cx.shared.controllers.dedupe.clone();
        match dedupe.begin(key, cx.fingerprint, &cx.response) {
            DedupeDecision::KeyReused => Err(Rejection::not_run(Refusal::KeyReused)),
            DedupeDecision::Follow(response) => copy_response(&response, &cx.response).await,
            DedupeDecision::Execute => {
                let mut result = next.call(cx).await;
                if let (Err(rejection), Some(owner)) = (&result, silent_owner)
                    && owner.may_replace(cx, rejection)
                {
                    result = owner.wait(cx, rejection.clone()).await;
                }
                if result.is_ok() && cx.failover_stream.is_none() {
                    dedupe.finish(key, cx.response.bytes(), clock::monotonic_ms());
                } else {
                    dedupe.abort(key);
                }
                result
            }
        }
    }
}

/// Returns the address of a key's owner, unless this router owns the key or
/// the request was already forwarded.
fn remote_owner(cx: &RequestContext, key: IdempotencyKey) -> Option<String> {
    if cx.forwarded {
        return None;
    }
    let view = cx.shared.controllers.members.view();
    let owner = view.owner(&format!("request-key/{key}"))?;
    (owner.address != view.local.address).then(|| owner.address.clone())
}

enum ForwardOutcome {
    /// The owner sent a complete response or a rejection, or failed within a
    /// response that this router can't continue.
    Finished(Result<()>),
    /// The owner failed before the response head, or within a stream that this
    /// router can resume.
    OwnerUnreachable,
    /// The owner is silent, and may still go on with its response. This router
    /// can run the request or resume the stream meanwhile.
    OwnerSilent(Box<SilentOwner>),
}

/// Forwards the request to the owner and relays its response.
async fn forward(cx: &mut RequestContext, owner: &str) -> ForwardOutcome {
    let incoming = &cx.request;
    let mut headers = header_pairs(&incoming.headers);
    headers.push((ACCEPTS_SERVER_FRAME_HEADER.to_owned(), b"1".to_vec()));
    let request = ForwardedRequest {
        method: incoming.method.to_string(),
        uri: incoming.uri.to_string(),
        headers,
        body: incoming.body.to_vec(),
    };
    let mut forwarded = cx.shared.controllers.peers.forward(owner, &request);
    let mut relayed = RelayedResponse::default();
    loop {
        match forwarded.next().await {
            Ok(frame) => {
                if let Some(result) = relayed.relay(cx, frame).await {
                    return ForwardOutcome::Finished(result);
                }
            }
            Err(peer::Error::Timeout(_)) if relayed.set_failover(cx) => {
                let written = Written::of(cx);
                let owner = SilentOwner {
                    forwarded,
                    relayed,
                    written,
                };
                return ForwardOutcome::OwnerSilent(Box::new(owner));
            }
            Err(peer::Error::Timeout(_)) if Instant::now() < cx.deadline() => {}
            Err(err) => return relayed.owner_lost(cx, &err),
        }
    }
}

/// How much of a response its caller can read.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Written {
    has_head: bool,
    bytes: usize,
}

impl Written {
    fn of(cx: &RequestContext) -> Self {
        Self {
            has_head: cx.response.has_head(),
            bytes: cx.response.bytes(),
        }
    }
}

/// An owner that fell silent within its response, while this router runs the
/// request or resumes the stream.
struct SilentOwner {
    forwarded: ForwardedResponse,
    relayed: RelayedResponse,
    /// What the caller had when the owner fell silent.
    written: Written,
}

impl SilentOwner {
    /// Returns whether the owner's response may replace this router's
    /// rejection. It can't if this router holds the claim or if the request
    /// differs from the one that the owner runs, nor if it would repeat a part
    /// of the response.
    fn may_replace(&self, cx: &RequestContext, rejection: &Rejection) -> bool {
        let is_final = cx.holds_claim || rejection.refusal == Refusal::KeyReused;
        !is_final && Written::of(cx) == self.written
    }

    /// Relays the rest of the owner's response, which must begin by the
    /// deadline. Otherwise the caller gets `rejection`.
    async fn wait(
        mut self: Box<Self>,
        cx: &mut RequestContext,
        rejection: Rejection,
    ) -> Result<()> {
        let deadline = cx.deadline();
        loop {
            let begun = cx.response.has_head();
            let frame = tokio::select! {
                frame = self.forwarded.next() => frame,
                () = tokio::time::sleep_until(deadline.into()), if !begun => return Err(rejection),
            };
            match frame {
                Ok(frame) => {
                    if let Some(result) = self.relayed.relay(cx, frame).await {
                        cx.answered_by_owner = true;
                        return result;
                    }
                }
                Err(peer::Error::Timeout(_)) if !begun => {}
                Err(_) => return Err(rejection),
            }
        }
    }
}

/// The part of the owner's response that the caller already has.
#[derive(Default)]
struct RelayedResponse {
    /// The backend server, if the response is a stream.
    server: Option<String>,
    /// The backend server to which the owner last sent the request.
    attempted_server: Option<String>,
    framer: EventFramer,
    content_events: u64,
    usage_seen: bool,
}

impl RelayedResponse {
    /// Relays a frame to the caller. Returns the result after the last one.
    async fn relay(&mut self, cx: &RequestContext, frame: ResponseFrame) -> Option<Result<()>> {
        match frame {
            ResponseFrame::Head { status, headers } => {
                let head = self.take_head(status, headers);
                cx.response.set_head(Ok(head));
            }
            ResponseFrame::Chunk(chunk) => {
                self.count_events(&chunk);
                cx.response.push(chunk.into()).await;
            }
            ResponseFrame::Server(server) => self.attempted_server = Some(server),
            ResponseFrame::Heartbeat => {}
            ResponseFrame::End => return Some(Ok(())),
            ResponseFrame::Aborted => {
                return Some(Err(Rejection::unknown(Refusal::BackendFailed)));
            }
            ResponseFrame::Rejected {
                reason,
                execution,
                retry_after_s,
            } => return Some(Err(decode_rejection(&reason, &execution, retry_after_s))),
        }
        None
    }

    fn take_head(&mut self, status: u16, headers: Vec<(String, Vec<u8>)>) -> ResponseHead {
        let mut head = peer::decode_head(status, headers);
        let server = head.headers.remove(STREAM_SERVER_HEADER);
        self.server = server.and_then(|value| value.to_str().ok().map(str::to_owned));
        head.headers.remove(REQUEST_ID_HEADER);
        head
    }

    fn count_events(&mut self, chunk: &[u8]) {
        if self.server.is_none() || self.framer.push(chunk).is_err() {
            return;
        }
        while let Some(event) = self.framer.next_event() {
            match sse::classify(&event) {
                sse::EventKind::Content => self.content_events += 1,
                sse::EventKind::Usage(_) => self.usage_seen = true,
                sse::EventKind::Done | sse::EventKind::Comment => {}
            }
        }
    }

    /// Selects the outcome after the owner became unreachable. A response that
    /// this router can't continue fails.
    fn owner_lost(&self, cx: &mut RequestContext, err: &peer::Error) -> ForwardOutcome {
        log::warn!(request = cx.id.as_str(); "owner of the idempotency key failed before the end of its response: {err}");
        if self.set_failover(cx) {
            return ForwardOutcome::OwnerUnreachable;
        }
        ForwardOutcome::Finished(Err(Rejection::unknown(Refusal::BackendFailed)))
    }

    /// Prepares this router to continue the response, and returns whether it
    /// can. A request without a response head is run first at the server to
    /// which the owner sent it, so that it does not run twice. A stream is
    /// resumed at its engine, unless its usage is already relayed.
    fn set_failover(&self, cx: &mut RequestContext) -> bool {
        if !cx.response.has_head() {
            cx.failover_server.clone_from(&self.attempted_server);
            return true;
        }
        match &self.server {
            Some(server) if !self.usage_seen => {
                cx.failover_stream = Some((server.clone(), self.content_events));
                true
            }
            _ => false,
        }
    }
}

/// Decodes a rejection of the owner. An unrecognised reason becomes
/// "backend-failed", an unrecognised execution status "unknown".
fn decode_rejection(reason: &str, execution: &str, retry_after_s: Option<u64>) -> Rejection {
    let refusal = Refusal::ALL
        .iter()
        .find(|candidate| candidate.as_str() == reason);
    let statuses = [
        ExecutionStatus::NotRun,
        ExecutionStatus::Ran,
        ExecutionStatus::Unknown,
    ];
    let execution = statuses
        .into_iter()
        .find(|status| status.as_str() == execution);
    Rejection {
        refusal: refusal.copied().unwrap_or(Refusal::BackendFailed),
        execution: execution.unwrap_or(ExecutionStatus::Unknown),
        retry_after_s,
    }
}

/// Copies the response of the first request with a key to a duplicate's
/// buffer, chunk by chunk as it arrives.
async fn copy_response(from: &Arc<ResponseBuffer>, to: &ResponseBuffer) -> Result<()> {
    let mut reader = from.reader();
    to.set_head(Ok(reader.head().await?));
    while let Some(chunk) = reader.next().await {
        match chunk {
            Ok(chunk) => to.push(chunk).await,
            Err(_) => return Err(Rejection::unknown(Refusal::BackendFailed)),
        }
    }
    Ok(())
}
