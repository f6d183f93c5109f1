//! HTTP servers for callers and operators.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use axum::{
    Json, Router,
    body::Body,
    extract::State,
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header},
    routing::get,
};
use http_body_util::BodyExt;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
    service::TowerToHyperService,
};
use peridotslip::{
    memory::{AppendError, PooledBuffer, PooledContent},
    prelude::*,
};
use serde_json::json;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::{
    context::{
        BufferedRequest, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, RequestContext, SharedState,
    },
    filters::Chain,
    problem::{Rejection, Result},
    response::ResponseReader,
    settings::Limits,
};

/// Maximum number of concurrent streams on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1_024;
/// `Retry-After` while the router has no tables, in seconds.
const NOT_CONFIGURED_RETRY_S: u64 = 1;
/// `Retry-After` while the router has no memory for a body, in seconds.
const MEMORY_SHORT_RETRY_S: u64 = 1;

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    /// Whether `/readyz` reports the shutdown; requests are still served.
    pub(crate) announced: AtomicBool,
}

/// State of the HTTP server for callers.
#[derive(Clone)]
pub(crate) struct CallerService {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) chain: Arc<Chain>,
    pub(crate) shutdown: Arc<ShutdownState>,
}

/// Handles one request of a caller.
async fn handle_request(
    State(callers): State<CallerService>,
    request: Request<Body>,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let shared = callers.shared.clone();
    let index = shared.controllers.config.index();
    if index.revision().value() == 0 {
        let rejection = Rejection::not_run(Refusal::NotConfigured);
        let rejection = rejection.retry_after(NOT_CONFIGURED_RETRY_S);
        return reject(&shared, &parts.headers, rejection);
    }
    let incoming = BufferedRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: bytes::Bytes::new(),
    };
    let mut cx = RequestContext::new(shared.clone(), index, incoming);
    match read_body(&cx, body).await {
        Ok(body) => cx.request.body = body,
        Err(rejection) => return reject(&shared, &cx.request.headers, rejection),
    }
    let id = cx.id.clone();
    let reader = cx.response.reader();
    let chain = callers.chain.clone();
    tokio::spawn(async move { chain.run(&mut cx).await });
    let mut response = respond(reader, &id).await;
    if callers.shutdown.announced.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Rejects a request before it reaches the filters. An earlier request of the
/// same idempotency key may have run, unless the caller is unauthenticated.
fn reject(shared: &SharedState, headers: &HeaderMap, mut rejection: Rejection) -> Response<Body> {
    let keyed = headers.contains_key(IDEMPOTENCY_KEY_HEADER);
    if keyed && rejection.refusal != Refusal::Unauthenticated {
        rejection.execution = ExecutionStatus::Unknown;
    }
    shared.metrics.refused(rejection.refusal);
    rejection.response("")
}

/// Reads the body. The caller's API key is checked first, so that the body of
/// an unauthenticated caller is not read.
async fn read_body(cx: &RequestContext, body: Body) -> Result<bytes::Bytes> {
    crate::filters::check_api_key(cx)?;
    let limits = &cx.shared.settings.limits;
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let buf = PooledBuffer::new(&cx.shared.request_memory, limits.max_body_bytes);
    match tokio::time::timeout(timeout, read_content(body, buf)).await {
        Ok(content) => Ok(bytes::Bytes::from_owner(content?)),
        Err(_) => Err(Rejection::not_run(Refusal::BodyTimeout)),
    }
}

/// Copies the content out of the connection's buffers, which may be many times as large.
async fn read_content(mut body: Body, mut buf: PooledBuffer) -> Result<PooledContent> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::not_run(Refusal::MalformedBody))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        buf.append(data).map_err(|err| match err {
            AppendError::TooLong(_) => Rejection::not_run(Refusal::BodyTooLarge),
            AppendError::OutOfMemory(_) => {
                Rejection::not_run(Refusal::MemoryShort).retry_after(MEMORY_SHORT_RETRY_S)
            }
        })?;
    }
    Ok(buf.finish())
}

async fn respond(reader: ResponseReader, id: &str) -> Response<Body> {
    let head = match reader.head().await {
        Ok(head) => head,
        Err(rejection) => return rejection.response(id),
    };
    let body = match reader.single_chunk() {
        Some(chunk) => Body::from(chunk),
        None => Body::from_stream(futures::stream::unfold(reader, async |mut reader| {
            let chunk = reader.next().await?;
            Some((chunk, reader))
        })),
    };
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    response
}

/// Serves callers until `stop` is set, then waits until all open connections
/// are closed.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    callers: CallerService,
    mut stop: watch::Receiver<bool>,
) {
    let limits = callers.shared.settings.limits.clone();
    let app = Router::new().fallback(handle_request).with_state(callers);
    let builder = http_builder(&limits);
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(err) => {
                    log::warn!("failed to accept a caller's connection; pausing: {err}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
            () = stopped(&mut stop) => break,
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(app.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("caller's connection failed: {err}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

fn http_builder(limits: &Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.max_header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX));
    builder
}

/// State of the HTTP server for operators.
#[derive(Clone)]
struct OperatorService {
    shared: Arc<SharedState>,
    shutdown: Arc<ShutdownState>,
}

/// Starts the HTTP server for operators, which runs until the process ends.
///
/// # Errors
///
/// An I/O error if the address can't be listened on.
pub(crate) async fn serve_operators(
    listen: &str,
    shared: Arc<SharedState>,
    shutdown: Arc<ShutdownState>,
) -> std::io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(listen).await?;
    let app = Router::new()
        .route("/healthz", get(async || "ok\n"))
        .route("/readyz", get(readyz))
        .route("/metrics", get(scrape))
        .route("/status", get(status))
        .route("/members", get(members))
        .with_state(OperatorService { shared, shutdown });
    Ok(tokio::spawn(async move {
        if let Err(err) = axum::serve(listener, app).await {
            log::error!("server for operators failed; its endpoints are unavailable: {err}");
        }
    }))
}

async fn readyz(State(operators): State<OperatorService>) -> (StatusCode, &'static str) {
    if operators.shutdown.announced.load(Ordering::Relaxed) {
        (StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
    } else if operators.shared.controllers.config.revision().value() == 0 {
        (StatusCode::SERVICE_UNAVAILABLE, "no tables yet\n")
    } else {
        (StatusCode::OK, "ready\n")
    }
}

async fn scrape(State(operators): State<OperatorService>) -> Response<Body> {
    let mut response = Response::new(Body::from(operators.shared.metrics.scrape()));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

async fn members(State(operators): State<OperatorService>) -> Json<Vec<serde_json::Value>> {
    let view = operators.shared.controllers.members.view();
    let rows = view.members.iter().map(|(node, state)| {
        json!({
            "address": node.address,
            "vm": node.vm,
            "data_centre": node.data_centre,
            "state": state,
            "revision": node.revision,
            "incarnation": node.incarnation.to_string(),
        })
    });
    Json(rows.collect())
}

async fn status(State(operators): State<OperatorService>) -> Json<serde_json::Value> {
    let shared = &operators.shared;
    let gauges = &shared.metrics.gauges;
    let settings = &shared.settings;
    Json(json!({
        "vm": settings.vm,
        "firm": settings.firm,
        "data_centre": settings.data_centre,
        "revision": shared.controllers.config.revision(),
        "config_confirmed_ms": gauges.config_confirmed_ms.value(),
        "open_requests": gauges.open_requests.value(),
        "unconfirmed_settlements": gauges.unconfirmed_settlements.value(),
        "stopping": operators.shutdown.announced.load(Ordering::Relaxed),
    }))
}
