//! Cutting a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a longer one counts as a broken stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Gathers bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventFramer {
    buf: BytesMut,
}

/// An event passes the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventFramer {
    /// Adds bytes as they came.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if an event passes the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES && find_end(&self.buf).is_none() {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// The next whole event, with its closing blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = find_end(&self.buf)?;
        Some(self.buf.split_to(end).freeze())
    }

    /// Whether an event has begun and not ended.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// The number in an event's `id` field.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
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
