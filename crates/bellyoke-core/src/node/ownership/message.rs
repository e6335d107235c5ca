//! Messages between owners, replicas and relaying nodes.

use super::ballot::{Ballot, Configuration, LogPosition};
use super::pin::{PinKey, PinRun, SettledMark};
use crate::flow::{Escalation, FlowPlace, SettledBucket};
use crate::identity::{BackendId, GenerationNumber, GroupIndex, NodeId};
use rkyv::{Archive, Deserialize, Serialize};

/// A message between two nodes.
///
/// Large variants are boxed because an archived enum has the size of its largest variant.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum OwnershipMessage {
    /// To the owner: a packet of a flow that is not in the sender's table.
    Relay(Box<RelayedPacket>),
    /// From the owner: the backends of relayed flows.
    Learned(Vec<LearnedFlow>),
    /// From a node that is not the owner: the highest ballots that it has recorded.
    OwnerHints(Vec<OwnerHint>),
    /// From the owner: pins to store.
    Replicate(Vec<PinBatch>),
    /// From a replica: the position up to which it has stored pins.
    Replicated(Vec<ReplicaPosition>),
    /// From a replica: it has promised a higher ballot.
    Superseded(Vec<OwnerHint>),
    /// From a claimant: a request for promises.
    Prepare(Vec<PrepareRequest>),
    /// From a replica: its promise.
    Promise(Vec<ReplicaPromise>),
    /// From a claimant: a request for the next pins of a group.
    Fetch(Box<FetchRequest>),
    /// From a replica: the next pins of a group.
    Fetched(Box<FetchedPins>),
    /// From a replica of an earlier generation: it stores pins that the receiver needs.
    Announce(Vec<ReplicaAnnouncement>),
    /// From the owner: a majority of the newer replicas stores the pins.
    Installed(Vec<ReplicaAnnouncement>),
    /// To the owner: recently opened flows.
    Handover(Vec<HandoverBatch>),
    /// From the owner: a majority of the replicas stores the flows.
    HandoverConfirmed(Vec<HandoverReceipt>),
    /// To the owner: flows that have ended.
    EndedFlows(Vec<FlowPlace>),
    /// To the owner: settled buckets.
    Settled(Box<SettledReport>),
    /// From the owner: the round number that the next report should carry.
    SettledRound(u32),
}

/// A packet relayed to the owner.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct RelayedPacket {
    /// The node that received it from the fabric.
    pub origin: NodeId,
    /// The generation of that node.
    pub generation: GenerationNumber,
    /// How many times it has been relayed.
    pub hops: u8,
    /// Its flow, and whether the packet may open it.
    pub escalation: Escalation,
    /// The complete IP packet.
    pub packet: Vec<u8>,
}

/// The backend of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct LearnedFlow {
    /// The flow.
    pub place: FlowPlace,
    /// Its backend.
    pub backend: BackendId,
}

/// The highest ballot of a group that the sender has recorded.
#[derive(Clone, Copy, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct OwnerHint {
    /// The group.
    pub group: GroupIndex,
    /// The ballot.
    pub ballot: Ballot,
}

/// The next entries of a group's log. An empty batch asks whether the ballot is still the highest.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct PinBatch {
    /// The group.
    pub group: GroupIndex,
    /// The owner's ballot.
    pub ballot: Ballot,
    /// The number of the batch within the ballot, starting at 1.
    pub sequence: u64,
    /// Set on the batch that completes the copy of the group.
    pub installation: Option<Box<Installation>>,
    /// The pins.
    pub runs: Vec<PinRun>,
    /// Buckets that have become settled.
    pub marks: Vec<SettledMark>,
}

impl PinBatch {
    /// Returns the position of the batch in the log of its group.
    pub(super) const fn position(&self) -> LogPosition {
        LogPosition {
            ballot: self.ballot,
            sequence: self.sequence,
        }
    }
}

/// The replicas and the losses of a complete copy of a group.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Installation {
    /// The replicas.
    pub configuration: Configuration,
    /// Pins of buckets that became contested before this generation may have been lost; 0 if none
    /// were.
    pub pins_lost_before: GenerationNumber,
}

/// How much of a group's log a replica has applied.
#[derive(Clone, Copy, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReplicaPosition {
    /// The group.
    pub group: GroupIndex,
    /// The last applied batch. All earlier ones have been applied, too.
    pub position: LogPosition,
}

/// Asks a replica to reject lower ballots.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// The group.
    pub group: GroupIndex,
    /// The claimant's ballot.
    pub ballot: Ballot,
    /// The replicas of the claimant's log.
    pub configuration: Configuration,
}

/// A replica's promise to reject lower ballots.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReplicaPromise {
    /// The group.
    pub group: GroupIndex,
    /// The ballot of the request.
    pub ballot: Ballot,
    /// The position of the replica's copy.
    pub accepted: LogPosition,
    /// What its copy is valid for; `None` without a complete copy.
    pub installed: Option<Installation>,
    /// Replica sets of claims made since its copy was completed. They may have served the group.
    pub successors: Vec<Configuration>,
}

/// Asks for the pins that follow `cursor`.
#[derive(Clone, Copy, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The group.
    pub group: GroupIndex,
    /// The claimant's ballot.
    pub ballot: Ballot,
    /// The last pin received.
    pub cursor: Option<PinKey>,
}

/// The pins that follow `cursor`.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct FetchedPins {
    /// The request that this answers.
    pub request: FetchRequest,
    /// The pins.
    pub runs: Vec<PinRun>,
    /// All settled buckets of the group.
    pub marks: Vec<SettledMark>,
    /// Whether more pins follow.
    pub has_more: bool,
}

/// The replicas that store the pins of a group.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReplicaAnnouncement {
    /// The group.
    pub group: GroupIndex,
    /// The replicas.
    pub configuration: Configuration,
}

/// A part of a handover list.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct HandoverBatch {
    /// Identifies the part.
    pub receipt: HandoverReceipt,
    /// The group of all its flows.
    pub group: GroupIndex,
    /// The flows and their backends.
    pub runs: Vec<PinRun>,
}

/// Identifies a part of a handover list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct HandoverReceipt {
    /// The generation that made the buckets contested.
    pub generation: GenerationNumber,
    /// The number of the part, unique within its sender.
    pub part: u64,
}

/// All buckets of one owner that are settled on the sender.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct SettledReport {
    /// The generation that the sender's traffic threads forward with.
    pub generation: GenerationNumber,
    /// The latest round number that the sender has received from the owner.
    pub round: u32,
    /// The buckets.
    pub buckets: Vec<SettledEntry>,
}

/// A settled bucket.
#[derive(Clone, Copy, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct SettledEntry {
    /// The bucket.
    pub bucket: SettledBucket,
    /// The sender's report since which the bucket has been settled without interruption.
    pub since_report: u32,
}
