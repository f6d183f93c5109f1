//! Rejects requests whose prompts crash servers.

use async_trait::async_trait;
use peridotslip::forwarding::PromptVerdict;

use super::Filter;
use crate::{
    context::{Rejection, RequestContext, Result},
    crash_watch::BLOCKED_RETRY_MS,
    reason::RejectionReason,
};

pub(super) struct RejectCrashingPrompt;

#[async_trait]
impl Filter for RejectCrashingPrompt {
    async fn apply(&self, cx: &mut RequestContext) -> Result<()> {
        let shared = &cx.shared;
        let PromptVerdict::Blocked(segment) = shared.crashes.verdict(&cx.metadata.prompt) else {
            return Ok(());
        };
        if shared.crashes.begin_probe(segment, &shared.peers) {
            log::info!(id = cx.id(), segment = format!("{segment:x}").as_str(); "sending a request with a blocked prompt segment as a probe");
            cx.is_probe = true;
            return Ok(());
        }
        Err(Rejection::after(
            RejectionReason::PromptBlocked,
            BLOCKED_RETRY_MS,
        ))
    }
}
