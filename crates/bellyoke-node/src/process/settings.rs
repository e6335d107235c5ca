//! The settings of the daemon.

use bellyoke_core::cookie::admission::AdmissionSettings;
use bellyoke_core::cookie::capacity::{MachineCapacity, NodePlace, ZoneKey};
use bellyoke_core::cookie::cold::ColdAllowance;
use bellyoke_core::cookie::outliers::OutlierSettings;
use bellyoke_process::log::LogSettings;
use bellyoke_process::settings::descriptor::DefaultValue::{Absent, Literal, Required};
use bellyoke_process::settings::descriptor::{
    KeyDescriptor, Schema, ValueKind, integer, key, number,
};
use bellyoke_process::settings::{self, Override, Problems};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

/// All keys, in the order of the documentation.
#[rustfmt::skip]
pub const KEYS: &[KeyDescriptor] = &[
    key("node", "name", "", ValueKind::Name, Required,
        "Name of the machine, for logs."),
    key("node", "zone", "", ValueKind::Name, Required,
        "Zone that the machine stands in: machines that fail together."),
    key("node", "data_address", "", ValueKind::Address, Required,
        "UDP address that receives client packets; clients are answered at its port."),
    key("node", "peer_address", "", ValueKind::Address, Required,
        "UDP and TCP address of the exchange between nodes; the port is the same on all nodes."),
    key("node", "ready_address", "", ValueKind::Address, Required,
        "TCP address of `/readyz`, by which routers choose nodes, and of `/metrics`."),
    key("node", "metrics_address", "", ValueKind::Address, Absent,
        "TCP address of `/metrics` alone, where that is not to be asked at `ready_address`."),
    key("machine", "cpu_share", "cores", number(0, 1_024), Absent,
        "Processor time that the machine gives, in cores; a fraction of one if it shares one. Duties for the whole cluster go to larger machines first; what isn't told counts as little."),
    key("machine", "memory_mb", "MB", integer(1, 16_777_216), Absent,
        "Memory of the machine."),
    key("machine", "link_mbps", "Mbit/s", number(0, 1_000_000), Absent,
        "What the machine's link carries."),
    key("machine", "descriptors", "", integer(1, 16_777_216), Absent,
        "File descriptors that the process may hold."),
    key("exchange", "own_zone_first", "", ValueKind::Boolean, Literal("true"),
        "Whether nodes tell and ask peers of their own zone first, so that bytes between zones don't grow with the nodes of a zone."),
    key("cluster", "seeds", "", ValueKind::AddressList { maximum_items: 64 }, Literal("[]"),
        "Some nodes to start from. Only the hosts count: the port is that of `node.peer_address`."),
    key("store", "address", "", ValueKind::Address, Required,
        "TCP address of the store that holds configuration and instances."),
    key("timing", "flow_lifetime_s", "s", integer(1, 86_400), Literal("120"),
        "Longest life of a flow. Instances whose records have gone are remembered for so long."),
    key("timing", "leave_grace_ms", "ms", integer(0, 600_000), Literal("3000"),
        "How long a leaving node goes on forwarding; longer than routers take to notice."),
    key("timing", "watch_wait_ms", "ms", integer(200, 30_000), Literal("750"),
        "How long the store holds a watch open; bounds how long a dead connection goes unnoticed."),
    key("timing", "in_force_within_ms", "ms", integer(100, 3_600_000), Literal("3000"),
        "How soon a change of the configuration must be in force. A node that heard no confirmation of what it knows for half of it asks the store itself."),
    key("timing", "drained_within_ms", "ms", integer(100, 3_600_000), Literal("3000"),
        "How soon a backend that drains must get no new flow; counts like `in_force_within_ms`."),
    key("timing", "zone_drained_within_ms", "ms", integer(100, 3_600_000), Absent,
        "How soon the instances of a zone that operators drain must get no new flow; counts like `in_force_within_ms`. Without it nodes don't ask which zones are drained."),
    key("cold", "overshoot", "", number(0, 1_000), Absent,
        "Factor to the flows that cold instances are said to bear, up to which all nodes together may open flows there. Without it they have no limit, whatever `slack` says."),
    key("cold", "slack", "flows/s", integer(0, 1_000_000), Literal("0"),
        "Flows a second that cold instances may get beyond that."),
    key("flows", "capacity", "", integer(2, 1_048_576), Literal("8192"),
        "Open flows that a node remembers, about 100 bytes each. Beyond them those are forgotten first that sent nothing for longest; they end by their first packet, not while they rest."),
    key("flows", "end_resting", "", ValueKind::Boolean, Literal("true"),
        "Whether resting flows of an instance that has ended are reset, before their clients send anything."),
    key("outliers", "largest_share", "", number(0, 1), Literal("0.4"),
        "Largest part of a service's instances to which others are preferred since their answers fail or are late. With zero nodes don't report answers, and none is set aside."),
    key("placement", "own_zone_first", "", ValueKind::Boolean, Literal("true"),
        "Whether new flows go to instances in the node's own zone as long as these have room. Otherwise all zones are alike."),
    key("admission", "enabled", "", ValueKind::Boolean, Literal("true"),
        "Whether new flows are refused, the lowest priority first, while most instances of their service queue and turn requests away."),
    key("admission", "lost_percent", "%", integer(0, 100), Literal("16"),
        "Share of a service's requests that its instances may turn away in overload before less is admitted. With none, instances idle between two requests."),
    key("log", "format", "", ValueKind::Choice(&["text", "json"]), Literal("\"json\""),
        "Form of the log lines on standard output."),
    key("log", "level", "", ValueKind::Choice(&["error", "warn", "info", "debug", "trace"]), Literal("\"info\""),
        "Least level that is logged."),
];

/// The settings of the daemon.
pub const SCHEMA: Schema = Schema {
    keys: KEYS,
    page: "docs/CONFIGURATION.md",
};

/// All settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node itself.
    pub node: NodeSettings,
    /// What its machine has.
    pub machine: MachineSettings,
    /// How it speaks to its peers.
    pub exchange: PeerExchangeSettings,
    /// Its peers.
    pub cluster: ClusterSettings,
    /// The store.
    pub store: StoreSettings,
    /// Periods and waits.
    pub timing: TimingSettings,
    /// What cold instances may get.
    pub cold: ColdSettings,
    /// Flows that the node remembers.
    pub flows: FlowSettings,
    /// Instances whose answers fail.
    pub outliers: OutlierDetectionSettings,
    /// Where new flows go.
    pub placement: PlacementSettings,
    /// Which new flows are refused in overload.
    pub admission: OverloadSettings,
    /// The log.
    pub log: LogSettings,
}

/// The node itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the machine.
    pub name: String,
    /// Zone that the machine stands in.
    pub zone: String,
    /// UDP address of client packets.
    pub data_address: SocketAddrV4,
    /// Address of the exchange between nodes.
    pub peer_address: SocketAddrV4,
    /// TCP address of readiness.
    pub ready_address: SocketAddrV4,
    /// TCP address of metrics alone.
    pub metrics_address: Option<SocketAddrV4>,
}

/// What the node's machine has, as far as that is told.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSettings {
    /// Processor time, cores.
    pub cpu_share: Option<f64>,
    /// Memory, MB.
    pub memory_mb: Option<u64>,
    /// What the link carries, Mbit/s.
    pub link_mbps: Option<f64>,
    /// File descriptors.
    pub descriptors: Option<u64>,
}

impl MachineSettings {
    /// What counts for duties.
    #[must_use]
    pub fn capacity(&self) -> MachineCapacity {
        MachineCapacity {
            cores: self.cpu_share,
            memory_mb: self.memory_mb.map(|megabytes| megabytes as f64),
            link_mbps: self.link_mbps,
        }
    }
}

/// How the node speaks to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerExchangeSettings {
    /// Whether it tells and asks peers of its own zone first.
    pub own_zone_first: bool,
}

/// The node's peers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// Some nodes to start from.
    pub seeds: Vec<SocketAddrV4>,
}

/// The store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its TCP address.
    pub address: SocketAddrV4,
}

/// Periods and waits.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimingSettings {
    /// Longest life of a flow, seconds.
    pub flow_lifetime_s: u64,
    /// How long a leaving node goes on forwarding, milliseconds.
    pub leave_grace_ms: u64,
    /// How long the store holds a watch open, milliseconds.
    pub watch_wait_ms: u64,
    /// How soon a change of the configuration must be in force, milliseconds.
    pub in_force_within_ms: u64,
    /// How soon a backend that drains must get no new flow, milliseconds.
    pub drained_within_ms: u64,
    /// How soon the instances of a drained zone must get no new flow, milliseconds; none where
    /// zones are not drained.
    pub zone_drained_within_ms: Option<u64>,
}

/// Where new flows go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// Whether the node's own zone goes first.
    pub own_zone_first: bool,
}

/// What cold instances may get.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdSettings {
    /// Factor to the flows that they are said to bear; none for no limit.
    pub overshoot: Option<f64>,
    /// Flows a second beyond that.
    pub slack: u32,
}

/// Flows that the node remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowSettings {
    /// Most of them.
    pub capacity: usize,
    /// Whether resting flows of instances that have ended are reset.
    pub end_resting: bool,
}

/// Instances whose answers fail.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutlierDetectionSettings {
    /// Largest part of a service's instances that are set aside.
    pub largest_share: f64,
}

impl OutlierDetectionSettings {
    /// When an instance stands out.
    #[must_use]
    pub fn outlier_settings(&self) -> OutlierSettings {
        OutlierSettings {
            largest_share: self.largest_share,
            ..OutlierSettings::default()
        }
    }
}

impl ColdSettings {
    /// The limit, if there is one.
    #[must_use]
    pub fn allowance(&self) -> Option<ColdAllowance> {
        let slack = self.slack;
        let overshoot = self.overshoot?;
        Some(ColdAllowance { overshoot, slack })
    }
}

/// Which new flows are refused in overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadSettings {
    /// Whether any are.
    pub enabled: bool,
    /// Share of requests that instances may turn away, percent.
    pub lost_percent: u8,
}

impl OverloadSettings {
    /// As the traffic threads take them.
    #[must_use]
    pub fn admission(&self) -> AdmissionSettings {
        AdmissionSettings {
            enabled: self.enabled,
            lost_share: f32::from(self.lost_percent) / 100.0,
        }
    }
}

impl TimingSettings {
    /// How long gone instances are remembered: the longest life of a flow, and some more for
    /// packets under way.
    #[must_use]
    pub const fn tombstone_lifetime(&self) -> Duration {
        const MARGIN_SECONDS: u64 = 10;
        Duration::from_secs(self.flow_lifetime_s + MARGIN_SECONDS)
    }

    /// How long a leaving node goes on forwarding.
    #[must_use]
    pub const fn leave_grace(&self) -> Duration {
        Duration::from_millis(self.leave_grace_ms)
    }

    /// How old the last confirmation may be before a node asks the store itself.
    #[must_use]
    pub fn freshness_bound(&self) -> Duration {
        let shortest = self.in_force_within_ms.min(self.drained_within_ms);
        let shortest = shortest.min(self.zone_drained_within_ms.unwrap_or(u64::MAX));
        Duration::from_millis(shortest / 2)
    }

    /// Whether nodes read which zones are drained.
    #[must_use]
    pub const fn reads_zones(&self) -> bool {
        self.zone_drained_within_ms.is_some()
    }

    /// How long the store holds a watch open.
    #[must_use]
    pub const fn watch_wait(&self) -> Duration {
        Duration::from_millis(self.watch_wait_ms)
    }
}

impl Settings {
    /// Where the node stands, and what its machine can bear.
    #[must_use]
    pub fn place(&self) -> NodePlace {
        NodePlace {
            zone: ZoneKey::of(&self.node.zone),
            class: self.machine.capacity().class(),
        }
    }

    /// The zone whose instances go first for new flows; empty if all zones are alike.
    #[must_use]
    pub fn preferred_zone(&self) -> &str {
        if self.placement.own_zone_first {
            &self.node.zone
        } else {
            ""
        }
    }

    /// Where peers are looked for: the hosts of the seeds, at this node's peer port.
    #[must_use]
    pub fn peer_seeds(&self) -> Vec<SocketAddrV4> {
        let port = self.node.peer_address.port();
        let seeds = self.cluster.seeds.iter();
        seeds
            .map(|seed| SocketAddrV4::new(*seed.ip(), port))
            .collect()
    }
}

/// Reads settings from the text of a file and the flags that override it.
///
/// # Errors
///
/// All problems at once: unknown keys, wrong types and values out of range.
pub fn parse_settings(text: &str, overrides: &[Override]) -> Result<Settings, Problems> {
    let (table, problems) = settings::checked_table(&SCHEMA, text, overrides)?;
    if !problems.is_empty() {
        return Err(Problems(problems));
    }
    settings::into_typed(&SCHEMA, table)
}

/// Reads and checks a settings file. Without one, all comes from the flags.
///
/// # Errors
///
/// All problems at once.
pub fn load_settings(path: Option<&Path>, overrides: &[Override]) -> Result<Settings, Problems> {
    let text = path.map_or(Ok(String::new()), settings::read_file)?;
    parse_settings(&text, overrides)
}
