//! A TCP relay that cuts, freezes and delays, to stand for a faulty network.
//!
//! `PUT /mode` on the control address takes one word: `pass`, `cut` (close
//! and refuse), `freeze` (connections go silent), `half` (nothing comes back)
//! or `delay:MS`. `freeze-open` freezes the connections that are open now and
//! passes new ones.

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

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Where connections go
    #[bpaf(argument("IP:PORT"))]
    to: SocketAddr,
    /// Address that takes `PUT /mode`
    #[bpaf(argument("IP:PORT"))]
    control: SocketAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Pass,
    Cut,
    Freeze,
    Half,
    Delay(u64),
}

struct Relay {
    mode: watch::Sender<Mode>,
    /// Connections with a lower number are frozen for good.
    frozen_below: AtomicU64,
    next: AtomicU64,
}

impl Relay {
    fn set(&self, word: &str) -> bool {
        let mode = match word.trim() {
            "pass" => Mode::Pass,
            "cut" => Mode::Cut,
            "freeze" => Mode::Freeze,
            "half" => Mode::Half,
            "freeze-open" => {
                let next = self.next.load(Ordering::SeqCst);
                self.frozen_below.store(next, Ordering::SeqCst);
                Mode::Pass
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

/// Runs the relay.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let relay = Arc::new(Relay {
        mode: watch::Sender::new(Mode::Pass),
        frozen_below: AtomicU64::new(0),
        next: AtomicU64::new(0),
    });
    let listener = TcpListener::bind(options.listen).await?;
    tokio::spawn(accept(listener, options.to, relay.clone()));
    let app = Router::new()
        .route("/mode", put(set_mode))
        .with_state(relay);
    serve(options.control, app).await
}

async fn set_mode(State(relay): State<Arc<Relay>>, word: String) -> StatusCode {
    if relay.set(&word) {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::BAD_REQUEST
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, relay: Arc<Relay>) {
    while let Ok((near, _)) = listener.accept().await {
        let number = relay.next.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(connect(near, to, relay.clone(), number));
    }
}

async fn connect(near: TcpStream, to: SocketAddr, relay: Arc<Relay>, number: u64) {
    if *relay.mode.borrow() == Mode::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let mut mode = relay.mode.subscribe();
    tokio::select! {
        () = async {
            tokio::join!(
                pump(near_rx, far_tx, &relay, number, false),
                pump(far_rx, near_tx, &relay, number, true),
            );
        } => {}
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    relay: &Relay,
    number: u64,
    back: bool,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    let mut mode = relay.mode.subscribe();
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            break;
        }
        if number < relay.frozen_below.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let passes = |mode: &Mode| !(*mode == Mode::Freeze || (*mode == Mode::Half && back));
        let now = match mode.wait_for(passes).await {
            Ok(mode) => *mode,
            Err(_) => return,
        };
        if let Mode::Delay(ms) = now {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
