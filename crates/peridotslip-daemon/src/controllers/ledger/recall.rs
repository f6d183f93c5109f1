//! Recall of idle grants from other routers.

use std::time::Duration;

use async_trait::async_trait;
use peridotslip::prelude::*;

use super::GrantRecall;
use crate::{
    controllers::members::MembersHandle,
    peer::{PeerClient, PeerRequest},
};

/// Longest wait for a peer's reply to a recall, in milliseconds.
const RECALL_TIMEOUT_MS: u64 = 500;

/// Recalls idle grants by calls to the peers that hold them.
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
        let calls = addresses
            .iter()
            .map(|address| self.client.call(address, &request, timeout));
        futures::future::join_all(calls).await;
    }
}
