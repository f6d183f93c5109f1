//! Comparing what callers received, what back ends ran and what was billed.

use std::{collections::HashMap, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use peridotslip::ledger::ShardRecord;
use peridotslip_store::{HttpStore, Store};
use serde_json::json;

use crate::serve::Result;

/// Longest wait for one call, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// The store's address
    #[bpaf(argument("IP:PORT"))]
    store: String,
    /// The firm whose ledger is audited
    #[bpaf(argument("NAME"), fallback(String::from("qalam")))]
    firm: String,
    /// Ledger shards
    #[bpaf(argument("N"), fallback(8))]
    shards: u16,
    /// A service's address; may be repeated
    #[bpaf(argument("IP:PORT"), many)]
    service: Vec<String>,
    /// Tokens that bills must add up to
    #[bpaf(argument("N"))]
    billed: u64,
    /// Different calls that the services must have run, each once
    #[bpaf(argument("N"))]
    calls: Option<u64>,
    /// Whether grants may still be out
    granted: bool,
}

/// Prints the figures and succeeds if they agree.
pub(crate) async fn run(options: Options) -> Result<ExitCode> {
    let store = HttpStore::open(&options.store, Duration::from_millis(TIMEOUT_MS))?;
    let (mut settled, mut granted, mut overspend, mut paid) = (0, 0, 0, 0);
    for shard in 0..options.shards {
        let Some(found) = store
            .get(&format!("ledger/{}/{shard}", options.firm))
            .await?
        else {
            continue;
        };
        let record = ShardRecord::decode(&found.value)?;
        for (_, account) in record.accounts() {
            settled += account.settled;
            granted += account.outstanding();
            overspend += account.overspend();
            paid += account.paid;
        }
    }
    let (mut calls, mut repeated) = (0, 0);
    for service in &options.service {
        let reply = reqwest::get(format!("http://{service}/runs")).await?;
        let runs: HashMap<String, u64> = reply.json().await?;
        calls += runs.len() as u64;
        repeated += runs.values().filter(|count| **count > 1).count();
    }
    let clean = settled == options.billed
        && overspend == 0
        && repeated == 0
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
        "repeated_calls": repeated,
    });
    println!("{audit}");
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
