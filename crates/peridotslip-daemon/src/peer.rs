//! How routers of a firm talk: `bincode` messages on h2 streams.
//!
//! Each question is one stream of a connection that is kept open; a
//! connection whose answer doesn't come in time is dropped, so one that has
//! gone silent costs one time limit and is replaced by the next question.

mod client;
mod frames;
mod server;
mod wire;

use quick_error::quick_error;

pub(crate) use self::{
    client::PeerClient,
    frames::Frame,
    server::{head, header_pairs, serve},
    wire::{ForwardedRequest, PeerRequest, PeerResponse},
};

quick_error! {
    /// Why a peer did not answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// No connection can be opened.
        Connect(address: String) {
            display("{address} can't be reached; check that the router runs and its peer address")
        }
        /// No answer in time.
        Timeout(address: String) {
            display("{address} did not answer in time; it is tried again")
        }
        /// The connection broke, or the peer speaks otherwise.
        Broken(address: String) {
            display("the exchange with {address} broke; it is tried again")
        }
    }
}

/// The result of asking a peer.
pub(crate) type Result<T> = std::result::Result<T, Error>;
