//! Reads complete bodies of responses into the router's shared memory.

use bytes::Bytes;
use peridotslip::memory::{AppendError, PooledBuffer};
use quick_error::quick_error;

use super::{AttemptError, attempt::ServerResponse};
use crate::context::RequestContext;

/// Longest body of a successful response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Longest body of any other response, in bytes.
const MAX_ERROR_BYTES: usize = 256 * 1024;

quick_error! {
    /// Why a body can't be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The connection failed, or the body is invalid.
        Broken(reason: String) {
            display("{reason}")
        }
        /// The body exceeds a limit.
        Limit(err: AppendError) {
            display("can't buffer the body: {err}")
            from()
        }
    }
}

/// The result of reading a body.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// Reads the complete body of `from_server`. It holds shared memory until it is
/// dropped.
///
/// # Errors
///
/// An [`Error`] if the body can't be read or exceeds a limit.
pub(super) async fn collect(
    cx: &RequestContext,
    from_server: &mut ServerResponse,
) -> Result<Bytes> {
    let limit = if from_server.status.is_success() {
        MAX_RESPONSE_BYTES
    } else {
        MAX_ERROR_BYTES
    };
    let length = from_server.content_length();
    if length.is_some_and(|length| length > u64::try_from(limit).unwrap_or(u64::MAX)) {
        return Err(AppendError::TooLong(limit).into());
    }
    let mut buf = PooledBuffer::new(&cx.shared.response_memory, limit);
    while let Some(chunk) = from_server.chunk().await {
        let chunk = chunk.map_err(Error::Broken)?;
        while let Err(err) = buf.append(&chunk) {
            let short = matches!(err, AppendError::OutOfMemory(_));
            if !short || !cx.shared.streamed.free_memory() {
                return Err(err.into());
            }
        }
    }
    Ok(Bytes::from_owner(buf.finish()))
}

/// Ends the attempt after its body could not be read. A body that has an end is
/// not the server's failure if only memory for it is short.
pub(super) fn give_up(from_server: ServerResponse, err: &Error) -> AttemptError {
    let has_end = from_server.content_length().is_some();
    if has_end && matches!(err, Error::Limit(AppendError::OutOfMemory(_))) {
        drop(from_server);
    } else {
        from_server.abort();
    }
    AttemptError::MayHaveRun(err.to_string())
}
