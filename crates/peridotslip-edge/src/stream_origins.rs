//! Carries out what [`StreamOrigins`] decides: registers the versions of
//! servers in the store, records streams at their witnesses, and finds out where
//! a stream began that a caller resumes at this router.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use peridotslip::forwarding::{
    MAX_STREAM_MS, ORIGIN_WITNESSES, OriginQuery, OriginReply, OriginVerdict, RoutingRule,
    ServerVersion, StreamOrigin, StreamOrigins, VersionHistory, origin_majority,
};
use tokio::{sync::Notify, task::JoinSet, time::Instant};

use crate::{
    budgets::PeerRequest,
    clock::Clock,
    context::{RequestContext, SharedState},
    peers::{Peers, RouterInstance},
    ports::{CasOutcome, Item, Revision, StoreError, StoreResult},
    rpc,
};

/// Prefix of the keys of version histories. The service's name follows.
const PREFIX: &str = "peridotslip/versions/";
/// The first version of the messages between routers that has the messages
/// about origins.
const MIN_PROTOCOL: u32 = 2;
/// Longest wait for a witness's reply, in milliseconds.
const WITNESS_TIMEOUT_MS: u64 = 250;
/// How long a record outlives its caller's deadline, in milliseconds.
const RECORD_MARGIN_MS: u64 = 2_000;
/// Pause between two attempts to record a stream at its witnesses while its
/// events are already forwarded, in milliseconds.
const RECORD_RETRY_MS: u64 = 500;
/// How long after a restore of the store an earlier write may take effect, in
/// milliseconds.
const LATE_WRITE_MS: u64 = 10_000;
/// Pause after the first failed call to the store, in milliseconds; doubled after
/// each further one.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest pause after a failed call to the store, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;

/// How a router knows where a resumed stream began. The labels are for logs and
/// metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// This router or a witness has a record.
    Record,
    /// No witness has ever had a record, so the first version began the stream.
    NeverRecorded,
    /// Only one version has ever served.
    OnlyVersion,
}

impl Evidence {
    fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::NeverRecorded => "never-recorded",
            Self::OnlyVersion => "only-version",
        }
    }
}

/// The versions and origins that this router knows.
pub(crate) struct OriginDirectory {
    state: Mutex<StreamOrigins>,
    clock: Clock,
    /// Notified when servers or routes have changed, so that a version may lack
    /// its registration.
    servers_changed: Notify,
}

impl OriginDirectory {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            state: Mutex::new(StreamOrigins::new(clock.now_ms())),
            clock,
            servers_changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StreamOrigins> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the versions of all servers checked.
    pub(crate) fn servers_changed(&self) {
        self.servers_changed.notify_one();
    }

    /// Returns the versions whose servers may begin streams of a service.
    pub(crate) fn versions(&self, service: &str) -> Vec<ServerVersion> {
        self.lock().versions(service).to_vec()
    }

    /// Records a stream as a witness. Returns whether it is recorded.
    pub(crate) fn record(&self, id: &str, origin: StreamOrigin, keep_ms: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let expires_ms = now_ms + keep_ms.min(MAX_STREAM_MS);
        self.lock().record(id, origin, expires_ms, now_ms)
    }

    /// Looks up a stream as a witness.
    pub(crate) fn find(&self, id: &str, services: &[String]) -> OriginReply {
        self.lock().find(id, services, self.clock.now_ms())
    }
}

/// Registers the versions of servers in the store until the process ends.
pub(crate) async fn register_versions(shared: Arc<SharedState>) {
    let mut epoch = shared.platform.store.epoch();
    let mut check_again_at: Option<Instant> = None;
    loop {
        while let Some((service, versions)) = unregistered(&shared) {
            register_with_retries(&shared, &service, &versions).await;
        }
        let check_again = async {
            match check_again_at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = shared.origins.servers_changed.notified() => {}
            Ok(()) = epoch.changed() => {
                register_known_versions(&shared).await;
                // A write that was sent before the restore may still replace a
                // history.
                check_again_at = Some(Instant::now() + Duration::from_millis(LATE_WRITE_MS));
            }
            () = check_again => {
                register_known_versions(&shared).await;
                check_again_at = None;
            }
        }
    }
}

/// Adds all known versions to the histories in the store, from which a restore
/// may have removed them.
async fn register_known_versions(shared: &SharedState) {
    let services: Vec<String> = {
        let origins = shared.origins.lock();
        origins.services().map(ToOwned::to_owned).collect()
    };
    for service in services {
        let versions = shared.origins.versions(&service);
        register_with_retries(shared, &service, &versions).await;
    }
}

async fn register_with_retries(shared: &SharedState, service: &str, versions: &[ServerVersion]) {
    let mut backoff_ms = FIRST_BACKOFF_MS;
    while let Err(err) = register(shared, service, versions).await {
        log::warn!(service, reason = err.to_string().as_str(); "can't register server versions; new ones get no streams until a retry succeeds");
        tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
}

/// Returns a service with resumable streams that has servers of unregistered
/// versions, and these versions.
fn unregistered(shared: &SharedState) -> Option<(String, Vec<ServerVersion>)> {
    let index = shared.index();
    let routes = index.table().routes.iter().filter(|route| resumable(route));
    let services: BTreeSet<&str> = routes
        .flat_map(|route| &route.weighted_services)
        .map(|(service, _)| service.as_str())
        .collect();
    services.into_iter().find_map(|service| {
        let registered = shared.origins.versions(service);
        let placement = shared.placement();
        let versions = placement.versions(service).into_iter();
        let missing: Vec<ServerVersion> = versions
            .filter(|version| !registered.iter().any(|known| known == version))
            .map(ToOwned::to_owned)
            .collect();
        (!missing.is_empty()).then(|| (service.to_owned(), missing))
    })
}

fn resumable(route: &RoutingRule) -> bool {
    route.streaming && route.resumable
}

/// Adds versions to a service's history in the store, and applies the history.
async fn register(
    shared: &SharedState,
    service: &str,
    versions: &[ServerVersion],
) -> StoreResult<()> {
    let store = &shared.platform.store;
    let key = format!("{PREFIX}{service}");
    shared.metrics.store_call("versions");
    let (mut revision, mut item) = store.get_for_swap(&key).await?;
    loop {
        let stored = decode(item.as_ref())?;
        let mut history = stored.clone();
        let added = versions
            .iter()
            .filter(|version| history.add(version))
            .count();
        if added > 0 {
            let value = serde_json::to_vec(&history)
                .map_err(|err| StoreError::Unreadable(err.to_string()))?;
            shared.metrics.store_call("versions");
            if let CasOutcome::Conflict(current) =
                store.compare_and_swap(&key, revision, &value).await?
            {
                revision = current
                    .as_ref()
                    .map_or(Revision::absent(revision.epoch), |item| item.revision);
                item = current;
                continue;
            }
        }
        log::info!(service, versions:? = history.versions(); "server versions registered");
        shared.origins.lock().set_history(service, &stored, history);
        return Ok(());
    }
}

fn decode(item: Option<&Item>) -> StoreResult<VersionHistory> {
    let Some(item) = item else {
        return Ok(VersionHistory::default());
    };
    serde_json::from_slice(&item.value).map_err(|err| StoreError::Unreadable(err.to_string()))
}

/// Reads the only version that has ever served a service. Returns `None` if there
/// are several or the store is unavailable.
async fn read_only_version(shared: &SharedState, service: &str) -> Option<ServerVersion> {
    let several = shared.origins.lock().must_record(service);
    if several || !shared.store_availability.is_available() {
        return None;
    }
    shared.metrics.store_call("versions");
    let store = &shared.platform.store;
    let item = store.get(&format!("{PREFIX}{service}")).await;
    match item.and_then(|item| decode(item.as_ref())) {
        Ok(history) => history.only().cloned(),
        Err(err) => {
            log::warn!(service, reason = err.to_string().as_str(); "can't read the server versions of a service");
            None
        }
    }
}

/// Records where a stream has begun before its first event is forwarded.
///
/// If too few witnesses reply, further attempts follow while the stream goes on.
pub(crate) async fn record_begin(cx: &RequestContext, version: &str) {
    let origin = StreamOrigin {
        service: cx.service.clone(),
        version: version.to_owned(),
    };
    let shared = &cx.shared;
    let deadline_ms = cx.metadata.deadline_ms.unwrap_or(MAX_STREAM_MS);
    let keep_ms = deadline_ms.saturating_add(RECORD_MARGIN_MS);
    let id = cx.id().to_owned();
    shared.origins.record(&id, origin.clone(), keep_ms);
    if !shared.origins.lock().must_record(&cx.service) {
        return;
    }
    let record = PeerRequest::RecordOrigin {
        id,
        origin,
        keep_ms,
    };
    if record_at_witnesses(&shared.peers, cx.id(), &record).await {
        return;
    }
    log::warn!(id = cx.id(), version; "too few routers have recorded a stream's version; trying again");
    let (peers, id) = (shared.peers.clone(), cx.id().to_owned());
    tokio::spawn(async move {
        for _ in 0..keep_ms.min(MAX_STREAM_MS) / RECORD_RETRY_MS {
            tokio::time::sleep(Duration::from_millis(RECORD_RETRY_MS)).await;
            if record_at_witnesses(&peers, &id, &record).await {
                return;
            }
        }
        log::error!(id = id.as_str(); "too few routers have recorded a stream's version; a resumption may be rejected");
    });
}

/// Returns the witnesses of a stream, which every router with the same fleet
/// determines alike.
fn witnesses(peers: &Peers, id: &str) -> Vec<RouterInstance> {
    let mut fleet = peers.fleet(id);
    fleet.truncate(ORIGIN_WITNESSES);
    fleet
}

/// Sends a record to the witnesses of a stream. Returns whether a majority has
/// it, as soon as this is known.
async fn record_at_witnesses(peers: &Arc<Peers>, id: &str, record: &PeerRequest) -> bool {
    let witnesses = witnesses(peers, id);
    let mut missing = origin_majority(witnesses.len());
    let mut calls = JoinSet::new();
    for witness in witnesses {
        if witness == *peers.local() {
            missing -= 1;
        } else if witness.protocol >= MIN_PROTOCOL && peers.is_reachable(&witness) {
            let (peers, record) = (peers.clone(), record.clone());
            calls.spawn(async move { call::<bool>(&peers, &witness, &record).await });
        }
    }
    while missing > 0 {
        match calls.join_next().await {
            Some(reply) => missing -= usize::from(matches!(reply, Ok(Ok(true)))),
            None => return false,
        }
    }
    // The others get the record as well.
    calls.detach_all();
    true
}

async fn call<A: serde::de::DeserializeOwned>(
    peers: &Peers,
    witness: &RouterInstance,
    request: &PeerRequest,
) -> rpc::Result<A> {
    let timeout = Duration::from_millis(WITNESS_TIMEOUT_MS);
    peers.call(witness, request, timeout).await
}

/// Finds out where the stream began that the request resumes. Returns `None` if
/// that can't be known.
pub(crate) async fn find_origin(cx: &RequestContext) -> Option<StreamOrigin> {
    let services: Vec<String> = cx
        .route
        .iter()
        .flat_map(|route| &route.weighted_services)
        .map(|(service, _)| service.clone())
        .collect();
    let first_version = |version: Option<ServerVersion>| {
        version.map(|version| StreamOrigin {
            service: cx.service.clone(),
            version,
        })
    };
    let verdict = match cx.metadata.resumes.as_deref() {
        Some(id) => ask_witnesses(cx, id, &services).await,
        None => None,
    };
    let found = match verdict {
        Some(OriginVerdict::Recorded(origin)) => Some((origin, Evidence::Record)),
        Some(OriginVerdict::NeverRecorded) => {
            let first = cx.shared.origins.lock().first_version(&cx.service).cloned();
            first_version(first).map(|origin| (origin, Evidence::NeverRecorded))
        }
        None => {
            let only = read_only_version(&cx.shared, &cx.service).await;
            first_version(only).map(|origin| (origin, Evidence::OnlyVersion))
        }
    };
    let resumes = cx.metadata.resumes.as_deref().unwrap_or("");
    match &found {
        Some((origin, evidence)) => {
            log::info!(id = cx.id(), resumes, version = origin.version.as_str(), evidence = evidence.as_str(); "stream resumed by its caller");
        }
        None => {
            log::warn!(id = cx.id(), resumes; "can't find out which version began a stream; rejecting its resumption");
        }
    }
    let (origin, _) = found?;
    Some(origin)
}

async fn ask_witnesses(
    cx: &RequestContext,
    id: &str,
    services: &[String],
) -> Option<OriginVerdict> {
    let own = cx.shared.origins.find(id, services);
    if let Some(origin) = own.origin {
        return Some(OriginVerdict::Recorded(origin));
    }
    let peers = &cx.shared.peers;
    let witnesses = witnesses(peers, id);
    let mut query = OriginQuery::new(witnesses.len());
    let mut calls = JoinSet::new();
    for witness in witnesses {
        if witness == *peers.local() {
            if let Some(verdict) = query.add(own.clone()) {
                return Some(verdict);
            }
        } else if witness.protocol >= MIN_PROTOCOL {
            let request = PeerRequest::FindOrigin {
                id: id.to_owned(),
                services: services.to_vec(),
            };
            let peers = peers.clone();
            calls.spawn(async move { call::<OriginReply>(&peers, &witness, &request).await });
        }
    }
    while let Some(reply) = calls.join_next().await {
        if let Ok(Ok(reply)) = reply
            && let Some(verdict) = query.add(reply)
        {
            return Some(verdict);
        }
    }
    None
}
