//! Admission of requests by the bytes that they move over a router's link.
//!
//! A request moves its body in and out again, and its response in and out. The expected
//! bytes are charged when it is admitted, so that a burst is bounded before any of it
//! arrives. Bytes beyond them are charged as they come, and those that did not come are
//! given back at the end. Bytes that connections move without a charge, such as heads,
//! are charged to all priorities afterwards.
//!
//! For each priority there is a leaky bucket of the requests of this and all less urgent
//! priorities. It drains at the rate that the observed demand of more urgent ones leaves.
//! Where organisations have fair shares, requests beyond a share leave a part of the
//! buckets to requests within one.

use std::collections::BTreeMap;

use crate::fair_share::{Claim, FairShares, Standing};

/// Time for which a burst may use the link beyond its rate, in milliseconds.
const BURST_MS: f64 = 100.0;
/// Share of such a burst that requests leave to each more urgent priority.
const URGENT_SHARE: f64 = 0.5;
/// Shares of such a burst that organisations may use at their own priority.
/// [`URGENT_SHARE`] is less than each, so that no less urgent request has more room.
const OWN_SHARES: StandingShares = StandingShares {
    // Requests at random times of organisations that ask for less than their shares need
    // up to 60 ms of the link at once, beside what the others have taken.
    below: 1.25,
    within: 0.6,
    beyond: 0.52,
};
/// Shares of such a burst that organisations may use of each more urgent priority.
const URGENT_SHARES: StandingShares = StandingShares {
    below: URGENT_SHARE,
    within: 0.12,
    beyond: 0.1,
};
/// Time constant of the rates, in milliseconds.
const RATE_MS: f64 = 500.0;
/// Largest share of the rate that bytes without a charge of their own may take, so that
/// bytes which nobody can reject don't lead to the rejection of all requests.
const MAX_OVERHEAD_SHARE: f64 = 0.5;
/// Weight of a new sample in the expected length of a route's responses.
const SMOOTHING: f64 = 0.1;
/// Most routes whose responses' lengths are remembered.
const MAX_ROUTES: usize = 1_000;

/// Shares of a burst by the standing of a request.
struct StandingShares {
    below: f64,
    within: f64,
    beyond: f64,
}

/// Bytes that are received and sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkBytes {
    /// Bytes received.
    pub received: f64,
    /// Bytes sent.
    pub sent: f64,
}

impl LinkBytes {
    /// Returns the cost of `bytes` that are received and sent on.
    #[must_use]
    pub fn forwarded(bytes: f64) -> Self {
        Self {
            received: bytes,
            sent: bytes,
        }
    }

    fn map(self, other: Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            received: f(self.received, other.received),
            sent: f(self.sent, other.sent),
        }
    }

    fn plus(self, other: Self) -> Self {
        self.map(other, |a, b| a + b)
    }

    fn largest(self) -> f64 {
        self.received.max(self.sent)
    }
}

/// A rate, averaged over the last [`RATE_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    bytes: LinkBytes,
    at_ms: u64,
}

impl Rate {
    fn bytes_at(&self, now_ms: u64) -> LinkBytes {
        let kept = (-elapsed_ms(self.at_ms, now_ms) / RATE_MS).exp();
        self.bytes
            .map(LinkBytes::default(), |bytes, _| bytes * kept)
    }

    fn add(&mut self, bytes: LinkBytes, now_ms: u64) {
        self.bytes = self.bytes_at(now_ms).plus(bytes);
        self.at_ms = now_ms;
    }

    fn per_ms(&self, now_ms: u64) -> LinkBytes {
        let bytes = self.bytes_at(now_ms);
        bytes.map(LinkBytes::default(), |bytes, _| bytes / RATE_MS)
    }
}

/// The requests of one priority and of all less urgent ones.
#[derive(Clone, Debug, Default)]
struct Level {
    /// What is offered at this priority.
    demand: Rate,
    /// Bytes that have been charged and not drained.
    outstanding: LinkBytes,
    drained_ms: u64,
    /// The rate that more urgent requests and bytes without a request leave.
    bytes_per_ms: f64,
    /// The shares of the organisations at this priority.
    shares: FairShares,
}

/// Decides which requests a router's link can carry. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct LinkAdmission {
    levels: BTreeMap<u8, Level>,
    admitted: Rate,
    /// Bytes that are charged without a request.
    overhead: Rate,
    /// Bytes that connections have moved, less those of requests. Negative while requests
    /// have recorded bytes that connections have not moved yet.
    uncharged: LinkBytes,
    uncharged_ms: u64,
    /// The expected bytes of a response, by route.
    response_bytes: BTreeMap<String, f64>,
}

/// An organisation with a share of the link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sharer<'a> {
    /// The organisation, empty for requests without one.
    pub organisation: &'a str,
    /// Its weight.
    pub weight: f64,
}

/// A request that is to be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRequest<'a> {
    /// Its route.
    pub route: &'a str,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The length of its body.
    pub body_bytes: f64,
    /// Its organisation; `None` if organisations have no shares.
    pub sharer: Option<Sharer<'a>>,
}

/// An admitted request, until it is finished.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedRequest {
    priority: u8,
    route: String,
    expected: LinkBytes,
    moved: LinkBytes,
    response_bytes: f64,
}

#[allow(clippy::cast_precision_loss)]
fn elapsed_ms(from_ms: u64, to_ms: u64) -> f64 {
    to_ms.saturating_sub(from_ms) as f64
}

impl LinkAdmission {
    /// Decides on a request of `route` with a body of `body_bytes`. `bytes_per_ms` is
    /// what callers' payload may use of the link in each direction. Priority 0 is the
    /// most urgent. Returns `None` if the request must be rejected.
    pub fn admit(
        &mut self,
        route: &str,
        priority: u8,
        body_bytes: f64,
        bytes_per_ms: f64,
        now_ms: u64,
    ) -> Option<AdmittedRequest> {
        let request = LinkRequest {
            route,
            priority,
            body_bytes,
            sharer: None,
        };
        self.admit_shared(&request, bytes_per_ms, now_ms).ok()
    }

    /// Decides on a request, within its priority by the shares of organisations.
    ///
    /// # Errors
    ///
    /// Whether the request is within its organisation's share, if it must be rejected.
    pub fn admit_shared(
        &mut self,
        request: &LinkRequest<'_>,
        bytes_per_ms: f64,
        now_ms: u64,
    ) -> Result<AdmittedRequest, Standing> {
        let LinkRequest {
            route, priority, ..
        } = *request;
        let response_bytes = self.response_bytes.get(route).copied().unwrap_or(0.0);
        let expected = LinkBytes::forwarded(request.body_bytes + response_bytes);
        let level = self.levels.entry(priority).or_insert_with(|| Level {
            drained_ms: now_ms,
            ..Level::default()
        });
        level.demand.add(expected, now_ms);
        self.drain(bytes_per_ms, now_ms);
        let claim = request.sharer.map(|sharer| Claim {
            organisation: sharer.organisation,
            weight: sharer.weight,
            route,
            cost: expected.largest(),
        });
        let standing = claim.and_then(|claim| self.ask(priority, &claim, now_ms));
        let burst = bytes_per_ms * BURST_MS;
        let has_room = self.levels.range(..=priority).all(|(of, level)| {
            let is_own = *of == priority;
            let outstanding = level.outstanding.largest();
            let with_request = level.outstanding.plus(expected).largest();
            // One request that exceeds a burst is admitted while the link is idle.
            let fits = |share: f64| outstanding <= 0.0 || with_request <= burst * share;
            let Some(standing) = standing else {
                return fits(if is_own { 1.0 } else { URGENT_SHARE });
            };
            let shares = if is_own { OWN_SHARES } else { URGENT_SHARES };
            // Requests of organisations that ask for more than their shares are admitted
            // or not regardless of their size, so that routes with long bodies are not
            // starved by others.
            fits(shares.below)
                && match standing {
                    Standing::Below => true,
                    Standing::Within => outstanding <= burst * shares.within,
                    Standing::Beyond => outstanding <= burst * shares.beyond,
                }
        });
        if !has_room {
            return Err(standing.unwrap_or(Standing::Below));
        }
        if let (Some(claim), Some(level)) = (&claim, self.levels.get_mut(&priority)) {
            level.shares.record_served(claim, now_ms);
        }
        self.admitted.add(expected, now_ms);
        self.charge(priority, expected);
        Ok(AdmittedRequest {
            priority,
            route: route.to_owned(),
            expected,
            moved: LinkBytes::default(),
            response_bytes: 0.0,
        })
    }

    /// Records what a request asks for, and returns whether it is within its share.
    fn ask(&mut self, priority: u8, claim: &Claim<'_>, now_ms: u64) -> Option<Standing> {
        let level = self.levels.get_mut(&priority)?;
        Some(level.shares.ask(claim, level.bytes_per_ms, now_ms))
    }

    /// Records bytes that an admitted request has moved.
    pub fn record(&mut self, request: &mut AdmittedRequest, bytes: LinkBytes) {
        let before = request.moved;
        request.moved = before.plus(bytes);
        self.uncharged = self.uncharged.map(bytes, |a, b| a - b);
        let excess = |moved: LinkBytes| moved.map(request.expected, |a, b| (a - b).max(0.0));
        let added = excess(request.moved).map(excess(before), |a, b| a - b);
        self.charge(request.priority, added);
    }

    /// Records a part of a response that is received and sent on.
    pub fn record_response(&mut self, request: &mut AdmittedRequest, bytes: f64) {
        request.response_bytes += bytes;
        self.record(request, LinkBytes::forwarded(bytes));
    }

    /// Records the end of an admitted request.
    pub fn finish(&mut self, request: &AdmittedRequest) {
        let unused = request.moved.map(request.expected, |a, b| (a - b).min(0.0));
        self.charge(request.priority, unused);
        if request.response_bytes <= 0.0 {
            return;
        }
        if self.response_bytes.len() >= MAX_ROUTES {
            self.response_bytes.clear();
        }
        let mean = self.response_bytes.entry(request.route.clone());
        let mean = mean.or_insert(request.response_bytes);
        *mean += SMOOTHING * (request.response_bytes - *mean);
    }

    /// Records that a request with a body of `body_bytes` has been rejected. Its caller
    /// may send the body all the same. These bytes are not charged, because rejecting
    /// further requests would not make them fewer.
    pub fn record_rejected_body(&mut self, body_bytes: f64) {
        self.uncharged.received -= body_bytes;
    }

    /// Records all bytes that callers' and servers' connections have moved since the last
    /// call. Charges those that no request has recorded, such as heads.
    pub fn record_moved(&mut self, bytes: LinkBytes, bytes_per_ms: f64, now_ms: u64) {
        let elapsed_ms = elapsed_ms(self.uncharged_ms, now_ms);
        self.uncharged_ms = now_ms;
        let limit = MAX_OVERHEAD_SHARE * bytes_per_ms;
        // A body that is never sent must not hide other bytes for long.
        let kept = (-elapsed_ms / RATE_MS).exp();
        let uncharged = self.uncharged.map(bytes, |before, moved| {
            before.min(0.0) * kept + before.max(0.0) + moved
        });
        let charged = uncharged.map(LinkBytes::default(), |bytes, _| {
            bytes.clamp(0.0, limit * elapsed_ms)
        });
        self.uncharged = uncharged.map(charged, |bytes, charged| {
            (bytes - charged).min(limit * BURST_MS)
        });
        self.drain(bytes_per_ms, now_ms);
        self.admitted.add(charged, now_ms);
        self.overhead.add(charged, now_ms);
        self.charge(u8::MAX, charged);
    }

    /// Returns the bytes per millisecond that admitted requests use, with those that
    /// connections move without a charge.
    #[must_use]
    pub fn admitted_per_ms(&self, now_ms: u64) -> LinkBytes {
        self.admitted.per_ms(now_ms)
    }

    fn charge(&mut self, priority: u8, bytes: LinkBytes) {
        for (_, level) in self.levels.range_mut(..=priority) {
            level.outstanding = level
                .outstanding
                .map(bytes, |outstanding, bytes| (outstanding + bytes).max(0.0));
        }
    }

    fn drain(&mut self, bytes_per_ms: f64, now_ms: u64) {
        let mut more_urgent = LinkBytes::default();
        let overhead = self.overhead.per_ms(now_ms);
        for level in self.levels.values_mut() {
            let elapsed_ms = elapsed_ms(level.drained_ms, now_ms);
            level.drained_ms = now_ms;
            let drained = more_urgent.map(LinkBytes::default(), |demand, _| {
                (bytes_per_ms - demand).max(0.0) * elapsed_ms
            });
            level.outstanding = level.outstanding.map(drained, |outstanding, drained| {
                (outstanding - drained).max(0.0)
            });
            let used = more_urgent.plus(overhead).largest();
            level.bytes_per_ms = (bytes_per_ms - used).max(0.0);
            more_urgent = more_urgent.plus(level.demand.per_ms(now_ms));
        }
    }
}
