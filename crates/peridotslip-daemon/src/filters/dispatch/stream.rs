//! Responses that are relayed as a stream of events.

use std::time::Duration;

use axum::http::HeaderValue;
use bytes::{Bytes, BytesMut};
use peridotslip::{balance::CallOutcome, prelude::*};
use reqwest::Response;

use super::{AttemptResult, buffered, connections::Connections};
use crate::{
    backend::{
        forward,
        sse::{self, EventKind},
    },
    context::{DeferredOutput, RequestContext, STREAM_SERVER_HEADER, Usage},
    controllers::backends::InFlightGuard,
    problem::{Rejection, Result},
    response::ResponseHead,
};

/// Timeout of a cancellation at an engine, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 2_000;

/// Why relaying a stream ended.
enum RelayOutcome {
    /// The end mark was received.
    Done,
    /// All connections failed, or the server was silent for too long.
    Failed,
    /// The caller disconnected.
    Abandoned,
    /// The engine sent more events than the request allows.
    Overrun,
    /// The first chunk did not arrive by the deadline.
    DeadlineExceeded,
}

/// Progress of a stream across its connections.
#[derive(Default)]
struct StreamProgress {
    /// The head, withheld from the caller until the first chunk: engines send
    /// the head before they start to work on the request.
    head: Option<ResponseHead>,
    /// Content events received.
    content_events: u64,
    /// Tokens that the stream's usage event reported.
    usage: Option<u64>,
}

impl StreamProgress {
    /// Returns the number of content and usage events received.
    fn received(&self) -> u64 {
        self.content_events + u64::from(self.usage.is_some())
    }
}

/// Relays a stream, and resumes it at its engine if the connection fails or
/// is silent.
pub(super) async fn relay(
    cx: &mut RequestContext,
    guard: InFlightGuard,
    first: Response,
) -> Result<AttemptResult> {
    let mut head = ResponseHead {
        status: first.status(),
        headers: forward::response_headers(first.headers()),
    };
    if cx.forwarded {
        let server = HeaderValue::from_str(&guard.server).map_err(|_| backend_failed())?;
        head.headers.insert(STREAM_SERVER_HEADER, server);
    }
    let progress = StreamProgress {
        head: Some(head),
        ..StreamProgress::default()
    };
    relay_with_resume(cx, guard, Some(first), progress).await
}

/// Continues a stream whose first events were relayed through an owner that
/// has become unreachable.
pub(super) async fn take_over_stream(
    cx: &mut RequestContext,
    server: String,
    content_events: u64,
) -> Result<()> {
    cx.shared.metrics.event("stream-adopted", 1);
    let progress = StreamProgress {
        content_events,
        ..StreamProgress::default()
    };
    let guard = cx.shared.controllers.backends.uncounted_guard(server);
    relay_with_resume(cx, guard, None, progress).await.map(drop)
}

/// Relays the stream until its end mark, and bills it.
async fn relay_with_resume(
    cx: &mut RequestContext,
    guard: InFlightGuard,
    first: Option<Response>,
    mut progress: StreamProgress,
) -> Result<AttemptResult> {
    let connections = Connections::open(cx, &guard.server, first);
    match relay_events(cx, connections, &mut progress).await {
        RelayOutcome::Done => Ok(complete(cx, guard, &progress)),
        RelayOutcome::Failed => fail_stream(cx, guard),
        RelayOutcome::Abandoned => cancel(cx, guard).await,
        RelayOutcome::Overrun => abort_overrun(cx, guard),
        RelayOutcome::DeadlineExceeded => abort_late(cx, guard),
    }
}

/// Relays the events of the stream's connections.
async fn relay_events(
    cx: &RequestContext,
    mut connections: Connections,
    progress: &mut StreamProgress,
) -> RelayOutcome {
    let max_events = cx.completion.map_or(u64::MAX, |params| {
        // An engine may send an extra first event with the role and an extra
        // last one with the finish reason.
        params.max_tokens + 2
    });
    let keyed = cx.idempotency_key.is_some();
    let deadline = cx.deadline();
    loop {
        let begun = progress.head.is_none();
        let before = progress.received();
        let events = tokio::select! {
            events = connections.next(progress.content_events) => match events {
                Some(events) => events,
                None => return RelayOutcome::Failed,
            },
            () = cx.response.readers_gone(Duration::ZERO), if !keyed => return RelayOutcome::Abandoned,
            () = tokio::time::sleep_until(deadline.into()), if !begun => return RelayOutcome::DeadlineExceeded,
        };
        let (chunk, done) = take_events(events, progress);
        if progress.content_events > max_events {
            return RelayOutcome::Overrun;
        }
        if progress.received() > before {
            connections.record_progress();
        }
        if let Some(head) = progress.head.take_if(|_| done || !chunk.is_empty()) {
            cx.record_first_byte();
            cx.response.set_head(Ok(head));
        }
        if !chunk.is_empty() {
            cx.response.push(chunk).await;
        }
        if done {
            return RelayOutcome::Done;
        }
    }
}

/// Returns the complete events, without the end mark, as one chunk, and
/// whether the end mark was among them.
fn take_events(received: Vec<Bytes>, progress: &mut StreamProgress) -> (Bytes, bool) {
    let mut events: Vec<Bytes> = Vec::new();
    let mut done = false;
    for event in received {
        match sse::classify(&event) {
            EventKind::Done => {
                done = true;
                break;
            }
            // A stream that is resumed after its usage event repeats it.
            EventKind::Usage(_) if progress.usage.is_some() => continue,
            EventKind::Usage(tokens) => progress.usage = Some(tokens),
            EventKind::Content => progress.content_events += 1,
            EventKind::Comment => {}
        }
        events.push(event);
    }
    if events.len() == 1 {
        return (events.swap_remove(0), done);
    }
    let mut buf = BytesMut::with_capacity(events.iter().map(Bytes::len).sum());
    for event in &events {
        buf.extend_from_slice(event);
    }
    (buf.freeze(), done)
}

fn complete(
    cx: &mut RequestContext,
    guard: InFlightGuard,
    progress: &StreamProgress,
) -> AttemptResult {
    guard.complete(CallOutcome::Answered);
    let tokens = progress
        .usage
        .unwrap_or_else(|| cost_upper_bound(cx, progress.content_events));
    cx.usage = Some(Usage {
        tokens,
        outcome: Outcome::Ran(200),
    });
    cx.deferred_output = Some(DeferredOutput {
        head: None,
        chunk: Bytes::from_static(b"data: [DONE]\n\n"),
    });
    AttemptResult::Answered
}

/// Returns the most tokens that a response with this many content events can
/// have cost.
fn cost_upper_bound(cx: &RequestContext, content_events: u64) -> u64 {
    let max_tokens = cx.completion.map_or(0, |params| params.max_tokens);
    cx.max_cost_tokens - max_tokens + content_events.min(max_tokens)
}

/// Rejects a request whose response did not begin by the deadline. The caller
/// has no head yet, so it gets the rejection at once.
fn abort_late(cx: &mut RequestContext, guard: InFlightGuard) -> Result<AttemptResult> {
    if let Some(permit) = &cx.permit {
        let deadline_ms = cx.resolved_route().route.deadline_ms;
        permit.record_first_byte(cx.sent_at.elapsed(), deadline_ms);
    }
    cancel_in_background(cx, &guard.server);
    guard.complete(CallOutcome::Neutral);
    buffered::bill_upper_bound(cx);
    Err(Rejection::unknown(Refusal::BackendTimeout))
}

fn abort_overrun(cx: &mut RequestContext, guard: InFlightGuard) -> Result<AttemptResult> {
    cx.shared.metrics.event("engine-overrun", 1);
    cancel_in_background(cx, &guard.server);
    guard.complete(CallOutcome::Failed);
    buffered::bill_upper_bound(cx);
    Err(Rejection::unknown(Refusal::BackendFailed))
}

/// Fails a stream that can't be resumed. The caller has a part of the response
/// and must see that the response ended early.
fn fail_stream(cx: &mut RequestContext, guard: InFlightGuard) -> Result<AttemptResult> {
    cancel_in_background(cx, &guard.server);
    guard.complete(CallOutcome::Failed);
    buffered::bill_upper_bound(cx);
    Err(backend_failed())
}

fn backend_failed() -> Rejection {
    Rejection::unknown(Refusal::BackendFailed)
}

/// Cancels the request of a caller that disconnected, and bills the tokens
/// used.
pub(super) async fn cancel(cx: &mut RequestContext, guard: InFlightGuard) -> Result<AttemptResult> {
    cx.abandoned = true;
    let client = cx.shared.controllers.backends.unpooled_client();
    let tokens = match cx.completion {
        Some(_) => cancel_at(&client, &guard.server, &cx.backend_request_id()).await,
        None => Some(cx.resolved_route().route.tokens_per_call),
    };
    if tokens.is_none() {
        cx.shared.metrics.event("cancel-unanswered", 1);
    }
    guard.complete(CallOutcome::Neutral);
    // If the engine did not report its usage, the upper bound is billed.
    cx.usage = Some(Usage {
        tokens: tokens.unwrap_or(cx.max_cost_tokens),
        outcome: Outcome::Ran(200),
    });
    Ok(AttemptResult::Answered)
}

/// Cancels a completion request at its engine, without waiting for the engine.
/// The bill doesn't depend on the usage that the engine reports.
pub(super) fn cancel_in_background(cx: &RequestContext, server: &str) {
    if cx.completion.is_none() {
        return;
    }
    let client = cx.shared.controllers.backends.unpooled_client();
    let (server, id) = (server.to_owned(), cx.backend_request_id());
    tokio::spawn(async move { cancel_at(&client, &server, &id).await });
}

/// Cancels a request at an engine. Returns the tokens used, if the engine
/// reports them.
async fn cancel_at(client: &reqwest::Client, server: &str, id: &str) -> Option<u64> {
    let url = format!("http://{server}/v1/streams/{id}");
    let timeout = Duration::from_millis(CANCEL_TIMEOUT_MS);
    let response = client.delete(url).timeout(timeout).send().await.ok()?;
    if response.status() == reqwest::StatusCode::NOT_FOUND {
        return Some(0);
    }
    sse::total_tokens(&response.bytes().await.ok()?)
}
