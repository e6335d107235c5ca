//! What nodes make of what other nodes' probes found, and what a dead instance costs them all.

use crate::cluster::{TICK_MS, address, cluster_in_five_zones};
use crate::support::at;
use bellyoke_core::cookie::capacity::ZoneKey;
use bellyoke_core::cookie::instance::{Cookie, InstanceId};
use bellyoke_core::cookie::reachability::{
    Finding, Origin, ProbeOutcome, ReachabilityMonitor, SuspicionSource, VERDICT_LIFETIME,
};
use std::collections::BTreeSet;

const INSTANCE: InstanceId = InstanceId(1);

fn cookie() -> Cookie {
    Cookie::of(INSTANCE)
}

fn origin(node: usize, zone: u16) -> Origin {
    Origin {
        node: address(node),
        zone: ZoneKey(zone),
    }
}

fn finding(origin: Origin, found_at: u64) -> Finding {
    Finding {
        cookie: cookie(),
        origin,
        found_at: at(found_at),
        reached: false,
    }
}

/// A node of zone 0, in a cluster of several zones.
fn monitor() -> ReachabilityMonitor {
    let mut monitor = ReachabilityMonitor::new(origin(0, 0));
    monitor.set_single_zone(false);
    monitor
}

#[test]
fn what_one_node_found_keeps_new_flows_of_its_zone_away_and_ends_none() {
    let mut monitor = monitor();
    assert!(monitor.record_finding(at(1_000), &finding(origin(1, 0), 950)));
    assert!(monitor.avoided(at(1_000)).contains(&cookie()));
    assert!(monitor.unreachable(at(1_000)).is_empty());
    assert!(monitor.ended(at(2_000)).is_empty());

    let mut elsewhere = ReachabilityMonitor::new(origin(9, 5));
    elsewhere.set_single_zone(false);
    assert!(elsewhere.record_finding(at(1_000), &finding(origin(1, 0), 950)));
    assert!(elsewhere.avoided(at(1_000)).is_empty(), "paths differ");
}

#[test]
fn what_nodes_of_two_zones_found_ends_flows_everywhere() {
    let mut monitor = monitor();
    monitor.record_finding(at(1_000), &finding(origin(1, 5), 950));
    monitor.record_finding(at(1_100), &finding(origin(2, 5), 1_050));
    assert!(monitor.unreachable(at(1_100)).is_empty(), "one zone");
    monitor.record_finding(at(1_200), &finding(origin(3, 6), 1_150));
    let all = BTreeSet::from([cookie()]);
    assert_eq!(monitor.unreachable(at(1_200)), all);
    assert_eq!(monitor.avoided(at(1_200)), all);
    assert!(monitor.ended(at(1_399)).is_empty(), "peers may object");
    assert_eq!(monitor.ended(at(1_400)), all);
    assert!(monitor.record_alive(at(1_500), cookie()));
    assert!(monitor.unreachable(at(1_500)).is_empty());
    assert!(!monitor.record_finding(at(1_600), &finding(origin(4, 7), 1_450)));
}

/// What was asked in an earlier fault is no time to object in this one.
#[test]
fn peers_have_time_to_object_each_time() {
    let mut monitor = monitor();
    for found_at in [1_000, 60_000] {
        monitor.record_finding(at(found_at), &finding(origin(1, 5), found_at));
        monitor.record_finding(at(found_at), &finding(origin(2, 6), found_at));
        assert!(monitor.ended(at(found_at + 399)).is_empty(), "{found_at}");
        assert!(!monitor.ended(at(found_at + 400)).is_empty(), "{found_at}");
    }
}

#[test]
fn in_one_zone_two_nodes_are_enough() {
    let mut monitor = ReachabilityMonitor::new(origin(0, 0));
    assert!(monitor.record_finding(at(1_000), &finding(origin(1, 0), 950)));
    assert!(!monitor.record_finding(at(1_000), &finding(origin(1, 0), 960)));
    assert!(monitor.unreachable(at(1_000)).is_empty());
    assert!(monitor.record_finding(at(1_000), &finding(origin(2, 0), 950)));
    assert!(!monitor.unreachable(at(1_000)).is_empty());
}

#[test]
fn a_finding_is_told_on_once_and_holds_for_a_moment() {
    let mut monitor = monitor();
    let first = finding(origin(1, 0), 950);
    assert!(monitor.record_finding(at(1_000), &first));
    assert!(!monitor.record_finding(at(1_010), &first), "a copy");
    assert!(monitor.record_finding(at(3_000), &finding(origin(1, 0), 2_950)));
    let lifetime = u64::try_from(VERDICT_LIFETIME.as_millis()).unwrap();
    assert!(!monitor.avoided(at(2_949 + lifetime)).is_empty());
    assert!(monitor.avoided(at(2_950 + lifetime)).is_empty());
    let stale = finding(origin(2, 0), 10_000);
    assert!(!monitor.record_finding(at(10_000 + lifetime), &stale));
}

#[test]
fn an_instance_that_a_peer_reaches_again_is_avoided_until_it_shows_life() {
    let mut monitor = monitor();
    monitor.record_finding(at(1_000), &finding(origin(1, 5), 950));
    monitor.record_finding(at(1_000), &finding(origin(2, 6), 950));
    let back = |origin| Finding {
        reached: true,
        ..finding(origin, 2_000)
    };
    assert!(monitor.record_finding(at(2_000), &back(origin(3, 5))));
    assert!(monitor.unreachable(at(2_000)).is_empty());
    assert!(monitor.record_finding(at(2_000), &back(origin(2, 6))));
    assert!(
        !monitor.record_finding(at(2_010), &back(origin(2, 6))),
        "told before"
    );
    assert!(!monitor.avoided(at(11_999)).is_empty());
    assert!(monitor.avoided(at(12_000)).is_empty());
}

/// Else a finding and its withdrawal would go round among the nodes, each told on each time.
#[test]
fn a_copy_of_a_finding_that_was_withdrawn_is_no_news() {
    let mut monitor = monitor();
    let first = finding(origin(1, 5), 950);
    let back = Finding {
        reached: true,
        ..finding(origin(1, 5), 2_000)
    };
    assert!(monitor.record_finding(at(1_000), &first));
    assert!(monitor.record_finding(at(2_050), &back));
    for now in [2_060, 2_070] {
        assert!(!monitor.record_finding(at(now), &first));
        assert!(!monitor.record_finding(at(now), &back));
    }
    assert!(monitor.record_finding(at(4_050), &finding(origin(1, 5), 4_000)));
}

/// What others found counts for nothing against what this node finds itself.
#[test]
fn a_node_that_reaches_an_instance_drops_what_peers_found() {
    let mut monitor = monitor();
    monitor.record_finding(at(1_000), &finding(origin(1, 5), 950));
    monitor.record_finding(at(1_000), &finding(origin(2, 6), 950));
    assert!(
        !monitor.suspect(at(1_000), cookie(), SuspicionSource::OwnOpening),
        "it is answered"
    );
    assert!(monitor.suspect(at(1_000), cookie(), SuspicionSource::PeerRequest));
    monitor.take_suspects(SuspicionSource::PeerRequest);
    monitor.record_probe(at(1_100), cookie(), ProbeOutcome::Reached);
    assert!(monitor.unreachable(at(1_100)).is_empty());
    assert!(!monitor.record_finding(at(1_200), &finding(origin(1, 5), 1_050)));
}

#[test]
fn a_peer_is_asked_until_one_of_another_zone_confirms_a_verdict() {
    let mut monitor = monitor();
    monitor.suspect(at(900), cookie(), SuspicionSource::OwnOpening);
    monitor.take_suspects(SuspicionSource::OwnOpening);
    monitor.record_probe(at(1_000), cookie(), ProbeOutcome::Unreachable);
    assert_eq!(monitor.take_unconfirmed(at(1_000)), [cookie()]);
    assert_eq!(monitor.take_unconfirmed(at(1_399)), []);
    monitor.record_finding(at(1_399), &finding(origin(1, 0), 1_350));
    assert_eq!(
        monitor.take_unconfirmed(at(1_400)),
        [cookie()],
        "the own zone"
    );
    monitor.record_finding(at(1_500), &finding(origin(2, 5), 1_450));
    assert_eq!(monitor.take_unconfirmed(at(1_800)), []);
}

/// What a dead instance costs the cluster.
#[derive(Debug)]
struct Cost {
    /// Connections to it, and to others beside it.
    connections: usize,
    /// Findings and questions that the middle node sent, bytes.
    bytes: usize,
    /// Nodes that hold it unreachable half a second after the first did.
    knowing: usize,
}

/// One node's opening at an instance comes to nothing; probes of all nodes run for six seconds, by when its record
/// has gone.
fn cost_of_a_death(nodes: usize) -> Cost {
    let mut cluster = cluster_in_five_zones(nodes, 50);
    cluster.traffic.clear();
    let began = cluster.now;
    let doubting = cluster.node(nodes / 2);
    doubting.coordinator.suspect(at(began), &[cookie()]);
    let mut connections = 0;
    let mut knowing = 0;
    while cluster.now < began + 6_000 {
        for node in 0..nodes {
            let now = at(cluster.now);
            while let Some(batch) = cluster.node(node).coordinator.next_probe(now, &[]) {
                connections += batch.attempts_left() * batch.next_addresses().len();
                let suspects = batch.outcomes().into_iter();
                let found = suspects.map(|(cookie, _)| (cookie, ProbeOutcome::Unreachable));
                let outcomes: Vec<_> = found.collect();
                let (_, effects) = cluster.node(node).coordinator.record_probes(now, &outcomes);
                let outcome = bellyoke_core::cookie::coordinator::Outcome {
                    effects,
                    ..Default::default()
                };
                cluster.perform(address(node), outcome);
            }
        }
        cluster.run(TICK_MS);
        if cluster.now == began + 500 {
            let now = at(cluster.now);
            let all = cluster.nodes.values();
            knowing = all
                .filter(|node| node.coordinator.unreachable(now).contains(&cookie()))
                .count();
        }
    }
    let told = ["findings", "question", "objection"];
    let bytes = told.map(|kind| {
        cluster
            .traffic
            .get(kind)
            .map_or(0, |bytes| bytes[0] + bytes[1])
    });
    Cost {
        connections,
        bytes: bytes.iter().sum::<usize>() / nodes,
        knowing,
    }
}

/// Three attempts and two, beside controls, and two nodes that look twice whether it is still so.
#[test]
fn a_dead_instance_costs_as_many_connections_in_a_large_cluster_as_in_a_small_one() {
    let costs = [10, 100, 1_000].map(cost_of_a_death);
    for (cost, nodes) in costs.iter().zip([10, 100, 1_000]) {
        assert!(cost.connections <= 25, "{nodes} nodes: {cost:?}");
        assert!(cost.bytes <= 3_000, "{nodes} nodes: {cost:?}");
        assert!(cost.knowing * 100 >= nodes * 90, "{nodes} nodes: {cost:?}");
    }
}
