//! Validation, merging, matching and storage format of the two tables.

mod common;

use common::{budget, model_route, path_route, pool, tables};
use peridotslip::{
    prelude::*,
    tables::{ApiKeyHash, Server, Violation},
};

/// A change that makes valid tables violate one rule, and the beginning of the
/// violation's `Debug` output.
type InvalidCase = (fn(&mut Tables), &'static str);

#[test]
#[allow(clippy::too_many_lines)] // A table of cases.
fn each_violation_names_its_row() {
    let cases: Vec<InvalidCase> = vec![
        (
            |t| t.routes.routes[0].pool = "nowhere".into(),
            "MissingPool(\"taglines\"",
        ),
        (
            |t| t.pools.pools[0].budget = None,
            "PoolWithoutBudget(\"taglines\"",
        ),
        (
            |t| t.pools.pools[0].budget = Some("none".into()),
            "MissingBudget(\"model\"",
        ),
        (
            |t| t.pools.budgets[0].organisation = "nizwa".into(),
            "ForeignBudget(\"taglines\"",
        ),
        (
            |t| t.pools.pools[0].servers.clear(),
            "ServerSource(\"model\"",
        ),
        (
            |t| t.pools.pools[0].servers_of = Some("service".into()),
            "ServerSource(\"model\"",
        ),
        (
            |t| {
                t.pools.pools[0].servers.clear();
                t.pools.pools[0].servers_of = Some("service".into());
            },
            "InvalidServersOf(\"model\"",
        ),
        (
            |t| t.pools.pools[0].servers[0].address = "engine".to_owned(),
            "InvalidAddress(\"model\"",
        ),
        (
            |t| {
                let server = t.pools.pools[0].servers[0].clone();
                t.pools.pools[0].servers.push(server);
            },
            "InvalidAddress(\"model\"",
        ),
        (
            |t| t.routes.routes[0].model = None,
            "InvalidMatch(\"taglines\"",
        ),
        (
            |t| t.routes.routes[0].path = Some("/both".to_owned()),
            "InvalidMatch(\"taglines\"",
        ),
        (
            |t| t.routes.routes[0].pool = "service".into(),
            "PoolKindMismatch(\"taglines\"",
        ),
        (
            |t| t.routes.routes[1].path = Some("orders".to_owned()),
            "InvalidPath(\"orders\"",
        ),
        (
            |t| t.routes.routes[1].path = Some("/v1".to_owned()),
            "InvalidPath(\"orders\"",
        ),
        (
            |t| t.routes.routes[1].methods = vec!["post".to_owned()],
            "InvalidMethod(\"orders\"",
        ),
        (
            |t| t.routes.routes[0].deadline_ms = 0,
            "ZeroValue(\"taglines\"",
        ),
        (
            |t| t.routes.routes[0].max_tokens = 0,
            "ZeroValue(\"taglines\"",
        ),
        (
            |t| {
                let twin = model_route("twin", "muscat", "tagline", "model");
                t.routes.routes.push(twin);
            },
            "OverlappingRoutes(\"taglines\", \"twin\"",
        ),
        (
            |t| {
                let mut other = model_route("other", "nizwa", "tagline", "nizwa");
                other.keys = vec![ApiKeyHash::of("key-muscat")];
                t.routes.routes.push(other);
                t.pools.pools.push(pool("nizwa", PoolKind::Model, "nizwa"));
                t.pools.budgets.push(budget("nizwa", "nizwa", 5));
            },
            "SharedKey(\"other\"",
        ),
        (
            |t| {
                t.routes
                    .routes
                    .iter_mut()
                    .for_each(|route| route.keys.clear());
            },
            "NoKey(\"muscat\"",
        ),
        (
            |t| t.pools.pools[1].name = "model".into(),
            "DuplicateName(\"pool\", \"model\"",
        ),
        (
            |t| t.routes.routes[0].name = "a b".into(),
            "InvalidName(\"route\", \"a b\"",
        ),
    ];
    for (invalidate, expected_prefix) in cases {
        let mut invalid = tables();
        invalidate(&mut invalid);
        let violations: Vec<String> = invalid
            .violations()
            .iter()
            .map(|violation| format!("{violation:?}"))
            .collect();
        assert!(
            violations
                .iter()
                .any(|violation| violation.starts_with(expected_prefix)),
            "expected {expected_prefix}, found {violations:?}"
        );
        assert!(
            invalid.index().is_err(),
            "tables with {expected_prefix} must not be usable"
        );
    }
    assert_eq!(tables().violations(), Vec::new());
}

#[test]
fn paid_tokens_cannot_decrease_and_budgets_keep_their_firm() {
    let current = tables();
    let mut lowered = tables();
    lowered.pools.budgets[0].paid_tokens = 999;
    let mut removed = tables();
    removed.pools.budgets.clear();
    let mut moved = tables();
    moved.pools.budgets[0].firm = "maraval".to_owned();

    let violations = [lowered, removed, moved].map(|new| new.transition_violations(&current));

    assert_eq!(
        violations[0],
        [Violation::LoweredPaid("muscat".to_owned(), 1_000, 999)]
    );
    assert_eq!(
        violations[1],
        [Violation::RemovedBudget("muscat".to_owned())]
    );
    assert_eq!(violations[2], [Violation::MovedBudget("muscat".to_owned())]);
}

#[test]
fn edits_of_different_rows_are_merged() {
    let base = tables();
    let mut mine = base.clone();
    mine.routes.routes[0].deadline_ms = 2_000;
    let mut theirs = base.clone();
    theirs.revision = Revision::from(2);
    theirs.pools.budgets[0].paid_tokens = 5_000;
    theirs
        .routes
        .routes
        .push(path_route("status", "muscat", "/status", "service"));

    let merged = mine.rebase(&base, &theirs).expect("the rows differ");

    assert_eq!(merged.revision, Revision::from(2));
    assert_eq!(merged.routes.routes[0].deadline_ms, 2_000);
    assert_eq!(merged.routes.routes.len(), 3);
    assert_eq!(merged.pools.budgets[0].paid_tokens, 5_000);
}

#[test]
fn edits_of_the_same_row_conflict_and_show_the_other_change() {
    let base = tables();
    let mut mine = base.clone();
    mine.routes.routes[0].deadline_ms = 2_000;
    let mut theirs = base.clone();
    theirs.routes.routes[0].deadline_ms = 3_000;
    let mut removed = base.clone();
    removed.routes.routes.remove(0);

    let conflict = mine
        .rebase(&base, &theirs)
        .expect_err("both changed `taglines`");
    let with_removal = mine
        .rebase(&base, &removed)
        .expect_err("the row has been removed");

    let text = conflict.to_string();
    assert!(
        text.contains("`taglines`") && text.contains("3000"),
        "{text}"
    );
    assert!(with_removal.to_string().contains("removed"));
}

#[test]
fn reapplying_an_active_edit_changes_nothing() {
    let base = tables();
    let mut mine = base.clone();
    mine.routes.routes[0].deadline_ms = 2_000;

    let once = mine.rebase(&base, &base).expect("no other edit");
    let twice = mine.rebase(&base, &once).expect("the same edit");

    assert_eq!(once, twice);
}

#[test]
fn requests_match_by_api_key_model_method_and_longest_path() {
    let mut all = tables();
    let mut get_route = path_route("order-status", "muscat", "/orders/status", "service");
    get_route.methods = vec!["GET".to_owned()];
    all.routes.routes.push(get_route);
    let index = all.index().expect("the tables are valid");
    let muscat = OrganisationName::from("muscat");
    let matched_by_path = |method: &str, path: &str| {
        let resolved_route = index.match_path(&muscat, method, path)?;
        Some(resolved_route.route.name.to_string())
    };

    assert_eq!(index.organisation("key-muscat"), Some(&muscat));
    assert_eq!(index.organisation("key-nizwa"), None);
    assert!(index.match_model(&muscat, "tagline").is_some());
    assert!(index.match_model(&muscat, "other").is_none());
    assert!(index.match_model(&"nizwa".into(), "tagline").is_none());
    assert_eq!(
        matched_by_path("POST", "/orders").as_deref(),
        Some("orders")
    );
    assert_eq!(
        matched_by_path("GET", "/orders/status/7").as_deref(),
        Some("order-status")
    );
    assert_eq!(
        matched_by_path("POST", "/orders/status/7").as_deref(),
        Some("orders")
    );
    assert_eq!(matched_by_path("POST", "/ordersx"), None);
}

#[test]
fn a_change_to_one_row_replaces_one_page_of_a_large_table() {
    let mut all = tables();
    for number in 0..5_000 {
        let name = format!("b{number}");
        all.pools.budgets.push(budget(&name, &name, 10));
        all.pools
            .pools
            .push(pool(&format!("p{number}"), PoolKind::Model, &name));
    }
    let (before, pages) = Manifest::build(&all);
    all.pools.budgets[2_500].paid_tokens = 11;
    all.revision = Revision::from(2);

    let (after, new_pages) = Manifest::build(&all);

    let old_ids: Vec<_> = before.page_ids().collect();
    let new_ids: Vec<_> = after
        .page_ids()
        .filter(|id| !old_ids.contains(id))
        .collect();
    assert_eq!(new_ids.len(), 1);
    assert!(pages.len() > 50, "only {} pages", pages.len());
    let by_id = new_pages
        .into_iter()
        .map(|page| (page.id, page.bytes))
        .collect();
    let assembled = after.assemble(&by_id).expect("all pages are there");
    assert_eq!(assembled.violations(), Vec::new());
    assert_eq!(assembled.pools.budgets.len(), all.pools.budgets.len());
}

#[test]
fn an_added_row_leaves_the_other_pages_unchanged() {
    let mut all = tables();
    for number in 0..2_000 {
        all.pools
            .budgets
            .push(budget(&format!("b{number:05}"), "muscat", 10));
    }
    let (before, _) = Manifest::build(&all);
    all.pools.budgets.push(budget("b00500x", "muscat", 10));

    let (after, _) = Manifest::build(&all);

    let old_ids: Vec<_> = before.page_ids().collect();
    let new_count = after.page_ids().filter(|id| !old_ids.contains(id)).count();
    assert!(new_count <= 2, "{new_count} pages changed");
}

#[test]
fn a_pool_shares_the_servers_of_the_pool_in_servers_of() {
    let mut all = tables();
    all.pools.pools[0].servers.clear();
    all.pools.pools[0].servers_of = Some("engines".into());
    all.pools.pools.push(Pool {
        budget: None,
        servers: vec![Server {
            address: "127.0.0.1:9100".to_owned(),
            leaving: true,
            checks_fencing: true,
        }],
        ..pool("engines", PoolKind::Model, "")
    });

    let index = all.index().expect("the tables are valid");

    let resolved_route = index
        .match_model(&"muscat".into(), "tagline")
        .expect("it matches");
    assert_eq!(resolved_route.server_pool, "engines".into());
    assert_eq!(resolved_route.servers[0].address, "127.0.0.1:9100");
}
