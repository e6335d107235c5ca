//! Which resting flows are ended once their instance is known to have ended.

use crate::cluster::address;
use crate::support::{at, flow, later, node, opening, record};
use bellyoke_core::cookie::capacity::ZoneKey;
use bellyoke_core::cookie::flow_resets::{FlowReset, RESET_INTERVAL, RESETS_PER_INTERVAL};
use bellyoke_core::cookie::forwarder::{Decision, Forwarder, ResetReason};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceEvent, InstanceId, InstanceRecord};
use bellyoke_core::cookie::packet::FlowPacket;
use bellyoke_core::cookie::reachability::{
    Doubter, OBJECTION_TIME, Origin, ProbeOutcome, ReachabilityMonitor,
};
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::table::ForwardingTable;
use std::collections::BTreeSet;

fn cookie(id: u64) -> Cookie {
    Cookie::of(InstanceId(id))
}

fn table() -> ForwardingTable {
    node(vec![record(1, 1), record(2, 2)]).table()
}

fn packet(number: u32, sequence: Option<u32>, acknowledged: u32) -> FlowPacket {
    FlowPacket {
        data_sequence: sequence,
        data_length: 10,
        acknowledged,
        ..later(number, cookie(1))
    }
}

/// A forwarder that has seen `flows` flows at instance 1, which rest since second 1.
fn resting(table: &ForwardingTable, flows: u32, resets_idle_flows: bool) -> Forwarder {
    let forwarder = Forwarder::new(HealthSettings::default());
    let mut forwarder = forwarder.with_flows(1_000, resets_idle_flows);
    for number in 0..flows {
        forwarder.decide(at(1_000), table, &packet(number, None, 7), false);
    }
    forwarder
}

/// Instance 1 is held to have ended.
fn end(forwarder: &mut Forwarder, table: &ForwardingTable, now: u64) {
    let ended = BTreeSet::from([cookie(1)]);
    forwarder.set_unreachable(&ended, &ended);
    forwarder.set_ended(&ended);
    forwarder.review(at(now), table);
}

fn ends(forwarder: &mut Forwarder, table: &ForwardingTable, now: u64) -> Vec<FlowReset> {
    std::iter::from_fn(|| forwarder.next_flow_reset(at(now), table)).collect()
}

#[test]
fn resting_flows_of_an_ended_instance_are_reset_in_groups() {
    let table = table();
    let mut forwarder = resting(&table, 50, true);
    assert_eq!(forwarder.next_flow_reset_at(), None);
    end(&mut forwarder, &table, 5_000);
    assert_eq!(forwarder.next_flow_reset_at(), Some(at(5_000)));
    let first = ends(&mut forwarder, &table, 5_000);
    assert_eq!(first.len(), RESETS_PER_INTERVAL);
    let expected = (cookie(1), 7, ResetReason::Unreachable);
    let told = first[0];
    assert_eq!((told.cookie, told.acknowledged, told.reason), expected);
    assert_eq!(ends(&mut forwarder, &table, 5_010), []);
    let next = at(5_000).after(RESET_INTERVAL);
    assert_eq!(forwarder.next_flow_reset_at(), Some(next));
    assert_eq!(
        ends(&mut forwarder, &table, 5_020).len(),
        50 - RESETS_PER_INTERVAL
    );
    assert_eq!(forwarder.next_flow_reset_at(), None);
    // Once for each flow.
    forwarder.review(at(6_000), &table);
    assert_eq!(ends(&mut forwarder, &table, 6_000), []);
}

#[test]
fn resting_flows_are_left_where_that_is_set() {
    let table = table();
    let mut forwarder = resting(&table, 5, false);
    end(&mut forwarder, &table, 5_000);
    assert_eq!(ends(&mut forwarder, &table, 5_000), []);
    let decision = forwarder.decide(at(5_010), &table, &packet(1, Some(100), 7), false);
    assert!(matches!(decision, Decision::Follow { .. }), "{decision:?}");
}

#[test]
fn flows_of_a_superseded_instance_are_reset_while_they_rest() {
    let mut replica = node(vec![record(1, 1), record(2, 2)]);
    let mut forwarder = resting(&replica.table(), 5, true);
    let successor = InstanceRecord {
        address: record(1, 1).address,
        ..record(9, 20)
    };
    let events = vec![
        InstanceEvent::Put(successor),
        InstanceEvent::Gone(InstanceId(1)),
    ];
    replica.apply_instances(at(4_000), Revision::new(21), events);
    let table = replica.table();
    forwarder.review(at(4_100), &table);
    let ends = ends(&mut forwarder, &table, 4_100);
    assert_eq!(ends.len(), 5);
    assert_eq!(ends[0].reason, ResetReason::Superseded);
}

/// Only what an instance did after the verdict counts: a client that rests tells what it got before with its
/// next request.
#[test]
fn what_a_rested_client_acknowledges_is_no_sign_of_life() {
    let table = table();
    let mut forwarder = resting(&table, 2, true);
    end(&mut forwarder, &table, 5_000);
    let decision = forwarder.decide(at(5_010), &table, &packet(0, Some(100), 90), false);
    assert_eq!(decision, Decision::Reset(ResetReason::Unreachable));
    assert_eq!(ends(&mut forwarder, &table, 5_020).len(), 1);
}

#[test]
fn flows_that_go_on_after_the_verdict_are_left_alone() {
    let table = table();
    let mut forwarder = resting(&table, 5, true);
    let unreachable = BTreeSet::from([cookie(1)]);
    forwarder.set_unreachable(&unreachable, &unreachable);
    forwarder.decide(at(5_000), &table, &packet(0, Some(100), 7), false);
    forwarder.decide(at(5_040), &table, &packet(0, None, 60), false);
    end(&mut forwarder, &table, 5_100);
    assert_eq!(ends(&mut forwarder, &table, 5_100), []);
    let decision = forwarder.decide(at(9_000), &table, &packet(1, Some(100), 7), false);
    assert!(matches!(decision, Decision::Follow { .. }), "{decision:?}");
}

/// As at a node that has restarted.
#[test]
fn an_unknown_flow_of_an_ended_instance_is_ended_by_its_first_request() {
    let table = table();
    let mut forwarder = Forwarder::new(HealthSettings::default());
    let unreachable = BTreeSet::from([cookie(1)]);
    forwarder.set_unreachable(&unreachable, &unreachable);
    let decide = |forwarder: &mut Forwarder, now, packet: FlowPacket| {
        let decision = forwarder.decide(at(now), &table, &packet, false);
        decision == Decision::Reset(ResetReason::Unreachable)
    };
    let asks = packet(3, Some(100), 7);
    assert!(!decide(&mut forwarder, 5_000, asks), "peers may object");
    forwarder.set_ended(&unreachable);
    assert!(decide(&mut forwarder, 5_100, packet(4, Some(100), 7)));
    assert!(
        !decide(&mut forwarder, 5_100, packet(5, None, 7)),
        "it asks nothing"
    );
    let closes = FlowPacket {
        closes: true,
        ..packet(6, Some(100), 7)
    };
    assert!(!decide(&mut forwarder, 5_100, closes));
}

/// The cookie in its first packet has come from the instance just now.
#[test]
fn a_flow_that_has_just_opened_is_no_flow_of_an_ended_instance() {
    let table = node(vec![record(1, 1)]).table();
    let mut forwarder = Forwarder::new(HealthSettings::default());
    end(&mut forwarder, &table, 5_000);
    forwarder.decide(at(5_000), &table, &opening(3, 0), false);
    let decision = forwarder.decide(at(5_030), &table, &packet(3, Some(100), 7), false);
    assert!(matches!(decision, Decision::Follow { .. }), "{decision:?}");
}

#[test]
fn a_closed_flow_is_forgotten() {
    let table = table();
    let mut forwarder = resting(&table, 3, true);
    let closes = FlowPacket {
        closes: true,
        ..packet(1, None, 7)
    };
    forwarder.decide(at(2_000), &table, &closes, false);
    assert_eq!(forwarder.flow_count(), 2);
    end(&mut forwarder, &table, 5_000);
    let ended = ends(&mut forwarder, &table, 5_000);
    assert!(ended.iter().all(|end| end.flow != flow(1)));
}

fn objection_milliseconds() -> u64 {
    u64::try_from(OBJECTION_TIME.as_millis()).unwrap()
}

fn unreachable(doubter: Doubter) -> ReachabilityMonitor {
    let mut monitor = ReachabilityMonitor::new(Origin {
        node: address(1),
        zone: ZoneKey(0),
    });
    monitor.question(at(1_000), cookie(1), doubter);
    monitor.questioned(doubter);
    monitor.probed(at(1_300), cookie(1), ProbeOutcome::Unreachable);
    monitor
}

#[test]
fn peers_have_time_to_object_before_resting_flows_end() {
    // They are asked with the verdict, unless one of them has asked.
    for (doubter, asked_at) in [(Doubter::Node, 1_300), (Doubter::Peer, 1_000)] {
        let monitor = unreachable(doubter);
        let over = asked_at + objection_milliseconds();
        assert!(monitor.ended(at(over - 1)).is_empty());
        assert_eq!(monitor.ended(at(over)), BTreeSet::from([cookie(1)]));
    }
}

#[test]
fn an_objection_drops_question_and_verdict() {
    let mut monitor = unreachable(Doubter::Node);
    assert!(monitor.lives(at(1_400), cookie(1)));
    assert!(!monitor.lives(at(1_410), cookie(1)), "it is passed on once");
    assert!(monitor.unreachable(at(1_400)).is_empty());
    assert!(monitor.ended(at(9_000)).is_empty());
    assert!(!monitor.question(at(1_500), cookie(1), Doubter::Peer));
    assert!(monitor.question(at(3_000), cookie(1), Doubter::Node));
    // A probe that was under way then establishes nothing.
    monitor.questioned(Doubter::Node);
    assert!(monitor.lives(at(3_100), cookie(1)));
    let change = monitor.probed(at(3_200), cookie(1), ProbeOutcome::Unreachable);
    assert_eq!(change, None);
    assert!(monitor.unreachable(at(3_200)).is_empty());
}

/// Clients repeat data to a dead instance before an opening there has failed.
#[test]
fn repeated_data_on_an_open_flow_raises_the_question() {
    let table = table();
    let mut forwarder = resting(&table, 2, true);
    let asks = packet(0, Some(100), 7);
    forwarder.decide(at(2_000), &table, &asks, false);
    forwarder.decide(at(2_010), &table, &asks, false);
    assert_eq!(forwarder.take_suspects(at(2_020)), [], "the network's copy");
    forwarder.decide(at(2_200), &table, &asks, false);
    assert_eq!(forwarder.take_suspects(at(2_210)), [cookie(1)]);
    assert_eq!(forwarder.take_suspects(at(2_220)), [], "told once");
    // Another flow has gone on in the meantime: a packet was lost.
    forwarder.decide(at(2_590), &table, &packet(1, Some(200), 7), false);
    forwarder.decide(at(2_600), &table, &asks, false);
    forwarder.decide(at(2_610), &table, &packet(1, None, 60), false);
    assert_eq!(forwarder.take_suspects(at(2_620)), []);
}

/// Of instances that died at once some are still known to be sound a moment ago.
#[test]
fn those_whose_openings_completed_last_go_first_as_controls() {
    let table = table();
    let mut forwarder = Forwarder::new(HealthSettings::default());
    for (now, id) in [(1_000, 1), (1_100, 2), (1_200, 1)] {
        let number = u32::try_from(now).unwrap();
        forwarder.decide(at(now), &table, &opening(number, 0), false);
        let first = FlowPacket {
            cookie: Some(cookie(id)),
            ..later(number, cookie(id))
        };
        forwarder.decide(at(now + 10), &table, &first, false);
    }
    assert_eq!(
        forwarder.healthy_instances(at(1_300)),
        [cookie(1), cookie(2)]
    );
}

/// As where the node's own link turns out to lose data, or the instance takes connections again.
#[test]
fn flows_that_wait_for_their_resets_are_left_once_the_verdict_has_gone() {
    let table = table();
    let mut forwarder = resting(&table, 50, true);
    end(&mut forwarder, &table, 5_000);
    assert_eq!(
        ends(&mut forwarder, &table, 5_000).len(),
        RESETS_PER_INTERVAL
    );
    forwarder.set_unreachable(&BTreeSet::new(), &BTreeSet::new());
    assert_eq!(ends(&mut forwarder, &table, 5_020), []);
    let decision = forwarder.decide(at(5_030), &table, &packet(49, Some(100), 7), false);
    assert!(matches!(decision, Decision::Follow { .. }), "{decision:?}");
}

#[test]
fn a_node_that_stood_still_ends_no_resting_flow() {
    let mut monitor = unreachable(Doubter::Peer);
    assert!(!monitor.ended(at(2_000)).is_empty());
    monitor.stalled();
    assert!(monitor.ended(at(2_000)).is_empty());
}

#[test]
fn an_instance_that_lived_a_moment_before_the_verdict_keeps_its_flows() {
    let table = table();
    let mut forwarder = resting(&table, 5, true);
    forwarder.decide(at(4_900), &table, &packet(0, Some(100), 7), false);
    forwarder.decide(at(4_950), &table, &packet(0, None, 60), false);
    end(&mut forwarder, &table, 5_000);
    assert_eq!(ends(&mut forwarder, &table, 5_000), []);
    let decision = forwarder.decide(at(5_010), &table, &packet(1, Some(100), 7), false);
    assert!(matches!(decision, Decision::Follow { .. }), "{decision:?}");
}

#[test]
fn a_flow_that_has_got_something_since_it_was_queued_is_left_alone() {
    let table = table();
    let mut forwarder = resting(&table, 2, true);
    end(&mut forwarder, &table, 5_000);
    forwarder.decide(at(5_005), &table, &packet(0, None, 90), false);
    let ends = ends(&mut forwarder, &table, 5_010);
    let ended: Vec<_> = ends.iter().map(|end| end.flow).collect();
    assert_eq!(ended, [flow(1)]);
}

/// Flow 0 asks instance 1 something at 2,000 ms and repeats it 200 ms later.
fn repeated() -> (ForwardingTable, Forwarder) {
    let table = table();
    let mut forwarder = resting(&table, 2, false);
    for now in [2_000, 2_200] {
        let decision = forwarder.decide(at(now), &table, &packet(0, Some(50), 7), false);
        assert!(matches!(decision, Decision::Follow { .. }));
    }
    (table, forwarder)
}

/// The client would repeat it again at 2,600 ms: later than many allow for an answer.
#[test]
fn a_flow_whose_client_has_repeated_something_ends_with_the_verdict() {
    let (table, mut forwarder) = repeated();
    let unreachable = BTreeSet::from([cookie(1)]);
    forwarder.review(at(2_250), &table);
    assert_eq!(forwarder.next_flow_reset(at(2_250), &table), None);
    forwarder.set_unreachable(&unreachable, &unreachable);
    forwarder.review(at(2_400), &table);
    let end = forwarder.next_flow_reset(at(2_400), &table).unwrap();
    assert_eq!((end.flow, end.reason), (flow(0), ResetReason::Unreachable));
    assert_eq!(
        forwarder.next_flow_reset(at(2_400), &table),
        None,
        "the other one rests"
    );
}

#[test]
fn a_flow_that_goes_on_after_a_repetition_does_not_end() {
    let (table, mut forwarder) = repeated();
    let unreachable = BTreeSet::from([cookie(1)]);
    forwarder.decide(at(2_300), &table, &packet(0, None, 900), false);
    forwarder.set_unreachable(&unreachable, &unreachable);
    forwarder.review(at(2_400), &table);
    assert_eq!(forwarder.next_flow_reset(at(2_400), &table), None);
    // Nor does one of which nothing was heard again, once a verdict comes much later.
    let (table, mut forwarder) = repeated();
    forwarder.review(at(2_800), &table);
    forwarder.set_unreachable(&unreachable, &unreachable);
    forwarder.review(at(2_900), &table);
    assert_eq!(forwarder.next_flow_reset(at(2_900), &table), None);
}
