//! The filters that a request passes before it is sent.

mod reserve;
mod route;

use std::sync::Arc;

use async_trait::async_trait;

use crate::context::{RequestContext, Result};

/// One step. It fills in what later steps need, or refuses the request.
#[async_trait]
pub(crate) trait Filter: Send + Sync {
    async fn apply(&self, cx: &mut RequestContext) -> Result<()>;
}

/// All steps in their order.
pub(crate) struct Chain {
    filters: Vec<Box<dyn Filter>>,
}

impl Chain {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            filters: vec![
                Box::new(route::MatchRoute),
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
