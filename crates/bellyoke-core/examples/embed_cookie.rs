//! Embeds forwarding by cookie: an opening is placed, and later packets of its flow follow it after
//! all instances were replaced. `cargo run -p bellyoke-core --example embed_cookie`

use bellyoke_core::cookie::forwarder::{Decision, Forwarder};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{InstanceId, InstanceRecord, InstanceState};
use bellyoke_core::cookie::packet::{Destination, FlowPacket, FlowTuple, PacketRole};
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::route::{Configuration, RequestPolicy, Route, WeightedService};
use bellyoke_core::time::Timestamp;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 443);
const CLIENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(203, 0, 113, 9), 40_001);

fn instance(id: u64) -> InstanceRecord {
    let last = u8::try_from(id).unwrap_or_default();
    InstanceRecord {
        id: InstanceId(id),
        revision: Revision::new(1),
        service: "till".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 8_080),
        zone: "cork".to_owned(),
        state: InstanceState::Ready,
        cold_remaining_milliseconds: 0,
        created: None,
        slots: 2,
        started: None,
    }
}

fn main() {
    // Routes and instances as the host has read them from its store or received them from a peer.
    let now = Timestamp::from_micros(1_000_000);
    let mut replica = Replica::new(Duration::from_secs(70));
    replica.adopt_configuration(Configuration {
        revision: Revision::new(1),
        version: 1,
        routes: vec![Route {
            address: SERVICE,
            services: vec![WeightedService {
                service: "till".to_owned(),
                weight: 1,
            }],
            request_policy: RequestPolicy::default(),
        }],
        limits: Vec::new(),
        idle_timeout_milliseconds: 15_000,
    });
    replica.replace_instances(now, Revision::new(2), vec![instance(1), instance(2)]);

    // A client opens a flow: the host writes the cookie into the packet and forwards it.
    let mut forwarder = Forwarder::new(HealthSettings::default());
    let mut packet = FlowPacket {
        flow: FlowTuple {
            client: CLIENT,
            service: SERVICE,
        },
        role: PacketRole::Opening { attempt: 0 },
        cookie: None,
        data_sequence: None,
        data_length: 0,
        closes: false,
        acknowledged: 0,
    };
    let placed = destination(forwarder.decide(now, &replica.table(), &packet, false));
    println!(
        "placed at instance {} ({})",
        placed.instance, placed.address
    );

    // All instances are replaced; the flow's packets still carry the cookie.
    replica.replace_instances(now, Revision::new(3), vec![instance(3)]);
    packet.role = PacketRole::Later;
    packet.cookie = Some(placed.cookie);
    let followed = destination(forwarder.decide(now, &replica.table(), &packet, false));
    println!("follows to instance {}", followed.instance);
    assert_eq!(placed, followed);
}

fn destination(decision: Decision) -> Destination {
    match decision {
        Decision::Place { destination, .. } | Decision::Follow { destination, .. } => destination,
        Decision::Refuse(reason) => panic!("refused: {reason:?}"),
        Decision::Reset(reason) => panic!("ended: {reason:?}"),
        Decision::Drop(reason) => panic!("dropped: {reason:?}"),
    }
}
