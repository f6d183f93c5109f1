//! Responses that are buffered completely before they are forwarded.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};

use super::{AttemptError, RetryState, ServedBy, ServerResponse, end_to_end_headers};
use crate::{
    body::{Body, full},
    context::{Rejection, RequestContext},
};

/// Longest buffered response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Time limit of an attempt as a multiple of the route's first-byte target, if
/// another attempt may follow.
const TARGETS_BEFORE_RETRY: u32 = 4;

/// Sends a request until a server has returned a complete response.
pub(super) async fn run(cx: &RequestContext) -> Result<Response<Body>, Rejection> {
    let mut retry = RetryState::default();
    // Forwarded if no later attempt returns a response.
    let mut error_response = None;
    while !cx.time_remaining().is_zero() && retry.may_send(cx) {
        let limit = attempt_limit(cx, &retry);
        let Some(sent) = ServerResponse::send(cx, &retry, None, limit).await else {
            break;
        };
        let result = match sent {
            Ok(response) => read_response(cx, response, cx.time_remaining().min(limit)).await,
            Err(error) => Err(error),
        };
        match result {
            Ok((server, response)) => {
                let error = AttemptError::MayHaveRun(response.status().to_string());
                let should_retry =
                    is_transient(response.status()) && retry.record_failure(cx, server, &error);
                let response = response.map(full);
                if !should_retry {
                    return Ok(response);
                }
                cx.shared.metrics.record_retry("server-error");
                error_response = Some(response);
            }
            Err((server, error)) => {
                if !retry.record_failure(cx, server, &error) {
                    break;
                }
                cx.shared.metrics.record_retry("server-failed");
            }
        }
    }
    error_response.ok_or_else(|| retry.rejection(cx))
}

/// Returns whether another server may succeed where one returned `status`.
fn is_transient(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Returns the time limit of the next attempt: the remaining time, or less if
/// another attempt may follow.
fn attempt_limit(cx: &RequestContext, retry: &RetryState) -> Duration {
    let remaining = cx.time_remaining();
    let Some(route) = cx.route.as_ref() else {
        return remaining;
    };
    let last = !route.is_retry_safe() || retry.possible_executions + 1 >= route.max_attempts;
    if last || route.first_byte_target_ms == 0 {
        return remaining;
    }
    remaining.min(Duration::from_millis(route.first_byte_target_ms) * TARGETS_BEFORE_RETRY)
}

/// Reads the complete response, for up to `limit`.
async fn read_response(
    cx: &RequestContext,
    from_server: ServerResponse,
    limit: Duration,
) -> Result<(String, Response<Bytes>), (String, AttemptError)> {
    let mut from_server = from_server;
    let server = from_server.server.clone();
    let body = Limited::new(&mut from_server.body, MAX_RESPONSE_BYTES).collect();
    match tokio::time::timeout(limit, body).await {
        Ok(Ok(body)) => {
            from_server.record_first_byte(cx);
            let mut response = Response::new(body.to_bytes());
            *response.status_mut() = from_server.status;
            *response.headers_mut() = end_to_end_headers(&from_server.headers);
            response.extensions_mut().insert(ServedBy(server.clone()));
            from_server.complete();
            Ok((server, response))
        }
        Ok(Err(err)) => {
            from_server.abort();
            Err((server, AttemptError::MayHaveRun(err.to_string())))
        }
        Err(_) => {
            from_server.abort();
            Err((server, AttemptError::Late))
        }
    }
}
