//! Refusals as callers see them.

use axum::{
    body::Body,
    http::{HeaderValue, Response, header},
};
use peridotslip::prelude::*;
use serde_json::json;

/// A request that gets no answer of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) refusal: Refusal,
    pub(crate) execution: ExecutionStatus,
    pub(crate) retry_after_s: Option<u64>,
}

/// The result of a step in answering a request.
pub(crate) type Result<T> = std::result::Result<T, Rejection>;

impl Rejection {
    /// A refusal before anything was sent to a backend server.
    pub(crate) fn not_run(refusal: Refusal) -> Self {
        Self {
            refusal,
            execution: ExecutionStatus::NotRun,
            retry_after_s: None,
        }
    }

    /// A refusal after which the work may have run.
    pub(crate) fn unknown(refusal: Refusal) -> Self {
        Self {
            refusal,
            execution: ExecutionStatus::Unknown,
            retry_after_s: None,
        }
    }

    /// Tells the caller when a retry can help.
    pub(crate) fn retry_after(mut self, seconds: u64) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// The problem document.
    pub(crate) fn response(&self, request_id: &str) -> Response<Body> {
        let word = self.refusal.as_str();
        let problem = json!({
            "type": format!("urn:peridotslip:refusal:{word}"),
            "title": self.refusal.title(),
            "status": self.refusal.status(),
            "reason": word,
            "run": self.execution.as_str(),
            "request": request_id,
        });
        let mut response = Response::new(Body::from(problem.to_string()));
        let status = axum::http::StatusCode::from_u16(self.refusal.status());
        *response.status_mut() = status.unwrap_or_default();
        let headers = response.headers_mut();
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, kind);
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
