//! `peridotslip`: the operators' tool for the two tables.

mod commands;
mod files;
mod output;
mod remote;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::commands::Command;

/// Edits the routes and pools tables and shows what the routers do.
///
/// Exit codes: 0 done, 1 refused (the tables break a rule or another operator
/// changed the same row), 2 wrong usage or unreadable files, 3 the store or a
/// router can't be reached and nothing was changed, 4 it is unknown whether a
/// change is in force (repeating it is harmless), 5 `--wait` ran out.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The store's address; the variable `PERIDOTSLIP_STORE` by default
    #[bpaf(
        long,
        argument("IP:PORT"),
        env("PERIDOTSLIP_STORE"),
        fallback(String::new())
    )]
    store: String,
    /// A router's operators' address, for status, members and --wait; may be
    /// repeated
    #[bpaf(long, argument("IP:PORT"), many)]
    router: Vec<String>,
    /// How results are printed: text or json
    #[bpaf(long, argument("FORMAT"), fallback(output::Format::Text))]
    output: output::Format,
    #[bpaf(external(commands::command))]
    command: Command,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = options().run();
    let remote = remote::Remote {
        store: options.store,
        routers: options.router,
    };
    match commands::run(options.command, &remote, options.output).await {
        Ok(code) => code,
        Err(err) => {
            eprintln!("peridotslip: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}
