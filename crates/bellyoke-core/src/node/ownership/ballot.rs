//! Ballots, replica sets and log positions.

use crate::identity::{GenerationNumber, NodeId};
use rkyv::{Archive, Deserialize, Serialize};

/// Orders the claims to a group (Lamport, "The part-time parliament", 1998).
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Archive,
    Serialize,
    Deserialize,
)]
pub struct Ballot {
    /// The generation that determines the replicas.
    pub generation: GenerationNumber,
    /// The number of the claim within the generation.
    pub attempt: u32,
    /// The claimant.
    pub node: NodeId,
}

/// The replicas of one group in one generation in order of rank. The owner has the first rank.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Configuration {
    /// The generation that determines them.
    pub generation: GenerationNumber,
    /// The replicas.
    pub replicas: Vec<NodeId>,
}

impl Configuration {
    /// Returns whether `agreed` is true for more than half of the replicas.
    pub(super) fn has_majority(&self, agreed: impl Fn(NodeId) -> bool) -> bool {
        let count = self.replicas.iter().filter(|node| agreed(**node)).count();
        count > self.replicas.len() / 2
    }
}

/// The position up to which a replica has copied a group's log. Of two copies, the one at the
/// higher position contains every entry that a majority stores.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The ballot of the batches.
    pub ballot: Ballot,
    /// The last batch of that ballot.
    pub sequence: u64,
}
