//! The sub-commands.

mod budgets;
mod check;
mod edit;
mod routers;
mod tables;

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use peridotslip::{
    ids::{BudgetName, Revision},
    ledger, tables as core_tables,
};
use peridotslip_platform::TableError as ConfigurationError;
use peridotslip_store::TableError;
use quick_error::quick_error;

use self::check::{CheckOptions, check_options};
use crate::{client::ClusterClient, files, output::Format};

quick_error! {
    /// An error of a command.
    #[derive(Debug)]
    pub enum Error {
        /// The table files are unusable.
        Files(err: files::Error) {
            from()
            display("{err}")
        }
        /// The tables could not be read or published.
        Tables(err: TableError) {
            from()
            display("{err}")
        }
        /// The tables are invalid.
        InvalidTables(err: core_tables::Error) {
            from()
            display("{err}")
        }
        /// A call to the store failed.
        Store(err: peridotslip_store::Error) {
            from()
            display("{err}")
        }
        /// A ledger record could not be decoded.
        Ledger(err: ledger::Error) {
            from()
            display("{err}")
        }
        /// A router did not respond or its response could not be read.
        RouterUnreachable(address: String, err: String) {
            display("router {address}: {err}; check the address and that the router is running")
        }
        /// A configuration of the platform could not be read.
        Unreadable(file: PathBuf, err: std::io::Error) {
            display("{}: {err}; pass a file that can be read", file.display())
        }
        /// A configuration of the platform could not be parsed.
        Configuration(file: PathBuf, err: ConfigurationError) {
            display("{}: {err}", file.display())
        }
        /// Facts of a deployment were given for the product's own tables.
        FactsWithoutPlatform {
            display("--routers, --region, --evacuated and --retry-ratio apply to a configuration of the platform; pass --platform as well")
        }
        /// Evacuated data centres were given, but not which data centres there are.
        EvacuatedWithoutRegions {
            display("--evacuated needs the deployment's data centres; pass --region DC=REGION for each of them")
        }
        /// No store address was given.
        NoStore {
            display("no store address; pass --store IP:PORT or set PERIDOTSLIP_STORE")
        }
        /// No router address was given.
        NoRouter {
            display("no router address; pass --router IP:PORT for the operators' address of each router")
        }
        /// The budget is not in the pools table.
        NoSuchBudget(budget: BudgetName) {
            display("budget `{budget}` is not in the pools table; see `peridotslip budgets`")
        }
        /// The row to edit does not exist.
        NoSuchRow(kind: String, name: String) {
            display("there is no {kind} `{name}`; pass a route, pool or budget that `peridotslip get` writes")
        }
        /// The assignment to a field is invalid.
        InvalidField(field: String, err: String) {
            display("`{field}`: {err}; pass FIELD=VALUE with a field of the row and a YAML value")
        }
        /// The revision is not active on some routers.
        NotActive(revision: Revision, routers: Vec<String>) {
            display("revision {revision} is not yet active at {}; it remains accepted", routers.join(", "))
        }
    }
}

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code for the error, as the help text of the tool lists it.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidTables(_) | Self::Tables(TableError::Rejected(_)) => 1,
            Self::Files(_)
            | Self::Unreadable(..)
            | Self::Configuration(..)
            | Self::FactsWithoutPlatform
            | Self::EvacuatedWithoutRegions
            | Self::NoStore
            | Self::NoRouter
            | Self::NoSuchBudget(_)
            | Self::NoSuchRow(..)
            | Self::InvalidField(..)
            | Self::Tables(TableError::NoSuchRevision(_)) => 2,
            Self::Tables(TableError::Indeterminate(_)) => 4,
            Self::Tables(_) | Self::Store(_) | Self::Ledger(_) | Self::RouterUnreachable(..) => 3,
            Self::NotActive(..) => 5,
        }
    }
}

/// Commands
#[derive(Clone, Debug, Bpaf)]
#[allow(clippy::doc_markdown)] // The doc comments are the help text.
pub(crate) enum Command {
    /// Check tables before they are sent, without changing anything
    ///
    /// Exit codes: 0 clean, 1 warnings, 2 errors.
    /// Example: peridotslip check examples/tables
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        check_options: CheckOptions,
        /// Directory with routes.yaml and pools.yaml; with --platform, a JSON
        /// file
        #[bpaf(positional("FILE"))]
        path: PathBuf,
    },
    /// Write the active tables into a directory
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 get tables
    #[bpaf(command)]
    Get {
        /// Revision in the history to write instead
        #[bpaf(argument("N"))]
        revision: Option<u64>,
        /// Directory to write routes.yaml and pools.yaml into
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show the changes that `apply` would make
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 diff tables
    #[bpaf(command)]
    Diff {
        /// Directory with routes.yaml and pools.yaml
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Publish the tables in a directory
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 apply --note "new studio" tables
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        publish_options: PublishOptions,
        /// Directory with routes.yaml and pools.yaml
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Change fields of one row of the active tables and publish the result
    ///
    /// A value is YAML; `FIELD=` removes the field.
    /// Example: peridotslip --store 127.0.0.1:7000 edit route muscat-tagline deadline_ms=4000
    #[bpaf(command)]
    Edit {
        #[bpaf(external)]
        publish_options: PublishOptions,
        /// route, pool or budget
        #[bpaf(positional("KIND"))]
        kind: String,
        /// The row's name
        #[bpaf(positional("NAME"))]
        name: String,
        /// Assignments of new values
        #[bpaf(
            positional("FIELD=VALUE"),
            some("at least one FIELD=VALUE is required")
        )]
        fields: Vec<String>,
    },
    /// List the latest revisions
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 history
    #[bpaf(command)]
    History {
        /// Number of revisions
        #[bpaf(argument("N"), fallback(20))]
        count: u64,
    },
    /// Publish the routes and pools of an earlier revision again
    ///
    /// Budgets keep their current paid amounts.
    /// Example: peridotslip --store 127.0.0.1:7000 rollback 12
    #[bpaf(command)]
    Rollback {
        #[bpaf(external)]
        publish_options: PublishOptions,
        /// The earlier revision
        #[bpaf(positional("REVISION"))]
        revision: u64,
    },
    /// Raise the paid amount of a budget
    ///
    /// The amount is the sum of all payments, so repeating the command is
    /// harmless.
    /// Example: peridotslip --store 127.0.0.1:7000 top-up studio-muscat --paid-tokens 2000000
    #[bpaf(command("top-up"))]
    TopUp {
        #[bpaf(external)]
        publish_options: PublishOptions,
        /// Sum of all payments, in tokens
        #[bpaf(argument("TOKENS"))]
        paid_tokens: u64,
        /// Name of the budget
        #[bpaf(positional("BUDGET"))]
        budget: String,
    },
    /// Show the paid, settled, granted and free tokens of each budget
    ///
    /// Example: peridotslip --store 127.0.0.1:7000 budgets
    #[bpaf(command)]
    Budgets {
        /// Number of ledger shards, as in the routers' settings
        #[bpaf(argument("N"), fallback(8))]
        shards: u16,
    },
    /// Show the status of routers
    ///
    /// Example: peridotslip --router 127.0.0.1:7101 status
    #[bpaf(command)]
    Status,
    /// Show the routers that a router knows
    ///
    /// Example: peridotslip --router 127.0.0.1:7101 members
    #[bpaf(command)]
    Members,
    /// Print the hash of the API key on standard input, for the routes table
    ///
    /// Example: printf %s "$KEY" | peridotslip hash-key
    #[bpaf(command("hash-key"))]
    HashKey,
}

/// Options of commands that publish tables.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct PublishOptions {
    /// Author of the change
    #[bpaf(argument("NAME"), env("USER"), fallback(String::from("operator")))]
    author: String,
    /// Reason for the change
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    note: String,
    /// Wait up to this many seconds until the revision is active on every
    /// --router
    #[bpaf(argument("SECONDS"))]
    wait: Option<u64>,
}

/// Runs a command.
pub(crate) async fn run(
    command: Command,
    client: &ClusterClient,
    format: Format,
) -> Result<ExitCode> {
    match command {
        Command::Check {
            check_options,
            path,
        } => check::check(&check_options, &path, format),
        Command::Get { revision, dir } => tables::get(client, revision, &dir, format).await,
        Command::Diff { dir } => tables::diff(client, &dir, format).await,
        Command::Apply {
            publish_options,
            dir,
        } => tables::apply(client, &publish_options, &dir, format).await,
        Command::Edit {
            publish_options,
            kind,
            name,
            fields,
        } => edit::edit(client, &publish_options, (&kind, &name), &fields, format).await,
        Command::History { count } => tables::history(client, count, format).await,
        Command::Rollback {
            publish_options,
            revision,
        } => tables::rollback(client, &publish_options, Revision::from(revision), format).await,
        Command::TopUp {
            publish_options,
            paid_tokens,
            budget,
        } => budgets::top_up(client, &publish_options, &budget, paid_tokens, format).await,
        Command::Budgets { shards } => budgets::show(client, shards, format).await,
        Command::Status => routers::status(client, format).await,
        Command::Members => routers::members(client, format).await,
        Command::HashKey => tables::hash_key(),
    }
}
