//! Fakes of the systems around peridotslip, for tests, demonstrations and
//! measurements: the platform's store and VM list, a model engine, a service, a
//! faulty network and callers.

mod engine;
mod experiment;
mod load;
mod relay;
mod serve;
mod service;
mod store;
mod vms;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Fakes of the platform, backend servers, network and callers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Serves a fake of the platform's key-value store
    #[bpaf(command)]
    Store(#[bpaf(external(store::options))] store::Options),
    /// Serves a fake of the platform's VM list, with a delay
    #[bpaf(command)]
    Vms(#[bpaf(external(vms::options))] vms::Options),
    /// Serves a fake model engine
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::options))] engine::Options),
    /// Serves a fake service whose calls are not idempotent
    #[bpaf(command)]
    Service(#[bpaf(external(service::options))] service::Options),
    /// Runs a TCP proxy that injects network faults
    #[bpaf(command)]
    Relay(#[bpaf(external(relay::options))] relay::Options),
    /// Sends requests at a given rate and verifies the responses
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
    /// Compares designs in simulated time, on the library's decision logic
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::options))] experiment::Options),
    /// Compares the tokens billed, the calls executed and the ledger totals
    #[bpaf(command)]
    Audit(#[bpaf(external(load::audit_options))] load::AuditOptions),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match command().run() {
        Command::Store(options) => store::run(options).await,
        Command::Vms(options) => vms::run(options).await,
        Command::Engine(options) => engine::run(options).await,
        Command::Service(options) => service::run(options).await,
        Command::Relay(options) => relay::run(options).await,
        Command::Load(options) => load::run(options).await,
        Command::Experiment(options) => experiment::run(&options),
        Command::Audit(options) => load::audit(options).await,
    };
    match result {
        Ok(code) => code,
        Err(err) => {
            eprintln!("peridotslip-standins: {err}");
            ExitCode::from(2)
        }
    }
}
