//! State of the control thread and its event handlers.

mod report;
mod store;

use super::metrics::ControlMetrics;
use super::settings::{Settings, TimingSettings};
use super::shared::Shared;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::coordinator::{Coordinator, Outcome};
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeEffect, ExchangeSettings, FetchRequest, PeerDatagram, PeerKey, StoreDuty,
};
use bellyoke_core::cookie::follower::Update;
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::cookie::instance::{Cookie, InstanceEvent, InstanceRecord};
use bellyoke_core::cookie::publication::TablePacer;
use bellyoke_core::cookie::reachability::{ProbeBatch, ProbeOutcome};
use bellyoke_core::cookie::readiness::{Lifecycle, Unready};
use bellyoke_core::cookie::replica::{Replica, Snapshot, Source, StateChange, Versions};
use bellyoke_core::cookie::revision::StoreEra;
use bellyoke_core::cookie::route::Configuration;
use bellyoke_core::cookie::zones::{DrainedZone, ZoneEvent};
use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use bellyoke_process::log::{LogLimiter, log_event};
use prometheus_client::registry::Registry;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;

/// Interval between calls of [`Control::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of log lines per event and second.
const LOG_LINES_PER_SECOND: u32 = 20;

/// Minimum interval between publications of reachability that are triggered by peer messages
/// rather than by a tick. Each publication collects all instances considered unreachable.
const REACHABILITY_PUBLICATION_INTERVAL: Duration = Duration::from_millis(50);

/// Creates an empty replica.
fn new_replica(timing: &TimingSettings) -> Replica {
    let tombstone_lifetime = timing.tombstone_lifetime();
    if timing.reads_zones() {
        Replica::reading_zones(tombstone_lifetime)
    } else {
        Replica::new(tombstone_lifetime)
    }
}

/// How long an encoded delta is cached. The bound is short because a delta contains the ages of
/// tombstones.
const ENCODED_DELTA_LIFETIME: Duration = Duration::from_millis(20);

/// The delta that was encoded last, with the versions that it spans.
struct EncodedDelta {
    known: Versions,
    own: Versions,
    encoded_at: Timestamp,
    bytes: Option<Rc<[u8]>>,
}

/// State of the control thread.
pub struct Control {
    clock: MonotonicClock,
    shared: Arc<Shared>,
    coordinator: Coordinator,
    lifecycle: Lifecycle,
    random: ChaCha8Rng,
    peer_key: PeerKey,
    registry: Registry,
    metrics: ControlMetrics,
    limiter: LogLimiter,
    reported_failing: Arc<Vec<Cookie>>,
    /// Notified when a peer requests probes of instances.
    probe_requested: Arc<Notify>,
    was_ready: bool,
    last_duty: StoreDuty,
    /// Whether the state rested on a read of the newest state when that was last logged.
    rested_on_newest_read: bool,
    was_busy: bool,
    last_delta: Option<EncodedDelta>,
    tables: TablePacer,
    /// Earliest time at which a peer message may trigger the next publication of reachability.
    next_reachability_publication: Timestamp,
    /// The era of the store that was logged last.
    logged_era: StoreEra,
}

impl Control {
    /// Creates the state of a node that has no configuration or instances yet.
    #[must_use]
    pub fn new(settings: &Settings, shared: Arc<Shared>, mut registry: Registry) -> Self {
        let mut random: ChaCha8Rng = rand::make_rng();
        let exchange_settings = ExchangeSettings {
            freshness_bound: settings.timing.freshness_bound(),
            reads_zones: settings.timing.reads_zones(),
            own_zone_first: settings.exchange.own_zone_first,
            ..ExchangeSettings::default()
        };
        let exchange = Exchange::new(
            exchange_settings,
            settings.node.peer_address,
            settings.peer_seeds(),
            random.random(),
        )
        .with_place(settings.place());
        Self {
            clock: shared.clock,
            coordinator: Coordinator::new(new_replica(&settings.timing), exchange)
                .with_outlier_settings(settings.outliers.outlier_settings()),
            lifecycle: Lifecycle::new(settings.timing.leave_grace()),
            random,
            peer_key: PeerKey::default(),
            metrics: ControlMetrics::new(&mut registry),
            registry,
            limiter: LogLimiter::with_allowance(Duration::from_secs(1), LOG_LINES_PER_SECOND),
            reported_failing: Arc::default(),
            probe_requested: Arc::default(),
            was_ready: false,
            last_duty: StoreDuty::Listener,
            rested_on_newest_read: false,
            was_busy: false,
            last_delta: None,
            tables: TablePacer::default(),
            next_reachability_publication: Timestamp::ZERO,
            logged_era: StoreEra::default(),
            shared,
        }
    }

    /// Returns the clock of the process.
    #[must_use]
    pub const fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// Returns the random number generator of the control thread.
    pub const fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Returns the key that authenticates peer messages.
    #[must_use]
    pub const fn peer_key(&self) -> &PeerKey {
        &self.peer_key
    }

    /// Returns the metrics of the control thread.
    #[must_use]
    pub const fn metrics(&self) -> &ControlMetrics {
        &self.metrics
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Checks whether the node is ready for new flows.
    ///
    /// # Errors
    ///
    /// Returns the reason if the node is not ready.
    pub fn readiness(&self) -> Result<(), Unready> {
        let known = self.coordinator.replica().versions();
        self.lifecycle.ready(known)
    }

    /// Builds a snapshot of the state that the requesting peer lacks.
    #[must_use]
    pub fn snapshot_for(&self, request: FetchRequest) -> Snapshot {
        self.coordinator.snapshot_for(self.clock.now(), request)
    }

    /// Builds the request for the state that this node lacks.
    #[must_use]
    pub fn fetch_request(&self) -> FetchRequest {
        self.coordinator.fetch_request()
    }

    /// Returns the encoded delta for a peer with the versions `known`, or `None` if there is no
    /// delta from these versions or it is too long.
    ///
    /// The last message is cached briefly because a change is usually sent to several peers with
    /// the same versions.
    pub fn delta_for(&mut self, known: Versions) -> Option<Rc<[u8]>> {
        let now = self.clock.now();
        let own = self.coordinator.replica().versions();
        if let Some(cached) = &self.last_delta
            && (cached.known, cached.own) == (known, own)
            && now.since(cached.encoded_at) < ENCODED_DELTA_LIFETIME
        {
            return cached.bytes.clone();
        }
        let message = self.coordinator.delta_for(now, known);
        let bytes = message.and_then(|message| message.encode(&self.peer_key).ok());
        let bytes: Option<Rc<[u8]>> = bytes.map(Into::into);
        self.last_delta = Some(EncodedDelta {
            known,
            own,
            encoded_at: now,
            bytes: bytes.clone(),
        });
        bytes
    }

    /// Applies an update of instances from the store.
    pub fn apply_instances(
        &mut self,
        update: Update<InstanceRecord, InstanceEvent>,
    ) -> Vec<ExchangeEffect> {
        let received = update.at();
        let known = self.known_up_to(ObjectKind::Instances);
        let outcome = self.coordinator.apply_instances(self.clock.now(), update);
        if received < known {
            self.log_stale_state(ObjectKind::Instances, received, known);
        }
        self.apply_outcome(outcome, Source::Store)
    }

    /// Applies an update of the configuration from the store.
    pub fn apply_configurations(
        &mut self,
        update: Update<Configuration, Configuration>,
    ) -> Vec<ExchangeEffect> {
        let received = update.last().map(|last| (last.version, last.revision));
        let outcome = self
            .coordinator
            .apply_configurations(self.clock.now(), update);
        if let Some((version, revision)) = received {
            self.log_ignored_configuration(version, revision);
        }
        self.apply_outcome(outcome, Source::Store)
    }

    /// Applies an update of drained zones from the store.
    pub fn apply_zones(&mut self, update: Update<DrainedZone, ZoneEvent>) -> Vec<ExchangeEffect> {
        let outcome = self.coordinator.apply_zones(self.clock.now(), update);
        self.apply_outcome(outcome, Source::Store)
    }

    /// Applies a snapshot fetched from a peer.
    pub fn apply_snapshot(
        &mut self,
        from: SocketAddrV4,
        snapshot: Snapshot,
    ) -> Vec<ExchangeEffect> {
        self.metrics.snapshots_fetched.inc();
        let outcome = self
            .coordinator
            .apply_snapshot(self.clock.now(), from, snapshot);
        log_event(
            EventCode::SnapshotFetched,
            format_args!(
                "peer={from} configuration_changed={} instances_changed={} zones_changed={}",
                outcome.change.configuration, outcome.change.directory, outcome.change.zones
            ),
        );
        self.apply_outcome(outcome, Source::Peer)
    }

    /// Records that a part of a peer's snapshot was received.
    pub fn record_fetch_progress(&mut self, from: SocketAddrV4) {
        self.coordinator
            .record_fetch_progress(self.clock.now(), from);
    }

    /// Records that fetching a peer's snapshot failed.
    pub fn fetch_failed(&mut self, from: SocketAddrV4) {
        self.coordinator.fetch_failed(from);
    }

    /// Handles a datagram from a peer.
    pub fn handle_datagram(&mut self, from: SocketAddrV4, bytes: &[u8]) -> Vec<ExchangeEffect> {
        let datagram = match PeerDatagram::decode(bytes, &self.peer_key) {
            Ok(datagram) => datagram,
            Err(error) => {
                self.metrics.peer_messages_rejected.inc();
                self.limiter.log(
                    EventCode::PeerMessagesRejected,
                    self.clock.now(),
                    format_args!("from={from} error={error}"),
                );
                return Vec::new();
            }
        };
        match datagram {
            PeerDatagram::Heartbeat(_) => self.metrics.heartbeats_received.inc(),
            PeerDatagram::Delta(_) => self.metrics.deltas_received.inc(),
            PeerDatagram::Outliers(_) => self.metrics.outlier_messages_received.inc(),
            PeerDatagram::ProbeRequest(_) => {
                self.probe_requested.notify_one();
                self.metrics.probe_requests_received.inc()
            }
            PeerDatagram::Refutation(_) => self.metrics.refutations_received.inc(),
            PeerDatagram::Findings(_) => self.metrics.findings_received.inc(),
        };
        let now = self.clock.now();
        let affects_reachability = matches!(
            datagram,
            PeerDatagram::ProbeRequest(_) | PeerDatagram::Refutation(_) | PeerDatagram::Findings(_)
        );
        let outcome = self.coordinator.handle_datagram(now, from, datagram);
        if affects_reachability && now >= self.next_reachability_publication {
            self.publish_reachability(now);
        }
        self.apply_outcome(outcome, Source::Peer)
    }

    /// Returns the notification that is triggered when a peer requests probes of instances.
    #[must_use]
    pub fn probe_requested(&self) -> Arc<Notify> {
        Arc::clone(&self.probe_requested)
    }

    /// Marks instances as suspected because openings of the traffic thread failed there.
    pub fn suspect(&mut self, cookies: &[Cookie]) {
        self.coordinator.suspect(self.clock.now(), cookies);
    }

    /// Returns the next probe to start, if an instance needs verification.
    pub fn next_probe(&mut self) -> Option<ProbeBatch> {
        let healthy = self.shared.healthy.load();
        self.coordinator.next_probe(self.clock.now(), &healthy)
    }

    /// Records the outcomes of a finished probe.
    pub fn record_probes(&mut self, outcomes: &[(Cookie, ProbeOutcome)]) -> Vec<ExchangeEffect> {
        let now = self.clock.now();
        self.report_probes(now, outcomes);
        let (changes, effects) = self.coordinator.record_probes(now, outcomes);
        for change in changes {
            self.log_reachability(now, change);
        }
        self.publish_reachability(now);
        effects
    }

    /// Performs the periodic work. Called every [`TICK_INTERVAL`].
    pub fn tick(&mut self) -> Vec<ExchangeEffect> {
        let now = self.clock.now();
        let paced = self.shared.link_paced.load(Ordering::Relaxed);
        self.coordinator.set_link_paced(paced);
        let (outcome, stalled) = self.coordinator.tick(now);
        self.shared.tick(now, stalled.is_some());
        if let Some(gap) = stalled {
            self.metrics.stalls.inc();
            log_event(
                EventCode::StallDetected,
                format_args!("milliseconds={}", gap.as_millis()),
            );
        }
        self.publish_table_changes(now, outcome.change);
        let mut effects = outcome.effects;
        effects.extend(self.exchange_suspicions(now));
        effects.extend(self.report_alive(now));
        effects.extend(self.review_outliers(now));
        self.publish_reachability(now);
        self.log_duty_change(now);
        self.log_confirmation_change(now);
        let nodes = self.coordinator.node_count_upper_bound(now).ceil();
        self.shared
            .node_count_upper_bound
            .store(nodes as u64, Ordering::Relaxed);
        self.update_gauges(now);
        effects
    }

    /// Starts to leave the cluster after a request to stop.
    pub fn leave(&mut self) -> Vec<ExchangeEffect> {
        let now = self.clock.now();
        self.lifecycle.leave(now);
        self.log_readiness_change();
        self.coordinator.leave(now)
    }

    /// Returns when the process may stop, or `None` if it is not leaving.
    #[must_use]
    pub fn stop_at(&self) -> Option<Timestamp> {
        self.lifecycle.stop_at()
    }

    /// Applies the settings that can change at run time.
    pub fn reload(&mut self, settings: &Settings) {
        self.coordinator.set_seeds(settings.peer_seeds());
    }

    /// Logs and publishes the changes of an outcome and returns its effects.
    fn apply_outcome(&mut self, outcome: Outcome, source: Source) -> Vec<ExchangeEffect> {
        self.record_era(source);
        if outcome.change.configuration {
            self.log_configuration(source);
        }
        if outcome.change.directory {
            self.log_instances(source);
        }
        if outcome.change.zones {
            self.log_zones(source);
        }
        self.publish_table_changes(self.clock.now(), outcome.change);
        self.log_readiness_change();
        outcome.effects
    }

    /// Records changes and publishes the forwarding table once it is due, or immediately if the
    /// published table is still uninitialized.
    fn publish_table_changes(&mut self, now: Timestamp, change: StateChange) {
        self.tables.record_change(now, change);
        let is_uninitialized =
            self.tables.has_unpublished_changes() && !self.shared.table.load().is_initialized();
        if self.tables.is_due(now) || is_uninitialized {
            let table = self.coordinator.replica().table();
            self.shared.table.store(Arc::new(table));
            self.tables
                .record_publication(now, self.clock.now().since(now));
        }
    }

    /// Publishes the reachability of instances to the traffic thread.
    fn publish_reachability(&mut self, now: Timestamp) {
        self.next_reachability_publication = now.after(REACHABILITY_PUBLICATION_INTERVAL);
        let unreachable = self.coordinator.unreachable(now);
        if **self.shared.unreachable.load() != unreachable {
            self.shared.unreachable.store(Arc::new(unreachable));
        }
        let ended = self.coordinator.ended(now);
        if **self.shared.ended.load() != ended {
            self.shared.ended.store(Arc::new(ended));
        }
        let under_verification = self.coordinator.under_verification(now);
        if **self.shared.under_verification.load() != under_verification {
            self.shared
                .under_verification
                .store(Arc::new(under_verification));
        }
        let avoided = self.coordinator.avoided(now);
        if **self.shared.avoided.load() != avoided {
            self.shared.avoided.store(Arc::new(avoided));
        }
    }

    /// Reports instances under verification that the traffic thread has seen alive to peers.
    fn report_alive(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        let alive = self.shared.alive.load_full();
        if alive.is_empty() {
            return Vec::new();
        }
        let (dropped, effects) = self.coordinator.report_alive(now, &alive);
        for cookie in dropped {
            self.log_refutation(now, cookie);
        }
        effects
    }

    /// Records the request outcomes of the traffic thread and publishes the current outliers to it.
    fn review_outliers(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        let table = self.shared.table.load_full();
        let tallies = self
            .shared
            .tallies
            .lock()
            .map(|mut tallies| std::mem::take(&mut *tallies));
        let tallies = tallies.unwrap_or_default();
        self.count_answers(&tallies);
        self.coordinator.record_answers(now, &table, &tallies);
        let (changes, effects) = self.coordinator.review_outliers(now, &table);
        for change in changes {
            self.log_outlier(now, &change);
        }
        let outliers = self.coordinator.outliers();
        if **self.shared.outliers.load() != *outliers {
            let outliers = Arc::new(outliers.clone());
            self.log_outliers(now, &outliers);
            self.shared.outliers.store(outliers);
        }
        effects
    }

    /// Reports new suspicions to peers and publishes the suspicions of peers to the traffic thread.
    fn exchange_suspicions(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        let failing = self.shared.failing.load_full();
        if failing != self.reported_failing {
            effects = self.coordinator.set_failing(now, failing.to_vec());
            self.reported_failing = failing;
        }
        let suspected = self.coordinator.peer_suspicions();
        if **self.shared.peer_suspicions.load() != suspected {
            self.shared.peer_suspicions.store(Arc::new(suspected));
        }
        effects
    }
}
