//! Bodies of responses to callers.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::{Either, Full};
use peridotslip::{
    memory::{MemoryPool, MemoryShare},
    slow_readers::{HeldResponse, gives_way_to_stream, longest_unread},
};
use quick_error::quick_error;
use tokio::sync::Notify;

use crate::clock::Clock;

/// Events queued for a caller without a share of the memory that all responses share:
/// a caller that reads has no more.
const PRIVATE_EVENTS: usize = 4;
/// Longest content of an event that holds no shared memory itself, in bytes.
const PRIVATE_EVENT_BYTES: usize = 8 * 1024;
/// Memory that a queued event takes beside its content, in bytes.
const EVENT_OVERHEAD_BYTES: usize = 128;

quick_error! {
    /// Why a response body ends before it is complete.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The server's response ended early and no other server can continue
        /// it, or the caller read too slowly.
        Truncated {
            display("the response is incomplete; send the request again if it is safe to retry")
        }
    }
}

/// A response body: a buffer, or chunks sent by a task.
pub(crate) type Body = Either<Full<Bytes>, ChannelBody>;

/// Events that wait for a caller.
struct Queue {
    /// Events, each with the shared memory that it takes, in bytes.
    events: VecDeque<(Bytes, usize)>,
    share: MemoryShare,
    last_read_ms: u64,
    /// How the body ends after the events; `None` while the sender may send more.
    end: Option<Result<(), BodyError>>,
    /// Whether the HTTP library has dropped the body.
    dropped: bool,
    /// Whether the response was broken off in favour of others.
    gave_way: bool,
    waker: Option<Waker>,
}

impl Queue {
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn is_closed(&self) -> bool {
        self.dropped || self.gave_way
    }

    fn closed(&self) -> Closed {
        if self.gave_way {
            Closed::GaveWay
        } else {
            Closed::CallerLeft
        }
    }

    /// Returns the shared memory that the queue and long events hold, in bytes.
    fn held_bytes(&self) -> usize {
        let private = self.events.iter().filter(|(_, bytes)| *bytes == 0);
        let long = private.map(|(event, _)| event.len().saturating_sub(PRIVATE_EVENT_BYTES));
        self.share.held() + long.sum::<usize>()
    }

    /// Adds an event. Returns it if there is no memory for it.
    fn push(&mut self, event: Bytes, now_ms: u64) -> Result<(), Bytes> {
        if self.events.is_empty() {
            // The caller has read all there was.
            self.last_read_ms = now_ms;
        }
        let mut bytes = 0;
        if self.events.len() >= PRIVATE_EVENTS {
            bytes = event.len() + EVENT_OVERHEAD_BYTES;
            if self.share.resize(self.share.held() + bytes).is_err() {
                return Err(event);
            }
        }
        self.events.push_back((event, bytes));
        self.wake();
        Ok(())
    }

    /// Breaks the response off.
    fn give_way(&mut self) {
        self.gave_way = true;
        self.events.clear();
        drop(self.share.split(usize::MAX));
        self.end = Some(Err(BodyError::Truncated));
        self.wake();
    }
}

/// A queue and signals for its sender.
struct Channel {
    queue: Mutex<Queue>,
    /// An event was read, or nothing more can be sent.
    read: Notify,
    /// Nothing more can be sent.
    closed: Notify,
}

impl Channel {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_closed(&self) {
        self.closed.notify_waiters();
        self.read.notify_waiters();
    }
}

/// The responses that are streamed to callers, and the memory that they share with all
/// others.
pub(crate) struct StreamedResponses {
    pool: MemoryPool,
    clock: Clock,
    channels: Mutex<Vec<Weak<Channel>>>,
}

impl StreamedResponses {
    pub(crate) fn new(pool: MemoryPool, clock: Clock) -> Self {
        Self {
            pool,
            clock,
            channels: Mutex::default(),
        }
    }

    /// Returns a body and the sender of its chunks.
    pub(crate) fn channel(self: &Arc<Self>) -> (BodySender, Body) {
        let channel = Arc::new(Channel {
            queue: Mutex::new(Queue {
                events: VecDeque::new(),
                share: self.pool.share(),
                last_read_ms: self.clock.now_ms(),
                end: None,
                dropped: false,
                gave_way: false,
                waker: None,
            }),
            read: Notify::new(),
            closed: Notify::new(),
        });
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if channels.len() == channels.capacity() {
            channels.retain(|channel| channel.strong_count() > 0);
        }
        channels.push(Arc::downgrade(&channel));
        let tx = BodySender {
            channel: channel.clone(),
            responses: self.clone(),
        };
        let clock = self.clock;
        (tx, Either::Right(ChannelBody { channel, clock }))
    }

    /// Breaks off the response whose caller has not read for longest. Returns whether
    /// that has freed memory.
    pub(crate) fn free_memory(&self) -> bool {
        self.break_off(longest_unread)
    }

    /// Breaks off the response that gives way to a stream whose caller last read at
    /// `last_read_ms`. Returns whether that has freed memory.
    fn free_memory_for_stream(&self, last_read_ms: u64) -> bool {
        self.break_off(|held, now_ms| gives_way_to_stream(last_read_ms, held, now_ms))
    }

    /// Breaks off the response that `select` returns for all responses and the present
    /// time. Returns whether there is one.
    fn break_off(&self, select: impl FnOnce(Vec<HeldResponse>, u64) -> Option<usize>) -> bool {
        let now_ms = self.clock.now_ms();
        let channels: Vec<Arc<Channel>> = {
            let channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
            channels.iter().filter_map(Weak::upgrade).collect()
        };
        let held = channels.iter().map(|channel| {
            let queue = channel.lock();
            HeldResponse {
                held_bytes: queue.held_bytes(),
                last_read_ms: queue.last_read_ms,
            }
        });
        let Some(longest) = select(held.collect(), now_ms) else {
            return false;
        };
        let longest = &channels[longest];
        let mut queue = longest.lock();
        let (bytes, unread_ms) = (
            queue.held_bytes(),
            now_ms.saturating_sub(queue.last_read_ms),
        );
        queue.give_way();
        drop(queue);
        longest.notify_closed();
        log::warn!(bytes, unread_ms; "memory for responses is short; breaking off the one that was not read for longest");
        true
    }
}

/// A body whose chunks are sent by a task. An error closes the connection
/// without the final chunk, so that the caller sees an incomplete response.
pub(crate) struct ChannelBody {
    channel: Arc<Channel>,
    clock: Clock,
}

/// The sending side of a [`ChannelBody`]. Dropping it ends the body.
pub(crate) struct BodySender {
    channel: Arc<Channel>,
    responses: Arc<StreamedResponses>,
}

/// Why a [`BodySender`] can't send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closed {
    /// The caller has closed the connection.
    CallerLeft,
    /// The response was broken off, because the caller read too slowly and memory was
    /// short.
    GaveWay,
}

impl Closed {
    /// Returns the label in the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller left",
            Self::GaveWay => "caller too slow",
        }
    }
}

impl BodySender {
    /// Queues an event. If there is no memory for it, breaks off responses that are not
    /// read if this one is, or waits until the caller has read.
    pub(crate) async fn send(&self, mut event: Bytes) -> Result<(), Closed> {
        loop {
            let read = self.channel.read.notified();
            tokio::pin!(read);
            read.as_mut().enable();
            let last_read_ms = {
                let mut queue = self.channel.lock();
                if queue.is_closed() {
                    return Err(queue.closed());
                }
                match queue.push(event, self.responses.clock.now_ms()) {
                    Ok(()) => return Ok(()),
                    Err(returned) => event = returned,
                }
                queue.last_read_ms
            };
            if !self.responses.free_memory_for_stream(last_read_ms) {
                read.await;
            }
        }
    }

    /// Ends the body with an error after the queued events.
    pub(crate) fn abort(&self) {
        let mut queue = self.channel.lock();
        queue.end.get_or_insert(Err(BodyError::Truncated));
        queue.wake();
    }

    /// Waits until nothing more can be sent.
    pub(crate) async fn closed(&self) -> Closed {
        loop {
            let closed = self.channel.closed.notified();
            tokio::pin!(closed);
            closed.as_mut().enable();
            {
                let queue = self.channel.lock();
                if queue.is_closed() {
                    return queue.closed();
                }
            }
            closed.await;
        }
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        let mut queue = self.channel.lock();
        queue.end.get_or_insert(Ok(()));
        queue.wake();
    }
}

impl Drop for ChannelBody {
    fn drop(&mut self) {
        let mut queue = self.channel.lock();
        queue.dropped = true;
        queue.events.clear();
        drop(queue.share.split(usize::MAX));
        drop(queue);
        self.channel.notify_closed();
    }
}

/// Returns a body that holds `bytes`.
pub(crate) fn full(bytes: Bytes) -> Body {
    Either::Left(Full::new(bytes))
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut queue = self.channel.lock();
        if let Some((event, bytes)) = queue.events.pop_front() {
            drop(queue.share.split(bytes));
            queue.last_read_ms = self.clock.now_ms();
            drop(queue);
            self.channel.read.notify_waiters();
            return Poll::Ready(Some(Ok(Frame::data(event))));
        }
        match queue.end {
            Some(Ok(())) => Poll::Ready(None),
            Some(Err(err)) => Poll::Ready(Some(Err(err))),
            None => {
                queue.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

/// A response body that holds a guard until the HTTP library has taken all of
/// the body.
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
