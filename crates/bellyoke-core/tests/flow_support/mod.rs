//! Packets and generations for tests of flows and packets.
#![allow(
    dead_code,
    reason = "each test program uses a part of the shared helpers"
)]

use bellyoke_core::flow::{Decider, Decision, FlowPlace, FlowSettings, LeaseState};
use bellyoke_core::generation::{
    BackendForwarding, BackendState, BucketRoute, Forwarding, Placement, RefusalStyle,
    ServiceEndpoint, ServiceForwarding, StoreRevision,
};
use bellyoke_core::identity::{BackendId, GenerationNumber, ServiceId};
use bellyoke_core::packet::{
    FlowHasher, FlowKey, PacketKind, PacketSummary, ParseOptions, TcpFlags, Transport, parse,
};
use bellyoke_core::time::Timestamp;
use etherparse::{Icmpv4Type, Icmpv6Type, PacketBuilder};
use proptest::test_runner::{Config, RngSeed};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Duration;

/// Address of the callers.
pub const CALLER: Ipv4Addr = Ipv4Addr::new(198, 51, 100, 7);
/// Address of the services.
pub const SERVICE: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 1);
/// Address of the callers over IPv6.
pub const CALLER_V6: Ipv6Addr = Ipv6Addr::new(0x2001, 0xdb8, 0, 0, 0, 0, 0, 7);
/// Address of the services over IPv6.
pub const SERVICE_V6: Ipv6Addr = Ipv6Addr::new(0x2001, 0xdb8, 1, 0, 0, 0, 0, 1);
/// Port of the TCP service.
pub const TCP_PORT: u16 = 443;
/// Port of the UDP service.
pub const UDP_PORT: u16 = 53;
/// The TCP service.
pub const TCP_SERVICE: ServiceId = ServiceId(1);
/// The UDP service.
pub const UDP_SERVICE: ServiceId = ServiceId(2);
/// Backends 1 and 2 serve the TCP service, 3 and 4 the UDP service.
pub const FIRST: BackendId = BackendId(1);
pub const SECOND: BackendId = BackendId(2);
pub const UDP_FIRST: BackendId = BackendId(3);
pub const UDP_SECOND: BackendId = BackendId(4);

/// Decisions to forward to a backend.
pub const TO_FIRST: Decision = Decision::Forward(FIRST);
pub const TO_SECOND: Decision = Decision::Forward(SECOND);
pub const TO_UDP_FIRST: Decision = Decision::Forward(UDP_FIRST);

/// Idle timeout of both services.
pub const IDLE: Duration = Duration::from_secs(60);

pub const SYN: TcpFlags = TcpFlags {
    syn: true,
    ack: false,
    fin: false,
    rst: false,
};
pub const ACK: TcpFlags = TcpFlags {
    syn: false,
    ack: true,
    fin: false,
    rst: false,
};
pub const FIN: TcpFlags = TcpFlags {
    syn: false,
    ack: true,
    fin: true,
    rst: false,
};

/// Returns a TCP segment over IPv4.
pub fn tcp_v4(port: u16, flags: TcpFlags, payload: &[u8]) -> Vec<u8> {
    let ip = PacketBuilder::ipv4(CALLER.octets(), SERVICE.octets(), 64);
    write_tcp(ip.tcp(port, TCP_PORT, 1000, 4096), flags, payload)
}

/// Returns a TCP segment over IPv6.
pub fn tcp_v6(port: u16, flags: TcpFlags, payload: &[u8]) -> Vec<u8> {
    let ip = PacketBuilder::ipv6(CALLER_V6.octets(), SERVICE_V6.octets(), 64);
    write_tcp(ip.tcp(port, TCP_PORT, 1000, 4096), flags, payload)
}

fn write_tcp(
    mut tcp: etherparse::PacketBuilderStep<etherparse::TcpHeader>,
    flags: TcpFlags,
    payload: &[u8],
) -> Vec<u8> {
    if flags.syn {
        tcp = tcp.syn();
    }
    if flags.ack {
        tcp = tcp.ack(5000);
    }
    if flags.fin {
        tcp = tcp.fin();
    }
    if flags.rst {
        tcp = tcp.rst();
    }
    let mut packet = Vec::new();
    tcp.write(&mut packet, payload).unwrap();
    packet
}

/// Returns a UDP datagram over IPv4.
pub fn udp_v4(port: u16, payload: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4(CALLER.octets(), SERVICE.octets(), 64).udp(port, UDP_PORT);
    let mut packet = Vec::new();
    builder.write(&mut packet, payload).unwrap();
    packet
}

/// Returns a UDP datagram over IPv6.
pub fn udp_v6(port: u16, payload: &[u8]) -> Vec<u8> {
    let ip = PacketBuilder::ipv6(CALLER_V6.octets(), SERVICE_V6.octets(), 64);
    let mut packet = Vec::new();
    ip.udp(port, UDP_PORT).write(&mut packet, payload).unwrap();
    packet
}

/// Returns an ICMP message from a router.
pub fn write_icmpv4(to: [u8; 4], message: Icmpv4Type, quote: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([203, 0, 113, 9], to, 64).icmpv4(message);
    let mut packet = Vec::new();
    builder.write(&mut packet, quote).unwrap();
    packet
}

/// Returns an ICMPv6 message from a router to the service.
pub fn write_icmpv6(message: Icmpv6Type, quote: &[u8]) -> Vec<u8> {
    let router = "2001:db8:2::9".parse::<std::net::Ipv6Addr>().unwrap();
    let builder = PacketBuilder::ipv6(router.octets(), SERVICE_V6.octets(), 64).icmpv6(message);
    let mut packet = Vec::new();
    builder.write(&mut packet, quote).unwrap();
    packet
}

/// Returns a TCP segment from a backend, with the address of the service, to `port` of the
/// caller.
pub fn answer_v4(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv4(SERVICE.octets(), CALLER.octets(), 64);
    let mut packet = Vec::new();
    let tcp = builder.tcp(TCP_PORT, port, 1, 1).ack(2);
    tcp.write(&mut packet, &[0; 600]).unwrap();
    packet
}

/// Returns a UDP datagram over IPv6 from a backend to `port` of the caller.
pub fn answer_v6(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv6(SERVICE_V6.octets(), CALLER_V6.octets(), 64);
    let mut packet = Vec::new();
    let udp = builder.udp(UDP_PORT, port);
    udp.write(&mut packet, &[0; 600]).unwrap();
    packet
}

/// Parses a packet that must be valid.
pub fn read(packet: &[u8]) -> PacketSummary {
    parse(packet, &ParseOptions::default()).unwrap()
}

/// Returns the summary of a TCP segment from `port`.
pub fn tcp(port: u16, flags: TcpFlags) -> PacketSummary {
    PacketSummary {
        key: key(Transport::Tcp, port, TCP_PORT),
        kind: PacketKind::Tcp(flags),
        length: 40,
    }
}

/// Returns the summary of a UDP datagram from `port`.
pub fn udp(port: u16) -> PacketSummary {
    PacketSummary {
        key: key(Transport::Udp, port, UDP_PORT),
        kind: PacketKind::Udp,
        length: 40,
    }
}

/// Returns the key of a flow from the caller to the address of the services.
pub fn key(transport: Transport, port: u16, service_port: u16) -> FlowKey {
    FlowKey {
        transport,
        source: IpAddr::V4(CALLER),
        source_port: port,
        destination: IpAddr::V4(SERVICE),
        destination_port: service_port,
    }
}

/// Returns a generation with both services and one bucket each.
pub fn forwarding(generation: u64, tcp: BucketRoute, udp: BucketRoute) -> Forwarding {
    let services = [
        (Transport::Tcp, TCP_PORT, TCP_SERVICE, tcp),
        (Transport::Udp, UDP_PORT, UDP_SERVICE, udp),
    ];
    Forwarding {
        generation: GenerationNumber(generation),
        revision: StoreRevision::default(),
        hasher: FlowHasher::new(7),
        services: services.into_iter().map(service).collect(),
        backends: backends(),
    }
}

/// Returns a generation in which both buckets are clean and mapped to the first backends.
pub fn clean(generation: u64) -> Forwarding {
    forwarding(
        generation,
        BucketRoute::Clean(FIRST),
        BucketRoute::Clean(UDP_FIRST),
    )
}

/// Returns a generation in which both buckets are contested and move to the second backends.
pub fn contested(generation: u64) -> Forwarding {
    let to = |backend| BucketRoute::Contested {
        target: Some(backend),
    };
    forwarding(generation, to(SECOND), to(UDP_SECOND))
}

fn service(
    (transport, port, id, route): (Transport, u16, ServiceId, BucketRoute),
) -> (ServiceEndpoint, ServiceForwarding) {
    let endpoint = ServiceEndpoint {
        transport,
        address: IpAddr::V4(SERVICE),
        port,
    };
    let forwarding = ServiceForwarding {
        id,
        placement: Placement::Hashed,
        refusal: RefusalStyle::Http,
        idle_timeout: IDLE,
        routes: vec![route],
    };
    (endpoint, forwarding)
}

fn backends() -> HashMap<BackendId, BackendForwarding> {
    let served = [
        (FIRST, TCP_SERVICE),
        (SECOND, TCP_SERVICE),
        (UDP_FIRST, UDP_SERVICE),
        (UDP_SECOND, UDP_SERVICE),
    ];
    let backends = served.into_iter().map(|(id, service)| {
        let backend = BackendForwarding {
            tunnel: ([127, 0, 0, 1], 1).into(),
            state: BackendState::Active,
            service: Some(service),
        };
        (id, backend)
    });
    backends.collect()
}

/// Marks a backend dead.
pub fn kill(forwarding: &mut Forwarding, backend: BackendId) {
    forwarding.backends.get_mut(&backend).unwrap().state = BackendState::Dead;
}

/// Returns settings for a flow table of `capacity` flows.
pub fn settings(capacity: u32) -> FlowSettings {
    FlowSettings {
        capacity,
        half_open_timeout: Duration::from_secs(10),
        closing_timeout: Duration::from_secs(10),
        delay_horizon: Duration::from_secs(3),
    }
}

/// Returns the timestamp `seconds` after the start of the clock.
pub fn second(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

/// Returns the position of a packet's flow in the lookup tables of `forwarding`.
pub fn place(forwarding: &Forwarding, packet: &PacketSummary) -> FlowPlace {
    let endpoint = ServiceEndpoint {
        transport: packet.key.transport,
        address: packet.key.destination,
        port: packet.key.destination_port,
    };
    let service = &forwarding.services[&endpoint];
    let hash = forwarding.hasher.hash(&packet.key);
    FlowPlace {
        service: service.id,
        bucket: service.bucket(hash),
        hash,
    }
}

/// Decides about a packet with a valid lease.
pub fn decide(
    decider: &mut Decider,
    at: u64,
    forwarding: &Forwarding,
    packet: &PacketSummary,
) -> Decision {
    decider.decide(second(at), forwarding, LeaseState::Valid, packet)
}

/// Returns a proptest configuration with a fixed seed and `cases` cases.
pub fn seeded(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    }
}
