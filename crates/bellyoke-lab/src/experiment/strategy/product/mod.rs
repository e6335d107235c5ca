//! The product's own cluster: the core's decider, node and publisher, unchanged, with the
//! world as network, clock and store.

mod addresses;
mod balancer;
mod objects;
mod wire;

use super::{ControlPayload, Effect, PublishOutcome, StoreContent, Strategy};
use crate::experiment::costs::ClusterCosts;
use crate::experiment::settings::Experiment;
use crate::experiment::world::network::NodeIndex;
use crate::experiment::world::packet::FlowPacket;
use balancer::Balancer;
use bellyoke_core::generation::{Generation, Zone};
use bellyoke_core::node::{NodeSettings, PublisherInput, WriteOutcome};
use bellyoke_core::time::Timestamp;
use objects::ObjectCompiler;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Readers of the store in each zone.
const READERS_A_ZONE: usize = 1;

/// A cluster of the product's balancers.
pub struct ProductCluster {
    settings: NodeSettings,
    flow_capacity: u32,
    objects: ObjectCompiler,
    seed: u64,
    nodes: Vec<Option<Balancer>>,
    zones: Vec<Zone>,
}

impl ProductCluster {
    /// A cluster without nodes.
    #[must_use]
    pub fn new(experiment: &Experiment, seed: u64) -> Self {
        let settings = NodeSettings::builder()
            .control_budget(experiment.cluster.control_bytes_per_second)
            .build()
            .unwrap_or_default();
        Self {
            settings,
            flow_capacity: experiment.cluster.flow_capacity,
            objects: ObjectCompiler::new(experiment),
            seed,
            nodes: Vec::new(),
            zones: Vec::new(),
        }
    }

    fn with_node(
        &mut self,
        node: NodeIndex,
        action: impl FnOnce(&mut Balancer, &mut Vec<Effect>),
        effects: &mut Vec<Effect>,
    ) {
        let Some(Some(balancer)) = self.nodes.get_mut(node.0 as usize) else {
            return;
        };
        action(balancer, effects);
    }

    /// Peers that a new node is told of: a few that run.
    fn seeds(&self) -> Vec<NodeIndex> {
        const SEEDS: usize = 3;
        let running = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.is_some());
        running
            .map(|(index, _)| NodeIndex(index as u32))
            .take(SEEDS)
            .collect()
    }
}

impl Strategy for ProductCluster {
    fn node_started(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        zone: &Zone,
        effects: &mut Vec<Effect>,
    ) {
        let seeds = self.seeds();
        let settings = self.settings.clone();
        let capacity = self.flow_capacity;
        let mut balancer = Balancer::new(node, zone.clone(), settings, capacity, self.seed);
        balancer.start(now, &seeds, effects);
        self.nodes.push(Some(balancer));
        self.zones.push(zone.clone());
    }

    fn node_failed(&mut self, node: NodeIndex) {
        self.nodes[node.0 as usize] = None;
    }

    fn node_leaving(&mut self, now: Timestamp, node: NodeIndex, effects: &mut Vec<Effect>) {
        self.with_node(
            node,
            |balancer, effects| balancer.leave(now, effects),
            effects,
        );
    }

    fn store_read(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        content: &Arc<StoreContent>,
        effects: &mut Vec<Effect>,
    ) {
        let desired = self.objects.desired(content);
        let input = PublisherInput::Objects(desired);
        self.with_node(
            node,
            |balancer, effects| balancer.publisher_input(now, input, effects),
            effects,
        );
    }

    fn publish_answered(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        generation: &Arc<Generation>,
        outcome: PublishOutcome,
        effects: &mut Vec<Effect>,
    ) {
        self.with_node(
            node,
            |balancer, effects| balancer.store_answered(now, generation, outcome, effects),
            effects,
        );
    }

    fn packet(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        packet: &FlowPacket,
        _relayed: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.with_node(
            node,
            |balancer, effects| balancer.packet(now, packet, effects),
            effects,
        );
    }

    fn control(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        from: NodeIndex,
        payload: &ControlPayload,
        effects: &mut Vec<Effect>,
    ) {
        let ControlPayload::Peer(bytes) = payload else {
            return;
        };
        self.with_node(
            node,
            |balancer, effects| balancer.message(now, from, bytes, effects),
            effects,
        );
    }

    fn timeout(&mut self, now: Timestamp, node: NodeIndex, effects: &mut Vec<Effect>) {
        let mut left = false;
        self.with_node(
            node,
            |balancer, effects| {
                balancer.timeout(now, effects);
                left = balancer.has_left(now);
            },
            effects,
        );
        if left {
            self.nodes[node.0 as usize] = None;
            effects.push(Effect::Left { node });
        }
    }

    /// The first running nodes of each zone: a few, whatever the size of the cluster.
    fn readers(&self) -> Vec<NodeIndex> {
        let mut by_zone: BTreeMap<&Zone, Vec<NodeIndex>> = BTreeMap::new();
        for (index, zone) in self.zones.iter().enumerate() {
            let readers = by_zone.entry(zone).or_default();
            if self.nodes[index].is_some() && readers.len() < READERS_A_ZONE {
                readers.push(NodeIndex(index as u32));
            }
        }
        let mut readers: Vec<NodeIndex> = by_zone.into_values().flatten().collect();
        readers.sort_unstable();
        readers
    }

    fn take_costs(&mut self) -> ClusterCosts {
        let mut costs = ClusterCosts::default();
        for balancer in self.nodes.iter_mut().flatten() {
            costs.add(&balancer.take_costs());
        }
        costs
    }
}

impl From<PublishOutcome> for WriteOutcome {
    fn from(outcome: PublishOutcome) -> Self {
        match outcome {
            PublishOutcome::Accepted => Self::Accepted,
            PublishOutcome::Conflict(newest) => Self::Conflict(newest),
            PublishOutcome::Unknown => Self::Unknown,
        }
    }
}
