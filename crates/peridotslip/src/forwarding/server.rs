//! Backend servers, their load reports, and the properties of a request that
//! the selection of a server depends on.

use serde::{Deserialize, Serialize};

use super::ServerVersion;

/// A server's name; each registration has a new one.
pub type ServerId = String;

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server finishes its running requests and accepts no new ones.
    Draining,
}

/// A server's entry in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServerEntry {
    /// The server's name.
    pub id: ServerId,
    /// The service that the server belongs to.
    pub service: String,
    /// The server's address, `IP:port`.
    pub address: String,
    /// The server's data centre.
    pub data_centre: String,
    /// The version of the server's software.
    pub version: ServerVersion,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// When the server started, in milliseconds since the Unix epoch; 0 if the
    /// entry doesn't contain the time.
    pub started_ms: u64,
    /// How long the server stays cold after its entry was written, in
    /// milliseconds.
    pub cold_left_ms: u64,
}

/// One start of a server at one address. A server that starts again keeps its ID,
/// and the earlier start may still accept requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerStart {
    /// The server's name.
    pub server: ServerId,
    /// The server's address, `IP:port`.
    pub address: String,
    /// When the server started, in milliseconds since the Unix epoch; 0 if
    /// unknown.
    pub started_ms: u64,
}

impl From<&ServerEntry> for ServerStart {
    fn from(server: &ServerEntry) -> Self {
        Self {
            server: server.id.clone(),
            address: server.address.clone(),
            started_ms: server.started_ms,
        }
    }
}

/// The load that a server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// How long work takes on the server's machine now, in percent of the usual
    /// time; `None` if the server does not report it.
    pub work_percent: Option<u32>,
}

/// The properties of a request's prompt that the selection of a server depends
/// on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptProfile {
    /// Prompt segments in order, each as its hash and its length in tokens.
    pub segments: Vec<(u64, u64)>,
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: u64,
}

impl PromptProfile {
    /// Returns the hash of the last segment that later requests of the same
    /// session share, which is the last but one: the last segment is specific to
    /// the request.
    #[must_use]
    pub fn affinity_key(&self) -> Option<u64> {
        let last_shared = self.segments.len().saturating_sub(2);
        self.segments.get(last_shared).map(|(id, _)| *id)
    }

    /// Returns the segments that other requests may share: all but the last.
    #[must_use]
    pub fn shared_segments(&self) -> Vec<RequestPart> {
        let shared = self.segments.len().saturating_sub(1);
        let ids = self.segments.iter().take(shared).map(|(id, _)| *id);
        ids.zip(0..)
            .map(|(id, position)| RequestPart { id, position })
            .collect()
    }

    pub(super) fn uncached_tokens(&self, cached: u64) -> u64 {
        self.prompt_tokens.saturating_sub(cached)
    }
}

/// What other requests may have in common with a request: a segment of the prompt, or all
/// that a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestPart {
    /// The hash of the segment or of the whole request.
    pub id: u64,
    /// The segment's position in the prompt, from 0. A whole request comes after all
    /// positions, because nothing is more specific.
    pub position: u32,
}

impl RequestPart {
    /// Position of a whole request.
    const WHOLE: u32 = u32::MAX;

    /// Returns the whole request with this hash.
    #[must_use]
    pub fn whole(id: u64) -> Self {
        Self {
            id,
            position: Self::WHOLE,
        }
    }

    /// Returns whether this is a whole request.
    #[must_use]
    pub fn is_whole(self) -> bool {
        self.position == Self::WHOLE
    }
}

/// How an attempt at a server ended, for the health record of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server responded.
    Answered,
    /// The server refused because it was at capacity.
    Full,
    /// The server was unreachable, closed the connection early or timed out.
    Failed,
    /// The caller or this router cancelled the attempt, which is no evidence
    /// about the server's health.
    Neutral,
}
