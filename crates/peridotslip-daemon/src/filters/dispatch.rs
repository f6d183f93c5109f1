//! Sends the request to a backend server and receives its response.
//!
//! A request is sent to another server only if it can't have run at the first
//! or is idempotent.

mod buffered;
mod connections;
mod stream;

use std::time::{Duration, Instant};

use async_trait::async_trait;
use peridotslip::{balance::CallOutcome, prelude::*};
use reqwest::{Response, StatusCode};

use super::{Filter, Next};
use crate::{
    backend::forward,
    context::RequestContext,
    controllers::backends::InFlightGuard,
    problem::{Rejection, Result},
};

/// Maximum number of servers that one request is sent to.
const MAX_ATTEMPTS: usize = 3;
/// Bytes at the start of a request body that the affinity hash covers; it
/// selects the engine that may have the prompt's prefix cached.
const AFFINITY_BYTES: usize = 1_024;
/// Default of `Retry-After`, in seconds.
const RETRY_AFTER_S: u64 = 1;

pub(super) struct Dispatch;

/// Result of one attempt at a backend server.
enum AttemptResult {
    /// The response is complete, or the caller disconnected and the request is
    /// cancelled.
    Answered,
    /// The request may be sent to another server. The caller gets the rejection
    /// if no further attempt is made.
    Retry(RetryReason, Rejection),
}

#[async_trait]
impl Filter for Dispatch {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        if let Some((server, events)) = cx.failover_stream.clone() {
            stream::take_over_stream(cx, server, events).await?;
            return next.call(cx).await;
        }
        let mut attempted = Vec::new();
        let mut last_rejection: Option<Rejection> = None;
        for _ in 0..MAX_ATTEMPTS {
            let backends = cx.shared.controllers.backends.clone();
            let resolved_route = cx.resolved_route().clone();
            let guard = if let Some(server) = cx.failover_server.take() {
                backends.uncounted_guard(server)
            } else {
                match backends
                    .select(&resolved_route, &attempted, affinity(cx))
                    .await
                {
                    Ok(guard) => guard,
                    Err(retry_ms) => {
                        let no_backend = Rejection::not_run(Refusal::NoBackend);
                        let after_s = retry_ms.div_ceil(1_000).max(RETRY_AFTER_S);
                        return Err(
                            last_rejection.unwrap_or_else(|| no_backend.retry_after(after_s))
                        );
                    }
                }
            };
            attempted.push(guard.server.clone());
            cx.response.set_server(&guard.server);
            match attempt(cx, guard).await? {
                AttemptResult::Answered => return next.call(cx).await,
                AttemptResult::Retry(reason, mut rejection) => {
                    cx.shared.metrics.retried(reason);
                    // If an earlier server may have run the request, the
                    // status stays unknown whatever the next one reports.
                    if let Some(before) = last_rejection {
                        rejection.execution =
                            combined_status(before.execution, rejection.execution);
                    }
                    last_rejection = Some(rejection);
                }
            }
        }
        Err(last_rejection.unwrap_or_else(|| Rejection::not_run(Refusal::NoBackend)))
    }
}

/// Returns the execution status after two attempts. The second attempt can't
/// disprove that the first one ran.
fn combined_status(first: ExecutionStatus, second: ExecutionStatus) -> ExecutionStatus {
    if first == ExecutionStatus::NotRun {
        second
    } else {
        first
    }
}

/// Returns a hash of the start of the request body.
fn affinity(cx: &RequestContext) -> u64 {
    let body = &cx.request.body;
    xxhash_rust::xxh3::xxh3_64(&body[..body.len().min(AFFINITY_BYTES)])
}

async fn attempt(cx: &mut RequestContext, guard: InFlightGuard) -> Result<AttemptResult> {
    let idempotent = cx.resolved_route().route.idempotent;
    let client = cx.shared.controllers.backends.client_for(idempotent);
    let request = forward::request(cx, &guard.server);
    let sending = async { client.send(request?).await };
    let keyed = cx.idempotency_key.is_some();
    let response = cx.response.clone();
    cx.sent_at = Instant::now();
    let sent = tokio::select! {
        sent = tokio::time::timeout_at(cx.deadline().into(), sending) => sent,
        () = response.readers_gone(Duration::ZERO), if !keyed => {
            return stream::cancel(cx, guard).await;
        }
    };
    match sent {
        Ok(Ok(response)) => handle_response(cx, guard, response).await,
        Ok(Err(err)) if err.is_connect() => {
            guard.complete(CallOutcome::Failed);
            let rejection = Rejection::not_run(Refusal::BackendFailed).retry_after(RETRY_AFTER_S);
            Ok(AttemptResult::Retry(RetryReason::ConnectFailed, rejection))
        }
        Ok(Err(_)) => {
            guard.complete(CallOutcome::Failed);
            retry_if_idempotent(cx, Refusal::BackendFailed)
        }
        Err(_) => {
            stream::cancel_in_background(cx, &guard.server);
            guard.complete(CallOutcome::Failed);
            buffered::bill_upper_bound(cx);
            Err(Rejection::unknown(Refusal::BackendTimeout))
        }
    }
}

/// Handles a failure after which the request may have run. An idempotent
/// request is retried; any other is rejected, and billed at the upper bound of
/// its cost.
fn retry_if_idempotent(cx: &mut RequestContext, refusal: Refusal) -> Result<AttemptResult> {
    let rejection = Rejection::unknown(refusal);
    if cx.resolved_route().route.idempotent {
        return Ok(AttemptResult::Retry(RetryReason::ConnectFailed, rejection));
    }
    buffered::bill_upper_bound(cx);
    Err(rejection)
}

async fn handle_response(
    cx: &mut RequestContext,
    guard: InFlightGuard,
    response: Response,
) -> Result<AttemptResult> {
    let status = response.status();
    let busy = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let idempotent = cx.resolved_route().route.idempotent;
    if busy && idempotent {
        guard.complete(CallOutcome::Neutral);
        let rejection = Rejection::not_run(Refusal::NoBackend).retry_after(RETRY_AFTER_S);
        return Ok(AttemptResult::Retry(RetryReason::BackendBusy, rejection));
    }
    let streamed = cx.completion.is_some_and(|params| params.stream) && status.is_success();
    if streamed {
        stream::relay(cx, guard, response).await
    } else {
        buffered::receive(cx, guard, response).await
    }
}
