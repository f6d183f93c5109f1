//! Classification of the server-sent events of a completion stream.

use serde::Deserialize;

/// The kinds of events that the router distinguishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// Content of the response.
    Content,
    /// The stream's total usage, in tokens.
    Usage(u64),
    /// The end mark, `[DONE]`.
    Done,
    /// A comment that keeps the connection alive.
    Comment,
}

#[derive(Deserialize)]
struct UsageReport {
    usage: Option<TokenUsage>,
}

#[derive(Deserialize)]
struct TokenUsage {
    total_tokens: u64,
}

/// Returns the kind of an event.
pub(crate) fn classify(event: &[u8]) -> EventKind {
    if event.starts_with(b":") {
        return EventKind::Comment;
    }
    let Some(data) = event.strip_prefix(b"data:") else {
        return EventKind::Content;
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return EventKind::Done;
    }
    // Only one event of a stream has usage; this check avoids parsing the
    // others as JSON.
    if !contains(data, b"\"usage\"") {
        return EventKind::Content;
    }
    total_tokens(data).map_or(EventKind::Content, EventKind::Usage)
}

/// Returns the total token usage that a JSON response or event reports.
pub(crate) fn total_tokens(json: &[u8]) -> Option<u64> {
    let parsed: UsageReport = serde_json::from_slice(json).ok()?;
    parsed.usage.map(|usage| usage.total_tokens)
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window == needle)
}
