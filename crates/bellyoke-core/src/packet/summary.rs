//! Parsed properties of a packet.

use crate::flow::DropReason;
use crate::packet::FlowKey;
use thiserror::Error;

/// Options for parsing packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseOptions {
    /// Whether IPv4 header and transport checksums are verified.
    pub verify_checksums: bool,
    /// Maximum length of a packet in the tunnel.
    pub maximum_packet_bytes: usize,
}

impl Default for ParseOptions {
    /// Returns options that verify checksums and allow the maximum length of an IP packet.
    fn default() -> Self {
        Self {
            verify_checksums: true,
            maximum_packet_bytes: usize::from(u16::MAX),
        }
    }
}

/// Control bits of a TCP segment that affect the state of its flow (RFC 9293, 3.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpFlags {
    /// Synchronizes sequence numbers.
    pub syn: bool,
    /// The acknowledgement number is significant.
    pub ack: bool,
    /// The sender has no more data.
    pub fin: bool,
    /// Resets the connection.
    pub rst: bool,
}

/// Kind of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// A TCP segment.
    Tcp(TcpFlags),
    /// A UDP datagram.
    Udp,
    /// An ICMP or ICMPv6 error about a packet that a backend sent to the caller. It is
    /// forwarded with the flow of the quoted packet.
    IcmpError,
}

/// Parsed properties of a packet that belongs to a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketSummary {
    /// Key of the flow, in the direction from the caller to the service.
    pub key: FlowKey,
    /// Kind of the packet.
    pub kind: PacketKind,
    /// Length of the IP packet in bytes.
    pub length: usize,
}

impl PacketSummary {
    /// Returns whether the packet may open a flow: a TCP SYN without ACK, or any UDP datagram.
    ///
    /// A listener ignores a segment with RST before it checks SYN (RFC 9293, 3.10.7.2).
    #[must_use]
    pub const fn may_open(&self) -> bool {
        match self.kind {
            PacketKind::Tcp(flags) => flags.syn && !flags.ack && !flags.rst,
            PacketKind::Udp => true,
            PacketKind::IcmpError => false,
        }
    }
}

/// An error in parsing a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// A header is truncated or invalid.
    #[error("a header is truncated or invalid")]
    Header,
    /// A length field differs from the length of the packet.
    #[error("a length field differs from the packet length of {length} bytes")]
    Length {
        /// Length of the packet in bytes.
        length: usize,
    },
    /// The IPv4 header checksum is wrong.
    #[error("the IPv4 header checksum is wrong")]
    HeaderChecksum,
    /// The TCP, UDP, ICMP or ICMPv6 checksum is wrong.
    #[error("the transport checksum is wrong")]
    TransportChecksum,
    /// The packet is an IP fragment, or an ICMP error that quotes one without ports.
    #[error("the packet is a fragment, whose flow cannot be determined")]
    Fragment,
    /// The packet is neither TCP nor UDP nor an ICMP error that quotes either.
    #[error("protocol {0} is not load-balanced")]
    Protocol(u8),
    /// An ICMP error is addressed to a host other than the source of the quoted packet.
    #[error("an ICMP error quotes a packet that its recipient did not send")]
    ForeignQuote,
    /// The packet exceeds the maximum packet length of the tunnel.
    #[error("packet of {length} bytes exceeds the tunnel limit of {limit}")]
    Oversized {
        /// Length of the packet in bytes.
        length: usize,
        /// Maximum length in bytes.
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
