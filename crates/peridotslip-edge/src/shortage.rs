//! Counts and logs what shortages cost organisations.

use std::sync::{Mutex, PoisonError};

use peridotslip::fair_share::ShortageTally;

use crate::context::SharedState;

/// The rejected requests of organisations.
#[derive(Default)]
pub(crate) struct Shortages(Mutex<ShortageTally>);

/// Records a request that is rejected because `resource` is short. Logs the organisation
/// that lost most, at most once a second.
pub(crate) fn record(
    shared: &SharedState,
    resource: &'static str,
    priority: u8,
    organisation: &str,
    beyond_share: bool,
) {
    shared
        .metrics
        .record_shortage(resource, priority, beyond_share);
    let tally = shared.shortages.0.lock();
    let mut tally = tally.unwrap_or_else(PoisonError::into_inner);
    let report = tally.record(organisation, shared.clock.now_ms());
    drop(tally);
    if let Some(report) = report {
        let organisation = report.organisation.as_str();
        log::warn!(resource, organisation, rejected = report.rejected, total = report.total; "requests are rejected because of a shortage; the organisation has lost most");
    }
}
