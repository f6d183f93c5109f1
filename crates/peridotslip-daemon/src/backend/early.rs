//! Answers that servers send before they have read the request.

use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Longest piece of a request that is taken to be sent at once, in bytes.
const MAX_PIECE_BYTES: usize = 32 * 1024;

/// The body of a request, which is sent in pieces and notes when the last one has been
/// taken to be sent.
pub(super) struct SentBody {
    rest: Bytes,
    taken: Arc<AtomicBool>,
}

impl SentBody {
    /// Returns the body and whether it has been taken.
    pub(super) fn new(content: Bytes) -> (Self, Arc<AtomicBool>) {
        let taken = Arc::new(AtomicBool::new(content.is_empty()));
        let body = Self {
            rest: content,
            taken: taken.clone(),
        };
        (body, taken)
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(MAX_PIECE_BYTES);
        let piece = self.rest.split_to(length);
        if self.rest.is_empty() {
            self.taken.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// The body of a response that ends with its connection. The end counts only once the
/// request has been sent.
pub(super) struct UnframedBody<B> {
    inner: B,
    request_taken: Arc<AtomicBool>,
}

impl<B> UnframedBody<B> {
    pub(super) fn new(inner: B, request_taken: Arc<AtomicBool>) -> Self {
        Self {
            inner,
            request_taken,
        }
    }
}

impl<B> Body for UnframedBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Error>,
{
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
            None if self.request_taken.load(Ordering::Relaxed) => None,
            None => {
                let reason = "server closed the connection before the end of the request";
                let err = io::Error::new(io::ErrorKind::UnexpectedEof, reason);
                Some(Err(err.into()))
            }
            Some(frame) => Some(frame.map_err(Into::into)),
        };
        Poll::Ready(frame)
    }
}
