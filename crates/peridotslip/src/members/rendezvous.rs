//! Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
//! increase hit rates"): everyone with the same view picks the same holder,
//! and a holder that goes moves only its own duties.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a candidate for a duty.
#[must_use]
pub fn rank(duty: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(duty.as_bytes(), 0))
}

/// The candidate with the highest rank.
pub fn winner<'a, T>(
    duty: &str,
    candidates: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    candidates.max_by_key(|candidate| rank(duty, name(candidate)))
}
