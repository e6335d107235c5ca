//! Detection of instances whose answers fail, unlike those of others.

use crate::support::{at, node, record};
use bellyoke_core::cookie::coordinator::Coordinator;
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeEffect, ExchangeSettings, OutlierMessage, PeerDatagram,
};
use bellyoke_core::cookie::instance::{Cookie, InstanceId};
use bellyoke_core::cookie::outliers::{
    InstanceTally, OutlierDetector, OutlierSettings, VerdictCache, Verdicts,
};
use bellyoke_core::cookie::table::ForwardingTable;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Instances of the service.
const INSTANCES: u64 = 20;

/// Requests to each instance in 250 ms.
const REQUESTS: u16 = 3;

fn table() -> ForwardingTable {
    node((1..=INSTANCES).map(|id| record(id, 1)).collect()).table()
}

fn cookie(id: u64) -> Cookie {
    Cookie::of(InstanceId(id))
}

fn tally(id: u64, requests: u16, failed: u16) -> InstanceTally {
    InstanceTally {
        cookie: cookie(id),
        requests,
        failed,
        slow: 0,
    }
}

/// A collector that receives the tallies of all requests.
struct Collector {
    table: ForwardingTable,
    detector: OutlierDetector,
    now: u64,
}

impl Collector {
    fn new() -> Self {
        Self {
            table: table(),
            detector: OutlierDetector::new(OutlierSettings::default()),
            now: 1_000,
        }
    }

    /// Advances the time. Each instance receives requests, of which `failed` fail.
    fn advance(&mut self, milliseconds: u64, failed: impl Fn(u64) -> u16) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.now += 250;
            let tallies: Vec<_> = (1..=INSTANCES)
                .map(|id| tally(id, REQUESTS, failed(id)))
                .collect();
            self.review(&tallies);
        }
    }

    fn review(&mut self, tallies: &[InstanceTally]) {
        let now = at(self.now);
        self.detector.record_report(now, tallies);
        self.detector.record_own_requests(now, &self.table, tallies);
        self.detector.review(now, &self.table, 1.0);
    }

    fn outliers(&self) -> BTreeSet<Cookie> {
        self.detector.outliers().into_iter().collect()
    }
}

#[test]
fn an_instance_that_fails_most_requests_is_ejected_within_a_second() {
    let mut collector = Collector::new();
    collector.advance(5_000, |_| 0);
    assert!(collector.detector.has_no_evidence());
    collector.advance(1_000, |id| if id == 7 { 2 } else { 0 });
    assert_eq!(collector.outliers(), BTreeSet::from([cookie(7)]));
}

#[test]
fn occasional_failures_eject_no_instance() {
    let mut collector = Collector::new();
    for round in 0..40 {
        // One request in thirty fails, at each instance in turn.
        collector.advance(250, |id| u16::from(id % 10 == round % 10));
        assert_eq!(collector.outliers(), BTreeSet::new());
    }
}

#[test]
fn no_instance_is_ejected_if_all_fail() {
    let mut collector = Collector::new();
    collector.advance(10_000, |_| 2);
    assert_eq!(collector.outliers(), BTreeSet::new());
}

#[test]
fn no_instance_is_ejected_if_nine_in_ten_fail() {
    let mut collector = Collector::new();
    collector.advance(10_000, |id| if id <= 18 { 2 } else { 0 });
    assert_eq!(collector.outliers(), BTreeSet::new());
}

#[test]
fn the_worst_instances_are_ejected_up_to_the_largest_share() {
    let mut collector = Collector::new();
    collector.advance(4_000, |id| match id {
        1..=6 => 3,
        7..=9 => 2,
        _ => 0,
    });
    let outliers = collector.outliers();
    assert_eq!(outliers.len(), 8, "40 % of 20");
    assert!((1..=6).all(|id| outliers.contains(&cookie(id))));
}

#[test]
fn a_recovered_instance_is_reinstated_within_seconds() {
    let mut collector = Collector::new();
    collector.advance(4_000, |id| if id == 7 { 2 } else { 0 });
    assert_eq!(collector.outliers().len(), 1);
    // Trials send it one request in 250 ms.
    for _ in 0..32 {
        collector.now += 250;
        collector.review(&[tally(7, 1, 0)]);
    }
    assert_eq!(collector.outliers(), BTreeSet::new());
}

#[test]
fn an_ejected_instance_without_requests_is_reinstated_eventually() {
    let mut collector = Collector::new();
    collector.advance(2_000, |id| if id == 7 { 3 } else { 0 });
    for _ in 0..44 {
        assert_eq!(collector.outliers().len(), 1);
        collector.now += 200;
        collector.review(&[]);
    }
    collector.now += 1_500;
    collector.review(&[]);
    assert_eq!(collector.outliers(), BTreeSet::new());
}

#[test]
fn a_largest_share_of_zero_disables_ejection() {
    let mut collector = Collector::new();
    collector.detector = OutlierDetector::new(OutlierSettings {
        largest_share: 0.0,
        ..OutlierSettings::default()
    });
    collector.advance(4_000, |id| if id == 7 { 3 } else { 0 });
    assert_eq!(collector.outliers(), BTreeSet::new());
}

fn verdicts(collector: u8, sequence: u64, ids: impl IntoIterator<Item = u64>) -> Verdicts {
    Verdicts {
        collector: format!("10.0.0.{collector}:7000").parse().unwrap(),
        sequence,
        cookies: ids.into_iter().map(|id| cookie(id).bits()).collect(),
    }
}

#[test]
fn verdicts_are_forwarded_once_and_expire() {
    let table = table();
    let mut cache = VerdictCache::default();
    assert!(cache.record(at(1_000), &verdicts(1, 1, [3])));
    assert!(!cache.record(at(1_010), &verdicts(1, 1, [3])), "known");
    assert!(cache.record(at(1_020), &verdicts(2, 9, [4])));
    let outliers = cache.outliers(&table, 0.4);
    assert_eq!(outliers, BTreeSet::from([cookie(3), cookie(4)]));
    cache.expire(at(4_000));
    assert!(cache.outliers(&table, 0.4).is_empty());
}

#[test]
fn a_collector_can_withdraw_its_verdict() {
    let mut cache = VerdictCache::default();
    cache.record(at(1_000), &verdicts(1, 1, [3]));
    cache.record(at(1_100), &verdicts(1, 2, []));
    assert!(cache.outliers(&table(), 0.4).is_empty());
}

#[test]
fn disagreeing_collectors_eject_at_most_the_largest_share() {
    let mut cache = VerdictCache::default();
    cache.record(at(1_000), &verdicts(1, 1, 1..=8));
    cache.record(at(1_000), &verdicts(2, 1, 9..=16));
    assert_eq!(cache.outliers(&table(), 0.4).len(), 8);
}

/// Nodes that each see few requests, with immediate message delivery.
struct Fleet {
    table: ForwardingTable,
    nodes: BTreeMap<SocketAddrV4, Coordinator>,
    now: u64,
    /// Requests of a node per tick.
    requests_per_tick: u16,
    reports: usize,
    isolated: BTreeSet<SocketAddrV4>,
}

/// Milliseconds between two ticks of a node.
const TICK_MS: u64 = 100;

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000)
}

impl Fleet {
    fn new(size: u8) -> Self {
        let records: Vec<_> = (1..=INSTANCES).map(|id| record(id, 1)).collect();
        let start = |number: u8| {
            let settings = ExchangeSettings::default();
            let seeds = vec![address(1)];
            let exchange = Exchange::new(settings, address(number), seeds, u64::from(number));
            let coordinator = Coordinator::new(node(records.clone()), exchange);
            (address(number), coordinator)
        };
        Self {
            table: table(),
            nodes: (1..=size).map(start).collect(),
            now: 10_000,
            requests_per_tick: 1,
            reports: 0,
            isolated: BTreeSet::new(),
        }
    }

    /// Advances the time. Each node sends its requests of each tick to one instance after the
    /// other.
    fn advance(&mut self, milliseconds: u64, fails: impl Fn(u64) -> bool) {
        let end = self.now + milliseconds;
        let addresses: Vec<_> = self.nodes.keys().copied().collect();
        while self.now < end {
            self.now += TICK_MS;
            let now = at(self.now);
            for (number, address) in addresses.clone().into_iter().enumerate() {
                let id = 1 + (self.now / TICK_MS + number as u64 * 7) % INSTANCES;
                let tallies = [tally(
                    id,
                    self.requests_per_tick,
                    self.requests_per_tick * u16::from(fails(id)),
                )];
                let coordinator = self.nodes.get_mut(&address).unwrap();
                coordinator.record_answers(now, &self.table, &tallies);
                let (outcome, _) = coordinator.tick(now);
                let (_, effects) = coordinator.review_outliers(now, &self.table);
                self.perform(address, outcome.effects);
                self.perform(address, effects);
            }
        }
    }

    fn perform(&mut self, from: SocketAddrV4, effects: Vec<ExchangeEffect>) {
        for effect in effects {
            let (to, datagram) = match effect {
                ExchangeEffect::SendHeartbeat { to, heartbeat }
                | ExchangeEffect::SendDelta { to, heartbeat, .. } => {
                    (to, PeerDatagram::Heartbeat(heartbeat))
                }
                ExchangeEffect::SendOutliers { to, message } => {
                    self.reports += usize::from(matches!(message, OutlierMessage::Report(_)));
                    (to, PeerDatagram::Outliers(message))
                }
                _ => continue,
            };
            let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
            if let Some(coordinator) = self.nodes.get_mut(&to).filter(|_| !is_isolated) {
                let outcome = coordinator.handle_datagram(at(self.now), from, datagram);
                self.perform(to, outcome.effects);
            }
        }
    }

    /// Returns the number of nodes for which exactly these instances are outliers.
    fn nodes_with_outliers(&self, ids: &[u64]) -> usize {
        let expected: BTreeSet<Cookie> = ids.iter().map(|id| cookie(*id)).collect();
        let nodes = self.nodes.values();
        nodes.filter(|node| *node.outliers() == expected).count()
    }
}

#[test]
fn all_nodes_eject_within_two_seconds_an_outlier_that_no_single_node_detects() {
    let mut fleet = Fleet::new(40);
    fleet.advance(6_000, |_| false);
    assert_eq!(fleet.nodes_with_outliers(&[]), 40);
    assert_eq!(
        fleet.reports, 0,
        "nothing is reported while no request fails"
    );
    fleet.advance(2_000, |id| id == 7);
    assert_eq!(fleet.nodes_with_outliers(&[7]), 40);
}

#[test]
fn all_nodes_reinstate_a_recovered_instance_within_seconds() {
    let mut fleet = Fleet::new(40);
    fleet.advance(6_000, |_| false);
    fleet.advance(4_000, |id| id == 7);
    fleet.advance(8_000, |_| false);
    assert_eq!(fleet.nodes_with_outliers(&[]), 40);
}

#[test]
fn isolated_nodes_drop_verdicts_that_are_not_repeated() {
    let mut fleet = Fleet::new(40);
    fleet.advance(6_000, |_| false);
    fleet.advance(3_000, |id| id == 7);
    fleet.isolated.extend([address(9), address(11)]);
    let has_outliers = |fleet: &Fleet, number| !fleet.nodes[&address(number)].outliers().is_empty();
    assert!(has_outliers(&fleet, 9));
    fleet.advance(3_000, |id| id == 7);
    assert_eq!(fleet.nodes_with_outliers(&[7]), 38);
}

#[test]
fn failed_collectors_are_replaced() {
    let mut fleet = Fleet::new(40);
    fleet.advance(6_000, |_| false);
    let collectors: Vec<_> = fleet
        .nodes
        .iter()
        .filter(|(_, node)| node.exchange().collects_reports())
        .map(|(address, _)| *address)
        .collect();
    assert_eq!(collectors.len(), 3);
    for collector in &collectors {
        fleet.nodes.remove(collector);
    }
    fleet.advance(9_000, |id| id == 7);
    assert_eq!(fleet.nodes_with_outliers(&[7]), 37);
}

#[test]
fn a_node_without_peers_uses_its_own_samples() {
    let mut fleet = Fleet::new(1);
    fleet.requests_per_tick = 3;
    fleet.advance(3_000, |_| false);
    fleet.advance(6_000, |id| id % 5 == 2);
    assert_eq!(fleet.nodes_with_outliers(&[2, 7, 12, 17]), 1);
}

#[test]
fn nothing_is_reported_if_ejection_is_disabled() {
    let mut fleet = Fleet::new(10);
    let off = OutlierSettings {
        largest_share: 0.0,
        ..OutlierSettings::default()
    };
    let nodes = std::mem::take(&mut fleet.nodes);
    fleet.nodes = nodes
        .into_iter()
        .map(|(address, node)| (address, node.with_outlier_settings(off)))
        .collect();
    fleet.advance(8_000, |id| id == 7);
    assert_eq!((fleet.reports, fleet.nodes_with_outliers(&[])), (0, 10));
}
