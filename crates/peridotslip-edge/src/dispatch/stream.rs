//! Responses that are streams of events, forwarded event by event.
//!
//! If a server's stream fails and the route permits a retry, the stream resumes
//! at another server after the last forwarded event. If the server is silent, it
//! resumes there only if the other server's next event comes first. The caller
//! gets a single response, with the head from the first server.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use http::Response;
use peridotslip::{
    events::{EventFramer, event_id},
    memory::MemoryShare,
};

use super::{
    AttemptError, RetryState, ServedBy, ServerResponse,
    attempts::{Answer, ReadAnswer, first_answer},
    collect::{collect, give_up},
    end_to_end_headers, update_usage,
};
use crate::{
    body::{Body, BodySender, StreamedResponses, full},
    budgets::ReservationGuard,
    context::{Rejection, RequestContext},
    reason::RejectionReason,
    silence::silence,
    stream_origins,
};

/// How long a server may be silent before its first event, as a multiple of the
/// route's first-byte target, before another attempt starts beside it.
const TARGETS_BEFORE_RETRY: f64 = 2.5;
/// How long a server may be silent between events, as a multiple of the route's
/// target gap, before the stream may resume at another server.
const GAPS_BEFORE_RETRY: u32 = 4;
/// Bytes that a stream may buffer beside the memory that all responses share:
/// enough for usual events.
const PRIVATE_BYTES: usize = 8 * 1024;
/// Events of one server after which a prompt counts as answered by a server that it
/// does not crash, if [`ACQUIT_AFTER`] has passed as well.
const EVENTS_TO_ACQUIT: u64 = 4;
/// Time from the first event after which a prompt counts as answered. A server that
/// crashes at the beginning of an answer may have sent some events.
const ACQUIT_AFTER: Duration = Duration::from_millis(250);
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
    /// Shared memory of the framer's bytes beyond [`PRIVATE_BYTES`].
    share: MemoryShare,
    streamed: Arc<StreamedResponses>,
    /// Number of events that have been read.
    events: u64,
    first_event_at: Option<Instant>,
    /// Whether the server counts as having answered the prompt.
    answered: bool,
}

/// An event and the shared memory that it holds until it has been sent.
struct HeldEvent {
    event: Bytes,
    _share: MemoryShare,
}

impl AsRef<[u8]> for HeldEvent {
    fn as_ref(&self) -> &[u8] {
        &self.event
    }
}

impl ServerStream {
    fn new(cx: &RequestContext, response: ServerResponse) -> Self {
        Self {
            response,
            framer: EventFramer::default(),
            share: cx.shared.response_memory.share(),
            streamed: cx.shared.streamed.clone(),
            events: 0,
            first_event_at: None,
            answered: false,
        }
    }

    /// Returns whether the server still has the version for which it was selected. A
    /// server may start again under its ID with another one.
    fn is_version_confirmed(&self, cx: &RequestContext) -> bool {
        let placement = cx.shared.placement();
        let server = placement.server(&self.response.server);
        let confirmed = server.is_none_or(|server| server.version == self.response.version);
        if !confirmed {
            log::warn!(id = cx.id(), server = self.response.server.as_str(), version = self.response.version.as_str(); "server has started again with another version; giving its stream up");
        }
        confirmed
    }

    /// Adds bytes to the framer. Returns why the stream fails if they exceed a
    /// limit.
    fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        if self.framer.push(bytes).is_err() {
            return Err("an event is too long".to_owned());
        }
        let buffered = self.framer.buffered_bytes();
        let needed = buffered.saturating_sub(PRIVATE_BYTES);
        while self.share.resize(needed).is_err() {
            if !self.streamed.free_memory() {
                return Err(format!(
                    "the router has no memory for {buffered} bytes of events"
                ));
            }
        }
        Ok(())
    }

    /// Takes the next event from the framer, with the shared memory that the
    /// rest does not need.
    fn next_buffered(&mut self) -> Option<Bytes> {
        let event = self.framer.next_event()?;
        let rest = self.framer.buffered_bytes().saturating_sub(PRIVATE_BYTES);
        let share = self.share.split(self.share.held() - rest);
        if share.held() == 0 {
            return Some(event);
        }
        let held = HeldEvent {
            event,
            _share: share,
        };
        Some(Bytes::from_owner(held))
    }

    /// Counts an event. Once the server has gone on for a while, its answer acquits
    /// the prompt.
    fn record_event(&mut self) {
        self.events += 1;
        let first_at = *self.first_event_at.get_or_insert_with(Instant::now);
        let goes_on = self.events >= EVENTS_TO_ACQUIT && first_at.elapsed() >= ACQUIT_AFTER;
        if goes_on && !self.answered {
            self.answered = true;
            self.response.record_answer();
        }
    }

    /// Returns the item for a stream that the server has broken off.
    fn broken_off(&self, reason: &str) -> StreamItem {
        self.response.record_unframed_end(reason);
        StreamItem::Broken(reason.to_owned())
    }

    /// Reads the next item, for up to `limit`.
    async fn next(&mut self, limit: Duration) -> StreamItem {
        let until = tokio::time::Instant::now() + limit;
        loop {
            if let Some(event) = self.next_buffered() {
                self.record_event();
                return StreamItem::Event(event);
            }
            let chunk = tokio::time::timeout_at(until, self.response.chunk()).await;
            match chunk {
                Err(_) => {
                    self.response.record_timeout();
                    return StreamItem::TimedOut;
                }
                Ok(None) if self.framer.is_partial() => {
                    return self.broken_off("ended within an event");
                }
                Ok(None) if self.events == 0 && !self.response.framed => {
                    return self.broken_off("ended before the first event");
                }
                Ok(None) => return StreamItem::End,
                Ok(Some(Err(reason))) => return StreamItem::Broken(reason),
                Ok(Some(Ok(chunk))) => {
                    if let Err(reason) = self.push(&chunk) {
                        return StreamItem::Broken(reason);
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
    let started = first_answer(&cx, &mut retry, &ReadStreamStart, last_event_id).await;
    match started {
        None => Err(retry.rejection(&cx)),
        Some(StreamStart::Failure(response)) => Ok(response.map(full)),
        Some(StreamStart::Empty(stream)) => {
            let response = head(&stream.response).map(|()| full(Bytes::new()));
            stream.response.complete();
            Ok(response)
        }
        Some(StreamStart::Stream(stream, event)) => {
            let (tx, body) = cx.shared.streamed.channel();
            let response = head(&stream.response).map(|()| body);
            if resumable {
                let version = stream.response.version.clone();
                let confirmed = stream.is_version_confirmed(&cx)
                    && (retry.resumes || stream_origins::record_begin(&cx, &version).await);
                if !confirmed {
                    let reason = "the version that begins the stream is not certain";
                    let error = AttemptError::MayHaveRun(reason.to_owned());
                    retry.record_failure(&cx, &stream.response.server, &error);
                    return Err(retry.rejection(&cx));
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
        retry.versions = stream_origins::permitted_versions(cx);
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

/// Reads responses up to the first event. Error responses are read completely.
struct ReadStreamStart;

#[async_trait]
impl ReadAnswer for ReadStreamStart {
    type Output = StreamStart;

    async fn read(
        &self,
        cx: &RequestContext,
        response: ServerResponse,
    ) -> Result<Answer<StreamStart>, AttemptError> {
        if !response.status.is_success() {
            let response = read_error_response(cx, response).await?;
            return Ok(Answer::Provisional(StreamStart::Failure(response)));
        }
        let mut stream = ServerStream::new(cx, response);
        let error = match stream.next(cx.time_remaining()).await {
            StreamItem::Event(event) => {
                stream.response.record_first_byte(cx);
                return Ok(Answer::Final(StreamStart::Stream(stream, event)));
            }
            StreamItem::End => return Ok(Answer::Final(StreamStart::Empty(stream))),
            StreamItem::Broken(reason) => AttemptError::MayHaveRun(reason),
            StreamItem::TimedOut => AttemptError::Late,
        };
        stream.response.abort();
        Err(error)
    }

    fn silence_limit(&self, cx: &RequestContext) -> Option<Duration> {
        let route = cx.route.as_ref()?;
        let target_ms = route.first_byte_target_ms;
        (route.is_retry_safe() && target_ms > 0)
            .then(|| Duration::from_millis(target_ms).mul_f64(TARGETS_BEFORE_RETRY))
    }

    fn retry_label(&self) -> &'static str {
        "stream-not-begun"
    }
}

/// Reads the complete body of an error response.
async fn read_error_response(
    cx: &RequestContext,
    mut from_server: ServerResponse,
) -> Result<Response<Bytes>, AttemptError> {
    let body = collect(cx, &mut from_server);
    let error = match tokio::time::timeout(cx.time_remaining(), body).await {
        Ok(Ok(body)) => {
            let response = head(&from_server).map(|()| body);
            if from_server.framed {
                from_server.record_error_answer();
            }
            from_server.complete();
            return Ok(response);
        }
        Ok(Err(err)) => return Err(give_up(from_server, &err)),
        Err(_) => AttemptError::Late,
    };
    from_server.record_timeout();
    from_server.abort();
    Err(error)
}

/// Records the output tokens of `events` forwarded events.
fn record_output(cx: &RequestContext, events: u64) {
    let service = cx.index.service(&cx.service);
    let per_event = service
        .and_then(|service| service.engine)
        .map_or(1, |engine| engine.tokens_per_event);
    let output = (events * per_event).min(cx.metadata.max_output_tokens.unwrap_or(0));
    update_usage(cx, |usage| usage.raise_output(output));
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
                    record_output(&cx, progress.events);
                    longest_gap = longest_gap.max(last_event_at.elapsed());
                    last_event_at = Instant::now();
                    if let Err(closed) = tx.send(event).await {
                        break closed.as_str();
                    }
                }
            }
            StreamItem::End => {
                if stream.response.framed {
                    stream.response.record_answer();
                }
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
                retry.record_failure(&cx, &server, &error);
                if !retry.permits_another(&cx) {
                    tx.abort();
                    break "broken";
                }
                cx.shared.metrics.record_retry("stream-broke");
                let resumed = tokio::select! {
                    resumed = resume(&cx, &mut retry, progress) => resumed,
                    closed = tx.closed() => break closed.as_str(),
                };
                let Some((resumed, item)) = resumed else {
                    tx.abort();
                    break "broken";
                };
                stream = resumed;
                next = item;
                continue;
            }
        }
        next = tokio::select! {
            next = next_item(&cx, &mut retry, &mut stream, progress) => next,
            closed = tx.closed() => break closed.as_str(),
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

/// Waits for the next item of a stream. While the server is silent, the stream
/// resumes at another one if that one's next item comes first.
async fn next_item(
    cx: &RequestContext,
    retry: &mut RetryState,
    stream: &mut ServerStream,
    progress: StreamProgress,
) -> StreamItem {
    loop {
        tokio::select! {
            biased;
            item = stream.next(cx.time_remaining()) => return item,
            () = silence(gap_limit(cx)) => {}
        }
        retry.record_silence(cx, stream.response.handle());
        if !retry.permits_another(cx) {
            continue;
        }
        cx.shared.metrics.record_retry("stream-silent");
        let resumption = resume(cx, retry, progress);
        tokio::pin!(resumption);
        let resumed = tokio::select! {
            biased;
            item = stream.next(cx.time_remaining()) => match item {
                StreamItem::Event(_) | StreamItem::End => return item,
                StreamItem::Broken(_) | StreamItem::TimedOut => match resumption.await {
                    None => return item,
                    resumed => resumed,
                },
            },
            resumed = &mut resumption => resumed,
        };
        if let Some((resumed, item)) = resumed {
            *stream = resumed;
            return item;
        }
    }
}

/// Resumes the stream at another server after the last forwarded event. Returns
/// the stream and its first item.
async fn resume(
    cx: &RequestContext,
    retry: &mut RetryState,
    progress: StreamProgress,
) -> Option<(ServerStream, StreamItem)> {
    match first_answer(cx, retry, &ReadStreamStart, progress.last_event_id).await? {
        StreamStart::Stream(stream, _) if !stream.is_version_confirmed(cx) => None,
        StreamStart::Stream(stream, event) => {
            log::info!(id = cx.id(), server = stream.response.server.as_str(), version = stream.response.version.as_str(), after = progress.last_event_id; "stream resumed at another server");
            Some((stream, StreamItem::Event(event)))
        }
        StreamStart::Empty(stream) => Some((stream, StreamItem::End)),
        StreamStart::Failure(_) => None,
    }
}

/// Returns how long a server may be silent between events before the stream may
/// resume at another server; `None` if it must not.
fn gap_limit(cx: &RequestContext) -> Option<Duration> {
    let route = cx.route.as_ref().filter(|route| route.is_retry_safe())?;
    let gap_ms = match route.gap_target_ms {
        0 => DEFAULT_GAP_MS,
        gap_ms => gap_ms,
    };
    Some(Duration::from_millis(gap_ms) * GAPS_BEFORE_RETRY)
}
