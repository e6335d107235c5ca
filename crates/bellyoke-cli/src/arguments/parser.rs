//! From words to [`Arguments`].

use super::{
    Arguments, Command, LabelChange, Listing, ObjectKind, Options, OutputFormat, RolloutOptions,
    parse_label_change, parse_selector,
};
use crate::failure::Failure;
use bellyoke_api::result_code::ResultCode;
use bellyoke_core::generation::{SELECTOR_WEIGHTS, WeightedSelector};
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;
use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

const DEFAULT_SELECTOR_WEIGHT: u32 = 100;
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time that `--timeout` may ask for, seconds.
const MAX_TIMEOUT_SECONDS: u64 = 86_400;

/// Flags of single commands, and the words that aren't flags.
#[derive(Default)]
struct Words {
    positional: Vec<String>,
    file: Option<PathBuf>,
    selectors: Vec<WeightedSelector>,
    wait: bool,
    timeout: Option<Duration>,
    help: bool,
    version: bool,
    seen: Vec<&'static str>,
}

/// Parses the words after the program's name.
///
/// # Errors
/// When a word is unknown, missing or malformed.
pub fn parse(words: impl IntoIterator<Item = OsString>) -> Result<Arguments, Failure> {
    let mut parser = lexopt::Parser::from_args(words);
    let mut options = Options::default();
    let mut found = Words::default();
    while let Some(argument) = parser.next().map_err(bad_argument)? {
        match argument {
            Value(word) => found.positional.push(word.string().map_err(bad_argument)?),
            Short('h') => found.help = true,
            Short('f') => found.read_file(&mut parser)?,
            Short('o') => options.output = output_format(&text(&mut parser)?)?,
            Long(name) => {
                let name = name.to_owned();
                read_flag(&name, &mut parser, &mut options, &mut found)?;
            }
            Short(other) => return Err(unknown_flag(&format!("-{other}"))),
        }
    }
    let command = found.into_command()?;
    Ok(Arguments { options, command })
}

fn read_flag(
    name: &str,
    parser: &mut lexopt::Parser,
    options: &mut Options,
    found: &mut Words,
) -> Result<(), Failure> {
    match name {
        "help" => found.help = true,
        "version" => found.version = true,
        "platform" => options.platform = Some(url(name, parser)?),
        "namespace" => options.namespace = text(parser)?,
        "balancer" => options.balancer = Some(url(name, parser)?),
        "output" => options.output = output_format(&text(parser)?)?,
        "dry-run" => options.dry_run = true,
        "allow" => allow(&text(parser)?, options)?,
        "file" => found.read_file(parser)?,
        "selector" => found.read_selector(parser)?,
        "weight" => found.read_weight(parser)?,
        "wait" => found.read_wait(),
        "timeout" => found.read_timeout(parser)?,
        _ => return Err(unknown_flag(&format!("--{name}"))),
    }
    Ok(())
}

impl Words {
    fn read_file(&mut self, parser: &mut lexopt::Parser) -> Result<(), Failure> {
        self.seen.push("--file");
        let path = parser.value().map_err(bad_argument)?;
        self.file = Some(PathBuf::from(path));
        Ok(())
    }

    fn read_selector(&mut self, parser: &mut lexopt::Parser) -> Result<(), Failure> {
        self.seen.push("--selector");
        let text = text(parser)?;
        let selector = parse_selector(&text);
        let selector = selector.map_err(|error| {
            Failure::new(
                ResultCode::BadArgument,
                format!("--selector '{text}': {error}"),
            )
        })?;
        self.selectors.push(WeightedSelector {
            selector,
            weight: DEFAULT_SELECTOR_WEIGHT,
        });
        Ok(())
    }

    fn read_weight(&mut self, parser: &mut lexopt::Parser) -> Result<(), Failure> {
        self.seen.push("--weight");
        let text = text(parser)?;
        let weight = text.parse().ok();
        let weight = weight.filter(|weight| SELECTOR_WEIGHTS.contains(weight));
        let (Some(weight), Some(selector)) = (weight, self.selectors.last_mut()) else {
            let expected = "--weight takes 0 to 1000 and stands after its --selector";
            return Err(Failure::new(ResultCode::BadArgument, expected));
        };
        selector.weight = weight;
        Ok(())
    }

    fn read_wait(&mut self) {
        self.seen.push("--wait");
        self.wait = true;
    }

    fn read_timeout(&mut self, parser: &mut lexopt::Parser) -> Result<(), Failure> {
        self.seen.push("--timeout");
        let text = text(parser)?;
        let seconds = text.parse().ok();
        let seconds = seconds.filter(|seconds| (1..=MAX_TIMEOUT_SECONDS).contains(seconds));
        let Some(seconds) = seconds else {
            let message =
                format!("--timeout takes 1 to {MAX_TIMEOUT_SECONDS} seconds, not `{text}`");
            return Err(Failure::new(ResultCode::BadArgument, message));
        };
        self.timeout = Some(Duration::from_secs(seconds));
        Ok(())
    }

    fn into_command(mut self) -> Result<Command, Failure> {
        if self.help || self.positional.is_empty() && !self.version {
            return Ok(Command::Help);
        }
        if self.version {
            return Ok(Command::Version);
        }
        let name = self.positional.remove(0);
        self.check_flags(&name)?;
        match name.as_str() {
            "apply" => self.apply(),
            "check" => Ok(Command::Check(self.take("FILE")?.into())),
            "get" => Ok(Command::Get(listing(&self.take("what to list")?)?)),
            "describe" => Ok(Command::Describe(self.take_kind()?, self.take("NAME")?)),
            "delete" => Ok(Command::Delete(self.take_kind()?, self.take("NAME")?)),
            "label" => self.label(),
            "select" => self.select(),
            "drain" => Ok(Command::SetDrain(self.take("NAME")?, true)),
            "undrain" => Ok(Command::SetDrain(self.take("NAME")?, false)),
            "rollout" => self.rollout(),
            "nodes" => Ok(Command::Nodes),
            other => Err(Failure::new(
                ResultCode::UnknownCommand,
                format!("`{other}` is not a command"),
            )),
        }
        .and_then(|command| self.finish(command))
    }

    /// Refuses flags that belong to other commands.
    fn check_flags(&self, command: &str) -> Result<(), Failure> {
        let allowed: &[&str] = match command {
            "apply" => &["--file"],
            "select" => &["--selector", "--weight"],
            "rollout" => &["--wait", "--timeout"],
            _ => &[],
        };
        match self.seen.iter().find(|flag| !allowed.contains(flag)) {
            Some(flag) => Err(Failure::new(
                ResultCode::UnknownFlag,
                format!("`{command}` has no flag {flag}"),
            )),
            None => Ok(()),
        }
    }

    fn take(&mut self, what: &str) -> Result<String, Failure> {
        if self.positional.is_empty() {
            return Err(missing(what));
        }
        Ok(self.positional.remove(0))
    }

    fn take_kind(&mut self) -> Result<ObjectKind, Failure> {
        let word = self.take("the kind, `service` or `backend`")?;
        match word.as_str() {
            "service" | "services" => Ok(ObjectKind::Service),
            "backend" | "backends" => Ok(ObjectKind::Backend),
            _ => Err(Failure::new(
                ResultCode::BadArgument,
                format!("`{word}` is neither `service` nor `backend`"),
            )),
        }
    }

    fn apply(&mut self) -> Result<Command, Failure> {
        let file = self.file.take().ok_or_else(|| missing("-f FILE"))?;
        Ok(Command::Apply(file))
    }

    fn label(&mut self) -> Result<Command, Failure> {
        if self.take_kind()? != ObjectKind::Backend {
            let message = "only backends are labelled";
            return Err(Failure::new(ResultCode::BadArgument, message));
        }
        let name = self.take("NAME")?;
        let words = std::mem::take(&mut self.positional);
        if words.is_empty() {
            return Err(missing("KEY=VALUE or KEY-"));
        }
        let changes = words.iter().map(|word| label_change(word));
        Ok(Command::Label(name, changes.collect::<Result<_, _>>()?))
    }

    fn select(&mut self) -> Result<Command, Failure> {
        let service = self.take("SERVICE")?;
        if self.selectors.is_empty() {
            return Err(missing("--selector"));
        }
        Ok(Command::Select(
            service,
            std::mem::take(&mut self.selectors),
        ))
    }

    fn rollout(&mut self) -> Result<Command, Failure> {
        let word = self.take("`status`")?;
        if word != "status" {
            let message = format!("`rollout {word}` is not a command");
            return Err(Failure::new(ResultCode::UnknownCommand, message));
        }
        Ok(Command::RolloutStatus(RolloutOptions {
            wait: self.wait,
            timeout: self.timeout.unwrap_or(DEFAULT_TIMEOUT),
        }))
    }

    fn finish(&self, command: Command) -> Result<Command, Failure> {
        match self.positional.first() {
            Some(extra) => Err(Failure::new(
                ResultCode::BadArgument,
                format!("`{extra}` is one word too many"),
            )),
            None => Ok(command),
        }
    }
}

fn label_change(word: &str) -> Result<LabelChange, Failure> {
    parse_label_change(word).ok_or_else(|| {
        let message = format!("`{word}` is not KEY=VALUE or KEY-");
        Failure::new(ResultCode::BadArgument, message)
    })
}

fn listing(word: &str) -> Result<Listing, Failure> {
    match word {
        "service" | "services" => Ok(Listing::Services),
        "backend" | "backends" => Ok(Listing::Backends),
        "balancer" | "balancers" => Ok(Listing::Balancers),
        "generation" => Ok(Listing::Generation),
        _ => Err(Failure::new(
            ResultCode::BadArgument,
            format!("`{word}` is none of services, backends, balancers, generation"),
        )),
    }
}

fn output_format(word: &str) -> Result<OutputFormat, Failure> {
    match word {
        "table" => Ok(OutputFormat::Table),
        "json" => Ok(OutputFormat::Json),
        _ => Err(Failure::new(
            ResultCode::BadArgument,
            format!("--output takes `table` or `json`, not `{word}`"),
        )),
    }
}

fn allow(word: &str, options: &mut Options) -> Result<(), Failure> {
    match word {
        "empty-selector" => options.allow.empty_selector = true,
        "shared-address" => options.allow.shared_address = true,
        _ => {
            let message =
                format!("--allow takes `empty-selector` or `shared-address`, not `{word}`");
            return Err(Failure::new(ResultCode::BadArgument, message));
        }
    }
    Ok(())
}

fn url(name: &str, parser: &mut lexopt::Parser) -> Result<String, Failure> {
    let text = text(parser)?;
    let uri = text.parse::<http::Uri>().ok();
    let usable = uri.is_some_and(|uri| uri.scheme().is_some() && uri.authority().is_some());
    if usable {
        return Ok(text);
    }
    let message = format!("--{name} takes a URL such as http://10.0.0.1:7002, not `{text}`");
    Err(Failure::new(ResultCode::BadArgument, message))
}

fn text(parser: &mut lexopt::Parser) -> Result<String, Failure> {
    let value = parser.value().map_err(bad_argument)?;
    value.string().map_err(bad_argument)
}

fn missing(what: &str) -> Failure {
    Failure::new(ResultCode::MissingArgument, format!("{what} is missing"))
}

fn unknown_flag(flag: &str) -> Failure {
    Failure::new(ResultCode::UnknownFlag, format!("there is no flag {flag}"))
}

fn bad_argument(error: lexopt::Error) -> Failure {
    let code = match error {
        lexopt::Error::MissingValue { .. } => ResultCode::MissingArgument,
        _ => ResultCode::BadArgument,
    };
    Failure::new(code, error.to_string())
}
