//! Runs a scenario in virtual time.

mod actions;
mod clients;
mod machines;

use super::client::Client;
use super::node::{PacketOutcome, StoreCall};
use super::packet::Packet;
use super::router::Router;
use super::rules::{Origin, RuleChecker, Violation};
use super::scenario::{Ablation, Scenario};
use super::store::{Store, StoreAnswer};
use bellyoke_core::cookie::exchange::{ExchangeEffect, PeerDatagram};
use bellyoke_core::cookie::instance::InstanceId;
use bellyoke_core::cookie::reachability::ProbeBatch;
use bellyoke_core::cookie::replica::Snapshot;
use bellyoke_core::cookie::revision::StoreEra;
use bellyoke_core::cookie::route::Configuration;
use bellyoke_core::time::Timestamp;
use machines::{Machine, MachineState, RunningTarget};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Start of virtual time. It is not zero since peers report ages that may reach back to before the
/// start of the run.
const START_TIME: Timestamp = Timestamp::from_micros(24 * 3_600 * 1_000_000);

/// One-way delay between any two endpoints.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Tick interval of clients and targets, and interval at which nodes check for store calls and
/// probes.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Tick interval of a node's control thread.
const NODE_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which routers poll the readiness of nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Approximate size of a message between nodes.
const PEER_DATAGRAM_BYTES: usize = 400;

/// Approximate size of the packet that opens a connection.
const CONNECTION_PACKET_BYTES: usize = 60;

/// Port of the exchange between nodes.
const PEER_PORT: u16 = 7_000;

#[derive(Debug)]
enum Event {
    Tick,
    TickNodes,
    Poll,
    Action(usize),
    PacketAtNode {
        node: usize,
        packet: Packet,
    },
    PacketAtTarget {
        address: SocketAddrV4,
        intended_instance: Option<InstanceId>,
        packet: Packet,
        undisturbed: bool,
    },
    PacketAtClient {
        packet: Packet,
        origin: Origin,
    },
    StoreCall {
        node: usize,
        incarnation: u64,
        call: StoreCall,
    },
    WatchTimeout {
        node: usize,
        incarnation: u64,
        call: StoreCall,
    },
    StoreAnswer {
        node: usize,
        incarnation: u64,
        number: u64,
        era: Option<StoreEra>,
        answer: StoreAnswer,
    },
    Datagram {
        from: usize,
        to: usize,
        datagram: PeerDatagram,
    },
    FetchDone {
        node: usize,
        incarnation: u64,
        from: SocketAddrV4,
        snapshot: Option<Snapshot>,
    },
    ProbeAttempt {
        node: usize,
        incarnation: u64,
        batch: ProbeBatch,
    },
    StartNode {
        node: usize,
        incarnation: u64,
    },
    ResumeNode {
        node: usize,
    },
    EndTarget(InstanceId),
    RemoveRecord(InstanceId),
    RewriteRecord(InstanceId),
    RewriteOperatorObjects,
}

/// Results of a run.
#[derive(Debug)]
pub struct Report {
    /// Violations of rules.
    pub violations: Vec<Violation>,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that were executed and answered.
    pub served: u64,
    /// Latency of each executed request, in ascending order.
    pub latencies: Vec<Duration>,
    /// Number of calls to the store.
    pub store_calls: u64,
    /// Number of messages between nodes.
    pub peer_messages: u64,
    /// Number of resets of open flows that nodes sent.
    pub resets_by_nodes: u64,
    /// The highest era of the store that any node knew.
    pub highest_era: StoreEra,
}

impl Report {
    /// Checks that no rule was violated.
    ///
    /// # Errors
    ///
    /// Returns the first violation, its time since the start and the number of violations.
    pub fn check_rules(&self) -> Result<(), String> {
        let Some(first) = self.violations.first() else {
            return Ok(());
        };
        let at = first.at.since(START_TIME);
        let (rule, count) = (first.rule, self.violations.len());
        Err(format!(
            "{rule:?} violated {count} times, first at {at:?}: {}",
            first.details
        ))
    }
}

/// State of a run.
pub struct Simulation {
    scenario: Scenario,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    random: ChaCha8Rng,
    store: Store,
    router: Router,
    machines: Vec<Machine>,
    targets: Vec<RunningTarget>,
    clients: Vec<Client>,
    pending_watches: Vec<(usize, u64, StoreCall)>,
    rules: RuleChecker,
    version: u64,
    /// The operator's last configuration, which is rewritten to a restored store that lost it.
    newest_configuration: Option<Configuration>,
    /// Zones that the operator has drained.
    drained_zones: BTreeSet<String>,
    store_disturbed_at: Timestamp,
    store_calls: u64,
    peer_messages: u64,
    highest_era: StoreEra,
}

/// Runs `scenario` with the random seed `seed`.
#[must_use]
pub fn simulate(scenario: Scenario, seed: u64) -> Report {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.run();
    let mut latencies = std::mem::take(&mut simulation.rules.latencies);
    latencies.sort_unstable();
    Report {
        violations: simulation.rules.violations().to_vec(),
        failed: simulation.rules.failed,
        served: simulation.rules.served,
        latencies,
        store_calls: simulation.store_calls,
        peer_messages: simulation.peer_messages,
        resets_by_nodes: simulation.rules.resets_by_nodes,
        highest_era: simulation.highest_era,
    }
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let router = Router::new(scenario.hash, scenario.nodes);
        let mut simulation = Self {
            router,
            now: START_TIME,
            events: BTreeMap::new(),
            next_event: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            machines: Vec::new(),
            targets: Vec::new(),
            clients: Vec::new(),
            pending_watches: Vec::new(),
            rules: RuleChecker::default(),
            version: 0,
            newest_configuration: None,
            drained_zones: BTreeSet::new(),
            store_disturbed_at: Timestamp::ZERO,
            store_calls: 0,
            peer_messages: 0,
            highest_era: StoreEra(0),
            scenario,
        };
        simulation.store.reports_era = simulation.scenario.store_reports_era;
        simulation.build();
        simulation
    }

    fn build(&mut self) {
        for (service, count) in self.scenario.targets.clone().into_iter().enumerate() {
            for _ in 0..count {
                self.start_target(service, None);
            }
        }
        self.configure(Some(0));
        for node in 0..self.scenario.nodes {
            self.machines
                .push(Machine::new(self.now, self.scenario.node_links));
            self.start_node(node);
        }
        self.add_clients();
        let start = self.now;
        for (index, (milliseconds, _)) in self.scenario.actions.iter().enumerate() {
            let at = start.after(Duration::from_millis(*milliseconds));
            self.events
                .insert((at, u64::MAX - index as u64), Event::Action(index));
        }
        self.schedule(Duration::ZERO, Event::Tick);
        self.schedule(Duration::ZERO, Event::TickNodes);
        self.schedule(POLL_INTERVAL, Event::Poll);
    }

    fn run(&mut self) {
        let end = self.now.after(self.scenario.duration);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.rules.finish(end);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        let key = (self.now.after(delay), self.next_event);
        self.events.insert(key, event);
    }

    /// Schedules the delivery of a datagram, unless it is lost.
    fn send(&mut self, event: Event) {
        self.send_with_delay(Duration::ZERO, event);
    }

    /// Schedules the delivery of a datagram over the link of a node's machine, unless it is dropped
    /// or lost.
    fn send_from(&mut self, node: usize, bytes: usize, event: Event) {
        if let Some(departs_in) = self.machines[node].send(self.now, bytes) {
            self.send_with_delay(departs_in, event);
        }
    }

    fn send_with_delay(&mut self, departs_in: Duration, event: Event) {
        if self.scenario.loss > 0.0 && self.random.random_bool(self.scenario.loss) {
            return;
        }
        self.schedule(departs_in + NETWORK_DELAY, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::TickNodes => self.tick_nodes(),
            Event::Poll => self.poll_nodes(),
            Event::Action(index) => self.perform(self.scenario.actions[index].1.clone()),
            Event::PacketAtNode { node, packet } => self.handle_packet_at_node(node, packet),
            Event::PacketAtTarget {
                address,
                intended_instance,
                packet,
                undisturbed,
            } => self.handle_packet_at_target(address, intended_instance, &packet, undisturbed),
            Event::PacketAtClient { packet, origin } => {
                self.handle_packet_at_client(&packet, origin)
            }
            Event::StoreCall {
                node,
                incarnation,
                call,
            } => self.handle_store_call(node, incarnation, call),
            Event::WatchTimeout {
                node,
                incarnation,
                call,
            } => self.expire_watch(node, incarnation, &call),
            Event::StoreAnswer {
                node,
                incarnation,
                number,
                era,
                answer,
            } => self.handle_store_answer(node, incarnation, number, era, answer),
            Event::Datagram { from, to, datagram } => self.handle_datagram(from, to, datagram),
            Event::FetchDone {
                node,
                incarnation,
                from,
                snapshot,
            } => self.handle_fetch(node, incarnation, from, snapshot),
            Event::ProbeAttempt {
                node,
                incarnation,
                batch,
            } => self.make_probe_attempt(node, incarnation, batch),
            Event::StartNode { node, incarnation } => {
                if self.machines[node].incarnation == incarnation {
                    self.start_node(node);
                }
            }
            Event::ResumeNode { node } => self.resume(node),
            Event::EndTarget(id) => self.end_target(id),
            Event::RemoveRecord(id) => {
                self.change_store(|store, now| store.remove_instance(now, id))
            }
            Event::RewriteRecord(id) => self.rewrite_record(id),
            Event::RewriteOperatorObjects => self.rewrite_operator_objects(),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        for index in 0..self.clients.len() {
            let output = self.clients[index].tick(now);
            self.handle_client_output(output, None);
        }
        for index in 0..self.targets.len() {
            if let Some(target) = &mut self.targets[index].target {
                let output = target.tick(now);
                self.handle_target_output(index, output, true);
            }
        }
        self.answer_watches();
        for node in 0..self.machines.len() {
            self.start_store_calls(node);
            self.start_probes(node);
        }
        self.schedule(TICK_INTERVAL, Event::Tick);
    }

    fn poll_nodes(&mut self) {
        for (number, machine) in self.machines.iter().enumerate() {
            self.router
                .record_poll(number, machine.answers_readiness_probe());
        }
        self.schedule(POLL_INTERVAL, Event::Poll);
    }

    fn handle_packet_at_node(&mut self, node: usize, packet: Packet) {
        match &mut self.machines[node].state {
            MachineState::Down => {}
            MachineState::Frozen { backlog, .. } => backlog.push(packet),
            MachineState::Running(process) => {
                let outcome = process.handle_packet(self.now, &packet, true);
                self.handle_packet_outcome(node, outcome);
            }
        }
    }

    fn handle_packet_outcome(&mut self, node: usize, outcome: PacketOutcome) {
        let undisturbed = self.undisturbed(node);
        match outcome {
            PacketOutcome::Forward(destination, packet) => {
                let checks_instance = !self.scenario.is_ablated(Ablation::NoInstanceCheck);
                let intended_instance = checks_instance.then_some(destination.instance);
                let bytes = packet.wire_bytes();
                let event = Event::PacketAtTarget {
                    address: destination.address,
                    intended_instance,
                    packet,
                    undisturbed,
                };
                self.send_from(node, bytes, event);
            }
            PacketOutcome::Reset(packet) => {
                let origin = Origin::Node { undisturbed };
                let bytes = packet.wire_bytes();
                self.send_from(node, bytes, Event::PacketAtClient { packet, origin });
            }
            PacketOutcome::Drop => {}
        }
    }

    fn apply_effects(&mut self, node: usize, effects: Vec<ExchangeEffect>) {
        for effect in effects {
            match effect {
                ExchangeEffect::SendHeartbeat { to, heartbeat } => {
                    self.send_datagram(node, to, PeerDatagram::Heartbeat(heartbeat));
                }
                ExchangeEffect::SendDelta {
                    to,
                    known,
                    heartbeat,
                } => {
                    let process = self.machines[node].running();
                    let delta = process.and_then(|process| process.delta_for(self.now, known));
                    let datagram = match delta {
                        Some(message) => PeerDatagram::Delta(message),
                        None => PeerDatagram::Heartbeat(heartbeat),
                    };
                    self.send_datagram(node, to, datagram);
                }
                ExchangeEffect::SendFindings { to, report } => {
                    self.send_datagram(node, to, PeerDatagram::Findings(report));
                }
                ExchangeEffect::SendProbeRequest { to, request } => {
                    self.send_datagram(node, to, PeerDatagram::ProbeRequest(request));
                }
                ExchangeEffect::SendRefutation { to, refutation } => {
                    self.send_datagram(node, to, PeerDatagram::Refutation(refutation));
                }
                ExchangeEffect::SendOutliers { to, message } => {
                    self.send_datagram(node, to, PeerDatagram::Outliers(message));
                }
                ExchangeEffect::Fetch { from } => self.start_fetch(node, from),
                ExchangeEffect::PeerJoined(_) | ExchangeEffect::PeerLost(_) => {}
            }
        }
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddrV4, datagram: PeerDatagram) {
        self.peer_messages += 1;
        if let Some(to) = node_number(to, self.machines.len()) {
            self.send_from(
                from,
                PEER_DATAGRAM_BYTES,
                Event::Datagram { from, to, datagram },
            );
        }
    }

    fn start_fetch(&mut self, node: usize, from: SocketAddrV4) {
        let process = self.machines[node].running();
        let request = process.map(super::node::Node::fetch_request);
        let source = node_number(from, self.machines.len());
        let source = source.and_then(|source| self.machines[source].running());
        let snapshot = request
            .zip(source)
            .map(|(request, source)| source.snapshot_for(self.now, request));
        let incarnation = self.machines[node].incarnation;
        self.schedule(
            NETWORK_DELAY * 4,
            Event::FetchDone {
                node,
                incarnation,
                from,
                snapshot,
            },
        );
    }
}

/// Returns the peer address of a node.
fn peer_address(node: usize) -> SocketAddrV4 {
    let [_, _, high, low] = u32::try_from(node + 1).unwrap_or_default().to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), PEER_PORT)
}

fn node_number(address: SocketAddrV4, nodes: usize) -> Option<usize> {
    let [_, _, high, low] = address.ip().octets();
    let number = usize::from(high) * 256 + usize::from(low);
    number.checked_sub(1).filter(|number| *number < nodes)
}
