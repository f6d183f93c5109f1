//! Prefix affinity: requests with equal prompt prefixes go to the same engines.

use super::{Candidate, Policy};
use crate::members::rendezvous_weight;

/// Bound on the load of an engine, in percent of the average load. At the
/// bound, requests go to another engine even if this engine has cached their
/// prefix.
const LOAD_BOUND_PERCENT: u32 = 125;
/// Number of requests added to the bound, so that the requests with one prefix
/// stay on one engine at low load.
const LOAD_SLACK_REQUESTS: u32 = 2;

/// Selects the first engine whose load is within a bound of the average, in an
/// order that depends on the prefix (Mirrokni, Thorup and Zadimoghaddam,
/// "Consistent hashing with bounded loads"). Requests with a frequent prefix
/// spread over as many engines as the load requires, always in the same order.
#[derive(Debug, Default)]
pub struct PrefixAffinity;

impl Policy for PrefixAffinity {
    fn choose(&self, candidates: &[Candidate<'_>], affinity: u64, _random: u64) -> Option<usize> {
        let count = u32::try_from(candidates.len())
            .ok()
            .filter(|count| *count > 0)?;
        let total: u32 = candidates.iter().map(Candidate::load).sum();
        let bound = (total + 1) * LOAD_BOUND_PERCENT / 100 / count + LOAD_SLACK_REQUESTS;
        let prefix = format!("{affinity:016x}");
        let by_weight = |i: &usize| rendezvous_weight(&prefix, candidates[*i].server);
        let within_bound = |i: &usize| candidates[*i].load() < bound;
        (0..candidates.len())
            .filter(within_bound)
            .max_by_key(by_weight)
            .or_else(|| (0..candidates.len()).min_by_key(|i| candidates[*i].load()))
    }

    fn name(&self) -> &'static str {
        "prefix-affinity"
    }
}
