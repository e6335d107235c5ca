//! What waits at an owner for a majority of replicas.

use super::message::HandoverReceipt;
use crate::flow::{Escalation, SettledBucket};
use crate::identity::{BackendId, GenerationNumber, NodeId};
use crate::node::RefusalReason;
use crate::time::Timestamp;

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PacketAction {
    /// To this backend.
    Forward(BackendId),
    /// To the sorry server.
    Refuse(RefusalReason),
    /// The flow is reset.
    Reset,
}

/// A packet whose verdict waits for a majority.
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

/// A bucket that can be clean once a majority knows that it is settled.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingClean {
    pub(super) settled: SettledBucket,
    /// The generation whose target it is settled on; a newer one may have another.
    pub(super) decided_under: GenerationNumber,
    pub(super) deadline: Timestamp,
}

/// What waits for a majority.
#[derive(Clone, Debug)]
pub(super) enum PendingItem {
    Packet(PendingPacket),
    Receipt(PendingReceipt),
    Clean(PendingClean),
}

impl PendingItem {
    /// When it is dropped.
    pub(super) fn deadline(&self) -> Timestamp {
        match self {
            Self::Packet(item) => item.deadline,
            Self::Receipt(item) => item.deadline,
            Self::Clean(item) => item.deadline,
        }
    }
}

/// Packets and bytes that may still be kept waiting.
#[derive(Clone, Copy, Debug)]
pub(super) struct PacketBudget {
    packets: usize,
    bytes: usize,
}

impl PacketBudget {
    pub(super) const fn new(packets: usize, bytes: usize) -> Self {
        Self { packets, bytes }
    }

    /// Takes a packet's share; false if nothing is left.
    pub(super) fn take(&mut self, packet: &[u8]) -> bool {
        if self.packets == 0 || self.bytes < packet.len() {
            return false;
        }
        self.packets -= 1;
        self.bytes -= packet.len();
        true
    }

    /// Gives a packet's share back.
    pub(super) fn give_back(&mut self, packet: &[u8]) {
        self.packets += 1;
        self.bytes += packet.len();
    }
}
