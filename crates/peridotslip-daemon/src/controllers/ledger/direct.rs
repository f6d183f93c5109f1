//! The direct transport: this router itself writes the record to the store.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use peridotslip::{
    ledger::{Report, ReportReply},
    prelude::*,
};
use peridotslip_store::Store;

use super::{
    Error, LedgerTransport, Result,
    layout::ShardLayout,
    writer::{IncarnationHoldings, ShardWriter},
};
use crate::{metrics::Metrics, settings::LedgerSettings};

/// Writers of all shards, in this process.
pub(crate) struct DirectTransport {
    writers: Vec<ShardWriter>,
    layout: ShardLayout,
}

impl DirectTransport {
    /// Starts a writer for each shard.
    pub(crate) fn spawn(
        firm: &str,
        settings: &LedgerSettings,
        store: &Arc<dyn Store>,
        metrics: &Arc<Metrics>,
    ) -> Self {
        let group_commit_interval = Duration::from_millis(settings.group_ms);
        let key = |shard| format!("ledger/{firm}/{shard}");
        let writers = (0..settings.shards)
            .map(|shard| {
                ShardWriter::spawn(
                    key(shard),
                    group_commit_interval,
                    store.clone(),
                    metrics.clone(),
                )
            })
            .collect();
        let layout = ShardLayout::new(firm, settings.shards, store.clone());
        Self { writers, layout }
    }
}

impl DirectTransport {
    /// Returns the number of ledger shards in this router's settings.
    pub(crate) fn shards(&self) -> u16 {
        u16::try_from(self.writers.len()).unwrap_or(u16::MAX)
    }

    fn writer(&self, shard: u16) -> Result<&ShardWriter> {
        let missing = || Error::Unreachable(format!("no shard {shard}"));
        self.writers.get(usize::from(shard)).ok_or_else(missing)
    }

    /// Applies reports to the record in this process, without a peer call.
    ///
    /// # Errors
    ///
    /// As for [`LedgerTransport::exchange`].
    pub(crate) async fn exchange_direct(
        &self,
        shard: u16,
        reports: Vec<Report>,
    ) -> Result<Vec<ReportReply>> {
        self.layout.verify().await?;
        self.writer(shard)?.submit(reports).await
    }

    /// Reads a shard's record and returns the incarnations that hold grants.
    pub(super) async fn holders(&self, shard: u16) -> Result<Vec<IncarnationHoldings>> {
        self.writer(shard)?.holders().await
    }

    /// Ends an incarnation in a shard's record, which releases its grants.
    pub(super) async fn release(&self, shard: u16, incarnation: Incarnation) -> Result<()> {
        self.writer(shard)?.release(incarnation).await
    }
}

#[async_trait]
impl LedgerTransport for DirectTransport {
    async fn exchange(&self, shard: u16, reports: Vec<Report>) -> Result<Vec<ReportReply>> {
        self.exchange_direct(shard, reports).await
    }
}
