//! The listeners for callers and operators.

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
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
    service::TowerToHyperService,
};
use peridotslip::prelude::*;
use serde_json::json;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::{
    answer::Follower,
    context::{HOME_HEADER, Incoming, KEY_HEADER, RequestContext, SharedState},
    filters::Chain,
    problem::{Rejection, Result},
    settings::Limits,
};

/// Most streams that a caller may open on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1_024;
/// When to come back while the tables are being loaded, in seconds.
const NOT_CONFIGURED_RETRY_S: u64 = 1;

/// Where a planned stop has got to.
#[derive(Debug, Default)]
pub(crate) struct Stopping {
    /// Readiness is off; requests are still answered.
    pub(crate) announced: AtomicBool,
}

#[derive(Clone)]
pub(crate) struct Callers {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) chain: Arc<Chain>,
    pub(crate) stopping: Arc<Stopping>,
}

/// Answers one caller's request.
async fn answer(State(callers): State<Callers>, request: Request<Body>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let shared = callers.shared.clone();
    let index = shared.controllers.config.index();
    if index.revision().value() == 0 {
        let rejection = Rejection::not_run(Refusal::NotConfigured);
        let rejection = rejection.retry_after(NOT_CONFIGURED_RETRY_S);
        return refuse(&shared, &parts.headers, rejection);
    }
    let incoming = Incoming {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: bytes::Bytes::new(),
    };
    let mut cx = RequestContext::new(shared.clone(), index, incoming);
    match read_body(&cx, body).await {
        Ok(body) => cx.incoming.body = body,
        Err(rejection) => return refuse(&shared, &cx.incoming.headers, rejection),
    }
    let id = cx.id.clone();
    let follower = cx.answer.follow();
    let chain = callers.chain.clone();
    tokio::spawn(async move { chain.run(&mut cx).await });
    let mut response = respond(follower, &id).await;
    if callers.stopping.announced.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Refuses a request before the filters have seen it. An earlier request of
/// its key may have run, unless the caller is not known at all.
fn refuse(shared: &SharedState, headers: &HeaderMap, mut rejection: Rejection) -> Response<Body> {
    let keyed = headers.contains_key(KEY_HEADER);
    if keyed && rejection.refusal != Refusal::Unauthenticated {
        rejection.execution = ExecutionStatus::Unknown;
    }
    shared.metrics.refused(rejection.refusal);
    rejection.response("")
}

/// Reads the body, unless the caller's key is unknown: that is looked at
/// before anything else.
async fn read_body(cx: &RequestContext, body: Body) -> Result<bytes::Bytes> {
    crate::filters::check_key(cx)?;
    let limits = &cx.shared.settings.limits;
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let read = Limited::new(body, limits.max_body_bytes).collect();
    match tokio::time::timeout(timeout, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            Err(Rejection::not_run(Refusal::BodyTooLarge))
        }
        Ok(Err(_)) => Err(Rejection::not_run(Refusal::MalformedBody)),
        Err(_) => Err(Rejection::not_run(Refusal::BodyTimeout)),
    }
}

async fn respond(follower: Follower, id: &str) -> Response<Body> {
    let head = match follower.head().await {
        Ok(head) => head,
        Err(rejection) => return rejection.response(id),
    };
    let body = match follower.single_part() {
        Some(part) => Body::from(part),
        None => Body::from_stream(futures::stream::unfold(follower, async |mut follower| {
            let part = follower.next().await?;
            Some((part, follower))
        })),
    };
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(HOME_HEADER, id);
    }
    response
}

/// Serves callers until `stop` says so; then finishes what is open.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    callers: Callers,
    mut stop: watch::Receiver<bool>,
) {
    let limits = callers.shared.settings.limits.clone();
    let app = Router::new().fallback(answer).with_state(callers);
    let builder = http_builder(&limits);
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(err) => {
                    log::warn!("a connection could not be accepted: {err}");
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
                log::debug!("connection ended: {err}");
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

#[derive(Clone)]
struct Operators {
    shared: Arc<SharedState>,
    stopping: Arc<Stopping>,
}

/// Serves the operators' address until the process ends.
///
/// # Errors
///
/// An I/O error if the address can't be listened on.
pub(crate) async fn serve_operators(
    listen: &str,
    shared: Arc<SharedState>,
    stopping: Arc<Stopping>,
) -> std::io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(listen).await?;
    let app = Router::new()
        .route("/healthz", get(async || "ok\n"))
        .route("/readyz", get(readyz))
        .route("/metrics", get(scrape))
        .route("/status", get(status))
        .route("/members", get(members))
        .with_state(Operators { shared, stopping });
    Ok(tokio::spawn(async move {
        if let Err(err) = axum::serve(listener, app).await {
            log::error!("the operators' address is no longer served: {err}");
        }
    }))
}

async fn readyz(State(operators): State<Operators>) -> (StatusCode, &'static str) {
    if operators.stopping.announced.load(Ordering::Relaxed) {
        (StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
    } else if operators.shared.controllers.config.revision().value() == 0 {
        (StatusCode::SERVICE_UNAVAILABLE, "no tables yet\n")
    } else {
        (StatusCode::OK, "ready\n")
    }
}

async fn scrape(State(operators): State<Operators>) -> Response<Body> {
    let mut response = Response::new(Body::from(operators.shared.metrics.scrape()));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

async fn members(State(operators): State<Operators>) -> Json<Vec<serde_json::Value>> {
    let view = operators.shared.controllers.members.view();
    let rows = view.all.iter().map(|(node, state)| {
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

async fn status(State(operators): State<Operators>) -> Json<serde_json::Value> {
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
        "stopping": operators.stopping.announced.load(Ordering::Relaxed),
    }))
}
