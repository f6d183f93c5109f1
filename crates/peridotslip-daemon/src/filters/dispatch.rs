//! Sends the request to a backend server and takes its answer in.
//!
//! Work is tried at another server only if nothing can have run or if it may
//! be repeated.

mod stream;
mod whole;

use std::time::{Duration, Instant};

use async_trait::async_trait;
use peridotslip::{balance::CallOutcome, prelude::*};
use reqwest::{Response, StatusCode};

use super::{Filter, Next};
use crate::{
    backend::forward,
    context::RequestContext,
    controllers::backends::Chosen,
    problem::{Rejection, Result},
};

/// Servers that one request is tried at.
const MAX_TRIES: usize = 3;
/// Bytes of a prompt that decide which engine has its prefix cached.
const AFFINITY_BYTES: usize = 1_024;
/// When to come back if no time is known, in seconds.
const RETRY_AFTER_S: u64 = 1;

pub(super) struct Dispatch;

/// What became of one try.
enum Tried {
    /// The answer is in.
    Answered,
    /// Another server may try; this is the refusal if none does.
    Again(RetryReason, Rejection),
}

#[async_trait]
impl Filter for Dispatch {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        if let Some((server, parts)) = cx.adopted.clone() {
            stream::adopt(cx, server, parts).await?;
            return next.call(cx).await;
        }
        let mut tried = Vec::new();
        let mut last: Option<Rejection> = None;
        for _ in 0..MAX_TRIES {
            let backends = cx.shared.controllers.backends.clone();
            let resolved_route = cx.resolved_route().clone();
            let chosen = match backends.choose(&resolved_route, &tried, affinity(cx)).await {
                Ok(chosen) => chosen,
                Err(retry_ms) => {
                    let none = Rejection::not_run(Refusal::NoBackend);
                    let after_s = retry_ms.div_ceil(1_000).max(RETRY_AFTER_S);
                    return Err(last.unwrap_or_else(|| none.retry_after(after_s)));
                }
            };
            tried.push(chosen.server.clone());
            match attempt(cx, chosen).await? {
                Tried::Answered => return next.call(cx).await,
                Tried::Again(reason, mut rejection) => {
                    cx.shared.metrics.retried(reason);
                    // What one server may have run stays unknown, whatever
                    // the next says.
                    if let Some(before) = last {
                        rejection.execution = graver(before.execution, rejection.execution);
                    }
                    last = Some(rejection);
                }
            }
        }
        Err(last.unwrap_or_else(|| Rejection::not_run(Refusal::NoBackend)))
    }
}

/// What two tries together leave to say.
fn graver(first: ExecutionStatus, second: ExecutionStatus) -> ExecutionStatus {
    if first == ExecutionStatus::NotRun {
        second
    } else {
        first
    }
}

/// A hash of the prompt's start.
fn affinity(cx: &RequestContext) -> u64 {
    let body = &cx.incoming.body;
    xxhash_rust::xxh3::xxh3_64(&body[..body.len().min(AFFINITY_BYTES)])
}

/// The time by which the answer must begin.
fn deadline(cx: &RequestContext) -> Instant {
    cx.arrived + Duration::from_millis(cx.resolved_route().route.deadline_ms)
}

async fn attempt(cx: &mut RequestContext, chosen: Chosen) -> Result<Tried> {
    let idempotent = cx.resolved_route().route.idempotent;
    let client = cx.shared.controllers.backends.client_for(idempotent);
    let request = forward::request(cx, &client, &chosen.server);
    let keyed = cx.key.is_some();
    let answer = cx.answer.clone();
    cx.sent = Instant::now();
    let sent = tokio::select! {
        sent = tokio::time::timeout_at(deadline(cx).into(), request.send()) => sent,
        () = answer.abandoned(Duration::ZERO), if !keyed => {
            return stream::cancel(cx, chosen).await;
        }
    };
    match sent {
        Ok(Ok(response)) => received(cx, chosen, response).await,
        Ok(Err(err)) if err.is_connect() => {
            chosen.finish(CallOutcome::Failed);
            let rejection = Rejection::not_run(Refusal::BackendFailed).retry_after(RETRY_AFTER_S);
            Ok(Tried::Again(RetryReason::ConnectFailed, rejection))
        }
        Ok(Err(_)) => {
            chosen.finish(CallOutcome::Failed);
            may_have_run(cx, Refusal::BackendFailed)
        }
        Err(_) => {
            stream::cancel_in_background(cx, &chosen.server);
            chosen.finish(CallOutcome::Failed);
            whole::note_unknown(cx);
            Err(Rejection::unknown(Refusal::BackendTimeout))
        }
    }
}

/// Decides after a failure that leaves open whether the work ran.
fn may_have_run(cx: &mut RequestContext, refusal: Refusal) -> Result<Tried> {
    let rejection = Rejection::unknown(refusal);
    if cx.resolved_route().route.idempotent {
        return Ok(Tried::Again(RetryReason::ConnectFailed, rejection));
    }
    whole::note_unknown(cx);
    Err(rejection)
}

async fn received(cx: &mut RequestContext, chosen: Chosen, response: Response) -> Result<Tried> {
    let status = response.status();
    let busy = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let idempotent = cx.resolved_route().route.idempotent;
    if busy && idempotent {
        chosen.finish(CallOutcome::Neutral);
        let rejection = Rejection::not_run(Refusal::NoBackend).retry_after(RETRY_AFTER_S);
        return Ok(Tried::Again(RetryReason::BackendBusy, rejection));
    }
    let streamed = cx.completion.is_some_and(|asked| asked.stream) && status.is_success();
    if streamed {
        stream::pass(cx, chosen, response).await
    } else {
        whole::pass(cx, chosen, response).await
    }
}
