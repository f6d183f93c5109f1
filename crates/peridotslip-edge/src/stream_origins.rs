//! Carries out what [`StreamOrigins`] decides: records streams at their witnesses,
//! and finds out where a stream began that a caller resumes at this router.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use peridotslip::forwarding::{
    HistorySource, MAX_STREAM_MS, ORIGIN_WITNESSES, OriginQuery, OriginReply, OriginVerdict,
    ServerVersion, StreamOrigin, StreamOrigins, VersionHistory, origin_majority,
};
use tokio::{sync::Notify, task::JoinSet};

use crate::{
    budgets::PeerRequest,
    clock::Clock,
    context::{RequestContext, SharedState},
    origin_store,
    peers::{Peers, RouterInstance},
    rpc,
    server_versions::read_only_version,
};

/// The first version of the messages between routers that has the messages
/// about origins.
const MIN_PROTOCOL: u32 = 2;
/// Longest wait for a witness's reply, in milliseconds.
const WITNESS_TIMEOUT_MS: u64 = 250;
/// Pause between two attempts to record a stream at its witnesses while its
/// events are already forwarded, in milliseconds.
const RECORD_RETRY_MS: u64 = 500;

/// Prefix of the names of the histories of hosts' stream services. No service's name
/// contains a slash.
const STREAM_SERVICES_PREFIX: &str = "streams/";

/// Returns the name of the history of the services that a host's resumable streams are
/// forwarded to. Its entries are the descriptions of
/// [`RoutingIndex::stream_services`](peridotslip::forwarding::RoutingIndex::stream_services).
pub(crate) fn stream_services_history(host: &str) -> String {
    format!("{STREAM_SERVICES_PREFIX}{}", host.to_ascii_lowercase())
}

/// How a router knows where a resumed stream began.
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
    /// Returns the label in logs.
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

    /// Returns the known versions of a service: the first two at most.
    pub(crate) fn versions(&self, service: &str) -> Vec<ServerVersion> {
        self.lock().versions(service).to_vec()
    }

    /// Returns whether servers of a version may begin streams of a service.
    pub(crate) fn permits(&self, service: &str, version: &str) -> bool {
        self.lock().permits(service, version)
    }

    /// Waits until servers or routes have changed.
    pub(crate) async fn wait_for_servers_changed(&self) {
        self.servers_changed.notified().await;
    }

    /// Returns the services with known versions.
    pub(crate) fn services(&self) -> Vec<String> {
        self.lock().services().map(ToOwned::to_owned).collect()
    }

    /// Applies a service's versions in the store; see
    /// [`StreamOrigins::set_history`].
    pub(crate) fn set_history(
        &self,
        service: &str,
        stored: &VersionHistory,
        history: &VersionHistory,
        source: HistorySource,
    ) {
        let now_ms = self.clock.now_ms();
        self.lock()
            .set_history(service, stored, history, source, now_ms);
    }

    /// Returns the version at which streams began that were never recorded.
    fn first_version(&self, service: &str) -> Option<ServerVersion> {
        let now_ms = self.clock.now_ms();
        self.lock().first_version(service, now_ms).cloned()
    }

    /// Returns whether streams of a service must be recorded at witnesses.
    pub(crate) fn must_record(&self, service: &str) -> bool {
        self.lock().must_record(service, self.clock.now_ms())
    }

    /// Returns whether a service is known to have had several versions.
    pub(crate) fn has_several_versions(&self, service: &str) -> bool {
        self.lock().has_several_versions(service)
    }

    /// Returns whether streams of a version may begin without a record.
    fn may_begin_unrecorded(&self, service: &str, version: &str) -> bool {
        let now_ms = self.clock.now_ms();
        self.lock().may_begin_unrecorded(service, version, now_ms)
    }

    /// Records a stream as a witness. Returns whether it is recorded.
    pub(crate) fn record(&self, id: &str, origin: StreamOrigin, keep_ms: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let expires_ms = now_ms + keep_ms.min(MAX_STREAM_MS);
        self.lock().record(id, origin, expires_ms, now_ms)
    }

    /// Looks up a stream in this router's records.
    fn find(&self, id: &str, services: &[String]) -> OriginReply {
        self.lock().find(id, services, self.clock.now_ms())
    }
}

/// Where the resumable streams of a request's host are forwarded.
struct StreamServices {
    /// The history's name.
    history: String,
    /// The description in the table by which the request was routed.
    active: ServerVersion,
}

impl StreamServices {
    fn of(cx: &RequestContext) -> Option<Self> {
        let host = cx.route.as_ref()?.host.to_ascii_lowercase();
        let active = cx.index.stream_services().get(&host)?.clone();
        let history = stream_services_history(&host);
        Some(Self { history, active })
    }
}

/// Returns whether a stream of the request must be recorded at witnesses: its origin
/// can't be told from the histories.
fn must_record(cx: &RequestContext) -> bool {
    let origins = &cx.shared.origins;
    let several_services = cx
        .route
        .as_ref()
        .is_some_and(|route| route.weighted_services.len() > 1);
    several_services
        || origins.must_record(&cx.service)
        || StreamServices::of(cx).is_none_or(|services| origins.must_record(&services.history))
}

/// Returns whether a stream of the request may be forwarded from a server of a version
/// although too few witnesses have recorded it: whoever finds no record takes it for
/// one of the first version of its host's only service.
fn may_begin_unrecorded(cx: &RequestContext, version: &str) -> bool {
    let origins = &cx.shared.origins;
    let only_service = cx
        .route
        .as_ref()
        .is_some_and(|route| route.weighted_services.len() == 1)
        && StreamServices::of(cx).is_some_and(|services| !origins.must_record(&services.history));
    only_service && origins.may_begin_unrecorded(&cx.service, version)
}

/// Returns the versions at which a new stream of the request may begin; `None` if it may
/// begin at any.
pub(crate) fn permitted_versions(cx: &RequestContext) -> Option<Vec<ServerVersion>> {
    let origins = &cx.shared.origins;
    let registered = StreamServices::of(cx)
        .is_some_and(|services| origins.permits(&services.history, &services.active));
    if !registered {
        return Some(Vec::new());
    }
    let mut versions = origins.versions(&cx.service);
    // Nobody can resume a stream without an ID by a record.
    if !cx.id().is_empty() && must_record(cx) && !can_record(&cx.shared.peers, cx.id()) {
        versions.retain(|version| may_begin_unrecorded(cx, version));
        log::info!(id = cx.id(), versions:? = versions; "too few routers can record a new stream; restricting its versions");
        return Some(versions);
    }
    (!origins.has_several_versions(&cx.service)).then_some(versions)
}

/// Returns whether a majority of a stream's witnesses seems to be reachable.
fn can_record(peers: &Peers, id: &str) -> bool {
    let witnesses = witnesses(peers, id);
    let reachable = witnesses.iter().filter(|witness| {
        let is_local = *witness == peers.local();
        is_local || (witness.protocol >= MIN_PROTOCOL && peers.is_reachable(witness))
    });
    peers.is_synced() && reachable.count() >= origin_majority(witnesses.len())
}

/// Records where a stream has begun before its first event is forwarded. Returns
/// whether the stream may be forwarded.
///
/// If too few witnesses reply and the stream may be forwarded, further attempts follow
/// while it goes on.
pub(crate) async fn record_begin(cx: &RequestContext, version: &str) -> bool {
    let origin = StreamOrigin {
        service: cx.service.clone(),
        version: version.to_owned(),
    };
    let shared = &cx.shared;
    // The caller may resume the stream after the deadline of its first attempt.
    let keep_ms = MAX_STREAM_MS;
    let id = cx.id().to_owned();
    if id.is_empty() {
        return true;
    }
    let recorded = shared.origins.record(&id, origin.clone(), keep_ms);
    if !must_record(cx) {
        return true;
    }
    let is_forwarded = record_for_others(cx, &origin, recorded, keep_ms).await;
    if is_forwarded {
        origin_store::add(shared, cx.id(), origin);
    }
    is_forwarded
}

/// Records a stream at its witnesses. Returns whether it may be forwarded.
async fn record_for_others(
    cx: &RequestContext,
    origin: &StreamOrigin,
    recorded: bool,
    keep_ms: u64,
) -> bool {
    let shared = &cx.shared;
    let version = origin.version.as_str();
    let record = PeerRequest::RecordOrigin {
        id: cx.id().to_owned(),
        origin: origin.clone(),
        keep_ms,
    };
    if record_at_witnesses(&shared.peers, cx.id(), &record, recorded).await {
        return true;
    }
    if !may_begin_unrecorded(cx, version) {
        log::warn!(id = cx.id(), version; "too few routers have recorded a stream's version; giving the stream up");
        return false;
    }
    log::warn!(id = cx.id(), version; "too few routers have recorded a stream's version; trying again");
    let (peers, id) = (shared.peers.clone(), cx.id().to_owned());
    tokio::spawn(async move {
        for _ in 0..keep_ms / RECORD_RETRY_MS {
            tokio::time::sleep(Duration::from_millis(RECORD_RETRY_MS)).await;
            if record_at_witnesses(&peers, &id, &record, recorded).await {
                return;
            }
        }
        log::error!(id = id.as_str(); "too few routers have recorded a stream's version; a resumption may be rejected");
    });
    true
}

/// Returns the witnesses of a stream, which every router with the same fleet
/// determines alike.
fn witnesses(peers: &Peers, id: &str) -> Vec<RouterInstance> {
    let mut fleet = peers.fleet(id);
    fleet.truncate(ORIGIN_WITNESSES);
    fleet
}

/// Sends a record to the witnesses of a stream. `recorded`: whether this router has it.
/// Returns whether a majority has it, as soon as this is known.
async fn record_at_witnesses(
    peers: &Arc<Peers>,
    id: &str,
    record: &PeerRequest,
    recorded: bool,
) -> bool {
    if !peers.is_synced() {
        return false;
    }
    let witnesses = witnesses(peers, id);
    let mut missing = origin_majority(witnesses.len());
    let mut calls = JoinSet::new();
    for witness in witnesses {
        if witness == *peers.local() {
            missing -= usize::from(recorded);
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

/// Looks up a stream as one of its witnesses. A router that does not know the others
/// yet, or whose list has three routers before it, is none: that it has no record proves
/// nothing.
pub(crate) fn find_as_witness(shared: &SharedState, id: &str, services: &[String]) -> OriginReply {
    let mut reply = shared.origins.find(id, services);
    let peers = &shared.peers;
    reply.complete &= peers.is_synced() && peers.rank(id) < ORIGIN_WITNESSES;
    reply
}

/// Returns where a stream began that was never recorded, if the histories that this
/// router knows tell it.
fn unrecorded_origin(cx: &RequestContext) -> Option<StreamOrigin> {
    let origins = &cx.shared.origins;
    let route = cx.route.as_ref()?;
    let services = StreamServices::of(cx)?;
    let only_service = route.weighted_services.len() == 1
        && !origins.must_record(&services.history)
        && origins.first_version(&services.history)? == services.active;
    // Records of longer streams may have expired.
    if !only_service || route.timeout_ms > MAX_STREAM_MS {
        return None;
    }
    Some(StreamOrigin {
        service: cx.service.clone(),
        version: origins.first_version(&cx.service)?,
    })
}

/// Returns where all streams of the request's route have begun, if there has only ever
/// been one version of one service.
async fn only_origin(cx: &RequestContext) -> Option<StreamOrigin> {
    let several_services = cx.route.as_ref()?.weighted_services.len() != 1;
    let services = StreamServices::of(cx)?;
    if several_services || cx.shared.origins.has_several_versions(&cx.service) {
        return None;
    }
    if read_only_version(&cx.shared, &services.history).await? != services.active {
        return None;
    }
    let version = read_only_version(&cx.shared, &cx.service).await?;
    Some(StreamOrigin {
        service: cx.service.clone(),
        version,
    })
}

/// Finds out where the stream began that the request resumes. Returns `None` if
/// that can't be known.
pub(crate) async fn find_origin(cx: &RequestContext) -> Option<StreamOrigin> {
    let route = cx.route.as_ref()?;
    let services = route.weighted_services.iter();
    let mut histories: Vec<String> = services.map(|(service, _)| service.clone()).collect();
    // Only streams of services with several versions are in the store.
    let several_versions = histories
        .iter()
        .any(|service| cx.shared.origins.has_several_versions(service));
    histories.push(StreamServices::of(cx)?.history);
    let id = cx.metadata.resumes.as_deref().filter(|id| !id.is_empty());
    let verdict = match id {
        Some(id) => ask_witnesses(cx, id, &histories).await,
        None => None,
    };
    let mut found = match verdict {
        Some(OriginVerdict::Recorded(origin)) => Some((origin, Evidence::Record)),
        Some(OriginVerdict::NeverRecorded) => {
            unrecorded_origin(cx).map(|origin| (origin, Evidence::NeverRecorded))
        }
        None => only_origin(cx)
            .await
            .map(|origin| (origin, Evidence::OnlyVersion)),
    };
    if let (None, Some(id), true) = (&found, id, several_versions) {
        let stored = origin_store::find(cx, id).await;
        found = stored.map(|origin| (origin, Evidence::Record));
    }
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

/// Asks the witnesses of the stream `id`, of which this router may be one.
async fn ask_witnesses(
    cx: &RequestContext,
    id: &str,
    services: &[String],
) -> Option<OriginVerdict> {
    let own = find_as_witness(&cx.shared, id, services);
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
        if let Ok(Ok(mut reply)) = reply {
            // The witnesses may be others than those of a complete list.
            reply.complete &= peers.is_synced();
            if let Some(verdict) = query.add(reply) {
                return Some(verdict);
            }
        }
    }
    None
}
