//! Responses that are streams of events, forwarded event by event.
//!
//! If a server's stream fails and the route permits a retry, the stream resumes
//! at another server after the last forwarded event. The caller gets a single
//! response, with the head from the first server.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use peridotslip::events::{EventFramer, event_id};

use super::{AttemptError, RetryState, ServedBy, ServerResponse, end_to_end_headers};
use crate::{
    body::{Body, BodyError, BodySender, channel, full},
    budgets::ReservationGuard,
    context::{Rejection, RequestContext},
    reason::RejectionReason,
    stream_origins,
};

/// Longest body of an error response, in bytes.
const MAX_ERROR_BYTES: usize = 1024 * 1024;
/// Time limit for the first event as a multiple of the route's first-byte
/// target, if another attempt may follow.
const TARGETS_BEFORE_RETRY: f64 = 2.5;
/// Time limit for the next event as a multiple of the route's target gap
/// between events, if another attempt may follow.
const GAPS_BEFORE_RETRY: u32 = 4;
/// Target gap between events if the route sets none, in milliseconds.
const DEFAULT_GAP_MS: u64 = 500;

/// The next item of a server's stream.
enum StreamItem {
    Event(Bytes),
    End,
    Broken(String),
    TimedOut,
}

/// A stream of events from one server.
struct ServerStream {
    response: ServerResponse,
    framer: EventFramer,
}

impl ServerStream {
    /// Reads the next item, for up to `limit`.
    async fn next(&mut self, limit: Duration) -> StreamItem {
        let until = tokio::time::Instant::now() + limit;
        loop {
            if let Some(event) = self.framer.next_event() {
                return StreamItem::Event(event);
            }
            let frame = tokio::time::timeout_at(until, self.response.body.frame()).await;
            match frame {
                Err(_) => return StreamItem::TimedOut,
                Ok(None) if self.framer.is_partial() => {
                    return StreamItem::Broken("ended within an event".to_owned());
                }
                Ok(None) => return StreamItem::End,
                Ok(Some(Err(err))) => return StreamItem::Broken(err.to_string()),
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    if self.framer.push(&data).is_err() {
                        return StreamItem::Broken("an event is too long".to_owned());
                    }
                }
            }
        }
    }
}

/// How far the stream has been forwarded to the caller.
#[derive(Clone, Copy, Debug, Default)]
struct StreamProgress {
    /// ID of the last forwarded event, or of the last event that the caller had
    /// received before this request.
    last_event_id: Option<u64>,
    /// Number of events forwarded in this response.
    events: u64,
}

/// How a stream started.
enum StreamStart {
    /// A stream and its first event.
    Stream(ServerStream, Bytes),
    /// A stream that ended without events.
    Empty(ServerStream),
    /// An error response with its complete body.
    Failure(Response<Bytes>),
}

/// Sends a request until a server has started to stream, and forwards the
/// stream.
pub(super) async fn run(mut cx: RequestContext) -> Result<Response<Body>, Rejection> {
    let mut retry = RetryState::default();
    let last_event_id = cx.metadata.last_event_id;
    let resumable = cx.route.as_ref().is_some_and(|route| route.resumable);
    if resumable {
        permit_versions(&mut cx, &mut retry).await?;
    }
    let started = start(&cx, &mut retry, last_event_id).await;
    match started {
        None => Err(retry.rejection(&cx)),
        Some(StreamStart::Failure(response)) => Ok(response.map(full)),
        Some(StreamStart::Empty(stream)) => {
            let response = head(&stream.response).map(|()| full(Bytes::new()));
            stream.response.complete();
            Ok(response)
        }
        Some(StreamStart::Stream(stream, event)) => {
            let (tx, body) = channel();
            let response = head(&stream.response).map(|()| body);
            if resumable {
                let version = stream.response.version.clone();
                if !retry.resumes {
                    stream_origins::record_begin(&cx, &version).await;
                }
                retry.resumes = true;
                retry.versions = Some(vec![version]);
            }
            let progress = StreamProgress {
                last_event_id,
                events: 0,
            };
            tokio::spawn(relay_stream(cx, retry, stream, event, progress, tx));
            Ok(response)
        }
    }
}

/// Sets the versions that may serve a resumable stream: that of the server that
/// began it, or for a new stream all registered ones.
async fn permit_versions(cx: &mut RequestContext, retry: &mut RetryState) -> Result<(), Rejection> {
    if cx.metadata.last_event_id.is_none() {
        retry.versions = Some(cx.shared.origins.versions(&cx.service));
        return Ok(());
    }
    let Some(origin) = stream_origins::find_origin(cx).await else {
        let after_ms = cx.shared.settings().timing.retry_after_ms;
        return Err(Rejection::after(RejectionReason::OriginUnknown, after_ms));
    };
    let mut services = cx.route.iter().flat_map(|route| &route.weighted_services);
    if !services.any(|(service, _)| *service == origin.service) {
        return Err(Rejection::new(RejectionReason::VersionGone));
    }
    cx.service = origin.service;
    retry.versions = Some(vec![origin.version]);
    retry.resumes = true;
    Ok(())
}

/// Returns the head of the response to the caller.
fn head(from_server: &ServerResponse) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = from_server.status;
    *response.headers_mut() = end_to_end_headers(&from_server.headers);
    let served_by = ServedBy(from_server.server.clone());
    response.extensions_mut().insert(served_by);
    response
}

/// Sends the request to one server after another until one has sent its first
/// event.
async fn start(
    cx: &RequestContext,
    retry: &mut RetryState,
    last_event_id: Option<u64>,
) -> Option<StreamStart> {
    while !cx.time_remaining().is_zero() && retry.may_send(cx) {
        let limit = first_event_limit(cx, retry);
        let failure = match ServerResponse::send(cx, retry, last_event_id, limit).await? {
            Ok(response) => {
                record_usage(cx, 0);
                match read_first_event(cx, response, limit).await {
                    Ok(started) => return Some(started),
                    Err(failure) => failure,
                }
            }
            Err(failure) => failure,
        };
        let (server, error) = failure;
        if !matches!(error, AttemptError::NotRun(_)) {
            record_usage(cx, 0);
        }
        if !retry.record_failure(cx, server, &error) {
            return None;
        }
        cx.shared.metrics.record_retry("stream-not-begun");
    }
    None
}

/// Reads the first event of a successful response, or the complete body of an
/// error response.
async fn read_first_event(
    cx: &RequestContext,
    response: ServerResponse,
    limit: Duration,
) -> Result<StreamStart, (String, AttemptError)> {
    let server = response.server.clone();
    if !response.status.is_success() {
        return read_error_response(response, limit).await;
    }
    let mut stream = ServerStream {
        response,
        framer: EventFramer::default(),
    };
    let error = match stream.next(limit).await {
        StreamItem::Event(event) => {
            stream.response.record_first_byte(cx);
            return Ok(StreamStart::Stream(stream, event));
        }
        StreamItem::End => return Ok(StreamStart::Empty(stream)),
        StreamItem::Broken(reason) => AttemptError::MayHaveRun(reason),
        StreamItem::TimedOut => AttemptError::Late,
    };
    stream.response.abort();
    Err((server, error))
}

/// Reads the complete body of an error response.
async fn read_error_response(
    mut from_server: ServerResponse,
    limit: Duration,
) -> Result<StreamStart, (String, AttemptError)> {
    let server = from_server.server.clone();
    let body = Limited::new(&mut from_server.body, MAX_ERROR_BYTES).collect();
    let error = match tokio::time::timeout(limit, body).await {
        Ok(Ok(body)) => {
            let response = head(&from_server).map(|()| body.to_bytes());
            from_server.complete();
            return Ok(StreamStart::Failure(response));
        }
        Ok(Err(err)) => AttemptError::MayHaveRun(err.to_string()),
        Err(_) => AttemptError::Late,
    };
    from_server.abort();
    Err((server, error))
}

/// Returns the time limit for the next attempt's first event: the remaining
/// time, or less if another attempt may follow.
fn first_event_limit(cx: &RequestContext, retry: &RetryState) -> Duration {
    let remaining = cx.time_remaining();
    let Some(route) = cx.route.as_ref() else {
        return remaining;
    };
    let last = !route.is_retry_safe() || retry.possible_executions + 1 >= route.max_attempts;
    if last || route.first_byte_target_ms == 0 {
        return remaining;
    }
    remaining.min(Duration::from_millis(route.first_byte_target_ms).mul_f64(TARGETS_BEFORE_RETRY))
}

/// Records the tokens that the request has used: those of its prompt and of
/// `events` events.
fn record_usage(cx: &RequestContext, events: u64) {
    let service = cx.index.service(&cx.service);
    let per_event = service
        .and_then(|service| service.engine)
        .map_or(1, |engine| engine.tokens_per_event);
    let output = (events * per_event).min(cx.metadata.max_output_tokens.unwrap_or(0));
    let used = cx.metadata.prompt.prompt_tokens + output;
    if let Some(reservation) = &cx.reservation {
        reservation.raise_used(used);
    }
}

/// Forwards a stream until it ends, fails without another server to resume it,
/// or the caller disconnects.
async fn relay_stream(
    cx: RequestContext,
    mut retry: RetryState,
    mut stream: ServerStream,
    event: Bytes,
    mut progress: StreamProgress,
    tx: BodySender,
) {
    let first_ms = cx.arrived.elapsed().as_millis();
    let version = stream.response.version.clone();
    let mut next = StreamItem::Event(event);
    let mut longest_gap = Duration::ZERO;
    let mut last_event_at = Instant::now();
    let outcome = loop {
        match next {
            StreamItem::Event(event) => {
                let id = event_id(&event);
                // A resumed stream may repeat events that were forwarded already.
                let repeated = id.is_some() && id <= progress.last_event_id;
                if !repeated {
                    progress.events += 1;
                    progress.last_event_id = id.or(progress.last_event_id);
                    record_usage(&cx, progress.events);
                    longest_gap = longest_gap.max(last_event_at.elapsed());
                    last_event_at = Instant::now();
                    if tx.send(Ok(event)).await.is_err() {
                        break "caller left";
                    }
                }
            }
            StreamItem::End => {
                stream.response.complete();
                break "whole";
            }
            StreamItem::Broken(_) | StreamItem::TimedOut => {
                let error = match next {
                    StreamItem::Broken(reason) => AttemptError::MayHaveRun(reason),
                    _ => AttemptError::Late,
                };
                let server = stream.response.server.clone();
                stream.response.abort();
                if !retry.record_failure(&cx, server, &error) {
                    abort_body(&tx).await;
                    break "broken";
                }
                cx.shared.metrics.record_retry("stream-broke");
                let resumed = tokio::select! {
                    resumed = resume(&cx, &mut retry, progress) => resumed,
                    () = tx.closed() => break "caller left",
                };
                let Some((resumed, event)) = resumed else {
                    abort_body(&tx).await;
                    break "broken";
                };
                stream = resumed;
                next = event.map_or(StreamItem::End, StreamItem::Event);
                continue;
            }
        }
        let limit = gap_limit(&cx, &retry);
        next = tokio::select! {
            next = stream.next(limit) => next,
            () = tx.closed() => break "caller left",
        };
    };
    log::info!(
        id = cx.id(),
        outcome,
        version = version.as_str(),
        events = progress.events,
        tokens = cx.reservation.as_ref().map(ReservationGuard::used),
        first_ms,
        longest_gap_ms = longest_gap.as_millis(),
        ms = cx.arrived.elapsed().as_millis();
        "stream ended"
    );
}

/// Ends the response body with an error.
async fn abort_body(tx: &BodySender) {
    if tx.send(Err(BodyError::Truncated)).await.is_err() {
        log::debug!("a stream failed after its caller had disconnected");
    }
}

/// Resumes the stream at another server after the last forwarded event.
async fn resume(
    cx: &RequestContext,
    retry: &mut RetryState,
    progress: StreamProgress,
) -> Option<(ServerStream, Option<Bytes>)> {
    match start(cx, retry, progress.last_event_id).await? {
        StreamStart::Stream(stream, event) => {
            log::info!(id = cx.id(), server = stream.response.server.as_str(), version = stream.response.version.as_str(), after = progress.last_event_id; "stream resumed at another server");
            Some((stream, Some(event)))
        }
        StreamStart::Empty(stream) => Some((stream, None)),
        StreamStart::Failure(_) => None,
    }
}

/// Returns the time limit for the next event: the remaining time, or less if
/// another attempt may follow.
fn gap_limit(cx: &RequestContext, retry: &RetryState) -> Duration {
    let remaining = cx.time_remaining();
    let Some(route) = cx.route.as_ref() else {
        return remaining;
    };
    if !route.is_retry_safe() || retry.possible_executions + 1 >= route.max_attempts {
        return remaining;
    }
    let gap_ms = if route.gap_target_ms == 0 {
        DEFAULT_GAP_MS
    } else {
        route.gap_target_ms
    };
    remaining.min(Duration::from_millis(gap_ms) * GAPS_BEFORE_RETRY)
}
