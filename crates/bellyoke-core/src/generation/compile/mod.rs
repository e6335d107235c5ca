//! How a generation follows from the one before, the operators' objects and the membership.
//!
//! A pure function: every publisher that starts from the same input gets the same content.

mod backends;
mod buckets;
mod matching;
mod problem;
mod services;

pub(crate) use buckets::{TableChange, next_buckets};
pub use problem::Problem;

use crate::flow::SettledBucket;
use crate::generation::objects::{BackendObject, MemberObject, ServiceObject, StoreRevision};
use crate::generation::types::{Backend, ClusterParameters, Generation, Member, Service};
use crate::identity::{BackendId, GenerationNumber, ServiceId};
use services::AdmittedService;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use thiserror::Error;

/// The operators' objects as they were read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// All services.
    pub services: Vec<ServiceObject>,
    /// All backends.
    pub backends: Vec<BackendObject>,
    /// How far in the store's history they were read.
    pub revision: StoreRevision,
    /// Names of objects that are there but can't be understood: they aren't taken for
    /// deleted. Such a service keeps its settings, such a backend drains.
    pub unreadable: UnreadableObjects,
}

/// Names of objects that can't be understood.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableObjects {
    /// Names of services.
    pub services: BTreeSet<String>,
    /// Names of backends.
    pub backends: BTreeSet<String>,
}

/// The generation that follows, and what operators should know about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compilation {
    /// The generation.
    pub generation: Generation,
    /// Whether it differs from the one before in more than number and revision. If not, it
    /// isn't published.
    pub changed: bool,
    /// What of the objects isn't in force, and why.
    pub problems: Vec<Problem>,
}

/// Why no generation can follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CompileError {
    /// The objects are older than those of the previous generation.
    #[error("the objects were read at {read:?}, before {previous:?} of the newest generation")]
    StaleRevision {
        /// Where the previous generation's objects were read.
        previous: StoreRevision,
        /// Where these were read.
        read: StoreRevision,
    },
    /// What is fixed when a cluster is founded differs.
    #[error("the cluster was founded with {previous:?}, this node is set to {configured:?}")]
    ParametersDiffer {
        /// Parameters of the previous generation.
        previous: ClusterParameters,
        /// Parameters of this node.
        configured: ClusterParameters,
    },
}

/// Compiles the generation that follows `previous`.
///
/// `settled` names buckets that were found settled under `previous` itself; reports under an
/// older generation must not be passed, as their buckets may have moved since. When it
/// names all buckets of a service that is placed by load, then no draining backend of that
/// service holds a flow.
///
/// # Errors
/// When the input contradicts `previous`.
pub fn compile(
    previous: Option<&Generation>,
    desired: &DesiredState,
    members: &[MemberObject],
    settled: &[SettledBucket],
    parameters: ClusterParameters,
) -> Result<Compilation, CompileError> {
    if let Some(previous) = previous {
        check_history(previous, desired, parameters)?;
    }
    let context = CompileContext {
        previous,
        unreadable: &desired.unreadable,
        number: GenerationNumber(previous.map_or(0, |generation| generation.number.0) + 1),
        settled: settled.iter().copied().collect(),
    };
    let mut problems = Vec::new();
    let (admitted, next_service) = services::admit(&context, desired, &mut problems);
    let memberships = matching::memberships(&context, &admitted, &desired.backends, &mut problems);
    let (backends, next_backend) =
        backends::advance(&context, &admitted, &memberships, &mut problems);
    let services = compile_services(&context, admitted, &backends, &memberships);
    let generation = Generation {
        number: context.number,
        revision: desired.revision,
        parameters,
        backends: without_unreferenced(backends, &services),
        services,
        members: member_list(members),
        next_service,
        next_backend,
    };
    Ok(Compilation {
        changed: previous.is_none_or(|previous| differs(previous, &generation)),
        generation,
        problems,
    })
}

/// What all steps need.
struct CompileContext<'a> {
    previous: Option<&'a Generation>,
    unreadable: &'a UnreadableObjects,
    number: GenerationNumber,
    settled: HashSet<SettledBucket>,
}

fn check_history(
    previous: &Generation,
    desired: &DesiredState,
    parameters: ClusterParameters,
) -> Result<(), CompileError> {
    let (before, read) = (previous.revision, desired.revision);
    if read.services < before.services || read.backends < before.backends {
        return Err(CompileError::StaleRevision {
            previous: before,
            read,
        });
    }
    if previous.parameters != parameters {
        return Err(CompileError::ParametersDiffer {
            previous: previous.parameters,
            configured: parameters,
        });
    }
    Ok(())
}

fn compile_services(
    context: &CompileContext<'_>,
    admitted: Vec<AdmittedService<'_>>,
    backends: &BTreeMap<BackendId, Backend>,
    memberships: &matching::Memberships<'_>,
) -> Vec<Service> {
    let mut shares = backends::shares(&admitted, backends, memberships);
    let mut services = Vec::with_capacity(admitted.len());
    for entry in admitted {
        let mut service = entry.service;
        service.backends = shares.remove(&service.id).unwrap_or_default();
        let change = TableChange {
            previous: entry.previous,
            placement: service.placement,
            backends: &service.backends,
            size: entry.table_size,
            number: context.number,
        };
        service.buckets = next_buckets(&change, |bucket| {
            context.settled.contains(&SettledBucket {
                service: service.id,
                bucket,
            })
        });
        services.push(service);
    }
    services.sort_by_key(|service| service.id);
    services
}

/// Drops dead backends that no bucket has as its base any more: an unknown backend is
/// treated like a dead one.
fn without_unreferenced(
    backends: BTreeMap<BackendId, Backend>,
    services: &[Service],
) -> Vec<Backend> {
    let buckets = services.iter().flat_map(|service| &service.buckets);
    let bases: BTreeSet<BackendId> = buckets.filter_map(|bucket| bucket.base).collect();
    let kept = |backend: &Backend| backends::is_alive(backend) || bases.contains(&backend.id);
    backends.into_values().filter(kept).collect()
}

fn member_list(members: &[MemberObject]) -> Vec<Member> {
    let by_node: BTreeMap<_, _> = members.iter().map(|member| (member.node, member)).collect();
    by_node
        .into_values()
        .map(|member| Member {
            node: member.node,
            zone: member.zone.clone(),
            peer_address: member.peer_address,
        })
        .collect()
}

fn differs(previous: &Generation, next: &Generation) -> bool {
    previous.services != next.services
        || previous.backends != next.backends
        || previous.members != next.members
}

fn service_by_id(generation: Option<&Generation>, id: ServiceId) -> Option<&Service> {
    let services = &generation?.services;
    let index = services
        .binary_search_by_key(&id, |service| service.id)
        .ok()?;
    services.get(index)
}
