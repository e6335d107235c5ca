//! Members of the generations whose barrier has not passed.
//!
//! A member of such a generation may still open flows with it, until the member has acknowledged
//! a newer generation or its lease must have expired.

use crate::generation::{Member, Zone};
use crate::identity::{GenerationNumber, NodeId};
use crate::node::rendezvous::lease_quorum;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of member sets that a node keeps. Beyond it, the node passes no barrier, since
/// former members may be missing from its record.
pub const MAXIMUM_MEMBER_SETS: usize = 64;

/// Maximum number of generation numbers recorded as seen.
const MAXIMUM_SEEN_GENERATIONS: usize = 4096;

/// The members of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ZoneMembers {
    /// The zone.
    pub zone: Zone,
    /// The members in the zone.
    pub nodes: Vec<NodeId>,
}

/// The members of a range of generations.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberSet {
    /// The first generation with exactly these members.
    pub since: GenerationNumber,
    /// The members, grouped by zone.
    pub zones: Vec<ZoneMembers>,
}

/// A member of an older generation that is not a member of the current one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormerMember {
    /// The former member.
    pub node: NodeId,
    /// Members that grant its lease while it uses the older generation.
    pub quorum: Vec<NodeId>,
}

/// Member sets, keyed by the first generation of each.
#[derive(Clone, Debug, Default)]
pub struct MemberHistory {
    sets: BTreeMap<GenerationNumber, Vec<ZoneMembers>>,
    /// Generations received by this node itself, as opposed to their member sets alone.
    seen: BTreeSet<GenerationNumber>,
    overflowed: bool,
}

impl MemberHistory {
    /// Adds the members of a generation, unless they equal the preceding set.
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

    /// Adds the member sets known to a peer, which may have received other generations.
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

    /// Removes older sets after the barrier of `passed` has passed, since no node uses an older
    /// generation any more.
    ///
    /// If this node has received generation `passed`, its member set is rekeyed to that number,
    /// so all nodes use the same key for it.
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

    /// Returns whether a set may be missing because the limit was reached.
    #[must_use]
    pub fn is_overflowed(&self) -> bool {
        self.overflowed
    }

    /// Returns the first generation of each set.
    #[must_use]
    pub fn set_starts(&self) -> Vec<GenerationNumber> {
        self.sets.keys().copied().collect()
    }

    /// Returns all sets but that of the newest generation, for a peer that has the generation.
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

    /// Returns former members that are not in `members`, once for each set that lists them.
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
