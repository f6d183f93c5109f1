//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::{Either, Full};
use quick_error::quick_error;
use tokio::sync::mpsc;

/// Events queued for a slow caller before the router stops reading from the
/// server.
const QUEUED_EVENTS: usize = 4;

quick_error! {
    /// Why a response body ends before it is complete.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The server's response ended early and no other server can continue
        /// it.
        Truncated {
            display("the response is incomplete; send the request again if it is safe to retry")
        }
    }
}

/// A response body: a buffer, or chunks sent by a task.
pub(crate) type Body = Either<Full<Bytes>, ChannelBody>;

/// A body whose chunks are sent by a task. An error closes the connection
/// without the final chunk, so that the caller sees an incomplete response.
#[derive(Debug)]
pub(crate) struct ChannelBody(mpsc::Receiver<Result<Bytes, BodyError>>);

/// The sending side of a [`ChannelBody`].
pub(crate) type BodySender = mpsc::Sender<Result<Bytes, BodyError>>;

/// Returns a body and the sender of its chunks.
pub(crate) fn channel() -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(QUEUED_EVENTS);
    (tx, Either::Right(ChannelBody(rx)))
}

/// Returns a body that holds `bytes`.
pub(crate) fn full(bytes: Bytes) -> Body {
    Either::Left(Full::new(bytes))
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.0
            .poll_recv(cx)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// A response body that holds a guard until the HTTP library has taken all of
/// the body.
#[derive(Debug)]
pub(crate) struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(crate) fn new(body: Body, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> http_body::Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
