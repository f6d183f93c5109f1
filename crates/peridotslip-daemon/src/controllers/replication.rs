//! Replication of settlements: sends this router's settlements to a router in
//! another data centre and stores replicas for other routers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use peridotslip::{
    members::{Node, rendezvous_weight},
    replication::{SettlementId, SettlementReplica, SettlementReplicas},
};
use tokio::sync::{mpsc, oneshot};

use super::{ledger::LedgerTransport, members::MembersHandle};
use crate::{
    clock,
    metrics::Metrics,
    peer::{PeerClient, PeerRequest},
};

/// Maximum number of replicas in one message.
const MAX_BATCH: usize = 512;
/// Longest wait for a router to store replicas, in milliseconds.
const REPLICATE_TIMEOUT_MS: u64 = 300;
/// Maximum number of routers to which one batch is sent before its replication
/// counts as failed.
const MAX_CANDIDATES: usize = 2;
/// Interval at which overdue replicas are reported, and idle time after which
/// durable ones are discarded at their holders, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// A replica that no other router stores yet.
struct PendingReplica {
    replica: SettlementReplica,
    tx: oneshot::Sender<()>,
}

/// A handle to both sides of replication: this router's replicas on other
/// routers, and the replicas that this router stores for others.
#[derive(Clone)]
pub(crate) struct ReplicationHandle {
    tx: mpsc::UnboundedSender<PendingReplica>,
    locations: Arc<Mutex<ReplicaLocations>>,
    stored: Arc<Mutex<SettlementReplicas>>,
}

/// The locations of this router's replicas.
#[derive(Default)]
struct ReplicaLocations {
    /// The address of the router that stores each replica.
    holders: HashMap<SettlementId, String>,
    /// Durable settlements whose replicas can be discarded, by the address of
    /// the router that stores them.
    durable: HashMap<String, Vec<SettlementId>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl ReplicationHandle {
    /// Starts the replicator.
    pub(crate) fn spawn(members: MembersHandle, client: PeerClient, metrics: Arc<Metrics>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let handle = Self {
            tx,
            locations: Arc::default(),
            stored: Arc::default(),
        };
        let replicator = Replicator {
            members,
            client,
            metrics,
            locations: handle.locations.clone(),
        };
        tokio::spawn(replicator.run(rx));
        handle
    }

    /// Queues a settlement for replication; `tx` completes once another router
    /// stores the replica.
    pub(crate) fn replicate(&self, replica: SettlementReplica, tx: oneshot::Sender<()>) {
        let _ = self.tx.send(PendingReplica { replica, tx });
    }

    /// Marks a settlement as durable: the record has it, so that its replica
    /// can be discarded.
    pub(crate) fn mark_durable(&self, id: SettlementId) {
        let mut locations = lock(&self.locations);
        if let Some(holder) = locations.holders.remove(&id) {
            locations.durable.entry(holder).or_default().push(id);
        }
    }

    /// Stores replicas for another router and removes those of its durable
    /// settlements.
    pub(crate) fn store(
        &self,
        replicas: Vec<SettlementReplica>,
        durable: &[SettlementId],
        now_ms: u64,
    ) {
        let mut stored = lock(&self.stored);
        stored.insert(replicas, now_ms);
        stored.remove_durable(durable);
    }

    /// Reports overdue replicas to the record on behalf of their origins.
    /// Never returns.
    pub(crate) async fn report_overdue(
        self,
        transport: Arc<dyn LedgerTransport>,
        metrics: Arc<Metrics>,
    ) {
        loop {
            tokio::time::sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
            let overdue = lock(&self.stored).overdue(clock::monotonic_ms());
            for (shard, report) in overdue {
                let incarnation = report.incarnation;
                let ids: Vec<SettlementId> = report
                    .settlements
                    .iter()
                    .map(|settlement| SettlementId {
                        shard,
                        incarnation,
                        seq: settlement.seq,
                    })
                    .collect();
                if transport.exchange(shard, vec![report]).await.is_ok() {
                    metrics.event("bill-reported-for-another", ids.len() as u64);
                    lock(&self.stored).remove_durable(&ids);
                }
            }
        }
    }
}

/// The task that sends this router's replicas to other routers.
struct Replicator {
    members: MembersHandle,
    client: PeerClient,
    metrics: Arc<Metrics>,
    locations: Arc<Mutex<ReplicaLocations>>,
}

impl Replicator {
    async fn run(self, mut rx: mpsc::UnboundedReceiver<PendingReplica>) {
        let mut batch = Vec::new();
        loop {
            let sweep = Duration::from_millis(SWEEP_INTERVAL_MS);
            let received = rx.recv_many(&mut batch, MAX_BATCH);
            match tokio::time::timeout(sweep, received).await {
                Ok(0) => return,
                Ok(_) => self.replicate(std::mem::take(&mut batch)).await,
                Err(_) => self.discard_durable().await,
            }
        }
    }

    /// Sends a batch to the candidates in order until one stores it. Counts the
    /// batch as not replicated if none does.
    async fn replicate(&self, batch: Vec<PendingReplica>) {
        for holder in self.replica_candidates().into_iter().take(MAX_CANDIDATES) {
            let replicas: Vec<SettlementReplica> = batch
                .iter()
                .map(|pending| pending.replica.clone())
                .collect();
            let ids: Vec<SettlementId> = replicas.iter().map(|replica| replica.id).collect();
            let durable = lock(&self.locations)
                .durable
                .remove(&holder.address)
                .unwrap_or_default();
            // Recorded before the call, because the record may confirm a
            // settlement before the peer replies.
            let placements = ids.iter().map(|id| (*id, holder.address.clone()));
            lock(&self.locations).holders.extend(placements);
            let request = PeerRequest::Replicate { replicas, durable };
            let timeout = Duration::from_millis(REPLICATE_TIMEOUT_MS);
            if self
                .client
                .call(&holder.address, &request, timeout)
                .await
                .is_err()
            {
                lock(&self.locations)
                    .holders
                    .retain(|id, _| !ids.contains(id));
                self.members.mark_unreachable(&holder.address).await;
                continue;
            }
            for pending in batch {
                let _ = pending.tx.send(());
            }
            return;
        }
        self.metrics.event("bill-without-copy", batch.len() as u64);
    }

    /// Sends the list of durable settlements to the routers that store their
    /// replicas, which discard them. Called only while there is nothing to
    /// replicate; otherwise a batch to the same router includes the list.
    async fn discard_durable(&self) {
        let all = std::mem::take(&mut lock(&self.locations).durable);
        for (holder, durable) in all {
            let request = PeerRequest::Replicate {
                replicas: Vec::new(),
                durable,
            };
            let timeout = Duration::from_millis(REPLICATE_TIMEOUT_MS);
            let _ = self.client.call(&holder, &request, timeout).await;
        }
    }

    /// Returns the routers that may store replicas: those of other data
    /// centres first, then in an order by rendezvous weight that differs from
    /// router to router.
    fn replica_candidates(&self) -> Vec<Node> {
        let view = self.members.view();
        let mut candidates: Vec<Node> = view.live_peers().cloned().collect();
        candidates.sort_by_key(|node| {
            let same = node.data_centre == view.local.data_centre;
            (same, rendezvous_weight(&view.local.address, &node.address))
        });
        candidates
    }
}
