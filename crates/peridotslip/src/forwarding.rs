//! Forwarding requests unchanged to the backend servers of a service.
//!
//! The operators' routing table names routes by host and path prefix, the
//! services behind them, and the organisations whose keys may use them. The
//! parts here decide without I/O: [`RoutingIndex`] matches a request,
//! [`Placement`] picks a server, [`RetryBudget`] bounds repeated sends, and
//! [`ConcurrencyLimiter`](crate::admission::ConcurrencyLimiter) orders what waits.

mod index;
mod placement;
mod retry_budget;
mod server;
mod table;

pub use self::{
    index::{RouteMatch, RoutingIndex},
    placement::{Placement, SelectedServer},
    retry_budget::RetryBudget,
    server::{AttemptOutcome, LoadReport, PromptProfile, ServerEntry, ServerId, ServerState},
    table::{
        CallerLimits, EngineTraits, Idempotency, Organisation, RoutingRule, RoutingTable, Service,
    },
};
