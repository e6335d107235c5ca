//! The `backend` subcommand: a server with real TCP, a few slots and an admin API.

mod admin;
mod connection;
mod flows;
mod host;
mod listeners;
mod options;
mod report;
mod requests;
mod services;
mod work;

use std::process::ExitCode;
use std::sync::{Arc, Mutex};

use anyhow::Context;

pub use host::{BackendHost, Lie};
pub use options::{BackendOptions, BackendSettings};
pub use report::BackendReport;
pub use work::{Admission, Cancellation, ConnectionId, WorkEvent, WorkQueue};

/// Runs the backend until the process ends.
///
/// # Errors
///
/// Fails on a malformed command line or when an address can't be bound.
pub fn run(arguments: lexopt::Parser) -> anyhow::Result<ExitCode> {
    let options = BackendOptions::parse(arguments)?;
    let host = BackendHost::new(options.settings);
    let host = Arc::new(Mutex::new(host));
    let router = admin::router(Arc::clone(&host));
    crate::admin::serve(options.admin, router)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the runtime")?;
    runtime.block_on(crate::network::run_tunnel(
        host,
        options.tunnel,
        options.fabric,
    ))?;
    Ok(ExitCode::SUCCESS)
}
