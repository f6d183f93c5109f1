//! Lets one request of a key run and has the others follow its answer.

use async_trait::async_trait;
use peridotslip::prelude::*;

use super::{Filter, Next};
use crate::{
    answer::Answer,
    clock,
    context::Cx,
    problem::{Refused, Result},
};

pub(super) struct Deduplicate;

#[async_trait]
impl Filter for Deduplicate {
    async fn call(&self, cx: &mut Cx, next: Next<'_>) -> Result<()> {
        let Some(key) = cx.key else {
            return next.call(cx).await;
        };
        let dedupe = cx.shared.controllers.dedupe.clone();
        match dedupe.admit(key, cx.fingerprint, &cx.answer) {
            Admission::OtherRequest => Err(Refused::not_run(Refusal::KeyReused)),
            Admission::Follow(answer) => copy(&answer, &cx.answer).await,
            Admission::Run => {
                let result = next.call(cx).await;
                if result.is_ok() {
                    dedupe.finish(key, cx.answer.bytes(), clock::monotonic_ms());
                } else {
                    dedupe.forget(key);
                }
                result
            }
        }
    }
}

/// Gives a duplicate the answer that the first request gets.
async fn copy(from: &std::sync::Arc<Answer>, to: &Answer) -> Result<()> {
    let mut follower = from.follow();
    to.set_head(Ok(follower.head().await?));
    while let Some(part) = follower.next().await {
        match part {
            Ok(part) => to.push(part).await,
            Err(_) => return Err(Refused::unknown(Refusal::BackendFailed)),
        }
    }
    Ok(())
}
