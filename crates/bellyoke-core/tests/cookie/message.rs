//! Encoding and validation of peer messages. Messages are untrusted input.

use crate::support::{at, configuration, node, of_service, record};
use bellyoke_core::cookie::capacity::{CapacityClass, NodePlace, ZoneKey};
use bellyoke_core::cookie::delta::{DirectoryDelta, RevisionGap, StateDelta};
use bellyoke_core::cookie::directory::Tombstone;
use bellyoke_core::cookie::exchange::{
    AliveInstance, DecodeError, DeltaMessage, EncodeError, FetchRequest, Heartbeat,
    MAXIMUM_DATAGRAM_BYTES, MAXIMUM_HEARTBEAT_BYTES, PeerDatagram, PeerKey, PeerSuggestion,
    ProbeRequest, ReachabilityReport, Refutation, ReportedFinding, WatcherClaim, ZoneSize,
    decode_snapshot, encode_snapshot,
};
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceId, InstanceRecord};
use bellyoke_core::cookie::replica::{DirectoryPart, DirectorySnapshot, Snapshot, Versions};
use bellyoke_core::cookie::revision::Revision;
use proptest::prelude::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn heartbeat(peers: u8) -> Heartbeat {
    let address = |last| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7_000);
    let place = NodePlace {
        zone: ZoneKey(u16::MAX),
        class: CapacityClass::LARGEST,
    };
    Heartbeat {
        versions: Versions {
            configuration: u64::MAX,
            configuration_as_of: Revision::new(u64::MAX),
            directory_changed_at: Revision::new(7),
            directory_as_of: Revision::new(9),
            zones_changed_at: Revision::new(u64::MAX),
            zones_as_of: Revision::new(u64::MAX),
        },
        leaving: false,
        peers_up_to_date: false,
        confirmed_age_milliseconds: Some(750),
        confirmed_by_newest_read: true,
        place,
        claims: (0..3)
            .map(|last| WatcherClaim {
                address: address(last),
                place,
                age_milliseconds: 40,
            })
            .collect(),
        peers: (0..peers)
            .map(|last| PeerSuggestion {
                address: address(last),
                place,
            })
            .collect(),
        zones: (0..8)
            .map(|zone| ZoneSize {
                zone: ZoneKey(zone),
                nodes: u16::MAX,
                age_milliseconds: u32::MAX,
            })
            .collect(),
        failing: (0..32).collect(),
    }
}

#[test]
fn heartbeat_round_trip() {
    for key in [PeerKey::default(), PeerKey::new([7; 32])] {
        let bytes = heartbeat(6).encode(&key).unwrap();
        assert!(bytes.len() <= MAXIMUM_HEARTBEAT_BYTES);
        assert_eq!(Heartbeat::decode(&bytes, &key), Ok(heartbeat(6)));
    }
}

#[test]
fn probe_request_round_trip() {
    let request = ProbeRequest {
        cookies: (0..ProbeRequest::MAXIMUM_COOKIES as u32).collect(),
    };
    let key = PeerKey::new([7; 32]);
    let bytes = request.encode(&key).unwrap();
    assert_eq!(
        PeerDatagram::decode(&bytes, &key),
        Ok(PeerDatagram::ProbeRequest(request))
    );
    let forged = PeerDatagram::decode(&bytes, &PeerKey::default());
    assert_eq!(forged, Err(DecodeError::Tag));
}

#[test]
fn full_findings_report_round_trip() {
    let finding = |cookie| ReportedFinding {
        cookie,
        node: SocketAddrV4::new([10, 0, 0, 1].into(), 7_000),
        zone: ZoneKey(3),
        reached: cookie.is_multiple_of(2),
        age_milliseconds: 250,
    };
    let findings = 0..ReachabilityReport::MAXIMUM_FINDINGS as u32;
    let report = ReachabilityReport {
        findings: findings.map(finding).collect(),
    };
    let key = PeerKey::new([7; 32]);
    let bytes = report.encode(&key).unwrap();
    assert_eq!(
        PeerDatagram::decode(&bytes, &key),
        Ok(PeerDatagram::Findings(report))
    );
    let forged = PeerDatagram::decode(&bytes, &PeerKey::default());
    assert_eq!(forged, Err(DecodeError::Tag));
}

#[test]
fn refutation_round_trip() {
    let refutation = Refutation {
        instances: (0..Refutation::MAXIMUM_INSTANCES as u32)
            .map(|cookie| AliveInstance {
                cookie,
                age_milliseconds: 300,
            })
            .collect(),
    };
    let key = PeerKey::new([7; 32]);
    let bytes = refutation.encode(&key).unwrap();
    let decoded = PeerDatagram::decode(&bytes, &key);
    assert_eq!(decoded, Ok(PeerDatagram::Refutation(refutation)));
    let forged = PeerDatagram::decode(&bytes, &PeerKey::default());
    assert_eq!(forged, Err(DecodeError::Tag));
}

#[test]
fn snapshot_round_trip() {
    let mut replica = node(vec![record(1, 1), record(2, 2)]);
    replica.replace_instances(at(5), Revision::new(20), vec![record(2, 2)]);
    let snapshot = replica.snapshot(at(100));
    let key = PeerKey::new([7; 32]);
    let bytes = encode_snapshot(&snapshot, &key).unwrap();
    assert_eq!(decode_snapshot(&bytes, &key), Ok(snapshot));
}

/// Returns a snapshot of many routes to a few services, with some instances and tombstones.
fn large_snapshot(routes: u16, instances: u64) -> Snapshot {
    let mut replica = node(Vec::new());
    let mut configuration = configuration(30, &[("till-service", 1)]);
    let one = configuration.routes[0].clone();
    configuration.routes = (0..routes)
        .map(|number| {
            let mut route = one.clone();
            route.address.set_port(1_000 + number);
            if number % 3 == 0 {
                route.services[0].service = "upload-service".to_owned();
            }
            route
        })
        .collect();
    replica.adopt_configuration(configuration);
    let records = (1..=instances).map(|id| of_service("till-service", record(id, 40 + id)));
    replica.replace_instances(at(5), Revision::new(2_000), records.collect());
    let remaining = (1..instances).map(|id| of_service("till-service", record(id, 40 + id)));
    replica.replace_instances(at(6), Revision::new(2_001), remaining.collect());
    replica.snapshot(at(7))
}

#[test]
fn a_snapshot_stores_each_service_name_once() {
    let key = PeerKey::default();
    let snapshot = large_snapshot(1_881, 46);
    let bytes = encode_snapshot(&snapshot, &key).unwrap();
    assert!(bytes.len() < 18_000, "{} bytes", bytes.len());
    assert_eq!(decode_snapshot(&bytes, &key), Ok(snapshot));
}

/// Identities and addresses are scattered like those of the store; the encoding cannot rely on
/// similarity between records.
#[test]
fn a_snapshot_of_thousands_of_instances_is_compressed() {
    let mut snapshot = large_snapshot(1_881, 1);
    let scattered = |number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let records = (1..=3_000_u64).map(|number| {
        let mut record = record(1, 40_000 + number);
        record.id = InstanceId(scattered(number));
        record.service = format!("service-{}", number % 3);
        record.zone = format!("zone-{}", number % 3);
        let [_, _, _, _, _, second, third, fourth] = scattered(number).to_le_bytes();
        record.address = SocketAddrV4::new(Ipv4Addr::new(10, second, third, fourth), 9_000);
        record
    });
    snapshot.directory = Some(DirectoryPart::Full(DirectorySnapshot {
        as_of: Revision::new(50_000),
        records: records.collect(),
    }));
    let key = PeerKey::default();
    let bytes = encode_snapshot(&snapshot, &key).unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() < 100_000, "{} bytes", bytes.len());
    assert_eq!(decode_snapshot(&bytes, &key), Ok(snapshot));
}

/// Without a key anybody can seal a message. A forged length must not cause a large allocation.
#[test]
fn a_snapshot_with_an_excessive_decompressed_length_is_rejected() {
    let key = PeerKey::default();
    let valid = encode_snapshot(&node(Vec::new()).snapshot(at(0)), &key).unwrap();
    let header = &valid[..2];
    let mut payload = u32::MAX.to_le_bytes().to_vec();
    payload.extend([0x1f, 7, 1, 0, 255, 255, 255, 0]);
    let mut hasher = blake3::Hasher::new();
    hasher.update(header);
    hasher.update(&payload);
    let mut forged = header.to_vec();
    forged.extend(hasher.finalize().as_bytes());
    forged.extend(payload);
    let rejected = decode_snapshot(&forged, &key);
    let length = u32::MAX as usize;
    assert_eq!(rejected, Err(DecodeError::Length { length }));
}

fn delta_message(records: u64) -> DeltaMessage {
    let mut replica = node(Vec::new());
    let before = replica.versions();
    let events = (1..=records).map(|id| InstanceEvent::Put(record(id, 10 + id)));
    replica.apply_instances(at(5), Revision::new(2_000), events.collect());
    DeltaMessage {
        versions: replica.versions(),
        delta: replica.delta_for(at(5), before).unwrap(),
    }
}

#[test]
fn delta_round_trip() {
    let key = PeerKey::new([7; 32]);
    let message = delta_message(8);
    let bytes = message.encode(&key).unwrap();
    assert!(bytes.len() <= MAXIMUM_DATAGRAM_BYTES);
    let decoded = PeerDatagram::decode(&bytes, &key);
    assert_eq!(decoded, Ok(PeerDatagram::Delta(message)));
    let decoded = PeerDatagram::decode(&heartbeat(2).encode(&key).unwrap(), &key);
    assert_eq!(decoded, Ok(PeerDatagram::Heartbeat(heartbeat(2))));
}

#[test]
fn a_delta_that_exceeds_a_datagram_is_not_encoded() {
    let encoded = delta_message(100).encode(&PeerKey::default());
    assert!(matches!(encoded, Err(EncodeError::TooLong { .. })));
}

#[test]
fn fetch_request_round_trip() {
    let key = PeerKey::new([7; 32]);
    let request = FetchRequest {
        known: heartbeat(0).versions,
        zone: ZoneKey(u16::MAX),
        wants_all_tombstones: true,
    };
    let bytes = request.encode(&key).unwrap();
    assert_eq!(FetchRequest::decode(&bytes, &key), Ok(request));
    assert!(FetchRequest::decode(&bytes, &PeerKey::default()).is_err());
}

#[test]
fn a_heartbeat_with_too_many_claims_is_rejected() {
    let key = PeerKey::default();
    let mut heartbeat = heartbeat(1);
    heartbeat.claims.push(heartbeat.claims[0]);
    let bytes = heartbeat.encode(&key).unwrap();
    assert!(Heartbeat::decode(&bytes, &key).is_err());
}

#[test]
fn a_message_with_another_key_is_rejected() {
    let bytes = heartbeat(1).encode(&PeerKey::new([7; 32])).unwrap();
    assert_eq!(
        Heartbeat::decode(&bytes, &PeerKey::new([8; 32])),
        Err(DecodeError::Tag)
    );
    assert_eq!(
        Heartbeat::decode(&bytes, &PeerKey::default()),
        Err(DecodeError::Tag)
    );
}

#[test]
fn a_snapshot_is_not_decoded_as_a_heartbeat() {
    let key = PeerKey::default();
    let bytes = encode_snapshot(&node(Vec::new()).snapshot(at(0)), &key).unwrap();
    assert!(matches!(
        Heartbeat::decode(&bytes, &key),
        Err(DecodeError::Kind { .. })
    ));
}

#[test]
fn a_heartbeat_with_too_many_peers_is_rejected() {
    let key = PeerKey::default();
    let bytes = heartbeat(7).encode(&key).unwrap();
    assert!(matches!(
        Heartbeat::decode(&bytes, &key),
        Err(DecodeError::Length { .. })
    ));
}

proptest! {
    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let key = PeerKey::default();
        prop_assert!(Heartbeat::decode(&bytes, &key).is_err());
        prop_assert!(PeerDatagram::decode(&bytes, &key).is_err());
        prop_assert!(FetchRequest::decode(&bytes, &key).is_err());
        prop_assert!(decode_snapshot(&bytes, &key).is_err());
    }

    #[test]
    fn corrupted_bytes_are_rejected(index in any::<prop::sample::Index>(), flip in 1..=255_u8) {
        let key = PeerKey::new([7; 32]);
        let mut bytes = heartbeat(3).encode(&key).unwrap();
        let index = index.index(bytes.len());
        bytes[index] ^= flip;
        prop_assert!(Heartbeat::decode(&bytes, &key).is_err());
    }
}

/// The replacement of a service changes this many instances per second.
#[test]
fn changes_of_thirty_instances_fit_in_a_datagram() {
    let records = (0..15).map(|number| InstanceRecord {
        started: Some(1_796_000_000_000 + number * 7_919),
        ..record(number * 0x9e37_79b1 % 0xffff_ffff, 40_000 + number)
    });
    let tombstones = (15..30).map(|number| Tombstone {
        record: record(number * 0x9e37_79b1 % 0xffff_ffff, 30_000 + number),
        age_milliseconds: 40,
        revision: Revision::new(40_020),
    });
    let message = DeltaMessage {
        versions: heartbeat(0).versions,
        delta: StateDelta {
            directory: Some(DirectoryDelta {
                since: Revision::new(40_000),
                as_of: Revision::new(40_020),
                gaps: vec![RevisionGap {
                    from: Revision::new(40_001),
                    to: Revision::new(40_009),
                }],
                records: records.collect(),
                tombstones: tombstones.collect(),
            }),
            ..StateDelta::default()
        },
    };
    let key = PeerKey::new([7; 32]);
    let bytes = message.encode(&key).unwrap();
    assert_eq!(
        PeerDatagram::decode(&bytes, &key),
        Ok(PeerDatagram::Delta(message))
    );
}
