//! Packets of the model, and their conversion to the types of the product.

use bellyoke_core::cookie::instance::Cookie;
use bellyoke_core::cookie::packet::{FlowPacket, FlowTuple, PacketRole};
use std::net::SocketAddrV4;

/// Flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow, or answers an opening.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender has no more data.
    pub fin: bool,
    /// Resets the flow.
    pub rst: bool,
}

/// A packet of a flow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Packet {
    /// Address of the sender. `None` while the packet is being built.
    pub source: Option<SocketAddrV4>,
    /// Address of the receiver. `None` while the packet is being built.
    pub destination: Option<SocketAddrV4>,
    /// Flags of the packet.
    pub flags: Flags,
    /// Value that both endpoints send back to each other. It carries the cookie.
    pub echo: u32,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Sequence number of the next byte expected. In an opening, the number of earlier
    /// transmissions.
    pub acknowledged: u32,
    /// Payload.
    pub data: Vec<u8>,
}

/// Size of the packet header and of the encapsulation on the way to a target.
const HEADER_BYTES: usize = 39;

impl Packet {
    /// Returns the number of bytes that the packet occupies on a link.
    #[must_use]
    pub const fn wire_bytes(&self) -> usize {
        HEADER_BYTES + self.data.len()
    }

    /// Returns the flow of a packet that a client sent.
    #[must_use]
    pub fn flow(&self) -> Option<FlowTuple> {
        Some(FlowTuple {
            client: self.source?,
            service: self.destination?,
        })
    }

    /// Converts a packet that a client sent to the product's type.
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

    /// Returns the packet that resets a client's flow. `acknowledged` is the last sequence number
    /// that the client acknowledged.
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

    /// Returns the reset with which this packet of a client is answered.
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

/// Returns the length of `data` in sequence numbers.
#[must_use]
pub fn sequence_length(data: &[u8]) -> u32 {
    u32::try_from(data.len()).unwrap_or(u32::MAX)
}
