//! One list of all keys: checks, flags and documentation are made from it.

use bellyoke_process::settings::descriptor::DefaultValue::{Absent, Literal, Required};
use bellyoke_process::settings::descriptor::{KeyDescriptor, Schema, ValueKind, integer, key};

/// The settings of the balancer.
pub const SCHEMA: Schema = Schema {
    keys: KEYS,
    page: "docs/CONFIGURATION.md",
};

/// All keys, in the order of the documentation.
#[rustfmt::skip]
pub const KEYS: &[KeyDescriptor] = &[
    key("node", "zone", "", ValueKind::Name, Required,
        "Zone that the machine stands in: machines that fail together."),
    key("node", "data_address", "", ValueKind::Address, Required,
        "UDP address that receives encapsulated packets and sends them to backends."),
    key("node", "peer_address", "", ValueKind::Address, Required,
        "UDP address of the messages between balancers."),
    key("node", "api_address", "", ValueKind::Address, Required,
        "TCP address of the operator API: status, health and metrics."),
    key("cluster", "peers", "", ValueKind::AddressList { maximum_items: 64 }, Literal("[]"),
        "Peer addresses to start from; the node's own may be among them."),
    key("cluster", "key_files", "", ValueKind::PathList { maximum_items: 2 }, Required,
        "Files with the cluster's secret, 32 to 4096 bytes each: the first seals, both open, so that keys can be rotated."),
    key("platform", "url", "", ValueKind::Url, Absent,
        "The platform's object API."),
    key("platform", "reader", "", ValueKind::Boolean, Literal("false"),
        "Whether this node reads services and backends in the store and publishes generations; two or three nodes should."),
    key("fabric", "address", "", ValueKind::Address, Required,
        "UDP address that encapsulated replies to callers are sent to: refusals and resets."),
    key("traffic", "threads", "threads", integer(1, 64), Literal("2"),
        "Traffic threads, each with a socket of its own."),
    key("traffic", "batch", "packets", integer(1, 256), Literal("64"),
        "Most packets that one system call receives or sends."),
    key("traffic", "flow_capacity", "flows", integer(1024, 16_777_216), Literal("524288"),
        "Most flows that the node remembers, over all traffic threads."),
    key("traffic", "mtu", "bytes", integer(576, 9000), Literal("1500"),
        "Longest packet that is forwarded, without the tunnel's headers."),
    key("traffic", "verify_checksums", "", ValueKind::Boolean, Literal("true"),
        "Whether checksums of packets are verified before they are forwarded."),
    key("traffic", "socket_buffer_bytes", "bytes", integer(65_536, 67_108_864), Literal("8388608"),
        "Receive and send buffer asked for each data socket; the kernel may grant less."),
    key("traffic", "queue_packets", "packets", integer(64, 65_536), Literal("4096"),
        "Most packets that wait between two threads; more are dropped and counted."),
    key("timing", "lease_ms", "ms", integer(200, 60_000), Literal("3000"),
        "Lease time: how long a node may open flows after a quorum answered."),
    key("timing", "lease_margin_ms", "ms", integer(10, 30_000), Literal("300"),
        "Margin that a node takes off its own lease for clocks of different rates and thread delays."),
    key("timing", "delay_horizon_ms", "ms", integer(10, 60_000), Literal("2000"),
        "Longest time that the network can hold back a packet."),
    key("timing", "probe_ms", "ms", integer(20, 60_000), Literal("1000"),
        "Period in which one peer is probed."),
    key("timing", "leave_grace_ms", "ms", integer(0, 600_000), Literal("3000"),
        "How long a leaving node goes on forwarding; longer than the fabric takes to forget it."),
    key("timing", "store_timeout_ms", "ms", integer(100, 60_000), Literal("5000"),
        "Longest wait for one answer of the store."),
    key("limits", "control_bytes_per_second", "bytes/s", integer(2048, 100_000_000), Literal("8192"),
        "Control budget: most bytes a second that the node sends to its peers, relayed packets left out."),
    key("limits", "sorry_connections", "connections", integer(1, 65_536), Literal("1024"),
        "Most connections that the sorry server holds at once; more are dropped, and the caller sends again."),
    key("log", "format", "", ValueKind::Choice(&["text", "json"]), Literal("\"text\""),
        "Form of the log lines on standard error."),
    key("log", "level", "", ValueKind::Choice(&["error", "warn", "info", "debug", "trace"]), Literal("\"info\""),
        "Least level that is logged."),
];
