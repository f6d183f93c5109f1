//! Reserves the most tokens that a request may use.

use std::time::Instant;

use async_trait::async_trait;

use super::Filter;
use crate::{
    budgets::{LEAST_URGENT, ReservationRequest, ReserveError},
    context::{Rejection, RequestContext, Result},
    reason::RejectionReason,
};

/// When a caller may retry if tokens are temporarily unavailable, in
/// milliseconds. Outages of the store last some seconds.
const TOKENS_RETRY_MS: u64 = 2_000;

pub(super) struct ReserveTokens;

#[async_trait]
impl Filter for ReserveTokens {
    async fn apply(&self, cx: &mut RequestContext) -> Result<()> {
        // Only model requests have a maximum of output tokens.
        let Some(output) = cx.metadata.max_output_tokens else {
            return Ok(());
        };
        // Without an organisation or a prepaid total, spending is not limited.
        let Some((organisation, paid)) = cx
            .organisation
            .as_ref()
            .and_then(|organisation| Some((organisation.name.clone(), organisation.prepaid?)))
        else {
            return Ok(());
        };
        let tokens = cx.metadata.prompt.prompt_tokens.saturating_add(output);
        let priority = cx
            .route
            .as_ref()
            .map_or(LEAST_URGENT, |route| route.priority);
        let request = ReservationRequest {
            paid,
            tokens,
            priority,
        };
        let started = Instant::now();
        let budgets = &cx.shared.budgets;
        match budgets.reserve(cx.id(), &organisation, request).await {
            Ok(reservation) => {
                cx.shared.metrics.record_reserve_wait(started.elapsed());
                cx.reservation = Some(reservation);
                Ok(())
            }
            Err(ReserveError::Exhausted) => Err(Rejection::new(RejectionReason::BudgetExhausted)),
            Err(ReserveError::Short | ReserveError::CutOff) => Err(Rejection::after(
                RejectionReason::TokensShort,
                TOKENS_RETRY_MS,
            )),
        }
    }
}
