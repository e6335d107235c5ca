//! Entry point: hands the command line to the module of the named subcommand.

use std::process::ExitCode;

use anyhow::bail;
use lexopt::Arg;

const USAGE: &str = "usage: bellyoke-lab SUBCOMMAND [OPTIONS]

subcommands:
  backend     a server with real TCP behind a tunnel
  caller      many clients with real TCP behind a tunnel
  experiment  a whole cluster and its baselines in virtual time
  fabric      sprays packets over the balancers and takes replies to the callers
  platform    the platform's object store, in memory, with faults on switches
  verdict     compares what callers were told with what backends did
";

fn main() -> ExitCode {
    bellyoke_lab::log::initialize();
    run(lexopt::Parser::from_env()).unwrap_or_else(|error| {
        eprintln!("bellyoke-lab: {error:#}");
        ExitCode::FAILURE
    })
}

fn run(mut arguments: lexopt::Parser) -> anyhow::Result<ExitCode> {
    let subcommand = match arguments.next()? {
        Some(Arg::Value(name)) => name.to_string_lossy().into_owned(),
        Some(Arg::Long("help") | Arg::Short('h')) => {
            print!("{USAGE}");
            return Ok(ExitCode::SUCCESS);
        }
        _ => bail!("a subcommand is needed\n{USAGE}"),
    };
    match subcommand.as_str() {
        "backend" => bellyoke_lab::backend::run(arguments),
        "caller" => bellyoke_lab::caller::run(arguments),
        "experiment" => bellyoke_lab::experiment::run(arguments),
        "fabric" => bellyoke_lab::fabric::run(arguments),
        "platform" => bellyoke_lab::platform::run(arguments),
        "verdict" => bellyoke_lab::verdict::run(arguments),
        other => bail!("unknown subcommand {other:?}\n{USAGE}"),
    }
}
