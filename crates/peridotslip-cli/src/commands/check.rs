//! The check of tables before they are sent. It needs no store.

use std::{
    fmt::Write,
    fs::File,
    io::Read,
    path::{Path, PathBuf},
    process::ExitCode,
    str::FromStr,
};

use bpaf::Bpaf;
use peridotslip::{
    forwarding::{
        DeploymentFacts, Difference, Finding, RoutingTable, Severity, check_replacement,
        check_table, diff_tables,
    },
    tables::Violation,
};
use peridotslip_platform::{MAX_TABLE_BYTES, parse_table};
use serde::Serialize;

use super::{Error, Result};
use crate::{
    files,
    output::{self, Format},
};

/// Exit code if there are warnings and no errors.
const WARNINGS_EXIT_CODE: u8 = 1;
/// Exit code if there are errors.
const ERRORS_EXIT_CODE: u8 = 2;

/// A data centre and its region, written `DC=REGION`.
#[derive(Clone, Debug)]
pub(crate) struct DataCentreRegion {
    data_centre: String,
    region: String,
}

impl FromStr for DataCentreRegion {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        match text.split_once('=') {
            Some((data_centre, region)) if !data_centre.is_empty() && !region.is_empty() => {
                Ok(Self {
                    data_centre: data_centre.to_owned(),
                    region: region.to_owned(),
                })
            }
            _ => Err(format!("`{text}` is not a data centre; write DC=REGION")),
        }
    }
}

/// A number of retries per first attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryRatio(f64);

impl FromStr for RetryRatio {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        text.parse()
            .ok()
            .filter(|ratio: &f64| ratio.is_finite() && *ratio >= 0.0)
            .map(Self)
            .ok_or_else(|| format!("`{text}` is not a ratio; pass a number from 0, such as 0.2"))
    }
}

/// Options of `check`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CheckOptions {
    /// Check a configuration of the platform, a JSON file
    platform: bool,
    /// The version in force, to compare with
    #[bpaf(argument("FILE"))]
    against: Option<PathBuf>,
    /// Number of routers, for --platform
    #[bpaf(argument("N"))]
    routers: Option<u32>,
    /// A data centre and its region, for --platform; repeatable, pass all of
    /// them
    #[bpaf(argument("DC=REGION"), many)]
    region: Vec<DataCentreRegion>,
    /// An evacuated data centre, for --platform; repeatable
    #[bpaf(argument("DC"), many)]
    evacuated: Vec<String>,
    /// Retries per first attempt in the routers' settings, for --platform
    #[bpaf(argument("R"))]
    retry_ratio: Option<RetryRatio>,
}

impl CheckOptions {
    /// Returns what the options tell about the deployment.
    fn facts(&self) -> Result<DeploymentFacts> {
        let has_facts = self.routers.is_some()
            || !self.region.is_empty()
            || !self.evacuated.is_empty()
            || self.retry_ratio.is_some();
        if has_facts && !self.platform {
            return Err(Error::FactsWithoutPlatform);
        }
        if !self.evacuated.is_empty() && self.region.is_empty() {
            return Err(Error::EvacuatedWithoutRegions);
        }
        let regions = self.region.iter();
        let regions = regions.map(|row| (row.data_centre.clone(), row.region.clone()));
        Ok(DeploymentFacts {
            routers: self.routers,
            retry_ratio: self.retry_ratio.map(|ratio| ratio.0),
            data_centres: (!self.region.is_empty()).then(|| regions.collect()),
            evacuated: (!self.evacuated.is_empty()).then(|| self.evacuated.clone()),
        })
    }
}

/// The outcome of a check.
#[derive(Default, Serialize)]
struct Report {
    /// Whether there are no errors.
    usable: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    routes: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pools: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    services: Option<usize>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    findings: Vec<Finding>,
    /// What differs from the version in force; `None` without one.
    #[serde(skip_serializing_if = "Option::is_none")]
    differences: Option<Vec<Difference>>,
}

impl Report {
    fn text(&self) -> String {
        let mut text = String::new();
        if self.usable {
            let counts = [
                (self.routes, "routes"),
                (self.pools, "pools"),
                (self.services, "services"),
            ];
            let counts = counts.into_iter();
            let counts = counts.filter_map(|(count, kind)| Some(format!("{} {kind}", count?)));
            let counts: Vec<String> = counts.collect();
            let _ = writeln!(text, "usable: {}", counts.join(", "));
        }
        for difference in self.differences.iter().flatten() {
            let _ = writeln!(text, "{difference}");
        }
        if self.differences.as_ref().is_some_and(Vec::is_empty) {
            text.push_str("no differences\n");
        }
        text
    }
}

/// Checks tables and prints the findings: as text to standard error, as JSON to
/// standard output.
pub(super) fn check(options: &CheckOptions, path: &Path, format: Format) -> Result<ExitCode> {
    let facts = options.facts()?;
    let against = options.against.as_deref();
    let checked = if options.platform {
        check_platform_table(path, against, &facts)
    } else {
        check_own_tables(path, against)
    };
    let mut report = match (checked, format) {
        (Err(err), Format::Text) => return Err(err),
        (Err(err), Format::Json) => Report {
            findings: vec![unreadable(path, &err)],
            ..Report::default()
        },
        (Ok(report), _) => report,
    };
    let worst = report.findings.iter().map(|finding| finding.severity).max();
    report.usable = worst != Some(Severity::Error);
    if format == Format::Text {
        for finding in &report.findings {
            eprintln!("{finding}");
        }
    }
    format.print(&report, || report.text());
    Ok(match worst {
        None => ExitCode::SUCCESS,
        Some(Severity::Warning) => ExitCode::from(WARNINGS_EXIT_CODE),
        Some(Severity::Error) => ExitCode::from(ERRORS_EXIT_CODE),
    })
}

fn unreadable(path: &Path, err: &Error) -> Finding {
    let (place, problem, remedy) = match err {
        Error::Configuration(file, err) => (
            format!("{}: {}", file.display(), err.place),
            err.problem.clone(),
            err.remedy.clone(),
        ),
        err => {
            let (problem, remedy) = split_remedy(&err.to_string());
            (path.display().to_string(), problem, remedy)
        }
    };
    Finding {
        severity: Severity::Error,
        place,
        problem,
        remedy,
    }
}

/// Splits a message into what is wrong and the remedy.
fn split_remedy(message: &str) -> (String, String) {
    let (problem, remedy) = message
        .rsplit_once("; ")
        .unwrap_or((message, "see docs/OPERATORS.md for the fields"));
    (problem.to_owned(), remedy.to_owned())
}

fn check_platform_table(
    path: &Path,
    against: Option<&Path>,
    facts: &DeploymentFacts,
) -> Result<Report> {
    let table = load_platform_table(path)?;
    let mut findings = check_table(&table, facts);
    let mut differences = None;
    if let Some(against) = against {
        let in_force = load_platform_table(against)?;
        findings.extend(check_replacement(&in_force, &table));
        differences = Some(diff_tables(&in_force, &table));
    }
    Ok(Report {
        routes: Some(table.routes.len()),
        services: Some(table.services.len()),
        findings,
        differences,
        ..Report::default()
    })
}

fn load_platform_table(path: &Path) -> Result<RoutingTable> {
    let unreadable = |err| Error::Unreadable(path.to_owned(), err);
    let mut value = Vec::new();
    let file = File::open(path).map_err(unreadable)?;
    // One byte more than the limit, so that the parser reports files beyond it.
    file.take(MAX_TABLE_BYTES as u64 + 1)
        .read_to_end(&mut value)
        .map_err(unreadable)?;
    parse_table(&value).map_err(|err| Error::Configuration(path.to_owned(), err))
}

fn check_own_tables(dir: &Path, against: Option<&Path>) -> Result<Report> {
    let tables = files::load(dir)?.tables;
    let mut violations = tables.violations();
    let mut differences = None;
    if let Some(against) = against {
        let in_force = files::load(against)?.tables;
        violations.extend(tables.transition_violations(&in_force));
        let changes = in_force.changes_to(&tables);
        let changes = changes.iter().map(|change| Difference {
            place: format!("{} {:?}", change.kind, change.name),
            change: output::describe_change(change),
        });
        differences = Some(changes.collect());
    }
    Ok(Report {
        routes: Some(tables.routes.routes.len()),
        pools: Some(tables.pools.pools.len()),
        findings: violations.iter().map(finding).collect(),
        differences,
        ..Report::default()
    })
}

fn finding(violation: &Violation) -> Finding {
    let (problem, remedy) = split_remedy(&violation.to_string());
    Finding {
        severity: Severity::Error,
        place: file_of(violation).to_owned(),
        problem,
        remedy,
    }
}

/// Returns the file with the row that violates a rule.
fn file_of(violation: &Violation) -> &'static str {
    match violation {
        Violation::DuplicateName("pool" | "budget", _)
        | Violation::InvalidName("pool" | "budget", _)
        | Violation::MissingBudget(..)
        | Violation::ServerSource(_)
        | Violation::InvalidServersOf(..)
        | Violation::InvalidAddress(..)
        | Violation::LoweredPaid(..)
        | Violation::RemovedBudget(_)
        | Violation::MovedBudget(_) => files::POOLS_FILE,
        _ => files::ROUTES_FILE,
    }
}
