//! Parsing of packets.

mod flow_support;

use bellyoke_core::flow::DropReason;
use bellyoke_core::packet::{
    PacketError, PacketKind, ParseOptions, TcpFlags, Transport, parse, reset_for, too_big_for,
};
use etherparse::{Icmpv4Type, Icmpv6Type, IpSlice, icmpv4};
use flow_support::*;
use proptest::prelude::*;

fn parse_error(packet: &[u8]) -> PacketError {
    parse(packet, &ParseOptions::default()).unwrap_err()
}

fn drop_reason(packet: &[u8]) -> DropReason {
    parse_error(packet).into()
}

/// Recomputes the checksum of a changed IPv4 header.
fn fix_header_checksum(packet: &mut [u8]) {
    packet[10..12].fill(0);
    let sum = etherparse::checksum::Sum16BitWords::new().add_slice(&packet[..20]);
    packet[10..12].copy_from_slice(&sum.ones_complement().to_ne_bytes());
}

#[test]
fn valid_packets_are_parsed() {
    let packet = tcp_v4(7000, SYN, b"");
    let summary = read(&packet);
    assert_eq!(summary.key, key(Transport::Tcp, 7000, TCP_PORT));
    assert_eq!(summary.kind, PacketKind::Tcp(SYN));
    assert_eq!(summary.length, packet.len());
    let summary = read(&tcp_v6(7001, FIN, b"data"));
    assert_eq!(summary.key.source, CALLER_V6);
    assert_eq!(summary.kind, PacketKind::Tcp(FIN));
    let summary = read(&udp_v4(7002, b"question"));
    assert_eq!(summary.key, key(Transport::Udp, 7002, UDP_PORT));
    let summary = read(&udp_v6(7003, b"question"));
    assert_eq!(summary.key.destination, SERVICE_V6);
    assert_eq!(summary.kind, PacketKind::Udp);
}

#[test]
fn only_a_syn_without_ack_or_rst_or_a_datagram_may_open_a_flow() {
    let with = |syn, ack, rst| {
        let fin = false;
        tcp(1, TcpFlags { syn, ack, fin, rst }).may_open()
    };
    assert!(with(true, false, false));
    assert!(!with(true, true, false));
    assert!(!with(true, false, true));
    assert!(!with(false, true, false));
    assert!(udp(1).may_open());
}

#[test]
fn a_truncated_or_extended_packet_is_rejected() {
    let packets = [
        tcp_v4(1, SYN, b"data"),
        tcp_v6(1, SYN, b"data"),
        udp_v4(1, b"data"),
        udp_v6(1, b"data"),
    ];
    for packet in packets {
        for length in 0..packet.len() {
            assert_eq!(drop_reason(&packet[..length]), DropReason::Malformed);
        }
        let mut longer = packet.clone();
        longer.push(0);
        let length = longer.len();
        assert_eq!(parse_error(&longer), PacketError::Length { length });
    }
}

#[test]
fn a_wrong_udp_length_is_rejected() {
    let mut packet = udp_v4(1, b"data");
    packet[25] -= 1;
    assert_eq!(drop_reason(&packet), DropReason::Malformed);
    packet[25] = 0;
    assert_eq!(drop_reason(&packet), DropReason::Malformed);
}

#[test]
fn checksums_are_verified_unless_disabled() {
    let unchecked = ParseOptions {
        verify_checksums: false,
        ..ParseOptions::default()
    };
    let packets = [
        (tcp_v4(1, ACK, b"data"), 10, PacketError::HeaderChecksum),
        (tcp_v4(1, ACK, b"data"), 36, PacketError::TransportChecksum),
        (tcp_v6(1, ACK, b"data"), 56, PacketError::TransportChecksum),
        (udp_v4(1, b"data"), 27, PacketError::TransportChecksum),
        (udp_v6(1, b"data"), 47, PacketError::TransportChecksum),
    ];
    for (mut packet, byte, expected) in packets {
        assert!(parse(&packet, &ParseOptions::default()).is_ok());
        packet[byte] ^= 0x10;
        assert_eq!(parse_error(&packet), expected);
        assert_eq!(DropReason::from(expected), DropReason::Checksum);
        assert!(parse(&packet, &unchecked).is_ok());
    }
}

#[test]
fn udp_may_omit_its_checksum_over_ipv4_only() {
    let mut packet = udp_v4(1, b"data");
    packet[26..28].fill(0);
    assert!(parse(&packet, &ParseOptions::default()).is_ok());
    let mut packet = udp_v6(1, b"data");
    packet[46..48].fill(0);
    assert_eq!(parse_error(&packet), PacketError::TransportChecksum);
}

#[test]
fn fragments_are_rejected() {
    for (byte, value) in [(6, 0x20), (7, 0x01)] {
        let mut packet = tcp_v4(1, ACK, b"data");
        packet[byte] = value;
        fix_header_checksum(&mut packet);
        assert_eq!(parse_error(&packet), PacketError::Fragment);
    }
    let mut packet = udp_v6(1, b"data");
    let fragment_header = [17, 0, 0, 1, 0, 0, 0, 9];
    packet[5] += fragment_header.len() as u8;
    packet[6] = 44;
    packet.splice(40..40, fragment_header);
    assert_eq!(parse_error(&packet), PacketError::Fragment);
    assert_eq!(drop_reason(&packet), DropReason::Fragment);
}

#[test]
fn other_protocols_are_rejected() {
    let mut packet = tcp_v4(1, ACK, b"");
    packet[9] = 47;
    fix_header_checksum(&mut packet);
    assert_eq!(parse_error(&packet), PacketError::Protocol(47));
    let echo = Icmpv4Type::EchoRequest(etherparse::IcmpEchoHeader { id: 1, seq: 1 });
    let packet = write_icmpv4(SERVICE.octets(), echo, &answer_v4(1));
    assert_eq!(drop_reason(&packet), DropReason::Protocol);
}

#[test]
fn a_valid_packet_over_the_length_limit_is_rejected() {
    let packet = tcp_v4(1, ACK, &[0; 100]);
    let limited = |maximum_packet_bytes| ParseOptions {
        maximum_packet_bytes,
        ..ParseOptions::default()
    };
    assert!(parse(&packet, &limited(packet.len())).is_ok());
    let error = parse(&packet, &limited(packet.len() - 1)).unwrap_err();
    assert_eq!(DropReason::from(error), DropReason::Oversized);
}

#[test]
fn an_icmp_error_belongs_to_the_flow_that_it_quotes() {
    let needed = icmpv4::DestUnreachableHeader::FragmentationNeeded { next_hop_mtu: 1300 };
    let message = Icmpv4Type::DestinationUnreachable(needed);
    // RFC 792 requires routers to quote only eight bytes after the IP header.
    let packet = write_icmpv4(SERVICE.octets(), message, &answer_v4(7000)[..28]);
    let summary = read(&packet);
    assert_eq!(summary.key, key(Transport::Tcp, 7000, TCP_PORT));
    assert_eq!(summary.kind, PacketKind::IcmpError);
    assert!(!summary.may_open());
    let too_big = Icmpv6Type::PacketTooBig { mtu: 1300 };
    let summary = read(&write_icmpv6(too_big, &answer_v6(7003)));
    assert_eq!(summary.key, read(&udp_v6(7003, b"")).key);
    assert_eq!(summary.kind, PacketKind::IcmpError);
}

#[test]
fn an_icmp_error_that_quotes_another_host_is_rejected() {
    let port = icmpv4::DestUnreachableHeader::Port;
    let message = Icmpv4Type::DestinationUnreachable(port);
    let packet = write_icmpv4([192, 0, 2, 2], message.clone(), &answer_v4(7000));
    assert_eq!(parse_error(&packet), PacketError::ForeignQuote);
    for length in 0..24 {
        let quote = &answer_v4(7000)[..length];
        let packet = write_icmpv4(SERVICE.octets(), message.clone(), quote);
        assert_eq!(parse_error(&packet), PacketError::Header);
    }
}

#[test]
fn an_icmp_error_that_quotes_a_later_fragment_is_rejected() {
    let port = icmpv4::DestUnreachableHeader::Port;
    let message = Icmpv4Type::DestinationUnreachable(port);
    let mut quote = answer_v4(7000);
    quote[7] = 1;
    let packet = write_icmpv4(SERVICE.octets(), message, &quote);
    assert_eq!(parse_error(&packet), PacketError::Fragment);
}

/// Returns valid packets to mutate.
fn valid_packets() -> Vec<Vec<u8>> {
    let port = icmpv4::DestUnreachableHeader::Port;
    let unreachable = Icmpv4Type::DestinationUnreachable(port);
    let too_big = Icmpv6Type::PacketTooBig { mtu: 1300 };
    vec![
        tcp_v4(1, SYN, b"data"),
        tcp_v6(2, ACK, b"data"),
        udp_v4(3, b"data"),
        udp_v6(4, b"data"),
        write_icmpv4(SERVICE.octets(), unreachable, &answer_v4(5)),
        write_icmpv6(too_big, &answer_v6(6)),
    ]
}

/// Parses a packet with and without checksum verification. Answers to it must be valid IP packets.
fn parse_and_answer(packet: &[u8]) -> Result<(), TestCaseError> {
    for verify_checksums in [true, false] {
        let options = ParseOptions {
            verify_checksums,
            maximum_packet_bytes: 1500,
        };
        let _ = parse(packet, &options);
    }
    for answer in [reset_for(packet), too_big_for(packet, 1300)]
        .into_iter()
        .flatten()
    {
        prop_assert!(IpSlice::from_slice(&answer).is_ok());
    }
    Ok(())
}

proptest! {
    #![proptest_config(seeded(512))]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        parse_and_answer(&bytes)?;
    }

    #[test]
    fn arbitrary_bytes_with_a_valid_ip_version_do_not_panic(
        version in prop_oneof![0x40_u8..0x50, Just(0x60)],
        mut bytes in proptest::collection::vec(any::<u8>(), 1..200),
    ) {
        bytes[0] = version;
        parse_and_answer(&bytes)?;
    }

    #[test]
    fn mutated_packets_do_not_panic(
        which in 0..6_usize,
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..8),
        length in any::<prop::sample::Index>(),
        cut in any::<bool>(),
    ) {
        let mut packet = valid_packets().swap_remove(which);
        for (index, value) in changes {
            let index = index.index(packet.len());
            packet[index] = value;
        }
        if cut {
            packet.truncate(length.index(packet.len()));
        }
        parse_and_answer(&packet)?;
    }
}

#[test]
fn a_corrupt_byte_never_results_in_another_flow() {
    for valid in valid_packets().into_iter().take(4) {
        let before = read(&valid).key;
        for index in 0..valid.len() {
            for flip in 1..=u8::MAX {
                let mut packet = valid.clone();
                packet[index] ^= flip;
                if let Ok(summary) = parse(&packet, &ParseOptions::default()) {
                    assert_eq!(summary.key, before, "byte {index} changed by {flip}");
                }
            }
        }
    }
}
