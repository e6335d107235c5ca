//! Command line of the fabric.

use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use anyhow::bail;
use lexopt::ValueExt;

use super::machines::PollSettings;
use crate::network::Prefix;
use crate::options::for_each_option;

const USAGE: &str = "usage: bellyoke-lab fabric --listen IP:PORT [--route PREFIX=IP:PORT]...
    (--platform http://IP:PORT | --static-balancer IP:PORT [--static-balancer IP:PORT]...)
    [--poll-ms 500] [--lag-ms 0] [--spray packet|flow] [--seed 1] [--admin IP:PORT]
";

/// Where packets to a prefix go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// The prefix of the inner destination.
    pub prefix: Prefix,
    /// The tunnel endpoint behind it.
    pub tunnel: SocketAddr,
}

/// A text that isn't what an option needs.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FabricOptionError {
    /// Not a route.
    #[error("{0:?} isn't a route such as 203.0.113.0/24=127.0.0.1:7000")]
    Route(String),
    /// Not a way to spray.
    #[error("{0:?} isn't packet or flow")]
    Spray(String),
}

impl FromStr for Route {
    type Err = FabricOptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || FabricOptionError::Route(text.to_owned());
        let (prefix, tunnel) = text.split_once('=').ok_or_else(malformed)?;
        Ok(Self {
            prefix: prefix.parse().map_err(|_| malformed())?,
            tunnel: tunnel.parse().map_err(|_| malformed())?,
        })
    }
}

/// What the choice of a balancer depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SprayMode {
    /// Each packet goes to a balancer at random.
    Packet,
    /// All packets of a flow go to one balancer while the list is the same.
    Flow,
}

impl FromStr for SprayMode {
    type Err = FabricOptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "packet" => Ok(Self::Packet),
            "flow" => Ok(Self::Flow),
            other => Err(FabricOptionError::Spray(other.to_owned())),
        }
    }
}

/// The fabric's settings and addresses.
#[derive(Debug, Clone)]
pub struct FabricOptions {
    /// Where packets come in and go out.
    pub listen: SocketAddr,
    /// Routes to the callers.
    pub routes: Vec<Route>,
    /// Balancers of a list that never changes.
    pub static_balancers: Vec<SocketAddr>,
    /// Where and how often the list of balancers is read, if it isn't static.
    pub poll: Option<PollSettings>,
    /// What the choice of a balancer depends on.
    pub spray: SprayMode,
    /// Seed of the random choices.
    pub seed: u64,
    /// Address of the admin API, if it is served.
    pub admin: Option<SocketAddr>,
}

const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(500);

impl FabricOptions {
    /// Reads the command line after the subcommand.
    ///
    /// # Errors
    ///
    /// Fails on an unknown, malformed or missing option.
    pub fn parse(arguments: lexopt::Parser) -> anyhow::Result<Self> {
        let unset = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let mut options = Self {
            listen: unset,
            routes: Vec::new(),
            static_balancers: Vec::new(),
            poll: None,
            spray: SprayMode::Packet,
            seed: 1,
            admin: None,
        };
        let mut poll = PollSettings {
            platform: String::new(),
            interval: DEFAULT_POLL_INTERVAL,
            lag: Duration::ZERO,
        };
        for_each_option(arguments, USAGE, |name, value| {
            options.set(&mut poll, name, value)
        })?;
        if !poll.platform.is_empty() {
            options.poll = Some(poll);
        }
        options.check(unset)?;
        Ok(options)
    }

    fn set(
        &mut self,
        poll: &mut PollSettings,
        name: &str,
        value: std::ffi::OsString,
    ) -> anyhow::Result<()> {
        match name {
            "listen" => self.listen = value.parse()?,
            "route" => self.routes.push(value.parse()?),
            "static-balancer" => self.static_balancers.push(value.parse()?),
            "platform" => poll.platform = value.string()?,
            "poll-ms" => poll.interval = Duration::from_millis(value.parse()?),
            "lag-ms" => poll.lag = Duration::from_millis(value.parse()?),
            "spray" => self.spray = value.parse()?,
            "seed" => self.seed = value.parse()?,
            "admin" => self.admin = Some(value.parse()?),
            _ => bail!("unknown option\n{USAGE}"),
        }
        Ok(())
    }

    fn check(&self, unset: SocketAddr) -> anyhow::Result<()> {
        if self.listen == unset {
            bail!("--listen is needed\n{USAGE}");
        }
        let is_static = !self.static_balancers.is_empty();
        if self.poll.is_some() == is_static {
            bail!("one of --platform and --static-balancer is needed\n{USAGE}");
        }
        Ok(())
    }
}
