//! How a cluster of balancers decides: the product's own coordination and the baselines
//! that it is compared with. A strategy is the whole cluster; the world carries what it
//! sends and tells it what arrives.

mod maglev;
mod modulo;
mod product;
mod table_cluster;

use crate::experiment::costs::ClusterCosts;
use crate::experiment::settings::Experiment;
use crate::experiment::world::network::NodeIndex;
use crate::experiment::world::packet::FlowPacket;
use bellyoke_core::generation::{Generation, ObjectUid, Zone};
use bellyoke_core::time::Timestamp;
use maglev::Maglev;
use modulo::ModuloTable;
use product::ProductCluster;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use table_cluster::{Memory, TableCluster};
use thiserror::Error;

/// A strategy by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StrategyName {
    /// Hash modulo the number of backends, no memory.
    Modulo,
    /// Maglev tables, no memory.
    Maglev,
    /// Maglev tables, and each node remembers the flows that it saw.
    LocalTable,
    /// One node by hash decides and remembers each flow.
    OwnerRelay,
    /// The product.
    Bellyoke,
}

/// A strategy that isn't known.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unknown strategy {0}: allowed are modulo, maglev, local-table, owner-relay, bellyoke")]
pub struct UnknownStrategy(String);

impl StrategyName {
    /// All of them, the baselines first.
    pub const ALL: [Self; 5] = [
        Self::Modulo,
        Self::Maglev,
        Self::LocalTable,
        Self::OwnerRelay,
        Self::Bellyoke,
    ];

    /// A cluster without nodes.
    #[must_use]
    pub fn create(self, experiment: &Experiment, seed: u64) -> Box<dyn Strategy> {
        match self {
            Self::Modulo => Box::new(TableCluster::<ModuloTable>::new(Memory::None)),
            Self::Maglev => Box::new(TableCluster::<Maglev>::new(Memory::None)),
            Self::LocalTable => Box::new(TableCluster::<Maglev>::new(Memory::Local)),
            Self::OwnerRelay => Box::new(TableCluster::<Maglev>::new(Memory::Owner)),
            Self::Bellyoke => Box::new(ProductCluster::new(experiment, seed)),
        }
    }
}

impl fmt::Display for StrategyName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Modulo => "modulo",
            Self::Maglev => "maglev",
            Self::LocalTable => "local-table",
            Self::OwnerRelay => "owner-relay",
            Self::Bellyoke => "bellyoke",
        })
    }
}

impl FromStr for StrategyName {
    type Err = UnknownStrategy;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL.into_iter().find(|name| name.to_string() == text);
        known.ok_or_else(|| UnknownStrategy(text.to_owned()))
    }
}

/// A backend by its place in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendIndex(pub u32);

/// A service by its place in the experiment file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub u32);

/// A backend as its object in the store tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Its place in the world.
    pub index: BackendIndex,
    /// UID of its object.
    pub uid: ObjectUid,
    /// The service that its label selects it for.
    pub service: ServiceIndex,
    /// Whether an operator wants no new flow on it.
    pub drain: bool,
    /// The zone it stands in.
    pub zone: Zone,
}

/// The operators' objects at one version of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreContent {
    /// Version of the store.
    pub revision: u64,
    /// All backends that have an object.
    pub backends: Vec<BackendEntry>,
}

/// What a node tells another.
#[derive(Clone, Debug)]
pub enum ControlPayload {
    /// The store's content, as each node of a baseline reads it for itself.
    Store(Arc<StoreContent>),
    /// An encoded message of the product's peers.
    Peer(Vec<u8>),
}

/// What a strategy wants the world to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a packet to a backend.
    Forward {
        /// The node that sends.
        node: NodeIndex,
        /// The backend.
        backend: BackendIndex,
        /// The packet.
        packet: FlowPacket,
    },
    /// Send a packet on to another node, outside the control budget.
    Relay {
        /// The node that sends.
        from: NodeIndex,
        /// The node that decides.
        to: NodeIndex,
        /// The packet.
        packet: FlowPacket,
    },
    /// Send a message to another node.
    Control {
        /// The node that sends.
        from: NodeIndex,
        /// The receiver.
        to: NodeIndex,
        /// What it says.
        payload: ControlPayload,
        /// Its size, with the datagram's headers, bytes.
        bytes: u32,
        /// Whether it carries a caller's packet and so doesn't count as control.
        is_data: bool,
    },
    /// Call [`Strategy::timeout`] for this node.
    Timer {
        /// The node.
        node: NodeIndex,
        /// When.
        at: Timestamp,
    },
    /// Write a generation to the store, on condition that it follows the last.
    Publish {
        /// The node that writes.
        node: NodeIndex,
        /// What it writes.
        generation: Arc<Generation>,
    },
    /// Read the newest generation back from the store.
    ReadBack {
        /// The node that reads.
        node: NodeIndex,
    },
    /// Answer the caller "not run".
    Refuse {
        /// The packet of its flow.
        packet: FlowPacket,
    },
    /// Reset the caller's flow.
    Reset {
        /// The packet of its flow.
        packet: FlowPacket,
    },
    /// The store's content of this version is in force on this node.
    InForce {
        /// The node.
        node: NodeIndex,
        /// Version of the store.
        revision: u64,
    },
    /// The node has handed over what it held and stops.
    Left {
        /// The node.
        node: NodeIndex,
    },
}

/// What became of a write.
#[derive(Clone, Debug)]
pub enum PublishOutcome {
    /// It is in the store.
    Accepted,
    /// Another generation came first: the newest in the store.
    Conflict(Arc<Generation>),
    /// No answer came.
    Unknown,
}

/// A cluster of balancers.
pub trait Strategy {
    /// A balancer starts.
    fn node_started(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        zone: &Zone,
        effects: &mut Vec<Effect>,
    );

    /// A balancer died: what it knew is gone.
    fn node_failed(&mut self, node: NodeIndex);

    /// A balancer is asked to leave; it answers with [`Effect::Left`] when it may stop.
    fn node_leaving(&mut self, now: Timestamp, node: NodeIndex, effects: &mut Vec<Effect>);

    /// The store's content reached a node that reads it.
    fn store_read(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        content: &Arc<StoreContent>,
        effects: &mut Vec<Effect>,
    );

    /// A write of this node was answered.
    fn publish_answered(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        generation: &Arc<Generation>,
        outcome: PublishOutcome,
        effects: &mut Vec<Effect>,
    );

    /// A caller's packet reached a node, from the fabric or from another node.
    fn packet(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        packet: &FlowPacket,
        relayed: bool,
        effects: &mut Vec<Effect>,
    );

    /// A message reached a node.
    fn control(
        &mut self,
        now: Timestamp,
        node: NodeIndex,
        from: NodeIndex,
        payload: &ControlPayload,
        effects: &mut Vec<Effect>,
    );

    /// A time that the node asked for has come.
    fn timeout(&mut self, now: Timestamp, node: NodeIndex, effects: &mut Vec<Effect>);

    /// Nodes that read the store at present.
    fn readers(&self) -> Vec<NodeIndex>;

    /// What the running nodes have cost since the last call; nothing, if that isn't measured.
    fn take_costs(&mut self) -> ClusterCosts {
        ClusterCosts::default()
    }
}
