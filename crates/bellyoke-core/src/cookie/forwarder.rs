//! The decision for each packet.

use crate::cookie::answers::{AnswerFate, AnswerMonitor, JudgedSample};
use crate::cookie::cold::{ColdLimiter, ColdShare};
use crate::cookie::flows::FlowTable;
use crate::cookie::health::{HealthChange, HealthSettings, OpeningMonitor};
use crate::cookie::instance::Cookie;
use crate::cookie::load::{LoadMeter, OPENING_WEIGHT, PACKET_WEIGHT};
use crate::cookie::outliers::{InstanceTally, TallyBook};
use crate::cookie::packet::{Destination, FlowPacket, PacketRole};
use crate::cookie::placement::{Suitability, choose_instance, choose_part, mix};
use crate::cookie::seen::{AcknowledgementTable, SeenTable, data_key};
use crate::cookie::table::{Candidate, ForwardingTable};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long after its record went an instance is still better than no instance. Shorter than
/// the time within which a leaving instance must get no new flow.
pub const RECENTLY_GONE: Duration = Duration::from_millis(1_500);

/// Data that comes again sooner is a copy of the network's: clients wait 200 ms for an
/// acknowledgement.
const SHORTEST_REPEAT: Duration = Duration::from_millis(150);

/// Data packets whose first sight is remembered, 16 bytes each: those of some seconds on a machine
/// that forwards a few hundred a second. What is forgotten sooner leaves its flow to the client.
const FIRST_SENT_PLACES: usize = 1_024;

/// Flows whose last acknowledgement is remembered, 16 bytes each.
const FLOW_PLACES: usize = 1_024;

/// Instances whose last sign of life is remembered, 16 bytes each.
const INSTANCE_PLACES: usize = 1_024;

/// An instance that showed life so lately isn't dead, whatever probes say. Longer than a flow is silent
/// whose data was lost twice (200 and 400 ms); a verdict takes about as long after a death.
const LIFE_LIFETIME: Duration = Duration::from_millis(1_000);

/// How long the end of an opening speaks for an instance.
const SOUND_LIFETIME: Duration = Duration::from_millis(500);

/// Most sound instances that are told: a few are enough for controls.
const MAXIMUM_SOUND: usize = 8;

/// Flows that are remembered, and for how long one may rest.
const FLOW_CAPACITY: usize = 4_096;
const FLOW_REST: Duration = Duration::from_secs(15);

/// One of so many flows that may be repeated goes to an outlier as if it were none, to try it. With a third of
/// a service set aside that is an eighth of what they had.
const TRIAL_INTERVAL: u64 = 32;

/// Keeps the choice of flows that try outliers independent from that of the instance.
const TRIAL_SALT: u64 = 0x6f75_746c_6965_7201;

/// What a request that got an error counts as load, in packets: an instance that fails at once looks idle,
/// and must not be preferred for it. One without an answer may have lost a packet, and counts nothing.
const FAILURE_WEIGHT: f32 = 16.0;

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
    /// The same and those that were unreachable a while ago.
    avoided: BTreeSet<Cookie>,
    /// When data of flows was first sent.
    first_sent: SeenTable,
    acknowledged: AcknowledgementTable,
    cold: ColdLimiter,
    /// When an instance last showed that it lives.
    alive_at: SeenTable,
    /// Instances that showed life while probes spoke against them: they only take no connections, so
    /// that probes tell nothing of them.
    proven: BTreeSet<Cookie>,
    flows: FlowTable,
    answers: AnswerMonitor,
    tallies: TallyBook,
    /// Instances whose answers fail, unlike those of others.
    outliers: BTreeSet<Cookie>,
}

impl Forwarder {
    /// A forwarder that has seen no packet.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            monitor: OpeningMonitor::new(settings),
            loads: LoadMeter::default(),
            unreachable: BTreeSet::new(),
            avoided: BTreeSet::new(),
            first_sent: SeenTable::new(FIRST_SENT_PLACES),
            acknowledged: AcknowledgementTable::new(FLOW_PLACES),
            cold: ColdLimiter::new(None, 0),
            alive_at: SeenTable::new(INSTANCE_PLACES),
            proven: BTreeSet::new(),
            flows: FlowTable::new(FLOW_CAPACITY, FLOW_REST),
            answers: AnswerMonitor::default(),
            tallies: TallyBook::default(),
            outliers: BTreeSet::new(),
        }
    }

    /// The same, holding to this node's part of what cold instances may get.
    #[must_use]
    pub fn with_cold_limiter(self, cold: ColdLimiter) -> Self {
        Self { cold, ..self }
    }

    /// How many nodes there are, at least.
    pub fn set_nodes(&mut self, nodes: f64) {
        self.cold.set_nodes(nodes);
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
        match packet.role {
            PacketRole::Opening { .. } if backlog => Decision::Drop(DropReason::Backlog),
            PacketRole::Opening { attempt } => self.open(now, table, packet, attempt),
            PacketRole::Later | PacketRole::Abort => self.follow(now, table, packet),
        }
    }

    /// Looks at what has come of earlier openings, and returns what changed in the belief about
    /// instances.
    pub fn review(&mut self, now: Timestamp, table: &ForwardingTable) -> Vec<HealthChange> {
        self.monitor.expire(now);
        self.cold.expire(now);
        let is_known = |cookie| table.destination(cookie).is_some();
        self.monitor.retain(is_known);
        let judged = self.answers.review(now, table, &mut self.flows);
        for judged in judged {
            self.note_answer(now, &judged);
        }
        self.proven.retain(|cookie| is_known(*cookie));
        self.monitor.take_changes()
    }

    /// Instances that fail the openings of this thread.
    pub fn failing_instances(&self) -> impl Iterator<Item = Cookie> {
        self.monitor.failing_instances()
    }

    /// Instances that peers suspect.
    pub fn set_peer_suspicions(&mut self, suspected: &BTreeSet<Cookie>) {
        self.monitor.set_peer_suspicions(suspected);
    }

    /// Instances at which an opening failed since the last call: they are in question.
    pub fn take_failed(&mut self) -> Vec<Cookie> {
        self.monitor.take_failed()
    }

    /// Instances at which openings completed a moment ago: controls for probes of others.
    #[must_use]
    pub fn sound_instances(&self, now: Timestamp) -> Vec<Cookie> {
        let mut sound = self.monitor.succeeded_within(now, SOUND_LIFETIME);
        sound.truncate(MAXIMUM_SOUND);
        sound
    }

    /// Instances that this node can't reach, and those that openings avoid, of which these are some.
    pub fn set_unreachable(&mut self, unreachable: &BTreeSet<Cookie>, avoided: &BTreeSet<Cookie>) {
        if self.unreachable != *unreachable {
            self.unreachable.clone_from(unreachable);
        }
        if self.avoided != *avoided {
            self.avoided.clone_from(avoided);
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

    fn note_answer(&mut self, now: Timestamp, judged: &JudgedSample) {
        self.tallies.note(judged);
        if matches!(judged.sample.fate, AnswerFate::Short { .. }) {
            self.loads.count(now, judged.sample.cookie, FAILURE_WEIGHT);
        }
    }

    /// The process stood still: openings under way prove nothing.
    pub fn stalled(&mut self) {
        self.monitor.forget_pending();
        self.answers.forget_requests(&mut self.flows);
    }

    fn open(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        attempt: u32,
    ) -> Decision {
        if !table.is_informed() {
            return Decision::Drop(DropReason::NotReady);
        }
        let flow_hash = packet.flow.hash();
        let Some(route) = table.route(packet.flow.service) else {
            return Decision::Refuse(RefusalReason::NoRoute);
        };
        let Some(part) = choose_part(&route.parts, flow_hash) else {
            return Decision::Refuse(RefusalReason::NoInstance);
        };
        let candidates = table.candidates(part);
        let tries = route.terms.kind.may_repeat() && tries_outliers(flow_hash);
        let chosen = self.choose(now, candidates, flow_hash, attempt, tries);
        let Some((chosen, suitability)) = chosen else {
            return Decision::Refuse(RefusalReason::NoInstance);
        };
        let destination = chosen.destination();
        if now < chosen.warm_at {
            self.cold.opened(now, chosen.id);
        }
        self.monitor.opening(now, flow_hash, destination.cookie);
        self.loads.count(now, destination.cookie, OPENING_WEIGHT);
        Decision::Place {
            destination,
            suitability,
        }
    }

    /// The instance for copy `attempt` of an opening, and what speaks for it; none if no candidate may
    /// get the flow.
    fn choose<'table>(
        &mut self,
        now: Timestamp,
        candidates: &'table [Candidate],
        flow_hash: u64,
        attempt: u32,
        tries_outliers: bool,
    ) -> Option<(&'table Candidate, Suitability)> {
        // All instances of a service bear the same while they are cold.
        let cold_flows = candidates.first()?.cold_flows_per_minute;
        let share = self.cold.share(cold_flows);
        let suitability = |candidate: &Candidate| {
            let suitability = self.suitability(now, candidate, share)?;
            let is_tried = tries_outliers && suitability == Suitability::Outlier;
            Some(if is_tried {
                Suitability::Full
            } else {
                suitability
            })
        };
        let load = |candidate: &Candidate| {
            // A dead instance is idle too, but not therefore to be preferred.
            if self.monitor.is_doubted(candidate.cookie) {
                f32::INFINITY
            } else {
                self.loads.load(now, candidate.cookie)
            }
        };
        let chosen = choose_instance(candidates, flow_hash, attempt, suitability, load)?;
        Some((chosen, suitability(chosen)?))
    }

    /// How willing a candidate is to take a flow at `now`; none if it must not get one. `share` is this
    /// node's part in what cold instances get.
    fn suitability(
        &self,
        now: Timestamp,
        candidate: &Candidate,
        share: Option<ColdShare>,
    ) -> Option<Suitability> {
        let is_cold = now < candidate.warm_at;
        if is_cold && !self.cold.admits(now, candidate.id, share) {
            return None;
        }
        if let Some(gone_at) = candidate.gone_at {
            return (now.since(gone_at) < RECENTLY_GONE).then_some(Suitability::RecentlyGone);
        }
        let cookie = candidate.cookie;
        if self.is_avoided(cookie) || self.monitor.is_suspected(now, cookie) {
            return Some(Suitability::Suspected);
        }
        if self.outliers.contains(&cookie) {
            return Some(Suitability::Outlier);
        }
        Some(if is_cold {
            Suitability::Cold
        } else {
            Suitability::Full
        })
    }

    /// Whether a packet repeats data to an instance that can't be reached and shows no life. That the
    /// client has to repeat it is the flow's own word that it doesn't go on: an instance that only
    /// takes no new connections still answers on its flows.
    fn is_unanswered(&mut self, now: Timestamp, packet: &FlowPacket, cookie: Cookie) -> bool {
        let Some(sequence) = packet.data_sequence else {
            return false;
        };
        let key = data_key(packet.flow.hash(), sequence);
        let Some(first_sent) = self.first_sent.seen_at(key) else {
            self.first_sent.note(now, key);
            return false;
        };
        let is_repeat = now.since(first_sent) >= SHORTEST_REPEAT;
        is_repeat && self.is_unreachable(cookie) && !self.is_alive(now, cookie)
    }

    fn is_avoided(&self, cookie: Cookie) -> bool {
        self.avoided.contains(&cookie) && !self.proven.contains(&cookie)
    }

    fn is_unreachable(&self, cookie: Cookie) -> bool {
        self.unreachable.contains(&cookie) && !self.proven.contains(&cookie)
    }

    /// Notes that a flow goes on, if this packet shows it.
    fn note_life(&mut self, now: Timestamp, packet: &FlowPacket, cookie: Cookie) {
        let flow_hash = packet.flow.hash();
        if self.acknowledged.advances(flow_hash, packet.acknowledged) {
            self.lives(now, cookie);
        }
    }

    fn lives(&mut self, now: Timestamp, cookie: Cookie) {
        self.alive_at.note(now, life_key(cookie));
        if self.avoided.contains(&cookie) {
            self.proven.insert(cookie);
        }
    }

    fn is_alive(&self, now: Timestamp, cookie: Cookie) -> bool {
        let alive_at = self.alive_at.seen_at(life_key(cookie));
        alive_at.is_some_and(|at| now.since(at) < LIFE_LIFETIME)
    }

    fn follow(&mut self, now: Timestamp, table: &ForwardingTable, packet: &FlowPacket) -> Decision {
        let Some(cookie) = packet.cookie else {
            return Decision::Drop(DropReason::NoCookie);
        };
        let Some(destination) = table.destination(cookie) else {
            return Decision::Drop(DropReason::UnknownCookie);
        };
        let destination = *destination;
        if packet.role == PacketRole::Later && table.is_superseded(cookie) {
            return Decision::Reset(ResetReason::Superseded);
        }
        self.note_life(now, packet, cookie);
        if packet.role == PacketRole::Later && self.is_unanswered(now, packet, cookie) {
            return Decision::Reset(ResetReason::Unreachable);
        }
        self.loads.count(now, cookie, PACKET_WEIGHT);
        let flow_hash = packet.flow.hash();
        let opened_after = self.monitor.progress(now, flow_hash, cookie);
        if opened_after.is_none() && self.flows.get(flow_hash).is_none() {
            self.answers.note_moved(now);
        }
        let record = self.flows.note(now, flow_hash, packet, cookie);
        let judged = self.answers.observe(now, table, flow_hash, packet, record);
        if let Some(judged) = judged {
            self.note_answer(now, &judged);
        }
        if opened_after.is_some() {
            self.lives(now, cookie);
        }
        Decision::Follow {
            destination,
            opened_after,
        }
    }
}

/// Whether a flow tries an outlier as if it were none.
const fn tries_outliers(flow_hash: u64) -> bool {
    mix(flow_hash ^ TRIAL_SALT).is_multiple_of(TRIAL_INTERVAL)
}

fn life_key(cookie: Cookie) -> u64 {
    mix(u64::from(cookie.bits())) | 1
}
