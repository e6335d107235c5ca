//! The command line of the daemon.

use super::settings::SCHEMA;
use bellyoke_process::settings::{self, CommandLine, Problems};
use std::ffi::OsString;

/// The text that `--help` prints before the list of flags.
pub const USAGE: &str = "\
bellyoke-node: load balancer daemon that forwards packets by connection cookie

Usage: bellyoke-node --config FILE [--check] [--SECTION-KEY VALUE]...

  --config FILE   settings file (TOML)
  --check         validate the settings and exit
  --help          print this help
  --version       print the version

SIGTERM: the node reports that it is not ready, continues to forward for timing.leave_grace_ms
and stops; a second SIGTERM stops it immediately. SIGHUP: reloads the settings.

Every settings key has a flag that overrides it; lists are comma-separated:
";

/// Returns the help text of all flags that override keys, one per line.
#[must_use]
pub fn flag_list() -> String {
    settings::flag_list(&SCHEMA)
}

/// Returns all keys as a Markdown table.
#[must_use]
pub fn reference_table() -> String {
    settings::reference_table(&SCHEMA)
}

/// Parses the command-line arguments that follow the program name.
///
/// # Errors
///
/// Returns all unknown and incomplete flags.
pub fn parse_command_line<I>(arguments: I) -> Result<CommandLine, Problems>
where
    I: IntoIterator<Item = OsString>,
{
    settings::parse_command_line(&SCHEMA, arguments)
}
