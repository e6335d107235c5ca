//! Decisions of a traffic thread for packets.

mod flow_support;

use bellyoke_core::flow::FlowState;
use bellyoke_core::flow::{Decider, Decision, DropReason, Escalation, EscalationKind, LeaseState};
use bellyoke_core::generation::{BucketRoute, Forwarding};
use bellyoke_core::packet::{PacketKind, PacketSummary, TcpFlags};
use bellyoke_core::time::Timestamp;
use flow_support::*;
use std::time::Duration;

fn escalation(forwarding: &Forwarding, packet: &PacketSummary, kind: EscalationKind) -> Decision {
    Decision::Escalate(Escalation {
        place: place(forwarding, packet),
        kind,
    })
}

#[test]
fn a_clean_bucket_forwards_by_the_table_and_records_the_flow() {
    let mut decider = Decider::new(&settings(10));
    let forwarding = clean(1);
    let syn = tcp(1, SYN);
    assert_eq!(decide(&mut decider, 0, &forwarding, &syn), TO_FIRST);
    let hash = forwarding.hasher.hash(&syn.key);
    assert_eq!(
        decider.table().get(hash).unwrap().state,
        FlowState::HalfOpen
    );
    decide(&mut decider, 1, &forwarding, &syn);
    assert_eq!(
        decider.table().get(hash).unwrap().state,
        FlowState::HalfOpen
    );
    assert_eq!(decide(&mut decider, 1, &forwarding, &tcp(1, ACK)), TO_FIRST);
    let record = decider.table().get(hash).unwrap();
    assert_eq!(record.state, FlowState::Established);
    assert!(record.opened_locally);
    assert_eq!(decider.flows_by_backend()[&FIRST], 1);
}

#[test]
fn a_known_flow_stays_when_its_bucket_becomes_contested() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, SYN));
    decide(&mut decider, 0, &clean(1), &udp(1));
    let next = contested(2);
    for packet in [tcp(1, SYN), tcp(1, ACK)] {
        assert_eq!(decide(&mut decider, 1, &next, &packet), TO_FIRST);
    }
    assert_eq!(decide(&mut decider, 1, &next, &udp(1)), TO_UDP_FIRST);
}

#[test]
fn an_unknown_flow_of_a_contested_bucket_is_escalated() {
    let mut decider = Decider::new(&settings(10));
    let forwarding = contested(1);
    let cases = [
        (tcp(1, SYN), EscalationKind::Opening),
        (tcp(1, ACK), EscalationKind::Other),
        (udp(1), EscalationKind::Opening),
    ];
    for (packet, kind) in cases {
        let expected = escalation(&forwarding, &packet, kind);
        assert_eq!(decide(&mut decider, 0, &forwarding, &packet), expected);
    }
    assert!(decider.table().is_empty());
}

#[test]
fn a_learned_flow_is_forwarded_until_it_is_forgotten() {
    let mut decider = Decider::new(&settings(10));
    let forwarding = contested(1);
    let packet = tcp(1, ACK);
    decide(&mut decider, 0, &forwarding, &packet);
    decider.learn(second(0), &place(&forwarding, &packet), SECOND);
    assert_eq!(decide(&mut decider, 1, &forwarding, &packet), TO_SECOND);
    decider.remove_flow(&place(&forwarding, &packet));
    let expected = escalation(&forwarding, &packet, EscalationKind::Other);
    assert_eq!(decide(&mut decider, 1, &forwarding, &packet), expected);
}

#[test]
fn unknown_flows_are_dropped_without_a_lease() {
    let mut decider = Decider::new(&settings(10));
    let packets = [tcp(1, SYN), tcp(1, ACK), tcp(1, FIN), udp(1)];
    for forwarding in [clean(1), contested(2)] {
        for packet in packets {
            let decision = decider.decide(second(0), &forwarding, LeaseState::Fenced, &packet);
            assert_eq!(decision, Decision::Drop(DropReason::Fenced));
        }
    }
    assert_eq!(decider.counters().dropped_fenced, 8);
    assert!(decider.table().is_empty());
}

#[test]
fn a_flow_on_a_backend_of_a_later_generation_is_escalated_until_that_generation_is_adopted() {
    let mut decider = Decider::new(&settings(10));
    let mut before = contested(1);
    before.backends.retain(|backend, _| *backend < SECOND);
    let packet = tcp(1, ACK);
    let place = place(&before, &packet);
    let expected = escalation(&before, &packet, EscalationKind::Other);
    assert_eq!(decide(&mut decider, 0, &before, &packet), expected);
    decider.learn(second(0), &place, SECOND);
    assert_eq!(decide(&mut decider, 1, &before, &packet), expected);
    assert_eq!(decider.counters().learned_early, 1);
    let after = contested(2);
    assert_eq!(decide(&mut decider, 2, &after, &packet), expected);
    decider.learn(second(2), &place, SECOND);
    assert_eq!(decide(&mut decider, 2, &after, &packet), TO_SECOND);
}

#[test]
fn known_flows_are_forwarded_without_a_lease() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, SYN));
    let decision = decider.decide(second(1), &clean(1), LeaseState::Fenced, &tcp(1, SYN));
    assert_eq!(decision, TO_FIRST);
}

#[test]
fn a_destination_without_service_is_dropped() {
    let mut decider = Decider::new(&settings(10));
    let mut packet = tcp(1, SYN);
    packet.key.destination_port = 1;
    let unknown = Decision::Drop(DropReason::UnknownService);
    assert_eq!(decide(&mut decider, 0, &clean(1), &packet), unknown);
    assert_eq!(
        decide(&mut decider, 0, &Forwarding::empty(), &tcp(1, SYN)),
        unknown
    );
    assert_eq!(decider.counters().dropped_unknown_service, 2);
}

#[test]
fn a_flow_whose_backend_died_is_reset_and_never_moved() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, SYN));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    let to = BucketRoute::Clean(SECOND);
    let mut next = forwarding(2, to, BucketRoute::Clean(UDP_FIRST));
    kill(&mut next, FIRST);
    for at in [1, 2, 30] {
        assert_eq!(
            decide(&mut decider, at, &next, &tcp(1, ACK)),
            Decision::Reset
        );
    }
    // Within the delay horizon, a SYN may be a late copy of the one that opened the flow.
    assert_eq!(
        decide(&mut decider, 2, &next, &tcp(1, SYN)),
        Decision::Reset
    );
    let reopened = decide(&mut decider, 31, &next, &tcp(1, SYN));
    assert_eq!(reopened, TO_SECOND);
}

#[test]
fn a_reset_flow_stays_reset_when_its_backend_returns() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    let mut dead = clean(2);
    kill(&mut dead, FIRST);
    assert_eq!(
        decide(&mut decider, 1, &dead, &tcp(1, ACK)),
        Decision::Reset
    );
    assert_eq!(
        decide(&mut decider, 2, &clean(3), &tcp(1, ACK)),
        Decision::Reset
    );
}

#[test]
fn a_flow_whose_backend_was_removed_is_reset() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    let mut next = clean(2);
    next.backends.remove(&FIRST);
    assert_eq!(
        decide(&mut decider, 1, &next, &tcp(1, ACK)),
        Decision::Reset
    );
}

#[test]
fn a_backend_of_another_service_gets_no_packet() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    let mut next = clean(2);
    next.backends.get_mut(&FIRST).unwrap().service = Some(UDP_SERVICE);
    // A recorded flow and an unknown one.
    for port in [1, 2] {
        let decision = decide(&mut decider, 1, &next, &tcp(port, ACK));
        assert_eq!(decision, Decision::Reset);
    }
    assert_eq!(decider.counters().service_mismatch, 2);
    assert_eq!(decider.counters().reset, 2);
}

#[test]
fn a_udp_flow_is_placed_anew_after_being_reset_for_its_idle_timeout() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &udp(1));
    let to = BucketRoute::Clean(UDP_SECOND);
    let mut next = forwarding(2, BucketRoute::Clean(FIRST), to);
    kill(&mut next, UDP_FIRST);
    for at in [1, 30, 60] {
        assert_eq!(decide(&mut decider, at, &next, &udp(1)), Decision::Reset);
    }
    assert_eq!(
        decide(&mut decider, 61, &next, &udp(1)),
        Decision::Forward(UDP_SECOND)
    );
}

#[test]
fn a_reused_port_follows_the_current_route() {
    for ending in [FIN, TcpFlags { rst: true, ..ACK }] {
        let mut decider = Decider::new(&settings(10));
        decide(&mut decider, 0, &clean(1), &tcp(1, SYN));
        decide(&mut decider, 1, &clean(1), &tcp(1, ACK));
        decide(&mut decider, 2, &clean(1), &tcp(1, ending));
        let next = contested(2);
        // A late copy of the SYN that opened the flow, and a retransmitted packet.
        for packet in [tcp(1, SYN), tcp(1, ACK)] {
            assert_eq!(decide(&mut decider, 3, &next, &packet), TO_FIRST);
        }
        let syn = tcp(1, SYN);
        let expected = escalation(&next, &syn, EscalationKind::Opening);
        assert_eq!(decide(&mut decider, 5, &next, &syn), expected);
        // The next packet of the new flow arrives before the owner's answer.
        let expected = escalation(&next, &tcp(1, ACK), EscalationKind::Other);
        assert_eq!(decide(&mut decider, 5, &next, &tcp(1, ACK)), expected);
        let decision = decider.decide(second(5), &clean(3), LeaseState::Fenced, &syn);
        assert_eq!(decision, Decision::Drop(DropReason::Fenced));
    }
}

#[test]
fn a_flow_recorded_from_a_packet_that_opens_nothing_is_not_marked_as_opened_here() {
    let mut decider = Decider::new(&settings(10));
    let forwarding = clean(1);
    decide(&mut decider, 0, &forwarding, &tcp(1, ACK));
    let hash = forwarding.hasher.hash(&tcp(1, ACK).key);
    let record = decider.table().get(hash).unwrap();
    assert_eq!(record.state, FlowState::Established);
    assert!(!record.opened_locally);
}

#[test]
fn an_icmp_error_follows_its_flow_and_records_nothing() {
    let mut decider = Decider::new(&settings(10));
    let error = PacketSummary {
        kind: PacketKind::IcmpError,
        ..tcp(1, ACK)
    };
    let next = contested(2);
    let expected = escalation(&next, &error, EscalationKind::Other);
    assert_eq!(decide(&mut decider, 0, &next, &error), expected);
    assert_eq!(decide(&mut decider, 0, &clean(3), &error), TO_FIRST);
    assert!(decider.table().is_empty());
    decider.learn(second(0), &place(&next, &error), SECOND);
    assert_eq!(decide(&mut decider, 59, &next, &error), TO_SECOND);
    assert_eq!(decide(&mut decider, 61, &next, &error), expected);
}

#[test]
fn an_expired_flow_is_ignored_before_the_sweep_removes_it() {
    let mut decider = Decider::new(&settings(10));
    decide(&mut decider, 0, &clean(1), &tcp(1, ACK));
    let next = contested(2);
    let expected = escalation(&next, &tcp(1, ACK), EscalationKind::Other);
    assert_eq!(decide(&mut decider, 61, &next, &tcp(1, ACK)), expected);
}

#[test]
fn each_state_has_its_timeout() {
    let mut decider = Decider::new(&settings(10));
    let forwarding = clean(1);
    decide(&mut decider, 0, &forwarding, &tcp(1, SYN));
    decide(&mut decider, 0, &forwarding, &tcp(2, FIN));
    decide(&mut decider, 0, &forwarding, &tcp(3, ACK));
    decide(&mut decider, 0, &forwarding, &udp(4));
    assert_eq!(decider.sweep(second(10), &forwarding, 100).expired, 0);
    assert_eq!(decider.sweep(second(11), &forwarding, 100).expired, 2);
    assert_eq!(decider.sweep(second(60), &forwarding, 100).expired, 0);
    assert_eq!(decider.sweep(second(61), &forwarding, 100).expired, 2);
    assert!(decider.table().is_empty());
    assert!(decider.flows_by_backend().is_empty());
    assert_eq!(decider.counters().expired, 4);
}

#[test]
fn a_sweep_step_visits_at_most_the_given_number_of_slots() {
    let mut decider = Decider::new(&settings(100));
    let forwarding = clean(1);
    for port in 0..25 {
        decide(&mut decider, 0, &forwarding, &tcp(port, ACK));
    }
    let mut expired = 0;
    // A slot is visited again after its flow was removed.
    let visits = decider.table().capacity() * 3 / 2 + 1 + 25;
    for left in (0..=visits / 10).rev() {
        let report = decider.sweep(second(61), &forwarding, 10);
        expired += report.expired;
        assert_eq!(report.pass_complete, left == 0);
        assert!(report.pass_complete || report.visited == 10);
    }
    assert_eq!(expired, 25);
    assert!(decider.table().is_empty());
}

#[test]
fn a_timeout_between_ticks_is_rounded_up() {
    let mut settings = settings(10);
    settings.half_open_timeout = Duration::from_millis(1);
    let mut decider = Decider::new(&settings);
    decide(&mut decider, 0, &clean(1), &tcp(1, SYN));
    let next_tick = Timestamp::from_micros(62_500);
    assert_eq!(decider.sweep(next_tick, &clean(1), 100).expired, 0);
    let later = Timestamp::from_micros(125_000);
    assert_eq!(decider.sweep(later, &clean(1), 100).expired, 1);
}

#[test]
fn a_batch_gives_the_same_decisions_as_single_packets() {
    let mut packets = Vec::new();
    for port in 0..50 {
        packets.extend([
            tcp(port, SYN),
            udp(port),
            tcp(port / 2, ACK),
            tcp(port, FIN),
        ]);
    }
    for forwarding in [clean(1), contested(1), Forwarding::empty()] {
        let (mut one, mut batch) = (Decider::new(&settings(60)), Decider::new(&settings(60)));
        let expected: Vec<_> = packets
            .iter()
            .map(|packet| decide(&mut one, 0, &forwarding, packet))
            .collect();
        let mut decisions = Vec::new();
        let lease = LeaseState::Valid;
        batch.decide_batch(second(0), &forwarding, lease, &packets, &mut decisions);
        assert_eq!(decisions, expected);
        assert_eq!(batch.counters(), one.counters());
    }
}

#[test]
fn a_learned_flow_is_forwarded_after_a_batch() {
    let mut decider = Decider::new(&settings(10));
    let forwarding = contested(1);
    let packet = [tcp(1, ACK)];
    let mut decisions = Vec::new();
    for _ in 0..2 {
        let lease = LeaseState::Valid;
        decider.decide_batch(second(0), &forwarding, lease, &packet, &mut decisions);
        decider.learn(second(0), &place(&forwarding, &packet[0]), SECOND);
    }
    assert_eq!(decisions[1], TO_SECOND);
}
