//! Listeners for callers, readiness checks and metrics.

use std::{
    convert::Infallible,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use peridotslip::held_connections::ConnectionPhase;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    body::{Body, GuardedBody, full},
    caller_connections::{CallerConnection, RECEIVE_BUFFER_BYTES},
    context::{OpenRequestGuard, Rejection, RequestContext, Result, SharedState},
    dispatch,
    filters::{Chain, match_route},
    limited_stream::{LimitedStream, RequestActiveGuard, RequestSequence},
    link_gate,
    port_connections::PortConnections,
    reason::RejectionReason,
    request_body::{IncomingBody, RequestContent},
};

/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;
/// Smallest buffer of a connection, in bytes. A table that becomes active later may
/// allow heads up to this size.
const MIN_BUFFER_BYTES: usize = 64 * 1024;
/// Longest wait for the body of a request without a deadline, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 30_000;
/// Longest body of a rejected request that is read so that its connection can be used
/// on, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 * 1024;
/// Longest wait for such a body, in milliseconds.
const DISCARD_TIMEOUT_MS: u64 = 2_000;

/// Listens for callers at `address`.
///
/// # Errors
///
/// An I/O error if the address can't be listened on.
pub(crate) async fn listen_for_callers(address: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    // Connections inherit the buffer's length.
    if let Err(err) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!("can't bound the receive buffers of callers' connections: {err}");
    }
    Ok(listener)
}

/// Serves callers until `stop` is true. Open requests may complete after that.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    shared: Arc<SharedState>,
    chain: Arc<Chain>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(connection) = admit_connection(&shared).await else {
                    continue;
                };
                let (shared, chain) = (shared.clone(), chain.clone());
                let served = serve_connection(stream, connection, shared, chain, stop.clone());
                tokio::spawn(served);
            }
            Err(err) => {
                log::warn!("can't accept a caller's connection; retrying: {err}");
                shared.caller_connections.make_room();
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

/// Admits a new connection. If all others wait for responses, breaks off the stream that
/// has not been read for longest.
async fn admit_connection(shared: &SharedState) -> Option<CallerConnection> {
    let connections = &shared.caller_connections;
    let mut admitted = connections.admit().await;
    if admitted.is_none() && shared.streamed.free_memory() {
        admitted = connections.admit().await;
    }
    if admitted.is_none() {
        connections.record_refused();
    }
    admitted
}

/// Waits until `stop` is true or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        log::debug!("stop signal closed; the process is exiting");
    }
}

/// Serves the requests of one caller's connection.
async fn serve_connection(
    stream: TcpStream,
    connection: CallerConnection,
    shared: Arc<SharedState>,
    chain: Arc<Chain>,
    mut stop: watch::Receiver<bool>,
) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY on a caller's connection: {err}");
    }
    let max_header_bytes = shared.index().table().limits.max_header_bytes;
    let sequence = RequestSequence::default();
    let meter = shared.health.meter.clone();
    let stream = LimitedStream::new(
        stream,
        shared.clone(),
        sequence.clone(),
        meter,
        connection.clone(),
    );
    let service = service_fn(move |request| {
        let (shared, chain, connection) = (shared.clone(), chain.clone(), connection.clone());
        let open_guard = OpenRequestGuard::new(&shared);
        let mut active_guard = sequence.begin(open_guard.clone());
        async move {
            let handled = handle_request(
                shared,
                chain,
                request,
                &connection,
                open_guard,
                &mut active_guard,
            );
            let response = handled.await;
            let guarded = response.map(|body| GuardedBody::new(body, active_guard));
            Ok::<_, Infallible>(guarded)
        }
    });
    let connection = http1::Builder::new()
        // `LimitedStream` applies the limits of heads and of the idle time.
        .header_read_timeout(None)
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        // A request that has arrived is read before the connection closes.
        biased;
        ended = connection.as_mut() => ended,
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(err) = ended {
        log::debug!("a caller's connection failed: {err}");
    }
}

/// Handles one request: checks the head, reads the body, applies the filters and
/// dispatches the request.
async fn handle_request(
    shared: Arc<SharedState>,
    chain: Arc<Chain>,
    request: Request<Incoming>,
    connection: &CallerConnection,
    open_guard: OpenRequestGuard,
    active_guard: &mut RequestActiveGuard,
) -> Response<Body> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let metadata = shared.platform.dialect.decode_request(&parts.headers);
    let mut cx = RequestContext {
        index: shared.index(),
        _open_guard: open_guard,
        shared: shared.clone(),
        arrived,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: RequestContent::default(),
        metadata,
        route: None,
        organisation: None,
        service: String::new(),
        data_centres: None,
        reservation: None,
        link_ticket: None,
        parts: Vec::new(),
        is_probe: false,
    };
    let id = cx.id().to_owned();
    let version = cx.index.version();
    connection.set_phase(ConnectionPhase::Body);
    let received = receive(&mut cx, connection, body).await;
    connection.set_complete(request_length(&cx));
    let must_close = received.is_err();
    let filtered = match received {
        Ok(Ok(())) => {
            cx.set_parts();
            filter(&chain, &mut cx).await
        }
        Ok(Err(rejection)) => Err(rejection),
        Err(rejection) => {
            // The rest of the body is not read, so no further head can follow.
            active_guard.hold_until_close();
            Err(rejection)
        }
    };
    let route = cx.route.clone();
    let organisation = cx.organisation.clone();
    let outcome = match filtered {
        Ok(()) => dispatch::run(cx).await,
        Err(rejection) => Err(rejection),
    };
    let route = route.as_ref().map_or("", |route| route.name.as_str());
    let organisation = organisation
        .as_ref()
        .map_or("", |organisation| organisation.name.as_str());
    let ms = arrived.elapsed().as_millis();
    let mut response = match outcome {
        Ok(response) => {
            let status = response.status().as_u16();
            let served_by = response.extensions().get::<dispatch::ServedBy>();
            let server = served_by.map_or("", |served_by| served_by.0.as_str());
            log::info!(id = id.as_str(), route, organisation, server, status, version, ms; "request completed");
            response
        }
        Err(rejection) => {
            let reason = rejection.reason.as_str();
            let status = rejection.reason.status().as_u16();
            log::info!(id = id.as_str(), route, organisation, status, reason, version, ms; "request rejected");
            shared.metrics.record_rejection(rejection.reason);
            rejection_response(rejection)
        }
    };
    shared.metrics.record_response(response.status());
    if must_close || shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Applies the filters to a complete request, which may wait for other routers, until
/// the request's deadline or until a stopping router answers its open requests.
async fn filter(chain: &Chain, cx: &mut RequestContext) -> Result<()> {
    let shared = cx.shared.clone();
    let deadline = cx.deadline();
    tokio::select! {
        biased;
        filtered = chain.apply(cx) => filtered,
        () = shared.wait_answer_due() => {
            let after_ms = shared.settings().timing.retry_after_ms;
            Err(Rejection::after(RejectionReason::Stopping, after_ms))
        }
        () = tokio::time::sleep_until(deadline.into()) => {
            Err(Rejection::new(RejectionReason::NotStarted))
        }
    }
}

/// Checks the head of a request and reads the body into `cx`. Returns the rejection of a
/// request that the table does not permit, with the short body discarded so that the
/// connection can be used on.
///
/// # Errors
///
/// A [`Rejection`] after which the connection must be closed, because the body has not
/// been read.
async fn receive(
    cx: &mut RequestContext,
    connection: &CallerConnection,
    body: Incoming,
) -> Result<Result<()>> {
    check_head(cx)?;
    if let Err(rejection) = match_route(cx) {
        connection.set_phase(ConnectionPhase::Closing);
        let discarded = tokio::select! {
            discarded = discard_short(cx, body) => discarded,
            () = connection.wait_gave_way() => false,
        };
        return if discarded {
            Ok(Err(rejection))
        } else {
            Err(rejection)
        };
    }
    cx.link_ticket = link_gate::admit(cx)?;
    let shared = cx.shared.clone();
    tokio::select! {
        read = read_body(cx, body) => read.map(Ok),
        () = connection.wait_gave_way() => Err(short(&shared, RejectionReason::ConnectionsShort)),
    }
}

/// Rejects a request whose head is longer than the limit: if its end arrived with its
/// beginning, the connection could not reject it. Rejects a request without an attempt ID
/// and one with several headers that frame the body, because a backend server might find
/// another end of the body.
fn check_head(cx: &RequestContext) -> Result<()> {
    let limits = &cx.index.table().limits;
    if headers_length(cx) > limits.max_header_bytes {
        return Err(Rejection::new(RejectionReason::HeadTooLong));
    }
    let framing_headers = cx.headers.get_all(header::CONTENT_LENGTH).iter().count()
        + cx.headers.get_all(header::TRANSFER_ENCODING).iter().count();
    if framing_headers > 1 || cx.metadata.attempt_id.is_none() {
        return Err(Rejection::new(RejectionReason::BadRequest));
    }
    Ok(())
}

/// Returns the length of a request's headers, in bytes, without white space that the
/// protocol leaves to the caller.
fn headers_length(cx: &RequestContext) -> usize {
    // Each header has a separator of two bytes and an end of two.
    let headers = cx
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    headers.sum()
}

/// Returns the length of a request whose body has been read, in bytes; `None` if its
/// framing takes part of it.
fn request_length(cx: &RequestContext) -> Option<usize> {
    if cx.headers.contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    let target = cx.uri.path_and_query();
    let request_line = format!("{} {} HTTP/1.1\r\n", cx.method, target?);
    let body_length = cx.declared_length().unwrap_or(0);
    Some(request_line.len() + headers_length(cx) + "\r\n".len() + body_length)
}

/// Discards the body of a request that is rejected, if the body is short. Returns whether
/// all of it was read.
async fn discard_short(cx: &RequestContext, mut body: Incoming) -> bool {
    if body.is_end_stream() {
        return true;
    }
    if cx
        .declared_length()
        .is_none_or(|length| length > MAX_DISCARDED_BYTES)
    {
        return false;
    }
    let discarded = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    let timeout = Duration::from_millis(DISCARD_TIMEOUT_MS);
    tokio::time::timeout(timeout, discarded)
        .await
        .unwrap_or(false)
}

/// Reads the complete body into `cx`.
async fn read_body(cx: &mut RequestContext, body: Incoming) -> Result<()> {
    if body.is_end_stream() {
        return Ok(());
    }
    let organisation = cx.organisation.as_ref();
    let organisation = organisation.map_or("", |organisation| organisation.name.as_str());
    let incoming = cx.shared.request_bodies.begin(organisation);
    let mut timeout = cx.time_remaining();
    if cx.metadata.deadline_ms.is_none() {
        timeout = timeout.min(Duration::from_millis(BODY_TIMEOUT_MS));
    }
    let read = tokio::select! {
        read = tokio::time::timeout(timeout, read_content(cx, body, &incoming)) => read,
        () = incoming.wait_gave_way() => return Err(short(&cx.shared, RejectionReason::MemoryShort)),
    };
    match read {
        Ok(read) => read?,
        Err(_) => return Err(Rejection::new(RejectionReason::NotStarted)),
    }
    cx.body = incoming
        .finish()
        .map_err(|_| short(&cx.shared, RejectionReason::MemoryShort))?;
    Ok(())
}

/// Appends the content of a body to `incoming` until its end.
async fn read_content(
    cx: &RequestContext,
    mut body: Incoming,
    incoming: &IncomingBody,
) -> Result<()> {
    let limit = cx.index.table().limits.max_body_bytes;
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::new(RejectionReason::BadRequest))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        // Bytes of an incomplete body used the link too.
        if let Some(ticket) = &cx.link_ticket {
            ticket.record_body(data.len());
        }
        length += data.len();
        if length > limit {
            return Err(Rejection::new(RejectionReason::BodyTooLong));
        }
        incoming
            .append(data)
            .map_err(|_| short(&cx.shared, RejectionReason::MemoryShort))?;
    }
    Ok(())
}

/// Returns the rejection of a request for which there is no room. The retry reaches
/// another router; it is spread because many are rejected at the same time.
fn short(shared: &SharedState, reason: RejectionReason) -> Rejection {
    let after_ms = shared.settings().timing.retry_after_ms;
    Rejection::after(reason, rand::random_range(after_ms / 2..=after_ms))
}

/// Returns the response for a rejection. The body is the reason's label.
fn rejection_response(rejection: Rejection) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from_static(
        rejection.reason.as_str().as_bytes(),
    )));
    *response.status_mut() = rejection.reason.status();
    if let Some(after_ms) = rejection.retry_after_ms {
        let after = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
        if let Ok(after) = HeaderValue::from_str(&after) {
            response.headers_mut().insert(header::RETRY_AFTER, after);
        }
    }
    response
}

/// Serves readiness checks or metrics. `respond` returns the response for a
/// path.
pub(crate) async fn serve_status(
    listener: TcpListener,
    connections: PortConnections,
    respond: impl Fn(&str) -> Response<Bytes> + Clone + Send + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let respond = respond.clone();
        connections.spawn(|last_use| async move {
            let service = service_fn(move |request: Request<Incoming>| {
                last_use.record();
                let response = respond(request.uri().path()).map(Full::new);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .max_buf_size(MIN_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(err) = connection.await {
                log::debug!("a connection for checks or metrics failed: {err}");
            }
        });
    }
}

/// Returns the response to a readiness check.
pub(crate) fn readiness(shared: &SharedState, path: &str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    if path != shared.platform.dialect.ready_path() {
        *response.status_mut() = StatusCode::NOT_FOUND;
    } else if !shared.is_ready() || shared.link_gate.is_out_of_rotation() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
