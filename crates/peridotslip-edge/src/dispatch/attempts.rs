//! The attempts of one request, one after or beside another.
//!
//! A silent server may still answer, so an attempt ends only with an answer, a
//! failure or the time limit of the request. After a silence, another attempt
//! starts beside the silent ones if the route and the retry budget permit it. The
//! first answer cancels the other attempts.
//!
//! Where the settings permit extra work, a second attempt starts earlier: once the first
//! one takes longer than a high quantile of such requests. It is no sign of a fault.

use std::time::Duration;

use async_trait::async_trait;
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use peridotslip::forwarding::{HedgeConditions, HedgeDenial, RequestClass, ServerId};

use super::{
    AttemptError, RetryState,
    attempt::{AttemptHandle, SelectedAttempt, ServerResponse},
    retry::SendReservation,
};
use crate::{
    context::RequestContext,
    hedging::{self, HedgePermit},
    silence::silence,
};

/// The outcome of an attempt that has not failed.
pub(super) enum Answer<T> {
    /// The answer goes to the caller.
    Final(T),
    /// The answer goes to the caller unless another running attempt brings a
    /// final one.
    Provisional(T),
    /// Like `Provisional`, and another attempt may follow because of the error.
    Retriable(T, AttemptError),
}

/// Reads the response of an attempt.
#[async_trait]
pub(super) trait ReadAnswer: Send + Sync {
    /// What the caller's response is made of.
    type Output: Send;

    /// Reads the response as far as the answer of the attempt depends on it.
    async fn read(
        &self,
        cx: &RequestContext,
        response: ServerResponse,
    ) -> Result<Answer<Self::Output>, AttemptError>;

    /// Returns how long a server may be silent before another attempt starts
    /// beside it; `None` if none may.
    fn silence_limit(&self, cx: &RequestContext) -> Option<Duration>;

    /// Returns the label under which retries of failed attempts are counted.
    fn retry_label(&self) -> &'static str;
}

/// An attempt and its outcome.
type Outcome<T> = (AttemptHandle, Result<Answer<T>, AttemptError>);

/// The running attempts of a request. Dropping them cancels them.
struct Attempts<'a, R: ReadAnswer> {
    cx: &'a RequestContext,
    retry: &'a mut RetryState,
    reader: &'a R,
    last_event_id: Option<u64>,
    running: FuturesUnordered<BoxFuture<'a, Outcome<R::Output>>>,
    handles: Vec<AttemptHandle>,
    /// The running attempt whose silence is timed.
    newest: Option<AttemptHandle>,
    /// The class of the request if it may get a second attempt for a slow response.
    class: Option<RequestClass<'a>>,
    /// Completes when the response of the only attempt is slow.
    slow: Option<BoxFuture<'a, ()>>,
    /// The running second attempt for a slow response, until its silence is timed.
    beside: Option<AttemptHandle>,
    /// The server of the second attempt for a slow response.
    second: Option<ServerId>,
    /// Why the attempts that are left are cancelled.
    cancel_reason: &'static str,
}

/// Sends a request, with `last_event_id` if it resumes a stream, to one server
/// after or beside another until one has answered. Returns `None` if none
/// answers.
pub(super) async fn first_answer<R: ReadAnswer>(
    cx: &RequestContext,
    retry: &mut RetryState,
    reader: &R,
    last_event_id: Option<u64>,
) -> Option<R::Output> {
    let begins = last_event_id.is_none() && retry.tried.is_empty();
    let mut attempts = Attempts {
        cx,
        retry,
        reader,
        last_event_id,
        running: FuturesUnordered::new(),
        handles: Vec::new(),
        newest: None,
        class: hedging::class(cx).filter(|_| begins),
        slow: None,
        beside: None,
        second: None,
        cancel_reason: "request-ended",
    };
    attempts.start();
    attempts.run().await
}

impl<R: ReadAnswer> Attempts<'_, R> {
    async fn run(&mut self) -> Option<R::Output> {
        let mut provisional = None;
        let cx = self.cx;
        let blocked = cx.wait_blocked();
        tokio::pin!(blocked);
        let answer_due = cx.shared.wait_answer_due();
        tokio::pin!(answer_due);
        let silent = silence(self.reader.silence_limit(cx));
        tokio::pin!(silent);
        while !self.running.is_empty() {
            tokio::select! {
                // An answer that has arrived is no silence.
                biased;
                Some((attempt, outcome)) = self.running.next() => {
                    self.record_end(&attempt);
                    silent.set(silence(self.reader.silence_limit(cx)));
                    let server = &attempt.server;
                    let mut label = self.reader.retry_label();
                    let error = match outcome {
                        Ok(Answer::Final(answer)) => {
                            self.record_answer(&attempt);
                            return Some(answer);
                        }
                        Ok(Answer::Provisional(answer)) => {
                            self.retry.record_possible_execution(server);
                            provisional = Some(answer);
                            continue;
                        }
                        Ok(Answer::Retriable(answer, error)) => {
                            provisional = Some(answer);
                            label = "server-error";
                            error
                        }
                        Err(error) => {
                            if error == AttemptError::Late {
                                self.record_unanswered(&attempt);
                            }
                            error
                        }
                    };
                    self.retry.record_failure(cx, server, &error);
                    if self.newest.is_none() && self.start() {
                        cx.shared.metrics.record_retry(label);
                    }
                }
                // The request crashes a server as it begins to run: no further one is needed.
                () = &mut blocked => return None,
                // The process ends soon, and with it the caller's connection.
                () = &mut answer_due => return provisional,
                () = &mut silent => {
                    silent.set(silence(self.reader.silence_limit(cx)));
                    self.slow = None;
                    if let Some(attempt) = self.newest.take() {
                        self.retry.record_silence(cx, &attempt);
                    }
                    self.newest = self.beside.take();
                    if self.newest.is_none() && self.start() {
                        cx.shared.metrics.record_retry("server-silent");
                    }
                }
                () = slow_response(&mut self.slow) => {
                    self.slow = None;
                    cx.shared.metrics.record_second_attempt("asked", "");
                    if let Err(reason) = self.start_second() {
                        let reason = reason.as_str();
                        cx.shared.metrics.record_second_attempt("denied", reason);
                        log::debug!(id = cx.id(), reason; "response is slow; no second attempt");
                    }
                }
            }
        }
        provisional
    }

    /// Starts another attempt, if it is permitted and a server is left. Returns
    /// whether it started.
    fn start(&mut self) -> bool {
        let cx = self.cx;
        if cx.time_remaining().is_zero() || !self.retry.permits_another(cx) || cx.is_blocked() {
            return false;
        }
        let Some(reservation) = self.retry.reserve_send(cx) else {
            return false;
        };
        let Some(attempt) = SelectedAttempt::select(cx, &mut *self.retry) else {
            return false;
        };
        let handle = attempt.handle();
        self.newest = Some(handle.clone());
        let class = self.class.filter(|_| self.running.is_empty());
        self.slow = class.map(|class| -> BoxFuture<'_, ()> {
            Box::pin(async move {
                handle.wait_sent().await;
                hedging::wait_slow(cx, class).await;
            })
        });
        self.push(attempt, reservation);
        true
    }

    /// Starts a second attempt beside the only one, whose response is slow.
    fn start_second(&mut self) -> hedging::Result<()> {
        let cx = self.cx;
        let shared = &cx.shared;
        let Some(first) = self.newest.clone() else {
            return Err(HedgeDenial::Route);
        };
        self.retry.record_running(&first.server);
        let conditions = HedgeConditions {
            route_permits: !cx.time_remaining().is_zero()
                && !cx.is_blocked()
                && self.retry.permits_another(cx),
            router_short: shared.is_short_of_capacity(),
            retries_left: {
                let now_ms = shared.clock.now_ms();
                shared.with_retry_budget(&cx.service, |budget| budget.is_half_left(now_ms))
            },
            free_server: SelectedAttempt::has_spare(cx, self.retry),
        };
        let permit = HedgePermit::ask(cx, conditions)?;
        let reservation = self.retry.reserve_send(cx);
        let reservation = reservation.ok_or(HedgeDenial::RetryBudget)?;
        let attempt = SelectedAttempt::select_spare(cx, self.retry);
        let attempt = attempt.ok_or(HedgeDenial::NoFreeServer)?;
        let second = attempt.handle();
        let waited_ms = first.sent_at().map(|at| at.elapsed().as_millis());
        log::info!(id = cx.id(), server = second.server.as_str(), slow = first.server.as_str(), waited_ms; "response is slow; sending the request to a second server");
        let source = permit.source().as_str();
        shared.metrics.record_second_attempt("allowed", source);
        self.retry.record_running(&second.server);
        self.second = Some(second.server.clone());
        self.beside = Some(second);
        self.push(attempt, reservation.with_permit(permit));
        Ok(())
    }

    fn push(&mut self, attempt: SelectedAttempt, reservation: SendReservation) {
        let (cx, reader, last_event_id) = (self.cx, self.reader, self.last_event_id);
        let handle = attempt.handle();
        self.handles.push(handle.clone());
        self.running.push(Box::pin(async move {
            let outcome = match attempt.send(cx, last_event_id, reservation).await {
                Ok(response) => reader.read(cx, response).await,
                Err(error) => Err(error),
            };
            (handle, outcome)
        }));
    }

    /// Records that an attempt has ended. If its silence was timed, that of a second
    /// attempt for a slow response is timed from now on.
    fn record_end(&mut self, ended: &AttemptHandle) {
        let is_ended = |attempt: &mut AttemptHandle| attempt.server == ended.server;
        self.handles
            .retain(|attempt| attempt.server != ended.server);
        self.beside.take_if(is_ended);
        if self.newest.take_if(is_ended).is_some() {
            self.slow = None;
            self.newest = self.beside.take();
        }
    }

    /// Records that an attempt has brought the answer.
    fn record_answer(&mut self, attempt: &AttemptHandle) {
        if self.is_second(attempt) {
            let metrics = &self.cx.shared.metrics;
            metrics.record_second_attempt("won", "");
            self.cancel_reason = "second-faster";
            return;
        }
        self.cancel_reason = "first-faster";
        if let (Some(class), Some(sent_at)) = (&self.class, attempt.sent_at()) {
            hedging::record_response(self.cx, class, sent_at.elapsed());
        }
    }

    /// Records that the time of an attempt is known only to be longer than it ran.
    fn record_unanswered(&self, attempt: &AttemptHandle) {
        if let (Some(class), Some(sent_at)) = (&self.class, attempt.sent_at())
            && !self.is_second(attempt)
        {
            hedging::record_unanswered(self.cx, class, sent_at.elapsed());
        }
    }

    fn is_second(&self, attempt: &AttemptHandle) -> bool {
        self.second.as_ref() == Some(&attempt.server)
    }

    /// Records that an attempt which hasn't ended is cancelled.
    fn record_cancelled(&self, attempt: &AttemptHandle) {
        let shared = &self.cx.shared;
        let is_second = self.is_second(attempt);
        let Some(sent_at) = attempt.sent_at() else {
            if is_second {
                shared.metrics.record_second_attempt("cancelled", "unsent");
            }
            return;
        };
        let elapsed = sent_at.elapsed();
        self.record_unanswered(attempt);
        if self.second.is_none() {
            return;
        }
        let reason = self.cancel_reason;
        let tokens = self.cx.metadata.prompt.prompt_tokens;
        shared.metrics.record_cancelled(reason, tokens);
        if is_second {
            shared.metrics.record_second_attempt("cancelled", reason);
        } else if reason == "second-faster" {
            let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            let mut placement = shared.placement();
            placement.record_overtaken(&attempt.server, elapsed_ms);
        }
        log::debug!(id = self.cx.id(), server = attempt.server.as_str(), reason, ms = elapsed.as_millis(); "attempt cancelled");
    }
}

/// Waits until `slow` completes; without it, forever.
async fn slow_response(slow: &mut Option<BoxFuture<'_, ()>>) {
    match slow {
        Some(slow) => slow.await,
        None => std::future::pending().await,
    }
}

impl<R: ReadAnswer> Drop for Attempts<'_, R> {
    fn drop(&mut self) {
        // An attempt that is cancelled may have run.
        if let Some(attempt) = self.newest.take() {
            self.retry.record_possible_execution(&attempt.server);
        }
        for attempt in &self.handles {
            self.record_cancelled(attempt);
        }
    }
}
