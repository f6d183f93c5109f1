//! What routers ask each other.

use peridotslip::{
    ledger::{Report, ReportReply},
    members::MemberUpdate,
    prelude::*,
    replication::{SettlementId, SettlementReplica},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A question with one answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Are you there? With updates; `all` asks for everything known.
    Probe {
        updates: Vec<MemberUpdate>,
        all: bool,
    },
    /// Does this other router answer you?
    IndirectProbe { address: String },
    /// Apply these reports to a shard's record, if the ledger is cut into so
    /// many shards.
    Exchange {
        shards: u16,
        shard: u16,
        reports: Vec<Report>,
    },
    /// Keep copies of bills, and drop those that are safe.
    Replicate {
        replicas: Vec<SettlementReplica>,
        durable: Vec<SettlementId>,
    },
    /// Give back what is idle of a budget.
    Recall { shard: u16, budget: BudgetName },
    /// Which tables have you in force?
    Head,
    /// Some pages of tables.
    Pages { ids: Vec<String> },
}

/// An answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    Probe {
        updates: Vec<MemberUpdate>,
    },
    IndirectProbe(bool),
    Exchanged(Option<Vec<ReportReply>>),
    Done,
    /// The manifest's bytes, if there are tables in force.
    Head(Option<Vec<u8>>),
    Pages(Vec<(String, Vec<u8>)>),
}

/// A caller's request that another router answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    pub(crate) method: String,
    pub(crate) uri: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Vec<u8>,
}

/// The path of a question's stream, for whoever looks at a trace.
pub(crate) fn request_path(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Probe { .. } => "/probe",
        PeerRequest::IndirectProbe { .. } => "/probe-for",
        PeerRequest::Exchange { .. } => "/exchange",
        PeerRequest::Replicate { .. } => "/keep",
        PeerRequest::Recall { .. } => "/recall",
        PeerRequest::Head => "/head",
        PeerRequest::Pages { .. } => "/pages",
    }
}

/// The path on which requests are forwarded.
pub(crate) const FORWARD_PATH: &str = "/forward";

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

pub(super) fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<T> {
    let (value, used) = bincode::serde::decode_from_slice(buf, bincode::config::standard()).ok()?;
    (used == buf.len()).then_some(value)
}
