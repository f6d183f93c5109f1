//! Bodies of callers' requests, in memory that all of them share.
//!
//! A body is copied out of the connection's buffer into parts, so that neither its
//! framing nor the length of its chunks costs memory, and is sent to servers part by
//! part, so that it is never in memory twice.

use std::{
    collections::{HashMap, VecDeque},
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use peridotslip::body_memory::{BodyId, BodyMemory, Growth};
use tokio::sync::Notify;

use crate::clock::Clock;

/// Smallest part of a body that is received in more than one piece, in bytes.
const MIN_PART_BYTES: usize = 512;
/// Longest part that is allocated ahead of the content, in bytes.
const MAX_PART_BYTES: usize = 32 * 1024;
/// Memory that a part takes beside its content, in bytes.
const PART_OVERHEAD_BYTES: usize = 64;

/// The bodies of all requests.
pub(crate) struct RequestBodies {
    memory: Mutex<BodyMemory>,
    /// Bodies that are being received.
    incoming: Mutex<HashMap<BodyId, Arc<Slot>>>,
    clock: Clock,
}

/// The received part of a body, which another body's need may free.
#[derive(Default)]
struct Slot {
    content: Mutex<Content>,
    gave_way: Notify,
}

#[derive(Default)]
struct Content {
    parts: Vec<Vec<u8>>,
    len: usize,
    gave_way: bool,
}

/// The memory for a body is short: the body gave way to another one, or can't grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryShort;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RequestBodies {
    /// Returns no bodies, with `capacity` bytes for them.
    pub(crate) fn new(capacity: usize, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            memory: Mutex::new(BodyMemory::new(capacity)),
            incoming: Mutex::default(),
            clock,
        })
    }

    /// Begins to receive a body of a request of `organisation`.
    pub(crate) fn begin(self: &Arc<Self>, organisation: &str) -> IncomingBody {
        let id = lock(&self.memory).begin(organisation, self.clock.now_ms());
        let slot = Arc::new(Slot::default());
        lock(&self.incoming).insert(id, slot.clone());
        IncomingBody {
            reservation: Reservation {
                id,
                bodies: self.clone(),
            },
            slot,
        }
    }

    /// Reserves memory for a body. Lets stalled bodies give way if needed.
    fn reserve(&self, id: BodyId, bytes: usize) -> Result<(), MemoryShort> {
        loop {
            let growth = lock(&self.memory).reserve(id, bytes, self.clock.now_ms());
            match growth {
                Growth::Granted => return Ok(()),
                Growth::Denied => return Err(MemoryShort),
                Growth::AfterGivingWay(stalled) => self.give_way(stalled),
            }
        }
    }

    /// Frees the memory of a body that is being received.
    fn give_way(&self, id: BodyId) {
        if let Some(slot) = lock(&self.incoming).remove(&id) {
            let mut content = lock(&slot.content);
            content.parts = Vec::new();
            content.gave_way = true;
            slot.gave_way.notify_one();
        }
        let (bytes, stalled_ms) = lock(&self.memory).end(id, self.clock.now_ms());
        log::warn!(bytes, stalled_ms; "memory for request bodies is short; giving up the body that stalled for longest");
    }
}

/// The memory of one body. Dropping it returns the memory.
struct Reservation {
    id: BodyId,
    bodies: Arc<RequestBodies>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        lock(&self.bodies.incoming).remove(&self.id);
        lock(&self.bodies.memory).end(self.id, self.bodies.clock.now_ms());
    }
}

/// A body that is being received.
pub(crate) struct IncomingBody {
    // Dropped after the content, so that memory is free before it is given away.
    slot: Arc<Slot>,
    reservation: Reservation,
}

impl IncomingBody {
    /// Appends content.
    ///
    /// # Errors
    ///
    /// [`MemoryShort`] if there is no memory for the content, or if the body has given
    /// way.
    pub(crate) fn append(&self, bytes: &[u8]) -> Result<(), MemoryShort> {
        let Reservation { id, bodies } = &self.reservation;
        lock(&bodies.memory).record_growth(*id, bodies.clock.now_ms());
        let (len, room) = {
            let mut content = lock(&self.slot.content);
            if content.gave_way {
                return Err(MemoryShort);
            }
            content.len += bytes.len();
            let len = content.len;
            match content.parts.last_mut() {
                Some(last) if last.capacity() - last.len() >= bytes.len() => {
                    last.extend_from_slice(bytes);
                    return Ok(());
                }
                last => (len, last.is_some()),
            }
        };
        // A body that arrives in one piece takes no more than its length.
        let ahead = if room {
            len.clamp(MIN_PART_BYTES, MAX_PART_BYTES)
        } else {
            0
        };
        let size = ahead.max(bytes.len());
        bodies.reserve(*id, size + PART_OVERHEAD_BYTES)?;
        let mut part = Vec::with_capacity(size);
        part.extend_from_slice(bytes);
        lock(&self.slot.content).parts.push(part);
        Ok(())
    }

    /// Waits until the body has given way to another one.
    pub(crate) async fn wait_gave_way(&self) {
        self.slot.gave_way.notified().await;
    }

    /// Returns the complete body.
    ///
    /// # Errors
    ///
    /// [`MemoryShort`] if the body has given way.
    pub(crate) fn finish(self) -> Result<RequestContent, MemoryShort> {
        let Self { reservation, slot } = self;
        let content = std::mem::take(&mut *lock(&slot.content));
        if content.gave_way {
            return Err(MemoryShort);
        }
        lock(&reservation.bodies.incoming).remove(&reservation.id);
        lock(&reservation.bodies.memory).complete(reservation.id);
        let parts = content.parts.into_iter().map(Bytes::from).collect();
        Ok(RequestContent {
            parts,
            len: content.len,
            taken: Arc::default(),
            _reservation: Some(Arc::new(reservation)),
        })
    }
}

/// The complete body of a request. Its memory is returned when the last copy is dropped.
#[derive(Clone, Default)]
pub(crate) struct RequestContent {
    // Dropped before the reservation.
    parts: VecDeque<Bytes>,
    len: usize,
    /// Whether all parts have been taken to be sent.
    taken: Arc<AtomicBool>,
    _reservation: Option<Arc<Reservation>>,
}

/// Tells whether a request has been sent to its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendProgress {
    taken: Arc<AtomicBool>,
}

impl SendProgress {
    /// Returns whether all of the body has been taken to be sent. What the connection's
    /// buffers hold of it may not have reached the server.
    pub(crate) fn is_complete(&self) -> bool {
        self.taken.load(Ordering::Relaxed)
    }
}

impl RequestContent {
    /// Returns a copy to be sent, and how far it has been sent.
    pub(crate) fn to_send(&self) -> (Self, SendProgress) {
        let taken = Arc::new(AtomicBool::new(self.parts.is_empty()));
        let content = Self {
            taken: taken.clone(),
            ..self.clone()
        };
        (content, SendProgress { taken })
    }

    /// Returns the content, in pieces.
    pub(crate) fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(AsRef::as_ref)
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }
}

impl http_body::Body for RequestContent {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.parts.pop_front();
        if let Some(part) = &part {
            self.len -= part.len();
        }
        if self.parts.is_empty() {
            self.taken.store(true, Ordering::Relaxed);
        }
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}
