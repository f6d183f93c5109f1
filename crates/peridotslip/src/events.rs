//! Framing of server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes; the stream fails at a longer one.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Length of the longest end of an event, `\n\r\n`, in bytes.
const MAX_TERMINATOR_BYTES: usize = 3;

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventFramer {
    buf: BytesMut,
    /// Number of bytes at the start of the buffer in which no terminator of an
    /// event begins.
    scanned: usize,
}

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventFramer {
    /// Appends bytes of the stream.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if an event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES && self.find_end().is_none() {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the next complete event, including its terminating blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = self.find_end()?;
        self.scanned = 0;
        Some(self.buf.split_to(end).freeze())
    }

    /// Returns the number of bytes of which no event has been returned.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether the buffer contains an incomplete event.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the length of the first event, including its terminating blank
    /// line. Scans each byte once.
    fn find_end(&mut self) -> Option<usize> {
        let end = find_end(&self.buf, self.scanned);
        // The terminator may begin in the last bytes.
        self.scanned = end
            .unwrap_or(self.buf.len())
            .saturating_sub(MAX_TERMINATOR_BYTES);
        end
    }
}

/// Returns the number in an event's `id` field.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

/// Returns the length of the first event of `buf`, including its terminating
/// blank line, which does not begin before `from`.
fn find_end(buf: &[u8], from: usize) -> Option<usize> {
    let newline = |at: usize| buf.get(at) == Some(&b'\n');
    (from..buf.len()).find_map(|at| match buf[at] {
        b'\n' if newline(at + 1) => Some(at + 2),
        b'\n' if buf.get(at + 1) == Some(&b'\r') && newline(at + 2) => Some(at + 3),
        _ => None,
    })
}
