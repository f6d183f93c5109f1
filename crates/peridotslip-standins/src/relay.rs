//! A TCP proxy that injects network faults.
//!
//! `PUT /mode` on the control address sets the mode, given as text:
//!
//! - `pass`: forwards all data.
//! - `cut`: closes all connections, and new ones as soon as they are accepted.
//! - `freeze`: keeps connections open but forwards nothing.
//! - `half`: forwards requests but no responses.
//! - `delay:MS`: delays each chunk of data.
//! - `freeze-open`: stalls the connections that are open now until they are
//!   closed, and forwards all data of new ones.

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{Router, extract::State, http::StatusCode, routing::put};
use bpaf::Bpaf;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::serve::{Result, serve};

/// Largest number of bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Address to forward connections to
    #[bpaf(argument("IP:PORT"))]
    to: SocketAddr,
    /// Address to listen on for `PUT /mode`
    #[bpaf(argument("IP:PORT"))]
    control: SocketAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Forwards all data.
    Forward,
    /// Closes all connections.
    Disconnect,
    /// Forwards nothing.
    Stall,
    /// Forwards nothing from the server to the client.
    StallResponses,
    /// Delays each chunk by this many milliseconds.
    Delay(u64),
}

struct FaultProxy {
    mode: watch::Sender<Mode>,
    /// Connections with a lower ID are stalled until they are closed.
    stalled_below: AtomicU64,
    next_connection_id: AtomicU64,
}

impl FaultProxy {
    /// Sets the mode and returns whether the text names a mode.
    fn set_mode(&self, text: &str) -> bool {
        let mode = match text.trim() {
            "pass" => Mode::Forward,
            "cut" => Mode::Disconnect,
            "freeze" => Mode::Stall,
            "half" => Mode::StallResponses,
            "freeze-open" => {
                let first_new = self.next_connection_id.load(Ordering::SeqCst);
                self.stalled_below.store(first_new, Ordering::SeqCst);
                Mode::Forward
            }
            other => match other.strip_prefix("delay:").map(str::parse) {
                Some(Ok(ms)) => Mode::Delay(ms),
                _ => return false,
            },
        };
        self.mode.send_replace(mode);
        true
    }
}

/// Runs the fault proxy until the process receives a stop signal.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let proxy = Arc::new(FaultProxy {
        mode: watch::Sender::new(Mode::Forward),
        stalled_below: AtomicU64::new(0),
        next_connection_id: AtomicU64::new(0),
    });
    let listener = TcpListener::bind(options.listen).await?;
    tokio::spawn(accept(listener, options.to, proxy.clone()));
    let app = Router::new()
        .route("/mode", put(set_mode))
        .with_state(proxy);
    serve(options.control, app).await
}

async fn set_mode(State(proxy): State<Arc<FaultProxy>>, text: String) -> StatusCode {
    if proxy.set_mode(&text) {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::BAD_REQUEST
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, proxy: Arc<FaultProxy>) {
    while let Ok((client, _)) = listener.accept().await {
        let connection_id = proxy.next_connection_id.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(forward_connection(client, to, proxy.clone(), connection_id));
    }
}

/// Connects a client to the server and forwards data in both directions, until
/// both directions have ended or the mode becomes [`Mode::Disconnect`].
async fn forward_connection(
    client: TcpStream,
    to: SocketAddr,
    proxy: Arc<FaultProxy>,
    connection_id: u64,
) {
    if *proxy.mode.borrow() == Mode::Disconnect {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let mut mode = proxy.mode.subscribe();
    tokio::select! {
        () = async {
            tokio::join!(
                forward(client_rx, server_tx, &proxy, connection_id, false),
                forward(server_rx, client_tx, &proxy, connection_id, true),
            );
        } => {}
        _ = mode.wait_for(|mode| *mode == Mode::Disconnect) => {}
    }
}

/// Forwards data in one direction, as the mode allows.
async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    proxy: &FaultProxy,
    connection_id: u64,
    is_response: bool,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    let mut mode = proxy.mode.subscribe();
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            break;
        }
        if connection_id < proxy.stalled_below.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let may_forward =
            |mode: &Mode| !(*mode == Mode::Stall || (*mode == Mode::StallResponses && is_response));
        let current = match mode.wait_for(may_forward).await {
            Ok(mode) => *mode,
            Err(_) => return,
        };
        if let Mode::Delay(ms) = current {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
