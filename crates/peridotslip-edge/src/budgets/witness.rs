//! Ceilings on what routers use of their grants, noted by other routers, so
//! that the rest of a dead router's grant can be freed.

use std::{sync::Arc, time::Duration};

use peridotslip::{
    ids::{BudgetName, Incarnation},
    ledger::GrantHolder,
};
use tokio::task::JoinSet;

use super::{ASK_SLACK_MS, Account, BudgetManager, CeilingAck, PeerRequest, exchange::Known, lock};
use crate::{ports::CasOutcome, registry, rpc};

/// Witnesses of one budget. One suffices to go on; all are needed to free
/// what a dead router held.
const WITNESSES: usize = 3;
/// How much spending a ceiling is raised ahead for, in milliseconds.
const AHEAD_MS: u64 = 600;
/// A ceiling is raised by at least this part of what was paid.
const MIN_STEP_DIVISOR: u64 = 500;

impl BudgetManager {
    /// Chooses routers that note ceilings, if there are none or one of them
    /// can't be counted on any more, and names them with the next report.
    ///
    /// Until the record names them, those that it names now must note every
    /// ceiling as well.
    pub(super) async fn choose_witnesses(&self, account: &Account) {
        let ranked = self.peers.ranked(account.organisation.as_str(), false);
        let sound = |witness: &Incarnation| {
            ranked
                .iter()
                .any(|instance| instance.incarnation == *witness)
        };
        if lock(&account.witnesses)
            .newest()
            .is_some_and(|newest| newest.iter().all(sound))
        {
            return;
        }
        let chosen: Vec<Incarnation> = ranked
            .iter()
            .take(WITNESSES)
            .map(|instance| instance.incarnation)
            .collect();
        if chosen.is_empty() {
            return;
        }
        let _raising = account.raising.lock().await;
        let (used, held) = account.lock().ledger.max_used(&account.budget);
        let ceiling = held.unwrap_or(0).max(used + Self::step(account));
        if !self.note(account, &chosen, ceiling).await {
            return;
        }
        let mut state = account.lock();
        let (used, held) = state.ledger.max_used(&account.budget);
        if used > ceiling {
            return;
        }
        // A ceiling that holds already may be lower than the one just noted.
        let ceiling = held.unwrap_or(ceiling);
        state.ledger.set_ceiling(&account.budget, Some(ceiling));
        state.ledger.set_witnesses(chosen.clone());
        drop(state);
        lock(&account.witnesses).push(chosen);
    }

    fn step(account: &Account) -> u64 {
        let state = account.lock();
        let ahead = state.ledger.rate(&account.budget) * AHEAD_MS / 1_000;
        let paid = state.reply.as_ref().map_or(0, |reply| reply.paid);
        ahead.max(paid / MIN_STEP_DIVISOR)
    }

    /// Raises the ceiling to at least `needed`. Returns whether that much may
    /// be used now.
    pub(super) async fn raise(&self, account: &Account, needed: u64) -> bool {
        let _raising = account.raising.lock().await;
        let (used, ceiling) = account.lock().ledger.max_used(&account.budget);
        if ceiling.is_none_or(|ceiling| ceiling >= needed) {
            return true;
        }
        let target = needed.max(used) + Self::step(account);
        let mut asked = Vec::new();
        loop {
            // Witnesses turn out to have forgotten when they are asked.
            let sets = self.required(account);
            if sets.is_empty() {
                account.lock().ledger.set_ceiling(&account.budget, None);
                return true;
            }
            if sets == asked {
                log::warn!(budget = account.budget.as_str(), needed; "no witness notes the ceiling");
                return false;
            }
            let mut noted = true;
            for witnesses in &sets {
                noted &= self.note(account, witnesses, target).await;
            }
            if noted {
                account.lock().ledger.raise_ceiling(&account.budget, target);
                return true;
            }
            asked = sets;
        }
    }

    fn required(&self, account: &Account) -> Vec<Vec<Incarnation>> {
        let staying = self.peers.staying_incarnations();
        lock(&account.witnesses).required(|witness| staying.contains(&witness))
    }

    /// Raises the ceiling in the background if it is nearly reached.
    pub(super) fn raise_ahead(self: &Arc<Self>, account: &Arc<Account>) {
        let (used, ceiling) = account.lock().ledger.max_used(&account.budget);
        let Some(ceiling) = ceiling else {
            return;
        };
        let needed = used + Self::step(account) / 2;
        if needed <= ceiling || account.raising.try_lock().is_err() {
            return;
        }
        let (budgets, account) = (self.clone(), account.clone());
        tokio::spawn(async move { budgets.raise(&account, needed).await });
    }

    /// Asks `witnesses` to note a ceiling; waits for the first that does.
    async fn note(&self, account: &Account, witnesses: &[Incarnation], ceiling: u64) -> bool {
        let mut calls = JoinSet::new();
        for witness in witnesses {
            let Some(instance) = self.peers.by_incarnation(*witness) else {
                continue;
            };
            let request = PeerRequest::RaiseCeiling {
                witness: *witness,
                holder: self.peers.local().incarnation,
                budget: account.budget.clone(),
                ceiling,
            };
            let peers = self.peers.clone();
            calls.spawn(async move {
                let timeout = Duration::from_millis(ASK_SLACK_MS);
                let ack: rpc::Result<CeilingAck> = peers.call(&instance, &request, timeout).await;
                if ack == Ok(CeilingAck::WitnessGone) {
                    peers.set_leaving(instance.incarnation);
                }
                ack == Ok(CeilingAck::Recorded)
            });
        }
        while let Some(noted) = calls.join_next().await {
            if matches!(noted, Ok(true)) {
                calls.detach_all();
                return true;
            }
        }
        false
    }

    /// Notes a ceiling for another router.
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

    /// Tells what was noted for a dead router, and notes no more for it.
    pub(crate) fn seal_ceiling(
        &self,
        witness: Incarnation,
        holder: Incarnation,
        budget: &BudgetName,
    ) -> Option<u64> {
        // Other routers count on it that one which leaves tells nothing.
        let tells = witness == self.peers.local().incarnation && !self.is_leaving();
        tells.then(|| lock(&self.ceilings).seal(holder, budget))
    }

    /// Frees what routers that have died held of a budget, as far as their
    /// witnesses bound it. Only the home does this.
    pub(super) async fn release_dead(&self, account: &Account, known: &mut Known) {
        if !self.is_owner(&account.organisation) {
            return;
        }
        let Some((revision, record)) = known.as_ref() else {
            return;
        };
        let running = self.peers.incarnations();
        let local = self.peers.local().incarnation;
        let silent = record
            .holders(&account.budget)
            .into_iter()
            .find(|holder| holder.incarnation != local && !running.contains(&holder.incarnation));
        let Some(holder) = silent else {
            return;
        };
        let Some(ceiling) = self.ceiling(account, &holder).await else {
            return;
        };
        let (revision, mut next) = (*revision, record.clone());
        let freed = next.reclaim_unused(holder.incarnation, &account.budget, ceiling);
        if freed == 0 {
            return;
        }
        self.metrics.store_call("swap");
        match self
            .store
            .compare_and_swap(&account.key, revision, &next.encode())
            .await
        {
            Ok(CasOutcome::Done(revision)) => {
                let dead = holder.incarnation.to_string();
                log::info!(budget = account.budget.as_str(), dead = dead.as_str(), tokens = freed, ceiling; "tokens of a dead router are free again");
                *known = Some((revision, next));
                account.refill.notify_one();
            }
            Ok(CasOutcome::Conflict(_)) => *known = None,
            Err(err) => {
                *known = None;
                log::warn!(budget = account.budget.as_str(), reason = err.to_string().as_str(); "tokens of a dead router could not be freed yet");
            }
        }
    }

    /// The most that a holder used, if it is certainly dead and every witness
    /// tells.
    async fn ceiling(&self, account: &Account, holder: &GrantHolder) -> Option<u64> {
        if holder.witnesses.is_empty() {
            return None;
        }
        // A holder writes its entry before it first writes a record, and only
        // a later process on its VM replaces the entry. The entry is read
        // after the record, so another run there proves the holder dead.
        let vm = self.peers.vm_at(&holder.address)?;
        let entry = registry::read(self.store.as_ref(), &vm).await?;
        if entry.incarnation == holder.incarnation {
            return None;
        }
        let mut highest = 0;
        for witness in &holder.witnesses {
            let told = self.fetch_sealed_ceiling(*witness, account, holder).await?;
            highest = highest.max(told);
        }
        Some(highest)
    }

    async fn fetch_sealed_ceiling(
        &self,
        witness: Incarnation,
        account: &Account,
        holder: &GrantHolder,
    ) -> Option<u64> {
        if witness == self.peers.local().incarnation {
            return self.seal_ceiling(witness, holder.incarnation, &account.budget);
        }
        let instance = self.peers.by_incarnation(witness)?;
        let request = PeerRequest::SealCeiling {
            witness,
            holder: holder.incarnation,
            budget: account.budget.clone(),
        };
        let timeout = Duration::from_millis(ASK_SLACK_MS);
        let told: rpc::Result<Option<u64>> = self.peers.call(&instance, &request, timeout).await;
        told.ok().flatten()
    }

    /// The store has this router's entry, so that records may name it.
    pub(crate) fn set_registered(&self) {
        self.registered.set();
    }
}
