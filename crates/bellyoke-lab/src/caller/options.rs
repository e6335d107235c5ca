//! Command line of the callers.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use anyhow::bail;
use lexopt::ValueExt;
use smoltcp::time::Duration;

use crate::network::Prefix;
use crate::options::for_each_option;

const USAGE: &str = "usage: bellyoke-lab caller --tunnel IP:PORT --fabric IP:PORT --prefix PREFIX [--prefix PREFIX]...
    --target SERVICE=IP:PORT:KIND [--target ...]... --report FILE.json [--control IP:PORT]
    (--requests N | --seconds S) [--flows 4] [--seed 1] [--ramp-ms 1000] [--pause-ms 50]
    [--feed-count 10] [--feed-interval-ms 200] [--upload-bytes 65536] [--patience-ms 10000]
    [--deadline-ms MS]

KIND is feed, payment, check, upload or datagram (a UDP flow of --feed-count datagrams). --requests and --flows hold for each target.
Callers that run at the same time need different seeds or prefixes.
";

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A long response of many lines.
    Feed,
    /// A payment, which may run once only.
    Payment,
    /// An answer check, which may run once only.
    Check,
    /// A request with a long body.
    Upload,
    /// A UDP flow whose datagrams are echoed.
    Datagram,
}

/// A text that names no kind of request, or no target.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// The kind is unknown.
    #[error("{0:?} isn't feed, payment, check, upload or datagram")]
    Kind(String),
    /// The text isn't a target.
    #[error("{0:?} isn't a target such as till=198.51.100.1:80:payment")]
    Target(String),
}

impl FromStr for Kind {
    type Err = TargetError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "feed" => Ok(Self::Feed),
            "payment" => Ok(Self::Payment),
            "check" => Ok(Self::Check),
            "upload" => Ok(Self::Upload),
            "datagram" => Ok(Self::Datagram),
            other => Err(TargetError::Kind(other.to_owned())),
        }
    }
}

/// A service that callers use, and what for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service's name, sent as `Host`.
    pub service: String,
    /// The service's address.
    pub address: SocketAddr,
    /// What is asked for.
    pub kind: Kind,
}

impl FromStr for Target {
    type Err = TargetError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || TargetError::Target(text.to_owned());
        let (service, rest) = text.split_once('=').ok_or_else(malformed)?;
        let (address, kind) = rest.rsplit_once(':').ok_or_else(malformed)?;
        Ok(Self {
            service: service.to_owned(),
            address: address.parse().map_err(|_| malformed())?,
            kind: kind.parse()?,
        })
    }
}

/// When callers stop sending by themselves; requests in progress are finished always.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// After so many requests to each target.
    Requests(u64),
    /// After so much time.
    Time(Duration),
}

/// What the callers do.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Prefixes that the callers' addresses are from.
    pub prefixes: Vec<Prefix>,
    /// Services that they use.
    pub targets: Vec<Target>,
    /// Requests in progress to each target at one time.
    pub flows: usize,
    /// When they stop.
    pub limit: Limit,
    /// Seed of the request identifiers, ports and sequence numbers.
    pub seed: u64,
    /// Time over which the first requests are spread.
    pub ramp: Duration,
    /// Time between the end of a request and the next of the same caller.
    pub pause: Duration,
    /// Lines of a feed.
    pub feed_count: u64,
    /// Time between two lines of a feed, in milliseconds.
    pub feed_interval_ms: u64,
    /// Bytes of an upload.
    pub upload_bytes: usize,
    /// Time after which payments and checks must not start, in milliseconds; none unless set.
    pub deadline_ms: Option<u64>,
    /// How long a caller waits when nothing moves before it gives up.
    pub patience: Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            prefixes: Vec::new(),
            targets: Vec::new(),
            flows: 4,
            limit: Limit::Requests(0),
            seed: 1,
            ramp: Duration::from_secs(1),
            pause: Duration::from_millis(50),
            feed_count: 10,
            feed_interval_ms: 200,
            upload_bytes: 64 * 1024,
            deadline_ms: None,
            patience: Duration::from_secs(10),
        }
    }
}

/// The settings, and the addresses and files of the process.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// What the callers do.
    pub settings: CallerSettings,
    /// Where packets come in.
    pub tunnel: SocketAddr,
    /// Where packets go out.
    pub fabric: SocketAddr,
    /// Address of the control API, if it is served.
    pub control: Option<SocketAddr>,
    /// Where the report is written.
    pub report: PathBuf,
}

impl CallerOptions {
    /// Reads the command line after the subcommand.
    ///
    /// # Errors
    ///
    /// Fails on an unknown, malformed or missing option.
    pub fn parse(arguments: lexopt::Parser) -> anyhow::Result<Self> {
        let unset = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let mut options = Self {
            settings: CallerSettings::default(),
            tunnel: unset,
            fabric: unset,
            control: None,
            report: PathBuf::new(),
        };
        for_each_option(arguments, USAGE, |name, value| options.set(name, value))?;
        options.check(unset)?;
        Ok(options)
    }

    fn set(&mut self, name: &str, value: std::ffi::OsString) -> anyhow::Result<()> {
        let settings = &mut self.settings;
        match name {
            "tunnel" => self.tunnel = value.parse()?,
            "fabric" => self.fabric = value.parse()?,
            "control" => self.control = Some(value.parse()?),
            "report" => self.report = value.into(),
            "prefix" => settings.prefixes.push(value.parse()?),
            "target" => settings.targets.push(value.parse()?),
            "flows" => settings.flows = value.parse()?,
            "requests" => settings.limit = Limit::Requests(value.parse()?),
            "seconds" => settings.limit = Limit::Time(Duration::from_secs(value.parse()?)),
            "seed" => settings.seed = value.parse()?,
            "ramp-ms" => settings.ramp = Duration::from_millis(value.parse()?),
            "pause-ms" => settings.pause = Duration::from_millis(value.parse()?),
            "feed-count" => settings.feed_count = value.parse()?,
            "feed-interval-ms" => settings.feed_interval_ms = value.parse()?,
            "upload-bytes" => settings.upload_bytes = value.parse()?,
            "deadline-ms" => settings.deadline_ms = Some(value.parse()?),
            "patience-ms" => settings.patience = Duration::from_millis(value.parse()?),
            _ => bail!("unknown option\n{USAGE}"),
        }
        Ok(())
    }

    fn check(&self, unset: SocketAddr) -> anyhow::Result<()> {
        let settings = &self.settings;
        if self.tunnel == unset || self.fabric == unset || self.report.as_os_str().is_empty() {
            bail!("--tunnel, --fabric and --report are needed\n{USAGE}");
        }
        if settings.targets.is_empty() || settings.limit == Limit::Requests(0) {
            bail!("--target and one of --requests and --seconds are needed\n{USAGE}");
        }
        for target in &settings.targets {
            let is_ipv4 = target.address.is_ipv4();
            if !settings
                .prefixes
                .iter()
                .any(|prefix| prefix.is_ipv4() == is_ipv4)
            {
                bail!(
                    "no --prefix of the IP version of {}\n{USAGE}",
                    target.address
                );
            }
        }
        Ok(())
    }
}
