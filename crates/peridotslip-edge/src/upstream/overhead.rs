//! A limit on the bytes of a response that are no content.
//!
//! The HTTP library limits what it stores of a response. Other parts, such as
//! informational heads and leading zeros of a chunk length, it skips for as long
//! as they arrive, so a wrapper around the connection limits them.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::local_health::LinkMeter;

/// Most bytes that a server may send without content: heads, the framing of
/// chunks and trailers, and what the HTTP library reads ahead.
const MAX_OVERHEAD_BYTES: usize = 256 * 1024;
/// Bytes that a server may send for each byte of content, which includes the
/// byte itself.
const BYTES_PER_CONTENT_BYTE: usize = 2;
/// Bytes that each piece of a chunked body counts beside those that were read:
/// passing a piece on takes processing time however short it is.
const BYTES_PER_PIECE: usize = 16;

/// The number of bytes that a server may send before its next content.
#[derive(Clone, Debug)]
pub(super) struct OverheadAllowance(Arc<AtomicUsize>);

impl OverheadAllowance {
    pub(super) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_OVERHEAD_BYTES)))
    }

    /// Resets the allowance for the response to another request.
    pub(super) fn reset(&self) {
        self.0.store(MAX_OVERHEAD_BYTES, Ordering::Relaxed);
    }

    /// Extends the allowance after `bytes` bytes of content.
    pub(super) fn extend(&self, bytes: usize) {
        self.update(|left| {
            let extended = left.saturating_add(bytes.saturating_mul(BYTES_PER_CONTENT_BYTE));
            Some(extended.min(MAX_OVERHEAD_BYTES))
        });
    }

    /// Extends the allowance after a piece of a chunked body with `bytes` bytes of
    /// content, or reduces it if the piece is short.
    pub(super) fn extend_by_piece(&self, bytes: usize) {
        self.extend(bytes);
        self.update(|left| Some(left.saturating_sub(BYTES_PER_PIECE)));
    }

    /// Takes `bytes` from the allowance. Returns `false` if fewer are left.
    fn withdraw(&self, bytes: usize) -> bool {
        self.update(|left| left.checked_sub(bytes))
    }

    fn update(&self, f: impl FnMut(usize) -> Option<usize>) -> bool {
        let updated = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, f);
        updated.is_ok()
    }
}

/// A connection to a server whose reads fail after too many bytes without
/// content.
pub(super) struct OverheadLimitedStream {
    stream: TcpStream,
    allowance: OverheadAllowance,
    meter: Arc<LinkMeter>,
}

impl OverheadLimitedStream {
    pub(super) fn new(
        stream: TcpStream,
        allowance: OverheadAllowance,
        meter: Arc<LinkMeter>,
    ) -> Self {
        Self {
            stream,
            allowance,
            meter,
        }
    }
}

impl AsyncRead for OverheadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        self.meter.record_received(read);
        if self.allowance.withdraw(read) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("the server sent more than {MAX_OVERHEAD_BYTES} bytes without content"),
        )))
    }
}

impl AsyncWrite for OverheadLimitedStream {
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
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.meter.record_sent(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
