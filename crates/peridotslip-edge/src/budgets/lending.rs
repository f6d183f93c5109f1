//! Transferring tokens between routers while the store is unreachable or a
//! router shuts down.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use peridotslip::{
    ids::{Incarnation, OrganisationName},
    ledger::GrantTransfer,
};

use super::{BudgetManager, CALL_SLACK_MS, LEAST_URGENT, ManagedBudget, PeerRequest, lock};
use crate::peers::RouterInstance;

/// The shortest time between two rounds of transfer requests for one
/// organisation, in milliseconds.
const MIN_TRANSFER_INTERVAL_MS: u64 = 300;
/// In addition to the needed tokens, a round requests the paid amount divided
/// by this number.
const EXTRA_TRANSFER_DIVISOR: u64 = 20;
/// The pause after the first failed delivery of transfers, in milliseconds. Each further
/// failure doubles it.
const FIRST_DELIVERY_PAUSE_MS: u64 = 100;
/// The longest pause between two deliveries of transfers, in milliseconds.
const MAX_DELIVERY_PAUSE_MS: u64 = 1_000;
/// Longest wait of a stopping router for the delivery to one router, in milliseconds.
const DELIVERY_WAIT_MS: u64 = 1_200;
/// The largest number of routers that one round requests transfers from.
const MAX_ISSUERS: usize = 8;

impl BudgetManager {
    /// Requests transfers from other routers while the store can't grant
    /// tokens, unless this router has just done so. All requests that lack tokens
    /// meanwhile wait for the same round.
    pub(super) async fn request_transfers(
        self: &Arc<Self>,
        budget: &Arc<ManagedBudget>,
        paid: u64,
        tokens: u64,
    ) {
        let min_interval = Duration::from_millis(MIN_TRANSFER_INTERVAL_MS);
        let last_round = *lock(&budget.last_transfer_round);
        let is_recent = last_round.is_some_and(|at| at.elapsed() < min_interval);
        if is_recent && !budget.transfer_round.is_running() {
            return;
        }
        let round = budget.transfer_round.join(|| {
            let (manager, budget) = (self.clone(), budget.clone());
            async move {
                let enough = manager.run_transfer_round(&budget, paid, tokens).await;
                *lock(&budget.last_transfer_round) = Some(Instant::now());
                enough
            }
        });
        round.await;
    }

    /// Requests transfers from one router after another until `tokens` are
    /// spendable. Returns whether they are.
    async fn run_transfer_round(&self, budget: &ManagedBudget, paid: u64, tokens: u64) -> bool {
        let enough = || budget.lock().ledger.spendable(&budget.name) >= tokens;
        if enough() {
            return true;
        }
        let organisation = budget.organisation.clone();
        let tokens = tokens + paid / EXTRA_TRANSFER_DIVISOR;
        let request = PeerRequest::RequestTransferFor {
            requester: self.peers.local().incarnation,
            organisation: organisation.clone(),
            tokens,
        };
        let earlier_request = PeerRequest::RequestTransfer {
            organisation,
            tokens,
        };
        let issuers = self.peers.owners(budget.organisation.as_str(), false);
        for issuer in issuers.into_iter().take(MAX_ISSUERS) {
            let timeout = Duration::from_millis(CALL_SLACK_MS);
            let request = if issuer.reads_open_reservations() {
                &request
            } else {
                &earlier_request
            };
            let reply: crate::rpc::Result<Option<GrantTransfer>> =
                self.peers.call(&issuer, request, timeout).await;
            if let Ok(Some(transfer)) = reply {
                log::info!(budget = budget.name.as_str(), lender = issuer.vm.as_str(), tokens = transfer.tokens; "received a transfer while the store is unreachable");
                budget.lock().ledger.transfer_in(transfer);
            }
            if enough() {
                return true;
            }
        }
        false
    }

    /// Like [`issue_transfer_for`](Self::issue_transfer_for), and delivers the transfer
    /// until `requester` acknowledges it, because the reply may be lost.
    pub(crate) async fn issue_transfer_to(
        self: &Arc<Self>,
        requester: Incarnation,
        organisation: &OrganisationName,
        tokens: u64,
    ) -> Option<GrantTransfer> {
        let transfer = self.issue_transfer_for(organisation, tokens).await?;
        if let Some(receiver) = self.peers.by_incarnation(requester) {
            let transfers = vec![(organisation.clone(), transfer.clone())];
            tokio::spawn(self.clone().deliver_transfers(receiver, transfers));
        }
        Some(transfer)
    }

    /// Sends transfers until the receiver acknowledges them or has ended. The receiver
    /// accepts each transfer once.
    async fn deliver_transfers(
        self: Arc<Self>,
        receiver: RouterInstance,
        transfers: Vec<(OrganisationName, GrantTransfer)>,
    ) {
        let tokens: u64 = transfers.iter().map(|(_, transfer)| transfer.tokens).sum();
        let request = PeerRequest::DeliverTransfers {
            incarnation: receiver.incarnation,
            transfers,
        };
        let timeout = Duration::from_millis(2 * CALL_SLACK_MS);
        let home = receiver.vm.as_str();
        let mut pause_ms = FIRST_DELIVERY_PAUSE_MS;
        while !self.peers.has_ended(&receiver) {
            let reply = self
                .peers
                .call::<_, bool>(&receiver, &request, timeout)
                .await;
            if reply.is_ok() {
                return;
            }
            log::info!(home, tokens; "router did not acknowledge transfers; sending them again");
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            pause_ms = (pause_ms * 2).min(MAX_DELIVERY_PAUSE_MS);
        }
        log::warn!(home, tokens; "router has ended before it acknowledged transfers; counting the tokens as spent");
    }

    /// Issues a transfer to another router that has requested `tokens`. If this
    /// router is the owner, the transfer has up to `tokens` and at most half of
    /// the spendable tokens. Otherwise it has all spendable tokens, because
    /// requests don't reserve them here.
    pub(crate) async fn issue_transfer_for(
        self: &Arc<Self>,
        organisation: &OrganisationName,
        tokens: u64,
    ) -> Option<GrantTransfer> {
        let budget = lock(&self.budgets).get(organisation).cloned()?;
        let spendable = budget.lock().ledger.spendable(&budget.name);
        let tokens = if self.is_owner(organisation) {
            let now_ms = self.clock.now_ms();
            let state = budget.lock();
            let rest_ms = self.expected_outage_rest_ms(&state, now_ms);
            let held_back = state.scarcity.held_back(LEAST_URGENT, rest_ms, now_ms);
            tokens
                .min(spendable / 2)
                .min(spendable.saturating_sub(held_back))
        } else {
            spendable
        };
        self.issue_transfer(&budget, tokens).await
    }

    /// Issues a transfer of up to `tokens`. Transferred tokens count as used, so
    /// witnesses must first record a ceiling that covers them. If no witness
    /// does, the transfer is limited to the current ceiling.
    async fn issue_transfer(
        self: &Arc<Self>,
        budget: &Arc<ManagedBudget>,
        tokens: u64,
    ) -> Option<GrantTransfer> {
        let (used, _) = budget.lock().ledger.max_used(&budget.name);
        if !self.raise_ceiling(budget, used + tokens).await {
            log::warn!(budget = budget.name.as_str(), tokens; "ceiling could not be raised; limiting the transfer");
        }
        budget.lock().ledger.transfer_out(&budget.name, tokens)
    }

    /// Accepts transfers of another router that are addressed to `incarnation`.
    pub(crate) fn accept_transfers(
        self: &Arc<Self>,
        incarnation: Incarnation,
        transfers: Vec<(OrganisationName, GrantTransfer)>,
    ) {
        if incarnation != self.peers.local().incarnation {
            log::warn!(
                "transfers are addressed to another incarnation of this router; discarding them"
            );
            return;
        }
        for (organisation, transfer) in transfers {
            let budget = self.managed_budget(&organisation);
            let tokens = transfer.tokens;
            if budget.lock().ledger.transfer_in(transfer) {
                log::info!(budget = budget.name.as_str(), tokens; "accepted a transfer from another router");
            }
        }
    }

    /// Transfers all spendable tokens to the owner, where requests are reserved,
    /// unless this router is the owner itself. Called while the store is
    /// unreachable and tokens can't be returned to the record.
    pub(super) async fn transfer_to_owner(self: &Arc<Self>, budget: &Arc<ManagedBudget>) {
        if self.is_leaving() || self.is_owner(&budget.organisation) {
            return;
        }
        let ranked = self.peers.owners(budget.organisation.as_str(), false);
        let Some(owner) = ranked.into_iter().next() else {
            return;
        };
        let spendable = budget.lock().ledger.spendable(&budget.name);
        if spendable == 0 {
            return;
        }
        if let Some(transfer) = self.issue_transfer(budget, spendable).await {
            log::info!(budget = budget.name.as_str(), home = owner.vm.as_str(), tokens = transfer.tokens; "transferring tokens to the owner while the store is unreachable");
            let transfers = vec![(budget.organisation.clone(), transfer)];
            tokio::spawn(self.clone().deliver_transfers(owner, transfers));
        }
    }

    /// Transfers the spendable tokens of all budgets to the next owners.
    pub(super) async fn transfer_all(self: &Arc<Self>) {
        let budgets: Vec<_> = lock(&self.budgets).values().cloned().collect();
        let mut groups: HashMap<String, (RouterInstance, Vec<(OrganisationName, GrantTransfer)>)> =
            HashMap::new();
        for budget in budgets {
            let ranked = self.peers.owners(budget.organisation.as_str(), false);
            let Some(owner) = ranked.into_iter().next() else {
                continue;
            };
            let spendable = budget.lock().ledger.spendable(&budget.name);
            if let Some(transfer) = self.issue_transfer(&budget, spendable).await {
                let group = groups
                    .entry(owner.vm.clone())
                    .or_insert_with(|| (owner, Vec::new()));
                group.1.push((budget.organisation.clone(), transfer));
            }
        }
        for (owner, transfers) in groups.into_values() {
            let tokens: u64 = transfers.iter().map(|(_, transfer)| transfer.tokens).sum();
            log::info!(home = owner.vm.as_str(), tokens; "transferring tokens to the next owner");
            let delivery = tokio::spawn(self.clone().deliver_transfers(owner, transfers));
            // The delivery goes on after that time.
            let timeout = Duration::from_millis(DELIVERY_WAIT_MS);
            let _elapsed = tokio::time::timeout(timeout, delivery).await;
        }
    }

    /// Stops owning budgets, transfers the spendable tokens to the next owners
    /// and announces the shutdown to all peers.
    pub(crate) async fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        self.transfer_all().await;
        let (peers, local) = (self.peers.clone(), self.peers.local().incarnation);
        tokio::spawn(async move { peers.announce_leaving(local).await });
    }
}
