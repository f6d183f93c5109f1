//! The messages between routers.

use super::frames::MAX_FRAME_BYTES;
use peridotslip::{
    ledger::{Report, ReportReply},
    members::MemberUpdate,
    prelude::*,
    replication::{SettlementId, SettlementReplica},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A request with a single response. Variants are encoded by position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Checks whether the peer is alive and sends it membership updates. With
    /// `full_state` the reply contains the states of all known routers,
    /// otherwise recent changes.
    Probe {
        updates: Vec<MemberUpdate>,
        full_state: bool,
    },
    /// Requests that the peer probe the router at `address`.
    IndirectProbe { address: String },
    /// Applies reports to a shard's record, provided that the peer has the
    /// same number of shards.
    Exchange {
        shards: u16,
        shard: u16,
        reports: Vec<Report>,
    },
    /// Stores replicas of settlements, and removes the replicas of settlements
    /// that are durable.
    Replicate {
        replicas: Vec<SettlementReplica>,
        durable: Vec<SettlementId>,
    },
    /// Recalls the peer's idle grants of a budget to the shard's record.
    Recall { shard: u16, budget: BudgetName },
    /// Requests the manifest of the active tables.
    Manifest,
    /// Requests pages of the active tables.
    Pages { ids: Vec<String> },
}

/// The response to a [`PeerRequest`]. Variants are encoded by position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    Probe {
        updates: Vec<MemberUpdate>,
    },
    /// Whether the probed router replied.
    IndirectProbe(bool),
    /// The replies to the reports; `None` if they could not be applied.
    Exchange(Option<Vec<ReportReply>>),
    /// The response to `Replicate` and `Recall`.
    Ack,
    /// The encoded manifest, if any tables are active.
    Manifest(Option<Vec<u8>>),
    /// The ids and contents of those requested pages that the peer has.
    Pages(Vec<(String, Vec<u8>)>),
}

/// A caller's request that is forwarded to another router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    pub(crate) method: String,
    pub(crate) uri: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Vec<u8>,
}

/// Returns the path of a request's stream. The server ignores this path, which
/// only identifies the kind of request in network traces.
pub(crate) fn request_path(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Probe { .. } => "/probe",
        PeerRequest::IndirectProbe { .. } => "/probe-for",
        PeerRequest::Exchange { .. } => "/exchange",
        PeerRequest::Replicate { .. } => "/keep",
        PeerRequest::Recall { .. } => "/recall",
        PeerRequest::Manifest => "/head",
        PeerRequest::Pages { .. } => "/pages",
    }
}

/// The path of the streams that forward requests.
pub(crate) const FORWARD_PATH: &str = "/forward";

/// Most memory that the strings and lists of a value may ask for while it is decoded, in
/// bytes. A number counts with its full size, of which a frame may have an eighth.
const MAX_DECODED_BYTES: usize = 8 * MAX_FRAME_BYTES;

/// Encodes a value with `bincode`.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

/// Decodes a value that takes up the whole buffer. Returns `None` if the
/// buffer is malformed or has bytes left over.
pub(super) fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (value, used) = bincode::serde::decode_from_slice(buf, config).ok()?;
    (used == buf.len()).then_some(value)
}
