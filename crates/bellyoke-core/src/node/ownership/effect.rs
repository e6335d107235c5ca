//! Effects that ownership requests from its node, and its counters.

use super::message::OwnershipMessage;
use crate::flow::{FlowPlace, SettledBucket};
use crate::identity::{BackendId, GenerationNumber, NodeId, ServiceId};
use crate::node::{NodeEvent, RefusalReason};

/// An action that ownership requests from its node.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEffect {
    /// Sends a message to a peer.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: OwnershipMessage,
    },
    /// Encapsulates a packet to a backend.
    Forward {
        /// The backend.
        backend: BackendId,
        /// The complete IP packet.
        packet: Vec<u8>,
    },
    /// Reports the backend of a flow to the traffic threads.
    Learn {
        /// The flow.
        place: FlowPlace,
        /// Its backend.
        backend: BackendId,
    },
    /// Answers the caller from this node's sorry server.
    Refuse {
        /// The requested service.
        service: ServiceId,
        /// The reason.
        reason: RefusalReason,
        /// The complete IP packet.
        packet: Vec<u8>,
    },
    /// Resets the flow of a packet.
    Reset {
        /// The complete IP packet.
        packet: Vec<u8>,
    },
    /// Acknowledges the generation: all recently opened flows have been handed over.
    Acknowledge(GenerationNumber),
    /// Proposes to mark these buckets clean in the next generation.
    MarkClean(Vec<SettledBucket>),
    /// Reports an event to operators.
    Event(NodeEvent),
}

/// Ownership counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipCounters {
    /// Packets relayed to an owner.
    pub relayed: u64,
    /// Packets decided as the owner.
    pub decided: u64,
    /// Pins created for flows to a backend.
    pub pinned: u64,
    /// Pins created for refused flows.
    pub refused: u64,
    /// Pins removed.
    pub unpinned: u64,
    /// Groups whose copy this node installed as the owner.
    pub installed: u64,
    /// Groups whose earlier pins were considered lost.
    pub abandoned: u64,
    /// Claims and groups given up to a higher ballot.
    pub superseded: u64,
    /// Dropped packets by reason.
    pub dropped: DropCounters,
}

/// Packets that ownership has dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters {
    /// The relaying node is not a member of this generation or the previous one.
    pub not_a_member: u64,
    /// An opening packet arrived while the group had no owner.
    pub opening_without_owner: u64,
    /// The owner stayed unknown, or no majority of replicas answered, until the timeout.
    pub expired: u64,
    /// The process had been paused, and the packet may have been queued since before the pause.
    pub stale: u64,
    /// Too many packets were queued.
    pub queue_full: u64,
    /// The owner stored too many pins.
    pub pins_full: u64,
    /// An opening packet arrived before the barrier, and the base is dead.
    pub base_dead: u64,
    /// The service or bucket is unknown to this node.
    pub unknown_place: u64,
    /// The generations of the relaying node and of this node differ.
    pub generation_skew: u64,
    /// This node stepped down while the packet was queued.
    pub stepped_down: u64,
}
