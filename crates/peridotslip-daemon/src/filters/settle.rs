//! Bills the request, and withholds the end of its response until the bill is
//! durable or replicated.

use std::time::{Duration, Instant};

use async_trait::async_trait;
use peridotslip::prelude::*;

use super::{Filter, Next};
use crate::{
    context::{DeferredOutput, RequestContext},
    controllers::ledger::PendingSettlement,
    problem::{Rejection, Result},
};

/// Wait until a bill is durable or replicated, in milliseconds, if the request's
/// deadline is not later. After that the request is rejected with execution
/// status "ran": a response whose bill could be lost is never released.
const SETTLE_WAIT_MS: u64 = 10_000;
/// `Retry-After` of the rejection after [`SETTLE_WAIT_MS`], in seconds.
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
            key: cx.idempotency_key,
            tokens: usage.tokens,
            outcome: usage.outcome,
        };
        let pending = cx.shared.controllers.ledger.settle(reservation, bill).await;
        cx.shared
            .metrics
            .billed(&cx.resolved_route().pool, usage.tokens);
        if result.is_ok() && !cx.abandoned {
            wait_until_durable_or_replicated(cx, pending).await?;
        }
        if let Some(DeferredOutput { head, chunk }) = cx.deferred_output.take() {
            if let Some(head) = head {
                cx.response.set_head(Ok(head));
            }
            cx.response.push(chunk).await;
        }
        result
    }
}

async fn wait_until_durable_or_replicated(
    cx: &RequestContext,
    pending: PendingSettlement,
) -> Result<()> {
    let metrics = &cx.shared.metrics;
    let started = Instant::now();
    let limit = cx
        .deadline()
        .max(started + Duration::from_millis(SETTLE_WAIT_MS));
    if tokio::time::timeout_at(limit.into(), pending.durable_or_replicated())
        .await
        .is_err()
    {
        metrics.event("answer-kept-back", 1);
        log::warn!(
            request = cx.id.as_str();
            "bill is neither durable nor replicated in time; rejecting the request and withholding its response"
        );
        return Err(Rejection {
            refusal: Refusal::LedgerUnavailable,
            execution: ExecutionStatus::Ran,
            retry_after_s: Some(RETRY_AFTER_S),
        });
    }
    metrics.settle_wait(started.elapsed());
    Ok(())
}
