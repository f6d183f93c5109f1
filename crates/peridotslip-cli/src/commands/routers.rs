//! Sub-commands that query routers.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use peridotslip::ids::Revision;

use super::{Error, Result};
use crate::{
    client::{ClusterClient, RouterStatus},
    output::Format,
};

/// Interval between two polls of the routers, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Waits until every router has activated `revision` or a later one, and returns
/// the addresses of the routers.
pub(super) async fn wait_until_active(
    client: &ClusterClient,
    revision: Revision,
    seconds: u64,
) -> Result<Vec<String>> {
    if client.routers.is_empty() {
        return Err(Error::NoRouter);
    }
    let deadline = Instant::now() + Duration::from_secs(seconds);
    loop {
        let mut inactive = Vec::new();
        for router in &client.routers {
            match client.status(router).await {
                Ok(status) if status.revision >= revision => {}
                _ => inactive.push(router.clone()),
            }
        }
        if inactive.is_empty() {
            return Ok(client.routers.clone());
        }
        if Instant::now() >= deadline {
            return Err(Error::NotActive(revision, inactive));
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Prints the status of every router given.
pub(super) async fn status(client: &ClusterClient, format: Format) -> Result<ExitCode> {
    if client.routers.is_empty() {
        return Err(Error::NoRouter);
    }
    let mut statuses: Vec<RouterStatus> = Vec::new();
    for router in &client.routers {
        statuses.push(client.status(router).await?);
    }
    format.print(&statuses, || {
        let header = "vm\tfirm\tdata centre\trevision\topen\tunconfirmed\tstopping\n".to_owned();
        statuses.iter().fold(header, |text, row| {
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

/// Prints the members that the first router given knows.
pub(super) async fn members(client: &ClusterClient, format: Format) -> Result<ExitCode> {
    let router = client.routers.first().ok_or(Error::NoRouter)?;
    let members: Vec<serde_json::Value> = client.get_json(router, "/members").await?;
    format.print(&members, || {
        let cell_text = |row: &serde_json::Value, field: &str| {
            row[field]
                .as_str()
                .map_or_else(|| row[field].to_string(), str::to_owned)
        };
        let header = "address\tvm\tdata centre\tstate\trevision\n".to_owned();
        members.iter().fold(header, |lines, row| {
            let columns = ["address", "vm", "data_centre", "state", "revision"];
            let cells: Vec<String> = columns
                .iter()
                .map(|column| cell_text(row, column))
                .collect();
            lines + &cells.join("\t") + "\n"
        })
    });
    Ok(ExitCode::SUCCESS)
}
