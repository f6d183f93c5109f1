//! Backend servers, what they report, and what requests ask of them.

use serde::{Deserialize, Serialize};

/// A server's name, new at each registration.
pub type ServerId = String;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// A server's entry in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServerEntry {
    /// Its name.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: String,
    /// `IP:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// When it started, in milliseconds since the epoch; 0 if it doesn't say.
    pub started_ms: u64,
}

/// What a server says of its load with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What a request needs, as far as the choice depends on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptProfile {
    /// Prompt segments in order: identity and tokens.
    pub segments: Vec<(u64, u64)>,
    /// Prompt tokens in all.
    pub prompt_tokens: u64,
}

impl PromptProfile {
    /// The segment that later requests of the same session begin with: the last
    /// that is not the request's own.
    #[must_use]
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.segments.len().saturating_sub(2);
        self.segments.get(shared).map(|(id, _)| *id)
    }

    pub(super) fn uncached_tokens(&self, cached: u64) -> u64 {
        self.prompt_tokens.saturating_sub(cached)
    }
}

/// How a send ended, as far as it tells of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered.
    Answered,
    /// The server had no room.
    Full,
    /// The server is another one than the directory says, or has gone.
    WrongServer,
    /// The server could not be reached, broke off or was silent.
    Failed,
    /// The caller or this router gave up.
    Neutral,
}
