//! An answer on its way from a backend server to one or more callers.
//!
//! The task that runs a request writes an [`Answer`]; each caller's response
//! reads it through a [`Follower`]. A kept answer can be followed from its
//! start by later duplicates; another one forgets what its only follower has
//! read and holds the writer back when the follower is slow.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use axum::http::{HeaderMap, StatusCode};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::problem::Rejection;

/// Parts that wait for a slow follower before the writer waits too.
const MAX_BACKLOG: usize = 64;

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
}

#[derive(Default)]
struct State {
    head: Option<Result<Head, Rejection>>,
    parts: VecDeque<Bytes>,
    /// Parts that were dropped from the front.
    dropped: usize,
    bytes: usize,
    end: Option<End>,
    followers: usize,
}

/// The writer's side, and what is kept.
pub(crate) struct Answer {
    keep: bool,
    state: Mutex<State>,
    written: Notify,
    read: Notify,
}

impl Answer {
    /// An empty answer; `keep` lets it be followed from the start later.
    pub(crate) fn new(keep: bool) -> Arc<Self> {
        Arc::new(Self {
            keep,
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

    /// Gives the head, or the refusal that stands for the whole answer.
    pub(crate) fn set_head(&self, head: Result<Head, Rejection>) {
        let mut state = self.lock();
        if state.head.is_none() {
            state.end = head.is_err().then_some(End::Whole);
            state.head = Some(head);
        }
        drop(state);
        self.written.notify_waiters();
    }

    /// Whether followers have been given a head.
    pub(crate) fn has_head(&self) -> bool {
        self.lock().head.is_some()
    }

    /// Adds a part of the body, waiting for a slow follower.
    pub(crate) async fn push(&self, part: Bytes) {
        let mut part = part;
        loop {
            let read = self.read.notified();
            match self.try_push(part) {
                None => break,
                Some(rejection) => part = rejection,
            }
            read.await;
        }
        self.written.notify_waiters();
    }

    /// Adds a part unless too many wait to be read; gives it back then.
    fn try_push(&self, part: Bytes) -> Option<Bytes> {
        let mut state = self.lock();
        if !self.keep && state.parts.len() >= MAX_BACKLOG && state.followers > 0 {
            return Some(part);
        }
        state.bytes += part.len();
        state.parts.push_back(part);
        None
    }

    /// Ends the answer; `whole` is false if callers must see it break.
    pub(crate) fn end(&self, whole: bool) {
        let end = if whole { End::Whole } else { End::Broken };
        self.lock().end.get_or_insert(end);
        self.written.notify_waiters();
    }

    /// Bytes of body so far.
    pub(crate) fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Returns once nobody has followed the answer for `grace`.
    pub(crate) async fn abandoned(&self, grace: Duration) {
        loop {
            let read = self.read.notified();
            if self.lock().followers > 0 {
                read.await;
                continue;
            }
            if tokio::time::timeout(grace, read).await.is_err() && self.lock().followers == 0 {
                return;
            }
        }
    }

    /// A reader from the start.
    pub(crate) fn follow(self: &Arc<Self>) -> Follower {
        self.lock().followers += 1;
        self.read.notify_waiters();
        Follower {
            answer: self.clone(),
            next: 0,
        }
    }
}

/// One caller's side.
pub(crate) struct Follower {
    answer: Arc<Answer>,
    next: usize,
}

/// The answer broke off: the caller must not take it for whole.
#[derive(Debug)]
pub(crate) struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off; retry with the same idempotency key")
    }
}

impl std::error::Error for Broken {}

impl Follower {
    /// Waits for the head.
    pub(crate) async fn head(&self) -> Result<Head, Rejection> {
        loop {
            let written = self.answer.written.notified();
            if let Some(head) = &self.answer.lock().head {
                return head.clone();
            }
            written.await;
        }
    }

    /// Waits for the next part; `None` after the last.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            let written = self.answer.written.notified();
            {
                let mut state = self.answer.lock();
                let at = self.next - state.dropped;
                if let Some(part) = state.parts.get(at).cloned() {
                    self.next += 1;
                    if !self.answer.keep {
                        state.parts.pop_front();
                        state.dropped += 1;
                        self.answer.read.notify_waiters();
                    }
                    return Some(Ok(part));
                }
                match state.end {
                    Some(End::Whole) => return None,
                    Some(End::Broken) => return Some(Err(Broken)),
                    None => {}
                }
            }
            written.await;
        }
    }

    /// The whole body, if it has ended and is in one part or none.
    pub(crate) fn single_part(&self) -> Option<Bytes> {
        let state = self.answer.lock();
        let whole = state.end == Some(End::Whole) && state.dropped == 0;
        match (whole, state.parts.len()) {
            (true, 0) => Some(Bytes::new()),
            (true, 1) => state.parts.front().cloned(),
            _ => None,
        }
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.answer.lock().followers -= 1;
        self.answer.read.notify_waiters();
    }
}
