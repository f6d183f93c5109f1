//! A fake of the platform's VM list.
//!
//! `PUT /vms` sets the list, and `GET /vms` returns it with a delay.

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
    /// Delay before a new list is published
    #[bpaf(argument("MS"), fallback(500))]
    lag_ms: u64,
}

struct VmList {
    /// The list that `GET /vms` returns.
    published: Mutex<Vec<Vm>>,
    /// Delay before a new list is published.
    lag: Duration,
}

/// Serves the fake VM list until the process receives a stop signal.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let list = Arc::new(VmList {
        published: Mutex::new(Vec::new()),
        lag: Duration::from_millis(options.lag_ms),
    });
    let app = Router::new()
        .route("/vms", get(get_vms).put(put_vms))
        .with_state(list);
    serve(options.listen, app).await
}

async fn get_vms(State(list): State<Arc<VmList>>) -> Json<Vec<Vm>> {
    let published = list.published.lock();
    Json(
        published
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone(),
    )
}

async fn put_vms(State(list): State<Arc<VmList>>, Json(vms): Json<Vec<Vm>>) {
    tokio::spawn(async move {
        tokio::time::sleep(list.lag).await;
        let mut published = list
            .published
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *published = vms;
    });
}
