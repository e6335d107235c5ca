//! A simulation of the network in virtual time. Each seed determines one schedule.

use super::clients::{Client, ClientPacket};
use super::control::Control;
use super::generations::{self, FIRST_HASHED, LEAST_LOADED, SECOND_HASHED};
use super::ledger::Ledger;
use super::node::{DELAY_HORIZON, LEASE_DURATION, SimNode, TrafficDecision};
use bellyoke_core::flow::{Escalation, EscalationKind, SettledBucket};
use bellyoke_core::generation::{BackendState, Generation};
use bellyoke_core::identity::{BackendId, GenerationNumber, NodeId};
use bellyoke_core::node::ownership::{
    Ablation, OwnershipEffect, OwnershipMessage, OwnershipSettings,
};
use bellyoke_core::node::{AdoptionReport, EscalatedPacket};
use bellyoke_core::packet::FlowHash;
use bellyoke_core::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const MILLISECOND_MICROS: u64 = 1_000;
const SECOND_MICROS: u64 = 1_000_000;
const CLIENT_COUNT: u32 = 60;
const LAST_START_MICROS: u64 = 7 * SECOND_MICROS;
const END_MICROS: u64 = 16 * SECOND_MICROS;

/// The faults that can occur in a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// Only delay, reordering, loss, duplication and planned changes.
    Planned,
    /// Also crashes, pauses, partitions, false suspicions and dead backends.
    All,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash,
    Pause,
    Partition,
}

#[derive(Clone, Debug)]
enum Event {
    Message(NodeId, NodeId, OwnershipMessage),
    Packet(NodeId, ClientPacket),
    Timer(NodeId),
    Learn(NodeId),
    Switch(NodeId, GenerationNumber),
    Barrier(NodeId, GenerationNumber),
    Suspect(NodeId, NodeId),
    Alive(NodeId, NodeId),
    InjectFault(NodeId, Fault),
    Restore(NodeId),
    RemoveFailed(NodeId),
    Change,
    Clean(GenerationNumber, Vec<SettledBucket>),
    Poll(NodeId),
    ControlTick,
    Send(u32),
    Established(u32),
}

impl Event {
    /// Returns the node that must be running for the event to take place.
    fn node(&self) -> Option<NodeId> {
        match self {
            Self::Message(_, to, _) => Some(*to),
            Self::Packet(node, _)
            | Self::Timer(node)
            | Self::Learn(node)
            | Self::Switch(node, _)
            | Self::Barrier(node, _)
            | Self::Suspect(node, _)
            | Self::Alive(node, _)
            | Self::Poll(node) => Some(*node),
            _ => None,
        }
    }
}

/// The result of a schedule.
#[derive(Debug, Default)]
pub struct Outcome {
    pub violation: Option<String>,
    pub trace: Vec<String>,
    pub established: u32,
    pub refused: u32,
    pub reset: u32,
    pub generations: u64,
    pub cleaned: u32,
    pub installed: u64,
    pub abandoned: u64,
    pub messages: u64,
}

pub struct Simulation {
    now: u64,
    random: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    nodes: BTreeMap<NodeId, SimNode>,
    control: Control,
    clients: BTreeMap<u32, Client>,
    ledger: Ledger,
    settings: OwnershipSettings,
    faults: Faults,
    next_node: u64,
    barrier_known_at: BTreeMap<GenerationNumber, u64>,
    records_trace: bool,
    outcome: Outcome,
}

pub fn settings(ablation: Ablation) -> OwnershipSettings {
    OwnershipSettings {
        packet_timeout: Duration::from_millis(500),
        retry_interval: Duration::from_millis(50),
        delay_horizon: DELAY_HORIZON,
        ended_pin_retention: DELAY_HORIZON,
        abandon_timeout: DELAY_HORIZON + LEASE_DURATION + Duration::from_secs(1),
        abandon_empty_timeout: Duration::from_secs(1),
        max_batch_pins: 4,
        ablation,
        ..OwnershipSettings::default()
    }
}

/// Runs the schedule of `seed`.
pub fn run(seed: u64, faults: Faults, ablation: Ablation, records_trace: bool) -> Outcome {
    let mut simulation = Simulation::new(seed, faults, ablation, records_trace);
    simulation.plan();
    while simulation.step() {}
    simulation.finish()
}

impl Simulation {
    fn new(seed: u64, faults: Faults, ablation: Ablation, records_trace: bool) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let members = random.random_range(4..=6);
        let first = Arc::new(generations::first(1..=members));
        let settings = settings(ablation);
        let nodes = (1..=members).map(NodeId);
        Self {
            now: 0,
            random,
            queue: BTreeMap::new(),
            next_event: 0,
            nodes: nodes.map(|id| (id, SimNode::new(id, settings))).collect(),
            control: Control::new(first),
            clients: BTreeMap::new(),
            ledger: Ledger::default(),
            settings,
            faults,
            next_node: members + 1,
            barrier_known_at: BTreeMap::new(),
            records_trace,
            outcome: Outcome::default(),
        }
    }

    fn plan(&mut self) {
        for node in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.at(0, Event::Learn(node));
            self.at(100 * MILLISECOND_MICROS, Event::Poll(node));
        }
        for flow in 0..CLIENT_COUNT {
            self.schedule_client(flow);
        }
        let changes = self.random.random_range(2..7);
        for _ in 0..changes {
            let at = self.random.random_range(SECOND_MICROS..8 * SECOND_MICROS);
            self.at(at, Event::Change);
        }
        self.at(0, Event::ControlTick);
        if self.faults == Faults::Planned {
            return;
        }
        for _ in 0..self.random.random_range(1..4) {
            self.schedule_fault();
        }
        for _ in 0..self.random.random_range(0..4) {
            self.schedule_false_suspicion();
        }
    }

    fn schedule_client(&mut self, flow: u32) {
        let services = [
            FIRST_HASHED,
            FIRST_HASHED,
            FIRST_HASHED,
            SECOND_HASHED,
            LEAST_LOADED,
        ];
        let service = services[self.random.random_range(0..services.len())];
        let started_at = self
            .random
            .random_range(100 * MILLISECOND_MICROS..LAST_START_MICROS);
        let lifetime = self
            .random
            .random_range(500 * MILLISECOND_MICROS..6 * SECOND_MICROS);
        let client = Client {
            service,
            hash: FlowHash(self.random.random()),
            started_at,
            ends_at: started_at + lifetime,
            established: false,
            ended: false,
        };
        self.clients.insert(flow, client);
        self.at(started_at, Event::Send(flow));
    }

    fn schedule_fault(&mut self) {
        let at = self.random.random_range(SECOND_MICROS..9 * SECOND_MICROS);
        let node = self.any_node();
        let kinds = [Fault::Crash, Fault::Pause, Fault::Partition];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        self.at(at, Event::InjectFault(node, kind));
    }

    fn schedule_false_suspicion(&mut self) {
        let at = self.random.random_range(SECOND_MICROS..9 * SECOND_MICROS);
        let (observer, node) = (self.any_node(), self.any_node());
        if observer != node {
            let until = at + self.random.random_range(0..SECOND_MICROS);
            self.at(at, Event::Suspect(observer, node));
            self.at(until, Event::Alive(observer, node));
        }
    }

    fn any_node(&mut self) -> NodeId {
        let nodes: Vec<NodeId> = self.nodes.keys().copied().collect();
        nodes[self.random.random_range(0..nodes.len())]
    }

    fn at(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((time, self.next_event), event);
    }

    fn delay(&mut self) -> u64 {
        let is_slow = self.random.random_range(0..20) == 0;
        let max_milliseconds = if is_slow { 300 } else { 30 };
        self.random
            .random_range(MILLISECOND_MICROS..max_milliseconds * MILLISECOND_MICROS)
    }

    fn after_delay(&mut self, event: Event) {
        let time = self.now + self.delay();
        self.at(time, event);
    }

    fn trace(&mut self, text: impl FnOnce() -> String) {
        if self.records_trace {
            let line = format!("{:>9} {}", self.now, text());
            self.outcome.trace.push(line);
        }
    }

    fn step(&mut self) -> bool {
        let Some(((time, _), event)) = self.queue.pop_first() else {
            return false;
        };
        if time > END_MICROS || self.ledger.violation.is_some() {
            return false;
        }
        self.now = time;
        if let Some(node) = event.node() {
            let Some(node) = self.nodes.get(&node).filter(|node| !node.crashed) else {
                return true;
            };
            if let Some(until) = node.paused_until.filter(|until| *until > time) {
                let jitter = self.random.random_range(0..5 * MILLISECOND_MICROS);
                self.at(until + jitter, event);
                return true;
            }
        }
        self.handle(event);
        true
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message(from, to, message) => self.message(from, to, message),
            Event::Packet(node, packet) => self.packet(node, packet),
            Event::Timer(node) => self.timer(node),
            Event::Learn(node) => self.learn(node),
            Event::Switch(node, number) => self.switch(node, number),
            Event::Barrier(node, number) => {
                self.input(node, |owner, now| owner.barrier_passed(now, number));
            }
            Event::Suspect(observer, node) => {
                self.input(observer, |owner, now| owner.member_failed(now, node));
            }
            Event::Alive(observer, node) => {
                self.input(observer, |owner, now| owner.member_alive(now, node));
            }
            Event::InjectFault(node, kind) => self.inject_fault(node, kind),
            Event::Restore(node) => self.restore(node),
            Event::RemoveFailed(node) => self.remove_failed(node),
            Event::Change => self.change(),
            Event::Clean(number, buckets) => self.clean(number, &buckets),
            Event::Poll(node) => self.poll(node),
            Event::ControlTick => self.control_tick(),
            Event::Send(flow) => self.client_sends(flow),
            Event::Established(flow) => self.established(flow),
        }
    }

    fn node(&mut self, node: NodeId) -> &mut SimNode {
        self.nodes
            .get_mut(&node)
            .expect("events refer to existing nodes")
    }

    fn input(
        &mut self,
        node: NodeId,
        input: impl FnOnce(
            &mut bellyoke_core::node::ownership::Ownership,
            Timestamp,
        ) -> Vec<OwnershipEffect>,
    ) {
        let now = Timestamp::from_micros(self.now);
        let effects = input(&mut self.node(node).ownership, now);
        for effect in effects {
            self.effect(node, effect);
        }
        let next = self.node(node).ownership.next_timeout();
        let next = next.map(|time| time.as_micros().max(self.now));
        if let Some(time) = next.filter(|time| self.node(node).timer_at != Some(*time)) {
            self.node(node).timer_at = Some(time);
            self.at(time, Event::Timer(node));
        }
    }

    fn timer(&mut self, node: NodeId) {
        let due = self.node(node).ownership.next_timeout();
        if due.is_some_and(|due| due.as_micros() <= self.now) {
            self.node(node).timer_at = None;
            self.input(node, |owner, now| owner.timeout(now));
        }
    }

    fn effect(&mut self, node: NodeId, effect: OwnershipEffect) {
        match effect {
            OwnershipEffect::Send { to, message } => self.send(node, to, message),
            OwnershipEffect::Forward { backend, packet } => {
                let packet = ClientPacket::decode(&packet);
                self.trace(|| format!("owner {node} forwards {packet:?} to {backend}"));
                self.deliver(packet, backend);
            }
            OwnershipEffect::Learn { place, backend } => self.learn_flow(node, place, backend),
            OwnershipEffect::Refuse { packet, .. } => {
                let flow = ClientPacket::decode(&packet).flow;
                self.trace(|| format!("owner {node} refuses flow {flow}"));
                self.ledger.refuse(flow);
                self.end_client(flow);
            }
            OwnershipEffect::Reset { packet } => {
                let flow = ClientPacket::decode(&packet).flow;
                self.trace(|| format!("owner {node} resets flow {flow}"));
                self.reset(flow);
            }
            OwnershipEffect::Acknowledge(number) => {
                self.trace(|| format!("node {node} acknowledges generation {number}"));
                self.control.acknowledge(self.now, node, number);
            }
            OwnershipEffect::MarkClean(buckets) => {
                let number = self.node(node).learned;
                self.after_delay(Event::Clean(number, buckets));
            }
            OwnershipEffect::Event(event) => self.trace(|| format!("node {node}: {event:?}")),
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: OwnershipMessage) {
        self.outcome.messages += 1;
        if !self.nodes.contains_key(&to) || self.random.random_range(0..100) < 3 {
            return;
        }
        if self.random.random_range(0..100) < 3 {
            self.after_delay(Event::Message(from, to, message.clone()));
        }
        self.after_delay(Event::Message(from, to, message));
    }

    fn message(&mut self, from: NodeId, to: NodeId, message: OwnershipMessage) {
        let now = self.now;
        let is_partitioned =
            |node: &SimNode| node.partitioned_until.is_some_and(|until| until > now);
        if [from, to]
            .iter()
            .any(|node| is_partitioned(&self.nodes[node]))
        {
            return;
        }
        self.trace(|| format!("{from} -> {to}: {message:?}"));
        self.input(to, |owner, now| owner.handle(now, from, message));
    }

    fn packet(&mut self, node: NodeId, packet: ClientPacket) {
        let Some(client) = self.clients.get(&packet.flow).cloned() else {
            return;
        };
        let now = self.now;
        let (service, hash) = (client.service, client.hash);
        let decision = self
            .node(node)
            .traffic(now, packet.flow, service, hash, packet.kind);
        self.trace(|| format!("node {node} receives {packet:?}: {decision:?}"));
        match decision {
            TrafficDecision::Forward(backend) => self.deliver(packet, backend),
            TrafficDecision::Reset => self.reset(packet.flow),
            TrafficDecision::Drop => {}
            TrafficDecision::Escalate(place) => {
                let escalation = Escalation {
                    place,
                    kind: packet.kind,
                };
                let packet = EscalatedPacket {
                    escalation,
                    packet: packet.encode(),
                };
                self.input(node, |owner, now| owner.handle_escalation(now, packet));
            }
        }
    }

    fn learn_flow(
        &mut self,
        node: NodeId,
        place: bellyoke_core::flow::FlowPlace,
        backend: BackendId,
    ) {
        let flow = self
            .clients
            .iter()
            .find(|(_, client)| client.hash == place.hash)
            .map(|(flow, _)| *flow);
        let Some(flow) = flow else {
            return;
        };
        let entry = super::node::TableEntry {
            place,
            backend,
            opened_at: None,
            seen_at: self.now,
        };
        self.node(node).flows.entry(flow).or_insert(entry);
    }

    fn deliver(&mut self, packet: ClientPacket, backend: BackendId) {
        let flow = packet.flow;
        let client = self.clients[&flow].clone();
        let is_new = self
            .ledger
            .flows
            .get(&flow)
            .is_none_or(|known| known.backend.is_none());
        if is_new && self.is_on_former_base(&client, backend) {
            let text = format!("flow {flow} was opened on base {backend} after the barrier");
            self.ledger.fail(text);
        }
        self.ledger.deliver(flow, client.service, backend);
        let answered = self.random.random_range(0..100) < 85;
        if packet.kind == EscalationKind::Opening && answered {
            self.after_delay(Event::Established(flow));
        }
    }

    /// Returns whether all nodes knew, when the flow started, that `backend` accepts no new flow
    /// of the bucket.
    fn is_on_former_base(&self, client: &Client, backend: BackendId) -> bool {
        let bucket_in = |generation: &Generation| {
            let service = &generation.services[client.service.0 as usize];
            service.buckets[client.hash.bucket(service.buckets.len())]
        };
        let bucket = bucket_in(self.control.newest());
        let since = bucket.contested_since;
        let known = self.barrier_known_at.get(&since);
        let is_off_target =
            |generation: &Arc<Generation>| bucket_in(generation).target != Some(backend);
        if !bucket.is_contested() {
            return false;
        }
        let generations = &self.control.generations[since.0 as usize - 1..];
        bucket.base == Some(backend)
            && generations.iter().all(is_off_target)
            && known.is_some_and(|known| client.started_at > *known)
    }

    fn reset(&mut self, flow: u32) {
        self.ledger.reset(flow);
        self.end_client(flow);
        self.outcome.reset += 1;
    }

    fn end_client(&mut self, flow: u32) {
        if let Some(client) = self.clients.get_mut(&flow) {
            client.ended = true;
        }
    }

    fn client_sends(&mut self, flow: u32) {
        let client = self.clients[&flow].clone();
        if client.ended || self.now >= client.ends_at {
            return;
        }
        let kind = match client.established {
            true => EscalationKind::Other,
            false => EscalationKind::Opening,
        };
        let packet = ClientPacket { flow, kind };
        let copies = 1 + u64::from(self.random.random_range(0..4) == 0);
        for copy in 0..copies {
            let node = self.any_node();
            let copy_delay = copy * self.random.random_range(0..500 * MILLISECOND_MICROS);
            let time = self.now + copy_delay + self.delay();
            self.at(time, Event::Packet(node, packet));
        }
        let waited = self.now - client.started_at;
        if client.established {
            let pause = self
                .random
                .random_range(50 * MILLISECOND_MICROS..500 * MILLISECOND_MICROS);
            self.at(self.now + pause, Event::Send(flow));
        } else if waited < 600 * MILLISECOND_MICROS {
            self.at(self.now + 200 * MILLISECOND_MICROS, Event::Send(flow));
        }
    }

    fn established(&mut self, flow: u32) {
        let client = self
            .clients
            .get_mut(&flow)
            .expect("events refer to existing flows");
        if client.ended || client.established {
            return;
        }
        client.established = true;
        self.outcome.established += 1;
        self.at(self.now + 1, Event::Send(flow));
    }

    fn learn(&mut self, node: NodeId) {
        let is_partitioned = self
            .node(node)
            .partitioned_until
            .is_some_and(|until| until > self.now);
        let newest = Arc::clone(self.control.newest());
        if is_partitioned || self.node(node).learned >= newest.number {
            return;
        }
        self.node(node).learned = newest.number;
        self.trace(|| format!("node {node} learns generation {}", newest.number));
        self.input(node, |owner, now| owner.apply_generation(now, &newest));
        let pause = self.random.random_range(0..20 * MILLISECOND_MICROS);
        self.at(self.now + pause, Event::Switch(node, newest.number));
    }

    fn switch(&mut self, node: NodeId, number: GenerationNumber) {
        let generation = Arc::clone(self.control.generation(number));
        let newest = self.control.newest().number;
        let now = self.now;
        let sim = self.node(node);
        let current = sim.forwarding.as_ref().map(|known| known.number);
        if current >= Some(number) {
            return;
        }
        let opened = sim.switch(now, &generation);
        if number == newest {
            sim.must_catch_up = false;
        }
        self.trace(|| {
            format!("node {node} forwards with generation {number}, hands over {opened:?}")
        });
        let report = AdoptionReport {
            generation: number,
            opened,
        };
        self.input(node, |owner, now| owner.handle_adoption(now, report));
    }

    fn poll(&mut self, node: NodeId) {
        let now = self.now;
        let settled = self.node(node).settled(now);
        self.input(node, |owner, now| {
            owner.update_settled_buckets(now, settled)
        });
        self.after_delay(Event::Learn(node));
        let newest = Arc::clone(self.control.newest());
        let barrier_passed = self.control.barrier == newest.number;
        let sim = self.node(node);
        let has_left = newest.members.iter().all(|member| member.node != node)
            && sim.forwarding.as_ref().map(|known| known.number) == Some(newest.number);
        let is_done = has_left && sim.ownership.is_drained();
        if is_done && barrier_passed {
            sim.crashed = true;
            self.trace(|| format!("node {node} stops"));
            return;
        }
        self.at(self.now + 150 * MILLISECOND_MICROS, Event::Poll(node));
    }

    fn control_tick(&mut self) {
        while let Some(number) = self.control.advance_barrier(self.now) {
            self.trace(|| format!("barrier of generation {number} passes"));
            let known = self.now + 300 * MILLISECOND_MICROS;
            self.barrier_known_at.insert(number, known);
            for node in self.nodes.keys().copied().collect::<Vec<_>>() {
                self.after_delay(Event::Barrier(node, number));
            }
        }
        self.at(self.now + 20 * MILLISECOND_MICROS, Event::ControlTick);
    }

    fn publish(&mut self, generation: Generation) {
        let number = generation.number;
        self.control.generations.push(Arc::new(generation));
        self.trace(|| format!("generation {number} is published"));
        for node in self.nodes.keys().copied().collect::<Vec<_>>() {
            if self.random.random_range(0..10) > 0 {
                self.after_delay(Event::Learn(node));
            }
        }
    }

    fn change(&mut self) {
        let mut next = generations::next(self.control.newest());
        match self.random.random_range(0..10) {
            0..=3 => self.retarget_first_hashed(&mut next),
            4..=5 => self.retarget_second_hashed(&mut next),
            6..=7 => self.add_member(&mut next),
            8 => self.remove_member(&mut next),
            _ => self.withdraw_backend(&mut next),
        }
        let text = format!("{:?}", next.services[0].buckets);
        let members: Vec<u64> = next.members.iter().map(|member| member.node.0).collect();
        self.trace(|| format!("change: members {members:?} first {text}"));
        self.publish(next);
    }

    fn retarget_first_hashed(&mut self, next: &mut Generation) {
        let bucket = self.random.random_range(0..4);
        let is_active =
            |backend: &BackendId| next.backends[backend.0 as usize].state == BackendState::Active;
        let active: Vec<BackendId> = generations::backends_of(FIRST_HASHED)
            .into_iter()
            .filter(is_active)
            .collect();
        let target = active[self.random.random_range(0..active.len())];
        generations::retarget(next, FIRST_HASHED, bucket, Some(target));
    }

    fn retarget_second_hashed(&mut self, next: &mut Generation) {
        let bucket = self.random.random_range(0..2);
        let backends = generations::backends_of(SECOND_HASHED);
        let choice = self.random.random_range(0..=backends.len());
        generations::retarget(next, SECOND_HASHED, bucket, backends.get(choice).copied());
    }

    fn add_member(&mut self, next: &mut Generation) {
        let node = NodeId(self.next_node);
        self.next_node += 1;
        next.members.push(generations::member(node.0));
        self.nodes.insert(node, SimNode::new(node, self.settings));
        self.at(self.now, Event::Poll(node));
        let barrier = self.control.barrier;
        self.after_delay(Event::Barrier(node, barrier));
        let known_to_new = self.now + 300 * MILLISECOND_MICROS;
        for known in self.barrier_known_at.values_mut() {
            *known = known_to_new.max(*known);
        }
    }

    fn remove_member(&mut self, next: &mut Generation) {
        if next.members.len() > 3 {
            let index = self.random.random_range(0..next.members.len());
            next.members.remove(index);
        }
    }

    /// Drains a backend or, with all faults, marks it dead.
    fn withdraw_backend(&mut self, next: &mut Generation) {
        let backend = BackendId(self.random.random_range(0..2));
        next.backends[backend.0 as usize].state = match self.faults {
            Faults::Planned => BackendState::Draining,
            Faults::All => BackendState::Dead,
        };
        for bucket in 0..4 {
            if next.services[0].buckets[bucket].target == Some(backend) {
                let target = BackendId(self.random.random_range(2..4));
                generations::retarget(next, FIRST_HASHED, bucket, Some(target));
            }
        }
    }

    fn clean(&mut self, number: GenerationNumber, buckets: &[SettledBucket]) {
        if self.control.newest().number != number {
            return;
        }
        let mut next = generations::next(self.control.newest());
        for settled in buckets {
            let service = &mut next.services[settled.service.0 as usize];
            let bucket = &mut service.buckets[settled.bucket.0 as usize];
            bucket.base = None;
            bucket.contested_since = GenerationNumber(0);
            self.outcome.cleaned += 1;
        }
        self.trace(|| format!("clean: {buckets:?}"));
        self.publish(next);
    }

    fn inject_fault(&mut self, node: NodeId, kind: Fault) {
        let crashed_count = self.nodes.values().filter(|node| node.crashed).count();
        let is_affected = self.node(node).crashed || self.node(node).contact_lost_at.is_some();
        if is_affected || self.nodes.len() - crashed_count <= 3 {
            return;
        }
        let until = self.now
            + self
                .random
                .random_range(100 * MILLISECOND_MICROS..4 * SECOND_MICROS);
        self.trace(|| format!("{kind:?} of node {node} until {until}"));
        let now = self.now;
        let sim = self.node(node);
        match kind {
            Fault::Crash => sim.crashed = true,
            Fault::Pause => sim.paused_until = Some(until),
            Fault::Partition => sim.partitioned_until = Some(until),
        }
        sim.contact_lost_at = Some(now);
        self.schedule_suspicions(node, kind, until);
        if !matches!(kind, Fault::Crash) {
            let delay = self.delay();
            self.at(until + delay, Event::Restore(node));
        }
        let removal = self.random.random_range(SECOND_MICROS..2 * SECOND_MICROS);
        if self.random.random_range(0..4) > 0 {
            self.at(now + removal, Event::RemoveFailed(node));
        }
    }

    fn schedule_suspicions(&mut self, node: NodeId, kind: Fault, until: u64) {
        for other in self.nodes.keys().copied().collect::<Vec<_>>() {
            let at = self.now
                + self
                    .random
                    .random_range(200 * MILLISECOND_MICROS..700 * MILLISECOND_MICROS);
            let alive_at = at.max(until)
                + self
                    .random
                    .random_range(MILLISECOND_MICROS..400 * MILLISECOND_MICROS);
            if other == node {
                continue;
            }
            self.at(at, Event::Suspect(other, node));
            match kind {
                Fault::Crash => {}
                Fault::Pause => self.at(alive_at, Event::Alive(other, node)),
                Fault::Partition => {
                    self.at(alive_at, Event::Alive(other, node));
                    self.at(at, Event::Suspect(node, other));
                    self.at(alive_at, Event::Alive(node, other));
                }
            }
        }
    }

    fn restore(&mut self, node: NodeId) {
        let now = self.now;
        let lease = LEASE_DURATION.as_micros() as u64;
        let newest = self.control.newest().number;
        let sim = self.node(node);
        let lost = sim.contact_lost_at.take();
        if lost.is_some_and(|lost| now - lost > lease) && sim.learned < newest {
            sim.must_catch_up = true;
        }
        self.trace(|| format!("node {node} regains contact"));
    }

    fn remove_failed(&mut self, node: NodeId) {
        if self.node(node).contact_lost_at.is_none() {
            return;
        }
        let mut next = generations::next(self.control.newest());
        next.members.retain(|member| member.node != node);
        if next.members.len() < 3 {
            return;
        }
        self.control.remove_failed(node, next.number);
        self.trace(|| format!("node {node} is removed as failed"));
        self.publish(next);
    }

    fn finish(mut self) -> Outcome {
        self.outcome.violation = self.ledger.violation;
        let refused = self.ledger.flows.values().filter(|flow| flow.refused);
        self.outcome.refused = refused.count() as u32;
        self.outcome.generations = self.control.newest().number.0;
        for node in self.nodes.values() {
            let counters = node.ownership.counters();
            self.outcome.installed += counters.installed;
            self.outcome.abandoned += counters.abandoned;
        }
        self.outcome
    }
}
