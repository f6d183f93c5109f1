//! Sends requests to backend servers and retries failed attempts.

mod attempt;
mod attempts;
mod collect;
mod rest;
mod retry;
mod stream;
mod whole;

use http::{HeaderMap, Response, header};
use peridotslip::{forwarding::ServerId, ledger::RequestUsage};

use self::{attempt::ServerResponse, retry::RetryState};
use crate::{
    body::Body,
    context::{Rejection, RequestContext},
};

/// Response headers that apply to the connection to the server only.
const HOP_BY_HOP: [header::HeaderName; 5] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TRAILER,
];

/// Response extension that holds the server whose response is forwarded, for
/// the log.
#[derive(Clone, Debug)]
pub(crate) struct ServedBy(pub(crate) ServerId);

/// Why an attempt returned no response.
#[derive(Clone, Debug, PartialEq, Eq)]
enum AttemptError {
    /// The server has not run the request and never will.
    NotRun(&'static str),
    /// The server may have run the request.
    MayHaveRun(String),
    /// The time limit of the request expired; the server may have run it.
    Late,
}

/// No connection to the server could be opened.
const UNREACHABLE: AttemptError = AttemptError::NotRun("unreachable");

/// Updates the tokens that the request has used, if its organisation's budget is
/// limited.
fn update_usage(cx: &RequestContext, update: impl FnOnce(&mut RequestUsage)) {
    if let Some(reservation) = &cx.reservation {
        update(&mut reservation.usage());
    }
}

/// Sends a request that has passed the filters and returns the response.
pub(crate) async fn run(cx: RequestContext) -> Result<Response<Body>, Rejection> {
    if cx.route.as_ref().is_some_and(|route| route.streaming) {
        stream::run(cx).await
    } else {
        whole::run(&cx).await
    }
}

/// Returns the response headers that are forwarded to the caller.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    for name in &HOP_BY_HOP {
        out.remove(name);
    }
    out.remove("keep-alive");
    out
}
