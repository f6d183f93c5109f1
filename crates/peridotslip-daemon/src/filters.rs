//! The filter chain that handles a request.
//!
//! Each [`Filter`] does its work, calls the rest of the chain and receives the
//! result, so that a filter can release a resource in the function that
//! acquired it. The order is authenticate, route, de-duplicate, admit, reserve,
//! settle, dispatch: settle wraps dispatch, because it withholds the end of the
//! response until the bill is durable or replicated.

mod admit;
mod authenticate;
mod dedupe;
mod dispatch;
mod reserve;
mod route;
mod settle;

use std::sync::Arc;

use async_trait::async_trait;
use peridotslip::prelude::*;

use crate::{
    context::RequestContext,
    problem::{Rejection, Result},
};

/// One stage of request handling.
#[async_trait]
pub(crate) trait Filter: Send + Sync {
    /// Handles `cx`, usually by calling `next`.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if there is no complete response.
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()>;
}

/// The remaining filters of a chain.
#[derive(Clone, Copy)]
pub(crate) struct Next<'a> {
    rest: &'a [Box<dyn Filter>],
}

impl Next<'_> {
    /// Calls the next filter, if there is one.
    pub(crate) async fn call(self, cx: &mut RequestContext) -> Result<()> {
        match self.rest.split_first() {
            Some((filter, rest)) => filter.call(cx, Next { rest }).await,
            None => Ok(()),
        }
    }
}

/// Checks the caller's API key only, before the body is read.
pub(crate) fn check_api_key(cx: &RequestContext) -> Result<()> {
    authenticate::organisation(cx).map(|_| ())
}

/// All filters in the order in which they run.
pub(crate) struct Chain {
    filters: Vec<Box<dyn Filter>>,
}

impl Chain {
    /// Returns the daemon's chain.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            filters: vec![
                Box::new(authenticate::Authenticate),
                Box::new(route::Route),
                Box::new(dedupe::Deduplicate),
                Box::new(admit::Admit),
                Box::new(reserve::Reserve),
                Box::new(settle::Settle),
                Box::new(dispatch::Dispatch),
            ],
        })
    }

    /// Runs all filters on a request and ends its response.
    pub(crate) async fn run(&self, cx: &mut RequestContext) {
        let next = Next {
            rest: &self.filters,
        };
        let result = next.call(cx).await;
        finish(
            cx,
            result.map_err(|rejection| downgrade_unverified(cx, rejection)),
        );
    }
}

/// Replaces the status "not run" by "unknown" if an earlier request of the
/// same key may have run: only the holder of the key's claim can rule that
/// out. A rejection for a reused key stays "not run": the earlier request had
/// different content, so this one has not run.
fn downgrade_unverified(cx: &RequestContext, mut rejection: Rejection) -> Rejection {
    let verified = cx.idempotency_key.is_none() || cx.holds_claim || cx.answered_by_owner;
    if !verified
        && rejection.execution == ExecutionStatus::NotRun
        && rejection.refusal != Refusal::KeyReused
    {
        rejection.execution = ExecutionStatus::Unknown;
    }
    rejection
}

fn finish(cx: &RequestContext, result: Result<()>) {
    let metrics = &cx.shared.metrics;
    let outcome = match &result {
        Ok(()) if cx.abandoned => "abandoned",
        Ok(()) => "answered",
        Err(_) if cx.response.has_head() => "broken",
        Err(_) => "refused",
    };
    if let Some(resolved_route) = &cx.resolved_route {
        metrics.request_finished(&resolved_route.pool, outcome);
    }
    if let Err(rejection) = &result {
        metrics.refused(rejection.refusal);
    }
    log_request(cx, outcome, result.as_ref().err());
    match result {
        Ok(()) => cx.response.end(true),
        Err(_) if cx.response.has_head() => cx.response.end(false),
        Err(rejection) => cx.response.set_head(Err(rejection)),
    }
}

fn log_request(cx: &RequestContext, outcome: &str, rejection: Option<&Rejection>) {
    let organisation = cx.organisation.as_ref().map_or("", |name| name.as_str());
    let pool = cx
        .resolved_route
        .as_ref()
        .map_or("", |resolved_route| resolved_route.pool.as_str());
    let reason = rejection.map_or("", |rejection| rejection.refusal.as_str());
    let execution = rejection.map_or("", |rejection| rejection.execution.as_str());
    let tokens = cx.usage.map_or(0, |usage| usage.tokens);
    let elapsed_ms = u64::try_from(cx.received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    log::info!(
        request = cx.id.as_str(),
        organisation = organisation,
        pool = pool,
        revision = cx.index.revision().value(),
        outcome = outcome,
        reason = reason,
        run = execution,
        tokens = tokens,
        elapsed_ms = elapsed_ms;
        "request finished"
    );
}
