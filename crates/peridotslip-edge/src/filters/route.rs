//! Finds the route and organisation of a request, and the service that gets it.

use async_trait::async_trait;
use peridotslip::forwarding::{RouteMatch, RoutingRule, home_data_centres};

use super::Filter;
use crate::{
    context::{Rejection, RequestContext, Result},
    reason::RejectionReason,
};

pub(super) struct PickService;

/// Returns `picked` if evacuations and home regions leave it a server, otherwise
/// another of the route's services. Rejects the request if they leave none.
fn pick_reachable(
    cx: &RequestContext,
    route: &RoutingRule,
    picked: String,
    random: u64,
) -> Result<String> {
    // A resumed stream goes on at the service that began it, which is found out later.
    if cx.metadata.last_event_id.is_some() {
        return Ok(picked);
    }
    let rejection = |service: &str| cx.obstacle_rejection(&cx.selection(service, None));
    let Some(picked_rejection) = rejection(&picked) else {
        return Ok(picked);
    };
    let other = route.pick_service_where(random, |service| rejection(service).is_none());
    other.map(ToOwned::to_owned).ok_or(picked_rejection)
}

/// Sets the route and the organisation of a request from its head.
///
/// # Errors
///
/// A [`Rejection`] if the table does not permit the request.
pub(crate) fn match_route(cx: &mut RequestContext) -> Result<()> {
    // Version 0 is the empty table before the first one has been read.
    if cx.index.version() == 0 {
        let after_ms = cx.shared.settings().timing.retry_after_ms;
        return Err(Rejection::after(RejectionReason::NotConfigured, after_ms));
    }
    let host = cx.host().unwrap_or("");
    let reason = match cx
        .index
        .lookup(host, cx.uri.path(), cx.metadata.api_key.as_deref())
    {
        RouteMatch::Found {
            route,
            organisation,
        } => {
            cx.route = Some(route);
            cx.organisation = organisation;
            return Ok(());
        }
        RouteMatch::NoRoute => RejectionReason::NoRoute,
        RouteMatch::UnknownKey => RejectionReason::UnknownKey,
    };
    let table_age_ms = cx.shared.table_age_ms();
    log::info!(id = cx.id(), version = cx.index.version(), table_age_ms; "active table lacks the route or the key");
    if cx.shared.is_table_current() {
        return Err(Rejection::new(reason));
    }
    let after_ms = cx.shared.settings().timing.retry_after_ms;
    Err(Rejection::after(RejectionReason::TableStale, after_ms))
}

#[async_trait]
impl Filter for PickService {
    async fn apply(&self, cx: &mut RequestContext) -> Result<()> {
        let Some(route) = cx.route.clone() else {
            return Err(Rejection::new(RejectionReason::NoRoute));
        };
        let regions = &cx.shared.settings().regions;
        cx.data_centres = home_data_centres(&route, cx.organisation.as_deref(), regions);
        let random = rand::random();
        let service = route.pick_service(random).unwrap_or("").to_owned();
        cx.service = pick_reachable(cx, &route, service, random)?;
        Ok(())
    }
}
