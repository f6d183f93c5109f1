//! Tables made ready for matching requests.

use std::{collections::HashMap, sync::Arc};

use super::{Budget, KeyHash, Pool, PoolKind, Route, Server, Tables};
use crate::ids::{OrganisationName, PoolName, Revision};

/// Everything that the rows say about a matched request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Matched {
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
    by_model: HashMap<String, Arc<Matched>>,
    /// Longest path first.
    by_path: Vec<Arc<Matched>>,
}

/// Checked tables, indexed by caller's key, model and path.
#[derive(Debug, Default)]
pub struct Index {
    tables: Tables,
    organisations_by_key: HashMap<KeyHash, OrganisationName>,
    routes: HashMap<OrganisationName, OrganisationRoutes>,
}

impl Index {
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
            let matched = Arc::new(Matched {
                route: route.clone(),
                pool: pool.name.clone(),
                server_pool: source.clone(),
                kind: pool.kind,
                servers: servers.clone(),
                budget: (*budget).clone(),
            });
            let entry = routes.entry(route.organisation.clone()).or_default();
            if let Some(model) = &route.model {
                entry.by_model.insert(model.clone(), matched);
            } else {
                entry.by_path.push(matched);
            }
        }
        for entry in routes.values_mut() {
            entry
                .by_path
                .sort_by_key(|matched| std::cmp::Reverse(path_of(matched).len()));
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
        self.organisations_by_key.get(&KeyHash::of(key))
    }

    /// The route of a completion request.
    #[must_use]
    pub fn match_model(
        &self,
        organisation: &OrganisationName,
        model: &str,
    ) -> Option<&Arc<Matched>> {
        self.routes.get(organisation)?.by_model.get(model)
    }

    /// The route of a plain service's request: the longest matching path.
    #[must_use]
    pub fn match_path(
        &self,
        organisation: &OrganisationName,
        method: &str,
        path: &str,
    ) -> Option<&Arc<Matched>> {
        let routes = self.routes.get(organisation)?;
        routes
            .by_path
            .iter()
            .find(|matched| covers(path_of(matched), path) && takes_method(&matched.route, method))
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

fn path_of(matched: &Matched) -> &str {
    matched.route.path.as_deref().unwrap_or_default()
}

fn takes_method(route: &Route, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|own| own == method)
}

/// Whether `path` is `prefix` or lies below it.
fn covers(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
