//! Settings after all checks, in types.

pub use bellyoke_process::log::{LogFormat, LogLevel, LogSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// All settings of one process.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node itself.
    pub node: NodeSettings,
    /// Its peers.
    pub cluster: ClusterSettings,
    /// The platform's store.
    pub platform: PlatformSettings,
    /// The fabric.
    pub fabric: FabricSettings,
    /// The packet path.
    pub traffic: TrafficSettings,
    /// Periods and waits.
    pub timing: TimingSettings,
    /// Bounds.
    pub limits: LimitSettings,
    /// The log.
    pub log: LogSettings,
}

/// The node itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Zone that the machine stands in.
    pub zone: String,
    /// UDP address of encapsulated packets.
    pub data_address: SocketAddr,
    /// UDP address of the messages between balancers.
    pub peer_address: SocketAddr,
    /// TCP address of the operator API.
    pub api_address: SocketAddr,
}

/// The node's peers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// Peer addresses to start from.
    pub peers: Vec<SocketAddr>,
    /// Files with the cluster's secret; the first seals.
    pub key_files: Vec<PathBuf>,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The object API.
    pub url: Option<String>,
    /// Whether this node reads the store.
    pub reader: bool,
}

/// The fabric.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FabricSettings {
    /// UDP address of encapsulated replies.
    pub address: SocketAddr,
}

/// The packet path.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficSettings {
    /// Traffic threads.
    pub threads: usize,
    /// Most packets of one system call.
    pub batch: usize,
    /// Most flows over all traffic threads.
    pub flow_capacity: usize,
    /// Longest inner packet, bytes.
    pub mtu: usize,
    /// Whether checksums of packets are verified.
    pub verify_checksums: bool,
    /// Size asked for socket buffers, bytes.
    pub socket_buffer_bytes: usize,
    /// Most packets in a queue between two threads.
    pub queue_packets: usize,
}

/// Periods and waits, milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimingSettings {
    /// Lease time.
    pub lease_ms: u64,
    /// What a node takes off its own lease.
    pub lease_margin_ms: u64,
    /// Longest time that the network can hold back a packet.
    pub delay_horizon_ms: u64,
    /// Probe period.
    pub probe_ms: u64,
    /// How long a leaving node goes on.
    pub leave_grace_ms: u64,
    /// Longest wait for an answer of the store.
    pub store_timeout_ms: u64,
}

impl TimingSettings {
    /// Lease time.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// What a node takes off its own lease.
    #[must_use]
    pub const fn lease_margin(&self) -> Duration {
        Duration::from_millis(self.lease_margin_ms)
    }

    /// Longest time that the network can hold back a packet.
    #[must_use]
    pub const fn delay_horizon(&self) -> Duration {
        Duration::from_millis(self.delay_horizon_ms)
    }

    /// Probe period.
    #[must_use]
    pub const fn probe_period(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    /// How long a leaving node goes on.
    #[must_use]
    pub const fn leave_grace(&self) -> Duration {
        Duration::from_millis(self.leave_grace_ms)
    }

    /// Longest wait for an answer of the store.
    #[must_use]
    pub const fn store_timeout(&self) -> Duration {
        Duration::from_millis(self.store_timeout_ms)
    }
}

/// Bounds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// Control budget, bytes a second.
    pub control_bytes_per_second: u64,
    /// Most connections of the sorry server.
    pub sorry_connections: usize,
}
