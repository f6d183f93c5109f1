//! Start and graceful shutdown of a router.

use std::{
    path::{Path, PathBuf},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, StatusCode};
use peridotslip::{
    forwarding::{
        CrashObservation, LimitNews, ObservationOrigin, OriginReply, PermitReply, PoolReply,
        TableProof, WarmupReply,
    },
    ids::Incarnation,
    ledger::GrantTransfer,
    memory::MemoryPool,
};
use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};
use uuid::Uuid;

use crate::{
    budgets::{
        BudgetManager, CeilingAck, HoldingReply, PeerRequest, ReservationRequest, ReserveReply,
    },
    clock::Clock,
    context::SharedState,
    crash_watch,
    feeds::{self, FollowReply, ProvenReply},
    filters::Chain,
    hedge_pool, link_gate, listeners,
    local_health::LocalHealth,
    logging,
    metrics::Metrics,
    origin_store, peer_state,
    peers::{PROTOCOL, Peers, RouterInstance, VmProfile},
    port_connections::PortConnections,
    ports::Platform,
    rpc, server_limits, server_versions,
    settings::{Money, Settings},
    store_watch, stream_origins, warmup,
};

/// Why the router could not start.
type Error = Box<dyn std::error::Error + Send + Sync>;

/// How long a stopping router still accepts connections, in milliseconds. The
/// platform's load balancer removes a router after two failed readiness checks,
/// which are a second apart.
const LAME_DUCK_MS: u64 = 2_300;
/// Longest time for returning grants, in milliseconds.
const RETURN_GRANTS_TIMEOUT_MS: u64 = 500;
/// Part of the grace time reserved for returning grants and exiting, in
/// milliseconds. Open requests may use the rest.
const EXIT_RESERVE_MS: u64 = 750;
/// Part of the time of open requests that is reserved for answering those which are not
/// complete, in milliseconds.
const ANSWER_RESERVE_MS: u64 = 250;
/// Interval between two checks for open requests, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;
/// Interval between two reads of the settings file, in milliseconds.
const SETTINGS_POLL_MS: u64 = 1_000;

/// Runs a router until SIGTERM, then stops it gracefully.
///
/// # Errors
///
/// An error if logging, the runtime or a signal handler can't be started, or if
/// an address can't be listened on.
pub fn run(file: &Path, settings: Settings, platform: Platform) -> Result<(), Error> {
    logging::start(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate())?;
        let hangup = signal(SignalKind::hangup())?;
        let router = Router::bind(settings, platform).await?;
        tokio::spawn(watch_settings(
            file.to_owned(),
            router.shared.clone(),
            hangup,
        ));
        term.recv().await;
        router.stop().await;
        Ok(())
    })
}

/// A running router.
pub struct Router {
    shared: Arc<SharedState>,
    stop_tx: watch::Sender<bool>,
}

impl Router {
    /// Listens on the addresses in `settings` and starts to serve.
    ///
    /// # Errors
    ///
    /// An error if metrics can't be set up or an address can't be listened on.
    pub async fn bind(settings: Settings, platform: Platform) -> Result<Self, Error> {
        let metrics = Metrics::open()?;
        let clock = Clock::start();
        let instance = RouterInstance {
            vm: settings.vm.clone(),
            address: settings.listen.peers.clone(),
            incarnation: Incarnation::from(Uuid::now_v7().as_u128()),
            protocol: PROTOCOL,
        };
        let vm = VmProfile {
            data_centre: settings.data_centre.clone(),
            size: settings.vm_size.size(),
        };
        let health = LocalHealth::spawn(clock, settings.vm_size.link_mbps);
        let peers = Peers::new(instance, vm, health.clone());
        let budgets = BudgetManager::spawn(
            platform.store.clone(),
            peers.clone(),
            metrics.clone(),
            clock,
            Money {
                urgent_first: Some(settings.money.urgent_first.unwrap_or(platform.urgent_first)),
                ..settings.money.clone()
            },
        );
        let listen = settings.listen.clone();
        let callers = listeners::listen_for_callers(&listen.callers).await?;
        let ready = TcpListener::bind(&listen.ready).await?;
        let peer_listener = TcpListener::bind(&listen.peers).await?;
        let shared = Arc::new(SharedState::new(
            settings,
            platform,
            metrics,
            clock,
            peers.clone(),
            budgets,
            health,
        )?);
        if let Some(address) = &listen.metrics {
            serve_metrics(address, &shared).await?;
        }
        log::info!(
            vm = peers.local().vm.as_str(),
            incarnation = peers.local().incarnation.to_string().as_str();
            "router started"
        );
        store_watch::spawn(&shared);
        crash_watch::spawn(&shared);
        tokio::spawn(link_gate::watch_rotation(shared.clone()));
        tokio::spawn(peer_state::load(shared.clone()));
        tokio::spawn(server_limits::publish(shared.clone()));
        tokio::spawn(hedge_pool::report(shared.clone()));
        tokio::spawn(server_versions::register_versions(shared.clone()));
        tokio::spawn(origin_store::hand_over_records(shared.clone()));
        tokio::spawn(origin_store::write_records(shared.clone()));
        let peer_limits = rpc::ServerLimits {
            connections: shared.vm_shares.peer_sockets,
            messages: MemoryPool::new(shared.vm_shares.peer_messages),
        };
        tokio::spawn(rpc::serve(peer_listener, peer_limits, {
            let shared = shared.clone();
            move |request| handle_peer_request(shared.clone(), request)
        }));
        tokio::spawn(peers.probe_unreachable(PeerRequest::Probe));
        let status = PortConnections::new("checks", shared.vm_shares.status_sockets);
        tokio::spawn(listeners::serve_status(ready, status, {
            let shared = shared.clone();
            move |path| listeners::readiness(&shared, path)
        }));
        let (stop_tx, stop_rx) = watch::channel(false);
        tokio::spawn(listeners::serve_callers(
            callers,
            shared.clone(),
            Chain::new(),
            stop_rx,
        ));
        Ok(Self { shared, stop_tx })
    }

    /// Stops gracefully: waits for open requests up to the grace time, and
    /// returns unspent tokens to the store.
    pub async fn stop(self) {
        stop(&self.shared, &self.stop_tx).await;
    }
}

async fn serve_metrics(address: &str, shared: &Arc<SharedState>) -> Result<(), Error> {
    let listener = TcpListener::bind(address).await?;
    let metrics = shared.metrics.clone();
    let connections = PortConnections::new("metrics", shared.vm_shares.status_sockets);
    tokio::spawn(listeners::serve_status(
        listener,
        connections,
        move |path| {
            if path == "/metrics" {
                return metrics.scrape();
            }
            let mut response = Response::new(Bytes::new());
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        },
    ));
    Ok(())
}

/// A response to a peer's request. Encoded without a tag, because the peer
/// knows the response's type from its own request.
#[derive(serde::Serialize)]
#[serde(untagged)]
enum PeerResponse {
    ReserveReply(ReserveReply),
    Transfer(Option<GrantTransfer>),
    Ceiling(Option<u64>),
    CeilingAck(CeilingAck),
    Origin(OriginReply),
    Holding(Box<HoldingReply>),
    Crashes(Vec<CrashObservation>),
    Permit(PermitReply),
    WarmupPermit(WarmupReply),
    Limits(Vec<LimitNews>),
    Pool(PoolReply),
    Changes(FollowReply),
    ProvenChanges(ProvenReply),
    TableProof(Option<TableProof>),
    Done(bool),
}

#[allow(clippy::too_many_lines)] // One arm for each kind of request.
async fn handle_peer_request(shared: Arc<SharedState>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Reserve {
            organisation,
            paid,
            tokens,
            reservation_id,
        } => {
            let budgets = &shared.budgets;
            let request = ReservationRequest::least_urgent(paid, tokens);
            let reply = budgets.reserve_for(organisation, request, reservation_id);
            PeerResponse::ReserveReply(reply.await)
        }
        PeerRequest::ReserveWithPriority {
            organisation,
            request,
            reservation_id,
        } => {
            let budgets = &shared.budgets;
            let reply = budgets.reserve_for(organisation, request, reservation_id);
            PeerResponse::ReserveReply(reply.await)
        }
        PeerRequest::Settle(settlements) => {
            shared.budgets.settle_for(&settlements);
            PeerResponse::Done(true)
        }
        PeerRequest::SettleReservations { requester, batch } => {
            shared.budgets.apply_settlements(requester, &batch);
            PeerResponse::Done(true)
        }
        PeerRequest::RequestTransferFor {
            requester,
            organisation,
            tokens,
        } => PeerResponse::Transfer(
            shared
                .budgets
                .issue_transfer_to(requester, &organisation, tokens)
                .await,
        ),
        PeerRequest::RequestTransfer {
            organisation,
            tokens,
        } => PeerResponse::Transfer(
            shared
                .budgets
                .issue_transfer_for(&organisation, tokens)
                .await,
        ),
        PeerRequest::DeliverTransfers {
            incarnation,
            transfers,
        } => {
            shared.budgets.accept_transfers(incarnation, transfers);
            PeerResponse::Done(true)
        }
        PeerRequest::RaiseCeiling {
            witness,
            holder,
            budget,
            ceiling,
        } => PeerResponse::CeilingAck(
            shared
                .budgets
                .record_ceiling(witness, holder, budget, ceiling),
        ),
        PeerRequest::SealCeiling {
            witness,
            holder,
            budget,
        } => PeerResponse::Ceiling(shared.budgets.seal_ceiling(witness, holder, &budget)),
        PeerRequest::Leaving { incarnation } => record_leaving(&shared, incarnation),
        PeerRequest::RecordOrigin {
            id,
            origin,
            keep_ms,
        } => PeerResponse::Done(shared.origins.record(&id, origin, keep_ms)),
        PeerRequest::FindOrigin { id, services } => {
            PeerResponse::Origin(stream_origins::find_as_witness(&shared, &id, &services))
        }
        PeerRequest::StoreOrigins(records) => {
            PeerResponse::Done(origin_store::accept(&shared, &records))
        }
        PeerRequest::FetchHolding(organisation) => {
            let reply = shared.budgets.holding_reply(&organisation).await;
            PeerResponse::Holding(Box::new(reply))
        }
        PeerRequest::ShareCrashes(observations) => {
            merge_crashes(&shared, &observations, ObservationOrigin::Observer)
        }
        PeerRequest::PassCrashes(observations) => {
            merge_crashes(&shared, &observations, ObservationOrigin::Relay)
        }
        PeerRequest::FetchCrashes => PeerResponse::Crashes(shared.crashes.snapshot()),
        PeerRequest::TakePermit(news) => PeerResponse::Permit(server_limits::grant(&shared, &news)),
        PeerRequest::ShareLimits(news) => {
            server_limits::merge(&shared, &news);
            PeerResponse::Done(true)
        }
        PeerRequest::FetchLimits => PeerResponse::Limits(server_limits::snapshot(&shared)),
        PeerRequest::Follow(request) => {
            PeerResponse::Changes(feeds::serve(&shared, &request).await)
        }
        PeerRequest::FollowWithProof(request) => {
            PeerResponse::ProvenChanges(feeds::serve_with_proof(&shared, &request).await)
        }
        PeerRequest::ProveTable => {
            PeerResponse::TableProof(feeds::table_proof(&shared, Instant::now()))
        }
        PeerRequest::TakeWarmupPermit(ask) => {
            PeerResponse::WarmupPermit(warmup::grant(&shared, &ask))
        }
        PeerRequest::PoolSecondAttempts(ask) => PeerResponse::Pool(hedge_pool::keep(&shared, &ask)),
        PeerRequest::Probe => PeerResponse::Done(!shared.is_stopping()),
    }
}

fn merge_crashes(
    shared: &SharedState,
    observations: &[CrashObservation],
    origin: ObservationOrigin,
) -> PeerResponse {
    shared.crashes.merge(observations, origin);
    PeerResponse::Done(true)
}

/// Records that a router is leaving. A relay passes it on.
fn record_leaving(shared: &SharedState, incarnation: Incarnation) -> PeerResponse {
    let is_new = shared.peers.set_leaving(incarnation);
    if is_new && shared.crashes.passes_on() {
        let peers = shared.peers.clone();
        tokio::spawn(async move { peers.announce_leaving(incarnation).await });
    }
    PeerResponse::Done(true)
}

/// Applies the settings file when it changes and on SIGHUP. If the file is
/// invalid, the previous settings stay active.
async fn watch_settings(file: PathBuf, shared: Arc<SharedState>, mut hangup: Signal) {
    let mut last_content = std::fs::read(&file).unwrap_or_default();
    loop {
        let pause = Duration::from_millis(SETTINGS_POLL_MS);
        let signalled = tokio::time::timeout(pause, hangup.recv()).await.is_ok();
        let content = match std::fs::read(&file) {
            Ok(content) => content,
            Err(err) => {
                log::warn!(
                    "can't read the settings file; the previous settings stay active: {err}"
                );
                continue;
            }
        };
        if content == last_content && !signalled {
            continue;
        }
        last_content = content;
        match Settings::load(&file) {
            Ok(settings) => {
                let active = shared.settings();
                let restart =
                    settings.listen != active.listen || settings.evacuation != active.evacuation;
                log::info!(signalled, restart_needed = restart; "settings reloaded");
                shared.set_settings(settings);
            }
            Err(err) => log::error!("invalid settings; the previous ones stay active: {err}"),
        }
    }
}

async fn stop(shared: &Arc<SharedState>, stop_tx: &watch::Sender<bool>) {
    let grace = Duration::from_millis(shared.settings().timing.grace_ms);
    let deadline = tokio::time::Instant::now() + grace;
    let open = shared.open_requests.load(Ordering::Relaxed);
    log::info!(open; "graceful shutdown started; readiness checks fail from now on");
    let drain_deadline = deadline - Duration::from_millis(EXIT_RESERVE_MS);
    let answer_by = drain_deadline - Duration::from_millis(ANSWER_RESERVE_MS);
    shared.set_stopping(answer_by.into());
    shared.budgets.leave().await;
    tokio::time::sleep(Duration::from_millis(LAME_DUCK_MS)).await;
    stop_tx.send_replace(true);
    loop {
        // Callers' connections are read before the first check.
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        let open = shared.open_requests.load(Ordering::Relaxed) > 0
            || shared.budgets.has_remote_reservations()
            || shared.budgets.has_unacknowledged_settlements();
        if !open || tokio::time::Instant::now() >= drain_deadline {
            break;
        }
    }
    shared
        .budgets
        .close(Duration::from_millis(RETURN_GRANTS_TIMEOUT_MS))
        .await;
    let open = shared.open_requests.load(Ordering::Relaxed);
    log::info!(open; "graceful shutdown finished");
}
