//! `peridotslipd`: the router daemon, one process per entry VM.

mod backend;
mod clock;
mod context;
mod controllers;
mod filters;
mod logging;
mod metrics;
mod peer;
mod problem;
mod response;
mod server;
mod settings;
mod start;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;

use crate::settings::Settings;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// The peridotslip router daemon.
///
/// Exit codes: 0 after a graceful shutdown or a check that passed, 1 if it
/// could not run, 2 if the settings are invalid.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Run with these settings
    #[bpaf(external)]
    mode: Mode,
}

#[derive(Clone, Debug, Bpaf)]
enum Mode {
    Run {
        /// Settings file (YAML) to run with
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    Edge {
        /// Settings file (YAML) to run an edge router with
        #[bpaf(argument("FILE"))]
        edge: PathBuf,
    },
    Check {
        /// Settings file (YAML) to check, without running
        #[bpaf(argument("FILE"))]
        check: PathBuf,
    },
}

fn main() -> ExitCode {
    let mode = options().run().mode;
    let file = match &mode {
        Mode::Edge { edge } => return run_edge(edge),
        Mode::Run { settings: file } | Mode::Check { check: file } => file,
    };
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("peridotslipd: {err}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches!(mode, Mode::Check { .. }) {
        println!("{}: usable", file.display());
        return ExitCode::SUCCESS;
    }
    match start::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("peridotslipd: failed to run the router: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an edge router with the settings in `file`.
fn run_edge(file: &Path) -> ExitCode {
    let settings = match peridotslip_edge::settings::Settings::load(file) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("peridotslipd: {err}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let outcome = peridotslip_platform::open(&settings.store, &settings.platform_features)
        .and_then(|platform| peridotslip_edge::run(file, settings, platform));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("peridotslipd: failed to run the edge router: {err}");
            ExitCode::FAILURE
        }
    }
}
