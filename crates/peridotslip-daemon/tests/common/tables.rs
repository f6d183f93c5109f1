//! Example tables for a fleet.

use std::{fs, path::Path};

use super::fleet::Fleet;

/// Callers' keys, one for each organisation.
pub const MUSCAT_KEY: &str = "key-of-muscat";
pub const NIZWA_KEY: &str = "key-of-nizwa";

/// What a test may vary.
#[derive(Clone, Debug)]
pub struct Shape {
    pub paid_tokens: u64,
    pub deadline_ms: u64,
    pub extra: String,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            paid_tokens: 1_000_000,
            deadline_ms: 20_000,
            extra: String::new(),
        }
    }
}

/// Writes routes and pools for `fleet` into `dir`.
pub fn write(dir: &Path, fleet: &Fleet, shape: &Shape) {
    let hash = |key: &str| peridotslip::tables::ApiKeyHash::of(key).to_string();
    let (muscat, nizwa) = (hash(MUSCAT_KEY), hash(NIZWA_KEY));
    let Shape {
        paid_tokens,
        deadline_ms,
        extra,
    } = shape;
    let routes = format!(
        "routes:
  - {{name: tagline, organisation: muscat, keys: [{muscat}], model: tagline, pool: muscat-model, class: interactive, deadline_ms: {deadline_ms}}}
  - {{name: orders, organisation: muscat, path: /orders, pool: muscat-orders, idempotent: false, tokens_per_call: 10}}
  - {{name: status, organisation: muscat, path: /status, methods: [GET], pool: muscat-orders, tokens_per_call: 1}}
  - {{name: nizwa-tagline, organisation: nizwa, keys: [{nizwa}], model: tagline, pool: nizwa-model}}
{extra}"
    );
    let servers = |addresses: &[String]| {
        let rows = addresses
            .iter()
            .map(|address| format!("{{address: \"{address}\"}}"));
        rows.collect::<Vec<_>>().join(", ")
    };
    let pools = format!(
        "budgets:
  - {{name: muscat, firm: qalam, organisation: muscat, paid_tokens: {paid_tokens}}}
  - {{name: nizwa, firm: qalam, organisation: nizwa, paid_tokens: 5000}}
pools:
  - {{name: engines, kind: model, servers: [{}]}}
  - {{name: desk, kind: service, servers: [{}]}}
  - {{name: muscat-model, kind: model, servers_of: engines, budget: muscat}}
  - {{name: muscat-orders, kind: service, servers_of: desk, budget: muscat}}
  - {{name: nizwa-model, kind: model, servers_of: engines, budget: nizwa}}
",
        servers(&fleet.engines),
        servers(&fleet.services)
    );
    fs::write(dir.join("routes.yaml"), routes).expect("the directory is there");
    fs::write(dir.join("pools.yaml"), pools).expect("the directory is there");
}
