//! Claims the request's key where the work may not be repeated, and sets
//! tokens aside.
//!
//! The claim comes first: only the holder of a claim knows that nobody else
//! has run the key, so only it can say "not run" when tokens are lacking.

use async_trait::async_trait;

use super::{Filter, Next};
use crate::{context::RequestContext, problem::Result};

pub(super) struct Reserve;

#[async_trait]
impl Filter for Reserve {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        let resolved_route = cx.resolved_route().clone();
        let Some(key) = cx.key.filter(|_| !resolved_route.route.idempotent) else {
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
        // Without a bill nothing ran. If only the reply to the claim was
        // lost, this gives it back; another holder's claim stays.
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
        .reserve(organisation, &resolved_route.budget, cx.bound)
        .await?;
    cx.reservation = Some(reservation);
    let result = next.call(cx).await;
    // Frees the tokens of work that was not billed.
    cx.reservation = None;
    result
}
