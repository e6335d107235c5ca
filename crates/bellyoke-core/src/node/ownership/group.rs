//! The state of one group on a node.

use super::acceptor::Acceptor;
use super::backoff::Backoff;
use super::ballot::{Ballot, Configuration};
use super::claim::Claim;
use super::leader::Leader;
use crate::identity::GenerationNumber;

/// The role of a node in a group.
#[derive(Debug, Default)]
pub(super) enum Role {
    /// Another node owns the group.
    #[default]
    Follower,
    /// This node requests promises.
    Claiming(Box<Claim>),
    /// This node owns the group, or copies its pins to the replicas before it serves as the owner.
    Leading(Box<Leader>),
}

/// The state of one group on a node.
#[derive(Debug, Default)]
pub(super) struct GroupState {
    pub(super) acceptor: Acceptor,
    pub(super) role: Role,
    /// The highest ballot seen under the current replicas.
    pub(super) highest_ballot: Option<Ballot>,
    /// The generation in which this node received the current replicas.
    pub(super) replica_generation: GenerationNumber,
    /// Backoff for the requests of this node's role.
    pub(super) retry_backoff: Backoff,
    /// Backoff for announcing this node's copy of an earlier replica set to the current replicas.
    pub(super) announcement_backoff: Backoff,
}

impl GroupState {
    /// Returns the log if this node owns the group and may decide.
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

    /// Returns the ballot of this node's claim or log.
    pub(super) fn own_ballot(&self) -> Option<Ballot> {
        match &self.role {
            Role::Follower => None,
            Role::Claiming(claim) => Some(claim.ballot()),
            Role::Leading(leader) => Some(leader.ballot()),
        }
    }

    /// Returns the replicas of this node's claim or log.
    pub(super) fn own_configuration(&self) -> Option<&Configuration> {
        match &self.role {
            Role::Follower => None,
            Role::Claiming(claim) => Some(claim.configuration()),
            Role::Leading(leader) => Some(leader.configuration()),
        }
    }

    /// Records a ballot if it is the highest under the current replicas.
    pub(super) fn record_ballot(&mut self, ballot: Ballot) {
        if ballot.generation < self.replica_generation {
            return;
        }
        self.highest_ballot = self.highest_ballot.max(Some(ballot));
    }
}
