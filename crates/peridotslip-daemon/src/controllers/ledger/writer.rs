//! Writes one shard's record to the store by compare-and-swap, with group
//! commit.
//!
//! Swaps are rate-limited: reports that arrive between two swaps are committed
//! together, so the rate of store writes depends on the number of shards and
//! not on the number of requests or routers. After an idle period the first
//! report is written immediately. Applying a report is idempotent, so after a
//! conflict or an indeterminate result the writer reads the record and applies
//! the same reports to it.

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

/// Maximum number of submissions in one swap.
const MAX_GROUP: usize = 1_024;
/// Maximum number of queued commands.
const QUEUE_CAPACITY: usize = 4_096;
/// Divisor of the group commit interval while claims are queued, because
/// requests wait for them.
const URGENT_INTERVAL_DIVISOR: u32 = 3;
/// Maximum number of swap attempts for one group before its submitters get an
/// error and retry.
const MAX_SWAP_ATTEMPTS: u32 = 16;

/// The grants of one incarnation, according to the record.
#[derive(Clone, Debug)]
pub(super) struct IncarnationHoldings {
    pub(super) incarnation: Incarnation,
    pub(super) address: String,
    /// Tokens held, summed over all budgets.
    pub(super) tokens: u64,
}

/// A change to the record: reports of local ledgers, or the end of an
/// incarnation.
enum RecordUpdate {
    Apply(Vec<Report>),
    Release(Incarnation),
}

struct Submission {
    update: RecordUpdate,
    tx: oneshot::Sender<Result<Vec<ReportReply>>>,
}

enum WriterCommand {
    Update(Submission),
    Holders(oneshot::Sender<Result<Vec<IncarnationHoldings>>>),
}

impl WriterCommand {
    fn is_urgent(&self) -> bool {
        match self {
            Self::Update(Submission {
                update: RecordUpdate::Apply(reports),
                ..
            }) => reports.iter().any(|report| !report.claims.is_empty()),
            _ => false,
        }
    }
}

/// A handle to a shard's writer task.
pub(crate) struct ShardWriter {
    tx: mpsc::Sender<WriterCommand>,
}

impl ShardWriter {
    /// Starts the writer task of the record at `key`.
    pub(crate) fn spawn(
        key: String,
        group_commit_interval: Duration,
        store: Arc<dyn Store>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let task = Task {
            key,
            store,
            metrics,
            group_commit_interval,
            last_swap: None,
            cached: None,
        };
        tokio::spawn(task.run(rx));
        Self { tx }
    }

    /// Applies reports; returns once the store holds the result.
    pub(crate) async fn submit(&self, reports: Vec<Report>) -> Result<Vec<ReportReply>> {
        self.update(RecordUpdate::Apply(reports)).await
    }

    /// Ends an incarnation; returns once the store holds the result.
    pub(super) async fn release(&self, incarnation: Incarnation) -> Result<()> {
        self.update(RecordUpdate::Release(incarnation))
            .await
            .map(drop)
    }

    /// Reads the record from the store and returns the holders of grants.
    pub(super) async fn holders(&self) -> Result<Vec<IncarnationHoldings>> {
        let (tx, rx) = oneshot::channel();
        self.send_command(WriterCommand::Holders(tx), rx).await
    }

    /// Submits an update and waits for its result.
    async fn update(&self, update: RecordUpdate) -> Result<Vec<ReportReply>> {
        let (tx, rx) = oneshot::channel();
        self.send_command(WriterCommand::Update(Submission { update, tx }), rx)
            .await
    }

    async fn send_command<T>(
        &self,
        command: WriterCommand,
        rx: oneshot::Receiver<Result<T>>,
    ) -> Result<T> {
        let stopped = || Error::Unreachable("the writer task has stopped".to_owned());
        self.tx.send(command).await.map_err(|_| stopped())?;
        rx.await.unwrap_or_else(|_| Err(stopped()))
    }
}

struct Task {
    key: String,
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
    /// Minimum time between the starts of two swaps.
    group_commit_interval: Duration,
    last_swap: Option<Instant>,
    /// The record as last read or written, with its version; `None` if it must
    /// be read from the store.
    cached: Option<(u64, ShardRecord)>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<WriterCommand>) {
        let mut commands = Vec::new();
        while rx.recv_many(&mut commands, MAX_GROUP).await > 0 {
            self.collect_commands(&mut rx, &mut commands).await;
            let mut group = Vec::new();
            for command in commands.drain(..) {
                match command {
                    WriterCommand::Update(submission) => group.push(submission),
                    WriterCommand::Holders(tx) => drop(tx.send(self.holders().await)),
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

    /// Receives further commands until the next swap may start. The swap may
    /// start sooner if a claim is among the commands.
    async fn collect_commands(
        &self,
        rx: &mut mpsc::Receiver<WriterCommand>,
        commands: &mut Vec<WriterCommand>,
    ) {
        while commands.len() < MAX_GROUP {
            let urgent = commands.iter().any(WriterCommand::is_urgent);
            let group_commit_interval = if urgent {
                self.group_commit_interval / URGENT_INTERVAL_DIVISOR
            } else {
                self.group_commit_interval
            };
            let elapsed = self.last_swap.map(|at| at.elapsed());
            let Some(remaining) =
                elapsed.and_then(|elapsed| group_commit_interval.checked_sub(elapsed))
            else {
                return;
            };
            match tokio::time::timeout(remaining, rx.recv()).await {
                Ok(Some(command)) => commands.push(command),
                _ => return,
            }
        }
    }

    /// Writes a group and returns the replies of each submission, in order.
    async fn write(&mut self, group: &[Submission]) -> Result<Vec<Vec<ReportReply>>> {
        for _ in 0..MAX_SWAP_ATTEMPTS {
            let (version, record) = self.read().await?;
            let mut next = record.clone();
            next.expire();
            let now_ms = clock::unix_ms();
            let replies = group
                .iter()
                .map(|submission| apply(&mut next, &submission.update, now_ms))
                .collect();
            // The record already contains the group, for example after an
            // indeterminate write.
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
                    self.check_overspend(&next);
                    self.cached = Some((version, next));
                    return Ok(replies);
                }
                Err(StoreError::Conflict(_)) => {
                    self.metrics.retried(RetryReason::StoreConflict);
                    self.cached = None;
                }
                Err(StoreError::Indeterminate(_)) => {
                    self.metrics.retried(RetryReason::StoreReplyLost);
                    self.cached = None;
                }
                Err(err) => return Err(Error::Unreachable(err.to_string())),
            }
        }
        Err(Error::Unreachable("too many conflicting writes".to_owned()))
    }

    async fn read(&mut self) -> Result<(u64, ShardRecord)> {
        if let Some(cached) = &self.cached {
            return Ok(cached.clone());
        }
        self.metrics.store_call("read");
        let unreachable = |reason: String| Error::Unreachable(reason);
        let found = self.store.get(&self.key).await;
        let cached = match found.map_err(|err| unreachable(err.to_string()))? {
            None => (0, ShardRecord::default()),
            Some(found) => {
                let record = ShardRecord::decode(&found.value);
                (
                    found.version,
                    record.map_err(|err| unreachable(err.to_string()))?,
                )
            }
        };
        self.cached = Some(cached.clone());
        Ok(cached)
    }

    async fn holders(&mut self) -> Result<Vec<IncarnationHoldings>> {
        // Another router may have written the record since.
        self.cached = None;
        let (_, record) = self.read().await?;
        let holders = record
            .open_incarnations()
            .map(|(incarnation, address)| IncarnationHoldings {
                incarnation,
                address: address.to_owned(),
                tokens: record.held_by(incarnation),
            })
            .collect();
        Ok(holders)
    }

    /// Checks the invariant that no budget is overspent; logs an error and
    /// sets the gauge if it is violated.
    fn check_overspend(&self, record: &ShardRecord) {
        let overspend: u64 = record
            .accounts()
            .map(|(_, account)| account.overspend())
            .sum();
        if overspend > 0 {
            log::error!(key = self.key.as_str(), tokens = overspend; "budget overspent: more tokens are granted and settled than are paid");
            self.metrics.gauges.overspend_tokens.set(overspend);
        }
    }
}

fn apply(record: &mut ShardRecord, update: &RecordUpdate, now_ms: u64) -> Vec<ReportReply> {
    match update {
        RecordUpdate::Apply(reports) => reports
            .iter()
            .map(|report| record.apply(report, now_ms))
            .collect(),
        RecordUpdate::Release(incarnation) => {
            record.release(*incarnation, now_ms);
            Vec::new()
        }
    }
}
