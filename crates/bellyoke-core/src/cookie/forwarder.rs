//! The decision for each packet.

use crate::cookie::admission::{AdmissionChange, AdmissionGate, AdmissionSettings};
use crate::cookie::answers::{AnswerFate, AnswerMonitor, AnswerSample, JudgedSample};
use crate::cookie::cold::{ColdLimiter, ColdShare};
use crate::cookie::ends::{FlowEnd, FlowEnds};
use crate::cookie::flows::FlowTable;
use crate::cookie::health::{HealthChange, HealthSettings, OpeningMonitor};
use crate::cookie::instance::Cookie;
use crate::cookie::load::{LoadMeter, OPENING_WEIGHT, PACKET_WEIGHT};
use crate::cookie::locality::{
    ShareChange, ZoneCapacity, ZonePlacements, ZonePreference, imbalance,
};
use crate::cookie::outliers::{InstanceTally, TallyBook};
use crate::cookie::packet::{Destination, FlowPacket, PacketRole};
use crate::cookie::placement::{Suitability, choose_by_zone, choose_part, mix};
use crate::cookie::seen::{SeenTable, data_key};
use crate::cookie::table::{Candidate, ForwardingTable, ServicePart};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
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

/// Flows that are remembered where the settings don't tell.
const FLOW_CAPACITY: usize = 8_192;

/// How long a resting flow is remembered: users count no flow that has rested for longer.
const FLOW_REST: Duration = Duration::from_secs(15);

/// An instance in question that showed life so lately lives: a question is raised 150 ms after a death at
/// the soonest, and takes 200 ms more to become one of peers.
const OBJECTION_WINDOW: Duration = Duration::from_millis(300);

/// Instances whose last sign of life is remembered, 16 bytes each.
const INSTANCE_PLACES: usize = 1_024;

/// An instance that showed life so lately isn't dead, whatever probes say. Longer than a flow is silent
/// whose data was lost twice (200 and 400 ms); a verdict takes about as long after a death.
const LIFE_LIFETIME: Duration = Duration::from_millis(1_000);

/// How long the end of an opening speaks for an instance.
const SOUND_LIFETIME: Duration = Duration::from_millis(500);

/// Most sound instances that are told: a few are enough for controls.
const MAXIMUM_SOUND: usize = 8;

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
    first_sent: SeenTable,
    flows: FlowTable,
    ends: FlowEnds,
    ends_resting: bool,
    cold: ColdLimiter,
    /// When an instance last showed that it lives.
    alive_at: SeenTable,
    /// Instances to which clients have repeated data since they were last asked for.
    repeated: BTreeSet<Cookie>,
    /// Instances that showed life while probes spoke against them: they only take no connections, so
    /// that probes tell nothing of them.
    proven: BTreeSet<Cookie>,
    answers: AnswerMonitor,
    tallies: TallyBook,
    /// Instances whose answers fail, unlike those of others.
    outliers: BTreeSet<Cookie>,
    zones: ZonePreference,
    admission: AdmissionGate,
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
            first_sent: SeenTable::new(FIRST_SENT_PLACES),
            flows: FlowTable::new(FLOW_CAPACITY, FLOW_REST),
            ends: FlowEnds::default(),
            ends_resting: true,
            cold: ColdLimiter::new(None, 0),
            alive_at: SeenTable::new(INSTANCE_PLACES),
            repeated: BTreeSet::new(),
            proven: BTreeSet::new(),
            answers: AnswerMonitor::default(),
            tallies: TallyBook::default(),
            outliers: BTreeSet::new(),
            zones: ZonePreference::new(""),
            admission: AdmissionGate::new(AdmissionSettings::default()),
        }
    }

    /// The same, holding to this node's part of what cold instances may get.
    #[must_use]
    pub fn with_cold_limiter(self, cold: ColdLimiter) -> Self {
        Self { cold, ..self }
    }

    /// The same, remembering at most `capacity` flows. `ends_resting` tells whether resting flows of
    /// instances that have ended are reset.
    #[must_use]
    pub fn with_flows(self, capacity: usize, ends_resting: bool) -> Self {
        Self {
            flows: FlowTable::new(capacity, FLOW_REST),
            ends_resting,
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
    pub fn set_nodes(&mut self, nodes: f64) {
        self.cold.set_nodes(nodes);
    }

    /// How many other nodes this one hears of.
    pub fn set_peers(&mut self, peers: u64) {
        self.zones.set_peers(peers);
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
        self.monitor.expire(now);
        self.cold.expire(now);
        let (failed, waited) = (
            self.monitor.failed_of_late(),
            self.monitor.opening_timeout(),
        );
        self.admission.openings_failed(now, table, failed, waited);
        let is_known = |cookie| table.destination(cookie).is_some();
        self.monitor.retain(is_known);
        let judged = self.answers.review(now, table, &mut self.flows);
        for judged in judged {
            self.note_answer(now, table, &judged);
        }
        self.proven.retain(|cookie| is_known(*cookie));
        self.review_ends(now, table);
        self.monitor.take_changes()
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
    pub fn take_failed(&mut self, now: Timestamp) -> Vec<Cookie> {
        let mut failed: BTreeSet<Cookie> = self.monitor.take_failed().into_iter().collect();
        let repeated = std::mem::take(&mut self.repeated).into_iter();
        failed.extend(repeated.filter(|cookie| !self.alive_within(now, *cookie, SHORTEST_REPEAT)));
        failed.into_iter().collect()
    }

    /// Instances at which openings completed a moment ago, the last ones first: controls for probes of
    /// others.
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
        if !self.avoided.keys().eq(avoided) {
            let decided_at = self.decided_at;
            self.avoided.retain(|cookie, _| avoided.contains(cookie));
            for cookie in avoided {
                self.avoided.entry(*cookie).or_insert(decided_at);
            }
        }
    }

    /// Instances whose death is established, and to which no peer has objected: their flows end.
    pub fn set_ended(&mut self, ended: &BTreeSet<Cookie>) {
        if self.ended != *ended {
            self.ended.clone_from(ended);
        }
    }

    /// The instances among those in question that showed life a moment ago.
    #[must_use]
    pub fn living(&self, now: Timestamp, questioned: &BTreeSet<Cookie>) -> Vec<Cookie> {
        let living = questioned.iter().copied();
        living
            .filter(|cookie| self.alive_within(now, *cookie, OBJECTION_WINDOW))
            .collect()
    }

    /// The next resting flow to reset now; none if none is due.
    pub fn next_end(&mut self, now: Timestamp, table: &ForwardingTable) -> Option<FlowEnd> {
        self.ends.next_at()?;
        let mut ends = std::mem::take(&mut self.ends);
        let end = ends.next(now, &self.flows, |cookie| self.end_of(now, table, cookie));
        self.ends = ends;
        if let Some(end) = &end {
            self.flows.remove(end.flow.hash());
        }
        end
    }

    /// When [`Self::next_end`] has something to do; none if no flow waits to be reset.
    #[must_use]
    pub fn next_end_at(&self) -> Option<Timestamp> {
        self.ends.next_at()
    }

    /// Flows remembered.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    fn review_ends(&mut self, now: Timestamp, table: &ForwardingTable) {
        if self.ends_resting {
            let ended = self.ended.iter().chain(table.superseded()).copied();
            self.ends.review(now, ended, &self.flows);
        }
    }

    /// Why the flows of an instance end; none if they don't.
    fn end_of(
        &self,
        now: Timestamp,
        table: &ForwardingTable,
        cookie: Cookie,
    ) -> Option<ResetReason> {
        if table.is_superseded(cookie) {
            return Some(ResetReason::Superseded);
        }
        self.has_ended(now, cookie)
            .then_some(ResetReason::Unreachable)
    }

    fn has_ended(&self, now: Timestamp, cookie: Cookie) -> bool {
        self.ended.contains(&cookie) && self.is_unreachable(cookie) && !self.is_alive(now, cookie)
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

    /// What became of a request, for the choice between zones.
    pub fn note_sample(&mut self, now: Timestamp, table: &ForwardingTable, sample: &AnswerSample) {
        if let Some((_, zone)) = table.place_of(sample.cookie) {
            self.zones.adopt(table);
            self.zones.sampled(now, zone, sample);
        }
    }

    fn note_answer(&mut self, now: Timestamp, table: &ForwardingTable, judged: &JudgedSample) {
        self.tallies.note(judged);
        self.note_sample(now, table, &judged.sample);
        self.admission.answered(now, table, &judged.sample);
        if matches!(judged.sample.fate, AnswerFate::Short { .. }) {
            self.loads.count(now, judged.sample.cookie, FAILURE_WEIGHT);
        }
    }

    /// The process stood still: openings under way prove nothing.
    pub fn stalled(&mut self) {
        self.monitor.forget_pending();
        self.answers.forget_requests(&mut self.flows);
        self.zones.stalled();
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
        let terms = &route.terms;
        let admission = &mut self.admission;
        if !admission.admits(now, table, packet, attempt, part.service, terms) {
            return Decision::Refuse(RefusalReason::Overloaded);
        }
        self.zones.adopt(table);
        self.zones.review_outcomes(now);
        let tries = route.terms.kind.may_repeat() && tries_outliers(flow_hash);
        let chosen = self.choose(now, table, part, flow_hash, attempt, tries);
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
        table: &'table ForwardingTable,
        part: &ServicePart,
        flow_hash: u64,
        attempt: u32,
        tries_outliers: bool,
    ) -> Option<(&'table Candidate, Suitability)> {
        let candidates = table.candidates(part);
        // All instances of a service bear the same while they are cold.
        let cold_flows = candidates.first()?.cold_flows_per_minute;
        let share = self.cold.share(cold_flows);
        let mut capacity = ZoneCapacity::default();
        let suitability = |candidate: &Candidate| {
            let suitability = self.suitability(now, candidate, share)?;
            capacity.add(candidate, suitability, self.zones.own());
            let is_tried = tries_outliers && suitability == Suitability::Outlier;
            Some(if is_tried {
                Suitability::Full
            } else {
                suitability
            })
        };
        let ranks = self.zones.ranks(part.service, flow_hash);
        let load = |candidate: &Candidate| {
            // A dead instance is idle too, but not therefore to be preferred.
            if self.monitor.is_doubted(candidate.cookie) {
                f32::INFINITY
            } else {
                self.loads.load(now, candidate.cookie)
            }
        };
        let zone_rank = |candidate: &Candidate| ranks.of(candidate.zone);
        let chosen = choose_by_zone(candidates, flow_hash, attempt, suitability, zone_rank, load)?;
        let suitability = self.suitability(now, chosen, share)?;
        self.zones
            .placed(now, part.service, flow_hash, chosen.zone, capacity);
        Some((chosen, suitability))
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
        if is_repeat {
            self.repeated.insert(cookie);
        }
        is_repeat && self.is_unreachable(cookie) && !self.is_alive(now, cookie)
    }

    fn is_avoided(&self, cookie: Cookie) -> bool {
        self.avoided.contains_key(&cookie) && !self.proven.contains(&cookie)
    }

    fn is_unreachable(&self, cookie: Cookie) -> bool {
        self.unreachable.contains(&cookie) && !self.proven.contains(&cookie)
    }

    /// Notes that a flow goes on, if this packet shows it. The instance has sent something since the flow's
    /// last packet; when, isn't known: a client that rests tells what it got last with its next request.
    fn note_life(&mut self, packet: &FlowPacket, cookie: Cookie) {
        let flow_hash = packet.flow.hash();
        let held = self.flows.get(flow_hash);
        let held = held.filter(|held| held.flow == packet.flow && held.cookie == cookie);
        let advanced = held.filter(|held| held.acknowledged != packet.acknowledged);
        if let Some(seen_at) = advanced.map(|held| held.seen_at) {
            self.lives(seen_at, cookie);
        }
    }

    /// Notes how long a flow took to open.
    fn note_opened(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        flow_hash: u64,
        cookie: Cookie,
        after: Duration,
    ) {
        if let Some((_, zone)) = table.place_of(cookie) {
            self.zones.adopt(table);
            self.zones.opened(now, flow_hash, zone, after);
        }
    }

    /// Remembers the flow, unless this packet ends it, and sees what became of its requests. `is_opened` tells
    /// whether this is its first packet after the opening; of another one a request is news only if the flow
    /// has moved here from another node.
    fn note_flow(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        cookie: Cookie,
        is_opened: bool,
    ) {
        let flow_hash = packet.flow.hash();
        let asks = packet.data_sequence.is_some();
        if asks && !is_opened && self.flows.get(flow_hash).is_none() {
            self.answers.note_moved(now);
        }
        let record = self.flows.note(now, flow_hash, packet, cookie);
        let judged = self.answers.observe(now, table, flow_hash, packet, record);
        if let Some(judged) = judged {
            self.note_answer(now, table, &judged);
        }
        if packet.closes || packet.role == PacketRole::Abort {
            self.flows.remove(flow_hash);
        }
    }

    /// Whether a packet asks something of an instance that has ended. Packets without data, and those
    /// that close their flows, lose nothing.
    fn asks_in_vain(&self, now: Timestamp, packet: &FlowPacket, cookie: Cookie) -> bool {
        let asks = packet.data_sequence.is_some() && !packet.closes;
        self.ends_resting && asks && self.has_ended(now, cookie)
    }

    /// An instance has lived at `since` or later.
    fn lives(&mut self, since: Timestamp, cookie: Cookie) {
        let key = life_key(cookie);
        let known = self.alive_at.seen_at(key);
        self.alive_at
            .note(known.map_or(since, |known| known.max(since)), key);
        let avoided = self.avoided.get(&cookie);
        if avoided.is_some_and(|avoided_at| since > *avoided_at) {
            self.proven.insert(cookie);
        }
    }

    fn is_alive(&self, now: Timestamp, cookie: Cookie) -> bool {
        self.alive_within(now, cookie, LIFE_LIFETIME)
    }

    fn alive_within(&self, now: Timestamp, cookie: Cookie, time: Duration) -> bool {
        let alive_at = self.alive_at.seen_at(life_key(cookie));
        alive_at.is_some_and(|at| now.since(at) < time)
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
            self.flows.remove(packet.flow.hash());
            return Decision::Reset(ResetReason::Superseded);
        }
        self.note_life(packet, cookie);
        let opened_after = self.monitor.progress(now, packet.flow.hash(), cookie);
        if let Some(after) = opened_after {
            self.lives(now.before(after), cookie);
            self.note_opened(now, table, packet.flow.hash(), cookie, after);
        }
        if packet.role == PacketRole::Later
            && (self.is_unanswered(now, packet, cookie) || self.asks_in_vain(now, packet, cookie))
        {
            self.flows.remove(packet.flow.hash());
            return Decision::Reset(ResetReason::Unreachable);
        }
        self.note_flow(now, table, packet, cookie, opened_after.is_some());
        self.loads.count(now, cookie, PACKET_WEIGHT);
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
