//! The decision for each packet.

mod ending;
mod following;
mod placing;

use crate::cookie::admission::{AdmissionChange, AdmissionGate, AdmissionSettings};
use crate::cookie::answers::AnswerMonitor;
use crate::cookie::cold::ColdLimiter;
use crate::cookie::flow_resets::FlowResetQueue;
use crate::cookie::flows::FlowTable;
use crate::cookie::health::{HealthChange, HealthSettings, OpeningMonitor};
use crate::cookie::instance::Cookie;
use crate::cookie::last_seen::LastSeenTable;
use crate::cookie::load::LoadMeter;
use crate::cookie::locality::{ShareChange, ZonePlacements, ZonePreference, imbalance};
use crate::cookie::outliers::{InstanceTally, TallyBook};
use crate::cookie::packet::{Destination, FlowPacket, PacketRole};
use crate::cookie::placement::Suitability;
use crate::cookie::table::ForwardingTable;
use crate::time::Timestamp;
use following::MINIMUM_RETRANSMISSION_INTERVAL;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long after its record went an instance is still better than no instance. Shorter than
/// the time within which a leaving instance must get no new flow.
pub const RECENTLY_GONE_PERIOD: Duration = Duration::from_millis(1_500);

/// Data packets whose first sight is remembered, 16 bytes each: those of some seconds on a machine
/// that forwards a few hundred a second. What is forgotten sooner leaves its flow to the client.
const FIRST_SENT_CAPACITY: usize = 1_024;

/// Flows that are remembered where the settings don't tell.
const DEFAULT_FLOW_CAPACITY: usize = 8_192;

/// How long a resting flow is remembered: users count no flow that has rested for longer.
const FLOW_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Instances whose last sign of life is remembered, 16 bytes each.
const ALIVE_TABLE_CAPACITY: usize = 1_024;

/// How long the end of an opening speaks for an instance.
const HEALTHY_WINDOW: Duration = Duration::from_millis(500);

/// Most healthy instances that are told: a few are enough for controls.
const MAXIMUM_HEALTHY_CONTROLS: usize = 8;

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Open the flow at this instance.
    Place {
        /// Where the packet goes.
        destination: Destination,
        /// What spoke for the instance.
        suitability: Suitability,
    },
    /// Pass the packet on to the instance that it names.
    Follow {
        /// Where the packet goes.
        destination: Destination,
        /// How long the flow took to open, if this is its first packet after the opening.
        opened_after: Option<Duration>,
    },
    /// Answer with a reset.
    Refuse(RefusalReason),
    /// End an open flow, whose instance has ended, with a reset. What was sent on it may have run.
    Reset(ResetReason),
    /// Do nothing.
    Drop(DropReason),
}

/// Why a flow is refused at once. Nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No route has this address and port.
    NoRoute,
    /// The route's services have no instance that takes new flows.
    NoInstance,
    /// The service's instances are overloaded, and what is admitted goes to others first.
    Overloaded,
}

/// Why an open flow is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResetReason {
    /// Another instance has taken over the address of the flow's.
    Superseded,
    /// The flow's instance can't be reached, and its client repeats what it sent.
    Unreachable,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// An opening that waited while this process stood still.
    Backlog,
    /// It names an instance that is not remembered. No reset: the instance may be alive and
    /// known to others.
    UnknownCookie,
    /// It opens nothing and names nobody.
    NoCookie,
    /// This node doesn't know both routes and instances yet.
    NotReady,
}

/// Decides for the packets of one traffic thread.
#[derive(Debug)]
pub struct Forwarder {
    monitor: OpeningMonitor,
    loads: LoadMeter,
    unreachable: BTreeSet<Cookie>,
    /// Those whose flows may be ended, resting ones too.
    ended: BTreeSet<Cookie>,
    /// The same and those that were unreachable a while ago, and since when.
    avoided: BTreeMap<Cookie, Timestamp>,
    /// When the last packet was decided on.
    decided_at: Timestamp,
    /// When data of flows was first sent.
    first_sent: LastSeenTable,
    flows: FlowTable,
    resets: FlowResetQueue,
    resets_idle_flows: bool,
    cold: ColdLimiter,
    /// When an instance last showed that it lives.
    alive_at: LastSeenTable,
    /// Instances to which clients have repeated data since they were last asked for.
    retransmitted_to: BTreeSet<Cookie>,
    /// Flows whose clients have repeated something, and when.
    retransmitting_flows: Vec<(u64, Timestamp)>,
    /// Instances that showed life while probes spoke against them: they only take no connections, so
    /// that probes tell nothing of them.
    proven_alive: BTreeSet<Cookie>,
    answers: AnswerMonitor,
    tallies: TallyBook,
    /// Instances whose answers fail, unlike those of others.
    outliers: BTreeSet<Cookie>,
    zones: ZonePreference,
    admission: AdmissionGate,
    /// The restarts that are taken account of, as the table tells them.
    known_restarts: Vec<(Cookie, u64)>,
}

impl Forwarder {
    /// A forwarder that has seen no packet.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            monitor: OpeningMonitor::new(settings),
            loads: LoadMeter::default(),
            unreachable: BTreeSet::new(),
            ended: BTreeSet::new(),
            avoided: BTreeMap::new(),
            decided_at: Timestamp::ZERO,
            first_sent: LastSeenTable::new(FIRST_SENT_CAPACITY),
            flows: FlowTable::new(DEFAULT_FLOW_CAPACITY, FLOW_IDLE_TIMEOUT),
            resets: FlowResetQueue::default(),
            resets_idle_flows: true,
            cold: ColdLimiter::new(None, 0),
            alive_at: LastSeenTable::new(ALIVE_TABLE_CAPACITY),
            retransmitted_to: BTreeSet::new(),
            retransmitting_flows: Vec::new(),
            proven_alive: BTreeSet::new(),
            answers: AnswerMonitor::default(),
            tallies: TallyBook::default(),
            outliers: BTreeSet::new(),
            zones: ZonePreference::new(""),
            admission: AdmissionGate::new(AdmissionSettings::default()),
            known_restarts: Vec::new(),
        }
    }

    /// The same, holding to this node's part of what cold instances may get.
    #[must_use]
    pub fn with_cold_limiter(self, cold: ColdLimiter) -> Self {
        Self { cold, ..self }
    }

    /// The same, remembering at most `capacity` flows. `resets_idle_flows` tells whether resting flows of
    /// instances that have ended are reset.
    #[must_use]
    pub fn with_flows(self, capacity: usize, resets_idle_flows: bool) -> Self {
        Self {
            flows: FlowTable::new(capacity, FLOW_IDLE_TIMEOUT),
            resets_idle_flows,
            ..self
        }
    }

    /// The same, admitting new flows by these settings.
    #[must_use]
    pub fn with_admission(self, settings: AdmissionSettings) -> Self {
        Self {
            admission: AdmissionGate::new(settings),
            ..self
        }
    }

    /// The same, preferring the instances of the zone of this name for new flows; none if it is empty.
    #[must_use]
    pub fn with_zone(self, name: &str) -> Self {
        let zones = ZonePreference::new(name);
        Self { zones, ..self }
    }

    /// How many nodes there are, at least.
    pub fn set_minimum_node_count(&mut self, nodes: f64) {
        self.cold.set_minimum_node_count(nodes);
    }

    /// How many nodes there are about; zero if that isn't known.
    pub fn set_estimated_node_count(&mut self, nodes: u64) {
        self.zones.set_nodes(nodes);
    }

    /// What to do with a packet that was read at `now`; `backlog` tells whether it may have
    /// waited while the process stood still.
    pub fn decide(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        backlog: bool,
    ) -> Decision {
        self.decided_at = now;
        match packet.role {
            PacketRole::Opening { .. } if backlog => Decision::Drop(DropReason::Backlog),
            PacketRole::Opening { attempt } => self.open(now, table, packet, attempt),
            PacketRole::Later | PacketRole::Abort => self.follow(now, table, packet),
        }
    }

    /// Looks at what has come of earlier openings, and returns what changed in the belief about
    /// instances.
    pub fn review(&mut self, now: Timestamp, table: &ForwardingTable) -> Vec<HealthChange> {
        self.forget_earlier_runs(table);
        self.monitor.expire(now);
        self.cold.expire(now);
        let (failed, waited) = (
            self.monitor.failed_of_late(),
            self.monitor.opening_timeout(),
        );
        self.admission.openings_failed(now, table, failed, waited);
        let is_known = |cookie| table.destination(cookie).is_some();
        self.monitor.retain(is_known);
        let classified = self.answers.review(now, table, &mut self.flows);
        for classified in classified {
            self.record_answer(now, table, &classified);
        }
        self.proven_alive.retain(|cookie| is_known(*cookie));
        self.review_flow_resets(now, table);
        self.monitor.take_changes()
    }

    /// Forgets what was seen of instances that have started again since.
    fn forget_earlier_runs(&mut self, table: &ForwardingTable) {
        if self.known_restarts == table.restarted() {
            return;
        }
        for restart in table.restarted() {
            if self.known_restarts.binary_search(restart).is_ok() {
                continue;
            }
            let cookie = restart.0;
            self.monitor.forget(cookie);
            self.loads.forget(cookie);
            self.proven_alive.remove(&cookie);
            self.avoided.remove(&cookie);
            self.outliers.remove(&cookie);
        }
        self.known_restarts = table.restarted().to_vec();
    }

    /// Adapts which zones new flows go to, and returns the shares that changed notably.
    pub fn review_zones(&mut self, now: Timestamp) -> Vec<ShareChange> {
        self.zones.review(now)
    }

    /// Openings so far, by the zone that they went to.
    #[must_use]
    pub const fn zone_placements(&self) -> ZonePlacements {
        self.zones.placements()
    }

    /// How much busier than the mean the busiest of a service's instances in the own zone is, by what this
    /// node forwards, of the service where that is most. Without an own zone all instances count.
    #[must_use]
    pub fn imbalance(&self, now: Timestamp, table: &ForwardingTable) -> f32 {
        let own = self.zones.own();
        let services = table.candidates_by_service().map(|candidates| {
            let in_zone = candidates
                .iter()
                .filter(|candidate| own.is_none_or(|own| candidate.zone == own));
            imbalance(in_zone.map(|candidate| self.loads.load(now, candidate.cookie)))
        });
        services.fold(1.0, f32::max)
    }

    /// What changed in the belief about services' load since the last call.
    pub fn review_admission(&mut self, now: Timestamp) -> Vec<AdmissionChange> {
        self.admission.review(now)
    }

    /// How much of what is offered is admitted.
    #[must_use]
    pub const fn admission(&self) -> &AdmissionGate {
        &self.admission
    }

    /// Instances that fail the openings of this thread.
    pub fn failing_instances(&self) -> impl Iterator<Item = Cookie> {
        self.monitor.failing_instances()
    }

    /// Instances that peers suspect.
    pub fn set_peer_suspicions(&mut self, suspected: &BTreeSet<Cookie>) {
        self.monitor.set_peer_suspicions(suspected);
    }

    /// Instances at which an opening failed, or to which data was repeated on an open flow, since the last
    /// call: they are in question. One that has shown life since isn't.
    pub fn take_suspects(&mut self, now: Timestamp) -> Vec<Cookie> {
        let mut failed: BTreeSet<Cookie> = self.monitor.take_failed().into_iter().collect();
        let retransmitted_to = std::mem::take(&mut self.retransmitted_to).into_iter();
        failed
            .extend(retransmitted_to.filter(|cookie| {
                !self.alive_within(now, *cookie, MINIMUM_RETRANSMISSION_INTERVAL)
            }));
        failed.into_iter().collect()
    }

    /// Whether a client has repeated something a moment ago: its request is late already.
    #[must_use]
    pub fn has_waiting_clients(&self) -> bool {
        !self.retransmitted_to.is_empty() || !self.retransmitting_flows.is_empty()
    }

    /// Instances at which openings completed a moment ago, the last ones first: controls for probes of
    /// others.
    #[must_use]
    pub fn healthy_instances(&self, now: Timestamp) -> Vec<Cookie> {
        let mut healthy = self.monitor.succeeded_within(now, HEALTHY_WINDOW);
        healthy.truncate(MAXIMUM_HEALTHY_CONTROLS);
        healthy
    }

    /// Instances that this node can't reach, and those that openings avoid, of which these are some.
    pub fn set_unreachable(&mut self, unreachable: &BTreeSet<Cookie>, avoided: &BTreeSet<Cookie>) {
        if self.unreachable != *unreachable {
            self.unreachable.clone_from(unreachable);
        }
        if !self.avoided.keys().eq(avoided) {
            let decided_at = self.decided_at;
            self.avoided.retain(|cookie, _| avoided.contains(cookie));
            for cookie in avoided {
                self.avoided.entry(*cookie).or_insert(decided_at);
            }
        }
    }

    /// Instances whose answers fail, unlike those of others: others are preferred.
    pub fn set_outliers(&mut self, outliers: &BTreeSet<Cookie>) {
        if self.outliers != *outliers {
            self.outliers.clone_from(outliers);
        }
    }

    /// What became of the requests that this thread saw since the last call.
    pub fn take_tallies(&mut self) -> Vec<InstanceTally> {
        self.tallies.take()
    }

    /// The process stood still: openings under way prove nothing.
    pub fn reset_after_stall(&mut self) {
        self.monitor.forget_pending();
        self.answers.forget_requests(&mut self.flows);
        self.zones.stalled();
    }
}
