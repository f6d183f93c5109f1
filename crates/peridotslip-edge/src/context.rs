//! The state of one request, and the state that all requests share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use http::{HeaderMap, Method, Uri, header};
use peridotslip::{
    forwarding::{
        CrashVerdict, HedgePools, Hedging, Obstacle, Organisation, Placement, RequestFingerprint,
        RequestPart, RetryBudget, RoutingIndex, RoutingRule, Selection, ServerVersion,
        TableFreshness, WarmupPermits,
    },
    memory::MemoryPool,
    vm_shares::{self, VmShares},
};

use tokio::sync::watch;

use crate::{
    body::StreamedResponses,
    budgets::{BudgetManager, ReservationGuard},
    caller_connections::CallerConnections,
    clock::Clock,
    connection_room::ConnectionRanks,
    crash_watch::CrashWatch,
    feeds::Feeds,
    limited_stream::ConnectionLimits,
    link_gate::{LinkGate, LinkTicket},
    local_health::LocalHealth,
    metrics::Metrics,
    origin_store::OriginStore,
    peers::Peers,
    ports::{Platform, RequestMetadata},
    reason::RejectionReason,
    request_body::{RequestBodies, RequestContent},
    settings::Settings,
    shortage::Shortages,
    store_availability::StoreAvailability,
    stream_origins::OriginDirectory,
    upstream::ConnectionPools,
};

/// Fraction of the fleet's allowance of retries that the routers use. The rest
/// is a margin: traffic is not spread evenly over the routers, and together
/// they must stay within the allowance.
const ALLOWANCE_SHARE: f64 = 0.6;
/// Fraction of the permitted ratio of retries to requests that the routers
/// use.
const RATIO_SHARE: f64 = 0.7;

/// The router is short of memory for responses if less than one of so many parts is free.
const MIN_FREE_RESPONSE_PARTS: usize = 4;

/// The state that all requests share.
pub(crate) struct SharedState {
    settings: Mutex<Arc<Settings>>,
    pub(crate) platform: Platform,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) peers: Arc<Peers>,
    pub(crate) budgets: Arc<BudgetManager>,
    pub(crate) health: Arc<LocalHealth>,
    pub(crate) upstream: ConnectionPools,
    pub(crate) connection_ranks: ConnectionRanks,
    pub(crate) link_gate: LinkGate,
    /// What shortages cost organisations.
    pub(crate) shortages: Shortages,
    pub(crate) vm_shares: VmShares,
    pub(crate) response_memory: MemoryPool,
    pub(crate) request_bodies: Arc<RequestBodies>,
    pub(crate) caller_connections: Arc<CallerConnections>,
    pub(crate) streamed: Arc<StreamedResponses>,
    pub(crate) placement: Mutex<Placement>,
    /// The permits for cold servers that this router gives out.
    pub(crate) warmup_permits: Mutex<WarmupPermits>,
    pub(crate) origins: OriginDirectory,
    pub(crate) origin_store: OriginStore,
    pub(crate) crashes: CrashWatch,
    index: Mutex<Arc<RoutingIndex>>,
    table_freshness: Mutex<TableFreshness>,
    retry_budgets: Mutex<HashMap<String, RetryBudget>>,
    pub(crate) hedging: Mutex<Hedging>,
    /// The pools of second attempts that this router keeps.
    pub(crate) hedge_pools: Mutex<HedgePools>,
    pub(crate) store_availability: StoreAvailability,
    pub(crate) feeds: Feeds,
    pub(crate) stopping: AtomicBool,
    /// When a stopping router answers the requests that are still open; `None` while it
    /// runs.
    answer_by: watch::Sender<Option<Instant>>,
    /// Whether the peers' observations have been read since the start.
    pub(crate) peer_state_loaded: AtomicBool,
    pub(crate) open_requests: AtomicUsize,
}

impl SharedState {
    /// Returns the state at the start of a router.
    ///
    /// # Errors
    ///
    /// An error if the VM is too small for a router.
    pub(crate) fn new(
        settings: Settings,
        platform: Platform,
        metrics: Arc<Metrics>,
        clock: Clock,
        peers: Arc<Peers>,
        budgets: Arc<BudgetManager>,
        health: Arc<LocalHealth>,
    ) -> vm_shares::Result<Self> {
        let vm_shares = settings.vm_size.shares()?;
        let mut placement = Placement::new(&settings.data_centre);
        placement.seed_choices(rand::random());
        let placement = Mutex::new(placement);
        let feeds = Feeds::new(&settings.vm, clock);
        let hedge_pools = HedgePools::new(peers.local().incarnation);
        let response_memory = MemoryPool::new(vm_shares.responses);
        Ok(Self {
            upstream: ConnectionPools::new(metrics.clone(), health.meter.clone()),
            connection_ranks: ConnectionRanks::default(),
            link_gate: LinkGate::default(),
            shortages: Shortages::default(),
            streamed: Arc::new(StreamedResponses::new(response_memory.clone(), clock)),
            response_memory,
            request_bodies: RequestBodies::new(vm_shares.request_bodies, clock),
            caller_connections: CallerConnections::new(
                vm_shares.caller_sockets,
                vm_shares.connections,
                clock,
                metrics.clone(),
            ),
            vm_shares,
            settings: Mutex::new(Arc::new(settings)),
            platform,
            metrics,
            clock,
            peers,
            budgets,
            health,
            placement,
            warmup_permits: Mutex::default(),
            origins: OriginDirectory::new(clock),
            crashes: CrashWatch::new(clock),
            index: Mutex::default(),
            table_freshness: Mutex::default(),
            retry_budgets: Mutex::default(),
            hedging: Mutex::default(),
            origin_store: OriginStore::default(),
            hedge_pools: Mutex::new(hedge_pools),
            store_availability: StoreAvailability::new(),
            feeds,
            stopping: AtomicBool::new(false),
            answer_by: watch::Sender::default(),
            peer_state_loaded: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
        })
    }

    /// Returns the active settings.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the active settings.
    pub(crate) fn set_settings(&self, settings: Settings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// Returns the index of the active routing table.
    pub(crate) fn index(&self) -> Arc<RoutingIndex> {
        self.index
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Activates a table if its version is newer than the active one. Returns
    /// whether it was activated.
    pub(crate) fn set_index(&self, index: RoutingIndex) -> bool {
        let mut active = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = index.version() > active.version();
        if newer {
            *active = Arc::new(index);
        }
        newer
    }

    /// Locks the record of how current the routing table is.
    pub(crate) fn table_freshness(&self) -> MutexGuard<'_, TableFreshness> {
        self.table_freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how long ago the routing table was current, in milliseconds.
    pub(crate) fn table_age_ms(&self) -> Option<u64> {
        self.table_freshness().age_ms(self.clock.now_ms())
    }

    /// Returns whether this router would have learnt of a newer table than the active
    /// one, if that must be in force.
    pub(crate) fn is_table_current(&self) -> bool {
        let max_age_ms = self.settings().table_timing().max_age_ms();
        let now_ms = self.clock.now_ms();
        self.table_freshness().is_current(max_age_ms, now_ms)
    }

    /// Returns whether the routing table still counts as current after `wait`, for this
    /// router and for those that follow it.
    pub(crate) fn is_table_current_after(&self, wait: Duration) -> bool {
        let timing = self.settings().table_timing();
        let max_age_ms = if self.feeds.has_followers() {
            timing.max_relay_age_ms()
        } else {
            timing.max_age_ms()
        };
        let at_ms = self.clock.ms_at(Instant::now() + wait);
        self.table_freshness().is_current(max_age_ms, at_ms)
    }

    /// Locks the servers' placement.
    pub(crate) fn placement(&self) -> MutexGuard<'_, Placement> {
        self.placement
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the router is stopping and answers all requests by a time.
    pub(crate) fn set_stopping(&self, answer_by: Instant) {
        self.answer_by.send_replace(Some(answer_by));
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns when the router answers the requests that are still open, if it is
    /// stopping.
    pub(crate) fn answer_by(&self) -> Option<Instant> {
        *self.answer_by.borrow()
    }

    /// Waits until a stopping router answers the requests that are still open.
    pub(crate) async fn wait_answer_due(&self) {
        let mut answer_by = self.answer_by.subscribe();
        match answer_by.wait_for(Option::is_some).await.map(|at| *at) {
            Ok(Some(at)) => tokio::time::sleep_until(at.into()).await,
            // The sender lives as long as the process.
            _ => std::future::pending().await,
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether this router can serve requests: it is not stopping, has a
    /// routing table, knows at least one server and has read its peers'
    /// observations.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.index().version() > 0
            && !self.placement().is_empty()
            && self.peer_state_loaded.load(Ordering::Relaxed)
    }

    /// Returns whether this router lacks what it needs for its callers' requests, so
    /// that it makes no optional attempts.
    pub(crate) fn is_short_of_capacity(&self) -> bool {
        self.is_stopping()
            || self.response_memory.free() < self.vm_shares.responses / MIN_FREE_RESPONSE_PARTS
    }

    /// Runs `f` on the retry budget of `service`.
    pub(crate) fn with_retry_budget<T>(
        &self,
        service: &str,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let settings = self.settings().retries.clone();
        #[allow(clippy::cast_precision_loss)]
        let allowance = settings.allowance * ALLOWANCE_SHARE / self.peers.fleet_size() as f64;
        let ratio = settings.ratio * RATIO_SHARE;
        let budget = retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(ratio, allowance));
        budget.set_limits(ratio, allowance);
        f(budget)
    }
}

impl ConnectionLimits for SharedState {
    fn idle(&self) -> Duration {
        Duration::from_millis(self.index().table().limits.idle_timeout_ms)
    }

    fn head(&self) -> Duration {
        Duration::from_millis(self.index().table().limits.header_timeout_ms)
    }

    fn head_bytes(&self) -> usize {
        self.index().table().limits.max_header_bytes
    }
}

/// Counts a request as open until it and all its clones are dropped.
#[derive(Clone)]
pub(crate) struct OpenRequestGuard {
    _open: Arc<OpenRequest>,
}

struct OpenRequest {
    shared: Arc<SharedState>,
}

impl OpenRequestGuard {
    pub(crate) fn new(shared: &Arc<SharedState>) -> Self {
        shared.open_requests.fetch_add(1, Ordering::Relaxed);
        let shared = shared.clone();
        Self {
            _open: Arc::new(OpenRequest { shared }),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shared.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The state of one request in the filters and in dispatch.
pub(crate) struct RequestContext {
    pub(crate) _open_guard: OpenRequestGuard,
    pub(crate) shared: Arc<SharedState>,
    /// When the request's head had been read.
    pub(crate) arrived: Instant,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestContent,
    pub(crate) metadata: RequestMetadata,
    pub(crate) index: Arc<RoutingIndex>,
    pub(crate) route: Option<Arc<RoutingRule>>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) service: String,
    /// The data centres whose servers may get the request; `None` if all may.
    pub(crate) data_centres: Option<Vec<String>>,
    pub(crate) reservation: Option<ReservationGuard>,
    /// What the request uses of the link; `None` if that is not limited.
    pub(crate) link_ticket: Option<Arc<LinkTicket>>,
    /// What other requests may have in common with this one, once its body has been read.
    pub(crate) parts: Vec<RequestPart>,
    /// Whether the request is sent although it is blocked, to learn whether it still
    /// crashes servers.
    pub(crate) is_probe: bool,
}

impl RequestContext {
    /// Returns the caller's attempt ID for log lines; empty if the request has
    /// none.
    pub(crate) fn id(&self) -> &str {
        self.metadata.attempt_id.as_deref().unwrap_or("")
    }

    /// Returns the length of the body that the head declares, in bytes.
    pub(crate) fn declared_length(&self) -> Option<usize> {
        let length = self.headers.get(header::CONTENT_LENGTH)?;
        length.to_str().ok()?.trim().parse().ok()
    }

    /// Returns the time by which the response must be complete. A stopping router answers
    /// before it ends.
    pub(crate) fn deadline(&self) -> Instant {
        let route_ms = self
            .route
            .as_ref()
            .map_or(u64::MAX, |route| route.timeout_ms);
        let caller_ms = self.metadata.deadline_ms.unwrap_or(u64::MAX);
        // A day means no limit; no route waits longer.
        let limit_ms = route_ms.min(caller_ms).min(24 * 60 * 60 * 1000);
        let deadline = self.arrived + Duration::from_millis(limit_ms);
        let answer_by = self.shared.answer_by();
        answer_by.map_or(deadline, |answer_by| answer_by.min(deadline))
    }

    /// Returns the host to which the request is addressed.
    pub(crate) fn host(&self) -> Option<&str> {
        match self.uri.authority() {
            Some(authority) => Some(authority.as_str()),
            None => self.headers.get(header::HOST)?.to_str().ok(),
        }
    }

    /// Sets the request's parts from its head and its complete body.
    pub(crate) fn set_parts(&mut self) {
        let organisation = self.organisation.as_ref();
        let caller = organisation.map_or("", |organisation| organisation.name.as_str());
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let host = self.host().unwrap_or("");
        let mut request = RequestFingerprint::new(caller, self.method.as_str(), host, path);
        self.body.parts().for_each(|part| request.append(part));
        let mut parts = self.metadata.prompt.shared_segments();
        parts.push(request.finish());
        self.parts = parts;
    }

    /// Returns the part of the request because of which it must not be sent, as servers
    /// have crashed under it.
    pub(crate) fn blocked_part(&self) -> Option<RequestPart> {
        let CrashVerdict::Blocked(blocked) = self.shared.crashes.verdict(&self.parts) else {
            return None;
        };
        let mut parts = self.parts.iter();
        parts.find(|part| part.id == blocked).copied()
    }

    /// Returns whether the request must not be sent because it crashes servers.
    pub(crate) fn is_blocked(&self) -> bool {
        !self.is_probe && self.blocked_part().is_some()
    }

    /// Returns whether servers have crashed under the request, so that it must not be sent
    /// a second time.
    pub(crate) fn is_suspect(&self) -> bool {
        self.shared.crashes.verdict(&self.parts) != CrashVerdict::Clear
    }

    /// Waits until the request must not be sent because it crashes servers.
    pub(crate) async fn wait_blocked(&self) {
        if self.is_probe {
            return std::future::pending().await;
        }
        self.shared.crashes.wait_blocked(&self.parts).await;
    }

    /// Returns what the request requires of a server of `service`.
    pub(crate) fn selection<'a>(
        &'a self,
        service: &'a str,
        versions: Option<&'a [ServerVersion]>,
    ) -> Selection<'a> {
        Selection {
            service,
            prompt: &self.metadata.prompt,
            attempted: &[],
            versions,
            connections: None,
            data_centres: self.data_centres.as_deref(),
        }
    }

    /// Returns the rejection of a request that evacuations or home regions leave no
    /// server.
    pub(crate) fn obstacle_rejection(&self, selection: &Selection<'_>) -> Option<Rejection> {
        let now_ms = self.shared.clock.now_ms();
        let obstacle = self.shared.placement().obstacle(selection, now_ms)?;
        let reason = match obstacle {
            Obstacle::Evacuated => RejectionReason::Evacuated,
            Obstacle::NoHomeRegion => RejectionReason::NoHomeRegion,
        };
        let no_region = selection.data_centres.is_some_and(<[String]>::is_empty);
        if no_region {
            // Only another table or other settings remedy it.
            return Some(Rejection::new(reason));
        }
        let after_ms = self.shared.settings().timing.retry_after_ms;
        Some(Rejection::after(reason, after_ms))
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_remaining(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }
}

/// An error response from the router itself, in place of a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) reason: RejectionReason,
    /// When the caller may retry, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Rejection {
    pub(crate) fn new(reason: RejectionReason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    pub(crate) fn after(reason: RejectionReason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}

/// The result of a filter.
pub(crate) type Result<T> = std::result::Result<T, Rejection>;
