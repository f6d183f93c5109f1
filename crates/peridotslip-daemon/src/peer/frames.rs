//! The frames in which the response to a forwarded request is streamed. Each
//! frame is a length in four bytes, big-endian, followed by that many bytes of
//! `bincode`.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use super::wire::{decode, encode};

/// Maximum size of a frame without its length prefix, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A frame of the response that the executing router streams back. Variants
/// are encoded by position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ResponseFrame {
    /// Status and headers.
    Head {
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
    },
    /// A chunk of the body.
    Chunk(Vec<u8>),
    /// The response is complete.
    End,
    /// The response was aborted before its end.
    Aborted,
    /// The request was rejected. `reason` and `execution` are the labels of a
    /// `Refusal` and an `ExecutionStatus`; `retry_after_s` is the value of
    /// `Retry-After`, in seconds.
    Rejected {
        reason: String,
        execution: String,
        retry_after_s: Option<u64>,
    },
    /// No new data; the executing router is alive.
    Heartbeat,
    /// The request is about to be sent to this backend server. Sent only to
    /// routers that accept the frame, see
    /// [`ACCEPTS_SERVER_FRAME_HEADER`](crate::context::ACCEPTS_SERVER_FRAME_HEADER).
    Server(String),
}

impl ResponseFrame {
    /// Encodes the frame with its length prefix.
    pub(super) fn encode(&self) -> Bytes {
        let content = encode(self);
        let mut buf = BytesMut::with_capacity(content.len() + 4);
        buf.put_u32(u32::try_from(content.len()).unwrap_or(u32::MAX));
        buf.extend_from_slice(&content);
        buf.freeze()
    }
}

/// Buffers received bytes and decodes complete frames.
#[derive(Debug, Default)]
pub(super) struct FrameDecoder {
    buf: BytesMut,
}

/// The received bytes are not a valid frame.
#[derive(Debug)]
pub(super) struct InvalidFrame;

impl FrameDecoder {
    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` if its bytes have not all arrived yet.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidFrame`] if the frame is too long or can't be decoded.
    pub(super) fn next(&mut self) -> Result<Option<ResponseFrame>, InvalidFrame> {
        let Some(prefix) = self.buf.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(InvalidFrame);
        }
        if self.buf.len() < 4 + length {
            return Ok(None);
        }
        self.buf.advance(4);
        let content = self.buf.split_to(length);
        decode(&content).map(Some).ok_or(InvalidFrame)
    }
}
