//! Servers that ask for no requests for some time, or for few.

use std::time::Duration;

use peridotslip::forwarding::{MAX_REST_MS, ServerEntry, ServerVersion};

use crate::{
    context::{Rejection, RequestContext},
    reason::RejectionReason,
};

/// Shortest time after which a caller that no server's limit admits is told to
/// retry, in milliseconds.
const MIN_LIMITED_RETRY_MS: u64 = 500;
/// Upper bound on how long after the end of a rest a caller is told to retry, in
/// milliseconds. Spreads the callers that return.
const RETRY_SPREAD_MS: u64 = 500;

/// Records the rest that a server has asked for with its refusal of a request.
pub(super) fn record_rest(cx: &RequestContext, server: &ServerEntry, rest: Duration) {
    // Rounded up, so that the rest doesn't end early.
    let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
    let rest_ms = rest_ms.saturating_add(1).min(MAX_REST_MS);
    let now_ms = cx.shared.clock.now_ms();
    if cx.shared.placement().record_rest(server, rest_ms, now_ms) {
        log::info!(id = cx.id(), server = server.id.as_str(), for_ms = rest_ms; "server asked for a rest; sending it no requests");
    }
}

/// Returns the rejection of a request that no server has run, if all servers
/// that could run it rested or had a limit that admitted none at the last selection, at
/// `selected_ms`. At present a rest or a wait for a permit may just have ended, which
/// would leave no reason for the selection's result.
pub(super) fn rejection(
    cx: &RequestContext,
    versions: Option<&[ServerVersion]>,
    selected_ms: Option<u64>,
) -> Option<Rejection> {
    let selection = cx.selection(&cx.service, versions);
    let now_ms = cx.shared.clock.now_ms();
    let selected_ms = selected_ms.unwrap_or(now_ms);
    let placement = cx.shared.placement();
    let resting = placement.earliest_rest_end_ms(&selection, selected_ms);
    let resting = resting.map(|end_ms| (RejectionReason::ServersResting, end_ms));
    let (reason, end_ms) = resting.or_else(|| {
        let end_ms = placement.earliest_limited_ms(&selection, selected_ms)?;
        // Others wait for the first permit as well.
        let end_ms = end_ms.max(now_ms + MIN_LIMITED_RETRY_MS);
        Some((RejectionReason::ServersLimited, end_ms))
    })?;
    let after_ms = end_ms.saturating_sub(now_ms) + rand::random_range(0..RETRY_SPREAD_MS);
    Some(Rejection::after(reason, after_ms))
}
