//! Limits for idle callers' connections and for the heads of requests.
//!
//! The HTTP library has a single time limit for a request head and the idle time
//! before it, and its limits are those that were in force when the connection was
//! opened. A wrapper around the connection applies each limit as it is now.

use std::{
    future::Future,
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use peridotslip::held_connections::ConnectionPhase;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

use crate::{
    caller_connections::{CallerConnection, LONG_RECEIVE_BUFFER_BYTES, RECEIVE_BUFFER_BYTES},
    context::OpenRequestGuard,
    local_health::LinkMeter,
};

/// Longest time for which the rest of a request is discarded after its response, in
/// milliseconds.
const DISCARD_TIMEOUT_MS: u64 = 2_000;
/// Bytes that are discarded at a time.
const DISCARD_CHUNK_BYTES: usize = 4 * 1024;
/// Response to a head that exceeds the time limit. The request has not run.
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Response to a head whose connection gives way to others. The request has not run.
const CONNECTIONS_SHORT: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";

/// Most bytes that are read at a time. The buffer of the HTTP library doubles for each
/// read that fills it, and this is less than its first size.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Response to a head that exceeds the size limit. The request has not run.
const HEAD_TOO_LONG: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The progress of the requests of a connection.
#[derive(Clone, Default)]
pub(crate) struct RequestSequence(Arc<RequestState>);

#[derive(Default)]
struct RequestState {
    /// The number of requests whose heads are complete plus the number of those that
    /// have ended: odd while a request is active.
    number: AtomicU64,
    /// The last request, until its response has been sent.
    unsent: Mutex<Option<OpenRequestGuard>>,
}

impl RequestSequence {
    /// Marks a request whose head is complete as active until the guard is dropped,
    /// and holds `open_guard` until the response has been sent.
    pub(crate) fn begin(&self, open_guard: OpenRequestGuard) -> RequestActiveGuard {
        self.0.number.fetch_add(1, Ordering::Relaxed);
        RequestActiveGuard {
            sequence: self.clone(),
            until_close: false,
            open_guard: Some(open_guard),
        }
    }

    fn get(&self) -> u64 {
        self.0.number.load(Ordering::Relaxed)
    }

    fn set_unsent(&self, open_guard: Option<OpenRequestGuard>) {
        let unsent = self.0.unsent.lock();
        *unsent.unwrap_or_else(PoisonError::into_inner) = open_guard;
    }
}

/// Marks the request as ended when dropped.
pub(crate) struct RequestActiveGuard {
    sequence: RequestSequence,
    until_close: bool,
    open_guard: Option<OpenRequestGuard>,
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
        self.sequence.set_unsent(self.open_guard.take());
        if !self.until_close {
            self.sequence.0.number.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The limits of callers' connections. All may change while a connection is open.
pub(crate) trait ConnectionLimits: Send + Sync {
    /// Returns the longest time without a byte before a request.
    fn idle(&self) -> Duration;

    /// Returns the longest time from the first bytes of a head to its end.
    fn head(&self) -> Duration;

    /// Returns the most bytes of a head.
    fn head_bytes(&self) -> usize;
}

/// What a connection without an active request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Awaited {
    /// The first bytes of a head.
    Request,
    /// The rest of a head.
    RestOfHead,
}

/// A caller's connection that ends when it is idle for too long. If a head is not
/// complete in time, the connection responds with 408 before it ends.
///
/// A limit that is raised applies to the current wait, and one that is lowered to
/// the next: callers may know only one of the two limits.
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limits: Arc<dyn ConnectionLimits>,
    sequence: RequestSequence,
    meter: Arc<LinkMeter>,
    connection: CallerConnection,
    awaited: Awaited,
    /// The sequence at which the wait began. It changes at the end of the head.
    awaited_at: u64,
    /// Bytes of the current head that have been read.
    head_bytes: usize,
    since: Instant,
    /// Bytes of the current request that have been read after its head's beginning.
    request_bytes: usize,
    has_long_buffer: bool,
    /// Expires at the time limit of the wait.
    timer: Pin<Box<Sleep>>,
    /// Set when the connection ends before all that the caller sends has been read.
    discard_until: Option<Instant>,
}

impl LimitedStream {
    pub(crate) fn new(
        stream: TcpStream,
        limits: Arc<dyn ConnectionLimits>,
        sequence: RequestSequence,
        meter: Arc<LinkMeter>,
        connection: CallerConnection,
    ) -> Self {
        let timer = Box::pin(tokio::time::sleep(limits.idle()));
        Self {
            stream,
            limits,
            awaited: Awaited::Request,
            awaited_at: sequence.get(),
            sequence,
            meter,
            connection,
            head_bytes: 0,
            request_bytes: 0,
            has_long_buffer: false,
            since: Instant::now(),
            timer,
            discard_until: None,
        }
    }

    fn limit(&self) -> Duration {
        match self.awaited {
            Awaited::Request => self.limits.idle(),
            Awaited::RestOfHead => self.limits.head(),
        }
    }

    fn begin_wait(&mut self, awaited: Awaited) {
        self.awaited = awaited;
        self.head_bytes = 0;
        self.request_bytes = 0;
        self.connection.set_phase(match awaited {
            Awaited::Request => ConnectionPhase::Idle,
            Awaited::RestOfHead => ConnectionPhase::Head,
        });
        self.since = Instant::now();
        let until = self.since + self.limit();
        self.timer.as_mut().reset(until);
    }

    /// Returns whether the connection waits for a request or the rest of a head.
    fn is_waiting(&self) -> bool {
        self.sequence.get() == self.awaited_at
    }

    /// Returns whether a head is incomplete and as long as the limit permits.
    fn is_head_too_long(&self) -> bool {
        self.awaited == Awaited::RestOfHead
            && self.is_waiting()
            && self.head_bytes >= self.limits.head_bytes()
    }

    /// Waits until the time limit of the current wait has expired.
    fn poll_limit(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.is_waiting() {
            return Poll::Pending;
        }
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let until = self.since + self.limit();
            if until <= self.timer.deadline() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(until);
        }
    }

    /// Returns whether the socket holds bytes or an error that the runtime has not
    /// reported yet. A read that is pending is woken for them.
    fn has_unread_bytes(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        !peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Discards what the caller still sends until it closes the connection. A
    /// connection that is closed with unread bytes is reset, and the caller may lose
    /// the response.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut chunk = [0; DISCARD_CHUNK_BYTES];
        if self.connection.poll_gives_way(cx) {
            return Poll::Ready(Ok(()));
        }
        while self
            .discard_until
            .is_some_and(|until| Instant::now() < until)
        {
            let mut buf = ReadBuf::new(&mut chunk);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.meter.record_received(buf.filled().len());
                }
                Poll::Ready(ended) => return Poll::Ready(ended),
                Poll::Pending => return self.timer.as_mut().poll(cx).map(Ok),
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Returns whether the connection, which waits for a request, is closed in favour of
    /// others. Responds to a head that has begun.
    fn gives_way(&self, cx: &Context<'_>) -> bool {
        if !self.is_waiting() || !self.connection.poll_gives_way(cx) || self.has_unread_bytes() {
            return false;
        }
        if self.awaited == Awaited::RestOfHead {
            let written = self.stream.try_write(CONNECTIONS_SHORT);
            log::debug!(answered = written.is_ok(); "connections are short; giving up a request head");
        }
        true
    }

    /// Reads at most [`MAX_READ_BYTES`].
    fn poll_read_some(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(()))
    }

    /// Lengthens the receive buffer for a long request.
    fn lengthen_receive_buffer(&mut self) {
        self.has_long_buffer = self.connection.lengthen_receive_buffer();
        if !self.has_long_buffer {
            return;
        }
        let socket = SockRef::from(&self.stream);
        if let Err(err) = socket.set_recv_buffer_size(LONG_RECEIVE_BUFFER_BYTES) {
            log::debug!("can't lengthen the receive buffer of a caller's connection: {err}");
        }
    }

    /// Responds to the head that is late, if one has begun.
    fn record_expiry(&self) {
        match self.awaited {
            Awaited::Request => log::debug!("a caller's connection was idle; closing it"),
            Awaited::RestOfHead => {
                let written = self.stream.try_write(REQUEST_TIMEOUT);
                log::info!(answered = written.is_ok(); "request head timed out; closing the connection");
            }
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buf.filled().len();
        if this.is_head_too_long() {
            let written = this.stream.try_write(HEAD_TOO_LONG);
            log::info!(answered = written.is_ok(); "request head is too long; closing the connection");
            // The HTTP library treats an empty read as the end of the connection.
            return Poll::Ready(Ok(()));
        }
        // Bytes may be read later than they arrived, so the limit applies only when
        // none are left.
        let read = this.poll_read_some(cx, buf);
        if read.is_pending() && this.gives_way(cx) {
            return Poll::Ready(Ok(()));
        }
        if read.is_pending() && this.poll_limit(cx).is_ready() && !this.has_unread_bytes() {
            this.record_expiry();
            // The HTTP library treats an empty read as the end of the connection.
            return Poll::Ready(Ok(()));
        }
        ready!(read)?;
        this.meter.record_received(buf.filled().len() - before);
        // A caller may send empty lines before a head (RFC 9112, 2.2).
        let head_begins = buf.filled()[before..]
            .iter()
            .any(|byte| !matches!(byte, b'\r' | b'\n'));
        if head_begins && this.is_waiting() && this.awaited == Awaited::Request {
            this.begin_wait(Awaited::RestOfHead);
        }
        let received = buf.filled().len() - before;
        if this.awaited == Awaited::RestOfHead {
            if this.is_waiting() {
                this.head_bytes += received;
            }
            this.request_bytes += received;
            this.connection
                .record_received(this.head_bytes, this.request_bytes);
        }
        if this.request_bytes > RECEIVE_BUFFER_BYTES && !this.has_long_buffer {
            this.lengthen_receive_buffer();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.meter.record_sent(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        this.sequence.set_unsent(None);
        let sequence = this.sequence.get();
        let request_active = sequence % 2 == 1;
        if !request_active && !this.is_waiting() {
            // The caller has got the complete response.
            this.awaited_at = sequence;
            this.begin_wait(Awaited::Request);
            // The HTTP library may not read again before it is woken: by the timer, or
            // because the connection gives way.
            let gives_way = this.connection.poll_gives_way(cx);
            if this.poll_limit(cx).is_ready() || gives_way {
                cx.waker().wake_by_ref();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.discard_until.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            let idle = this.is_waiting() && this.awaited == Awaited::Request;
            if idle {
                return Poll::Ready(Ok(()));
            }
            let until = Instant::now() + Duration::from_millis(DISCARD_TIMEOUT_MS);
            this.timer.as_mut().reset(until);
            this.discard_until = Some(until);
            this.connection.set_phase(ConnectionPhase::Closing);
        }
        this.poll_discard(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.meter.record_sent(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
