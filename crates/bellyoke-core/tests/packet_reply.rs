//! Resets and ICMP errors that a balancer sends to callers.

mod flow_support;

use bellyoke_core::packet::{PacketSummary, ParseOptions, TcpFlags, parse, reset_for, too_big_for};
use etherparse::{
    Icmpv4Header, Icmpv4Slice, Icmpv4Type, Icmpv6Slice, Icmpv6Type, IpNumber, IpSlice, TcpSlice,
    icmpv4, icmpv6,
};
use flow_support::*;

/// Parses an answer from the service to the caller. Returns its protocol and payload.
fn parse_answer(answer: &[u8], to: &PacketSummary) -> (IpNumber, Vec<u8>) {
    let ip = IpSlice::from_slice(answer).unwrap();
    assert_eq!(ip.source_addr(), to.key.destination);
    assert_eq!(ip.destination_addr(), to.key.source);
    (ip.payload_ip_number(), ip.payload().payload.to_vec())
}

#[test]
fn a_segment_with_ack_is_reset_at_its_acknowledgment_number() {
    for packet in [tcp_v4(7000, FIN, b"data"), tcp_v6(7000, ACK, b"")] {
        let answer = reset_for(&packet).unwrap();
        assert!(parse(&answer, &ParseOptions::default()).is_ok());
        let (_, segment) = parse_answer(&answer, &read(&packet));
        let segment = TcpSlice::from_slice(&segment).unwrap();
        assert_eq!(
            (segment.source_port(), segment.destination_port()),
            (TCP_PORT, 7000)
        );
        assert!(segment.rst() && !segment.ack());
        assert_eq!(segment.sequence_number(), 5000);
    }
}

#[test]
fn a_segment_without_ack_is_reset_and_acknowledged() {
    let answer = reset_for(&tcp_v4(7000, SYN, b"data")).unwrap();
    let ip = IpSlice::from_slice(&answer).unwrap();
    let segment = TcpSlice::from_slice(ip.payload().payload).unwrap();
    assert!(segment.rst() && segment.ack());
    assert_eq!(segment.sequence_number(), 0);
    // SYN and four bytes after sequence number 1000.
    assert_eq!(segment.acknowledgment_number(), 1005);
    let fin = TcpFlags { ack: false, ..FIN };
    let answer = reset_for(&tcp_v4(7000, fin, b"")).unwrap();
    let ip = IpSlice::from_slice(&answer).unwrap();
    let segment = TcpSlice::from_slice(ip.payload().payload).unwrap();
    assert_eq!(segment.acknowledgment_number(), 1001);
}

#[test]
fn a_datagram_is_answered_with_port_unreachable() {
    let packet = udp_v4(7002, &[1; 900]);
    let answer = reset_for(&packet).unwrap();
    assert_eq!(answer.len(), 576);
    let (protocol, message) = parse_answer(&answer, &read(&packet));
    assert_eq!(protocol, IpNumber::ICMP);
    let icmp = Icmpv4Slice::from_slice(&message).unwrap();
    let port = Icmpv4Type::DestinationUnreachable(icmpv4::DestUnreachableHeader::Port);
    assert_eq!(icmp.icmp_type(), port);
    assert_eq!(icmp.payload(), &packet[..548]);
    let computed = Icmpv4Header::with_checksum(port, icmp.payload());
    assert_eq!(icmp.checksum(), computed.checksum);

    let packet = udp_v6(7003, &[1; 1300]);
    let answer = reset_for(&packet).unwrap();
    assert_eq!(answer.len(), 1280);
    let (protocol, message) = parse_answer(&answer, &read(&packet));
    assert_eq!(protocol, IpNumber::IPV6_ICMP);
    let icmp = Icmpv6Slice::from_slice(&message).unwrap();
    let port = Icmpv6Type::DestinationUnreachable(icmpv6::DestUnreachableCode::Port);
    assert_eq!(icmp.icmp_type(), port);
    assert!(icmp.is_checksum_valid(SERVICE_V6.octets(), CALLER_V6.octets()));
}

#[test]
fn an_oversized_packet_is_answered_with_the_mtu() {
    let packet = tcp_v4(7000, ACK, &[0; 1400]);
    let (_, message) = parse_answer(&too_big_for(&packet, 1300).unwrap(), &read(&packet));
    let needed = icmpv4::DestUnreachableHeader::FragmentationNeeded { next_hop_mtu: 1300 };
    assert_eq!(
        Icmpv4Slice::from_slice(&message).unwrap().icmp_type(),
        Icmpv4Type::DestinationUnreachable(needed)
    );
    let packet = udp_v6(7000, &[0; 1400]);
    let (_, message) = parse_answer(&too_big_for(&packet, 1300).unwrap(), &read(&packet));
    assert_eq!(
        Icmpv6Slice::from_slice(&message).unwrap().icmp_type(),
        Icmpv6Type::PacketTooBig { mtu: 1300 }
    );
}

#[test]
fn resets_icmp_errors_and_non_host_addresses_are_not_answered() {
    let rst = TcpFlags { rst: true, ..ACK };
    assert_eq!(reset_for(&tcp_v4(1, rst, b"")), None);
    let port = icmpv4::DestUnreachableHeader::Port;
    let message = Icmpv4Type::DestinationUnreachable(port);
    let error = write_icmpv4(SERVICE.octets(), message, &answer_v4(1));
    assert_eq!(reset_for(&error), None);
    assert_eq!(too_big_for(&error, 1300), None);
    for source in [[0, 0, 0, 0], [255, 255, 255, 255], [224, 0, 0, 1]] {
        let mut packet = udp_v4(1, b"data");
        packet[12..16].copy_from_slice(&source);
        assert_eq!(reset_for(&packet), None);
    }
}
