//! Stand-ins for what peridotslip runs between: the platform's store and VM
//! list, a model engine, a plain service, a faulty network, and callers.
//!
//! They are made for tests, demonstrations and measurements only.

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

/// Stand-ins for the platform, back ends, network and callers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// The platform's key-value store
    #[bpaf(command)]
    Store(#[bpaf(external(store::options))] store::Options),
    /// The platform's lagging VM list
    #[bpaf(command)]
    Vms(#[bpaf(external(vms::options))] vms::Options),
    /// A model engine
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::options))] engine::Options),
    /// A plain service whose calls may not be repeated
    #[bpaf(command)]
    Service(#[bpaf(external(service::options))] service::Options),
    /// A TCP relay that cuts, freezes and delays
    #[bpaf(command)]
    Relay(#[bpaf(external(relay::options))] relay::Options),
    /// Sends requests at a given rate and audits the answers and bills
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
    /// Compares designs in simulated time, on the library's decision logic
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::options))] experiment::Options),
    /// Compares callers' tokens, services' runs and the ledger
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
