//! The direct way to a record: this router swaps it in the store by itself.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use peridotslip::{
    ledger::{Report, ReportReply},
    prelude::*,
};
use peridotslip_store::Store;

use super::{
    Error, LedgerTransport, Result,
    layout::Layout,
    writer::{Holder, Writer},
};
use crate::{metrics::Metrics, settings::LedgerSettings};

/// Writers for all shards, in this process.
pub(crate) struct DirectTransport {
    writers: Vec<Writer>,
    layout: Layout,
}

impl DirectTransport {
    pub(crate) fn spawn(
        firm: &str,
        settings: &LedgerSettings,
        store: &Arc<dyn Store>,
        metrics: &Arc<Metrics>,
    ) -> Self {
        let pace = Duration::from_millis(settings.group_ms);
        let key = |shard| format!("ledger/{firm}/{shard}");
        let writers = (0..settings.shards)
            .map(|shard| Writer::spawn(key(shard), pace, store.clone(), metrics.clone()))
            .collect();
        let layout = Layout::new(firm, settings.shards, store.clone());
        Self { writers, layout }
    }
}

impl DirectTransport {
    /// How many shards this router cuts the ledger into.
    pub(crate) fn shards(&self) -> u16 {
        u16::try_from(self.writers.len()).unwrap_or(u16::MAX)
    }

    fn writer(&self, shard: u16) -> Result<&Writer> {
        let missing = || Error::Unreachable(format!("no shard {shard}"));
        self.writers.get(usize::from(shard)).ok_or_else(missing)
    }

    /// Applies reports in this process.
    pub(crate) async fn exchange_direct(
        &self,
        shard: u16,
        reports: Vec<Report>,
    ) -> Result<Vec<ReportReply>> {
        self.layout.agree().await?;
        self.writer(shard)?.submit(reports).await
    }

    /// Who holds grants of a shard, as the record says.
    pub(super) async fn holders(&self, shard: u16) -> Result<Vec<Holder>> {
        self.writer(shard)?.holders().await
    }

    /// Ends an incarnation in a shard's record.
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
