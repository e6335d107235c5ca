//! Places in the world as the addresses that the core carries.

use super::super::BackendIndex;
use crate::experiment::world::network::NodeIndex;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of all peer sockets.
const PEER_PORT: u16 = 7000;
/// Port of all tunnels.
const TUNNEL_PORT: u16 = 6080;
/// First address of balancers: 10.0.0.0.
const FIRST_NODE: u32 = 0x0A00_0000;
/// First address of backends: 10.128.0.0.
const FIRST_BACKEND: u32 = 0x0A80_0000;

/// Peer address of a balancer.
pub fn peer_address(node: NodeIndex) -> SocketAddr {
    let address = Ipv4Addr::from(FIRST_NODE + node.0);
    SocketAddr::new(IpAddr::V4(address), PEER_PORT)
}

/// The balancer with this peer address.
pub fn node_at(address: SocketAddr) -> Option<NodeIndex> {
    offset(address, FIRST_NODE).map(NodeIndex)
}

/// Tunnel address of a backend.
pub fn tunnel_address(backend: BackendIndex) -> SocketAddr {
    let address = Ipv4Addr::from(FIRST_BACKEND + backend.0);
    SocketAddr::new(IpAddr::V4(address), TUNNEL_PORT)
}

/// The backend with this tunnel address.
pub fn backend_at(address: SocketAddr) -> Option<BackendIndex> {
    offset(address, FIRST_BACKEND).map(BackendIndex)
}

fn offset(address: SocketAddr, first: u32) -> Option<u32> {
    match address.ip() {
        IpAddr::V4(address) => u32::from(address).checked_sub(first),
        IpAddr::V6(_) => None,
    }
}
