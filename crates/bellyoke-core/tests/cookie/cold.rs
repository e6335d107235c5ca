//! The limit of cold instances holds over the sum of all nodes, in every second, however many they are.

use crate::support::{SERVICE, TOMBSTONE_LIFETIME, at, configuration, opening, record};
use bellyoke_core::cookie::cold::{ColdAllowance, ColdLimiter, ColdShare};
use bellyoke_core::cookie::forwarder::{Decision, Forwarder, RefusalReason};
use bellyoke_core::cookie::health::HealthSettings;
use bellyoke_core::cookie::instance::{InstanceId, InstanceRecord};
use bellyoke_core::cookie::replica::Replica;
use bellyoke_core::cookie::revision::Revision;
use bellyoke_core::cookie::route::ServiceLimits;
use bellyoke_core::cookie::table::ForwardingTable;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// As on the users' sheet: half more than what they are said to bear, and five.
const ALLOWANCE: ColdAllowance = ColdAllowance {
    overshoot: 1.5,
    slack: 5,
};

/// How nodes hold to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// They don't: what stood before.
    NoLimit,
    /// Each takes an equal part, rounded up to one flow.
    EqualParts,
    /// By [`ColdShare`].
    Shares,
}

/// A service of which some instances are cold for ten seconds and some aren't.
fn table(cold: u64, warm: u64, flows_per_minute: u32) -> ForwardingTable {
    let mut replica = Replica::new(TOMBSTONE_LIFETIME);
    let mut configuration = configuration(1, &[("till", 1)]);
    configuration.limits = vec![ServiceLimits {
        service: "till".to_owned(),
        cold_milliseconds: 10_000,
        cold_flows_per_minute: flows_per_minute,
    }];
    replica.adopt_configuration(configuration);
    let records = (1..=cold + warm).map(|id| InstanceRecord {
        cold_remaining_milliseconds: if id <= cold { 10_000 } else { 0 },
        ..record(id, 1)
    });
    replica.replace_instances(at(0), Revision::new(1), records.collect());
    replica.table()
}

fn forwarders(nodes: u32, way: Way, seed: u64) -> Vec<Forwarder> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let allowance = match way {
        Way::NoLimit => None,
        Way::Shares => Some(ALLOWANCE),
        // One flow a node: what a limit of as many flows as there are nodes gives.
        Way::EqualParts => Some(ColdAllowance {
            overshoot: 0.0,
            slack: nodes,
        }),
    };
    let forwarder = |_| {
        let limiter = ColdLimiter::new(allowance, random.random());
        let mut forwarder = Forwarder::new(HealthSettings::default()).with_cold_limiter(limiter);
        forwarder.set_minimum_node_count(f64::from(nodes));
        forwarder
    };
    (0..nodes).map(forwarder).collect()
}

struct Counts {
    /// Most flows that one instance got within a second, wherever it began.
    most: usize,
    placed: usize,
    refused: usize,
}

/// Five seconds in which so many flows a second reach a cluster, spread over its nodes.
fn play(table: &ForwardingTable, nodes: u32, per_second: u32, way: Way, seed: u64) -> Counts {
    let mut forwarders = forwarders(nodes, way, seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let mut opened: BTreeMap<InstanceId, Vec<u64>> = BTreeMap::new();
    let mut refused = 0;
    for number in 0..per_second * 5 {
        let now = u64::from(number) * 1_000 / u64::from(per_second);
        let node = random.random_range(0..forwarders.len());
        let packet = opening(number, 0);
        assert_eq!(packet.flow.service, SERVICE);
        match forwarders[node].decide(at(now), table, &packet, false) {
            Decision::Place { destination, .. } => {
                opened.entry(destination.instance).or_default().push(now);
            }
            Decision::Refuse(RefusalReason::NoInstance) => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    let within_a_second = |times: &Vec<u64>| {
        let windows = times.iter().enumerate();
        let windows = windows.map(|(first, from)| {
            times[first..]
                .iter()
                .take_while(|at| **at - from <= 1_000)
                .count()
        });
        windows.max().unwrap_or_default()
    };
    Counts {
        most: opened
            .values()
            .map(within_a_second)
            .max()
            .unwrap_or_default(),
        placed: opened.values().map(Vec::len).sum(),
        refused,
    }
}

#[test]
fn the_sum_over_all_nodes_stays_below_the_limit() {
    for nodes in [10, 90, 300] {
        for flows_per_minute in [1, 600, 1_800] {
            let limit = ALLOWANCE.limit(flows_per_minute) as usize;
            for seed in 0..3 {
                let only_cold = table(8, 0, flows_per_minute);
                let counts = play(&only_cold, nodes, 2_000, Way::Shares, seed);
                let what = format!("{nodes} nodes, limit {limit}, seed {seed}");
                assert!(counts.most <= limit, "{what}: {} flows", counts.most);
                let standing = play(&only_cold, nodes, 2_000, Way::NoLimit, seed);
                assert!(standing.most > limit, "{what}: holds without");
            }
        }
    }
}

/// Where a limit is less than the nodes, equal parts of at least a flow break it.
#[test]
fn equal_parts_break_the_limit_of_a_large_cluster() {
    for nodes in [90, 300] {
        let limit = ALLOWANCE.limit(600) as usize;
        let counts = play(&table(8, 0, 600), nodes, 4_000, Way::EqualParts, 1);
        assert!(counts.most > limit, "{nodes} nodes: {}", counts.most);
    }
}

/// What the mechanism costs where only cold instances are left: a good part of the limit is used.
#[test]
fn cold_instances_are_used_within_their_limit() {
    for (nodes, least) in [(10, 0.6), (90, 0.3), (300, 0.3)] {
        let limit = ALLOWANCE.limit(1_800);
        let counts = play(&table(8, 0, 1_800), nodes, 4_000, Way::Shares, 1);
        let used = counts.placed as f64 / (f64::from(limit) * 8.0 * 5.0);
        assert!(used >= least, "{nodes} nodes use {used} of the limit");
        assert!(counts.refused > 0, "the rest is refused at once");
    }
}

#[test]
fn while_others_are_warm_nothing_is_refused_and_cold_ones_get_nothing() {
    let half_cold = table(8, 8, 600);
    let counts = play(&half_cold, 90, 2_000, Way::Shares, 1);
    assert_eq!(counts.refused, 0);
    assert!(counts.placed > 0);
}

/// A service that doesn't tell what its cold instances bear has no limit: it bears something.
#[test]
fn without_a_figure_there_is_no_limit() {
    let counts = play(&table(8, 0, 0), 90, 2_000, Way::Shares, 1);
    assert_eq!(counts.refused, 0);
}

#[test]
fn a_limit_of_nothing_opens_nothing() {
    let share = ColdShare::of(0, 300.0);
    assert!(share.probability < 1e-8, "{share:?}");
    assert_eq!(ColdShare::of(3, 1.0).flows, 3);
    assert_eq!(ColdShare::of(5, 5.0).flows, 1);
}
