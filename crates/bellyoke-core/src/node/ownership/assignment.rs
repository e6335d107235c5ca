//! Assignment of groups to the members that own and replicate them.

use super::ballot::Configuration;
use crate::generation::{Generation, Member, Placement, Service};
use crate::identity::{BucketIndex, GroupIndex, NodeId, ServiceId};
use std::collections::HashMap;
use twox_hash::XxHash3_64;

/// Replicas of a group, including the owner.
const REPLICAS: usize = 3;

/// The group of each bucket and the replicas of each group: a pure function of a generation.
#[derive(Clone, Debug)]
pub struct Assignment {
    configurations: Vec<Configuration>,
    placements: HashMap<ServiceId, Placement>,
}

impl Assignment {
    /// Computes the assignment of `generation`.
    #[must_use]
    pub fn new(generation: &Generation) -> Self {
        let groups = generation.parameters.groups.max(1);
        let configuration = |group| Configuration {
            generation: generation.number,
            replicas: replicas(GroupIndex(group), &generation.members),
        };
        let placement = |service: &Service| (service.id, service.placement);
        Self {
            configurations: (0..groups).map(configuration).collect(),
            placements: generation.services.iter().map(placement).collect(),
        }
    }

    /// Returns the group of a bucket. All buckets of a least-loaded service are in one group,
    /// which gives its owner complete counts of open flows.
    #[must_use]
    pub fn group(&self, service: ServiceId, bucket: BucketIndex) -> GroupIndex {
        let placement = self.placements.get(&service).copied().unwrap_or_default();
        let bucket = match placement {
            Placement::Hashed => u64::from(bucket.0),
            Placement::LeastLoaded => u64::MAX,
        };
        let hash = hash_pair(u64::from(service.0), bucket);
        let groups = self.configurations.len() as u64;
        GroupIndex((hash % groups) as u16)
    }

    /// Returns the replicas of `group` in order of rank.
    #[must_use]
    pub fn configuration(&self, group: GroupIndex) -> Option<&Configuration> {
        self.configurations.get(usize::from(group.0))
    }

    /// Returns all groups.
    pub fn groups(&self) -> impl Iterator<Item = GroupIndex> + use<> {
        (0..self.configurations.len() as u16).map(GroupIndex)
    }
}

/// Chooses the replicas of `group` by rendezvous hashing (Thaler and Ravishankar 1998), in
/// different zones as far as there are enough zones.
fn replicas(group: GroupIndex, members: &[Member]) -> Vec<NodeId> {
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_cached_key(|member| {
        let weight = hash_pair(u64::from(group.0), member.node.0);
        (std::cmp::Reverse(weight), member.node)
    });
    let mut chosen: Vec<&Member> = Vec::with_capacity(REPLICAS);
    for member in &ranked {
        let is_new_zone = chosen.iter().all(|replica| replica.zone != member.zone);
        if is_new_zone && chosen.len() < REPLICAS {
            chosen.push(member);
        }
    }
    for member in &ranked {
        let is_unchosen = chosen.iter().all(|replica| replica.node != member.node);
        if is_unchosen && chosen.len() < REPLICAS {
            chosen.push(member);
        }
    }
    chosen.iter().map(|member| member.node).collect()
}

fn hash_pair(first: u64, second: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&first.to_le_bytes());
    bytes[8..].copy_from_slice(&second.to_le_bytes());
    XxHash3_64::oneshot(&bytes)
}
