//! The command line of the daemon.

use super::settings::SCHEMA;
use bellyoke_process::settings::{self, CommandLine, Problems};
use std::ffi::OsString;

/// What `--help` prints, before the list of flags.
pub const USAGE: &str = "\
bellyoke-node: the daemon that forwards by connection cookie

Usage: bellyoke-node --config FILE [--check] [--SECTION-KEY VALUE]...

  --config FILE   settings file (TOML)
  --check         only check the settings
  --help          this text
  --version       the version

SIGTERM: the node is no longer ready, goes on forwarding for timing.leave_grace_ms and stops;
a second one stops it at once. SIGHUP: the settings are read again.

Every key of the settings has a flag that overrides it; lists are comma-separated:
";

/// All flags that override keys, a line each.
#[must_use]
pub fn flag_list() -> String {
    settings::flag_list(&SCHEMA)
}

/// All keys as a Markdown table.
#[must_use]
pub fn reference_table() -> String {
    settings::reference_table(&SCHEMA)
}

/// Parses the arguments after the program's name.
///
/// # Errors
///
/// All unknown or incomplete flags at once.
pub fn parse_command_line<I>(arguments: I) -> Result<CommandLine, Problems>
where
    I: IntoIterator<Item = OsString>,
{
    settings::parse_command_line(&SCHEMA, arguments)
}
