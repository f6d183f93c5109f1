//! The size of state and the cost of traffic as the fleet and the tables grow.

use std::{
    collections::HashMap,
    hint::black_box,
    time::{Duration, Instant},
};

use peridotslip::{
    members::{Members, Node, PROBE_INTERVAL_MS},
    prelude::*,
    tables::{ApiKeyHash, Budget, Server},
};
use serde::Serialize;
use serde_json::json;

/// Overhead of HTTP/2 and TCP for a small request and its response, in bytes.
const FRAMING_BYTES: u64 = 400;
/// Warm-up rounds, after which every router knows all others.
const WARM_UP_ROUNDS: u64 = 400;
/// Rounds after the warm-up, whose time and traffic count.
const COUNTED_ROUNDS: u64 = 100;

/// Measures several sizes of fleet, tables and ledger record and prints the
/// results.
pub(super) fn run() {
    for routers in [3, 9, 27, 81, 330] {
        membership(routers);
    }
    for (budgets, organisations) in [(210, 160), (2_100, 1_600), (21_000, 16_000)] {
        tables(budgets, organisations);
    }
    for keys in [1_000, 5_000, 15_000] {
        ledger(keys);
    }
}

/// Returns the encoded size of a value.
fn bytes<T: Serialize>(value: &T) -> u64 {
    let encoded = bincode::serde::encode_to_vec(value, bincode::config::standard());
    encoded.map_or(0, |buf| buf.len() as u64)
}

#[allow(clippy::cast_precision_loss)]
fn ratio(total: u64, count: u64) -> f64 {
    total as f64 / count as f64
}

fn as_micros_u64(elapsed: Duration) -> u64 {
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

fn node(number: usize) -> Node {
    Node {
        address: format!("10.20.{}.{}:7200", number / 250, number % 250),
        incarnation: Incarnation::from((1_u128 << 120) + number as u128),
        firm: "qalam".to_owned(),
        vm: format!("entry-vm-{number}"),
        data_centre: format!("om-north-{}", number % 10),
        revision: Revision::from(1_000),
    }
}

/// Measures the traffic and the CPU time of membership probes in a fleet without
/// changes.
fn membership(routers: usize) {
    let first = node(0).address;
    let mut fleet: Vec<Members> = (0..routers)
        .map(|number| {
            let mut members = Members::new(node(number));
            members.add_seeds(std::iter::once(first.as_str()));
            members
        })
        .collect();
    let index_by_address: HashMap<String, usize> =
        (0..routers).map(|n| (node(n).address, n)).collect();
    let (mut sent_bytes, mut busy_time) = (0, Duration::ZERO);
    for round in 1..=WARM_UP_ROUNDS + COUNTED_ROUNDS {
        let now_ms = round * PROBE_INTERVAL_MS;
        let is_counted = round > WARM_UP_ROUNDS;
        for prober in 0..routers {
            let start = Instant::now();
            let Some(address) = fleet[prober].tick(now_ms) else {
                continue;
            };
            let target = index_by_address[&address];
            let known = fleet[prober].all().any(|(node, _)| node.address == address);
            let gossip = fleet[prober].updates_for(&address);
            let from = fleet[prober].local_node().address.clone();
            fleet[target].apply_updates(&gossip, now_ms);
            let reply = if known {
                fleet[target].updates_for(&from)
            } else {
                fleet[target].full_state()
            };
            fleet[prober].apply_updates(&reply, now_ms);
            fleet[prober].record_reachable(&address, now_ms);
            if is_counted {
                busy_time += start.elapsed();
                sent_bytes += bytes(&gossip) + bytes(&reply) + FRAMING_BYTES;
            }
        }
    }
    let router_rounds = routers as u64 * COUNTED_ROUNDS;
    let known = fleet[0].live().count();
    let state = bytes(&fleet[0].full_state());
    let line = json!({
        "what": "membership",
        "routers": routers,
        "known": known,
        // Each exchange has one sender and one receiver, so a router receives as
        // many bytes as it sends.
        "bytes_per_s_each_way": ratio(sent_bytes, router_rounds) * 1_000.0 / ratio(PROBE_INTERVAL_MS, 1),
        "cpu_us_per_s": ratio(as_micros_u64(busy_time), router_rounds) * 2.0,
        "state_bytes": state,
    });
    println!("{line}");
}

/// Measures the size of the tables, the size of a change and the time to load
/// them and to match a request.
fn tables(budgets: usize, organisations: usize) {
    let organisation_name = |number: usize| format!("org-{}", number % organisations);
    let mut tables = Tables {
        revision: Revision::from(1),
        ..Tables::default()
    };
    tables.pools.pools = (0..37)
        .map(|model| Pool {
            name: format!("engines-{model}").as_str().into(),
            kind: PoolKind::Model,
            servers: (0..40)
                .map(|server| Server {
                    address: format!("10.30.{model}.{server}:8000"),
                    leaving: false,
                    checks_fencing: false,
                })
                .collect(),
            servers_of: None,
            budget: None,
        })
        .collect();
    for number in 0..budgets {
        let (name, organisation) = (format!("budget-{number}"), organisation_name(number));
        tables.pools.budgets.push(Budget {
            name: name.as_str().into(),
            firm: "qalam".to_owned(),
            organisation: organisation.as_str().into(),
            paid_tokens: 1_000_000,
        });
        let pool = format!("pool-{number}");
        tables.pools.pools.push(Pool {
            name: pool.as_str().into(),
            kind: PoolKind::Model,
            servers: Vec::new(),
            servers_of: Some(format!("engines-{}", number % 37).as_str().into()),
            budget: Some(name.as_str().into()),
        });
        let route: Route = serde_json::from_value(json!({
            "name": format!("route-{number}"),
            "organisation": organisation,
            "keys": [ApiKeyHash::of(&format!("key-{organisation}"))],
            "model": format!("model-{number}"),
            "pool": pool,
        }))
        .expect("the route has all required fields");
        tables.routes.routes.push(route);
    }
    let (before, pages) = Manifest::build(&tables);
    let page_bytes: usize = pages.iter().map(|page| page.bytes.len()).sum();
    tables.pools.budgets[budgets / 2].paid_tokens += 1;
    let (after, new_pages) = Manifest::build(&tables);
    let old_page_ids: Vec<&String> = before.page_ids().collect();
    let changed_bytes: usize = new_pages
        .iter()
        .filter(|page| !old_page_ids.contains(&&page.id))
        .map(|page| page.bytes.len())
        .sum();
    let by_id: HashMap<String, Vec<u8>> = new_pages
        .into_iter()
        .map(|page| (page.id, page.bytes))
        .collect();
    let rss_before = resident_kb();
    let start = Instant::now();
    let index = after
        .assemble(&by_id)
        .ok()
        .and_then(|tables| tables.index().ok());
    let load_ms = start.elapsed().as_millis();
    let index = index.expect("the tables are valid");
    let start = Instant::now();
    let lookups = 100_000;
    for number in 0..lookups {
        let row = number * 7_919 % budgets;
        let organisation = OrganisationName::from(organisation_name(row).as_str());
        black_box(index.match_model(&organisation, &format!("model-{row}")));
    }
    let line = json!({
        "what": "tables",
        "budgets": budgets,
        "organisations": organisations,
        "bytes": page_bytes,
        "pages": before.page_ids().count(),
        "head_bytes": after.encode().len(),
        "one_row_change_bytes": changed_bytes + after.encode().len(),
        "load_ms": u64::try_from(load_ms).unwrap_or(u64::MAX),
        "resident_kb": resident_kb().saturating_sub(rss_before),
        "match_ns": ratio(as_micros_u64(start.elapsed()) * 1_000, lookups as u64),
    });
    println!("{line}");
}

/// Measures the encoding of a shard's record that retains many idempotency keys.
fn ledger(keys: u64) {
    let budget = BudgetName::from("busy");
    let mut record = ShardRecord::default();
    let mut ledger = LocalLedger::new(Incarnation::from(1));
    ledger.set_paid(&budget, u64::MAX / 4);
    for key in 0..keys {
        let mut result = ledger.reserve(&budget, 10, key);
        if result == ReserveResult::Insufficient {
            let report = ledger.report(key);
            let reply = record.apply(&report, key);
            ledger.accept(&reply);
            result = ledger.reserve(&budget, 10, key);
        }
        if let ReserveResult::Reserved(reservation) = result {
            let bill = Bill::new(Some(IdempotencyKey::from(u128::from(key) << 64)), 5);
            ledger.settle(reservation, bill, key);
        }
    }
    let report = ledger.report(keys);
    let reply = record.apply(&report, keys);
    ledger.accept(&reply);
    let start = Instant::now();
    let copy = record.clone();
    let encoded = copy.encode();
    let line = json!({
        "what": "ledger record",
        "keys": keys,
        "bytes": encoded.len(),
        "copy_and_encode_us": as_micros_u64(start.elapsed()),
    });
    println!("{line}");
}

/// Returns the resident set size of the process, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let value = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    value.unwrap_or(0)
}
