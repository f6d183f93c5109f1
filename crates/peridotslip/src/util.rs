//! Small helpers shared by the modules of this crate.

/// Serialises `value` with the crate's one binary encoding.
///
/// The encoding of a domain type cannot fail: no type here has a fallible
/// `Serialize`, and the output is a growable buffer.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("domain types always serialise")
}

/// Reads a value written by [`encode`], refusing trailing bytes.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(buf: &[u8]) -> Option<T> {
    let (value, used) = bincode::serde::decode_from_slice(buf, bincode::config::standard()).ok()?;
    (used == buf.len()).then_some(value)
}
