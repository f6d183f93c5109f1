//! A model engine: continuous batching, a prefix cache, priorities, streamed
//! and whole answers, resume and cancel, lagged load reports.
//!
//! - `POST /v1/chat/completions`, `/v1/completions`: runs a request, or joins
//!   the one that has the same `x-request-id`.
//! - `GET /v1/streams/ID?from=N`: the stream from its event N on.
//! - `DELETE /v1/streams/ID`: cancels, and answers with the usage.
//! - `GET /load`: requests running and waiting, some time ago.
//! - `GET /cache-events?after=N`: prefix blocks cached and evicted, late and
//!   with gaps.
//! - `GET /stats`: what ran, for audits.

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

use self::batch::{Engine, Generation, Progress, Work};
use crate::serve::{Result, serve};

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Requests that run together
    #[bpaf(argument("N"), fallback(16))]
    batch: usize,
    /// Time for one token of each running request; 0 answers at once
    #[bpaf(argument("US"), fallback(2000))]
    token_us: u64,
    /// Time to read one prompt token that is not in the cache
    #[bpaf(argument("US"), fallback(50))]
    prefill_us: u64,
    /// Prefix blocks that the cache holds
    #[bpaf(argument("N"), fallback(2000))]
    cache_blocks: usize,
    /// How long load reports and cache events stay behind
    #[bpaf(argument("MS"), fallback(300))]
    lag_ms: u64,
    /// Whether every answer is as long as `max_tokens` allows
    full_length: bool,
}

#[derive(Deserialize)]
struct Asked {
    #[serde(default)]
    model: String,
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

#[derive(Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

/// Runs the engine.
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
    let Ok(asked) = serde_json::from_slice::<Asked>(&body) else {
        return (StatusCode::BAD_REQUEST, "not a completion request").into_response();
    };
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let work = Work {
        id: header("x-request-id").unwrap_or("none").to_owned(),
        model: asked.model,
        priority: header("x-priority")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1),
        max_tokens: asked.max_tokens,
        prompt: body,
    };
    let generation = engine.submit(work);
    if asked.stream {
        stream(&generation, 0)
    } else {
        whole(generation).await
    }
}

async fn resume(
    State(engine): State<Arc<Engine>>,
    Path(id): Path<String>,
    Query(query): Query<From>,
) -> Response {
    match engine.find(&id) {
        Some(generation) => stream(&generation, query.from),
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
    Query(query): Query<After>,
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

fn reason(generation: &Generation, progress: Progress) -> &'static str {
    if progress.emitted >= generation.max_tokens {
        "length"
    } else {
        "stop"
    }
}

async fn whole(generation: Arc<Generation>) -> Response {
    let _follower = generation.follow();
    let progress = generation.ended().await;
    let words: String = (0..progress.emitted).map(|i| generation.word(i)).collect();
    let answer = json!({
        "id": generation.id,
        "object": "chat.completion",
        "model": generation.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": words },
            "finish_reason": reason(&generation, progress),
        }],
        "usage": usage(&generation, progress),
    });
    Json(answer).into_response()
}

/// Event N is token N; then come one event with the usage and `[DONE]`.
fn stream(generation: &Arc<Generation>, from: u64) -> Response {
    let events = futures::stream::unfold(Some((generation.follow(), from)), |state| async {
        let (follower, at) = state?;
        let generation = follower.generation();
        let progress = generation.past(at).await;
        if at < progress.emitted {
            let mut buf = String::new();
            for i in at..progress.emitted {
                buf.push_str(&token_event(generation, i));
            }
            let next = progress.emitted;
            return Some((
                Ok::<_, Infallible>(Bytes::from(buf)),
                Some((follower, next)),
            ));
        }
        if progress.cancelled {
            return None;
        }
        let last = format!(
            "data: {}\n\ndata: [DONE]\n\n",
            json!({
                "id": generation.id,
                "object": "chat.completion.chunk",
                "model": generation.model,
                "choices": [{ "index": 0, "delta": {}, "finish_reason": reason(generation, progress) }],
                "usage": usage(generation, progress),
            })
        );
        Some((Ok(Bytes::from(last)), None))
    });
    let headers = [(CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(events)).into_response()
}

fn token_event(generation: &Generation, i: u64) -> String {
    let chunk = json!({
        "id": generation.id,
        "object": "chat.completion.chunk",
        "model": generation.model,
        "choices": [{ "index": 0, "delta": { "content": generation.word(i) }, "finish_reason": null }],
    });
    format!("data: {chunk}\n\n")
}

/// How long a request without followers goes on before it is cancelled.
const ORPHAN_GRACE: Duration = Duration::from_secs(3);
/// How long a finished request can be resumed.
const KEEP_FINISHED: Duration = Duration::from_secs(60);
