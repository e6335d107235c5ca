//! Numbers, states and services of the backends.

use super::matching::{DesiredBackend, Membership, Memberships};
use super::services::AdmittedService;
use super::{CompileContext, Problem, service_by_id};
use crate::flow::SettledBucket;
use crate::generation::objects::ObjectUid;
use crate::generation::types::{Backend, BackendState, Placement, Service, ServiceBackend};
use crate::identity::{BackendId, BucketIndex, GenerationNumber, ServiceId};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Scale of the weights in a service. Limits the rounding error of distributing the weight of a
/// selector over its backends to less than a millionth.
const SHARE_SCALE: u64 = 1_000_000;

/// Returns whether packets may still be sent to `backend`.
pub(super) fn is_alive(backend: &Backend) -> bool {
    backend.state != BackendState::Dead
}

/// Returns the backends of the next generation by number, and the number for the next new one.
pub(super) fn advance(
    context: &CompileContext<'_>,
    services: &[AdmittedService<'_>],
    desired: &Memberships<'_>,
    problems: &mut Vec<Problem>,
) -> (BTreeMap<BackendId, Backend>, BackendId) {
    let former = context
        .previous
        .map_or(&[][..], |generation| &generation.backends);
    let mut backends = BTreeMap::new();
    for backend in former {
        let next = match desired.get(&backend.uid) {
            Some(wanted) if is_alive(backend) => {
                advance_alive(context, services, backend, wanted, problems)
            }
            None if is_alive(backend) && is_unreadable(context, backend) => {
                Some(draining(context, backend))
            }
            _ => Some(dead(context, backend)),
        };
        backends.extend(next.map(|next| (next.id, next)));
    }
    let next_backend = admit_new(context, former, desired, &mut backends, problems);
    (backends, next_backend)
}

/// Returns the weights of the active backends of each service, by service and backend number.
pub(super) fn shares(
    services: &[AdmittedService<'_>],
    backends: &BTreeMap<BackendId, Backend>,
    desired: &Memberships<'_>,
) -> BTreeMap<ServiceId, Vec<ServiceBackend>> {
    let mut groups = BTreeMap::<(ServiceId, Option<usize>), SelectorGroup>::new();
    for backend in backends.values() {
        let Some(active) = active_member(backend, desired) else {
            continue;
        };
        let group = groups.entry((active.membership.service, active.membership.selector));
        let group = group.or_default();
        group.weight = active.membership.weight;
        group.members.push(ServiceBackend {
            backend: backend.id,
            weight: active.weight,
        });
    }
    let mut shares = BTreeMap::<ServiceId, Vec<ServiceBackend>>::new();
    for ((service, selector), group) in groups {
        let members = match selector {
            Some(_) => group.scaled(),
            None => previous_shares(services, service, &group),
        };
        shares.entry(service).or_default().extend(members);
    }
    for members in shares.values_mut() {
        members.sort_by_key(|member| member.backend);
    }
    shares
}

/// Active backends of one selector.
#[derive(Default)]
struct SelectorGroup {
    weight: u32,
    members: Vec<ServiceBackend>,
}

impl SelectorGroup {
    /// Distributes the weight of the selector in proportion to the weights of the backends.
    fn scaled(&self) -> Vec<ServiceBackend> {
        let total: u64 = self
            .members
            .iter()
            .map(|member| u64::from(member.weight))
            .sum();
        let scale = u64::from(self.weight) * SHARE_SCALE;
        let share = |member: &ServiceBackend| {
            let weight = scale * u64::from(member.weight) / total;
            ServiceBackend {
                backend: member.backend,
                weight: u32::try_from(weight).unwrap_or(u32::MAX).max(1),
            }
        };
        self.members.iter().map(share).collect()
    }
}

struct ActiveMember {
    membership: Membership,
    weight: u32,
}

fn active_member(backend: &Backend, desired: &Memberships<'_>) -> Option<ActiveMember> {
    if backend.state != BackendState::Active {
        return None;
    }
    let wanted = desired.get(&backend.uid)?;
    Some(ActiveMember {
        membership: wanted.membership?,
        weight: wanted.object.weight,
    })
}

/// Returns the previous weights of an invalid service.
fn previous_shares(
    services: &[AdmittedService<'_>],
    service: ServiceId,
    group: &SelectorGroup,
) -> Vec<ServiceBackend> {
    let entry = services.iter().find(|entry| entry.service.id == service);
    let former = entry.and_then(|entry| entry.previous);
    let former = former.map_or(&[][..], |former| &former.backends);
    let is_member = |share: &&ServiceBackend| {
        let mut members = group.members.iter();
        members.any(|member| member.backend == share.backend)
    };
    former.iter().filter(is_member).copied().collect()
}

fn is_unreadable(context: &CompileContext<'_>, backend: &Backend) -> bool {
    context.unreadable.backends.contains(&backend.name)
}

fn draining(context: &CompileContext<'_>, backend: &Backend) -> Backend {
    Backend {
        state: BackendState::Draining,
        draining_since: if_unset(backend.draining_since, context.number),
        ..backend.clone()
    }
}

fn dead(context: &CompileContext<'_>, backend: &Backend) -> Backend {
    Backend {
        state: BackendState::Dead,
        draining_since: if_unset(backend.draining_since, context.number),
        ..backend.clone()
    }
}

/// Returns the next state of a backend whose object still exists, or `None` if it no longer
/// serves any service.
fn advance_alive(
    context: &CompileContext<'_>,
    services: &[AdmittedService<'_>],
    backend: &Backend,
    wanted: &DesiredBackend<'_>,
    problems: &mut Vec<Problem>,
) -> Option<Backend> {
    let object = wanted.object;
    if object.tunnel != backend.tunnel {
        problems.push(Problem::BackendAddressFixed {
            backend: object.name.clone(),
            current: backend.tunnel,
            wanted: object.tunnel,
        });
    }
    let target = wanted.membership.map(|membership| membership.service);
    let stays = target == backend.service;
    let service = if stays || is_released(context, backend) {
        target
    } else {
        report_draining(services, context, backend, target, problems);
        backend.service
    };
    service?;
    let active = service == target && takes_new_flows(wanted);
    let moved = service != backend.service;
    let draining_since = match (active, moved) {
        (true, _) => GenerationNumber::default(),
        (false, true) => context.number,
        (false, false) => if_unset(backend.draining_since, context.number),
    };
    Some(Backend {
        id: backend.id,
        uid: backend.uid.clone(),
        name: object.name.clone(),
        tunnel: backend.tunnel,
        zone: object.zone.clone(),
        state: alive_state(active),
        service,
        draining_since,
    })
}

fn report_draining(
    services: &[AdmittedService<'_>],
    context: &CompileContext<'_>,
    backend: &Backend,
    target: Option<ServiceId>,
    problems: &mut Vec<Problem>,
) {
    let Some(id) = backend.service else {
        return;
    };
    let next = services
        .iter()
        .find(|entry| Some(entry.service.id) == target);
    let admitted = services.iter().map(|entry| &entry.service);
    let former = service_by_id(context.previous, id);
    let service = admitted.chain(former).find(|service| service.id == id);
    problems.push(Problem::StillDraining {
        backend: backend.name.clone(),
        from: service.map_or_else(|| id.to_string(), |service| service.name.clone()),
        to: next.map(|entry| entry.service.name.clone()),
    });
}

/// Returns whether no node forwards packets of its service to a draining backend any more.
///
/// Only the previous generation is considered: a backend joins its next service one generation
/// after the last bucket of the previous service was settled, never in the same generation.
fn is_released(context: &CompileContext<'_>, backend: &Backend) -> bool {
    let Some(id) = backend.service else {
        return true;
    };
    let Some(service) = service_by_id(context.previous, id) else {
        return true;
    };
    if backend.draining_since == GenerationNumber::default() {
        return false;
    }
    let mapped = |bucket: &crate::generation::types::Bucket| {
        bucket.target == Some(backend.id) || bucket.base == Some(backend.id)
    };
    if service.buckets.iter().any(mapped) {
        return false;
    }
    match service.placement {
        Placement::Hashed => !may_have_pins(service, backend.draining_since),
        Placement::LeastLoaded => all_settled(context, service),
    }
}

/// Returns whether flows may be pinned to a backend that received new ones until
/// `draining_since`. This requires a bucket that was contested before.
fn may_have_pins(service: &Service, draining_since: GenerationNumber) -> bool {
    let mut buckets = service.buckets.iter();
    buckets.any(|bucket| bucket.is_contested() && bucket.contested_since < draining_since)
}

fn all_settled(context: &CompileContext<'_>, service: &Service) -> bool {
    let mut indices = (0..service.buckets.len()).map(|index| BucketIndex(index as u32));
    indices.all(|bucket| {
        context.settled.contains(&SettledBucket {
            service: service.id,
            bucket,
        })
    })
}

/// Adds and numbers backends that are selected for the first time. Returns the number for the
/// next new one.
fn admit_new(
    context: &CompileContext<'_>,
    former: &[Backend],
    desired: &Memberships<'_>,
    backends: &mut BTreeMap<BackendId, Backend>,
    problems: &mut Vec<Problem>,
) -> BackendId {
    let known: HashMap<&ObjectUid, ()> = former.iter().map(|b| (&b.uid, ())).collect();
    let mut addresses: HashMap<SocketAddr, String> = former
        .iter()
        .filter(|backend| is_alive(backend))
        .map(|backend| (backend.tunnel, backend.name.clone()))
        .collect();
    let mut next_backend = context
        .previous
        .map_or(BackendId(1), |generation| generation.next_backend);
    let is_new = |wanted: &&DesiredBackend<'_>| !known.contains_key(&wanted.object.uid);
    let mut wanted: Vec<_> = desired.values().filter(is_new).collect();
    wanted.sort_by_key(|wanted| (&wanted.object.name, &wanted.object.uid));
    for wanted in wanted.into_iter().filter(|wanted| wanted.valid) {
        let Some(membership) = wanted.membership else {
            continue;
        };
        let object = wanted.object;
        if let Some(holder) = addresses.get(&object.tunnel) {
            problems.push(Problem::BackendAddressTaken {
                backend: object.name.clone(),
                holder: holder.clone(),
            });
            continue;
        }
        addresses.insert(object.tunnel, object.name.clone());
        let backend = new_backend(context, next_backend, wanted, membership.service);
        backends.insert(next_backend, backend);
        next_backend = BackendId(next_backend.0 + 1);
    }
    next_backend
}

fn new_backend(
    context: &CompileContext<'_>,
    id: BackendId,
    wanted: &DesiredBackend<'_>,
    service: ServiceId,
) -> Backend {
    let active = takes_new_flows(wanted);
    Backend {
        id,
        uid: wanted.object.uid.clone(),
        name: wanted.object.name.clone(),
        tunnel: wanted.object.tunnel,
        zone: wanted.object.zone.clone(),
        state: alive_state(active),
        service: Some(service),
        draining_since: if active {
            GenerationNumber::default()
        } else {
            context.number
        },
    }
}

fn takes_new_flows(wanted: &DesiredBackend<'_>) -> bool {
    let weight = wanted.membership.map_or(0, |membership| membership.weight);
    wanted.valid && !wanted.object.drain && weight > 0
}

fn alive_state(active: bool) -> BackendState {
    if active {
        BackendState::Active
    } else {
        BackendState::Draining
    }
}

fn if_unset(number: GenerationNumber, otherwise: GenerationNumber) -> GenerationNumber {
    if number == GenerationNumber::default() {
        otherwise
    } else {
        number
    }
}
