//! Logging of the stand-ins.

use std::io::IsTerminal;

use tracing_subscriber::EnvFilter;

const DEFAULT_FILTER: &str = "info";

/// Sends log events to standard error, filtered by `RUST_LOG`.
pub fn initialize() {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr)
        .init();
}
