//! The open connections of callers, and the memory and descriptors that they share.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Waker},
    time::Duration,
};

use peridotslip::held_connections::{ConnectionPhase, HeldConnection, MIN_STALL_MS, select_closed};
use tokio::sync::Notify;

use crate::{clock::Clock, metrics::Metrics};

/// Receive buffer of a connection, in bytes. Bytes that have arrived and were not read
/// count as memory of the process.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Receive buffer of a connection with a long body while memory suffices, in bytes.
pub(crate) const LONG_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Memory of a connection beside its receive buffer: tasks and the buffer of the HTTP
/// library, in bytes.
const CONNECTION_BYTES: usize = 17 * 1024;
/// Memory of a request beside its head and its body, in bytes.
const REQUEST_BYTES: usize = 6 * 1024;
/// Bytes beyond a request from which on another one follows it: the length of a request is
/// known but for optional white space.
const PIPELINED_BYTES: usize = 256;
/// A longer receive buffer takes at most one of so many parts of the free memory.
const RECEIVE_BUFFER_PARTS: usize = 16;
/// When connections are short, one of so many is closed.
const CLOSED_PARTS: usize = 32;
/// Longest wait for room for a new connection, in milliseconds: until incomplete requests
/// have stalled for long enough, and connections that give way are closed.
const ROOM_TIMEOUT_MS: u64 = MIN_STALL_MS + 200;
/// Interval between two decisions during the wait, in milliseconds.
const ROOM_INTERVAL_MS: u64 = 50;
/// Least time between two log lines about connections that were closed, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The open connections of all callers.
pub(crate) struct CallerConnections {
    open: Mutex<OpenConnections>,
    /// A connection was removed.
    removed: Notify,
    clock: Clock,
    metrics: Arc<Metrics>,
}

struct OpenConnections {
    /// Most connections.
    limit: usize,
    /// Memory for connections, in bytes.
    capacity: usize,
    used: usize,
    next_id: u64,
    connections: HashMap<u64, Arc<Held>>,
    logged_ms: Option<u64>,
    closed_since_log: usize,
}

/// One connection, as all of them are known.
struct Held {
    state: Mutex<ConnectionState>,
    /// The connection gives way while it waits for the body of a request.
    gave_way: Notify,
}

struct ConnectionState {
    held: HeldConnection,
    /// Memory that is counted for the connection, in bytes.
    counted_bytes: usize,
    receive_buffer: usize,
    /// Bytes of the current request's head.
    head_bytes: usize,
    /// Bytes that have been read since the current request began.
    request_bytes: usize,
    /// Whether the caller has sent more than the open request, which stays unread.
    has_pipelined: bool,
    gives_way: bool,
    waker: Option<Waker>,
}

impl ConnectionState {
    /// Returns the memory that the connection needs, in bytes.
    fn needed_bytes(&self) -> usize {
        let request = match self.held.phase {
            ConnectionPhase::Body | ConnectionPhase::Response => REQUEST_BYTES,
            _ => 0,
        };
        let unread = if self.held.phase == ConnectionPhase::Body || self.has_pipelined {
            self.receive_buffer
        } else {
            0
        };
        CONNECTION_BYTES + request + unread + self.head_bytes
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Held {
    fn give_way(&self) {
        let mut state = lock(&self.state);
        state.gives_way = true;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        // A request that is being received.
        if matches!(
            state.held.phase,
            ConnectionPhase::Body | ConnectionPhase::Closing
        ) {
            self.gave_way.notify_one();
        }
    }
}

impl OpenConnections {
    fn has_room(&self) -> bool {
        self.connections.len() < self.limit && self.used + CONNECTION_BYTES <= self.capacity
    }

    /// Returns whether connections give way once their requests have stalled.
    fn has_incomplete_requests(&self) -> bool {
        self.connections
            .values()
            .any(|connection| lock(&connection.state).held.phase == ConnectionPhase::Body)
    }

    /// Lets connections give way, and returns how many do by now.
    fn make_room(&mut self, now_ms: u64, metrics: &Metrics) -> usize {
        let (yielding, others): (Vec<_>, Vec<_>) = self
            .connections
            .values()
            .partition(|connection| lock(&connection.state).gives_way);
        let count = (self.connections.len() / CLOSED_PARTS).max(1);
        if yielding.len() >= count {
            return yielding.len();
        }
        let held = others.iter().map(|connection| lock(&connection.state).held);
        let selected = select_closed(held, count - yielding.len(), now_ms);
        for index in &selected {
            others[*index].give_way();
        }
        let total = yielding.len() + selected.len();
        metrics.record_closed_connections(selected.len());
        self.closed_since_log += selected.len();
        if self.closed_since_log > 0 && self.may_log(now_ms) {
            let (open, closed) = (self.connections.len(), self.closed_since_log);
            log::warn!(open, closed, used_bytes = self.used; "callers' connections are short; closing those that were unused for longest");
            self.closed_since_log = 0;
        }
        total
    }

    /// Returns whether a line may be logged now, and counts it.
    fn may_log(&mut self, now_ms: u64) -> bool {
        let logged_ms = self.logged_ms;
        let may_log = logged_ms.is_none_or(|logged_ms| now_ms >= logged_ms + LOG_INTERVAL_MS);
        if may_log {
            self.logged_ms = Some(now_ms);
        }
        may_log
    }
}

impl CallerConnections {
    /// Returns no connections, with room for `limit` of them in `capacity` bytes.
    pub(crate) fn new(
        limit: usize,
        capacity: usize,
        clock: Clock,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new(Self {
            open: Mutex::new(OpenConnections {
                limit,
                capacity,
                used: 0,
                next_id: 0,
                connections: HashMap::new(),
                logged_ms: None,
                closed_since_log: 0,
            }),
            removed: Notify::new(),
            clock,
            metrics,
        })
    }

    /// Records that a new connection was closed, because all others are in use.
    pub(crate) fn record_refused(&self) {
        self.metrics.record_refused_connection();
        let mut open = lock(&self.open);
        if open.may_log(self.clock.now_ms()) {
            let (limit, used_bytes) = (open.limit, open.used);
            log::warn!(limit, used_bytes; "all callers' connections are in use; closing a new one");
        }
    }

    /// Closes some connections.
    pub(crate) fn make_room(&self) {
        lock(&self.open).make_room(self.clock.now_ms(), &self.metrics);
    }

    /// Admits a new connection. Closes others if there is no room, and returns `None` if
    /// all of them are in use.
    pub(crate) async fn admit(self: &Arc<Self>) -> Option<CallerConnection> {
        let timeout = Duration::from_millis(ROOM_TIMEOUT_MS);
        let closed = tokio::time::timeout(timeout, self.wait_for_room()).await;
        if !matches!(closed, Ok(true)) {
            return None;
        }
        let held = Arc::new(Held {
            state: Mutex::new(ConnectionState {
                held: HeldConnection {
                    phase: ConnectionPhase::Unused,
                    since_ms: self.clock.now_ms(),
                },
                counted_bytes: CONNECTION_BYTES,
                receive_buffer: RECEIVE_BUFFER_BYTES,
                head_bytes: 0,
                request_bytes: 0,
                has_pipelined: false,
                gives_way: false,
                waker: None,
            }),
            gave_way: Notify::new(),
        });
        let mut open = lock(&self.open);
        let id = open.next_id;
        open.next_id += 1;
        open.used += CONNECTION_BYTES;
        open.connections.insert(id, held.clone());
        drop(open);
        Some(CallerConnection(Arc::new(OpenConnection {
            id,
            held,
            connections: self.clone(),
        })))
    }

    /// Waits until there is room for another connection. Returns false if all others wait
    /// for responses.
    async fn wait_for_room(&self) -> bool {
        loop {
            {
                let mut open = lock(&self.open);
                if open.has_room() {
                    return true;
                }
                if open.make_room(self.clock.now_ms(), &self.metrics) == 0
                    && !open.has_incomplete_requests()
                {
                    return false;
                }
            }
            let interval = Duration::from_millis(ROOM_INTERVAL_MS);
            // The decision is made again in either case.
            let _ = tokio::time::timeout(interval, self.removed.notified()).await;
        }
    }
}

/// A caller's connection. It counts as open until all copies are dropped.
#[derive(Clone)]
pub(crate) struct CallerConnection(Arc<OpenConnection>);

struct OpenConnection {
    id: u64,
    held: Arc<Held>,
    connections: Arc<CallerConnections>,
}

impl CallerConnection {
    /// Changes the connection's state, and what is counted for it.
    fn update(&self, change: impl FnOnce(&mut ConnectionState, u64)) {
        let OpenConnection {
            held, connections, ..
        } = &*self.0;
        let now_ms = connections.clock.now_ms();
        let (before, after) = {
            let mut state = lock(&held.state);
            change(&mut state, now_ms);
            let after = state.needed_bytes();
            (std::mem::replace(&mut state.counted_bytes, after), after)
        };
        if before == after {
            return;
        }
        let mut open = lock(&connections.open);
        open.used = open.used + after - before;
        if after > before && open.used > open.capacity {
            open.make_room(now_ms, &connections.metrics);
        }
    }

    /// Records what the connection waits for from now on.
    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        self.update(|state, now_ms| {
            state.held = HeldConnection {
                phase,
                since_ms: now_ms,
            };
            match phase {
                // A connection that is used again stays open.
                ConnectionPhase::Head | ConnectionPhase::Body | ConnectionPhase::Response => {
                    state.gives_way = false;
                }
                ConnectionPhase::Idle => {
                    state.head_bytes = 0;
                    state.has_pipelined = false;
                }
                ConnectionPhase::Unused | ConnectionPhase::Closing => {}
            }
        });
    }

    /// Records that the request is complete. `length`: its length in bytes, if it is known.
    pub(crate) fn set_complete(&self, length: Option<usize>) {
        self.set_phase(ConnectionPhase::Response);
        self.update(|state, _| {
            state.has_pipelined =
                length.is_some_and(|length| state.request_bytes > length + PIPELINED_BYTES);
        });
    }

    /// Records that bytes have arrived. `head_bytes`: the length of the current head so
    /// far; `request_bytes`: what has been read since it began.
    pub(crate) fn record_received(&self, head_bytes: usize, request_bytes: usize) {
        self.update(|state, now_ms| {
            state.held.since_ms = now_ms;
            state.head_bytes = head_bytes;
            state.request_bytes = request_bytes;
            state.has_pipelined |= state.held.phase == ConnectionPhase::Response;
        });
    }

    /// Counts a longer receive buffer if memory suffices. Returns whether it does.
    pub(crate) fn lengthen_receive_buffer(&self) -> bool {
        let added = LONG_RECEIVE_BUFFER_BYTES - RECEIVE_BUFFER_BYTES;
        let suffices = {
            let open = lock(&self.0.connections.open);
            open.capacity.saturating_sub(open.used) / RECEIVE_BUFFER_PARTS >= added
        };
        if suffices {
            self.update(|state, _| state.receive_buffer = LONG_RECEIVE_BUFFER_BYTES);
        }
        suffices
    }

    /// Returns whether the connection is to be closed in favour of others. If not, `cx`
    /// is woken when it is.
    pub(crate) fn poll_gives_way(&self, cx: &Context<'_>) -> bool {
        let mut state = lock(&self.0.held.state);
        if !state.gives_way
            && !state
                .waker
                .as_ref()
                .is_some_and(|waker| waker.will_wake(cx.waker()))
        {
            state.waker = Some(cx.waker().clone());
        }
        state.gives_way
    }

    /// Waits until the connection gives way while it waits for a body.
    pub(crate) async fn wait_gave_way(&self) {
        let held = &self.0.held;
        loop {
            held.gave_way.notified().await;
            // A signal may be left from an earlier request.
            if lock(&held.state).gives_way {
                return;
            }
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut open = lock(&self.connections.open);
        open.connections.remove(&self.id);
        open.used -= lock(&self.held.state).counted_bytes;
        drop(open);
        self.connections.removed.notify_one();
    }
}
