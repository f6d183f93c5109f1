//! A client of the store and of the operators' interfaces of routers.

use std::time::Duration;

use peridotslip::{ids::Revision, ledger::ShardRecord};
use peridotslip_store::{HttpStore, Store, TableStore};
use serde::{Deserialize, Serialize};

use crate::commands::{Error, Result};

/// Timeout of a call, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;

/// A client of the store and the routers whose addresses are given on the
/// command line.
pub(crate) struct ClusterClient {
    /// Address of the store; empty if none is given.
    pub(crate) store: String,
    /// Addresses of the routers' operators' interfaces.
    pub(crate) routers: Vec<String>,
}

/// The status that a router reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RouterStatus {
    pub(crate) vm: String,
    pub(crate) firm: String,
    pub(crate) data_centre: String,
    pub(crate) revision: Revision,
    /// Unix time, in milliseconds, at which the router's tables were last confirmed
    /// to be current.
    pub(crate) config_confirmed_ms: u64,
    pub(crate) open_requests: u64,
    pub(crate) unconfirmed_settlements: u64,
    pub(crate) stopping: bool,
}

impl ClusterClient {
    fn open_store(&self) -> Result<HttpStore> {
        if self.store.is_empty() {
            return Err(Error::NoStore);
        }
        let timeout = Duration::from_millis(TIMEOUT_MS);
        Ok(HttpStore::open(&self.store, timeout)?)
    }

    /// Opens the store and returns access to the tables in it.
    pub(crate) fn table_store(&self) -> Result<TableStore<HttpStore>> {
        Ok(TableStore::new(self.open_store()?))
    }

    /// Returns the record of a shard of a firm's ledger, or `None` if it doesn't
    /// exist.
    pub(crate) async fn ledger_record(
        &self,
        firm: &str,
        shard: u16,
    ) -> Result<Option<ShardRecord>> {
        let key = format!("ledger/{firm}/{shard}");
        let stored = self.open_store()?.get(&key).await?;
        stored
            .map(|stored| Ok(ShardRecord::decode(&stored.value)?))
            .transpose()
    }

    /// Fetches a JSON document from a router's operators' interface.
    pub(crate) async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        router: &str,
        path: &str,
    ) -> Result<T> {
        let unreachable = |err: reqwest::Error| {
            Error::RouterUnreachable(router.to_owned(), err.without_url().to_string())
        };
        let client = reqwest::Client::builder()
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .no_proxy()
            .build()
            .map_err(unreachable)?;
        let url = format!("http://{router}{path}");
        let response = client.get(url).send().await.map_err(unreachable)?;
        response.json().await.map_err(unreachable)
    }

    /// Fetches the status of a router.
    pub(crate) async fn status(&self, router: &str) -> Result<RouterStatus> {
        self.get_json(router, "/status").await
    }
}
