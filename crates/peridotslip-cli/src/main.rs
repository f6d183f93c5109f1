//! `peridotslip`: the operators' command-line tool for the routes and pools
//! tables.

mod client;
mod commands;
mod files;
mod output;

use std::process::ExitCode;

use bpaf::{Args, Bpaf};

use crate::commands::Command;

/// Exit code for incorrect usage.
const USAGE_EXIT_CODE: u8 = 2;
/// Width of the help text, in columns.
const HELP_COLUMNS: usize = 100;

/// Edits the routes and pools tables and shows the state of routers and budgets.
///
/// Exit codes: 0 success, 1 rejected (the tables break a rule or another
/// operator changed the same row), 2 incorrect usage or unreadable files, 3 the
/// store or a router is unreachable and nothing was changed, 4 the outcome of a
/// change is unknown (repeating the command is harmless), 5 `--wait` timed out.
/// `check` has others: 0 clean, 1 warnings, 2 errors or incorrect usage.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The store's address; default: the environment variable
    /// `PERIDOTSLIP_STORE`
    #[bpaf(
        long,
        argument("IP:PORT"),
        env("PERIDOTSLIP_STORE"),
        fallback(String::new())
    )]
    store: String,
    /// Address of a router's operators' interface, for status, members and
    /// --wait; repeatable
    #[bpaf(long, argument("IP:PORT"), many)]
    router: Vec<String>,
    /// Output format: text or json
    #[bpaf(long, argument("FORMAT"), fallback(output::Format::Text))]
    output: output::Format,
    #[bpaf(external(commands::command))]
    command: Command,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            return match failure.exit_code() {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::from(USAGE_EXIT_CODE),
            };
        }
    };
    let client = client::ClusterClient {
        store: options.store,
        routers: options.router,
    };
    match commands::run(options.command, &client, options.output).await {
        Ok(code) => code,
        Err(err) => {
            eprintln!("peridotslip: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}
