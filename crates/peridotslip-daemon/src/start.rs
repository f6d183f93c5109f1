//! Startup and graceful shutdown of a router.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use peridotslip::{members::Node, memory::MemoryPool, prelude::*};
use peridotslip_store::{HttpStore, HttpVmList, Store, VmList};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{Semaphore, watch},
};
use uuid::Uuid;

use crate::{
    context::SharedState,
    controllers::{
        Controllers,
        admission::AdmissionHandle,
        backends::BackendsHandle,
        config::{self, ConfigHandle},
        dedupe::DedupeHandle,
        ledger::{
            DirectTransport, LedgerHandle, LedgerTransport, PeerRecall, ShardContext,
            WriterTransport, reclaim_ended_grants,
        },
        members::MembersHandle,
        replication::ReplicationHandle,
    },
    filters::Chain,
    logging,
    metrics::Metrics,
    peer::{self, PeerClient},
    server::{self, CallerService, ShutdownState},
    settings::Settings,
};

/// The reason why the router could not run.
type Error = Box<dyn std::error::Error + Send + Sync>;

/// Maximum wait for the ledger's last exchanges at a graceful shutdown.
const LEDGER_CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Least memory for the bodies that are being received from callers, and for those that
/// are being received from backend servers, in bytes.
const MIN_BODY_MEMORY_BYTES: usize = 16 * 1024 * 1024;

/// Runs a router until SIGTERM or SIGINT.
///
/// # Errors
///
/// An error if a listener, a client or the logger can't be created.
pub(crate) fn run(settings: Settings) -> Result<(), Error> {
    logging::start(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_async(settings))
}

async fn run_async(settings: Settings) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate())?;
    let metrics = Arc::new(Metrics::open()?);
    let store: Arc<dyn Store> = Arc::new(HttpStore::open(
        settings.store.address.as_str(),
        Duration::from_millis(settings.store.timeout_ms),
    )?);
    let controllers = spawn_controllers(&settings, &store, &metrics)?;
    let limits = &settings.limits;
    // A buffer may hold at most as much as stays free.
    let memory_for = |longest: usize| MemoryPool::new(MIN_BODY_MEMORY_BYTES.max(2 * longest));
    let (request_memory, response_memory) = (
        memory_for(limits.max_body_bytes),
        memory_for(limits.max_answer_bytes),
    );
    let shared = Arc::new(SharedState {
        settings,
        metrics,
        controllers,
        response_memory,
        request_memory,
    });
    spawn_background_tasks(&shared, store)?;
    let shutdown = Arc::new(ShutdownState::default());
    let listen = shared.settings.listen.clone();
    let listener = TcpListener::bind(listen.callers.as_str()).await?;
    let peer_listener = TcpListener::bind(listen.peers.as_str()).await?;
    server::serve_operators(listen.operators.as_str(), shared.clone(), shutdown.clone()).await?;
    let (stop_tx, stop_rx) = watch::channel(false);
    let callers = CallerService {
        shared: shared.clone(),
        chain: Chain::new(),
        shutdown: shutdown.clone(),
    };
    tokio::spawn(peer::serve(peer_listener, callers.clone()));
    let serving = tokio::spawn(server::serve_callers(listener, callers, stop_rx));
    log::info!(vm = shared.settings.vm.as_str(); "router started");
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    log::info!("graceful shutdown started; /readyz reports stopping");
    shutdown.announced.store(true, Ordering::Relaxed);
    shared.controllers.members.leave().await;
    tokio::time::sleep(Duration::from_millis(shared.settings.shutdown.grace_ms)).await;
    stop_tx.send_replace(true);
    let limit = Duration::from_secs(shared.settings.shutdown.limit_s);
    if tokio::time::timeout(limit, serving).await.is_err() {
        log::error!(
            "requests are still open after the shutdown time limit; continuing the shutdown"
        );
    }
    wait_for_requests(&shared, limit).await;
    if shared.controllers.ledger.close(LEDGER_CLOSE_TIMEOUT).await {
        log::info!("router stopped; all grants are returned");
    } else {
        log::error!("router stopped; some grants could not be returned and are in doubt");
    }
    Ok(())
}

/// Waits for requests that still run after their callers disconnected.
async fn wait_for_requests(shared: &SharedState, limit: Duration) {
    let permits = u32::try_from(shared.settings.limits.max_open_requests).unwrap_or(u32::MAX);
    let all_closed = shared.controllers.open_requests.acquire_many(permits);
    let _ = tokio::time::timeout(limit, all_closed).await;
}

fn spawn_controllers(
    settings: &Settings,
    store: &Arc<dyn Store>,
    metrics: &Arc<Metrics>,
) -> Result<Controllers, Error> {
    let limits = &settings.limits;
    let peers = PeerClient::new();
    let local = local_node(settings);
    let seeds: Vec<String> = settings.peers.iter().map(ToString::to_string).collect();
    let members = MembersHandle::spawn(local.clone(), &seeds, peers.clone(), metrics.clone());
    let direct_transport = Arc::new(DirectTransport::spawn(
        &settings.firm,
        &settings.ledger,
        store,
        metrics,
    ));
    let transport: Arc<dyn LedgerTransport> = Arc::new(WriterTransport::new(
        members.clone(),
        peers.clone(),
        direct_transport.clone(),
        metrics.clone(),
    ));
    let replication = ReplicationHandle::spawn(members.clone(), peers.clone(), metrics.clone());
    tokio::spawn(
        replication
            .clone()
            .report_overdue(transport.clone(), metrics.clone()),
    );
    let context = ShardContext {
        incarnation: local.incarnation,
        address: local.address,
        transport,
        recall: Arc::new(PeerRecall {
            members: members.clone(),
            client: peers.clone(),
        }),
        replication: replication.clone(),
        metrics: metrics.clone(),
    };
    Ok(Controllers {
        admission: AdmissionHandle::spawn(),
        config: ConfigHandle::spawn(metrics.clone()),
        ledger: LedgerHandle::spawn(&settings.ledger, &context),
        direct_transport,
        members,
        replication,
        peers,
        backends: BackendsHandle::spawn(&settings.backends, metrics.clone())?,
        dedupe: DedupeHandle::open(limits.replay_bytes, limits.replay_ms, metrics.clone()),
        open_requests: Arc::new(Semaphore::new(limits.max_open_requests)),
    })
}

/// Returns this process's node in the membership.
fn local_node(settings: &Settings) -> Node {
    Node {
        address: settings.listen.peers.to_string(),
        incarnation: Incarnation::from(Uuid::now_v7().as_u128()),
        firm: settings.firm.clone(),
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        revision: Revision::default(),
    }
}

/// Starts the tasks that pass data from the store, peers and the VM list to
/// the controllers.
fn spawn_background_tasks(shared: &Arc<SharedState>, store: Arc<dyn Store>) -> Result<(), Error> {
    let controllers = &shared.controllers;
    let (config, members) = (controllers.config.clone(), controllers.members.clone());
    let metrics = shared.metrics.clone();
    tokio::spawn(config::watch_store(
        store,
        config.clone(),
        members.clone(),
        metrics.clone(),
    ));
    tokio::spawn(config::fetch_newer_revisions(
        controllers.peers.clone(),
        config,
        members.clone(),
        metrics.clone(),
    ));
    tokio::spawn(reclaim_ended_grants(
        shared.settings.ledger.clone(),
        members,
        controllers.direct_transport.clone(),
        metrics,
    ));
    tokio::spawn(propagate_config(shared.clone()));
    if let Some(settings) = &shared.settings.vm_list {
        let interval = Duration::from_millis(settings.poll_ms);
        let list = HttpVmList::open(settings.address.as_str(), interval)?;
        tokio::spawn(poll_vm_list(shared.clone(), list, interval));
    }
    Ok(())
}

/// Passes each new active configuration to the other controllers.
async fn propagate_config(shared: Arc<SharedState>) {
    let mut active_config = shared.controllers.config.subscribe();
    while active_config.changed().await.is_ok() {
        let index = active_config.borrow_and_update().index.clone();
        shared.controllers.backends.set_table(index.clone()).await;
        shared.controllers.ledger.set_paid(&index).await;
        shared
            .controllers
            .members
            .set_active_revision(index.revision())
            .await;
    }
}

/// Polls the platform's VM list and passes it to the controllers.
async fn poll_vm_list(shared: Arc<SharedState>, list: impl VmList, interval: Duration) {
    loop {
        match list.list().await {
            Ok(vms) => {
                shared.controllers.members.set_vm_list(vms.clone()).await;
                shared.controllers.backends.set_vm_list(vms).await;
            }
            Err(err) => log::debug!("failed to read the VM list; retrying at the next poll: {err}"),
        }
        tokio::time::sleep(interval).await;
    }
}
