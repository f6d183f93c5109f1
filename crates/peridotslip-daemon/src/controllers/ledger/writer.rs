//! Swaps one shard's record in the store, many reports at a time.
//!
//! Swaps keep a pace: whatever arrives meanwhile goes together in the next, so
//! the store's writes depend on the number of shards and not on how many
//! requests or routers there are. After a quiet time the first goes at once. Applying a report again is harmless, so a swap that lost a race or
//! whose reply was lost is answered by reading the record and applying the
//! same reports to it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use peridotslip::{
    ledger::{Report, ReportReply, ShardRecord},
    prelude::*,
};
use peridotslip_store::{Error as StoreError, Store};
use tokio::sync::{mpsc, oneshot};

use super::{Error, Result};
use crate::{clock, metrics::Metrics};

/// Submissions that go into one swap.
const MAX_GROUP: usize = 1_024;
/// Submissions that wait.
const MAX_WAITING: usize = 4_096;
/// The pace is so many times as fast while claims wait.
const URGENT_SHARE: u32 = 3;
/// Swaps tried for one group before its submitters are told to try again.
const MAX_TRIES: u32 = 16;

/// A holder of grants, as the record knows it.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) incarnation: Incarnation,
    pub(super) address: String,
    /// Tokens held over all budgets.
    pub(super) tokens: u64,
}

/// What to do with the record.
enum Change {
    Apply(Vec<Report>),
    Release(Incarnation),
}

struct Submission {
    change: Change,
    tx: oneshot::Sender<Result<Vec<ReportReply>>>,
}

enum Order {
    Change(Submission),
    Holders(oneshot::Sender<Result<Vec<Holder>>>),
}

impl Order {
    fn is_urgent(&self) -> bool {
        match self {
            Self::Change(Submission {
                change: Change::Apply(reports),
                ..
            }) => reports.iter().any(|report| !report.claims.is_empty()),
            _ => false,
        }
    }
}

/// A handle to a shard's writing task.
pub(crate) struct Writer {
    tx: mpsc::Sender<Order>,
}

impl Writer {
    /// Starts writing the record at `key`.
    pub(crate) fn spawn(
        key: String,
        pace: Duration,
        store: Arc<dyn Store>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (tx, rx) = mpsc::channel(MAX_WAITING);
        let task = Task {
            key,
            store,
            metrics,
            pace,
            last_swap: None,
            known: None,
        };
        tokio::spawn(task.run(rx));
        Self { tx }
    }

    /// Applies reports; returns once the store holds the result.
    pub(crate) async fn submit(&self, reports: Vec<Report>) -> Result<Vec<ReportReply>> {
        self.change(Change::Apply(reports)).await
    }

    /// Ends an incarnation; returns once the store holds the result.
    pub(super) async fn release(&self, incarnation: Incarnation) -> Result<()> {
        self.change(Change::Release(incarnation)).await.map(drop)
    }

    /// Reads the record anew and names the holders of grants.
    pub(super) async fn holders(&self) -> Result<Vec<Holder>> {
        let (tx, rx) = oneshot::channel();
        self.order(Order::Holders(tx), rx).await
    }

    async fn change(&self, change: Change) -> Result<Vec<ReportReply>> {
        let (tx, rx) = oneshot::channel();
        self.order(Order::Change(Submission { change, tx }), rx)
            .await
    }

    async fn order<T>(&self, order: Order, rx: oneshot::Receiver<Result<T>>) -> Result<T> {
        let gone = || Error::Unreachable("the writer has stopped".to_owned());
        self.tx.send(order).await.map_err(|_| gone())?;
        rx.await.unwrap_or_else(|_| Err(gone()))
    }
}

struct Task {
    key: String,
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
    /// Shortest time between the starts of two swaps.
    pace: Duration,
    last_swap: Option<Instant>,
    /// The record as last read or written, with its version.
    known: Option<(u64, ShardRecord)>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Order>) {
        let mut orders = Vec::new();
        while rx.recv_many(&mut orders, MAX_GROUP).await > 0 {
            self.gather(&mut rx, &mut orders).await;
            let mut group = Vec::new();
            for order in orders.drain(..) {
                match order {
                    Order::Change(submission) => group.push(submission),
                    Order::Holders(tx) => drop(tx.send(self.holders().await)),
                }
            }
            if group.is_empty() {
                continue;
            }
            match self.write(&group).await {
                Ok(replies) => {
                    for (submission, replies) in group.drain(..).zip(replies) {
                        let _ = submission.tx.send(Ok(replies));
                    }
                }
                Err(err) => {
                    for submission in group.drain(..) {
                        let _ = submission.tx.send(Err(err.clone()));
                    }
                }
            }
        }
    }

    /// Takes further orders in until the next swap may start: sooner if a
    /// request waits for a claim.
    async fn gather(&self, rx: &mut mpsc::Receiver<Order>, orders: &mut Vec<Order>) {
        while orders.len() < MAX_GROUP {
            let urgent = orders.iter().any(Order::is_urgent);
            let pace = if urgent {
                self.pace / URGENT_SHARE
            } else {
                self.pace
            };
            let since = self.last_swap.map(|at| at.elapsed());
            let Some(rest) = since.and_then(|since| pace.checked_sub(since)) else {
                return;
            };
            match tokio::time::timeout(rest, rx.recv()).await {
                Ok(Some(order)) => orders.push(order),
                _ => return,
            }
        }
    }

    /// Writes a group and returns the replies by submission.
    async fn write(&mut self, group: &[Submission]) -> Result<Vec<Vec<ReportReply>>> {
        for _ in 0..MAX_TRIES {
            let (version, record) = self.read().await?;
            let mut next = record.clone();
            next.expire();
            let now_ms = clock::unix_ms();
            let replies = group
                .iter()
                .map(|submission| apply(&mut next, &submission.change, now_ms))
                .collect();
            if next.same_content(&record) {
                return Ok(replies);
            }
            self.last_swap = Some(Instant::now());
            self.metrics.store_call("swap");
            match self
                .store
                .compare_and_swap(&self.key, version, &next.encode())
                .await
            {
                Ok(version) => {
                    self.note(&next);
                    self.known = Some((version, next));
                    return Ok(replies);
                }
                Err(StoreError::Conflict(_)) => {
                    self.metrics.retried(RetryReason::StoreConflict);
                    self.known = None;
                }
                Err(StoreError::Indeterminate(_)) => {
                    self.metrics.retried(RetryReason::StoreReplyLost);
                    self.known = None;
                }
                Err(err) => return Err(Error::Unreachable(err.to_string())),
            }
        }
        Err(Error::Unreachable("too many races".to_owned()))
    }

    async fn read(&mut self) -> Result<(u64, ShardRecord)> {
        if let Some(known) = &self.known {
            return Ok(known.clone());
        }
        self.metrics.store_call("read");
        let unreachable = |reason: String| Error::Unreachable(reason);
        let found = self.store.get(&self.key).await;
        let known = match found.map_err(|err| unreachable(err.to_string()))? {
            None => (0, ShardRecord::default()),
            Some(found) => {
                let record = ShardRecord::decode(&found.value);
                (
                    found.version,
                    record.map_err(|err| unreachable(err.to_string()))?,
                )
            }
        };
        self.known = Some(known.clone());
        Ok(known)
    }

    async fn holders(&mut self) -> Result<Vec<Holder>> {
        self.known = None;
        let (_, record) = self.read().await?;
        let holders = record
            .open_incarnations()
            .map(|(incarnation, address)| Holder {
                incarnation,
                address: address.to_owned(),
                tokens: record.held_by(incarnation),
            })
            .collect();
        Ok(holders)
    }

    /// Checks what must never happen.
    fn note(&self, record: &ShardRecord) {
        let overspend: u64 = record
            .accounts()
            .map(|(_, account)| account.overspend())
            .sum();
        if overspend > 0 {
            log::error!(key = self.key.as_str(), tokens = overspend; "budget overspent");
            self.metrics.gauges.overspend_tokens.set(overspend);
        }
    }
}

fn apply(record: &mut ShardRecord, change: &Change, now_ms: u64) -> Vec<ReportReply> {
    match change {
        Change::Apply(reports) => reports
            .iter()
            .map(|report| record.apply(report, now_ms))
            .collect(),
        Change::Release(incarnation) => {
            record.release(*incarnation, now_ms);
            Vec::new()
        }
    }
}
