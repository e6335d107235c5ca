//! The operating system's UDP sockets that carry the packets.

use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Bytes of datagrams that may wait in a socket; the operating system may grant less.
const RECEIVE_BUFFER_SIZE: usize = 2 * 1024 * 1024;

/// Binds a UDP socket that holds a burst of packets.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn bind_udp(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_SIZE)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
