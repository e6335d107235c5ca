//! Settings of the daemon.

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

/// All settings keys, in the order of the documentation.
#[rustfmt::skip]
pub const KEYS: &[KeyDescriptor] = &[
    key("node", "name", "", ValueKind::Name, Required,
        "Name of the machine, used in logs."),
    key("node", "zone", "", ValueKind::Name, Required,
        "Zone of the machine, a group of machines that fail together."),
    key("node", "data_address", "", ValueKind::Address, Required,
        "UDP address that receives client packets. Replies to clients are sent to the same port number."),
    key("node", "peer_address", "", ValueKind::Address, Required,
        "UDP and TCP address for the exchange between nodes. The port must be the same on all nodes."),
    key("node", "ready_address", "", ValueKind::Address, Required,
        "TCP address of `/readyz`, which routers use to select nodes, and of `/metrics`."),
    key("node", "metrics_address", "", ValueKind::Address, Absent,
        "Additional TCP address of `/metrics`, for metrics collectors that must not use `ready_address`."),
    key("machine", "cpu_share", "cores", number(0, 1_024), Absent,
        "Processor time available to the process, in cores; a fraction if it shares a core. Cluster-wide duties are assigned to larger machines first; an unspecified resource counts as small."),
    key("machine", "memory_mb", "MB", integer(1, 16_777_216), Absent,
        "Memory of the machine."),
    key("machine", "link_mbps", "Mbit/s", number(0, 1_000_000), Absent,
        "Bandwidth of the network link of the machine."),
    key("machine", "descriptors", "", integer(1, 16_777_216), Absent,
        "Number of file descriptors that the process may open."),
    key("exchange", "own_zone_first", "", ValueKind::Boolean, Literal("true"),
        "Whether nodes exchange state with peers in their own zone first, which keeps traffic between zones independent of the number of nodes in a zone."),
    key("cluster", "seeds", "", ValueKind::AddressList { maximum_items: 64 }, Literal("[]"),
        "Addresses of some nodes, for joining the cluster. Only the hosts are used; the port is that of `node.peer_address`."),
    key("store", "address", "", ValueKind::Address, Required,
        "TCP address of the store of the configuration and the instances."),
    key("timing", "flow_lifetime_s", "s", integer(1, 86_400), Literal("120"),
        "Maximum lifetime of a flow. Instances whose records were deleted are remembered at least this long."),
    key("timing", "leave_grace_ms", "ms", integer(0, 600_000), Literal("3000"),
        "How long a leaving node continues to forward. Must be longer than routers take to notice that it is not ready."),
    key("timing", "watch_wait_ms", "ms", integer(200, 30_000), Literal("750"),
        "How long the store keeps a watch open. Limits the time until a dead connection is detected."),
    key("timing", "in_force_within_ms", "ms", integer(100, 3_600_000), Literal("3000"),
        "Time within which a configuration change must take effect. A node that receives no confirmation of its state for half of this time reads from the store itself."),
    key("timing", "drained_within_ms", "ms", integer(100, 3_600_000), Literal("3000"),
        "Time within which a draining backend must stop receiving new flows. Also limits the age of a node's state, like `in_force_within_ms`."),
    key("timing", "zone_drained_within_ms", "ms", integer(100, 3_600_000), Absent,
        "Time within which the instances of a drained zone must stop receiving new flows. Also limits the age of a node's state, like `in_force_within_ms`. If absent, nodes do not read which zones are drained."),
    key("cold", "overshoot", "", number(0, 1_000), Absent,
        "Limit of the flows that all nodes together may open to cold instances, as a factor of the configured capacity of these instances. If absent, there is no limit, regardless of `slack`."),
    key("cold", "slack", "flows/s", integer(0, 1_000_000), Literal("0"),
        "Flows per second that cold instances may receive in addition to that limit."),
    key("flows", "capacity", "", integer(2, 1_048_576), Literal("8192"),
        "Maximum number of open flows that a node tracks, at about 100 bytes each. Beyond that, the flows idle the longest are evicted; an evicted flow is reset at its next packet instead of while it is idle."),
    key("flows", "end_resting", "", ValueKind::Boolean, Literal("true"),
        "Whether idle flows of an instance that has ended are reset before their clients send a packet."),
    key("outliers", "largest_share", "", number(0, 1), Literal("0.4"),
        "Maximum fraction of the instances of a service that may be ejected as outliers because their answers fail or are late. With 0, nodes do not report answers and no instance is ejected."),
    key("placement", "own_zone_first", "", ValueKind::Boolean, Literal("true"),
        "Whether new flows are sent to instances in the node's own zone while these have spare capacity. Otherwise all zones are treated equally."),
    key("admission", "enabled", "", ValueKind::Boolean, Literal("true"),
        "Whether new flows are refused, lowest priority first, while most instances of their service queue and reject requests."),
    key("admission", "lost_percent", "%", integer(0, 100), Literal("16"),
        "Percentage of the requests of a service that its instances may reject under overload before fewer flows are admitted. With 0, instances idle between two requests."),
    key("log", "format", "", ValueKind::Choice(&["text", "json"]), Literal("\"json\""),
        "Format of the log lines on standard output."),
    key("log", "level", "", ValueKind::Choice(&["error", "warn", "info", "debug", "trace"]), Literal("\"info\""),
        "Minimum level that is logged."),
];

/// The schema of the settings.
pub const SCHEMA: Schema = Schema {
    keys: KEYS,
    page: "docs/CONFIGURATION.md",
};

/// All settings of the daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses of the node.
    pub node: NodeSettings,
    /// Resources of the machine.
    pub machine: MachineSettings,
    /// Exchange of state with peers.
    pub exchange: PeerExchangeSettings,
    /// Cluster membership.
    pub cluster: ClusterSettings,
    /// Connection to the store.
    pub store: StoreSettings,
    /// Time limits and intervals.
    pub timing: TimingSettings,
    /// Limit of flows to cold instances.
    pub cold: ColdSettings,
    /// Tracking of open flows.
    pub flows: FlowSettings,
    /// Detection of outliers.
    pub outliers: OutlierDetectionSettings,
    /// Placement of new flows.
    pub placement: PlacementSettings,
    /// Admission control under overload.
    pub admission: OverloadSettings,
    /// Settings of the log.
    pub log: LogSettings,
}

/// Identity and addresses of the node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// UDP address that receives client packets.
    pub data_address: SocketAddrV4,
    /// UDP and TCP address for the exchange between nodes.
    pub peer_address: SocketAddrV4,
    /// TCP address of `/readyz` and `/metrics`.
    pub ready_address: SocketAddrV4,
    /// Additional TCP address of `/metrics`.
    pub metrics_address: Option<SocketAddrV4>,
}

/// Resources of the machine, as far as they are specified.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineSettings {
    /// Processor time, in cores.
    pub cpu_share: Option<f64>,
    /// Memory, in MB.
    pub memory_mb: Option<u64>,
    /// Bandwidth of the network link, in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Number of file descriptors.
    pub descriptors: Option<u64>,
}

impl MachineSettings {
    /// Returns the capacity by which cluster-wide duties are assigned.
    #[must_use]
    pub fn capacity(&self) -> MachineCapacity {
        MachineCapacity {
            cores: self.cpu_share,
            memory_mb: self.memory_mb.map(|megabytes| megabytes as f64),
            link_mbps: self.link_mbps,
        }
    }
}

/// Settings of the exchange with peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerExchangeSettings {
    /// Whether state is exchanged with peers in the node's own zone first.
    pub own_zone_first: bool,
}

/// Settings of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// Addresses of some nodes, for joining the cluster.
    pub seeds: Vec<SocketAddrV4>,
}

/// Settings of the store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// TCP address of the store.
    pub address: SocketAddrV4,
}

/// Time limits and intervals.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimingSettings {
    /// Maximum lifetime of a flow, in seconds.
    pub flow_lifetime_s: u64,
    /// How long a leaving node continues to forward, in milliseconds.
    pub leave_grace_ms: u64,
    /// How long the store keeps a watch open, in milliseconds.
    pub watch_wait_ms: u64,
    /// Time within which a configuration change must take effect, in milliseconds.
    pub in_force_within_ms: u64,
    /// Time within which a draining backend must stop receiving new flows, in milliseconds.
    pub drained_within_ms: u64,
    /// Time within which the instances of a drained zone must stop receiving new flows, in
    /// milliseconds; `None` if drained zones are not read.
    pub zone_drained_within_ms: Option<u64>,
}

/// Settings of the placement of new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// Whether instances in the node's own zone are preferred.
    pub own_zone_first: bool,
}

/// Limit of flows to cold instances.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdSettings {
    /// The limit as a factor of their configured capacity; `None` for no limit.
    pub overshoot: Option<f64>,
    /// Additional flows per second.
    pub slack: u32,
}

/// Settings of the tracking of open flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowSettings {
    /// Maximum number of tracked flows.
    pub capacity: usize,
    /// Whether idle flows of instances that have ended are reset.
    pub end_resting: bool,
}

/// Settings of outlier detection.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutlierDetectionSettings {
    /// Maximum fraction of the instances of a service that may be ejected.
    pub largest_share: f64,
}

impl OutlierDetectionSettings {
    /// Returns the settings of the outlier detector.
    #[must_use]
    pub fn outlier_settings(&self) -> OutlierSettings {
        OutlierSettings {
            largest_share: self.largest_share,
            ..OutlierSettings::default()
        }
    }
}

impl ColdSettings {
    /// Returns the limit, if one is configured.
    #[must_use]
    pub fn allowance(&self) -> Option<ColdAllowance> {
        let slack = self.slack;
        let overshoot = self.overshoot?;
        Some(ColdAllowance { overshoot, slack })
    }
}

/// Settings of admission control under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadSettings {
    /// Whether new flows may be refused.
    pub enabled: bool,
    /// Percentage of requests that instances may reject before fewer flows are admitted.
    pub lost_percent: u8,
}

impl OverloadSettings {
    /// Returns the settings in the form used by the traffic threads.
    #[must_use]
    pub fn admission(&self) -> AdmissionSettings {
        AdmissionSettings {
            enabled: self.enabled,
            lost_share: f32::from(self.lost_percent) / 100.0,
        }
    }
}

impl TimingSettings {
    /// Returns how long tombstones of instances are kept: the maximum lifetime of a flow plus a
    /// margin for packets in transit.
    #[must_use]
    pub const fn tombstone_lifetime(&self) -> Duration {
        const MARGIN_SECONDS: u64 = 10;
        Duration::from_secs(self.flow_lifetime_s + MARGIN_SECONDS)
    }

    /// Returns how long a leaving node continues to forward.
    #[must_use]
    pub const fn leave_grace(&self) -> Duration {
        Duration::from_millis(self.leave_grace_ms)
    }

    /// Returns the time within which a leaving instance must stop getting new flows.
    #[must_use]
    pub const fn drained_within(&self) -> Duration {
        Duration::from_millis(self.drained_within_ms)
    }

    /// Returns the age of the last confirmation at which a node reads from the store itself.
    #[must_use]
    pub fn freshness_bound(&self) -> Duration {
        let shortest = self.in_force_within_ms.min(self.drained_within_ms);
        let shortest = shortest.min(self.zone_drained_within_ms.unwrap_or(u64::MAX));
        Duration::from_millis(shortest / 2)
    }

    /// Returns whether nodes read which zones are drained.
    #[must_use]
    pub const fn reads_zones(&self) -> bool {
        self.zone_drained_within_ms.is_some()
    }

    /// Returns how long the store keeps a watch open.
    #[must_use]
    pub const fn watch_wait(&self) -> Duration {
        Duration::from_millis(self.watch_wait_ms)
    }
}

impl Settings {
    /// Returns the zone of the node and the capacity class of its machine.
    #[must_use]
    pub fn place(&self) -> NodePlace {
        NodePlace {
            zone: ZoneKey::of(&self.node.zone),
            class: self.machine.capacity().class(),
        }
    }

    /// Returns the zone whose instances are preferred for new flows, or an empty string if all zones
    /// are treated equally.
    #[must_use]
    pub fn preferred_zone(&self) -> &str {
        if self.placement.own_zone_first {
            &self.node.zone
        } else {
            ""
        }
    }

    /// Returns the addresses at which peers are contacted first: the hosts of the seeds with this
    /// node's peer port.
    #[must_use]
    pub fn peer_seeds(&self) -> Vec<SocketAddrV4> {
        let port = self.node.peer_address.port();
        let seeds = self.cluster.seeds.iter();
        seeds
            .map(|seed| SocketAddrV4::new(*seed.ip(), port))
            .collect()
    }
}

/// Parses and validates settings from the text of a file and the flags that override it.
///
/// # Errors
///
/// Returns all problems found: unknown keys, wrong types and values out of range.
pub fn parse_settings(text: &str, overrides: &[Override]) -> Result<Settings, Problems> {
    let (table, problems) = settings::checked_table(&SCHEMA, text, overrides)?;
    if !problems.is_empty() {
        return Err(Problems(problems));
    }
    settings::into_typed(&SCHEMA, table)
}

/// Reads and validates a settings file. Without a file, all values come from the flags.
///
/// # Errors
///
/// Returns all problems found.
pub fn load_settings(path: Option<&Path>, overrides: &[Override]) -> Result<Settings, Problems> {
    let text = path.map_or(Ok(String::new()), settings::read_file)?;
    parse_settings(&text, overrides)
}
