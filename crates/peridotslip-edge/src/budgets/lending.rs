//! Passing tokens between routers while the store is away or a router leaves.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use peridotslip::{
    ids::{Incarnation, OrganisationName},
    ledger::GrantTransfer,
};

use super::{ASK_SLACK_MS, Account, BudgetManager, PeerRequest, lock, send};
use crate::peers::RouterInstance;

/// Shortest time between two rounds of borrowing for one organisation, in
/// milliseconds.
const BORROW_PAUSE_MS: u64 = 300;
/// A round of borrowing asks for this part of what was paid beyond the need.
const BORROW_DIVISOR: u64 = 20;
/// Routers asked in one round of borrowing.
const MAX_ISSUERS: usize = 8;

impl BudgetManager {
    /// Asks other routers for tokens that they hold, while the store can't
    /// grant any. Returns whether there are enough now.
    pub(super) async fn borrow(&self, account: &Account, paid: u64, tokens: u64) -> bool {
        let mut borrowed_at = account.borrowed_at.lock().await;
        let enough = || account.lock().ledger.spendable(&account.budget) >= tokens;
        let pause = Duration::from_millis(BORROW_PAUSE_MS);
        if enough() {
            return true;
        }
        if borrowed_at.is_some_and(|at| at.elapsed() < pause) {
            return false;
        }
        *borrowed_at = Some(Instant::now());
        let request = PeerRequest::RequestTransfer {
            organisation: account.organisation.clone(),
            tokens: tokens + paid / BORROW_DIVISOR,
        };
        let issuers = self.peers.ranked(account.organisation.as_str(), false);
        for issuer in issuers.into_iter().take(MAX_ISSUERS) {
            let timeout = Duration::from_millis(ASK_SLACK_MS);
            let answer: crate::rpc::Result<Option<GrantTransfer>> =
                self.peers.call(&issuer, &request, timeout).await;
            if let Ok(Some(transfer)) = answer {
                log::info!(budget=account.budget.as_str(),lender=issuer.vm.as_str(),tokens=transfer.tokens;"tokens borrowed while the store is away");
                account.lock().ledger.transfer_in(transfer);
            }
            if enough() {
                return true;
            }
        }
        false
    }

    /// Hands tokens over to another router.
    pub(crate) async fn issue_transfer_for(
        &self,
        organisation: &OrganisationName,
        tokens: u64,
    ) -> Option<GrantTransfer> {
        let account = lock(&self.accounts).get(organisation).cloned()?;
        let at_hand = account.lock().ledger.spendable(&account.budget);
        let tokens = if self.is_owner(organisation) {
            tokens.min(at_hand / 2)
        } else {
            at_hand
        };
        self.issue(&account, tokens).await
    }

    /// Makes a transfer. What is lent counts as used, so witnesses note it
    /// first; without them, only what they have noted already is lent.
    async fn issue(&self, account: &Account, tokens: u64) -> Option<GrantTransfer> {
        let (used, _) = account.lock().ledger.max_used(&account.budget);
        if !self.raise(account, used + tokens).await {
            log::warn!(budget = account.budget.as_str(), tokens; "not all can be lent");
        }
        account.lock().ledger.transfer_out(&account.budget, tokens)
    }

    /// Takes over tokens of another router that are meant for `incarnation`.
    pub(crate) fn accept_transfers(
        self: &Arc<Self>,
        incarnation: Incarnation,
        transfers: Vec<(OrganisationName, GrantTransfer)>,
    ) {
        if incarnation != self.peers.local().incarnation {
            log::warn!("tokens meant for an earlier run of this router are lost");
            return;
        }
        for (organisation, transfer) in transfers {
            let account = self.account(&organisation);
            let tokens = transfer.tokens;
            if account.lock().ledger.transfer_in(transfer) {
                log::info!(budget = account.budget.as_str(), tokens; "tokens taken over from a router that leaves");
            }
        }
    }

    /// Hands what is at hand over to the home, where it is asked for, if this
    /// router is not the home and can't give it back to the store.
    pub(super) async fn pass_to_owner(&self, account: &Account) {
        if self.is_leaving() || self.is_owner(&account.organisation) {
            return;
        }
        let ranked = self.peers.ranked(account.organisation.as_str(), false);
        let Some(owner) = ranked.into_iter().next() else {
            return;
        };
        let at_hand = account.lock().ledger.spendable(&account.budget);
        if at_hand == 0 {
            return;
        }
        if let Some(transfer) = self.issue(account, at_hand).await {
            log::info!(budget=account.budget.as_str(),home=owner.vm.as_str(),tokens=transfer.tokens;"passing tokens to the home while the store is away");
            let request = PeerRequest::DeliverTransfers {
                incarnation: owner.incarnation,
                transfers: vec![(account.organisation.clone(), transfer)],
            };
            send(&self.peers, &owner, &request).await;
        }
    }

    /// Hands everything that can be spent over to the next homes.
    pub(super) async fn hand_over(self: &Arc<Self>) {
        let accounts: Vec<_> = lock(&self.accounts).values().cloned().collect();
        let mut groups: HashMap<String, (RouterInstance, Vec<(OrganisationName, GrantTransfer)>)> =
            HashMap::new();
        for account in accounts {
            let ranked = self.peers.ranked(account.organisation.as_str(), false);
            let Some(owner) = ranked.into_iter().next() else {
                continue;
            };
            let at_hand = account.lock().ledger.spendable(&account.budget);
            if let Some(transfer) = self.issue(&account, at_hand).await {
                let group = groups
                    .entry(owner.vm.clone())
                    .or_insert_with(|| (owner, Vec::new()));
                group.1.push((account.organisation.clone(), transfer));
            }
        }
        for (owner, transfers) in groups.into_values() {
            let tokens: u64 = transfers.iter().map(|(_, transfer)| transfer.tokens).sum();
            log::info!(home=owner.vm.as_str(),tokens;"handing tokens over");
            let request = PeerRequest::DeliverTransfers {
                incarnation: owner.incarnation,
                transfers,
            };
            send(&self.peers, &owner, &request).await;
        }
    }

    /// Stops being home to any budget, and hands over what can be spent.
    pub(crate) async fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        self.hand_over().await;
        let request = PeerRequest::Leaving {
            incarnation: self.peers.local().incarnation,
        };
        for peer in self.peers.ranked("", false) {
            let (peers, request) = (self.peers.clone(), request.clone());
            tokio::spawn(async move {
                let timeout = Duration::from_millis(ASK_SLACK_MS);
                let told: crate::rpc::Result<bool> = peers.call(&peer, &request, timeout).await;
                if let Err(err) = told {
                    log::debug!("a router did not hear that this one leaves: {err}");
                }
            });
        }
    }
}
