//! RPC between the routers of a firm: `bincode` messages on HTTP/2 streams.
//!
//! Each call is one stream of a persistent connection. A connection is dropped
//! if a response doesn't arrive in time, so a dead connection costs one
//! timeout, and the next call opens a new connection.

mod client;
mod frames;
mod server;
mod wire;

use quick_error::quick_error;

pub(crate) use self::{
    client::{ForwardedResponse, PeerClient},
    frames::ResponseFrame,
    server::{decode_head, header_pairs, serve},
    wire::{ForwardedRequest, PeerRequest, PeerResponse},
};

quick_error! {
    /// Why a call to a peer failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// No connection could be opened.
        Connect(address: String) {
            display("no connection to {address}; check that the router runs and that its peer address is correct")
        }
        /// The response did not arrive in time.
        Timeout(address: String) {
            display("{address} did not respond in time; check that the router runs and can be reached over the network")
        }
        /// The stream ended early, or the peer's response is malformed.
        Interrupted(address: String) {
            display("the response of {address} ended early or is malformed; check that the router runs and has a compatible version")
        }
    }
}

/// The result of a call to a peer.
pub(crate) type Result<T> = std::result::Result<T, Error>;
