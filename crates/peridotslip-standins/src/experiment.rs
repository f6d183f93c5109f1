//! Seeded experiments on the library's decision logic, in simulated time.
//!
//! `ledger` compares ways of spending a budget from many routers, `routing`
//! compares ways of choosing an engine, `size` tells what state and traffic
//! cost as the fleet grows. Each prints one JSON object a line.

mod ledger;
mod routing;
mod size;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::serve::Result;

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Seed of arrivals and sizes
    #[bpaf(argument("N"), fallback(20_261_203))]
    seed: u64,
    /// What to compare: ledger, routing or size
    #[bpaf(positional("WHAT"))]
    what: String,
}

/// Runs an experiment.
pub(crate) fn run(options: &Options) -> Result<ExitCode> {
    match options.what.as_str() {
        "ledger" => ledger::run(options.seed),
        "routing" => routing::run(options.seed),
        "size" => size::run(),
        other => {
            return Err(format!("no experiment `{other}`; name ledger, routing or size").into());
        }
    }
    Ok(ExitCode::SUCCESS)
}
