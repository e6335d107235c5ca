//! What a node holds for one group.

use super::acceptor::Acceptor;
use super::backoff::Backoff;
use super::ballot::{Ballot, Configuration};
use super::claim::Claim;
use super::leader::Leader;
use crate::identity::GenerationNumber;

/// The part that a node plays in a group.
#[derive(Debug, Default)]
pub(super) enum Role {
    /// Another node owns it.
    #[default]
    Follower,
    /// This node asks for promises.
    Claiming(Box<Claim>),
    /// This node owns it, or copies its pins to the replicas in order to.
    Leading(Box<Leader>),
}

/// What a node holds for one group.
#[derive(Debug, Default)]
pub(super) struct GroupState {
    pub(super) acceptor: Acceptor,
    pub(super) role: Role,
    /// The highest ballot heard of under the present replicas.
    pub(super) highest_ballot: Option<Ballot>,
    /// The generation since which this node knows the present replicas.
    pub(super) replica_generation: GenerationNumber,
    /// When what this node asks for in its role is asked for again.
    pub(super) retry_backoff: Backoff,
    /// When this node tells the present replicas again that it holds a copy of earlier ones.
    pub(super) announcement_backoff: Backoff,
}

impl GroupState {
    /// The log, if this node owns the group and may decide.
    pub(super) fn serving(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leading(leader) if leader.serves() => Some(leader),
            _ => None,
        }
    }

    pub(super) fn leader(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leading(leader) => Some(leader),
            _ => None,
        }
    }

    pub(super) fn claim(&mut self) -> Option<&mut Claim> {
        match &mut self.role {
            Role::Claiming(claim) => Some(claim),
            _ => None,
        }
    }

    /// The ballot under which this node claims or owns the group.
    pub(super) fn own_ballot(&self) -> Option<Ballot> {
        match &self.role {
            Role::Follower => None,
            Role::Claiming(claim) => Some(claim.ballot()),
            Role::Leading(leader) => Some(leader.ballot()),
        }
    }

    /// The replicas under which this node claims or owns the group.
    pub(super) fn own_configuration(&self) -> Option<&Configuration> {
        match &self.role {
            Role::Follower => None,
            Role::Claiming(claim) => Some(claim.configuration()),
            Role::Leading(leader) => Some(leader.configuration()),
        }
    }

    /// Takes note of a ballot, if it is the highest under the present replicas.
    pub(super) fn record_ballot(&mut self, ballot: Ballot) {
        if ballot.generation < self.replica_generation {
            return;
        }
        self.highest_ballot = self.highest_ballot.max(Some(ballot));
    }
}
