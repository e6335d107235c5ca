//! Cost of spreading instance changes, by cluster size.

use crate::cluster::{Cluster, TICK_MS, address, cluster_in_five_zones};
use crate::support::{at, record};
use bellyoke_core::cookie::exchange::StoreDuty;
use bellyoke_core::cookie::follower::Update;
use bellyoke_core::cookie::instance::{InstanceEvent, InstanceId};
use bellyoke_core::cookie::revision::Revision;

/// Number of instances before a service is replaced.
const INITIAL_INSTANCES: u64 = 400;

/// Number of instances that are added, and number that are removed, per second.
const REPLACED_PER_SECOND: u64 = 12;

/// Duration of the replacement in seconds.
const REPLACEMENT_SECONDS: u64 = 3;

/// Delivers a batch of changes from the store to the nodes that watch it.
fn replace_batch(cluster: &mut Cluster, batch: u64) -> Revision {
    let revision = Revision::new(INITIAL_INSTANCES + 100 * (batch + 1));
    let first = batch * REPLACED_PER_SECOND + 1;
    let removed =
        (first..first + REPLACED_PER_SECOND).map(|id| InstanceEvent::Gone(InstanceId(id)));
    let new = first + INITIAL_INSTANCES..first + INITIAL_INSTANCES + REPLACED_PER_SECOND;
    let new = new.map(|id| InstanceEvent::Put(record(id, revision.number())));
    let events: Vec<InstanceEvent> = removed.chain(new).collect();
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

/// Traffic of a node during the replacement of a service.
#[derive(Debug)]
struct Cost {
    /// Bytes of deltas and snapshots per node and second.
    bytes: usize,
    /// Datagrams per second of the median and of the busiest node.
    datagrams: [usize; 2],
    /// Nodes per thousand that have adopted each change half a second after it.
    adopted: usize,
}

fn replacement_cost(nodes: usize) -> Cost {
    let mut cluster = cluster_in_five_zones(nodes, INITIAL_INSTANCES);
    cluster.traffic.clear();
    for node in cluster.nodes.values_mut() {
        node.sent = 0;
    }
    let mut adopted = nodes;
    for batch in 0..REPLACEMENT_SECONDS {
        let revision = replace_batch(&mut cluster, batch);
        cluster.run(500);
        let has_revision = |number: &usize| {
            let directory = cluster.nodes[&address(*number)].coordinator.replica();
            directory.directory().as_of() >= Some(revision)
        };
        adopted = adopted.min((0..nodes).filter(has_revision).count());
        cluster.run(500);
    }
    let bytes = ["delta", "snapshot"].map(|kind| {
        let bytes = cluster.traffic.get(kind);
        bytes.map_or(0, |bytes| bytes[0] + bytes[1])
    });
    let mut sent: Vec<usize> = cluster.nodes.values().map(|node| node.sent).collect();
    sent.sort_unstable();
    let seconds = usize::try_from(REPLACEMENT_SECONDS).unwrap();
    Cost {
        bytes: bytes.iter().sum::<usize>() / nodes / seconds,
        datagrams: [sent[nodes / 2] / seconds, sent[nodes - 1] / seconds],
        adopted: adopted * 1_000 / nodes,
    }
}

/// Each node forwards a change once to four peers, whatever the cluster size.
#[test]
fn the_cost_of_replacing_a_service_is_independent_of_the_cluster_size() {
    assert_eq!(TICK_MS, 50);
    let costs = [20, 200, 1_000].map(replacement_cost);
    let [small, _, _] = &costs;
    for cost in &costs {
        assert!(cost.bytes <= small.bytes * 3 / 2, "{costs:?}");
        assert!(cost.datagrams[0] <= small.datagrams[0] * 3 / 2, "{costs:?}");
        assert!(cost.datagrams[1] <= small.datagrams[1] * 2, "{costs:?}");
        assert!(cost.adopted >= 990, "{costs:?}");
    }
}
