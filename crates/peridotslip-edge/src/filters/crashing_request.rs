//! Rejects requests that crash servers.

use async_trait::async_trait;

use super::Filter;
use crate::{
    context::{Rejection, RequestContext, Result},
    crash_watch::BLOCKED_RETRY_MS,
    reason::RejectionReason,
};

pub(super) struct RejectCrashingRequest;

#[async_trait]
impl Filter for RejectCrashingRequest {
    async fn apply(&self, cx: &mut RequestContext) -> Result<()> {
        let shared = &cx.shared;
        let Some(part) = cx.blocked_part() else {
            return Ok(());
        };
        if shared.crashes.begin_probe(part.id, &shared.peers) {
            log::info!(id = cx.id(), part = format!("{:x}", part.id).as_str(), whole = part.is_whole(); "sending a blocked request as a probe");
            cx.is_probe = true;
            return Ok(());
        }
        Err(Rejection::after(
            RejectionReason::blocked(part),
            BLOCKED_RETRY_MS,
        ))
    }
}
