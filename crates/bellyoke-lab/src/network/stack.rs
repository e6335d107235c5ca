//! A TCP/IP stack that answers for every address, with packets and time as arguments.

use std::net::{Ipv4Addr, Ipv6Addr};

use smoltcp::iface::{Config, Interface, PollResult, SocketHandle, SocketSet};
use smoltcp::socket::{tcp, udp};
use smoltcp::time::{Duration, Instant};
use smoltcp::wire::{HardwareAddress, IpCidr, IpEndpoint};

use super::device::QueueDevice;

/// The stack's own address; a default route through it makes every address local.
const OWN_ADDRESS_V4: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 255);
const OWN_ADDRESS_V6: Ipv6Addr = Ipv6Addr::new(0x2001, 0xdb8, 0xffff, 0, 0, 0, 0, 0xff);

/// An IPv4 and IPv6 stack with its sockets.
pub struct NetworkStack {
    device: QueueDevice,
    interface: Interface,
    sockets: SocketSet<'static>,
}

impl NetworkStack {
    /// Creates a stack whose sequence numbers derive from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let mut device = QueueDevice::default();
        let mut configuration = Config::new(HardwareAddress::Ip);
        configuration.random_seed = seed;
        let mut interface = Interface::new(configuration, &mut device, Instant::ZERO);
        accept_every_address(&mut interface);
        Self {
            device,
            interface,
            sockets: SocketSet::new(Vec::new()),
        }
    }

    /// Handles one IP packet from the network.
    pub fn receive(&mut self, now: Instant, packet: &[u8]) {
        self.device.received.push_back(packet.to_vec());
        self.interface
            .poll_ingress_single(now, &mut self.device, &mut self.sockets);
    }

    /// Lets the sockets send what is due.
    pub fn poll(&mut self, now: Instant) {
        self.interface.poll_maintenance(now);
        while self
            .interface
            .poll_egress(now, &mut self.device, &mut self.sockets)
            == PollResult::SocketStateChanged
        {}
    }

    /// Takes the next packet for the network.
    pub fn next_packet(&mut self) -> Option<Vec<u8>> {
        self.device.transmitted.pop_front()
    }

    /// Returns the time until a socket needs [`Self::poll`], if any does.
    pub fn poll_delay(&mut self, now: Instant) -> Option<Duration> {
        self.interface.poll_delay(now, &self.sockets)
    }

    /// Adds a TCP socket with buffers of `buffer_size` bytes each way.
    pub fn add_tcp(&mut self, buffer_size: usize) -> SocketHandle {
        let receive_buffer = tcp::SocketBuffer::new(vec![0; buffer_size]);
        let transmit_buffer = tcp::SocketBuffer::new(vec![0; buffer_size]);
        let mut socket = tcp::Socket::new(receive_buffer, transmit_buffer);
        socket.set_nagle_enabled(false);
        socket.set_ack_delay(None);
        self.sockets.add(socket)
    }

    /// Opens the TCP connection of a fresh socket.
    ///
    /// # Errors
    ///
    /// Fails when the socket is in use or an endpoint is unspecified.
    pub fn connect(
        &mut self,
        handle: SocketHandle,
        remote: IpEndpoint,
        local: IpEndpoint,
    ) -> Result<(), tcp::ConnectError> {
        let socket = self.sockets.get_mut::<tcp::Socket>(handle);
        socket.connect(self.interface.context(), remote, local)
    }

    /// Returns a TCP socket.
    pub fn tcp(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Adds a UDP socket that holds up to `datagrams` of 1 KiB each way.
    pub fn add_udp(&mut self, datagrams: usize) -> SocketHandle {
        let buffer = || {
            let metadata = vec![udp::PacketMetadata::EMPTY; datagrams];
            udp::PacketBuffer::new(metadata, vec![0; datagrams * 1024])
        };
        self.sockets.add(udp::Socket::new(buffer(), buffer()))
    }

    /// Returns a UDP socket.
    pub fn udp(&mut self, handle: SocketHandle) -> &mut udp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Removes a socket at once, with nothing more sent for it.
    pub fn remove(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }
}

fn accept_every_address(interface: &mut Interface) {
    interface.update_ip_addrs(|addresses| {
        // Two addresses are the least that any build of the stack has room for.
        let _ = addresses.push(IpCidr::new(OWN_ADDRESS_V4.into(), 32));
        let _ = addresses.push(IpCidr::new(OWN_ADDRESS_V6.into(), 128));
    });
    let routes = interface.routes_mut();
    let _ = routes.add_default_ipv4_route(OWN_ADDRESS_V4);
    let _ = routes.add_default_ipv6_route(OWN_ADDRESS_V6);
    interface.set_any_ip(true);
}
