//! Seeded experiments on the library's decision logic, in simulated time.
//!
//! - `ledger` compares schemes for spending one budget from many routers.
//! - `routing` compares policies for choosing an engine.
//! - `size` measures the size of state and the cost of traffic as the fleet and
//!   the tables grow.
//!
//! Each experiment prints one JSON object per line.

mod ledger;
mod routing;
mod size;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::serve::Result;

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Seed for arrival times and request sizes
    #[bpaf(argument("N"), fallback(20_261_203))]
    seed: u64,
    /// Name of the experiment: ledger, routing or size
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
            return Err(
                format!("unknown experiment `{other}`; expected ledger, routing or size").into(),
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}
