//! Records of members and updates of their states.

use crate::generation::Member;
use crate::identity::{GenerationNumber, NodeId};
use rkyv::{Archive, Deserialize, Serialize};

/// State of a member. At equal incarnations, the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and has not refuted the suspicion yet.
    Suspected,
    /// The member is considered failed. A paused process refutes this when it resumes.
    Failed,
    /// The member has left as planned and never returns.
    Left,
}

/// Update of a member's state, piggybacked on other messages.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub node: NodeId,
    /// Incarnation, raised only by the member itself in order to refute updates by others.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
    /// Whether the member has announced that it will leave.
    pub leaving: bool,
    /// Zone and address, for receivers that don't know the member. Present only if it is alive.
    pub member: Option<Box<Member>>,
}

/// Record of a member.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Node ID, zone and address.
    pub member: Member,
    /// Incarnation, raised only by the member itself in order to refute updates by others.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
    /// Whether the member has announced that it will leave. Never reset.
    pub leaving: bool,
    /// The newest generation known to be acknowledged by the member.
    pub acknowledged: GenerationNumber,
}

impl MemberRecord {
    /// Returns the record of a newly started member.
    #[must_use]
    pub fn alive(member: Member) -> Self {
        Self {
            member,
            incarnation: 0,
            state: MemberState::Alive,
            leaving: false,
            acknowledged: GenerationNumber(0),
        }
    }

    /// Returns whether the member is alive or suspected.
    #[must_use]
    pub fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspected)
    }

    /// Returns the update to be sent to other members.
    #[must_use]
    pub fn update(&self) -> MemberUpdate {
        let alive = self.state == MemberState::Alive;
        MemberUpdate {
            node: self.member.node,
            incarnation: self.incarnation,
            state: self.state,
            leaving: self.leaving,
            member: alive.then(|| Box::new(self.member.clone())),
        }
    }
}

impl MemberUpdate {
    /// Returns whether this update supersedes the state in `known`.
    #[must_use]
    pub fn supersedes(&self, known: &MemberRecord) -> bool {
        if known.state == MemberState::Left {
            return false;
        }
        if self.state == MemberState::Left {
            return true;
        }
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}
