//! Placement of new flows when some instances are outliers, and the forwarder's tallies of answers.

use crate::support::{at, configuration, flow, later, node, opening, record};
use bellyoke_core::cookie::forwarder::{Decision, Forwarder};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{Cookie, InstanceId};
use bellyoke_core::cookie::packet::FlowPacket;
use bellyoke_core::cookie::placement::Suitability;
use bellyoke_core::cookie::route::{Configuration, RequestKind};
use bellyoke_core::cookie::table::ForwardingTable;
use std::collections::BTreeSet;

const INSTANCES: u64 = 10;

fn cookie(id: u64) -> Cookie {
    Cookie::of(InstanceId(id))
}

/// Ten instances behind a route with requests of a given kind.
fn table(kind: RequestKind) -> ForwardingTable {
    let mut replica = node((1..=INSTANCES).map(|id| record(id, 1)).collect());
    let mut routes = configuration(2, &[("till", 1)]).routes;
    routes[0].request_policy.kind = kind;
    replica.adopt_configuration(Configuration {
        routes,
        ..configuration(2, &[])
    });
    replica.table()
}

fn forwarder(outliers: impl IntoIterator<Item = u64>) -> Forwarder {
    let mut forwarder = Forwarder::new(HealthSettings::default());
    let outliers: BTreeSet<Cookie> = outliers.into_iter().map(cookie).collect();
    forwarder.set_outliers(&outliers);
    forwarder
}

fn place(
    forwarder: &mut Forwarder,
    table: &ForwardingTable,
    number: u32,
    attempt: u32,
) -> (Cookie, Suitability) {
    let now = at(10_000 + u64::from(number) * 10);
    match forwarder.decide(now, table, &opening(number, attempt), false) {
        Decision::Place {
            destination,
            suitability,
        } => (destination.cookie, suitability),
        other => panic!("not placed: {other:?}"),
    }
}

/// Opens a flow and sends a later packet of it.
fn placed_flow(forwarder: &mut Forwarder, table: &ForwardingTable, number: u32) -> Cookie {
    let (cookie, _) = place(forwarder, table, number, 0);
    let now = at(10_001 + u64::from(number) * 10);
    forwarder.decide(now, table, &later(number, cookie), false);
    cookie
}

#[test]
fn non_idempotent_requests_and_copies_of_openings_avoid_outliers() {
    let table = table(RequestKind::NonIdempotent);
    for number in 0..500 {
        let mut forwarder = forwarder(1..=3);
        for attempt in 0..3 {
            let (placed, suitability) = place(&mut forwarder, &table, number, attempt);
            assert!((4..=INSTANCES).any(|id| cookie(id) == placed));
            assert_eq!(suitability, Suitability::Full);
        }
    }
}

#[test]
fn a_few_flows_with_idempotent_requests_try_outliers() {
    let table = table(RequestKind::Idempotent);
    let mut forwarder = forwarder(1..=3);
    let tried = (0..3_200).filter(|number| {
        let placed = placed_flow(&mut forwarder, &table, *number);
        (1..=3).any(|id| cookie(id) == placed)
    });
    let tried = tried.count();
    assert!((20..=100).contains(&tried), "{tried} of 3,200");
}

#[test]
fn if_all_instances_are_outliers_all_get_flows() {
    let table = table(RequestKind::NonIdempotent);
    let mut forwarder = forwarder(1..=INSTANCES);
    let placed: BTreeSet<Cookie> = (0..300)
        .map(|number| placed_flow(&mut forwarder, &table, number))
        .collect();
    assert_eq!(placed.len(), 10);
}

#[test]
fn an_open_flow_stays_at_an_outlier() {
    let table = table(RequestKind::NonIdempotent);
    let mut forwarder = forwarder([1]);
    let decision = forwarder.decide(at(10_000), &table, &later(1, cookie(1)), false);
    let Decision::Follow { destination, .. } = decision else {
        panic!("not forwarded: {decision:?}");
    };
    assert_eq!(destination.cookie, cookie(1));
}

/// Opens a flow with one request, whose answer has `bytes` bytes.
fn request(
    forwarder: &mut Forwarder,
    table: &ForwardingTable,
    number: u32,
    bytes: impl Fn(Cookie) -> u32,
) -> Cookie {
    let (cookie, _) = place(forwarder, table, number, 0);
    let sent = 10_001 + u64::from(number) * 10;
    let request = FlowPacket {
        flow: flow(number),
        data_sequence: Some(1),
        data_length: 200,
        acknowledged: 500,
        ..later(number, cookie)
    };
    forwarder.decide(at(sent), table, &request, false);
    let end = FlowPacket {
        closes: true,
        acknowledged: 500 + bytes(cookie),
        ..later(number, cookie)
    };
    forwarder.decide(at(sent + 5), table, &end, false);
    cookie
}

#[test]
fn the_forwarder_counts_request_outcomes() {
    let table = table(RequestKind::NonIdempotent);
    let mut forwarder = forwarder([]);
    for number in 0..200 {
        request(&mut forwarder, &table, number, |_| 1_000);
    }
    let tallies = forwarder.take_tallies();
    let requests: u16 = tallies.iter().map(|tally| tally.requests).sum();
    let bad: u16 = tallies.iter().map(|tally| tally.bad()).sum();
    assert_eq!((requests, bad), (200, 0));
    assert!(forwarder.take_tallies().is_empty());
}

#[test]
fn an_instance_that_fails_fast_attracts_no_extra_flows() {
    let table = table(RequestKind::NonIdempotent);
    let mut forwarder = forwarder([]);
    for number in 0..200 {
        request(&mut forwarder, &table, number, |_| 1_000);
    }
    let fails = |instance: Cookie| if instance == cookie(7) { 150 } else { 1_000 };
    let placed =
        (200..600).filter(|number| request(&mut forwarder, &table, *number, fails) == cookie(7));
    let placed = placed.count();
    assert!(placed < 25, "{placed} of 400, a fair share is 40");
}
