//! The nodes' machines and the targets of the simulation.

use super::{CONNECTION_PACKET_BYTES, Event, NODE_TICK_INTERVAL, Simulation, peer_address};
use crate::cookie::link::{Link, LinkSettings};
use crate::cookie::node::{Node, PacketOutcome, StoreCall};
use crate::cookie::packet::Packet;
use crate::cookie::rules::{Arrival, Origin, UNDISTURBED_PERIOD};
use crate::cookie::scenario::{TARGET_ZONES, service_name, zone_name};
use crate::cookie::store::{Store, StoreAnswer, StoreMode};
use crate::cookie::target::{Target, TargetOutput, TargetSettings};
use bellyoke_core::cookie::exchange::PeerDatagram;
use bellyoke_core::cookie::follower::Read;
use bellyoke_core::cookie::instance::{InstanceId, InstanceRecord};
use bellyoke_core::cookie::reachability::{ATTEMPT_TIMEOUT, ProbeBatch};
use bellyoke_core::cookie::replica::Snapshot;
use bellyoke_core::cookie::revision::StoreEra;
use bellyoke_core::time::Timestamp;
use rand::RngExt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Time between a graceful stop and the restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// State of a node's machine.
#[derive(Debug)]
pub(super) enum MachineState {
    /// No process is running.
    Down,
    /// The process is running.
    Running(Box<Node>),
    /// The process is suspended, and packets queue in its socket.
    Frozen {
        process: Box<Node>,
        backlog: Vec<Packet>,
    },
}

/// A node's machine.
#[derive(Debug)]
pub(super) struct Machine {
    pub state: MachineState,
    /// Number of processes started so far, by which events for an earlier process are discarded.
    pub incarnation: u64,
    /// Time of the last fault, or the end of one in progress.
    pub disturbed_at: Timestamp,
    pub cut_from_store: bool,
    link: Option<Link>,
}

impl Machine {
    pub(super) fn new(now: Timestamp, link: Option<LinkSettings>) -> Self {
        Self {
            state: MachineState::Down,
            incarnation: 0,
            disturbed_at: now,
            cut_from_store: false,
            link: link.map(Link::new),
        }
    }

    /// Sends `bytes` bytes. Returns the time until they have left, or `None` if the link's queue
    /// is full.
    pub(super) fn send(&mut self, now: Timestamp, bytes: usize) -> Option<Duration> {
        match &mut self.link {
            Some(link) => link.send(now, bytes),
            None => Some(Duration::ZERO),
        }
    }

    pub(super) const fn running(&self) -> Option<&Node> {
        match &self.state {
            MachineState::Running(process) => Some(process),
            MachineState::Down | MachineState::Frozen { .. } => None,
        }
    }

    pub(super) fn answers_readiness_probe(&self) -> bool {
        self.running().is_some_and(Node::is_ready)
    }
}

/// A target with its address.
#[derive(Debug)]
pub(super) struct RunningTarget {
    pub id: InstanceId,
    pub service: usize,
    pub address: SocketAddrV4,
    /// `None` once the target has stopped.
    pub target: Option<Target>,
    /// The record that the target rewrites if the store has lost it.
    pub record: Option<InstanceRecord>,
    /// Whether the target accepts no connections. It still serves its flows.
    pub refuses_connections: bool,
    /// When the links between the target and the nodes work again.
    pub cut_until: Timestamp,
}

impl RunningTarget {
    fn accepts_connections(&self, now: Timestamp) -> bool {
        self.target.is_some() && !self.refuses_connections && !self.is_cut(now)
    }

    fn is_cut(&self, now: Timestamp) -> bool {
        now < self.cut_until
    }
}

impl Simulation {
    /// Returns whether neither the node nor the store had a fault recently.
    pub(super) fn undisturbed(&self, node: usize) -> bool {
        let machine = &self.machines[node];
        let long_since = |since: Timestamp| self.now.since(since) >= UNDISTURBED_PERIOD;
        long_since(machine.disturbed_at)
            && long_since(self.store_disturbed_at)
            && !machine.cut_from_store
    }

    pub(super) fn start_node(&mut self, node: usize) {
        let seeds = (0..3).map(peer_address).collect();
        let process = Node::new(
            self.now,
            peer_address(node),
            seeds,
            self.scenario.place_of(node),
            self.scenario.exchange,
            self.scenario.ablations.clone(),
            self.random.random(),
        );
        let machine = &mut self.machines[node];
        machine.incarnation += 1;
        machine.state = MachineState::Running(Box::new(process));
    }

    pub(super) fn tick_nodes(&mut self) {
        for node in 0..self.machines.len() {
            let MachineState::Running(process) = &mut self.machines[node].state else {
                continue;
            };
            if process.has_stopped(self.now) {
                self.stop_node(node, RESTART_DELAY);
                continue;
            }
            self.highest_era = self.highest_era.max(process.era());
            let effects = process.tick(self.now);
            let resets = process.take_flow_resets(self.now);
            self.apply_effects(node, effects);
            for reset in resets {
                self.handle_packet_outcome(node, PacketOutcome::Reset(reset));
            }
        }
        self.schedule(NODE_TICK_INTERVAL, Event::TickNodes);
    }

    /// Stops a node's process and starts the next one after `down`.
    pub(super) fn stop_node(&mut self, node: usize, down: Duration) {
        let machine = &mut self.machines[node];
        machine.state = MachineState::Down;
        let incarnation = machine.incarnation;
        self.schedule(down, Event::StartNode { node, incarnation });
    }

    pub(super) fn freeze(&mut self, node: usize, duration: Duration) {
        let machine = &mut self.machines[node];
        let state = std::mem::replace(&mut machine.state, MachineState::Down);
        machine.state = match state {
            MachineState::Running(process) => MachineState::Frozen {
                process,
                backlog: Vec::new(),
            },
            other => other,
        };
        machine.disturbed_at = self.now.after(duration);
        self.schedule(duration, Event::ResumeNode { node });
    }

    /// Resumes a node's process. The traffic thread runs first, which is the worst case for the
    /// packets that waited in its socket.
    pub(super) fn resume(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        let state = std::mem::replace(&mut machine.state, MachineState::Down);
        let MachineState::Frozen {
            mut process,
            backlog,
        } = state
        else {
            machine.state = state;
            return;
        };
        machine.disturbed_at = self.now;
        let count = backlog.len();
        let outcomes: Vec<_> = backlog
            .iter()
            .enumerate()
            .map(|(index, packet)| process.handle_packet(self.now, packet, index + 1 == count))
            .collect();
        self.machines[node].state = MachineState::Running(process);
        for outcome in outcomes {
            self.handle_packet_outcome(node, outcome);
        }
    }

    /// Starts the batches of probes that are due at a node.
    pub(super) fn start_probes(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        let incarnation = machine.incarnation;
        let mut batches = Vec::new();
        if let MachineState::Running(process) = &mut machine.state {
            batches.extend(std::iter::from_fn(|| process.next_probe(self.now)));
        }
        for batch in batches {
            self.make_probe_attempt(node, incarnation, batch);
        }
    }

    /// Makes one attempt of a batch of probes, and schedules the next one.
    pub(super) fn make_probe_attempt(
        &mut self,
        node: usize,
        incarnation: u64,
        mut batch: ProbeBatch,
    ) {
        if self.machines[node].incarnation != incarnation {
            return;
        }
        if batch.is_complete() {
            if let MachineState::Running(process) = &mut self.machines[node].state {
                let effects = process.handle_probe_outcomes(self.now, &batch.outcomes());
                self.apply_effects(node, effects);
            }
            return;
        }
        let addresses = batch.next_addresses().into_iter();
        let opened = addresses.filter(|address| self.try_connect(node, *address));
        batch.record_attempt(&opened.collect());
        let event = Event::ProbeAttempt {
            node,
            incarnation,
            batch,
        };
        self.schedule(ATTEMPT_TIMEOUT, event);
    }

    /// Returns whether a connection from a node to an address opens.
    fn try_connect(&mut self, node: usize, address: SocketAddrV4) -> bool {
        let sent = self.machines[node].send(self.now, CONNECTION_PACKET_BYTES);
        let lost = self.scenario.loss > 0.0 && self.random.random_bool(self.scenario.loss);
        let mut targets = self.targets.iter();
        let accepts_connections =
            targets.any(|target| target.address == address && target.accepts_connections(self.now));
        sent.is_some() && !lost && accepts_connections
    }

    pub(super) fn handle_datagram(&mut self, from: usize, to: usize, datagram: PeerDatagram) {
        if let MachineState::Running(process) = &mut self.machines[to].state {
            let effects = process.handle_datagram(self.now, peer_address(from), datagram);
            self.apply_effects(to, effects);
        }
    }

    pub(super) fn handle_fetch(
        &mut self,
        node: usize,
        incarnation: u64,
        from: SocketAddrV4,
        snapshot: Option<Snapshot>,
    ) {
        let machine = &mut self.machines[node];
        if machine.incarnation != incarnation {
            return;
        }
        if let MachineState::Running(process) = &mut machine.state {
            let effects = process.handle_snapshot(self.now, from, snapshot);
            self.apply_effects(node, effects);
        }
    }

    pub(super) fn start_store_calls(&mut self, node: usize) {
        let now = self.now;
        let machine = &mut self.machines[node];
        let incarnation = machine.incarnation;
        let MachineState::Running(process) = &mut machine.state else {
            return;
        };
        for call in process.store_calls(now) {
            self.store_calls += 1;
            let timed_out = Event::StoreAnswer {
                node,
                incarnation,
                number: call.number,
                era: None,
                answer: StoreAnswer::failed(call.kind),
            };
            self.schedule(call.timeout, timed_out);
            if !self.machines[node].cut_from_store {
                self.schedule(
                    super::NETWORK_DELAY,
                    Event::StoreCall {
                        node,
                        incarnation,
                        call,
                    },
                );
            }
        }
    }

    pub(super) fn handle_store_call(&mut self, node: usize, incarnation: u64, call: StoreCall) {
        if self.store.mode == StoreMode::Silent {
            return;
        }
        match self.store.answer(self.now, call.kind, &call.read, false) {
            Some(answer) => self.send_store_answer(node, incarnation, &call, answer),
            None => {
                if let Read::Watch { wait, .. } = &call.read {
                    let expiry = Event::WatchTimeout {
                        node,
                        incarnation,
                        call: call.clone(),
                    };
                    self.schedule(*wait, expiry);
                }
                self.pending_watches.push((node, incarnation, call));
            }
        }
    }

    pub(super) fn expire_watch(&mut self, node: usize, incarnation: u64, call: &StoreCall) {
        let is_same_call = |(watch_node, watch_incarnation, watch): &(usize, u64, StoreCall)| {
            *watch_node == node && *watch_incarnation == incarnation && watch.number == call.number
        };
        let Some(index) = self.pending_watches.iter().position(is_same_call) else {
            return;
        };
        self.pending_watches.swap_remove(index);
        let answer = self.store.answer(self.now, call.kind, &call.read, true);
        if let Some(answer) = answer {
            self.send_store_answer(node, incarnation, call, answer);
        }
    }

    /// Answers the watches for which there are changes.
    pub(super) fn answer_watches(&mut self) {
        let pending_watches = std::mem::take(&mut self.pending_watches);
        for (node, incarnation, call) in pending_watches {
            match self.store.answer(self.now, call.kind, &call.read, false) {
                Some(answer) => self.send_store_answer(node, incarnation, &call, answer),
                None => self.pending_watches.push((node, incarnation, call)),
            }
        }
    }

    fn send_store_answer(
        &mut self,
        node: usize,
        incarnation: u64,
        call: &StoreCall,
        answer: StoreAnswer,
    ) {
        if self.machines[node].cut_from_store {
            return;
        }
        let event = Event::StoreAnswer {
            node,
            incarnation,
            number: call.number,
            era: self.store.reported_era(),
            answer,
        };
        self.schedule(super::NETWORK_DELAY, event);
    }

    pub(super) fn handle_store_answer(
        &mut self,
        node: usize,
        incarnation: u64,
        number: u64,
        era: Option<StoreEra>,
        answer: StoreAnswer,
    ) {
        let now = self.now;
        let machine = &mut self.machines[node];
        if machine.incarnation != incarnation {
            return;
        }
        if let MachineState::Running(process) = &mut machine.state {
            let effects = process.handle_store_answer(now, number, era, answer);
            self.apply_effects(node, effects);
        }
    }

    pub(super) fn change_store(&mut self, change: impl FnOnce(&mut Store, Timestamp)) {
        change(&mut self.store, self.now);
    }

    pub(super) fn start_target(&mut self, service: usize, address: Option<SocketAddrV4>) {
        let number = self.targets.len();
        let [_, _, high, low] = u32::try_from(number + 1).unwrap_or_default().to_be_bytes();
        let own = SocketAddrV4::new(Ipv4Addr::new(10, 2, high, low), 8_000);
        let address = address.unwrap_or(own);
        let id = InstanceId(u64::from(self.random.random::<u32>() | 1));
        let settings = TargetSettings::with_defaults(id, service_name(service));
        let record = settings.record(address, zone_name(number % TARGET_ZONES));
        self.store.put_instance(self.now, record.clone());
        self.targets.push(RunningTarget {
            id,
            service,
            address,
            target: Some(Target::new(settings)),
            record: Some(record),
            refuses_connections: false,
            cut_until: Timestamp::ZERO,
        });
    }

    pub(super) fn end_target(&mut self, id: InstanceId) {
        self.rules.record_target_end(id);
        if let Some(target) = self.targets.iter_mut().find(|target| target.id == id) {
            target.target = None;
        }
    }

    pub(super) fn rewrite_record(&mut self, id: InstanceId) {
        let target = self.targets.iter().find(|target| target.id == id);
        let record = target
            .filter(|target| target.target.is_some())
            .and_then(|target| target.record.clone());
        let stored = self.store.instance(id);
        let matches = |record: &InstanceRecord| {
            stored.is_some_and(|stored| {
                stored.state == record.state && stored.started == record.started
            })
        };
        if let Some(record) = record.filter(|record| !matches(record)) {
            self.store.put_instance(self.now, record);
        }
    }

    pub(super) fn handle_packet_at_target(
        &mut self,
        address: SocketAddrV4,
        intended_instance: Option<InstanceId>,
        packet: &Packet,
        undisturbed: bool,
    ) {
        let now = self.now;
        // The last running target that took the address owns it.
        let index = self
            .targets
            .iter()
            .rposition(|target| target.address == address && target.target.is_some());
        let Some(index) = index else {
            return;
        };
        let running = &mut self.targets[index];
        if running.is_cut(now) {
            return;
        }
        let accepts = intended_instance.is_none_or(|intended| intended == running.id);
        let Some(target) = &mut running.target else {
            return;
        };
        let output = target.handle_packet(now, intended_instance, packet);
        if let Some(flow) = packet.flow()
            && packet.flags.syn
            && accepts
        {
            let arrival = Arrival {
                target: running.id,
                service: running.service,
                zone: index % TARGET_ZONES,
                undisturbed,
            };
            self.rules.check_opening(now, flow, arrival);
        }
        self.handle_target_output(index, output, undisturbed);
    }

    pub(super) fn handle_target_output(
        &mut self,
        index: usize,
        output: TargetOutput,
        undisturbed: bool,
    ) {
        let id = self.targets[index].id;
        for event in &output.events {
            self.rules
                .handle_target_event(self.now, id, event, undisturbed);
        }
        for packet in output.packets {
            let origin = Origin::Target { id, undisturbed };
            self.send(Event::PacketAtClient { packet, origin });
        }
    }
}
