//! Forwarding decisions of a traffic thread and its messages to the control thread.

use crate::identity::{BackendId, BucketIndex, ServiceId};
use crate::packet::FlowHash;
use rkyv::{Archive, Deserialize, Serialize};

/// Whether the node may forward packets of unknown flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// A quorum answered within the lease time.
    Valid,
    /// The node may have been replaced without having been informed: it forwards known flows
    /// only.
    Fenced,
}

/// Position of a flow in the lookup tables.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
pub struct FlowPlace {
    /// The service.
    pub service: ServiceId,
    /// Bucket in the lookup table of the service.
    pub bucket: BucketIndex,
    /// Hash of the flow.
    pub hash: FlowHash,
}

/// Kind of a packet that a traffic thread escalates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum EscalationKind {
    /// May open a flow: a TCP SYN without ACK, or any UDP packet.
    Opening,
    /// Cannot open a flow.
    Other,
}

/// A packet whose backend only the owner of its bucket can determine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Escalation {
    /// Position of its flow in the lookup tables.
    pub place: FlowPlace,
    /// Whether the packet may open the flow.
    pub kind: EscalationKind,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The packet is truncated, or its headers are inconsistent.
    Malformed,
    /// A checksum is wrong.
    Checksum,
    /// An IP fragment, whose flow cannot be determined.
    Fragment,
    /// A transport protocol that is not load-balanced.
    Protocol,
    /// No service has this address, port and protocol.
    UnknownService,
    /// Longer than the maximum packet length of the tunnel.
    Oversized,
    /// The flow table is full.
    TableFull,
    /// The node has no valid lease and knows no other node to relay to.
    Fenced,
}

/// How a traffic thread handles a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Encapsulate and send to this backend.
    Forward(BackendId),
    /// Pass to the control thread.
    Escalate(Escalation),
    /// Answer the caller with a reset or an ICMP "unreachable", as the backend of the flow is
    /// dead.
    Reset,
    /// Count and drop.
    Drop(DropReason),
}

/// A flow that a node recently opened in a bucket that has become contested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
#[rkyv(derive(Debug))]
pub struct OpenedFlow {
    /// Position of the flow.
    pub place: FlowPlace,
    /// Backend that the flow was opened on.
    pub backend: BackendId,
}

/// A contested bucket in which a node has observed no flow on a backend other than the target
/// for the idle timeout.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
pub struct SettledBucket {
    /// The service.
    pub service: ServiceId,
    /// The bucket.
    pub bucket: BucketIndex,
}
