//! The sorry server: tells callers of refused flows over HTTP that nothing was run.
//!
//! It has no socket and no clock. It takes IP packets of refused flows and returns the IP
//! packets of its answers; `smoltcp` is the TCP endpoint.

use super::device::PacketQueues;
use bellyoke_core::packet::{FlowKey, PacketKind, ParseOptions, parse};
use bellyoke_core::time::Timestamp;
use smoltcp::iface::{Config, Interface, PollResult, SocketHandle, SocketSet};
use smoltcp::socket::tcp;
use smoltcp::time::{Duration, Instant};
use smoltcp::wire::{
    HardwareAddress, IpAddress, IpCidr, IpListenEndpoint, Ipv4Address, Ipv6Address,
};
use std::collections::HashMap;

/// The whole answer (RFC 9110, 15.6.4 and 10.2.3).
pub const RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
Retry-After: 1\r\n\
Content-Type: text/plain\r\n\
Content-Length: 7\r\n\
Connection: close\r\n\
\r\n\
not run";

const RECEIVE_BUFFER: usize = 4096;
const SEND_BUFFER: usize = 512;

/// Silence after which a connection is given up.
const SILENCE: Duration = Duration::from_secs(5);

/// Longest life of a connection.
const LIFETIME: std::time::Duration = std::time::Duration::from_secs(20);

/// Most rounds of the interface for one packet; what is left is done at the next.
const MOST_ROUNDS: usize = 16;

/// Addresses of the interface's own, which only serve as its gateway to itself: with
/// `any_ip`, it takes packets to any address that a route leads to.
const OWN_IPV4: Ipv4Address = Ipv4Address::new(192, 0, 0, 8);
const OWN_IPV6: Ipv6Address = Ipv6Address::new(0x100, 0, 0, 0, 0, 0, 0, 8);

/// One refused flow.
struct Connection {
    socket: SocketHandle,
    opened_at: Timestamp,
    answered: bool,
}

/// A TCP endpoint for any address and port.
pub struct SorryServer {
    interface: Interface,
    device: PacketQueues,
    sockets: SocketSet<'static>,
    connections: HashMap<FlowKey, Connection>,
    capacity: usize,
    answered: u64,
    dropped: u64,
}

impl SorryServer {
    /// A server of at most `capacity` connections at once. `seed` makes its initial sequence
    /// numbers.
    #[must_use]
    pub fn new(capacity: usize, seed: u64) -> Self {
        let mut device = PacketQueues::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, Instant::ZERO);
        interface.set_any_ip(true);
        // Neither list is full, so nothing here can fail.
        interface.update_ip_addrs(|addresses| {
            let _ = addresses.push(IpCidr::new(IpAddress::Ipv4(OWN_IPV4), 32));
            let _ = addresses.push(IpCidr::new(IpAddress::Ipv6(OWN_IPV6), 128));
        });
        let _ = interface.routes_mut().add_default_ipv4_route(OWN_IPV4);
        let _ = interface.routes_mut().add_default_ipv6_route(OWN_IPV6);
        Self {
            interface,
            device,
            sockets: SocketSet::new(Vec::new()),
            connections: HashMap::new(),
            capacity,
            answered: 0,
            dropped: 0,
        }
    }

    /// Takes a packet of a refused flow and returns the packets it brings about.
    pub fn receive(&mut self, now: Timestamp, packet: Vec<u8>) -> Vec<Vec<u8>> {
        let Ok(summary) = parse(&packet, &ParseOptions::default()) else {
            self.dropped += 1;
            return Vec::new();
        };
        if !matches!(summary.kind, PacketKind::Tcp(_)) {
            self.dropped += 1;
            return Vec::new();
        }
        let known = self.connections.contains_key(&summary.key);
        if !known && summary.may_open() && !self.listen(now, &summary.key) {
            self.dropped += 1;
            return Vec::new();
        }
        self.device.push(packet);
        self.poll(now)
    }

    /// Does what time has made due and returns the packets it brings about.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Vec<u8>> {
        self.run_interface(now);
        self.serve(now);
        self.run_interface(now);
        self.forget_closed();
        self.device.take_outgoing()
    }

    /// When [`Self::poll`] is due without any packet.
    pub fn poll_at(&mut self, now: Timestamp) -> Option<Timestamp> {
        let at = self.interface.poll_at(instant(now), &self.sockets)?;
        let micros = u64::try_from(at.total_micros()).unwrap_or(0);
        Some(Timestamp::from_micros(micros).max(now))
    }

    /// Connections that are held.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Connections that were told that nothing was run.
    #[must_use]
    pub const fn answered(&self) -> u64 {
        self.answered
    }

    /// Packets that were dropped: no TCP, or no room for another connection.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Waits for the one connection with `key`. False if there is no room.
    fn listen(&mut self, now: Timestamp, key: &FlowKey) -> bool {
        if self.connections.len() >= self.capacity {
            return false;
        }
        let mut socket = tcp::Socket::new(
            tcp::SocketBuffer::new(vec![0; RECEIVE_BUFFER]),
            tcp::SocketBuffer::new(vec![0; SEND_BUFFER]),
        );
        socket.set_timeout(Some(SILENCE));
        socket.set_ack_delay(None);
        let endpoint = IpListenEndpoint {
            addr: Some(key.destination.into()),
            port: key.destination_port,
        };
        if socket.listen(endpoint).is_err() {
            return false;
        }
        let connection = Connection {
            socket: self.sockets.add(socket),
            opened_at: now,
            answered: false,
        };
        self.connections.insert(*key, connection);
        true
    }

    fn run_interface(&mut self, now: Timestamp) {
        let now = instant(now);
        for _ in 0..MOST_ROUNDS {
            let result = self
                .interface
                .poll(now, &mut self.device, &mut self.sockets);
            if result == PollResult::None {
                break;
            }
        }
    }

    fn serve(&mut self, now: Timestamp) {
        for connection in self.connections.values_mut() {
            let socket = self.sockets.get_mut::<tcp::Socket<'_>>(connection.socket);
            if now.since(connection.opened_at) > LIFETIME {
                socket.abort();
                continue;
            }
            let request = discard_received(socket);
            if request > 0 && !connection.answered && socket.send_slice(RESPONSE).is_ok() {
                connection.answered = true;
                self.answered += 1;
                socket.close();
            }
            // The caller closed without a request.
            if !connection.answered && socket.state() == tcp::State::CloseWait {
                socket.close();
            }
        }
    }

    /// Sockets that are closed, or whose opening packet was no good. TIME-WAIT is not waited
    /// out, or finished connections would soon take all room: a caller whose last packet is
    /// repeated has its whole answer already.
    fn forget_closed(&mut self) {
        let sockets = &mut self.sockets;
        self.connections.retain(|_, connection| {
            let socket = sockets.get::<tcp::Socket<'_>>(connection.socket);
            let open = !matches!(
                socket.state(),
                tcp::State::Closed | tcp::State::Listen | tcp::State::TimeWait
            );
            if !open {
                sockets.remove(connection.socket);
            }
            open
        });
    }
}

/// Throws away what was received, so that the answer is not cut off by a reset, and returns
/// how many bytes it was.
fn discard_received(socket: &mut tcp::Socket<'_>) -> usize {
    let mut discarded = 0;
    while socket.can_recv() {
        match socket.recv(|bytes| (bytes.len(), bytes.len())) {
            Ok(0) | Err(_) => break,
            Ok(length) => discarded += length,
        }
    }
    discarded
}

fn instant(now: Timestamp) -> Instant {
    Instant::from_micros(i64::try_from(now.as_micros()).unwrap_or(i64::MAX))
}
