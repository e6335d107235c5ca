//! The `fabric` subcommand: a network that sprays packets over the balancers and takes replies to the callers.

mod admin;
mod forwarder;
mod links;
mod machines;
mod options;
mod spray;

use std::process::ExitCode;
use std::sync::{Arc, Mutex};

use anyhow::Context;

pub use forwarder::Forwarder;
pub use links::{LinkCounters, Links};
pub use machines::{Machine, MachineList, PollSettings, poll_platform};
pub use options::{FabricOptionError, FabricOptions, Route, SprayMode};
pub use spray::{Destination, Router, RouterSettings};

/// Runs the fabric until the process ends.
///
/// # Errors
///
/// Fails on a malformed command line or when an address can't be bound.
pub fn run(arguments: lexopt::Parser) -> anyhow::Result<ExitCode> {
    let options = FabricOptions::parse(arguments)?;
    let links = Arc::new(Mutex::new(Links::default()));
    if let Some(address) = options.admin {
        let router = admin::router(Arc::clone(&links));
        crate::admin::serve(address, router)?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the runtime")?;
    let machines = Arc::new(Mutex::new(MachineList::fixed(&options.static_balancers)));
    runtime.block_on(async {
        if let Some(poll) = options.poll.clone() {
            tokio::spawn(poll_platform(poll, Arc::clone(&machines)));
        }
        let forwarder = Forwarder::bind(&options, machines, links)?;
        match forwarder.run().await {}
    })
}
