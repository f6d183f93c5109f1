//! The `edit` sub-command.

use std::process::ExitCode;

use peridotslip::tables::TableRow;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Error, PublishOptions, Result, tables};
use crate::{client::ClusterClient, output::Format};

/// Changes fields of one row of the active tables and publishes the result.
pub(super) async fn edit(
    client: &ClusterClient,
    options: &PublishOptions,
    (kind, name): (&str, &str),
    fields: &[String],
    format: Format,
) -> Result<ExitCode> {
    let store = client.table_store()?;
    let mut edited = store.load_tables(&store.manifest().await?.0).await?;
    match kind {
        "route" => edit_row(&mut edited.routes.routes, name, fields)?,
        "pool" => edit_row(&mut edited.pools.pools, name, fields)?,
        "budget" => edit_row(&mut edited.pools.budgets, name, fields)?,
        _ => return Err(Error::NoSuchRow(kind.to_owned(), name.to_owned())),
    }
    tables::publish(client, options, &edited, format).await
}

/// Applies `FIELD=VALUE` assignments to the row with the given name.
fn edit_row<R: TableRow + DeserializeOwned>(
    rows: &mut [R],
    name: &str,
    fields: &[String],
) -> Result<()> {
    let missing = || Error::NoSuchRow(R::KIND.to_owned(), name.to_owned());
    let row = rows
        .iter_mut()
        .find(|row| row.name() == name)
        .ok_or_else(missing)?;
    for assignment in fields {
        let invalid = |err: String| Error::InvalidField(assignment.clone(), err);
        let (field, text) = assignment
            .split_once('=')
            .ok_or_else(|| invalid("no `=`".to_owned()))?;
        let mut json = serde_json::to_value(&*row).map_err(|err| invalid(err.to_string()))?;
        set_field(&mut json, field, text).map_err(invalid)?;
        *row = serde_json::from_value(json).map_err(|err| invalid(err.to_string()))?;
    }
    Ok(())
}

/// Sets a field to a YAML value, or removes the field if the text is empty.
fn set_field(row: &mut Value, field: &str, text: &str) -> std::result::Result<(), String> {
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
