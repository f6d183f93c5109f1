//! The usual transport: reports go through the router that writes the shard.
//!
//! One router writes a shard's record for all routers, so the number of store
//! writes doesn't grow with the fleet. The choice of the writer affects speed
//! but not correctness: if the writer doesn't respond or can't reach the store,
//! the next router by rendezvous weight writes the record, and if two routers
//! write it at once, compare-and-swap in the store serializes their writes.

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
    controllers::members::{MembersHandle, MembershipView},
    metrics::Metrics,
    peer::{PeerClient, PeerRequest, PeerResponse},
};

/// Longest wait for a writer's reply, in milliseconds.
const WRITER_TIMEOUT_MS: u64 = 400;
/// Maximum number of live routers with which one exchange is attempted. If this
/// router is not among them, it is the last candidate.
const MAX_RANKED_WRITERS: usize = 3;
/// Time for which a writer is ranked last after a failed exchange, in
/// milliseconds.
const COOLDOWN_MS: u64 = 2_000;

/// Returns the rendezvous key that selects a shard's writer.
pub(super) fn writer_key(shard: u16) -> String {
    format!("ledger-writer/{shard}")
}

/// Sends reports to the shard's writer, or to the next candidate if that
/// fails.
pub(crate) struct WriterTransport {
    members: MembersHandle,
    client: PeerClient,
    direct_transport: Arc<DirectTransport>,
    metrics: Arc<Metrics>,
    /// The time until which each failed router is ranked last, in
    /// milliseconds of the monotonic clock, by address.
    cooldown_until: Mutex<HashMap<String, u64>>,
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
            cooldown_until: Mutex::default(),
        }
    }

    fn cooldown_until(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.cooldown_until
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the candidate writers in order of preference: by rendezvous
    /// weight, with recently failed routers last.
    fn candidates(&self, shard: u16, view: &MembershipView) -> Vec<String> {
        let key = writer_key(shard);
        let now_ms = clock::monotonic_ms();
        let mut cooldown_until = self.cooldown_until();
        cooldown_until.retain(|_, until_ms| *until_ms > now_ms);
        let mut live: Vec<&str> = view.live.iter().map(|node| node.address.as_str()).collect();
        live.sort_by_key(|address| {
            let weight = std::cmp::Reverse(rendezvous_weight(&key, address));
            (cooldown_until.contains_key(*address), weight)
        });
        let mut candidates: Vec<String> = live
            .into_iter()
            .take(MAX_RANKED_WRITERS)
            .map(str::to_owned)
            .collect();
        if !candidates.contains(&view.local.address) {
            candidates.push(view.local.address.clone());
        }
        candidates
    }

    /// Exchanges reports through one writer, which is this router itself if
    /// `is_local`. A peer that doesn't respond is marked unreachable.
    async fn exchange_with(
        &self,
        writer: &str,
        is_local: bool,
        shard: u16,
        reports: Vec<Report>,
    ) -> Result<Vec<ReportReply>> {
        if is_local {
            return self.direct_transport.exchange_direct(shard, reports).await;
        }
        let request = PeerRequest::Exchange {
            shards: self.direct_transport.shards(),
            shard,
            reports,
        };
        let timeout = Duration::from_millis(WRITER_TIMEOUT_MS);
        match self.client.call(writer, &request, timeout).await {
            Ok(PeerResponse::Exchange(Some(replies))) => Ok(replies),
            Ok(_) => Err(Error::Unreachable(format!(
                "writer {writer} could not exchange the reports with the store"
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
        let mut last_error = Error::Unreachable("no candidate writer".to_owned());
        for writer in self.candidates(shard, &view) {
            let is_local = writer == view.local.address;
            match self
                .exchange_with(&writer, is_local, shard, reports.clone())
                .await
            {
                Ok(replies) => return Ok(replies),
                Err(err) => {
                    log::debug!(shard = shard, writer = writer.as_str(); "exchange through the writer failed; ranking it last for now: {err}");
                    self.metrics.retried(RetryReason::WriterUnreachable);
                    let until_ms = clock::monotonic_ms() + COOLDOWN_MS;
                    self.cooldown_until().insert(writer, until_ms);
                    last_error = err;
                }
            }
        }
        Err(last_error)
    }
}
