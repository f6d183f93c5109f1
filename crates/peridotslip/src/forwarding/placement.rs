//! Selecting the backend server for a request.
//!
//! A model engine processes a prompt faster if the beginning of the prompt is
//! in its KV cache, and a loaded engine slows down every request. The selection
//! weighs both as predicted milliseconds: the prompt tokens that the engine has
//! to process and the requests that it is running. Load reports lag and include
//! requests of other routers, so a router corrects a report by the requests
//! that it has sent or seen finished since.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    fmt,
};

use super::{
    AttemptOutcome, LoadReport, PromptProfile, ServerEntry, ServerId, ServerStart, ServerState,
    ServerVersion,
    draining::DrainingStarts,
    engine_memory::{EngineMemory, HeldTokens, MemoryDemand, OtherRequests},
    engine_rates::{
        ENGINE_REQUEST_MS, EngineRate, EngineRates, EngineSpeed, FirstByteSample,
        PREFILL_TOKENS_PER_MS, ServiceRate, work_factor,
    },
    evacuation::{EvacuationChanges, Evacuations},
    rate_limit::RateLimits,
    rest::Rests,
    spread::{self, Draws},
    warmup::Warmups,
};
use crate::members::rendezvous_weight;

/// Rate of the engines of a service that don't report the speed of their machines.
const DEFAULT_RATE: EngineRate = EngineRate {
    tokens_per_ms: PREFILL_TOKENS_PER_MS,
    request_ms: ENGINE_REQUEST_MS,
};
/// Predicted further delay for each request above the slots of an engine whose rate
/// is learnt, in milliseconds. These requests wait until others have ended.
const QUEUED_REQUEST_MS: f64 = 20.0;
/// Share of the lowest predicted cost within which the choice is spread.
const SPREAD_SHARE: f64 = 0.1;
/// Predicted cost above the lowest one within which the choice of a server that is not
/// an engine is spread, in milliseconds: that of one request in flight.
const SERVICE_SPREAD_MS: f64 = 1.0;
/// Predicted delay for each request above half of the slots of a server that is
/// not an engine, in milliseconds.
const SERVICE_REQUEST_MS: f64 = 10.0;
/// Predicted extra delay of a server in another data centre, in milliseconds.
const REMOTE_DATA_CENTRE_MS: f64 = 2.5;
/// Age from which a load report is ignored, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 1_500;
/// Consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// Duration of the first ejection, in milliseconds; each further one is twice
/// as long.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Longest duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// How long the router avoids a server that refused because it was at capacity,
/// in milliseconds.
const FULL_BACKOFF_MS: u64 = 60;
/// Weight of a new sample in the exponentially smoothed time to first byte.
const SMOOTHING: f64 = 0.2;
/// Ratio of a server's time to first byte to the median of its service above
/// which the server has a higher cost.
const SLOW_FACTOR: f64 = 2.5;
/// Maximum number of prompt segments that a router records for each engine.
const MAX_SEGMENTS: usize = 512;
/// Upper bound on the time that an engine takes to process a segment, in
/// milliseconds. Other engines can't copy the segment until then.
const MAX_SEGMENT_PREFILL_MS: u64 = 300;
/// How long an engine is assumed to cache a segment after its last use, in
/// milliseconds.
const SEGMENT_RETENTION_MS: u64 = 20_000;
/// Number of removed servers that a router remembers.
const MAX_REMOVED: usize = 1_000;
/// Minimum number of tokens for a copy between engines; the setup of a copy
/// takes 5 ms, so a shorter prefix is not worth copying.
const MIN_COPIED_TOKENS: u64 = 160;

/// The times of the first and the last request that sent a segment to an engine.
#[derive(Clone, Copy, Debug)]
struct SegmentTimes {
    first_sent_ms: u64,
    last_sent_ms: u64,
}

/// The prompt segments that this router has sent to an engine, by segment hash.
#[derive(Clone, Debug, Default)]
struct SegmentCache {
    times: HashMap<u64, SegmentTimes>,
}

impl SegmentCache {
    fn insert(&mut self, id: u64, now_ms: u64) {
        let times = self.times.entry(id).or_insert(SegmentTimes {
            first_sent_ms: now_ms,
            last_sent_ms: now_ms,
        });
        times.last_sent_ms = now_ms;
        if self.times.len() > MAX_SEGMENTS {
            let mut last_sent: Vec<u64> = self
                .times
                .values()
                .map(|times| times.last_sent_ms)
                .collect();
            last_sent.sort_unstable();
            let oldest_quarter = last_sent[last_sent.len() / 4];
            self.times
                .retain(|_, times| times.last_sent_ms > oldest_quarter);
        }
    }

    /// Returns how many tokens at the beginning of a prompt another engine can
    /// copy from this one.
    fn copyable_tokens(&self, prompt: &PromptProfile, now_ms: u64) -> u64 {
        let copyable = |id: &u64| {
            self.times.get(id).is_some_and(|times| {
                now_ms >= times.first_sent_ms + MAX_SEGMENT_PREFILL_MS
                    && now_ms < times.last_sent_ms + SEGMENT_RETENTION_MS
            })
        };
        prompt
            .segments
            .iter()
            .take_while(|(id, _)| copyable(id))
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Returns how many tokens at the beginning of a prompt the engine has
    /// probably cached.
    fn cached_tokens(&self, prompt: &PromptProfile) -> u64 {
        prompt
            .segments
            .iter()
            .take_while(|(id, _)| self.times.contains_key(id))
            .map(|(_, tokens)| tokens)
            .sum()
    }
}

/// A server and this router's observations of it.
#[derive(Clone, Debug)]
struct TrackedServer {
    server: ServerEntry,
    /// Requests of this router that are in flight at the server.
    in_flight: u32,
    /// Requests of this router that were in flight when the last report arrived.
    in_flight_at_report: u32,
    /// The last load report and the time of its arrival, in milliseconds.
    report: Option<(LoadReport, u64)>,
    /// Prompt tokens sent to the server and not yet known to be processed.
    pending_tokens: u64,
    segments: SegmentCache,
    /// Consecutive failures since the last response or ejection.
    failures: u32,
    /// Ejections since the last response.
    ejections: u32,
    /// The end of the current ejection or of the pause after a refusal, in
    /// milliseconds.
    avoid_until_ms: u64,
    /// Whether another server responded at the server's address.
    address_lost: bool,
    /// From when on a server without an entry counts as gone, in milliseconds;
    /// `None` while the server has an entry.
    gone_at_ms: Option<u64>,
    /// Smoothed time to first byte, in milliseconds.
    first_byte_ms: Option<f64>,
    speed: EngineSpeed,
    /// This router's requests with a memory demand that are in flight at the server.
    held: HeldTokens,
}

impl TrackedServer {
    fn new(server: ServerEntry) -> Self {
        Self {
            server,
            in_flight: 0,
            in_flight_at_report: 0,
            report: None,
            pending_tokens: 0,
            segments: SegmentCache::default(),
            failures: 0,
            ejections: 0,
            avoid_until_ms: 0,
            address_lost: false,
            gone_at_ms: None,
            first_byte_ms: None,
            speed: EngineSpeed::default(),
            held: HeldTokens::default(),
        }
    }

    /// Returns whether `server` describes the same start at the same address.
    fn is_at(&self, server: &ServerEntry) -> bool {
        self.server.started_ms == server.started_ms && self.server.address == server.address
    }

    fn accepts_requests(&self, now_ms: u64) -> bool {
        self.server.state == ServerState::Ready && !self.address_lost && !self.is_gone(now_ms)
    }

    fn is_gone(&self, now_ms: u64) -> bool {
        self.gone_at_ms
            .is_some_and(|gone_at_ms| now_ms >= gone_at_ms)
    }

    /// Returns whether the server can be selected. After an ejection the
    /// server has at most one request in flight until a request succeeds.
    fn is_available(&self, now_ms: u64) -> bool {
        let trial_in_flight = self.ejections > 0 && self.in_flight > 0;
        self.accepts_requests(now_ms) && now_ms >= self.avoid_until_ms && !trial_in_flight
    }

    /// Records a failure. Returns `true` if the server is ejected because of it.
    fn record_failure(&mut self, now_ms: u64) -> bool {
        self.failures += 1;
        self.segments = SegmentCache::default();
        if self.failures < FAILURES_TO_EJECT && self.ejections == 0 {
            return false;
        }
        let doubled = FIRST_EJECTION_MS << self.ejections.min(8);
        self.avoid_until_ms = now_ms + doubled.min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.failures = 0;
        true
    }

    /// Returns the factor on the time that work takes on the server's machine, as
    /// last reported.
    fn work_factor(&self, now_ms: u64) -> f64 {
        self.report.map_or(1.0, |(report, at_ms)| {
            work_factor(&report, now_ms.saturating_sub(at_ms))
        })
    }

    /// Returns the requests of other routers at the server.
    fn others(&self, now_ms: u64) -> OtherRequests {
        let count = self.report.map_or(0, |(report, _)| {
            let reported = report.running.saturating_add(report.waiting);
            reported.saturating_sub(self.in_flight_at_report)
        });
        OtherRequests {
            count: count.into(),
            age_ms: self.report.map(|(_, at_ms)| now_ms.saturating_sub(at_ms)),
        }
    }

    /// Returns whether the server has a free slot by its last load report, however old,
    /// and this router's requests since. Without a report only the latter count.
    fn has_free_slot(&self, now_ms: u64) -> bool {
        let slots = self
            .report
            .map_or(self.server.slots, |(report, _)| report.slots);
        self.others(now_ms).count + f64::from(self.in_flight) < f64::from(slots)
    }

    /// Returns the estimated number of requests at the server.
    fn load(&self, now_ms: u64) -> u32 {
        match self.report {
            Some((report, at_ms)) if now_ms < at_ms + MAX_REPORT_AGE_MS => {
                let others =
                    (report.running + report.waiting).saturating_sub(self.in_flight_at_report);
                others + self.in_flight
            }
            _ => self.in_flight,
        }
    }
}

/// The connections that this router may have to servers.
pub trait ConnectionRoom: fmt::Debug {
    /// Returns whether a request can get a connection to `server`, at which
    /// `in_flight` requests of this router are in flight.
    fn has_room(&self, server: &ServerEntry, in_flight: u32) -> bool;
}

/// What a request requires of its server.
#[derive(Clone, Copy, Debug)]
pub struct Selection<'a> {
    /// The service that the server belongs to.
    pub service: &'a str,
    /// The request's prompt.
    pub prompt: &'a PromptProfile,
    /// Servers that must not be selected again.
    pub attempted: &'a [ServerId],
    /// The software versions that the server may have; `None` if any may serve
    /// the request.
    pub versions: Option<&'a [ServerVersion]>,
    /// The connections that this router may have; `None` if they are not limited.
    pub connections: Option<&'a dyn ConnectionRoom>,
    /// The data centres whose servers may get the request; `None` if all may.
    pub data_centres: Option<&'a [String]>,
}

impl Selection<'_> {
    fn permits_data_centre(&self, server: &ServerEntry) -> bool {
        self.data_centres
            .is_none_or(|data_centres| data_centres.contains(&server.data_centre))
    }

    fn permits(&self, server: &ServerEntry) -> bool {
        server.service == self.service
            && self.permits_data_centre(server)
            && !self.attempted.contains(&server.id)
            && self
                .versions
                .is_none_or(|versions| versions.contains(&server.version))
    }

    fn has_connection(&self, tracked: &TrackedServer) -> bool {
        self.connections
            .is_none_or(|room| room.has_room(&tracked.server, tracked.in_flight))
    }
}

/// Why no server may get a request, though its service has servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// All servers that accept requests and may serve the request are in evacuated
    /// data centres.
    Evacuated,
    /// The service has no server in the data centres that may serve the request.
    NoHomeRegion,
}

/// The server selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedServer {
    /// The server.
    pub server: ServerEntry,
    /// The address of another engine from which the server can copy KV cache
    /// entries that it lacks for the beginning of the prompt. Copying them is
    /// faster than processing the tokens again.
    pub kv_source: Option<String>,
    /// The prompt tokens that the server probably has to process.
    pub uncached_tokens: u64,
}

/// A server that has been removed. A restored store may contain its entry again.
#[derive(Clone, Debug)]
struct RemovedServer {
    id: ServerId,
    started_ms: u64,
}

/// The servers of all services, with this router's observations of each.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    data_centre: String,
    servers: BTreeMap<ServerId, TrackedServer>,
    rests: Rests,
    limits: RateLimits,
    warmups: Warmups,
    /// The last removed servers, the latest last.
    removed: VecDeque<RemovedServer>,
    draining: DrainingStarts,
    rates: EngineRates,
    memory: EngineMemory,
    draws: Draws,
    evacuations: Evacuations,
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}

impl Placement {
    /// Creates a placement without servers that prefers servers in
    /// `data_centre`.
    #[must_use]
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            ..Self::default()
        }
    }

    /// Sets the seed of the choices among servers of nearly the same cost. Routers
    /// must have different seeds.
    pub fn seed_choices(&mut self, seed: u64) {
        self.draws = Draws::new(seed);
    }

    /// Inserts or updates a server's entry. A restart or a new address resets the
    /// observations of the server. Only a restart takes back that a server is
    /// draining. Returns whether the entry changed.
    pub fn upsert(&mut self, mut server: ServerEntry) -> bool {
        if server.state == ServerState::Draining {
            self.draining.insert(&server.id, server.started_ms);
        } else if self.draining.contains(&server.id, server.started_ms) {
            server.state = ServerState::Draining;
        }
        match self.servers.get_mut(&server.id) {
            Some(tracked) if tracked.is_at(&server) => {
                if tracked.server.state == ServerState::Draining {
                    server.state = ServerState::Draining;
                }
                // How long a server stays cold is recorded by `Warmups`.
                tracked.server.cold_left_ms = server.cold_left_ms;
                let changed = tracked.server != server;
                tracked.server = server;
                tracked.gone_at_ms = None;
                changed
            }
            _ => {
                self.servers
                    .insert(server.id.clone(), TrackedServer::new(server));
                true
            }
        }
    }

    /// Removes a server. Returns whether the server was present.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(tracked) = self.servers.remove(id) else {
            return false;
        };
        self.warmups.record_removal(id);
        self.removed.retain(|removed| removed.id != id);
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_front();
        }
        self.removed.push_back(RemovedServer {
            id: tracked.server.id,
            started_ms: tracked.server.started_ms,
        });
        true
    }

    /// Returns whether a server has been removed and hasn't restarted since.
    #[must_use]
    pub fn was_removed(&self, server: &ServerEntry) -> bool {
        !self.servers.contains_key(&server.id)
            && self
                .removed
                .iter()
                .any(|removed| removed.id == server.id && removed.started_ms == server.started_ms)
    }

    /// Sets the time from which on the servers that are not in `listed` count
    /// as gone. An entry that returns cancels it.
    ///
    /// The time takes effect in the selection itself, so that no later event is
    /// needed to enforce it. Returns the number of these servers.
    pub fn expire_unlisted(&mut self, listed: &HashSet<ServerId>, gone_at_ms: u64) -> usize {
        let unlisted = self.servers.values_mut();
        let unlisted = unlisted.filter(|tracked| !listed.contains(&tracked.server.id));
        unlisted
            .map(|tracked| tracked.gone_at_ms = Some(gone_at_ms))
            .count()
    }

    /// Removes the servers that count as gone and returns their IDs.
    pub fn remove_gone(&mut self, now_ms: u64) -> Vec<ServerId> {
        let gone = self.servers.values();
        let gone: Vec<ServerId> = gone
            .filter(|tracked| tracked.is_gone(now_ms))
            .map(|tracked| tracked.server.id.clone())
            .collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// Returns the software versions of a service's servers.
    #[must_use]
    pub fn versions(&self, service: &str) -> BTreeSet<&str> {
        let servers = self.servers.values().map(|tracked| &tracked.server);
        let servers = servers.filter(|server| server.service == service);
        servers.map(|server| server.version.as_str()).collect()
    }

    /// Returns the IDs of all servers.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.servers.keys().map(String::as_str)
    }

    /// Returns the entry of a server.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id).map(|tracked| &tracked.server)
    }

    /// Returns whether a server is known and accepts new requests.
    #[must_use]
    pub fn accepts_requests(&self, id: &str, now_ms: u64) -> bool {
        self.servers
            .get(id)
            .is_some_and(|tracked| self.may_send(tracked, now_ms))
    }

    /// Returns whether new requests may be sent to a server: it accepts them, and its
    /// data centre is not evacuated.
    fn may_send(&self, tracked: &TrackedServer, now_ms: u64) -> bool {
        tracked.accepts_requests(now_ms) && !self.is_evacuated(&tracked.server, now_ms)
    }

    /// Returns whether a server's data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, server: &ServerEntry, now_ms: u64) -> bool {
        self.evacuations.is_evacuated(&server.data_centre, now_ms)
    }

    /// Returns when the last evacuation of a data centre ended; see
    /// [`Evacuations::ended_ms`].
    #[must_use]
    pub fn evacuation_ended_ms(&self, data_centre: &str) -> Option<u64> {
        self.evacuations.ended_ms(data_centre)
    }

    /// Returns the evacuations of data centres.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Applies a listing of the evacuations; see [`Evacuations::apply_listing`]. The
    /// servers of a data centre are cold from the end of its evacuation on, also if
    /// it is about to end because a restored listing lacks it.
    pub fn apply_evacuations(
        &mut self,
        listed: &BTreeSet<String>,
        restored: bool,
        now_ms: u64,
    ) -> EvacuationChanges {
        let changes = self.evacuations.apply_listing(listed, restored, now_ms);
        for data_centre in changes.ended.iter().chain(&changes.unconfirmed) {
            if let Some(ended_ms) = self.evacuations.ended_ms(data_centre) {
                self.warmups.evacuation_ended(data_centre, ended_ms);
            }
        }
        changes
    }

    /// Returns why no server may get a request because of evacuations or home
    /// regions; `None` if these leave some server, or if the service has none at all.
    #[must_use]
    pub fn obstacle(&self, selection: &Selection<'_>, now_ms: u64) -> Option<Obstacle> {
        if selection.data_centres.is_none() && self.evacuations.count(now_ms) == 0 {
            return None;
        }
        let servers = self.servers.values();
        let servers = servers.filter(|tracked| tracked.server.service == selection.service);
        let (home, others): (Vec<_>, Vec<_>) =
            servers.partition(|tracked| selection.permits_data_centre(&tracked.server));
        if selection.data_centres.is_some_and(<[String]>::is_empty)
            || (home.is_empty() && !others.is_empty())
        {
            return Some(Obstacle::NoHomeRegion);
        }
        let mut accepting = home
            .into_iter()
            .filter(|tracked| {
                selection.permits(&tracked.server) && tracked.accepts_requests(now_ms)
            })
            .peekable();
        let all_evacuated = accepting.peek().is_some()
            && accepting.all(|tracked| self.is_evacuated(&tracked.server, now_ms));
        all_evacuated.then_some(Obstacle::Evacuated)
    }

    /// Returns whether a server must get no requests because of a rest that it has
    /// asked for.
    #[must_use]
    pub fn is_resting(&self, server: &ServerEntry, now_ms: u64) -> bool {
        self.rests.is_resting(server, now_ms)
    }

    /// Returns the earliest end of a rest, in milliseconds, if all servers that
    /// accept requests and may serve the request rest.
    #[must_use]
    pub fn earliest_rest_end_ms(&self, selection: &Selection<'_>, now_ms: u64) -> Option<u64> {
        let tracked = self.servers.values();
        let accepting = tracked
            .filter(|tracked| selection.permits(&tracked.server) && self.may_send(tracked, now_ms));
        let ends: Option<Vec<u64>> = accepting
            .map(|tracked| self.rests.end_ms(&tracked.server, now_ms))
            .collect();
        ends?.into_iter().min()
    }

    /// Returns the earliest time, in milliseconds, at which a server may get a
    /// request again, if all servers that accept requests and may serve the request
    /// rest, are cold or have a limit that admits none now.
    #[must_use]
    pub fn earliest_limited_ms(&self, selection: &Selection<'_>, now_ms: u64) -> Option<u64> {
        let tracked = self.servers.values();
        let accepting = tracked
            .filter(|tracked| selection.permits(&tracked.server) && self.may_send(tracked, now_ms));
        let ends: Option<Vec<u64>> = accepting
            .map(|tracked| {
                let limited_ms = self.limits.ask_at_ms(&tracked.server);
                let limited_ms = limited_ms.filter(|ask_at_ms| now_ms < *ask_at_ms);
                let cold_ms = self.warmups.ask_at_ms(&tracked.server.id, now_ms);
                let cold_ms = cold_ms.filter(|ask_at_ms| now_ms < *ask_at_ms);
                let resting_ms = self.rests.end_ms(&tracked.server, now_ms);
                resting_ms.max(limited_ms).max(cold_ms)
            })
            .collect();
        ends?.into_iter().min()
    }

    /// Returns whether this router has no connection left to a server that accepts
    /// requests and may serve the request.
    #[must_use]
    pub fn lacks_connection(&self, selection: &Selection<'_>, now_ms: u64) -> bool {
        let mut tracked = self.servers.values();
        tracked.any(|tracked| {
            selection.permits(&tracked.server)
                && self.may_send(tracked, now_ms)
                && !selection.has_connection(tracked)
        })
    }

    /// Returns the limits of servers.
    pub fn limits_mut(&mut self) -> &mut RateLimits {
        &mut self.limits
    }

    /// Returns which servers are cold.
    #[must_use]
    pub fn warmups(&self) -> &Warmups {
        &self.warmups
    }

    /// Returns which servers are cold, to change it.
    pub fn warmups_mut(&mut self) -> &mut Warmups {
        &mut self.warmups
    }

    /// Returns the cold servers that may serve a request, if a warm one may serve it
    /// as well; otherwise none.
    #[must_use]
    pub fn cold_beside_warm(&self, selection: &Selection<'_>, now_ms: u64) -> Vec<ServerId> {
        let accepting = self
            .servers
            .values()
            .filter(|tracked| selection.permits(&tracked.server) && self.may_send(tracked, now_ms));
        let (cold, warm): (Vec<_>, Vec<_>) = accepting.partition(|tracked| {
            let left_ms = self.warmups.cold_left_ms(&tracked.server.id, now_ms);
            left_ms.is_some()
        });
        if warm.is_empty() {
            return Vec::new();
        }
        let cold = cold.into_iter().map(|tracked| tracked.server.id.clone());
        cold.collect()
    }

    /// Returns whether the start of the server that `selected` describes is known
    /// at the same address and accepts new requests.
    #[must_use]
    pub fn accepts_requests_at(&self, selected: &ServerEntry, now_ms: u64) -> bool {
        let tracked = self.servers.get(&selected.id);
        tracked.is_some_and(|tracked| tracked.is_at(selected) && self.may_send(tracked, now_ms))
    }

    /// Returns whether a start of a server is known and accepts new requests.
    #[must_use]
    pub fn is_start_ready(&self, start: &ServerStart, now_ms: u64) -> bool {
        let tracked = self.servers.get(&start.server);
        tracked.is_some_and(|tracked| {
            ServerStart::from(&tracked.server) == *start && self.may_send(tracked, now_ms)
        })
    }

    /// Returns whether a server at `address` accepts new requests, so that another
    /// one may copy from its KV cache.
    #[must_use]
    pub fn may_copy_from(&self, address: &str, now_ms: u64) -> bool {
        self.servers
            .values()
            .any(|tracked| tracked.server.address == address && self.is_kv_source(tracked, now_ms))
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether there are no servers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Selects a server of `service` that is not in `attempted` and counts the
    /// request as in flight there. If all of these servers are unavailable
    /// because of failures or full capacity, one of them is selected
    /// nevertheless. A resting server, or one whose limit or warm-up admits no request
    /// now or to which this router may have no further connection, is never selected.
    pub fn choose(
        &mut self,
        service: &str,
        prompt: &PromptProfile,
        attempted: &[ServerId],
        now_ms: u64,
    ) -> Option<ServerEntry> {
        let selection = Selection {
            service,
            prompt,
            attempted,
            versions: None,
            connections: None,
            data_centres: None,
        };
        let selected = self.choose_with_kv_source(&selection, now_ms);
        selected.map(|selected| selected.server)
    }

    /// Like [`choose`](Self::choose), and also returns an engine from which the
    /// selected one can copy the beginning of the prompt.
    pub fn choose_with_kv_source(
        &mut self,
        selection: &Selection<'_>,
        now_ms: u64,
    ) -> Option<SelectedServer> {
        self.choose_within_memory(selection, None, now_ms)
    }

    /// Like [`choose_with_kv_source`](Self::choose_with_kv_source), and selects no
    /// engine whose memory has no room for `demand`.
    pub fn choose_within_memory(
        &mut self,
        selection: &Selection<'_>,
        demand: Option<&MemoryDemand>,
        now_ms: u64,
    ) -> Option<SelectedServer> {
        let draw = self.draws.next();
        let has_room = |tracked: &TrackedServer, now_ms| {
            demand.is_none_or(|demand| self.has_room(tracked, demand, now_ms))
        };
        let id = self
            .low_cost_server(selection, now_ms, draw, |tracked, now_ms| {
                tracked.is_available(now_ms)
                    && has_room(tracked, now_ms)
                    && self
                        .rests
                        .admits(&tracked.server, tracked.in_flight, now_ms)
            })
            .or_else(|| {
                self.low_cost_server(selection, now_ms, draw, |tracked, now_ms| {
                    tracked.accepts_requests(now_ms) && has_room(tracked, now_ms)
                })
            })?;
        self.select(&id, selection, demand, now_ms)
    }

    /// Like [`choose_within_memory`](Self::choose_within_memory), but selects only a
    /// server that is sound, has a free slot by its last load report, doesn't rest and
    /// has no limit: one for a second attempt.
    pub fn choose_spare(
        &mut self,
        selection: &Selection<'_>,
        demand: Option<&MemoryDemand>,
        now_ms: u64,
    ) -> Option<SelectedServer> {
        let draw = self.draws.next();
        let id = self.spare_server(selection, demand, now_ms, draw)?;
        self.select(&id, selection, demand, now_ms)
    }

    /// Returns whether [`choose_spare`](Self::choose_spare) would select a server.
    #[must_use]
    pub fn has_spare(
        &self,
        selection: &Selection<'_>,
        demand: Option<&MemoryDemand>,
        now_ms: u64,
    ) -> bool {
        self.spare_server(selection, demand, now_ms, 0.0).is_some()
    }

    fn spare_server(
        &self,
        selection: &Selection<'_>,
        demand: Option<&MemoryDemand>,
        now_ms: u64,
        draw: f64,
    ) -> Option<ServerId> {
        self.low_cost_server(selection, now_ms, draw, |tracked, now_ms| {
            tracked.is_available(now_ms)
                && tracked.ejections == 0
                && tracked.has_free_slot(now_ms)
                && !self.has_limit(&tracked.server)
                && demand.is_none_or(|demand| self.has_room(tracked, demand, now_ms))
                && self
                    .rests
                    .admits(&tracked.server, tracked.in_flight, now_ms)
        })
    }

    /// Returns whether a server is known to have a limit, so that a request to it needs
    /// a permit.
    #[must_use]
    pub fn has_limit(&self, server: &ServerEntry) -> bool {
        self.limits.ask_at_ms(server).is_some()
    }

    /// Counts a request as in flight at the server `id`.
    fn select(
        &mut self,
        id: &str,
        selection: &Selection<'_>,
        demand: Option<&MemoryDemand>,
        now_ms: u64,
    ) -> Option<SelectedServer> {
        let prompt = selection.prompt;
        let kv_source = self.kv_source(id, selection, now_ms);
        let tracked = self.servers.get_mut(id)?;
        tracked.in_flight += 1;
        let uncached_tokens = prompt.uncached_tokens(tracked.segments.cached_tokens(prompt));
        tracked.pending_tokens += uncached_tokens;
        if let Some(demand) = demand {
            tracked.held.add(demand.tokens);
        }
        for (segment, _) in &prompt.segments {
            tracked.segments.insert(*segment, now_ms);
        }
        let selected = SelectedServer {
            server: tracked.server.clone(),
            kv_source,
            uncached_tokens,
        };
        if demand.is_some() {
            self.record_held(selection.service);
        }
        Some(selected)
    }

    /// Returns whether an engine has room for a request. An engine that has not
    /// reported its load lately is expected to be loaded like the others.
    fn has_room(&self, tracked: &TrackedServer, demand: &MemoryDemand, now_ms: u64) -> bool {
        let service = &tracked.server.service;
        let others = tracked.others(now_ms);
        self.memory
            .has_room(service, &tracked.held, others, demand, now_ms)
    }

    /// Records which requests of this router the engines of a service hold.
    fn record_held(&mut self, service: &str) {
        let of_service = self.servers.values();
        let held = of_service
            .filter(|tracked| tracked.server.service == service)
            .fold(HeldTokens::default(), |sum, tracked| {
                sum.plus(&tracked.held, 1.0)
            });
        self.memory.record_held(service, &held);
    }

    /// Records that a request whose demand [`choose_within_memory`] has counted no
    /// longer takes memory of its engine. Precedes [`finish`](Self::finish).
    ///
    /// [`choose_within_memory`]: Self::choose_within_memory
    pub fn release_memory(&mut self, id: &str, demand: &MemoryDemand) {
        if let Some(tracked) = self.servers.get_mut(id) {
            tracked.held.remove(demand.tokens);
        }
    }

    /// Returns whether a server accepts requests and may serve the request, and all
    /// such servers have no room for `demand`.
    #[must_use]
    pub fn is_memory_full(
        &self,
        selection: &Selection<'_>,
        demand: &MemoryDemand,
        now_ms: u64,
    ) -> bool {
        let mut accepting = self
            .servers
            .values()
            .filter(|tracked| selection.permits(&tracked.server) && self.may_send(tracked, now_ms));
        let mut any = false;
        let full = accepting.all(|tracked| {
            any = true;
            !self.has_room(tracked, demand, now_ms)
        });
        any && full
    }

    /// Returns the address of an engine that has cached more of the beginning of
    /// the prompt than the engine `id`, if the copy is worth its setup time.
    fn kv_source(&self, id: &str, selection: &Selection<'_>, now_ms: u64) -> Option<String> {
        let prompt = selection.prompt;
        let chosen = self.servers.get(id)?;
        let cached_tokens = chosen.segments.cached_tokens(prompt);
        let (gain, source) = self
            .servers
            .values()
            .filter(|tracked| {
                tracked.server.id != id && tracked.server.service == chosen.server.service
            })
            .filter(|tracked| selection.permits_data_centre(&tracked.server))
            .filter(|tracked| self.is_kv_source(tracked, now_ms))
            .map(|tracked| {
                let gain = tracked
                    .segments
                    .copyable_tokens(prompt, now_ms)
                    .saturating_sub(cached_tokens);
                (gain, tracked)
            })
            .max_by_key(|(gain, tracked)| {
                let same_data_centre = tracked.server.data_centre == chosen.server.data_centre;
                (*gain, same_data_centre)
            })?;
        if gain >= MIN_COPIED_TOKENS {
            return Some(source.server.address.clone());
        }
        self.likely_kv_source(chosen, selection, now_ms)
    }

    /// Returns whether other engines may copy KV cache entries from an engine.
    fn is_kv_source(&self, tracked: &TrackedServer, now_ms: u64) -> bool {
        self.may_send(tracked, now_ms)
            && now_ms >= tracked.avoid_until_ms
            && !self.rests.is_resting(&tracked.server, now_ms)
    }

    /// Returns the address of an engine that has probably cached segments that
    /// the selected one lacks, because of requests from other routers: the
    /// affinity server of the session, or else the affinity server of the
    /// prompt's first segment.
    fn likely_kv_source(
        &self,
        chosen: &TrackedServer,
        selection: &Selection<'_>,
        now_ms: u64,
    ) -> Option<String> {
        let prompt = selection.prompt;
        let shared = prompt.segments.len().saturating_sub(1);
        let tokens =
            |segments: &[(u64, u64)]| segments.iter().map(|(_, tokens)| tokens).sum::<u64>();
        let cached_tokens = chosen.segments.cached_tokens(prompt);
        let candidates: Vec<&TrackedServer> = self
            .servers
            .values()
            .filter(|tracked| tracked.server.service == chosen.server.service)
            .filter(|tracked| selection.permits_data_centre(&tracked.server))
            .filter(|tracked| self.is_kv_source(tracked, now_ms))
            .collect();
        [shared, 1].into_iter().find_map(|count| {
            let prefix = prompt
                .segments
                .get(..count)
                .filter(|segments| !segments.is_empty())?;
            let (segment, _) = prefix.last()?;
            let affinity_server = affinity_server(&candidates, *segment)?;
            let worth_copying = tokens(prefix) >= cached_tokens + MIN_COPIED_TOKENS;
            // `kv_source` has already considered segments that this router has
            // sent to the engine.
            let not_recorded = !affinity_server.segments.times.contains_key(segment);
            let other = affinity_server.server.id != chosen.server.id;
            (worth_copying && not_recorded && other).then(|| affinity_server.server.address.clone())
        })
    }

    /// Returns the eligible server with the lowest predicted cost, of those that
    /// don't rest, whose limits admit a request, whose data centre is not evacuated and
    /// to which a connection is left. Where the service's servers report the speed of
    /// their machines, `draw` chooses among those of nearly this cost.
    fn low_cost_server(
        &self,
        selection: &Selection<'_>,
        now_ms: u64,
        draw: f64,
        eligible: impl Fn(&TrackedServer, u64) -> bool,
    ) -> Option<ServerId> {
        let prompt = selection.prompt;
        let candidates: Vec<&TrackedServer> = self
            .servers
            .values()
            .filter(|tracked| selection.permits(&tracked.server) && eligible(tracked, now_ms))
            .filter(|tracked| !self.is_evacuated(&tracked.server, now_ms))
            .filter(|tracked| !self.rests.is_resting(&tracked.server, now_ms))
            .filter(|tracked| self.limits.admits(&tracked.server, now_ms))
            .filter(|tracked| selection.has_connection(tracked))
            .filter(|tracked| self.warmups.admits(&tracked.server.id, now_ms))
            .collect();
        let affinity_server = prompt
            .affinity_key()
            .and_then(|segment| affinity_server(&candidates, segment))
            .map(|tracked| tracked.server.id.clone());
        let median = median_first_byte(&candidates);
        let cost = |tracked: &TrackedServer| {
            let is_affinity_server = affinity_server.as_ref() == Some(&tracked.server.id);
            self.cost_ms(tracked, prompt, is_affinity_server, median, now_ms)
        };
        let costs: Vec<(f64, &TrackedServer)> = candidates
            .iter()
            .map(|tracked| (cost(tracked), *tracked))
            .collect();
        let (best_ms, best) = *costs.iter().min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let Some(rate) = self.rates.service(selection.service, now_ms) else {
            return Some(best.server.id.clone());
        };
        // An engine that has to process more of the prompt is no equal choice.
        let uncached_tokens = |tracked: &TrackedServer| {
            let is_affinity_server = affinity_server.as_ref() == Some(&tracked.server.id);
            prompt.uncached_tokens(likely_cached_tokens(tracked, prompt, is_affinity_server))
        };
        let most_tokens = uncached_tokens(best) + MIN_COPIED_TOKENS;
        let (equal_ms, equal): (Vec<f64>, Vec<&TrackedServer>) = costs
            .into_iter()
            .filter(|(_, tracked)| uncached_tokens(tracked) <= most_tokens)
            .unzip();
        let margin_ms = match prompt.prompt_tokens {
            0 => SERVICE_SPREAD_MS,
            _ => rate.request_ms.max(best_ms * SPREAD_SHARE),
        };
        let picked = spread::pick(&equal_ms, margin_ms, draw)?;
        equal.get(picked).map(|tracked| tracked.server.id.clone())
    }

    /// Returns the predicted delay of a request at a server, in milliseconds. A
    /// request without prompt tokens is assumed to go to a server that is not an
    /// engine.
    fn cost_ms(
        &self,
        tracked: &TrackedServer,
        prompt: &PromptProfile,
        is_affinity_server: bool,
        median_ms: Option<f64>,
        now_ms: u64,
    ) -> f64 {
        let load = tracked.load(now_ms);
        let learnt = self.rates.service(&tracked.server.service, now_ms);
        let factor = learnt.map_or(1.0, |_| tracked.work_factor(now_ms));
        let distance_ms = if tracked.server.data_centre == self.data_centre {
            0.0
        } else {
            REMOTE_DATA_CENTRE_MS
        };
        if prompt.prompt_tokens == 0 {
            let excess = load.saturating_sub(tracked.server.slots / 2);
            let first_byte_ms = tracked.first_byte_ms.unwrap_or(0.0);
            return distance_ms
                + f64::from(load)
                + f64::from(excess) * SERVICE_REQUEST_MS
                + slow_penalty(first_byte_ms, median_ms)
                + first_byte_ms * (factor - 1.0);
        }
        let cached = likely_cached_tokens(tracked, prompt, is_affinity_server);
        let pending_tokens = tracked.pending_tokens + prompt.uncached_tokens(cached);
        let first_byte_ms = tracked.first_byte_ms.unwrap_or(0.0);
        let rate = learnt.map_or(DEFAULT_RATE, |learnt| learnt.of_engine(&tracked.speed));
        let work_ms =
            as_f64(pending_tokens) / rate.tokens_per_ms + f64::from(load) * rate.request_ms;
        let queued = learnt.map_or(0, |_| load.saturating_sub(tracked.server.slots));
        (work_ms + f64::from(queued) * QUEUED_REQUEST_MS) * factor
            + distance_ms
            + slow_penalty(first_byte_ms, median_ms)
    }

    /// Returns the learnt rates of a service; `None` if its servers have not reported
    /// the speed of their machines lately.
    #[must_use]
    pub fn learnt_rate(&self, service: &str, now_ms: u64) -> Option<ServiceRate> {
        self.rates.service(service, now_ms)
    }

    /// Records the first byte of a response, `elapsed_ms` after the request was
    /// sent. The server has then processed the `uncached_tokens` of the prompt.
    pub fn record_first_byte(&mut self, id: &str, uncached_tokens: u64, elapsed_ms: u64) {
        let Some(tracked) = self.servers.get_mut(id) else {
            return;
        };
        tracked.pending_tokens = tracked.pending_tokens.saturating_sub(uncached_tokens);
        if let Some((report, at_ms)) = tracked.report {
            // The report has come with the head of the response.
            let sample = FirstByteSample {
                tokens: uncached_tokens,
                elapsed_ms,
                load: tracked.load(at_ms),
                work_factor: work_factor(&report, 0),
                at_ms,
            };
            let service = &tracked.server.service;
            self.rates
                .record_first_byte(service, &mut tracked.speed, &sample);
        }
        let elapsed = as_f64(elapsed_ms);
        let smoothed = tracked.first_byte_ms.get_or_insert(elapsed);
        *smoothed += SMOOTHING * (elapsed - *smoothed);
    }

    /// Records that a request was cancelled `elapsed_ms` after it was sent because
    /// another server was faster. The first byte would have taken longer, which raises
    /// the server's time to first byte and is no failure.
    pub fn record_overtaken(&mut self, id: &str, elapsed_ms: u64) {
        if let Some(tracked) = self.servers.get_mut(id)
            && let Some(smoothed) = &mut tracked.first_byte_ms
        {
            let elapsed = as_f64(elapsed_ms);
            *smoothed += SMOOTHING * (elapsed - *smoothed).max(0.0);
        }
    }

    /// Records a server's load report.
    pub fn record_load(&mut self, id: &str, report: LoadReport, now_ms: u64) {
        if let Some(tracked) = self.servers.get_mut(id) {
            tracked.report = Some((report, now_ms));
            tracked.in_flight_at_report = tracked.in_flight;
            let service = &tracked.server.service;
            self.rates.record_report(service, &report, now_ms);
            let others = tracked.others(now_ms).count;
            self.memory.record_report(service, others, now_ms);
        }
    }

    /// Marks a start of a server as draining, which the server has reported with a
    /// response. Returns whether the start was not yet known to be draining.
    pub fn mark_draining(&mut self, id: &str, started_ms: u64) -> bool {
        if let Some(tracked) = self.servers.get_mut(id)
            && tracked.server.started_ms == started_ms
        {
            tracked.server.state = ServerState::Draining;
        }
        self.draining.insert(id, started_ms)
    }

    /// Marks the servers whose entries have `address` as draining: whichever of
    /// them responds there has reported it. Returns the IDs of those that were not
    /// yet known to be draining.
    pub fn mark_draining_at(&mut self, address: &str) -> Vec<ServerId> {
        let entries = self.servers.values().map(|tracked| &tracked.server);
        let mut starts: Vec<(ServerId, u64)> = entries
            .filter(|server| server.address == address)
            .map(|server| (server.id.clone(), server.started_ms))
            .collect();
        starts.retain(|(id, started_ms)| self.mark_draining(id, *started_ms));
        starts.into_iter().map(|(id, _)| id).collect()
    }

    /// Records that a server has refused a request and asked for no more for
    /// `rest_ms`. Returns whether a rest began; otherwise it was extended.
    pub fn record_rest(&mut self, server: &ServerEntry, rest_ms: u64, now_ms: u64) -> bool {
        self.rests.record(server, rest_ms, now_ms)
    }

    /// Records that another server responded at the address of the start that
    /// `selected` describes. It gets no more requests there.
    pub fn record_wrong_server(&mut self, selected: &ServerEntry) {
        if let Some(tracked) = self.servers.get_mut(&selected.id)
            && tracked.is_at(selected)
        {
            tracked.address_lost = true;
        }
    }

    /// Records the end of a request that [`choose`](Self::choose) counted.
    /// Returns `true` if the server is ejected because of it.
    pub fn finish(&mut self, id: &str, outcome: AttemptOutcome, now_ms: u64) -> bool {
        let Some(tracked) = self.servers.get_mut(id) else {
            return false;
        };
        tracked.in_flight = tracked.in_flight.saturating_sub(1);
        if tracked.in_flight == 0 {
            tracked.pending_tokens = 0;
            tracked.held = HeldTokens::default();
        }
        match outcome {
            AttemptOutcome::Neutral => {}
            AttemptOutcome::Answered => {
                tracked.failures = 0;
                tracked.ejections = 0;
                self.rests.record_answer(&tracked.server, now_ms);
            }
            AttemptOutcome::Full => {
                tracked.avoid_until_ms = tracked.avoid_until_ms.max(now_ms + FULL_BACKOFF_MS);
            }
            AttemptOutcome::Failed => return self.record_failure(id, now_ms),
        }
        false
    }

    /// Records that a server has been silent for longer than expected during a
    /// request that goes on. Returns `true` if the server is ejected because of
    /// it.
    pub fn record_silence(&mut self, id: &str, now_ms: u64) -> bool {
        self.record_failure(id, now_ms)
    }

    /// Records a failure. Returns `true` if the server is ejected because of it.
    fn record_failure(&mut self, id: &str, now_ms: u64) -> bool {
        let Some(tracked) = self.servers.get_mut(id) else {
            return false;
        };
        let is_ejected = tracked.record_failure(now_ms);
        if is_ejected {
            self.warmups.record_ejection(id, tracked.avoid_until_ms);
        }
        is_ejected
    }
}

/// Returns the preferred engine for a prompt segment, which is the same on
/// every router with the same candidates.
fn affinity_server<'a>(
    candidates: &[&'a TrackedServer],
    segment: u64,
) -> Option<&'a TrackedServer> {
    let key = format!("{segment:016x}");
    let by_weight = |tracked: &&&TrackedServer| rendezvous_weight(&key, &tracked.server.id);
    candidates.iter().max_by_key(by_weight).copied()
}

/// Returns how many tokens at the beginning of a prompt the server has probably
/// cached. All routers prefer the affinity server for the session, so it has probably
/// cached the shared segments.
fn likely_cached_tokens(
    tracked: &TrackedServer,
    prompt: &PromptProfile,
    is_affinity_server: bool,
) -> u64 {
    let cached = tracked.segments.cached_tokens(prompt);
    if !is_affinity_server {
        return cached;
    }
    let shared = prompt.segments.len().saturating_sub(1);
    let shared = prompt.segments.iter().take(shared);
    cached.max(shared.map(|(_, tokens)| tokens).sum())
}

/// Returns the excess over the median if a server is slow, otherwise 0.
fn slow_penalty(first_byte_ms: f64, median_ms: Option<f64>) -> f64 {
    match median_ms {
        Some(median) if first_byte_ms > median * SLOW_FACTOR => first_byte_ms - median,
        _ => 0.0,
    }
}

/// Returns the median of the smoothed times to first byte, in milliseconds.
fn median_first_byte(candidates: &[&TrackedServer]) -> Option<f64> {
    let mut times: Vec<f64> = candidates
        .iter()
        .filter_map(|tracked| tracked.first_byte_ms)
        .collect();
    times.sort_unstable_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}
