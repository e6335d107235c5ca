//! Records of all known members.

use crate::generation::Member;
use crate::identity::{GenerationNumber, NodeId};
use crate::node::membership::record::{MemberRecord, MemberState, MemberUpdate};
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// Maximum number of members recorded, live or not.
const MAXIMUM_MEMBERS: usize = 8192;

/// Seed of [`MemberTable::digest`].
const DIGEST_SEED: u64 = 1;

/// Change of a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A member that was unknown or considered failed is alive.
    Joined(NodeId),
    /// A suspected member answers again or has refuted the suspicion.
    Recovered(NodeId),
    /// A member did not answer and is suspected.
    Suspected(NodeId),
    /// A member is considered failed.
    Failed(NodeId),
    /// A member has left as planned.
    Left(NodeId),
    /// A member has announced that it will leave; its state is unchanged.
    Leaving(NodeId),
}

#[derive(Clone, Debug)]
struct Entry {
    record: MemberRecord,
    /// Time at which a suspected member is considered failed, or the record of a failed member or
    /// one that left is removed.
    deadline: Option<Timestamp>,
}

/// Records of all members except this node.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<NodeId, Entry>,
}

impl MemberTable {
    /// Returns the record of `node`.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.entries.get(&node).map(|entry| &entry.record)
    }

    /// Returns all records, ordered by node.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the alive and suspected members, ordered by node.
    #[must_use]
    pub fn live_members(&self) -> Vec<NodeId> {
        let live = self.records().filter(|record| record.is_live());
        live.map(|record| record.member.node).collect()
    }

    /// Applies an update and returns the resulting change, if any.
    pub fn apply_update(&mut self, update: &MemberUpdate) -> Option<MemberChange> {
        let node = update.node;
        let Some(entry) = self.entries.get_mut(&node) else {
            return self.insert(update);
        };
        let known = &mut entry.record;
        let newly_leaving = update.leaving && !known.leaving;
        known.leaving |= update.leaving;
        if !update.supersedes(known) {
            return newly_leaving.then_some(MemberChange::Leaving(node));
        }
        let before = known.state;
        known.state = update.state;
        known.incarnation = update.incarnation;
        entry.deadline = None;
        Some(change(node, before, update.state))
    }

    /// Sets the deadline of the suspicion of `node`, or of its record.
    pub fn set_deadline(&mut self, node: NodeId, deadline: Timestamp) {
        if let Some(entry) = self.entries.get_mut(&node) {
            entry.deadline = Some(deadline);
        }
    }

    /// Postpones all deadlines by `gap`, the time for which this node was paused.
    pub fn postpone_deadlines(&mut self, gap: std::time::Duration) {
        for entry in self.entries.values_mut() {
            entry.deadline = entry.deadline.map(|deadline| deadline.after(gap));
        }
    }

    /// Returns suspected members whose deadline has passed.
    #[must_use]
    pub fn overdue_suspects(&self, now: Timestamp) -> Vec<MemberRecord> {
        self.entries
            .values()
            .filter(|entry| entry.record.state == MemberState::Suspected)
            .filter(|entry| entry.deadline.is_none_or(|deadline| deadline <= now))
            .map(|entry| entry.record.clone())
            .collect()
    }

    /// Removes records of failed members and of members that left, after their deadlines.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| {
            entry.record.is_live() || entry.deadline.is_none_or(|deadline| deadline > now)
        });
    }

    /// Returns the next deadline of a suspicion.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let suspected = |entry: &&Entry| entry.record.state == MemberState::Suspected;
        let suspects = self.entries.values().filter(suspected);
        suspects.filter_map(|entry| entry.deadline).min()
    }

    /// Records that `node` has acknowledged `generation`.
    pub fn record_acknowledgement(&mut self, node: NodeId, generation: GenerationNumber) {
        if let Some(entry) = self.entries.get_mut(&node) {
            let known = &mut entry.record.acknowledged;
            *known = generation.max(*known);
        }
    }

    /// Returns a digest of the live members including `own`, the record of this node. Two nodes
    /// compare digests to find out whether they agree.
    #[must_use]
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        let mut live: Vec<&MemberRecord> =
            self.records().filter(|record| record.is_live()).collect();
        live.push(own);
        live.sort_unstable_by_key(|record| record.member.node);
        let mut hasher = XxHash3_64::with_seed(DIGEST_SEED);
        for record in live {
            hasher.write(&record.member.node.0.to_be_bytes());
            hasher.write(&[u8::from(record.leaving)]);
        }
        hasher.finish()
    }

    /// Adds unknown members listed by a generation.
    pub fn add_members(&mut self, members: &[Member], own: NodeId) -> Vec<MemberChange> {
        let unknown = members
            .iter()
            .filter(|member| member.node != own && !self.entries.contains_key(&member.node));
        let unknown = unknown
            .cloned()
            .map(|member| MemberRecord::alive(member).update());
        let unknown: Vec<MemberUpdate> = unknown.collect();
        unknown
            .iter()
            .filter_map(|update| self.insert(update))
            .collect()
    }

    fn insert(&mut self, update: &MemberUpdate) -> Option<MemberChange> {
        let member = update.member.as_deref()?;
        if self.entries.len() >= MAXIMUM_MEMBERS || member.node != update.node {
            return None;
        }
        let mut record = MemberRecord::alive(member.clone());
        record.incarnation = update.incarnation;
        record.leaving = update.leaving;
        let entry = Entry {
            record,
            deadline: None,
        };
        self.entries.insert(update.node, entry);
        Some(MemberChange::Joined(update.node))
    }
}

fn change(node: NodeId, before: MemberState, after: MemberState) -> MemberChange {
    match (before, after) {
        (_, MemberState::Left) => MemberChange::Left(node),
        (_, MemberState::Failed) => MemberChange::Failed(node),
        (_, MemberState::Suspected) => MemberChange::Suspected(node),
        (MemberState::Failed, MemberState::Alive) => MemberChange::Joined(node),
        (_, MemberState::Alive) => MemberChange::Recovered(node),
    }
}
