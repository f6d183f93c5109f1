//! Commands that ask routers.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use peridotslip::ids::Revision;

use super::{Error, Result};
use crate::{
    output::Format,
    remote::{Remote, Status},
};

/// Pause between two looks at the routers, in milliseconds.
const POLL_MS: u64 = 50;

/// Waits until every router has `revision` in force, and names them.
pub(super) async fn wait(remote: &Remote, revision: Revision, seconds: u64) -> Result<Vec<String>> {
    if remote.routers.is_empty() {
        return Err(Error::NoRouter);
    }
    let until = Instant::now() + Duration::from_secs(seconds);
    loop {
        let mut missing = Vec::new();
        for router in &remote.routers {
            match remote.status(router).await {
                Ok(status) if status.revision >= revision => {}
                _ => missing.push(router.clone()),
            }
        }
        if missing.is_empty() {
            return Ok(remote.routers.clone());
        }
        if Instant::now() >= until {
            return Err(Error::NotInForce(revision, missing));
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

pub(super) async fn status(remote: &Remote, format: Format) -> Result<ExitCode> {
    if remote.routers.is_empty() {
        return Err(Error::NoRouter);
    }
    let mut rows: Vec<Status> = Vec::new();
    for router in &remote.routers {
        rows.push(remote.status(router).await?);
    }
    format.print(&rows, || {
        let head = "vm\tfirm\tdata centre\trevision\topen\tunconfirmed\tstopping\n".to_owned();
        rows.iter().fold(head, |text, row| {
            text + &format!(
                "{}\t{}\t{}\t{}\t{}\t{}\t{}\n",
                row.vm,
                row.firm,
                row.data_centre,
                row.revision,
                row.open_requests,
                row.unconfirmed_settlements,
                row.stopping
            )
        })
    });
    Ok(ExitCode::SUCCESS)
}

pub(super) async fn members(remote: &Remote, format: Format) -> Result<ExitCode> {
    let router = remote.routers.first().ok_or(Error::NoRouter)?;
    let rows: Vec<serde_json::Value> = remote.ask(router, "/members").await?;
    format.print(&rows, || {
        let text = |row: &serde_json::Value, field: &str| {
            row[field]
                .as_str()
                .map_or_else(|| row[field].to_string(), str::to_owned)
        };
        let head = "address\tvm\tdata centre\tstate\trevision\n".to_owned();
        rows.iter().fold(head, |lines, row| {
            let cells = ["address", "vm", "data_centre", "state", "revision"];
            let cells: Vec<String> = cells.iter().map(|cell| text(row, cell)).collect();
            lines + &cells.join("\t") + "\n"
        })
    });
    Ok(ExitCode::SUCCESS)
}
