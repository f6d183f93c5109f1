//! The `budgets` and `top-up` sub-commands.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    process::ExitCode,
};

use peridotslip::{ids::BudgetName, ledger::ShardRecord, tables::Budget};
use serde::Serialize;

use super::{Error, PublishOptions, Result, tables};
use crate::{client::ClusterClient, output::Format};

/// The totals of a budget, in tokens.
#[derive(Serialize)]
struct BudgetSummary {
    budget: String,
    organisation: String,
    paid: u64,
    settled: u64,
    /// Tokens granted to routers that may still be spent or owe a settlement.
    granted: u64,
    /// Paid tokens that are neither settled nor granted.
    free: u64,
}

/// Returns the firm and the shard of the ledger that records a budget.
fn ledger_shard(budget: &Budget, shards: u16) -> (&str, u16) {
    (&budget.firm, budget.organisation.shard(shards))
}

/// Prints the totals of all budgets.
pub(super) async fn show(client: &ClusterClient, shards: u16, format: Format) -> Result<ExitCode> {
    let store = client.table_store()?;
    let tables = store.load_tables(&store.manifest().await?.0).await?;
    let mut records: BTreeMap<(&str, u16), ShardRecord> = BTreeMap::new();
    for budget in &tables.pools.budgets {
        let (firm, shard) = ledger_shard(budget, shards);
        if let Entry::Vacant(entry) = records.entry((firm, shard)) {
            entry.insert(client.ledger_record(firm, shard).await?.unwrap_or_default());
        }
    }
    let summaries: Vec<BudgetSummary> = tables
        .pools
        .budgets
        .iter()
        .map(|budget| {
            let record = &records[&ledger_shard(budget, shards)];
            let account = record.account(&budget.name).cloned().unwrap_or_default();
            let (settled, granted) = (account.settled, account.outstanding());
            BudgetSummary {
                budget: budget.name.to_string(),
                organisation: budget.organisation.to_string(),
                paid: budget.paid_tokens,
                settled,
                granted,
                free: budget.paid_tokens.saturating_sub(settled + granted),
            }
        })
        .collect();
    format.print(&summaries, || {
        let header = "budget\torganisation\tpaid\tsettled\tgranted\tfree\n".to_owned();
        summaries.iter().fold(header, |text, summary| {
            text + &format!(
                "{}\t{}\t{}\t{}\t{}\t{}\n",
                summary.budget,
                summary.organisation,
                summary.paid,
                summary.settled,
                summary.granted,
                summary.free
            )
        })
    });
    Ok(ExitCode::SUCCESS)
}

/// Sets the paid amount of a budget and publishes the result.
pub(super) async fn top_up(
    client: &ClusterClient,
    options: &PublishOptions,
    budget: &str,
    paid_tokens: u64,
    format: Format,
) -> Result<ExitCode> {
    let store = client.table_store()?;
    let mut edited = store.load_tables(&store.manifest().await?.0).await?;
    let name = BudgetName::from(budget);
    let row = edited
        .pools
        .budgets
        .iter_mut()
        .find(|row| row.name == name)
        .ok_or(Error::NoSuchBudget(name))?;
    row.paid_tokens = paid_tokens;
    tables::publish(client, options, &edited, format).await
}
