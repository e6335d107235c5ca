//! One traffic thread: reads client packets and does what the forwarder decides.

use super::counters::PacketOutcome;
use crate::process::shared::Shared;
use bellyoke_api::event_code::EventCode;
use bellyoke_core::cookie::forwarder::{Decision, Forwarder};
use bellyoke_core::cookie::health::{HealthChange, HealthSettings};
use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::packet::{Destination, FlowPacket, PacketCodec};
use bellyoke_core::cookie::placement::Suitability;
use bellyoke_core::cookie::stall::BacklogGuard;
use bellyoke_core::cookie::table::ForwardingTable;
use bellyoke_core::time::Timestamp;
use bellyoke_process::log::{LogLimiter, log_event};
use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, recv};
use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest packet that is read, bytes.
const MAXIMUM_PACKET_LENGTH: usize = 2_048;

/// Stack of a traffic thread, bytes.
const STACK_LENGTH: usize = 256 * 1024;

/// Time between two reviews of the openings under way.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Lines of one event in one second.
const LOG_ALLOWANCE: u32 = 200;

/// Starts a thread that forwards what comes in at `socket`.
///
/// # Errors
///
/// If the system has no thread left.
pub fn start_traffic_thread<Codec: PacketCodec>(
    name: String,
    socket: UdpSocket,
    codec: Codec,
    shared: Arc<Shared>,
) -> io::Result<JoinHandle<()>> {
    let builder = std::thread::Builder::new();
    let builder = builder.name(name).stack_size(STACK_LENGTH);
    builder.spawn(move || TrafficThread::new(socket, codec, shared).run())
}

struct TrafficThread<Codec> {
    socket: UdpSocket,
    codec: Codec,
    shared: Arc<Shared>,
    forwarder: Forwarder,
    guard: BacklogGuard,
    limiter: LogLimiter,
    next_review: Timestamp,
    /// The port that clients are answered at.
    client_port: u16,
}

impl<Codec: PacketCodec> TrafficThread<Codec> {
    fn new(socket: UdpSocket, codec: Codec, shared: Arc<Shared>) -> Self {
        let client_port = socket.local_addr().map_or(0, |address| address.port());
        Self {
            socket,
            codec,
            shared,
            forwarder: Forwarder::new(HealthSettings::default()),
            guard: BacklogGuard::default(),
            limiter: LogLimiter::with_allowance(Duration::from_secs(1), LOG_ALLOWANCE),
            next_review: Timestamp::ZERO,
            client_port,
        }
    }

    fn run(mut self) {
        let mut buffer = vec![0; Codec::ENCAPSULATION_LENGTH + MAXIMUM_PACKET_LENGTH];
        let mut drain = false;
        loop {
            // While packets may be old, the socket is read without waiting until it is empty.
            let flags = if drain {
                MsgFlags::MSG_DONTWAIT
            } else {
                MsgFlags::empty()
            };
            let packet = &mut buffer[Codec::ENCAPSULATION_LENGTH..];
            match recv(self.socket.as_raw_fd(), packet, flags) {
                Ok(length) => {
                    let datagram = &mut buffer[..Codec::ENCAPSULATION_LENGTH + length];
                    drain = self.handle(datagram, drain);
                }
                Err(Errno::EAGAIN) => {
                    self.guard.emptied();
                    drain = false;
                }
                Err(Errno::EINTR | Errno::ECONNREFUSED) => {}
                Err(error) => {
                    log_event(EventCode::ThreadFailed, format_args!("receive: {error}"));
                    return;
                }
            }
        }
    }

    /// Handles one packet, which stands behind room for its encapsulation. Returns whether
    /// packets in the socket may be old.
    fn handle(&mut self, datagram: &mut [u8], was_draining: bool) -> bool {
        let now = self.shared.clock.now();
        let backlog = self.guard.packet(now, self.shared.ticks());
        if backlog && !was_draining {
            self.forwarder.stalled();
        }
        match self.codec.parse(&datagram[Codec::ENCAPSULATION_LENGTH..]) {
            Ok(packet) => self.forward(now, datagram, &packet, backlog),
            Err(_) => self.shared.packets.count(PacketOutcome::Malformed),
        }
        backlog
    }

    fn forward(&mut self, now: Timestamp, datagram: &mut [u8], packet: &FlowPacket, backlog: bool) {
        let shared = Arc::clone(&self.shared);
        let table = shared.table.load();
        let decision = self.forwarder.decide(now, &table, packet, backlog);
        let sent = match &decision {
            Decision::Place {
                destination,
                suitability,
            } => {
                self.log_placed(now, &table, packet, destination, *suitability);
                self.send_to_instance(datagram, destination)
            }
            Decision::Follow {
                destination,
                opened_after,
            } => {
                if let Some(after) = opened_after {
                    self.shared.packets.opened(*after);
                }
                self.send_to_instance(datagram, destination)
            }
            Decision::Refuse(_) => self.send_reset(datagram, packet),
            Decision::Drop(_) => Ok(()),
        };
        let outcome = PacketOutcome::from(&decision);
        self.shared.packets.count(outcome);
        match &decision {
            Decision::Refuse(_) => {
                self.log_flow(EventCode::FlowRefused, now, &table, packet, outcome);
            }
            Decision::Drop(_) => {
                self.log_flow(EventCode::PacketDropped, now, &table, packet, outcome);
            }
            Decision::Place { .. } | Decision::Follow { .. } => {}
        }
        if let Err(error) = sent {
            self.shared.packets.count(PacketOutcome::SendFailed);
            self.limiter
                .log(EventCode::PacketSendFailed, now, format_args!("{error}"));
        }
        self.review(now, &table);
    }

    fn send_to_instance(&self, datagram: &mut [u8], destination: &Destination) -> io::Result<()> {
        self.codec.encapsulate(datagram, destination);
        self.socket.send_to(datagram, destination.address)?;
        Ok(())
    }

    fn send_reset(&self, datagram: &[u8], packet: &FlowPacket) -> io::Result<()> {
        let reset = self.codec.reset(&datagram[Codec::ENCAPSULATION_LENGTH..]);
        let client = SocketAddrV4::new(*packet.flow.client.ip(), self.client_port);
        self.socket.send_to(&reset, client)?;
        Ok(())
    }

    fn review(&mut self, now: Timestamp, table: &ForwardingTable) {
        if now < self.next_review {
            return;
        }
        self.next_review = now.after(REVIEW_INTERVAL);
        let suspected = self.shared.peer_suspicions.load();
        self.forwarder.set_peer_suspicions(&suspected);
        self.log_health_changes(now, table);
        let failing: Vec<Cookie> = self.forwarder.failing_instances().collect();
        if **self.shared.failing.load() != failing {
            self.shared.failing.store(Arc::new(failing));
        }
    }

    fn log_health_changes(&mut self, now: Timestamp, table: &ForwardingTable) {
        for change in self.forwarder.review(now, table) {
            match change {
                HealthChange::Suspected { cookie, failures } => self.limiter.log(
                    EventCode::InstanceSuspected,
                    now,
                    format_args!("cookie={:08x} failures={failures}", cookie.bits()),
                ),
                HealthChange::Recovered { cookie } => self.limiter.log(
                    EventCode::InstanceRecovered,
                    now,
                    format_args!("cookie={:08x}", cookie.bits()),
                ),
            }
        }
    }

    fn log_placed(
        &mut self,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        destination: &Destination,
        suitability: Suitability,
    ) {
        self.limiter.log(
            EventCode::FlowPlaced,
            now,
            format_args!(
                "client={} service={} role={:?} instance={} at={} because={suitability:?} version={} instances_revision={}",
                packet.flow.client,
                packet.flow.service,
                packet.role,
                destination.instance,
                destination.address,
                table.configuration_version(),
                table.directory_revision(),
            ),
        );
    }

    fn log_flow(
        &mut self,
        event: EventCode,
        now: Timestamp,
        table: &ForwardingTable,
        packet: &FlowPacket,
        outcome: PacketOutcome,
    ) {
        let cookie = packet.cookie.map_or(0, |cookie| cookie.bits());
        self.limiter.log(
            event,
            now,
            format_args!(
                "client={} service={} role={:?} cookie={cookie:08x} outcome={} version={} instances_revision={}",
                packet.flow.client,
                packet.flow.service,
                packet.role,
                outcome.name(),
                table.configuration_version(),
                table.directory_revision(),
            ),
        );
    }
}
