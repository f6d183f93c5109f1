//! The platform's VM list: `GET /vms`, and `PUT /vms` to set the truth, which
//! shows after a lag.

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::Duration,
};

use axum::{Json, Router, extract::State, routing::get};
use bpaf::Bpaf;
use peridotslip_store::Vm;

use crate::serve::{Result, serve};

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// How long the list stays behind the truth
    #[bpaf(argument("MS"), fallback(500))]
    lag_ms: u64,
}

struct List {
    shown: Mutex<Vec<Vm>>,
    lag: Duration,
}

/// Runs the VM list.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let list = Arc::new(List {
        shown: Mutex::new(Vec::new()),
        lag: Duration::from_millis(options.lag_ms),
    });
    let app = Router::new()
        .route("/vms", get(show).put(set))
        .with_state(list);
    serve(options.listen, app).await
}

async fn show(State(list): State<Arc<List>>) -> Json<Vec<Vm>> {
    let shown = list.shown.lock();
    Json(
        shown
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone(),
    )
}

async fn set(State(list): State<Arc<List>>, Json(vms): Json<Vec<Vm>>) {
    tokio::spawn(async move {
        tokio::time::sleep(list.lag).await;
        let mut shown = list
            .shown
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *shown = vms;
    });
}
