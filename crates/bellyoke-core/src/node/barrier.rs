//! Barrier of a generation, passed once every member has acknowledged it (section 3 of the
//! protocol).
//!
//! Members form a tree that is determined by the generation: one branch per zone, and a bounded
//! number of children per node. A node reports to its parent when its whole subtree has
//! acknowledged, which keeps the cost per node independent of the cluster size. The tree needs no
//! repair when a member dies: the barrier waits for that member in any case, until a newer
//! generation removes it.

use crate::generation::{Generation, Member};
use crate::identity::{GenerationNumber, NodeId};
use crate::node::member_history::{FormerMember, MAXIMUM_MEMBER_SETS, MemberHistory, MemberSet};
use crate::node::rendezvous::majority;
use crate::node::settings::NodeSettings;
use crate::time::Timestamp;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of children of a node within its zone's branch.
const MAXIMUM_CHILDREN: usize = 8;

/// Maximum number of nodes whose reports are kept.
const MAXIMUM_REPORTS: usize = 8192;

/// Messages of the barrier protocol.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum BarrierMessage {
    /// The sender and all members of its subtree have acknowledged the generation.
    Acknowledged {
        /// The generation.
        generation: GenerationNumber,
        /// First generations of the member sets known to the sender.
        member_sets: Vec<GenerationNumber>,
    },
    /// A barrier has passed. The message header contains the generation number.
    Passed,
}

/// Action requested by the barrier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BarrierEffect {
    /// Sends a message.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: BarrierMessage,
    },
    /// Sends a message to random live members.
    SendToRandomPeers(BarrierMessage),
    /// Fetches member sets that a peer has and this node lacks.
    FetchMemberSets {
        /// The peer.
        from: NodeId,
    },
    /// The barrier has passed.
    Passed(GenerationNumber),
}

/// Condition that the barrier of the newest generation waits for, as known to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BarrierWait {
    /// The barrier has passed, or there is no generation.
    Nothing,
    /// This node has not acknowledged the generation.
    OwnAcknowledgement,
    /// These children have not reported the acknowledgement of their subtrees.
    Reports(Vec<NodeId>),
    /// A reporting node has member sets that this node lacks.
    MemberSets(NodeId),
    /// These former members may still open flows with an older generation.
    FormerMembers(Vec<NodeId>),
    /// This node has reported to its parent; the barrier has not passed yet.
    Parent(NodeId),
}

/// Position of a node in the tree of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TreePosition {
    /// The node to report to; `None` at the root.
    pub parent: Option<NodeId>,
    /// The members that report to the node. Former members are not listed.
    pub children: Vec<NodeId>,
}

/// Returns the position of `node` in the tree of `members`. A node that is not a member reports to
/// the root.
#[must_use]
pub fn tree_position(members: &[Member], node: NodeId) -> TreePosition {
    let mut sorted: Vec<&Member> = members.iter().collect();
    sorted.sort_unstable_by_key(|member| (&member.zone, member.node));
    let Some(first) = sorted.first() else {
        return TreePosition::default();
    };
    let root = first.node;
    let mut position = TreePosition {
        parent: Some(root),
        children: Vec::new(),
    };
    for branch in sorted.chunk_by(|left, right| left.zone == right.zone) {
        for (index, member) in branch.iter().enumerate() {
            let parent = match index {
                0 => (member.node != root).then_some(root),
                _ => Some(branch[(index - 1) / MAXIMUM_CHILDREN].node),
            };
            if member.node == node {
                position.parent = parent;
            }
            if parent == Some(node) {
                position.children.push(member.node);
            }
        }
    }
    position
}

#[derive(Clone, Debug)]
struct Report {
    generation: GenerationNumber,
    member_sets: Vec<GenerationNumber>,
}

/// Tracks the acknowledgements of the newest generation.
#[derive(Debug)]
pub struct Barrier {
    node: NodeId,
    settings: NodeSettings,
    generation: Option<Arc<Generation>>,
    position: TreePosition,
    history: MemberHistory,
    reports: BTreeMap<NodeId, Report>,
    acknowledged: GenerationNumber,
    passed: GenerationNumber,
    /// Time of the latest relevant acknowledgement or report.
    newest_report: Timestamp,
    next_action: Option<Timestamp>,
}

impl Barrier {
    /// Returns the state of a node without a generation.
    #[must_use]
    pub fn new(node: NodeId, settings: NodeSettings) -> Self {
        Self {
            node,
            settings,
            generation: None,
            position: TreePosition::default(),
            history: MemberHistory::default(),
            reports: BTreeMap::new(),
            acknowledged: GenerationNumber(0),
            passed: GenerationNumber(0),
            newest_report: Timestamp::ZERO,
            next_action: None,
        }
    }

    /// Returns the newest generation whose barrier is known to have passed.
    #[must_use]
    pub fn passed(&self) -> GenerationNumber {
        self.passed
    }

    /// Returns the newest generation acknowledged by this node.
    #[must_use]
    pub fn acknowledged(&self) -> GenerationNumber {
        self.acknowledged
    }

    /// Returns the member sets of older generations that may still be in use.
    #[must_use]
    pub fn older_sets(&self) -> Vec<MemberSet> {
        self.history.older_sets(self.number())
    }

    /// Sets a newer generation and merges `sets`, the older member sets known to its sender.
    pub fn set_generation(
        &mut self,
        now: Timestamp,
        generation: &Arc<Generation>,
        sets: &[MemberSet],
    ) {
        let number = generation.number;
        self.history.merge(sets);
        self.history.add(number, &generation.members);
        self.history.trim(self.passed);
        self.position = tree_position(&generation.members, self.node);
        self.reports.retain(|_, report| report.generation >= number);
        self.generation = Some(Arc::clone(generation));
        self.newest_report = now;
        self.next_action = None;
    }

    /// Adds member sets fetched from a peer.
    pub fn merge_member_sets(&mut self, now: Timestamp, sets: &[MemberSet]) {
        self.history.merge(sets);
        self.history.trim(self.passed);
        self.next_action = Some(now);
    }

    /// Records that this node acknowledges `generation`.
    pub fn acknowledge(&mut self, now: Timestamp, generation: GenerationNumber) {
        self.acknowledged = generation.max(self.acknowledged);
        self.newest_report = now;
        self.next_action = Some(now);
    }

    /// Records that `from` and all members of its subtree have acknowledged `generation`, and
    /// know the member sets that start with the generations in `member_sets`.
    pub fn record_report(
        &mut self,
        now: Timestamp,
        from: NodeId,
        generation: GenerationNumber,
        member_sets: Vec<GenerationNumber>,
    ) {
        let is_full = self.reports.len() >= MAXIMUM_REPORTS && !self.reports.contains_key(&from);
        if generation < self.number() || is_full || member_sets.len() > MAXIMUM_MEMBER_SETS {
            return;
        }
        if self.has_reported(from) {
            return;
        }
        let report = Report {
            generation,
            member_sets,
        };
        self.reports.insert(from, report);
        self.newest_report = now;
        self.next_action = Some(now);
    }

    /// Records that the barrier of `passed` has passed, and announces it if that is new.
    pub fn record_passed(&mut self, passed: GenerationNumber) -> Vec<BarrierEffect> {
        if passed <= self.passed {
            return Vec::new();
        }
        self.passed = passed;
        self.history.trim(passed);
        if passed >= self.number() {
            self.next_action = None;
        }
        let mut effects = vec![BarrierEffect::Passed(passed)];
        let children = self.position.children.iter();
        effects.extend(children.map(|child| BarrierEffect::Send {
            to: *child,
            message: BarrierMessage::Passed,
        }));
        effects.push(BarrierEffect::SendToRandomPeers(BarrierMessage::Passed));
        effects
    }

    /// Reports, or passes the barrier at the root, if that is due. `is_live` returns whether a node
    /// is not known to be dead.
    pub fn timeout(
        &mut self,
        now: Timestamp,
        is_live: impl Fn(NodeId) -> bool,
    ) -> Vec<BarrierEffect> {
        if self.next_action.is_none_or(|at| at > now) {
            return Vec::new();
        }
        self.next_action = None;
        if !self.is_complete() {
            return Vec::new();
        }
        let retry_at = now.after(self.settings.resend_interval);
        self.next_action = Some(retry_at);
        if let Some(from) = self.reporter_with_unknown_sets() {
            return vec![BarrierEffect::FetchMemberSets { from }];
        }
        match self.position.parent {
            Some(parent) => vec![self.report_to_parent(parent)],
            None => self.try_pass_as_root(now, is_live),
        }
    }

    /// Returns the time at which [`Self::timeout`] is due.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.next_action
    }

    fn number(&self) -> GenerationNumber {
        let generation = self.generation.as_ref();
        generation.map_or(GenerationNumber(0), |generation| generation.number)
    }

    fn has_reported(&self, node: NodeId) -> bool {
        let report = self.reports.get(&node);
        report.is_some_and(|report| report.generation == self.number())
    }

    /// Returns the condition that the barrier of the newest generation waits for.
    #[must_use]
    pub fn waits_for(&self) -> BarrierWait {
        let Some(generation) = &self.generation else {
            return BarrierWait::Nothing;
        };
        if self.passed >= generation.number {
            return BarrierWait::Nothing;
        }
        if self.acknowledged != generation.number {
            return BarrierWait::OwnAcknowledgement;
        }
        let children = self.position.children.iter().copied();
        let missing: Vec<NodeId> = children
            .filter(|child| !self.has_reported(*child))
            .collect();
        if !missing.is_empty() {
            return BarrierWait::Reports(missing);
        }
        if let Some(from) = self.reporter_with_unknown_sets() {
            return BarrierWait::MemberSets(from);
        }
        match self.position.parent {
            Some(parent) => BarrierWait::Parent(parent),
            None => BarrierWait::FormerMembers(self.pending_former_nodes(generation)),
        }
    }

    fn pending_former_nodes(&self, generation: &Generation) -> Vec<NodeId> {
        let pending = self.pending_former_members(generation).into_iter();
        let nodes: BTreeSet<NodeId> = pending.map(|former| former.node).collect();
        nodes.into_iter().collect()
    }

    /// Returns former members that have not acknowledged the newest generation.
    fn pending_former_members(&self, generation: &Generation) -> Vec<FormerMember> {
        let mut pending = self.history.former_members(&generation.members);
        pending.retain(|former| !self.has_reported(former.node));
        pending
    }

    /// Returns whether this node and all members of its subtree have acknowledged, and the barrier
    /// is not known to have passed.
    fn is_complete(&self) -> bool {
        let number = self.number();
        let pending = self.generation.is_some() && self.passed < number;
        let mut children = self.position.children.iter();
        pending && self.acknowledged == number && children.all(|child| self.has_reported(*child))
    }

    fn report_to_parent(&self, parent: NodeId) -> BarrierEffect {
        let message = BarrierMessage::Acknowledged {
            generation: self.number(),
            member_sets: self.history.set_starts(),
        };
        BarrierEffect::Send {
            to: parent,
            message,
        }
    }

    /// Returns a reporting node with a relevant member set that this node lacks.
    fn reporter_with_unknown_sets(&self) -> Option<NodeId> {
        let known: BTreeSet<GenerationNumber> = self.history.set_starts().into_iter().collect();
        let number = self.number();
        let reports = self.reports.iter();
        let mut current_reports = reports.filter(|(_, report)| report.generation == number);
        let is_relevant = |since: &&GenerationNumber| **since >= self.passed && **since < number;
        let has_unknown_set = |report: &Report| {
            let mut older = report.member_sets.iter().filter(is_relevant);
            older.any(|since| !known.contains(since))
        };
        current_reports
            .find(|(_, report)| has_unknown_set(report))
            .map(|(node, _)| *node)
    }

    fn try_pass_as_root(
        &mut self,
        now: Timestamp,
        is_live: impl Fn(NodeId) -> bool,
    ) -> Vec<BarrierEffect> {
        let Some(generation) = self.generation.clone() else {
            return Vec::new();
        };
        if self.history.is_overflowed() {
            return Vec::new();
        }
        let pending = self.pending_former_members(&generation);
        if pending.is_empty() {
            return self.record_passed(generation.number);
        }
        let members: BTreeSet<NodeId> = generation
            .members
            .iter()
            .map(|member| member.node)
            .collect();
        let all_fenced = pending
            .iter()
            .all(|former| !is_live(former.node) && self.cannot_renew(former, &members));
        if !all_fenced {
            return Vec::new();
        }
        let wait = self.settings.lease_time + self.settings.delay_horizon;
        let fenced_at = self.newest_report.after(wait);
        if now >= fenced_at {
            return self.record_passed(generation.number);
        }
        self.next_action = self.next_action.min(Some(fenced_at));
        Vec::new()
    }

    /// Returns whether a former member can no longer renew its lease: too few of its quorum have
    /// not yet acknowledged the generation that lacks it. All `members` have acknowledged.
    fn cannot_renew(&self, former: &FormerMember, members: &BTreeSet<NodeId>) -> bool {
        let may_grant = former
            .quorum
            .iter()
            .filter(|node| !members.contains(node) && !self.has_reported(**node));
        may_grant.count() < majority(former.quorum.len())
    }
}
