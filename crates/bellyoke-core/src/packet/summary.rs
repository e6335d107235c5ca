//! What the rest of the balancer needs to know of a packet.

use crate::flow::DropReason;
use crate::packet::FlowKey;
use thiserror::Error;

/// How strictly packets are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseOptions {
    /// Whether IPv4 header and transport checksums are verified.
    pub verify_checksums: bool,
    /// Longest packet that the tunnel carries, bytes.
    pub maximum_packet_bytes: usize,
}

impl Default for ParseOptions {
    /// Checksums verified, any length that an IP header can state.
    fn default() -> Self {
        Self {
            verify_checksums: true,
            maximum_packet_bytes: usize::from(u16::MAX),
        }
    }
}

/// Control bits of a TCP segment that matter to its flow (RFC 9293, 3.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpFlags {
    /// Synchronise sequence numbers.
    pub syn: bool,
    /// The acknowledgement number is significant.
    pub ack: bool,
    /// No more data from the sender.
    pub fin: bool,
    /// Reset the connection.
    pub rst: bool,
}

/// What kind of packet belongs to the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// A TCP segment.
    Tcp(TcpFlags),
    /// A UDP datagram.
    Udp,
    /// An ICMP or ICMPv6 error about a packet that a backend sent to the caller. It
    /// follows the flow that it quotes.
    IcmpError,
}

/// A packet that belongs to a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketSummary {
    /// The flow, as the caller sends it.
    pub key: FlowKey,
    /// What kind of packet it is.
    pub kind: PacketKind,
    /// Length of the whole IP packet, bytes.
    pub length: usize,
}

impl PacketSummary {
    /// Whether the packet may open a flow: a TCP SYN without ACK, or any UDP datagram.
    ///
    /// A listener ignores a segment with RST before it looks at SYN (RFC 9293, 3.10.7.2).
    #[must_use]
    pub const fn may_open(&self) -> bool {
        match self.kind {
            PacketKind::Tcp(flags) => flags.syn && !flags.ack && !flags.rst,
            PacketKind::Udp => true,
            PacketKind::IcmpError => false,
        }
    }
}

/// Why a packet belongs to no flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// A header is cut off or cannot be.
    #[error("a header is cut off or invalid")]
    Header,
    /// A stated length differs from the packet's.
    #[error("a stated length differs from the packet's length of {length} bytes")]
    Length {
        /// Length of the packet, bytes.
        length: usize,
    },
    /// The IPv4 header checksum is wrong.
    #[error("the IPv4 header checksum is wrong")]
    HeaderChecksum,
    /// The TCP, UDP, ICMP or ICMPv6 checksum is wrong.
    #[error("the transport checksum is wrong")]
    TransportChecksum,
    /// An IP fragment, or an ICMP error that quotes one without ports.
    #[error("a fragment, whose flow cannot be told")]
    Fragment,
    /// Neither TCP nor UDP nor an ICMP error that quotes either.
    #[error("protocol {0} is not balanced")]
    Protocol(u8),
    /// An ICMP error whose quoted packet was not sent from the address it is sent to.
    #[error("an ICMP error quotes a packet that its receiver did not send")]
    ForeignQuote,
    /// Longer than the tunnel carries.
    #[error("{length} bytes, but the tunnel carries {limit}")]
    Oversized {
        /// Length of the packet, bytes.
        length: usize,
        /// Longest that is carried, bytes.
        limit: usize,
    },
}

impl From<PacketError> for DropReason {
    fn from(error: PacketError) -> Self {
        match error {
            PacketError::Header | PacketError::Length { .. } | PacketError::ForeignQuote => {
                Self::Malformed
            }
            PacketError::HeaderChecksum | PacketError::TransportChecksum => Self::Checksum,
            PacketError::Fragment => Self::Fragment,
            PacketError::Protocol(_) => Self::Protocol,
            PacketError::Oversized { .. } => Self::Oversized,
        }
    }
}
