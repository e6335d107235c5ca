//! Compilation of a generation from the previous one, the operators' objects and the membership.
//!
//! Compilation is deterministic: every publisher gets the same content from the same input.

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
    /// Store revision at which they were read.
    pub revision: StoreRevision,
    /// Names of objects that exist but cannot be parsed. They are not treated as deleted: a
    /// service keeps its previous settings and a backend is drained.
    pub unreadable: UnreadableObjects,
}

/// Names of objects that cannot be parsed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableObjects {
    /// Names of services.
    pub services: BTreeSet<String>,
    /// Names of backends.
    pub backends: BTreeSet<String>,
}

/// Result of a compilation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compilation {
    /// The generation.
    pub generation: Generation,
    /// Whether it differs from the previous generation in more than number and revision.
    /// Otherwise it is not published.
    pub changed: bool,
    /// Parts of the objects that are not in effect, for the operators.
    pub problems: Vec<Problem>,
}

/// An error in compiling a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CompileError {
    /// The objects are older than those that the previous generation was compiled from.
    #[error("the objects were read at {read:?}, before {previous:?} of the previous generation")]
    StaleRevision {
        /// Store revision of the previous generation.
        previous: StoreRevision,
        /// Store revision of the objects.
        read: StoreRevision,
    },
    /// The cluster parameters differ from those of the previous generation.
    #[error(
        "the cluster was created with {previous:?}, but this node is configured with {configured:?}"
    )]
    ParametersDiffer {
        /// Parameters of the previous generation.
        previous: ClusterParameters,
        /// Parameters of this node.
        configured: ClusterParameters,
    },
}

/// Compiles the generation that follows `previous`.
///
/// `settled` lists buckets that were reported as settled with `previous` itself. Reports for an
/// older generation must not be passed, as the buckets may have moved since. If it contains all
/// buckets of a least-loaded service, no draining backend of that service has a flow.
///
/// # Errors
/// Returns an error if the input is inconsistent with `previous`.
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

/// Input shared by all compilation steps.
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

/// Removes dead backends that are no longer the base of a bucket. An unknown backend is treated
/// like a dead one.
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
