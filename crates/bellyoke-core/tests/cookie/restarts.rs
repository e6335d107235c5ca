//! Instances that restart with the same id. State of an earlier run must not affect a later one.

use crate::support::{TOMBSTONE_LIFETIME, at, configuration, node, opening, record};
use bellyoke_core::cookie::coordinator::Coordinator;
use bellyoke_core::cookie::directory::{Directory, Tombstone};
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeSettings, PeerKey, decode_snapshot, encode_snapshot,
};
use bellyoke_core::cookie::follower::Update;
use bellyoke_core::cookie::forwarder::{Decision, Forwarder};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceEvent, InstanceId, InstanceRecord};
use bellyoke_core::cookie::placement::Suitability;
use bellyoke_core::cookie::reachability::ProbeOutcome;
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use std::collections::BTreeSet;

const INSTANCE: InstanceId = InstanceId(1);

fn cookie() -> Cookie {
    Cookie::of(INSTANCE)
}

/// Returns the record of a run of instance 1 at a revision.
fn run(started: u64, revision: u64) -> InstanceRecord {
    InstanceRecord {
        started: Some(started),
        ..record(INSTANCE.0, revision)
    }
}

fn put(record: InstanceRecord) -> Vec<InstanceEvent> {
    vec![InstanceEvent::Put(record)]
}

fn directory() -> Directory {
    let mut directory = Directory::new(TOMBSTONE_LIFETIME);
    directory.replace(at(0), Revision::new(10), vec![run(1_000, 5), record(2, 6)]);
    directory
}

fn started(directory: &Directory) -> Option<u64> {
    directory.find(cookie()).unwrap().record.started
}

/// A write that was in flight when an instance crashed may reach the store after the writes of the
/// next run. It must not replace the record of that run.
#[test]
fn a_late_write_of_an_earlier_run_is_ignored() {
    let mut directory = directory();
    directory.apply(at(100), Revision::new(20), put(run(2_000, 20)));
    assert_eq!(directory.take_restarted(), [INSTANCE]);
    let moved = InstanceRecord {
        address: record(3, 1).address,
        ..run(1_000, 30)
    };
    assert!(!directory.apply(at(200), Revision::new(30), put(moved.clone())));
    assert_eq!(started(&directory), Some(2_000));
    // The same applies to a list that contains the write, and to the write after the record was
    // deleted.
    directory.replace(
        at(300),
        Revision::new(40),
        vec![moved.clone(), record(2, 6)],
    );
    assert_eq!(started(&directory), Some(2_000));
    directory.apply(
        at(400),
        Revision::new(50),
        vec![InstanceEvent::Gone(INSTANCE)],
    );
    directory.apply(
        at(500),
        Revision::new(60),
        put(InstanceRecord {
            revision: Revision::new(60),
            ..moved
        }),
    );
    assert!(directory.find(cookie()).unwrap().removed_at.is_some());
    assert_eq!(directory.take_restarted(), []);
}

/// Instance 9 used the address between two runs of instance 1. If the later run inherited the
/// creation of the earlier one, it would get no new flows because of instance 9, which has ended.
#[test]
fn a_later_run_is_ordered_by_its_own_creation() {
    let mut directory = directory();
    directory.apply(
        at(100),
        Revision::new(20),
        vec![InstanceEvent::Gone(INSTANCE)],
    );
    let between = InstanceRecord {
        address: record(INSTANCE.0, 1).address,
        ..record(9, 30)
    };
    directory.apply(at(200), Revision::new(30), put(between));
    directory.apply(at(300), Revision::new(40), put(run(2_000, 40)));
    assert_eq!(
        *directory.with_reused_address(),
        BTreeSet::from([InstanceId(9)])
    );
    // A peer that still has the earlier run sends its creation.
    let tombstone = Tombstone {
        record: run(1_000, 5),
        age_milliseconds: 0,
        revision: Revision::new(20),
    };
    directory.merge_tombstones(at(400), vec![tombstone]);
    assert_eq!(
        *directory.with_reused_address(),
        BTreeSet::from([InstanceId(9)])
    );
}

fn coordinator() -> Coordinator {
    let own = "10.1.0.1:7000".parse().unwrap();
    let exchange = Exchange::new(ExchangeSettings::default(), own, Vec::new(), 1);
    let mut replica = Replica::new(TOMBSTONE_LIFETIME);
    replica.adopt_configuration(configuration(1, &[("till", 1)]));
    let records = (2..9).map(|id| record(id, id)).chain([run(1_000, 5)]);
    replica.replace_instances(at(0), Revision::new(10), records.collect());
    Coordinator::new(replica, exchange)
}

fn restart(node: &mut Coordinator, now: u64) {
    let update = Update::Changes {
        at: Revision::new(20),
        events: put(run(2_000, 20)),
    };
    node.apply_instances(at(now), update);
}

#[test]
fn a_probe_result_of_an_earlier_run_is_dropped() {
    let mut node = coordinator();
    node.suspect(at(100), &[cookie()]);
    assert!(node.next_probe(at(100), &[]).is_some());
    node.record_probes(at(400), &[(cookie(), ProbeOutcome::Unreachable)]);
    assert!(node.unreachable(at(500)).contains(&cookie()));
    restart(&mut node, 600);
    assert!(node.unreachable(at(600)).is_empty());
    assert!(node.avoided(at(600)).is_empty());
}

#[test]
fn a_probe_started_before_the_restart_is_ignored() {
    let mut node = coordinator();
    node.suspect(at(100), &[cookie()]);
    assert!(node.next_probe(at(100), &[]).is_some());
    restart(&mut node, 200);
    node.record_probes(at(400), &[(cookie(), ProbeOutcome::Unreachable)]);
    assert!(node.unreachable(at(400)).is_empty());
}

#[test]
fn failed_openings_of_an_earlier_run_are_ignored() {
    let mut replica = node(vec![run(1_000, 5)]);
    let mut forwarder = Forwarder::new(HealthSettings::default());
    let mut suitability = |now: u64, replica: &Replica, number: u32| {
        let table = replica.table();
        forwarder.review(at(now), &table);
        let decision = forwarder.decide(at(now), &table, &opening(number, 0), false);
        let Decision::Place { suitability, .. } = decision else {
            panic!("{decision:?}");
        };
        suitability
    };
    suitability(1_000, &replica, 1);
    suitability(1_001, &replica, 2);
    assert_eq!(suitability(1_300, &replica, 3), Suitability::Suspected);
    replica.apply_instances(at(1_400), Revision::new(20), put(run(2_000, 20)));
    assert_eq!(suitability(1_400, &replica, 4), Suitability::Full);
}

#[test]
fn snapshots_contain_the_start_time_of_instances() {
    let replica = node(vec![run(1_796_000_000_123, 5), record(2, 6)]);
    let key = PeerKey::default();
    let bytes = encode_snapshot(&replica.snapshot(at(100)), &key).unwrap();
    let mut other = Replica::new(TOMBSTONE_LIFETIME);
    other.merge(at(100), decode_snapshot(&bytes, &key).unwrap());
    let started = |replica: &Replica| {
        let instances = replica.directory().instances();
        let started = instances.map(|known| known.record.started);
        started.collect::<Vec<_>>()
    };
    assert_eq!(started(&other), [Some(1_796_000_000_123), None]);
}
