//! What the platform must offer, as traits that an adapter implements.
//!
//! The product decides; an adapter only translates. Every wire name of a
//! platform stays behind these traits.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use http::{HeaderMap, StatusCode};
use peridotslip::forwarding::{LoadReport, PromptProfile, RoutingTable, ServerEntry};
use quick_error::quick_error;

quick_error! {
    /// Why a call to the metadata store did not do what was asked.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoreError {
        /// The store did not take the call; nothing was written.
        Unavailable(reason: String) {
            display("the store is unavailable ({reason}); retry later")
        }
        /// A write may or may not have taken effect.
        Indeterminate(reason: String) {
            display("the store's reply was lost ({reason}); read the key to see whether the write took effect")
        }
        /// The watched history has been dropped.
        Compacted {
            display("the store has dropped the history asked for; read the keys again")
        }
        /// The store's answer can't be read.
        Unreadable(reason: String) {
            display("the store's answer can't be read ({reason}); check the adapter against the store's version")
        }
    }
}

/// The result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// A key's value and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The bytes.
    pub value: Vec<u8>,
    /// The revision that a swap must name to replace it.
    pub revision: u64,
}

/// One change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(Item),
    /// The key was removed.
    Removed(String),
}

/// All items under a prefix, and the revision to watch from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision before the listing began.
    pub revision: u64,
}

/// What has changed under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchResponse {
    /// In the order in which they were made.
    pub events: Vec<WatchEvent>,
    /// The revision to go on from.
    pub revision: u64,
}

/// What became of a swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value is in place at this revision.
    Done(u64),
    /// The key is in another state than expected; nothing was written.
    Conflict(Option<Item>),
}

/// The platform's key-value service.
#[async_trait]
pub trait MetadataStore: Send + Sync {
    /// Reads a key.
    async fn get(&self, key: &str) -> StoreResult<Option<Item>>;

    /// Reads all keys that begin with `prefix`.
    async fn list(&self, prefix: &str) -> StoreResult<Listing>;

    /// Waits up to `wait` for changes after `revision`.
    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> StoreResult<WatchResponse>;

    /// Replaces a key that is at `revision`, 0 standing for a key that does
    /// not exist.
    async fn compare_and_swap(
        &self,
        key: &str,
        revision: u64,
        value: &[u8],
    ) -> StoreResult<CasOutcome>;

    /// Writes a key whatever its state.
    async fn put(&self, key: &str, value: &[u8]) -> StoreResult<()>;
}

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Names the caller's attempt; echoed by backend servers.
    pub attempt_id: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The API key.
    pub api_key: Option<String>,
    /// Most tokens that the answer may hold; set for model requests.
    pub max_output_tokens: Option<u64>,
    /// Prompt parts and tokens.
    pub prompt: PromptProfile,
    /// The last event that the caller has of this stream.
    pub last_event_id: Option<u64>,
}

/// What is told to a backend server beside the caller's own headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRequestMetadata<'a> {
    /// The server that the request is meant for.
    pub server: &'a str,
    /// How long an answer is of use, in milliseconds.
    pub deadline_ms: u64,
    /// The caller's organisation.
    pub organisation: Option<&'a str>,
    /// How urgent the request is, 0 first.
    pub urgency: Option<u8>,
    /// Where a stream goes on.
    pub last_event_id: Option<u64>,
    /// The address of an engine that has read the beginning of the prompt, to
    /// copy it from.
    pub kv_source: Option<&'a str>,
}

/// What a backend server's answer says of itself.
#[allow(clippy::struct_excessive_bools)] // Each is an independent fact in a header.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The attempt that it answers.
    pub attempt_id: Option<String>,
    /// Whether it bears the server's signature.
    pub signed: bool,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether the request met another server than it was meant for.
    pub wrong_server: bool,
    /// The server's load.
    pub load: Option<LoadReport>,
    /// Whether the server closes the connection after the answer.
    pub closing: bool,
    /// How long the connection may stay idle, in seconds.
    pub keep_alive_s: Option<u64>,
    /// Whether the body is encoded in some way that nobody asked for.
    pub encoded: bool,
}

/// The dialect in which the platform's callers, servers and store entries
/// speak.
pub trait Dialect: Send + Sync {
    /// Reads a caller's headers.
    fn decode_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Turns a caller's headers into those for a backend server: takes out
    /// what concerns one connection or is the router's to set, and sets it.
    fn upstream_headers(
        &self,
        headers: &HeaderMap,
        metadata: &UpstreamRequestMetadata<'_>,
    ) -> HeaderMap;

    /// Reads a backend server's status and headers.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// The key of the routing table in the store.
    fn table_key(&self) -> &'static str;

    /// Reads a routing table; `None` if the bytes are not one.
    fn decode_table(&self, value: &[u8]) -> Option<RoutingTable>;

    /// The prefix of the servers' entries in the store.
    fn servers_prefix(&self) -> &'static str;

    /// Reads a server's entry; `None` if it names no usable server.
    fn decode_server(&self, key: &str, value: &[u8]) -> Option<ServerEntry>;

    /// The path of the readiness check.
    fn ready_path(&self) -> &'static str;
}

/// Everything that an adapter offers.
#[derive(Clone)]
pub struct Platform {
    /// The metadata store.
    pub store: Arc<dyn MetadataStore>,
    /// The dialect.
    pub dialect: Arc<dyn Dialect>,
}
