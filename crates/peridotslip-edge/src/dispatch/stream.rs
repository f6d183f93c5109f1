//! Answers that are streams of events, passed on event by event.
//!
//! If a server breaks off, the stream goes on at another one after the last
//! event that was passed on, where the route allows it. The caller sees one
//! answer, with the first server's head.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use peridotslip::events::{EventFramer, event_id};

use super::{Attempt, Failed, ServedBy, Tries, passed_on};
use crate::{
    body::{Body, Cut, Parts, streamed, whole},
    budgets::ReservationGuard,
    context::{Rejection, RequestContext},
};

/// Longest error answer, in bytes.
const MAX_ERROR_BYTES: usize = 1024 * 1024;
/// A server is given this many times the route's target for the first event
/// before another is tried.
const TARGETS_BEFORE_RETRY: f64 = 2.5;
/// A server is given this many times the longest good pause between events
/// before the stream goes on at another.
const GAPS_BEFORE_RETRY: u32 = 4;
/// The pause between events if the route names none, in milliseconds.
const DEFAULT_GAP_MS: u64 = 500;

/// What came next in a stream.
enum Next {
    Event(Bytes),
    End,
    Broken(String),
    Silent,
}

/// A stream at one server.
struct Source {
    attempt: Attempt,
    framer: EventFramer,
}

impl Source {
    async fn next(&mut self, limit: Duration) -> Next {
        let until = tokio::time::Instant::now() + limit;
        loop {
            if let Some(event) = self.framer.next_event() {
                return Next::Event(event);
            }
            let frame = tokio::time::timeout_at(until, self.attempt.body.frame()).await;
            match frame {
                Err(_) => return Next::Silent,
                Ok(None) if self.framer.is_partial() => {
                    return Next::Broken("ended within an event".to_owned());
                }
                Ok(None) => return Next::End,
                Ok(Some(Err(err))) => return Next::Broken(err.to_string()),
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    if self.framer.push(&data).is_err() {
                        return Next::Broken("an event is too long".to_owned());
                    }
                }
            }
        }
    }
}

/// What has been passed on.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    last_event_id: Option<u64>,
    events: u64,
}

/// What a try to begin a stream came to.
enum Begun {
    /// A stream with its first event.
    Stream(Source, Bytes),
    /// A stream without events.
    Empty(Source),
    /// A failure with its whole body.
    Failure(Response<Bytes>),
}

/// Sends a request until a server has begun to stream, and passes the stream
/// on.
pub(super) async fn run(mut cx: RequestContext) -> Result<Response<Body>, Rejection> {
    let mut tries = Tries::default();
    let last_event_id = cx.metadata.last_event_id;
    let begun = begin(&mut cx, &mut tries, last_event_id).await;
    match begun {
        None => Err(tries.refusal(&cx)),
        Some(Begun::Failure(response)) => Ok(response.map(whole)),
        Some(Begun::Empty(source)) => {
            let response = head(&source.attempt).map(|()| whole(Bytes::new()));
            source.attempt.finish();
            Ok(response)
        }
        Some(Begun::Stream(source, event)) => {
            let (tx, body) = streamed();
            let response = head(&source.attempt).map(|()| body);
            let progress = Progress {
                last_event_id,
                events: 0,
            };
            tokio::spawn(pass_on(cx, tries, source, event, progress, tx));
            Ok(response)
        }
    }
}

fn head(attempt: &Attempt) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = attempt.status;
    *response.headers_mut() = passed_on(&attempt.headers);
    let served_by = ServedBy(attempt.server.clone());
    response.extensions_mut().insert(served_by);
    response
}

/// Tries servers until one has sent its first event.
async fn begin(
    cx: &mut RequestContext,
    tries: &mut Tries,
    last_event_id: Option<u64>,
) -> Option<Begun> {
    while !cx.time_remaining().is_zero() && tries.allowed(cx) {
        let limit = first_event_limit(cx, tries);
        let failed = match Attempt::send(cx, tries, last_event_id, limit).await? {
            Ok(attempt) => {
                note_used(cx, 0);
                match first(cx, attempt, limit).await {
                    Ok(begun) => return Some(begun),
                    Err(failed) => failed,
                }
            }
            Err(failed) => failed,
        };
        let (server, failed) = failed;
        if !matches!(failed, Failed::NotRun(_)) {
            note_used(cx, 0);
        }
        if !tries.failed(cx, server, &failed) {
            return None;
        }
        cx.shared.metrics.retried("stream-not-begun");
    }
    None
}

async fn first(
    cx: &RequestContext,
    attempt: Attempt,
    limit: Duration,
) -> Result<Begun, (String, Failed)> {
    let server = attempt.server.clone();
    if !attempt.status.is_success() {
        return failure(attempt, limit).await;
    }
    let mut source = Source {
        attempt,
        framer: EventFramer::default(),
    };
    let failed = match source.next(limit).await {
        Next::Event(event) => {
            source.attempt.first_byte(cx);
            return Ok(Begun::Stream(source, event));
        }
        Next::End => return Ok(Begun::Empty(source)),
        Next::Broken(reason) => Failed::MayHaveRun(reason),
        Next::Silent => Failed::Late,
    };
    source.attempt.broke();
    Err((server, failed))
}

async fn failure(mut attempt: Attempt, limit: Duration) -> Result<Begun, (String, Failed)> {
    let server = attempt.server.clone();
    let body = Limited::new(&mut attempt.body, MAX_ERROR_BYTES).collect();
    match tokio::time::timeout(limit, body).await {
        Ok(Ok(body)) => {
            let response = head(&attempt).map(|()| body.to_bytes());
            attempt.finish();
            Ok(Begun::Failure(response))
        }
        Ok(Err(err)) => Err((server, Failed::MayHaveRun(err.to_string()))),
        Err(_) => Err((server, Failed::Late)),
    }
}

fn first_event_limit(cx: &RequestContext, tries: &Tries) -> Duration {
    let remaining = cx.time_remaining();
    let Some(route) = cx.route.as_ref() else {
        return remaining;
    };
    let last = !route.is_retry_safe() || tries.runs + 1 >= route.max_attempts;
    if last || route.first_byte_target_ms == 0 {
        return remaining;
    }
    remaining.min(Duration::from_millis(route.first_byte_target_ms).mul_f64(TARGETS_BEFORE_RETRY))
}

/// Notes what the request has used: its prompt, and the tokens of so many
/// events.
fn note_used(cx: &mut RequestContext, events: u64) {
    let service = cx.index.service(&cx.service);
    let per_event = service
        .and_then(|service| service.engine)
        .map_or(1, |engine| engine.tokens_per_event);
    let output = (events * per_event).min(cx.metadata.max_output_tokens.unwrap_or(0));
    let used = cx.metadata.prompt.prompt_tokens + output;
    if let Some(reservation) = &mut cx.reservation {
        reservation.set_used(used);
    }
}

/// Passes a stream on until it ends, breaks for good, or the caller leaves.
async fn pass_on(
    mut cx: RequestContext,
    mut tries: Tries,
    mut source: Source,
    event: Bytes,
    mut progress: Progress,
    tx: Parts,
) {
    let first_ms = cx.arrived.elapsed().as_millis();
    let mut next = Next::Event(event);
    let mut longest_gap = Duration::ZERO;
    let mut last_at = Instant::now();
    let outcome = loop {
        match next {
            Next::Event(event) => {
                let id = event_id(&event);
                let repeated = id.is_some() && id <= progress.last_event_id;
                if !repeated {
                    progress.events += 1;
                    progress.last_event_id = id.or(progress.last_event_id);
                    note_used(&mut cx, progress.events);
                    longest_gap = longest_gap.max(last_at.elapsed());
                    last_at = Instant::now();
                    if tx.send(Ok(event)).await.is_err() {
                        break "caller left";
                    }
                }
            }
            Next::End => {
                source.attempt.finish();
                break "whole";
            }
            Next::Broken(_) | Next::Silent => {
                let failed = match next {
                    Next::Broken(reason) => Failed::MayHaveRun(reason),
                    _ => Failed::Late,
                };
                let server = source.attempt.server.clone();
                source.attempt.broke();
                if !tries.failed(&cx, server, &failed) {
                    cut(&tx).await;
                    break "broken";
                }
                cx.shared.metrics.retried("stream-broke");
                let Some((other, event)) = resume(&mut cx, &mut tries, progress).await else {
                    cut(&tx).await;
                    break "broken";
                };
                source = other;
                next = event.map_or(Next::End, Next::Event);
                continue;
            }
        }
        let limit = gap_limit(&cx, &tries);
        next = tokio::select! {
            next = source.next(limit) => next,
            () = tx.closed() => break "caller left",
        };
    };
    log::info!(
        id = cx.id(),
        outcome,
        events = progress.events,
        tokens = cx.reservation.as_ref().map(ReservationGuard::used),
        first_ms,
        longest_gap_ms = longest_gap.as_millis(),
        ms = cx.arrived.elapsed().as_millis();
        "stream ended"
    );
}

async fn cut(tx: &Parts) {
    if tx.send(Err(Cut::Broken)).await.is_err() {
        log::debug!("a stream was cut after its caller had left");
    }
}

/// Goes on at another server after the last event that was passed on.
async fn resume(
    cx: &mut RequestContext,
    tries: &mut Tries,
    progress: Progress,
) -> Option<(Source, Option<Bytes>)> {
    let begun = begin(cx, tries, progress.last_event_id).await;
    note_used(cx, progress.events);
    match begun? {
        Begun::Stream(source, event) => {
            log::info!(id = cx.id(), server = source.attempt.server.as_str(), after = progress.last_event_id; "stream goes on at another server");
            Some((source, Some(event)))
        }
        Begun::Empty(source) => Some((source, None)),
        Begun::Failure(_) => None,
    }
}

fn gap_limit(cx: &RequestContext, tries: &Tries) -> Duration {
    let remaining = cx.time_remaining();
    let Some(route) = cx.route.as_ref() else {
        return remaining;
    };
    if !route.is_retry_safe() || tries.runs + 1 >= route.max_attempts {
        return remaining;
    }
    let gap_ms = if route.gap_target_ms == 0 {
        DEFAULT_GAP_MS
    } else {
        route.gap_target_ms
    };
    remaining.min(Duration::from_millis(gap_ms) * GAPS_BEFORE_RETRY)
}
