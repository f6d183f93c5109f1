//! Which bodies of requests may use the memory that all of them share.
//!
//! An organisation may hold at most as much as stays free, so that one alone can't take
//! the memory of the others. When memory is short, the body that has not grown for
//! longest gives way, first among those of the organisation that holds most. A body whose
//! caller still sends gives way to none, and neither does a complete one. There is no
//! limit on the time that a body takes while memory suffices.

use std::{cmp::Reverse, collections::HashMap};

/// How long a body must not have grown before it gives way to another, in milliseconds.
pub const MIN_STALL_MS: u64 = 1_000;

/// A body whose memory is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// Whether a body may grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The memory is reserved.
    Granted,
    /// There is no memory until this body, which has stalled, has given way.
    AfterGivingWay(BodyId),
    /// There is no memory, and no body gives way.
    Denied,
}

#[derive(Debug)]
struct HeldBody {
    organisation: String,
    held_bytes: usize,
    /// When the body last grew, in milliseconds; `None` once it is complete.
    grown_ms: Option<u64>,
}

/// The memory of all bodies, in bytes.
#[derive(Debug)]
pub struct BodyMemory {
    capacity: usize,
    used: usize,
    next_id: u64,
    bodies: HashMap<BodyId, HeldBody>,
    by_organisation: HashMap<String, usize>,
}

impl BodyMemory {
    /// Returns an unused memory of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: 0,
            next_id: 0,
            bodies: HashMap::new(),
            by_organisation: HashMap::new(),
        }
    }

    /// Returns the memory that bodies hold, in bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// Begins an empty body of a request of `organisation`.
    pub fn begin(&mut self, organisation: &str, now_ms: u64) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = HeldBody {
            organisation: organisation.to_owned(),
            held_bytes: 0,
            grown_ms: Some(now_ms),
        };
        self.bodies.insert(id, body);
        id
    }

    /// Records that more of a body has arrived.
    pub fn record_growth(&mut self, id: BodyId, now_ms: u64) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.grown_ms = body.grown_ms.and(Some(now_ms));
        }
    }

    /// Reserves `bytes` more for a body. If another body gives way, end it with
    /// [`end`](Self::end), free its memory and call this again.
    pub fn reserve(&mut self, id: BodyId, bytes: usize, now_ms: u64) -> Growth {
        let Some(body) = self.bodies.get_mut(&id) else {
            return Growth::Denied;
        };
        let free = self.capacity - self.used;
        let organisation_bytes = self.by_organisation.get(&body.organisation);
        let needed = organisation_bytes.copied().unwrap_or(0) + bytes;
        if free.checked_sub(bytes).is_some_and(|rest| needed <= rest) {
            body.held_bytes += bytes;
            *self
                .by_organisation
                .entry(body.organisation.clone())
                .or_default() += bytes;
            self.used += bytes;
            return Growth::Granted;
        }
        let yielding = self.longest_stalled(id, now_ms);
        yielding.map_or(Growth::Denied, Growth::AfterGivingWay)
    }

    /// Returns the body that gives way to `id`: the longest stalled one of the
    /// organisation that holds most. None does whose organisation holds less than that
    /// of `id`.
    fn longest_stalled(&self, id: BodyId, now_ms: u64) -> Option<BodyId> {
        let held_by = |organisation: &str| self.by_organisation.get(organisation).copied();
        let own_bytes = held_by(&self.bodies.get(&id)?.organisation).unwrap_or(0);
        let stalled = self.bodies.iter().filter_map(|(other, body)| {
            let grown_ms = body.grown_ms?;
            let organisation_bytes = held_by(&body.organisation)?;
            let yields = *other != id
                && body.held_bytes > 0
                && now_ms >= grown_ms + MIN_STALL_MS
                && organisation_bytes >= own_bytes;
            yields.then_some((Reverse(organisation_bytes), grown_ms, *other))
        });
        stalled.min().map(|(_, _, id)| id)
    }

    /// Records that a body is complete. It keeps its memory until it ends.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.grown_ms = None;
        }
    }

    /// Ends a body, whose memory is free then. Returns how much that was, in bytes, and
    /// how long the body had not grown, in milliseconds.
    pub fn end(&mut self, id: BodyId, now_ms: u64) -> (usize, u64) {
        let Some(body) = self.bodies.remove(&id) else {
            return (0, 0);
        };
        self.used -= body.held_bytes;
        if let Some(bytes) = self.by_organisation.get_mut(&body.organisation) {
            *bytes -= body.held_bytes;
            if *bytes == 0 {
                self.by_organisation.remove(&body.organisation);
            }
        }
        let stalled_ms = body.grown_ms.map_or(0, |at| now_ms.saturating_sub(at));
        (body.held_bytes, stalled_ms)
    }
}
