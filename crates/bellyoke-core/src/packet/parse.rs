//! Parsing of IP packets.

use crate::packet::checksum::{verify_header, verify_icmpv4, verify_transport};
use crate::packet::{FlowKey, PacketError, PacketKind, PacketSummary, ParseOptions};
use crate::packet::{TcpFlags, Transport};
use etherparse::{
    IpNumber, IpSlice, Ipv4HeaderSlice, Ipv6Header, Ipv6HeaderSlice, TcpSlice, UdpSlice, icmpv4,
    icmpv6, ip_number,
};
use std::net::IpAddr;

/// Length of the ICMP or ICMPv6 header that precedes the quoted packet in an error.
const ICMP_HEADER_BYTES: usize = 8;

/// Parses an IP packet: TCP, UDP, or an ICMP error that quotes either.
///
/// # Errors
/// Returns an error if the packet is invalid or belongs to no flow. [`PacketError::Oversized`] is
/// checked last, so such a packet is otherwise valid and may be answered.
pub fn parse(packet: &[u8], options: &ParseOptions) -> Result<PacketSummary, PacketError> {
    let ip = IpSlice::from_slice(packet).map_err(|_| PacketError::Header)?;
    check_declared_length(&ip, packet.len())?;
    if options.verify_checksums {
        verify_header(&ip)?;
    }
    if ip.is_fragmenting_payload() {
        return Err(PacketError::Fragment);
    }
    let summary = parse_transport(&ip, packet.len(), options)?;
    if packet.len() > options.maximum_packet_bytes {
        return Err(PacketError::Oversized {
            length: packet.len(),
            limit: options.maximum_packet_bytes,
        });
    }
    Ok(summary)
}

/// Checks that the length in the IP header is that of the packet. An IPv6 payload length of zero
/// would mean a jumbogram (RFC 2675), which is not supported.
fn check_declared_length(ip: &IpSlice<'_>, length: usize) -> Result<(), PacketError> {
    let declared = match ip {
        IpSlice::Ipv4(packet) => usize::from(packet.header().total_len()),
        IpSlice::Ipv6(packet) => Ipv6Header::LEN + usize::from(packet.header().payload_length()),
    };
    if declared == length {
        Ok(())
    } else {
        Err(PacketError::Length { length })
    }
}

fn parse_transport(
    ip: &IpSlice<'_>,
    length: usize,
    options: &ParseOptions,
) -> Result<PacketSummary, PacketError> {
    let protocol = ip.payload_ip_number();
    let (key, kind) = match (protocol, ip) {
        (ip_number::TCP, _) => parse_tcp(ip, options)?,
        (ip_number::UDP, _) => parse_udp(ip, options)?,
        (ip_number::ICMP, IpSlice::Ipv4(_)) => parse_icmpv4(ip, options)?,
        (ip_number::IPV6_ICMP, IpSlice::Ipv6(_)) => parse_icmpv6(ip, options)?,
        (IpNumber(other), _) => return Err(PacketError::Protocol(other)),
    };
    Ok(PacketSummary { key, kind, length })
}

fn parse_tcp(
    ip: &IpSlice<'_>,
    options: &ParseOptions,
) -> Result<(FlowKey, PacketKind), PacketError> {
    let segment = TcpSlice::from_slice(ip.payload().payload).map_err(|_| PacketError::Header)?;
    if options.verify_checksums {
        verify_transport(ip)?;
    }
    let ports = (segment.source_port(), segment.destination_port());
    let flags = TcpFlags {
        syn: segment.syn(),
        ack: segment.ack(),
        fin: segment.fin(),
        rst: segment.rst(),
    };
    Ok((
        key_from_headers(ip, Transport::Tcp, ports),
        PacketKind::Tcp(flags),
    ))
}

fn parse_udp(
    ip: &IpSlice<'_>,
    options: &ParseOptions,
) -> Result<(FlowKey, PacketKind), PacketError> {
    let payload = ip.payload().payload;
    let datagram = UdpSlice::from_slice(payload).map_err(|_| PacketError::Header)?;
    if usize::from(datagram.length()) != payload.len() {
        return Err(PacketError::Length {
            length: payload.len(),
        });
    }
    // A checksum of zero means that none was computed over IPv4 (RFC 768). It is not allowed over
    // IPv6 (RFC 8200, 8.1).
    let without_checksum = datagram.checksum() == 0;
    if options.verify_checksums {
        match (without_checksum, ip) {
            (true, IpSlice::Ipv4(_)) => {}
            (true, IpSlice::Ipv6(_)) => return Err(PacketError::TransportChecksum),
            (false, _) => verify_transport(ip)?,
        }
    }
    let ports = (datagram.source_port(), datagram.destination_port());
    Ok((key_from_headers(ip, Transport::Udp, ports), PacketKind::Udp))
}

fn parse_icmpv4(
    ip: &IpSlice<'_>,
    options: &ParseOptions,
) -> Result<(FlowKey, PacketKind), PacketError> {
    let message = ip.payload().payload;
    let quote = quoted_packet(message)?;
    if options.verify_checksums {
        verify_icmpv4(message)?;
    }
    match message[0] {
        icmpv4::TYPE_DEST_UNREACH | icmpv4::TYPE_TIME_EXCEEDED | icmpv4::TYPE_PARAMETER_PROBLEM => {
        }
        _ => return Err(PacketError::Protocol(ip_number::ICMP.0)),
    }
    let header = Ipv4HeaderSlice::from_slice(quote).map_err(|_| PacketError::Header)?;
    if header.fragments_offset().value() != 0 {
        return Err(PacketError::Fragment);
    }
    let addresses = (
        IpAddr::V4(header.source_addr()),
        IpAddr::V4(header.destination_addr()),
    );
    let segment = &quote[header.slice().len()..];
    let key = quoted_key(addresses, header.protocol(), segment)?;
    check_quoted_source(ip, &key)?;
    Ok((key, PacketKind::IcmpError))
}

fn parse_icmpv6(
    ip: &IpSlice<'_>,
    options: &ParseOptions,
) -> Result<(FlowKey, PacketKind), PacketError> {
    let message = ip.payload().payload;
    let quote = quoted_packet(message)?;
    if options.verify_checksums {
        verify_transport(ip)?;
    }
    match message[0] {
        icmpv6::TYPE_DST_UNREACH
        | icmpv6::TYPE_PACKET_TOO_BIG
        | icmpv6::TYPE_TIME_EXCEEDED
        | icmpv6::TYPE_PARAMETER_PROBLEM => {}
        _ => return Err(PacketError::Protocol(ip_number::IPV6_ICMP.0)),
    }
    let header = Ipv6HeaderSlice::from_slice(quote).map_err(|_| PacketError::Header)?;
    let addresses = (
        IpAddr::V6(header.source_addr()),
        IpAddr::V6(header.destination_addr()),
    );
    let key = quoted_key(addresses, header.next_header(), &quote[Ipv6Header::LEN..])?;
    check_quoted_source(ip, &key)?;
    Ok((key, PacketKind::IcmpError))
}

fn quoted_packet(message: &[u8]) -> Result<&[u8], PacketError> {
    message.get(ICMP_HEADER_BYTES..).ok_or(PacketError::Header)
}

/// Returns the key of the flow of a quoted packet. Source and destination are swapped, as the
/// quoted packet was sent to the caller.
fn quoted_key(
    (service, caller): (IpAddr, IpAddr),
    protocol: IpNumber,
    segment: &[u8],
) -> Result<FlowKey, PacketError> {
    let transport = match protocol {
        ip_number::TCP => Transport::Tcp,
        ip_number::UDP => Transport::Udp,
        IpNumber(other) => return Err(PacketError::Protocol(other)),
    };
    let ports = segment.first_chunk::<4>().ok_or(PacketError::Header)?;
    Ok(FlowKey {
        transport,
        source: caller,
        source_port: u16::from_be_bytes([ports[2], ports[3]]),
        destination: service,
        destination_port: u16::from_be_bytes([ports[0], ports[1]]),
    })
}

fn check_quoted_source(ip: &IpSlice<'_>, key: &FlowKey) -> Result<(), PacketError> {
    if ip.destination_addr() == key.destination {
        Ok(())
    } else {
        Err(PacketError::ForeignQuote)
    }
}

fn key_from_headers(ip: &IpSlice<'_>, transport: Transport, ports: (u16, u16)) -> FlowKey {
    FlowKey {
        transport,
        source: ip.source_addr(),
        source_port: ports.0,
        destination: ip.destination_addr(),
        destination_port: ports.1,
    }
}
