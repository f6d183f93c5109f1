//! Sends requests to backend servers and retries failed attempts.

mod attempt;
mod stream;
mod whole;

use http::{HeaderMap, Response, header};
use peridotslip::forwarding::{RetryBudget, ServerId, ServerVersion};

use self::attempt::ServerResponse;
use crate::{
    body::Body,
    context::{Rejection, RequestContext},
    reason::RejectionReason,
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
    /// The time limit of the attempt expired; the server may have run the
    /// request.
    Late,
}

/// No connection to the server could be opened.
const UNREACHABLE: AttemptError = AttemptError::NotRun("unreachable");

/// The attempts made for one request.
#[derive(Clone, Debug, Default)]
struct RetryState {
    /// Servers to which attempts were made.
    tried: Vec<ServerId>,
    /// The software versions that may serve the request; `None` if any may.
    versions: Option<Vec<ServerVersion>>,
    /// Whether the request goes on with a stream of a version.
    resumes: bool,
    /// Whether any server could be reached.
    reached: bool,
    /// Number of attempts in which the server may have run the request.
    possible_executions: u32,
    /// Whether the first send has been counted in the retry budget.
    first_send_counted: bool,
}

impl RetryState {
    /// Records a failed attempt. Returns whether the route permits another
    /// attempt: always if the server has not run the request.
    fn record_failure(
        &mut self,
        cx: &RequestContext,
        server: ServerId,
        error: &AttemptError,
    ) -> bool {
        let is_retry_safe = cx.route.as_ref().is_some_and(|route| route.is_retry_safe());
        let max_attempts = cx.route.as_ref().map_or(1, |route| route.max_attempts);
        let reason = match error {
            AttemptError::NotRun(reason) => reason,
            AttemptError::MayHaveRun(reason) => reason.as_str(),
            AttemptError::Late => "late",
        };
        log::info!(id = cx.id(), server = server.as_str(), reason, failed:? = error; "attempt failed");
        self.tried.push(server);
        self.reached |= *error != UNREACHABLE;
        match error {
            AttemptError::NotRun(_) => true,
            AttemptError::MayHaveRun(_) | AttemptError::Late => {
                self.possible_executions += 1;
                is_retry_safe && self.possible_executions < max_attempts
            }
        }
    }

    /// Returns whether the request may be sent now, and counts the send. The
    /// first send is always allowed; each further one needs the retry budget.
    fn may_send(&mut self, cx: &RequestContext) -> bool {
        let now_ms = cx.shared.clock.now_ms();
        if !self.first_send_counted {
            self.first_send_counted = true;
            cx.shared
                .with_retry_budget(&cx.service, RetryBudget::deposit);
            return true;
        }
        let allowed = cx
            .shared
            .with_retry_budget(&cx.service, |budget| budget.withdraw(now_ms));
        if !allowed {
            log::info!(id = cx.id(), service = cx.service.as_str(); "retry budget exhausted; not retrying the request");
        }
        allowed
    }

    /// Returns the rejection that the caller gets after the last attempt.
    fn rejection(&self, cx: &RequestContext) -> Rejection {
        let after_ms = cx.shared.settings().timing.retry_after_ms;
        let late = cx.time_remaining().is_zero();
        match (self.possible_executions, late) {
            (0, true) => Rejection::after(RejectionReason::NotStarted, after_ms),
            (0, false) if self.tried.is_empty() && self.resumes => {
                Rejection::new(RejectionReason::VersionGone)
            }
            (0, false) if self.tried.is_empty() => {
                Rejection::after(RejectionReason::NoServer, after_ms)
            }
            (0, false) if !self.reached => {
                Rejection::after(RejectionReason::ServersUnreachable, after_ms)
            }
            (0, false) => Rejection::after(RejectionReason::ServersFull, after_ms),
            (_, true) => Rejection::new(RejectionReason::TimedOut),
            (_, false) => Rejection::new(RejectionReason::ServerBroke),
        }
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
