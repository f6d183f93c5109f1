//! Answers that are taken in whole before the caller gets them.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use peridotslip::{balance::CallOutcome, prelude::*};
use reqwest::Response;

use super::{Tried, may_have_run, stream};
use crate::{
    answer::Head,
    backend::{forward, sse},
    context::{HeldBack, RequestContext, Usage},
    controllers::backends::Chosen,
    problem::Result,
};

/// Takes a whole answer in and holds it back for its bill.
pub(super) async fn pass(
    cx: &mut RequestContext,
    chosen: Chosen,
    response: Response,
) -> Result<Tried> {
    let status = response.status();
    let headers = forward::answer_headers(response.headers());
    let limit = cx.shared.settings.limits.max_answer_bytes;
    let silence = Duration::from_millis(cx.shared.settings.backends.silence_timeout_ms);
    cx.note_first_byte();
    let keyed = cx.key.is_some();
    let answer = cx.answer.clone();
    let body = tokio::select! {
        body = read(response, limit, silence) => body,
        () = answer.abandoned(Duration::ZERO), if !keyed => {
            return stream::cancel(cx, chosen).await;
        }
    };
    let Some(body) = body else {
        chosen.finish(CallOutcome::Failed);
        return may_have_run(cx, Refusal::BackendFailed);
    };
    chosen.finish(CallOutcome::Answered);
    cx.usage = Some(Usage {
        tokens: tokens(cx, status.is_success(), &body),
        outcome: Outcome::Ran(status.as_u16()),
    });
    let head = Head { status, headers };
    cx.held_back = Some(HeldBack {
        head: Some(head),
        part: body,
    });
    Ok(Tried::Answered)
}

/// Reads a body to its end; `None` if it breaks, is silent or is too long.
async fn read(response: Response, limit: usize, silence: Duration) -> Option<Bytes> {
    let mut stream = response.bytes_stream();
    let mut buf = BytesMut::new();
    while let Some(part) = tokio::time::timeout(silence, stream.next()).await.ok()? {
        buf.extend_from_slice(&part.ok()?);
        if buf.len() > limit {
            return None;
        }
    }
    Some(buf.freeze())
}

/// What an answer costs: what the engine says, or the service's price. An
/// engine's refusal costs nothing.
fn tokens(cx: &RequestContext, success: bool, body: &[u8]) -> u64 {
    match cx.completion {
        None => cx.resolved_route().route.tokens_per_call,
        Some(_) if !success => 0,
        Some(_) => sse::total_tokens(body).unwrap_or(cx.bound),
    }
}

/// Notes that work which may not be repeated may have run: it is billed.
pub(super) fn note_unknown(cx: &mut RequestContext) {
    if !cx.resolved_route().route.idempotent {
        cx.usage = Some(Usage {
            tokens: cx.bound,
            outcome: Outcome::Unknown,
        });
    }
}
