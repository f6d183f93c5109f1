//! Which routers own what one router keeps for all others, such as budgets and
//! permits.
//!
//! Every router calls the owner, so the owner needs processor time and bandwidth that
//! callers' traffic has not used up. Where VMs differ in size, the routers on the
//! largest ones therefore come first, each group in rendezvous order. The preferred
//! size follows from the registered fleet and not from who is reachable, so that the
//! failure of one router moves only what it owned.

use std::cmp::Reverse;

use super::rendezvous_weight;
use crate::relay::VmSize;

/// Number of routers among which ownership is shared at least. With fewer, the loss of
/// one would concern too much at once.
const MIN_OWNERS: usize = 4;

/// Returns the size from which on VMs are preferred as owners: that of the
/// `MIN_OWNERS`th largest VM of the fleet. In a fleet of equal VMs all are preferred.
#[must_use]
pub fn preferred_owner_size(fleet: impl IntoIterator<Item = VmSize>) -> VmSize {
    let mut sizes: Vec<VmSize> = fleet.into_iter().collect();
    sizes.sort_unstable_by_key(|size| Reverse(*size));
    sizes.get(MIN_OWNERS - 1).copied().unwrap_or_default()
}

/// Orders candidates for the ownership of `key`: those with at least the `preferred`
/// size first, then by descending rendezvous weight. `vm` returns the name and the
/// size of a candidate's VM.
pub fn rank_owners<T>(
    key: &str,
    preferred: VmSize,
    candidates: &mut [T],
    vm: impl Fn(&T) -> (&str, VmSize),
) {
    candidates.sort_by_cached_key(|candidate| {
        let (name, size) = vm(candidate);
        Reverse((size >= preferred, rendezvous_weight(key, name)))
    });
}
