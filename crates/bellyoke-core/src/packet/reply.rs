//! Packets that a balancer sends to the caller with the source address of the service.

use crate::packet::{PacketKind, PacketSummary, ParseOptions, parse};
use etherparse::icmpv4::DestUnreachableHeader;
use etherparse::icmpv6::DestUnreachableCode;
use etherparse::{
    Icmpv4Type, Icmpv6Type, IpHeaders, IpSlice, Ipv4Header, Ipv6Header, PacketBuilder,
    PacketBuilderStep, TcpSlice, ip_number,
};
use std::net::IpAddr;

/// Hop limit of answers, as recommended by RFC 1700.
const HOP_LIMIT: u8 = 64;
/// Maximum length of an ICMP error (RFC 1812, 4.3.2.3).
const MAXIMUM_ICMPV4_ERROR_BYTES: usize = 576;
/// Maximum length of an ICMPv6 error: the minimum MTU of IPv6 (RFC 4443, 2.4).
const MAXIMUM_ICMPV6_ERROR_BYTES: usize = 1280;
/// Length of an ICMP or ICMPv6 header.
const ICMP_HEADER_BYTES: usize = 8;

/// Returns the answer that ends the flow of `packet`: a TCP reset, or an ICMP or ICMPv6 "port
/// unreachable" for a UDP datagram.
///
/// Returns `None` if no answer may be sent: for a reset, an ICMP error, an address that is not of
/// a single host (RFC 1122, 3.2.2), or an invalid packet.
#[must_use]
pub fn reset_for(packet: &[u8]) -> Option<Vec<u8>> {
    let summary = parse_answerable(packet)?;
    match summary.kind {
        PacketKind::Tcp(flags) if flags.rst => None,
        PacketKind::Tcp(_) => tcp_reset(&summary, packet),
        PacketKind::Udp => icmp_error(&summary, packet, IcmpError::PortUnreachable),
        PacketKind::IcmpError => None,
    }
}

/// Returns the answer to a packet that exceeds the maximum packet length of the tunnel: ICMP
/// "fragmentation needed" (RFC 1191) or ICMPv6 "packet too big" (RFC 8201) with `mtu`, the maximum
/// length in bytes.
///
/// Returns `None` in the same cases as [`reset_for`], except that a reset is answered.
#[must_use]
pub fn too_big_for(packet: &[u8], mtu: u16) -> Option<Vec<u8>> {
    let summary = parse_answerable(packet)?;
    match summary.kind {
        PacketKind::Tcp(_) | PacketKind::Udp => {
            icmp_error(&summary, packet, IcmpError::TooBig { mtu })
        }
        PacketKind::IcmpError => None,
    }
}

/// Kind of an ICMP error.
#[derive(Clone, Copy)]
enum IcmpError {
    PortUnreachable,
    TooBig { mtu: u16 },
}

fn parse_answerable(packet: &[u8]) -> Option<PacketSummary> {
    let options = ParseOptions {
        verify_checksums: false,
        ..ParseOptions::default()
    };
    let summary = parse(packet, &options).ok()?;
    let hosts = is_host(summary.key.source) && is_host(summary.key.destination);
    hosts.then_some(summary)
}

fn is_host(address: IpAddr) -> bool {
    let broadcast = match address {
        IpAddr::V4(address) => address.is_broadcast(),
        IpAddr::V6(_) => false,
    };
    !(broadcast || address.is_multicast() || address.is_unspecified())
}

/// Returns a TCP reset (RFC 9293, 3.10.7.1). For a segment with ACK, the reset has the sequence
/// number that the sender expects. Otherwise it acknowledges the segment, without which the sender
/// would ignore the reset.
fn tcp_reset(summary: &PacketSummary, packet: &[u8]) -> Option<Vec<u8>> {
    let ip = IpSlice::from_slice(packet).ok()?;
    let segment = TcpSlice::from_slice(ip.payload().payload).ok()?;
    let key = &summary.key;
    let (source, destination) = (key.destination_port, key.source_port);
    let builder = reply_header(summary)?;
    let reset = if segment.ack() {
        let sequence = segment.acknowledgment_number();
        builder.tcp(source, destination, sequence, 0).rst()
    } else {
        let acknowledged = segment
            .sequence_number()
            .wrapping_add(segment_length(&segment));
        builder
            .tcp(source, destination, 0, 0)
            .rst()
            .ack(acknowledged)
    };
    let mut answer = Vec::with_capacity(reset.size(0));
    reset.write(&mut answer, &[]).ok()?;
    Some(answer)
}

/// Returns the number of sequence numbers that a segment occupies, including SYN and FIN (RFC
/// 9293, 3.4).
fn segment_length(segment: &TcpSlice<'_>) -> u32 {
    let data = segment.payload().len() as u32;
    data + u32::from(segment.syn()) + u32::from(segment.fin())
}

fn icmp_error(summary: &PacketSummary, packet: &[u8], error: IcmpError) -> Option<Vec<u8>> {
    let builder = reply_header(summary)?;
    let mut answer = Vec::new();
    match summary.key.source {
        IpAddr::V4(_) => {
            let message = Icmpv4Type::DestinationUnreachable(match error {
                IcmpError::PortUnreachable => DestUnreachableHeader::Port,
                IcmpError::TooBig { mtu } => {
                    DestUnreachableHeader::FragmentationNeeded { next_hop_mtu: mtu }
                }
            });
            let maximum_length =
                MAXIMUM_ICMPV4_ERROR_BYTES - Ipv4Header::MIN_LEN - ICMP_HEADER_BYTES;
            let quote = quote(packet, maximum_length);
            builder.icmpv4(message).write(&mut answer, quote).ok()?;
        }
        IpAddr::V6(_) => {
            let message = match error {
                IcmpError::PortUnreachable => {
                    Icmpv6Type::DestinationUnreachable(DestUnreachableCode::Port)
                }
                IcmpError::TooBig { mtu } => Icmpv6Type::PacketTooBig { mtu: mtu.into() },
            };
            let maximum_length = MAXIMUM_ICMPV6_ERROR_BYTES - Ipv6Header::LEN - ICMP_HEADER_BYTES;
            let quote = quote(packet, maximum_length);
            builder.icmpv6(message).write(&mut answer, quote).ok()?;
        }
    }
    Some(answer)
}

fn quote(packet: &[u8], maximum_length: usize) -> &[u8] {
    packet.get(..maximum_length).unwrap_or(packet)
}

/// Returns an IP header from the service to the caller. The builder sets length and protocol.
fn reply_header(summary: &PacketSummary) -> Option<PacketBuilderStep<IpHeaders>> {
    let protocol = ip_number::TCP;
    let headers = match (summary.key.destination, summary.key.source) {
        (IpAddr::V4(service), IpAddr::V4(caller)) => {
            let header =
                Ipv4Header::new(0, HOP_LIMIT, protocol, service.octets(), caller.octets()).ok()?;
            IpHeaders::Ipv4(header, Default::default())
        }
        (IpAddr::V6(service), IpAddr::V6(caller)) => {
            let header = Ipv6Header {
                next_header: protocol,
                hop_limit: HOP_LIMIT,
                source: service.octets(),
                destination: caller.octets(),
                ..Ipv6Header::default()
            };
            IpHeaders::Ipv6(header, Default::default())
        }
        _ => return None,
    };
    Some(PacketBuilder::ip(headers))
}
