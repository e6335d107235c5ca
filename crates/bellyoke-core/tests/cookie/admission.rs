//! Admission by priority: during overload the more important requests are served, and nothing is
//! refused while instances have capacity.
//!
//! Clients, nodes and targets (the instances) are simulated. Without admission control, an
//! overloaded target rejects requests regardless of their priority.

use crate::support::{TOMBSTONE_LIFETIME, at, record};
use bellyoke_core::cookie::admission::AdmissionSettings;
use bellyoke_core::cookie::forwarder::{Decision, Forwarder, RefusalReason};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::packet::{FlowPacket, FlowTuple, PacketRole};
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::route::{
    Configuration, RequestKind, RequestPolicy, Route, WeightedService,
};
use bellyoke_core::cookie::table::ForwardingTable;
use bellyoke_core::time::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

const NODES: usize = 10;
const TARGETS: u64 = 24;
const SLOTS: usize = 2;
const QUEUE_CAPACITY: usize = 8;
/// Requests per second that all targets can serve: two of nine take 52 ms, the others 40 ms.
const CAPACITY_PER_SECOND: f64 = TARGETS as f64 * SLOTS as f64 / 0.0427;
const LATENCY_TARGET_MICROSECONDS: u64 = 500_000;
const TRIES: u32 = 3;

/// Kinds of requests, by the last byte of the address of their route.
const ORDER: u8 = 1;
const LOOKUP: u8 = 2;
const CHECK: u8 = 3;

fn address(kind: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, kind), 443)
}

fn route(last: u8, kind: RequestKind, priority: u8) -> Route {
    Route {
        address: address(last),
        services: vec![WeightedService {
            service: "till".to_owned(),
            weight: 1,
        }],
        request_policy: RequestPolicy {
            kind,
            priority,
            latency_target_milliseconds: 500,
            timeout_milliseconds: 3_000,
        },
    }
}

fn table() -> ForwardingTable {
    let mut replica = Replica::new(TOMBSTONE_LIFETIME);
    replica.adopt_configuration(Configuration {
        revision: Revision::new(1),
        version: 1,
        routes: vec![
            route(ORDER, RequestKind::NonIdempotent, 1),
            route(LOOKUP, RequestKind::Idempotent, 2),
            route(CHECK, RequestKind::Idempotent, 2),
        ],
        limits: Vec::new(),
        idle_timeout_milliseconds: 15_000,
    });
    let records = (1..=TARGETS).map(|id| record(id, 1)).collect();
    replica.replace_instances(at(0), Revision::new(10), records);
    replica.table()
}

/// Outcomes of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sent: u32,
    on_time: u32,
    late: u32,
    refused_tries: u32,
    /// Time of the last refused opening, microseconds.
    last_refusal: u64,
}

impl Outcome {
    fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.sent.max(1))
    }
}

#[derive(Clone, Copy)]
struct Request {
    kind: u8,
    started_at: u64,
    tries: u32,
}

#[derive(Clone, Copy)]
enum Event {
    Arrival,
    Try(Request),
    Data(usize),
    Finish(usize),
    Answer(usize, u32),
    Review,
}

struct Flow {
    request: Request,
    node: usize,
    tuple: FlowTuple,
    cookie: Cookie,
    target: u64,
}

#[derive(Default)]
struct Target {
    busy: usize,
    queue: VecDeque<usize>,
}

/// Load and faults of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    enabled: bool,
    /// Offered load at a time in microseconds, as a fraction of the capacity.
    load: fn(u64) -> f64,
    /// Factor to the processing time of a target at a time.
    slowdown: fn(u64, u64) -> f64,
    /// Whether a target fails every request at once.
    fails: fn(u64) -> bool,
    /// Maps a random number to the node that receives a flow, of [`NODES`].
    node: fn(f64) -> usize,
    until: u64,
}

const NORMAL_LOAD: Scenario = Scenario {
    enabled: true,
    load: |_| 0.7,
    slowdown: |_, _| 1.0,
    fails: |_| false,
    node: any_node,
    until: 10_000_000,
};

fn any_node(random: f64) -> usize {
    (random * NODES as f64) as usize
}

/// Clients, nodes and targets in virtual time.
struct Simulation {
    scenario: Scenario,
    table: ForwardingTable,
    nodes: Vec<Forwarder>,
    targets: BTreeMap<u64, Target>,
    flows: Vec<Flow>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    scheduled: Vec<Event>,
    random: StdRng,
    outcomes: BTreeMap<u8, Outcome>,
}

impl Simulation {
    fn run(scenario: Scenario, seed: u64) -> BTreeMap<u8, Outcome> {
        Self::run_until(scenario, seed, u64::MAX).outcomes
    }

    /// Simulates up to `stop` and returns the state at that time.
    fn run_until(scenario: Scenario, seed: u64, stop: u64) -> Self {
        let settings = AdmissionSettings {
            enabled: scenario.enabled,
            ..AdmissionSettings::default()
        };
        let forwarder = || Forwarder::new(HealthSettings::default()).with_admission(settings);
        let mut simulation = Self {
            scenario,
            table: table(),
            nodes: (0..NODES).map(|_| forwarder()).collect(),
            targets: (1..=TARGETS).map(|id| (id, Target::default())).collect(),
            flows: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            outcomes: BTreeMap::new(),
        };
        simulation.schedule(0, Event::Arrival);
        simulation.schedule(0, Event::Review);
        while let Some(Reverse((now, number))) = simulation.events.pop() {
            if now >= stop {
                break;
            }
            simulation.handle(now, simulation.scheduled[number]);
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.scheduled.len())));
        self.scheduled.push(event);
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::Try(request) => self.open(now, request),
            Event::Data(flow) => self.send_request(now, flow),
            Event::Finish(flow) => self.finish(now, flow),
            Event::Answer(flow, bytes) => self.answer(now, flow, bytes),
            Event::Review => self.review(now),
        }
    }

    fn review(&mut self, now: u64) {
        for node in &mut self.nodes {
            node.review(Timestamp::from_micros(now), &self.table);
            node.review_admission(Timestamp::from_micros(now));
        }
        if now < self.scenario.until {
            self.schedule(now + 100_000, Event::Review);
        }
    }

    fn arrive(&mut self, now: u64) {
        let kind = if self.random.random_range(0..9) < 2 {
            ORDER
        } else {
            LOOKUP
        };
        self.outcomes.entry(kind).or_default().sent += 1;
        let request = Request {
            kind,
            started_at: now,
            tries: 0,
        };
        self.open(now, request);
        let rate = CAPACITY_PER_SECOND * (self.scenario.load)(now);
        let pause = -self.random.random::<f64>().max(1e-9).ln() / rate * 1e6;
        if now < self.scenario.until {
            self.schedule(now + pause as u64, Event::Arrival);
        }
    }

    fn open(&mut self, now: u64, request: Request) {
        let number = u32::try_from(self.scheduled.len()).unwrap();
        let client = Ipv4Addr::from(0x6440_0000 + number / 60_000);
        let tuple = FlowTuple {
            client: SocketAddrV4::new(client, u16::try_from(1_024 + number % 60_000).unwrap()),
            service: address(request.kind),
        };
        let node = (self.scenario.node)(self.random.random());
        let packet = packet(tuple, PacketRole::Opening { attempt: 0 });
        let decision =
            self.nodes[node].decide(Timestamp::from_micros(now), &self.table, &packet, false);
        match decision {
            Decision::Place { destination, .. } => {
                self.flows.push(Flow {
                    request,
                    node,
                    tuple,
                    cookie: destination.cookie,
                    target: destination.instance.0,
                });
                self.schedule(now + 3_000, Event::Data(self.flows.len() - 1));
            }
            Decision::Refuse(RefusalReason::Overloaded) => {
                let outcome = self.outcomes.entry(request.kind).or_default();
                outcome.refused_tries += 1;
                outcome.last_refusal = now;
                self.retry(now, request);
            }
            other => panic!("{other:?}"),
        }
    }

    /// Retries on a new flow unless all tries are used up.
    fn retry(&mut self, now: u64, request: Request) {
        let tries = request.tries + 1;
        if tries < TRIES {
            let pause = self.random.random_range(40_000..120_000);
            self.schedule(now + pause, Event::Try(Request { tries, ..request }));
        }
    }

    fn send_request(&mut self, now: u64, number: usize) {
        let flow = &self.flows[number];
        let data = FlowPacket {
            cookie: Some(flow.cookie),
            data_sequence: Some(1),
            data_length: 200,
            ..packet(flow.tuple, PacketRole::Later)
        };
        self.nodes[flow.node].decide(Timestamp::from_micros(now), &self.table, &data, false);
        let id = flow.target;
        let target = self.targets.get_mut(&id).unwrap();
        if (self.scenario.fails)(id) {
            self.schedule(now + 2_000, Event::Answer(number, 140));
        } else if target.busy < SLOTS {
            target.busy += 1;
            self.process(now, number);
        } else if target.queue.len() < QUEUE_CAPACITY {
            target.queue.push_back(number);
        } else {
            self.schedule(now + 2_000, Event::Answer(number, 140));
        }
    }

    fn process(&mut self, now: u64, number: usize) {
        let flow = &self.flows[number];
        let mean = if flow.request.kind == ORDER {
            52e3
        } else {
            40e3
        };
        let slowdown = (self.scenario.slowdown)(flow.target, now);
        // The factor has a mean of one and varies by about a half.
        let scatter: f64 = (0..4).map(|_| self.random.random::<f64>()).sum::<f64>() / 2.0;
        let work = mean * slowdown * scatter;
        self.schedule(now + work as u64, Event::Finish(number));
    }

    fn finish(&mut self, now: u64, number: usize) {
        let target = self.targets.get_mut(&self.flows[number].target).unwrap();
        match target.queue.pop_front() {
            Some(next) => self.process(now, next),
            None => target.busy -= 1,
        }
        self.schedule(now + 1_000, Event::Answer(number, 2_000));
    }

    fn answer(&mut self, now: u64, number: usize, bytes: u32) {
        let flow = &self.flows[number];
        let request = flow.request;
        let end = FlowPacket {
            cookie: Some(flow.cookie),
            acknowledged: bytes,
            closes: true,
            ..packet(flow.tuple, PacketRole::Later)
        };
        self.nodes[flow.node].decide(Timestamp::from_micros(now), &self.table, &end, false);
        let outcome = self.outcomes.entry(request.kind).or_default();
        if bytes < 200 {
            self.retry(now, request);
        } else if now - request.started_at <= LATENCY_TARGET_MICROSECONDS {
            outcome.on_time += 1;
        } else {
            outcome.late += 1;
        }
    }
}

fn packet(flow: FlowTuple, role: PacketRole) -> FlowPacket {
    FlowPacket {
        flow,
        role,
        cookie: None,
        data_sequence: None,
        data_length: 0,
        closes: false,
        acknowledged: 0,
    }
}

fn total(outcomes: &BTreeMap<u8, Outcome>) -> Outcome {
    let mut total = Outcome::default();
    for outcome in outcomes.values() {
        total.sent += outcome.sent;
        total.on_time += outcome.on_time;
        total.late += outcome.late;
        total.refused_tries += outcome.refused_tries;
        total.last_refusal = total.last_refusal.max(outcome.last_refusal);
    }
    total
}

/// Light load, except for a burst from 3 s to 9 s.
fn burst(now: u64, load: f64) -> f64 {
    if (3_000_000..9_000_000).contains(&now) {
        load
    } else {
        0.2
    }
}

const BURST_OF_120_PERCENT: Scenario = Scenario {
    load: |now| burst(now, 1.2),
    until: 12_000_000,
    ..NORMAL_LOAD
};

const BURST_OF_240_PERCENT: Scenario = Scenario {
    load: |now| burst(now, 2.4),
    ..BURST_OF_120_PERCENT
};

const fn disabled(scenario: Scenario) -> Scenario {
    Scenario {
        enabled: false,
        ..scenario
    }
}

const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn at_120_percent_load_orders_are_served_and_capacity_is_used() {
    for seed in SEEDS {
        let with = Simulation::run(BURST_OF_120_PERCENT, seed);
        let without = Simulation::run(disabled(BURST_OF_120_PERCENT), seed);
        println!(
            "seed {seed}: orders {:.4} of all {:.4}, without admission control {:.4} {:.4}",
            with[&ORDER].served(),
            total(&with).served(),
            without[&ORDER].served(),
            total(&without).served()
        );
        assert!(with[&ORDER].served() > 0.985, "{seed}: {:?}", with[&ORDER]);
        let (with, without) = (total(&with).served(), total(&without).served());
        assert!(
            with > without - 0.06,
            "{seed}: {with} of all, {without} without admission control"
        );
    }
}

#[test]
fn at_240_percent_load_orders_are_preferred() {
    for seed in SEEDS {
        let with = Simulation::run(BURST_OF_240_PERCENT, seed);
        let without = Simulation::run(disabled(BURST_OF_240_PERCENT), seed);
        println!(
            "seed {seed}: orders {:.4} of all {:.4}, without admission control {:.4} {:.4}",
            with[&ORDER].served(),
            total(&with).served(),
            without[&ORDER].served(),
            total(&without).served()
        );
        assert!(with[&ORDER].served() > 0.95, "{seed}: {:?}", with[&ORDER]);
        assert!(
            without[&ORDER].served() < 0.9,
            "{seed}: {:?}",
            without[&ORDER]
        );
    }
}

#[test]
fn nothing_is_refused_from_a_second_after_a_burst() {
    for seed in SEEDS {
        let with = total(&Simulation::run(BURST_OF_240_PERCENT, seed));
        assert!(with.refused_tries > 0);
        assert!(with.last_refusal < 10_000_000, "{seed}: {with:?}");
    }
}

#[test]
fn nothing_is_refused_while_instances_have_capacity() {
    let scenarios = [
        ("normal load", NORMAL_LOAD),
        (
            "a fifth of the targets slow",
            Scenario {
                slowdown: |id, _| if id % 5 == 0 { 4.0 } else { 1.0 },
                ..NORMAL_LOAD
            },
        ),
        (
            "a fifth of the targets failing",
            Scenario {
                fails: |id| id % 5 == 0,
                ..NORMAL_LOAD
            },
        ),
        (
            "a rollout, each target cold for 2 s",
            Scenario {
                slowdown: |id, now| {
                    let started = 2_000_000 + id * 250_000;
                    let is_cold = (started..started + 2_000_000).contains(&now);
                    if is_cold { 1.6 } else { 1.0 }
                },
                ..NORMAL_LOAD
            },
        ),
        (
            "most flows at one node",
            Scenario {
                node: |random| if random < 0.6 { 0 } else { any_node(random) },
                ..NORMAL_LOAD
            },
        ),
        (
            "few requests",
            Scenario {
                load: |_| 0.02,
                ..NORMAL_LOAD
            },
        ),
    ];
    for (name, scenario) in scenarios {
        for seed in SEEDS {
            let with = total(&Simulation::run(scenario, seed));
            assert_eq!(with.refused_tries, 0, "{name}, {seed}: {with:?}");
        }
    }
}

/// A node in the middle of a burst, to which single openings are offered.
struct Overloaded {
    simulation: Simulation,
    opened: u32,
}

impl Overloaded {
    fn new() -> Self {
        Self {
            simulation: Simulation::run_until(BURST_OF_240_PERCENT, 1, 6_000_000),
            opened: 0,
        }
    }

    fn new_flow(&mut self, kind: u8) -> FlowTuple {
        self.opened += 1;
        let port = u16::try_from(1_024 + self.opened).unwrap();
        FlowTuple {
            client: SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, 1), port),
            service: address(kind),
        }
    }

    fn open(&mut self, flow: FlowTuple, attempt: u32, after: u64) -> Decision {
        let opening = packet(flow, PacketRole::Opening { attempt });
        let now = Timestamp::from_micros(6_000_000 + after);
        self.simulation.nodes[0].decide(now, &self.simulation.table, &opening, false)
    }
}

fn is_placed(decision: Decision) -> bool {
    matches!(decision, Decision::Place { .. })
}

#[test]
fn copies_of_an_opening_share_its_decision() {
    let mut node = Overloaded::new();
    let mut decisions = [0, 0];
    for kind in [ORDER, LOOKUP].into_iter().cycle().take(100) {
        let flow = node.new_flow(kind);
        let first = is_placed(node.open(flow, 0, 0));
        decisions[usize::from(first)] += 1;
        assert_eq!(
            is_placed(node.open(flow, 0, 1_000)),
            first,
            "duplicated by the network"
        );
        assert_eq!(is_placed(node.open(flow, 1, 200_000)), first);
        assert_eq!(is_placed(node.open(flow, 2, 600_000)), first);
    }
    assert!(decisions[0] > 20 && decisions[1] > 20, "{decisions:?}");
}

#[test]
fn a_later_copy_of_an_opening_seen_by_another_node_is_admitted() {
    let mut node = Overloaded::new();
    for attempt in [1, 2] {
        for _ in 0..50 {
            let flow = node.new_flow(LOOKUP);
            assert!(
                is_placed(node.open(flow, attempt, 0)),
                "the other node may have forwarded it"
            );
        }
    }
}

#[test]
fn a_route_with_very_few_flows_is_not_refused() {
    let mut node = Overloaded::new();
    for _ in 0..20 {
        let flow = node.new_flow(CHECK);
        assert!(is_placed(node.open(flow, 0, 0)));
    }
}
