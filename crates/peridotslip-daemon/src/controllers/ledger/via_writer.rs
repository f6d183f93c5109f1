//! The usual way to a record: through the router that writes the shard.
//!
//! One router writes a shard for all, so the store's writes don't grow with
//! the fleet. That router is only picked for speed: if it doesn't answer or
//! can't reach the store, the next in rank writes, and if two routers think
//! that they are it, the store orders their swaps.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use peridotslip::{
    ledger::{Report, ReportReply},
    members::rendezvous_weight,
    prelude::*,
};

use super::{DirectTransport, Error, LedgerTransport, Result};
use crate::{
    clock,
    controllers::members::{MembersHandle, View},
    metrics::Metrics,
    peer::{PeerClient, PeerRequest, PeerResponse},
};

/// Longest wait for a writer, in milliseconds.
const WRITER_TIMEOUT_MS: u64 = 400;
/// Routers that are tried for one exchange, besides this one.
const MAX_WRITERS: usize = 3;
/// How long a writer that failed is passed over, in milliseconds.
const PASS_OVER_MS: u64 = 2_000;

/// The duty of writing a shard.
pub(super) fn writer_key(shard: u16) -> String {
    format!("ledger-writer/{shard}")
}

/// Reports go to the shard's writer, or another way if that fails.
pub(crate) struct WriterTransport {
    members: MembersHandle,
    client: PeerClient,
    direct_transport: Arc<DirectTransport>,
    metrics: Arc<Metrics>,
    /// Until when each router that failed is passed over.
    passed_over: Mutex<HashMap<String, u64>>,
}

impl WriterTransport {
    pub(crate) fn new(
        members: MembersHandle,
        client: PeerClient,
        direct_transport: Arc<DirectTransport>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            members,
            client,
            direct_transport,
            metrics,
            passed_over: Mutex::default(),
        }
    }

    fn passed_over(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.passed_over
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Routers in the order in which they are tried: by rank, those that
    /// failed lately last.
    fn writers(&self, shard: u16, view: &View) -> Vec<String> {
        let key = writer_key(shard);
        let now_ms = clock::monotonic_ms();
        let mut passed_over = self.passed_over();
        passed_over.retain(|_, until_ms| *until_ms > now_ms);
        let mut live: Vec<&str> = view.live.iter().map(|node| node.address.as_str()).collect();
        live.sort_by_key(|address| {
            let weight = std::cmp::Reverse(rendezvous_weight(&key, address));
            (passed_over.contains_key(*address), weight)
        });
        let mut writers: Vec<String> = live
            .into_iter()
            .take(MAX_WRITERS)
            .map(str::to_owned)
            .collect();
        if !writers.contains(&view.local.address) {
            writers.push(view.local.address.clone());
        }
        writers
    }

    async fn try_writer(
        &self,
        writer: &str,
        mine: bool,
        shard: u16,
        reports: Vec<Report>,
    ) -> Result<Vec<ReportReply>> {
        if mine {
            return self.direct_transport.exchange_direct(shard, reports).await;
        }
        let request = PeerRequest::Exchange {
            shards: self.direct_transport.shards(),
            shard,
            reports,
        };
        let timeout = Duration::from_millis(WRITER_TIMEOUT_MS);
        match self.client.call(writer, &request, timeout).await {
            Ok(PeerResponse::Exchanged(Some(replies))) => Ok(replies),
            Ok(_) => Err(Error::Unreachable(format!(
                "{writer} can't reach the store"
            ))),
            Err(err) => {
                self.members.mark_unreachable(writer).await;
                Err(Error::Unreachable(err.to_string()))
            }
        }
    }
}

#[async_trait]
impl LedgerTransport for WriterTransport {
    async fn exchange(&self, shard: u16, reports: Vec<Report>) -> Result<Vec<ReportReply>> {
        let view = self.members.view();
        let mut last = Error::Unreachable("no router writes".to_owned());
        for writer in self.writers(shard, &view) {
            let mine = writer == view.local.address;
            match self.try_writer(&writer, mine, shard, reports.clone()).await {
                Ok(replies) => return Ok(replies),
                Err(err) => {
                    log::debug!(shard = shard, writer = writer.as_str(); "exchange failed: {err}");
                    self.metrics.retried(RetryReason::WriterUnreachable);
                    let until_ms = clock::monotonic_ms() + PASS_OVER_MS;
                    self.passed_over().insert(writer, until_ms);
                    last = err;
                }
            }
        }
        Err(last)
    }
}
