//! Command-line parsing. Every settings key has a flag that overrides it.

use super::descriptor::{KeyDescriptor, Schema, ValueKind};
use super::problem::{Problem, Problems};
use super::table::literal_value;
use bellyoke_api::result_code::ResultCode;
use lexopt::{Arg, Parser};
use std::ffi::OsString;
use std::path::PathBuf;
use toml::Value;

/// Returns the help text of all flags that override keys, one per line.
#[must_use]
pub fn flag_list(schema: &Schema) -> String {
    let lines = schema.keys.iter().map(|descriptor| {
        let flag = descriptor.flag();
        format!(
            "  --{flag:<34} {} ({})\n",
            descriptor.kind, descriptor.default
        )
    });
    lines.collect()
}

/// A flag that overrides a key.
#[derive(Clone, Debug)]
pub struct Override {
    /// The overridden key.
    pub descriptor: &'static KeyDescriptor,
    /// The value given on the command line.
    pub value: Value,
}

/// The action requested on the command line.
#[derive(Clone, Debug)]
pub enum CommandLine {
    /// Run the daemon, or only validate the settings.
    Run {
        /// Path of the settings file, if specified.
        config: Option<PathBuf>,
        /// Flags that override keys of the file.
        overrides: Vec<Override>,
        /// Only validate the settings.
        check_only: bool,
    },
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
}

/// Parses the command-line arguments that follow the program name.
///
/// # Errors
///
/// Returns all unknown and incomplete flags.
pub fn parse_command_line<I>(schema: &Schema, arguments: I) -> Result<CommandLine, Problems>
where
    I: IntoIterator<Item = OsString>,
{
    let mut parser = Parser::from_args(arguments);
    let mut parsed = ParsedFlags::default();
    loop {
        let name = match parser.next() {
            Ok(None) => break,
            Ok(Some(Arg::Long(name))) => name.to_owned(),
            Ok(Some(Arg::Short(letter))) => {
                parsed.problems.push(unknown_flag(format!("-{letter}")));
                continue;
            }
            Ok(Some(Arg::Value(value))) => {
                let text = value.to_string_lossy().into_owned();
                parsed.problems.push(unknown_flag(text));
                continue;
            }
            Err(error) => {
                parsed.problems.push(unknown_flag(error.to_string()));
                break;
            }
        };
        match name.as_str() {
            "help" => return Ok(CommandLine::Help),
            "version" => return Ok(CommandLine::Version),
            _ => parsed.parse_flag(schema, &mut parser, &name),
        }
    }
    parsed.finish()
}

/// Accumulates the parsed flags.
#[derive(Default)]
struct ParsedFlags {
    config: Option<PathBuf>,
    overrides: Vec<Override>,
    check_only: bool,
    problems: Vec<Problem>,
}

impl ParsedFlags {
    fn parse_flag(&mut self, schema: &Schema, parser: &mut Parser, name: &str) {
        if name == "check" {
            self.check_only = true;
            return;
        }
        if name == "config" {
            self.config = flag_value(parser, name, &mut self.problems).map(PathBuf::from);
            return;
        }
        let Some(descriptor) = schema
            .keys
            .iter()
            .find(|descriptor| descriptor.flag() == name)
        else {
            self.problems.push(unknown_flag(format!("--{name}")));
            let _ = parser.optional_value();
            return;
        };
        if let Some(text) = flag_value(parser, name, &mut self.problems) {
            let value = override_value(descriptor, &text.to_string_lossy());
            self.overrides.push(Override { descriptor, value });
        }
    }

    fn finish(self) -> Result<CommandLine, Problems> {
        if !self.problems.is_empty() {
            return Err(Problems(self.problems));
        }
        Ok(CommandLine::Run {
            config: self.config,
            overrides: self.overrides,
            check_only: self.check_only,
        })
    }
}

fn flag_value(parser: &mut Parser, name: &str, problems: &mut Vec<Problem>) -> Option<OsString> {
    let value = parser.value().ok();
    if value.is_none() {
        problems.push(Problem {
            code: ResultCode::MissingKey,
            key: format!("--{name}"),
            value: "nothing".to_owned(),
            allowed: "a value".to_owned(),
        });
    }
    value
}

fn unknown_flag(key: String) -> Problem {
    Problem {
        code: ResultCode::UnknownKey,
        value: "an argument".to_owned(),
        key,
        allowed: "flags of --help".to_owned(),
    }
}

/// Converts the text of a flag to a TOML value. Text that does not parse becomes a string, which
/// validation then rejects.
fn override_value(descriptor: &KeyDescriptor, text: &str) -> Value {
    let string = || Value::String(text.to_owned());
    match descriptor.kind {
        ValueKind::Integer { .. } | ValueKind::Number { .. } | ValueKind::Boolean => {
            literal_value(text).unwrap_or_else(string)
        }
        ValueKind::AddressList { .. } | ValueKind::PathList { .. } => text
            .split(',')
            .filter(|item| !item.is_empty())
            .map(|item| Value::String(item.trim().to_owned()))
            .collect::<Vec<_>>()
            .into(),
        _ => string(),
    }
}
