//! The data centres whose servers may get a request.

use std::collections::BTreeMap;

use super::{Organisation, RoutingRule};

/// Returns the data centres in the home regions of a request's route and
/// organisation; `None` if neither names any. `regions` maps data centres to their
/// regions. A data centre that it lacks is in no region.
#[must_use]
pub fn home_data_centres(
    route: &RoutingRule,
    organisation: Option<&Organisation>,
    regions: &BTreeMap<String, String>,
) -> Option<Vec<String>> {
    let route_regions = route.home_regions.as_slice();
    let organisation_regions =
        organisation.map_or(&[][..], |organisation| &organisation.home_regions);
    if route_regions.is_empty() && organisation_regions.is_empty() {
        return None;
    }
    let permits = |named: &[String], region| named.is_empty() || named.contains(region);
    let data_centres = regions
        .iter()
        .filter(|(_, region)| {
            permits(route_regions, region) && permits(organisation_regions, region)
        })
        .map(|(data_centre, _)| data_centre.clone());
    Some(data_centres.collect())
}
