//! Cost of forwarding a packet by its cookie.
//!
//! `cargo bench -p bellyoke-core --bench cookie` prints nanoseconds per packet, medians over runs
//! of a thousand packets, for openings and later packets. The baseline is a hash map of instances
//! behind a lock, and openings placed by sorting all candidates.

use bellyoke_core::cookie::forwarder::{Decision, Forwarder};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceId, InstanceRecord, InstanceState};
use bellyoke_core::cookie::packet::{FlowPacket, FlowTuple, PacketRole};
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::route::{Configuration, RequestPolicy, Route, WeightedService};
use bellyoke_core::cookie::table::ForwardingTable;
use bellyoke_core::time::Timestamp;
use std::collections::HashMap;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::RwLock;
use std::time::{Duration, Instant};

/// Number of instances, and of services that they are spread over.
const SIZES: [(u32, u32); 2] = [(300, 20), (5_700, 380)];
/// Packets in a run, which are timed together.
const PACKETS_PER_RUN: u32 = 1_000;
/// Number of runs, of which the median is printed.
const RUNS: u32 = 300;

fn main() {
    println!("{:<44} {:>10} {:>10}", "ns a packet", "cookie", "baseline");
    for (instances, services) in SIZES {
        let table = table(instances, services);
        let baseline = HashMapBaseline::new(instances, services);
        let mut forwarder = Forwarder::new(HealthSettings::default());
        let later_cost = median(|number| {
            let packet = later(number, instances, services);
            let decision = forwarder.decide(time(number), &table, &packet, false);
            assert!(matches!(black_box(decision), Decision::Follow { .. }));
        });
        let baseline_later_cost = median(|number| {
            let packet = later(number, instances, services);
            assert!(black_box(baseline.follow(&packet)).is_some());
        });
        print_row("later packet", instances, later_cost, baseline_later_cost);
        let opening_cost = median(|number| {
            let packet = opening(number, services);
            let decision = forwarder.decide(time(number), &table, &packet, false);
            assert!(matches!(black_box(decision), Decision::Place { .. }));
        });
        let baseline_opening_cost = median(|number| {
            let packet = opening(number, services);
            assert!(black_box(baseline.place(&packet)).is_some());
        });
        print_row("opening", instances, opening_cost, baseline_opening_cost);
    }
}

fn print_row(operation: &str, instances: u32, cookie: f64, baseline: f64) {
    let label = format!("{operation}, {instances} instances");
    println!("{label:<44} {cookie:>10.1} {baseline:>10.1}");
}

fn median(mut packet: impl FnMut(u32)) -> f64 {
    let mut runs: Vec<Duration> = (0..RUNS)
        .map(|run| {
            let start = Instant::now();
            for index in 0..PACKETS_PER_RUN {
                packet(run * PACKETS_PER_RUN + index);
            }
            start.elapsed()
        })
        .collect();
    runs.sort_unstable();
    runs[runs.len() / 2].as_secs_f64() * 1e9 / f64::from(PACKETS_PER_RUN)
}

/// One millisecond per packet, so that openings under way expire as on a node.
fn time(number: u32) -> Timestamp {
    Timestamp::from_micros(u64::from(number) * 1_000)
}

fn service_address(service: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0xc612_0000 + service), 443)
}

fn instance_address(instance: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + instance), 8_080)
}

fn instance_id(instance: u32) -> InstanceId {
    InstanceId(u64::from(instance.wrapping_mul(0x9e37_79b1) | 1))
}

fn flow(number: u32, services: u32) -> FlowTuple {
    let port = u16::try_from(1_024 + number % 60_000).unwrap_or_default();
    FlowTuple {
        client: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number / 60_000), port),
        service: service_address(number % services),
    }
}

fn opening(number: u32, services: u32) -> FlowPacket {
    FlowPacket {
        flow: flow(number, services),
        role: PacketRole::Opening { attempt: 0 },
        cookie: None,
        data_sequence: None,
        data_length: 0,
        closes: false,
        acknowledged: 0,
    }
}

fn later(number: u32, instances: u32, services: u32) -> FlowPacket {
    let instance = number.wrapping_mul(0x85eb_ca6b) % instances;
    FlowPacket {
        flow: flow(number, services),
        role: PacketRole::Later,
        cookie: Some(Cookie::of(instance_id(instance))),
        data_sequence: None,
        data_length: 0,
        closes: false,
        acknowledged: 0,
    }
}

fn table(instances: u32, services: u32) -> ForwardingTable {
    let record = |instance: u32| InstanceRecord {
        id: instance_id(instance),
        revision: Revision::new(1),
        service: format!("service-{}", instance % services),
        address: instance_address(instance),
        zone: "zone".to_owned(),
        state: InstanceState::Ready,
        cold_remaining_milliseconds: 0,
        created: None,
        slots: 2,
        started: None,
    };
    let route = |service: u32| Route {
        address: service_address(service),
        services: vec![WeightedService {
            service: format!("service-{service}"),
            weight: 1,
        }],
        request_policy: RequestPolicy::default(),
    };
    let mut replica = Replica::new(Duration::from_secs(70));
    replica.adopt_configuration(Configuration {
        revision: Revision::new(1),
        version: 1,
        routes: (0..services).map(route).collect(),
        limits: Vec::new(),
        idle_timeout_milliseconds: 15_000,
    });
    let records = (0..instances).map(record).collect();
    replica.replace_instances(Timestamp::ZERO, Revision::new(2), records);
    replica.table()
}

/// Baseline: a hash map of instances behind a lock.
struct HashMapBaseline {
    instances: RwLock<HashMap<u32, (u32, SocketAddrV4)>>,
    routes: HashMap<SocketAddrV4, u32>,
}

impl HashMapBaseline {
    fn new(instances: u32, services: u32) -> Self {
        let entry = |instance: u32| {
            let cookie = Cookie::of(instance_id(instance)).bits();
            (cookie, (instance % services, instance_address(instance)))
        };
        Self {
            instances: RwLock::new((0..instances).map(entry).collect()),
            routes: (0..services)
                .map(|service| (service_address(service), service))
                .collect(),
        }
    }

    fn follow(&self, packet: &FlowPacket) -> Option<SocketAddrV4> {
        let instances = self.instances.read().ok()?;
        let (_, address) = instances.get(&packet.cookie?.bits())?;
        Some(*address)
    }

    fn place(&self, packet: &FlowPacket) -> Option<SocketAddrV4> {
        let service = self.routes.get(&packet.flow.service)?;
        let hash = packet.flow.hash();
        let instances = self.instances.read().ok()?;
        let mut candidates: Vec<_> = instances
            .iter()
            .filter(|(_, (its_service, _))| its_service == service)
            .collect();
        let score = |cookie: u32| (hash ^ u64::from(cookie)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        candidates.sort_by_key(|(cookie, _)| score(**cookie));
        candidates.first().map(|(_, (_, address))| *address)
    }
}
