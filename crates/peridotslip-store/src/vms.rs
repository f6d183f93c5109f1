//! The platform's list of VMs.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::store::{Error, Result};

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's `IP:port`: of its peer listener for an entry VM, of its
    /// service for a backend server.
    pub address: String,
    /// The data centre it is in.
    #[serde(default)]
    pub data_centre: String,
    /// Its state, some time ago.
    pub state: VmState,
}

/// The platform's list of VMs. It lags, so it is a hint.
#[async_trait]
pub trait VmList: Send + Sync {
    /// The list as the platform tells it now.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`].
    async fn list(&self) -> Result<Vec<Vm>>;
}

/// The list at one address, over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: reqwest::Client,
    url: String,
}

impl HttpVmList {
    /// A client for the list at `address` (`IP:port`).
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if no HTTP client can be made.
    pub fn open(address: &str, timeout: Duration) -> Result<Self> {
        let client = reqwest::Client::builder()
            .timeout(timeout)
            .no_proxy()
            .build()
            .map_err(|err| Error::Unavailable(err.to_string()))?;
        Ok(Self {
            client,
            url: format!("http://{address}/vms"),
        })
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>> {
        let unavailable = |err: reqwest::Error| Error::Unavailable(err.without_url().to_string());
        let reply = self
            .client
            .get(&self.url)
            .send()
            .await
            .map_err(unavailable)?;
        let reply = reply.error_for_status().map_err(unavailable)?;
        reply.json().await.map_err(unavailable)
    }
}
