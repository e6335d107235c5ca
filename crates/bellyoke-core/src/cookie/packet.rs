//! What forwarding by cookie needs to know of a packet.

use crate::cookie::instance::Cookie;
use std::net::SocketAddrV4;
use twox_hash::XxHash3_64;

/// Keeps flow hashes apart from others over the same bytes.
const FLOW_SEED: u64 = 0x636f_6f6b_6965_0001;

/// The four-tuple of a flow, from client to service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowTuple {
    /// The client's end.
    pub client: SocketAddrV4,
    /// The service's end.
    pub service: SocketAddrV4,
}

impl FlowTuple {
    /// A hash that all nodes agree on.
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

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketRole {
    /// It asks for a new flow. `attempt` counts the copies sent before it.
    Opening {
        /// Zero for the first.
        attempt: u32,
    },
    /// It belongs to a flow that was asked for before.
    Later,
    /// Its sender has given the flow up: no answer to it is wanted.
    Abort,
}

/// One client packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowPacket {
    /// Its flow.
    pub flow: FlowTuple,
    /// What it does.
    pub role: PacketRole,
    /// The cookie that it carries.
    pub cookie: Option<Cookie>,
    /// Sequence number of its first byte of data; none without data.
    pub data_sequence: Option<u32>,
    /// Bytes of data.
    pub data_length: u16,
    /// Whether its sender sends nothing after it.
    pub closes: bool,
    /// What it acknowledges of the instance's data. Means nothing in an opening.
    pub acknowledged: u32,
}

/// Why bytes are no packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// Fewer bytes than a head has.
    #[error("{length} bytes are less than a packet's head")]
    Truncated {
        /// Number of bytes.
        length: usize,
    },
    /// The head tells another length than came.
    #[error("the header declares {declared} bytes of data, got {actual}")]
    Length {
        /// Bytes of data that the head tells.
        declared: usize,
        /// Bytes of data that came.
        actual: usize,
    },
    /// Not from a client: a balancer's own reset or an answer of a backend.
    #[error("not a client's packet")]
    NotFromClient,
}

/// Reads and writes packets of one format. Implementations translate and decide nothing.
pub trait PacketCodec: Clone + Send + 'static {
    /// Bytes in front of a packet on its way to a backend.
    const ENCAPSULATION_LENGTH: usize;

    /// Reads a client's packet.
    ///
    /// # Errors
    ///
    /// [`PacketError`] if the bytes are no client packet.
    fn parse(&self, packet: &[u8]) -> Result<FlowPacket, PacketError>;

    /// Writes the encapsulation into the first [`Self::ENCAPSULATION_LENGTH`] bytes of
    /// `datagram`, and the cookie into the packet that follows them.
    fn encapsulate(&self, datagram: &mut [u8], destination: &Destination);

    /// The reset that answers `packet`, a client's packet that [`Self::parse`] has read.
    fn reset(&self, packet: &[u8]) -> Vec<u8>;

    /// The reset that ends an open flow from which nothing has just come. `acknowledged` is what its client
    /// acknowledged last.
    fn reset_flow(&self, flow: &FlowTuple, acknowledged: u32) -> Vec<u8>;
}

/// The instance that a packet goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Which instance; it ignores packets meant for another.
    pub instance: crate::cookie::instance::InstanceId,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// What the packet carries from here on.
    pub cookie: Cookie,
}
