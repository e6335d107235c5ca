//! What the stand-ins read of a packet's headers.

use std::net::{IpAddr, SocketAddr};

use smoltcp::wire::{IpProtocol, Ipv4Packet, Ipv6Packet, TcpPacket};

/// The fields by which packets belong to one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The sender's address.
    pub source: IpAddr,
    /// The receiver's address.
    pub destination: IpAddr,
    /// The IP protocol number.
    pub protocol: u8,
    /// The source and destination ports as they stand in the header; zero for other protocols than TCP and UDP.
    pub ports: [u8; 4],
}

impl FlowKey {
    /// The flow of UDP datagrams from `source` to `destination`.
    #[must_use]
    pub fn udp(source: SocketAddr, destination: SocketAddr) -> Self {
        let [source_port, destination_port] =
            [source.port(), destination.port()].map(u16::to_be_bytes);
        Self {
            source: source.ip(),
            destination: destination.ip(),
            protocol: u8::from(IpProtocol::Udp),
            ports: [
                source_port[0],
                source_port[1],
                destination_port[0],
                destination_port[1],
            ],
        }
    }
}

/// A packet's part in its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A TCP segment that opens a connection.
    Opening,
    /// A TCP segment that resets a connection.
    Reset,
    /// Another TCP segment.
    Continuing,
    /// Not TCP.
    Other,
}

/// A packet's flow and role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketSummary {
    /// The flow.
    pub flow: FlowKey,
    /// The role.
    pub role: Role,
}

impl PacketSummary {
    /// Reads the headers of a whole IP packet; nothing if it isn't one.
    #[must_use]
    pub fn read(packet: &[u8]) -> Option<Self> {
        match packet.first()? >> 4 {
            4 => {
                let header = Ipv4Packet::new_checked(packet).ok()?;
                let addresses = (header.src_addr().into(), header.dst_addr().into());
                Some(summarize(addresses, header.next_header(), header.payload()))
            }
            6 => {
                let header = Ipv6Packet::new_checked(packet).ok()?;
                let addresses = (header.src_addr().into(), header.dst_addr().into());
                Some(summarize(addresses, header.next_header(), header.payload()))
            }
            _ => None,
        }
    }
}

fn summarize(
    (source, destination): (IpAddr, IpAddr),
    protocol: IpProtocol,
    payload: &[u8],
) -> PacketSummary {
    let ports = match protocol {
        IpProtocol::Tcp | IpProtocol::Udp => payload.first_chunk().copied().unwrap_or_default(),
        _ => [0; 4],
    };
    let flow = FlowKey {
        source,
        destination,
        protocol: u8::from(protocol),
        ports,
    };
    let role = role(protocol, payload);
    PacketSummary { flow, role }
}

fn role(protocol: IpProtocol, payload: &[u8]) -> Role {
    if protocol != IpProtocol::Tcp {
        return Role::Other;
    }
    match TcpPacket::new_checked(payload) {
        Ok(segment) if segment.rst() => Role::Reset,
        Ok(segment) if segment.syn() && !segment.ack() => Role::Opening,
        _ => Role::Continuing,
    }
}
