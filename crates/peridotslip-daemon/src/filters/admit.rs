//! Bounds how many requests this router works on.

use async_trait::async_trait;
use peridotslip::prelude::*;

use super::{Filter, Next};
use crate::{
    context::Cx,
    problem::{Refused, Result},
};

/// When to come back after a refusal for load, in seconds.
const RETRY_AFTER_S: u64 = 1;

pub(super) struct Admit;

#[async_trait]
impl Filter for Admit {
    async fn call(&self, cx: &mut Cx, next: Next<'_>) -> Result<()> {
        let Ok(_permit) = cx
            .shared
            .controllers
            .open_requests
            .clone()
            .try_acquire_owned()
        else {
            return Err(Refused::not_run(Refusal::QueueFull).retry_after(RETRY_AFTER_S));
        };
        let shared = cx.shared.clone();
        shared.metrics.gauges.open_requests.add(1);
        let result = next.call(cx).await;
        shared.metrics.gauges.open_requests.sub(1);
        result
    }
}
