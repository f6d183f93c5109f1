//! Responses that are received completely before the caller gets them.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use peridotslip::{balance::CallOutcome, memory::PooledBuffer, prelude::*};
use quick_error::quick_error;
use reqwest::Response;
use tokio::time::{Instant, timeout_at};

use super::{AttemptResult, retry_if_idempotent, stream};
use crate::{
    backend::{forward, sse},
    context::{DeferredOutput, RequestContext, Usage},
    controllers::backends::InFlightGuard,
    problem::{Rejection, Result},
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
    let buf = PooledBuffer::new(&cx.shared.response_memory, limit);
    let silence = Duration::from_millis(cx.shared.settings.backends.silence_timeout_ms);
    let deadline = cx.deadline().into();
    cx.record_first_byte();
    let keyed = cx.idempotency_key.is_some();
    let buffer = cx.response.clone();
    let body = tokio::select! {
        body = read(response, buf, silence, deadline) => body,
        () = buffer.readers_gone(Duration::ZERO), if !keyed => {
            return stream::cancel(cx, guard).await;
        }
    };
    let body = match body {
        Ok(body) => body.finish(),
        Err(ReadError::Late) => {
            log::info!(id = cx.id.as_str(), server = guard.server.as_str(); "a response had no end at the deadline; giving the request up");
            guard.complete(CallOutcome::Failed);
            bill_upper_bound(cx);
            return Err(Rejection::unknown(Refusal::BackendTimeout));
        }
        Err(ReadError::Broken(reason)) => {
            log::info!(id = cx.id.as_str(), server = guard.server.as_str(), reason = reason.as_str(); "a response could not be read; the attempt fails");
            guard.complete(CallOutcome::Failed);
            return retry_if_idempotent(cx, Refusal::BackendFailed);
        }
    };
    // A replayable response outlives the request.
    let body = if keyed {
        body.into_content().into()
    } else {
        Bytes::from_owner(body)
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

quick_error! {
    /// Why a whole body could not be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    enum ReadError {
        /// The connection failed, the body exceeds a limit of the buffer, or the
        /// server was silent.
        Broken(reason: String) {
            display("{reason}")
        }
        /// The deadline passed, and nothing tells when the body ends.
        Late {
            display("the response had no end at the deadline")
        }
    }
}

/// Reads a whole body to `buf`. A body with a length may arrive after the deadline,
/// as long as no more than `silence` passes without data.
async fn read(
    response: Response,
    mut buf: PooledBuffer,
    silence: Duration,
    deadline: Instant,
) -> std::result::Result<PooledBuffer, ReadError> {
    let has_length = response.content_length().is_some();
    let mut stream = response.bytes_stream();
    loop {
        let until = if has_length {
            deadline.max(Instant::now() + silence)
        } else {
            deadline
        };
        match timeout_at(until, stream.next()).await {
            Err(_) if has_length => {
                return Err(ReadError::Broken("the server is silent".to_owned()));
            }
            Err(_) => return Err(ReadError::Late),
            Ok(None) => return Ok(buf),
            Ok(Some(Ok(chunk))) => buf
                .append(&chunk)
                .map_err(|err| ReadError::Broken(err.to_string()))?,
            Ok(Some(Err(err))) => {
                return Err(ReadError::Broken(err.without_url().to_string()));
            }
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
