//! An index of the routing table for matching requests.

use std::{
    collections::{BTreeMap, HashMap},
    ops::RangeInclusive,
    sync::Arc,
};

use super::{Organisation, RoutingRule, RoutingTable, Service, origin::history_name};

/// The result of looking up a request's host, path and API key.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// No route matches.
    NoRoute,
    /// A route matches, but it requires an API key of a listed organisation.
    UnknownKey,
    /// A route matches and the request may use it.
    Found {
        /// The matching route.
        route: Arc<RoutingRule>,
        /// The organisation that the API key belongs to, if any.
        organisation: Option<Arc<Organisation>>,
    },
}

/// A routing table, indexed by host, path prefix and API key.
#[derive(Debug, Default)]
pub struct RoutingIndex {
    table: RoutingTable,
    routes: HashMap<String, HashMap<String, Arc<RoutingRule>>>,
    organisations_by_api_key: HashMap<String, Arc<Organisation>>,
    services: HashMap<String, Arc<Service>>,
    /// The priorities of the routes to each service.
    priorities: HashMap<String, RangeInclusive<u8>>,
    stream_services: BTreeMap<String, String>,
}

impl RoutingIndex {
    /// Builds the index of `table`.
    #[must_use]
    pub fn build(table: RoutingTable) -> Self {
        let mut routes: HashMap<String, HashMap<String, Arc<RoutingRule>>> = HashMap::new();
        for route in &table.routes {
            let by_prefix = routes.entry(route.host.to_ascii_lowercase()).or_default();
            by_prefix.insert(route.path_prefix.clone(), Arc::new(route.clone()));
        }
        let mut organisations_by_api_key = HashMap::new();
        for organisation in table.organisations.iter().flatten() {
            let organisation = Arc::new(organisation.clone());
            for api_key in &organisation.keys {
                organisations_by_api_key.insert(api_key.clone(), organisation.clone());
            }
        }
        let services = table
            .services
            .iter()
            .map(|service| (service.name.clone(), Arc::new(service.clone())))
            .collect();
        let mut priorities: HashMap<String, RangeInclusive<u8>> = HashMap::new();
        for route in &table.routes {
            let priority = route.priority;
            for (service, _) in &route.weighted_services {
                let range = priorities
                    .entry(service.clone())
                    .or_insert(priority..=priority);
                *range = priority.min(*range.start())..=priority.max(*range.end());
            }
        }
        let stream_services = describe_stream_services(&table);
        Self {
            table,
            routes,
            organisations_by_api_key,
            services,
            priorities,
            stream_services,
        }
    }

    /// Returns the table's version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.version
    }

    /// Returns the indexed table.
    #[must_use]
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the priorities of the routes to a service; `None` without routes.
    #[must_use]
    pub fn priorities(&self, service: &str) -> Option<&RangeInclusive<u8>> {
        self.priorities.get(service)
    }

    /// Returns the hosts with resumable streams, each with a description of the
    /// services that serve them, or a digest of a long one. Two tables with the same description of a host
    /// forward each of its resumable streams to the same services.
    #[must_use]
    pub fn stream_services(&self) -> &BTreeMap<String, String> {
        &self.stream_services
    }

    /// Finds the route of a request. If several path prefixes match, the longest
    /// one is used.
    #[must_use]
    pub fn lookup(&self, host: &str, path: &str, api_key: Option<&str>) -> RouteMatch {
        let Some(route) = self.route(host, path) else {
            return RouteMatch::NoRoute;
        };
        let organisation = api_key.and_then(|api_key| self.organisations_by_api_key.get(api_key));
        if organisation.is_none() && !route.public && self.table.organisations.is_some() {
            return RouteMatch::UnknownKey;
        }
        RouteMatch::Found {
            route: route.clone(),
            organisation: organisation.cloned(),
        }
    }

    fn route(&self, host: &str, path: &str) -> Option<&Arc<RoutingRule>> {
        let host = host.to_ascii_lowercase();
        let by_prefix = match self.routes.get(&host) {
            Some(by_prefix) => by_prefix,
            // The host of a request may include a port.
            None => self.routes.get(host.rsplit_once(':')?.0)?,
        };
        path.rmatch_indices('/')
            .find_map(|(slash, _)| by_prefix.get(&path[..=slash]))
    }
}

/// Describes the services of each host's resumable streams, by host.
fn describe_stream_services(table: &RoutingTable) -> BTreeMap<String, String> {
    let mut by_host: BTreeMap<String, BTreeMap<&str, Vec<&str>>> = BTreeMap::new();
    let routes = table.routes.iter();
    for route in routes.filter(|route| route.streaming && route.resumable) {
        let services = route.weighted_services.iter();
        let mut services: Vec<&str> = services.map(|(service, _)| service.as_str()).collect();
        services.sort_unstable();
        let by_prefix = by_host.entry(route.host.to_ascii_lowercase()).or_default();
        by_prefix.insert(&route.path_prefix, services);
    }
    let describe = |by_prefix: BTreeMap<&str, Vec<&str>>| {
        let rows = by_prefix.into_iter();
        let rows = rows.map(|(prefix, services)| format!("{prefix} {}", services.join(",")));
        history_name(&rows.collect::<Vec<_>>().join("; ")).into_owned()
    };
    let hosts = by_host.into_iter();
    hosts
        .map(|(host, by_prefix)| (host, describe(by_prefix)))
        .collect()
}
