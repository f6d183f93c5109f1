//! The HTTP server shared by the fake services.

use std::{net::SocketAddr, process::ExitCode};

use axum::Router;

/// An error that ends a sub-command.
pub(crate) type Error = Box<dyn std::error::Error + Send + Sync>;

/// The result of a sub-command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Serves `app` on `listen` until the process receives SIGTERM or SIGINT.
pub(crate) async fn serve(listen: SocketAddr, app: Router) -> Result<ExitCode> {
    let listener = tokio::net::TcpListener::bind(listen).await?;
    println!("listening on {}", listener.local_addr()?);
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        served = axum::serve(TcpNoDelay(listener), app) => served?,
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(ExitCode::SUCCESS)
}

/// A listener that disables Nagle's algorithm on each connection.
struct TcpNoDelay(tokio::net::TcpListener);

impl axum::serve::Listener for TcpNoDelay {
    type Io = tokio::net::TcpStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        loop {
            if let Ok((stream, addr)) = self.0.accept().await {
                let _ = stream.set_nodelay(true);
                return (stream, addr);
            }
        }
    }

    fn local_addr(&self) -> std::io::Result<Self::Addr> {
        self.0.local_addr()
    }
}
