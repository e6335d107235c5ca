//! The limit of cold instances holds for the sum over all nodes, in every second, for any number of
//! nodes.

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

/// The required bound: half more than the configured limit, plus five.
const ALLOWANCE: ColdAllowance = ColdAllowance {
    overshoot: 1.5,
    slack: 5,
};

/// How nodes enforce the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Enforcement {
    /// No limit, as without this module.
    NoLimit,
    /// Each node has an equal share, rounded up to one flow.
    EqualShares,
    /// Each node has a [`ColdShare`].
    Shares,
}

/// A service with some instances that are cold for ten seconds and some that are warm.
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

fn forwarders(nodes: u32, enforcement: Enforcement, seed: u64) -> Vec<Forwarder> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let allowance = match enforcement {
        Enforcement::NoLimit => None,
        Enforcement::Shares => Some(ALLOWANCE),
        // One flow a node: a limit of as many flows as there are nodes results in that.
        Enforcement::EqualShares => Some(ColdAllowance {
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
    /// Maximum number of flows that one instance got within any period of one second.
    most: usize,
    placed: usize,
    refused: usize,
}

/// Opens `per_second` flows a second for five seconds, spread over the nodes of the cluster.
fn open_flows(
    table: &ForwardingTable,
    nodes: u32,
    per_second: u32,
    enforcement: Enforcement,
    seed: u64,
) -> Counts {
    let mut forwarders = forwarders(nodes, enforcement, seed);
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
            other => panic!("unexpected decision: {other:?}"),
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
                let counts = open_flows(&only_cold, nodes, 2_000, Enforcement::Shares, seed);
                let case = format!("{nodes} nodes, limit {limit}, seed {seed}");
                assert!(counts.most <= limit, "{case}: {} flows", counts.most);
                let unlimited = open_flows(&only_cold, nodes, 2_000, Enforcement::NoLimit, seed);
                assert!(
                    unlimited.most > limit,
                    "{case}: not exceeded without a limit"
                );
            }
        }
    }
}

/// If the limit is lower than the number of nodes, equal shares of at least one flow exceed it.
#[test]
fn equal_shares_exceed_the_limit_of_a_large_cluster() {
    for nodes in [90, 300] {
        let limit = ALLOWANCE.limit(600) as usize;
        let counts = open_flows(&table(8, 0, 600), nodes, 4_000, Enforcement::EqualShares, 1);
        assert!(counts.most > limit, "{nodes} nodes: {}", counts.most);
    }
}

/// The limit is enforced conservatively. While only cold instances are left, a good part of it must
/// still be used.
#[test]
fn cold_instances_are_used_within_their_limit() {
    for (nodes, least) in [(10, 0.6), (90, 0.3), (300, 0.3)] {
        let limit = ALLOWANCE.limit(1_800);
        let counts = open_flows(&table(8, 0, 1_800), nodes, 4_000, Enforcement::Shares, 1);
        let used = counts.placed as f64 / (f64::from(limit) * 8.0 * 5.0);
        assert!(used >= least, "{nodes} nodes use {used} of the limit");
        assert!(counts.refused > 0, "flows beyond the limit are refused");
    }
}

#[test]
fn nothing_is_refused_while_other_instances_are_warm() {
    let half_cold = table(8, 8, 600);
    let counts = open_flows(&half_cold, 90, 2_000, Enforcement::Shares, 1);
    assert_eq!(counts.refused, 0);
    assert!(counts.placed > 0);
}

/// A service without a configured limit of its cold instances isn't limited. Its cold instances can
/// take some flows, so refusing all would lose requests for no reason.
#[test]
fn an_unconfigured_limit_is_not_enforced() {
    let counts = open_flows(&table(8, 0, 0), 90, 2_000, Enforcement::Shares, 1);
    assert_eq!(counts.refused, 0);
}

#[test]
fn a_limit_of_zero_opens_no_flow() {
    let share = ColdShare::of(0, 300.0);
    assert!(share.probability < 1e-8, "{share:?}");
    assert_eq!(ColdShare::of(3, 1.0).flows, 3);
    assert_eq!(ColdShare::of(5, 5.0).flows, 1);
}
