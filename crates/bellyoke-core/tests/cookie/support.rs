//! Records and packets for tests.

use bellyoke_core::cookie::instance::{Cookie, InstanceId, InstanceRecord, InstanceState};
use bellyoke_core::cookie::packet::{FlowPacket, FlowTuple, PacketRole};
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::route::{Configuration, RequestPolicy, Route, WeightedService};
use bellyoke_core::time::Timestamp;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

pub const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(70);
pub const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 443);

pub fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

pub fn record(id: u64, revision: u64) -> InstanceRecord {
    let low = u16::try_from(id % 60_000).unwrap();
    InstanceRecord {
        id: InstanceId(id),
        revision: Revision::new(revision),
        service: "till".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 2_000 + low),
        zone: "cork".to_owned(),
        state: InstanceState::Ready,
        cold_remaining_milliseconds: 0,
        created: Some(Revision::new(revision)),
        slots: 2,
        started: None,
    }
}

pub fn draining(id: u64, revision: u64) -> InstanceRecord {
    InstanceRecord {
        state: InstanceState::Draining,
        ..record(id, revision)
    }
}

pub fn of_service(service: &str, record: InstanceRecord) -> InstanceRecord {
    InstanceRecord {
        service: service.to_owned(),
        ..record
    }
}

pub fn configuration(revision: u64, services: &[(&str, u32)]) -> Configuration {
    let services = services.iter().map(|(service, weight)| WeightedService {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Configuration {
        revision: Revision::new(revision),
        version: revision,
        routes: vec![Route {
            address: SERVICE,
            services: services.collect(),
            request_policy: RequestPolicy::default(),
        }],
        limits: Vec::new(),
        idle_timeout_milliseconds: 15_000,
    }
}

/// Creates the state of a node with one route to the service `till` and these instances, as of
/// revision 10.
pub fn node(records: Vec<InstanceRecord>) -> Replica {
    let mut replica = Replica::new(TOMBSTONE_LIFETIME);
    replica.adopt_configuration(configuration(1, &[("till", 1)]));
    replica.replace_instances(at(0), Revision::new(10), records);
    replica
}

pub fn flow(number: u32) -> FlowTuple {
    let port = u16::try_from(1_024 + number % 60_000).unwrap();
    FlowTuple {
        client: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number / 60_000), port),
        service: SERVICE,
    }
}

pub fn opening(number: u32, attempt: u32) -> FlowPacket {
    FlowPacket {
        flow: flow(number),
        role: PacketRole::Opening { attempt },
        cookie: None,
        data_sequence: None,
        data_length: 0,
        closes: false,
        acknowledged: 0,
    }
}

pub fn later(number: u32, cookie: Cookie) -> FlowPacket {
    FlowPacket {
        flow: flow(number),
        role: PacketRole::Later,
        cookie: Some(cookie),
        data_sequence: None,
        data_length: 0,
        closes: false,
        acknowledged: 0,
    }
}
