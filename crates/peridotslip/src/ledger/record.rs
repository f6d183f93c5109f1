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

/// How long the key of work that may not be repeated is remembered, in
/// milliseconds: longer than any caller retries.
const CLAIM_RETENTION_MS: u64 = 2 * 60 * 60 * 1000;
/// How long the key of other work is remembered, in milliseconds: as long as
/// its answer can be replayed. A later retry runs and is billed again.
const KEY_RETENTION_MS: u64 = 15 * 60 * 1000;
/// Most keys that a record remembers, which keeps it under the store's limit
/// of 1 MB at 25 bytes a key. Past it, the oldest keys of work that may be
/// repeated are forgotten first, and then no claim is granted.
const MAX_KEYS: usize = 25_000;
/// Room for the claims of one group of reports.
const KEY_HEADROOM: usize = 2_000;
/// How long a closed incarnation is remembered, in milliseconds.
const CLOSED_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// How long an unmet need asks other local ledgers for their idle grants, in
/// milliseconds.
const RECALL_MS: u64 = 2_000;

/// What is recorded about a request key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The holder may have sent the work.
    Claimed {
        /// Who claimed.
        holder: Incarnation,
        /// Which attempt of the holder.
        attempt: u64,
        /// What the caller sent.
        fingerprint: Fingerprint,
    },
    /// The work has been billed.
    Billed {
        /// Who settled.
        by: Incarnation,
        /// What became of the work.
        outcome: Outcome,
        /// What the caller sent, where a claim came first.
        fingerprint: Option<Fingerprint>,
    },
}

/// A request key's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// When the entry last changed, in milliseconds of the writers' clock.
    pub at_ms: u64,
    /// What is known.
    pub state: KeyState,
}

impl KeyEntry {
    /// Whether the key stands for work that may not be repeated.
    fn runs_once(&self) -> bool {
        match self.state {
            KeyState::Claimed { .. } => true,
            KeyState::Billed { fingerprint, .. } => fingerprint.is_some(),
        }
    }

    fn retention_ms(&self) -> u64 {
        if self.runs_once() {
            CLAIM_RETENTION_MS
        } else {
            KEY_RETENTION_MS
        }
    }
}

/// The sequence numbers that have been applied for one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Applied {
    /// Every number up to this one has been applied.
    watermark: u64,
    /// Numbers above the watermark that came early, with their statuses.
    early: BTreeSet<u64>,
    /// Where the incarnation ran.
    address: String,
    /// Since when the incarnation is closed.
    closed_at_ms: Option<u64>,
    /// Who notes its ceilings; empty if nobody does.
    witnesses: Vec<Incarnation>,
    /// Which choice of the incarnation they are.
    witness_set_version: u64,
}

/// An incarnation that holds a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantHolder {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Where it ran.
    pub address: String,
    /// Tokens that it holds or owes a settlement for.
    pub outstanding: u64,
    /// Who notes its ceilings; empty if nobody does.
    pub witnesses: Vec<Incarnation>,
}

impl Applied {
    /// Records `seq`; `false` if it had been applied before.
    fn insert(&mut self, seq: u64) -> bool {
        if seq <= self.watermark || !self.early.insert(seq) {
            return false;
        }
        while self.early.remove(&(self.watermark + 1)) {
            self.watermark += 1;
        }
        true
    }
}

/// Budgets, grants, request keys and claims of the organisations that hash to
/// one shard.
///
/// The record changes only by [`apply`](Self::apply) and
/// [`release`](Self::release), and a change counts only once the store has
/// taken the new record in place of the one it was made from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    accounts: BTreeMap<BudgetName, Account>,
    incarnations: BTreeMap<Incarnation, Applied>,
    keys: BTreeMap<IdempotencyKey, KeyEntry>,
    /// The latest writer's clock seen, in milliseconds.
    clock_ms: u64,
}

impl ShardRecord {
    /// Reads a record from the store's bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Corrupt`] if the bytes are not a whole record.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        util::decode(buf).ok_or(Error::Corrupt)
    }

    /// The record as bytes for the store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        util::encode(self)
    }

    /// The account of `budget`, if any report has named it.
    #[must_use]
    pub fn account(&self, budget: &BudgetName) -> Option<&Account> {
        self.accounts.get(budget)
    }

    /// All accounts, by budget name.
    pub fn accounts(&self) -> impl Iterator<Item = (&BudgetName, &Account)> {
        self.accounts.iter()
    }

    /// The entry of a request key, if it is remembered.
    #[must_use]
    pub fn key(&self, key: IdempotencyKey) -> Option<&KeyEntry> {
        self.keys.get(&key)
    }

    /// How many request keys are remembered.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Incarnations that have not closed, with their addresses.
    pub fn open_incarnations(&self) -> impl Iterator<Item = (Incarnation, &str)> {
        self.incarnations
            .iter()
            .filter(|(_, applied)| applied.closed_at_ms.is_none())
            .map(|(incarnation, applied)| (*incarnation, applied.address.as_str()))
    }

    /// Tokens held by `incarnation` over all budgets of the shard.
    #[must_use]
    pub fn held_by(&self, incarnation: Incarnation) -> u64 {
        self.accounts
            .values()
            .filter_map(|account| account.grants.get(&incarnation))
            .map(Grant::outstanding)
            .sum()
    }

    /// Applies a local ledger's report at `now_ms` and says what to answer.
    ///
    /// The answer may be given only after the store has taken the record.
    pub fn apply(&mut self, report: &Report, now_ms: u64) -> ReportReply {
        self.clock_ms = self.clock_ms.max(now_ms);
        let applied = self.incarnations.entry(report.incarnation).or_default();
        if !report.address.is_empty() && applied.address != report.address {
            applied.address.clone_from(&report.address);
        }
        if report.witness_set_version > applied.witness_set_version {
            applied.witness_set_version = report.witness_set_version;
            applied.witnesses.clone_from(&report.witnesses);
        }
        let witness_set_version = applied.witness_set_version;
        let closed = applied.closed_at_ms.is_some();
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
            .map(|position| self.grant(report.incarnation, position, closed))
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

    /// Ends an incarnation: what it still holds is free again, and it is
    /// never granted anything more.
    ///
    /// Call this for another process only when it is certain that the
    /// process has ended and that the settlements of its finished answers
    /// have arrived. A settlement that arrives later is billed if the budget
    /// has room.
    pub fn release(&mut self, incarnation: Incarnation, now_ms: u64) {
        self.clock_ms = self.clock_ms.max(now_ms);
        for account in self.accounts.values_mut() {
            account.grants.remove(&incarnation);
        }
        let applied = self.incarnations.entry(incarnation).or_default();
        applied.closed_at_ms.get_or_insert(now_ms);
    }

    /// Those that hold a part of `budget`.
    #[must_use]
    pub fn holders(&self, budget: &BudgetName) -> Vec<GrantHolder> {
        let grants = self.accounts.get(budget).map(|account| &account.grants);
        grants
            .into_iter()
            .flatten()
            .filter(|(_, grant)| grant.outstanding() > 0)
            .map(|(incarnation, grant)| {
                let applied = self.incarnations.get(incarnation);
                GrantHolder {
                    incarnation: *incarnation,
                    address: applied.map_or_else(String::new, |applied| applied.address.clone()),
                    outstanding: grant.outstanding(),
                    witnesses: applied.map_or_else(Vec::new, |applied| applied.witnesses.clone()),
                }
            })
            .collect()
    }

    /// Frees what a dead incarnation can't have used, `ceiling` being the most
    /// it used of its grant over its whole life. Returns the tokens freed.
    ///
    /// Call this only when the process has certainly ended and every witness
    /// that the record names has told its ceiling.
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

    /// Whether two records differ at most in the clock they have seen.
    #[must_use]
    pub fn same_content(&self, other: &Self) -> bool {
        self.accounts == other.accounts
            && self.incarnations == other.incarnations
            && self.keys == other.keys
    }

    /// Forgets request keys and closed incarnations past their retention, and
    /// older keys if there are too many.
    pub fn expire(&mut self) {
        let clock_ms = self.clock_ms;
        self.keys
            .retain(|_, entry| entry.at_ms + entry.retention_ms() > clock_ms);
        self.evict_keys();
        self.incarnations.retain(|_, applied| {
            applied
                .closed_at_ms
                .is_none_or(|at_ms| at_ms + CLOSED_RETENTION_MS > clock_ms)
        });
    }

    /// Makes room by forgetting the oldest keys of work that may be repeated.
    fn evict_keys(&mut self) {
        let excess = self.keys.len().saturating_sub(MAX_KEYS - KEY_HEADROOM);
        if excess == 0 {
            return;
        }
        let mut repeatable: Vec<(u64, IdempotencyKey)> = self
            .keys
            .iter()
            .filter(|(_, entry)| !entry.runs_once())
            .map(|(key, entry)| (entry.at_ms, *key))
            .collect();
        repeatable.sort_unstable();
        for (_, key) in repeatable.into_iter().take(excess) {
            self.keys.remove(&key);
        }
    }

    fn settle(&mut self, incarnation: Incarnation, settlement: &Settlement) -> SettlementStatus {
        let applied = self.incarnations.entry(incarnation).or_default();
        if !applied.insert(settlement.seq) {
            return SettlementStatus::Billed;
        }
        let closed = applied.closed_at_ms.is_some();
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
        // A part that no grant covers comes from a released incarnation and
        // may only take what nobody holds.
        let late = uncovered.min(account.free());
        account.settled += late;
        if late < uncovered {
            return SettlementStatus::Unbillable;
        }
        SettlementStatus::Billed
    }

    /// Notes what became of a key; `true` if another incarnation billed it.
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

    fn grant(
        &mut self,
        incarnation: Incarnation,
        position: &BudgetReport,
        closed: bool,
    ) -> GrantReply {
        let clock_ms = self.clock_ms;
        let account = self.accounts.entry(position.budget.clone()).or_default();
        account.paid = account.paid.max(position.paid);
        let mut grant = account
            .grants
            .get(&incarnation)
            .copied()
            .unwrap_or_default();
        if !closed {
            let room = grant.granted - grant.used;
            grant.returned = grant.returned.max(position.returned.min(room));
            account.grants.insert(incarnation, grant);
            let needed = position.required_total.saturating_sub(grant.granted);
            let mut given = needed.min(account.free());
            if given < needed {
                account.short_at_ms = Some(clock_ms);
            }
            if grant.granted + given < position.min_useful_total {
                given = 0;
            }
            let wished = position.desired_total.saturating_sub(grant.granted + given);
            let extra = wished.min(
                (account.free() - given) / 100 * u64::from(position.prefetch_percent.min(100)),
            );
            grant.granted += given + extra;
            account.grants.insert(incarnation, grant);
        }
        let recall = account
            .short_at_ms
            .is_some_and(|at_ms| at_ms + RECALL_MS > clock_ms);
        GrantReply {
            budget: position.budget.clone(),
            paid: account.paid,
            granted: grant.granted,
            returned: grant.returned,
            free: account.free(),
            held_by_others: account.outstanding() - grant.outstanding(),
            holders: if recall {
                account.holders(incarnation)
            } else {
                Vec::new()
            },
            recall,
        }
    }
}
