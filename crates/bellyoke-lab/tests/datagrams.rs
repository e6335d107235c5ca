//! UDP flows between callers and backends over a simulated network in virtual time.

mod common;

use bellyoke_lab::caller::{CallerHost, Kind};
use bellyoke_lab::network::{FlowKey, NetworkStack, PacketHost, PacketSummary, unreachable_flow};
use common::{Faults, Network, TILL_V4, TILL_V6, backend, callers, target, to_first};
use smoltcp::time::{Duration, Instant};

fn dual_stack_targets() -> Vec<bellyoke_lab::caller::Target> {
    vec![
        target("till", TILL_V4, Kind::Datagram),
        target("till", TILL_V6, Kind::Datagram),
    ]
}

#[test]
fn flows_are_answered_despite_lost_duplicated_and_late_packets() {
    let faults = Faults {
        lost: 100,
        duplicated: 100,
        delayed: 100,
    };
    let settings = callers(dual_stack_targets(), 3, 9);
    let network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    let mut network = network.with_faults(faults, 3);
    let counts = network.run().counts;
    assert_eq!((counts.sent, counts.answered), (18, 18));
}

#[test]
fn a_flow_that_reaches_another_backend_is_reported_broken() {
    let settings = callers(vec![target("till", TILL_V4, Kind::Datagram)], 1, 1);
    let backends = vec![backend("till-1", &["till"]), backend("till-2", &["till"])];
    let mut packets = 0;
    let move_at_fourth_packet = Box::new(move |_| {
        packets += 1;
        usize::from(packets > 3)
    });
    let mut network = Network::new(settings, backends, move_at_fourth_packet);
    let report = network.run();
    assert_eq!(report.broken[0].reason, "flow moved from till-1 to till-2");
}

#[test]
fn requests_for_a_disallowed_service_get_no_answer() {
    let mut settings = callers(vec![target("listings", TILL_V4, Kind::Datagram)], 1, 1);
    settings.patience = Duration::from_millis(400);
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    let report = network.run();
    assert_eq!(report.counts.broken, 1);
    assert_eq!(network.reports()[0].wrong_service, 1);
}

/// Sends the first datagram of a flow to a host without sockets. Returns the flow, the ICMP error
/// that the host answers with, and the caller.
fn unreachable_first_datagram(address: &str) -> (FlowKey, Vec<u8>, CallerHost) {
    let settings = callers(vec![target("till", address, Kind::Datagram)], 1, 1);
    let mut caller = CallerHost::new(settings);
    caller.poll(Instant::ZERO);
    caller.poll(Instant::ZERO);
    let request = caller.next_packet().expect("caller should send a datagram");
    let flow = PacketSummary::read(&request)
        .expect("datagram should be a valid IP packet")
        .flow;
    let mut stack = NetworkStack::new(1);
    stack.receive(Instant::ZERO, &request);
    let icmp_error = stack
        .next_packet()
        .expect("host should answer with an ICMP error");
    (flow, icmp_error, caller)
}

#[test]
fn an_icmp_error_before_any_answer_counts_as_refused() {
    for address in [TILL_V4, TILL_V6] {
        let (flow, icmp_error, mut caller) = unreachable_first_datagram(address);
        assert_eq!(unreachable_flow(&icmp_error), Some(flow));
        caller.receive(Instant::ZERO, &icmp_error);
        caller.poll(Instant::ZERO);
        assert_eq!(caller.report().counts.refused, 1);
    }
}

#[test]
fn truncated_icmp_errors_are_not_recognized() {
    let (_, icmp_error, _) = unreachable_first_datagram(TILL_V4);
    for length in 0..icmp_error.len() {
        assert_eq!(unreachable_flow(&icmp_error[..length]), None);
    }
}
