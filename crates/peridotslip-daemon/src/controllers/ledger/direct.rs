//! The direct way to a record: this router swaps it in the store by itself.

use std::sync::Arc;

use async_trait::async_trait;
use peridotslip::ledger::{Report, ReportReply};
use peridotslip_platform::Store;

use super::{Error, LedgerPath, Result, writer::Writer};
use crate::metrics::Metrics;

/// Writers for all shards, in this process.
pub(crate) struct Direct {
    writers: Vec<Writer>,
}

impl Direct {
    pub(crate) fn spawn(shards: u16, store: &Arc<dyn Store>, metrics: &Arc<Metrics>) -> Self {
        let writers = (0..shards)
            .map(|shard| Writer::spawn(shard, store.clone(), metrics.clone()))
            .collect();
        Self { writers }
    }
}

#[async_trait]
impl LedgerPath for Direct {
    async fn exchange(&self, shard: u16, reports: Vec<Report>) -> Result<Vec<ReportReply>> {
        match self.writers.get(usize::from(shard)) {
            Some(writer) => writer.submit(reports).await,
            None => Err(Error::Unreachable(format!("no shard {shard}"))),
        }
    }
}
