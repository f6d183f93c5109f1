//! Concurrency limiting and queueing of the requests to one pool.
//!
//! A limit on requests in flight adapts to the time to first byte, so that
//! requests queue in the router, where they are ordered, and not at the backend
//! servers. Waiting requests are ordered by deadline class, and within a class
//! the organisations are served round-robin. A request whose deadline can no
//! longer be met is refused at once, with the time after which to retry.

use std::collections::{BTreeMap, VecDeque};

use crate::{ids::OrganisationName, tables::DeadlineClass};

/// The lowest limit on requests in flight.
const MIN_LIMIT: f64 = 4.0;
/// The limit before the first measurement.
const INITIAL_LIMIT: f64 = 256.0;
/// Fraction of the deadline after which a first byte counts as late.
const LATE_DEADLINE_FRACTION: f64 = 0.5;
/// Fraction of the limit that must be in use for the limit to rise.
const GROWTH_UTILISATION: f64 = 0.8;
/// Factor by which a late first byte reduces the limit.
const DECREASE_FACTOR: f64 = 0.97;
/// Weight of a new sample in the exponentially smoothed estimates.
const SMOOTHING: f64 = 0.05;
/// Maximum number of requests that wait for a pool in one router.
const MAX_WAITING: usize = 4_096;

/// A number that identifies a request, assigned by the code that submits it.
pub type AdmissionId = u64;

/// A request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The number that identifies the request.
    pub id: AdmissionId,
    /// The organisation that sent the request.
    pub organisation: OrganisationName,
    /// The deadline class of the request.
    pub class: DeadlineClass,
    /// When the first byte of the response is due, in milliseconds on the clock
    /// of the `now_ms` arguments.
    pub due_ms: u64,
}

/// The requests to start and to refuse.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Requests to start.
    pub admitted: Vec<AdmissionId>,
    /// Requests to refuse, each with the time after which to retry, in
    /// milliseconds.
    pub refused: Vec<(AdmissionId, u64)>,
}

/// The waiting requests of one deadline class.
#[derive(Debug, Default)]
struct ClassQueue {
    /// Organisations with waiting requests, in the order in which they are
    /// served.
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

    /// Removes and returns the requests for which `predicate` holds.
    fn remove_matching(
        &mut self,
        predicate: impl Fn(&AdmissionRequest) -> bool,
    ) -> Vec<AdmissionRequest> {
        let mut removed = Vec::new();
        for queue in self.waiting.values_mut() {
            let (matching, remaining): (Vec<_>, Vec<_>) = queue.drain(..).partition(&predicate);
            removed.extend(matching);
            queue.extend(remaining);
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        self.turns.retain(|name| self.waiting.contains_key(name));
        removed
    }
}

/// Limits and orders the requests of one router to one pool.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    /// Whether no first byte has been late yet. Until then the limit rises by 1
    /// with each first byte that is in time.
    slow_start: bool,
    in_flight: u32,
    queues: BTreeMap<DeadlineClass, ClassQueue>,
    /// Smoothed time between the ends of two requests while others wait, in
    /// milliseconds.
    finish_interval_ms: Option<f64>,
    last_finish_ms: Option<u64>,
    /// Smoothed time to first byte, in milliseconds.
    first_byte_ms: f64,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            slow_start: true,
            in_flight: 0,
            queues: BTreeMap::new(),
            finish_interval_ms: None,
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
    /// Admits, queues or refuses a new request.
    pub fn submit(&mut self, request: AdmissionRequest, now_ms: u64) -> Decisions {
        let mut decisions = Decisions::default();
        let idle = self.queues.values().all(|queue| queue.len() == 0);
        if idle && f64::from(self.in_flight) < self.limit {
            self.in_flight += 1;
            decisions.admitted.push(request.id);
            return decisions;
        }
        let requests_ahead = self.waiting_before(request.class);
        let wait_ms = self.wait_ms(requests_ahead);
        let full = self.waiting() >= MAX_WAITING;
        if full || self.misses_deadline(&request, wait_ms, now_ms) {
            decisions.refused.push((request.id, wait_ms));
            return decisions;
        }
        self.queues.entry(request.class).or_default().push(request);
        decisions
    }

    /// Records the first byte of a response `elapsed_ms` after the start of the
    /// request, whose deadline is `deadline_ms` after its arrival.
    pub fn record_first_byte(&mut self, elapsed_ms: u64, deadline_ms: u64) {
        let elapsed = as_f64(elapsed_ms);
        self.first_byte_ms += SMOOTHING * (elapsed - self.first_byte_ms);
        if elapsed > as_f64(deadline_ms) * LATE_DEADLINE_FRACTION {
            self.slow_start = false;
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if f64::from(self.in_flight) >= self.limit * GROWTH_UTILISATION {
            self.limit += if self.slow_start {
                1.0
            } else {
                1.0 / self.limit
            };
        }
    }

    /// Records the end of an admitted request and admits waiting ones.
    pub fn finish(&mut self, now_ms: u64) -> Decisions {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(last_ms) = self.last_finish_ms.filter(|_| self.waiting() > 0) {
            let interval = as_f64(now_ms.saturating_sub(last_ms));
            let smoothed = self.finish_interval_ms.get_or_insert(interval);
            *smoothed += SMOOTHING * (interval - *smoothed);
        }
        self.last_finish_ms = Some(now_ms);
        self.decide(now_ms)
    }

    /// Removes a waiting request whose caller has disconnected. Returns whether
    /// the request was waiting.
    pub fn cancel(&mut self, id: AdmissionId) -> bool {
        let mut queues = self.queues.values_mut();
        queues.any(|queue| !queue.remove_matching(|request| request.id == id).is_empty())
    }

    /// Admits waiting requests up to the limit and refuses those that miss their
    /// deadline. Call this method periodically while requests wait.
    pub fn decide(&mut self, now_ms: u64) -> Decisions {
        let mut decisions = Decisions::default();
        let (first_byte_ms, retry_ms) = (as_ms(self.first_byte_ms), self.wait_ms(self.waiting()));
        for queue in self.queues.values_mut() {
            let late = queue.remove_matching(|request| now_ms + first_byte_ms > request.due_ms);
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

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(ClassQueue::len).sum()
    }

    /// Returns the limit on requests in flight.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the number of waiting requests of this and more urgent classes.
    fn waiting_before(&self, class: DeadlineClass) -> usize {
        let before = self.queues.range(..=class);
        before.map(|(_, queue)| queue.len()).sum()
    }

    /// Returns the estimated time until a request behind `requests_ahead` others
    /// starts, in milliseconds.
    fn wait_ms(&self, requests_ahead: usize) -> u64 {
        let finish_interval_ms = self.finish_interval_ms.unwrap_or(0.0);
        as_ms(finish_interval_ms * as_f64(requests_ahead as u64 + 1))
    }

    fn misses_deadline(&self, request: &AdmissionRequest, wait_ms: u64, now_ms: u64) -> bool {
        now_ms + wait_ms + as_ms(self.first_byte_ms) > request.due_ms
    }
}
