//! A time limit for the heads of callers' requests.
//!
//! The HTTP library has one limit for a head and for the idle time before it.
//! Callers may keep a connection idle for much longer than they may take to
//! send a head, so the connection itself watches the heads.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

/// The answer to a head that takes too long: the request has not run.
const TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Whether a connection's request is being read beyond its head, or answered.
#[derive(Clone, Default)]
pub(crate) struct InRequest(Arc<AtomicBool>);

impl InRequest {
    /// The head has come whole. The request lasts until the guard goes.
    pub(crate) fn begin(&self) -> InRequestGuard {
        self.0.store(true, Ordering::Relaxed);
        InRequestGuard {
            in_request: self.clone(),
            kept: false,
        }
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Ends a request when it goes.
pub(crate) struct InRequestGuard {
    in_request: InRequest,
    kept: bool,
}

impl InRequestGuard {
    /// The request lasts as long as its connection: what follows is no head.
    pub(crate) fn keep(&mut self) {
        self.kept = true;
    }
}

impl Drop for InRequestGuard {
    fn drop(&mut self) {
        self.in_request.0.store(self.kept, Ordering::Relaxed);
    }
}

/// A caller's connection. When the first bytes of a head have come and the
/// rest does not in time, it answers 408 and ends.
pub(crate) struct LimitedHead {
    stream: TcpStream,
    limit: Duration,
    in_request: InRequest,
    /// Runs from the first bytes of a head to its end.
    timer: Option<Pin<Box<Sleep>>>,
}

impl LimitedHead {
    pub(crate) fn new(stream: TcpStream, limit: Duration, in_request: InRequest) -> Self {
        Self {
            stream,
            limit,
            in_request,
            timer: None,
        }
    }

    /// Whether the time for a head has run out.
    fn is_late(&mut self, cx: &mut Context<'_>) -> bool {
        if self.in_request.get() {
            self.timer = None;
        }
        let timer = self.timer.as_mut();
        timer.is_some_and(|timer| timer.as_mut().poll(cx).is_ready())
    }
}

impl AsyncRead for LimitedHead {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let me = &mut *self;
        if me.is_late(cx) {
            let answered = me.stream.try_write(TOO_SLOW);
            log::info!(answered = answered.is_ok(); "a head took too long");
            // The HTTP library takes this as the end of the connection.
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut me.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before && me.timer.is_none() && !me.in_request.get() {
            me.timer = Some(Box::pin(tokio::time::sleep(me.limit)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedHead {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
