//! Ceilings on the use of grants, recorded by other routers, so that the
//! unused part of a dead router's grant can be reclaimed.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use peridotslip::{
    ids::{BudgetName, Incarnation},
    ledger::GrantHolder,
};
use tokio::task::JoinSet;

use super::{
    BudgetManager, CALL_SLACK_MS, CeilingAck, ManagedBudget, PeerRequest, exchange::CachedRecord,
    lock, reconcile::MAX_COPY_AGE_MS,
};
use crate::{
    ports::{CasOutcome, StoreEpoch},
    registry, rpc,
};

/// The number of witnesses of one budget. One suffices to raise a ceiling; all
/// are needed to reclaim the grant of a dead router.
const WITNESS_COUNT: usize = 3;
/// How long a raised ceiling should last at the current spend rate, in
/// milliseconds.
const CEILING_AHEAD_MS: u64 = 600;
/// A ceiling is raised by at least the paid amount divided by this number.
const MIN_CEILING_STEP_DIVISOR: u64 = 500;

/// The pause between two attempts to reclaim the grant of one dead router, in
/// milliseconds. Each attempt reads the store.
const RECLAIM_PAUSE_MS: u64 = 3_000;

/// When the grants of dead routers may next be reclaimed, for one budget.
#[derive(Default)]
pub(super) struct ReclaimAttempts {
    /// The time before which no attempt is due, in milliseconds of the router's
    /// clock; `u64::MAX` if nothing is left to reclaim.
    not_before_ms: HashMap<Incarnation, u64>,
}

impl ReclaimAttempts {
    /// Returns whether an attempt is due, and if so, records it.
    fn is_due(&mut self, dead: Incarnation, now_ms: u64) -> bool {
        let not_before_ms = self.not_before_ms.entry(dead).or_insert(0);
        if now_ms < *not_before_ms {
            return false;
        }
        *not_before_ms = now_ms + RECLAIM_PAUSE_MS;
        true
    }

    /// Returns whether any attempt is due. Does not record it.
    fn any_is_due(&self, now_ms: u64) -> bool {
        let mut due = self.not_before_ms.values();
        due.any(|not_before_ms| now_ms >= *not_before_ms)
    }

    /// Forgets all routers but the holders in `dead`.
    fn retain(&mut self, dead: &[GrantHolder]) {
        self.not_before_ms
            .retain(|router, _| dead.iter().any(|holder| holder.incarnation == *router));
    }

    fn set_done(&mut self, dead: Incarnation) {
        self.not_before_ms.insert(dead, u64::MAX);
    }
}

impl BudgetManager {
    /// Chooses new witnesses if there are none or one of them is unreachable or
    /// shutting down, and names the new ones in the next report. If no router is
    /// reachable, the report names none.
    ///
    /// Until the record names the new witnesses, the current ones must record
    /// every ceiling as well.
    pub(super) async fn choose_witnesses(&self, budget: &ManagedBudget) {
        let ranked = self.peers.owners(budget.organisation.as_str(), false);
        let is_available = |witness: &Incarnation| {
            ranked
                .iter()
                .any(|instance| instance.incarnation == *witness)
        };
        let newest = lock(&budget.witnesses)
            .newest()
            .map(<[Incarnation]>::to_vec);
        if ranked.is_empty() {
            if newest.is_none() && self.lacks_witnesses(budget)
                || newest.is_some_and(|newest| !newest.is_empty())
                    && !self.required_witness_sets(budget).is_empty()
            {
                self.release_witnesses(budget).await;
            } else {
                self.bound_unwitnessed(budget);
            }
            return;
        }
        if newest.is_some_and(|newest| !newest.is_empty() && newest.iter().all(is_available)) {
            return;
        }
        let chosen: Vec<Incarnation> = ranked
            .iter()
            .take(WITNESS_COUNT)
            .map(|instance| instance.incarnation)
            .collect();
        let _ceiling_guard = budget.ceiling_lock.lock().await;
        let (used, current) = budget.lock().ledger.max_used(&budget.name);
        let ceiling = current.unwrap_or(0).max(used + Self::ceiling_step(budget));
        if !self.record_at_witnesses(budget, &chosen, ceiling).await {
            return;
        }
        let mut state = budget.lock();
        let (used, current) = state.ledger.max_used(&budget.name);
        if used > ceiling {
            return;
        }
        // The current ceiling may be lower than the ceiling just recorded. The
        // current ceiling must not rise, because older witness sets have not
        // recorded the new one.
        let ceiling = current.unwrap_or(ceiling);
        state.ledger.set_ceiling(&budget.name, Some(ceiling));
        state.ledger.set_witnesses(chosen.clone());
        drop(state);
        log::info!(budget = budget.name.as_str(), witnesses = chosen.len(), ceiling; "chose routers to record the ceiling");
        lock(&budget.witnesses).push(chosen);
    }

    /// Names no witnesses in the next report, because no router is reachable. Once
    /// the record confirms it, the grant can't be reclaimed and needs no ceiling
    /// that others have recorded.
    async fn release_witnesses(&self, budget: &ManagedBudget) {
        let _ceiling_guard = budget.ceiling_lock.lock().await;
        let mut state = budget.lock();
        let (used, ceiling) = state.ledger.max_used(&budget.name);
        state.ledger.set_witnesses(Vec::new());
        drop(state);
        log::warn!(budget = budget.name.as_str(), used, ceiling; "no router is reachable to record the ceiling; releasing the witnesses");
        lock(&budget.witnesses).push(Vec::new());
        self.bound_unwitnessed(budget);
    }

    /// Sets a ceiling for a budget without witnesses in a store that can be restored: nothing
    /// else shows how much of its later grants is used. [`lift_ceiling`](Self::lift_ceiling)
    /// raises it.
    fn bound_unwitnessed(&self, budget: &ManagedBudget) {
        if !self.needs_durable_grant(budget) {
            return;
        }
        let mut state = budget.lock();
        let (used, ceiling) = state.ledger.max_used(&budget.name);
        if ceiling.is_none() {
            state.ledger.set_ceiling(&budget.name, Some(used));
        }
    }

    /// Returns whether the use of the budget is bounded by the grant that a restore
    /// of the store can't undo.
    pub(super) fn needs_durable_grant(&self, budget: &ManagedBudget) -> bool {
        self.epoch() > StoreEpoch::default()
            && lock(&budget.witnesses)
                .newest()
                .is_some_and(<[Incarnation]>::is_empty)
    }

    /// Records a reply of the store to a call that was sent at `sent_at`.
    pub(super) fn record_durable_grant(&self, budget: &ManagedBudget, sent_at: Instant) {
        let granted = budget.lock().ledger.granted(&budget.name);
        lock(&budget.durable_grant).record_reply(
            granted,
            self.clock.ms_at(sent_at),
            self.clock.now_ms(),
            MAX_COPY_AGE_MS,
        );
    }

    /// Lifts the ceiling of a budget without witnesses. Returns whether a use of
    /// `needed` tokens in total is allowed now.
    fn lift_ceiling(&self, budget: &ManagedBudget, needed: u64) -> bool {
        if !self.needs_durable_grant(budget) {
            budget.lock().ledger.set_ceiling(&budget.name, None);
            return true;
        }
        // A restored store may have forgotten later grants, and nothing else shows
        // how much of them was used.
        let durable = lock(&budget.durable_grant).tokens();
        budget.lock().ledger.raise_ceiling(&budget.name, durable);
        if durable < needed {
            budget.refill.notify_one();
        }
        durable >= needed
    }

    /// Returns whether this router must not use a budget yet, because no witness
    /// has recorded a ceiling. After a restore of the store, a router without a
    /// ceiling could not be told from one that had used nothing.
    pub(super) fn lacks_witnesses(&self, budget: &ManagedBudget) -> bool {
        self.epoch() > StoreEpoch::default()
            && self.peers.fleet_size() > 1
            && lock(&budget.witnesses).newest().is_none()
            && budget.lock().ledger.is_unused()
    }

    /// Returns the tokens by which a ceiling exceeds the used ones.
    fn ceiling_step(budget: &ManagedBudget) -> u64 {
        let state = budget.lock();
        let expected = state.ledger.rate(&budget.name) * CEILING_AHEAD_MS / 1_000;
        let paid = state.reply.as_ref().map_or(0, |reply| reply.paid);
        expected.max(paid / MIN_CEILING_STEP_DIVISOR)
    }

    /// Raises the ceiling to at least `needed`. Returns whether a use of `needed`
    /// tokens in total is allowed now. All requests that need a higher ceiling
    /// meanwhile wait for the same attempt.
    pub(super) async fn raise_ceiling(
        self: &Arc<Self>,
        budget: &Arc<ManagedBudget>,
        needed: u64,
    ) -> bool {
        loop {
            let (_, ceiling) = budget.lock().ledger.max_used(&budget.name);
            if ceiling.is_none_or(|ceiling| ceiling >= needed) {
                return true;
            }
            let attempt = budget.ceiling_raise.join(|| {
                let (manager, budget) = (self.clone(), budget.clone());
                async move { manager.try_raise_ceiling(&budget, needed).await }
            });
            // The attempt may have been made for another request that needs less.
            if !attempt.await {
                return false;
            }
        }
    }

    async fn try_raise_ceiling(&self, budget: &ManagedBudget, needed: u64) -> bool {
        let _ceiling_guard = budget.ceiling_lock.lock().await;
        let (used, ceiling) = budget.lock().ledger.max_used(&budget.name);
        if ceiling.is_none_or(|ceiling| ceiling >= needed) {
            return true;
        }
        let target = needed.max(used) + Self::ceiling_step(budget);
        let mut attempted = Vec::new();
        loop {
            // A call may show that a witness has lost its recorded ceilings,
            // which changes the required sets.
            let sets = self.required_witness_sets(budget);
            if sets.is_empty() {
                return self.lift_ceiling(budget, needed);
            }
            let unreachable = sets
                .iter()
                .filter(|set| !self.has_reachable_witness(set))
                .count();
            if sets == attempted || unreachable > 0 {
                if attempted.is_empty() {
                    log::debug!(budget = budget.name.as_str(), needed; "no witness is reachable; keeping the current ceiling");
                } else {
                    log::warn!(budget = budget.name.as_str(), needed, ceiling, sets = sets.len(), unreachable; "no witness recorded the ceiling; keeping the current one");
                }
                // The exchange with the record chooses other witnesses.
                budget.refill.notify_one();
                return false;
            }
            let mut recorded = true;
            for witnesses in &sets {
                recorded &= self.record_at_witnesses(budget, witnesses, target).await;
            }
            if recorded {
                budget.lock().ledger.raise_ceiling(&budget.name, target);
                return true;
            }
            attempted = sets;
        }
    }

    /// Returns whether a witness of a set has responded to its last call. The
    /// others are probed at intervals.
    fn has_reachable_witness(&self, witnesses: &[Incarnation]) -> bool {
        let mut instances = witnesses
            .iter()
            .filter_map(|witness| self.peers.by_incarnation(*witness));
        instances.any(|instance| self.peers.is_reachable(&instance))
    }

    /// Returns the witness sets that must each have a router that records a
    /// raised ceiling.
    fn required_witness_sets(&self, budget: &ManagedBudget) -> Vec<Vec<Incarnation>> {
        let staying = self.peers.staying_incarnations();
        lock(&budget.witnesses).required(|witness| staying.contains(&witness))
    }

    /// Raises the ceiling in the background if the use of the grant is close to
    /// it.
    pub(super) fn raise_ceiling_ahead(self: &Arc<Self>, budget: &Arc<ManagedBudget>) {
        let (used, ceiling) = budget.lock().ledger.max_used(&budget.name);
        let Some(ceiling) = ceiling else {
            return;
        };
        let needed = used + Self::ceiling_step(budget) / 2;
        if needed <= ceiling || budget.ceiling_raise.is_running() {
            return;
        }
        // The attempt is a task of its own.
        drop(budget.ceiling_raise.join(|| {
            let (manager, budget) = (self.clone(), budget.clone());
            async move { manager.try_raise_ceiling(&budget, needed).await }
        }));
    }

    /// Sends a ceiling to all `witnesses`. Returns `true` as soon as one of them
    /// has recorded the ceiling, and `false` if none does.
    async fn record_at_witnesses(
        &self,
        budget: &ManagedBudget,
        witnesses: &[Incarnation],
        ceiling: u64,
    ) -> bool {
        let mut calls = JoinSet::new();
        for witness in witnesses {
            let Some(instance) = self.peers.by_incarnation(*witness) else {
                continue;
            };
            let request = PeerRequest::RaiseCeiling {
                witness: *witness,
                holder: self.peers.local().incarnation,
                budget: budget.name.clone(),
                ceiling,
            };
            let peers = self.peers.clone();
            calls.spawn(async move {
                let timeout = Duration::from_millis(CALL_SLACK_MS);
                let ack: rpc::Result<CeilingAck> = peers.call(&instance, &request, timeout).await;
                if ack == Ok(CeilingAck::WitnessGone) {
                    peers.set_leaving(instance.incarnation);
                }
                ack == Ok(CeilingAck::Recorded)
            });
        }
        while let Some(recorded) = calls.join_next().await {
            if matches!(recorded, Ok(true)) {
                calls.detach_all();
                return true;
            }
        }
        false
    }

    /// Records a ceiling for another router.
    pub(crate) fn record_ceiling(
        &self,
        witness: Incarnation,
        holder: Incarnation,
        budget: BudgetName,
        ceiling: u64,
    ) -> CeilingAck {
        if witness != self.peers.local().incarnation || self.is_leaving() {
            CeilingAck::WitnessGone
        } else if lock(&self.ceilings).raise(holder, budget, ceiling) {
            CeilingAck::Recorded
        } else {
            CeilingAck::Sealed
        }
    }

    /// Seals the ceiling of a dead router and returns it. Returns `None` if
    /// this router is shutting down or `witness` is another incarnation.
    pub(crate) fn seal_ceiling(
        &self,
        witness: Incarnation,
        holder: Incarnation,
        budget: &BudgetName,
    ) -> Option<u64> {
        // Other routers stop recording ceilings at a router that shuts down, so
        // the ceilings recorded here may be too low and must not be reported.
        let may_report = witness == self.peers.local().incarnation && !self.is_leaving();
        may_report.then(|| lock(&self.ceilings).seal(holder, budget))
    }

    /// Reclaims the parts of dead routers' grants that the routers certainly did
    /// not use. Only the owner of the budget does this.
    pub(super) async fn reclaim_dead_grants(
        &self,
        budget: &ManagedBudget,
        cached: &mut CachedRecord,
        attempted: &mut ReclaimAttempts,
    ) {
        if !self.is_owner(&budget.organisation) {
            return;
        }
        if cached.is_none() && attempted.any_is_due(self.clock.now_ms()) {
            // An attempt failed, and there may be nothing to report that would
            // read the record again.
            match self.open_record(budget).await {
                Ok(record) => *cached = Some(record),
                Err(err) => {
                    log::warn!(budget = budget.name.as_str(), reason = err.to_string().as_str(); "can't read the record to reclaim unused tokens; retrying later");
                }
            }
        }
        let Some((_, record)) = cached.as_ref() else {
            return;
        };
        let running = self.peers.incarnations();
        let local = self.peers.local().incarnation;
        let mut dead = record.holders(&budget.name);
        dead.retain(|holder| holder.incarnation != local && !running.contains(&holder.incarnation));
        let now_ms = self.clock.now_ms();
        attempted.retain(&dead);
        for holder in dead {
            if !attempted.is_due(holder.incarnation, now_ms) {
                continue;
            }
            let Some(ceiling) = self.sealed_ceiling(budget, &holder).await else {
                continue;
            };
            if !self.reclaim(budget, cached, &holder, ceiling).await {
                return;
            }
            attempted.set_done(holder.incarnation);
        }
    }

    /// Frees the part of a dead router's grant above `ceiling` in the record.
    /// Returns whether the record holds the result.
    async fn reclaim(
        &self,
        budget: &ManagedBudget,
        cached: &mut CachedRecord,
        holder: &GrantHolder,
        ceiling: u64,
    ) -> bool {
        let Some((revision, record)) = cached.as_ref() else {
            return false;
        };
        let (revision, mut next) = (*revision, record.clone());
        let reclaimed = next.reclaim_unused(holder.incarnation, &budget.name, ceiling);
        if reclaimed == 0 {
            return true;
        }
        self.metrics.store_call("swap");
        let key = self.record_key(&budget.organisation, revision.epoch);
        match self
            .store
            .compare_and_swap(&key, revision, &next.encode())
            .await
        {
            Ok(CasOutcome::Done(revision)) => {
                let dead = holder.incarnation.to_string();
                log::info!(budget = budget.name.as_str(), dead = dead.as_str(), tokens = reclaimed, ceiling; "reclaimed unused tokens of a dead router");
                *cached = Some((revision, next));
                budget.refill.notify_one();
                true
            }
            Ok(CasOutcome::Conflict(_)) => {
                *cached = None;
                false
            }
            Err(err) => {
                *cached = None;
                log::warn!(budget = budget.name.as_str(), reason = err.to_string().as_str(); "unused tokens of a dead router could not be reclaimed; retrying later");
                false
            }
        }
    }

    /// Returns an upper bound on the tokens that a holder used, if the holder is
    /// certainly dead and every witness reports its sealed ceiling.
    async fn sealed_ceiling(&self, budget: &ManagedBudget, holder: &GrantHolder) -> Option<u64> {
        if holder.witnesses.is_empty() {
            return None;
        }
        // A holder writes its registry entry before it first writes a record,
        // and only a later process on its VM replaces the entry. The entry is
        // read after the record, so another incarnation in the entry proves
        // that the holder has ended.
        let vm = self.peers.vm_at(&holder.address)?;
        let entry = registry::read(self.store.as_ref(), &vm).await?;
        if entry.incarnation == holder.incarnation {
            return None;
        }
        let mut highest = 0;
        for witness in &holder.witnesses {
            let sealed = self.fetch_sealed_ceiling(*witness, budget, holder).await?;
            highest = highest.max(sealed);
        }
        Some(highest)
    }

    async fn fetch_sealed_ceiling(
        &self,
        witness: Incarnation,
        budget: &ManagedBudget,
        holder: &GrantHolder,
    ) -> Option<u64> {
        if witness == self.peers.local().incarnation {
            return self.seal_ceiling(witness, holder.incarnation, &budget.name);
        }
        let instance = self.peers.by_incarnation(witness)?;
        let request = PeerRequest::SealCeiling {
            witness,
            holder: holder.incarnation,
            budget: budget.name.clone(),
        };
        let timeout = Duration::from_millis(CALL_SLACK_MS);
        let sealed: rpc::Result<Option<u64>> = self.peers.call(&instance, &request, timeout).await;
        sealed.ok().flatten()
    }

    /// Starts the exchanges with the records, because the store now has this
    /// router's registry entry. A record must not name a router without an entry,
    /// because the entry later proves whether the router has ended.
    pub(crate) fn set_registered(&self) {
        self.registered.set();
    }

    /// Waits until the store has this router's entry.
    pub(crate) async fn wait_registered(&self) {
        self.registered.wait().await;
    }
}
