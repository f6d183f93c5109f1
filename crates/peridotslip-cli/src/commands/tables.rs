//! Commands on the two tables.

use std::{io::Read, path::Path, process::ExitCode};

use peridotslip::{
    ids::Revision,
    tables::{ApiKeyHash, Tables},
};
use serde_json::json;

use super::{About, Result, routers};
use crate::{
    files,
    output::{self, Format},
    remote::Remote,
};

/// Refuses tables that break a rule.
fn check_rules(tables: &Tables) -> Result<()> {
    let violations = tables.violations();
    if violations.is_empty() {
        Ok(())
    } else {
        Err(peridotslip::tables::Error::Invalid(violations).into())
    }
}

pub(super) fn check(dir: &Path, format: Format) -> Result<ExitCode> {
    let loaded = files::load(dir)?;
    check_rules(&loaded.tables)?;
    let (routes, pools) = (
        loaded.tables.routes.routes.len(),
        loaded.tables.pools.pools.len(),
    );
    format.print(
        &json!({ "usable": true, "routes": routes, "pools": pools }),
        || format!("usable: {routes} routes, {pools} pools\n"),
    );
    Ok(ExitCode::SUCCESS)
}

pub(super) async fn get(
    remote: &Remote,
    revision: Option<u64>,
    dir: &Path,
    format: Format,
) -> Result<ExitCode> {
    let store = remote.tables()?;
    let manifest = match revision {
        Some(revision) => store.manifest_at(Revision::from(revision)).await?,
        None => store.manifest().await?.0,
    };
    let tables = store.load_tables(&manifest).await?;
    files::save(dir, &tables)?;
    format.print(&json!({ "revision": tables.revision }), || {
        format!("revision {} is in {}\n", tables.revision, dir.display())
    });
    Ok(ExitCode::SUCCESS)
}

/// The tables of a directory, with the revision that their edit began from.
async fn load_edit(remote: &Remote, dir: &Path) -> Result<Tables> {
    let loaded = files::load(dir)?;
    check_rules(&loaded.tables)?;
    let mut tables = loaded.tables;
    if loaded.revision.is_none() {
        tables.revision = remote.tables()?.manifest().await?.0.revision;
    }
    Ok(tables)
}

pub(super) async fn diff(remote: &Remote, dir: &Path, format: Format) -> Result<ExitCode> {
    let mine = load_edit(remote, dir).await?;
    let store = remote.tables()?;
    let base = match mine.revision.value() {
        0 => Tables::default(),
        _ => {
            store
                .load_tables(&store.manifest_at(mine.revision).await?)
                .await?
        }
    };
    let current = store.load_tables(&store.manifest().await?.0).await?;
    let merged = mine.rebase(&base, &current)?;
    let changes = current.changes_to(&merged);
    format.print(&changes, || output::changes(&changes));
    Ok(ExitCode::SUCCESS)
}

pub(super) async fn apply(
    remote: &Remote,
    about: &About,
    dir: &Path,
    format: Format,
) -> Result<ExitCode> {
    let mine = load_edit(remote, dir).await?;
    publish(remote, about, &mine, format).await
}

/// Publishes an edit, and waits for the routers if asked to.
pub(super) async fn publish(
    remote: &Remote,
    about: &About,
    mine: &Tables,
    format: Format,
) -> Result<ExitCode> {
    let store = remote.tables()?;
    let revision = store.publish(mine, &about.author, &about.note).await?;
    let in_force = match about.wait {
        Some(seconds) => routers::wait(remote, revision, seconds).await?,
        None => Vec::new(),
    };
    format.print(
        &json!({ "revision": revision, "in_force": in_force }),
        || {
            let mut text = format!("accepted as revision {revision}\n");
            for router in &in_force {
                text += "in force at ";
                text += router;
                text += "\n";
            }
            text
        },
    );
    Ok(ExitCode::SUCCESS)
}

pub(super) async fn history(remote: &Remote, count: u64, format: Format) -> Result<ExitCode> {
    let store = remote.tables()?;
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

pub(super) async fn rollback(
    remote: &Remote,
    about: &About,
    revision: Revision,
    format: Format,
) -> Result<ExitCode> {
    let store = remote.tables()?;
    let mut old = store
        .load_tables(&store.manifest_at(revision).await?)
        .await?;
    let current = store.load_tables(&store.manifest().await?.0).await?;
    old.pools.budgets = current.pools.budgets;
    old.revision = current.revision;
    publish(remote, about, &old, format).await
}

pub(super) fn hash_key() -> Result<ExitCode> {
    let mut key = String::new();
    let read = std::io::stdin().read_to_string(&mut key);
    read.map_err(|err| files::Error::Io("standard input".into(), err))?;
    println!("{}", ApiKeyHash::of(key.trim_end_matches('\n')));
    Ok(ExitCode::SUCCESS)
}
