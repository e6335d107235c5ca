//! New flows stay in their node's own zone as long as that is best for clients.
//!
//! Simulates nodes with a forwarder each, instances with two slots and a queue, and clients that
//! open a flow for each request. Response times, the balance between instances and the traffic
//! between zones are compared with nodes that don't know their zone.

use crate::support::{TOMBSTONE_LIFETIME, at, configuration, flow, record};
use bellyoke_core::cookie::answers::{AnswerOutcome, AnswerSample};
use bellyoke_core::cookie::forwarder::{Decision, Forwarder};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceId, InstanceRecord, InstanceState};
use bellyoke_core::cookie::packet::{FlowPacket, PacketRole};
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::table::{ForwardingTable, ServiceNumber};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const ZONES: [&str; 3] = ["cork", "kerry", "limerick"];
/// One-way delay between clients and nodes or instances, microseconds.
const CLIENT_DELAY_MICROSECONDS: u64 = 1_000;
const MICROSECONDS_PER_SECOND: u64 = 1_000_000;
const SLOTS: usize = 2;
const QUEUE_CAPACITY: usize = 8;

/// Load and faults of a simulation.
#[derive(Clone)]
struct Load {
    /// Nodes, instances and flows per second, by zone.
    nodes: [u32; 3],
    instances: [u32; 3],
    rates: [f64; 3],
    /// Factor to the flows of the first zone, from one second up to another.
    surge: Option<(f64, u64, u64)>,
    /// One-way delay between zones and mean processing time of a request, microseconds.
    crossing_delay: u64,
    work: u64,
    /// State of the instances of the first zone.
    first_zone: ZoneState,
    knows_zones: bool,
    seconds: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum ZoneState {
    Healthy,
    /// No instance answers from one second up to another.
    Dead(u64, u64),
    Cold,
    Drained,
    /// Each instance rejects all requests.
    Full,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            nodes: [4; 3],
            instances: [20; 3],
            rates: [300.0; 3],
            surge: None,
            crossing_delay: 5_400,
            work: 30_000,
            first_zone: ZoneState::Healthy,
            knows_zones: true,
            seconds: 20,
        }
    }
}

/// Result of a simulation.
#[derive(Debug)]
struct Outcome {
    mean_milliseconds: f64,
    p99_milliseconds: f64,
    failed: usize,
    /// Shares of flows to another zone: of all flows, of those of the first zone, and of those of
    /// the first zone in the last two seconds.
    crossed: f64,
    crossed_first: f64,
    crossed_at_end: f64,
    /// Ratio of the requests of the busiest instance to the mean, over all instances.
    imbalance: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Open { attempt: u32 },
    Request { cookie: u32 },
    Acknowledge { cookie: u32 },
}

#[derive(Clone, Copy)]
struct Caller {
    zone: usize,
    node: usize,
    started_at: u64,
    answered: Option<u64>,
    /// The instance at which the flow was opened first.
    cookie: Option<Cookie>,
}

struct Instance {
    zone: usize,
    free_at: [u64; SLOTS],
    /// Start times of the queued requests.
    starts: Vec<u64>,
    served: u32,
}

struct Simulation {
    load: Load,
    table: ForwardingTable,
    nodes: Vec<(usize, Forwarder)>,
    instances: BTreeMap<Cookie, Instance>,
    callers: Vec<Caller>,
    steps: BinaryHeap<Reverse<(u64, usize, Step)>>,
    draws: u64,
}

impl Simulation {
    fn new(load: &Load) -> Self {
        let records: Vec<InstanceRecord> = (0..3).flat_map(|zone| records(load, zone)).collect();
        let instances = records.iter().map(|record| {
            let zone = ZONES.iter().position(|name| *name == record.zone);
            let instance = Instance {
                zone: zone.unwrap(),
                free_at: [0; SLOTS],
                starts: Vec::new(),
                served: 0,
            };
            (Cookie::of(record.id), instance)
        });
        let instances = instances.collect();
        let mut replica = Replica::new(TOMBSTONE_LIFETIME);
        replica.adopt_configuration(configuration(1, &[("till", 1)]));
        replica.replace_instances(at(0), Revision::new(10), records);
        let names = if load.knows_zones { ZONES } else { [""; 3] };
        let all_nodes: u32 = load.nodes.iter().sum();
        let nodes = (0..3).flat_map(|zone| {
            (0..load.nodes[zone]).map(move |_| {
                let forwarder = Forwarder::new(HealthSettings::default());
                let mut forwarder = forwarder.with_zone(names[zone]);
                forwarder.set_estimated_node_count(u64::from(all_nodes));
                (zone, forwarder)
            })
        });
        Self {
            table: replica.table(),
            nodes: nodes.collect(),
            instances,
            callers: Vec::new(),
            steps: BinaryHeap::new(),
            draws: 1,
            load: load.clone(),
        }
    }

    fn run(mut self) -> Outcome {
        let (start, end) = (
            10 * MICROSECONDS_PER_SECOND,
            (10 + self.load.seconds) * MICROSECONDS_PER_SECOND,
        );
        for zone in 0..3 {
            let mut now = start;
            while now < end {
                let second = (now - start) / MICROSECONDS_PER_SECOND;
                let surge = self.load.surge;
                let surge =
                    surge.filter(|(_, from, to)| zone == 0 && (*from..*to).contains(&second));
                let rate = self.load.rates[zone] * surge.map_or(1.0, |(factor, ..)| factor);
                now += (-self.draw().ln() / rate * 1e6) as u64;
                self.call(now, zone);
            }
        }
        while let Some(Reverse((now, caller, step))) = self.steps.pop() {
            self.step(now, caller, step);
        }
        self.outcome(start)
    }

    /// Returns a random number above 0, up to 1.
    fn draw(&mut self) -> f64 {
        // Knuth's 64-bit linear congruential generator; the upper bits are of good quality.
        self.draws = self
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        ((self.draws >> 11) + 1) as f64 / (1_u64 << 53) as f64
    }

    fn call(&mut self, now: u64, zone: usize) {
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].0 == zone)
            .collect();
        let node = nodes[(self.draw() * nodes.len() as f64) as usize % nodes.len()];
        let caller = Caller {
            zone,
            node,
            started_at: now,
            answered: None,
            cookie: None,
        };
        self.callers.push(caller);
        let number = self.callers.len() - 1;
        for (attempt, after) in [(0, 0), (1, 200_000), (2, 600_000)] {
            let opening = Step::Open { attempt };
            self.steps.push(Reverse((
                now + CLIENT_DELAY_MICROSECONDS + after,
                number,
                opening,
            )));
        }
    }

    fn step(&mut self, now: u64, number: usize, step: Step) {
        let caller = self.callers[number];
        let is_redundant = matches!(step, Step::Open { .. }) && caller.cookie.is_some();
        if is_redundant {
            return;
        }
        let (role, cookie, data_length, acknowledged) = match step {
            Step::Open { attempt } => (PacketRole::Opening { attempt }, None, 0, 0),
            Step::Request { cookie } => (PacketRole::Later, Some(cookie), 100, 1),
            Step::Acknowledge { cookie } => (PacketRole::Later, Some(cookie), 0, 1_001),
        };
        let packet = FlowPacket {
            flow: flow(u32::try_from(number).unwrap()),
            role,
            cookie: cookie.and_then(Cookie::from_bits),
            data_sequence: (data_length > 0).then_some(1),
            data_length,
            closes: false,
            acknowledged,
        };
        let time = bellyoke_core::time::Timestamp::from_micros(now);
        let forwarder = &mut self.nodes[caller.node].1;
        let decision = forwarder.decide(time, &self.table, &packet, false);
        forwarder.review(time, &self.table);
        forwarder.review_zones(time);
        match decision {
            Decision::Place { destination, .. } => self.opened(now, number, destination.cookie),
            Decision::Follow { destination, .. } if data_length > 0 => {
                self.request(now, number, destination.cookie);
            }
            _ => {}
        }
    }

    /// Returns the delays from the node to the instance and from the instance to the client.
    fn delays(&self, caller: Caller, cookie: Cookie) -> (u64, u64) {
        let is_other_zone = self.instances[&cookie].zone != caller.zone;
        let crossing_delay = if is_other_zone {
            self.load.crossing_delay
        } else {
            100
        };
        (crossing_delay, crossing_delay + CLIENT_DELAY_MICROSECONDS)
    }

    fn opened(&mut self, now: u64, number: usize, cookie: Cookie) {
        let caller = self.callers[number];
        let second = now / MICROSECONDS_PER_SECOND - 10;
        if let ZoneState::Dead(from, to) = self.load.first_zone
            && self.instances[&cookie].zone == 0
            && (from..to).contains(&second)
        {
            return;
        }
        let (to_instance, to_client) = self.delays(caller, cookie);
        self.callers[number].cookie = Some(cookie);
        let request = Step::Request {
            cookie: cookie.bits(),
        };
        let request_at = now + to_instance + to_client + CLIENT_DELAY_MICROSECONDS;
        self.steps.push(Reverse((request_at, number, request)));
    }

    fn request(&mut self, now: u64, number: usize, cookie: Cookie) {
        let caller = self.callers[number];
        let (to_instance, to_client) = self.delays(caller, cookie);
        let arrives_at = now + to_instance;
        let work = (self.load.work as f64 * (0.5 + self.draw())) as u64;
        let instance = self.instances.get_mut(&cookie).unwrap();
        let is_full = self.load.first_zone == ZoneState::Full && instance.zone == 0;
        let is_cold = self.load.first_zone == ZoneState::Cold && instance.zone == 0;
        let work = if is_cold { work * 8 / 5 } else { work };
        instance.starts.retain(|starts_at| *starts_at > arrives_at);
        if is_full || instance.starts.len() >= QUEUE_CAPACITY {
            self.reject(now, number, cookie);
            return;
        }
        let slot = (0..SLOTS)
            .min_by_key(|slot| instance.free_at[*slot])
            .unwrap();
        let starts_at = instance.free_at[slot].max(arrives_at);
        instance.starts.push(starts_at);
        instance.free_at[slot] = starts_at + work;
        instance.served += 1;
        let answered = starts_at + work + to_client;
        self.callers[number].answered = Some(answered);
        let acknowledgement = Step::Acknowledge {
            cookie: cookie.bits(),
        };
        let acknowledged_at = answered + CLIENT_DELAY_MICROSECONDS;
        self.steps
            .push(Reverse((acknowledged_at, number, acknowledgement)));
    }

    /// The instance rejects the request at once.
    fn reject(&mut self, now: u64, number: usize, cookie: Cookie) {
        let sample = AnswerSample {
            cookie,
            service: ServiceNumber(0),
            priority: 0,
            outcome: AnswerOutcome::Short {
                after: Duration::from_millis(3),
            },
        };
        let node = self.callers[number].node;
        let time = bellyoke_core::time::Timestamp::from_micros(now);
        self.nodes[node].1.record_sample(time, &self.table, &sample);
    }

    fn outcome(self, start: u64) -> Outcome {
        let answered = self
            .callers
            .iter()
            .filter_map(|caller| Some((caller.answered? - caller.started_at) as f64 / 1_000.0));
        let mut answered: Vec<f64> = answered.collect();
        answered.sort_by(f64::total_cmp);
        let share = |chosen: &dyn Fn(&&Caller) -> bool| {
            let chosen: Vec<&Caller> = self.callers.iter().filter(chosen).collect();
            let crossed = chosen.iter().filter(|caller| {
                let cookie = caller.cookie;
                cookie.is_some_and(|cookie| self.instances[&cookie].zone != caller.zone)
            });
            crossed.count() as f64 / chosen.len().max(1) as f64
        };
        let last = start + (self.load.seconds - 2) * MICROSECONDS_PER_SECOND;
        let served: Vec<f64> = self
            .instances
            .values()
            .map(|one| f64::from(one.served))
            .collect();
        let mean = served.iter().sum::<f64>() / served.len() as f64;
        Outcome {
            mean_milliseconds: answered.iter().sum::<f64>() / answered.len() as f64,
            p99_milliseconds: answered[answered.len() * 99 / 100],
            failed: self.callers.len() - answered.len(),
            crossed: share(&|_| true),
            crossed_first: share(&|caller| caller.zone == 0),
            crossed_at_end: share(&|caller| caller.zone == 0 && caller.started_at > last),
            imbalance: served.iter().copied().fold(0.0, f64::max) / mean,
        }
    }
}

fn records(load: &Load, zone: usize) -> impl Iterator<Item = InstanceRecord> {
    let (count, state) = (load.instances[zone], load.first_zone);
    let is_first = zone == 0;
    (0..u64::from(count)).map(move |number| {
        let record = record(zone as u64 * 100 + number + 1, 1);
        InstanceRecord {
            id: InstanceId(zone as u64 * 100 + number + 1),
            zone: ZONES[zone].to_owned(),
            cold_remaining_milliseconds: if is_first && state == ZoneState::Cold {
                60_000
            } else {
                0
            },
            state: if is_first && state == ZoneState::Drained {
                InstanceState::Draining
            } else {
                InstanceState::Ready
            },
            ..record
        }
    })
}

/// Simulates a load with and without zone preference.
fn with_and_without_zones(load: &Load) -> (Outcome, Outcome) {
    let without = Load {
        knows_zones: false,
        ..load.clone()
    };
    let outcomes = (Simulation::new(load).run(), Simulation::new(&without).run());
    println!("with    {:?}\nwithout {:?}", outcomes.0, outcomes.1);
    outcomes
}

#[test]
fn an_even_normal_load_stays_in_its_zones() {
    let (with, without) = with_and_without_zones(&Load::default());
    assert!(with.crossed < 0.01 && without.crossed > 0.6);
    assert!(with.mean_milliseconds < without.mean_milliseconds - 10.0);
    assert!(with.imbalance < without.imbalance + 0.1);
    assert_eq!(with.failed, 0);
}

#[test]
fn triple_load_of_a_zone_spills_before_requests_queue() {
    let surge = Load {
        rates: [500.0; 3],
        surge: Some((3.0, 4, 12)),
        seconds: 24,
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&surge);
    assert!(with.failed <= without.failed);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert!(with.p99_milliseconds < without.p99_milliseconds);
    assert!(with.crossed_first > 0.1, "openings spill");
    assert!(with.crossed_at_end < 0.1, "openings return");
    assert!(with.imbalance < without.imbalance + 0.2);
}

#[test]
fn a_zone_with_few_nodes_is_served_by_its_own_instances() {
    let few = Load {
        nodes: [1, 6, 6],
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&few);
    assert!(
        with.crossed < 0.02 && with.crossed_at_end < 0.01,
        "the node overestimates the load of its zone at first"
    );
    assert!(with.mean_milliseconds < without.mean_milliseconds - 10.0);
    assert!(with.imbalance < without.imbalance + 0.1);
}

#[test]
fn a_zone_with_few_instances_spills_most_of_its_flows() {
    let few = Load {
        instances: [2, 20, 20],
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&few);
    assert!(with.failed <= without.failed);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert!((0.7..0.95).contains(&with.crossed_first));
    assert!(with.imbalance < 1.8);
}

#[test]
fn a_zone_with_dead_instances_is_avoided_until_they_recover() {
    let dead = Load {
        first_zone: ZoneState::Dead(4, 10),
        seconds: 40,
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&dead);
    assert!(with.failed <= without.failed);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert!(with.crossed_at_end < 0.05, "the zone is used again");
}

#[test]
fn a_cold_zone_is_not_preferred_over_a_warm_one() {
    let cold = Load {
        first_zone: ZoneState::Cold,
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&cold);
    assert!(with.crossed_first > 0.99);
    assert!(with.failed <= without.failed);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
}

#[test]
fn a_drained_zone_gets_no_flows() {
    let drained = Load {
        first_zone: ZoneState::Drained,
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&drained);
    assert!(with.crossed_first > 0.999);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert_eq!(with.failed, 0);
}

#[test]
fn a_zone_whose_instances_reject_requests_is_avoided() {
    let full = Load {
        first_zone: ZoneState::Full,
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&full);
    assert!(with.failed < without.failed);
    assert!(with.crossed_first > 0.6);
}

#[test]
fn a_service_without_instances_in_the_own_zone_is_reached_in_others() {
    let none = Load {
        instances: [0, 20, 20],
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&none);
    assert_eq!(with.failed, 0);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert!(with.imbalance < without.imbalance + 0.1);
}

#[test]
fn a_node_without_a_zone_name_uses_all_zones_equally() {
    let unknown = Load {
        knows_zones: false,
        ..Load::default()
    };
    let outcome = Simulation::new(&unknown).run();
    assert!((0.62..0.71).contains(&outcome.crossed), "{outcome:?}");
}

#[test]
fn distant_zones_get_flows_only_for_longer_queues() {
    let far = Load {
        crossing_delay: 40_000,
        rates: [600.0, 300.0, 300.0],
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&far);
    assert!(with.crossed < 0.05);
    assert!(with.mean_milliseconds < without.mean_milliseconds - 80.0);
}

#[test]
fn near_zones_take_the_load_that_exceeds_the_own_zone() {
    let near = Load {
        crossing_delay: 500,
        rates: [1_500.0, 200.0, 200.0],
        ..Load::default()
    };
    let (with, without) = with_and_without_zones(&near);
    assert!(with.failed <= without.failed + 100);
    assert!((0.2..0.7).contains(&with.crossed_first));
    assert!(with.crossed < without.crossed);
}
