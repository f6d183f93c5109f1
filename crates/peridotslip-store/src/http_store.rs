//! The HTTP client of the platform's store.

use std::time::Duration;

use async_trait::async_trait;
use reqwest::{Client, Response, StatusCode};

use crate::store::{Error, Result, Store, VersionedValue};

/// The timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// The response header with the version of a key.
const VERSION_HEADER: &str = "x-version";

/// An HTTP client for the platform's store at one address.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: Client,
    base_url: String,
    timeout: Duration,
}

impl HttpStore {
    /// Returns a client for the store at `address` (`IP:port`). A call fails
    /// after `timeout`; a watch fails `timeout` after its wait has expired.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if the HTTP client cannot be built.
    pub fn open(address: &str, timeout: Duration) -> Result<Self> {
        let client = Client::builder()
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .no_proxy()
            .build()
            .map_err(|err| Error::Unavailable(err.to_string()))?;
        Ok(Self {
            client,
            base_url: format!("http://{address}/kv/"),
            timeout,
        })
    }

    fn url(&self, key: &str) -> String {
        format!("{}{key}", self.base_url)
    }

    async fn read(&self, url: String, timeout: Duration) -> Result<Option<VersionedValue>> {
        let unavailable = |err: reqwest::Error| Error::Unavailable(err.without_url().to_string());
        let reply = self
            .client
            .get(url)
            .timeout(timeout)
            .send()
            .await
            .map_err(unavailable)?;
        match reply.status() {
            StatusCode::OK => {
                let version = parse_version(&reply)
                    .ok_or_else(|| Error::Unavailable("no version in the reply".to_owned()))?;
                let value = reply.bytes().await.map_err(unavailable)?.to_vec();
                Ok(Some(VersionedValue { version, value }))
            }
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(Error::Unavailable(status.to_string())),
        }
    }
}

fn parse_version(reply: &Response) -> Option<u64> {
    let text = reply.headers().get(VERSION_HEADER)?.to_str().ok()?;
    text.parse().ok()
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>> {
        self.read(self.url(key), self.timeout).await
    }

    async fn compare_and_swap(&self, key: &str, version: u64, value: &[u8]) -> Result<u64> {
        let sent = self
            .client
            .put(self.url(key))
            .query(&[("if_version", version)])
            .timeout(self.timeout)
            .body(value.to_vec())
            .send()
            .await;
        let reply = sent.map_err(|err| {
            // The store has not received a request whose connection failed to open.
            let never_sent = err.is_connect();
            let reason = err.without_url().to_string();
            if never_sent {
                Error::Unavailable(reason)
            } else {
                Error::Indeterminate(reason)
            }
        })?;
        let version = parse_version(&reply);
        match (reply.status(), version) {
            (StatusCode::OK, Some(version)) => Ok(version),
            (StatusCode::PRECONDITION_FAILED, Some(version)) => Err(Error::Conflict(version)),
            (StatusCode::PAYLOAD_TOO_LARGE, _) => Err(Error::TooLarge(value.len())),
            (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _) => {
                Err(Error::Unavailable(reply.status().to_string()))
            }
            (status, _) => Err(Error::Indeterminate(status.to_string())),
        }
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<VersionedValue>> {
        let wait_ms = wait.as_millis();
        let url = format!("{}?after={after}&wait_ms={wait_ms}", self.url(key));
        self.read(url, wait + self.timeout).await
    }
}
