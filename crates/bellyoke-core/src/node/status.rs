//! Status report of a node.

use crate::identity::{GenerationNumber, NodeId};
use crate::node::barrier::BarrierWait;
use crate::node::budget::BudgetCounters;
use crate::node::dissemination::TransferError;
use crate::node::membership::MemberRecord;
use crate::time::Timestamp;

/// A rejected transfer of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedTransfer {
    /// The peer that sent it.
    pub from: NodeId,
    /// Reason for the rejection.
    pub error: TransferError,
}

/// The state of a [`Node`](super::Node), for operators and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// The newest generation known to the node; zero if there is none.
    pub known: GenerationNumber,
    /// The generation used by its traffic threads.
    pub adopted: GenerationNumber,
    /// The newest generation acknowledged by the node.
    pub acknowledged: GenerationNumber,
    /// The newest generation whose barrier is known to have passed.
    pub barrier: GenerationNumber,
    /// Condition that the barrier of the newest generation waits for.
    pub barrier_waits_for: BarrierWait,
    /// Time until which the node may open flows.
    pub lease_until: Timestamp,
    /// Whether the node has announced that it will leave.
    pub leaving: bool,
    /// All known members, starting with the node itself.
    pub members: Vec<MemberRecord>,
    /// Counters of the control budget.
    pub budget: BudgetCounters,
    /// The latest transfer of a generation that was damaged or malformed.
    pub rejected_transfer: Option<RejectedTransfer>,
    /// Messages dropped because they are inconsistent or too long.
    pub rejected_messages: u64,
}
