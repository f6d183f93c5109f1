//! Sending equal prompt prefixes to the same engines.

use super::{Candidate, Policy};
use crate::members::rendezvous_weight;

/// An engine may have this share of load above the average before requests
/// with a prefix that it has cached go elsewhere, in percent.
const LOAD_BOUND_PERCENT: u32 = 125;
/// Requests above the bound that are always allowed, so that small numbers
/// don't scatter prefixes.
const LOAD_SLACK: u32 = 2;

/// Takes the first engine, in an order that the prefix decides, whose load is
/// within a bound of the average (Mirrokni, Thorup and Zadimoghaddam,
/// "Consistent hashing with bounded loads"). A busy prefix spreads over as
/// many engines as it needs, always the same ones.
#[derive(Debug, Default)]
pub struct PrefixAffinity;

impl Policy for PrefixAffinity {
    fn choose(&self, candidates: &[Candidate<'_>], affinity: u64, _random: u64) -> Option<usize> {
        let count = u32::try_from(candidates.len())
            .ok()
            .filter(|count| *count > 0)?;
        let total: u32 = candidates.iter().map(Candidate::load).sum();
        let bound = (total + 1) * LOAD_BOUND_PERCENT / 100 / count + LOAD_SLACK;
        let prefix = format!("{affinity:016x}");
        let by_weight = |i: &usize| rendezvous_weight(&prefix, candidates[*i].server);
        let within = |i: &usize| candidates[*i].load() < bound;
        (0..candidates.len())
            .filter(within)
            .max_by_key(by_weight)
            .or_else(|| (0..candidates.len()).min_by_key(|i| candidates[*i].load()))
    }

    fn name(&self) -> &'static str {
        "prefix-affinity"
    }
}
