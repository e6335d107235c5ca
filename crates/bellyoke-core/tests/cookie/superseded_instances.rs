//! Which instances have ended for certain, and what becomes of the flows that are open there.

use crate::support::{TOMBSTONE_LIFETIME, at, configuration, later, node, opening, record};
use bellyoke_core::cookie::delta::DirectoryDelta;
use bellyoke_core::cookie::directory::{Directory, Tombstone};
use bellyoke_core::cookie::exchange::{PeerKey, decode_snapshot, encode_snapshot};
use bellyoke_core::cookie::forwarder::{Decision, Forwarder, ResetReason};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceEvent, InstanceId, InstanceRecord};
use bellyoke_core::cookie::packet::PacketRole;
use bellyoke_core::cookie::replica::{Replica, Snapshot};
use bellyoke_core::cookie::revision::Revision;
use std::collections::BTreeSet;

const NOBODY: [u64; 0] = [];

/// The record of an instance at the address of another one.
fn at_address_of(other: u64, record: InstanceRecord) -> InstanceRecord {
    let address = crate::support::record(other, 1).address;
    InstanceRecord { address, ..record }
}

fn put(record: InstanceRecord) -> Vec<InstanceEvent> {
    vec![InstanceEvent::Put(record)]
}

fn gone(id: u64) -> Vec<InstanceEvent> {
    vec![InstanceEvent::Gone(InstanceId(id))]
}

/// The record of instance 9, which came to the address of instance 1 at revision 20.
fn successor() -> InstanceRecord {
    at_address_of(1, record(9, 20))
}

/// The record of instance 1, written again at a revision: it was created anew if it had gone.
fn written_late(revision: u64) -> InstanceRecord {
    record(1, revision)
}

/// Instances 1 and 2, and then 9 at the address of the first, whose record goes later.
fn both_present() -> Replica {
    let mut replica = node(vec![record(1, 1), record(2, 2)]);
    replica.apply_instances(at(5_000), Revision::new(20), put(successor()));
    replica
}

/// The same after the record of instance 1 has gone.
fn passed_on() -> Replica {
    let mut replica = both_present();
    replica.apply_instances(at(5_200), Revision::new(21), gone(1));
    replica
}

fn ended(replica: &Replica) -> Vec<u64> {
    let ended = replica.directory().superseded();
    ended.into_iter().map(|id| id.0).collect()
}

fn tombstone(record: InstanceRecord, age_milliseconds: u32, revision: u64) -> Tombstone {
    Tombstone {
        record,
        age_milliseconds,
        revision: Revision::new(revision),
    }
}

/// Where openings of 100 flows and their copies are placed.
fn placed(replica: &Replica) -> BTreeSet<u64> {
    let table = replica.table();
    let mut placed = BTreeSet::new();
    for (number, copy) in (0..100).flat_map(|number| (0..3).map(move |copy| (number, copy))) {
        let mut forwarder = Forwarder::new(HealthSettings::default());
        let decision = forwarder.decide(at(6_000), &table, &opening(number, copy), false);
        let Decision::Place { destination, .. } = decision else {
            panic!("{decision:?}");
        };
        placed.insert(destination.instance.0);
    }
    placed
}

fn decide(replica: &Replica, cookie: u64, role: PacketRole) -> Decision {
    let mut packet = later(1, Cookie::of(InstanceId(cookie)));
    packet.role = role;
    let mut forwarder = Forwarder::new(HealthSettings::default());
    forwarder.decide(at(6_000), &replica.table(), &packet, false)
}

#[test]
fn flows_of_an_instance_whose_address_passed_on_are_ended() {
    let replica = passed_on();
    let ended = Decision::Reset(ResetReason::Superseded);
    assert_eq!(decide(&replica, 1, PacketRole::Later), ended);
    for alive in [2, 9] {
        let decision = decide(&replica, alive, PacketRole::Later);
        assert!(matches!(decision, Decision::Follow { .. }), "{decision:?}");
    }
    // Who has given up itself wants no answer.
    let decision = decide(&replica, 1, PacketRole::Abort);
    assert!(matches!(decision, Decision::Follow { .. }), "{decision:?}");
}

#[test]
fn no_opening_goes_to_an_instance_whose_address_passed_on() {
    assert_eq!(placed(&both_present()), BTreeSet::from([2, 9]));
    assert_eq!(placed(&passed_on()), BTreeSet::from([2, 9]));
}

/// A record that is there may be that of an instance that lives: only what the store says of both ends flows.
#[test]
fn no_flow_is_ended_while_the_record_of_its_instance_is_there() {
    let mut replica = both_present();
    assert_eq!(ended(&replica), NOBODY);
    let decision = decide(&replica, 1, PacketRole::Later);
    assert!(matches!(decision, Decision::Follow { .. }), "{decision:?}");
    replica.apply_instances(at(9_000), Revision::new(30), gone(1));
    assert_eq!(ended(&replica), [1]);
}

#[test]
fn a_late_write_of_the_ended_instance_turns_nothing_round() {
    let mut replica = passed_on();
    replica.apply_instances(at(5_500), Revision::new(30), put(written_late(30)));
    assert_eq!(ended(&replica), NOBODY);
    assert_eq!(placed(&replica), BTreeSet::from([2, 9]));
    replica.apply_instances(at(9_100), Revision::new(31), gone(1));
    assert_eq!(ended(&replica), [1]);
}

/// A late write and the lapse that follows it, as a node meets them that started in between.
#[test]
fn a_late_write_of_an_unknown_instance_ends_nobody() {
    let restarted = || {
        let mut replica = node(vec![record(2, 2)]);
        replica.apply_instances(at(5_000), Revision::new(20), put(successor()));
        replica
    };
    let mut replica = restarted();
    replica.apply_instances(at(8_000), Revision::new(30), put(written_late(30)));
    assert_eq!(ended(&replica), NOBODY);
    replica.apply_instances(at(12_000), Revision::new(31), gone(1));
    assert_eq!(ended(&replica), NOBODY);
    // Both in one answer.
    let mut replica = restarted();
    let mut events = put(written_late(30));
    events.extend(gone(1));
    replica.apply_instances(at(12_000), Revision::new(31), events);
    assert_eq!(ended(&replica), NOBODY);
}

/// A restarted node sees the later instance at once, and learns of the earlier one, whose record went last.
#[test]
fn a_tombstone_that_went_after_its_successor_came_is_of_the_earlier_instance() {
    let mut replica = node(vec![record(2, 2), successor()]);
    let mut directory = Directory::new(TOMBSTONE_LIFETIME);
    directory.replace(at(0), Revision::new(20), vec![record(2, 2), successor()]);
    let went_last = tombstone(record(1, 1), 200, 25);
    directory.learn_tombstones(at(3_000), vec![went_last.clone()]);
    assert_eq!(directory.superseded(), BTreeSet::from([InstanceId(1)]));
    let snapshot = Snapshot {
        tombstones: vec![went_last],
        ..passed_on().snapshot_for(at(3_000), replica.versions(), Revision::new(0))
    };
    replica.merge(at(3_000), snapshot);
    assert_eq!(ended(&replica), [1]);
}

/// A node that knows of a late write only hears from peers that the instance was there before.
#[test]
fn peers_tell_of_creations_before_a_late_write() {
    let mut replica = node(vec![record(2, 2)]);
    replica.apply_instances(at(5_000), Revision::new(20), put(successor()));
    replica.apply_instances(at(8_000), Revision::new(30), put(written_late(30)));
    assert_eq!(placed(&replica), BTreeSet::from([1, 2]));

    let mut peer = passed_on();
    peer.apply_instances(at(8_000), Revision::new(30), put(written_late(30)));
    let snapshot = peer.snapshot_for(at(8_500), replica.versions(), Revision::new(0));
    assert_eq!(snapshot.directory, None, "both know all up to revision 30");
    let bytes = encode_snapshot(&snapshot, &PeerKey::default()).unwrap();
    let snapshot = decode_snapshot(&bytes, &PeerKey::default()).unwrap();
    assert!(replica.merge(at(8_500), snapshot).directory);
    assert_eq!(placed(&replica), BTreeSet::from([2, 9]));
    replica.apply_instances(at(12_000), Revision::new(31), gone(1));
    assert_eq!(ended(&replica), [1]);
}

#[test]
fn the_smaller_creation_counts_whoever_tells_it() {
    let created = |directory: &Directory| directory.instances().next().unwrap().record.created;
    let late = || {
        let mut directory = Directory::new(TOMBSTONE_LIFETIME);
        directory.replace(at(0), Revision::new(30), vec![written_late(30)]);
        directory
    };
    let mut by_tombstone = late();
    assert!(by_tombstone.learn_tombstones(at(10), vec![tombstone(record(1, 1), 5, 8)]));
    assert_eq!(created(&by_tombstone), Some(Revision::new(1)));
    let mut by_old_list = late();
    assert!(by_old_list.replace(at(10), Revision::new(20), vec![record(1, 4)]));
    assert_eq!(created(&by_old_list), Some(Revision::new(4)));
    let mut by_delta = late();
    let delta = DirectoryDelta {
        since: Revision::new(3),
        as_of: Revision::new(20),
        gaps: Vec::new(),
        records: vec![record(1, 4)],
        gone: vec![tombstone(record(1, 2), 5, 3)],
    };
    assert!(by_delta.apply_delta(at(10), delta));
    assert_eq!(created(&by_delta), Some(Revision::new(2)));
    // It stays when the record is created anew, and is what peers are told.
    by_delta.apply(at(20), Revision::new(40), put(written_late(40)));
    assert_eq!(by_delta.records(at(20))[0].created, Some(Revision::new(2)));
}

#[test]
fn a_successor_that_lapses_ends_nobody_until_it_is_back() {
    let mut replica = passed_on();
    replica.apply_instances(at(6_000), Revision::new(30), gone(9));
    assert_eq!(ended(&replica), NOBODY);
    let back = at_address_of(1, record(9, 40));
    replica.apply_instances(at(8_000), Revision::new(40), put(back));
    assert_eq!(ended(&replica), [1]);
    // It was created first at 20: a late write in between was no later instance.
    replica.apply_instances(at(8_100), Revision::new(41), gone(9));
    replica.apply_instances(at(8_200), Revision::new(42), put(written_late(35)));
    assert_eq!(ended(&replica), NOBODY);
}

#[test]
fn where_a_creation_is_not_known_nobody_has_ended() {
    let unknown = |record: InstanceRecord| InstanceRecord {
        created: None,
        ..record
    };
    for (earlier, later) in [
        (record(1, 1), unknown(successor())),
        (unknown(record(1, 1)), successor()),
    ] {
        let mut replica = node(vec![earlier, record(2, 2)]);
        replica.apply_instances(at(5_000), Revision::new(20), put(later));
        replica.apply_instances(at(6_000), Revision::new(21), gone(1));
        assert_eq!(ended(&replica), NOBODY);
    }
}

#[test]
fn records_that_came_together_tell_their_order() {
    let mut directory = Directory::new(TOMBSTONE_LIFETIME);
    directory.replace(at(0), Revision::new(20), vec![record(1, 1), successor()]);
    assert_eq!(directory.superseded(), BTreeSet::new());
    directory.apply(at(10), Revision::new(21), gone(1));
    assert_eq!(directory.superseded(), BTreeSet::from([InstanceId(1)]));
}

/// Ids that fold to one cookie: the earlier created one has it at all nodes, whichever they met first.
#[test]
fn a_shared_cookie_names_the_instance_that_was_created_first() {
    let folded = record((5 << 32) | 6, 4);
    let first = InstanceRecord {
        created: Some(Revision::new(3)),
        ..record(3, 5)
    };
    assert_eq!(Cookie::of(folded.id), Cookie::of(first.id));
    for (met_first, met_last) in [(folded.clone(), first.clone()), (first, folded)] {
        let mut replica = node(vec![record(2, 2)]);
        replica.apply_instances(
            at(1_000),
            Revision::new(11),
            put(InstanceRecord {
                revision: Revision::new(11),
                ..met_first
            }),
        );
        replica.apply_instances(
            at(2_000),
            Revision::new(12),
            put(InstanceRecord {
                revision: Revision::new(12),
                ..met_last
            }),
        );
        let table = replica.table();
        let destination = table.destination(Cookie::of(InstanceId(3))).unwrap();
        assert_eq!(destination.instance, InstanceId(3));
    }
}

#[test]
fn a_record_that_lapsed_and_came_back_is_of_the_same_instance() {
    let mut replica = node(vec![record(1, 1)]);
    replica.adopt_configuration(configuration(2, &[("till", 1)]));
    let gone = vec![InstanceEvent::Gone(InstanceId(1))];
    replica.apply_instances(at(5_000), Revision::new(20), gone);
    replica.apply_instances(at(9_000), Revision::new(21), put(record(1, 21)));
    assert_eq!(replica.directory().superseded(), BTreeSet::new());
}
