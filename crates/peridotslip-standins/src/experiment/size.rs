//! What state and traffic cost as the fleet and the tables grow.

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

/// Bytes of h2 and TCP around a small question and its answer.
const FRAMING_BYTES: u64 = 400;
/// Rounds until every router knows the others, and rounds measured.
const SETTLE_ROUNDS: u64 = 400;
const ROUNDS: u64 = 100;

/// Prints slopes.
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

fn bytes<T: Serialize>(value: &T) -> u64 {
    let encoded = bincode::serde::encode_to_vec(value, bincode::config::standard());
    encoded.map_or(0, |buf| buf.len() as u64)
}

#[allow(clippy::cast_precision_loss)]
fn per(total: u64, count: u64) -> f64 {
    total as f64 / count as f64
}

fn micros(elapsed: Duration) -> u64 {
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

/// Probes and updates of a fleet at rest, and the time they take.
fn membership(routers: usize) {
    let first = node(0).address;
    let mut fleet: Vec<Members> = (0..routers)
        .map(|number| {
            let mut members = Members::new(node(number));
            members.add_seeds(std::iter::once(first.as_str()));
            members
        })
        .collect();
    let places: HashMap<String, usize> = (0..routers).map(|n| (node(n).address, n)).collect();
    let (mut sent, mut busy) = (0, Duration::ZERO);
    for round in 1..=SETTLE_ROUNDS + ROUNDS {
        let now_ms = round * PROBE_INTERVAL_MS;
        let counted = round > SETTLE_ROUNDS;
        for prober in 0..routers {
            let begin = Instant::now();
            let Some(address) = fleet[prober].tick(now_ms) else {
                continue;
            };
            let target = places[&address];
            let known = fleet[prober].all().any(|(node, _)| node.address == address);
            let said = fleet[prober].updates_for(&address);
            let from = fleet[prober].local_node().address.clone();
            fleet[target].apply_updates(&said, now_ms);
            let answer = if known {
                fleet[target].updates_for(&from)
            } else {
                fleet[target].full_state()
            };
            fleet[prober].apply_updates(&answer, now_ms);
            fleet[prober].record_reachable(&address, now_ms);
            if counted {
                busy += begin.elapsed();
                sent += bytes(&said) + bytes(&answer) + FRAMING_BYTES;
            }
        }
    }
    let count = routers as u64 * ROUNDS;
    let known = fleet[0].live().count();
    let state = bytes(&fleet[0].full_state());
    let line = json!({
        "what": "membership",
        "routers": routers,
        "known": known,
        // Each exchange is sent by one router and received by another.
        "bytes_per_s_each_way": per(sent, count) * 1_000.0 / per(PROBE_INTERVAL_MS, 1),
        "cpu_us_per_s": per(micros(busy), count) * 2.0,
        "state_bytes": state,
    });
    println!("{line}");
}

fn tables(budgets: usize, organisations: usize) {
    let organisation = |number: usize| format!("org-{}", number % organisations);
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
        let (name, owner) = (format!("budget-{number}"), organisation(number));
        tables.pools.budgets.push(Budget {
            name: name.as_str().into(),
            firm: "qalam".to_owned(),
            organisation: owner.as_str().into(),
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
            "organisation": owner,
            "keys": [ApiKeyHash::of(&format!("key-{owner}"))],
            "model": format!("model-{number}"),
            "pool": pool,
        }))
        .expect("a route's fields are all there");
        tables.routes.routes.push(route);
    }
    let (before, pages) = Manifest::build(&tables);
    let size: usize = pages.iter().map(|page| page.bytes.len()).sum();
    tables.pools.budgets[budgets / 2].paid_tokens += 1;
    let (after, new_pages) = Manifest::build(&tables);
    let old: Vec<&String> = before.page_ids().collect();
    let changed: usize = new_pages
        .iter()
        .filter(|page| !old.contains(&&page.id))
        .map(|page| page.bytes.len())
        .sum();
    let by_id: HashMap<String, Vec<u8>> = new_pages
        .into_iter()
        .map(|page| (page.id, page.bytes))
        .collect();
    let rss_before = resident_kb();
    let begin = Instant::now();
    let index = after
        .assemble(&by_id)
        .ok()
        .and_then(|tables| tables.index().ok());
    let load_ms = begin.elapsed().as_millis();
    let index = index.expect("the tables keep the rules");
    let begin = Instant::now();
    let matches = 100_000;
    for number in 0..matches {
        let at = number * 7_919 % budgets;
        let owner = OrganisationName::from(organisation(at).as_str());
        black_box(index.match_model(&owner, &format!("model-{at}")));
    }
    let line = json!({
        "what": "tables",
        "budgets": budgets,
        "organisations": organisations,
        "bytes": size,
        "pages": before.page_ids().count(),
        "head_bytes": after.encode().len(),
        "one_row_change_bytes": changed + after.encode().len(),
        "load_ms": u64::try_from(load_ms).unwrap_or(u64::MAX),
        "resident_kb": resident_kb().saturating_sub(rss_before),
        "match_ns": per(micros(begin.elapsed()) * 1_000, matches as u64),
    });
    println!("{line}");
}

/// A shard's record with many remembered request keys.
fn ledger(keys: u64) {
    let budget = BudgetName::from("busy");
    let mut record = ShardRecord::default();
    let mut ledger = LocalLedger::new(Incarnation::from(1));
    ledger.set_paid(&budget, u64::MAX / 4);
    for key in 0..keys {
        let mut held = ledger.reserve(&budget, 10, key);
        if held == ReserveResult::Insufficient {
            let report = ledger.report(key);
            let reply = record.apply(&report, key);
            ledger.accept(&reply);
            held = ledger.reserve(&budget, 10, key);
        }
        if let ReserveResult::Reserved(reservation) = held {
            let bill = Bill::new(Some(IdempotencyKey::from(u128::from(key) << 64)), 5);
            ledger.settle(reservation, bill, key);
        }
    }
    let report = ledger.report(keys);
    let reply = record.apply(&report, keys);
    ledger.accept(&reply);
    let begin = Instant::now();
    let copy = record.clone();
    let encoded = copy.encode();
    let line = json!({
        "what": "ledger record",
        "keys": keys,
        "bytes": encoded.len(),
        "copy_and_encode_us": micros(begin.elapsed()),
    });
    println!("{line}");
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let figure = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    figure.unwrap_or(0)
}
