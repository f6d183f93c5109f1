//! A time limit for the heads of callers' requests.
//!
//! The HTTP library has a single limit for a request head and the idle time
//! before it. A connection may stay idle for much longer than a head may take,
//! so a wrapper around the connection limits the time of a head.

use std::{
    future::Future,
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

/// Response to a head that exceeds the time limit. The request has not run.
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The number of requests whose heads are complete plus the number of those that
/// have ended: odd while a request is active.
#[derive(Clone, Default)]
pub(crate) struct RequestSequence(Arc<AtomicU64>);

impl RequestSequence {
    /// Marks a request whose head is complete as active until the guard is
    /// dropped.
    pub(crate) fn begin(&self) -> RequestActiveGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        RequestActiveGuard {
            sequence: self.clone(),
            until_close: false,
        }
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Marks the request as ended when dropped.
pub(crate) struct RequestActiveGuard {
    sequence: RequestSequence,
    until_close: bool,
}

impl RequestActiveGuard {
    /// Leaves the request active until the connection closes, because the bytes
    /// that follow are not a head.
    pub(crate) fn hold_until_close(&mut self) {
        self.until_close = true;
    }
}

impl Drop for RequestActiveGuard {
    fn drop(&mut self) {
        if !self.until_close {
            self.sequence.0.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The timer of one head.
struct HeadTimer {
    sleep: Pin<Box<Sleep>>,
    /// The sequence at the first bytes of the head. It changes at the head's end.
    sequence: u64,
}

/// A caller's connection that responds with 408 and ends when a head is not
/// complete in time after its first bytes.
pub(crate) struct HeaderTimeoutStream {
    stream: TcpStream,
    limit: Duration,
    sequence: RequestSequence,
    /// Set from the first bytes of a head.
    timer: Option<HeadTimer>,
}

impl HeaderTimeoutStream {
    pub(crate) fn new(stream: TcpStream, limit: Duration, sequence: RequestSequence) -> Self {
        Self {
            stream,
            limit,
            sequence,
            timer: None,
        }
    }

    /// Returns whether the time limit of the current head has expired.
    fn is_head_late(&mut self, cx: &mut Context<'_>) -> bool {
        let sequence = self.sequence.get();
        if self
            .timer
            .as_ref()
            .is_some_and(|timer| timer.sequence != sequence)
        {
            self.timer = None;
        }
        let timer = self.timer.as_mut();
        timer.is_some_and(|timer| timer.sleep.as_mut().poll(cx).is_ready())
    }

    /// Starts the timer of a head when its first bytes have been read.
    fn record_bytes(&mut self) {
        let sequence = self.sequence.get();
        let timed = self.timer.as_ref().map(|timer| timer.sequence);
        let request_active = sequence % 2 == 1;
        if timed != Some(sequence) && !request_active {
            let sleep = Box::pin(tokio::time::sleep(self.limit));
            self.timer = Some(HeadTimer { sleep, sequence });
        }
    }

    /// Returns whether the socket holds bytes or an error that the runtime has not
    /// reported yet. A read that is pending is woken for them.
    fn has_unread_bytes(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        !peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for HeaderTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buf.filled().len();
        // Bytes may be read later than they arrived, so the limit applies only when
        // none are left.
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        if read.is_pending() && this.is_head_late(cx) && !this.has_unread_bytes() {
            let written = this.stream.try_write(REQUEST_TIMEOUT);
            log::info!(answered = written.is_ok(); "request head timed out; closing the connection");
            // The HTTP library treats an empty read as the end of the connection.
            return Poll::Ready(Ok(()));
        }
        ready!(read)?;
        if buf.filled().len() > before {
            this.record_bytes();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeaderTimeoutStream {
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
