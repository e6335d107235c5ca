//! Command line of the verdict.

use std::path::PathBuf;

use anyhow::{Context, bail};
use lexopt::{Arg, ValueExt};

const USAGE: &str = "usage: bellyoke-lab verdict --caller-report FILE [--caller-report FILE]...
    [--backend http://IP:PORT]... [--backend-report FILE]...

A backend that is gone gives no report: save its /report in time and pass it by --backend-report.
";

/// Where the reports are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VerdictOptions {
    /// Reports of callers.
    pub caller_reports: Vec<PathBuf>,
    /// URLs of backends' admin APIs.
    pub backends: Vec<String>,
    /// Saved reports of backends.
    pub backend_reports: Vec<PathBuf>,
}

impl VerdictOptions {
    /// Reads the command line after the subcommand.
    ///
    /// # Errors
    ///
    /// Fails on an unknown, malformed or missing option.
    pub fn parse(mut arguments: lexopt::Parser) -> anyhow::Result<Self> {
        let mut options = Self::default();
        while let Some(argument) = arguments.next()? {
            match argument {
                Arg::Long("caller-report") => {
                    options.caller_reports.push(arguments.value()?.into())
                }
                Arg::Long("backend") => options.backends.push(arguments.value()?.string()?),
                Arg::Long("backend-report") => {
                    options.backend_reports.push(arguments.value()?.into())
                }
                other => return Err(other.unexpected()).context(USAGE),
            }
        }
        if options.caller_reports.is_empty() {
            bail!("--caller-report is needed\n{USAGE}");
        }
        if options.backends.is_empty() && options.backend_reports.is_empty() {
            bail!("--backend or --backend-report is needed\n{USAGE}");
        }
        Ok(options)
    }
}
