//! Messages of the membership protocol.

use crate::identity::NodeId;
use crate::node::membership::record::{MemberRecord, MemberUpdate};
use rkyv::{Archive, Deserialize, Serialize};

/// Messages for failure detection and for exchanging member states.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Asks the receiver for a [`Self::ProbeAnswer`].
    Probe {
        /// Sequence number to be repeated in the answer.
        sequence: u32,
        /// Updates of member states.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe another member.
    ProbeRequest {
        /// Sequence number to be repeated in the answer.
        sequence: u32,
        /// The member to probe.
        target: NodeId,
    },
    /// The probed member is alive.
    ProbeAnswer {
        /// Sequence number of the probe or probe request.
        sequence: u32,
        /// Updates of member states.
        updates: Vec<MemberUpdate>,
    },
    /// Introduces the sender.
    Join {
        /// Record of the sender.
        record: Box<MemberRecord>,
        /// Digest of the members that the sender considers live.
        digest: u64,
        /// Whether the receiver should introduce itself in return.
        reply_requested: bool,
        /// Suspicion or failure recorded for the receiver, for it to refute.
        updates: Vec<MemberUpdate>,
    },
    /// Some of the members that the sender considers live.
    State {
        /// Records of the members.
        records: Vec<MemberRecord>,
    },
}
