//! How many requests of a pool one router works on, and which go first.
//!
//! A limit on requests in flight adapts to how long first bytes take, so that
//! queues form here, where they are ordered, and not at the back ends. Waiting
//! requests are ordered by deadline class, and within a class organisations
//! take turns. A request whose deadline can't be met any more is refused as
//! soon as that is known, with the time after which a retry can help.

use std::collections::{BTreeMap, VecDeque};

use crate::{ids::OrganisationName, tables::DeadlineClass};

/// Requests in flight that are always allowed.
const MIN_LIMIT: f64 = 4.0;
/// The limit before anything is known.
const FIRST_LIMIT: f64 = 256.0;
/// A first byte is late after this part of its deadline.
const LATE_SHARE: f64 = 0.5;
/// The limit rises only while this share of it is in use.
const NEARLY_FULL: f64 = 0.8;
/// What is left of the limit after a late first byte.
const BACK_OFF: f64 = 0.97;
/// Time constant of the estimates, in finished requests.
const SMOOTHING: f64 = 0.05;
/// Most requests that wait for a pool in one router.
const MAX_WAITING: usize = 4_096;

/// A request's number, given by the caller of this module.
pub type AdmissionId = u64;

/// A request that asks to be let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its number.
    pub id: AdmissionId,
    /// Whose it is.
    pub organisation: OrganisationName,
    /// How urgent it is.
    pub class: DeadlineClass,
    /// When its first byte is due, in milliseconds of the caller's clock.
    pub due_ms: u64,
}

/// What to do with requests now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// These start.
    pub admitted: Vec<AdmissionId>,
    /// These are refused, each with the milliseconds after which to retry.
    pub refused: Vec<(AdmissionId, u64)>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    /// Organisations in the order of their turns.
    turns: VecDeque<OrganisationName>,
    waiting: BTreeMap<OrganisationName, VecDeque<AdmissionRequest>>,
}

impl ClassQueue {
    fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    fn push(&mut self, request: AdmissionRequest) {
        let organisation = request.organisation.clone();
        let queue = self.waiting.entry(organisation.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(organisation);
        }
        queue.push_back(request);
    }

    fn pop(&mut self) -> Option<AdmissionRequest> {
        let organisation = self.turns.pop_front()?;
        let queue = self.waiting.get_mut(&organisation)?;
        let request = queue.pop_front();
        if queue.is_empty() {
            self.waiting.remove(&organisation);
        } else {
            self.turns.push_back(organisation);
        }
        request
    }

    /// Takes out requests for which `predicate` holds.
    fn take_if(&mut self, predicate: impl Fn(&AdmissionRequest) -> bool) -> Vec<AdmissionRequest> {
        let mut taken = Vec::new();
        for queue in self.waiting.values_mut() {
            let (out, kept): (Vec<_>, Vec<_>) = queue.drain(..).partition(&predicate);
            taken.extend(out);
            queue.extend(kept);
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        self.turns.retain(|name| self.waiting.contains_key(name));
        taken
    }
}

/// The requests of one pool in one router.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    /// Whether no first byte has been late yet, so that the limit rises with
    /// each one in time.
    probing: bool,
    in_flight: u32,
    queues: BTreeMap<DeadlineClass, ClassQueue>,
    /// Smoothed milliseconds between two finished requests while busy.
    gap_ms: Option<f64>,
    last_finish_ms: Option<u64>,
    /// Smoothed milliseconds from start to first byte.
    first_byte_ms: f64,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            probing: true,
            in_flight: 0,
            queues: BTreeMap::new(),
            gap_ms: None,
            last_finish_ms: None,
            first_byte_ms: 0.0,
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn as_ms(value: f64) -> u64 {
    value.max(0.0) as u64
}

impl ConcurrencyLimiter {
    /// Decides about a request that has just come.
    pub fn submit(&mut self, request: AdmissionRequest, now_ms: u64) -> Decisions {
        let mut decisions = Decisions::default();
        let idle = self.queues.values().all(|queue| queue.len() == 0);
        if idle && f64::from(self.in_flight) < self.limit {
            self.in_flight += 1;
            decisions.admitted.push(request.id);
            return decisions;
        }
        let ahead = self.waiting_before(request.class);
        let wait_ms = self.wait_ms(ahead);
        let full = self.waiting() >= MAX_WAITING;
        if full || self.misses_deadline(&request, wait_ms, now_ms) {
            decisions.refused.push((request.id, wait_ms));
            return decisions;
        }
        self.queues.entry(request.class).or_default().push(request);
        decisions
    }

    /// Notes a first byte, `elapsed_ms` after the start, for a request whose
    /// class allows `deadline_ms`.
    pub fn record_first_byte(&mut self, elapsed_ms: u64, deadline_ms: u64) {
        let elapsed = as_f64(elapsed_ms);
        self.first_byte_ms += SMOOTHING * (elapsed - self.first_byte_ms);
        if elapsed > as_f64(deadline_ms) * LATE_SHARE {
            self.probing = false;
            self.limit = (self.limit * BACK_OFF).max(MIN_LIMIT);
        } else if f64::from(self.in_flight) >= self.limit * NEARLY_FULL {
            self.limit += if self.probing { 1.0 } else { 1.0 / self.limit };
        }
    }

    /// Notes the end of a request that was started.
    pub fn finish(&mut self, now_ms: u64) -> Decisions {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(last_ms) = self.last_finish_ms.filter(|_| self.waiting() > 0) {
            let gap = as_f64(now_ms.saturating_sub(last_ms));
            let smoothed = self.gap_ms.get_or_insert(gap);
            *smoothed += SMOOTHING * (gap - *smoothed);
        }
        self.last_finish_ms = Some(now_ms);
        self.decide(now_ms)
    }

    /// Takes a waiting request out, because its caller has left.
    pub fn cancel(&mut self, id: AdmissionId) -> bool {
        let mut queues = self.queues.values_mut();
        queues.any(|queue| !queue.take_if(|request| request.id == id).is_empty())
    }

    /// Starts what may start and refuses what misses its deadline. Call it
    /// now and then while requests wait.
    pub fn decide(&mut self, now_ms: u64) -> Decisions {
        let mut decisions = Decisions::default();
        let (first_byte_ms, retry_ms) = (as_ms(self.first_byte_ms), self.wait_ms(self.waiting()));
        for queue in self.queues.values_mut() {
            let late = queue.take_if(|request| now_ms + first_byte_ms > request.due_ms);
            let refused = late.into_iter().map(|request| (request.id, retry_ms));
            decisions.refused.extend(refused);
        }
        while f64::from(self.in_flight) < self.limit {
            let Some(request) = self.queues.values_mut().find_map(ClassQueue::pop) else {
                break;
            };
            self.in_flight += 1;
            decisions.admitted.push(request.id);
        }
        decisions
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(ClassQueue::len).sum()
    }

    /// The limit on requests in flight.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    fn waiting_before(&self, class: DeadlineClass) -> usize {
        let before = self.queues.range(..=class);
        before.map(|(_, queue)| queue.len()).sum()
    }

    /// How long so many requests take to start.
    fn wait_ms(&self, ahead: usize) -> u64 {
        let gap_ms = self.gap_ms.unwrap_or(0.0);
        as_ms(gap_ms * as_f64(ahead as u64 + 1))
    }

    fn misses_deadline(&self, request: &AdmissionRequest, wait_ms: u64, now_ms: u64) -> bool {
        now_ms + wait_ms + as_ms(self.first_byte_ms) > request.due_ms
    }
}
