//! Commands on budgets.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    process::ExitCode,
};

use peridotslip::{ids::BudgetName, ledger::ShardRecord, tables::Budget};
use serde::Serialize;

use super::{About, Error, Result, tables};
use crate::{output::Format, remote::Remote};

/// A budget's figures, in tokens.
#[derive(Serialize)]
struct Row {
    budget: String,
    organisation: String,
    paid: u64,
    settled: u64,
    granted: u64,
    free: u64,
}

/// The firm and shard that hold a budget.
fn place(budget: &Budget, shards: u16) -> (&str, u16) {
    (&budget.firm, budget.organisation.shard(shards))
}

pub(super) async fn budgets(remote: &Remote, shards: u16, format: Format) -> Result<ExitCode> {
    let store = remote.tables()?;
    let tables = store.load_tables(&store.manifest().await?.0).await?;
    let mut records: BTreeMap<(&str, u16), ShardRecord> = BTreeMap::new();
    for budget in &tables.pools.budgets {
        let (firm, shard) = place(budget, shards);
        if let Entry::Vacant(entry) = records.entry((firm, shard)) {
            entry.insert(remote.shard(firm, shard).await?.unwrap_or_default());
        }
    }
    let rows: Vec<Row> = tables
        .pools
        .budgets
        .iter()
        .map(|budget| {
            let record = &records[&place(budget, shards)];
            let account = record.account(&budget.name).cloned().unwrap_or_default();
            let (settled, granted) = (account.settled, account.outstanding());
            Row {
                budget: budget.name.to_string(),
                organisation: budget.organisation.to_string(),
                paid: budget.paid_tokens,
                settled,
                granted,
                free: budget.paid_tokens.saturating_sub(settled + granted),
            }
        })
        .collect();
    format.print(&rows, || {
        let head = "budget\torganisation\tpaid\tsettled\tgranted\tfree\n".to_owned();
        rows.iter().fold(head, |text, row| {
            text + &format!(
                "{}\t{}\t{}\t{}\t{}\t{}\n",
                row.budget, row.organisation, row.paid, row.settled, row.granted, row.free
            )
        })
    });
    Ok(ExitCode::SUCCESS)
}

pub(super) async fn top_up(
    remote: &Remote,
    about: &About,
    budget: &str,
    paid_tokens: u64,
    format: Format,
) -> Result<ExitCode> {
    let store = remote.tables()?;
    let mut mine = store.load_tables(&store.manifest().await?.0).await?;
    let name = BudgetName::from(budget);
    let row = mine
        .pools
        .budgets
        .iter_mut()
        .find(|row| row.name == name)
        .ok_or(Error::NoBudget(name))?;
    row.paid_tokens = paid_tokens;
    tables::publish(remote, about, &mine, format).await
}
