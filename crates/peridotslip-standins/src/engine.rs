//! A fake model engine with continuous batching, a prefix cache, request
//! priorities, streamed and complete responses, resumption, cancellation and
//! delayed load reports.
//!
//! - `POST /v1/chat/completions`, `/v1/completions`: runs a request, or joins
//!   the request that has the same `x-request-id`.
//! - `GET /v1/streams/ID?from=N`: resumes the stream of a request at event N.
//! - `DELETE /v1/streams/ID`: cancels a request and returns its usage.
//! - `GET /load`: the number of running and waiting requests, as of `--lag-ms`
//!   ago.
//! - `GET /cache-events?after=N`: the prefix blocks cached and evicted after
//!   event N, delayed and with gaps.
//! - `GET /stats`: totals of requests and tokens, for audits.

mod batch;
mod prefix_cache;

use std::{convert::Infallible, net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::{Body, Bytes},
    extract::{Path, Query, State},
    http::{HeaderMap, StatusCode, header::CONTENT_TYPE},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use bpaf::Bpaf;
use serde::Deserialize;
use serde_json::{Value, json};

use self::batch::{Engine, Generation, GenerationRequest, Progress};
use crate::serve::{Result, serve};

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Largest number of requests that run at the same time
    #[bpaf(argument("N"), fallback(16))]
    batch: usize,
    /// Time per decoding step, which emits one token per running request; 0
    /// completes requests immediately
    #[bpaf(argument("US"), fallback(2000))]
    token_us: u64,
    /// Prefill time per prompt token that is not in the cache
    #[bpaf(argument("US"), fallback(50))]
    prefill_us: u64,
    /// Capacity of the prefix cache, in blocks
    #[bpaf(argument("N"), fallback(2000))]
    cache_blocks: usize,
    /// Delay of load reports and cache events
    #[bpaf(argument("MS"), fallback(300))]
    lag_ms: u64,
    /// Number of tokens after which a request pauses, again and again; 0 never
    /// pauses
    #[bpaf(argument("N"), fallback(0))]
    pause_every: u64,
    /// Length of each pause
    #[bpaf(argument("MS"), fallback(0))]
    pause_ms: u64,
    /// Generate `max_tokens` tokens for every request
    full_length: bool,
}

#[derive(Deserialize)]
struct CompletionRequest {
    #[serde(default)]
    model: String,
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: u64,
}

#[derive(Deserialize)]
struct CacheEventsQuery {
    #[serde(default)]
    after: u64,
}

/// Serves the fake engine until the process receives a stop signal.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let listen = options.listen;
    let engine = Engine::spawn(options);
    let app = Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/completions", post(complete))
        .route("/v1/streams/{id}", get(resume).delete(cancel))
        .route("/load", get(load))
        .route("/cache-events", get(cache_events))
        .route("/stats", get(stats))
        .with_state(engine);
    serve(listen, app).await
}

async fn complete(State(engine): State<Arc<Engine>>, headers: HeaderMap, body: Bytes) -> Response {
    let Ok(request) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return (
            StatusCode::BAD_REQUEST,
            "the body is not a completion request",
        )
            .into_response();
    };
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let generation_request = GenerationRequest {
        id: header("x-request-id").unwrap_or("none").to_owned(),
        model: request.model,
        priority: header("x-priority")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1),
        max_tokens: request.max_tokens,
        prompt: body,
    };
    let generation = engine.submit(generation_request);
    if request.stream {
        stream_response(&generation, 0)
    } else {
        completion_response(generation).await
    }
}

async fn resume(
    State(engine): State<Arc<Engine>>,
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    match engine.find(&id) {
        Some(generation) => stream_response(&generation, query.from),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn cancel(State(engine): State<Arc<Engine>>, Path(id): Path<String>) -> Response {
    match engine.find(&id) {
        Some(generation) => {
            engine.cancel(&generation);
            Json(json!({ "usage": usage(&generation, generation.progress()) })).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn load(State(engine): State<Arc<Engine>>) -> Json<Value> {
    let (running, waiting) = engine.reported_load();
    Json(json!({ "running": running, "waiting": waiting }))
}

async fn cache_events(
    State(engine): State<Arc<Engine>>,
    Query(query): Query<CacheEventsQuery>,
) -> Json<Value> {
    Json(json!({ "events": engine.cache_events(query.after) }))
}

async fn stats(State(engine): State<Arc<Engine>>) -> Json<batch::Stats> {
    Json(engine.stats())
}

fn usage(generation: &Generation, progress: Progress) -> Value {
    json!({
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": progress.emitted,
        "total_tokens": generation.prompt_tokens + progress.emitted,
    })
}

fn finish_reason(generation: &Generation, progress: Progress) -> &'static str {
    if progress.emitted >= generation.max_tokens {
        "length"
    } else {
        "stop"
    }
}

async fn completion_response(generation: Arc<Generation>) -> Response {
    let _subscription = generation.subscribe();
    let progress = generation.wait_end().await;
    let content: String = (0..progress.emitted)
        .map(|i| generation.token_text(i))
        .collect();
    let completion = json!({
        "id": generation.id,
        "object": "chat.completion",
        "model": generation.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": finish_reason(&generation, progress),
        }],
        "usage": usage(&generation, progress),
    });
    Json(completion).into_response()
}

/// Streams the events of a generation, beginning with event `from`.
///
/// Event N carries token N, counted from 0. The last token is followed by an event
/// with the usage and by the `[DONE]` marker. The stream of a cancelled generation
/// has neither.
fn stream_response(generation: &Arc<Generation>, from: u64) -> Response {
    let events = futures::stream::unfold(Some((generation.subscribe(), from)), |state| async {
        let (subscription, position) = state?;
        let generation = subscription.generation();
        let progress = generation.wait_past(position).await;
        if position < progress.emitted {
            let mut chunk = String::new();
            for i in position..progress.emitted {
                chunk.push_str(&token_event(generation, i));
            }
            let next = progress.emitted;
            return Some((
                Ok::<_, Infallible>(Bytes::from(chunk)),
                Some((subscription, next)),
            ));
        }
        if progress.cancelled {
            return None;
        }
        let final_events = format!(
            "data: {}\n\ndata: [DONE]\n\n",
            json!({
                "id": generation.id,
                "object": "chat.completion.chunk",
                "model": generation.model,
                "choices": [{ "index": 0, "delta": {}, "finish_reason": finish_reason(generation, progress) }],
                "usage": usage(generation, progress),
            })
        );
        Some((Ok(Bytes::from(final_events)), None))
    });
    let headers = [(CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(events)).into_response()
}

fn token_event(generation: &Generation, i: u64) -> String {
    let chunk = json!({
        "id": generation.id,
        "object": "chat.completion.chunk",
        "model": generation.model,
        "choices": [{ "index": 0, "delta": { "content": generation.token_text(i) }, "finish_reason": null }],
    });
    format!("data: {chunk}\n\n")
}

/// Time for which a request without subscribers continues to run before it is
/// cancelled.
const ORPHAN_GRACE: Duration = Duration::from_secs(3);
/// Time after its end during which a request can be resumed.
const FINISHED_RETENTION: Duration = Duration::from_secs(60);
