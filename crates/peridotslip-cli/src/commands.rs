//! The subcommands.

mod edit;
mod money;
mod routers;
mod tables;

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use peridotslip::{
    ids::{BudgetName, Revision},
    ledger, tables as rows,
};
use peridotslip_store::TableError;
use quick_error::quick_error;

use crate::{files, output::Format, remote::Remote};

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The files can't be used.
        Files(err: files::Error) {
            from()
            display("{err}")
        }
        /// The tables can't be read or published.
        Tables(err: TableError) {
            from()
            display("{err}")
        }
        /// The tables break rules.
        Rules(err: rows::Error) {
            from()
            display("{err}")
        }
        /// The store can't be reached.
        Store(err: peridotslip_store::Error) {
            from()
            display("{err}")
        }
        /// A ledger record can't be read.
        Ledger(err: ledger::Error) {
            from()
            display("{err}")
        }
        /// A router can't be reached.
        Router(address: String, err: String) {
            display("router {address}: {err}; check the address and that the router runs")
        }
        /// No store was named.
        NoStore {
            display("no store; give --store IP:PORT or set PERIDOTSLIP_STORE")
        }
        /// No router was named.
        NoRouter {
            display("no router; give --router IP:PORT once for each router's operators' address")
        }
        /// A budget isn't in the tables.
        NoBudget(budget: BudgetName) {
            display("budget `{budget}` is not in the pools table; see `peridotslip budgets`")
        }
        /// There is no row to edit.
        NoRow(kind: String, name: String) {
            display("there is no {kind} `{name}`; name a route, pool or budget that `peridotslip get` shows")
        }
        /// A field can't have the value.
        Field(field: String, err: String) {
            display("`{field}`: {err}; write FIELD=VALUE with a field of the row and a YAML value")
        }
        /// Some routers don't have the revision in force.
        NotInForce(revision: Revision, missing: Vec<String>) {
            display("revision {revision} is not yet in force at {}; it stays accepted", missing.join(", "))
        }
    }
}

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// The exit code that stands for the error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Rules(_) | Self::Tables(TableError::Rejected(_)) => 1,
            Self::Files(_)
            | Self::NoStore
            | Self::NoRouter
            | Self::NoBudget(_)
            | Self::NoRow(..)
            | Self::Field(..)
            | Self::Tables(TableError::NoSuchRevision(_)) => 2,
            Self::Tables(TableError::Indeterminate(_)) => 4,
            Self::Tables(_) | Self::Store(_) | Self::Ledger(_) | Self::Router(..) => 3,
            Self::NotInForce(..) => 5,
        }
    }
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
#[allow(clippy::doc_markdown)] // The doc comments are the help text.
pub(crate) enum Command {
    /// Check the tables in a directory, without changing anything
    ///
    /// Example: peridotslip check examples/tables
    #[bpaf(command)]
    Check {
        /// Directory with routes.yaml and pools.yaml
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Write the tables in force into a directory
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 get tables
    #[bpaf(command)]
    Get {
        /// Get this revision from the history
        #[bpaf(argument("N"))]
        revision: Option<u64>,
        /// Directory to write routes.yaml and pools.yaml into
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show what `apply` would change
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 diff tables
    #[bpaf(command)]
    Diff {
        /// Directory with routes.yaml and pools.yaml
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Put the tables in a directory in force
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 apply --note "new studio" tables
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        about: About,
        /// Directory with routes.yaml and pools.yaml
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Change fields of one row of the tables in force and apply the result
    ///
    /// A value is YAML; `FIELD=` removes the field.
    /// Example: peridotslip --store 127.0.0.1:7000 edit route muscat-tagline deadline_ms=4000
    #[bpaf(command)]
    Edit {
        #[bpaf(external)]
        about: About,
        /// route, pool or budget
        #[bpaf(positional("KIND"))]
        kind: String,
        /// The row's name
        #[bpaf(positional("NAME"))]
        name: String,
        /// The new values
        #[bpaf(positional("FIELD=VALUE"), some("name at least one FIELD=VALUE"))]
        fields: Vec<String>,
    },
    /// List the revisions
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 history
    #[bpaf(command)]
    History {
        /// How many
        #[bpaf(argument("N"), fallback(20))]
        count: u64,
    },
    /// Put the routes and pools of an earlier revision in force again
    ///
    /// Budgets keep what was paid since.
    /// Example: peridotslip --store 127.0.0.1:7000 rollback 12
    #[bpaf(command)]
    Rollback {
        #[bpaf(external)]
        about: About,
        /// The revision to go back to
        #[bpaf(positional("REVISION"))]
        revision: u64,
    },
    /// Raise what was paid into a budget
    ///
    /// The figure is the sum of all payments, so repeating the command is
    /// harmless.
    /// Example: peridotslip --store 127.0.0.1:7000 top-up studio-muscat --paid-tokens 2000000
    #[bpaf(command("top-up"))]
    TopUp {
        #[bpaf(external)]
        about: About,
        /// Sum of all payments, in tokens
        #[bpaf(argument("TOKENS"))]
        paid_tokens: u64,
        /// The budget
        #[bpaf(positional("BUDGET"))]
        budget: String,
    },
    /// Show what was paid, settled and granted for each budget
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 budgets
    #[bpaf(command)]
    Budgets {
        /// Ledger shards, as in the routers' settings
        #[bpaf(argument("N"), fallback(8))]
        shards: u16,
    },
    /// Show how routers are
    ///
    /// Example: peridotslip --router 127.0.0.1:7101 status
    #[bpaf(command)]
    Status,
    /// Show which routers a router knows
    ///
    /// Example: peridotslip --router 127.0.0.1:7101 members
    #[bpaf(command)]
    Members,
    /// Print the hash of a caller's key, read from standard input, for the
    /// routes table
    ///
    /// Example: printf %s "$KEY" | peridotslip hash-key
    #[bpaf(command("hash-key"))]
    HashKey,
}

/// What is recorded about a change, and whether to wait for it.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct About {
    /// Who makes the change
    #[bpaf(argument("NAME"), env("USER"), fallback(String::from("operator")))]
    author: String,
    /// Why
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    note: String,
    /// Wait so many seconds for all --router to have it in force
    #[bpaf(argument("SECONDS"))]
    wait: Option<u64>,
}

/// Runs a command.
pub(crate) async fn run(command: Command, remote: &Remote, format: Format) -> Result<ExitCode> {
    match command {
        Command::Check { dir } => tables::check(&dir, format),
        Command::Get { revision, dir } => tables::get(remote, revision, &dir, format).await,
        Command::Diff { dir } => tables::diff(remote, &dir, format).await,
        Command::Apply { about, dir } => tables::apply(remote, &about, &dir, format).await,
        Command::Edit {
            about,
            kind,
            name,
            fields,
        } => edit::edit(remote, &about, (&kind, &name), &fields, format).await,
        Command::History { count } => tables::history(remote, count, format).await,
        Command::Rollback { about, revision } => {
            tables::rollback(remote, &about, Revision::from(revision), format).await
        }
        Command::TopUp {
            about,
            paid_tokens,
            budget,
        } => money::top_up(remote, &about, &budget, paid_tokens, format).await,
        Command::Budgets { shards } => money::budgets(remote, shards, format).await,
        Command::Status => routers::status(remote, format).await,
        Command::Members => routers::members(remote, format).await,
        Command::HashKey => tables::hash_key(),
    }
}
