//! An index of the tables for matching requests.

use std::{collections::HashMap, sync::Arc};

use super::{ApiKeyHash, Budget, Pool, PoolKind, Route, Server, Tables};
use crate::ids::{OrganisationName, PoolName, Revision};

/// A route with the rows that it refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// The matching route.
    pub route: Route,
    /// The pool that the route refers to.
    pub pool: PoolName,
    /// The pool that lists the servers: `pool` or the pool in its `servers_of`.
    pub server_pool: PoolName,
    /// The kind of the servers.
    pub kind: PoolKind,
    /// The servers, including those that are leaving.
    pub servers: Arc<[Server]>,
    /// The budget that pays for the requests.
    pub budget: Budget,
}

/// The routes of one organisation.
#[derive(Debug, Default)]
struct OrganisationRoutes {
    by_model: HashMap<String, Arc<ResolvedRoute>>,
    /// Routes by path, longest path first.
    by_path: Vec<Arc<ResolvedRoute>>,
}

/// Valid tables, indexed by API key, model and path.
#[derive(Debug, Default)]
pub struct TableIndex {
    tables: Tables,
    organisations_by_api_key: HashMap<ApiKeyHash, OrganisationName>,
    routes: HashMap<OrganisationName, OrganisationRoutes>,
}

impl TableIndex {
    pub(super) fn build(tables: Tables) -> Self {
        let pools: HashMap<&PoolName, &Pool> = tables
            .pools
            .pools
            .iter()
            .map(|pool| (&pool.name, pool))
            .collect();
        let budgets: HashMap<_, _> = tables
            .pools
            .budgets
            .iter()
            .map(|budget| (&budget.name, budget))
            .collect();
        let mut servers: HashMap<&PoolName, Arc<[Server]>> = HashMap::new();
        let mut organisations_by_api_key = HashMap::new();
        let mut routes: HashMap<OrganisationName, OrganisationRoutes> = HashMap::new();
        for route in &tables.routes.routes {
            for api_key in &route.keys {
                organisations_by_api_key.insert(*api_key, route.organisation.clone());
            }
            let pool = pools[&route.pool];
            let server_pool = pool.servers_of.as_ref().unwrap_or(&pool.name);
            let servers = servers
                .entry(server_pool)
                .or_insert_with(|| pools[server_pool].servers.as_slice().into());
            let Some(budget) = pool.budget.as_ref().and_then(|name| budgets.get(name)) else {
                continue;
            };
            let resolved_route = Arc::new(ResolvedRoute {
                route: route.clone(),
                pool: pool.name.clone(),
                server_pool: server_pool.clone(),
                kind: pool.kind,
                servers: servers.clone(),
                budget: (*budget).clone(),
            });
            let entry = routes.entry(route.organisation.clone()).or_default();
            if let Some(model) = &route.model {
                entry.by_model.insert(model.clone(), resolved_route);
            } else {
                entry.by_path.push(resolved_route);
            }
        }
        for entry in routes.values_mut() {
            entry
                .by_path
                .sort_by_key(|resolved_route| std::cmp::Reverse(path_of(resolved_route).len()));
        }
        Self {
            tables,
            organisations_by_api_key,
            routes,
        }
    }

    /// Returns the revision of the tables.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.tables.revision
    }

    /// Returns the indexed tables.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the organisation that an API key belongs to.
    #[must_use]
    pub fn organisation(&self, api_key: &str) -> Option<&OrganisationName> {
        self.organisations_by_api_key.get(&ApiKeyHash::of(api_key))
    }

    /// Returns the route of a completion request.
    #[must_use]
    pub fn match_model(
        &self,
        organisation: &OrganisationName,
        model: &str,
    ) -> Option<&Arc<ResolvedRoute>> {
        self.routes.get(organisation)?.by_model.get(model)
    }

    /// Returns the route of a request to a plain service. If several paths match,
    /// the longest one is used.
    #[must_use]
    pub fn match_path(
        &self,
        organisation: &OrganisationName,
        method: &str,
        path: &str,
    ) -> Option<&Arc<ResolvedRoute>> {
        let routes = self.routes.get(organisation)?;
        routes.by_path.iter().find(|resolved_route| {
            is_below(path_of(resolved_route), path) && allows_method(&resolved_route.route, method)
        })
    }

    /// Returns the backend servers of all pools, each with the kind of its pool.
    pub fn servers(&self) -> impl Iterator<Item = (PoolKind, &Server)> {
        self.tables
            .pools
            .pools
            .iter()
            .flat_map(|pool| pool.servers.iter().map(|server| (pool.kind, server)))
    }
}

fn path_of(resolved_route: &ResolvedRoute) -> &str {
    resolved_route.route.path.as_deref().unwrap_or_default()
}

fn allows_method(route: &Route, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|allowed| allowed == method)
}

/// Returns whether `path` is `prefix` or a path below it.
fn is_below(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
