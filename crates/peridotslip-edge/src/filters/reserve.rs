//! Sets aside the most tokens that a request may use.

use std::time::Instant;

use async_trait::async_trait;

use super::Filter;
use crate::{
    budgets::ReserveError,
    context::{Rejection, RequestContext, Result},
    reason::RejectionReason,
};

/// When to come back for tokens, in milliseconds: outages of the store last
/// some seconds.
const TOKENS_RETRY_MS: u64 = 2_000;

pub(super) struct ReserveTokens;

#[async_trait]
impl Filter for ReserveTokens {
    async fn apply(&self, cx: &mut RequestContext) -> Result<()> {
        let Some(output) = cx.metadata.max_output_tokens else {
            return Ok(());
        };
        let Some((organisation, paid)) = cx
            .organisation
            .as_ref()
            .and_then(|organisation| Some((organisation.name.clone(), organisation.prepaid?)))
        else {
            return Ok(());
        };
        let tokens = cx.metadata.prompt.prompt_tokens.saturating_add(output);
        let started = Instant::now();
        let budgets = &cx.shared.budgets;
        match budgets.reserve(cx.id(), &organisation, paid, tokens).await {
            Ok(reservation) => {
                cx.shared.metrics.reserved(started.elapsed());
                cx.reservation = Some(reservation);
                Ok(())
            }
            Err(ReserveError::Exhausted) => Err(Rejection::new(RejectionReason::Exhausted)),
            Err(ReserveError::Short | ReserveError::CutOff) => Err(Rejection::after(
                RejectionReason::TokensShort,
                TOKENS_RETRY_MS,
            )),
        }
    }
}
