//! Decisions of the forwarder for single packets.

use crate::support::{
    TOMBSTONE_LIFETIME, at, configuration, draining, later, node, of_service, opening, record,
};
use bellyoke_core::cookie::forwarder::{Decision, DropReason, Forwarder, RefusalReason};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceId, InstanceRecord};
use bellyoke_core::cookie::packet::{FlowPacket, PacketRole};
use bellyoke_core::cookie::placement::Suitability;
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::table::ForwardingTable;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn forwarder() -> Forwarder {
    Forwarder::new(HealthSettings::default())
}

fn decide(table: &ForwardingTable, packet: &FlowPacket) -> Decision {
    forwarder().decide(at(10_000), table, packet, false)
}

fn placed(decision: Decision) -> (InstanceId, Cookie, Suitability) {
    match decision {
        Decision::Place {
            destination,
            suitability,
        } => (destination.instance, destination.cookie, suitability),
        other => panic!("expected Place, got {other:?}"),
    }
}

fn followed(decision: Decision) -> InstanceId {
    match decision {
        Decision::Follow { destination, .. } => destination.instance,
        other => panic!("expected Follow, got {other:?}"),
    }
}

#[test]
fn later_packets_are_forwarded_to_the_instance_of_their_cookie() {
    let table = node((1..=5).map(|id| record(id, 1)).collect()).table();
    let (instance, cookie, suitability) = placed(decide(&table, &opening(1, 0)));
    assert_eq!(suitability, Suitability::Full);
    assert_eq!(followed(decide(&table, &later(1, cookie))), instance);
}

#[test]
fn the_first_packet_after_an_opening_returns_the_opening_time() {
    let table = node(vec![record(1, 1)]).table();
    let mut forwarder = forwarder();
    let (_, cookie, _) = placed(forwarder.decide(at(10_000), &table, &opening(1, 0), false));
    let took = |decision| match decision {
        Decision::Follow { opened_after, .. } => opened_after,
        other => panic!("expected Follow, got {other:?}"),
    };
    let first = forwarder.decide(at(10_007), &table, &later(1, cookie), false);
    assert_eq!(took(first), Some(std::time::Duration::from_millis(7)));
    let second = forwarder.decide(at(10_009), &table, &later(1, cookie), false);
    assert_eq!(took(second), None);
}

/// A node whose openings at instance 1 fail while those at other instances succeed.
struct DeadInstance {
    forwarder: Forwarder,
    table: ForwardingTable,
    now: u64,
}

const DEAD: InstanceId = InstanceId(1);

impl DeadInstance {
    fn new() -> Self {
        let table = node((1..=5).map(|id| record(id, 1)).collect()).table();
        let mut dead = Self {
            forwarder: forwarder(),
            table,
            now: 20_000,
        };
        for number in 0..60 {
            dead.open(number);
        }
        dead.now += 200;
        dead.forwarder.review(at(dead.now), &dead.table);
        assert_eq!(dead.forwarder.failing_instances().count(), 1);
        dead
    }

    /// A client opens a flow, and sends a further packet unless the instance is the dead one.
    fn open(&mut self, number: u32) {
        let decision = self
            .forwarder
            .decide(at(self.now), &self.table, &opening(number, 0), false);
        let (instance, cookie, _) = placed(decision);
        if instance != DEAD {
            self.now += 1;
            let packet = later(number, cookie);
            self.forwarder
                .decide(at(self.now), &self.table, &packet, false);
        }
    }

    /// The client of a flow at an instance sends data.
    fn data(&mut self, after: u64, instance: InstanceId, sequence: u32) -> Decision {
        self.now += after;
        let packet = FlowPacket {
            data_sequence: Some(sequence),
            ..later(900, Cookie::of(instance))
        };
        self.forwarder
            .decide(at(self.now), &self.table, &packet, false)
    }
}

/// Failed openings, suspicions of peers and retransmissions don't prove that an instance is dead: a
/// congested link causes all of them. Resetting its flows for that would break requests that still
/// run.
#[test]
fn an_open_flow_of_a_suspected_instance_is_never_reset() {
    let mut dead = DeadInstance::new();
    dead.forwarder
        .set_peer_suspicions(&BTreeSet::from([Cookie::of(DEAD)]));
    for after in [0, 200, 400, 800, 1_600, 1_600, 1_600] {
        assert_eq!(followed(dead.data(after, DEAD, 5_000)), DEAD);
    }
}

/// The node has received the routes from a peer, but not the instances. Taking the missing list for
/// an empty one, it would refuse flows that other nodes can place.
#[test]
fn a_node_without_an_instance_list_refuses_nothing() {
    let mut replica = Replica::new(TOMBSTONE_LIFETIME);
    replica.adopt_configuration(configuration(1, &[("till", 1)]));
    let decision = decide(&replica.table(), &opening(1, 0));
    assert_eq!(decision, Decision::Drop(DropReason::NotReady));
    replica.replace_instances(at(0), Revision::new(1), Vec::new());
    let decision = decide(&replica.table(), &opening(1, 0));
    assert_eq!(decision, Decision::Refuse(RefusalReason::NoInstance));
}

#[test]
fn an_open_flow_follows_its_cookie_after_the_route_has_changed() {
    let mut replica = node(vec![record(1, 1), of_service("listings", record(2, 1))]);
    replica.adopt_configuration(configuration(2, &[("listings", 1)]));
    let table = replica.table();
    assert_eq!(placed(decide(&table, &opening(1, 0))).0, InstanceId(2));
    let cookie = Cookie::of(InstanceId(1));
    assert_eq!(followed(decide(&table, &later(1, cookie))), InstanceId(1));
}

#[test]
fn a_draining_instance_keeps_its_flows_and_gets_no_new_one() {
    let table = node(vec![draining(1, 1), record(2, 1)]).table();
    for number in 0..50 {
        assert_eq!(placed(decide(&table, &opening(number, 0))).0, InstanceId(2));
    }
    let cookie = Cookie::of(InstanceId(1));
    assert_eq!(followed(decide(&table, &later(1, cookie))), InstanceId(1));
}

#[test]
fn an_instance_whose_record_was_deleted_keeps_its_flows() {
    let mut replica = node(vec![record(1, 1), record(2, 1)]);
    replica.replace_instances(at(100), Revision::new(20), vec![record(2, 1)]);
    let table = replica.table();
    let cookie = Cookie::of(InstanceId(1));
    assert_eq!(followed(decide(&table, &later(1, cookie))), InstanceId(1));
}

#[test]
fn an_instance_whose_record_was_just_deleted_is_used_only_without_alternatives() {
    let mut replica = node(vec![record(1, 1)]);
    replica.replace_instances(at(9_000), Revision::new(20), Vec::new());
    let table = replica.table();
    let mut forwarder = forwarder();
    let decision = forwarder.decide(at(10_499), &table, &opening(1, 0), false);
    assert_eq!(placed(decision).2, Suitability::RecentlyGone);
    let decision = forwarder.decide(at(10_500), &table, &opening(2, 0), false);
    assert_eq!(decision, Decision::Refuse(RefusalReason::NoInstance));
}

#[test]
fn a_cold_instance_gets_no_flow_while_others_are_warm() {
    let cold = InstanceRecord {
        cold_remaining_milliseconds: 20_000,
        ..record(1, 1)
    };
    let table = node(vec![cold, record(2, 1)]).table();
    for number in 0..50 {
        assert_eq!(placed(decide(&table, &opening(number, 0))).0, InstanceId(2));
    }
    let later_on = forwarder().decide(at(20_000), &table, &opening(3, 0), false);
    assert_eq!(placed(later_on).2, Suitability::Full);
}

#[test]
fn an_opening_without_a_route_is_refused_at_once() {
    let table = node(vec![record(1, 1)]).table();
    let mut packet = opening(1, 0);
    packet.flow.service.set_port(8_080);
    assert_eq!(
        decide(&table, &packet),
        Decision::Refuse(RefusalReason::NoRoute)
    );
}

#[test]
fn an_opening_without_an_instance_is_refused_at_once() {
    let table = node(vec![draining(1, 1)]).table();
    assert_eq!(
        decide(&table, &opening(1, 0)),
        Decision::Refuse(RefusalReason::NoInstance)
    );
}

#[test]
fn a_node_without_configuration_refuses_nothing() {
    let table = Replica::new(crate::support::TOMBSTONE_LIFETIME).table();
    assert_eq!(
        decide(&table, &opening(1, 0)),
        Decision::Drop(DropReason::NotReady)
    );
}

#[test]
fn packets_with_an_unknown_cookie_are_dropped() {
    let table = node(vec![record(1, 1)]).table();
    let cookie = Cookie::from_bits(99).unwrap();
    assert_eq!(
        decide(&table, &later(1, cookie)),
        Decision::Drop(DropReason::UnknownCookie)
    );
}

#[test]
fn a_later_packet_without_a_cookie_is_dropped() {
    let table = node(vec![record(1, 1)]).table();
    let packet = FlowPacket {
        role: PacketRole::Later,
        ..opening(1, 0)
    };
    assert_eq!(
        decide(&table, &packet),
        Decision::Drop(DropReason::NoCookie)
    );
}

#[test]
fn openings_from_a_stall_are_dropped_and_open_flows_continue() {
    let table = node(vec![record(1, 1)]).table();
    let mut forwarder = forwarder();
    assert_eq!(
        forwarder.decide(at(10_000), &table, &opening(1, 0), true),
        Decision::Drop(DropReason::Backlog)
    );
    let cookie = Cookie::of(InstanceId(1));
    let decision = forwarder.decide(at(10_000), &table, &later(1, cookie), true);
    assert_eq!(followed(decision), InstanceId(1));
}

#[test]
fn new_flows_avoid_an_instance_that_does_not_answer() {
    let table = node(vec![record(1, 1), record(2, 1)]).table();
    let mut forwarder = forwarder();
    let mut to_first = 0;
    for number in 0..200_u32 {
        let now = at(10_000 + u64::from(number) * 10);
        let (instance, cookie, _) =
            placed(forwarder.decide(now, &table, &opening(number, 0), false));
        if instance == InstanceId(2) {
            forwarder.decide(now, &table, &later(number, cookie), false);
        } else {
            to_first += 1;
        }
    }
    // About half of the openings of the first 150 ms, and one for each trial.
    assert!(
        (3..20).contains(&to_first),
        "{to_first} openings went to a dead instance"
    );
}

proptest! {
    /// Whatever changes in the meantime, a flow's packets go to its instance or are dropped.
    #[test]
    fn no_change_moves_an_open_flow(
        before in prop::collection::btree_set(1..40_u64, 1..10),
        after in prop::collection::btree_set(1..40_u64, 0..10),
        number in 0..1_000_u32,
    ) {
        let mut replica = node(before.iter().map(|id| record(*id, 1)).collect());
        let (instance, cookie, _) = placed(decide(&replica.table(), &opening(number, 0)));
        replica.replace_instances(at(5_000), Revision::new(20), after.iter().map(|id| record(*id, 20)).collect());
        replica.adopt_configuration(configuration(30, &[]));
        prop_assert_eq!(followed(decide(&replica.table(), &later(number, cookie))), instance);
    }
}

/// Half of the instances are replaced one after the other while all flows are long. With too few
/// choices, the instances that stay collect the flows of all that were replaced.
#[test]
fn long_flows_stay_balanced_while_instances_are_replaced() {
    const FLOWS: u32 = 280;
    let mut forwarder = forwarder();
    let mut records: Vec<InstanceRecord> = (1..=14).map(|id| record(id, 1)).collect();
    let mut replica = node(records.clone());
    let mut table = replica.table();
    let mut flows: Vec<Option<(u32, Cookie)>> = vec![None; 280];
    let mut next_flow = 0;
    for second in 0..40_u64 {
        if second % 3 == 0 && second < 21 {
            let replaced = usize::try_from(second / 3).unwrap();
            let replaced_cookie = Cookie::of(records[replaced].id);
            records[replaced] = record(100 + second, 20 + second);
            replica.replace_instances(
                at(second * 1_000),
                Revision::new(20 + second),
                records.clone(),
            );
            table = replica.table();
            for flow in flows
                .iter_mut()
                .filter(|flow| flow.is_some_and(|(_, at)| at == replaced_cookie))
            {
                *flow = None;
            }
        }
        for index in 0..FLOWS {
            let now = at(second * 1_000 + u64::from(index) * 3);
            let flow = &mut flows[usize::try_from(index).unwrap()];
            if let Some((number, cookie)) = *flow {
                forwarder.decide(now, &table, &later(number, cookie), false);
            } else {
                next_flow += 1;
                let opening = opening(next_flow, 0);
                let (_, cookie, _) = placed(forwarder.decide(now, &table, &opening, false));
                forwarder.decide(now, &table, &later(next_flow, cookie), false);
                *flow = Some((next_flow, cookie));
            }
        }
    }
    let mut counts: BTreeMap<Cookie, u32> = BTreeMap::new();
    for (_, cookie) in flows.into_iter().flatten() {
        *counts.entry(cookie).or_default() += 1;
    }
    let most = *counts.values().max().unwrap();
    assert_eq!(counts.len(), 14);
    // The busiest instance has 40 by hash alone, 29 with a choice of two and 27 with a choice of
    // three.
    assert!(most <= 26, "mean 20, most {most}");
}
