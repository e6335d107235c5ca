//! The commands.

mod check;
mod describe;
mod get;
mod nodes;
mod rollout;
mod write;

pub use check::check_documents;
pub use describe::{describe_backend, describe_service};
pub use get::{backend_table, balancer_table, generation_report, service_table};
pub use nodes::nodes_report;
pub use rollout::{RolloutView, rollout_report};
pub use write::dry_run_report;

use crate::arguments::{Arguments, Command, HELP};
use crate::change;
use crate::failure::Failure;
use crate::output::Report;
use serde_json::json;

/// Runs a command.
///
/// # Errors
/// A numbered failure.
pub async fn run(arguments: &Arguments) -> Result<Report, Failure> {
    let options = &arguments.options;
    match &arguments.command {
        Command::Help => Ok(Report::new(HELP, &json!({ "help": HELP }))),
        Command::Version => Ok(version()),
        Command::Check(path) => check::run(path),
        Command::Get(listing) => get::run(options, *listing).await,
        Command::Describe(kind, name) => describe::run(options, *kind, name).await,
        Command::Nodes => nodes::run(options).await,
        Command::RolloutStatus(rollout) => rollout::run(options, *rollout).await,
        Command::Apply(path) => {
            let documents = crate::documents::read_file(path)?;
            write::run(options, |objects| Ok(change::apply(objects, documents))).await
        }
        Command::Label(name, labels) => {
            write::run(options, |objects| change::label(objects, name, labels)).await
        }
        Command::Select(name, selectors) => {
            write::run(options, |objects| change::select(objects, name, selectors)).await
        }
        Command::SetDrain(name, drain) => {
            write::run(options, |objects| change::set_drain(objects, name, *drain)).await
        }
        Command::Delete(kind, name) => {
            write::run(options, |objects| change::delete(objects, *kind, name)).await
        }
    }
}

fn version() -> Report {
    let version = env!("CARGO_PKG_VERSION");
    Report::new(
        format!("bellyoke {version}\n"),
        &json!({ "version": version }),
    )
}
