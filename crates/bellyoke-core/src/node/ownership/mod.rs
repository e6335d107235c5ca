//! Ownership of contested buckets: one node, the owner, decides where the flows of a bucket go,
//! and replicates its decisions (docs/PROTOCOL.md, sections 2, 3, 4 and 6).

mod acceptor;
mod assignment;
mod backoff;
mod ballot;
mod claim;
mod cluster;
mod decision;
mod early_handovers;
mod effect;
mod group;
mod handover;
mod leader;
mod message;
mod outbox;
mod owner;
mod pause;
mod pending;
mod pin;
mod pin_sweep;
pub mod placement;
mod relay;
mod replication;
mod retirement;
mod settings;
mod settlement;
mod takeover;

pub use assignment::Assignment;
pub use ballot::{Ballot, Configuration, LogPosition};

pub use effect::{DropCounters, OwnershipCounters, OwnershipEffect};
pub use message::{
    FetchRequest, FetchedPins, HandoverBatch, HandoverReceipt, Installation, LearnedFlow,
    OwnerHint, OwnershipMessage, PinBatch, PrepareRequest, RelayedPacket, ReplicaAnnouncement,
    ReplicaPosition, ReplicaPromise, SettledEntry, SettledReport,
};
pub use pin::{EncodedPin, PinChange, PinDestination, PinKey, PinRun, SettledMark, ShortHash};
pub use placement::LoadReport;
pub use settings::{Ablation, OwnershipSettings};

use crate::flow::{FlowPlace, SettledBucket};
use crate::generation::Generation;
use crate::identity::{BackendId, GenerationNumber, GroupIndex, NodeId};
use crate::node::{AdoptionReport, EscalatedPacket};
use crate::time::Timestamp;
use cluster::{Cluster, MembershipView};
use early_handovers::EarlyHandovers;
use group::{GroupState, Role};
use handover::Handovers;
use outbox::Outbox;
use pause::PauseDetector;
use pending::PacketBudget;
use placement::LoadReports;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::PacketQueue;
use settlement::Settlement;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How often this node removes pins that are no longer needed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The ownership state of one node, without IO or clock.
#[derive(Debug)]
pub struct Ownership {
    node: NodeId,
    settings: OwnershipSettings,
    cluster: Option<Cluster>,
    membership: MembershipView,
    groups: BTreeMap<GroupIndex, GroupState>,
    /// The generation that the traffic threads forward with.
    forwarding_generation: GenerationNumber,
    /// Groups with an open or unsent batch.
    active_groups: BTreeSet<GroupIndex>,
    handovers: Handovers,
    settlement: Settlement,
    queue: PacketQueue,
    early_handovers: EarlyHandovers,
    packet_budget: PacketBudget,
    owned_pins: usize,
    load_reports: LoadReports,
    random: ChaCha8Rng,
    outbox: Outbox,
    /// Messages that this node has sent to itself.
    loopback: VecDeque<OwnershipMessage>,
    effects: Vec<OwnershipEffect>,
    counters: OwnershipCounters,
    pause_detector: PauseDetector,
    flush_at: Option<Timestamp>,
    retry_at: Option<Timestamp>,
    sweep_at: Option<Timestamp>,
}

impl Ownership {
    /// Returns the state of a node that has no generation yet.
    #[must_use]
    pub fn new(node: NodeId, settings: OwnershipSettings) -> Self {
        let packet_budget =
            PacketBudget::new(settings.max_queued_packets, settings.max_queued_bytes);
        Self {
            node,
            settings,
            cluster: None,
            membership: MembershipView::default(),
            groups: BTreeMap::new(),
            forwarding_generation: GenerationNumber(0),
            active_groups: BTreeSet::new(),
            handovers: Handovers::default(),
            settlement: Settlement::default(),
            queue: PacketQueue::new(),
            early_handovers: EarlyHandovers::default(),
            packet_budget,
            owned_pins: 0,
            load_reports: LoadReports::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed ^ node.0),
            outbox: Outbox::default(),
            loopback: VecDeque::new(),
            effects: Vec::new(),
            counters: OwnershipCounters::default(),
            pause_detector: PauseDetector::default(),
            flush_at: None,
            retry_at: None,
            sweep_at: None,
        }
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> OwnershipCounters {
        self.counters
    }

    /// Returns the number of pins in the groups that this node owns.
    #[must_use]
    pub fn owned_pins(&self) -> usize {
        self.owned_pins
    }

    /// Returns whether this node serves `group` as its owner.
    #[must_use]
    pub fn is_serving(&self, group: GroupIndex) -> bool {
        match self.groups.get(&group).map(|state| &state.role) {
            Some(Role::Leading(leader)) => leader.serves(),
            _ => false,
        }
    }

    /// Returns whether no other node can still need the pins stored here. A node that leaves may
    /// then stop.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let has_no_copy = |group: &GroupState| group.acceptor.installed().is_none();
        self.handovers.is_done() && self.groups.values().all(has_no_copy)
    }

    /// Switches to a newer generation. Ignores older ones.
    pub fn apply_generation(
        &mut self,
        now: Timestamp,
        generation: &Arc<Generation>,
    ) -> Vec<OwnershipEffect> {
        match &mut self.cluster {
            Some(cluster) if cluster.number() >= generation.number => return Vec::new(),
            Some(cluster) => cluster.advance(generation),
            None => self.cluster = Some(Cluster::new(generation)),
        }
        let groups = self
            .cluster
            .iter()
            .flat_map(|cluster| cluster.assignment.groups());
        for group in groups.collect::<Vec<_>>() {
            self.apply_generation_to_group(now, group);
        }
        if let Some(cluster) = &self.cluster {
            self.membership.trim_suspected(cluster);
        }
        self.trim_settlement();
        self.retry_queued_packets(now);
        self.apply_early_handovers(now);
        self.finish(now)
    }

    /// Records that the traffic threads have switched to a generation, and hands over the flows
    /// that they opened recently.
    pub fn handle_adoption(
        &mut self,
        now: Timestamp,
        report: AdoptionReport,
    ) -> Vec<OwnershipEffect> {
        self.forwarding_generation = self.forwarding_generation.max(report.generation);
        self.start_handover(now, report);
        self.finish(now)
    }

    /// Handles an authenticated message from a peer.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: OwnershipMessage,
    ) -> Vec<OwnershipEffect> {
        self.detect_pause(now);
        self.dispatch(now, from, message);
        self.finish(now)
    }

    /// Handles a packet that the traffic threads could not decide.
    pub fn handle_escalation(
        &mut self,
        now: Timestamp,
        packet: EscalatedPacket,
    ) -> Vec<OwnershipEffect> {
        self.detect_pause(now);
        let generation = self
            .cluster
            .as_ref()
            .map_or(GenerationNumber(0), Cluster::number);
        let relayed = RelayedPacket {
            origin: self.node,
            generation,
            hops: 0,
            escalation: packet.escalation,
            packet: packet.packet,
        };
        self.route(now, relayed);
        self.finish(now)
    }

    /// Replaces the set of settled buckets: those in which the traffic threads saw no off-target
    /// flow for the idle timeout. A bucket that is missing from `buckets` is no longer settled.
    /// The threads compare with the targets of the generation last passed to
    /// [`Self::handle_adoption`].
    pub fn update_settled_buckets(
        &mut self,
        now: Timestamp,
        buckets: Vec<SettledBucket>,
    ) -> Vec<OwnershipEffect> {
        self.report_settled(now, &buckets);
        self.finish(now)
    }

    /// Records that a peer is suspected or has failed.
    pub fn member_failed(&mut self, now: Timestamp, node: NodeId) -> Vec<OwnershipEffect> {
        self.membership.suspected.insert(node);
        let groups: Vec<GroupIndex> = self.groups.keys().copied().collect();
        for group in groups {
            if let Some(claim) = self.groups.get_mut(&group).and_then(GroupState::claim) {
                claim.remove_promise(node);
            }
            self.claim_if_needed(now, group);
        }
        self.retry_queued_packets(now);
        self.finish(now)
    }

    /// Records that a suspected peer is alive.
    pub fn member_alive(&mut self, now: Timestamp, node: NodeId) -> Vec<OwnershipEffect> {
        self.membership.suspected.remove(&node);
        self.finish(now)
    }

    /// Records that all members have acknowledged a generation.
    pub fn barrier_passed(
        &mut self,
        now: Timestamp,
        generation: GenerationNumber,
    ) -> Vec<OwnershipEffect> {
        self.membership.barrier = self.membership.barrier.max(generation);
        self.finish(now)
    }

    /// Records a load report of a backend.
    pub fn record_load(&mut self, now: Timestamp, backend: BackendId, load: LoadReport) {
        self.load_reports.record(now, backend, load);
    }

    /// Records that a flow in a contested bucket has ended.
    pub fn flow_ended(&mut self, now: Timestamp, place: FlowPlace) -> Vec<OwnershipEffect> {
        self.report_flow_end(now, place);
        self.finish(now)
    }

    /// Runs the timers that are due.
    pub fn timeout(&mut self, now: Timestamp) -> Vec<OwnershipEffect> {
        self.detect_pause(now);
        if self.sweep_at.take_if(|due| *due <= now).is_some() {
            self.sweep(now);
        }
        if self.retry_at.take_if(|due| *due <= now).is_some() {
            self.retry(now);
        }
        if self.flush_at.take_if(|due| *due <= now).is_some() {
            self.flush_batches(now);
            self.effects.extend(self.outbox.flush());
        }
        self.finish(now)
    }

    /// Returns when [`Self::timeout`] is due.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let timers = [self.flush_at, self.retry_at, self.sweep_at];
        timers.into_iter().flatten().min()
    }

    fn dispatch(&mut self, now: Timestamp, from: NodeId, message: OwnershipMessage) {
        use OwnershipMessage as Message;
        match message {
            Message::Relay(relayed) => self.handle_relay(now, from, *relayed),
            Message::Learned(flows) => self.handle_learned_flows(&flows),
            Message::OwnerHints(hints) => for_each(hints, |hint| self.handle_owner_hint(hint)),
            Message::Replicate(batches) => {
                for_each(batches, |batch| self.handle_pin_batch(now, from, batch))
            }
            Message::Replicated(all) => for_each(all, |position| {
                self.handle_replica_position(now, from, position)
            }),
            Message::Superseded(hints) => for_each(hints, |hint| self.handle_superseded(now, hint)),
            Message::Prepare(requests) => {
                for_each(requests, |request| self.handle_prepare(from, request))
            }
            Message::Promise(all) => {
                for_each(all, |promise| self.handle_promise(now, from, promise))
            }
            Message::Fetch(request) => self.handle_fetch(from, *request),
            Message::Fetched(page) => self.handle_fetched_pins(now, &page),
            Message::Announce(all) => {
                for_each(all, |copy| self.handle_announcement(now, from, copy))
            }
            Message::Installed(all) => for_each(all, |copy| self.handle_installed(&copy)),
            Message::Handover(parts) => {
                for_each(parts, |part| self.handle_handover(now, from, part))
            }
            Message::HandoverConfirmed(all) => {
                for_each(all, |part| self.handle_handover_confirmation(now, part))
            }
            Message::EndedFlows(places) => self.handle_ended_flows(now, places),
            Message::Settled(report) => self.handle_settled_report(now, from, &report),
            Message::SettledRound(round) => self.handle_settled_round(from, round),
        }
    }

    fn handle_learned_flows(&mut self, flows: &[LearnedFlow]) {
        let effect = |flow: &LearnedFlow| OwnershipEffect::Learn {
            place: flow.place,
            backend: flow.backend,
        };
        self.effects.extend(flows.iter().map(effect));
    }

    /// Sends a message without batching it.
    fn send(&mut self, to: NodeId, message: OwnershipMessage) {
        if to == self.node {
            self.loopback.push_back(message);
            return;
        }
        self.effects.push(OwnershipEffect::Send { to, message });
    }

    fn retry(&mut self, now: Timestamp) {
        self.send_handovers(now);
        self.acknowledge_when_done(now);
        let groups: Vec<GroupIndex> = self.groups.keys().copied().collect();
        for group in &groups {
            self.retry_group(now, *group);
        }
        self.claim_unused(now, &groups);
        self.retry_queued_packets(now);
    }

    fn retry_group(&mut self, now: Timestamp, group: GroupIndex) {
        self.abandon_overdue_claim(now, group);
        self.drop_expired_items(now, group);
        let interval = self.settings.retry_interval;
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        if state.retry_backoff.is_due(now, interval, &mut self.random) {
            self.send_claim_requests(group);
            self.resend_batches(now, group);
        }
        self.retry_announcement(now, group);
        self.claim_if_needed(now, group);
    }

    /// Handles this node's messages to itself and sets the timers.
    fn finish(&mut self, now: Timestamp) -> Vec<OwnershipEffect> {
        while let Some(message) = self.loopback.pop_front() {
            self.dispatch(now, self.node, message);
        }
        self.set_timers(now);
        std::mem::take(&mut self.effects)
    }

    fn set_timers(&mut self, now: Timestamp) {
        if self.cluster.is_none() {
            return;
        }
        if !self.active_groups.is_empty() || !self.outbox.is_empty() {
            self.flush_at
                .get_or_insert(now.after(self.settings.batch_delay));
        }
        self.retry_at
            .get_or_insert(now.after(self.settings.retry_interval));
        self.sweep_at.get_or_insert(now.after(SWEEP_INTERVAL));
    }
}

fn for_each<T>(entries: Vec<T>, handle: impl FnMut(T)) {
    entries.into_iter().for_each(handle);
}
