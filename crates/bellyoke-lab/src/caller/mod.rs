//! The `caller` subcommand: many clients with real TCP, which check every answer.

mod answer;
mod control;
mod conversation;
mod datagram;
mod exchange;
mod host;
mod options;
mod report;
mod request;
pub mod sources;

use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};

use anyhow::Context;

pub use answer::{Expectation, Outcome, check_answer};
pub use host::CallerHost;
pub use options::{CallerOptions, CallerSettings, Kind, Limit, Target, TargetError};
pub use report::{CallerReport, Counts, Failure};

/// Runs the callers until all requests are done, and writes the report.
///
/// # Errors
///
/// Fails on a malformed command line, or when an address can't be bound or the report can't be written.
pub fn run(arguments: lexopt::Parser) -> anyhow::Result<ExitCode> {
    let options = CallerOptions::parse(arguments)?;
    let host = CallerHost::new(options.settings);
    let host = Arc::new(Mutex::new(host));
    if let Some(address) = options.control {
        let router = control::router(Arc::clone(&host));
        crate::admin::serve(address, router)?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the runtime")?;
    let tunnel = crate::network::run_tunnel(Arc::clone(&host), options.tunnel, options.fabric);
    runtime.block_on(tunnel)?;
    let report = host
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .report()
        .clone();
    let text = serde_json::to_string_pretty(&report).context("write the report as JSON")?;
    std::fs::write(&options.report, text)
        .with_context(|| format!("write {}", options.report.display()))?;
    println!("{}", report.counts);
    Ok(ExitCode::SUCCESS)
}
