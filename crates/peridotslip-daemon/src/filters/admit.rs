//! Limits the number of open requests in this router, and admits requests to
//! their pools by deadline class, with round-robin between organisations.

use std::time::Duration;

use async_trait::async_trait;
use peridotslip::prelude::*;

use super::{Filter, Next};
use crate::{
    context::RequestContext,
    problem::{Rejection, Result},
};

/// `Retry-After` of a rejection because of too many open requests, in seconds.
const RETRY_AFTER_S: u64 = 1;

pub(super) struct Admit;

#[async_trait]
impl Filter for Admit {
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()> {
        let controllers = &cx.shared.controllers;
        let Ok(_open_permit) = controllers.open_requests.clone().try_acquire_owned() else {
            return Err(Rejection::not_run(Refusal::QueueFull).retry_after(RETRY_AFTER_S));
        };
        let (response, keyed) = (cx.response.clone(), cx.idempotency_key.is_some());
        let permit = tokio::select! {
            permit = controllers.admission.acquire(cx.resolved_route()) => permit?,
            () = response.readers_gone(Duration::ZERO), if !keyed => {
                cx.abandoned = true;
                return Ok(());
            }
        };
        cx.permit = Some(permit);
        let shared = cx.shared.clone();
        shared.metrics.gauges.open_requests.add(1);
        let result = next.call(cx).await;
        shared.metrics.gauges.open_requests.sub(1);
        cx.permit = None;
        result
    }
}
