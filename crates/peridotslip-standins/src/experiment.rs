//! Seeded experiments on the library's decision logic, in simulated time.
//!
//! `ledger` compares ways of spending a budget from many routers, `routing`
//! compares ways of choosing an engine. Each prints one JSON object a line.

mod ledger;
mod routing;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::serve::Result;

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Seed of arrivals and sizes
    #[bpaf(argument("N"), fallback(20_261_203))]
    seed: u64,
    /// What to compare: ledger or routing
    #[bpaf(positional("WHAT"))]
    what: String,
}

/// Runs an experiment.
pub(crate) fn run(options: &Options) -> Result<ExitCode> {
    match options.what.as_str() {
        "ledger" => ledger::run(options.seed),
        "routing" => routing::run(options.seed),
        other => return Err(format!("no experiment `{other}`; name ledger or routing").into()),
    }
    Ok(ExitCode::SUCCESS)
}
