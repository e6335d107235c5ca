//! Instances whose answers fail, unlike those of others.

use crate::support::{at, node, record};
use bellyoke_core::cookie::coordinator::Coordinator;
use bellyoke_core::cookie::exchange::{
    Exchange, ExchangeEffect, ExchangeSettings, OutlierMessage, PeerDatagram,
};
use bellyoke_core::cookie::instance::{Cookie, InstanceId};
use bellyoke_core::cookie::outliers::{
    InstanceTally, OutlierBoard, OutlierDetector, OutlierSettings, Verdicts,
};
use bellyoke_core::cookie::table::ForwardingTable;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Instances of the service.
const INSTANCES: u64 = 20;

/// Requests that each has in a quarter of a second.
const ASKED: u16 = 3;

fn table() -> ForwardingTable {
    node((1..=INSTANCES).map(|id| record(id, 1)).collect()).table()
}

fn cookie(id: u64) -> Cookie {
    Cookie::of(InstanceId(id))
}

fn tally(id: u64, asked: u16, failed: u16) -> InstanceTally {
    InstanceTally {
        cookie: cookie(id),
        asked,
        failed,
        slow: 0,
    }
}

/// A collector that hears of all requests.
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

    /// Time passes, in which each instance has requests of which `failed` tell how many fail.
    fn pass(&mut self, milliseconds: u64, failed: impl Fn(u64) -> u16) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.now += 250;
            let tallies: Vec<_> = (1..=INSTANCES)
                .map(|id| tally(id, ASKED, failed(id)))
                .collect();
            self.review(&tallies);
        }
    }

    fn review(&mut self, tallies: &[InstanceTally]) {
        let now = at(self.now);
        self.detector.note_report(now, tallies);
        self.detector.note_own(now, &self.table, tallies);
        self.detector.review(now, &self.table, 1.0);
    }

    fn outliers(&self) -> BTreeSet<Cookie> {
        self.detector.outliers().into_iter().collect()
    }
}

#[test]
fn an_instance_that_fails_most_requests_is_set_aside_within_a_second() {
    let mut collector = Collector::new();
    collector.pass(5_000, |_| 0);
    assert!(collector.detector.is_calm());
    collector.pass(1_000, |id| if id == 7 { 2 } else { 0 });
    assert_eq!(collector.outliers(), BTreeSet::from([cookie(7)]));
}

#[test]
fn a_failure_now_and_then_sets_nobody_aside() {
    let mut collector = Collector::new();
    for round in 0..40 {
        // One in thirty fails, at each in turn.
        collector.pass(250, |id| u16::from(id % 10 == round % 10));
        assert_eq!(collector.outliers(), BTreeSet::new());
    }
}

#[test]
fn where_all_fail_nobody_stands_out() {
    let mut collector = Collector::new();
    collector.pass(10_000, |_| 2);
    assert_eq!(collector.outliers(), BTreeSet::new());
}

#[test]
fn where_nine_in_ten_fail_nobody_stands_out() {
    let mut collector = Collector::new();
    collector.pass(10_000, |id| if id <= 18 { 2 } else { 0 });
    assert_eq!(collector.outliers(), BTreeSet::new());
}

#[test]
fn no_more_than_a_share_is_set_aside_the_worst_first() {
    let mut collector = Collector::new();
    collector.pass(4_000, |id| match id {
        1..=6 => 3,
        7..=9 => 2,
        _ => 0,
    });
    let outliers = collector.outliers();
    assert_eq!(outliers.len(), 8, "two fifths of 20");
    assert!((1..=6).all(|id| outliers.contains(&cookie(id))));
}

#[test]
fn an_instance_that_works_again_is_back_within_seconds() {
    let mut collector = Collector::new();
    collector.pass(4_000, |id| if id == 7 { 2 } else { 0 });
    assert_eq!(collector.outliers().len(), 1);
    // Trials bring it a request a quarter of a second.
    for _ in 0..32 {
        collector.now += 250;
        collector.review(&[tally(7, 1, 0)]);
    }
    assert_eq!(collector.outliers(), BTreeSet::new());
}

#[test]
fn an_instance_of_which_nothing_is_heard_is_tried_in_the_end() {
    let mut collector = Collector::new();
    collector.pass(2_000, |id| if id == 7 { 3 } else { 0 });
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
fn without_a_share_nobody_is_set_aside() {
    let mut collector = Collector::new();
    collector.detector = OutlierDetector::new(OutlierSettings {
        largest_share: 0.0,
        ..OutlierSettings::default()
    });
    collector.pass(4_000, |id| if id == 7 { 3 } else { 0 });
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
fn verdicts_are_passed_on_once_and_age_out() {
    let table = table();
    let mut board = OutlierBoard::default();
    assert!(board.note(at(1_000), &verdicts(1, 1, [3])));
    assert!(!board.note(at(1_010), &verdicts(1, 1, [3])), "known");
    assert!(board.note(at(1_020), &verdicts(2, 9, [4])));
    let held = board.outliers(&table, 0.4);
    assert_eq!(held, BTreeSet::from([cookie(3), cookie(4)]));
    board.expire(at(4_000));
    assert!(board.outliers(&table, 0.4).is_empty());
}

#[test]
fn a_collector_takes_its_verdict_back() {
    let mut board = OutlierBoard::default();
    board.note(at(1_000), &verdicts(1, 1, [3]));
    board.note(at(1_100), &verdicts(1, 2, []));
    assert!(board.outliers(&table(), 0.4).is_empty());
}

#[test]
fn collectors_that_disagree_set_aside_no_more_than_a_share() {
    let mut board = OutlierBoard::default();
    board.note(at(1_000), &verdicts(1, 1, 1..=8));
    board.note(at(1_000), &verdicts(2, 1, 9..=16));
    assert_eq!(board.outliers(&table(), 0.4).len(), 8);
}

/// Nodes that each see a request now and then, and whose messages arrive at once.
struct Fleet {
    table: ForwardingTable,
    nodes: BTreeMap<SocketAddrV4, Coordinator>,
    now: u64,
    /// Requests of a node in a tick.
    asked: u16,
    reports: usize,
    cut_off: BTreeSet<SocketAddrV4>,
}

/// Milliseconds between two ticks of a node.
const TICK: u64 = 100;

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
            asked: 1,
            reports: 0,
            cut_off: BTreeSet::new(),
        }
    }

    /// Time passes in which each node has a request a tick, at each instance in turn.
    fn pass(&mut self, milliseconds: u64, fails: impl Fn(u64) -> bool) {
        let end = self.now + milliseconds;
        let addresses: Vec<_> = self.nodes.keys().copied().collect();
        while self.now < end {
            self.now += TICK;
            let now = at(self.now);
            for (number, address) in addresses.clone().into_iter().enumerate() {
                let id = 1 + (self.now / TICK + number as u64 * 7) % INSTANCES;
                let tallies = [tally(id, self.asked, self.asked * u16::from(fails(id)))];
                let coordinator = self.nodes.get_mut(&address).unwrap();
                coordinator.note_answers(now, &self.table, &tallies);
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
            let is_cut = self.cut_off.contains(&from) || self.cut_off.contains(&to);
            if let Some(coordinator) = self.nodes.get_mut(&to).filter(|_| !is_cut) {
                let outcome = coordinator.datagram(at(self.now), from, datagram);
                self.perform(to, outcome.effects);
            }
        }
    }

    /// How many nodes hold just these instances for outliers.
    fn holding(&self, ids: &[u64]) -> usize {
        let expected: BTreeSet<Cookie> = ids.iter().map(|id| cookie(*id)).collect();
        let nodes = self.nodes.values();
        nodes.filter(|node| *node.outliers() == expected).count()
    }
}

#[test]
fn what_no_node_sees_alone_all_know_within_two_seconds() {
    let mut fleet = Fleet::new(40);
    fleet.pass(6_000, |_| false);
    assert_eq!(fleet.holding(&[]), 40);
    assert_eq!(fleet.reports, 0, "nothing on quiet days");
    fleet.pass(2_000, |id| id == 7);
    assert_eq!(fleet.holding(&[7]), 40);
}

#[test]
fn all_know_within_seconds_that_it_works_again() {
    let mut fleet = Fleet::new(40);
    fleet.pass(6_000, |_| false);
    fleet.pass(4_000, |id| id == 7);
    fleet.pass(8_000, |_| false);
    assert_eq!(fleet.holding(&[]), 40);
}

#[test]
fn nodes_that_are_cut_off_go_by_what_they_hear_no_longer() {
    let mut fleet = Fleet::new(40);
    fleet.pass(6_000, |_| false);
    fleet.pass(3_000, |id| id == 7);
    fleet.cut_off.extend([address(9), address(11)]);
    let held = |fleet: &Fleet, number| !fleet.nodes[&address(number)].outliers().is_empty();
    assert!(held(&fleet, 9));
    fleet.pass(3_000, |id| id == 7);
    assert_eq!(fleet.holding(&[7]), 38);
}

#[test]
fn collectors_that_die_are_replaced_by_others() {
    let mut fleet = Fleet::new(40);
    fleet.pass(6_000, |_| false);
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
    fleet.pass(9_000, |id| id == 7);
    assert_eq!(fleet.holding(&[7]), 37);
}

#[test]
fn a_node_without_peers_goes_by_its_own_samples() {
    let mut fleet = Fleet::new(1);
    fleet.asked = 3;
    fleet.pass(3_000, |_| false);
    fleet.pass(6_000, |id| id % 5 == 2);
    assert_eq!(fleet.holding(&[2, 7, 12, 17]), 1);
}

#[test]
fn with_the_share_at_zero_nothing_is_reported() {
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
    fleet.pass(8_000, |id| id == 7);
    assert_eq!((fleet.reports, fleet.holding(&[])), (0, 10));
}
