//! A node of the model: the product's state machines, connected as in the daemon.

use super::packet::Packet;
use super::scenario::Ablation;
use super::store::StoreAnswer;
use bellyoke_core::cookie::capacity::NodePlace;
use bellyoke_core::cookie::continuity::ListedObject;
use bellyoke_core::cookie::coordinator::{Coordinator, Outcome};
use bellyoke_core::cookie::era::CallContext;
use bellyoke_core::cookie::exchange::{
    DeltaMessage, Exchange, ExchangeEffect, ExchangeSettings, FetchRequest, PeerDatagram, StoreDuty,
};
use bellyoke_core::cookie::follower::{
    Answer, Follower, FollowerSettings, Freshness, NextAction, Read, Reply, Update, WatchPlan,
};
use bellyoke_core::cookie::forwarder::{Decision, DropReason, Forwarder};
use bellyoke_core::cookie::freshness::ObjectKind;
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceEvent, InstanceRecord, InstanceState};
use bellyoke_core::cookie::packet::{Destination, PacketRole};
use bellyoke_core::cookie::reachability::{ProbeBatch, ProbeOutcome};
use bellyoke_core::cookie::readiness::Lifecycle;
use bellyoke_core::cookie::replica::{Replica, Snapshot, Versions};
use bellyoke_core::cookie::revision::{Revision, StoreEra};
use bellyoke_core::cookie::route::Configuration;
use bellyoke_core::cookie::stall::{BacklogGuard, TickReport};
use bellyoke_core::cookie::table::ForwardingTable;
use bellyoke_core::cookie::zones::{DrainedZone, ZoneEvent};
use bellyoke_core::time::Timestamp;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time for which deleted instances are kept as tombstones.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(70);

/// Maximum number of flows that a node tracks.
const FLOW_CAPACITY: usize = 8_192;

/// Time for which a terminated node still forwards packets.
const LEAVE_GRACE: Duration = Duration::from_millis(1_100);

/// Time that a node waits for an answer, in addition to the time for which the store may delay it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout with [`Ablation::NoCallTimeout`] and [`Ablation::IdleForever`], longer than any run.
const ABLATED_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Result of handling a packet.
#[derive(Debug)]
pub enum PacketOutcome {
    /// The packet is forwarded to an instance.
    Forward(Destination, Packet),
    /// A reset is sent to the client.
    Reset(Packet),
    /// The packet is dropped.
    Drop,
}

/// A call of a node to the store.
#[derive(Clone, Debug)]
pub struct StoreCall {
    /// Kind of the objects to read.
    pub kind: ObjectKind,
    /// The read to perform.
    pub read: Read,
    /// Number of the call, by which answers to calls that timed out are recognized.
    pub number: u64,
    /// Time after which the call times out.
    pub timeout: Duration,
}

/// A call without an answer yet.
#[derive(Debug)]
struct PendingCall {
    number: u64,
    read: Read,
    context: CallContext,
}

/// Creates an empty replica.
fn new_replica(exchange: &ExchangeSettings, tombstone_lifetime: Duration) -> Replica {
    if exchange.reads_zones {
        Replica::reading_zones(tombstone_lifetime)
    } else {
        Replica::new(tombstone_lifetime)
    }
}

const fn empty_zone_list(at: Revision) -> Update<DrainedZone, ZoneEvent> {
    Update::List {
        at,
        items: Vec::new(),
    }
}

/// One run of a node's process.
#[derive(Debug)]
pub struct Node {
    ablations: Vec<Ablation>,
    coordinator: Coordinator,
    table: ForwardingTable,
    forwarder: Forwarder,
    lifecycle: Lifecycle,
    ticks: TickReport,
    backlog_guard: BacklogGuard,
    reads_zones: bool,
    instances: Follower<InstanceRecord>,
    configurations: Follower<Configuration>,
    zones: Follower<DrainedZone>,
    pending_calls: [Option<PendingCall>; ObjectKind::COUNT],
    last_call_number: u64,
    random: ChaCha8Rng,
    reported_failing: Vec<Cookie>,
}

impl Node {
    /// Creates a node whose process starts at `now`.
    #[must_use]
    pub fn new(
        now: Timestamp,
        address: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        place: NodePlace,
        exchange: ExchangeSettings,
        ablations: Vec<Ablation>,
        seed: u64,
    ) -> Self {
        let tombstone_lifetime = if ablations.contains(&Ablation::NoTombstones) {
            Duration::ZERO
        } else {
            TOMBSTONE_LIFETIME
        };
        let defaults = HealthSettings::default();
        let health = if ablations.contains(&Ablation::NoSuspicion) {
            HealthSettings {
                idle_preference_threshold: u32::MAX,
                failure_threshold: u32::MAX,
                ..defaults
            }
        } else if ablations.contains(&Ablation::IgnoreLoad) {
            HealthSettings {
                idle_preference_threshold: 0,
                ..defaults
            }
        } else {
            defaults
        };
        let follower = FollowerSettings::default();
        Self {
            coordinator: Coordinator::new(
                new_replica(&exchange, tombstone_lifetime),
                Exchange::new(exchange, address, seeds, seed).with_place(place),
            ),
            table: ForwardingTable::default(),
            forwarder: Forwarder::new(health).with_flows(
                FLOW_CAPACITY,
                !ablations.contains(&Ablation::NoIdleFlowResets),
            ),
            lifecycle: Lifecycle::new(LEAVE_GRACE),
            ticks: TickReport {
                last: now,
                stalls: 0,
            },
            backlog_guard: BacklogGuard::default(),
            reads_zones: exchange.reads_zones,
            instances: Follower::new(follower),
            configurations: Follower::new(follower),
            zones: Follower::new(follower),
            pending_calls: [const { None }; ObjectKind::COUNT],
            last_call_number: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            reported_failing: Vec::new(),
            ablations,
        }
    }

    /// Returns whether the node is ready for new flows.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.coordinator.replica().versions();
        self.lifecycle.ready(known).is_ok()
    }

    /// Returns the latest era of the store that the node knows.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.coordinator.era()
    }

    /// Starts a graceful stop.
    pub fn terminate(&mut self, now: Timestamp) {
        self.lifecycle.leave(now);
    }

    /// Returns whether the grace period of a graceful stop is over.
    #[must_use]
    pub fn has_stopped(&self, now: Timestamp) -> bool {
        self.lifecycle.stop_at().is_some_and(|stop| now >= stop)
    }

    /// Returns the snapshot for a peer's request.
    #[must_use]
    pub fn snapshot_for(&self, now: Timestamp, request: FetchRequest) -> Snapshot {
        self.coordinator.snapshot_for(now, request)
    }

    /// Returns the request for a peer whose state is newer.
    #[must_use]
    pub fn fetch_request(&self) -> FetchRequest {
        self.coordinator.fetch_request()
    }

    /// Returns the delta for a peer whose versions are `known`, if there is one.
    #[must_use]
    pub fn delta_for(&self, now: Timestamp, known: Versions) -> Option<DeltaMessage> {
        self.coordinator.delta_for(now, known)
    }

    /// Handles a packet of a client. `is_last` means that the socket is empty after it.
    pub fn handle_packet(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        is_last: bool,
    ) -> PacketOutcome {
        let Some(view) = packet.to_flow_packet() else {
            return PacketOutcome::Drop;
        };
        let mut backlog = self.backlog_guard.may_have_waited(now, self.ticks);
        if self.is_ablated(Ablation::NoBacklogGuard) {
            backlog = false;
        }
        if is_last {
            self.backlog_guard.emptied();
        }
        let mut view = view;
        if self.is_ablated(Ablation::HashEveryPacket) && view.role == PacketRole::Later {
            view.role = PacketRole::Opening { attempt: 0 };
        }
        let decision = self.forwarder.decide(now, &self.table, &view, backlog);
        match decision {
            Decision::Place { destination, .. } | Decision::Follow { destination, .. } => {
                let mut forwarded = packet.clone();
                forwarded.echo = destination.cookie.bits();
                if self.is_ablated(Ablation::CorruptData)
                    && let Some(last) = forwarded.data.last_mut()
                {
                    *last ^= 0x80;
                }
                PacketOutcome::Forward(destination, forwarded)
            }
            Decision::Reset(_) if self.is_ablated(Ablation::NoResets) => PacketOutcome::Drop,
            Decision::Refuse(_) | Decision::Reset(_) => PacketOutcome::Reset(packet.reset_reply()),
            Decision::Drop(DropReason::UnknownCookie)
                if self.is_ablated(Ablation::ResetUnknownCookies) =>
            {
                PacketOutcome::Reset(packet.reset_reply())
            }
            Decision::Drop(_) => PacketOutcome::Drop,
        }
    }

    /// Handles a datagram of a peer.
    pub fn handle_datagram(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        datagram: PeerDatagram,
    ) -> Vec<ExchangeEffect> {
        let outcome = self.coordinator.handle_datagram(now, from, datagram);
        self.apply_outcome(outcome)
    }

    /// Handles the end of a fetch; `snapshot` is `None` if the fetch failed.
    pub fn handle_snapshot(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        snapshot: Option<Snapshot>,
    ) -> Vec<ExchangeEffect> {
        let Some(snapshot) = snapshot else {
            self.coordinator.fetch_failed(from);
            return Vec::new();
        };
        let outcome = self.coordinator.apply_snapshot(now, from, snapshot);
        self.apply_outcome(outcome)
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ExchangeEffect> {
        let (outcome, stalled) = self.coordinator.tick(now);
        if stalled.is_some() {
            self.forwarder.reset_after_stall();
        }
        self.ticks = TickReport {
            last: now,
            stalls: self.ticks.stalls + u64::from(stalled.is_some()),
        };
        let mut effects = self.apply_outcome(outcome);
        self.forwarder.review(now, &self.table);
        let failed = self.forwarder.take_suspects(now);
        self.coordinator.suspect(now, &failed);
        let ended = self.coordinator.ended(now);
        let avoided = self.coordinator.avoided(now);
        self.forwarder.set_unreachable(&ended, &avoided);
        self.forwarder.set_ended(&ended);
        let under_verification = self.coordinator.under_verification(now);
        let alive = self.forwarder.alive_instances(now, &under_verification);
        if !self.is_ablated(Ablation::NoPeers) && !self.is_ablated(Ablation::NoRefutations) {
            effects.extend(self.coordinator.report_alive(now, &alive).1);
        }
        let failing: Vec<_> = self.forwarder.failing_instances().collect();
        if failing != self.reported_failing && !self.is_ablated(Ablation::NoPeers) {
            self.reported_failing.clone_from(&failing);
            effects.extend(self.coordinator.set_failing(now, failing));
        }
        if !self.is_ablated(Ablation::NoPeerSuspicions) {
            let suspected = self.coordinator.peer_suspicions();
            self.forwarder.set_peer_suspicions(&suspected);
        }
        effects
    }

    /// Returns resets of idle flows whose instances have ended.
    pub fn take_flow_resets(&mut self, now: Timestamp) -> Vec<Packet> {
        let flow_resets = std::iter::from_fn(|| self.forwarder.next_flow_reset(now, &self.table));
        let resets: Vec<Packet> = flow_resets
            .map(|flow_reset| Packet::reset_for_flow(&flow_reset.flow, flow_reset.acknowledged))
            .collect();
        if self.is_ablated(Ablation::NoResets) {
            return Vec::new();
        }
        resets
    }

    /// Returns the next batch of probes to start.
    pub fn next_probe(&mut self, now: Timestamp) -> Option<ProbeBatch> {
        if self.is_ablated(Ablation::NoProbes) {
            return None;
        }
        let healthy = self.forwarder.healthy_instances(now);
        self.coordinator.next_probe(now, &healthy)
    }

    /// Handles the outcomes of a batch of probes.
    pub fn handle_probe_outcomes(
        &mut self,
        now: Timestamp,
        outcomes: &[(Cookie, ProbeOutcome)],
    ) -> Vec<ExchangeEffect> {
        let (_, effects) = self.coordinator.record_probes(now, outcomes);
        if self.is_ablated(Ablation::NoPeers) {
            return Vec::new();
        }
        effects
    }

    /// Returns the calls to the store that are due.
    pub fn store_calls(&mut self, now: Timestamp) -> Vec<StoreCall> {
        let kinds = ObjectKind::read(self.reads_zones).iter();
        kinds
            .filter_map(|kind| self.store_call(now, *kind))
            .collect()
    }

    fn store_call(&mut self, now: Timestamp, kind: ObjectKind) -> Option<StoreCall> {
        if self.pending_calls[kind as usize].is_some()
            || !self.coordinator.may_call_store(now, kind)
        {
            return None;
        }
        let plan = self.watch_plan(now, kind);
        let known_up_to = self.coordinator.known_up_to(kind);
        let era = self.coordinator.era();
        let next = match kind {
            ObjectKind::Instances => {
                self.instances.enter_era(era);
                self.instances.skip_to(known_up_to);
                self.instances.next_action(now, plan)
            }
            ObjectKind::Configuration => {
                self.configurations.enter_era(era);
                self.configurations.skip_to(known_up_to);
                self.configurations.next_action(now, plan)
            }
            ObjectKind::Zones => {
                self.zones.enter_era(era);
                self.zones.skip_to(known_up_to);
                self.zones.next_action(now, plan)
            }
        };
        let NextAction::Call(mut read) = next else {
            return None;
        };
        if let Read::List { freshness, .. } = &mut read
            && self.is_ablated(Ablation::NoStaleLists)
        {
            *freshness = Freshness::Newest;
        }
        self.coordinator.record_store_call(now, kind, &read);
        match kind {
            ObjectKind::Instances => self.instances.start_call(now, &read),
            ObjectKind::Configuration => self.configurations.start_call(now, &read),
            ObjectKind::Zones => self.zones.start_call(now, &read),
        }
        self.last_call_number += 1;
        self.pending_calls[kind as usize] = Some(PendingCall {
            number: self.last_call_number,
            read: read.clone(),
            context: self.coordinator.call_context(),
        });
        let wait = match &read {
            Read::Watch { wait, .. } => *wait,
            Read::List { .. } => Duration::ZERO,
        };
        Some(StoreCall {
            kind,
            read,
            number: self.last_call_number,
            timeout: if self.is_ablated(Ablation::NoCallTimeout) {
                ABLATED_TIMEOUT
            } else {
                wait + RESPONSE_TIMEOUT
            },
        })
    }

    /// Handles the answer to a call, or its failure. Answers to calls that timed out are ignored.
    pub fn handle_store_answer(
        &mut self,
        now: Timestamp,
        number: u64,
        era: Option<StoreEra>,
        answer: StoreAnswer,
    ) -> Vec<ExchangeEffect> {
        let pending = &mut self.pending_calls[answer.kind() as usize];
        let Some(call) = pending.take_if(|call| call.number == number) else {
            return Vec::new();
        };
        let (era, answer) = if self.is_ablated(Ablation::IgnoreEras) {
            (None, answer.in_era(StoreEra(0)))
        } else {
            (era, answer.in_era(era.unwrap_or(call.context.era)))
        };
        let outcome = match answer {
            StoreAnswer::Instances(answer) => {
                let answer = self.usable_answer(now, &call, Reply { era, answer });
                self.apply_instances(now, answer)
            }
            StoreAnswer::Configurations(answer) => {
                let answer = self.usable_answer(now, &call, Reply { era, answer });
                self.apply_configurations(now, answer)
            }
            StoreAnswer::Zones(answer) => {
                let answer = self.usable_answer(now, &call, Reply { era, answer });
                self.apply_zones(now, answer)
            }
        };
        self.apply_outcome(outcome)
    }

    /// Returns the part of a reply that is valid in the current era.
    fn usable_answer<Item: ListedObject, Event>(
        &mut self,
        now: Timestamp,
        call: &PendingCall,
        reply: Reply<Item, Event>,
    ) -> Answer<Item, Event> {
        if self.is_ablated(Ablation::IgnoreEras) {
            return reply.answer;
        }
        let validity = self
            .coordinator
            .classify_reply(now, call.context, &call.read, &reply);
        validity.filter(reply.answer)
    }

    fn apply_instances(
        &mut self,
        now: Timestamp,
        answer: Answer<InstanceRecord, InstanceEvent>,
    ) -> Outcome {
        let update = self.instances.answer(now, answer, &mut self.random);
        let usable = self.instances.is_usable();
        self.coordinator
            .record_store_availability(now, ObjectKind::Instances, usable);
        let Some(mut update) = update else {
            return Outcome::default();
        };
        match &mut update {
            Update::List { items, .. } => items
                .iter_mut()
                .for_each(|record| self.apply_ablation(record)),
            Update::Changes { events, .. } => {
                for event in events {
                    if let InstanceEvent::Put(record) = event {
                        self.apply_ablation(record);
                    }
                }
            }
        }
        self.coordinator.apply_instances(now, update)
    }

    fn apply_configurations(
        &mut self,
        now: Timestamp,
        answer: Answer<Configuration, Configuration>,
    ) -> Outcome {
        let update = self.configurations.answer(now, answer, &mut self.random);
        let usable = self.configurations.is_usable();
        self.coordinator
            .record_store_availability(now, ObjectKind::Configuration, usable);
        match update {
            Some(update) => self.coordinator.apply_configurations(now, update),
            None => Outcome::default(),
        }
    }

    fn apply_zones(&mut self, now: Timestamp, answer: Answer<DrainedZone, ZoneEvent>) -> Outcome {
        let update = self.zones.answer(now, answer, &mut self.random);
        let usable = self.zones.is_usable();
        self.coordinator
            .record_store_availability(now, ObjectKind::Zones, usable);
        match update {
            Some(update) if !self.is_ablated(Ablation::IgnoreDrainedZones) => {
                self.coordinator.apply_zones(now, update)
            }
            Some(Update::List { at, .. }) => self.coordinator.apply_zones(now, empty_zone_list(at)),
            Some(_) | None => Outcome::default(),
        }
    }

    /// Returns whether the node watches the store on behalf of others.
    #[must_use]
    pub fn watches(&self, now: Timestamp) -> bool {
        self.coordinator.duty(now) != StoreDuty::Listener
    }

    /// Returns how to keep reading objects of a kind.
    fn watch_plan(&self, now: Timestamp, kind: ObjectKind) -> WatchPlan {
        match self.coordinator.watch_plan(now, kind) {
            WatchPlan::Watch(Freshness::Newest) if self.is_ablated(Ablation::NoReader) => {
                WatchPlan::Watch(Freshness::MayBeStale)
            }
            _ if self.is_ablated(Ablation::IdleForever) && self.has_confirmation(now) => {
                WatchPlan::IdleUntil(now.after(ABLATED_TIMEOUT))
            }
            plan => plan,
        }
    }

    /// Returns whether the node doesn't watch on behalf of others and its state was confirmed as
    /// the newest.
    fn has_confirmation(&self, now: Timestamp) -> bool {
        let exchange = self.coordinator.exchange();
        !self.watches(now) && exchange.confirmation_age(now).is_some()
    }

    fn is_ablated(&self, ablation: Ablation) -> bool {
        self.ablations.contains(&ablation)
    }

    fn apply_ablation(&self, record: &mut InstanceRecord) {
        if self.is_ablated(Ablation::IgnoreDraining) {
            record.state = InstanceState::Ready;
        }
    }

    fn apply_outcome(&mut self, outcome: Outcome) -> Vec<ExchangeEffect> {
        if outcome.change.any() {
            self.table = self.coordinator.replica().table();
        }
        if self.is_ablated(Ablation::NoPeers) {
            return Vec::new();
        }
        outcome.effects
    }
}
