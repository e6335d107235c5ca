//! Handover of flows when buckets become contested, and eviction from a full table.

mod flow_support;

use bellyoke_core::flow::OpenedFlow;
use bellyoke_core::flow::{Decider, Decision, DropReason};
use bellyoke_core::generation::{BucketRoute, Forwarding};
use bellyoke_core::packet::PacketSummary;
use flow_support::*;

fn opened(
    forwarding: &Forwarding,
    packets: &[(PacketSummary, bellyoke_core::identity::BackendId)],
) -> Vec<OpenedFlow> {
    let flows = packets.iter().map(|(packet, backend)| OpenedFlow {
        place: place(forwarding, packet),
        backend: *backend,
    });
    let mut flows: Vec<_> = flows.collect();
    flows.sort_by_key(|flow| flow.place);
    flows
}

fn handover(
    decider: &Decider,
    at: u64,
    previous: &Forwarding,
    next: &Forwarding,
) -> Vec<OpenedFlow> {
    let mut flows = decider.opened_for_handover(second(at), previous, next);
    flows.sort_by_key(|flow| flow.place);
    flows
}

#[test]
fn recent_openings_and_all_udp_flows_are_handed_over() {
    let mut decider = Decider::new(&settings(10));
    let previous = clean(1);
    // Flow 1 was opened before the delay horizon, flow 2 within it, flow 3 was taken over within
    // it, flow 4 is half open and flow 5 is UDP.
    decide(&mut decider, 0, &previous, &tcp(1, SYN));
    decide(&mut decider, 1, &previous, &tcp(1, ACK));
    decide(&mut decider, 0, &previous, &udp(5));
    decide(&mut decider, 5, &previous, &tcp(4, SYN));
    decide(&mut decider, 8, &previous, &tcp(2, SYN));
    decide(&mut decider, 9, &previous, &tcp(2, ACK));
    decide(&mut decider, 9, &previous, &tcp(3, ACK));
    let next = contested(2);
    let expected = opened(
        &next,
        &[
            (tcp(2, SYN), FIRST),
            (tcp(4, SYN), FIRST),
            (udp(5), UDP_FIRST),
        ],
    );
    assert_eq!(handover(&decider, 10, &previous, &next), expected);
}

#[test]
fn no_flow_is_handed_over_if_no_bucket_becomes_contested() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, SYN));
    decide(&mut decider, 0, &clean(1), &udp(1));
    let pairs = [
        (clean(1), clean(2)),
        (contested(1), contested(2)),
        (contested(1), clean(2)),
    ];
    for (previous, next) in pairs {
        assert_eq!(handover(&decider, 0, &previous, &next), []);
    }
}

#[test]
fn an_expired_flow_is_not_handed_over() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &udp(1));
    let flows = |at| handover(&decider, at, &clean(1), &contested(2)).len();
    assert_eq!((flows(60), flows(61)), (1, 0));
}

#[test]
fn a_flow_opened_through_the_owner_is_handed_over_at_the_next_change() {
    let mut decider = Decider::new(&settings(10));
    let first = contested(1);
    let packet = tcp(1, SYN);
    decide(&mut decider, 0, &first, &packet);
    decider.learn(second(0), &place(&first, &packet), SECOND);
    let settled = forwarding(2, BucketRoute::Clean(SECOND), BucketRoute::Clean(UDP_FIRST));
    decide(&mut decider, 1, &settled, &packet);
    let expected = opened(&first, &[(packet, SECOND)]);
    assert_eq!(handover(&decider, 2, &settled, &contested(3)), expected);
}

/// Returns a decider whose table is full of TCP flows that were opened at second zero.
fn full_decider(forwarding: &Forwarding) -> Decider {
    let mut decider = Decider::new(&settings(4));
    for port in 0..4 {
        decide(&mut decider, 0, forwarding, &tcp(port, SYN));
        decide(&mut decider, 0, forwarding, &tcp(port, ACK));
    }
    decider
}

#[test]
fn a_full_table_evicts_flows_that_the_lookup_table_covers() {
    let forwarding = clean(1);
    let mut decider = full_decider(&forwarding);
    assert_eq!(decide(&mut decider, 5, &forwarding, &udp(9)), TO_UDP_FIRST);
    assert_eq!(decider.counters().evicted, 1);
    assert_eq!(decider.counters().table_full, 0);
    assert_eq!(decider.table().len(), 4);
}

#[test]
fn a_full_table_keeps_flows_that_the_lookup_table_does_not_cover() {
    let forwarding = clean(1);
    let mut decider = full_decider(&forwarding);
    let moved = BucketRoute::Contested {
        target: Some(SECOND),
    };
    let next = self::forwarding(2, moved, BucketRoute::Clean(UDP_FIRST));
    assert_eq!(
        decide(&mut decider, 5, &next, &udp(9)),
        Decision::Drop(DropReason::TableFull)
    );
    let unknown = tcp(8, SYN);
    decider.learn(second(5), &place(&next, &unknown), SECOND);
    assert_eq!(decider.counters().table_full, 2);
    for port in 0..4 {
        assert_eq!(decide(&mut decider, 5, &next, &tcp(port, ACK)), TO_FIRST);
    }
}

#[test]
fn a_full_table_keeps_udp_flows_and_flows_that_were_reset() {
    let forwarding = clean(1);
    let mut decider = Decider::new(&settings(2));
    decide(&mut decider, 0, &forwarding, &udp(1));
    decide(&mut decider, 0, &forwarding, &tcp(1, ACK));
    let mut dead = clean(2);
    kill(&mut dead, FIRST);
    decide(&mut decider, 1, &dead, &tcp(1, ACK));
    decide(&mut decider, 5, &clean(3), &tcp(2, ACK));
    assert_eq!(decider.counters().evicted, 0);
    assert_eq!(decider.counters().table_full, 1);
}

#[test]
fn an_unrecorded_opening_delays_the_handover() {
    let forwarding = clean(1);
    let mut decider = full_decider(&forwarding);
    // All flows were opened within the delay horizon, so none may be evicted.
    assert_eq!(decide(&mut decider, 1, &forwarding, &tcp(8, ACK)), TO_FIRST);
    assert_eq!(decider.handover_ready_at(second(1)), None);
    assert_eq!(decide(&mut decider, 1, &forwarding, &tcp(9, SYN)), TO_FIRST);
    assert_eq!(decider.table().len(), 4);
    assert_eq!(decider.counters().table_full, 2);
    let ready = decider.handover_ready_at(second(1)).unwrap();
    assert!(ready > second(4));
    assert_eq!(decider.handover_ready_at(ready), None);
}

#[test]
fn a_full_table_removes_expired_flows_first() {
    let forwarding = clean(1);
    let mut decider = Decider::new(&settings(2));
    decide(&mut decider, 0, &forwarding, &udp(1));
    decide(&mut decider, 0, &forwarding, &udp(2));
    assert_eq!(decide(&mut decider, 61, &forwarding, &udp(3)), TO_UDP_FIRST);
    assert_eq!(decider.counters().expired, 1);
}
