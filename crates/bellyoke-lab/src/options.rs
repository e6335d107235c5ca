//! Command-line options that the stand-ins have in common: each is `--name value`.

use anyhow::Context;
use lexopt::Arg;
use std::ffi::OsString;

/// Hands each option's name and value to `set`.
///
/// # Errors
///
/// Fails on what is no option, on one without a value (both show `usage`), and where `set` fails.
///
/// ```
/// use bellyoke_lab::options::for_each_option;
///
/// let arguments = lexopt::Parser::from_args(["--seed", "7"]);
/// let mut seen = Vec::new();
/// for_each_option(arguments, "usage", |name, value| {
///     seen.push((name.to_owned(), value));
///     Ok(())
/// })
/// .unwrap();
/// assert_eq!(seen, [("seed".to_owned(), "7".into())]);
/// ```
pub fn for_each_option(
    mut arguments: lexopt::Parser,
    usage: &'static str,
    mut set: impl FnMut(&str, OsString) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    while let Some(argument) = arguments.next()? {
        let Arg::Long(name) = argument else {
            return Err(argument.unexpected()).context(usage);
        };
        let name = name.to_owned();
        let value = arguments.value().context(usage)?;
        set(&name, value).with_context(|| format!("option --{name}"))?;
    }
    Ok(())
}
