//! The filter chain that a request goes through.
//!
//! Each [`Filter`] does its part, calls the rest of the chain and sees how it
//! went, so what it took it can give back in the same place. The order is
//! authenticate, route, de-duplicate, admit, reserve, settle, dispatch: settle
//! stands around dispatch, because it holds the end of the answer back until
//! the bill is safe.

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

/// One part of answering a request.
#[async_trait]
pub(crate) trait Filter: Send + Sync {
    /// Answers `cx`, usually by calling `next`.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if there is no whole answer.
    async fn call(&self, cx: &mut RequestContext, next: Next<'_>) -> Result<()>;
}

/// The rest of a chain.
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

/// Checks the caller's key alone, before the body is read.
pub(crate) fn check_key(cx: &RequestContext) -> Result<()> {
    authenticate::organisation(cx).map(|_| ())
}

/// All filters in their order.
pub(crate) struct Chain {
    filters: Vec<Box<dyn Filter>>,
}

impl Chain {
    /// The chain of the daemon.
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

    /// Runs a request to its end and ends its answer.
    pub(crate) async fn run(&self, cx: &mut RequestContext) {
        let next = Next {
            rest: &self.filters,
        };
        let result = next.call(cx).await;
        finish(cx, result.map_err(|rejection| truthful(cx, rejection)));
    }
}

/// Says "unknown" in place of "not run" where an earlier request of the same
/// key may have run: only the holder of the key's claim can rule that out. A
/// key that is refused as another request's has not run as this one.
fn truthful(cx: &RequestContext, mut rejection: Rejection) -> Rejection {
    let vouched = cx.key.is_none() || cx.holds_claim || cx.answered_elsewhere;
    if !vouched
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
        Err(_) if cx.answer.has_head() => "broken",
        Err(_) => "refused",
    };
    if let Some(resolved_route) = &cx.resolved_route {
        metrics.answered(&resolved_route.pool, outcome);
    }
    if let Err(rejection) = &result {
        metrics.refused(rejection.refusal);
    }
    log_request(cx, outcome, result.as_ref().err());
    match result {
        Ok(()) => cx.answer.end(true),
        Err(_) if cx.answer.has_head() => cx.answer.end(false),
        Err(rejection) => cx.answer.set_head(Err(rejection)),
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
    let elapsed_ms = u64::try_from(cx.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
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
        "request"
    );
}
