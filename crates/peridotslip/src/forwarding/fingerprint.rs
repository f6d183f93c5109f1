//! Recognises a request that comes again under another ID.

use xxhash_rust::xxh3::Xxh3;

use super::RequestPart;

/// Hashes what a server runs of a request: the caller, the method, the path and the body.
/// All routers find the same hash.
#[derive(Clone, Default)]
pub struct RequestFingerprint {
    hasher: Xxh3,
}

impl RequestFingerprint {
    /// Begins the fingerprint of a request of `caller` for `path` at `host`.
    #[must_use]
    pub fn new(caller: &str, method: &str, host: &str, path: &str) -> Self {
        let mut fingerprint = Self::default();
        for field in [caller, method, host, path] {
            // The lengths keep the fields apart.
            fingerprint.append(&field.len().to_le_bytes());
            fingerprint.append(field.as_bytes());
        }
        fingerprint
    }

    /// Appends a piece of the body. How the body is divided makes no difference.
    pub fn append(&mut self, piece: &[u8]) {
        self.hasher.update(piece);
    }

    /// Returns the whole request.
    #[must_use]
    pub fn finish(&self) -> RequestPart {
        RequestPart::whole(self.hasher.digest())
    }
}
