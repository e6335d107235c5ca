//! Members of the generations whose barrier has not passed.
//!
//! Whoever was a member of one of them may still open flows by it, until it has acknowledged
//! a newer one or its lease has run out for certain.

use crate::generation::{Member, Zone};
use crate::identity::{GenerationNumber, NodeId};
use crate::node::rendezvous::lease_quorum;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Member sets that a node keeps. Whoever needs more lets no barrier pass.
pub const MAXIMUM_MEMBER_SETS: usize = 64;

/// Numbers of generations that a node remembers to have seen.
const MAXIMUM_SEEN_GENERATIONS: usize = 4096;

/// The members of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ZoneMembers {
    /// The zone.
    pub zone: Zone,
    /// Its members.
    pub nodes: Vec<NodeId>,
}

/// The members of a range of generations.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberSet {
    /// The first generation that has just these members.
    pub since: GenerationNumber,
    /// The members, by zone.
    pub zones: Vec<ZoneMembers>,
}

/// A member of an older generation that is none of the current one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormerMember {
    /// The former member.
    pub node: NodeId,
    /// Members that grant its lease, as long as it forwards by the older generation.
    pub quorum: Vec<NodeId>,
}

/// Member sets by the generation in which they began.
#[derive(Clone, Debug, Default)]
pub struct MemberHistory {
    sets: BTreeMap<GenerationNumber, Vec<ZoneMembers>>,
    /// Generations that this node itself has seen.
    seen: BTreeSet<GenerationNumber>,
    overflowed: bool,
}

impl MemberHistory {
    /// Adds the members of a generation. Nothing is added if they are those of the set before.
    pub fn add(&mut self, generation: GenerationNumber, members: &[Member]) {
        self.seen.insert(generation);
        if self.seen.len() > MAXIMUM_SEEN_GENERATIONS {
            self.seen.pop_first();
        }
        let zones = group_by_zone(members);
        let preceding = self.sets.range(..=generation).next_back();
        if preceding.is_some_and(|(_, known)| *known == zones) {
            return;
        }
        self.insert(generation, &zones);
    }

    /// Adds what a peer knows, which may have seen other generations than this node.
    pub fn merge(&mut self, sets: &[MemberSet]) {
        for set in sets {
            self.insert(set.since, &set.zones);
        }
    }

    fn insert(&mut self, generation: GenerationNumber, zones: &[ZoneMembers]) {
        if self.sets.contains_key(&generation) {
            return;
        }
        if self.sets.len() >= MAXIMUM_MEMBER_SETS {
            self.overflowed = true;
            return;
        }
        self.sets.insert(generation, zones.to_vec());
    }

    /// The barrier of `passed` has passed: nobody forwards by an older generation.
    ///
    /// The members of `passed` itself are filed under its number, if they are known for
    /// certain, so that all nodes name them alike.
    pub fn trim(&mut self, passed: GenerationNumber) {
        let Some((start, zones)) = self.sets.range(..=passed).next_back() else {
            return;
        };
        let (start, zones) = (*start, zones.clone());
        self.sets = self.sets.split_off(&start);
        if start < passed && self.seen.contains(&passed) {
            self.sets.remove(&start);
            self.sets.insert(passed, zones);
        }
        self.seen = self.seen.split_off(&passed);
        self.overflowed &= self.sets.len() >= MAXIMUM_MEMBER_SETS;
    }

    /// Whether it is known to lack a set.
    #[must_use]
    pub fn is_overflowed(&self) -> bool {
        self.overflowed
    }

    /// The generations in which sets begin.
    #[must_use]
    pub fn set_starts(&self) -> Vec<GenerationNumber> {
        self.sets.keys().copied().collect()
    }

    /// All sets but that of the newest generation, for a peer that holds the generation.
    #[must_use]
    pub fn older_sets(&self, newest: GenerationNumber) -> Vec<MemberSet> {
        let older = self.sets.range(..newest);
        older
            .map(|(since, zones)| MemberSet {
                since: *since,
                zones: zones.clone(),
            })
            .collect()
    }

    /// Former members that are not among `members`, once for each set that lists them.
    #[must_use]
    pub fn former_members(&self, members: &[Member]) -> Vec<FormerMember> {
        let current: BTreeSet<NodeId> = members.iter().map(|member| member.node).collect();
        let mut former_members = Vec::new();
        for zones in self.sets.values() {
            let all = || zones.iter().flat_map(zone_nodes);
            let former = all()
                .map(|(_, node)| node)
                .filter(|node| !current.contains(node));
            former_members.extend(former.map(|node| FormerMember {
                node,
                quorum: lease_quorum(all(), node),
            }));
        }
        former_members
    }
}

fn zone_nodes(zone: &ZoneMembers) -> impl Iterator<Item = (&Zone, NodeId)> {
    zone.nodes.iter().map(|node| (&zone.zone, *node))
}

fn group_by_zone(members: &[Member]) -> Vec<ZoneMembers> {
    let mut zones: BTreeMap<&Zone, Vec<NodeId>> = BTreeMap::new();
    for member in members {
        zones.entry(&member.zone).or_default().push(member.node);
    }
    let sorted = |(zone, mut nodes): (&Zone, Vec<NodeId>)| {
        nodes.sort_unstable();
        ZoneMembers {
            zone: zone.clone(),
            nodes,
        }
    };
    zones.into_iter().map(sorted).collect()
}
