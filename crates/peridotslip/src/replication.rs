//! Replicas of other routers' settlements, stored until the record has them.
//!
//! A router sends the end of a response once a router in another data centre
//! stores a replica of its bill, so the bill survives the loss of either
//! router. If a replica is not marked durable in time, its holder reports the
//! settlement in the name of the router that made it. The record applies each
//! settlement once, so both routers may report it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::Incarnation,
    ledger::{Report, Settlement},
};

/// How long a replica waits to be marked durable before its holder reports it,
/// in milliseconds.
const REPORT_DELAY_MS: u64 = 4_000;

/// Identifies a settlement within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettlementId {
    /// The ledger shard.
    pub shard: u16,
    /// The incarnation that made the settlement.
    pub incarnation: Incarnation,
    /// The sequence number within the incarnation and the shard.
    pub seq: u64,
}

/// A replica of a settlement, sent to another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettlementReplica {
    /// The identity of the settlement.
    pub id: SettlementId,
    /// The settlement.
    pub settlement: Settlement,
}

/// The replicas that one router stores, each with its time of arrival in
/// milliseconds.
#[derive(Clone, Debug, Default)]
pub struct SettlementReplicas {
    replicas: BTreeMap<SettlementId, (u64, Settlement)>,
}

impl SettlementReplicas {
    /// Stores replicas that arrived at `now_ms`.
    pub fn insert(&mut self, replicas: Vec<SettlementReplica>, now_ms: u64) {
        for replica in replicas {
            self.replicas
                .insert(replica.id, (now_ms, replica.settlement));
        }
    }

    /// Removes the replicas of settlements that the record has applied.
    pub fn remove_durable(&mut self, durable: &[SettlementId]) {
        for id in durable {
            self.replicas.remove(id);
        }
    }

    /// Returns reports with the replicas that have waited too long, by shard.
    /// The replicas remain stored until
    /// [`remove_durable`](Self::remove_durable) removes them.
    #[must_use]
    pub fn overdue(&self, now_ms: u64) -> Vec<(u16, Report)> {
        let mut reports: BTreeMap<(u16, Incarnation), Report> = BTreeMap::new();
        for (id, (at_ms, settlement)) in &self.replicas {
            if now_ms.saturating_sub(*at_ms) < REPORT_DELAY_MS {
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

    /// Returns the number of stored replicas.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no replica is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }
}
