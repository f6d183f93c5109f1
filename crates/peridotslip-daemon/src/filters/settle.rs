//! Bills the request, and holds the end of its answer back until the bill
//! can't be lost.

use std::time::{Duration, Instant};

use async_trait::async_trait;
use peridotslip::prelude::*;

use super::{Filter, Next};
use crate::{
    context::{HeldBack, RequestContext},
    controllers::ledger::PendingSettlement,
    problem::{Rejection, Result},
};

/// Longest wait for a bill to be safe, in milliseconds. After it the caller is
/// told that the work ran and that the answer can't be given yet: an answer
/// whose bill could be lost is never released.
const MAX_WAIT_MS: u64 = 10_000;
/// When to come back for the answer, in seconds.
const RETRY_AFTER_S: u64 = 2;

pub(super) struct Settle;

#[async_trait]
impl Filter for Settle {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        let result = next.call(cx).await;
        let (Some(usage), Some(reservation)) = (cx.usage, cx.reservation.take()) else {
            return result;
        };
        let bill = Bill {
            key: cx.key,
            tokens: usage.tokens,
            outcome: usage.outcome,
        };
        let pending = cx.shared.controllers.ledger.settle(reservation, bill).await;
        cx.shared
            .metrics
            .billed(&cx.resolved_route().pool, usage.tokens);
        if result.is_ok() && !cx.abandoned {
            wait_until_safe(cx, pending).await?;
        }
        if let Some(HeldBack { head, part }) = cx.held_back.take() {
            if let Some(head) = head {
                cx.answer.set_head(Ok(head));
            }
            cx.answer.push(part).await;
        }
        result
    }
}

async fn wait_until_safe(cx: &RequestContext, pending: PendingSettlement) -> Result<()> {
    let metrics = &cx.shared.metrics;
    let since = Instant::now();
    let limit = Duration::from_millis(MAX_WAIT_MS);
    if tokio::time::timeout(limit, pending.durable_or_replicated())
        .await
        .is_err()
    {
        metrics.event("answer-kept-back", 1);
        log::warn!(request = cx.id.as_str(); "answer kept back: its bill is not safe");
        return Err(Rejection {
            refusal: Refusal::LedgerUnavailable,
            execution: ExecutionStatus::Ran,
            retry_after_s: Some(RETRY_AFTER_S),
        });
    }
    metrics.settle_wait(since.elapsed());
    Ok(())
}
