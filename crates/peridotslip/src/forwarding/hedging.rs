//! When a second attempt of a slow request starts, and how many may.
//!
//! After Dean and Barroso, "The Tail at Scale", CACM 56(2), 2013: a request that takes
//! longer than a high quantile of its kind is sent to a second server, and the first
//! response wins. The quantile is learnt for each route and service over all servers,
//! so that a single slow server stands out and a slow service doesn't.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use hdrhistogram::Histogram;

use super::hedge_pool::{LEASE_MS, PoolAsk, PoolMember, PoolReply};
use crate::ids::Incarnation;

/// Length of the window in which the share of second attempts holds, in milliseconds.
const WINDOW_MS: u64 = 10_000;
/// Length of the slices in which requests and second attempts are counted, in
/// milliseconds.
const COUNT_SLICE_MS: u64 = 100;
const COUNT_SLICES: u64 = WINDOW_MS / COUNT_SLICE_MS;

/// Number of slices that a history of response times consists of.
const HISTORY_SLICES: usize = 6;
/// Shortest time that a slice of a history covers, in milliseconds.
const MIN_HISTORY_SLICE_MS: u64 = 5_000;
/// Longest time that a slice of a history covers, in milliseconds.
const MAX_HISTORY_SLICE_MS: u64 = 20_000;
/// Samples for which a slice of a history stays open, up to its longest time. With few
/// requests a history reaches further back.
const MIN_SLICE_SAMPLES: u64 = 15;
/// Fewest samples from which a quantile is taken.
const MIN_SAMPLES: u64 = 50;
/// Significant decimal digits of a recorded time.
const PRECISION_DIGITS: u8 = 2;
/// Shortest recorded time, in microseconds; shorter ones count as this.
const MIN_RECORDED_US: u64 = 100;
/// Longest recorded time, in microseconds; longer ones count as this.
const MAX_RECORDED_US: u64 = 120_000_000;
/// Lowest quantile after which a second attempt starts.
const MIN_QUANTILE: f64 = 0.9;
/// A router whose share is this many second attempts in a window uses it at half of the
/// rate: requests that are slow at the same time need the rest.
const HALF_USE_ATTEMPTS: f64 = 9.0;
/// Part of a pool's share that routers use. The rest is for leases that are held in
/// advance, and for slow responses that come together.
const POOL_USE_RATIO: f64 = 0.4;
/// Routers that permit fewer second attempts in a window pool them. With more, the whole
/// number below the share loses little.
const POOL_BELOW_ATTEMPTS: f64 = 20.0;
/// Part of its requests that a router in a fleet leaves out of its own share, in standard
/// deviations of their number. Each router keeps to its share when it sends a second
/// attempt itself. When another one does, this one may have fewer requests than it had.
const OWN_SHARE_MARGIN: f64 = 1.5;
/// Most that a delay may exceed the quantile that uses the whole share, as a factor.
/// Where more requests are slow than the share covers, a higher quantile would be a slow
/// response's time.
const MAX_DELAY_FACTOR: f64 = 1.5;
/// Shortest delay before a second attempt. Timers are accurate to a millisecond.
const MIN_DELAY: Duration = Duration::from_millis(5);
/// How long a computed delay is used, in milliseconds.
const DELAY_VALID_MS: u64 = 250;

/// Number of steps in which a delay is waited for.
const WAIT_STEPS: u32 = 4;
/// Shortest step of a delay.
const MIN_STEP: Duration = Duration::from_millis(2);
/// Longest step of a delay.
const MAX_STEP: Duration = Duration::from_millis(100);
/// How late a step may end and still count.
const MAX_STEP_DELAY: Duration = Duration::from_millis(10);

/// Why a second attempt was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDenial {
    /// The route permits no further attempt, or the prompt may crash servers.
    Route,
    /// The router has too little of what a second attempt needs.
    RouterShort,
    /// Less than half of the retry budget is left.
    RetryBudget,
    /// No other server is known to have a free slot and no limit.
    NoFreeServer,
    /// The router has used its share of second attempts.
    ExtraWork,
    /// The router pools its share and holds no lease.
    NoLease,
}

/// Which share a second attempt counts towards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeSource {
    /// The router's own share.
    OwnShare,
    /// A lease of the pool.
    Pool,
}

impl HedgeSource {
    /// Returns the label in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OwnShare => "own-share",
            Self::Pool => "pool",
        }
    }
}

impl HedgeDenial {
    /// Returns the reason's label in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::RouterShort => "router-short",
            Self::RetryBudget => "retry-budget",
            Self::NoFreeServer => "no-free-server",
            Self::ExtraWork => "extra-work",
            Self::NoLease => "no-lease",
        }
    }
}

/// What a second attempt depends on beside the router's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools)] // Independent observations.
pub struct HedgeConditions {
    /// Whether the route permits another attempt beside those that may have run.
    pub route_permits: bool,
    /// Whether the router lacks what a second attempt needs.
    pub router_short: bool,
    /// Whether at least half of the retry budget is left.
    pub retries_left: bool,
    /// Whether another server has a free slot and no limit.
    pub free_server: bool,
}

impl HedgeConditions {
    fn denial(self) -> Option<HedgeDenial> {
        let reasons = [
            (!self.route_permits, HedgeDenial::Route),
            (self.router_short, HedgeDenial::RouterShort),
            (!self.retries_left, HedgeDenial::RetryBudget),
            (!self.free_server, HedgeDenial::NoFreeServer),
        ];
        let denied = reasons.into_iter().find(|(denied, _)| *denied);
        denied.map(|(_, reason)| reason)
    }
}

/// The requests whose response times are alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass<'a> {
    /// The route's name.
    pub route: &'a str,
    /// The service's name.
    pub service: &'a str,
}

/// The requests and second attempts in one slice of time.
#[derive(Clone, Copy, Debug)]
struct CountSlice {
    index: u64,
    /// Requests that count towards the own share.
    requests: u32,
    /// Requests that count in a pool.
    pooled: u32,
    /// Second attempts of the own share.
    extra: u32,
}

/// Counts a service's requests and second attempts in the last window.
#[derive(Clone, Debug, Default)]
struct AttemptWindow {
    slices: VecDeque<CountSlice>,
    /// Second attempts that have been allowed and not yet been sent.
    pending: u32,
    /// Requests that were given to a pool and then not sent. The next ones don't count.
    overcounted: u32,
    /// When the first request was sent or a pool was left, in milliseconds.
    opened_ms: Option<u64>,
    /// Whether other routers send requests too.
    shared: bool,
}

impl AttemptWindow {
    fn slice(&mut self, now_ms: u64) -> &mut CountSlice {
        let index = now_ms / COUNT_SLICE_MS;
        self.opened_ms.get_or_insert(now_ms);
        // One more than a window: second attempts count until they are surely older.
        while let Some(first) = self.slices.front()
            && first.index + COUNT_SLICES < index
        {
            self.slices.pop_front();
        }
        let newest = self.slices.back().map(|slice| slice.index);
        if newest.is_none_or(|newest| newest < index) {
            self.slices.push_back(CountSlice {
                index,
                requests: 0,
                pooled: 0,
                extra: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    fn counted(&mut self, now_ms: u64) -> impl Iterator<Item = &CountSlice> {
        let newest = self.slice(now_ms).index;
        let slices = self.slices.iter();
        slices.filter(move |slice| slice.index + COUNT_SLICES > newest)
    }

    /// Closes the own share until the second attempts of the pool that this router has left
    /// are older than a window. Their requests, of all routers, grow old before them.
    fn reopen(&mut self, now_ms: u64) {
        self.opened_ms = Some(now_ms + LEASE_MS);
    }

    /// Returns how many second attempts `requests` permit.
    fn share_of(&self, requests: u32, extra_work: f64) -> f64 {
        let requests = f64::from(requests);
        let margin = if self.shared {
            OWN_SHARE_MARGIN * requests.sqrt()
        } else {
            0.0
        };
        (requests - margin).max(0.0) * extra_work
    }

    /// Returns how many second attempts may be sent in the window, by its requests.
    /// A slice that reaches beyond the window doesn't count. In a fleet, second attempts of
    /// this VM's former process may count for a window after the start.
    fn share(&mut self, extra_work: f64, now_ms: u64) -> f64 {
        let requests: u32 = self.counted(now_ms).map(|slice| slice.requests).sum();
        let opened_ms = *self.opened_ms.get_or_insert(now_ms);
        if self.shared && now_ms < opened_ms + WINDOW_MS {
            return 0.0;
        }
        self.share_of(requests, extra_work)
    }

    fn sent(&self) -> u32 {
        self.slices.iter().map(|slice| slice.extra).sum()
    }

    fn permits(&mut self, added: u32, extra_work: f64, now_ms: u64) -> bool {
        f64::from(self.sent() + added) <= self.share(extra_work, now_ms)
    }

    /// Returns how many second attempts the own share permits beside those sent, up to
    /// `most`.
    fn left(&mut self, most: u32, extra_work: f64, now_ms: u64) -> u32 {
        let mut left = 0;
        while left < most && self.permits(left + 1, extra_work, now_ms) {
            left += 1;
        }
        left
    }

    /// Returns whether the router's requests are so few that it pools its share.
    fn is_small(&mut self, extra_work: f64, now_ms: u64) -> bool {
        let counted = self.counted(now_ms);
        let requests: u32 = counted.map(|slice| slice.requests + slice.pooled).sum();
        f64::from(requests) * extra_work < POOL_BELOW_ATTEMPTS
    }

    /// Takes the requests out of the own share that a pool can use and that second attempts
    /// of the own share don't need. Returns them with the time of their slice.
    fn give(&mut self, extra_work: f64, now_ms: u64) -> Vec<(u64, u32)> {
        let attempts = self.sent() + self.pending;
        let oldest_ms = now_ms.saturating_sub(PoolMember::useful_age_ms());
        // The newest are kept, because they count for longest.
        let mut left = 0;
        let most: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        while left < most && self.share_of(left, extra_work) < f64::from(attempts) {
            left += 1;
        }
        let mut given = Vec::new();
        for slice in self.slices.iter_mut().rev() {
            let keep = left.min(slice.requests);
            left -= keep;
            let count = slice.requests - keep;
            let began_ms = slice.index * COUNT_SLICE_MS;
            if count > 0 && began_ms >= oldest_ms {
                slice.requests -= count;
                slice.pooled += count;
                given.push((began_ms, count));
            }
        }
        given
    }
}

/// The response times of one class, of the last half minute; further back if there were
/// few.
#[derive(Clone, Debug)]
struct ResponseTimes {
    /// In microseconds, the newest last.
    slices: VecDeque<Histogram<u32>>,
    /// The sum of the slices.
    total: Histogram<u32>,
    /// When the newest slice began, in milliseconds.
    began_ms: u64,
    /// The last computed delay and when it was computed, in milliseconds.
    delay: Option<(Duration, u64)>,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(MIN_RECORDED_US, MAX_RECORDED_US, PRECISION_DIGITS)
        .expect("the bounds and the precision are valid")
}

fn as_us(time: Duration) -> u64 {
    let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    us.clamp(MIN_RECORDED_US, MAX_RECORDED_US)
}

impl ResponseTimes {
    fn new(now_ms: u64) -> Self {
        Self {
            slices: VecDeque::from([histogram()]),
            total: histogram(),
            began_ms: now_ms,
            delay: None,
        }
    }

    fn record(&mut self, time: Duration, now_ms: u64) {
        self.age(now_ms);
        let us = as_us(time);
        if let Some(newest) = self.slices.back_mut() {
            newest.saturating_record(us);
        }
        self.total.saturating_record(us);
    }

    /// Forgets the oldest slices.
    fn age(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.began_ms);
        let newest = self.slices.back().map_or(0, Histogram::len);
        if age_ms < MIN_HISTORY_SLICE_MS
            || (age_ms < MAX_HISTORY_SLICE_MS && newest < MIN_SLICE_SAMPLES)
        {
            return;
        }
        if age_ms >= MAX_HISTORY_SLICE_MS * HISTORY_SLICES as u64 {
            *self = Self::new(now_ms);
            return;
        }
        self.began_ms = now_ms;
        self.slices.push_back(histogram());
        if self.slices.len() > HISTORY_SLICES {
            self.slices.pop_front();
        }
        self.total = histogram();
        for slice in &self.slices {
            self.total += slice;
        }
    }

    /// Returns the delay before a second attempt; `None` while there are too few samples.
    fn delay(
        &mut self,
        extra_work: f64,
        window: &mut AttemptWindow,
        pool_share: Option<f64>,
        now_ms: u64,
    ) -> Option<Duration> {
        self.age(now_ms);
        if let Some((delay, at_ms)) = self.delay
            && now_ms < at_ms + DELAY_VALID_MS
        {
            return Some(delay);
        }
        if self.total.len() < MIN_SAMPLES {
            return None;
        }
        let quantile = |extra: f64| {
            let quantile = (1.0 - extra).max(MIN_QUANTILE);
            Duration::from_micros(self.total.value_at_quantile(quantile))
        };
        let (share, most) = match pool_share {
            Some(share) => (share, POOL_USE_RATIO),
            None => (window.share(extra_work, now_ms), 1.0),
        };
        let use_ratio = most * share / (share + HALF_USE_ATTEMPTS);
        let highest = quantile(extra_work).mul_f64(MAX_DELAY_FACTOR);
        let delay = quantile(extra_work * use_ratio).min(highest).max(MIN_DELAY);
        self.delay = Some((delay, now_ms));
        Some(delay)
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    window: AttemptWindow,
    pool: PoolMember,
    /// By the route's name.
    times: HashMap<String, ResponseTimes>,
}

impl ServiceState {
    /// Returns the pool's share if this router uses it.
    fn pool_share(&mut self, extra_work: f64, now_ms: u64) -> Option<f64> {
        let share = self.pool.share(now_ms)?;
        self.window.is_small(extra_work, now_ms).then_some(share)
    }

    /// Returns whether `count` second attempts may be sent now.
    fn permits(&mut self, count: u32, extra_work: f64, now_ms: u64) -> bool {
        let leases = self.pool.usable(extra_work, now_ms);
        count <= leases
            || self
                .window
                .permits(count.saturating_sub(leases), extra_work, now_ms)
    }

    /// Returns how many leases to ask for.
    fn wanted(&mut self, extra_work: f64, now_ms: u64) -> u32 {
        if !self.window.is_small(extra_work, now_ms) {
            return 0;
        }
        // Allowed attempts that are not sent yet use what there is first.
        let pending = self.window.pending;
        let most = self.pool.near_due() + pending;
        let own = self.window.left(most, extra_work, now_ms);
        self.pool.wanted(pending, own, extra_work, now_ms)
    }
}

/// Learns when responses of each route are slow, and bounds the second attempts of this
/// router as a share of its requests to each service. If each router keeps to its share
/// of its own requests, the sum over all routers keeps to it as well.
#[derive(Clone, Debug, Default)]
pub struct Hedging {
    /// By the service's name.
    services: HashMap<String, ServiceState>,
    shared: bool,
}

impl Hedging {
    fn service(&mut self, service: &str) -> &mut ServiceState {
        if !self.services.contains_key(service) {
            let mut state = ServiceState::default();
            state.window.shared = self.shared;
            self.services.insert(service.to_owned(), state);
        }
        self.services
            .get_mut(service)
            .expect("the service has just been inserted")
    }

    /// Sets whether other routers send requests too.
    pub fn set_shared(&mut self, shared: bool) {
        self.shared = shared;
        for service in self.services.values_mut() {
            service.window.shared = shared;
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.services.clear();
    }

    /// Returns whether nothing has been recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Records that the first attempt of a request to `service` is being sent.
    pub fn record_request(&mut self, service: &str, now_ms: u64) {
        let window = &mut self.service(service).window;
        if window.overcounted > 0 {
            window.overcounted -= 1;
            return;
        }
        window.slice(now_ms).requests += 1;
    }

    /// Takes back a recorded request that was not sent after all.
    pub fn retract_request(&mut self, service: &str) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        let mut newest_first = service.window.slices.iter_mut().rev();
        if let Some(slice) = newest_first.find(|slice| slice.requests > 0) {
            slice.requests -= 1;
        } else {
            service.window.overcounted += 1;
        }
    }

    /// Records how long a first attempt took from its send to its response.
    pub fn record_response(&mut self, class: &RequestClass<'_>, time: Duration, now_ms: u64) {
        let times = &mut self.service(class.service).times;
        let times = times
            .entry(class.route.to_owned())
            .or_insert_with(|| ResponseTimes::new(now_ms));
        times.record(time, now_ms);
    }

    /// Records that a first attempt was cancelled `time` after its send. Its response
    /// would have taken longer, which is a sample only of a time above the quantile.
    pub fn record_unanswered(&mut self, class: &RequestClass<'_>, time: Duration, now_ms: u64) {
        let times = &mut self.service(class.service).times;
        if let Some(times) = times.get_mut(class.route)
            && times.delay.is_some_and(|(delay, _)| time >= delay)
        {
            times.record(time, now_ms);
        }
    }

    /// Returns how long after the send of a request a second attempt is due; `None` if
    /// too few responses are known.
    ///
    /// It is the quantile above which `extra_work` of the responses lie, at least the
    /// 90th percentile. A router that may send only a few second attempts in a window
    /// takes a higher one, up to half as long again, so that the slowest requests find
    /// one left.
    pub fn delay(
        &mut self,
        class: &RequestClass<'_>,
        extra_work: f64,
        now_ms: u64,
    ) -> Option<Duration> {
        let service = self.services.get_mut(class.service)?;
        let pool_share = service.pool_share(extra_work, now_ms);
        let times = service.times.get_mut(class.route)?;
        times.delay(extra_work, &mut service.window, pool_share, now_ms)
    }

    /// Decides on a second attempt that is due. An allowed one must be followed by
    /// [`send`](Self::send) or [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// The reason if it is denied.
    pub fn ask(
        &mut self,
        service: &str,
        conditions: HedgeConditions,
        extra_work: f64,
        now_ms: u64,
    ) -> Result<(), HedgeDenial> {
        if let Some(reason) = conditions.denial() {
            return Err(reason);
        }
        let service = self.service(service);
        if !service.permits(service.window.pending + 1, extra_work, now_ms) {
            return Err(match service.pool_share(extra_work, now_ms) {
                Some(_) => HedgeDenial::NoLease,
                None => HedgeDenial::ExtraWork,
            });
        }
        service.window.pending += 1;
        Ok(())
    }

    /// Returns which share the next allowed second attempt will count towards: the own
    /// one as long as it permits all that are allowed.
    pub fn source(&mut self, service: &str, extra_work: f64, now_ms: u64) -> HedgeSource {
        let window = &mut self.service(service).window;
        if window.permits(window.pending, extra_work, now_ms) {
            HedgeSource::OwnShare
        } else {
            HedgeSource::Pool
        }
    }

    /// Counts an allowed second attempt that is about to be sent. Returns `false` if
    /// it must not be sent because the service's requests have become fewer since, or the
    /// lease has expired.
    pub fn send(&mut self, service: &str, extra_work: f64, now_ms: u64) -> bool {
        let service = self.service(service);
        let window = &mut service.window;
        window.pending = window.pending.saturating_sub(1);
        if window.permits(1, extra_work, now_ms) {
            window.slice(now_ms).extra += 1;
            return true;
        }
        service.pool.take(extra_work, now_ms)
    }

    /// Gives back an allowed second attempt that is not sent.
    pub fn release(&mut self, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.window.pending = service.window.pending.saturating_sub(1);
        }
    }

    /// Records that the second attempt of a request is due soon. It must be followed by
    /// [`remove_near_due`](Self::remove_near_due).
    pub fn add_near_due(&mut self, service: &str) {
        self.service(service).pool.add_near_due();
    }

    /// Records that the response has arrived or the second attempt is due.
    pub fn remove_near_due(&mut self, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.pool.remove_near_due();
        }
    }

    /// Returns whether the router should take a lease from the service's pool now.
    pub fn needs_lease(&mut self, service: &str, extra_work: f64, now_ms: u64) -> bool {
        let service = self.services.get_mut(service);
        service.is_some_and(|service| {
            !service.pool.is_in_flight() && service.wanted(extra_work, now_ms) > 0
        })
    }

    /// Returns the services whose pools have had no report of this router for a while.
    pub fn due_reports(&mut self, extra_work: f64, now_ms: u64) -> Vec<String> {
        let mut due = Vec::new();
        for (name, service) in &mut self.services {
            let mut counted = service.window.counted(now_ms);
            let has_requests = counted.any(|slice| slice.requests + slice.pooled > 0);
            drop(counted);
            if has_requests
                && !service.pool.is_in_flight()
                && service.pool.is_report_due(extra_work, now_ms)
                && service.window.is_small(extra_work, now_ms)
            {
                due.push(name.clone());
            }
        }
        due
    }

    /// Begins an exchange with the keeper of the service's pool. The requests in it don't
    /// count towards the own share any more, whether or not the keeper gets them.
    /// Returns `None` while another exchange goes on. Otherwise it must be followed by
    /// [`end_exchange`](Self::end_exchange).
    pub fn begin_exchange(
        &mut self,
        service: &str,
        keeper: Incarnation,
        extra_work: f64,
        now_ms: u64,
    ) -> Option<PoolAsk> {
        let state = self.services.get_mut(service)?;
        if state.pool.is_in_flight() {
            return None;
        }
        let wanted = state.wanted(extra_work, now_ms);
        let may_give =
            state.pool.may_give(keeper, now_ms) && state.window.is_small(extra_work, now_ms);
        let given = if may_give {
            state.window.give(extra_work, now_ms)
        } else {
            Vec::new()
        };
        let pool = &mut state.pool;
        Some(pool.begin(service, keeper, &given, wanted, extra_work, now_ms))
    }

    /// Ends an exchange that began at `asked_ms`; `None` if no reply arrived.
    pub fn end_exchange(
        &mut self,
        ask: &PoolAsk,
        reply: Option<PoolReply>,
        asked_ms: u64,
        now_ms: u64,
    ) {
        if let Some(service) = self.services.get_mut(&ask.service) {
            let lost = service.pool.end(ask, reply, asked_ms, now_ms);
            if lost {
                service.window.reopen(now_ms);
            }
        }
    }

    /// Records that no other router keeps the service's pool.
    pub fn lose_keeper(&mut self, service: &str, now_ms: u64) {
        if let Some(service) = self.services.get_mut(service)
            && service.pool.lose_keeper()
        {
            service.window.reopen(now_ms);
        }
    }
}

/// Returns how long before the end of a delay a lease is asked for, so that it is there in
/// time: for the last step of the wait.
#[must_use]
pub fn lease_lead(delay: Duration) -> Duration {
    (delay / WAIT_STEPS).clamp(MIN_STEP, MAX_STEP)
}

/// The rest of a delay, waited for in steps. A step that ends late shows that the router
/// was suspended or busy and may not have read what the server sent, so it doesn't count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeWait {
    step: Duration,
    left: Duration,
}

impl HedgeWait {
    /// Returns a wait of `delay`.
    #[must_use]
    pub fn new(delay: Duration) -> Self {
        Self {
            step: lease_lead(delay),
            left: delay,
        }
    }

    /// Returns the length of the next step; `None` if the delay is over.
    #[must_use]
    pub fn next_step(&self) -> Option<Duration> {
        (!self.left.is_zero()).then(|| self.left.min(self.step))
    }

    /// Returns whether about one step is left.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.left * 2 < self.step * 3
    }

    /// Records that the next step took `took`.
    pub fn record_step(&mut self, took: Duration) {
        if let Some(step) = self.next_step()
            && took <= step + MAX_STEP_DELAY
        {
            self.left -= step;
        }
    }
}
