//! Sends a request to backend servers until one has answered it.

mod attempt;
mod stream;
mod whole;

use http::{HeaderMap, Response, header};
use peridotslip::forwarding::{RetryBudget, ServerId};

use self::attempt::Attempt;
use crate::{
    body::Body,
    context::{Rejection, RequestContext},
    reason::RejectionReason,
};

/// Headers of a server's answer that concern its own connection.
const HOP_BY_HOP: [header::HeaderName; 5] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TRAILER,
];

/// The server whose answer is passed on, for the log.
#[derive(Clone, Debug)]
pub(crate) struct ServedBy(pub(crate) ServerId);

/// Why a try gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Failed {
    /// The server certainly did not and will not run the request.
    NotRun(&'static str),
    /// The server may have run the request.
    MayHaveRun(String),
    /// The time for a first byte is over; the server may have run it.
    Late,
}

/// The tries made for one request.
#[derive(Clone, Debug, Default)]
struct Tries {
    /// Servers that were tried.
    servers: Vec<ServerId>,
    /// Servers that may have begun to work.
    runs: u32,
    /// Whether the first send has been counted in the retry budget.
    counted: bool,
}

impl Tries {
    /// Takes in a failed try. Returns whether another may follow, as far as
    /// the route is concerned.
    fn failed(&mut self, cx: &RequestContext, server: ServerId, failed: &Failed) -> bool {
        let is_retry_safe = cx.route.as_ref().is_some_and(|route| route.is_retry_safe());
        let max_runs = cx.route.as_ref().map_or(1, |route| route.max_attempts);
        let reason = match failed {
            Failed::NotRun(reason) => reason,
            Failed::MayHaveRun(reason) => reason.as_str(),
            Failed::Late => "late",
        };
        log::info!(id = cx.id(), server = server.as_str(), reason, failed:? = failed; "server did not answer the request");
        self.servers.push(server);
        match failed {
            Failed::NotRun(_) => true,
            Failed::MayHaveRun(_) | Failed::Late => {
                self.runs += 1;
                is_retry_safe && self.runs < max_runs
            }
        }
    }

    /// Whether the budget of repeated sends allows another send now.
    fn allowed(&mut self, cx: &RequestContext) -> bool {
        let now_ms = cx.shared.clock.now_ms();
        if !self.counted {
            self.counted = true;
            cx.shared
                .with_retry_budget(&cx.service, RetryBudget::deposit);
            return true;
        }
        let allowed = cx
            .shared
            .with_retry_budget(&cx.service, |budget| budget.withdraw(now_ms));
        if !allowed {
            log::info!(id = cx.id(), service = cx.service.as_str(); "no further try: the retry budget is spent");
        }
        allowed
    }

    /// The router's own answer after the last try.
    fn refusal(&self, cx: &RequestContext) -> Rejection {
        let after_ms = cx.shared.settings().timing.retry_after_ms;
        let late = cx.time_remaining().is_zero();
        match (self.runs, late) {
            (0, true) => Rejection::after(RejectionReason::NotStarted, after_ms),
            (0, false) if self.servers.is_empty() => {
                Rejection::after(RejectionReason::NoServer, after_ms)
            }
            (0, false) => Rejection::after(RejectionReason::ServersFull, after_ms),
            (_, true) => Rejection::new(RejectionReason::TimedOut),
            (_, false) => Rejection::new(RejectionReason::ServerBroke),
        }
    }
}

/// Answers a request that has passed the filters.
pub(crate) async fn run(cx: RequestContext) -> Result<Response<Body>, Rejection> {
    if cx.route.as_ref().is_some_and(|route| route.streaming) {
        stream::run(cx).await
    } else {
        whole::run(&cx).await
    }
}

/// The headers of a server's answer as they are passed on.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    for name in &HOP_BY_HOP {
        out.remove(name);
    }
    out.remove("keep-alive");
    out
}
