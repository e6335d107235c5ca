//! What owners, replicas and relaying nodes say to each other.

use super::ballot::{Ballot, Configuration, LogPosition};
use super::pin::{PinKey, PinRun, SettledMark};
use crate::flow::{Escalation, FlowPlace, SettledBucket};
use crate::identity::{BackendId, GenerationNumber, GroupIndex, NodeId};
use rkyv::{Archive, Deserialize, Serialize};

/// A message between two nodes.
///
/// Large variants are boxed: an archived enum takes the room of its largest variant.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum OwnershipMessage {
    /// To the owner: a packet whose flow the sender doesn't know.
    Relay(Box<RelayedPacket>),
    /// From the owner: where relayed flows are.
    Learned(Vec<LearnedFlow>),
    /// From a node that is not the owner: who is taken to be.
    OwnerHints(Vec<OwnerHint>),
    /// From the owner: pins to keep.
    Replicate(Vec<PinBatch>),
    /// From a replica: pins that it keeps.
    Replicated(Vec<ReplicaPosition>),
    /// From a replica: a higher ballot was promised.
    Superseded(Vec<OwnerHint>),
    /// From a claimant: asks for promises.
    Prepare(Vec<PrepareRequest>),
    /// From a replica: promised.
    Promise(Vec<ReplicaPromise>),
    /// From a claimant: asks for the next pins of a group.
    Fetch(Box<FetchRequest>),
    /// From a replica: the next pins of a group.
    Fetched(Box<FetchedPins>),
    /// From a replica of an earlier generation: it holds pins that the receiver needs.
    Announce(Vec<ReplicaAnnouncement>),
    /// From the owner: a majority of the newer replicas holds the pins.
    Installed(Vec<ReplicaAnnouncement>),
    /// To the owner: recently opened flows.
    Handover(Vec<HandoverBatch>),
    /// From the owner: the flows are on a majority of replicas.
    HandoverConfirmed(Vec<HandoverReceipt>),
    /// To the owner: flows that ended.
    EndedFlows(Vec<FlowPlace>),
    /// To the owner: settled buckets.
    Settled(Box<SettledReport>),
    /// From the owner: the round that the next report should name.
    SettledRound(u32),
}

/// A packet on its way to the owner.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct RelayedPacket {
    /// The node that received it from the fabric.
    pub origin: NodeId,
    /// The generation of that node.
    pub generation: GenerationNumber,
    /// How often it was relayed.
    pub hops: u8,
    /// Its flow and whether it may open it.
    pub escalation: Escalation,
    /// The whole IP packet.
    pub packet: Vec<u8>,
}

/// Where a flow is.
#[derive(Clone, Copy, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct LearnedFlow {
    /// The flow.
    pub place: FlowPlace,
    /// Its backend.
    pub backend: BackendId,
}

/// The highest ballot that the sender knows of for a group.
#[derive(Clone, Copy, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct OwnerHint {
    /// The group.
    pub group: GroupIndex,
    /// The ballot.
    pub ballot: Ballot,
}

/// The next pins of a group. Without pins it asks whether the ballot still holds.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct PinBatch {
    /// The group.
    pub group: GroupIndex,
    /// The owner's ballot.
    pub ballot: Ballot,
    /// Counts the batches of the ballot, from 1.
    pub sequence: u64,
    /// Set on the batch that completes the copy of the group.
    pub installation: Option<Box<Installation>>,
    /// The pins.
    pub runs: Vec<PinRun>,
    /// Buckets that became settled.
    pub marks: Vec<SettledMark>,
}

impl PinBatch {
    /// Where the batch stands in the log of its group.
    pub(super) const fn position(&self) -> LogPosition {
        LogPosition {
            ballot: self.ballot,
            sequence: self.sequence,
        }
    }
}

/// What a complete copy of a group is valid for.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Installation {
    /// The replicas.
    pub configuration: Configuration,
    /// Pins of buckets that were contested before this generation may have been lost; 0 when
    /// none were.
    pub pins_lost_before: GenerationNumber,
}

/// How far a replica's copy of a group goes.
#[derive(Clone, Copy, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReplicaPosition {
    /// The group.
    pub group: GroupIndex,
    /// All batches up to this one were applied.
    pub position: LogPosition,
}

/// Asks a replica to refuse lower ballots.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// The group.
    pub group: GroupIndex,
    /// The claimant's ballot.
    pub ballot: Ballot,
    /// The replicas that the claimant will serve with.
    pub configuration: Configuration,
}

/// A replica refuses lower ballots from now on.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReplicaPromise {
    /// The group.
    pub group: GroupIndex,
    /// The ballot that was asked for.
    pub ballot: Ballot,
    /// How far the replica's copy goes.
    pub accepted: LogPosition,
    /// What its copy is valid for; none if it has no complete copy.
    pub installed: Option<Installation>,
    /// Replica sets of other claimants since, which may have served.
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
    /// The request that is answered.
    pub request: FetchRequest,
    /// The pins.
    pub runs: Vec<PinRun>,
    /// All settled buckets of the group.
    pub marks: Vec<SettledMark>,
    /// Whether more follow.
    pub has_more: bool,
}

/// Which replicas hold the pins of a group.
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
    /// Which part.
    pub receipt: HandoverReceipt,
    /// The group of all its flows.
    pub group: GroupIndex,
    /// The flows and their backends.
    pub runs: Vec<PinRun>,
}

/// Names a part of a handover list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct HandoverReceipt {
    /// The generation that made the buckets contested.
    pub generation: GenerationNumber,
    /// Counts the parts of one node.
    pub part: u64,
}

/// All buckets of one owner that are settled on the sender.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct SettledReport {
    /// The generation that the sender's traffic threads forward by.
    pub generation: GenerationNumber,
    /// The owner's round, as the sender knows it.
    pub round: u32,
    /// The buckets.
    pub buckets: Vec<SettledEntry>,
}

/// A settled bucket.
#[derive(Clone, Copy, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct SettledEntry {
    /// The bucket.
    pub bucket: SettledBucket,
    /// Since which of the sender's reports it has been settled without a break.
    pub since_report: u32,
}
