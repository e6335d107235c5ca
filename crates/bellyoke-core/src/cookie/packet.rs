//! Packets as represented in forwarding by cookie.

use crate::cookie::instance::Cookie;
use std::net::SocketAddrV4;
use twox_hash::XxHash3_64;

/// Makes flow hashes independent of other hashes over the same bytes.
const FLOW_SEED: u64 = 0x636f_6f6b_6965_0001;

/// Addresses and ports of a flow, from client to service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowTuple {
    /// Address and port of the client.
    pub client: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
}

impl FlowTuple {
    /// Returns a hash that is the same on all nodes.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut bytes = [0_u8; 12];
        bytes[0..4].copy_from_slice(&self.client.ip().octets());
        bytes[4..8].copy_from_slice(&self.service.ip().octets());
        bytes[8..10].copy_from_slice(&self.client.port().to_be_bytes());
        bytes[10..12].copy_from_slice(&self.service.port().to_be_bytes());
        XxHash3_64::oneshot_with_seed(FLOW_SEED, &bytes)
    }
}

/// Role of a packet in its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketRole {
    /// Requests a new flow (SYN). `attempt` counts the copies sent before it.
    Opening {
        /// Zero for the first copy.
        attempt: u32,
    },
    /// Belongs to a flow that was requested before.
    Later,
    /// Aborts the flow (RST). Its sender expects no answer.
    Abort,
}

/// A packet of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowPacket {
    /// Flow that the packet belongs to.
    pub flow: FlowTuple,
    /// Role in the flow.
    pub role: PacketRole,
    /// Cookie that the packet carries.
    pub cookie: Option<Cookie>,
    /// Sequence number of the first byte of data; `None` without data.
    pub data_sequence: Option<u32>,
    /// Bytes of data.
    pub data_length: u16,
    /// Whether its sender sends no data after it (FIN).
    pub closes: bool,
    /// Acknowledgement number for the instance's data. Undefined in an opening.
    pub acknowledged: u32,
}

/// Error of parsing a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// Fewer bytes than a header has.
    #[error("{length} bytes are less than a packet header")]
    Truncated {
        /// Number of bytes.
        length: usize,
    },
    /// The header declares another length than the data has.
    #[error("the header declares {declared} bytes of data, got {actual}")]
    Length {
        /// Bytes of data that the header declares.
        declared: usize,
        /// Bytes of data in the packet.
        actual: usize,
    },
    /// The packet is not from a client, but a balancer's own reset or a backend's answer.
    #[error("packet is not from a client")]
    NotFromClient,
}

/// Reads and writes packets of one format. Implementations only translate and make no decisions.
pub trait PacketCodec: Clone + Send + 'static {
    /// Bytes of the encapsulation in front of a packet that is sent to a backend.
    const ENCAPSULATION_BYTES: usize;

    /// Parses a client's packet.
    ///
    /// # Errors
    ///
    /// Returns [`PacketError`] if the bytes are no client packet.
    fn parse(&self, packet: &[u8]) -> Result<FlowPacket, PacketError>;

    /// Writes the encapsulation into the first [`Self::ENCAPSULATION_BYTES`] bytes of
    /// `datagram`, and the cookie into the packet that follows them.
    fn encapsulate(&self, datagram: &mut [u8], destination: &Destination);

    /// Returns the reset that answers `packet`, a client's packet that [`Self::parse`] has parsed.
    fn reset(&self, packet: &[u8]) -> Vec<u8>;

    /// Returns the reset of an open flow without a packet to answer. `acknowledged` is the last
    /// acknowledgement number of its client.
    fn reset_flow(&self, flow: &FlowTuple, acknowledged: u32) -> Vec<u8>;
}

/// Destination of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Id of the instance. An instance ignores packets that are addressed to another.
    pub instance: crate::cookie::instance::InstanceId,
    /// Address that packets for it are sent to.
    pub address: SocketAddrV4,
    /// Cookie that the forwarded packet carries.
    pub cookie: Cookie,
}
