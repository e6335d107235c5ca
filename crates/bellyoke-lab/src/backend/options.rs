//! Command line of the backend.

use std::net::{Ipv4Addr, SocketAddr};

use anyhow::bail;
use lexopt::ValueExt;
use smoltcp::time::Duration;

use crate::options::for_each_option;

const USAGE: &str =
    "usage: bellyoke-lab backend --name NAME --tunnel IP:PORT --fabric IP:PORT --admin IP:PORT
    --allow SERVICE [--allow SERVICE]...
    [--service-port 80] [--slots 2] [--queue 16] [--connections 2000] [--work-ms 20] [--seed 1]
";

/// How the backend behaves.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// The name that its answers carry.
    pub name: String,
    /// The port on which it serves, at every address.
    pub service_port: u16,
    /// Requests that it works on at one time.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue_limit: usize,
    /// Connections that may be open at one time.
    pub connection_limit: usize,
    /// How long a payment or an answer check takes.
    pub work_time: Duration,
    /// Services that it may be asked for.
    pub allowed_services: Vec<String>,
    /// Seed of the sequence numbers.
    pub seed: u64,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            name: String::new(),
            service_port: 80,
            slots: 2,
            queue_limit: 16,
            connection_limit: 2000,
            work_time: Duration::from_millis(20),
            allowed_services: Vec::new(),
            seed: 1,
        }
    }
}

/// The settings and the addresses of the process.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// How the backend behaves.
    pub settings: BackendSettings,
    /// Where packets come in.
    pub tunnel: SocketAddr,
    /// Where packets go out.
    pub fabric: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
}

impl BackendOptions {
    /// Reads the command line after the subcommand.
    ///
    /// # Errors
    ///
    /// Fails on an unknown, malformed or missing option.
    pub fn parse(arguments: lexopt::Parser) -> anyhow::Result<Self> {
        let unset = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let mut options = Self {
            settings: BackendSettings::default(),
            tunnel: unset,
            fabric: unset,
            admin: unset,
        };
        for_each_option(arguments, USAGE, |name, value| options.set(name, value))?;
        options.check(unset)?;
        Ok(options)
    }

    fn set(&mut self, name: &str, value: std::ffi::OsString) -> anyhow::Result<()> {
        let settings = &mut self.settings;
        match name {
            "name" => settings.name = value.string()?,
            "tunnel" => self.tunnel = value.parse()?,
            "fabric" => self.fabric = value.parse()?,
            "admin" => self.admin = value.parse()?,
            "allow" => settings.allowed_services.push(value.string()?),
            "service-port" => settings.service_port = value.parse()?,
            "slots" => settings.slots = value.parse()?,
            "queue" => settings.queue_limit = value.parse()?,
            "connections" => settings.connection_limit = value.parse()?,
            "work-ms" => settings.work_time = Duration::from_millis(value.parse()?),
            "seed" => settings.seed = value.parse()?,
            _ => bail!("unknown option\n{USAGE}"),
        }
        Ok(())
    }

    fn check(&self, unset: SocketAddr) -> anyhow::Result<()> {
        if [self.tunnel, self.fabric, self.admin].contains(&unset) {
            bail!("--tunnel, --fabric and --admin are needed\n{USAGE}");
        }
        if self.settings.name.is_empty() || self.settings.allowed_services.is_empty() {
            bail!("--name and --allow are needed\n{USAGE}");
        }
        Ok(())
    }
}
