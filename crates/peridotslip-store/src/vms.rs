//! The platform's list of VMs.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::store::{Error, Result};

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The platform will remove the VM soon.
    Leaving,
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The `IP:port` of the peer listener for an entry VM, or of the service for
    /// a backend server.
    pub address: String,
    /// The data centre of the VM.
    #[serde(default)]
    pub data_centre: String,
    /// The state of the VM, which may be out of date.
    pub state: VmState,
}

/// The platform's list of VMs. The list lags behind the actual state and must be
/// treated as a hint.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Returns the current list.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if the list could not be read.
    async fn list(&self) -> Result<Vec<Vm>>;
}

/// An HTTP client for the platform's list of VMs at one address.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: reqwest::Client,
    url: String,
}

impl HttpVmList {
    /// Returns a client for the list at `address` (`IP:port`), whose calls fail
    /// after `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if the HTTP client cannot be built.
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
