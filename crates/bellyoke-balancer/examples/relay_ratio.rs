//! Throughput of one traffic thread against a bare relay with the same batched system calls,
//! one after the other on loopback. Prints packets a second of each and their ratio.

use anyhow::Context;
use bellyoke_balancer::packet::{ReceiveBatch, SendBatch, bind_data_socket, storage};
use bellyoke_balancer::process::settings::{Settings, parse_settings};
use bellyoke_balancer::process::traffic::start_traffic;
use bellyoke_core::generation::{
    BackendForwarding, BackendState, BucketRoute, Forwarding, Placement, RefusalStyle,
    ServiceEndpoint, ServiceForwarding,
};
use bellyoke_core::identity::{BackendId, GenerationNumber, ServiceId};
use bellyoke_core::packet::{FlowHasher, Transport};
use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use etherparse::PacketBuilder;
use std::collections::HashMap;
use std::io::IoSlice;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const SERVICE: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 10);
const BATCH: usize = 64;
const FLOWS: u16 = 1000;
const PAYLOAD: usize = 200;
const WARM_UP: Duration = Duration::from_millis(500);
const MEASURED: Duration = Duration::from_secs(2);
const BUFFER: usize = 8 << 20;

fn main() -> anyhow::Result<()> {
    let sink = Sink::start()?;
    let relay = measure_relay(&sink)?;
    let balancer = measure_balancer(&sink)?;
    println!("bare relay: {relay:.0} packets/s");
    println!("balancer:   {balancer:.0} packets/s");
    println!("ratio:      {:.3}", balancer / relay);
    Ok(())
}

/// Where relayed packets arrive and are counted.
struct Sink {
    address: SocketAddr,
    received: Arc<AtomicU64>,
}

impl Sink {
    fn start() -> anyhow::Result<Self> {
        let socket = bind_data_socket(loopback(0), BUFFER)?;
        socket.set_nonblocking(false)?;
        let address = socket.local_addr()?;
        let received = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&received);
        spawn(move || {
            let mut batch = ReceiveBatch::new(BATCH, 2048);
            loop {
                match batch.receive(&socket) {
                    Ok(0) => std::thread::yield_now(),
                    Ok(count) => {
                        counter.fetch_add(count as u64, Ordering::Relaxed);
                    }
                    Err(_) => return,
                }
            }
        });
        Ok(Self { address, received })
    }

    /// Packets a second that arrive while a sender offers more than can pass.
    fn rate(&self, target: SocketAddr) -> anyhow::Result<f64> {
        let stop = Arc::new(AtomicBool::new(false));
        let sender = start_sender(target, Arc::clone(&stop))?;
        sleep(WARM_UP);
        let before = self.received.load(Ordering::Relaxed);
        let start = Instant::now();
        sleep(MEASURED);
        let passed = self.received.load(Ordering::Relaxed) - before;
        let rate = passed as f64 / start.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        sender
            .join()
            .map_err(|_| anyhow::anyhow!("the sender failed"))?;
        Ok(rate)
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Segments of many established flows.
fn packets() -> Vec<Vec<u8>> {
    let segment = |port: u16| {
        let builder = PacketBuilder::ipv4([198, 51, 100, 7], SERVICE.octets(), 64)
            .tcp(10_000 + port, 80, 1, 4096)
            .ack(1);
        let mut packet = Vec::new();
        builder.write(&mut packet, &[0; PAYLOAD]).map(|()| packet)
    };
    (0..FLOWS).filter_map(|port| segment(port).ok()).collect()
}

fn start_sender(
    target: SocketAddr,
    stop: Arc<AtomicBool>,
) -> anyhow::Result<std::thread::JoinHandle<()>> {
    let socket = bind_data_socket(loopback(0), BUFFER)?;
    Ok(spawn(move || {
        let packets = packets();
        let slices: Vec<_> = packets
            .iter()
            .map(|packet| [IoSlice::new(packet)])
            .collect();
        let addresses = vec![Some(storage(target)); slices.len()];
        let mut batch = SendBatch::new(BATCH);
        while !stop.load(Ordering::Relaxed) {
            batch.send(&socket, &slices, &addresses);
        }
    }))
}

fn measure_relay(sink: &Sink) -> anyhow::Result<f64> {
    let socket = bind_data_socket(loopback(0), BUFFER)?;
    let address = socket.local_addr()?;
    let stop = Arc::new(AtomicBool::new(false));
    let asked = Arc::clone(&stop);
    let target = sink.address;
    let relay = spawn(move || relay(&socket, target, &asked));
    let rate = sink.rate(address);
    stop.store(true, Ordering::Relaxed);
    relay
        .join()
        .map_err(|_| anyhow::anyhow!("the relay failed"))?;
    rate
}

fn relay(socket: &UdpSocket, target: SocketAddr, stop: &AtomicBool) {
    let mut receive = ReceiveBatch::new(BATCH, 9216);
    let mut send = SendBatch::new(BATCH);
    let addresses = vec![Some(storage(target)); BATCH];
    while !stop.load(Ordering::Relaxed) {
        let Ok(count) = receive.receive(socket) else {
            return;
        };
        let slices: Vec<_> = (0..count)
            .map(|index| [IoSlice::new(receive.datagram(index))])
            .collect();
        send.send(socket, &slices, &addresses[..count]);
    }
}

fn measure_balancer(sink: &Sink) -> anyhow::Result<f64> {
    let address = bind_data_socket(loopback(0), BUFFER)?.local_addr()?;
    let settings = settings(address)?;
    let mut traffic = start_traffic(&settings, MonotonicClock::start())?;
    traffic.shared.publish(Arc::new(forwarding(sink.address)));
    traffic.shared.set_lease(Timestamp::from_micros(u64::MAX));
    let rate = sink.rate(address);
    traffic.stop()?;
    rate
}

fn settings(address: SocketAddr) -> anyhow::Result<Settings> {
    let text = format!(
        r#"
        [node]
        zone = "z"
        data_address = "{address}"
        peer_address = "127.0.0.2:7002"
        api_address = "127.0.0.2:7003"
        [cluster]
        peers = ["127.0.0.3:7002"]
        key_files = ["unused"]
        [fabric]
        address = "127.0.0.2:7004"
        [traffic]
        threads = 1
        batch = {BATCH}
        "#
    );
    parse_settings(&text, &[]).context("settings of the benchmark")
}

fn forwarding(tunnel: SocketAddr) -> Forwarding {
    let backend = BackendId(1);
    let service = ServiceId(1);
    let endpoint = ServiceEndpoint {
        transport: Transport::Tcp,
        address: IpAddr::V4(SERVICE),
        port: 80,
    };
    let routes = ServiceForwarding {
        id: service,
        placement: Placement::Hashed,
        refusal: RefusalStyle::Http,
        idle_timeout: Duration::from_secs(60),
        routes: vec![BucketRoute::Clean(backend); 251],
    };
    let target = BackendForwarding {
        tunnel,
        state: BackendState::Active,
        service: Some(service),
    };
    Forwarding {
        revision: bellyoke_core::generation::StoreRevision::default(),
        generation: GenerationNumber(1),
        hasher: FlowHasher::new(7),
        services: HashMap::from([(endpoint, routes)]),
        backends: HashMap::from([(backend, target)]),
    }
}
