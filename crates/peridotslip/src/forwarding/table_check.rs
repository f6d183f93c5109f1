//! Checks of a routing table before it is sent, and the differences between two.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
};

use serde::Serialize;

use super::{CallerLimits, Idempotency, Organisation, RoutingRule, RoutingTable, Service};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The entry works, but not as it says.
    Warning,
    /// The entry, or the whole table, can't work.
    Error,
}

/// A fault of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Finding {
    /// How serious the fault is.
    pub severity: Severity,
    /// Where the fault is, such as `route "draft"`.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl Finding {
    fn error(place: &str, problem: impl Into<String>, remedy: &str) -> Self {
        Self {
            severity: Severity::Error,
            place: place.to_owned(),
            problem: problem.into(),
            remedy: remedy.to_owned(),
        }
    }

    fn warning(place: &str, problem: impl Into<String>, remedy: &str) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(place, problem, remedy)
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        let Self {
            place,
            problem,
            remedy,
            ..
        } = self;
        write!(f, "{severity}: {place}: {problem}; {remedy}")
    }
}

/// A difference between two tables, in an operator's words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Difference {
    /// What differs, such as `route "draft"`.
    pub place: String,
    /// How it differs, such as `timeout: 3000 ms, was 6000 ms`.
    pub change: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.change)
    }
}

/// What is known of the deployment that a table is for. A check that lacks its fact
/// is skipped.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentFacts {
    /// The number of routers.
    pub routers: Option<u32>,
    /// Retries that the routers permit per first attempt.
    pub retry_ratio: Option<f64>,
    /// The data centres and their regions.
    pub data_centres: Option<BTreeMap<String, String>>,
    /// The evacuated data centres.
    pub evacuated: Option<Vec<String>>,
}

/// Returns the faults of a table.
#[must_use]
pub fn check_table(table: &RoutingTable, facts: &DeploymentFacts) -> Vec<Finding> {
    let mut found = Vec::new();
    let organisations = table.organisations.as_deref().unwrap_or_default();
    let route_names = table.routes.iter().map(|route| route.name.as_str());
    check_names("route", route_names, &mut found);
    let service_names = table.services.iter().map(|service| service.name.as_str());
    check_names("service", service_names, &mut found);
    let organisation_names = organisations.iter().map(|row| row.name.as_str());
    check_names("organisation", organisation_names, &mut found);

    check_matching(&table.routes, &mut found);
    for route in &table.routes {
        check_split(route, &table.services, &mut found);
        check_route_limits(route, facts, &mut found);
    }
    for service in &table.services {
        check_service(service, &table.routes, facts, &mut found);
    }
    check_keys(organisations, &mut found);
    check_prepaid(organisations, &table.services, &mut found);
    check_caller_limits(&table.limits, &mut found);
    check_data_centres(table, facts, &mut found);
    found
}

/// Returns the faults of replacing the table `old`, which is in force, by `new`.
#[must_use]
pub fn check_replacement(old: &RoutingTable, new: &RoutingTable) -> Vec<Finding> {
    if new.version > old.version || new == old {
        return Vec::new();
    }
    let problem = format!(
        "version {} is not above version {} in force, so routers ignore the table",
        new.version, old.version
    );
    vec![Finding::error("version", problem, "raise the version")]
}

/// Returns `KIND "NAME"`.
fn row(kind: &str, name: &str) -> String {
    format!("{kind} {name:?}")
}

fn check_names<'a>(kind: &str, names: impl Iterator<Item = &'a str>, found: &mut Vec<Finding>) {
    let mut seen = HashSet::new();
    for name in names {
        if !seen.insert(name) {
            let problem = format!("two {kind}s have this name");
            found.push(Finding::error(
                &row(kind, name),
                problem,
                "rename or remove one",
            ));
        }
    }
}

fn check_matching(routes: &[RoutingRule], found: &mut Vec<Finding>) {
    let mut last_by_match: HashMap<(String, &str), &str> = HashMap::new();
    for route in routes {
        let place = row("route", &route.name);
        let prefix = route.path_prefix.as_str();
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let problem = format!("path prefix {prefix:?} never matches");
            let remedy = "write the prefix with a slash at both ends";
            found.push(Finding::error(&place, problem, remedy));
        }
        if route.host.is_empty() {
            let problem = "an empty host never matches";
            found.push(Finding::error(&place, problem, "name the host"));
        }
        // The routing index keeps the last route of a host and prefix.
        let key = (route.host.to_ascii_lowercase(), prefix);
        if let Some(earlier) = last_by_match.insert(key, &route.name) {
            let problem = format!(
                "never matches, because route {:?} after it has the same host and path prefix",
                route.name
            );
            let remedy = "remove one or change its prefix";
            found.push(Finding::error(&row("route", earlier), problem, remedy));
        }
    }
}

fn check_split(route: &RoutingRule, services: &[Service], found: &mut Vec<Finding>) {
    let place = row("route", &route.name);
    if route.weighted_services.is_empty() {
        let problem = "names no service, so all its requests are rejected";
        found.push(Finding::error(&place, problem, "name a service"));
        return;
    }
    let has_weight = route
        .weighted_services
        .iter()
        .any(|(_, weight)| *weight > 0);
    if !has_weight {
        let problem = "all weights of its split are 0, so all its requests are rejected";
        let remedy = "give a service a positive weight";
        found.push(Finding::error(&place, problem, remedy));
    }
    let mut seen = HashSet::new();
    for (name, weight) in &route.weighted_services {
        if !services.iter().any(|service| service.name == *name) {
            let problem = format!("names service {name:?}, which has no row");
            let remedy = "add the service or correct the name";
            found.push(Finding::error(&place, problem, remedy));
        }
        if has_weight && *weight == 0 {
            let problem = format!("service {name:?} has weight 0 and gets no request");
            let remedy = "remove it from the split or give it a positive weight";
            found.push(Finding::warning(&place, problem, remedy));
        }
        if !seen.insert(name) {
            let problem = format!("its split names service {name:?} twice");
            found.push(Finding::warning(&place, problem, "add up its weights"));
        }
    }
}

fn check_route_limits(route: &RoutingRule, facts: &DeploymentFacts, found: &mut Vec<Finding>) {
    let place = row("route", &route.name);
    let limits = [
        ("timeout", route.timeout_ms),
        ("maximum of attempts", route.max_attempts.into()),
    ];
    check_positive(&place, &limits, found);
    let targets = [
        ("latency target", route.first_byte_target_ms),
        ("target for pauses", route.gap_target_ms),
    ];
    for (target, target_ms) in targets {
        if route.timeout_ms > 0 && route.timeout_ms < target_ms {
            let timeout_ms = route.timeout_ms;
            let problem =
                format!("timeout of {timeout_ms} ms is below its {target} of {target_ms} ms");
            let remedy = "raise the timeout or lower the target";
            found.push(Finding::warning(&place, problem, remedy));
        }
    }
    // The ratio pays for `ratio` retries per request: if it is at most 1, a second
    // retry of a request is at the expense of another request's first one.
    if let Some(ratio) = facts.retry_ratio
        && f64::from(route.max_attempts.saturating_sub(1)) > ratio.ceil()
    {
        let problem = format!(
            "{} attempts are more than a retry ratio of {ratio} permits",
            route.max_attempts
        );
        let remedy = "lower the maximum of attempts or raise the retry ratio";
        found.push(Finding::warning(&place, problem, remedy));
    }
}

fn check_service(
    service: &Service,
    routes: &[RoutingRule],
    facts: &DeploymentFacts,
    found: &mut Vec<Finding>,
) {
    let place = row("service", &service.name);
    let mut limits = vec![("maximum of connections", service.max_connections.into())];
    if let Some(engine) = &service.engine {
        limits.extend([
            ("number of slots", engine.slots.into()),
            ("KV cache", engine.kv_tokens),
            ("number of tokens per event", engine.tokens_per_event),
        ]);
    }
    check_positive(&place, &limits, found);
    let connections = service.max_connections;
    if let Some(routers) = facts.routers.filter(|routers| connections < *routers)
        && connections > 0
    {
        let problem = format!(
            "{connections} connections per server are fewer than {routers} routers, so some routers can't reach it"
        );
        let remedy = "raise the maximum of connections or run fewer routers";
        found.push(Finding::warning(&place, problem, remedy));
    }
    let is_named = routes
        .iter()
        .flat_map(|route| &route.weighted_services)
        .any(|(name, _)| *name == service.name);
    if !is_named {
        let problem = "no route names it, so it gets no request";
        let remedy = "name it in a route or remove it";
        found.push(Finding::warning(&place, problem, remedy));
    }
}

fn check_positive(place: &str, limits: &[(&str, u64)], found: &mut Vec<Finding>) {
    for (limit, value) in limits {
        if *value == 0 {
            let problem = format!("its {limit} is 0");
            found.push(Finding::error(place, problem, "use a positive number"));
        }
    }
}

/// Checks the API keys. The findings don't contain them.
fn check_keys(organisations: &[Organisation], found: &mut Vec<Finding>) {
    let mut holders: HashMap<&str, usize> = HashMap::new();
    for (index, organisation) in organisations.iter().enumerate() {
        let place = row("organisation", organisation.name.as_str());
        for (position, key) in organisation.keys.iter().enumerate() {
            let number = position + 1;
            match holders.insert(key, index) {
                None => {}
                Some(holder) if holder == index => {
                    let problem = format!("holds its API key number {number} twice");
                    found.push(Finding::warning(&place, problem, "remove one of the two"));
                }
                Some(holder) => {
                    let problem = format!(
                        "its API key number {number} is also held by organisation {:?}",
                        organisations[holder].name.as_str()
                    );
                    let remedy = "give each organisation keys of its own";
                    found.push(Finding::error(&place, problem, remedy));
                }
            }
        }
    }
}

/// Compares the prepaid tokens with the largest request. The table does not limit the
/// tokens of a request, but a request must fit into the KV cache of one engine.
fn check_prepaid(organisations: &[Organisation], services: &[Service], found: &mut Vec<Finding>) {
    let engines = services.iter().filter_map(|service| service.engine);
    let Some(largest) = engines.map(|engine| engine.kv_tokens).max() else {
        return;
    };
    for organisation in organisations {
        if let Some(prepaid) = organisation.prepaid.filter(|prepaid| *prepaid < largest) {
            let problem = format!(
                "{prepaid} prepaid tokens don't cover the largest request that an engine takes, {largest} tokens"
            );
            let place = row("organisation", organisation.name.as_str());
            let remedy = "raise the prepaid tokens";
            found.push(Finding::warning(&place, problem, remedy));
        }
    }
}

fn check_caller_limits(limits: &CallerLimits, found: &mut Vec<Finding>) {
    let limits = [
        (
            "maximum size of a request head",
            limits.max_header_bytes as u64,
        ),
        (
            "maximum size of a request body",
            limits.max_body_bytes as u64,
        ),
        ("timeout of a request head", limits.header_timeout_ms),
        ("timeout of an idle connection", limits.idle_timeout_ms),
    ];
    check_positive("limits", &limits, found);
}

fn check_data_centres(table: &RoutingTable, facts: &DeploymentFacts, found: &mut Vec<Finding>) {
    let Some(data_centres) = &facts.data_centres else {
        return;
    };
    let evacuated = facts.evacuated.as_deref().unwrap_or_default();
    for name in evacuated {
        if !data_centres.contains_key(name) {
            let problem = format!("data centre {name:?} is not one of the deployment");
            found.push(Finding::warning("evacuation", problem, "correct the name"));
        }
    }
    let is_evacuated = |name: &String| evacuated.contains(name);
    if !evacuated.is_empty() && data_centres.keys().all(is_evacuated) {
        let problem = "it leaves no data centre, so all requests are rejected";
        found.push(Finding::error(
            "evacuation",
            problem,
            "end the evacuation of one",
        ));
        return;
    }
    let routes = table
        .routes
        .iter()
        .map(|route| (row("route", &route.name), &route.home_regions));
    let organisations = table.organisations.iter().flatten().map(|organisation| {
        let place = row("organisation", organisation.name.as_str());
        (place, &organisation.home_regions)
    });
    for (place, home_regions) in routes.chain(organisations) {
        let home: Vec<_> = data_centres
            .iter()
            .filter(|(_, region)| home_regions.contains(region))
            .map(|(name, _)| name)
            .collect();
        let is_served = !home.is_empty();
        for region in home_regions {
            if !data_centres.values().any(|other| other == region) {
                let problem = format!("no data centre is in its home region {region:?}");
                let remedy = "correct the region or add a data centre to it";
                found.push(Finding {
                    severity: if is_served {
                        Severity::Warning
                    } else {
                        Severity::Error
                    },
                    ..Finding::error(&place, problem, remedy)
                });
            }
        }
        if is_served && home.into_iter().all(is_evacuated) {
            let problem = "the evacuation leaves no data centre in its home regions";
            let remedy = "end the evacuation of one or add a home region";
            found.push(Finding::error(&place, problem, remedy));
        }
    }
}

/// The values of a row's fields, as an operator reads them.
type Fields = Vec<(&'static str, String)>;

/// Returns what differs between the table `old` and the table `new`. API keys are
/// counted, not shown.
#[must_use]
pub fn diff_tables(old: &RoutingTable, new: &RoutingTable) -> Vec<Difference> {
    let mut differences = Vec::new();
    let version = |table: &RoutingTable| vec![("version", table.version.to_string())];
    diff_fields("table", &version(old), &version(new), &mut differences);
    diff_rows(
        "route",
        &by_name(&old.routes, |row| (row.name.as_str(), route_fields(row))),
        &by_name(&new.routes, |row| (row.name.as_str(), route_fields(row))),
        &mut differences,
    );
    diff_rows(
        "service",
        &by_name(&old.services, |row| {
            (row.name.as_str(), service_fields(row))
        }),
        &by_name(&new.services, |row| {
            (row.name.as_str(), service_fields(row))
        }),
        &mut differences,
    );
    diff_organisations(old, new, &mut differences);
    let (old_limits, new_limits) = (limit_fields(&old.limits), limit_fields(&new.limits));
    diff_fields("limits", &old_limits, &new_limits, &mut differences);
    differences
}

fn by_name<'a, R>(
    rows: &'a [R],
    fields: impl Fn(&'a R) -> (&'a str, Fields),
) -> BTreeMap<&'a str, Fields> {
    rows.iter().map(fields).collect()
}

fn diff_rows(
    kind: &str,
    old: &BTreeMap<&str, Fields>,
    new: &BTreeMap<&str, Fields>,
    differences: &mut Vec<Difference>,
) {
    for (name, fields) in new {
        let place = row(kind, name);
        match old.get(name) {
            Some(old_fields) => diff_fields(&place, old_fields, fields, differences),
            None => differences.push(Difference {
                place,
                change: "added".to_owned(),
            }),
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        differences.push(Difference {
            place: row(kind, name),
            change: "removed".to_owned(),
        });
    }
}

fn diff_fields(place: &str, old: &Fields, new: &Fields, differences: &mut Vec<Difference>) {
    for ((field, before), (_, after)) in old.iter().zip(new) {
        if before != after {
            differences.push(Difference {
                place: place.to_owned(),
                change: format!("{field}: {after}, was {before}"),
            });
        }
    }
}

fn diff_organisations(old: &RoutingTable, new: &RoutingTable, differences: &mut Vec<Difference>) {
    let needs_keys = |table: &RoutingTable| {
        let needs_keys = if table.organisations.is_some() {
            "yes"
        } else {
            "no"
        };
        vec![("requests need API keys", needs_keys.to_owned())]
    };
    diff_fields("table", &needs_keys(old), &needs_keys(new), differences);
    let rows = |table: &RoutingTable| table.organisations.clone().unwrap_or_default();
    let (old, new) = (rows(old), rows(new));
    diff_rows(
        "organisation",
        &by_name(&old, |row| (row.name.as_str(), organisation_fields(row))),
        &by_name(&new, |row| (row.name.as_str(), organisation_fields(row))),
        differences,
    );
    for organisation in &new {
        let Some(before) = old.iter().find(|other| other.name == organisation.name) else {
            continue;
        };
        let lacking = |keys: &[String], others: &[String]| {
            keys.iter().filter(|key| !others.contains(key)).count()
        };
        let added = lacking(&organisation.keys, &before.keys);
        let removed = lacking(&before.keys, &organisation.keys);
        if added + removed > 0 {
            differences.push(Difference {
                place: row("organisation", organisation.name.as_str()),
                change: format!("API keys: {added} added, {removed} removed"),
            });
        }
    }
}

fn list(items: &[String]) -> String {
    match items {
        [] => "any".to_owned(),
        items => items.join(", "),
    }
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Describes a split by the share of each service, in lowest terms.
fn describe_split(weighted_services: &[(String, u32)]) -> String {
    let weights = weighted_services
        .iter()
        .map(|(_, weight)| u64::from(*weight));
    let divisor = weights.clone().fold(0, greatest_common_divisor).max(1);
    let total = weights.sum::<u64>() / divisor;
    let shares = weighted_services.iter().map(|(service, weight)| {
        format!("{service} ({} of {total})", u64::from(*weight) / divisor)
    });
    shares.collect::<Vec<_>>().join(", ")
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}

fn route_fields(route: &RoutingRule) -> Fields {
    vec![
        ("host", route.host.clone()),
        ("path prefix", route.path_prefix.clone()),
        (
            "idempotent",
            yes_or_no(route.idempotency == Idempotency::Idempotent),
        ),
        ("streaming", yes_or_no(route.streaming)),
        ("resumable", yes_or_no(route.resumable)),
        ("timeout", format!("{} ms", route.timeout_ms)),
        (
            "latency target",
            format!("{} ms", route.first_byte_target_ms),
        ),
        ("target for pauses", format!("{} ms", route.gap_target_ms)),
        ("attempts", route.max_attempts.to_string()),
        ("priority", route.priority.to_string()),
        ("public", yes_or_no(route.public)),
        ("services", describe_split(&route.weighted_services)),
        ("home regions", list(&route.home_regions)),
    ]
}

fn service_fields(service: &Service) -> Fields {
    let engine = service.engine.map_or("none".to_owned(), |engine| {
        format!(
            "{} slots, {} KV tokens, {} tokens per event",
            engine.slots, engine.kv_tokens, engine.tokens_per_event
        )
    });
    let warmup = service.warmup.map_or("none".to_owned(), |warmup| {
        format!(
            "{} ms at {} requests/s",
            warmup.cold_start_ms, warmup.requests_per_s
        )
    });
    vec![
        ("connections", service.max_connections.to_string()),
        ("engine", engine),
        ("warmup", warmup),
    ]
}

fn organisation_fields(organisation: &Organisation) -> Fields {
    let number = |value: Option<u64>| value.map_or("none".to_owned(), |value| value.to_string());
    vec![
        ("priority", number(organisation.priority.map(Into::into))),
        ("prepaid tokens", number(organisation.prepaid)),
        ("home regions", list(&organisation.home_regions)),
    ]
}

fn limit_fields(limits: &CallerLimits) -> Fields {
    vec![
        ("request head", format!("{} bytes", limits.max_header_bytes)),
        ("request body", format!("{} bytes", limits.max_body_bytes)),
        (
            "time for a request head",
            format!("{} ms", limits.header_timeout_ms),
        ),
        ("idle connection", format!("{} ms", limits.idle_timeout_ms)),
    ]
}
