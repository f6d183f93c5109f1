//! Changing fields of one row.

use std::process::ExitCode;

use peridotslip::tables::TableRow;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{About, Error, Result, tables};
use crate::{output::Format, remote::Remote};

pub(super) async fn edit(
    remote: &Remote,
    about: &About,
    (kind, name): (&str, &str),
    fields: &[String],
    format: Format,
) -> Result<ExitCode> {
    let store = remote.tables()?;
    let mut mine = store.load_tables(&store.manifest().await?.0).await?;
    match kind {
        "route" => edit_row(&mut mine.routes.routes, name, fields)?,
        "pool" => edit_row(&mut mine.pools.pools, name, fields)?,
        "budget" => edit_row(&mut mine.pools.budgets, name, fields)?,
        _ => return Err(Error::NoRow(kind.to_owned(), name.to_owned())),
    }
    tables::publish(remote, about, &mine, format).await
}

/// Sets fields of the row called `name`.
fn edit_row<R: TableRow + DeserializeOwned>(
    rows: &mut [R],
    name: &str,
    fields: &[String],
) -> Result<()> {
    let missing = || Error::NoRow(R::KIND.to_owned(), name.to_owned());
    let row = rows
        .iter_mut()
        .find(|row| row.name() == name)
        .ok_or_else(missing)?;
    for assignment in fields {
        let wrong = |err: String| Error::Field(assignment.clone(), err);
        let (field, text) = assignment
            .split_once('=')
            .ok_or_else(|| wrong("no `=`".to_owned()))?;
        let mut json = serde_json::to_value(&*row).map_err(|err| wrong(err.to_string()))?;
        set(&mut json, field, text).map_err(wrong)?;
        *row = serde_json::from_value(json).map_err(|err| wrong(err.to_string()))?;
    }
    Ok(())
}

fn set(row: &mut Value, field: &str, text: &str) -> std::result::Result<(), String> {
    let Some(fields) = row.as_object_mut() else {
        return Err("the row has no fields".to_owned());
    };
    if text.is_empty() {
        fields.remove(field);
        return Ok(());
    }
    let value: Value = serde_saphyr::from_str(text).map_err(|err| err.to_string())?;
    fields.insert(field.to_owned(), value);
    Ok(())
}
