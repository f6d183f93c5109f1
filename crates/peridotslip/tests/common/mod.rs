//! Fixtures for the library's tests.
#![allow(dead_code)] // Each test file uses some of them.

use peridotslip::{
    prelude::*,
    tables::{ApiKeyHash, Budget, Server},
};

/// A route of `organisation` for `model`.
pub fn model_route(name: &str, organisation: &str, model: &str, pool: &str) -> Route {
    Route {
        name: name.into(),
        organisation: organisation.into(),
        keys: vec![ApiKeyHash::of(&format!("key-{organisation}"))],
        model: Some(model.to_owned()),
        path: None,
        methods: Vec::new(),
        pool: pool.into(),
        class: DeadlineClass::Standard,
        deadline_ms: 1_000,
        idempotent: true,
        tokens_per_call: 0,
        max_tokens: 100,
    }
}

/// A route of `organisation` for `path`.
pub fn path_route(name: &str, organisation: &str, path: &str, pool: &str) -> Route {
    Route {
        model: None,
        path: Some(path.to_owned()),
        idempotent: false,
        ..model_route(name, organisation, "", pool)
    }
}

/// A pool with one server.
pub fn pool(name: &str, kind: PoolKind, budget: &str) -> Pool {
    Pool {
        name: name.into(),
        kind,
        servers: vec![Server {
            address: "127.0.0.1:9000".to_owned(),
            leaving: false,
            checks_fencing: false,
        }],
        servers_of: None,
        budget: Some(budget.into()),
    }
}

/// A budget of `organisation`.
pub fn budget(name: &str, organisation: &str, paid_tokens: u64) -> Budget {
    Budget {
        name: name.into(),
        firm: "qalam".to_owned(),
        organisation: organisation.into(),
        paid_tokens,
    }
}

/// Tables with one route of each kind, that keep every rule.
pub fn tables() -> Tables {
    Tables {
        revision: Revision::from(1),
        routes: RouteTable {
            routes: vec![
                model_route("taglines", "muscat", "tagline", "model"),
                path_route("orders", "muscat", "/orders", "service"),
            ],
        },
        pools: PoolTable {
            budgets: vec![budget("muscat", "muscat", 1_000)],
            pools: vec![
                pool("model", PoolKind::Model, "muscat"),
                pool("service", PoolKind::Service, "muscat"),
            ],
        },
    }
}
