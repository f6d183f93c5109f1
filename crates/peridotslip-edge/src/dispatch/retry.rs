//! What the attempts of a request permit next.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use peridotslip::forwarding::{RetryBudget, Selection, ServerId, ServerVersion};

use super::{
    AttemptError, UNREACHABLE,
    attempt::{AttemptHandle, NO_WARMUP_PERMIT},
    rest,
};
use crate::{
    context::{Rejection, RequestContext, SharedState},
    crash_watch::BLOCKED_RETRY_MS,
    hedging::HedgePermit,
    reason::RejectionReason,
};

/// Number of denied permits after which a request no longer waits for cold servers, if
/// warm ones may serve it.
const MAX_WARMUP_DENIALS: u32 = 2;

/// The attempts made for one request.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryState {
    /// Servers to which attempts were made that failed or are silent.
    pub(super) tried: Vec<ServerId>,
    /// Servers whose running attempts count as possible executions.
    counted: Vec<ServerId>,
    /// Servers whose running attempts are silent.
    silent: Vec<ServerId>,
    /// The software versions that may serve the request; `None` if any may.
    pub(super) versions: Option<Vec<ServerVersion>>,
    /// Whether the request goes on with a stream of a version.
    pub(super) resumes: bool,
    /// Whether the last selection found no server, and one was passed over because this
    /// router may have no further connection to it or its memory has no room.
    pub(super) lacked_room: bool,
    /// When the last selection was made, in milliseconds.
    pub(super) selected_ms: Option<u64>,
    /// Number of cold servers that took no request.
    warmup_denials: u32,
    /// Whether any server could be reached.
    reached: bool,
    /// Servers that may have run the request. Not part of `tried`, which also has servers
    /// that are passed over while an attempt at them runs.
    executed: Vec<ServerId>,
    /// Whether a send counts as the first one, which needs no retry budget.
    has_first: Arc<AtomicBool>,
}

/// A send that is counted in the retry budget unless it turns out not to be written.
pub(super) struct SendReservation {
    shared: Arc<SharedState>,
    service: String,
    /// Whether the send is a request's first one, in which case the flag of the
    /// request.
    first: Option<Arc<AtomicBool>>,
    /// The permit of a second attempt for a slow response.
    permit: Option<HedgePermit>,
    written: bool,
}

impl SendReservation {
    /// Makes this the send of a second attempt for a slow response.
    pub(super) fn with_permit(mut self, permit: HedgePermit) -> Self {
        self.permit = Some(permit);
        self
    }

    /// Returns whether this is the send of a second attempt for a slow response.
    pub(super) fn is_second(&self) -> bool {
        self.permit.is_some()
    }

    /// Returns whether the request may be written now.
    pub(super) fn permits_write(&mut self) -> bool {
        self.permit.as_mut().is_none_or(HedgePermit::send)
    }

    /// Records that the request is about to be written.
    pub(super) fn set_written(&mut self) {
        self.written = true;
        if self.first.is_some() {
            self.shared
                .with_retry_budget(&self.service, RetryBudget::deposit);
            let now_ms = self.shared.clock.now_ms();
            self.shared
                .with_hedging(|hedging, _| hedging.record_request(&self.service, now_ms));
        }
    }

    /// Records that the request was not written after all. The deposit of a first
    /// send stays, which overstates the budget by the ratio of one request.
    pub(super) fn set_unwritten(&mut self) {
        self.written = false;
        if self.first.is_some() {
            self.shared
                .with_hedging(|hedging, _| hedging.retract_request(&self.service));
        }
    }
}

impl Drop for SendReservation {
    fn drop(&mut self) {
        if self.written {
            return;
        }
        match &self.first {
            Some(has_first) => has_first.store(false, Ordering::Relaxed),
            None => self
                .shared
                .with_retry_budget(&self.service, RetryBudget::refund),
        }
    }
}

impl RetryState {
    /// Records a failed attempt.
    pub(super) fn record_failure(
        &mut self,
        cx: &RequestContext,
        server: &ServerId,
        error: &AttemptError,
    ) {
        let reason = match error {
            AttemptError::NotRun(reason) => reason,
            AttemptError::MayHaveRun(reason) => reason.as_str(),
            AttemptError::Late => "late",
        };
        log::info!(id = cx.id(), server = server.as_str(), reason, failed:? = error; "attempt failed");
        self.reached |= *error != UNREACHABLE;
        match (error, self.counted.contains(server)) {
            (AttemptError::NotRun(_), true) => self.executed.retain(|known| known != server),
            (AttemptError::NotRun(_), false) => self.tried.push(server.clone()),
            (_, _) => self.record_possible_execution(server),
        }
        if *error == NO_WARMUP_PERMIT {
            self.warmup_denials += 1;
            if self.warmup_denials >= MAX_WARMUP_DENIALS {
                self.skip_cold(cx);
            }
        }
    }

    /// Excludes the cold servers if warm ones are left.
    fn skip_cold(&mut self, cx: &RequestContext) {
        let selection = Selection {
            attempted: &self.tried,
            ..cx.selection(&cx.service, self.versions.as_deref())
        };
        let now_ms = cx.shared.clock.now_ms();
        let cold = cx.shared.placement().cold_beside_warm(&selection, now_ms);
        self.tried.extend(cold);
    }

    /// Records that the server of a running attempt is silent. Until the attempt
    /// ends, it counts as one in which the server may have run the request.
    pub(super) fn record_silence(&mut self, cx: &RequestContext, attempt: &AttemptHandle) {
        let server = &attempt.server;
        if self.silent.contains(server) {
            return;
        }
        log::info!(id = cx.id(), server = server.as_str(); "server is silent; waiting for it and trying another if permitted");
        self.silent.push(server.clone());
        self.record_running(server);
        attempt.record_silence(&cx.shared);
    }

    /// Counts a running attempt as one in which the server may have run the request,
    /// because another may start beside it.
    pub(super) fn record_running(&mut self, server: &ServerId) {
        self.reached = true;
        if !self.counted.contains(server) {
            self.counted.push(server.clone());
            self.record_possible_execution(server);
        }
    }

    /// Records an attempt in which the server may have run the request.
    pub(super) fn record_possible_execution(&mut self, server: &ServerId) {
        if !self.tried.contains(server) {
            self.tried.push(server.clone());
        }
        if !self.executed.contains(server) {
            self.executed.push(server.clone());
        }
    }

    /// Returns whether the route permits another attempt beside or after those
    /// recorded: always if no server can have run the request. Once servers have
    /// crashed under it, no further one gets it.
    pub(super) fn permits_another(&self, cx: &RequestContext) -> bool {
        if self.executed.is_empty() {
            return true;
        }
        let route = cx.route.as_ref();
        route.is_some_and(|route| {
            route.is_retry_safe()
                && self.executed.len() < route.max_attempts as usize
                && !cx.is_suspect()
        })
    }

    /// Reserves a send of the request. The first one is always allowed; each further
    /// one needs the retry budget. Returns `None` if the budget is spent.
    pub(super) fn reserve_send(&self, cx: &RequestContext) -> Option<SendReservation> {
        let now_ms = cx.shared.clock.now_ms();
        let first = !self.has_first.swap(true, Ordering::Relaxed);
        let allowed = first
            || cx
                .shared
                .with_retry_budget(&cx.service, |budget| budget.withdraw(now_ms));
        if !allowed {
            log::info!(id = cx.id(), service = cx.service.as_str(); "retry budget exhausted; not retrying the request");
            return None;
        }
        Some(SendReservation {
            shared: cx.shared.clone(),
            service: cx.service.clone(),
            first: first.then(|| self.has_first.clone()),
            permit: None,
            written: false,
        })
    }

    /// Returns the rejection that the caller gets after the last attempt.
    pub(super) fn rejection(&self, cx: &RequestContext) -> Rejection {
        let after_ms = cx.shared.settings().timing.retry_after_ms;
        let late = cx.time_remaining().is_zero();
        if let Some(part) = cx.blocked_part().filter(|_| !cx.is_probe) {
            return match self.executed.len() {
                0 => Rejection::after(RejectionReason::blocked(part), BLOCKED_RETRY_MS),
                _ => Rejection::new(RejectionReason::stopped(part)),
            };
        }
        if self.executed.is_empty() && !late {
            let selection = cx.selection(&cx.service, self.versions.as_deref());
            let rejection = cx
                .obstacle_rejection(&selection)
                .or_else(|| rest::rejection(cx, self.versions.as_deref(), self.selected_ms));
            if let Some(rejection) = rejection {
                return rejection;
            }
        }
        match (self.executed.len(), late) {
            (0, false) if self.lacked_room => {
                Rejection::after(RejectionReason::ServersFull, after_ms)
            }
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
