//! Command line of the stand-in.

use anyhow::{Context, bail};
use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use std::path::PathBuf;

/// How to call it.
pub const USAGE: &str = "usage: bellyoke-lab platform --listen IP:PORT [--object FILE]...

  --listen IP:PORT  where the API is served
  --object FILE     JSON file with an object or a List of objects that is there from the start
";

/// What was asked for on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Where the API is served.
    pub listen: SocketAddr,
    /// Files with objects that are there from the start.
    pub objects: Vec<PathBuf>,
}

impl Options {
    /// Reads the arguments; none if only help was asked for.
    ///
    /// # Errors
    /// An argument is unknown, malformed or missing.
    pub fn parse(mut arguments: Parser) -> anyhow::Result<Option<Self>> {
        let mut listen = None;
        let mut objects = Vec::new();
        while let Some(argument) = arguments.next()? {
            match argument {
                Arg::Long("listen") => {
                    let address = arguments.value()?.parse();
                    listen = Some(address.context("--listen: expected IP:PORT")?);
                }
                Arg::Long("object") => objects.push(arguments.value()?.into()),
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                _ => bail!("{}\n{USAGE}", argument.unexpected()),
            }
        }
        let Some(listen) = listen else {
            bail!("--listen is missing\n{USAGE}");
        };
        Ok(Some(Self { listen, objects }))
    }
}
