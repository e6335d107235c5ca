//! This node's view of the cluster: generation, members, barrier and suspected members.

use super::assignment::Assignment;
use super::ballot::Configuration;
use crate::flow::{FlowPlace, SettledBucket};
use crate::generation::{Backend, BackendState, Bucket, Generation, Placement, Service};
use crate::identity::{BackendId, BucketIndex, GenerationNumber, GroupIndex, NodeId, ServiceId};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// Number of suspected nodes above which those that are not members are removed.
const MAX_SUSPECTED: usize = 4096;

/// What membership has reported. Reports may arrive before the first generation.
#[derive(Debug, Default)]
pub(super) struct MembershipView {
    /// The newest generation that all members have acknowledged.
    pub(super) barrier: GenerationNumber,
    /// Members that do not answer.
    pub(super) suspected: BTreeSet<NodeId>,
}

impl MembershipView {
    /// Removes nodes that are no longer members if there are many.
    pub(super) fn trim_suspected(&mut self, cluster: &Cluster) {
        if self.suspected.len() > MAX_SUSPECTED {
            self.suspected.retain(|node| cluster.is_known_member(*node));
        }
    }
}

/// This node's view of the cluster.
#[derive(Debug)]
pub(super) struct Cluster {
    pub(super) generation: Arc<Generation>,
    pub(super) assignment: Assignment,
    pub(super) previous_assignment: Option<Assignment>,
    /// For each group with contested buckets, the generation in which the first of them became
    /// contested.
    contested_since: HashMap<GroupIndex, GenerationNumber>,
    members: HashSet<NodeId>,
    previous_members: HashSet<NodeId>,
}

impl Cluster {
    pub(super) fn new(generation: &Arc<Generation>) -> Self {
        let assignment = Assignment::new(generation);
        Self {
            generation: Arc::clone(generation),
            contested_since: earliest_contested_generations(generation, &assignment),
            assignment,
            previous_assignment: None,
            members: member_set(generation),
            previous_members: HashSet::new(),
        }
    }

    /// Switches to a newer generation.
    pub(super) fn advance(&mut self, generation: &Arc<Generation>) {
        self.generation = Arc::clone(generation);
        let assignment = Assignment::new(generation);
        self.contested_since = earliest_contested_generations(generation, &assignment);
        self.previous_assignment = Some(std::mem::replace(&mut self.assignment, assignment));
        let members = member_set(generation);
        self.previous_members = std::mem::replace(&mut self.members, members);
    }

    pub(super) fn number(&self) -> GenerationNumber {
        self.generation.number
    }

    /// Returns whether `node` is a member of this generation or the previous one.
    pub(super) fn is_known_member(&self, node: NodeId) -> bool {
        self.members.contains(&node) || self.previous_members.contains(&node)
    }

    /// Returns whether the members differ from those of the previous generation.
    pub(super) fn members_changed(&self) -> bool {
        self.members != self.previous_members
    }

    pub(super) fn members(&self) -> &HashSet<NodeId> {
        &self.members
    }

    pub(super) fn service(&self, service: ServiceId) -> Option<&Service> {
        let services = &self.generation.services;
        let index = services.binary_search_by_key(&service, |known| known.id);
        index.ok().and_then(|index| services.get(index))
    }

    pub(super) fn bucket(&self, place: FlowPlace) -> Option<(&Service, &Bucket)> {
        let service = self.service(place.service)?;
        Some((service, service.bucket(place.bucket)?))
    }

    fn backend(&self, backend: BackendId) -> Option<&Backend> {
        let backends = &self.generation.backends;
        let index = backends.binary_search_by_key(&backend, |known| known.id);
        index.ok().and_then(|index| backends.get(index))
    }

    /// Returns whether packets of `service` may be forwarded to `backend`.
    pub(super) fn accepts_packets(&self, backend: BackendId, service: ServiceId) -> bool {
        self.backend(backend).is_some_and(|backend| {
            backend.state != BackendState::Dead && backend.service == Some(service)
        })
    }

    /// Returns whether `backend` had been allocated by this generation. If not, its state isn't
    /// known yet.
    pub(super) fn has_allocated(&self, backend: BackendId) -> bool {
        backend < self.generation.next_backend
    }

    /// Returns whether `backend` accepts new flows of `service`.
    pub(super) fn accepts_flows(&self, backend: BackendId, service: ServiceId) -> bool {
        self.backend(backend).is_some_and(|backend| {
            backend.state == BackendState::Active && backend.service == Some(service)
        })
    }

    pub(super) fn configuration(&self, group: GroupIndex) -> Option<&Configuration> {
        self.assignment.configuration(group)
    }

    pub(super) fn group(&self, place: FlowPlace) -> GroupIndex {
        self.assignment.group(place.service, place.bucket)
    }

    /// Returns whether the bucket is contested and became so in exactly `generation`.
    pub(super) fn is_contested_since(
        &self,
        settled: SettledBucket,
        generation: GenerationNumber,
    ) -> bool {
        let service = self.service(settled.service);
        let bucket = service.and_then(|service| Some((service, service.bucket(settled.bucket)?)));
        bucket.is_some_and(|(service, bucket)| {
            is_contested(service, bucket) && bucket.contested_since == generation
        })
    }

    /// Returns whether a bucket of `group` is contested. Other groups need no owner.
    pub(super) fn has_contested_bucket(&self, group: GroupIndex) -> bool {
        self.contested_since.contains_key(&group)
    }

    /// Returns whether a bucket of `group` became contested before `generation`.
    pub(super) fn has_bucket_contested_before(
        &self,
        group: GroupIndex,
        generation: GenerationNumber,
    ) -> bool {
        let first = self.contested_since.get(&group);
        first.is_some_and(|since| *since < generation)
    }

    /// Returns the first replica that is not suspected, or else the first replica.
    pub(super) fn first_alive(
        &self,
        group: GroupIndex,
        suspected: &BTreeSet<NodeId>,
    ) -> Option<NodeId> {
        let replicas = &self.configuration(group)?.replicas;
        let alive = replicas.iter().find(|node| !suspected.contains(node));
        alive.or(replicas.first()).copied()
    }
}

/// Returns whether only an owner can decide where flows of `bucket` go.
pub(super) fn is_contested(service: &Service, bucket: &Bucket) -> bool {
    let by_load = service.placement == Placement::LeastLoaded;
    by_load || bucket.is_contested() || bucket.target.is_none()
}

fn member_set(generation: &Generation) -> HashSet<NodeId> {
    generation
        .members
        .iter()
        .map(|member| member.node)
        .collect()
}

/// Finds the earliest contested generation of each group. This visits every bucket once per
/// generation, which no timer then has to.
fn earliest_contested_generations(
    generation: &Generation,
    assignment: &Assignment,
) -> HashMap<GroupIndex, GenerationNumber> {
    let mut first = HashMap::new();
    for service in &generation.services {
        let buckets = (0..).map(BucketIndex).zip(&service.buckets);
        for (index, bucket) in buckets.filter(|(_, bucket)| is_contested(service, bucket)) {
            let since = first
                .entry(assignment.group(service.id, index))
                .or_insert(bucket.contested_since);
            *since = bucket.contested_since.min(*since);
        }
    }
    first
}
