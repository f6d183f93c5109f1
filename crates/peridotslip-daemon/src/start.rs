//! Starting a router and stopping it gracefully.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use peridotslip::{members::Node, prelude::*};
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
    server::{self, Callers, Stopping},
    settings::Settings,
};

/// Why the router could not run.
type Error = Box<dyn std::error::Error + Send + Sync>;

/// Longest wait for the last reports at a planned stop.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// Runs a router until SIGTERM or SIGINT.
///
/// # Errors
///
/// An error if an address can't be listened on or a client can't be made.
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
    let shared = Arc::new(SharedState {
        settings,
        metrics,
        controllers,
    });
    spawn_feeds(&shared, store)?;
    let stopping = Arc::new(Stopping::default());
    let listen = shared.settings.listen.clone();
    let listener = TcpListener::bind(listen.callers.as_str()).await?;
    let peer_listener = TcpListener::bind(listen.peers.as_str()).await?;
    server::serve_operators(listen.operators.as_str(), shared.clone(), stopping.clone()).await?;
    let (stop_tx, stop_rx) = watch::channel(false);
    let callers = Callers {
        shared: shared.clone(),
        chain: Chain::new(),
        stopping: stopping.clone(),
    };
    tokio::spawn(peer::serve(peer_listener, callers.clone()));
    let serving = tokio::spawn(server::serve_callers(listener, callers, stop_rx));
    log::info!(vm = shared.settings.vm.as_str(); "router started");
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    log::info!("planned stop: readiness is off");
    stopping.announced.store(true, Ordering::Relaxed);
    shared.controllers.members.leave().await;
    tokio::time::sleep(Duration::from_millis(shared.settings.shutdown.grace_ms)).await;
    stop_tx.send_replace(true);
    let limit = Duration::from_secs(shared.settings.shutdown.limit_s);
    if tokio::time::timeout(limit, serving).await.is_err() {
        log::error!("requests are still open at the limit of the planned stop");
    }
    wait_for_requests(&shared, limit).await;
    if shared.controllers.ledger.close(CLOSE_LIMIT).await {
        log::info!("stopped; every grant is given back");
    } else {
        log::error!("stopped; some grants could not be given back and are in doubt");
    }
    Ok(())
}

/// Waits for requests that go on without their callers.
async fn wait_for_requests(shared: &SharedState, limit: Duration) {
    let permits = u32::try_from(shared.settings.limits.max_open_requests).unwrap_or(u32::MAX);
    let all = shared.controllers.open_requests.acquire_many(permits);
    let _ = tokio::time::timeout(limit, all).await;
}

fn spawn_controllers(
    settings: &Settings,
    store: &Arc<dyn Store>,
    metrics: &Arc<Metrics>,
) -> Result<Controllers, Error> {
    let limits = &settings.limits;
    let peers = PeerClient::new();
    let me = node(settings);
    let seeds: Vec<String> = settings.peers.iter().map(ToString::to_string).collect();
    let members = MembersHandle::spawn(me.clone(), &seeds, peers.clone(), metrics.clone());
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
        me: me.incarnation,
        address: me.address,
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

/// This process, as other routers know it.
fn node(settings: &Settings) -> Node {
    Node {
        address: settings.listen.peers.to_string(),
        incarnation: Incarnation::from(Uuid::now_v7().as_u128()),
        firm: settings.firm.clone(),
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        revision: Revision::default(),
    }
}

/// Starts the tasks that feed the controllers from outside.
fn spawn_feeds(shared: &Arc<SharedState>, store: Arc<dyn Store>) -> Result<(), Error> {
    let controllers = &shared.controllers;
    let (config, members) = (controllers.config.clone(), controllers.members.clone());
    let metrics = shared.metrics.clone();
    tokio::spawn(config::watch_store(
        store,
        config.clone(),
        members.clone(),
        metrics.clone(),
    ));
    tokio::spawn(config::follow_peers(
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
    tokio::spawn(follow_tables(shared.clone()));
    if let Some(settings) = &shared.settings.vm_list {
        let every = Duration::from_millis(settings.poll_ms);
        let list = HttpVmList::open(settings.address.as_str(), every)?;
        tokio::spawn(follow_vms(shared.clone(), list, every));
    }
    Ok(())
}

/// Tells the other controllers of each change of the tables.
async fn follow_tables(shared: Arc<SharedState>) {
    let mut held = shared.controllers.config.subscribe();
    while held.changed().await.is_ok() {
        let index = held.borrow_and_update().index.clone();
        shared.controllers.backends.set_table(index.clone()).await;
        shared.controllers.ledger.set_paid(&index).await;
        shared.controllers.members.in_force(index.revision()).await;
    }
}

/// Tells the backends' controller what the platform lists.
async fn follow_vms(shared: Arc<SharedState>, list: impl VmList, every: Duration) {
    loop {
        match list.list().await {
            Ok(vms) => {
                shared.controllers.members.set_list(vms.clone()).await;
                shared.controllers.backends.set_list(vms).await;
            }
            Err(err) => log::debug!("the VM list can't be read: {err}"),
        }
        tokio::time::sleep(every).await;
    }
}
