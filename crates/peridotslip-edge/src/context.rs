//! What a request carries through the filters, and what all requests share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use peridotslip::forwarding::{Organisation, Placement, RetryBudget, RoutingIndex, RoutingRule};
use tokio::sync::watch;

use crate::{
    budgets::{BudgetManager, ReservationGuard},
    clock::Clock,
    head_limit::InRequestGuard,
    metrics::Metrics,
    peers::Peers,
    ports::{Platform, RequestMetadata},
    reason::RejectionReason,
    settings::Settings,
    upstream::Upstream,
};

/// Part of the fleet's allowance of repeated sends that is used, so that
/// routers with uneven shares of the traffic stay within it together.
const ALLOWANCE_SHARE: f64 = 0.6;
/// Part of the permitted ratio of repeated sends that is used.
const RATIO_SHARE: f64 = 0.7;

/// What all requests share.
pub(crate) struct SharedState {
    settings: Mutex<Arc<Settings>>,
    pub(crate) platform: Platform,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) peers: Arc<Peers>,
    pub(crate) budgets: Arc<BudgetManager>,
    pub(crate) upstream: Upstream,
    pub(crate) placement: Mutex<Placement>,
    index: Mutex<Arc<RoutingIndex>>,
    retry_budgets: Mutex<HashMap<String, RetryBudget>>,
    /// Counts the times that a feed lost the store, so that the others look
    /// again.
    pub(crate) store_outages: watch::Sender<u64>,
    pub(crate) stopping: AtomicBool,
    pub(crate) open_requests: AtomicUsize,
}

impl SharedState {
    pub(crate) fn new(
        settings: Settings,
        platform: Platform,
        metrics: Arc<Metrics>,
        clock: Clock,
        peers: Arc<Peers>,
        budgets: Arc<BudgetManager>,
    ) -> Self {
        let placement = Mutex::new(Placement::new(&settings.data_centre));
        Self {
            upstream: Upstream::new(metrics.clone()),
            settings: Mutex::new(Arc::new(settings)),
            platform,
            metrics,
            clock,
            peers,
            budgets,
            placement,
            index: Mutex::default(),
            retry_budgets: Mutex::default(),
            store_outages: watch::Sender::new(0),
            stopping: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn set_settings(&self, settings: Settings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// The routing table in force.
    pub(crate) fn index(&self) -> Arc<RoutingIndex> {
        self.index
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a table in force unless a newer one is. Returns whether it did.
    pub(crate) fn set_index(&self, index: RoutingIndex) -> bool {
        let mut held = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = index.version() > held.version();
        if newer {
            *held = Arc::new(index);
        }
        newer
    }

    pub(crate) fn placement(&self) -> MutexGuard<'_, Placement> {
        self.placement
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether requests can be answered.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.index().version() > 0 && !self.placement().is_empty()
    }

    /// Runs `f` on the budget of repeated sends to `service`.
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
        let allowance = || settings.allowance * ALLOWANCE_SHARE / self.peers.fleet_size() as f64;
        let budget = retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(settings.ratio * RATIO_SHARE, allowance()));
        f(budget)
    }
}

/// Counts a request while it is open.
pub(crate) struct OpenRequest {
    shared: Arc<SharedState>,
    on_connection: InRequestGuard,
}

impl OpenRequest {
    pub(crate) fn new(shared: &Arc<SharedState>, on_connection: InRequestGuard) -> Self {
        shared.open_requests.fetch_add(1, Ordering::Relaxed);
        Self {
            shared: shared.clone(),
            on_connection,
        }
    }

    /// The rest of the request will not be read, so no head can follow.
    pub(crate) fn abandon_connection(&mut self) {
        self.on_connection.keep();
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shared.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request on its way through the filters.
pub(crate) struct RequestContext {
    pub(crate) open: OpenRequest,
    pub(crate) shared: Arc<SharedState>,
    /// When its head had been read.
    pub(crate) arrived: Instant,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) metadata: RequestMetadata,
    pub(crate) index: Arc<RoutingIndex>,
    pub(crate) route: Option<Arc<RoutingRule>>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) service: String,
    pub(crate) reservation: Option<ReservationGuard>,
}

impl RequestContext {
    /// The caller's name for the request, for logs.
    pub(crate) fn id(&self) -> &str {
        self.metadata.attempt_id.as_deref().unwrap_or("")
    }

    /// When the final answer is due at the latest.
    pub(crate) fn deadline(&self) -> Instant {
        let route_ms = self
            .route
            .as_ref()
            .map_or(u64::MAX, |route| route.timeout_ms);
        let caller_ms = self.metadata.deadline_ms.unwrap_or(u64::MAX);
        // A day stands for no limit; no route waits longer.
        let limit_ms = route_ms.min(caller_ms).min(24 * 60 * 60 * 1000);
        self.arrived + Duration::from_millis(limit_ms)
    }

    /// What is left until then.
    pub(crate) fn time_remaining(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }
}

/// An answer of the router's own in place of a server's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) reason: RejectionReason,
    /// When to come back, in milliseconds.
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
