//! When the grants of a router that has gone are free again.
//!
//! A grant may be released only if its holder can't spend it any more and the
//! bills of its finished answers have arrived. Silence proves neither: a cut
//! off or paused router goes on spending. What proves it is that the platform
//! no longer lists the VM, or that another process has taken the address. The
//! hold time, chosen for each firm, then leaves room for bills that other
//! routers keep copies of.

use std::collections::HashMap;

use crate::ids::Incarnation;

/// What is known of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderLiveness {
    /// It answers, or nothing shows that it has ended.
    MayBeAlive,
    /// The platform doesn't list its VM, or a later incarnation answers at
    /// its address.
    Ended,
}

/// Judges one holder.
///
/// `live` gives the incarnation that answers at an address, `listed` whether
/// the platform lists it; `None` if the list could not be read.
#[must_use]
pub fn holder_liveness(
    holder: Incarnation,
    live: Option<Incarnation>,
    listed: Option<bool>,
) -> HolderLiveness {
    match live {
        Some(incarnation) if incarnation == holder => HolderLiveness::MayBeAlive,
        // Incarnations are ordered by time: a later one holds the address.
        Some(incarnation) if incarnation > holder => HolderLiveness::Ended,
        _ if listed == Some(false) => HolderLiveness::Ended,
        _ => HolderLiveness::MayBeAlive,
    }
}

/// Holders that have ended, and since when that has been known.
#[derive(Clone, Debug, Default)]
pub struct GrantReclaimer {
    ended_since_ms: HashMap<Incarnation, u64>,
}

impl GrantReclaimer {
    /// Takes in the evidence on `holder`; `true` once it has stood for
    /// `hold_ms` without a break, so that the grants may be released.
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

    /// Forgets a holder whose grants are released.
    pub fn forget(&mut self, holder: Incarnation) {
        self.ended_since_ms.remove(&holder);
    }
}
