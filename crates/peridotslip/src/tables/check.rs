//! The rules that tables must keep.

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
    /// One broken rule, with the row and the remedy.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Violation {
        /// Two rows of one kind share a name.
        DuplicateName(kind: &'static str, row: String) {
            display("{kind} `{row}` stands twice; rename or remove one")
        }
        /// A name is empty, too long or has odd characters.
        BadName(kind: &'static str, row: String) {
            display("{kind} `{row}` is not a usable name; use 1 to 128 letters, digits, `-`, `_` and `.`")
        }
        /// A route names a pool that isn't there.
        MissingPool(route: String, pool: String) {
            display("route `{route}` names pool `{pool}`, which is not in the pools table; add the pool or correct the name")
        }
        /// A route names a pool without a budget.
        PoolWithoutBudget(route: String, pool: String) {
            display("route `{route}` names pool `{pool}`, which has no budget; add `budget` to the pool")
        }
        /// A pool names a budget that isn't there.
        MissingBudget(pool: String, budget: String) {
            display("pool `{pool}` names budget `{budget}`, which is not in the pools table; add the budget or correct the name")
        }
        /// A route would spend another organisation's budget.
        ForeignBudget(route: String, organisation: String, owner: String) {
            display("route `{route}` of organisation `{organisation}` would spend a budget of `{owner}`; route it to a pool of its own budget")
        }
        /// A pool has no servers, or two sources of them.
        Servers(pool: String) {
            display("pool `{pool}` must have either `servers` or `servers_of`")
        }
        /// A pool shares servers with one that has none of its own or another kind.
        ServersOf(pool: String, other: String) {
            display("pool `{pool}` shares the servers of `{other}`; name a pool of the same kind that lists `servers`")
        }
        /// A server's address can't be used.
        Address(pool: String, address: String) {
            display("pool `{pool}` has server `{address}`; write `IP:port`, each once in a pool")
        }
        /// A route matches on neither or both of model and path.
        Match(route: String) {
            display("route `{route}` must have either `model` or `path`")
        }
        /// A route's match doesn't fit its pool's kind.
        MatchKind(route: String, pool: String) {
            display("route `{route}` does not fit pool `{pool}`: `model` goes to a pool of kind `model`, `path` to one of kind `service`")
        }
        /// A path is not absolute, or would hide the router's own paths.
        Path(route: String, path: String) {
            display("route `{route}` has path `{path}`; start it with `/`, and keep clear of `/v1/chat/completions` and `/v1/completions`")
        }
        /// A method is not an upper-case token.
        Method(route: String, method: String) {
            display("route `{route}` has method `{method}`; write it in capitals, such as `POST`")
        }
        /// Two routes match the same requests.
        Overlap(route: String, other: String) {
            display("routes `{route}` and `{other}` match the same requests; narrow or remove one")
        }
        /// A key is used by two organisations.
        SharedKey(route: String, organisation: String, other: String) {
            display("route `{route}` has a key of organisation `{other}` for `{organisation}`; give each organisation its own keys")
        }
        /// An organisation has routes but no key.
        NoKey(organisation: String) {
            display("organisation `{organisation}` has routes but no key; add a hash to `keys` of one of its routes")
        }
        /// A figure is zero where that makes no sense.
        Zero(route: String, field: &'static str) {
            display("route `{route}` has `{field}: 0`; give a positive number")
        }
        /// A paid figure fell.
        LoweredPaid(budget: String, from: u64, to: u64) {
            display("budget `{budget}` has `paid_tokens: {to}`, below the {from} in force; it is the sum of all payments and never falls")
        }
        /// A budget with payments was removed.
        RemovedBudget(budget: String) {
            display("budget `{budget}` is in force and was removed; keep the row, since its payments are on record")
        }
        /// A budget changed its owner.
        MovedBudget(budget: String) {
            display("budget `{budget}` changed its organisation or firm; add a new budget instead")
        }
    }
}

/// Rules that need only the tables themselves.
pub(super) fn violations(tables: &Tables) -> Vec<Violation> {
    let mut found = Vec::new();
    let routes = &tables.routes.routes;
    let pools = &tables.pools.pools;
    let budgets = &tables.pools.budgets;
    names(
        "route",
        routes.iter().map(|row| row.name.as_str()),
        &mut found,
    );
    names(
        "pool",
        pools.iter().map(|row| row.name.as_str()),
        &mut found,
    );
    names(
        "budget",
        budgets.iter().map(|row| row.name.as_str()),
        &mut found,
    );
    let pools_by_name: HashMap<&PoolName, &Pool> =
        pools.iter().map(|pool| (&pool.name, pool)).collect();
    let owners: HashMap<&BudgetName, &OrganisationName> = budgets
        .iter()
        .map(|budget| (&budget.name, &budget.organisation))
        .collect();
    for pool in pools {
        check_pool(pool, &pools_by_name, &owners, &mut found);
    }
    for route in routes {
        check_route(route, &pools_by_name, &owners, &mut found);
    }
    overlaps(routes, &mut found);
    keys(routes, &mut found);
    found
}

/// Rules that compare with the tables in force.
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

fn names<'a>(kind: &'static str, rows: impl Iterator<Item = &'a str>, found: &mut Vec<Violation>) {
    let mut seen = HashSet::new();
    for name in rows {
        let usable = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if !usable {
            found.push(Violation::BadName(kind, name.to_owned()));
        }
        if !seen.insert(name) {
            found.push(Violation::DuplicateName(kind, name.to_owned()));
        }
    }
}

fn check_pool(
    pool: &Pool,
    pools: &HashMap<&PoolName, &Pool>,
    owners: &HashMap<&BudgetName, &OrganisationName>,
    found: &mut Vec<Violation>,
) {
    let name = || pool.name.to_string();
    if pool.servers.is_empty() == pool.servers_of.is_none() {
        found.push(Violation::Servers(name()));
    }
    if let Some(other) = &pool.servers_of {
        let fits = pools
            .get(other)
            .is_some_and(|source| source.kind == pool.kind && !source.servers.is_empty());
        if !fits {
            found.push(Violation::ServersOf(name(), other.to_string()));
        }
    }
    let mut seen = HashSet::new();
    for server in &pool.servers {
        let usable = server.address.parse::<SocketAddr>().is_ok();
        if !usable || !seen.insert(&server.address) {
            found.push(Violation::Address(name(), server.address.clone()));
        }
    }
    if let Some(budget) = &pool.budget
        && !owners.contains_key(budget)
    {
        found.push(Violation::MissingBudget(name(), budget.to_string()));
    }
}

fn check_route(
    route: &Route,
    pools: &HashMap<&PoolName, &Pool>,
    owners: &HashMap<&BudgetName, &OrganisationName>,
    found: &mut Vec<Violation>,
) {
    let name = || route.name.to_string();
    if route.model.is_some() == route.path.is_some() {
        found.push(Violation::Match(name()));
    }
    if let Some(path) = &route.path {
        let own = ["/v1/chat/completions", "/v1/completions"];
        if !path.starts_with('/') || own.iter().any(|own| own.starts_with(path.as_str())) {
            found.push(Violation::Path(name(), path.clone()));
        }
    }
    for method in &route.methods {
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            found.push(Violation::Method(name(), method.clone()));
        }
    }
    if route.deadline_ms == 0 {
        found.push(Violation::Zero(name(), "deadline_ms"));
    }
    if route.max_tokens == 0 {
        found.push(Violation::Zero(name(), "max_tokens"));
    }
    let Some(pool) = pools.get(&route.pool) else {
        found.push(Violation::MissingPool(name(), route.pool.to_string()));
        return;
    };
    if (pool.kind == PoolKind::Model) != route.model.is_some() {
        found.push(Violation::MatchKind(name(), pool.name.to_string()));
    }
    let Some(budget) = &pool.budget else {
        found.push(Violation::PoolWithoutBudget(name(), pool.name.to_string()));
        return;
    };
    if let Some(owner) = owners
        .get(budget)
        .filter(|owner| ***owner != route.organisation)
    {
        let organisation = route.organisation.to_string();
        found.push(Violation::ForeignBudget(
            name(),
            organisation,
            owner.to_string(),
        ));
    }
}

/// Whose requests a route takes, by model or path.
type Match<'a> = (&'a OrganisationName, Option<&'a str>, Option<&'a str>);

fn overlaps(routes: &[Route], found: &mut Vec<Violation>) {
    let mut by_match: HashMap<Match<'_>, Vec<&Route>> = HashMap::new();
    for route in routes {
        let key = (
            &route.organisation,
            route.model.as_deref(),
            route.path.as_deref(),
        );
        let same = by_match.entry(key).or_default();
        for other in same.iter() {
            if methods_meet(route, other) {
                let (a, b) = (other.name.to_string(), route.name.to_string());
                found.push(Violation::Overlap(a, b));
            }
        }
        same.push(route);
    }
}

fn methods_meet(a: &Route, b: &Route) -> bool {
    a.methods.is_empty() || b.methods.is_empty() || intersect(&a.methods, &b.methods)
}

fn intersect<T: Eq + Hash>(a: &[T], b: &[T]) -> bool {
    a.iter().any(|item| b.contains(item))
}

fn keys(routes: &[Route], found: &mut Vec<Violation>) {
    let mut owners = HashMap::new();
    let mut with_key = HashSet::new();
    for route in routes {
        for key in &route.keys {
            with_key.insert(&route.organisation);
            let owner = owners.entry(*key).or_insert(&route.organisation);
            if **owner != route.organisation {
                let organisation = route.organisation.to_string();
                let other = owner.to_string();
                found.push(Violation::SharedKey(
                    route.name.to_string(),
                    organisation,
                    other,
                ));
            }
        }
    }
    let mut told = HashSet::new();
    for route in routes {
        let organisation = &route.organisation;
        if !with_key.contains(organisation) && told.insert(organisation) {
            found.push(Violation::NoKey(organisation.to_string()));
        }
    }
}
