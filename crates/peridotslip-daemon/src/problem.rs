//! Rejections and the problem documents that callers get for them.

use axum::{
    body::Body,
    http::{HeaderValue, Response, header},
};
use peridotslip::prelude::*;
use serde_json::json;

/// The reason why a request has no response from a backend server, and whether
/// the request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) refusal: Refusal,
    pub(crate) execution: ExecutionStatus,
    pub(crate) retry_after_s: Option<u64>,
}

/// The result of a step in handling a request.
pub(crate) type Result<T> = std::result::Result<T, Rejection>;

impl Rejection {
    /// Creates a rejection of a request that was not sent to a backend server.
    pub(crate) fn not_run(refusal: Refusal) -> Self {
        Self {
            refusal,
            execution: ExecutionStatus::NotRun,
            retry_after_s: None,
        }
    }

    /// Creates a rejection of a request that may have run.
    pub(crate) fn unknown(refusal: Refusal) -> Self {
        Self {
            refusal,
            execution: ExecutionStatus::Unknown,
            retry_after_s: None,
        }
    }

    /// Sets the `Retry-After` header, in seconds.
    pub(crate) fn retry_after(mut self, seconds: u64) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Returns the response with the problem document (RFC 9457).
    pub(crate) fn response(&self, request_id: &str) -> Response<Body> {
        let reason = self.refusal.as_str();
        let problem = json!({
            "type": format!("urn:peridotslip:refusal:{reason}"),
            "title": self.refusal.title(),
            "status": self.refusal.status(),
            "reason": reason,
            "run": self.execution.as_str(),
            "request": request_id,
        });
        let mut response = Response::new(Body::from(problem.to_string()));
        let status = axum::http::StatusCode::from_u16(self.refusal.status());
        *response.status_mut() = status.unwrap_or_default();
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(seconds) = self.retry_after_s {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.refusal == Refusal::Unauthenticated {
            let challenge = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, challenge);
        }
        response
    }
}
