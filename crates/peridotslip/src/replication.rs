//! Copies of other routers' settlements, kept until the record has them.
//!
//! A router releases the end of an answer once a router in another data
//! centre holds a copy of its bill, so the bill outlives either of them. The
//! holder of a copy that is not called safe in time reports it in the
//! origin's name; the record applies each settlement once, so it doesn't
//! matter that both report it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::Incarnation,
    ledger::{Report, Settlement},
};

/// How long a copy waits for its origin to call it safe, in milliseconds.
const HOLD_MS: u64 = 4_000;

/// Names a settlement within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettlementId {
    /// The ledger shard.
    pub shard: u16,
    /// Who settled.
    pub incarnation: Incarnation,
    /// The settlement's number there.
    pub seq: u64,
}

/// A settlement to keep a copy of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettlementReplica {
    /// Its name.
    pub id: SettlementId,
    /// The settlement.
    pub settlement: Settlement,
}

/// The copies that one router keeps.
#[derive(Clone, Debug, Default)]
pub struct SettlementReplicas {
    replicas: BTreeMap<SettlementId, (u64, Settlement)>,
}

impl SettlementReplicas {
    /// Keeps copies that came at `now_ms`.
    pub fn insert(&mut self, replicas: Vec<SettlementReplica>, now_ms: u64) {
        for replica in replicas {
            self.replicas
                .insert(replica.id, (now_ms, replica.settlement));
        }
    }

    /// Drops copies whose settlements the record has.
    pub fn remove_durable(&mut self, durable: &[SettlementId]) {
        for id in durable {
            self.replicas.remove(id);
        }
    }

    /// Reports for the copies that have waited too long, by shard. They stay
    /// held until [`remove_durable`](Self::remove_durable).
    #[must_use]
    pub fn overdue(&self, now_ms: u64) -> Vec<(u16, Report)> {
        let mut reports: BTreeMap<(u16, Incarnation), Report> = BTreeMap::new();
        for (id, (at_ms, settlement)) in &self.replicas {
            if now_ms.saturating_sub(*at_ms) < HOLD_MS {
                continue;
            }
            let report = reports.entry((id.shard, id.incarnation)).or_default();
            report.incarnation = id.incarnation;
            report.settlements.push(settlement.clone());
        }
        reports
            .into_iter()
            .map(|((shard, _), report)| (shard, report))
            .collect()
    }

    /// How many copies are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether no copy is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }
}
