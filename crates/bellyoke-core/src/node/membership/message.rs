//! Messages of the membership protocol.

use crate::identity::NodeId;
use crate::node::membership::record::{MemberRecord, MemberUpdate};
use rkyv::{Archive, Deserialize, Serialize};

/// Messages by which members watch each other.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Asks the receiver for a sign of life.
    Probe {
        /// Number that the answer carries.
        sequence: u32,
        /// News of members.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe another member.
    ProbeRequest {
        /// Number that the answer carries.
        sequence: u32,
        /// The member to probe.
        target: NodeId,
    },
    /// The probed member lives.
    ProbeAnswer {
        /// Number of the probe or probe request.
        sequence: u32,
        /// News of members.
        updates: Vec<MemberUpdate>,
    },
    /// The sender presents itself.
    Join {
        /// The sender.
        record: Box<MemberRecord>,
        /// Digest of the members that it knows to live.
        digest: u64,
        /// Whether the receiver should present itself in return.
        reply_requested: bool,
        /// What the sender holds against the receiver, for it to refute.
        updates: Vec<MemberUpdate>,
    },
    /// A part of the members that the sender knows to live.
    State {
        /// The records.
        records: Vec<MemberRecord>,
    },
}
