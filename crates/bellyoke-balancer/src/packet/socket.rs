//! Sockets of the packet path.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Binds one of the data sockets. The kernel spreads senders over all that share the
/// address (`SO_REUSEPORT`).
///
/// # Errors
///
/// If the address cannot be bound.
pub fn bind_data_socket(address: SocketAddr, buffer_bytes: usize) -> io::Result<UdpSocket> {
    let socket = new_socket(address)?;
    socket.set_reuse_port(true)?;
    finish(&socket, address, buffer_bytes)?;
    Ok(socket.into())
}

/// Binds the peer socket.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn bind_peer_socket(address: SocketAddr, buffer_bytes: usize) -> io::Result<UdpSocket> {
    let socket = new_socket(address)?;
    finish(&socket, address, buffer_bytes)?;
    Ok(socket.into())
}

fn new_socket(address: SocketAddr) -> io::Result<Socket> {
    Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )
}

fn finish(socket: &Socket, address: SocketAddr, buffer_bytes: usize) -> io::Result<()> {
    socket.set_recv_buffer_size(buffer_bytes)?;
    socket.set_send_buffer_size(buffer_bytes)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())
}
