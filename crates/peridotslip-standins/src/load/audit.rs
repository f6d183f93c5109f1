//! An audit that compares the tokens received by callers, the calls executed by
//! services and the totals of the ledger.

use std::{collections::HashMap, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use peridotslip::ledger::ShardRecord;
use peridotslip_store::{HttpStore, Store};
use serde_json::json;

use crate::serve::Result;

/// Timeout of a call to the store, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// The store's address
    #[bpaf(argument("IP:PORT"))]
    store: String,
    /// The firm whose ledger is audited
    #[bpaf(argument("NAME"), fallback(String::from("qalam")))]
    firm: String,
    /// Number of ledger shards
    #[bpaf(argument("N"), fallback(8))]
    shards: u16,
    /// A service's address; repeatable
    #[bpaf(argument("IP:PORT"), many)]
    service: Vec<String>,
    /// Expected sum of the settled tokens
    #[bpaf(argument("N"))]
    billed: u64,
    /// Expected number of distinct calls that the services executed; each may be
    /// executed only once
    #[bpaf(argument("N"))]
    calls: Option<u64>,
    /// Allow outstanding grants
    granted: bool,
}

/// Prints the totals as JSON and succeeds if the totals agree with the expected
/// values, no budget is overspent and no call was executed twice.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let store = HttpStore::open(&options.store, Duration::from_millis(TIMEOUT_MS))?;
    let (mut settled, mut granted, mut overspend, mut paid) = (0, 0, 0, 0);
    for shard in 0..options.shards {
        let Some(stored) = store
            .get(&format!("ledger/{}/{shard}", options.firm))
            .await?
        else {
            continue;
        };
        let record = ShardRecord::decode(&stored.value)?;
        for (_, account) in record.accounts() {
            settled += account.settled;
            granted += account.outstanding();
            overspend += account.overspend();
            paid += account.paid;
        }
    }
    let (mut calls, mut repeated_calls) = (0, 0);
    for service in &options.service {
        let response = reqwest::get(format!("http://{service}/runs")).await?;
        let runs: HashMap<String, u64> = response.json().await?;
        calls += runs.len() as u64;
        repeated_calls += runs.values().filter(|count| **count > 1).count();
    }
    let clean = settled == options.billed
        && overspend == 0
        && repeated_calls == 0
        && (granted == 0 || options.granted)
        && options.calls.is_none_or(|expected| expected == calls);
    let audit = json!({
        "clean": clean,
        "paid": paid,
        "settled": settled,
        "expected": options.billed,
        "granted": granted,
        "overspend": overspend,
        "calls": calls,
        "repeated_calls": repeated_calls,
    });
    println!("{audit}");
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
