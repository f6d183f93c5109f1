//! Helper functions shared by the modules of this crate.

/// Encodes `value` in the binary format of the crate.
///
/// Encoding a type of this crate can't fail: no type has a fallible `Serialize`
/// implementation, and the output buffer grows as needed.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("types of this crate always serialise")
}

/// Most memory that the strings and lists of a value may ask for while it is decoded, in
/// bytes: several times the longest value of the store. Without it, a length in an invalid
/// value would be allocated as it is.
const MAX_DECODED_BYTES: usize = 16 * 1024 * 1024;

/// Decodes a value written by [`encode`]. Returns `None` for invalid or trailing
/// bytes.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(buf: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (value, used) = bincode::serde::decode_from_slice(buf, config).ok()?;
    (used == buf.len()).then_some(value)
}
