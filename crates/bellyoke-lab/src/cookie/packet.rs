//! Packets of the model, and their product view.

use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::packet::{FlowPacket, FlowTuple, PacketRole};
use std::net::SocketAddrV4;

/// What a packet says besides its data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow, or answers an opening.
    pub syn: bool,
    /// The acknowledgement counts.
    pub ack: bool,
    /// The sender has nothing more to say.
    pub fin: bool,
    /// The flow is over.
    pub rst: bool,
}

/// One packet of a flow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Packet {
    /// The sender's end. None in a packet that is being built.
    pub source: Option<SocketAddrV4>,
    /// The other end.
    pub destination: Option<SocketAddrV4>,
    /// What it says.
    pub flags: Flags,
    /// The field that both ends repeat.
    pub echo: u32,
    /// Number of the first byte of data.
    pub sequence: u32,
    /// Number of the next byte expected; in an opening the count of copies sent before.
    pub acknowledged: u32,
    /// The data.
    pub data: Vec<u8>,
}

/// Bytes of a packet's head, and of what stands before it on the way to a target.
const HEADER_BYTES: usize = 39;

impl Packet {
    /// Bytes that it takes on a link.
    #[must_use]
    pub const fn wire_bytes(&self) -> usize {
        HEADER_BYTES + self.data.len()
    }

    /// The flow of a client's packet.
    #[must_use]
    pub fn flow(&self) -> Option<FlowTuple> {
        Some(FlowTuple {
            client: self.source?,
            service: self.destination?,
        })
    }

    /// A client's packet as the product sees it.
    #[must_use]
    pub fn to_flow_packet(&self) -> Option<FlowPacket> {
        let role = if self.flags.syn {
            PacketRole::Opening {
                attempt: self.acknowledged,
            }
        } else if self.flags.rst {
            PacketRole::Abort
        } else {
            PacketRole::Later
        };
        Some(FlowPacket {
            flow: self.flow()?,
            role,
            cookie: Cookie::from_bits(self.echo),
            data_sequence: (!self.data.is_empty()).then_some(self.sequence),
            data_length: u16::try_from(self.data.len()).unwrap_or(u16::MAX),
            closes: self.flags.fin,
            acknowledged: self.acknowledged,
        })
    }

    /// The reset that ends a client's flow, of which it acknowledged so much last.
    #[must_use]
    pub fn reset_for_flow(flow: &FlowTuple, acknowledged: u32) -> Self {
        Self {
            source: Some(flow.service),
            destination: Some(flow.client),
            flags: Flags {
                rst: true,
                ..Flags::default()
            },
            sequence: acknowledged,
            ..Self::default()
        }
    }

    /// The reset with which a node answers this packet of a client.
    #[must_use]
    pub fn reset_reply(&self) -> Self {
        Self {
            source: self.destination,
            destination: self.source,
            flags: Flags {
                rst: true,
                ..Flags::default()
            },
            sequence: if self.flags.syn { 0 } else { self.acknowledged },
            ..Self::default()
        }
    }
}

/// Length of the data, as sequence numbers count it.
#[must_use]
pub fn sequence_length(data: &[u8]) -> u32 {
    u32::try_from(data.len()).unwrap_or(u32::MAX)
}
