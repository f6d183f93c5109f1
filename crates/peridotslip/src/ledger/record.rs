//! The durable record of one ledger shard.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    Account, Claim, ClaimStatus, Error, Grant, GrantReply, Outcome, Report, ReportReply, Result,
    Settlement, SettlementStatus,
    report::{Bill, BudgetReport},
};
use crate::{
    ids::{BudgetName, Fingerprint, IdempotencyKey, Incarnation},
    util,
};

/// How long the key of non-idempotent work is retained, in milliseconds:
/// longer than any caller retries.
const CLAIM_RETENTION_MS: u64 = 2 * 60 * 60 * 1000;
/// How long the key of idempotent work is retained, in milliseconds: as long
/// as its response can be replayed. A later retry runs and is billed again.
const KEY_RETENTION_MS: u64 = 15 * 60 * 1000;
/// The largest number of keys in a record. At 25 bytes per key, this number
/// keeps the record below the store's limit of 1 MB. The oldest keys of
/// idempotent work are evicted before the number is reached; if there are no
/// such keys, claims are refused once it is reached.
const MAX_KEYS: usize = 25_000;
/// The number of free entries that eviction leaves for the claims of one group
/// of reports.
const KEY_HEADROOM: usize = 2_000;
/// How long a closed incarnation is retained, in milliseconds.
const CLOSED_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// How long a shortage causes replies to recall the idle grants of other local
/// ledgers, in milliseconds.
const RECALL_MS: u64 = 2_000;

/// The state of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The key is claimed, and the holder may have sent the work.
    Claimed {
        /// The incarnation that claimed the key.
        holder: Incarnation,
        /// The attempt of the holder.
        attempt: u64,
        /// The fingerprint of the caller's request.
        fingerprint: Fingerprint,
    },
    /// The work has been billed.
    Billed {
        /// The incarnation that settled the work.
        by: Incarnation,
        /// The outcome of the work.
        outcome: Outcome,
        /// The fingerprint of the caller's request; `None` if the key was not
        /// claimed before.
        fingerprint: Option<Fingerprint>,
    },
}

/// The entry of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// When the entry last changed, in milliseconds of the writers' clock.
    pub at_ms: u64,
    /// The state of the key.
    pub state: KeyState,
}

impl KeyEntry {
    /// Returns whether the key belongs to non-idempotent work, which has been
    /// claimed before it ran.
    fn is_non_idempotent(&self) -> bool {
        match self.state {
            KeyState::Claimed { .. } => true,
            KeyState::Billed { fingerprint, .. } => fingerprint.is_some(),
        }
    }

    fn retention_ms(&self) -> u64 {
        if self.is_non_idempotent() {
            CLAIM_RETENTION_MS
        } else {
            KEY_RETENTION_MS
        }
    }
}

/// The applied sequence numbers, the address and the witnesses of one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct IncarnationEntry {
    /// All settlements up to this sequence number have been applied.
    watermark: u64,
    /// Applied sequence numbers above the watermark.
    out_of_order: BTreeSet<u64>,
    /// The address of the incarnation.
    address: String,
    /// When the incarnation was closed, in milliseconds of the writers' clock;
    /// `None` while it is open.
    closed_at_ms: Option<u64>,
    /// The routers that record the incarnation's ceilings; empty if its use is
    /// not bounded.
    witnesses: Vec<Incarnation>,
    /// The version of the witness set; 0 if no set has been reported.
    witness_set_version: u64,
}

/// An incarnation that holds a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantHolder {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The address of the incarnation.
    pub address: String,
    /// Tokens that the incarnation may still spend or has spent without a
    /// settlement.
    pub outstanding: u64,
    /// The routers that record the incarnation's ceilings; empty if its use is
    /// not bounded.
    pub witnesses: Vec<Incarnation>,
}

impl IncarnationEntry {
    /// Records `seq` as applied. Returns `false` if it had been applied before.
    fn insert(&mut self, seq: u64) -> bool {
        if seq <= self.watermark || !self.out_of_order.insert(seq) {
            return false;
        }
        while self.out_of_order.remove(&(self.watermark + 1)) {
            self.watermark += 1;
        }
        true
    }
}

/// The budgets, grants, idempotency keys and claims of the organisations that
/// hash to one shard.
///
/// A change takes effect only once the store has replaced the record that the
/// change was made from by the new record, with a compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    accounts: BTreeMap<BudgetName, Account>,
    incarnations: BTreeMap<Incarnation, IncarnationEntry>,
    keys: BTreeMap<IdempotencyKey, KeyEntry>,
    /// The latest time of any writer's clock, in milliseconds.
    clock_ms: u64,
}

impl ShardRecord {
    /// Decodes a record from the bytes in the store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] if the bytes are not exactly one record.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        util::decode(buf).ok_or(Error::Corrupt)
    }

    /// Encodes the record as bytes for the store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        util::encode(self)
    }

    /// Returns the account of `budget`, or `None` if no report has named it.
    #[must_use]
    pub fn account(&self, budget: &BudgetName) -> Option<&Account> {
        self.accounts.get(budget)
    }

    /// Returns all accounts, ordered by budget name.
    pub fn accounts(&self) -> impl Iterator<Item = (&BudgetName, &Account)> {
        self.accounts.iter()
    }

    /// Returns the entry of an idempotency key, if the record has one.
    #[must_use]
    pub fn key(&self, key: IdempotencyKey) -> Option<&KeyEntry> {
        self.keys.get(&key)
    }

    /// Returns the number of idempotency keys in the record.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the incarnations that are not closed, with their addresses.
    pub fn open_incarnations(&self) -> impl Iterator<Item = (Incarnation, &str)> {
        self.incarnations
            .iter()
            .filter(|(_, entry)| entry.closed_at_ms.is_none())
            .map(|(incarnation, entry)| (*incarnation, entry.address.as_str()))
    }

    /// Returns the outstanding tokens of an incarnation, summed over all budgets
    /// of the shard.
    #[must_use]
    pub fn held_by(&self, incarnation: Incarnation) -> u64 {
        self.accounts
            .values()
            .filter_map(|account| account.grants.get(&incarnation))
            .map(Grant::outstanding)
            .sum()
    }

    /// Applies the report of a local ledger at `now_ms` and returns the reply.
    ///
    /// The reply may be sent only after the store has accepted the record.
    pub fn apply(&mut self, report: &Report, now_ms: u64) -> ReportReply {
        self.clock_ms = self.clock_ms.max(now_ms);
        let entry = self.incarnations.entry(report.incarnation).or_default();
        if !report.address.is_empty() && entry.address != report.address {
            entry.address.clone_from(&report.address);
        }
        if report.witness_set_version > entry.witness_set_version {
            entry.witness_set_version = report.witness_set_version;
            entry.witnesses.clone_from(&report.witnesses);
        }
        let witness_set_version = entry.witness_set_version;
        let closed = entry.closed_at_ms.is_some();
        let settled = report
            .settlements
            .iter()
            .map(|settlement| (settlement.seq, self.settle(report.incarnation, settlement)))
            .collect();
        let claims = report
            .claims
            .iter()
            .map(|claim| (*claim, self.claim(report.incarnation, claim, closed)))
            .collect();
        let grants = report
            .budgets
            .iter()
            .map(|budget_report| self.grant(report.incarnation, budget_report, closed))
            .collect();
        if report.closed {
            self.release(report.incarnation, now_ms);
        }
        ReportReply {
            incarnation: report.incarnation,
            grants,
            settled,
            claims,
            closed: closed || report.closed,
            witness_set_version,
        }
    }

    /// Closes an incarnation: its outstanding tokens become free, and it is
    /// never granted tokens again.
    ///
    /// Call this for another process only if it is certain that the process
    /// has ended and that the settlements of its finished responses have
    /// arrived. A settlement that arrives later is billed only as far as the
    /// budget has free tokens.
    pub fn release(&mut self, incarnation: Incarnation, now_ms: u64) {
        self.clock_ms = self.clock_ms.max(now_ms);
        for account in self.accounts.values_mut() {
            account.grants.remove(&incarnation);
        }
        let entry = self.incarnations.entry(incarnation).or_default();
        entry.closed_at_ms.get_or_insert(now_ms);
    }

    /// Returns the incarnations that hold a grant of `budget`.
    #[must_use]
    pub fn holders(&self, budget: &BudgetName) -> Vec<GrantHolder> {
        let grants = self.accounts.get(budget).map(|account| &account.grants);
        grants
            .into_iter()
            .flatten()
            .filter(|(_, grant)| grant.outstanding() > 0)
            .map(|(incarnation, grant)| {
                let entry = self.incarnations.get(incarnation);
                GrantHolder {
                    incarnation: *incarnation,
                    address: entry.map_or_else(String::new, |entry| entry.address.clone()),
                    outstanding: grant.outstanding(),
                    witnesses: entry.map_or_else(Vec::new, |entry| entry.witnesses.clone()),
                }
            })
            .collect()
    }

    /// Frees the part of a dead incarnation's grant that it can't have used
    /// and returns the number of tokens freed. `ceiling` bounds the tokens that
    /// the incarnation used of its grant over its lifetime.
    ///
    /// Call this only if the process has certainly ended and every witness
    /// that the record names has sealed and reported its ceiling.
    pub fn reclaim_unused(
        &mut self,
        incarnation: Incarnation,
        budget: &BudgetName,
        ceiling: u64,
    ) -> u64 {
        let account = self.accounts.get_mut(budget);
        let Some(grant) = account.and_then(|account| account.grants.get_mut(&incarnation)) else {
            return 0;
        };
        let before = grant.outstanding();
        let unused = grant.granted.saturating_sub(ceiling.max(grant.used));
        grant.returned = grant.returned.max(unused);
        before - grant.outstanding()
    }

    /// Names no witnesses of an incarnation, so that its grant can't be reclaimed.
    pub(super) fn drop_witnesses(&mut self, incarnation: Incarnation) {
        if let Some(entry) = self.incarnations.get_mut(&incarnation) {
            entry.witnesses.clear();
        }
    }

    /// Returns the total tokens granted to an incarnation.
    pub(super) fn granted(&self, budget: &BudgetName, incarnation: Incarnation) -> u64 {
        let account = self.accounts.get(budget);
        let grant = account.and_then(|account| account.grants.get(&incarnation));
        grant.map_or(0, |grant| grant.granted)
    }

    /// Raises the total tokens granted to an incarnation, because it holds a
    /// grant that the store has forgotten. Returns by how much.
    pub(super) fn restore_grant(
        &mut self,
        budget: &BudgetName,
        incarnation: Incarnation,
        granted: u64,
    ) -> u64 {
        let before = self.granted(budget, incarnation);
        if granted <= before {
            return 0;
        }
        self.incarnations.entry(incarnation).or_default();
        let account = self.accounts.entry(budget.clone()).or_default();
        account.grants.entry(incarnation).or_default().granted = granted;
        granted - before
    }

    /// Returns whether two records are equal, their clocks aside.
    #[must_use]
    pub fn same_content(&self, other: &Self) -> bool {
        self.accounts == other.accounts
            && self.incarnations == other.incarnations
            && self.keys == other.keys
    }

    /// Removes idempotency keys and closed incarnations past their retention,
    /// and the oldest keys of idempotent work if there are too many keys.
    pub fn expire(&mut self) {
        let clock_ms = self.clock_ms;
        self.keys
            .retain(|_, entry| entry.at_ms + entry.retention_ms() > clock_ms);
        self.evict_keys();
        self.incarnations.retain(|_, entry| {
            entry
                .closed_at_ms
                .is_none_or(|at_ms| at_ms + CLOSED_RETENTION_MS > clock_ms)
        });
    }

    /// Evicts the oldest keys of idempotent work until [`KEY_HEADROOM`] entries
    /// are free.
    fn evict_keys(&mut self) {
        let excess = self.keys.len().saturating_sub(MAX_KEYS - KEY_HEADROOM);
        if excess == 0 {
            return;
        }
        let mut evictable: Vec<(u64, IdempotencyKey)> = self
            .keys
            .iter()
            .filter(|(_, entry)| !entry.is_non_idempotent())
            .map(|(key, entry)| (entry.at_ms, *key))
            .collect();
        evictable.sort_unstable();
        for (_, key) in evictable.into_iter().take(excess) {
            self.keys.remove(&key);
        }
    }

    /// Applies a settlement unless its sequence number had been applied before.
    fn settle(&mut self, incarnation: Incarnation, settlement: &Settlement) -> SettlementStatus {
        let entry = self.incarnations.entry(incarnation).or_default();
        if !entry.insert(settlement.seq) {
            return SettlementStatus::Billed;
        }
        let closed = entry.closed_at_ms.is_some();
        let duplicate = self.record_outcome(incarnation, &settlement.bill);
        let account = self.accounts.entry(settlement.budget.clone()).or_default();
        let tokens = settlement.bill.tokens;
        let consumed = settlement.consumed.max(tokens);
        if duplicate {
            if let Some(grant) = account.grants.get_mut(&incarnation) {
                grant.consume(consumed);
            }
            return SettlementStatus::Duplicate;
        }
        let uncovered = match account.grants.get_mut(&incarnation) {
            Some(grant) if !closed => {
                let covered = consumed - grant.consume(consumed);
                tokens.saturating_sub(covered)
            }
            _ => tokens,
        };
        account.settled += tokens - uncovered;
        // Tokens that no grant covers come from a released incarnation and may
        // only be billed to free tokens.
        let billed_from_free = uncovered.min(account.free());
        account.settled += billed_from_free;
        if billed_from_free < uncovered {
            return SettlementStatus::Unbillable;
        }
        SettlementStatus::Billed
    }

    /// Records the outcome of a bill's key. Returns `true` if the key had been
    /// billed already.
    fn record_outcome(&mut self, incarnation: Incarnation, bill: &Bill) -> bool {
        let Some(key) = bill.key else {
            return false;
        };
        let entry = self.keys.get(&key).map(|entry| entry.state);
        let fingerprint = match entry {
            Some(KeyState::Billed { .. }) => return true,
            Some(KeyState::Claimed {
                holder,
                fingerprint,
                ..
            }) => {
                if bill.outcome == Outcome::NotRun {
                    if holder == incarnation {
                        self.keys.remove(&key);
                    }
                    return false;
                }
                Some(fingerprint)
            }
            None if bill.outcome == Outcome::NotRun => return false,
            None => None,
        };
        let state = KeyState::Billed {
            by: incarnation,
            outcome: bill.outcome,
            fingerprint,
        };
        let at_ms = self.clock_ms;
        self.keys.insert(key, KeyEntry { at_ms, state });
        false
    }

    /// Grants a claim if the record has no entry for its key. `closed` is whether
    /// the incarnation is closed.
    fn claim(&mut self, incarnation: Incarnation, claim: &Claim, closed: bool) -> ClaimStatus {
        let state = self.keys.get(&claim.key).map(|entry| entry.state);
        match state {
            Some(KeyState::Claimed {
                holder,
                attempt,
                fingerprint,
            }) => {
                if fingerprint != claim.fingerprint {
                    ClaimStatus::FingerprintMismatch
                } else if holder == incarnation && attempt == claim.attempt {
                    ClaimStatus::Granted
                } else {
                    ClaimStatus::HeldByOther
                }
            }
            Some(KeyState::Billed {
                outcome,
                fingerprint,
                ..
            }) => match fingerprint {
                Some(fingerprint) if fingerprint != claim.fingerprint => {
                    ClaimStatus::FingerprintMismatch
                }
                _ => ClaimStatus::Completed(outcome),
            },
            None if closed => ClaimStatus::HeldByOther,
            None if self.keys.len() >= MAX_KEYS => ClaimStatus::KeyLimitReached,
            None => {
                let state = KeyState::Claimed {
                    holder: incarnation,
                    attempt: claim.attempt,
                    fingerprint: claim.fingerprint,
                };
                let at_ms = self.clock_ms;
                self.keys.insert(claim.key, KeyEntry { at_ms, state });
                ClaimStatus::Granted
            }
        }
    }

    /// Records the paid and returned amounts of a budget report and grants free
    /// tokens: first the needed ones, then up to `prefetch_percent` of the rest.
    /// A closed incarnation is granted nothing.
    fn grant(
        &mut self,
        incarnation: Incarnation,
        budget_report: &BudgetReport,
        closed: bool,
    ) -> GrantReply {
        let clock_ms = self.clock_ms;
        let account = self
            .accounts
            .entry(budget_report.budget.clone())
            .or_default();
        account.paid = account.paid.max(budget_report.paid);
        let mut grant = account
            .grants
            .get(&incarnation)
            .copied()
            .unwrap_or_default();
        if !closed {
            let max_returned = grant.granted - grant.used;
            grant.returned = grant.returned.max(budget_report.returned.min(max_returned));
            account.grants.insert(incarnation, grant);
            let needed = budget_report.required_total.saturating_sub(grant.granted);
            let mut needed_grant = needed.min(account.free());
            if needed_grant < needed {
                account.short_at_ms = Some(clock_ms);
            }
            // A grant that lets no waiting request run would lie idle.
            if grant.granted + needed_grant < budget_report.min_useful_total {
                needed_grant = 0;
            }
            let desired = budget_report
                .desired_total
                .saturating_sub(grant.granted + needed_grant);
            let prefetched = desired.min(
                (account.free() - needed_grant) / 100
                    * u64::from(budget_report.prefetch_percent.min(100)),
            );
            grant.granted += needed_grant + prefetched;
            account.grants.insert(incarnation, grant);
        }
        let recall = account
            .short_at_ms
            .is_some_and(|at_ms| at_ms + RECALL_MS > clock_ms);
        GrantReply {
            budget: budget_report.budget.clone(),
            paid: account.paid,
            granted: grant.granted,
            returned: grant.returned,
            free: account.free(),
            held_by_others: account.outstanding() - grant.outstanding(),
            holders: if recall {
                account.largest_holders(incarnation)
            } else {
                Vec::new()
            },
            recall,
        }
    }
}
