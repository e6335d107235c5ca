//! What an event costs the control thread, by the number of instances.
//!
//! `cargo bench -p bellyoke-core --bench control` prints microseconds an event, medians. The events are those
//! whose number grows with the cluster's trouble: a change of one instance and the table built after it, a tick,
//! a question about an instance, a doubt of this node's own, and the snapshot for a node that has just started.

use bellyoke_core::cookie::coordinator::Coordinator;
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeSettings, PeerDatagram, PeerKey, Question, encode_snapshot,
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

/// Instances in all.
const SIZES: [u32; 4] = [300, 3_000, 10_000, 20_000];
/// Events of a kind that are timed; their median counts.
const RUNS: u32 = 41;
/// The first revision after those of the list.
const LISTED: u64 = 1_000_000;

fn main() {
    print!("{:<32}", "us an event, instances:");
    for size in SIZES {
        print!("{size:>10}");
    }
    println!();
    row("change of one instance", |node, number| {
        let record = record(number % 300, LISTED + u64::from(number));
        let update = Update::Changes {
            at: Revision::new(LISTED + u64::from(number)),
            events: vec![InstanceEvent::Put(record)],
        };
        black_box(node.instances(time(number), update));
    });
    row("table after a change", |node, _| {
        black_box(node.replica().table());
    });
    row("tick", |node, number| {
        black_box(node.tick(time(number)));
    });
    row("question of a peer", |node, number| {
        let question = Question {
            cookies: vec![cookie(number).bits()],
        };
        let peer = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 7_000);
        black_box(node.datagram(time(number), peer, PeerDatagram::Question(question)));
    });
    row("doubt and its probe", |node, number| {
        node.doubt(time(number), &[cookie(number)]);
        black_box(node.next_probe(time(number), &[]));
    });
    print!("{:<32}", "bytes of a snapshot");
    for size in SIZES {
        let snapshot = node(size).replica().snapshot(time(1));
        let bytes = encode_snapshot(&snapshot, &PeerKey::default()).unwrap();
        print!("{:>10}", bytes.len());
    }
    println!();
    row("snapshot for a new node", |node, number| {
        let snapshot = node.replica().snapshot(time(number));
        black_box(encode_snapshot(&snapshot, &PeerKey::default()).unwrap());
    });
}

fn row(what: &str, event: impl Fn(&mut Coordinator, u32)) {
    print!("{what:<32}");
    for size in SIZES {
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

/// A node that knows so many instances, four fifths of them of one service.
fn node(instances: u32) -> Coordinator {
    let own_address = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 0), 7_000);
    let exchange = Exchange::new(ExchangeSettings::default(), own_address, Vec::new(), 1);
    let mut node = Coordinator::new(Replica::new(Duration::from_secs(70)), exchange);
    let items = (0..instances).map(|number| record(number, u64::from(number)));
    let list = Update::Whole {
        at: Revision::new(LISTED),
        items: items.collect(),
    };
    node.instances(time(0), list);
    let configuration = Update::Whole {
        at: Revision::new(LISTED),
        items: vec![configuration()],
    };
    node.configurations(time(0), configuration);
    node
}

fn configuration() -> Configuration {
    let services = ["till", "listings"].map(|service| WeightedService {
        service: service.to_owned(),
        weight: 1,
    });
    Configuration {
        revision: Revision::new(LISTED),
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

/// A tenth of a second an event, after the start of a daemon's clock.
fn time(number: u32) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + u64::from(number) * 100_000)
}
