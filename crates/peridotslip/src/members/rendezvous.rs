//! Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
//! increase hit rates"): routers with the same view select the same owner for a
//! key, and when a router leaves, only the keys that it owned get a new owner.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a candidate for a key.
#[must_use]
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the candidate with the highest weight for a key.
pub fn rendezvous_owner<'a, T>(
    key: &str,
    candidates: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    candidates.max_by_key(|candidate| rendezvous_weight(key, name(candidate)))
}
