//! Sub-commands that read or publish the routes and pools tables.

use std::{io::Read, path::Path, process::ExitCode};

use peridotslip::{
    ids::Revision,
    tables::{ApiKeyHash, Tables},
};
use serde_json::json;

use super::{PublishOptions, Result, routers};
use crate::{
    client::ClusterClient,
    files,
    output::{self, Format},
};

/// Returns an error if the tables break a rule.
fn validate(tables: &Tables) -> Result<()> {
    let violations = tables.violations();
    if violations.is_empty() {
        Ok(())
    } else {
        Err(peridotslip::tables::Error::Invalid(violations).into())
    }
}

/// Writes the active tables, or those of a revision, into a directory.
pub(super) async fn get(
    client: &ClusterClient,
    revision: Option<u64>,
    dir: &Path,
    format: Format,
) -> Result<ExitCode> {
    let store = client.table_store()?;
    let manifest = match revision {
        Some(revision) => store.manifest_at(Revision::from(revision)).await?,
        None => store.manifest().await?.0,
    };
    let tables = store.load_tables(&manifest).await?;
    files::save(dir, &tables)?;
    format.print(&json!({ "revision": tables.revision }), || {
        format!("wrote revision {} to {}\n", tables.revision, dir.display())
    });
    Ok(ExitCode::SUCCESS)
}

/// Loads and validates the tables in a directory. The base of tables without a
/// revision is the active revision, so that the tables replace the active tables.
async fn load_edit(client: &ClusterClient, dir: &Path) -> Result<Tables> {
    let loaded = files::load(dir)?;
    validate(&loaded.tables)?;
    let mut tables = loaded.tables;
    if loaded.base_revision.is_none() {
        tables.revision = client.table_store()?.manifest().await?.0.revision;
    }
    Ok(tables)
}

/// Prints the changes that publishing the tables in a directory would make.
pub(super) async fn diff(client: &ClusterClient, dir: &Path, format: Format) -> Result<ExitCode> {
    let edited = load_edit(client, dir).await?;
    let store = client.table_store()?;
    let base = match edited.revision.value() {
        0 => Tables::default(),
        _ => {
            store
                .load_tables(&store.manifest_at(edited.revision).await?)
                .await?
        }
    };
    let current = store.load_tables(&store.manifest().await?.0).await?;
    let merged = edited.rebase(&base, &current)?;
    let changes = current.changes_to(&merged);
    format.print(&changes, || output::format_changes(&changes));
    Ok(ExitCode::SUCCESS)
}

/// Publishes the tables in a directory.
pub(super) async fn apply(
    client: &ClusterClient,
    options: &PublishOptions,
    dir: &Path,
    format: Format,
) -> Result<ExitCode> {
    let edited = load_edit(client, dir).await?;
    publish(client, options, &edited, format).await
}

/// Publishes edited tables. With `--wait`, also waits until the revision is
/// active on all routers given.
pub(super) async fn publish(
    client: &ClusterClient,
    options: &PublishOptions,
    edited: &Tables,
    format: Format,
) -> Result<ExitCode> {
    let store = client.table_store()?;
    let revision = store
        .publish(edited, &options.author, &options.note)
        .await?;
    let active = match options.wait {
        Some(seconds) => routers::wait_until_active(client, revision, seconds).await?,
        None => Vec::new(),
    };
    format.print(&json!({ "revision": revision, "in_force": active }), || {
        let mut text = format!("accepted as revision {revision}\n");
        for router in &active {
            text += "active at ";
            text += router;
            text += "\n";
        }
        text
    });
    Ok(ExitCode::SUCCESS)
}

/// Prints the latest `count` revisions, newest first.
pub(super) async fn history(
    client: &ClusterClient,
    count: u64,
    format: Format,
) -> Result<ExitCode> {
    let store = client.table_store()?;
    let (manifest, _) = store.manifest().await?;
    let newest = manifest.revision.value();
    let mut rows = Vec::new();
    for revision in (1..=newest)
        .rev()
        .take(usize::try_from(count).unwrap_or(usize::MAX))
    {
        let manifest = store.manifest_at(Revision::from(revision)).await?;
        rows.push(json!({
            "revision": manifest.revision,
            "author": manifest.author,
            "note": manifest.note,
            "at_ms": manifest.at_ms,
        }));
    }
    format.print(&rows, || {
        let line = |row: &serde_json::Value| {
            format!("{}\t{}\t{}\n", row["revision"], row["author"], row["note"])
        };
        rows.iter().map(line).collect::<Vec<String>>().concat()
    });
    Ok(ExitCode::SUCCESS)
}

/// Publishes the routes and pools of an earlier revision with the current
/// budgets.
pub(super) async fn rollback(
    client: &ClusterClient,
    options: &PublishOptions,
    revision: Revision,
    format: Format,
) -> Result<ExitCode> {
    let store = client.table_store()?;
    let mut earlier = store
        .load_tables(&store.manifest_at(revision).await?)
        .await?;
    let current = store.load_tables(&store.manifest().await?.0).await?;
    earlier.pools.budgets = current.pools.budgets;
    earlier.revision = current.revision;
    publish(client, options, &earlier, format).await
}

/// Prints the hash of the API key on standard input.
pub(super) fn hash_key() -> Result<ExitCode> {
    let mut key = String::new();
    let read = std::io::stdin().read_to_string(&mut key);
    read.map_err(|err| files::Error::Io("standard input".into(), err))?;
    println!("{}", ApiKeyHash::of(key.trim_end_matches('\n')));
    Ok(ExitCode::SUCCESS)
}
