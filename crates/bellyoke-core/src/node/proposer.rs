//! Proposals of membership changes for the next generation.

use crate::generation::{Generation, MemberObject};
use crate::identity::NodeId;
use crate::node::membership::MemberRecord;
use crate::node::settings::NodeSettings;
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// Whether and when this node may propose members, given the newest generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposerStatus {
    /// This node is a member with a valid lease, or there is no generation yet.
    Entitled,
    /// This node is a member without a valid lease.
    Fenced,
    /// This node has never been a member, and no member of the generation is known to be alive.
    Orphaned,
    /// This node is not a member and leaves proposals to the members.
    NonMember,
}

/// Proposes members once they have differed from the generation's for a settling time.
#[derive(Debug)]
pub struct MembershipProposer {
    settings: NodeSettings,
    pending: Option<PendingProposal>,
}

#[derive(Debug)]
struct PendingProposal {
    members: Vec<MemberObject>,
    status: ProposerStatus,
    propose_at: Timestamp,
}

impl MembershipProposer {
    /// Returns a proposer without a pending proposal.
    #[must_use]
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            settings,
            pending: None,
        }
    }

    /// Compares the live members with the generation's and returns the members to propose, if a
    /// proposal is due.
    pub fn propose<'records>(
        &mut self,
        now: Timestamp,
        generation: Option<&Generation>,
        records: impl Iterator<Item = &'records MemberRecord>,
        status: ProposerStatus,
    ) -> Option<Vec<MemberObject>> {
        let members = eligible_members(records);
        if status == ProposerStatus::NonMember || matches_generation(generation, &members) {
            self.pending = None;
            return None;
        }
        let is_unchanged =
            |pending: &&mut PendingProposal| pending.members == members && pending.status == status;
        let Some(pending) = self.pending.as_mut().filter(is_unchanged) else {
            let propose_at = now.after(self.wait(status));
            self.pending = Some(PendingProposal {
                members,
                status,
                propose_at,
            });
            return None;
        };
        if now < pending.propose_at {
            return None;
        }
        pending.propose_at = now.after(self.settings.membership_settle);
        Some(members)
    }

    /// Returns the time at which [`Self::propose`] may return a proposal.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.pending.as_ref().map(|pending| pending.propose_at)
    }

    fn wait(&self, status: ProposerStatus) -> std::time::Duration {
        match status {
            ProposerStatus::Entitled | ProposerStatus::NonMember => self.settings.membership_settle,
            ProposerStatus::Fenced | ProposerStatus::Orphaned => self.settings.fenced_proposal_wait,
        }
    }
}

fn eligible_members<'records>(
    records: impl Iterator<Item = &'records MemberRecord>,
) -> Vec<MemberObject> {
    let mut members: Vec<MemberObject> = records
        .filter(|record| record.is_live() && !record.leaving)
        .map(|record| MemberObject {
            node: record.member.node,
            zone: record.member.zone.clone(),
            peer_address: record.member.peer_address,
        })
        .collect();
    members.sort_unstable_by_key(|member| member.node);
    members
}

fn matches_generation(generation: Option<&Generation>, members: &[MemberObject]) -> bool {
    let Some(generation) = generation else {
        return false;
    };
    let current: BTreeSet<NodeId> = generation
        .members
        .iter()
        .map(|member| member.node)
        .collect();
    let proposed: BTreeSet<NodeId> = members.iter().map(|member| member.node).collect();
    current == proposed
}
