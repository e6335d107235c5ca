//! New flows stay in their node's zone as long as that is best for callers.
//!
//! A small load is played: nodes with forwarders of their own, instances with two slots and a queue, and
//! clients that open a flow for each request. What callers get, how evenly instances are used and what crosses
//! zones are compared with nodes that know no zone.

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
/// Clients reach nodes and are reached in so long, microseconds.
const CLIENT: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const SLOTS: usize = 2;
const QUEUE: usize = 8;

/// What is played.
#[derive(Clone)]
struct Load {
    /// Nodes, instances and flows a second, by zone.
    nodes: [u32; 3],
    instances: [u32; 3],
    rates: [f64; 3],
    /// Factor to the flows of the first zone from one second to another.
    shift: Option<(f64, u64, u64)>,
    /// One way between zones, and mean work of a request, microseconds.
    crossing: u64,
    work: u64,
    /// What is wrong with the instances of the first zone.
    first_zone: ZoneState,
    knows_zones: bool,
    seconds: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum ZoneState {
    Sound,
    /// None answers from a second to another.
    Dead(u64, u64),
    Cold,
    Drained,
    /// Each turns all requests away.
    Full,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            nodes: [4; 3],
            instances: [20; 3],
            rates: [300.0; 3],
            shift: None,
            crossing: 5_400,
            work: 30_000,
            first_zone: ZoneState::Sound,
            knows_zones: true,
            seconds: 20,
        }
    }
}

/// What came of it.
#[derive(Debug)]
struct Outcome {
    mean_milliseconds: f64,
    slowest_hundredth: f64,
    failed: usize,
    /// Shares of the flows that crossed: all, those of the first zone, and its of the last two seconds.
    crossed: f64,
    crossed_first: f64,
    crossed_at_end: f64,
    /// Requests of the busiest instance in those of the mean one, over all instances.
    imbalance: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Open { attempt: u32 },
    Ask { cookie: u32 },
    Acknowledge { cookie: u32 },
}

#[derive(Clone, Copy)]
struct Caller {
    zone: usize,
    node: usize,
    began: u64,
    answered: Option<u64>,
    /// Where it was open first.
    cookie: Option<Cookie>,
}

struct Instance {
    zone: usize,
    free_at: [u64; SLOTS],
    /// When waiting requests begin.
    begins: Vec<u64>,
    served: u32,
}

struct World {
    load: Load,
    table: ForwardingTable,
    nodes: Vec<(usize, Forwarder)>,
    instances: BTreeMap<Cookie, Instance>,
    callers: Vec<Caller>,
    steps: BinaryHeap<Reverse<(u64, usize, Step)>>,
    draws: u64,
}

impl World {
    fn new(load: &Load) -> Self {
        let records: Vec<InstanceRecord> = (0..3).flat_map(|zone| records(load, zone)).collect();
        let instances = records.iter().map(|record| {
            let zone = ZONES.iter().position(|name| *name == record.zone);
            let instance = Instance {
                zone: zone.unwrap(),
                free_at: [0; SLOTS],
                begins: Vec::new(),
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

    fn play(mut self) -> Outcome {
        let (start, end) = (10 * SECOND, (10 + self.load.seconds) * SECOND);
        for zone in 0..3 {
            let mut now = start;
            while now < end {
                let second = (now - start) / SECOND;
                let shift = self.load.shift;
                let shift =
                    shift.filter(|(_, from, to)| zone == 0 && (*from..*to).contains(&second));
                let rate = self.load.rates[zone] * shift.map_or(1.0, |(factor, ..)| factor);
                now += (-self.draw().ln() / rate * 1e6) as u64;
                self.call(now, zone);
            }
        }
        while let Some(Reverse((now, caller, step))) = self.steps.pop() {
            self.step(now, caller, step);
        }
        self.outcome(start)
    }

    /// A number above 0, up to 1.
    fn draw(&mut self) -> f64 {
        // Knuth's generator of 64 bits; the upper ones are good.
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
            began: now,
            answered: None,
            cookie: None,
        };
        self.callers.push(caller);
        let number = self.callers.len() - 1;
        for (attempt, after) in [(0, 0), (1, 200_000), (2, 600_000)] {
            let opening = Step::Open { attempt };
            self.steps
                .push(Reverse((now + CLIENT + after, number, opening)));
        }
    }

    fn step(&mut self, now: u64, number: usize, step: Step) {
        let caller = self.callers[number];
        let is_superfluous = matches!(step, Step::Open { .. }) && caller.cookie.is_some();
        if is_superfluous {
            return;
        }
        let (role, cookie, data_length, acknowledged) = match step {
            Step::Open { attempt } => (PacketRole::Opening { attempt }, None, 0, 0),
            Step::Ask { cookie } => (PacketRole::Later, Some(cookie), 100, 1),
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
                self.asked(now, number, destination.cookie);
            }
            _ => {}
        }
    }

    /// From a node to an instance, and on to the client.
    fn ways(&self, caller: Caller, cookie: Cookie) -> (u64, u64) {
        let crosses = self.instances[&cookie].zone != caller.zone;
        let crossing = if crosses { self.load.crossing } else { 100 };
        (crossing, crossing + CLIENT)
    }

    fn opened(&mut self, now: u64, number: usize, cookie: Cookie) {
        let caller = self.callers[number];
        let second = now / SECOND - 10;
        if let ZoneState::Dead(from, to) = self.load.first_zone
            && self.instances[&cookie].zone == 0
            && (from..to).contains(&second)
        {
            return;
        }
        let (there, back) = self.ways(caller, cookie);
        self.callers[number].cookie = Some(cookie);
        let asks = Step::Ask {
            cookie: cookie.bits(),
        };
        let asks_at = now + there + back + CLIENT;
        self.steps.push(Reverse((asks_at, number, asks)));
    }

    fn asked(&mut self, now: u64, number: usize, cookie: Cookie) {
        let caller = self.callers[number];
        let (there, back) = self.ways(caller, cookie);
        let arrives = now + there;
        let work = (self.load.work as f64 * (0.5 + self.draw())) as u64;
        let instance = self.instances.get_mut(&cookie).unwrap();
        let is_full = self.load.first_zone == ZoneState::Full && instance.zone == 0;
        let slow = self.load.first_zone == ZoneState::Cold && instance.zone == 0;
        let work = if slow { work * 8 / 5 } else { work };
        instance.begins.retain(|begins| *begins > arrives);
        if is_full || instance.begins.len() >= QUEUE {
            self.turned_away(now, number, cookie);
            return;
        }
        let slot = (0..SLOTS)
            .min_by_key(|slot| instance.free_at[*slot])
            .unwrap();
        let begins = instance.free_at[slot].max(arrives);
        instance.begins.push(begins);
        instance.free_at[slot] = begins + work;
        instance.served += 1;
        let answered = begins + work + back;
        self.callers[number].answered = Some(answered);
        let acknowledges = Step::Acknowledge {
            cookie: cookie.bits(),
        };
        let acknowledged = answered + CLIENT;
        self.steps
            .push(Reverse((acknowledged, number, acknowledges)));
    }

    /// An instance answers at once that it doesn't take the request.
    fn turned_away(&mut self, now: u64, number: usize, cookie: Cookie) {
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
            .filter_map(|caller| Some((caller.answered? - caller.began) as f64 / 1_000.0));
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
        let last = start + (self.load.seconds - 2) * SECOND;
        let served: Vec<f64> = self
            .instances
            .values()
            .map(|one| f64::from(one.served))
            .collect();
        let mean = served.iter().sum::<f64>() / served.len() as f64;
        Outcome {
            mean_milliseconds: answered.iter().sum::<f64>() / answered.len() as f64,
            slowest_hundredth: answered[answered.len() * 99 / 100],
            failed: self.callers.len() - answered.len(),
            crossed: share(&|_| true),
            crossed_first: share(&|caller| caller.zone == 0),
            crossed_at_end: share(&|caller| caller.zone == 0 && caller.began > last),
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

/// What comes of a load with placement by zone, and without.
fn both(load: &Load) -> (Outcome, Outcome) {
    let without = Load {
        knows_zones: false,
        ..load.clone()
    };
    let outcomes = (World::new(load).play(), World::new(&without).play());
    println!("with    {:?}\nwithout {:?}", outcomes.0, outcomes.1);
    outcomes
}

#[test]
fn an_even_calm_load_stays_in_its_zones() {
    let (with, without) = both(&Load::default());
    assert!(with.crossed < 0.01 && without.crossed > 0.6);
    assert!(with.mean_milliseconds < without.mean_milliseconds - 10.0);
    assert!(with.imbalance < without.imbalance + 0.1);
    assert_eq!(with.failed, 0);
}

#[test]
fn three_times_the_load_of_a_zone_spills_before_callers_wait() {
    let shifted = Load {
        rates: [500.0; 3],
        shift: Some((3.0, 4, 12)),
        seconds: 24,
        ..Load::default()
    };
    let (with, without) = both(&shifted);
    assert!(with.failed <= without.failed);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert!(with.slowest_hundredth < without.slowest_hundredth);
    assert!(with.crossed_first > 0.1, "it spills");
    assert!(with.crossed_at_end < 0.1, "it comes back");
    assert!(with.imbalance < without.imbalance + 0.2);
}

#[test]
fn a_zone_with_few_nodes_is_served_by_its_own_instances() {
    let few = Load {
        nodes: [1, 6, 6],
        ..Load::default()
    };
    let (with, without) = both(&few);
    assert!(
        with.crossed < 0.02 && with.crossed_at_end < 0.01,
        "it takes its zone for smaller at first"
    );
    assert!(with.mean_milliseconds < without.mean_milliseconds - 10.0);
    assert!(with.imbalance < without.imbalance + 0.1);
}

#[test]
fn a_zone_with_few_instances_sends_most_of_its_flows_elsewhere() {
    let few = Load {
        instances: [2, 20, 20],
        ..Load::default()
    };
    let (with, without) = both(&few);
    assert!(with.failed <= without.failed);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert!((0.7..0.95).contains(&with.crossed_first));
    assert!(with.imbalance < 1.8);
}

#[test]
fn a_zone_whose_instances_die_is_left_and_taken_up_again() {
    let dead = Load {
        first_zone: ZoneState::Dead(4, 10),
        seconds: 40,
        ..Load::default()
    };
    let (with, without) = both(&dead);
    assert!(with.failed <= without.failed);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert!(with.crossed_at_end < 0.05, "it is taken up again");
}

#[test]
fn a_cold_zone_does_not_come_before_a_warm_one() {
    let cold = Load {
        first_zone: ZoneState::Cold,
        ..Load::default()
    };
    let (with, without) = both(&cold);
    assert!(with.crossed_first > 0.99);
    assert!(with.failed <= without.failed);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
}

#[test]
fn a_drained_zone_gets_nothing() {
    let drained = Load {
        first_zone: ZoneState::Drained,
        ..Load::default()
    };
    let (with, without) = both(&drained);
    assert!(with.crossed_first > 0.999);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert_eq!(with.failed, 0);
}

#[test]
fn a_zone_whose_instances_turn_requests_away_is_left() {
    let full = Load {
        first_zone: ZoneState::Full,
        ..Load::default()
    };
    let (with, without) = both(&full);
    assert!(with.failed < without.failed);
    assert!(with.crossed_first > 0.6);
}

#[test]
fn a_service_without_instances_in_the_zone_is_reached_in_others() {
    let none = Load {
        instances: [0, 20, 20],
        ..Load::default()
    };
    let (with, without) = both(&none);
    assert_eq!(with.failed, 0);
    assert!(with.mean_milliseconds < without.mean_milliseconds);
    assert!(with.imbalance < without.imbalance + 0.1);
}

#[test]
fn without_the_name_of_its_zone_a_node_treats_all_alike() {
    let unknown = Load {
        knows_zones: false,
        ..Load::default()
    };
    let outcome = World::new(&unknown).play();
    assert!((0.62..0.71).contains(&outcome.crossed), "{outcome:?}");
}

#[test]
fn far_zones_get_flows_only_for_queues_that_last_longer() {
    let far = Load {
        crossing: 40_000,
        rates: [600.0, 300.0, 300.0],
        ..Load::default()
    };
    let (with, without) = both(&far);
    assert!(with.crossed < 0.05);
    assert!(with.mean_milliseconds < without.mean_milliseconds - 80.0);
}

#[test]
fn near_zones_take_what_the_own_one_has_no_room_for() {
    let near = Load {
        crossing: 500,
        rates: [1_500.0, 200.0, 200.0],
        ..Load::default()
    };
    let (with, without) = both(&near);
    assert!(with.failed <= without.failed + 100);
    assert!((0.2..0.7).contains(&with.crossed_first));
    assert!(with.crossed < without.crossed);
}
