//! What ownership asks of the node around it, and what it counts.

use super::message::OwnershipMessage;
use crate::flow::{FlowPlace, SettledBucket};
use crate::identity::{BackendId, GenerationNumber, NodeId, ServiceId};
use crate::node::{NodeEvent, RefusalReason};

/// What ownership asks of the node around it.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEffect {
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: NodeId,
        /// What to say.
        message: OwnershipMessage,
    },
    /// Encapsulate a packet to a backend.
    Forward {
        /// The backend.
        backend: BackendId,
        /// The whole IP packet.
        packet: Vec<u8>,
    },
    /// Tell the traffic threads where a flow is.
    Learn {
        /// The flow.
        place: FlowPlace,
        /// Its backend.
        backend: BackendId,
    },
    /// Answer the caller from the sorry server of this node.
    Refuse {
        /// The service the caller wanted.
        service: ServiceId,
        /// Why.
        reason: RefusalReason,
        /// The whole IP packet.
        packet: Vec<u8>,
    },
    /// Reset the flow of a packet.
    Reset {
        /// The whole IP packet.
        packet: Vec<u8>,
    },
    /// All recently opened flows are handed over: this node acknowledges the generation.
    Acknowledge(GenerationNumber),
    /// These buckets can be clean in the next generation.
    MarkClean(Vec<SettledBucket>),
    /// Tell people.
    Event(NodeEvent),
}

/// What ownership counts, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnershipCounters {
    /// Packets relayed to an owner.
    pub relayed: u64,
    /// Packets decided as the owner.
    pub decided: u64,
    /// Pins made.
    pub pinned: u64,
    /// Pins of refused flows made.
    pub refused: u64,
    /// Pins dropped.
    pub unpinned: u64,
    /// Groups taken over or received from earlier replicas.
    pub installed: u64,
    /// Groups whose earlier pins were taken for lost.
    pub abandoned: u64,
    /// Groups given up to a higher ballot.
    pub superseded: u64,
    /// Packets dropped, by reason.
    pub dropped: DropCounters,
}

/// Packets that ownership dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters {
    /// The relaying node is no member of this generation nor the previous.
    pub not_a_member: u64,
    /// An opening packet while the owner recovers.
    pub opening_without_owner: u64,
    /// No owner was known, or no majority of replicas answered, in time.
    pub expired: u64,
    /// The process was paused, and the packet may have waited since before.
    pub stale: u64,
    /// Too many packets wait.
    pub queue_full: u64,
    /// Too many pins are held.
    pub pins_full: u64,
    /// An opening packet before the barrier, with a dead base.
    pub base_dead: u64,
    /// The service or bucket is unknown here.
    pub unknown_place: u64,
    /// The relaying node or this one lags by a generation.
    pub generation_skew: u64,
    /// The group was given up while the packet waited.
    pub stepped_down: u64,
}
