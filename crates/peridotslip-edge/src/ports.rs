//! The traits that a platform's adapter implements.
//!
//! An adapter translates between the platform's protocol and the types of this
//! crate and makes no decisions. The platform's wire names occur only in the
//! adapter.
//!
//! In this crate, `version` is the number of a routing table and `revision` the
//! number of a change in the store.

use std::{fmt, sync::Arc, time::Duration};

use async_trait::async_trait;
use http::{HeaderMap, StatusCode};
use peridotslip::forwarding::{LimitNotice, LoadReport, PromptProfile, RoutingTable, ServerEntry};
use quick_error::quick_error;
use sha2::{Digest, Sha256};
use tokio::sync::watch;

quick_error! {
    /// Why a call to the metadata store failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoreError {
        /// The store did not accept the call; nothing was written.
        Unavailable(reason: String) {
            display("the store is unavailable ({reason}); retry later")
        }
        /// A write may or may not have taken effect.
        Indeterminate(reason: String) {
            display("the store's reply was lost ({reason}); read the key to see whether the write took effect")
        }
        /// The store refuses the write, such as one of a value that is too long, and will
        /// refuse it again; nothing was written.
        Rejected(reason: String) {
            display("the store rejects the write ({reason}); check the sizes of the key and the value")
        }
        /// The store no longer has the changes after the requested revision.
        Compacted {
            display("the store has compacted the requested history; list the keys again")
        }
        /// The store was restored from an older copy of itself, so that the call
        /// or its reply belongs to an earlier epoch. A write may or may not have
        /// taken effect.
        Restored {
            display("the store was restored from an older copy; read the keys again")
        }
        /// The store's reply can't be decoded.
        Unreadable(reason: String) {
            display("the store's reply can't be decoded ({reason}); check that the adapter supports the store's version")
        }
    }
}

/// Longest key that the store accepts, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Returns the key of `name` between `prefix` and `suffix`. A digest replaces a name that is
/// too long for a key.
pub(crate) fn bounded_key(prefix: &str, name: &str, suffix: &str) -> String {
    if prefix.len() + name.len() + suffix.len() <= MAX_KEY_BYTES {
        return format!("{prefix}{name}{suffix}");
    }
    let digest = hex::encode(Sha256::digest(name));
    format!("{prefix}sha256-{digest}{suffix}")
}

/// The result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// How often the store has been restored from an older copy of itself. What had
/// been written since the copy is lost then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEpoch(pub u64);

/// The number of a change in the store. A restored store gives numbers out
/// again, so a number means nothing outside its epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// The epoch in which the change was read.
    pub epoch: StoreEpoch,
    /// The number of the change; 0 for a key that does not exist.
    pub number: u64,
}

impl Revision {
    /// Returns the revision of a key that does not exist.
    #[must_use]
    pub fn absent(epoch: StoreEpoch) -> Self {
        Self { epoch, number: 0 }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number.fmt(f)
    }
}

/// A key's value and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision that a compare-and-swap must expect to replace the item.
    pub revision: Revision,
}

/// One change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(Item),
    /// The key was removed. Holds the key.
    Removed(String),
}

/// All items under a prefix and the revision from which to watch the prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision before the first item was read.
    pub revision: Revision,
}

/// The changes under a prefix after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchResponse {
    /// The changes in the order in which they were made.
    pub events: Vec<WatchEvent>,
    /// The revision from which to continue the watch.
    pub revision: Revision,
}

/// The outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written. Holds its revision.
    Done(Revision),
    /// The key is not at the expected revision; nothing was written. Holds the
    /// current item.
    Conflict(Option<Item>),
}

/// The platform's key-value service.
///
/// Calls fail with [`StoreError::Restored`] if their revision or their reply does
/// not belong to the newest epoch.
#[async_trait]
pub trait MetadataStore: Send + Sync {
    /// Returns the newest epoch that any reply has named.
    fn epoch(&self) -> watch::Receiver<StoreEpoch>;

    /// Reads a key.
    async fn get(&self, key: &str) -> StoreResult<Option<Item>>;

    /// Reads a key and the revision at which a compare-and-swap replaces or
    /// creates it.
    async fn get_for_swap(&self, key: &str) -> StoreResult<(Revision, Option<Item>)> {
        let before = *self.epoch().borrow();
        let item = self.get(key).await?;
        if let Some(item) = item {
            return Ok((item.revision, Some(item)));
        }
        let epoch = *self.epoch().borrow();
        // The epoch is not known before the first reply.
        if epoch != before && before != StoreEpoch::default() {
            return Err(StoreError::Restored);
        }
        Ok((Revision::absent(epoch), None))
    }

    /// Checks cheaply whether the store replies. What it replies may be old.
    async fn ping(&self) -> StoreResult<()> {
        self.get("ping").await.map(|_| ())
    }

    /// Reads all keys that begin with `prefix`.
    async fn list(&self, prefix: &str) -> StoreResult<Listing>;

    /// Waits up to `wait` for changes after `revision`.
    async fn watch(
        &self,
        prefix: &str,
        revision: Revision,
        wait: Duration,
    ) -> StoreResult<WatchResponse>;

    /// Writes `value` if the key is at `revision`.
    async fn compare_and_swap(
        &self,
        key: &str,
        revision: Revision,
        value: &[u8],
    ) -> StoreResult<CasOutcome>;

    /// Writes a key unconditionally.
    async fn put(&self, key: &str, value: &[u8]) -> StoreResult<()>;
}

/// Metadata in the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// ID of the caller's attempt. Backend servers echo it.
    pub attempt_id: Option<String>,
    /// How long the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The API key.
    pub api_key: Option<String>,
    /// The most tokens that the response may have; set for model requests.
    pub max_output_tokens: Option<u64>,
    /// Segments and token count of the prompt.
    pub prompt: PromptProfile,
    /// The last event of the stream that the caller has received.
    pub last_event_id: Option<u64>,
    /// ID of the caller's attempt that brought the first event of the stream
    /// which this attempt resumes.
    pub resumes: Option<String>,
}

/// Metadata that the router adds to a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRequestMetadata<'a> {
    /// The server to which the request is addressed.
    pub server: &'a str,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The caller's organisation.
    pub organisation: Option<&'a str>,
    /// The request's urgency; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// The event after which the stream resumes.
    pub last_event_id: Option<u64>,
    /// Address of an engine from which the KV cache of the prompt's prefix can
    /// be copied.
    pub kv_source: Option<&'a str>,
}

/// Metadata in the status and headers of a backend server's response.
#[allow(clippy::struct_excessive_bools)] // Each flag is independent of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// ID of the attempt to which the response belongs; `None` if it names none or several.
    pub attempt_id: Option<String>,
    /// Whether the response has the server's signature, once.
    pub signed: bool,
    /// Whether the server states that it did not run the request to which the response
    /// belongs.
    pub not_run: bool,
    /// Whether the request reached a server other than the addressed one.
    pub wrong_server: bool,
    /// How long the server wants no requests from this router after it has
    /// refused this one.
    pub rest: Option<Duration>,
    /// Whether the server states that it is leaving.
    pub leaving: bool,
    /// The requests that the server takes from all routers together.
    pub limit: LimitNotice,
    /// The server's load.
    pub load: Option<LoadReport>,
    /// Whether the server closes the connection after the response.
    pub closing: bool,
    /// How long the connection may stay idle, in seconds.
    pub keep_alive_s: Option<u64>,
    /// Whether the body has a content encoding, although none was requested.
    pub encoded: bool,
}

/// The format of headers and store entries on one platform.
pub trait Dialect: Send + Sync {
    /// Decodes the headers of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Returns the headers of the request to a backend server: the caller's
    /// headers without hop-by-hop and reserved ones, and the headers for
    /// `metadata`.
    fn upstream_headers(
        &self,
        headers: &HeaderMap,
        metadata: &UpstreamRequestMetadata<'_>,
    ) -> HeaderMap;

    /// Decodes the status and headers of a backend server's response.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the key of the routing table in the store.
    fn table_key(&self) -> &'static str;

    /// Decodes a routing table. Returns `None` if it is invalid.
    fn decode_table(&self, value: &[u8]) -> Option<RoutingTable>;

    /// Returns the prefix of all keys that operators write: the routing table's and
    /// those of evacuated data centres.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the data centre that is evacuated while `key` exists; `None` if the
    /// key means something else.
    fn evacuated_data_centre<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Returns the prefix of the keys of servers' entries in the store.
    fn servers_prefix(&self) -> &'static str;

    /// Decodes a server's entry. Returns `None` if it is invalid.
    fn decode_server(&self, key: &str, value: &[u8]) -> Option<ServerEntry>;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;
}

/// How a platform's servers behave, beyond what their entries and the routing table
/// say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerBehaviour {
    /// Whether an engine crashes if the requests that it holds exceed its memory.
    pub crashes_when_full: bool,
}

/// The implementations that an adapter provides.
#[derive(Clone)]
pub struct Platform {
    /// The metadata store.
    pub store: Arc<dyn MetadataStore>,
    /// The format of headers and store entries.
    pub dialect: Arc<dyn Dialect>,
    /// How the servers behave.
    pub servers: ServerBehaviour,
    /// Whether a shortage of tokens is to be shared out by urgency, where the settings
    /// don't say so.
    pub urgent_first: bool,
}
