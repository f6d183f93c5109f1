//! Rejects requests that a stopping router can't finish.

use std::time::{Duration, Instant};

use async_trait::async_trait;

use super::Filter;
use crate::{
    context::{Rejection, RequestContext, Result},
    reason::RejectionReason,
};

pub(super) struct RejectUnfinishable;

#[async_trait]
impl Filter for RejectUnfinishable {
    async fn apply(&self, cx: &mut RequestContext) -> Result<()> {
        let Some(answer_by) = cx.shared.answer_by() else {
            return Ok(());
        };
        let left = answer_by.saturating_duration_since(Instant::now());
        let needed_ms = cx
            .route
            .as_ref()
            .map_or(0, |route| route.first_byte_target_ms);
        if left > Duration::from_millis(needed_ms) {
            return Ok(());
        }
        let after_ms = cx.shared.settings().timing.retry_after_ms;
        Err(Rejection::after(RejectionReason::Stopping, after_ms))
    }
}
