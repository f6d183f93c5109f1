//! Buffers a response between a backend server and one or more callers.
//!
//! The task that runs a request writes to a [`ResponseBuffer`]; each caller's
//! connection reads it through a [`ResponseReader`]. A replayable response
//! can be read from its start by later duplicates. Other responses drop each
//! chunk once their only reader has it, and make the writer wait for a slow
//! reader.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use axum::http::{HeaderMap, StatusCode};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::problem::Rejection;

/// Unread chunks after which the writer waits for a slow reader.
const MAX_BACKLOG: usize = 64;

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Truncated,
}

#[derive(Default)]
struct State {
    head: Option<Result<ResponseHead, Rejection>>,
    chunks: VecDeque<Bytes>,
    /// Number of chunks dropped from the front.
    dropped: usize,
    /// Number of body bytes written, including dropped chunks.
    bytes: usize,
    end: Option<End>,
    /// The backend server to which the request was last sent.
    server: Option<String>,
    /// Number of readers that are not dropped.
    readers: usize,
}

/// A response under construction: the writer's side and the buffered chunks.
pub(crate) struct ResponseBuffer {
    replayable: bool,
    state: Mutex<State>,
    /// Notified when the head, a chunk or the end is written.
    written: Notify,
    /// Notified when a chunk is read, or a reader is created or dropped.
    read: Notify,
}

impl ResponseBuffer {
    /// Creates an empty response; a `replayable` one can be read from its
    /// start at any time.
    pub(crate) fn new(replayable: bool) -> Arc<Self> {
        Arc::new(Self {
            replayable,
            state: Mutex::default(),
            written: Notify::new(),
            read: Notify::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sets the head, or the rejection that replaces the whole response. A
    /// second call has no effect.
    pub(crate) fn set_head(&self, head: Result<ResponseHead, Rejection>) {
        let mut state = self.lock();
        if state.head.is_none() {
            state.end = head.is_err().then_some(End::Complete);
            state.head = Some(head);
        }
        drop(state);
        self.written.notify_waiters();
    }

    /// Records the backend server to which the request is about to be sent.
    pub(crate) fn set_server(&self, server: &str) {
        self.lock().server = Some(server.to_owned());
        self.written.notify_waiters();
    }

    /// Returns whether a head or a rejection is set.
    pub(crate) fn has_head(&self) -> bool {
        self.lock().head.is_some()
    }

    /// Appends a chunk of the body, after waiting for a slow reader.
    pub(crate) async fn push(&self, chunk: Bytes) {
        let mut chunk = chunk;
        loop {
            let read = self.read.notified();
            match self.try_push(chunk) {
                None => break,
                Some(rejected) => chunk = rejected,
            }
            read.await;
        }
        self.written.notify_waiters();
    }

    /// Appends a chunk, or returns it if the backlog is full.
    fn try_push(&self, chunk: Bytes) -> Option<Bytes> {
        let mut state = self.lock();
        if !self.replayable && state.chunks.len() >= MAX_BACKLOG && state.readers > 0 {
            return Some(chunk);
        }
        state.bytes += chunk.len();
        state.chunks.push_back(chunk);
        None
    }

    /// Ends the response. If `complete` is false, readers get [`Truncated`]
    /// after the last chunk.
    pub(crate) fn end(&self, complete: bool) {
        let end = if complete {
            End::Complete
        } else {
            End::Truncated
        };
        self.lock().end.get_or_insert(end);
        self.written.notify_waiters();
    }

    /// Returns the number of body bytes written so far.
    pub(crate) fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Waits until the response has had no reader for `grace`.
    pub(crate) async fn readers_gone(&self, grace: Duration) {
        loop {
            let read = self.read.notified();
            if self.lock().readers > 0 {
                read.await;
                continue;
            }
            if tokio::time::timeout(grace, read).await.is_err() && self.lock().readers == 0 {
                return;
            }
        }
    }

    /// Returns a reader that begins at the start of the response.
    pub(crate) fn reader(self: &Arc<Self>) -> ResponseReader {
        self.lock().readers += 1;
        self.read.notify_waiters();
        ResponseReader {
            response: self.clone(),
            next: 0,
        }
    }
}

/// One caller's read position in a [`ResponseBuffer`].
pub(crate) struct ResponseReader {
    response: Arc<ResponseBuffer>,
    /// Index of the next chunk, counted from the start of the response.
    next: usize,
}

/// The response ended early. The connection must fail, so that the caller
/// doesn't treat the received chunks as a complete response.
#[derive(Debug)]
pub(crate) struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response ended early; retry with the same idempotency key")
    }
}

impl std::error::Error for Truncated {}

impl ResponseReader {
    /// Waits for the head and returns it.
    ///
    /// # Errors
    ///
    /// The [`Rejection`] that replaces the response.
    pub(crate) async fn head(&self) -> Result<ResponseHead, Rejection> {
        loop {
            let written = self.response.written.notified();
            if let Some(head) = &self.response.lock().head {
                return head.clone();
            }
            written.await;
        }
    }

    /// Waits until the request is about to be sent to a backend server other
    /// than `previous`, and returns that server. Returns `None` once the
    /// response has a head.
    pub(crate) async fn next_server(&self, previous: Option<&str>) -> Option<String> {
        loop {
            let written = self.response.written.notified();
            {
                let state = self.response.lock();
                if state.head.is_some() {
                    return None;
                }
                if state.server.as_deref() != previous {
                    return state.server.clone();
                }
            }
            written.await;
        }
    }

    /// Waits for the next chunk; returns `None` after the last.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            let written = self.response.written.notified();
            {
                let mut state = self.response.lock();
                let at = self.next - state.dropped;
                if let Some(chunk) = state.chunks.get(at).cloned() {
                    self.next += 1;
                    if !self.response.replayable {
                        state.chunks.pop_front();
                        state.dropped += 1;
                        self.response.read.notify_waiters();
                    }
                    return Some(Ok(chunk));
                }
                match state.end {
                    Some(End::Complete) => return None,
                    Some(End::Truncated) => return Some(Err(Truncated)),
                    None => {}
                }
            }
            written.await;
        }
    }

    /// Returns the whole body if the response is complete and has at most one
    /// chunk.
    pub(crate) fn single_chunk(&self) -> Option<Bytes> {
        let state = self.response.lock();
        let complete = state.end == Some(End::Complete) && state.dropped == 0;
        match (complete, state.chunks.len()) {
            (true, 0) => Some(Bytes::new()),
            (true, 1) => state.chunks.front().cloned(),
            _ => None,
        }
    }
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        self.response.lock().readers -= 1;
        self.response.read.notify_waiters();
    }
}
