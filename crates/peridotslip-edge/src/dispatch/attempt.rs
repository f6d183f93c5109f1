//! One attempt: sends a request to one server and checks the head of the
//! response.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use peridotslip::{
    forwarding::{
        AttemptOutcome, MemoryDemand, RequestPart, SelectedServer, Selection, ServerEntry,
        ServerId, ServerStart, ServerVersion,
    },
    ledger::RequestUsage,
};
use tokio::sync::Notify;

use super::{
    AttemptError, UNREACHABLE,
    rest::record_rest,
    retry::{RetryState, SendReservation},
    update_usage,
};
use crate::{
    connection_room::ServerConnections,
    context::{RequestContext, SharedState},
    link_gate::LinkTicket,
    ports::{ResponseMetadata, UpstreamRequestMetadata},
    request_body::{RequestContent, SendProgress},
    server_limits::{self, Permit},
    upstream::{AcquireError, ConnectionError, PooledConnection, SendResult},
    warmup::{self, WarmupPermit},
};

/// The server's limit admits no request now.
const NO_PERMIT: AttemptError = AttemptError::NotRun("no-permit");
/// The server is cold and takes no request now.
pub(super) const NO_WARMUP_PERMIT: AttemptError = AttemptError::NotRun("no-warmup-permit");
/// Shortest remaining time for which a request is still sent, in milliseconds.
const MIN_USEFUL_MS: u128 = 5;

/// Refers to an attempt while it runs.
#[derive(Clone)]
pub(super) struct AttemptHandle {
    pub(super) server: ServerId,
    /// Whether a silence of the server has been counted as a failure.
    silent: Arc<AtomicBool>,
    sent: Arc<SentSignal>,
}

/// Tells when an attempt has been sent.
#[derive(Default)]
struct SentSignal {
    at: OnceLock<Instant>,
    notify: Notify,
}

impl AttemptHandle {
    fn new(server: ServerId) -> Self {
        Self {
            server,
            silent: Arc::default(),
            sent: Arc::default(),
        }
    }

    fn set_sent(&self, at: Instant) {
        // An attempt is sent once.
        self.sent.at.get_or_init(|| at);
        self.sent.notify.notify_one();
    }

    /// Returns when the request was about to be written; `None` before.
    pub(super) fn sent_at(&self) -> Option<Instant> {
        self.sent.at.get().copied()
    }

    /// Waits until the request is about to be written. Only one task may wait.
    pub(super) async fn wait_sent(&self) {
        while self.sent.at.get().is_none() {
            self.sent.notify.notified().await;
        }
    }

    /// Counts a silence as a failure of the server, at most once an attempt and not
    /// while this router is slow itself.
    pub(super) fn record_silence(&self, shared: &SharedState) {
        if shared.health.is_slow() {
            return;
        }
        let counted = self.silent.swap(true, Ordering::Relaxed);
        let now_ms = shared.clock.now_ms();
        if !counted && shared.placement().record_silence(&self.server, now_ms) {
            log::warn!(server = self.server.as_str(); "repeated failures; avoiding the server");
        }
    }
}

/// Counts the request as in flight at a server until the attempt ends.
struct InFlightGuard {
    shared: Arc<SharedState>,
    attempt: AttemptHandle,
    ended: bool,
    request_id: String,
    start: ServerStart,
    /// What the request needs of the engine's memory, if that is bounded.
    demand: Option<MemoryDemand>,
    /// What other requests may have in common with this one.
    parts: Vec<RequestPart>,
}

impl InFlightGuard {
    fn end(&mut self, outcome: AttemptOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        let AttemptHandle { server, silent, .. } = &self.attempt;
        let outcome = match outcome {
            // The silence has been counted already.
            AttemptOutcome::Failed if silent.load(Ordering::Relaxed) => AttemptOutcome::Neutral,
            outcome => outcome,
        };
        let now_ms = self.shared.clock.now_ms();
        let mut placement = self.shared.placement();
        if let Some(demand) = &self.demand {
            placement.release_memory(server, demand);
        }
        let ejected = placement.finish(server, outcome, now_ms);
        drop(placement);
        if ejected {
            log::warn!(server = server.as_str(); "repeated failures; avoiding the server");
        }
    }

    /// Ends the attempt as failed. `timed_out`: whether because a time limit has
    /// expired, which is no failure of the server while this router is slow itself.
    fn end_failed(&mut self, timed_out: bool) {
        self.end(if timed_out && self.shared.health.is_slow() {
            AttemptOutcome::Neutral
        } else {
            AttemptOutcome::Failed
        });
    }

    /// Records that the connection has failed. If the server has closed it, the
    /// request may have crashed the server, unless the server or this router is stopping.
    fn record_lost_connection(&self, err: &ConnectionError) {
        if !err.closed_by_server {
            return;
        }
        let now_ms = self.shared.clock.now_ms();
        let leaving = !self.shared.placement().is_start_ready(&self.start, now_ms);
        if !leaving && !self.shared.is_stopping() {
            self.shared.crashes.record_end(&self.start, &self.parts);
        }
        let hashes = |whole: bool| {
            let parts = self.parts.iter().filter(|part| part.is_whole() == whole);
            let hashes = parts.map(|part| format!("{:x}", part.id));
            hashes.collect::<Vec<_>>().join(",")
        };
        let (segments, request) = (hashes(false), hashes(true));
        let id = self.request_id.as_str();
        let server = self.start.server.as_str();
        log::info!(id, server, segments = segments.as_str(), request = request.as_str(); "server closed the connection during a request");
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Neutral);
    }
}

/// A server's response whose head has been received.
pub(super) struct ServerResponse {
    in_flight: InFlightGuard,
    connection: PooledConnection,
    sent_at: Instant,
    /// The prompt tokens that the server probably had to process.
    uncached_tokens: u64,
    /// How long the connection may stay idle, in seconds.
    keep_alive_s: Option<u64>,
    /// Whether the server closes the connection after the response.
    closing: bool,
    pub(super) server: ServerId,
    /// The version of the server's software.
    pub(super) version: ServerVersion,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    body: Incoming,
    /// Whether the body has a length or is chunked. Otherwise the end of the
    /// connection ends the body.
    pub(super) framed: bool,
    /// How far the request has been sent.
    progress: SendProgress,
    /// Whether a time limit has expired while the body was read.
    timed_out: bool,
    link_ticket: Option<Arc<LinkTicket>>,
}

/// Instructions to the server for one attempt.
struct SendOptions<'a> {
    /// The event after which the stream resumes.
    last_event_id: Option<u64>,
    /// Address of an engine from which the KV cache of the prompt's prefix can
    /// be copied.
    kv_source: Option<&'a str>,
}

/// A request that has been sent, and the head of the response.
struct Exchanged {
    connection: PooledConnection,
    response: http::Response<Incoming>,
    metadata: ResponseMetadata,
    sent_at: Instant,
    progress: SendProgress,
}

/// A server that has been selected for an attempt. The request counts as in
/// flight there.
pub(super) struct SelectedAttempt {
    in_flight: InFlightGuard,
    selected: SelectedServer,
}

impl SelectedAttempt {
    /// Selects a server. Returns `None` if none is left.
    pub(super) fn select(cx: &RequestContext, retry: &mut RetryState) -> Option<Self> {
        let now_ms = cx.shared.clock.now_ms();
        let connections = ServerConnections::new(&cx.shared, &cx.index, &cx.service);
        let selection = selection(cx, retry, &connections);
        let demand = memory_demand(cx);
        let mut placement = cx.shared.placement();
        let selected = placement.choose_within_memory(&selection, demand.as_ref(), now_ms);
        let lacked_room = selected.is_none()
            && (placement.lacks_connection(&selection, now_ms)
                || demand
                    .is_some_and(|demand| placement.is_memory_full(&selection, &demand, now_ms)));
        drop(placement);
        retry.lacked_room = lacked_room;
        retry.selected_ms = Some(now_ms);
        Some(Self::new(cx, selected?, demand))
    }

    /// Selects a server with room for an optional attempt. Returns `None` if none has.
    pub(super) fn select_spare(cx: &RequestContext, retry: &RetryState) -> Option<Self> {
        let now_ms = cx.shared.clock.now_ms();
        let connections = ServerConnections::new(&cx.shared, &cx.index, &cx.service);
        let selection = selection(cx, retry, &connections);
        let demand = memory_demand(cx);
        let mut placement = cx.shared.placement();
        let selected = placement.choose_spare(&selection, demand.as_ref(), now_ms);
        drop(placement);
        Some(Self::new(cx, selected?, demand))
    }

    /// Returns whether a server has room for an optional attempt.
    pub(super) fn has_spare(cx: &RequestContext, retry: &RetryState) -> bool {
        let now_ms = cx.shared.clock.now_ms();
        let connections = ServerConnections::new(&cx.shared, &cx.index, &cx.service);
        let selection = selection(cx, retry, &connections);
        let demand = memory_demand(cx);
        cx.shared
            .placement()
            .has_spare(&selection, demand.as_ref(), now_ms)
    }

    fn new(cx: &RequestContext, selected: SelectedServer, demand: Option<MemoryDemand>) -> Self {
        let in_flight = InFlightGuard {
            shared: cx.shared.clone(),
            attempt: AttemptHandle::new(selected.server.id.clone()),
            ended: false,
            request_id: cx.id().to_owned(),
            start: ServerStart::from(&selected.server),
            demand,
            parts: cx.parts.clone(),
        };
        Self {
            in_flight,
            selected,
        }
    }

    /// Returns a handle of the attempt.
    pub(super) fn handle(&self) -> AttemptHandle {
        self.in_flight.attempt.clone()
    }

    /// Sends the request and waits for the head of the response.
    pub(super) async fn send(
        self,
        cx: &RequestContext,
        last_event_id: Option<u64>,
        mut reservation: SendReservation,
    ) -> Result<ServerResponse, AttemptError> {
        let Self {
            mut in_flight,
            selected,
        } = self;
        let server = selected.server;
        let options = SendOptions {
            last_event_id,
            kv_source: selected.kv_source.as_deref(),
        };
        let exchanged =
            ServerResponse::exchange(cx, &server, &options, &mut reservation, &mut in_flight)
                .await?;
        let Exchanged {
            connection,
            response,
            metadata,
            sent_at,
            progress,
        } = exchanged;
        let (parts, body) = response.into_parts();
        let framed = body.size_hint().exact().is_some()
            || parts.headers.contains_key(header::TRANSFER_ENCODING);
        Ok(ServerResponse {
            in_flight,
            connection,
            sent_at,
            uncached_tokens: selected.uncached_tokens,
            keep_alive_s: metadata.keep_alive_s,
            closing: metadata.closing || metadata.leaving,
            server: server.id,
            version: server.version,
            status: parts.status,
            headers: parts.headers,
            body,
            framed,
            progress,
            timed_out: false,
            link_ticket: cx.link_ticket.clone(),
        })
    }
}

/// Returns what a request requires of the server of its next attempt.
fn selection<'a>(
    cx: &'a RequestContext,
    retry: &'a RetryState,
    connections: &'a ServerConnections<'a>,
) -> Selection<'a> {
    Selection {
        attempted: &retry.tried,
        connections: Some(connections),
        ..cx.selection(&cx.service, retry.versions.as_deref())
    }
}

/// Obtains a permit if the server is cold. A second attempt for a slow response gets
/// none.
async fn obtain_warmup_permit(
    cx: &RequestContext,
    server: &ServerEntry,
    reservation: &SendReservation,
) -> WarmupPermit {
    if !reservation.is_second() {
        return warmup::obtain_permit(cx, server).await;
    }
    match WarmupPermit::NotNeeded {
        permit if permit.is_usable(cx, server) => permit,
        _ => WarmupPermit::Denied,
    }
}

/// Obtains a permit if the server has a limit. A second attempt for a slow response
/// gets none.
async fn obtain_permit(
    cx: &RequestContext,
    server: &ServerEntry,
    reservation: &SendReservation,
) -> Permit {
    if !reservation.is_second() {
        return server_limits::obtain_permit(cx, server).await;
    }
    if cx.shared.placement().has_limit(server) {
        return Permit::Denied;
    }
    Permit::NotNeeded
}

impl ServerResponse {
    /// Sends the request on a connection to `server` and checks the head of the
    /// response. Ends `in_flight` with the outcome of a failed attempt.
    async fn exchange(
        cx: &RequestContext,
        server: &ServerEntry,
        options: &SendOptions<'_>,
        reservation: &mut SendReservation,
        in_flight: &mut InFlightGuard,
    ) -> Result<Exchanged, AttemptError> {
        let mut warmup_permit = obtain_warmup_permit(cx, server, reservation).await;
        if warmup_permit == WarmupPermit::Denied {
            in_flight.end(AttemptOutcome::Neutral);
            return Err(NO_WARMUP_PERMIT);
        }
        let mut permit = obtain_permit(cx, server, reservation).await;
        if permit == Permit::Denied {
            in_flight.end(AttemptOutcome::Neutral);
            return Err(NO_PERMIT);
        }
        let mut connection = acquire_connection(cx, server, in_flight).await?;
        if !warmup_permit.is_usable(cx, server) {
            warmup_permit = warmup::obtain_permit(cx, server).await;
        }
        // Opening a connection takes time, in which the server may have left, asked for
        // a rest or been evacuated.
        if let Err(error) = check_accepts(cx, server) {
            in_flight.end(AttemptOutcome::Neutral);
            return Err(error);
        }
        if permit == Permit::NotNeeded {
            permit = obtain_permit(cx, server, reservation).await;
        }
        if permit == Permit::Denied {
            connection.release(None);
            in_flight.end(AttemptOutcome::Neutral);
            return Err(NO_PERMIT);
        }
        if !warmup_permit.is_usable(cx, server) {
            warmup_permit.record_unused(cx);
            connection.release(None);
            in_flight.end(AttemptOutcome::Neutral);
            return Err(NO_WARMUP_PERMIT);
        }
        // Asking for a permit takes time as well.
        if let Err(error) = check_accepts(cx, server) {
            in_flight.end(AttemptOutcome::Neutral);
            return Err(error);
        }
        if cx.is_blocked() {
            in_flight.end(AttemptOutcome::Neutral);
            return Err(AttemptError::NotRun("blocked"));
        }
        let remaining = cx.time_remaining();
        if remaining.as_millis() < MIN_USEFUL_MS {
            return Err(AttemptError::NotRun("no-time-left"));
        }
        let (request, progress) = match build_request(cx, server, options, remaining) {
            Ok(built) => built,
            Err(err) => {
                log::error!(id = cx.id(); "can't build the request to a server; not sending it: {err}");
                return Err(AttemptError::NotRun("unsendable"));
            }
        };
        if !reservation.permits_write() {
            connection.release(None);
            in_flight.end(AttemptOutcome::Neutral);
            return Err(AttemptError::NotRun("second-attempt-limit"));
        }
        let sent_at = Instant::now();
        in_flight.attempt.set_sent(sent_at);
        let sent_ms = cx.shared.clock.now_ms();
        reservation.set_written();
        record_send(cx);
        let response = match tokio::time::timeout(remaining, connection.send(request)).await {
            Ok(SendResult::Response(response)) => response,
            Ok(SendResult::Unwritten) => {
                reservation.set_unwritten();
                update_usage(cx, RequestUsage::record_not_run);
                in_flight.end(AttemptOutcome::Neutral);
                return Err(AttemptError::NotRun("connection-closed"));
            }
            Ok(SendResult::ConnectionLost(err)) => {
                in_flight.record_lost_connection(&err);
                in_flight.end_failed(err.timed_out);
                return Err(AttemptError::MayHaveRun(err.reason));
            }
            Err(_) => {
                in_flight.end_failed(true);
                return Err(AttemptError::Late);
            }
        };
        let metadata = examine_head(cx, server, &response, sent_ms, in_flight)?;
        Ok(Exchanged {
            connection,
            response,
            metadata,
            sent_at,
            progress,
        })
    }

    /// Returns a handle of the attempt.
    pub(super) fn handle(&self) -> &AttemptHandle {
        &self.in_flight.attempt
    }

    /// Returns the length of the rest of the body, in bytes, if the server has
    /// declared it.
    pub(super) fn content_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the next chunk of the body. Returns `None` at the end. A connection that is
    /// closed ends a body without framing only after the whole request.
    pub(super) async fn chunk(&mut self) -> Option<Result<Bytes, String>> {
        let frame = match self.body.frame().await {
            None if self.framed || self.progress.is_complete() => return None,
            None => {
                let reason = "server closed the connection before the end of the request";
                self.record_unframed_end(reason);
                return Some(Err(reason.to_owned()));
            }
            Some(Ok(frame)) => frame,
            Some(Err(err)) => {
                let err = ConnectionError::from(&err);
                self.in_flight.record_lost_connection(&err);
                self.timed_out = err.timed_out;
                return Some(Err(err.reason));
            }
        };
        let chunk = frame.into_data().unwrap_or_default();
        let chunked = self.headers.contains_key(header::TRANSFER_ENCODING);
        self.connection.record_content(chunk.len(), chunked);
        if let Some(ticket) = &self.link_ticket {
            ticket.record_response(chunk.len());
        }
        Some(Ok(chunk))
    }

    /// Records that an incomplete body has ended with its connection, if it has
    /// no other end.
    pub(super) fn record_unframed_end(&self, reason: &str) {
        if !self.framed {
            self.in_flight.record_lost_connection(&ConnectionError {
                reason: reason.to_owned(),
                closed_by_server: true,
                timed_out: false,
            });
        }
    }

    /// Records that the server has answered the request.
    pub(super) fn record_answer(&self) {
        let shared = &self.in_flight.shared;
        shared.crashes.record_answer(&self.in_flight.parts);
    }

    /// Records that the server has run the request to an error of its own, which says
    /// nothing of the segments of its prompt.
    pub(super) fn record_error_answer(&self) {
        let parts = self.in_flight.parts.iter().filter(|part| part.is_whole());
        let parts: Vec<RequestPart> = parts.copied().collect();
        self.in_flight.shared.crashes.record_answer(&parts);
    }

    /// Records the time to the first byte of the body.
    pub(super) fn record_first_byte(&self, cx: &RequestContext) {
        let elapsed = self.sent_at.elapsed();
        cx.shared.metrics.record_first_byte(elapsed);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let now_ms = cx.shared.clock.now_ms();
        let mut placement = cx.shared.placement();
        placement.record_first_byte(&self.server, self.uncached_tokens, elapsed_ms);
        let learnt = placement.learnt_rate(&cx.service, now_ms);
        drop(placement);
        if let Some(rate) = learnt.filter(|_| self.uncached_tokens > 0) {
            let metrics = &cx.shared.metrics;
            metrics.record_engine_rate(&cx.service, rate.tokens_per_ms);
        }
    }

    /// Ends the attempt after the complete body has been read, and returns the
    /// connection to the pool if it can be reused.
    pub(super) fn complete(mut self) {
        self.in_flight.end(AttemptOutcome::Answered);
        if !self.closing && self.framed {
            self.connection.release(self.keep_alive_s);
        }
    }

    /// Records that the body has not been read in time.
    pub(super) fn record_timeout(&mut self) {
        self.timed_out = true;
    }

    /// Records the attempt as failed and closes the connection.
    pub(super) fn abort(mut self) {
        self.in_flight.end_failed(self.timed_out);
    }
}

/// Records that the request is about to be written.
fn record_send(cx: &RequestContext) {
    update_usage(cx, |usage| {
        usage.record_send(cx.metadata.prompt.prompt_tokens);
    });
    if let Some(ticket) = &cx.link_ticket {
        ticket.record_sent(cx.body.len());
    }
}

/// Returns the priority of a request; that of its organisation overrides its route's.
fn priority(cx: &RequestContext) -> Option<u8> {
    let route = cx.route.as_ref().map(|route| route.priority);
    let organisation = cx.organisation.as_ref();
    organisation
        .and_then(|organisation| organisation.priority)
        .or(route)
}

/// Returns what a model request needs of the memory of engines that crash if it is
/// exceeded.
fn memory_demand(cx: &RequestContext) -> Option<MemoryDemand> {
    if !cx.shared.platform.servers.crashes_when_full {
        return None;
    }
    let output = cx.metadata.max_output_tokens?;
    let engine = cx.index.service(&cx.service)?.engine?;
    let priority = priority(cx)?;
    let range = cx.index.priorities(&cx.service)?;
    let tokens = cx.metadata.prompt.prompt_tokens.saturating_add(output);
    (engine.kv_tokens > 0).then(|| MemoryDemand::new(tokens, engine.kv_tokens, priority, range))
}

/// Obtains a connection to a server. Ends `in_flight` with the outcome of a failure.
async fn acquire_connection(
    cx: &RequestContext,
    server: &ServerEntry,
    in_flight: &mut InFlightGuard,
) -> Result<PooledConnection, AttemptError> {
    let connections = ServerConnections::new(&cx.shared, &cx.index, &cx.service);
    let max_connections = connections.limit(server);
    match cx.shared.upstream.acquire(server, max_connections).await {
        Ok(connection) => Ok(connection),
        Err(AcquireError::Limit) => {
            in_flight.end(AttemptOutcome::Full);
            Err(AttemptError::NotRun("connection-limit"))
        }
        Err(AcquireError::Unreachable) => {
            in_flight.end(AttemptOutcome::Failed);
            Err(UNREACHABLE)
        }
        Err(AcquireError::TimedOut) => {
            in_flight.end_failed(true);
            Err(UNREACHABLE)
        }
    }
}

fn build_request(
    cx: &RequestContext,
    server: &ServerEntry,
    options: &SendOptions<'_>,
    remaining: Duration,
) -> Result<(Request<RequestContent>, SendProgress), http::Error> {
    let organisation = cx.organisation.as_ref();
    let metadata = UpstreamRequestMetadata {
        server: &server.id,
        deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        organisation: organisation.map(|organisation| organisation.name.as_str()),
        urgency: priority(cx).filter(|_| cx.metadata.max_output_tokens.is_some()),
        last_event_id: options.last_event_id,
        kv_source: kv_source(cx, options),
    };
    let path = cx.uri.path_and_query().map_or("/", |path| path.as_str());
    let (body, progress) = cx.body.to_send();
    let mut request = Request::builder()
        .method(cx.method.clone())
        .uri(path)
        .body(body)?;
    *request.headers_mut() = cx
        .shared
        .platform
        .dialect
        .upstream_headers(&cx.headers, &metadata);
    if !request.headers().contains_key(header::HOST) {
        let host = cx
            .uri
            .authority()
            .map_or("", |authority| authority.as_str());
        let host = HeaderValue::from_str(host)?;
        request.headers_mut().insert(header::HOST, host);
    }
    Ok((request, progress))
}

/// Checks that the selected start of a server still accepts requests and that its data
/// centre is not evacuated.
fn check_accepts(cx: &RequestContext, server: &ServerEntry) -> Result<(), AttemptError> {
    let now_ms = cx.shared.clock.now_ms();
    let placement = cx.shared.placement();
    if placement.is_resting(server, now_ms) {
        Err(AttemptError::NotRun("server-resting"))
    } else if placement.accepts_requests_at(server, now_ms) {
        Ok(())
    } else if placement.is_evacuated(server, now_ms) {
        Err(AttemptError::NotRun("data-centre-evacuated"))
    } else {
        Err(AttemptError::NotRun("server-left"))
    }
}

/// Returns the selected source of a copy, unless it has begun to leave or been evacuated
/// since.
fn kv_source<'a>(cx: &RequestContext, options: &SendOptions<'a>) -> Option<&'a str> {
    let now_ms = cx.shared.clock.now_ms();
    options
        .kv_source
        .filter(|address| cx.shared.placement().may_copy_from(address, now_ms))
}

/// Records that the server which sent a response is leaving. A response that
/// rejects the address may be from any server with that address.
fn record_leaving(cx: &RequestContext, server: &ServerEntry, metadata: &ResponseMetadata) {
    let marked = if metadata.wrong_server {
        cx.shared.placement().mark_draining_at(&server.address)
    } else {
        let mut placement = cx.shared.placement();
        let new = placement.mark_draining(&server.id, server.started_ms);
        Vec::from_iter(new.then(|| server.id.clone()))
    };
    for id in marked {
        cx.shared.upstream.close_idle(&id);
        log::info!(id = cx.id(), server = id.as_str(); "server is leaving; sending it no more requests");
    }
}

/// Why a response can't be taken for the answer to the request.
const UNTIED: &str = "response without the request's ID";

/// Statuses that promise a caller that its request has not run.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Decodes the head of a response, records what the server says of itself and checks the
/// response.
fn examine_head(
    cx: &RequestContext,
    server: &ServerEntry,
    response: &http::Response<Incoming>,
    sent_ms: u64,
    in_flight: &mut InFlightGuard,
) -> Result<ResponseMetadata, AttemptError> {
    let metadata = cx
        .shared
        .platform
        .dialect
        .decode_response(response.status(), response.headers());
    if metadata.leaving {
        record_leaving(cx, server, &metadata);
    }
    check_tied(cx, response, &metadata, in_flight)?;
    if !metadata.wrong_server {
        server_limits::record_notice(&cx.shared, server, metadata.limit, sent_ms);
    }
    let checked = check_response(cx, server, response, &metadata, in_flight);
    if matches!(checked, Err(AttemptError::NotRun(_))) {
        update_usage(cx, RequestUsage::record_not_run);
    }
    checked?;
    Ok(metadata)
}

/// Returns whether `bytes` contain the beginning of a status line, such as `HTTP/1.1 200`.
/// A `Via` header may name the protocol alone.
fn has_status_line(bytes: &[u8]) -> bool {
    bytes.windows(12).any(|part| {
        part.starts_with(b"HTTP/1.") && part[8] == b' ' && part[9..].iter().all(u8::is_ascii_digit)
    })
}

/// Returns whether a part of the head is the beginning of another response: a server has
/// written a response incompletely and another one after it.
fn has_two_heads(response: &http::Response<Incoming>) -> bool {
    let reason = response.extensions().get::<hyper::ext::ReasonPhrase>();
    reason.is_some_and(|reason| has_status_line(reason.as_bytes()))
        || response
            .headers()
            .values()
            .any(|value| has_status_line(value.as_bytes()))
}

/// Returns whether a response may have the status: RFC 9110, section 15, has classes up to
/// 5, and no router asks for another protocol.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Checks that the response is that to this request, by its ID: a server may write an
/// earlier response, or one of another connection, once more. Any other response says
/// nothing of the request, not even that it has not run.
fn check_tied(
    cx: &RequestContext,
    response: &http::Response<Incoming>,
    metadata: &ResponseMetadata,
    in_flight: &mut InFlightGuard,
) -> Result<(), AttemptError> {
    let own = cx.metadata.attempt_id.as_deref();
    let (outcome, reason) = match metadata.attempt_id.as_deref() {
        _ if has_two_heads(response) => (AttemptOutcome::Failed, "two responses in one"),
        _ if !is_final(response.status()) => (AttemptOutcome::Failed, "no final status"),
        None => (AttemptOutcome::Failed, UNTIED),
        Some(id) if Some(id) != own => (AttemptOutcome::Neutral, "answer to another request"),
        Some(_) => return Ok(()),
    };
    in_flight.end(outcome);
    Err(AttemptError::MayHaveRun(reason.to_owned()))
}

/// Checks that the server ran the request and that the response is valid, and records the
/// load that the server reported.
fn check_response(
    cx: &RequestContext,
    server: &ServerEntry,
    response: &http::Response<Incoming>,
    metadata: &ResponseMetadata,
    in_flight: &mut InFlightGuard,
) -> Result<(), AttemptError> {
    if let Some(load) = metadata.load {
        let now_ms = cx.shared.clock.now_ms();
        cx.shared.placement().record_load(&server.id, load, now_ms);
    }
    if metadata.wrong_server {
        cx.shared.placement().record_wrong_server(server);
        in_flight.end(AttemptOutcome::Neutral);
        return Err(AttemptError::NotRun("another server has the address"));
    }
    if metadata.not_run {
        if let Some(rest) = metadata.rest {
            record_rest(cx, server, rest);
        }
        in_flight.end(AttemptOutcome::Full);
        return Err(AttemptError::NotRun("server refused"));
    }
    let status = response.status();
    if PROMISES.contains(&status) {
        in_flight.end(AttemptOutcome::Failed);
        return Err(AttemptError::MayHaveRun(format!(
            "{status} without stating that the request has not run"
        )));
    }
    // A valid success is signed and, because none was requested, has no content encoding.
    if status.is_success() && (!metadata.signed || metadata.encoded) {
        in_flight.end(AttemptOutcome::Failed);
        return Err(AttemptError::MayHaveRun(
            "success without signature".to_owned(),
        ));
    }
    Ok(())
}
