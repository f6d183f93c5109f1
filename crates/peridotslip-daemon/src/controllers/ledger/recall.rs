//! Having other routers give idle grants back.

use std::time::Duration;

use async_trait::async_trait;
use peridotslip::prelude::*;

use super::GrantRecall;
use crate::{
    controllers::members::MembersHandle,
    peer::{PeerClient, PeerRequest},
};

/// Longest wait for the others, in milliseconds.
const RECALL_TIMEOUT_MS: u64 = 500;

/// Asks peers.
pub(crate) struct PeerRecall {
    pub(crate) members: MembersHandle,
    pub(crate) client: PeerClient,
}

#[async_trait]
impl GrantRecall for PeerRecall {
    async fn recall(&self, shard: u16, budget: BudgetName, holders: Vec<Incarnation>) {
        let mut addresses = self.members.addresses_of(&holders);
        if addresses.is_empty() {
            let view = self.members.view();
            addresses = view.live_peers().map(|node| node.address.clone()).collect();
        }
        let request = PeerRequest::Recall { shard, budget };
        let timeout = Duration::from_millis(RECALL_TIMEOUT_MS);
        let asked = addresses
            .iter()
            .map(|address| self.client.call(address, &request, timeout));
        futures::future::join_all(asked).await;
    }
}
