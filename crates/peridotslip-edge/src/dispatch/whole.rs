//! Answers that are read whole before they are passed on.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};

use super::{Attempt, Failed, ServedBy, Tries, passed_on};
use crate::{
    body::{Body, whole},
    context::{Rejection, RequestContext},
};

/// Longest answer that is read whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// A server of a route whose work may be repeated is given this many times
/// the route's target before another is tried.
const TARGETS_BEFORE_RETRY: u32 = 4;

/// Sends a request until a server has answered it whole.
pub(super) async fn run(cx: &RequestContext) -> Result<Response<Body>, Rejection> {
    let mut tries = Tries::default();
    let mut fallback = None;
    while !cx.time_remaining().is_zero() && tries.allowed(cx) {
        let limit = try_limit(cx, &tries);
        let Some(sent) = Attempt::send(cx, &tries, None, limit).await else {
            break;
        };
        let read = match sent {
            Ok(attempt) => read(cx, attempt, cx.time_remaining().min(limit)).await,
            Err(failed) => Err(failed),
        };
        match read {
            Ok((server, response)) => {
                let failed = Failed::MayHaveRun(response.status().to_string());
                let again = is_transient(response.status()) && tries.failed(cx, server, &failed);
                let response = response.map(whole);
                if !again {
                    return Ok(response);
                }
                cx.shared.metrics.retried("server-error");
                fallback = Some(response);
            }
            Err((server, failed)) => {
                if !tries.failed(cx, server, &failed) {
                    break;
                }
                cx.shared.metrics.retried("server-failed");
            }
        }
    }
    fallback.ok_or_else(|| tries.refusal(cx))
}

/// Whether another server may do better.
fn is_transient(status: StatusCode) -> bool {
    status.is_server_error()
}

fn try_limit(cx: &RequestContext, tries: &Tries) -> Duration {
    let remaining = cx.time_remaining();
    let Some(route) = cx.route.as_ref() else {
        return remaining;
    };
    let last = !route.is_retry_safe() || tries.runs + 1 >= route.max_attempts;
    if last || route.first_byte_target_ms == 0 {
        return remaining;
    }
    remaining.min(Duration::from_millis(route.first_byte_target_ms) * TARGETS_BEFORE_RETRY)
}

/// Reads the answer whole.
async fn read(
    cx: &RequestContext,
    attempt: Attempt,
    limit: Duration,
) -> Result<(String, Response<Bytes>), (String, Failed)> {
    let mut attempt = attempt;
    let server = attempt.server.clone();
    let body = Limited::new(&mut attempt.body, MAX_ANSWER_BYTES).collect();
    match tokio::time::timeout(limit, body).await {
        Ok(Ok(body)) => {
            attempt.first_byte(cx);
            let mut response = Response::new(body.to_bytes());
            *response.status_mut() = attempt.status;
            *response.headers_mut() = passed_on(&attempt.headers);
            response.extensions_mut().insert(ServedBy(server.clone()));
            attempt.finish();
            Ok((server, response))
        }
        Ok(Err(err)) => {
            attempt.broke();
            Err((server, Failed::MayHaveRun(err.to_string())))
        }
        Err(_) => {
            attempt.broke();
            Err((server, Failed::Late))
        }
    }
}
