//! What it costs to spread changes of instances, by the number of nodes.

use crate::cluster::{Cluster, TICK_MS, address, cluster_in_five_zones};
use crate::support::{at, record};
use bellyoke_core::cookie::exchange::StoreDuty;
use bellyoke_core::cookie::follower::Update;
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceId};
use bellyoke_core::cookie::revision::Revision;

/// Instances before a service is replaced.
const INSTANCES: u64 = 400;

/// Instances that come, and as many that go, in each second.
const REPLACED: u64 = 12;

/// Seconds for which instances are replaced.
const SECONDS: u64 = 3;

/// The store tells the nodes that watch it of a batch of changes.
fn replace(cluster: &mut Cluster, batch: u64) -> Revision {
    let revision = Revision::new(INSTANCES + 100 * (batch + 1));
    let first = batch * REPLACED + 1;
    let gone = (first..first + REPLACED).map(|id| InstanceEvent::Gone(InstanceId(id)));
    let new = first + INSTANCES..first + INSTANCES + REPLACED;
    let new = new.map(|id| InstanceEvent::Put(record(id, revision.number())));
    let events: Vec<InstanceEvent> = gone.chain(new).collect();
    let now = at(cluster.now);
    let mut watchers = cluster.with_duty(StoreDuty::Reader);
    watchers.extend(cluster.with_duty(StoreDuty::Backup));
    for watcher in watchers {
        let update = Update::Changes {
            at: revision,
            events: events.clone(),
        };
        let node = cluster.nodes.get_mut(&watcher).unwrap();
        let outcome = node.coordinator.apply_instances(now, update);
        cluster.perform(watcher, outcome);
    }
    revision
}

/// What a node sends while a service is replaced.
#[derive(Debug)]
struct Cost {
    /// Deltas and snapshots, bytes a node and second.
    bytes: usize,
    /// Datagrams of the middle and of the busiest node, a second.
    datagrams: [usize; 2],
    /// Nodes of a thousand that have adopted each change half a second after it.
    adopted: usize,
}

fn cost_of_a_replacement(nodes: usize) -> Cost {
    let mut cluster = cluster_in_five_zones(nodes, INSTANCES);
    cluster.traffic.clear();
    for node in cluster.nodes.values_mut() {
        node.sent = 0;
    }
    let mut adopted = nodes;
    for batch in 0..SECONDS {
        let revision = replace(&mut cluster, batch);
        cluster.run(500);
        let knows = |number: &usize| {
            let directory = cluster.nodes[&address(*number)].coordinator.replica();
            directory.directory().as_of() >= Some(revision)
        };
        adopted = adopted.min((0..nodes).filter(knows).count());
        cluster.run(500);
    }
    let bytes = ["delta", "snapshot"].map(|kind| {
        let bytes = cluster.traffic.get(kind);
        bytes.map_or(0, |bytes| bytes[0] + bytes[1])
    });
    let mut sent: Vec<usize> = cluster.nodes.values().map(|node| node.sent).collect();
    sent.sort_unstable();
    let seconds = usize::try_from(SECONDS).unwrap();
    Cost {
        bytes: bytes.iter().sum::<usize>() / nodes / seconds,
        datagrams: [sent[nodes / 2] / seconds, sent[nodes - 1] / seconds],
        adopted: adopted * 1_000 / nodes,
    }
}

/// Each node tells four others once, however many there are.
#[test]
fn a_replaced_service_costs_a_node_as_much_in_a_large_cluster_as_in_a_small_one() {
    assert_eq!(TICK_MS, 50);
    let costs = [20, 200, 1_000].map(cost_of_a_replacement);
    let [small, _, _] = &costs;
    for cost in &costs {
        assert!(cost.bytes <= small.bytes * 3 / 2, "{costs:?}");
        assert!(cost.datagrams[0] <= small.datagrams[0] * 3 / 2, "{costs:?}");
        assert!(cost.datagrams[1] <= small.datagrams[1] * 2, "{costs:?}");
        assert!(cost.adopted >= 990, "{costs:?}");
    }
}
