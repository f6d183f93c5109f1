//! How a VM's memory and descriptors are divided among what clients make a router hold.
//!
//! Each user of memory has a bound of its own, and the bounds together leave the rest of
//! the process [`PROCESS_PERCENT`]. So no user can take what another one needs, and the
//! process stays within its VM whatever clients send.

use quick_error::quick_error;

/// Memory of a VM whose size is unknown, in bytes: that of the smallest ones.
const DEFAULT_MEMORY_BYTES: usize = 88_000_000;
/// Descriptors of a process whose limit is unknown.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// Smallest memory with which a router runs, in bytes.
const MIN_MEMORY_BYTES: usize = 32_000_000;
/// Descriptors that sockets can't use.
const FILE_DESCRIPTORS: usize = 200;
/// Fewest descriptors for sockets with which a router runs.
const MIN_SOCKETS: usize = 50;

/// Shares of the memory, in percent.
const REQUEST_BODIES_PERCENT: usize = 15;
const RESPONSES_PERCENT: usize = 20;
const CONNECTIONS_PERCENT: usize = 35;
const PEER_MESSAGES_PERCENT: usize = 10;
/// Share of the memory for all else: code, tables, observations and what the allocator
/// does not return.
const PROCESS_PERCENT: usize = 20;
const _: () = assert!(
    REQUEST_BODIES_PERCENT
        + RESPONSES_PERCENT
        + CONNECTIONS_PERCENT
        + PEER_MESSAGES_PERCENT
        + PROCESS_PERCENT
        == 100
);

/// Shares of the descriptors for sockets, in percent. Servers get as many as callers,
/// because each request may need a connection to one; the rest is for the store, for
/// connections that this router opens to peers and for those that are being accepted.
const CALLERS_PERCENT: usize = 40;
const PEERS_PERCENT: usize = 10;
const STATUS_PERCENT: usize = 2;

quick_error! {
    /// Why a VM can't run a router.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The VM has too little memory.
        Memory {
            display("a router needs {} MB of memory or more", MIN_MEMORY_BYTES / 1_000_000)
        }
        /// The process may have too few descriptors.
        Descriptors {
            display("a router needs {} file descriptors or more", FILE_DESCRIPTORS + MIN_SOCKETS)
        }
    }
}

/// The result of dividing a VM.
pub type Result<T> = std::result::Result<T, Error>;

/// The parts of a VM that clients can make a router use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmShares {
    /// Memory for bodies of requests, in bytes.
    pub request_bodies: usize,
    /// Memory for content of responses, in bytes.
    pub responses: usize,
    /// Memory for callers' connections, in bytes.
    pub connections: usize,
    /// Memory for messages of peers, in bytes.
    pub peer_messages: usize,
    /// Most connections of callers.
    pub caller_sockets: usize,
    /// Most connections that peers have opened.
    pub peer_sockets: usize,
    /// Most connections to each port for checks or metrics.
    pub status_sockets: usize,
}

impl VmShares {
    /// Divides a VM that has `memory_bytes` and lets the process open `max_fds`
    /// descriptors. Either is 0 if it is unknown.
    ///
    /// # Errors
    ///
    /// An [`Error`] if the VM is too small.
    pub fn new(memory_bytes: usize, max_fds: usize) -> Result<Self> {
        let memory = match memory_bytes {
            0 => DEFAULT_MEMORY_BYTES,
            bytes => bytes,
        };
        let sockets = match max_fds {
            0 => DEFAULT_DESCRIPTORS,
            descriptors => descriptors,
        };
        let sockets = sockets.saturating_sub(FILE_DESCRIPTORS);
        if memory < MIN_MEMORY_BYTES {
            return Err(Error::Memory);
        }
        if sockets < MIN_SOCKETS {
            return Err(Error::Descriptors);
        }
        let memory_share = |percent: usize| memory / 100 * percent;
        let socket_share = |percent: usize| (sockets * percent / 100).max(1);
        Ok(Self {
            request_bodies: memory_share(REQUEST_BODIES_PERCENT),
            responses: memory_share(RESPONSES_PERCENT),
            connections: memory_share(CONNECTIONS_PERCENT),
            peer_messages: memory_share(PEER_MESSAGES_PERCENT),
            caller_sockets: socket_share(CALLERS_PERCENT),
            peer_sockets: socket_share(PEERS_PERCENT),
            status_sockets: socket_share(STATUS_PERCENT),
        })
    }
}
