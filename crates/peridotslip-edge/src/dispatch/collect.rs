//! Reads complete bodies of responses.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

use super::attempt::ServerResponse;

quick_error! {
    /// Why a body can't be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The connection failed, or the body is invalid.
        Broken(reason: String) {
            display("{reason}")
        }
        /// The body exceeds the limit, in bytes.
        TooLong(limit: usize) {
            display("the body has more than {limit} bytes")
        }
    }
}

/// The result of reading a body.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// Reads the complete body of `from_server`, up to `limit` bytes.
///
/// # Errors
///
/// An [`Error`] if the body can't be read or exceeds the limit.
pub(super) async fn collect(from_server: &mut ServerResponse, limit: usize) -> Result<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = from_server.chunk().await {
        let chunk = chunk.map_err(Error::Broken)?;
        if buf.len() + chunk.len() > limit {
            return Err(Error::TooLong(limit));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
