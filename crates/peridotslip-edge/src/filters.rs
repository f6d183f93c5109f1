//! The filters that are applied to a complete request before it is dispatched, and the
//! match of its head against the table.

mod crashing_request;
mod reserve;
mod route;
mod stopping;

use std::sync::Arc;

use async_trait::async_trait;

pub(crate) use self::route::match_route;
use crate::context::{RequestContext, Result};

/// A filter sets fields of the request context for later filters, or rejects
/// the request.
#[async_trait]
pub(crate) trait Filter: Send + Sync {
    async fn apply(&self, cx: &mut RequestContext) -> Result<()>;
}

/// The filters in the order in which they are applied.
pub(crate) struct Chain {
    filters: Vec<Box<dyn Filter>>,
}

impl Chain {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            filters: vec![
                Box::new(stopping::RejectUnfinishable),
                Box::new(route::PickService),
                Box::new(crashing_request::RejectCrashingRequest),
                Box::new(reserve::ReserveTokens),
            ],
        })
    }

    pub(crate) async fn apply(&self, cx: &mut RequestContext) -> Result<()> {
        for filter in &self.filters {
            filter.apply(cx).await?;
        }
        Ok(())
    }
}
