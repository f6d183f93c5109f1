//! A routing table made ready for matching.

use std::{collections::HashMap, sync::Arc};

use super::{Organisation, RoutingRule, RoutingTable, Service};

/// What a request's host, path and key match.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// No route matches.
    NoRoute,
    /// The route needs a key that some organisation holds.
    UnknownKey,
    /// The route, and the organisation that the key belongs to.
    Found {
        /// The matching row.
        route: Arc<RoutingRule>,
        /// The caller's organisation, where the key names one.
        organisation: Option<Arc<Organisation>>,
    },
}

/// A routing table, indexed by host, path prefix and key.
#[derive(Debug, Default)]
pub struct RoutingIndex {
    table: RoutingTable,
    routes: HashMap<String, HashMap<String, Arc<RoutingRule>>>,
    organisations_by_key: HashMap<String, Arc<Organisation>>,
    services: HashMap<String, Arc<Service>>,
}

impl RoutingIndex {
    /// Indexes `table`.
    #[must_use]
    pub fn build(table: RoutingTable) -> Self {
        let mut routes: HashMap<String, HashMap<String, Arc<RoutingRule>>> = HashMap::new();
        for route in &table.routes {
            let by_prefix = routes.entry(route.host.to_ascii_lowercase()).or_default();
            by_prefix.insert(route.path_prefix.clone(), Arc::new(route.clone()));
        }
        let mut organisations_by_key = HashMap::new();
        for organisation in table.organisations.iter().flatten() {
            let organisation = Arc::new(organisation.clone());
            for key in &organisation.keys {
                organisations_by_key.insert(key.clone(), organisation.clone());
            }
        }
        let services = table
            .services
            .iter()
            .map(|service| (service.name.clone(), Arc::new(service.clone())))
            .collect();
        Self {
            table,
            routes,
            organisations_by_key,
            services,
        }
    }

    /// The table's version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.version
    }

    /// The table itself.
    #[must_use]
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Matches a request. Of several prefixes the longest wins.
    #[must_use]
    pub fn lookup(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch {
        let Some(route) = self.route(host, path) else {
            return RouteMatch::NoRoute;
        };
        let organisation = key.and_then(|key| self.organisations_by_key.get(key));
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
            None => self.routes.get(host.rsplit_once(':')?.0)?,
        };
        path.rmatch_indices('/')
            .find_map(|(at, _)| by_prefix.get(&path[..=at]))
    }
}
