//! Counters and gauges of the control thread.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// What the control thread counts.
#[derive(Debug, Default)]
pub struct ControlMetrics {
    /// Heartbeats sent to peers.
    pub heartbeats_sent: Counter,
    /// Heartbeats received.
    pub heartbeats_received: Counter,
    /// Peer messages that could not be decoded.
    pub heartbeats_rejected: Counter,
    /// Snapshots read from peers.
    pub snapshots_fetched: Counter,
    /// Stalls of the process.
    pub stalls: Counter,
    /// Peers heard of late.
    pub peers: Gauge,
    /// Instances known, gone ones included.
    pub instances: Gauge,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Milliseconds since the store last told of instances.
    pub instances_age_milliseconds: Gauge,
    /// Milliseconds since the store last told of the configuration.
    pub configuration_age_milliseconds: Gauge,
}

impl ControlMetrics {
    /// New metrics, which `registry` shows.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let counters = [
            (
                "heartbeats_sent",
                "Heartbeats sent to peers",
                &metrics.heartbeats_sent,
            ),
            (
                "heartbeats_received",
                "Heartbeats received",
                &metrics.heartbeats_received,
            ),
            (
                "heartbeats_rejected",
                "Peer messages dropped as malformed",
                &metrics.heartbeats_rejected,
            ),
            (
                "snapshots_fetched",
                "Snapshots read from peers",
                &metrics.snapshots_fetched,
            ),
            (
                "stalls",
                "Times that the process stood still",
                &metrics.stalls,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            ("peers", "Peers heard of late", &metrics.peers),
            (
                "instances",
                "Instances known, gone ones included",
                &metrics.instances,
            ),
            (
                "configuration_version",
                "Version of the configuration in force",
                &metrics.configuration_version,
            ),
            (
                "instances_age_milliseconds",
                "Time since the store told of instances",
                &metrics.instances_age_milliseconds,
            ),
            (
                "configuration_age_milliseconds",
                "Time since the store told of the configuration",
                &metrics.configuration_age_milliseconds,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        metrics
    }
}
