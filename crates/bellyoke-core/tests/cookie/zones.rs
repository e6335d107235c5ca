//! Zones drained by operators: their state, its exchange between nodes, and its effect on
//! instances.

use crate::support::{TOMBSTONE_LIFETIME, at, configuration, later, opening, record};
use bellyoke_core::cookie::coordinator::Coordinator;
use bellyoke_core::cookie::exchange::{Exchange, ExchangeSettings};
use bellyoke_core::cookie::follower::Update;
use bellyoke_core::cookie::forwarder::{Decision, Forwarder, RefusalReason};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceEvent, InstanceId, InstanceRecord};
use bellyoke_core::cookie::placement::Suitability;
use bellyoke_core::cookie::readiness::{Lifecycle, Unready};
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::route::ServiceLimits;
use bellyoke_core::cookie::zones::{DrainedZone, ZoneDrains, ZoneEvent};
use std::net::SocketAddrV4;
use std::time::Duration;

fn drained(zone: &str, revision: u64) -> DrainedZone {
    DrainedZone {
        zone: zone.to_owned(),
        revision: Revision::new(revision),
    }
}

fn in_zone(zone: &str, record: InstanceRecord) -> InstanceRecord {
    InstanceRecord {
        zone: zone.to_owned(),
        ..record
    }
}

/// Returns a node with the service `till`, one instance in Cork, one in Kerry and no drained zones.
fn node() -> Replica {
    let mut replica = Replica::reading_zones(TOMBSTONE_LIFETIME);
    let mut configuration = configuration(1, &[("till", 1)]);
    configuration.limits = vec![ServiceLimits {
        service: "till".to_owned(),
        cold_milliseconds: 2_000,
        cold_flows_per_minute: 600,
    }];
    replica.adopt_configuration(configuration);
    let records = vec![
        in_zone("cork", record(1, 1)),
        in_zone("kerry", record(2, 2)),
    ];
    replica.replace_instances(at(0), Revision::new(10), records);
    replica.replace_zones(at(0), Revision::new(10), Vec::new());
    replica
}

/// Returns the destinations of the openings and their copies for many flows.
fn destinations(replica: &Replica, now: u64) -> Vec<Option<(InstanceId, Suitability)>> {
    let table = replica.table();
    let mut found = Vec::new();
    for number in 0..50 {
        for copy in 0..3 {
            let mut forwarder = Forwarder::new(HealthSettings::default());
            let packet = opening(number, copy);
            found.push(match forwarder.decide(at(now), &table, &packet, false) {
                Decision::Place {
                    destination,
                    suitability,
                } => Some((destination.instance, suitability)),
                Decision::Refuse(RefusalReason::NoInstance) => None,
                other => panic!("{other:?}"),
            });
        }
    }
    found
}

#[test]
fn openings_and_their_copies_avoid_drained_zones() {
    let mut replica = node();
    replica.apply_zones(
        at(5),
        Revision::new(20),
        vec![ZoneEvent::Drained(drained("cork", 20))],
    );
    let found = destinations(&replica, 10);
    let expected = Some((InstanceId(2), Suitability::Full));
    assert!(found.iter().all(|found| *found == expected), "{found:?}");
}

#[test]
fn open_flows_of_a_drained_zone_stay() {
    let mut replica = node();
    replica.replace_zones(at(5), Revision::new(20), vec![drained("cork", 20)]);
    let cookie = Cookie::of(InstanceId(1));
    let mut forwarder = Forwarder::new(HealthSettings::default());
    let decision = forwarder.decide(at(10), &replica.table(), &later(3, cookie), false);
    assert!(
        matches!(decision, Decision::Follow { destination, .. } if destination.cookie == cookie)
    );
}

#[test]
fn a_new_flow_is_refused_at_once_if_all_zones_are_drained() {
    let mut replica = node();
    let zones = vec![drained("cork", 20), drained("kerry", 21)];
    replica.replace_zones(at(5), Revision::new(21), zones);
    assert!(destinations(&replica, 10).iter().all(Option::is_none));
    // An instance whose record was just deleted isn't used instead either.
    replica.apply_instances(
        at(6),
        Revision::new(22),
        vec![InstanceEvent::Gone(InstanceId(1))],
    );
    assert!(destinations(&replica, 10).iter().all(Option::is_none));
}

#[test]
fn an_undrained_zone_is_cold_until_a_newer_record_shows_otherwise() {
    let mut replica = node();
    replica.replace_zones(at(5), Revision::new(20), vec![drained("cork", 20)]);
    let undrained = vec![ZoneEvent::Undrained("cork".to_owned())];
    replica.apply_zones(at(1_000), Revision::new(30), undrained);
    let is_cold = |replica: &Replica, now| {
        let found = destinations(replica, now);
        found.iter().all(|found| {
            found.is_none_or(|(id, suitability)| {
                id != InstanceId(1) || suitability == Suitability::Cold
            })
        })
    };
    assert!(is_cold(&replica, 1_100), "cold right after the undrain");
    assert!(!is_cold(&replica, 3_100), "warm after two seconds");
    let newer = vec![InstanceEvent::Put(in_zone("cork", record(1, 31)))];
    replica.apply_instances(at(1_200), Revision::new(31), newer);
    assert!(
        !is_cold(&replica, 1_300),
        "a newer record shows that it is warm"
    );
}

#[test]
fn older_updates_of_zones_are_ignored() {
    let mut zones = ZoneDrains::unknown();
    assert!(zones.replace(at(1), Revision::new(20), vec![drained("cork", 15)]));
    assert!(
        !zones.replace(at(2), Revision::new(19), Vec::new()),
        "older list"
    );
    let undrained = vec![ZoneEvent::Undrained("cork".to_owned())];
    assert!(
        !zones.apply(at(3), Revision::new(20), undrained.clone()),
        "changes that end at the known revision"
    );
    assert!(zones.is_drained("cork"));
    let mut peer = ZoneDrains::unknown();
    peer.replace(at(1), Revision::new(10), Vec::new());
    let old = peer.snapshot(at(1)).unwrap();
    assert!(!zones.adopt(at(4), old), "a set of an outdated peer");
    assert!(zones.is_drained("cork"));
    assert!(zones.apply(at(5), Revision::new(25), undrained));
    assert!(!zones.is_drained("cork"));
}

/// A node lists again after the store has discarded its history. A peer at a revision in between
/// may have another set and must adopt the new one.
#[test]
fn a_full_list_replaces_the_set_of_an_outdated_peer() {
    let mut zones = ZoneDrains::unknown();
    zones.replace(at(1), Revision::new(20), Vec::new());
    let mut peer = ZoneDrains::unknown();
    peer.replace(at(1), Revision::new(20), Vec::new());
    let drain = vec![ZoneEvent::Drained(drained("cork", 25))];
    peer.apply(at(2), Revision::new(25), drain);
    zones.replace(at(3), Revision::new(30), Vec::new());
    assert!(peer.adopt(at(4), zones.snapshot(at(4)).unwrap()));
    assert!(!peer.is_drained("cork"));
    assert!(peer.last_undrain("cork").is_some());
}

#[test]
fn undrained_zones_are_sent_with_their_age_and_expire() {
    let mut zones = ZoneDrains::unknown();
    zones.replace(at(1_000), Revision::new(20), vec![drained("cork", 15)]);
    zones.replace(at(5_000), Revision::new(30), Vec::new());
    let mut starting = ZoneDrains::unknown();
    starting.adopt(at(9_000), zones.snapshot(at(7_000)).unwrap());
    let undrain = starting.last_undrain("cork").unwrap();
    assert_eq!(undrain.at, at(7_000), "2 s before the snapshot was adopted");
    starting.expire(at(60_000));
    assert!(starting.last_undrain("cork").is_some());
    starting.expire(at(67_000));
    assert!(starting.last_undrain("cork").is_none());
}

#[test]
fn a_node_is_not_ready_before_it_knows_the_drained_zones() {
    let mut replica = Replica::reading_zones(TOMBSTONE_LIFETIME);
    replica.adopt_configuration(configuration(1, &[("till", 1)]));
    replica.replace_instances(at(0), Revision::new(10), vec![record(1, 1)]);
    let lifecycle = Lifecycle::new(Duration::from_secs(1));
    assert_eq!(lifecycle.ready(replica.versions()), Err(Unready::NoZones));
    assert!(!replica.table().is_initialized());
    replica.replace_zones(at(1), Revision::new(11), Vec::new());
    assert_eq!(lifecycle.ready(replica.versions()), Ok(()));
    assert!(replica.table().is_initialized());
}

fn coordinator(number: u8) -> Coordinator {
    let settings = ExchangeSettings {
        reads_zones: true,
        ..ExchangeSettings::default()
    };
    let address = SocketAddrV4::new([10, 1, 0, number].into(), 7_000);
    let exchange = Exchange::new(settings, address, Vec::new(), u64::from(number));
    Coordinator::new(Replica::reading_zones(TOMBSTONE_LIFETIME), exchange)
}

#[test]
fn drained_zones_reach_a_peer_by_delta_and_a_starting_node_by_snapshot() {
    let address = SocketAddrV4::new([10, 1, 0, 1].into(), 7_000);
    let mut sender = coordinator(1);
    let mut peer = coordinator(2);
    for node in [&mut sender, &mut peer] {
        let none = Update::List {
            at: Revision::new(10),
            items: Vec::new(),
        };
        node.apply_zones(at(90_000), none);
    }
    let known = peer.replica().versions();
    let drain = Update::Changes {
        at: Revision::new(20),
        events: vec![ZoneEvent::Drained(drained("cork", 20))],
    };
    assert!(sender.apply_zones(at(90_001), drain).change.zones);
    let message = sender.delta_for(at(90_002), known).unwrap();
    let datagram = bellyoke_core::cookie::exchange::PeerDatagram::Delta(message);
    assert!(
        peer.handle_datagram(at(90_003), address, datagram)
            .change
            .zones
    );
    assert!(peer.replica().zones().is_drained("cork"));

    let mut starting = coordinator(3);
    let snapshot = peer.snapshot_for(at(90_004), starting.fetch_request());
    assert!(
        starting
            .apply_snapshot(at(90_005), address, snapshot)
            .change
            .zones
    );
    assert!(starting.replica().zones().is_drained("cork"));
}
