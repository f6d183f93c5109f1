//! What the tool talks to: the store and routers' operators' addresses.

use std::time::Duration;

use peridotslip::{ids::Revision, ledger::ShardRecord};
use peridotslip_store::{HttpStore, Store, TableStore};
use serde::{Deserialize, Serialize};

use crate::commands::{Error, Result};

/// Longest wait for one call, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;

/// Addresses given on the command line.
pub(crate) struct Remote {
    pub(crate) store: String,
    pub(crate) routers: Vec<String>,
}

/// What a router says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Status {
    pub(crate) vm: String,
    pub(crate) firm: String,
    pub(crate) data_centre: String,
    pub(crate) revision: Revision,
    pub(crate) config_confirmed_ms: u64,
    pub(crate) open_requests: u64,
    pub(crate) unconfirmed_settlements: u64,
    pub(crate) stopping: bool,
}

impl Remote {
    fn open_store(&self) -> Result<HttpStore> {
        if self.store.is_empty() {
            return Err(Error::NoStore);
        }
        let timeout = Duration::from_millis(TIMEOUT_MS);
        Ok(HttpStore::open(&self.store, timeout)?)
    }

    /// The tables in the store.
    pub(crate) fn tables(&self) -> Result<TableStore<HttpStore>> {
        Ok(TableStore::new(self.open_store()?))
    }

    /// A firm's ledger shard, if it has a record.
    pub(crate) async fn shard(&self, firm: &str, shard: u16) -> Result<Option<ShardRecord>> {
        let key = format!("ledger/{firm}/{shard}");
        let found = self.open_store()?.get(&key).await?;
        found
            .map(|found| Ok(ShardRecord::decode(&found.value)?))
            .transpose()
    }

    /// Asks a router's operators' address for a JSON document.
    pub(crate) async fn ask<T: serde::de::DeserializeOwned>(
        &self,
        router: &str,
        path: &str,
    ) -> Result<T> {
        let unreachable =
            |err: reqwest::Error| Error::Router(router.to_owned(), err.without_url().to_string());
        let client = reqwest::Client::builder()
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .no_proxy()
            .build()
            .map_err(unreachable)?;
        let url = format!("http://{router}{path}");
        let reply = client.get(url).send().await.map_err(unreachable)?;
        reply.json().await.map_err(unreachable)
    }

    /// Asks a router how it is.
    pub(crate) async fn status(&self, router: &str) -> Result<Status> {
        self.ask(router, "/status").await
    }
}
