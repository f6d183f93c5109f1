//! Which caller gives way when memory for responses is short.

/// How long a caller must not have read before its response is broken off in favour of
/// others, in milliseconds.
pub const MIN_UNREAD_MS: u64 = 1_000;

/// A response that is held for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldResponse {
    /// Shared memory that the response holds, in bytes.
    pub held_bytes: usize,
    /// When the caller last read a part of it, in milliseconds.
    pub last_read_ms: u64,
}

/// Returns the index of the response that gives way to a stream whose caller last read
/// at `last_read_ms`, if one does.
///
/// None gives way to a stream that has not been read for [`MIN_UNREAD_MS`] itself. The
/// others are compared with the stream's own last read and not with the present:
/// streams whose callers stopped within that time of each other would otherwise break
/// each other off when one has been unread for just over it and another for just under.
pub fn gives_way_to_stream(
    last_read_ms: u64,
    responses: impl IntoIterator<Item = HeldResponse>,
    now_ms: u64,
) -> Option<usize> {
    if now_ms >= last_read_ms + MIN_UNREAD_MS {
        return None;
    }
    longest_unread(responses, last_read_ms)
}

/// Returns the index of the response whose caller has not read for longest, of those
/// that hold memory and have not been read for [`MIN_UNREAD_MS`].
pub fn longest_unread(
    responses: impl IntoIterator<Item = HeldResponse>,
    now_ms: u64,
) -> Option<usize> {
    let responses = responses.into_iter().enumerate();
    let unread = responses.filter(|(_, response)| {
        response.held_bytes > 0 && now_ms >= response.last_read_ms + MIN_UNREAD_MS
    });
    unread
        .min_by_key(|(_, response)| response.last_read_ms)
        .map(|(index, _)| index)
}
