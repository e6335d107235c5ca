//! Cost of events to the control thread, by the number of instances.
//!
//! `cargo bench -p bellyoke-core --bench control` prints the median in microseconds per event. The
//! events are those whose number grows when a cluster has failures: a change of one instance and
//! the table that is built after it, a tick, a probe request from a peer, a suspicion of this
//! node's own, and the snapshot for a node that has just started.

use bellyoke_core::cookie::coordinator::Coordinator;
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeSettings, PeerDatagram, PeerKey, ProbeRequest, encode_snapshot,
};
use bellyoke_core::cookie::follower::Update;
use bellyoke_core::cookie::instance::{
    Cookie, InstanceEvent, InstanceId, InstanceRecord, InstanceState,
};
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::route::{Configuration, RequestPolicy, Route, WeightedService};
use bellyoke_core::time::Timestamp;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

/// Numbers of instances.
const INSTANCE_COUNTS: [u32; 4] = [300, 3_000, 10_000, 20_000];
/// Timed events of each kind, of which the median is printed.
const RUNS: u32 = 41;
/// The first revision after those of the list.
const FIRST_REVISION_AFTER_LIST: u64 = 1_000_000;

fn main() {
    print!("{:<32}", "us per event, instances:");
    for size in INSTANCE_COUNTS {
        print!("{size:>10}");
    }
    println!();
    row("change of one instance", |node, number| {
        let record = record(number % 300, FIRST_REVISION_AFTER_LIST + u64::from(number));
        let update = Update::Changes {
            at: Revision::new(FIRST_REVISION_AFTER_LIST + u64::from(number)),
            events: vec![InstanceEvent::Put(record)],
        };
        black_box(node.apply_instances(time_of(number), update));
    });
    row("table after a change", |node, _| {
        black_box(node.replica().table());
    });
    row("tick", |node, number| {
        black_box(node.tick(time_of(number)));
    });
    row("probe request of a peer", |node, number| {
        let request = ProbeRequest {
            cookies: vec![cookie(number).bits()],
        };
        let peer = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 7_000);
        black_box(node.handle_datagram(time_of(number), peer, PeerDatagram::ProbeRequest(request)));
    });
    row("suspicion and its probe", |node, number| {
        node.suspect(time_of(number), &[cookie(number)]);
        black_box(node.next_probe(time_of(number), &[]));
    });
    print!("{:<32}", "bytes of a snapshot");
    for size in INSTANCE_COUNTS {
        let snapshot = node(size).replica().snapshot(time_of(1));
        let bytes = encode_snapshot(&snapshot, &PeerKey::default()).unwrap();
        print!("{:>10}", bytes.len());
    }
    println!();
    row("snapshot for a new node", |node, number| {
        let snapshot = node.replica().snapshot(time_of(number));
        black_box(encode_snapshot(&snapshot, &PeerKey::default()).unwrap());
    });
}

fn row(what: &str, event: impl Fn(&mut Coordinator, u32)) {
    print!("{what:<32}");
    for size in INSTANCE_COUNTS {
        let mut node = node(size);
        let mut runs: Vec<Duration> = (1..=RUNS)
            .map(|number| {
                let start = Instant::now();
                event(&mut node, number);
                start.elapsed()
            })
            .collect();
        runs.sort_unstable();
        let median = runs[runs.len() / 2].as_secs_f64() * 1e6;
        print!("{median:>10.1}");
    }
    println!();
}

/// Returns a node that has this many instances, four fifths of them of one service.
fn node(instances: u32) -> Coordinator {
    let own_address = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 0), 7_000);
    let exchange = Exchange::new(ExchangeSettings::default(), own_address, Vec::new(), 1);
    let mut node = Coordinator::new(Replica::new(Duration::from_secs(70)), exchange);
    let items = (0..instances).map(|number| record(number, u64::from(number)));
    let list = Update::List {
        at: Revision::new(FIRST_REVISION_AFTER_LIST),
        items: items.collect(),
    };
    node.apply_instances(time_of(0), list);
    let configuration = Update::List {
        at: Revision::new(FIRST_REVISION_AFTER_LIST),
        items: vec![configuration()],
    };
    node.apply_configurations(time_of(0), configuration);
    node
}

fn configuration() -> Configuration {
    let services = ["till", "listings"].map(|service| WeightedService {
        service: service.to_owned(),
        weight: 1,
    });
    Configuration {
        revision: Revision::new(FIRST_REVISION_AFTER_LIST),
        version: 1,
        routes: vec![Route {
            address: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 443),
            services: services.to_vec(),
            request_policy: RequestPolicy::default(),
        }],
        limits: Vec::new(),
        idle_timeout_milliseconds: 15_000,
    }
}

fn id(number: u32) -> InstanceId {
    InstanceId(u64::from(number.wrapping_mul(0x9e37_79b1)))
}

fn cookie(number: u32) -> Cookie {
    Cookie::of(id(number))
}

fn record(number: u32, revision: u64) -> InstanceRecord {
    let service = if number.is_multiple_of(5) {
        "listings"
    } else {
        "till"
    };
    InstanceRecord {
        id: id(number),
        revision: Revision::new(revision),
        service: service.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a01_0000 + number), 8_000),
        zone: format!("zone-{}", number % 5),
        state: InstanceState::Ready,
        cold_remaining_milliseconds: 0,
        created: Some(Revision::new(u64::from(number))),
        slots: 2,
        started: None,
    }
}

/// Returns the time of an event: 100 ms apart, after the start of the process's clock.
fn time_of(number: u32) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + u64::from(number) * 100_000)
}
