//! Inputs and outputs of the state machine.

use crate::flow::{Escalation, FlowPlace, OpenedFlow, SettledBucket};
use crate::generation::{Forwarding, Generation, MemberObject};
use crate::identity::{BackendId, GenerationNumber, NodeId, ServiceId};
use crate::node::ownership::LoadReport;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// Report of the traffic threads, once all of them use a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptionReport {
    /// The generation in use.
    pub generation: GenerationNumber,
    /// Flows opened within the delay horizon (for UDP, all live flows) in buckets that became
    /// contested with this generation.
    pub opened: Vec<OpenedFlow>,
}

/// A packet for which a traffic thread has no decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EscalatedPacket {
    /// Its flow, and whether the packet may open the flow.
    pub escalation: Escalation,
    /// The complete IP packet.
    pub packet: Vec<u8>,
}

/// Input of the state machine. `M` is the type of peer messages.
#[derive(Clone, Debug)]
pub enum Input<M> {
    /// An authenticated message from a peer.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: M,
    },
    /// The time returned by [`Node::next_timeout`](super::Node::next_timeout) has been reached.
    Timeout,
    /// A generation was read from the store, or the store accepted a proposal of this node.
    Published(Arc<Generation>),
    /// All traffic threads use the generation of the latest [`Output::Adopt`].
    Adopted(AdoptionReport),
    /// A traffic thread has no decision for a packet.
    Escalated(EscalatedPacket),
    /// Buckets in which the traffic threads have found no flow off target for the idle timeout.
    Settled(Vec<SettledBucket>),
    /// A flow in a contested bucket has ended.
    FlowEnded(FlowPlace),
    /// A backend reported its load.
    BackendLoad {
        /// The backend.
        backend: BackendId,
        /// Its load.
        load: LoadReport,
    },
    /// Addresses from the platform's machine list. They serve as seeds to find members and
    /// don't define the membership.
    Seeds(Vec<SocketAddr>),
    /// The operator requested this node to stop.
    Leave,
}

/// A change that the store reader of this node should include in the next generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// The members have changed.
    Members(Vec<MemberObject>),
    /// Contested buckets without any remaining flow off target become clean.
    MarkClean {
        /// The generation in which they were found settled. They may have moved again in
        /// another one.
        generation: GenerationNumber,
        /// The buckets.
        buckets: Vec<SettledBucket>,
    },
}

/// Reason for refusing a flow. A refused flow is never sent to a backend afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No backend of the service accepts new flows.
    NoBackend,
    /// Every backend has reached its load limit.
    Overloaded,
    /// The replicas of the bucket's owner are unreachable.
    NoQuorum,
}

/// Events to be logged or counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// A peer that was unknown or considered failed is alive.
    MemberJoined(NodeId),
    /// A peer did not answer a probe and is suspected.
    MemberSuspected(NodeId),
    /// A peer is considered failed.
    MemberFailed(NodeId),
    /// A peer has left the cluster.
    MemberLeft(NodeId),
    /// This node uses a newer generation.
    GenerationAdopted(GenerationNumber),
    /// Every member has acknowledged the generation.
    BarrierPassed(GenerationNumber),
    /// The lease has expired; this node opens no flows.
    Fenced,
    /// The lease was renewed after it had expired.
    Unfenced,
    /// This node became the owner of a group by ballot.
    OwnershipTaken(crate::identity::GroupIndex),
    /// A message was queued because the control budget is exhausted.
    BudgetExhausted,
    /// The node has completed its handover and may stop.
    LeaveComplete,
}

/// Output of the state machine. `M` is the type of peer messages.
#[derive(Clone, Debug)]
pub enum Output<M> {
    /// Sends a message to a peer.
    Send {
        /// The receiver, if its node ID is known.
        to: Option<NodeId>,
        /// Address of its peer socket.
        address: SocketAddr,
        /// The message.
        message: M,
    },
    /// Passes a new generation to the traffic threads. [`Input::Adopted`] confirms its use.
    Adopt(Arc<Forwarding>),
    /// Encapsulates a packet and sends it to a backend.
    Forward {
        /// The backend.
        backend: BackendId,
        /// The complete IP packet.
        packet: Vec<u8>,
    },
    /// Informs the traffic threads of a flow's backend.
    Learn {
        /// The flow.
        place: FlowPlace,
        /// Its backend.
        backend: BackendId,
    },
    /// Answers the client from the sorry server of this node.
    Refuse {
        /// The requested service.
        service: ServiceId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// The complete IP packet.
        packet: Vec<u8>,
    },
    /// Resets the flow of a packet, as its backend is dead.
    Reset {
        /// The complete IP packet.
        packet: Vec<u8>,
    },
    /// Sets the time until which this node may open flows.
    Lease(Timestamp),
    /// Asks the store reader of this node to publish a new generation.
    Propose(Proposal),
    /// Reports an event for logs and metrics.
    Event(NodeEvent),
}
