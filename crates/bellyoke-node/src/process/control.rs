//! The state of the control thread, and what each event does to it.

mod report;

use super::metrics::ControlMetrics;
use super::settings::Settings;
use super::shared::Shared;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeEffect, ExchangeSettings, Heartbeat, PeerKey,
};
use bellyoke_core::cookie::follower::{Freshness, Update};
use bellyoke_core::cookie::instance::{Cookie, InstanceEvent, InstanceRecord};
use bellyoke_core::cookie::readiness::{Lifecycle, Unready};
use bellyoke_core::cookie::replica::{Replica, Snapshot, Source, StateChange};
use bellyoke_core::cookie::route::Configuration;
use bellyoke_core::cookie::stall::StallDetector;
use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use bellyoke_process::log::{LogLimiter, log_event};
use prometheus_client::registry::Registry;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Period of [`Control::tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// Lines of one event in one second.
const LOG_ALLOWANCE: u32 = 20;

/// What is read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectKind {
    /// The instances.
    Instances,
    /// The configuration.
    Configuration,
}

impl ObjectKind {
    /// Its name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Instances => "instances",
            Self::Configuration => "configuration",
        }
    }
}

/// The control thread's state.
pub struct Control {
    clock: MonotonicClock,
    shared: Arc<Shared>,
    replica: Replica,
    exchange: Exchange,
    lifecycle: Lifecycle,
    stall: StallDetector,
    random: ChaCha8Rng,
    peer_key: PeerKey,
    registry: Registry,
    metrics: ControlMetrics,
    limiter: LogLimiter,
    /// Heartbeats about changes, for the next tick.
    announcements: Vec<ExchangeEffect>,
    told_suspected: Arc<Vec<Cookie>>,
    was_ready: bool,
    was_reader: bool,
    /// By [`ObjectKind`]: whether the store answers.
    follows: [bool; 2],
    instances_told_at: Timestamp,
    configuration_told_at: Timestamp,
}

impl Control {
    /// A node that knows nothing yet.
    #[must_use]
    pub fn new(settings: &Settings, shared: Arc<Shared>, mut registry: Registry) -> Self {
        let mut random: ChaCha8Rng = rand::make_rng();
        let exchange = Exchange::new(
            ExchangeSettings::default(),
            settings.node.peer_address,
            settings.peer_seeds(),
            random.random(),
        );
        Self {
            clock: shared.clock,
            replica: Replica::new(settings.timing.tombstone_lifetime()),
            exchange,
            lifecycle: Lifecycle::new(settings.timing.leave_grace()),
            stall: StallDetector::default(),
            random,
            peer_key: PeerKey::default(),
            metrics: ControlMetrics::new(&mut registry),
            registry,
            limiter: LogLimiter::with_allowance(Duration::from_secs(1), LOG_ALLOWANCE),
            announcements: Vec::new(),
            told_suspected: Arc::default(),
            was_ready: false,
            was_reader: false,
            follows: [false; 2],
            instances_told_at: Timestamp::ZERO,
            configuration_told_at: Timestamp::ZERO,
            shared,
        }
    }

    /// The process's clock.
    #[must_use]
    pub const fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// The process's randomness.
    pub const fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// The key of peer messages.
    #[must_use]
    pub const fn peer_key(&self) -> &PeerKey {
        &self.peer_key
    }

    /// The counters.
    #[must_use]
    pub const fn metrics(&self) -> &ControlMetrics {
        &self.metrics
    }

    /// All counters in the Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string fails never.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Whether the node takes new flows.
    ///
    /// # Errors
    ///
    /// Why it doesn't.
    pub fn readiness(&self) -> Result<(), Unready> {
        self.lifecycle.ready(
            self.replica.configuration().is_some(),
            self.replica.directory().as_of().is_some(),
        )
    }

    /// All that this node knows.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.replica.snapshot(self.clock.now())
    }

    /// The store tells of instances.
    pub fn instances(&mut self, update: Update<InstanceRecord, InstanceEvent>) {
        let now = self.clock.now();
        self.instances_told_at = now;
        let directory = match update {
            Update::Whole { at, items } => self.replica.replace_instances(now, at, items),
            Update::Changes { at, events } => self.replica.apply_instances(now, at, events),
        };
        let change = StateChange {
            directory,
            ..StateChange::default()
        };
        self.changed(change, Source::Store);
    }

    /// The store tells of the configuration.
    pub fn configurations(&mut self, update: Update<Configuration, Configuration>) {
        self.configuration_told_at = self.clock.now();
        let (Update::Whole {
            items: configurations,
            ..
        }
        | Update::Changes {
            events: configurations,
            ..
        }) = update;
        let mut change = StateChange::default();
        for configuration in configurations {
            change.configuration |= self.replica.adopt_configuration(configuration);
        }
        self.changed(change, Source::Store);
    }

    /// How new the answers to this node's watches must be.
    #[must_use]
    pub fn watch_freshness(&self) -> Freshness {
        if self.exchange.is_reader() {
            Freshness::Newest
        } else {
            Freshness::MayBeStale
        }
    }

    /// The store answers, or has ceased to.
    pub fn note_store(&mut self, kind: ObjectKind, follows: bool) {
        self.follows[kind as usize] = follows;
        self.exchange.set_follows_store(self.follows == [true; 2]);
        let event = if follows {
            EventCode::StoreReachable
        } else {
            EventCode::StoreUnreachable
        };
        log_event(event, format_args!("kind={}", kind.name()));
    }

    /// A peer's snapshot has come.
    pub fn merge(&mut self, from: SocketAddrV4, snapshot: Snapshot) {
        self.metrics.snapshots_fetched.inc();
        let change = self.replica.merge(self.clock.now(), snapshot);
        log_event(
            EventCode::SnapshotFetched,
            format_args!(
                "peer={from} configuration_changed={} instances_changed={}",
                change.configuration, change.directory
            ),
        );
        self.changed(change, Source::Peer);
    }

    /// A peer's snapshot could not be read.
    pub fn fetch_failed(&mut self, from: SocketAddrV4) {
        self.exchange.fetch_failed(from);
    }

    /// A datagram has come from a peer.
    pub fn heartbeat(&mut self, from: SocketAddrV4, bytes: &[u8]) -> Vec<ExchangeEffect> {
        let heartbeat = match Heartbeat::decode(bytes, &self.peer_key) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                self.metrics.heartbeats_rejected.inc();
                self.limiter.log(
                    EventCode::PeerMessagesRejected,
                    self.clock.now(),
                    format_args!("from={from} error={error}"),
                );
                return Vec::new();
            }
        };
        self.metrics.heartbeats_received.inc();
        let replica = &self.replica;
        self.exchange.heartbeat(
            self.clock.now(),
            from,
            &heartbeat,
            replica.versions(),
            |versions| replica.is_behind(versions),
        )
    }

    /// Time has passed.
    pub fn tick(&mut self) -> Vec<ExchangeEffect> {
        let now = self.clock.now();
        let stalled = self.stall.tick(now);
        self.shared.tick(now, stalled.is_some());
        if let Some(gap) = stalled {
            self.metrics.stalls.inc();
            log_event(
                EventCode::StallDetected,
                format_args!("milliseconds={}", gap.as_millis()),
            );
        }
        if self.replica.expire(now) {
            self.publish();
        }
        self.note_role();
        self.exchange_suspicions();
        self.show_state(now);
        let replica = &self.replica;
        let mut effects = std::mem::take(&mut self.announcements);
        effects.extend(self.exchange.tick(now, replica.versions(), |versions| {
            replica.is_behind(versions)
        }));
        effects
    }

    /// The node was asked to stop.
    pub fn leave(&mut self) -> Vec<ExchangeEffect> {
        let now = self.clock.now();
        self.lifecycle.leave(now);
        self.note_readiness();
        self.exchange.leave(self.replica.versions())
    }

    /// When the process may stop, once it was asked to.
    #[must_use]
    pub fn stop_at(&self) -> Option<Timestamp> {
        self.lifecycle.stop_at()
    }

    /// Takes over what of changed settings can change while the process runs.
    pub fn reload(&mut self, settings: &Settings) {
        self.exchange.set_seeds(settings.peer_seeds());
    }

    fn changed(&mut self, change: StateChange, source: Source) {
        if change.configuration {
            self.log_configuration(source);
        }
        if change.directory {
            self.log_instances(source);
        }
        if change.any() {
            self.publish();
            let versions = self.replica.versions();
            self.announcements.extend(self.exchange.changed(versions));
        }
        self.note_readiness();
    }

    fn publish(&self) {
        self.shared.table.store(Arc::new(self.replica.table()));
    }

    /// Tells peers at once of a new suspicion, and the traffic thread of theirs.
    fn exchange_suspicions(&mut self) {
        let suspected = self.shared.suspected.load_full();
        if suspected != self.told_suspected {
            self.exchange.set_suspected(suspected.to_vec());
            self.told_suspected = suspected;
            let versions = self.replica.versions();
            self.announcements.extend(self.exchange.changed(versions));
        }
        let hearsay = self.exchange.suspected_by_peers();
        if **self.shared.hearsay.load() != hearsay {
            self.shared.hearsay.store(Arc::new(hearsay));
        }
    }
}
