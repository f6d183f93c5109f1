//! Responses that are received completely before the caller gets them.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use peridotslip::{balance::CallOutcome, prelude::*};
use reqwest::Response;
use tokio::time::{Instant, timeout_at};

use super::{AttemptResult, retry_if_idempotent, stream};
use crate::{
    backend::{forward, sse},
    context::{DeferredOutput, RequestContext, Usage},
    controllers::backends::InFlightGuard,
    problem::Result,
    response::ResponseHead,
};

/// Receives a complete response and defers it until its bill is durable or
/// replicated.
pub(super) async fn receive(
    cx: &mut RequestContext,
    guard: InFlightGuard,
    response: Response,
) -> Result<AttemptResult> {
    let status = response.status();
    let headers = forward::response_headers(response.headers());
    let limit = cx.shared.settings.limits.max_answer_bytes;
    let silence = Duration::from_millis(cx.shared.settings.backends.silence_timeout_ms);
    let deadline = cx.deadline().into();
    cx.record_first_byte();
    let keyed = cx.idempotency_key.is_some();
    let buffer = cx.response.clone();
    let body = tokio::select! {
        body = read(response, limit, silence, deadline) => body,
        () = buffer.readers_gone(Duration::ZERO), if !keyed => {
            return stream::cancel(cx, guard).await;
        }
    };
    let Some(body) = body else {
        guard.complete(CallOutcome::Failed);
        return retry_if_idempotent(cx, Refusal::BackendFailed);
    };
    guard.complete(CallOutcome::Answered);
    cx.usage = Some(Usage {
        tokens: cost_tokens(cx, status.is_success(), &body),
        outcome: Outcome::Ran(status.as_u16()),
    });
    let head = ResponseHead { status, headers };
    cx.deferred_output = Some(DeferredOutput {
        head: Some(head),
        chunk: body,
    });
    Ok(AttemptResult::Answered)
}

/// Reads a whole body. Returns `None` if the connection fails, the body is
/// longer than `limit` bytes, or no data arrives for `silence` and until the
/// deadline.
async fn read(
    response: Response,
    limit: usize,
    silence: Duration,
    deadline: Instant,
) -> Option<Bytes> {
    let mut stream = response.bytes_stream();
    let mut buf = BytesMut::new();
    loop {
        let until = deadline.max(Instant::now() + silence);
        let Some(chunk) = timeout_at(until, stream.next()).await.ok()? else {
            return Some(buf.freeze());
        };
        buf.extend_from_slice(&chunk.ok()?);
        if buf.len() > limit {
            return None;
        }
    }
}

/// Returns the cost of a response in tokens: the usage that the engine
/// reports, or the price of the service's route. An error response of an
/// engine costs nothing.
fn cost_tokens(cx: &RequestContext, success: bool, body: &[u8]) -> u64 {
    match cx.completion {
        None => cx.resolved_route().route.tokens_per_call,
        Some(_) if !success => 0,
        Some(_) => sse::total_tokens(body).unwrap_or(cx.max_cost_tokens),
    }
}

/// Bills a non-idempotent request, which may have run, at the upper bound of
/// its cost. An idempotent request is not billed.
pub(super) fn bill_upper_bound(cx: &mut RequestContext) {
    if !cx.resolved_route().route.idempotent {
        cx.usage = Some(Usage {
            tokens: cx.max_cost_tokens,
            outcome: Outcome::Unknown,
        });
    }
}
