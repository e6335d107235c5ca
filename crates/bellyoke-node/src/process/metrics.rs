//! Metrics of the control thread.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the histogram buckets for the duration of list calls, in seconds.
const LIST_SECONDS_BUCKETS: [f64; 7] = [0.005, 0.02, 0.05, 0.1, 0.3, 0.7, 1.5];

/// Labels of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Kind of the objects.
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

/// Labels of bytes sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerBytesLabels {
    /// `heartbeat`, `delta`, `question`, `findings`, `objection`, `outliers` or `snapshot`.
    pub kind: &'static str,
    /// `own_zone`, `other_zone`, or `unknown` if the zone of the receiver is not known.
    pub to: &'static str,
}

/// Labels of request outcomes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// `usual`, `slow` or `failed`.
    pub quality: &'static str,
}

/// Metrics of the control thread.
#[derive(Debug)]
pub struct ControlMetrics {
    /// Duration of list calls to the store, in seconds. Watches are excluded because they wait by
    /// design.
    pub list_seconds: Histogram,
    /// Calls to the store by kind of object, call and outcome.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Bytes sent to peers, by kind of message and whether they leave the zone.
    pub peer_bytes_sent: Family<PeerBytesLabels, Counter>,
    /// Heartbeats sent to peers.
    pub heartbeats_sent: Counter,
    /// Heartbeats received from peers.
    pub heartbeats_received: Counter,
    /// Probe requests sent to peers.
    pub probe_requests_sent: Counter,
    /// Probe requests received from peers.
    pub probe_requests_received: Counter,
    /// Malformed objects read from the store, counted at each read.
    pub objects_rejected: Counter,
    /// Answers of the store that contained older state than this node has.
    pub stale_states: Counter,
    /// Era of the store; zero if the store does not report one.
    pub store_era: Gauge,
    /// Messages with findings of probes sent to peers.
    pub findings_sent: Counter,
    /// Messages with findings of probes received from peers.
    pub findings_received: Counter,
    /// Refutations of suspicions sent to peers.
    pub refutations_sent: Counter,
    /// Refutations of suspicions received from peers.
    pub refutations_received: Counter,
    /// Probes of instances by outcome.
    pub probes: Family<ProbeLabels, Counter>,
    /// Instances that this node cannot reach.
    pub unreachable: Gauge,
    /// Requests by how their answers compare with the baseline of the route.
    pub answers: Family<AnswerLabels, Counter>,
    /// Outliers, instances that are avoided because their answers fail or are late.
    pub outliers: Gauge,
    /// Outlier reports and verdicts sent to peers.
    pub outlier_messages_sent: Counter,
    /// Outlier reports and verdicts received from peers.
    pub outlier_messages_received: Counter,
    /// Deltas sent to peers.
    pub deltas_sent: Counter,
    /// Deltas received from peers.
    pub deltas_received: Counter,
    /// Peer messages that could not be decoded.
    pub peer_messages_rejected: Counter,
    /// Snapshots fetched from peers.
    pub snapshots_fetched: Counter,
    /// Stalls of the process.
    pub stalls: Counter,
    /// Peers from which heartbeats were received recently.
    pub peers: Gauge,
    /// Known instances, including deleted ones.
    pub instances: Gauge,
    /// Drained zones.
    pub drained_zones: Gauge,
    /// Version of the current configuration.
    pub configuration_version: Gauge,
    /// Milliseconds since the state was last confirmed to be the newest; -1 if it never was.
    pub confirmation_age_milliseconds: Gauge,
}

impl ControlMetrics {
    /// Creates the metrics and registers them with `registry`.
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
            "Duration of list calls to the store in seconds",
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
                "Heartbeats received from peers",
                &metrics.heartbeats_received,
            ),
            (
                "questions_received",
                "Probe requests received from peers",
                &metrics.probe_requests_received,
            ),
            (
                "questions_sent",
                "Probe requests sent to peers",
                &metrics.probe_requests_sent,
            ),
            (
                "objects_rejected",
                "Malformed objects read from the store, counted at each read",
                &metrics.objects_rejected,
            ),
            (
                "old_states",
                "Answers of the store that contained older state than the node has",
                &metrics.stale_states,
            ),
            (
                "findings_received",
                "Messages with findings of probes received from peers",
                &metrics.findings_received,
            ),
            (
                "findings_sent",
                "Messages with findings of probes sent to peers",
                &metrics.findings_sent,
            ),
            (
                "objections_received",
                "Refutations of suspected instances received from peers",
                &metrics.refutations_received,
            ),
            (
                "objections_sent",
                "Refutations of suspected instances sent to peers",
                &metrics.refutations_sent,
            ),
            (
                "outlier_messages_sent",
                "Outlier reports and verdicts sent to peers",
                &metrics.outlier_messages_sent,
            ),
            (
                "outlier_messages_received",
                "Outlier reports and verdicts received from peers",
                &metrics.outlier_messages_received,
            ),
            ("deltas_sent", "Deltas sent to peers", &metrics.deltas_sent),
            (
                "deltas_received",
                "Deltas received from peers",
                &metrics.deltas_received,
            ),
            (
                "heartbeats_rejected",
                "Peer messages that could not be decoded",
                &metrics.peer_messages_rejected,
            ),
            (
                "snapshots_fetched",
                "Snapshots fetched from peers",
                &metrics.snapshots_fetched,
            ),
            ("stalls", "Stalls of the process", &metrics.stalls),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "probes",
            "Probes of suspected instances by outcome",
            metrics.probes.clone(),
        );
        registry.register(
            "answers",
            "Requests by how their answers compare with the baseline of their route",
            metrics.answers.clone(),
        );
        let gauges = [
            (
                "unreachable",
                "Instances that this node cannot reach",
                &metrics.unreachable,
            ),
            (
                "outliers",
                "Outliers, instances that are avoided because their answers fail or are late",
                &metrics.outliers,
            ),
            (
                "peers",
                "Peers from which heartbeats were received recently",
                &metrics.peers,
            ),
            (
                "instances",
                "Known instances, including deleted ones",
                &metrics.instances,
            ),
            (
                "drained_zones",
                "Zones whose instances take no new flows",
                &metrics.drained_zones,
            ),
            (
                "store_era",
                "Number of times the store was restored, as reported by the store; 0 if it reports none",
                &metrics.store_era,
            ),
            (
                "configuration_version",
                "Version of the current configuration",
                &metrics.configuration_version,
            ),
            (
                "confirmation_age_milliseconds",
                "Milliseconds since the state was last confirmed to be the newest, -1 if it never was",
                &metrics.confirmation_age_milliseconds,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        metrics
    }
}
