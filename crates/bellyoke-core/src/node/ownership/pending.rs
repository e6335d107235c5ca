//! Items of an owner that wait for a majority of replicas.

use super::message::HandoverReceipt;
use crate::flow::{Escalation, SettledBucket};
use crate::identity::{BackendId, GenerationNumber, NodeId};
use crate::node::RefusalReason;
use crate::time::Timestamp;

/// What is done with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PacketAction {
    /// Forwards it to this backend.
    Forward(BackendId),
    /// Passes it to the sorry server.
    Refuse(RefusalReason),
    /// Resets the flow.
    Reset,
}

/// A packet whose action waits for a majority.
#[derive(Clone, Debug)]
pub(super) struct PendingPacket {
    pub(super) origin: NodeId,
    pub(super) escalation: Escalation,
    pub(super) action: PacketAction,
    pub(super) packet: Vec<u8>,
    pub(super) deadline: Timestamp,
}

/// A confirmation of a handover list that waits for a majority.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingReceipt {
    pub(super) to: NodeId,
    pub(super) receipt: HandoverReceipt,
    pub(super) deadline: Timestamp,
}

/// A bucket that can be marked clean once a majority has recorded that it is settled.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingClean {
    pub(super) settled: SettledBucket,
    /// The generation of the target that it is settled on. A newer generation may have another
    /// target.
    pub(super) decided_under: GenerationNumber,
    pub(super) deadline: Timestamp,
}

/// An item that waits for a majority.
#[derive(Clone, Debug)]
pub(super) enum PendingItem {
    Packet(PendingPacket),
    Receipt(PendingReceipt),
    Clean(PendingClean),
}

impl PendingItem {
    /// Returns when the item expires.
    pub(super) fn deadline(&self) -> Timestamp {
        match self {
            Self::Packet(item) => item.deadline,
            Self::Receipt(item) => item.deadline,
            Self::Clean(item) => item.deadline,
        }
    }
}

/// Packets and bytes that may still be queued.
#[derive(Clone, Copy, Debug)]
pub(super) struct PacketBudget {
    packets: usize,
    bytes: usize,
}

impl PacketBudget {
    pub(super) const fn new(packets: usize, bytes: usize) -> Self {
        Self { packets, bytes }
    }

    /// Reserves room for a packet. Returns false if none is left.
    pub(super) fn take(&mut self, packet: &[u8]) -> bool {
        if self.packets == 0 || self.bytes < packet.len() {
            return false;
        }
        self.packets -= 1;
        self.bytes -= packet.len();
        true
    }

    /// Releases the room of a packet.
    pub(super) fn give_back(&mut self, packet: &[u8]) {
        self.packets += 1;
        self.bytes += packet.len();
    }
}
