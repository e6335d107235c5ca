//! The baselines without agreement: each node reads the store for itself and decides by its
//! own view at once. They differ in the table they use and in whether they remember flows.

use super::{
    BackendIndex, ControlPayload, Effect, PublishOutcome, ServiceIndex, StoreContent, Strategy,
};
use crate::experiment::world::network::NodeIndex;
use crate::experiment::world::packet::{FlowPacket, PacketKind};
use bellyoke_core::generation::{Generation, Zone};
use bellyoke_core::packet::FlowHash;
use bellyoke_core::time::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Chooses a backend by hash from those that take new flows.
pub trait Table {
    /// Builds the table of a service.
    fn build(backends: &[BackendIndex]) -> Self;
    /// The backend of a flow; none if the service has none.
    fn choose(&self, hash: FlowHash) -> Option<BackendIndex>;
}

/// Whether nodes remember flows, and whom they ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Memory {
    /// Each packet goes by table.
    None,
    /// Each node remembers the flows it has seen.
    Local,
    /// One node by hash decides each flow; all others send it their packets.
    Owner,
}

struct Node<T> {
    alive: bool,
    tables: BTreeMap<ServiceIndex, T>,
    flows: HashMap<FlowHash, BackendIndex>,
}

/// A cluster of nodes without agreement.
pub struct TableCluster<T> {
    memory: Memory,
    nodes: Vec<Node<T>>,
}

impl<T: Table> TableCluster<T> {
    /// A cluster without nodes.
    #[must_use]
    pub fn new(memory: Memory) -> Self {
        Self {
            memory,
            nodes: Vec::new(),
        }
    }

    /// The node that decides a flow: the first by rendezvous hash of those that run
    /// (Thaler, Ravishankar 1998). Membership is known to all at once, which favours
    /// this baseline.
    fn owner(&self, hash: FlowHash) -> Option<NodeIndex> {
        let alive = self.nodes.iter().enumerate().filter(|(_, node)| node.alive);
        alive
            .max_by_key(|(index, _)| rendezvous_score(*index as u64, hash))
            .map(|(index, _)| NodeIndex(index as u32))
    }

    fn decide(&mut self, node: NodeIndex, packet: &FlowPacket, effects: &mut Vec<Effect>) {
        let state = &mut self.nodes[node.0 as usize];
        let known = match self.memory {
            Memory::None => None,
            Memory::Local | Memory::Owner => state.flows.get(&packet.hash).copied(),
        };
        let by_table = || {
            let table = state.tables.get(&packet.service)?;
            table.choose(packet.hash)
        };
        let Some(backend) = known.or_else(by_table) else {
            return;
        };
        if packet.kind == PacketKind::Closing {
            state.flows.remove(&packet.hash);
        } else if self.memory != Memory::None {
            state.flows.insert(packet.hash, backend);
        }
        effects.push(Effect::Forward {
            node,
            backend,
            packet: *packet,
        });
    }
}

impl<T: Table> Strategy for TableCluster<T> {
    fn node_started(&mut self, _: Timestamp, _: NodeIndex, _: &Zone, _: &mut Vec<Effect>) {
        self.nodes.push(Node {
            alive: true,
            tables: BTreeMap::new(),
            flows: HashMap::new(),
        });
    }

    fn node_failed(&mut self, node: NodeIndex) {
        let state = &mut self.nodes[node.0 as usize];
        state.alive = false;
        state.flows.clear();
    }

    fn node_leaving(&mut self, now: Timestamp, node: NodeIndex, effects: &mut Vec<Effect>) {
        /// A planned stop goes on for this long, so that the fabric forgets the node first.
        const GRACE_MICROSECONDS: u64 = 4_000_000;
        let at = Timestamp::from_micros(now.as_micros() + GRACE_MICROSECONDS);
        effects.push(Effect::Timer { node, at });
    }

    fn store_read(
        &mut self,
        _: Timestamp,
        node: NodeIndex,
        content: &Arc<StoreContent>,
        effects: &mut Vec<Effect>,
    ) {
        let mut by_service: BTreeMap<ServiceIndex, Vec<BackendIndex>> = BTreeMap::new();
        for backend in content.backends.iter().filter(|backend| !backend.drain) {
            by_service
                .entry(backend.service)
                .or_default()
                .push(backend.index);
        }
        let state = &mut self.nodes[node.0 as usize];
        state.tables = by_service
            .into_iter()
            .map(|(service, backends)| (service, T::build(&backends)))
            .collect();
        effects.push(Effect::InForce {
            node,
            revision: content.revision,
        });
    }

    fn publish_answered(
        &mut self,
        _: Timestamp,
        _: NodeIndex,
        _: &Arc<Generation>,
        _: PublishOutcome,
        _: &mut Vec<Effect>,
    ) {
    }

    fn packet(
        &mut self,
        _: Timestamp,
        node: NodeIndex,
        packet: &FlowPacket,
        relayed: bool,
        effects: &mut Vec<Effect>,
    ) {
        if self.memory == Memory::Owner && !relayed {
            match self.owner(packet.hash) {
                Some(owner) if owner != node => {
                    effects.push(Effect::Relay {
                        from: node,
                        to: owner,
                        packet: *packet,
                    });
                    return;
                }
                _ => {}
            }
        }
        self.decide(node, packet, effects);
    }

    fn control(
        &mut self,
        _: Timestamp,
        _: NodeIndex,
        _: NodeIndex,
        _: &ControlPayload,
        _: &mut Vec<Effect>,
    ) {
    }

    fn timeout(&mut self, _: Timestamp, node: NodeIndex, effects: &mut Vec<Effect>) {
        self.nodes[node.0 as usize].alive = false;
        effects.push(Effect::Left { node });
    }

    fn readers(&self) -> Vec<NodeIndex> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].alive)
            .map(|index| NodeIndex(index as u32))
            .collect()
    }
}

fn rendezvous_score(node: u64, hash: FlowHash) -> u64 {
    /// Odd constant of splitmix64 (Steele, Lea, Flood 2014).
    const GOLDEN_GAMMA: u64 = 0x9E37_79B9_7F4A_7C15;
    let mut mixed = (hash.0 as u64) ^ (node + 1).wrapping_mul(GOLDEN_GAMMA);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
