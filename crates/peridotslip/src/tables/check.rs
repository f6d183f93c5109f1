//! The validation rules for tables.

use std::{
    collections::{HashMap, HashSet},
    hash::Hash,
    net::SocketAddr,
};

use quick_error::quick_error;

use super::{Pool, PoolKind, Route, Tables};
use crate::ids::{BudgetName, OrganisationName, PoolName};

/// Longest name of a row, in bytes.
const MAX_NAME_BYTES: usize = 128;

quick_error! {
    /// A violation of a rule, with the row and the remedy.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Violation {
        /// Two rows of one kind have the same name.
        DuplicateName(kind: &'static str, row: String) {
            display("{kind} `{row}` occurs twice; rename or remove one")
        }
        /// A name is empty, too long or contains other characters than those allowed.
        InvalidName(kind: &'static str, row: String) {
            display("{kind} name `{row}` is invalid; use 1 to 128 letters, digits, `-`, `_` and `.`")
        }
        /// A route refers to a pool that is not in the table.
        MissingPool(route: String, pool: String) {
            display("route `{route}` names pool `{pool}`, which is not in the pools table; add the pool or correct the name")
        }
        /// A route refers to a pool without a budget.
        PoolWithoutBudget(route: String, pool: String) {
            display("route `{route}` names pool `{pool}`, which has no budget; add `budget` to the pool")
        }
        /// A pool refers to a budget that is not in the table.
        MissingBudget(pool: String, budget: String) {
            display("pool `{pool}` names budget `{budget}`, which is not in the pools table; add the budget or correct the name")
        }
        /// A route refers to a pool with a budget of another organisation.
        ForeignBudget(route: String, organisation: String, owning_organisation: String) {
            display("route `{route}` of organisation `{organisation}` uses a pool with a budget of organisation `{owning_organisation}`; use a pool with a budget of its own organisation")
        }
        /// A pool has both or neither of `servers` and `servers_of`.
        ServerSource(pool: String) {
            display("pool `{pool}` must have either `servers` or `servers_of`")
        }
        /// A pool's `servers_of` refers to a pool that is missing, has no servers of
        /// its own or is of another kind.
        InvalidServersOf(pool: String, other: String) {
            display("pool `{pool}` shares the servers of `{other}`; name a pool of the same kind that lists `servers`")
        }
        /// A server's address is invalid or occurs twice in a pool.
        InvalidAddress(pool: String, address: String) {
            display("pool `{pool}` has server `{address}`; write the address as `IP:port`, each only once in a pool")
        }
        /// A route has both or neither of `model` and `path`.
        InvalidMatch(route: String) {
            display("route `{route}` must have either `model` or `path`")
        }
        /// A route matches by model but its pool is of kind `service`, or by path but
        /// its pool is of kind `model`.
        PoolKindMismatch(route: String, pool: String) {
            display("route `{route}` does not fit the kind of pool `{pool}`: a route with `model` needs a pool of kind `model`, a route with `path` one of kind `service`")
        }
        /// A path is not absolute, or covers a path that the router serves itself.
        InvalidPath(route: String, path: String) {
            display("route `{route}` has path `{path}`; use a path that starts with `/` and does not cover `/v1/chat/completions` or `/v1/completions`")
        }
        /// A method is not in upper case.
        InvalidMethod(route: String, method: String) {
            display("route `{route}` has method `{method}`; write it in upper case, such as `POST`")
        }
        /// Two routes match the same requests.
        OverlappingRoutes(route: String, other: String) {
            display("routes `{route}` and `{other}` match the same requests; narrow or remove one")
        }
        /// Two organisations use the same API key.
        SharedKey(route: String, organisation: String, other: String) {
            display("route `{route}` of organisation `{organisation}` has an API key of organisation `{other}`; use different API keys for each organisation")
        }
        /// An organisation has routes but no API key.
        NoKey(organisation: String) {
            display("organisation `{organisation}` has routes but no API key; add a hash to `keys` of one of its routes")
        }
        /// A value that must be positive is zero.
        ZeroValue(route: String, field: &'static str) {
            display("route `{route}` has `{field}: 0`; use a positive number")
        }
        /// A budget's `paid_tokens` is lower than in the active tables.
        LoweredPaid(budget: String, from: u64, to: u64) {
            display("budget `{budget}` has `paid_tokens: {to}`, below the active value of {from}; the value is the sum of all payments and must not decrease")
        }
        /// A budget of the active tables was removed.
        RemovedBudget(budget: String) {
            display("active budget `{budget}` was removed; keep the row, because the ledger contains its payments")
        }
        /// A budget's organisation or firm was changed.
        MovedBudget(budget: String) {
            display("budget `{budget}` changed its organisation or firm; add a new budget instead")
        }
    }
}

/// Returns the violations of rules that concern only the given tables.
pub(super) fn violations(tables: &Tables) -> Vec<Violation> {
    let mut found = Vec::new();
    let routes = &tables.routes.routes;
    let pools = &tables.pools.pools;
    let budgets = &tables.pools.budgets;
    check_names(
        "route",
        routes.iter().map(|row| row.name.as_str()),
        &mut found,
    );
    check_names(
        "pool",
        pools.iter().map(|row| row.name.as_str()),
        &mut found,
    );
    check_names(
        "budget",
        budgets.iter().map(|row| row.name.as_str()),
        &mut found,
    );
    let pools_by_name: HashMap<&PoolName, &Pool> =
        pools.iter().map(|pool| (&pool.name, pool)).collect();
    let organisations_by_budget: HashMap<&BudgetName, &OrganisationName> = budgets
        .iter()
        .map(|budget| (&budget.name, &budget.organisation))
        .collect();
    for pool in pools {
        check_pool(pool, &pools_by_name, &organisations_by_budget, &mut found);
    }
    for route in routes {
        check_route(route, &pools_by_name, &organisations_by_budget, &mut found);
    }
    check_overlaps(routes, &mut found);
    check_api_keys(routes, &mut found);
    found
}

/// Returns the violations of rules that compare the tables with the active ones.
pub(super) fn transition_violations(tables: &Tables, current: &Tables) -> Vec<Violation> {
    let mut found = Vec::new();
    let new: HashMap<_, _> = tables
        .pools
        .budgets
        .iter()
        .map(|budget| (&budget.name, budget))
        .collect();
    for old in &current.pools.budgets {
        let name = old.name.to_string();
        let Some(budget) = new.get(&old.name) else {
            found.push(Violation::RemovedBudget(name));
            continue;
        };
        if budget.paid_tokens < old.paid_tokens {
            let (from, to) = (old.paid_tokens, budget.paid_tokens);
            found.push(Violation::LoweredPaid(name.clone(), from, to));
        }
        if budget.organisation != old.organisation || budget.firm != old.firm {
            found.push(Violation::MovedBudget(name));
        }
    }
    found
}

fn check_names<'a>(
    kind: &'static str,
    rows: impl Iterator<Item = &'a str>,
    found: &mut Vec<Violation>,
) {
    let mut seen = HashSet::new();
    for name in rows {
        let valid = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if !valid {
            found.push(Violation::InvalidName(kind, name.to_owned()));
        }
        if !seen.insert(name) {
            found.push(Violation::DuplicateName(kind, name.to_owned()));
        }
    }
}

fn check_pool(
    pool: &Pool,
    pools: &HashMap<&PoolName, &Pool>,
    organisations_by_budget: &HashMap<&BudgetName, &OrganisationName>,
    found: &mut Vec<Violation>,
) {
    let name = || pool.name.to_string();
    if pool.servers.is_empty() == pool.servers_of.is_none() {
        found.push(Violation::ServerSource(name()));
    }
    if let Some(other) = &pool.servers_of {
        let fits = pools
            .get(other)
            .is_some_and(|source| source.kind == pool.kind && !source.servers.is_empty());
        if !fits {
            found.push(Violation::InvalidServersOf(name(), other.to_string()));
        }
    }
    let mut seen = HashSet::new();
    for server in &pool.servers {
        let valid = server.address.parse::<SocketAddr>().is_ok();
        if !valid || !seen.insert(&server.address) {
            found.push(Violation::InvalidAddress(name(), server.address.clone()));
        }
    }
    if let Some(budget) = &pool.budget
        && !organisations_by_budget.contains_key(budget)
    {
        found.push(Violation::MissingBudget(name(), budget.to_string()));
    }
}

fn check_route(
    route: &Route,
    pools: &HashMap<&PoolName, &Pool>,
    organisations_by_budget: &HashMap<&BudgetName, &OrganisationName>,
    found: &mut Vec<Violation>,
) {
    let name = || route.name.to_string();
    if route.model.is_some() == route.path.is_some() {
        found.push(Violation::InvalidMatch(name()));
    }
    if let Some(path) = &route.path {
        let reserved = ["/v1/chat/completions", "/v1/completions"];
        if !path.starts_with('/')
            || reserved
                .iter()
                .any(|reserved| reserved.starts_with(path.as_str()))
        {
            found.push(Violation::InvalidPath(name(), path.clone()));
        }
    }
    for method in &route.methods {
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            found.push(Violation::InvalidMethod(name(), method.clone()));
        }
    }
    if route.deadline_ms == 0 {
        found.push(Violation::ZeroValue(name(), "deadline_ms"));
    }
    if route.max_tokens == 0 {
        found.push(Violation::ZeroValue(name(), "max_tokens"));
    }
    let Some(pool) = pools.get(&route.pool) else {
        found.push(Violation::MissingPool(name(), route.pool.to_string()));
        return;
    };
    if (pool.kind == PoolKind::Model) != route.model.is_some() {
        found.push(Violation::PoolKindMismatch(name(), pool.name.to_string()));
    }
    let Some(budget) = &pool.budget else {
        found.push(Violation::PoolWithoutBudget(name(), pool.name.to_string()));
        return;
    };
    if let Some(owning_organisation) = organisations_by_budget
        .get(budget)
        .filter(|owning_organisation| ***owning_organisation != route.organisation)
    {
        let organisation = route.organisation.to_string();
        found.push(Violation::ForeignBudget(
            name(),
            organisation,
            owning_organisation.to_string(),
        ));
    }
}

/// The organisation, model and path whose requests a route matches.
type MatchKey<'a> = (&'a OrganisationName, Option<&'a str>, Option<&'a str>);

fn check_overlaps(routes: &[Route], found: &mut Vec<Violation>) {
    let mut by_match: HashMap<MatchKey<'_>, Vec<&Route>> = HashMap::new();
    for route in routes {
        let key = (
            &route.organisation,
            route.model.as_deref(),
            route.path.as_deref(),
        );
        let same = by_match.entry(key).or_default();
        for other in same.iter() {
            if methods_overlap(route, other) {
                let (a, b) = (other.name.to_string(), route.name.to_string());
                found.push(Violation::OverlappingRoutes(a, b));
            }
        }
        same.push(route);
    }
}

fn methods_overlap(a: &Route, b: &Route) -> bool {
    a.methods.is_empty() || b.methods.is_empty() || intersect(&a.methods, &b.methods)
}

fn intersect<T: Eq + Hash>(a: &[T], b: &[T]) -> bool {
    a.iter().any(|item| b.contains(item))
}

fn check_api_keys(routes: &[Route], found: &mut Vec<Violation>) {
    let mut organisations_by_api_key = HashMap::new();
    let mut with_api_key = HashSet::new();
    for route in routes {
        for api_key in &route.keys {
            with_api_key.insert(&route.organisation);
            let owning_organisation = organisations_by_api_key
                .entry(*api_key)
                .or_insert(&route.organisation);
            if **owning_organisation != route.organisation {
                let organisation = route.organisation.to_string();
                let other = owning_organisation.to_string();
                found.push(Violation::SharedKey(
                    route.name.to_string(),
                    organisation,
                    other,
                ));
            }
        }
    }
    let mut reported = HashSet::new();
    for route in routes {
        let organisation = &route.organisation;
        if !with_api_key.contains(organisation) && reported.insert(organisation) {
            found.push(Violation::NoKey(organisation.to_string()));
        }
    }
}
