//! ICMP errors that say that a flow's packet can't be delivered.

use std::net::IpAddr;

use etherparse::{
    Icmpv4Type, Icmpv6Type, LaxNetSlice, LaxSlicedPacket, SlicedPacket, TransportSlice,
};

use super::summary::FlowKey;

/// Reads the flow that a "destination unreachable" message quotes; nothing if the packet is no such message.
///
/// The message holds the start of the packet that wasn't delivered: at least its IP header and the 8 bytes behind it
/// (RFC 792), or as much as fits (RFC 4443).
#[must_use]
pub fn unreachable_flow(packet: &[u8]) -> Option<FlowKey> {
    let sliced = SlicedPacket::from_ip(packet).ok()?;
    match sliced.transport? {
        TransportSlice::Icmpv4(message) => match message.icmp_type() {
            Icmpv4Type::DestinationUnreachable(_) => quoted_flow(message.payload()),
            _ => None,
        },
        TransportSlice::Icmpv6(message) => match message.icmp_type() {
            Icmpv6Type::DestinationUnreachable(_) => quoted_flow(message.payload()),
            _ => None,
        },
        _ => None,
    }
}

fn quoted_flow(quoted: &[u8]) -> Option<FlowKey> {
    let sliced = LaxSlicedPacket::from_ip(quoted).ok()?;
    match sliced.net? {
        LaxNetSlice::Ipv4(slice) => {
            let header = slice.header();
            let source = IpAddr::V4(header.source_addr());
            let destination = IpAddr::V4(header.destination_addr());
            flow(
                source,
                destination,
                header.protocol().0,
                slice.payload().payload,
            )
        }
        LaxNetSlice::Ipv6(slice) => {
            let header = slice.header();
            let source = IpAddr::V6(header.source_addr());
            let destination = IpAddr::V6(header.destination_addr());
            flow(
                source,
                destination,
                header.next_header().0,
                slice.payload().payload,
            )
        }
        LaxNetSlice::Arp(_) => None,
    }
}

fn flow(source: IpAddr, destination: IpAddr, protocol: u8, payload: &[u8]) -> Option<FlowKey> {
    let ports = *payload.first_chunk()?;
    Some(FlowKey {
        source,
        destination,
        protocol,
        ports,
    })
}
