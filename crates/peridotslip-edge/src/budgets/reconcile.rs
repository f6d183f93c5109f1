//! Making the record of a budget after the store was restored from an older copy.
//!
//! The owner of the budget makes the record once every router that may have been
//! granted tokens has reported what it holds, or has certainly ended. Until then
//! nothing is granted, and routers spend what they hold.

use std::time::{Duration, Instant};

use peridotslip::{
    ids::{Incarnation, OrganisationName},
    ledger::{EndedBound, Holding, ShardRecord},
};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use super::{
    BudgetManager, ManagedBudget, PeerRequest, epochs::EarlierRecord, exchange::decode_record, lock,
};
use crate::{
    clock::Clock,
    ports::{CasOutcome, Revision, StoreEpoch, StoreError, StoreResult},
};

/// The first version of the messages between routers that has the messages about
/// holdings.
const MIN_PROTOCOL: u32 = 3;
/// Longest age of a copy of the store for which the routers that may have been
/// granted tokens since are known, in milliseconds.
pub(super) const MAX_COPY_AGE_MS: u64 = 15_000;
/// How long confirmed settlements are retained for the record of a next epoch, in
/// milliseconds.
pub(super) const RETENTION_MS: u64 = 2 * MAX_COPY_AGE_MS;
/// Longest wait for what a router holds, in milliseconds. The router may be
/// writing to the store.
const HOLDING_TIMEOUT_MS: u64 = 1_000;
/// How long the record of an epoch waits for a router that does not reply, in
/// milliseconds. The router may still spend what it holds, so all free tokens are
/// charged to it then.
const SILENT_ROUTER_MS: u64 = 5_000;
/// Largest difference between the times of two routers' replies, in
/// milliseconds.
const REPLY_SPREAD_MS: u64 = HOLDING_TIMEOUT_MS;

/// The record that a router has written last.
#[derive(Clone, Debug)]
pub(super) struct WrittenRecord {
    pub(super) revision: Revision,
    pub(super) record: ShardRecord,
    /// When the write was sent.
    pub(super) sent_at: Instant,
}

/// The record that a router has written last, for a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ReportedRecord {
    epoch: u64,
    revision: u64,
    record: Vec<u8>,
    /// Time since the write was sent, in milliseconds.
    age_ms: u64,
}

/// What a router knows of one budget, for the record of a new epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HoldingReply {
    vm: String,
    incarnation: Incarnation,
    /// The store's epoch at the router's start.
    started_epoch: u64,
    /// Whether the router was the first on its VM.
    first_on_vm: bool,
    /// Time since the router's start, in milliseconds.
    up_ms: u64,
    /// What the router holds; `None` if it has never used the budget.
    holding: Option<Holding>,
    written: Option<ReportedRecord>,
    /// The ceilings that the router has recorded, by holder.
    ceilings: Vec<(Incarnation, u64)>,
    /// The other routers that the router takes for running, each with its VM.
    fleet: Vec<(String, Incarnation)>,
    /// The routers that the router has seen end, each with the time since, in
    /// milliseconds.
    ended: Vec<(Incarnation, u64)>,
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl ManagedBudget {
    /// Returns since when this router has tried to make the record of an epoch.
    fn waiting_since(&self, epoch: StoreEpoch) -> Instant {
        let mut waiting = lock(&self.record_missing);
        match *waiting {
            Some((wanted, since)) if wanted == epoch => since,
            _ => {
                let now = Instant::now();
                *waiting = Some((epoch, now));
                now
            }
        }
    }
}

impl BudgetManager {
    /// Reads the record of the current epoch. If there is none, the owner of the
    /// budget makes it.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] while there is no record and this router can't
    /// make it.
    pub(super) async fn open_record(
        &self,
        budget: &ManagedBudget,
    ) -> StoreResult<(Revision, ShardRecord)> {
        let first_epoch = self.read_first_epoch().await?;
        self.metrics.store_call("get");
        let epoch = self.epoch();
        let key = self.record_key(&budget.organisation, epoch);
        let (revision, found) = self.store.get_for_swap(&key).await?;
        if revision.epoch != epoch {
            return Err(StoreError::Restored);
        }
        if let Some(item) = found {
            return decode_record(&item);
        }
        if epoch == first_epoch {
            return Ok((revision, ShardRecord::default()));
        }
        if !self.is_owner(&budget.organisation) {
            let reason = "the owner has not made the record of this epoch yet";
            return Err(StoreError::Unavailable(reason.to_owned()));
        }
        let record = self.make_record(budget, epoch).await?;
        self.metrics.store_call("swap");
        match self
            .store
            .compare_and_swap(&key, revision, &record.encode())
            .await?
        {
            CasOutcome::Done(revision) => Ok((revision, record)),
            CasOutcome::Conflict(Some(item)) => decode_record(&item),
            CasOutcome::Conflict(None) => Err(StoreError::Restored),
        }
    }

    /// Makes the record of an epoch from what the store and the routers know of
    /// the earlier ones.
    async fn make_record(
        &self,
        budget: &ManagedBudget,
        epoch: StoreEpoch,
    ) -> StoreResult<ShardRecord> {
        let stored = self.newest_stored_record(budget, epoch).await?;
        let started_now = self.peers.started_epoch() == Some(epoch.0);
        if stored.is_none() && started_now && !self.peers.any_started_before(epoch) {
            return Ok(ShardRecord::default());
        }
        let waiting_since = budget.waiting_since(epoch);
        let gathered = self.gather_holdings(budget, epoch).await?;
        let patience = Duration::from_millis(SILENT_ROUTER_MS);
        if let Some((vm, _)) = gathered.silent.first()
            && waiting_since.elapsed() < patience
        {
            let reason = format!("{vm} has not reported what it holds");
            return Err(StoreError::Unavailable(reason));
        }
        let holdings = gathered.holdings();
        let all_known = gathered.all_known(stored.is_some());
        let reported = gathered.replies.iter().filter_map(reported_record);
        let base = reported
            .chain(stored)
            .max_by_key(|base| (base.epoch, base.revision));
        let bounds = gathered.bounds(base.as_ref(), all_known);
        let mut record = base.map_or_else(ShardRecord::default, |base| base.record);
        let now_ms = Clock::unix_ms();
        let charged = record.reconcile(&budget.name, &holdings, &bounds, all_known, now_ms);
        log::warn!(
            budget = budget.name.as_str(),
            epoch = epoch.0,
            reported = gathered.replies.len(),
            holding = holdings.len(),
            ended = gathered.ended.len(),
            silent = gathered.silent.len(),
            all_known,
            charged,
            ms = as_ms(waiting_since.elapsed());
            "ledger record made anew after a restore of the store"
        );
        Ok(record)
    }

    /// Asks all routers what they hold.
    async fn gather_holdings(
        &self,
        budget: &ManagedBudget,
        epoch: StoreEpoch,
    ) -> StoreResult<Gathered> {
        let mut replies = vec![self.holding_reply(&budget.organisation).await];
        let mut calls = JoinSet::new();
        for instance in self.peers.others() {
            let peers = self.peers.clone();
            let request = PeerRequest::FetchHolding(budget.organisation.clone());
            calls.spawn(async move {
                let timeout = Duration::from_millis(HOLDING_TIMEOUT_MS);
                let knows_message = instance.protocol >= MIN_PROTOCOL;
                let call = peers.call::<_, HoldingReply>(&instance, &request, timeout);
                if knows_message { call.await.ok() } else { None }
            });
        }
        while let Some(called) = calls.join_next().await {
            let reply = called.map_err(|err| StoreError::Unavailable(err.to_string()))?;
            replies.extend(reply);
        }
        Ok(Gathered::new(replies, epoch))
    }

    /// Returns what this router knows of a budget. No write of this router is
    /// under way meanwhile, so the reply has all that the router has been granted.
    pub(crate) async fn holding_reply(&self, organisation: &OrganisationName) -> HoldingReply {
        let budget = lock(&self.budgets).get(organisation).cloned();
        let mut reply = HoldingReply {
            vm: self.peers.local().vm.clone(),
            incarnation: self.peers.local().incarnation,
            started_epoch: self.peers.started_epoch().unwrap_or(0),
            first_on_vm: self.peers.is_first_on_vm(),
            up_ms: self.clock.now_ms(),
            holding: None,
            written: None,
            ceilings: lock(&self.ceilings).of_budget(&organisation.as_str().into()),
            fleet: self.peers.vms(),
            ended: self.peers.ended(),
        };
        let Some(budget) = budget else {
            return reply;
        };
        let _write_guard = budget.write_lock.lock().await;
        let witnesses = lock(&budget.witnesses)
            .newest()
            .map_or_else(Vec::new, <[Incarnation]>::to_vec);
        reply.holding = Some(budget.lock().ledger.holding(&budget.name, witnesses));
        reply.written = lock(&budget.written)
            .as_ref()
            .map(|written| ReportedRecord {
                epoch: written.revision.epoch.0,
                revision: written.revision.number,
                record: written.record.encode(),
                age_ms: as_ms(written.sent_at.elapsed()),
            });
        reply
    }
}

fn reported_record(reply: &HoldingReply) -> Option<EarlierRecord> {
    let written = reply.written.as_ref()?;
    Some(EarlierRecord {
        epoch: written.epoch,
        revision: written.revision,
        record: ShardRecord::decode(&written.record).ok()?,
        age_ms: Some(written.age_ms),
    })
}

/// What all routers know of one budget.
struct Gathered {
    /// The replies of the routers that ran in an earlier epoch.
    replies: Vec<HoldingReply>,
    /// Routers that have ended, each with the time since at least, in
    /// milliseconds.
    ended: Vec<(Incarnation, u64)>,
    /// Routers that are taken for running and have not replied, with their VMs.
    silent: Vec<(String, Incarnation)>,
}

impl Gathered {
    fn new(mut replies: Vec<HoldingReply>, epoch: StoreEpoch) -> Self {
        let mut ended: Vec<(Incarnation, u64)> = Vec::new();
        let mut silent = Vec::new();
        for reply in &replies {
            ended.extend(&reply.ended);
            for (vm, incarnation) in &reply.fleet {
                match replies.iter().find(|reply| reply.vm == *vm) {
                    Some(running) if running.incarnation == *incarnation => {}
                    // A later router runs on the VM.
                    Some(_) => ended.push((*incarnation, 0)),
                    None => silent.push((vm.clone(), *incarnation)),
                }
            }
        }
        let has_replied = |incarnation: Incarnation| {
            let mut incarnations = replies.iter().map(|reply| reply.incarnation);
            incarnations.any(|replied| replied == incarnation)
        };
        ended.retain(|(incarnation, _)| !has_replied(*incarnation));
        // Several routers may have seen a router end; the first sighting proves
        // that it had ended by then.
        ended.sort_unstable_by_key(|(incarnation, ago_ms)| (*incarnation, u64::MAX - ago_ms));
        ended.dedup_by_key(|(incarnation, _)| *incarnation);
        silent.sort_unstable();
        silent.dedup();
        silent.retain(|(_, incarnation)| ended.iter().all(|(ended, _)| ended != incarnation));
        replies.retain(|reply| reply.started_epoch < epoch.0);
        Self {
            replies,
            ended,
            silent,
        }
    }

    fn holdings(&self) -> Vec<Holding> {
        let holdings = self.replies.iter();
        holdings.filter_map(|reply| reply.holding.clone()).collect()
    }

    /// Returns whether all routers are known that may have been granted tokens
    /// since the copy. `had_record` says whether the store has an earlier record.
    fn all_known(&self, had_record: bool) -> bool {
        if self.replies.is_empty() {
            return !had_record && self.ended.is_empty();
        }
        let mut replies = self.replies.iter();
        replies.any(|reply| reply.up_ms >= MAX_COPY_AGE_MS)
            || self.replies.iter().all(|reply| reply.first_on_vm)
    }

    /// Returns what bounds the use of the routers that have not reported.
    fn bounds(
        &self,
        base: Option<&EarlierRecord>,
        all_known: bool,
    ) -> Vec<(Incarnation, EndedBound)> {
        let base_age_ms = base.and_then(|base| base.age_ms);
        // All others run, so no ceiling of the only router has been lost.
        let only_one = all_known && self.ended.len() == 1 && self.silent.is_empty();
        let of_ended = self.ended.iter().map(|(incarnation, ago_ms)| {
            let recorded = base_age_ms.is_some_and(|age_ms| *ago_ms > age_ms + REPLY_SPREAD_MS);
            let bound = if recorded {
                EndedBound::Recorded
            } else if only_one {
                EndedBound::Ceiling(self.highest_ceiling(*incarnation))
            } else {
                EndedBound::Unknown
            };
            (*incarnation, bound)
        });
        let silent = self.silent.iter();
        let of_silent = silent.map(|(_, incarnation)| (*incarnation, EndedBound::Unknown));
        of_ended.chain(of_silent).collect()
    }

    fn highest_ceiling(&self, holder: Incarnation) -> u64 {
        let ceilings = self.replies.iter().flat_map(|reply| &reply.ceilings);
        let of_holder = ceilings.filter(|(incarnation, _)| *incarnation == holder);
        of_holder.map(|(_, ceiling)| *ceiling).max().unwrap_or(0)
    }
}
