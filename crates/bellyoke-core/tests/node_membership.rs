//! Membership, dissemination, leases and barriers of a cluster in virtual time.

mod support;

use bellyoke_core::generation::Member;
use bellyoke_core::identity::{GenerationNumber, NodeId};
use bellyoke_core::node::{NodeEvent, NodeSettings};
use std::time::Duration;
use support::{VirtualNetwork, generation, member};

const ZONES: u64 = 3;

fn members(count: u64) -> Vec<Member> {
    (1..=count).map(|node| member(node, ZONES)).collect()
}

/// Returns a cluster of `count` nodes with two store readers. The barrier of its first generation
/// has passed.
fn cluster(seed: u64, count: u64) -> VirtualNetwork {
    let mut network = VirtualNetwork::new(seed, NodeSettings::default());
    let members = members(count);
    let seeds = vec![
        members[0].peer_address,
        members[1 % members.len()].peer_address,
    ];
    for (index, member) in members.iter().enumerate() {
        network.start(member, index < 2, seeds.clone());
    }
    network.publish(generation(1, members));
    let passed = network.run_until(seconds(30), |network| {
        network.all_passed(GenerationNumber(1))
    });
    assert!(
        passed,
        "the barrier of the first generation has not passed after 30 s"
    );
    network.run(seconds(3));
    network
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_new_generation_reaches_all_nodes_and_passes_its_barrier() {
    for seed in 0..20 {
        let mut network = cluster(seed, 6);
        let next = network.publish_next();
        let passed = network.run_until(seconds(10), |network| network.all_passed(next));
        assert!(
            passed,
            "the barrier of generation {next} has not passed after 10 s"
        );
    }
}

#[test]
fn a_partitioned_minority_is_fenced_while_the_majority_keeps_its_lease() {
    let mut network = cluster(1, 6);
    let minority = [NodeId(5), NodeId(6)];
    network.partition(minority);
    network.run(seconds(4));
    for node in minority {
        assert!(!network.hosts[&node].may_open_flows(network.now()));
    }
    for node in 1..=4 {
        assert!(network.hosts[&NodeId(node)].may_open_flows(network.now()));
    }
    network.run(seconds(30));
    network.partition([]);
    network.run(seconds(40));
    for host in network.hosts.values() {
        assert!(
            host.may_open_flows(network.now()),
            "node {}",
            host.identity.node
        );
    }
}

#[test]
fn a_paused_node_is_fenced_and_fails_no_member_after_resuming() {
    let mut network = cluster(2, 6);
    network.pause(NodeId(4));
    network.run(seconds(15));
    assert!(!network.hosts[&NodeId(4)].may_open_flows(network.now()));
    network.resume(NodeId(4));
    network.run(seconds(30));
    assert!(network.hosts[&NodeId(4)].may_open_flows(network.now()));
    let failed = |host: &support::Host| {
        (1..=6)
            .map(|node| host.count_events(&NodeEvent::MemberFailed(NodeId(node))))
            .sum::<usize>()
    };
    assert_eq!(
        failed(&network.hosts[&NodeId(4)]),
        0,
        "the resumed node considers members failed"
    );
}
