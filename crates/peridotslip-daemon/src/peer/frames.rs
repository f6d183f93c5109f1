//! The frames of a forwarded answer: a length in four bytes, then `bincode`.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use super::wire::{decode, encode};

/// Longest frame, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A part of an answer on its way from the router that works on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// Status and headers.
    Head {
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
    },
    /// A part of the body.
    Part(Vec<u8>),
    /// The answer is whole.
    End,
    /// The answer broke off.
    Broken,
    /// The request is refused: the reason's word, the run's word, and when
    /// to come back.
    Rejected {
        reason: String,
        execution: String,
        retry_after_s: Option<u64>,
    },
    /// Nothing new, but the router is there.
    Heartbeat,
}

impl Frame {
    /// The frame as it is sent.
    pub(super) fn to_bytes(&self) -> Bytes {
        let content = encode(self);
        let mut buf = BytesMut::with_capacity(content.len() + 4);
        buf.put_u32(u32::try_from(content.len()).unwrap_or(u32::MAX));
        buf.extend_from_slice(&content);
        buf.freeze()
    }
}

/// Gathers bytes until frames are whole.
#[derive(Debug, Default)]
pub(super) struct FrameReader {
    buf: BytesMut,
}

/// The bytes are not frames.
#[derive(Debug)]
pub(super) struct BadFrame;

impl FrameReader {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole frame, if there is one.
    pub(super) fn next(&mut self) -> Result<Option<Frame>, BadFrame> {
        let Some(prefix) = self.buf.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(BadFrame);
        }
        if self.buf.len() < 4 + length {
            return Ok(None);
        }
        self.buf.advance(4);
        let content = self.buf.split_to(length);
        decode(&content).map(Some).ok_or(BadFrame)
    }
}
