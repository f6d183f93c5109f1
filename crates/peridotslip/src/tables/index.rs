//! Tables made ready for matching requests.

use std::{collections::HashMap, sync::Arc};

use super::{ApiKeyHash, Budget, Pool, PoolKind, Route, Server, Tables};
use crate::ids::{OrganisationName, PoolName, Revision};

/// Everything that the rows say about a matched request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// The matching route.
    pub route: Route,
    /// The pool that answers.
    pub pool: PoolName,
    /// The pool whose servers answer, shared by pools with `servers_of`.
    pub server_pool: PoolName,
    /// What the servers speak.
    pub kind: PoolKind,
    /// The servers, those that are leaving included.
    pub servers: Arc<[Server]>,
    /// The budget that pays.
    pub budget: Budget,
}

#[derive(Debug, Default)]
struct OrganisationRoutes {
    by_model: HashMap<String, Arc<ResolvedRoute>>,
    /// Longest path first.
    by_path: Vec<Arc<ResolvedRoute>>,
}

/// Checked tables, indexed by caller's key, model and path.
#[derive(Debug, Default)]
pub struct TableIndex {
    tables: Tables,
    organisations_by_key: HashMap<ApiKeyHash, OrganisationName>,
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
        let mut organisations_by_key = HashMap::new();
        let mut routes: HashMap<OrganisationName, OrganisationRoutes> = HashMap::new();
        for route in &tables.routes.routes {
            for key in &route.keys {
                organisations_by_key.insert(*key, route.organisation.clone());
            }
            let pool = pools[&route.pool];
            let source = pool.servers_of.as_ref().unwrap_or(&pool.name);
            let servers = servers
                .entry(source)
                .or_insert_with(|| pools[source].servers.as_slice().into());
            let Some(budget) = pool.budget.as_ref().and_then(|name| budgets.get(name)) else {
                continue;
            };
            let resolved_route = Arc::new(ResolvedRoute {
                route: route.clone(),
                pool: pool.name.clone(),
                server_pool: source.clone(),
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
            organisations_by_key,
            routes,
        }
    }

    /// The revision of the tables.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.tables.revision
    }

    /// The tables themselves.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// The organisation that a caller's key belongs to.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&OrganisationName> {
        self.organisations_by_key.get(&ApiKeyHash::of(key))
    }

    /// The route of a completion request.
    #[must_use]
    pub fn match_model(
        &self,
        organisation: &OrganisationName,
        model: &str,
    ) -> Option<&Arc<ResolvedRoute>> {
        self.routes.get(organisation)?.by_model.get(model)
    }

    /// The route of a plain service's request: the longest matching path.
    #[must_use]
    pub fn match_path(
        &self,
        organisation: &OrganisationName,
        method: &str,
        path: &str,
    ) -> Option<&Arc<ResolvedRoute>> {
        let routes = self.routes.get(organisation)?;
        routes.by_path.iter().find(|resolved_route| {
            covers(path_of(resolved_route), path) && takes_method(&resolved_route.route, method)
        })
    }

    /// Every backend server of every pool, with the pool's kind.
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

fn takes_method(route: &Route, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|own| own == method)
}

/// Whether `path` is `prefix` or lies below it.
fn covers(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
