//! Reclaiming the grants of routers that have ended.
//!
//! A grant may be released only if its holder can't spend it any more and the
//! bills of the holder's finished responses have arrived. An unreachable holder
//! proves neither, because a partitioned or paused router continues to spend.
//! The end of the holder is proved if the platform no longer lists its VM, or
//! if a later incarnation responds at its address. After that, the hold time,
//! which each firm sets, leaves time for the bills that other routers store as
//! replicas.

use std::collections::HashMap;

use crate::ids::Incarnation;

/// Whether a holder has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderLiveness {
    /// The holder responds, or nothing proves that it has ended.
    MayBeAlive,
    /// The platform doesn't list the holder's VM, or a later incarnation
    /// responds at its address.
    Ended,
}

/// Returns the liveness of `holder`.
///
/// `live` is the incarnation that responds at the holder's address, if any.
/// `listed` says whether the platform lists the holder's VM; `None` if the list
/// could not be read.
#[must_use]
pub fn holder_liveness(
    holder: Incarnation,
    live: Option<Incarnation>,
    listed: Option<bool>,
) -> HolderLiveness {
    match live {
        Some(incarnation) if incarnation == holder => HolderLiveness::MayBeAlive,
        // Incarnations are ordered by time, so a later one has taken the
        // address.
        Some(incarnation) if incarnation > holder => HolderLiveness::Ended,
        _ if listed == Some(false) => HolderLiveness::Ended,
        _ => HolderLiveness::MayBeAlive,
    }
}

/// The holders that have ended, and when their end was first observed.
#[derive(Clone, Debug, Default)]
pub struct GrantReclaimer {
    ended_since_ms: HashMap<Incarnation, u64>,
}

impl GrantReclaimer {
    /// Records an observation of `holder` at `now_ms`. Returns `true` if all
    /// observations of the last `hold_ms` show that the holder has ended, so
    /// that its grants may be released.
    pub fn observe(
        &mut self,
        holder: Incarnation,
        liveness: HolderLiveness,
        hold_ms: u64,
        now_ms: u64,
    ) -> bool {
        match liveness {
            HolderLiveness::MayBeAlive => {
                self.ended_since_ms.remove(&holder);
                false
            }
            HolderLiveness::Ended => {
                let since_ms = *self.ended_since_ms.entry(holder).or_insert(now_ms);
                now_ms.saturating_sub(since_ms) >= hold_ms
            }
        }
    }

    /// Removes a holder whose grants have been released.
    pub fn forget(&mut self, holder: Incarnation) {
        self.ended_since_ms.remove(&holder);
    }
}
