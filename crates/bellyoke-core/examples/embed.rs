//! Embeds the coordination library: compiles a configuration and decides packets with it.
//!
//! Run with `cargo run -p bellyoke-core --example embed`.

use bellyoke_core::flow::{Decider, Decision, FlowSettings, LeaseState};
use bellyoke_core::generation::{
    BackendObject, ClusterParameters, DesiredState, Forwarding, Labels, MemberObject, ObjectUid,
    Placement, RefusalStyle, Selector, ServiceObject, WeightedSelector, Zone, compile,
};
use bellyoke_core::identity::NodeId;
use bellyoke_core::packet::{FlowKey, PacketKind, PacketSummary, TcpFlags, Transport};
use bellyoke_core::time::Timestamp;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

const SERVICE: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 10);
const CLIENT: Ipv4Addr = Ipv4Addr::new(203, 0, 113, 1);
const FLOW_COUNT: u16 = 3000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let desired = DesiredState {
        services: vec![service()],
        backends: (1..=3).map(backend).collect(),
        ..DesiredState::default()
    };
    let members = [MemberObject {
        node: NodeId(1),
        zone: Zone("cork".to_owned()),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7301)),
    }];
    let parameters = ClusterParameters {
        flow_hash_seed: 1,
        groups: 16,
    };
    let generation = compile(None, &desired, &members, &[], parameters)?.generation;
    let forwarding = Forwarding::from_generation(&generation);

    let mut decider = Decider::new(&FlowSettings::default());
    let mut flows_by_backend = BTreeMap::new();
    for port in 1024..1024 + FLOW_COUNT {
        let decision = decider.decide(
            Timestamp::ZERO,
            &forwarding,
            LeaseState::Valid,
            &opening_packet(port),
        );
        if let Decision::Forward(backend) = decision {
            *flows_by_backend.entry(backend).or_insert(0) += 1;
        }
    }
    for (backend, flows) in flows_by_backend {
        println!("backend {backend}: {flows} flows");
    }
    Ok(())
}

fn service() -> ServiceObject {
    let selector = Selector {
        match_labels: Labels::from([("app".to_owned(), "till".to_owned())]),
        match_expressions: Vec::new(),
    };
    ServiceObject {
        uid: ObjectUid("service-1".to_owned()),
        name: "till".to_owned(),
        address: SERVICE.into(),
        port: 80,
        transport: Transport::Tcp,
        selectors: vec![WeightedSelector {
            selector,
            weight: 100,
        }],
        placement: Placement::Hashed,
        refusal: RefusalStyle::Http,
        idle_timeout_seconds: 300,
        buckets: 1024,
    }
}

fn backend(number: u16) -> BackendObject {
    BackendObject {
        uid: ObjectUid(format!("backend-{number}")),
        name: format!("till-{number}"),
        labels: Labels::from([("app".to_owned(), "till".to_owned())]),
        tunnel: SocketAddr::from(([127, 0, 0, 1], 7400 + number)),
        zone: Zone("cork".to_owned()),
        weight: 100,
        drain: false,
    }
}

fn opening_packet(source_port: u16) -> PacketSummary {
    PacketSummary {
        key: FlowKey {
            transport: Transport::Tcp,
            source: CLIENT.into(),
            source_port,
            destination: SERVICE.into(),
            destination_port: 80,
        },
        kind: PacketKind::Tcp(TcpFlags {
            syn: true,
            ..TcpFlags::default()
        }),
        length: 60,
    }
}
