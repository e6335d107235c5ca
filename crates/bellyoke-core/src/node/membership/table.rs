//! Records of all members that this node has heard of.

use crate::generation::Member;
use crate::identity::{GenerationNumber, NodeId};
use crate::node::membership::record::{MemberRecord, MemberState, MemberUpdate};
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// Members that a node remembers, live or not.
const MAXIMUM_MEMBERS: usize = 8192;

/// Seed of [`MemberTable::digest`].
const DIGEST_SEED: u64 = 1;

/// How a member's state has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A member that was not known, or was taken for dead.
    Joined(NodeId),
    /// It answers again, or has refuted the suspicion.
    Recovered(NodeId),
    /// It did not answer.
    Suspected(NodeId),
    /// It is taken for dead.
    Failed(NodeId),
    /// It has stopped as planned.
    Left(NodeId),
    /// Only its announcement to leave is new.
    Leaving(NodeId),
}

#[derive(Clone, Debug)]
struct Entry {
    record: MemberRecord,
    /// When a suspicion becomes a failure, or a dead member is forgotten.
    deadline: Option<Timestamp>,
}

/// All members but this node itself.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<NodeId, Entry>,
}

impl MemberTable {
    /// The record of `node`.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.entries.get(&node).map(|entry| &entry.record)
    }

    /// All records, by node.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Members that are not known to be dead, by node.
    #[must_use]
    pub fn live_members(&self) -> Vec<NodeId> {
        let live = self.records().filter(|record| record.is_live());
        live.map(|record| record.member.node).collect()
    }

    /// Takes in what was said about a member; the change, if it was update.
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

    /// Sets when the suspicion of `node` ends, or when it is forgotten.
    pub fn set_deadline(&mut self, node: NodeId, deadline: Timestamp) {
        if let Some(entry) = self.entries.get_mut(&node) {
            entry.deadline = Some(deadline);
        }
    }

    /// Puts all deadlines off by the time during which this node itself did not run.
    pub fn postpone_deadlines(&mut self, gap: std::time::Duration) {
        for entry in self.entries.values_mut() {
            entry.deadline = entry.deadline.map(|deadline| deadline.after(gap));
        }
    }

    /// Records whose suspicion has ended unrefuted.
    #[must_use]
    pub fn overdue_suspects(&self, now: Timestamp) -> Vec<MemberRecord> {
        self.entries
            .values()
            .filter(|entry| entry.record.state == MemberState::Suspected)
            .filter(|entry| entry.deadline.is_none_or(|deadline| deadline <= now))
            .map(|entry| entry.record.clone())
            .collect()
    }

    /// Forgets dead members whose time is over.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| {
            entry.record.is_live() || entry.deadline.is_none_or(|deadline| deadline > now)
        });
    }

    /// The next deadline of a suspicion.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let suspected = |entry: &&Entry| entry.record.state == MemberState::Suspected;
        let suspects = self.entries.values().filter(suspected);
        suspects.filter_map(|entry| entry.deadline).min()
    }

    /// `node` has acknowledged `generation`.
    pub fn record_acknowledgement(&mut self, node: NodeId, generation: GenerationNumber) {
        if let Some(entry) = self.entries.get_mut(&node) {
            let known = &mut entry.record.acknowledged;
            *known = generation.max(*known);
        }
    }

    /// A digest of who lives, by which two nodes see whether they agree. `own` is this node.
    #[must_use]
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        let mut live: Vec<&MemberRecord> = self.records().filter(|one| one.is_live()).collect();
        live.push(own);
        live.sort_unstable_by_key(|record| record.member.node);
        let mut hasher = XxHash3_64::with_seed(DIGEST_SEED);
        for record in live {
            hasher.write(&record.member.node.0.to_be_bytes());
            hasher.write(&[u8::from(record.leaving)]);
        }
        hasher.finish()
    }

    /// Makes members known that a generation lists.
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
