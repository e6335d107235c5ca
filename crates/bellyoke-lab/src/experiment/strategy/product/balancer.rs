//! One balancer of the product: what its daemon does with the core, in virtual time.

use super::super::{Effect, PublishOutcome};
use super::addresses::{backend_at, node_at, peer_address};
use super::objects::ObjectCompiler;
use super::wire::{self, decode_packet, encode_packet};
use crate::experiment::costs::{NodeCosts, ThreadClock};
use crate::experiment::strategy::ControlPayload;
use crate::experiment::world::network::NodeIndex;
use crate::experiment::world::packet::{FlowPacket, PacketKind};
use bellyoke_core::flow::{Decider, Decision, FlowSettings, LeaseState};
use bellyoke_core::generation::{Forwarding, Generation, Zone};
use bellyoke_core::identity::{BackendId, GenerationNumber, NodeId};
use bellyoke_core::node::{
    AdoptionReport, EscalatedPacket, Input, Message, Node, NodeEvent, NodeIdentity, NodeSettings,
    Output, Publisher, PublisherInput, PublisherOutput, PublisherSettings, datagram_overhead,
};
use bellyoke_core::packet::{PacketKind as CorePacketKind, PacketSummary, TcpFlags};
use bellyoke_core::time::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two sweeps of the flow table, and two reports of settled buckets.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_secs(5);
/// Records looked at in a sweep: the whole table of an experiment's size.
const SWEEP_RECORDS: u32 = 1 << 20;
/// How long a node that left goes on, so that the fabric forgets it.
const LEAVE_GRACE: Duration = Duration::from_secs(4);

/// A balancer of the product.
pub struct Balancer {
    index: NodeIndex,
    node: Node,
    publisher: Publisher,
    decider: Decider,
    forwarding: Arc<Forwarding>,
    lease_until: Timestamp,
    timer_at: Option<Timestamp>,
    housekeeping_at: Timestamp,
    leave_complete: Option<Timestamp>,
    /// The store's version that each adopted generation was read at.
    revisions: BTreeMap<GenerationNumber, u64>,
    in_force: u64,
    costs: NodeCosts,
}

impl Balancer {
    /// A balancer that has just started.
    pub fn new(
        index: NodeIndex,
        zone: Zone,
        settings: NodeSettings,
        flow_capacity: u32,
        seed: u64,
    ) -> Self {
        let identity = NodeIdentity {
            node: NodeId(u64::from(index.0) + 1),
            zone,
            peer_address: peer_address(index),
        };
        let seed = seed ^ (u64::from(index.0) << 32);
        let flow_settings = FlowSettings {
            capacity: flow_capacity,
            delay_horizon: settings.delay_horizon(),
            ..FlowSettings::default()
        };
        Self {
            index,
            node: Node::new(identity, settings, seed),
            publisher: Publisher::new(PublisherSettings::new(ObjectCompiler::parameters()), seed),
            decider: Decider::new(&flow_settings),
            forwarding: Arc::new(Forwarding::empty()),
            lease_until: Timestamp::ZERO,
            timer_at: None,
            housekeeping_at: Timestamp::ZERO,
            leave_complete: None,
            revisions: BTreeMap::new(),
            in_force: 0,
            costs: NodeCosts::default(),
        }
    }

    /// What this balancer has cost since the last call.
    pub fn take_costs(&mut self) -> NodeCosts {
        let mut costs = std::mem::take(&mut self.costs);
        costs.flow_records = u64::from(self.decider.table().len());
        if let Some(generation) = self.node.generation() {
            costs.generation = generation.number.0;
            costs.generation_bytes = generation.encode().len() as u64;
        }
        costs
    }

    /// The process starts and knows a few peers.
    pub fn start(&mut self, now: Timestamp, seeds: &[NodeIndex], effects: &mut Vec<Effect>) {
        let seeds = seeds.iter().map(|seed| peer_address(*seed)).collect();
        self.housekeeping_at = now.after(HOUSEKEEPING_PERIOD);
        self.input(now, Input::Seeds(seeds), effects);
    }

    /// The operator stops the process.
    pub fn leave(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.input(now, Input::Leave, effects);
    }

    /// Whether the process may end.
    pub fn has_left(&self, now: Timestamp) -> bool {
        self.leave_complete
            .is_some_and(|complete| now.since(complete) >= LEAVE_GRACE)
    }

    /// A message arrived.
    pub fn message(
        &mut self,
        now: Timestamp,
        from: NodeIndex,
        bytes: &[u8],
        effects: &mut Vec<Effect>,
    ) {
        let started = ThreadClock::start();
        let decoded = Message::decode(bytes);
        self.costs.codec += started.elapsed();
        let Ok(message) = decoded else {
            return;
        };
        let from = NodeId(u64::from(from.0) + 1);
        self.input(now, Input::Message { from, message }, effects);
    }

    /// The time that the core asked for has come.
    pub fn timeout(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if self.timer_at.is_none_or(|armed| armed > now) {
            // An earlier timer replaced the one that fires now.
            return;
        }
        self.timer_at = None;
        if now >= self.housekeeping_at {
            self.housekeeping_at = now.after(HOUSEKEEPING_PERIOD);
            self.keep_house(now, effects);
        }
        if self.publisher.next_timeout().is_some_and(|due| due <= now) {
            self.publisher_input(now, PublisherInput::Timeout, effects);
        }
        self.input(now, Input::Timeout, effects);
    }

    /// The store answered a write, or showed a newer generation.
    pub fn store_answered(
        &mut self,
        now: Timestamp,
        written: &Arc<Generation>,
        outcome: PublishOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let input = match outcome {
            PublishOutcome::Conflict(newest) if Arc::ptr_eq(&newest, written) => {
                PublisherInput::Stored(newest)
            }
            other => PublisherInput::Answered(other.into()),
        };
        self.publisher_input(now, input, effects);
    }

    /// The publisher is told something.
    pub fn publisher_input(
        &mut self,
        now: Timestamp,
        input: PublisherInput,
        effects: &mut Vec<Effect>,
    ) {
        let started = ThreadClock::start();
        let outputs = self.publisher.handle(now, input);
        self.costs.publisher += started.elapsed();
        for output in outputs {
            match output {
                PublisherOutput::Write(generation) => effects.push(Effect::Publish {
                    node: self.index,
                    generation,
                }),
                PublisherOutput::ReadBack => effects.push(Effect::ReadBack { node: self.index }),
                PublisherOutput::Published(generation) => {
                    self.input(now, Input::Published(generation), effects);
                }
                PublisherOutput::Problems(_) | PublisherOutput::Failed(_) => {}
            }
        }
        self.arm_timer(effects);
    }

    /// A caller's packet arrived from the fabric.
    pub fn packet(&mut self, now: Timestamp, packet: &FlowPacket, effects: &mut Vec<Effect>) {
        let lease = if now < self.lease_until {
            LeaseState::Valid
        } else {
            LeaseState::Fenced
        };
        let summary = summary_of(packet);
        let decision = self.decider.decide(now, &self.forwarding, lease, &summary);
        match decision {
            Decision::Forward(backend) => self.forward(backend, packet, effects),
            Decision::Escalate(escalation) => {
                let packet = encode_packet(packet);
                let escalated = EscalatedPacket { escalation, packet };
                self.input(now, Input::Escalated(escalated), effects);
            }
            Decision::Reset => effects.push(Effect::Reset { packet: *packet }),
            Decision::Drop(_) => {}
        }
    }

    fn keep_house(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let forwarding = Arc::clone(&self.forwarding);
        let started = ThreadClock::start();
        self.decider.sweep(now, &forwarding, SWEEP_RECORDS);
        let settled = self.decider.settled_buckets(now, &forwarding);
        self.costs.housekeeping += started.elapsed();
        if !settled.is_empty() {
            self.input(now, Input::Settled(settled), effects);
        }
    }

    fn input(&mut self, now: Timestamp, input: Input<Message>, effects: &mut Vec<Effect>) {
        let started = ThreadClock::start();
        let outputs = self.node.handle(now, input);
        self.costs.control += started.elapsed();
        for output in outputs {
            self.apply(now, output, effects);
        }
        self.arm_timer(effects);
    }

    fn apply(&mut self, now: Timestamp, output: Output<Message>, effects: &mut Vec<Effect>) {
        match output {
            Output::Send {
                address, message, ..
            } => self.send(address, &message, effects),
            Output::Adopt(forwarding) => self.adopt(now, forwarding, effects),
            Output::Forward { backend, packet } => {
                if let Some(packet) = decode_packet(&packet) {
                    self.forward(backend, &packet, effects);
                }
            }
            Output::Learn { place, backend } => self.decider.learn(now, &place, backend),
            Output::Refuse { packet, .. } => {
                if let Some(packet) = decode_packet(&packet) {
                    effects.push(Effect::Refuse { packet });
                }
            }
            Output::Reset { packet } => {
                if let Some(packet) = decode_packet(&packet) {
                    effects.push(Effect::Reset { packet });
                }
            }
            Output::Lease(until) => self.lease_until = until,
            Output::Propose(proposal) => {
                self.publisher_input(now, PublisherInput::Proposed(proposal), effects);
            }
            Output::Event(event) => self.event(now, &event, effects),
        }
    }
}

impl Balancer {
    fn send(
        &mut self,
        address: std::net::SocketAddr,
        message: &Message,
        effects: &mut Vec<Effect>,
    ) {
        let Some(to) = node_at(address) else {
            return;
        };
        let started = ThreadClock::start();
        let encoded = message.encode();
        self.costs.codec += started.elapsed();
        let Ok(bytes) = encoded else {
            return;
        };
        let length = bytes.len() + datagram_overhead(address);
        self.costs.sent(message, length);
        effects.push(Effect::Control {
            from: self.index,
            to,
            bytes: u32::try_from(length).unwrap_or(u32::MAX),
            is_data: message.carries_packet(),
            payload: ControlPayload::Peer(bytes),
        });
    }

    /// Traffic threads switch between two packets: here, at once.
    fn adopt(&mut self, now: Timestamp, next: Arc<Forwarding>, effects: &mut Vec<Effect>) {
        let started = ThreadClock::start();
        let opened = self
            .decider
            .opened_for_handover(now, &self.forwarding, &next);
        self.decider.apply_generation(now, &next);
        self.costs.housekeeping += started.elapsed();
        let generation = next.generation;
        self.revisions.insert(generation, next.revision.services);
        self.forwarding = next;
        let report = AdoptionReport { generation, opened };
        self.input(now, Input::Adopted(report), effects);
    }

    fn event(&mut self, now: Timestamp, event: &NodeEvent, effects: &mut Vec<Effect>) {
        let at = now.as_micros();
        tracing::debug!(at, node = self.index.0, ?event, "event");
        match event {
            NodeEvent::BarrierPassed(generation) => self.in_force_up_to(*generation, effects),
            NodeEvent::LeaveComplete => self.leave_complete = Some(now),
            _ => {}
        }
    }

    /// A change is in force once new flows can't follow the old table any more.
    fn in_force_up_to(&mut self, generation: GenerationNumber, effects: &mut Vec<Effect>) {
        let passed = self.revisions.range(..=generation).next_back();
        let Some((_, newest)) = passed.map(|(number, revision)| (*number, *revision)) else {
            return;
        };
        for revision in self.in_force + 1..=newest {
            effects.push(Effect::InForce {
                node: self.index,
                revision,
            });
        }
        self.in_force = self.in_force.max(newest);
        self.revisions = self.revisions.split_off(&generation);
    }

    fn forward(&self, backend: BackendId, packet: &FlowPacket, effects: &mut Vec<Effect>) {
        let target = self.forwarding.backends.get(&backend);
        let Some(backend) = target.and_then(|target| backend_at(target.tunnel)) else {
            return;
        };
        effects.push(Effect::Forward {
            node: self.index,
            backend,
            packet: *packet,
        });
    }

    fn arm_timer(&mut self, effects: &mut Vec<Effect>) {
        let mut due = self.node.next_timeout().min(self.housekeeping_at);
        if let Some(publisher) = self.publisher.next_timeout() {
            due = due.min(publisher);
        }
        if self.timer_at.is_none_or(|armed| due < armed) {
            self.timer_at = Some(due);
            effects.push(Effect::Timer {
                node: self.index,
                at: due,
            });
        }
    }
}

fn summary_of(packet: &FlowPacket) -> PacketSummary {
    let flags = TcpFlags {
        syn: packet.kind == PacketKind::Opening,
        ack: packet.kind != PacketKind::Opening,
        fin: packet.kind == PacketKind::Closing,
        rst: false,
    };
    PacketSummary {
        key: packet.key,
        kind: CorePacketKind::Tcp(flags),
        length: wire::PACKET_LENGTH,
    }
}
