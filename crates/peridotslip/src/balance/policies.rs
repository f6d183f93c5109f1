//! Policies that ignore the prompt prefix.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Candidate, Policy};

/// Selects the servers in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(&self, candidates: &[Candidate<'_>], _affinity: u64, _random: u64) -> Option<usize> {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        turn.checked_rem(candidates.len())
    }

    fn name(&self) -> &'static str {
        "round-robin"
    }
}

/// Selects the server with the lowest estimated load.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(&self, candidates: &[Candidate<'_>], _affinity: u64, _random: u64) -> Option<usize> {
        (0..candidates.len()).min_by_key(|&i| candidates[i].load())
    }

    fn name(&self) -> &'static str {
        "least-loaded"
    }
}

/// Selects the less loaded of two servers drawn at random, which prevents
/// routers with the same outdated report from all selecting the same server
/// (Mitzenmacher, "The power of two choices in randomized load balancing").
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Policy for TwoChoices {
    fn choose(&self, candidates: &[Candidate<'_>], _affinity: u64, random: u64) -> Option<usize> {
        let count = candidates.len() as u64;
        if count == 0 {
            return None;
        }
        let first = random % count;
        let other = (random >> 32) % count.saturating_sub(1).max(1);
        let second = if count > 1 && other >= first {
            other + 1
        } else {
            other
        };
        [first, second]
            .into_iter()
            .filter_map(|i| usize::try_from(i).ok())
            .min_by_key(|&i| candidates[i].load())
    }

    fn name(&self) -> &'static str {
        "two-choices"
    }
}
