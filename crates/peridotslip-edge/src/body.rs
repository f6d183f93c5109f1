//! Bodies of answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::{Either, Full};
use quick_error::quick_error;
use tokio::sync::mpsc;

/// Events that wait for a slow caller before its server is held up.
const QUEUED_EVENTS: usize = 4;

quick_error! {
    /// The answer ends before it is whole.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Cut {
        /// The server broke off and nothing can go on in its place.
        Broken {
            display("the answer broke off; send the request again if it may be repeated")
        }
    }
}

/// A body that is whole, or comes by and by.
pub(crate) type Body = Either<Full<Bytes>, Streamed>;

/// A body whose parts are sent by a task. An error closes the connection
/// without the end mark, so that the answer doesn't look whole.
#[derive(Debug)]
pub(crate) struct Streamed(mpsc::Receiver<Result<Bytes, Cut>>);

/// The sending side of a [`Streamed`] body.
pub(crate) type Parts = mpsc::Sender<Result<Bytes, Cut>>;

/// A streamed body and its sending side.
pub(crate) fn streamed() -> (Parts, Body) {
    let (tx, rx) = mpsc::channel(QUEUED_EVENTS);
    (tx, Either::Right(Streamed(rx)))
}

/// A whole body.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Either::Left(Full::new(bytes))
}

impl http_body::Body for Streamed {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.0
            .poll_recv(cx)
            .map(|part| part.map(|part| part.map(Frame::data)))
    }
}
