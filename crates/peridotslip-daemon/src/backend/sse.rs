//! What the events of a stream mean.

use serde::Deserialize;

/// What an event is, as far as the router cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Part of the answer.
    Part,
    /// Tells the tokens used.
    Usage(u64),
    /// The end mark.
    Done,
    /// A comment that keeps the connection alive.
    Comment,
}

#[derive(Deserialize)]
struct WithUsage {
    usage: Option<Total>,
}

#[derive(Deserialize)]
struct Total {
    total_tokens: u64,
}

/// Tells what an event is.
pub(crate) fn kind(event: &[u8]) -> Kind {
    if event.starts_with(b":") {
        return Kind::Comment;
    }
    let Some(data) = event.strip_prefix(b"data:") else {
        return Kind::Part;
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return Kind::Done;
    }
    // Only one event of a stream has usage: the others are not parsed.
    if !contains(data, b"\"usage\"") {
        return Kind::Part;
    }
    total_tokens(data).map_or(Kind::Part, Kind::Usage)
}

/// The tokens used, as an answer or event in JSON tells them.
pub(crate) fn total_tokens(json: &[u8]) -> Option<u64> {
    let parsed: WithUsage = serde_json::from_slice(json).ok()?;
    parsed.usage.map(|usage| usage.total_tokens)
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window == needle)
}
