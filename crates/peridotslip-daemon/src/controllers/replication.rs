//! Copies of bills: sent to a router in another data centre, and kept for
//! others.

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

/// Copies that go in one message.
const MAX_BATCH: usize = 512;
/// Longest wait for a router to take copies, in milliseconds.
const REPLICATE_TIMEOUT_MS: u64 = 300;
/// Routers that are tried for one batch.
const MAX_TRIES: usize = 2;
/// How often safe copies are called off and overdue ones reported, in
/// milliseconds.
const SWEEP_MS: u64 = 1_000;

struct PendingReplica {
    replica: SettlementReplica,
    tx: oneshot::Sender<()>,
}

/// Both sides of the copies: those of this router at others, and those of
/// others here.
#[derive(Clone)]
pub(crate) struct ReplicationHandle {
    tx: mpsc::UnboundedSender<PendingReplica>,
    sent: Arc<Mutex<Sent>>,
    stored: Arc<Mutex<SettlementReplicas>>,
}

/// Where this router's copies are.
#[derive(Default)]
struct Sent {
    at: HashMap<SettlementId, String>,
    /// Copies to call off, by holder.
    durable: HashMap<String, Vec<SettlementId>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl ReplicationHandle {
    pub(crate) fn spawn(members: MembersHandle, client: PeerClient, metrics: Arc<Metrics>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let handle = Self {
            tx,
            sent: Arc::default(),
            stored: Arc::default(),
        };
        let sender = Sender {
            members,
            client,
            metrics,
            sent: handle.sent.clone(),
        };
        tokio::spawn(sender.run(rx));
        handle
    }

    /// Has a copy kept elsewhere; `tx` hears of it once it is.
    pub(crate) fn replicate(&self, replica: SettlementReplica, tx: oneshot::Sender<()>) {
        let _ = self.tx.send(PendingReplica { replica, tx });
    }

    /// Notes that the record has a settlement.
    pub(crate) fn mark_durable(&self, id: SettlementId) {
        let mut sent = lock(&self.sent);
        if let Some(holder) = sent.at.remove(&id) {
            sent.durable.entry(holder).or_default().push(id);
        }
    }

    /// Keeps copies for another router.
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

    /// Reports overdue copies in their origins' names, forever.
    pub(crate) async fn report_overdue(
        self,
        transport: Arc<dyn LedgerTransport>,
        metrics: Arc<Metrics>,
    ) {
        loop {
            tokio::time::sleep(Duration::from_millis(SWEEP_MS)).await;
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

struct Sender {
    members: MembersHandle,
    client: PeerClient,
    metrics: Arc<Metrics>,
    sent: Arc<Mutex<Sent>>,
}

impl Sender {
    async fn run(self, mut rx: mpsc::UnboundedReceiver<PendingReplica>) {
        let mut batch = Vec::new();
        loop {
            let sweep = Duration::from_millis(SWEEP_MS);
            let received = rx.recv_many(&mut batch, MAX_BATCH);
            match tokio::time::timeout(sweep, received).await {
                Ok(0) => return,
                Ok(_) => self.send(std::mem::take(&mut batch)).await,
                Err(_) => self.call_off().await,
            }
        }
    }

    /// Has a batch kept by the first router that takes it.
    async fn send(&self, batch: Vec<PendingReplica>) {
        for holder in self.holders().into_iter().take(MAX_TRIES) {
            let replicas: Vec<SettlementReplica> =
                batch.iter().map(|kept| kept.replica.clone()).collect();
            let ids: Vec<SettlementId> = replicas.iter().map(|replica| replica.id).collect();
            let durable = lock(&self.sent)
                .durable
                .remove(&holder.address)
                .unwrap_or_default();
            // Before they are sent: the record may have them sooner.
            let placed = ids.iter().map(|id| (*id, holder.address.clone()));
            lock(&self.sent).at.extend(placed);
            let request = PeerRequest::Replicate { replicas, durable };
            let timeout = Duration::from_millis(REPLICATE_TIMEOUT_MS);
            if self
                .client
                .call(&holder.address, &request, timeout)
                .await
                .is_err()
            {
                lock(&self.sent).at.retain(|id, _| !ids.contains(id));
                self.members.mark_unreachable(&holder.address).await;
                continue;
            }
            for kept in batch {
                let _ = kept.tx.send(());
            }
            return;
        }
        self.metrics.event("bill-without-copy", batch.len() as u64);
    }

    /// Calls off safe copies while nothing else is sent.
    async fn call_off(&self) {
        let all = std::mem::take(&mut lock(&self.sent).durable);
        for (holder, durable) in all {
            let request = PeerRequest::Replicate {
                replicas: Vec::new(),
                durable,
            };
            let timeout = Duration::from_millis(REPLICATE_TIMEOUT_MS);
            let _ = self.client.call(&holder, &request, timeout).await;
        }
    }

    /// Routers that may keep copies: those of other data centres first, then
    /// in an order of this router's own.
    fn holders(&self) -> Vec<Node> {
        let view = self.members.view();
        let mut others: Vec<Node> = view.live_peers().cloned().collect();
        others.sort_by_key(|node| {
            let same = node.data_centre == view.local.data_centre;
            (same, rendezvous_weight(&view.local.address, &node.address))
        });
        others
    }
}
