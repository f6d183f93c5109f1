//! Responses that are buffered completely before they are forwarded.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Response;

use super::{
    AttemptError, RetryState, ServedBy, ServerResponse,
    attempts::{Answer, ReadAnswer, first_answer},
    collect::{collect, give_up},
    end_to_end_headers, update_usage,
};
use crate::{
    body::{Body, full},
    context::{Rejection, RequestContext},
};

/// How long a server may take, as a multiple of the route's first-byte target,
/// before another attempt starts beside it.
const TARGETS_BEFORE_RETRY: u32 = 4;

/// Sends a request until a server has returned a complete response.
pub(super) async fn run(cx: &RequestContext) -> Result<Response<Body>, Rejection> {
    let mut retry = RetryState::default();
    let response = first_answer(cx, &mut retry, &ReadWhole, None).await;
    let Some(response) = response else {
        return Err(retry.rejection(cx));
    };
    if response.status().is_success() {
        // A whole response doesn't state how many tokens it has.
        let most = cx.metadata.max_output_tokens.unwrap_or(0);
        update_usage(cx, |usage| usage.raise_output(most));
    }
    Ok(response.map(full))
}

/// Reads complete responses. Server errors may be retried at another server.
struct ReadWhole;

#[async_trait]
impl ReadAnswer for ReadWhole {
    type Output = Response<Bytes>;

    async fn read(
        &self,
        cx: &RequestContext,
        mut from_server: ServerResponse,
    ) -> Result<Answer<Response<Bytes>>, AttemptError> {
        let body = collect(cx, &mut from_server);
        let body = match tokio::time::timeout(cx.time_remaining(), body).await {
            Ok(Ok(body)) => body,
            Ok(Err(err)) => return Err(give_up(from_server, &err)),
            Err(_) => {
                from_server.record_timeout();
                from_server.abort();
                return Err(AttemptError::Late);
            }
        };
        from_server.record_first_byte(cx);
        let mut response = Response::new(body);
        *response.status_mut() = from_server.status;
        *response.headers_mut() = end_to_end_headers(&from_server.headers);
        let served_by = ServedBy(from_server.server.clone());
        response.extensions_mut().insert(served_by);
        // The end of a body without framing may be that of a server that has crashed.
        match (from_server.status.is_success(), from_server.framed) {
            (_, false) => {}
            (true, true) => from_server.record_answer(),
            (false, true) => from_server.record_error_answer(),
        }
        from_server.complete();
        if response.status().is_server_error() {
            let error = AttemptError::MayHaveRun(response.status().to_string());
            return Ok(Answer::Retriable(response, error));
        }
        Ok(Answer::Final(response))
    }

    fn silence_limit(&self, cx: &RequestContext) -> Option<Duration> {
        let route = cx.route.as_ref()?;
        let target_ms = route.first_byte_target_ms;
        (route.is_retry_safe() && target_ms > 0)
            .then(|| Duration::from_millis(target_ms) * TARGETS_BEFORE_RETRY)
    }

    fn retry_label(&self) -> &'static str {
        "server-failed"
    }
}
