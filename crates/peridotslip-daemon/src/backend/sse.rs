//! Cutting a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest event, in bytes; a longer one counts as a broken stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

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

/// Gathers bytes until events are whole.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buf: BytesMut,
}

/// An event passes the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLong;

impl Splitter {
    /// Adds bytes as they came.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES && find_end(&self.buf).is_none() {
            return Err(TooLong);
        }
        Ok(())
    }

    /// The next whole event, with its closing blank line.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        let end = find_end(&self.buf)?;
        Some(self.buf.split_to(end).freeze())
    }
}

/// The length of the first event, its closing blank line included.
fn find_end(buf: &[u8]) -> Option<usize> {
    let newline = |at: usize| buf.get(at) == Some(&b'\n');
    buf.iter().enumerate().find_map(|(at, byte)| match byte {
        b'\n' if newline(at + 1) => Some(at + 2),
        b'\n' if buf.get(at + 1) == Some(&b'\r') && newline(at + 2) => Some(at + 3),
        _ => None,
    })
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
