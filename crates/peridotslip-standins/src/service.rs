//! A fake service whose calls are not idempotent.
//!
//! Every call is executed, also if its `x-request-id` was executed before.
//! `GET /runs` returns the number of executions of each `x-request-id`.

use std::{
    collections::HashMap,
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::Duration,
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::State,
    http::{HeaderMap, StatusCode, Uri},
    response::{IntoResponse, Response},
    routing::{any, get},
};
use bpaf::Bpaf;
use serde_json::json;

use crate::serve::{Result, serve};

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Execution time of a call
    #[bpaf(argument("MS"), fallback(5))]
    work_ms: u64,
}

struct FakeService {
    /// Number of executions by request ID.
    runs: Mutex<HashMap<String, u64>>,
    execution_time: Duration,
}

/// Serves the fake service until the process receives a stop signal.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let service = Arc::new(FakeService {
        runs: Mutex::new(HashMap::new()),
        execution_time: Duration::from_millis(options.work_ms),
    });
    let app = Router::new()
        .route("/runs", get(runs))
        .fallback(any(call))
        .with_state(service);
    serve(options.listen, app).await
}

/// Executes a call and returns an order that states the request ID and the number
/// of executions of that ID so far.
async fn call(
    State(service): State<Arc<FakeService>>,
    headers: HeaderMap,
    uri: Uri,
    body: Bytes,
) -> Response {
    let id = headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    let execution_number = {
        let mut runs = service
            .runs
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let count = runs.entry(id.clone()).or_default();
        *count += 1;
        *count
    };
    tokio::time::sleep(service.execution_time).await;
    let order =
        json!({ "order": id, "path": uri.path(), "run": execution_number, "bytes": body.len() });
    (StatusCode::CREATED, Json(order)).into_response()
}

async fn runs(State(service): State<Arc<FakeService>>) -> Json<HashMap<String, u64>> {
    let runs = service.runs.lock();
    Json(
        runs.unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone(),
    )
}
