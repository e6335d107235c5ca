//! UDP flows of callers against backends in virtual time.

mod common;

use bellyoke_lab::caller::{CallerHost, Kind};
use bellyoke_lab::network::{FlowKey, NetworkStack, PacketHost, PacketSummary, unreachable_flow};
use common::{Faults, Network, TILL_V4, TILL_V6, backend, callers, target, to_first};
use smoltcp::time::{Duration, Instant};

fn both_versions() -> Vec<bellyoke_lab::caller::Target> {
    vec![
        target("till", TILL_V4, Kind::Datagram),
        target("till", TILL_V6, Kind::Datagram),
    ]
}

#[test]
fn flows_are_answered_in_spite_of_losses() {
    let faults = Faults {
        lost: 100,
        duplicated: 100,
        delayed: 100,
    };
    let settings = callers(both_versions(), 3, 9);
    let network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    let mut network = network.with_faults(faults, 3);
    let counts = network.run().counts;
    assert_eq!((counts.sent, counts.answered), (18, 18));
}

#[test]
fn a_flow_that_moves_to_another_backend_is_broken() {
    let settings = callers(vec![target("till", TILL_V4, Kind::Datagram)], 1, 1);
    let backends = vec![backend("till-1", &["till"]), backend("till-2", &["till"])];
    let mut packets = 0;
    let move_at_fourth = Box::new(move |_| {
        packets += 1;
        usize::from(packets > 3)
    });
    let mut network = Network::new(settings, backends, move_at_fourth);
    let report = network.run();
    assert_eq!(report.broken[0].reason, "flow moved from till-1 to till-2");
}

#[test]
fn a_service_that_is_not_allowed_gets_no_answer() {
    let mut settings = callers(vec![target("listings", TILL_V4, Kind::Datagram)], 1, 1);
    settings.patience = Duration::from_millis(400);
    let mut network = Network::new(settings, vec![backend("till-1", &["till"])], to_first());
    let report = network.run();
    assert_eq!(report.counts.broken, 1);
    assert_eq!(network.reports()[0].wrong_service, 1);
}

/// Lets a host without sockets answer the first datagram of a flow.
fn refuse(address: &str) -> (FlowKey, Vec<u8>, CallerHost) {
    let settings = callers(vec![target("till", address, Kind::Datagram)], 1, 1);
    let mut caller = CallerHost::new(settings);
    caller.poll(Instant::ZERO);
    caller.poll(Instant::ZERO);
    let request = caller.next_packet().expect("a datagram");
    let flow = PacketSummary::read(&request).expect("an IP packet").flow;
    let mut stack = NetworkStack::new(1);
    stack.receive(Instant::ZERO, &request);
    let message = stack.next_packet().expect("an ICMP error");
    (flow, message, caller)
}

#[test]
fn an_icmp_error_before_any_answer_is_a_refusal() {
    for address in [TILL_V4, TILL_V6] {
        let (flow, message, mut caller) = refuse(address);
        assert_eq!(unreachable_flow(&message), Some(flow));
        caller.receive(Instant::ZERO, &message);
        caller.poll(Instant::ZERO);
        assert_eq!(caller.report().counts.refused, 1);
    }
}

#[test]
fn other_packets_are_no_icmp_errors() {
    let (_, message, _) = refuse(TILL_V4);
    for length in 0..message.len() {
        assert_eq!(unreachable_flow(&message[..length]), None);
    }
}
