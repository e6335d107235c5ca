//! Traffic threads with real sockets on loopback. Waits are for events; the limit only ends a
//! test that has failed.

use bellyoke_balancer::process::settings::parse_settings;
use bellyoke_balancer::process::traffic::{
    TrafficCounter, TrafficThreads, WorkerReport, start_traffic,
};
use bellyoke_core::generation::{
    BackendForwarding, BackendState, BucketRoute, Forwarding, Placement, RefusalStyle,
    ServiceEndpoint, ServiceForwarding,
};
use bellyoke_core::identity::{BackendId, GenerationNumber, ServiceId};
use bellyoke_core::packet::{FlowHasher, PacketKind, ParseOptions, Transport, parse};
use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use etherparse::PacketBuilder;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Builder;
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

const SERVICE: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 10);
const LIMIT: Duration = Duration::from_secs(20);
const FOREVER: Timestamp = Timestamp::from_micros(u64::MAX);

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    socket.set_read_timeout(Some(LIMIT)).unwrap();
    socket
}

fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = [0; 2048];
    let length = socket.recv(&mut buffer).unwrap();
    buffer[..length].to_vec()
}

/// Waits for an event of a traffic thread.
fn next<T>(events: &mut Receiver<T>) -> T {
    let runtime = Builder::new_current_thread().enable_time().build().unwrap();
    let event = runtime.block_on(async { timeout(LIMIT, events.recv()).await });
    event.expect("no event within the limit").unwrap()
}

struct Bench {
    traffic: TrafficThreads,
    data: SocketAddr,
    fabric: UdpSocket,
    backend: UdpSocket,
    seen: Cell<u64>,
}

impl Bench {
    /// Three traffic threads that forward by `route`.
    fn start(route: BucketRoute, state: BackendState) -> Self {
        let (fabric, backend) = (socket(), socket());
        let data = socket().local_addr().unwrap();
        let text = format!(
            r#"
            [node]
            zone = "z"
            data_address = "{data}"
            peer_address = "127.0.0.2:7002"
            api_address = "127.0.0.2:7003"
            [cluster]
            peers = ["127.0.0.3:7002"]
            key_files = ["unused"]
            [fabric]
            address = "{}"
            [traffic]
            threads = 3
            "#,
            fabric.local_addr().unwrap()
        );
        let settings = parse_settings(&text, &[]).unwrap();
        let traffic = start_traffic(&settings, MonotonicClock::start()).unwrap();
        let forwarding = forwarding(route, state, backend.local_addr().unwrap());
        traffic.shared.publish(Arc::new(forwarding));
        let mut bench = Self {
            traffic,
            data,
            fabric,
            backend,
            seen: Cell::new(0),
        };
        bench.wait_for_adoption();
        bench
    }

    fn wait_for_adoption(&mut self) {
        let mut adopted = 0;
        while adopted < 3 {
            let report = next(&mut self.traffic.reports);
            adopted += usize::from(matches!(report, WorkerReport::Adopted { .. }));
        }
    }

    /// Waits until the threads have counted one more.
    fn wait_for_count(&self, counter: TrafficCounter) {
        let counters = &self.traffic.shared.counters;
        let count = || {
            counters
                .iter()
                .map(|worker| worker.get(counter))
                .sum::<u64>()
        };
        let wanted = self.seen.get() + 1;
        let start = Instant::now();
        while count() < wanted {
            assert!(start.elapsed() < LIMIT, "not counted within the limit");
            std::thread::yield_now();
        }
        self.seen.set(wanted);
    }

    fn send(&self, packet: &[u8]) {
        self.fabric.send_to(packet, self.data).unwrap();
    }
}

fn forwarding(route: BucketRoute, state: BackendState, tunnel: SocketAddr) -> Forwarding {
    let endpoint = ServiceEndpoint {
        transport: Transport::Tcp,
        address: IpAddr::V4(SERVICE),
        port: 80,
    };
    let service = ServiceForwarding {
        id: ServiceId(1),
        placement: Placement::Hashed,
        refusal: RefusalStyle::Http,
        idle_timeout: Duration::from_secs(60),
        routes: vec![route; 7],
    };
    let backend = BackendForwarding {
        tunnel,
        state,
        service: Some(ServiceId(1)),
    };
    Forwarding {
        generation: GenerationNumber(1),
        services: HashMap::from([(endpoint, service)]),
        backends: HashMap::from([(BackendId(1), backend)]),
        hasher: FlowHasher::new(7),
        ..Forwarding::empty()
    }
}

fn segment(port: u16, syn: bool) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([198, 51, 100, 7], SERVICE.octets(), 64);
    let builder = builder.tcp(port, 80, 1, 4096);
    let builder = if syn { builder.syn() } else { builder.ack(1) };
    let mut packet = Vec::new();
    builder.write(&mut packet, b"").unwrap();
    packet
}

#[test]
fn every_flow_reaches_its_backend_unchanged_whichever_thread_gets_it() {
    let bench = Bench::start(BucketRoute::Clean(BackendId(1)), BackendState::Active);
    bench.traffic.shared.set_lease(FOREVER);
    for port in 1000..1050 {
        let packet = segment(port, true);
        bench.send(&packet);
        assert_eq!(receive(&bench.backend), packet);
    }
}

#[test]
fn without_a_lease_known_flows_pass_and_unknown_ones_do_not() {
    let bench = Bench::start(BucketRoute::Clean(BackendId(1)), BackendState::Active);
    bench.traffic.shared.set_lease(FOREVER);
    let opening = segment(1000, true);
    bench.send(&opening);
    assert_eq!(receive(&bench.backend), opening);
    bench.traffic.shared.set_lease(Timestamp::ZERO);
    for unknown in [segment(2000, true), segment(2000, false)] {
        bench.send(&unknown);
        bench.wait_for_count(TrafficCounter::DroppedFenced);
    }
    let known = segment(1000, false);
    bench.send(&known);
    assert_eq!(receive(&bench.backend), known);
}

#[test]
fn a_flow_on_a_dead_backend_is_reset_through_the_fabric() {
    let bench = Bench::start(BucketRoute::Clean(BackendId(1)), BackendState::Dead);
    bench.traffic.shared.set_lease(FOREVER);
    bench.send(&segment(1000, false));
    let reply = parse(&receive(&bench.fabric), &ParseOptions::default()).unwrap();
    assert!(matches!(reply.kind, PacketKind::Tcp(flags) if flags.rst));
    assert_eq!(reply.key.destination_port, 1000);
}

#[test]
fn a_packet_of_a_contested_bucket_goes_to_the_control_thread() {
    let route = BucketRoute::Contested {
        target: Some(BackendId(1)),
    };
    let mut bench = Bench::start(route, BackendState::Active);
    bench.traffic.shared.set_lease(FOREVER);
    let packet = segment(1000, true);
    bench.send(&packet);
    let queued = next(&mut bench.traffic.escalations);
    assert_eq!(queued.packet.packet, packet);
}

#[test]
fn threads_end_when_they_are_asked_to() {
    let mut bench = Bench::start(BucketRoute::Clean(BackendId(1)), BackendState::Active);
    assert!(!bench.traffic.has_failed());
    bench.traffic.stop().unwrap();
}
