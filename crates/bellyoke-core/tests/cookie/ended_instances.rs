//! Which instances have ended for certain, and what becomes of the flows that are open there.

use crate::support::{TOMBSTONE_LIFETIME, at, configuration, later, node, opening, record};
use bellyoke_core::cookie::directory::Directory;
use bellyoke_core::cookie::forwarder::{Decision, Forwarder, ResetReason};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceEvent, InstanceId, InstanceRecord};
use bellyoke_core::cookie::packet::PacketRole;
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use std::collections::BTreeSet;

/// The record of an instance at the address of another one.
fn at_address_of(other: u64, record: InstanceRecord) -> InstanceRecord {
    let address = crate::support::record(other, 1).address;
    InstanceRecord { address, ..record }
}

fn put(record: InstanceRecord) -> Vec<InstanceEvent> {
    vec![InstanceEvent::Put(record)]
}

/// Instances 1 and 2, and then 9 at the address of the first.
fn passed_on() -> Replica {
    let mut replica = node(vec![record(1, 1), record(2, 2)]);
    let newer = put(at_address_of(1, record(9, 20)));
    replica.apply_instances(at(5_000), Revision(20), newer);
    replica
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
    let replica = passed_on();
    let table = replica.table();
    for number in 0..100 {
        for copy in 0..3 {
            let mut forwarder = Forwarder::new(HealthSettings::default());
            let decision = forwarder.decide(at(6_000), &table, &opening(number, copy), false);
            let Decision::Place { destination, .. } = decision else {
                panic!("{decision:?}");
            };
            assert_ne!(destination.instance, InstanceId(1));
        }
    }
}

#[test]
fn a_late_write_of_the_ended_instance_changes_nothing() {
    let mut replica = passed_on();
    replica.apply_instances(at(5_500), Revision(30), put(record(1, 30)));
    assert_eq!(
        replica.directory().superseded(),
        BTreeSet::from([InstanceId(1)])
    );
}

#[test]
fn records_that_came_together_tell_no_order() {
    let mut directory = Directory::new(TOMBSTONE_LIFETIME);
    let both = vec![record(1, 1), at_address_of(1, record(9, 20))];
    directory.replace(at(0), Revision(20), both);
    assert_eq!(directory.superseded(), BTreeSet::new());
}

#[test]
fn a_record_that_lapsed_and_came_back_is_of_the_same_instance() {
    let mut replica = node(vec![record(1, 1)]);
    replica.adopt_configuration(configuration(2, &[("till", 1)]));
    let gone = vec![InstanceEvent::Gone(InstanceId(1))];
    replica.apply_instances(at(5_000), Revision(20), gone);
    replica.apply_instances(at(9_000), Revision(21), put(record(1, 21)));
    assert_eq!(replica.directory().superseded(), BTreeSet::new());
}
