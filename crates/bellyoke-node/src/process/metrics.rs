//! Counters and gauges of the control thread.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets of the store's answers to lists, seconds.
const LIST_SECONDS_BUCKETS: [f64; 7] = [0.005, 0.02, 0.05, 0.1, 0.3, 0.7, 1.5];

/// Labels of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Kind of object.
    pub kind: &'static str,
    /// `list`, `watch` or `stale_watch`.
    pub call: &'static str,
    /// `answered`, `history_gone`, `throttled` or `failed`.
    pub outcome: &'static str,
}

/// Labels of a probe.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ProbeLabels {
    /// `reached`, `unreachable` or `inconclusive`.
    pub outcome: &'static str,
}

/// Labels of bytes that go to peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerBytesLabels {
    /// `heartbeat`, `delta`, `question` or `snapshot`.
    pub kind: &'static str,
    /// `own_zone`, `other_zone`, or `unknown` where the receiver's is not known.
    pub to: &'static str,
}

/// Labels of what became of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// `usual`, `slow` or `failed`.
    pub quality: &'static str,
}

/// What the control thread counts.
#[derive(Debug)]
pub struct ControlMetrics {
    /// Time of the store's answers to lists, seconds. Watches wait by design.
    pub list_seconds: Histogram,
    /// Calls to the store by what came of them.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Bytes sent to peers, by kind of message and whether they leave the zone.
    pub peer_bytes_sent: Family<PeerBytesLabels, Counter>,
    /// Heartbeats sent to peers.
    pub heartbeats_sent: Counter,
    /// Heartbeats received.
    pub heartbeats_received: Counter,
    /// Questions about instances sent to peers.
    pub probe_requests_sent: Counter,
    /// Questions about instances received.
    pub probe_requests_received: Counter,
    /// Objects of the store of which nothing could be made.
    pub objects_rejected: Counter,
    /// Answers of the store that told an older state than was known.
    pub stale_states: Counter,
    /// The store's era; zero if it tells none.
    pub store_era: Gauge,
    /// Messages of what probes found sent to peers.
    pub findings_sent: Counter,
    /// Messages of what probes found received.
    pub findings_received: Counter,
    /// Objections to questions sent to peers.
    pub refutations_sent: Counter,
    /// Objections to questions received.
    pub refutations_received: Counter,
    /// Probes of instances, by what they found.
    pub probes: Family<ProbeLabels, Counter>,
    /// Instances that this node can't reach.
    pub unreachable: Gauge,
    /// Requests by how their answers compared with the route's usual ones.
    pub answers: Family<AnswerLabels, Counter>,
    /// Instances whose answers fail, so that others are preferred.
    pub outliers: Gauge,
    /// Reports and verdicts of answers sent to peers.
    pub outlier_messages_sent: Counter,
    /// Reports and verdicts of answers received.
    pub outlier_messages_received: Counter,
    /// Deltas sent to peers.
    pub deltas_sent: Counter,
    /// Deltas received.
    pub deltas_received: Counter,
    /// Peer messages that could not be decoded.
    pub peer_messages_rejected: Counter,
    /// Snapshots read from peers.
    pub snapshots_fetched: Counter,
    /// Stalls of the process.
    pub stalls: Counter,
    /// Peers heard of late.
    pub peers: Gauge,
    /// Instances known, gone ones included.
    pub instances: Gauge,
    /// Zones that are drained.
    pub drained_zones: Gauge,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Milliseconds since the state was last known to be the newest; -1 if it never was.
    pub confirmation_age_milliseconds: Gauge,
}

impl ControlMetrics {
    /// New metrics, which `registry` shows.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            list_seconds: Histogram::new(LIST_SECONDS_BUCKETS),
            store_calls: Family::default(),
            peer_bytes_sent: Family::default(),
            heartbeats_sent: Counter::default(),
            heartbeats_received: Counter::default(),
            probe_requests_sent: Counter::default(),
            probe_requests_received: Counter::default(),
            objects_rejected: Counter::default(),
            stale_states: Counter::default(),
            store_era: Gauge::default(),
            findings_sent: Counter::default(),
            findings_received: Counter::default(),
            refutations_sent: Counter::default(),
            refutations_received: Counter::default(),
            probes: Family::default(),
            unreachable: Gauge::default(),
            answers: Family::default(),
            outliers: Gauge::default(),
            outlier_messages_sent: Counter::default(),
            outlier_messages_received: Counter::default(),
            deltas_sent: Counter::default(),
            deltas_received: Counter::default(),
            peer_messages_rejected: Counter::default(),
            snapshots_fetched: Counter::default(),
            stalls: Counter::default(),
            peers: Gauge::default(),
            instances: Gauge::default(),
            drained_zones: Gauge::default(),
            configuration_version: Gauge::default(),
            confirmation_age_milliseconds: Gauge::default(),
        };
        registry.register(
            "list_seconds",
            "Time of the store's answers to lists",
            metrics.list_seconds.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store by kind of object, call and outcome",
            metrics.store_calls.clone(),
        );
        registry.register(
            "peer_bytes_sent",
            "Bytes sent to peers, by kind of message and whether they leave the zone",
            metrics.peer_bytes_sent.clone(),
        );
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
                "questions_received",
                "Questions about instances received",
                &metrics.probe_requests_received,
            ),
            (
                "questions_sent",
                "Questions about instances sent to peers",
                &metrics.probe_requests_sent,
            ),
            (
                "objects_rejected",
                "Objects of the store of which nothing could be made, as often as they were read",
                &metrics.objects_rejected,
            ),
            (
                "old_states",
                "Answers of the store that told an older state than was known",
                &metrics.stale_states,
            ),
            (
                "findings_received",
                "Messages of what probes of instances found received",
                &metrics.findings_received,
            ),
            (
                "findings_sent",
                "Messages of what probes of instances found sent to peers",
                &metrics.findings_sent,
            ),
            (
                "objections_received",
                "Objections to questions about instances received",
                &metrics.refutations_received,
            ),
            (
                "objections_sent",
                "Objections to questions about instances sent to peers",
                &metrics.refutations_sent,
            ),
            (
                "outlier_messages_sent",
                "Reports and verdicts of answers sent to peers",
                &metrics.outlier_messages_sent,
            ),
            (
                "outlier_messages_received",
                "Reports and verdicts of answers received",
                &metrics.outlier_messages_received,
            ),
            ("deltas_sent", "Deltas sent to peers", &metrics.deltas_sent),
            (
                "deltas_received",
                "Deltas received",
                &metrics.deltas_received,
            ),
            (
                "heartbeats_rejected",
                "Peer messages dropped as malformed",
                &metrics.peer_messages_rejected,
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
        registry.register(
            "probes",
            "Probes of instances in question by outcome",
            metrics.probes.clone(),
        );
        registry.register(
            "answers",
            "Requests by how their answers compared with the usual ones of their route",
            metrics.answers.clone(),
        );
        let gauges = [
            (
                "unreachable",
                "Instances that this node can't reach",
                &metrics.unreachable,
            ),
            (
                "outliers",
                "Instances whose answers fail, unlike those of others",
                &metrics.outliers,
            ),
            ("peers", "Peers heard of late", &metrics.peers),
            (
                "instances",
                "Instances known, gone ones included",
                &metrics.instances,
            ),
            (
                "drained_zones",
                "Zones whose instances take no new flows",
                &metrics.drained_zones,
            ),
            (
                "store_era",
                "How often the store has been restored, as it tells; 0 if it doesn't",
                &metrics.store_era,
            ),
            (
                "configuration_version",
                "Version of the configuration in force",
                &metrics.configuration_version,
            ),
            (
                "confirmation_age_milliseconds",
                "Time since the state was known to be the newest, -1 for never",
                &metrics.confirmation_age_milliseconds,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        metrics
    }
}
