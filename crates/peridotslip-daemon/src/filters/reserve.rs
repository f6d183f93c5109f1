//! Sets tokens aside for the request, and claims its key where the work may
//! not be repeated.

use async_trait::async_trait;

use super::{Filter, Next};
use crate::{context::Cx, problem::Result};

pub(super) struct Reserve;

#[async_trait]
impl Filter for Reserve {
    async fn call(&self, cx: &mut Cx, next: Next<'_>) -> Result<()> {
        let ledger = cx.shared.controllers.ledger.clone();
        let matched = cx.matched().clone();
        let organisation = &matched.route.organisation;
        let hold = ledger
            .reserve(organisation, &matched.budget, cx.bound)
            .await?;
        let claim = cx.key.filter(|_| !matched.route.idempotent);
        if let Some(key) = claim
            && let Err(refused) = ledger.claim(organisation, key, cx.fingerprint).await
        {
            // If the claim was recorded and only its reply was lost, this
            // gives it back; another holder's claim stays.
            ledger.unclaim(hold, key).await;
            return Err(refused);
        }
        cx.hold = Some(hold);
        let result = next.call(cx).await;
        // A hold without a bill means that nothing ran.
        if let (Some(hold), Some(key)) = (cx.hold.take(), claim) {
            ledger.unclaim(hold, key).await;
        }
        result
    }
}
