//! Which callers' connections are closed when descriptors or memory are short.
//!
//! A connection whose request a server may be running is never closed. Before idle
//! connections that have carried requests go those on which nothing useful happens: ones
//! that are closing, and ones whose caller has not sent a request for a while.

/// How long a caller must not have sent anything before its connection goes before idle
/// ones, or before its incomplete request is given up, in milliseconds.
pub const MIN_STALL_MS: u64 = 1_000;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The first request.
    Unused,
    /// The next request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// The rest of a request's body.
    Body,
    /// The response, or that the caller reads it.
    Response,
    /// That the caller closes it.
    Closing,
}

/// An open connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldConnection {
    /// What the connection waits for.
    pub phase: ConnectionPhase,
    /// When the connection last made progress, in milliseconds.
    pub since_ms: u64,
}

impl HeldConnection {
    /// Returns the order in which connections are closed, lowest first; `None` if this
    /// one is not closed.
    fn closing_order(self, now_ms: u64) -> Option<(u8, u64)> {
        let stalled = now_ms >= self.since_ms + MIN_STALL_MS;
        let rank = match self.phase {
            ConnectionPhase::Closing => 0,
            ConnectionPhase::Unused | ConnectionPhase::Head if stalled => 1,
            ConnectionPhase::Unused | ConnectionPhase::Idle => 2,
            ConnectionPhase::Body if stalled => 3,
            ConnectionPhase::Head => 4,
            ConnectionPhase::Body | ConnectionPhase::Response => return None,
        };
        Some((rank, self.since_ms))
    }
}

/// Returns the indices of up to `count` connections to be closed.
pub fn select_closed(
    connections: impl IntoIterator<Item = HeldConnection>,
    count: usize,
    now_ms: u64,
) -> Vec<usize> {
    let connections = connections.into_iter().enumerate();
    let mut closable: Vec<((u8, u64), usize)> = connections
        .filter_map(|(index, connection)| Some((connection.closing_order(now_ms)?, index)))
        .collect();
    if closable.len() > count && count > 0 {
        closable.select_nth_unstable(count - 1);
    }
    closable.truncate(count);
    closable.into_iter().map(|(_, index)| index).collect()
}
