//! Verification of Internet checksums (RFC 1071).

use crate::packet::PacketError;
use etherparse::checksum::Sum16BitWords;
use etherparse::{IpNumber, IpSlice, Ipv4HeaderSlice};

/// Verifies the header checksum of an IPv4 packet. IPv6 has none.
pub(super) fn verify_header(ip: &IpSlice<'_>) -> Result<(), PacketError> {
    match ip {
        IpSlice::Ipv4(packet) => verify_ipv4_header(&packet.header()),
        IpSlice::Ipv6(_) => Ok(()),
    }
}

fn verify_ipv4_header(header: &Ipv4HeaderSlice<'_>) -> Result<(), PacketError> {
    let sum = Sum16BitWords::new().add_slice(header.slice());
    if sum.ones_complement() == 0 {
        Ok(())
    } else {
        Err(PacketError::HeaderChecksum)
    }
}

/// Verifies the checksum of a TCP segment, UDP datagram or ICMPv6 message, which covers a
/// pseudo-header (RFC 9293, 3.1; RFC 768; RFC 8200, 8.1).
pub(super) fn verify_transport(ip: &IpSlice<'_>) -> Result<(), PacketError> {
    let protocol = ip.payload_ip_number();
    let segment = ip.payload().payload;
    verify_sum(pseudo_header(ip, protocol, segment.len()).add_slice(segment))
}

/// Verifies the checksum of an ICMP message, which covers no pseudo-header (RFC 792).
pub(super) fn verify_icmpv4(message: &[u8]) -> Result<(), PacketError> {
    verify_sum(Sum16BitWords::new().add_slice(message))
}

fn verify_sum(sum: Sum16BitWords) -> Result<(), PacketError> {
    if sum.ones_complement() == 0 {
        Ok(())
    } else {
        Err(PacketError::TransportChecksum)
    }
}

fn pseudo_header(ip: &IpSlice<'_>, protocol: IpNumber, length: usize) -> Sum16BitWords {
    let mut sum = Sum16BitWords::new();
    let sum = match ip {
        IpSlice::Ipv4(packet) => sum
            .add_4bytes(packet.header().source())
            .add_4bytes(packet.header().destination()),
        IpSlice::Ipv6(packet) => sum
            .add_16bytes(packet.header().source())
            .add_16bytes(packet.header().destination()),
    };
    // The IPv4 and IPv6 pseudo-headers lay out protocol and length differently, but have the same
    // sum, as zero bytes do not change it.
    sum.add_2bytes([0, protocol.0])
        .add_4bytes((length as u32).to_be_bytes())
}
