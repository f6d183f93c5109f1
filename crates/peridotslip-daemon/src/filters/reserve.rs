//! Claims the idempotency key of a non-idempotent request, and reserves
//! tokens.
//!
//! The claim comes first: only the holder of a claim knows that no other
//! router has run the key, so only the holder can report "not run" when tokens
//! are insufficient.

use async_trait::async_trait;

use super::{Filter, Next};
use crate::{context::RequestContext, problem::Result};

pub(super) struct Reserve;

#[async_trait]
impl Filter for Reserve {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        let resolved_route = cx.resolved_route().clone();
        let Some(key) = cx
            .idempotency_key
            .filter(|_| !resolved_route.route.idempotent)
        else {
            return reserve(cx, next).await;
        };
        let ledger = cx.shared.controllers.ledger.clone();
        let organisation = &resolved_route.route.organisation;
        let claimed = ledger.claim(organisation, key, cx.fingerprint).await;
        cx.holds_claim = claimed.is_ok();
        let result = match claimed {
            Ok(()) => reserve(cx, next).await,
            Err(rejection) => Err(rejection),
        };
        // Without a bill the request has not run, so its claim is released,
        // also if `claim` failed: the claim may be recorded although its reply
        // was lost. A claim of another holder stays.
        if cx.usage.is_none() {
            ledger
                .release_claim(organisation, &resolved_route.budget.name, key)
                .await;
        }
        result
    }
}

async fn reserve(cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
    let ledger = cx.shared.controllers.ledger.clone();
    let resolved_route = cx.resolved_route().clone();
    let organisation = &resolved_route.route.organisation;
    let reservation = ledger
        .reserve(organisation, &resolved_route.budget, cx.max_cost_tokens)
        .await?;
    cx.reservation = Some(reservation);
    let result = next.call(cx).await;
    // Releases the reserved tokens if the request was not billed.
    cx.reservation = None;
    result
}
