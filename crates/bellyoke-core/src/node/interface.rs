//! What goes into the state machine and what comes out.

use crate::flow::{Escalation, FlowPlace, OpenedFlow, SettledBucket};
use crate::generation::{Forwarding, Generation, MemberObject};
use crate::identity::{BackendId, GenerationNumber, NodeId, ServiceId};
use crate::node::ownership::LoadReport;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// What the traffic threads report, once all of them forward by a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptionReport {
    /// The generation they forward by.
    pub generation: GenerationNumber,
    /// Flows opened within the delay horizon (UDP: all live flows) in buckets that this
    /// generation made contested.
    pub opened: Vec<OpenedFlow>,
}

/// A packet that a traffic thread could not decide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EscalatedPacket {
    /// Its flow and whether it may open it.
    pub escalation: Escalation,
    /// The whole IP packet.
    pub packet: Vec<u8>,
}

/// What enters the state machine. `M` is the peer message.
#[derive(Clone, Debug)]
pub enum Input<M> {
    /// A peer's message, authenticated.
    Message {
        /// The sender.
        from: NodeId,
        /// What it says.
        message: M,
    },
    /// The time that [`Output`]s asked for has come.
    Timeout,
    /// A generation was read in the store, or a proposal of this node was accepted there.
    Published(Arc<Generation>),
    /// All traffic threads forward by the generation that was last handed out.
    Adopted(AdoptionReport),
    /// A traffic thread could not decide a packet.
    Escalated(EscalatedPacket),
    /// Buckets in which the traffic threads have seen no flow off target for the idle time.
    Settled(Vec<SettledBucket>),
    /// A flow in a contested bucket has ended.
    FlowEnded(FlowPlace),
    /// A backend says how loaded it is.
    BackendLoad {
        /// The backend.
        backend: BackendId,
        /// Its load.
        load: LoadReport,
    },
    /// The platform's machine list: seeds, never the truth.
    Seeds(Vec<SocketAddr>),
    /// The operator stops this node.
    Leave,
}

/// A change that the store's reader on this node should put in the next generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// Membership changed.
    Members(Vec<MemberObject>),
    /// Contested buckets that no flow off target lives in any more.
    MarkClean {
        /// The generation under which they were found so; under another one they may have
        /// moved again.
        generation: GenerationNumber,
        /// The buckets.
        buckets: Vec<SettledBucket>,
    },
}

/// Why a flow was refused. It is never sent to a backend afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The service has no backend that takes new flows.
    NoBackend,
    /// Every backend is at its cap.
    Overloaded,
    /// The replicas of the bucket's owner cannot be reached.
    NoQuorum,
}

/// Things worth a log line or a counter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// A peer is alive that was not known to be.
    MemberJoined(NodeId),
    /// A peer did not answer and is suspected.
    MemberSuspected(NodeId),
    /// A peer is taken for dead.
    MemberFailed(NodeId),
    /// A peer has left.
    MemberLeft(NodeId),
    /// This node forwards by a newer generation.
    GenerationAdopted(GenerationNumber),
    /// Every member has acknowledged the generation.
    BarrierPassed(GenerationNumber),
    /// The lease ran out: this node opens no flow.
    Fenced,
    /// The lease was renewed after it had run out.
    Unfenced,
    /// This node became the owner of a group by ballot.
    OwnershipTaken(crate::identity::GroupIndex),
    /// A message was put off because the control budget was used up.
    BudgetExhausted,
    /// The node has handed over everything and may stop.
    LeaveComplete,
}

/// What leaves the state machine. `M` is the peer message.
#[derive(Clone, Debug)]
pub enum Output<M> {
    /// Send a message to a peer.
    Send {
        /// The receiver, if its identity is known.
        to: Option<NodeId>,
        /// Its peer socket.
        address: SocketAddr,
        /// What to say.
        message: M,
    },
    /// Hand the traffic threads a new generation; [`Input::Adopted`] answers.
    Adopt(Arc<Forwarding>),
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
    /// Reset the flow of a packet: its backend is dead.
    Reset {
        /// The whole IP packet.
        packet: Vec<u8>,
    },
    /// Until when this node may open flows.
    Lease(Timestamp),
    /// Ask the store's reader on this node for a new generation.
    Propose(Proposal),
    /// Tell people.
    Event(NodeEvent),
}
