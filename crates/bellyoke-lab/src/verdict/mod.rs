//! The `verdict` subcommand: compares what callers were told with what backends did.

mod judge;
mod options;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;

use crate::backend::BackendReport;
use crate::caller::CallerReport;

pub use judge::{Finding, Verdict};
pub use options::VerdictOptions;

/// How long a backend may take to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Findings that are printed of each kind.
const PRINTED_FINDINGS: usize = 20;

/// Prints the verdict; the exit code is success if nothing went wrong.
///
/// # Errors
///
/// Fails on a malformed command line, or when a report can't be had.
pub fn run(arguments: lexopt::Parser) -> anyhow::Result<ExitCode> {
    let options = VerdictOptions::parse(arguments)?;
    let callers = read_reports::<CallerReport>(&options.caller_reports)?;
    let mut backends = read_reports::<BackendReport>(&options.backend_reports)?;
    backends.extend(fetch_reports(&options.backends)?);
    let verdict = Verdict::new(&callers, &backends);
    for line in verdict.findings_text(PRINTED_FINDINGS) {
        println!("{line}");
    }
    println!("{verdict}");
    Ok(if verdict.is_passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn read_reports<T: serde::de::DeserializeOwned>(
    paths: &[impl AsRef<Path>],
) -> anyhow::Result<Vec<T>> {
    paths
        .iter()
        .map(|path| read_report(path.as_ref()))
        .collect()
}

fn read_report<T: serde::de::DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let text = std::fs::read(path).with_context(|| format!("read {}", path.display()))?;
    serde_json::from_slice(&text).with_context(|| format!("{} isn't a report", path.display()))
}

fn fetch_reports(urls: &[String]) -> anyhow::Result<Vec<BackendReport>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the runtime")?;
    let client = reqwest::Client::new();
    let mut reports = Vec::new();
    for url in urls {
        let report = runtime
            .block_on(fetch_report(&client, url))
            .with_context(|| format!("fetch the report of {url}"))?;
        reports.push(report);
    }
    Ok(reports)
}

async fn fetch_report(client: &reqwest::Client, url: &str) -> anyhow::Result<BackendReport> {
    let request = client.get(format!("{url}/report")).timeout(REQUEST_TIMEOUT);
    let response = request.send().await?.error_for_status()?;
    Ok(response.json().await?)
}
