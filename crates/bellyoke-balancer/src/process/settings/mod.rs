//! Settings: a TOML file and flags that override it.
//!
//! All problems are found in one go. The keys stand in one list, [`descriptor::KEYS`].

mod clash;
pub mod descriptor;
mod load;
mod typed;

pub use bellyoke_process::settings::{CommandLine, Override, Problem, Problems};
pub use load::{LoadedSettings, load_settings};
pub use typed::{
    ClusterSettings, FabricSettings, LimitSettings, LogFormat, LogLevel, LogSettings, NodeSettings,
    PlatformSettings, Settings, TimingSettings, TrafficSettings,
};

use bellyoke_process::settings;
use descriptor::SCHEMA;
use std::ffi::OsString;
use toml::Table;

/// What `--help` prints, before the list of flags.
pub const USAGE: &str = "\
bellyoke-balancer: the balancer daemon

Usage: bellyoke-balancer --config FILE [--check] [--SECTION-KEY VALUE]...

  --config FILE   settings file (TOML)
  --check         only check the settings
  --help          this text
  --version       the version

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

/// Reads settings from the text of a file and the flags that override it.
///
/// # Errors
///
/// All problems at once: unknown keys, wrong types, values out of range and clashes.
pub fn parse_settings(text: &str, overrides: &[Override]) -> Result<Settings, Problems> {
    let (table, problems) = checked_table(text, overrides)?;
    if problems.is_empty() {
        settings::into_typed(&SCHEMA, table)
    } else {
        Err(Problems(problems))
    }
}

/// The table with its defaults filled in, and all that is wrong with it.
fn checked_table(text: &str, overrides: &[Override]) -> Result<(Table, Vec<Problem>), Problems> {
    let (table, mut problems) = settings::checked_table(&SCHEMA, text, overrides)?;
    problems.extend(clash::find_clashes(&table));
    Ok((table, problems))
}
