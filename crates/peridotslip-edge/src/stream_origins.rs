//! Carries out what [`StreamOrigins`] decides: records streams at their witnesses,
//! and finds out where a stream began that a caller resumes at this router.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use peridotslip::forwarding::{
    MAX_STREAM_MS, ORIGIN_WITNESSES, OriginQuery, OriginReply, OriginVerdict, ServerVersion,
    StreamOrigin, StreamOrigins, VersionHistory, origin_majority,
};
use tokio::{sync::Notify, task::JoinSet};

use crate::{
    budgets::PeerRequest,
    clock::Clock,
    context::RequestContext,
    peers::{Peers, RouterInstance},
    rpc,
    server_versions::read_only_version,
};

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

    /// Returns the versions whose servers may begin streams of a service.
    pub(crate) fn versions(&self, service: &str) -> Vec<ServerVersion> {
        self.lock().versions(service).to_vec()
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
        history: VersionHistory,
    ) {
        self.lock().set_history(service, stored, history);
    }

    /// Returns whether streams of a service must be recorded at witnesses.
    pub(crate) fn must_record(&self, service: &str) -> bool {
        self.lock().must_record(service)
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
    if !shared.origins.must_record(&cx.service) {
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

/// Asks the witnesses of the stream `id`, of which this router may be one.
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
