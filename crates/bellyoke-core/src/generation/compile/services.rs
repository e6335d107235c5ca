//! Admission of services: their numbers and addresses.

use super::{CompileContext, DesiredState, Problem, service_by_id};
use crate::generation::encoding::without_table;
use crate::generation::forwarding::ServiceEndpoint;
use crate::generation::objects::{ObjectUid, ServiceObject};
use crate::generation::types::Service;
use crate::identity::ServiceId;
use std::collections::{BTreeMap, HashMap};

/// A service of the next generation, without its backends and table.
pub(super) struct AdmittedService<'a> {
    /// Settings of the service.
    pub service: Service,
    /// The operators' object, or `None` if it is invalid and the previous settings are kept.
    pub object: Option<&'a ServiceObject>,
    /// The service in the previous generation.
    pub previous: Option<&'a Service>,
    /// Number of buckets in its table.
    pub table_size: usize,
}

/// A service to be admitted.
enum Candidate<'a> {
    /// A valid object, and the service in the previous generation.
    Valid(&'a ServiceObject, Option<&'a Service>),
    /// A service with an invalid or unreadable object, which keeps its previous settings.
    Unchanged(&'a Service),
}

/// Admits services and numbers new ones.
///
/// An address is assigned to the service that already has it, then to the service with the lowest
/// number, then to the first by name. An existing service whose new address is taken keeps the
/// previous one.
pub(super) fn admit<'a>(
    context: &CompileContext<'a>,
    desired: &'a DesiredState,
    problems: &mut Vec<Problem>,
) -> (Vec<AdmittedService<'a>>, ServiceId) {
    let mut next_service = context
        .previous
        .map_or(ServiceId(1), |generation| generation.next_service);
    let mut holders = HashMap::<ServiceEndpoint, String>::new();
    let mut admitted = Vec::with_capacity(desired.services.len());
    for candidate in candidates(context, desired, problems) {
        let wanted = candidate.endpoint();
        let former = candidate.previous().map(Service::endpoint);
        if let Some(holder) = holders.get(&wanted) {
            problems.push(Problem::AddressTaken {
                service: candidate.name().to_owned(),
                holder: holder.clone(),
            });
        }
        let free = [Some(wanted), former]
            .into_iter()
            .flatten()
            .find(|endpoint| !holders.contains_key(endpoint));
        let Some(endpoint) = free else {
            continue;
        };
        holders.insert(endpoint, candidate.name().to_owned());
        let id = candidate
            .previous()
            .map_or(next_service, |service| service.id);
        if candidate.previous().is_none() {
            next_service = ServiceId(next_service.0 + 1);
        }
        admitted.push(candidate.admit(id, endpoint, problems));
    }
    (admitted, next_service)
}

fn candidates<'a>(
    context: &CompileContext<'a>,
    desired: &'a DesiredState,
    problems: &mut Vec<Problem>,
) -> Vec<Candidate<'a>> {
    let numbers = numbers_by_uid(context);
    let objects = desired.services.iter();
    let by_uid: BTreeMap<_, _> = objects.map(|object| (&object.uid, object)).collect();
    let mut candidates = Vec::with_capacity(by_uid.len());
    for (uid, object) in &by_uid {
        let id = numbers.get(uid).copied();
        let previous = id.and_then(|id| service_by_id(context.previous, id));
        match object.validate() {
            Ok(()) => candidates.push(Candidate::Valid(object, previous)),
            Err(error) => {
                problems.push(Problem::InvalidService {
                    service: object.name.clone(),
                    error,
                });
                candidates.extend(previous.map(Candidate::Unchanged));
            }
        }
    }
    let former = context
        .previous
        .map_or(&[][..], |generation| &generation.services);
    let unreadable = former.iter().filter(|service| {
        let is_unreadable = context.unreadable.services.contains(&service.name);
        is_unreadable && !by_uid.contains_key(&service.uid)
    });
    candidates.extend(unreadable.map(Candidate::Unchanged));
    candidates.sort_by(|left, right| left.order().cmp(&right.order()));
    candidates
}

fn numbers_by_uid<'a>(context: &CompileContext<'a>) -> HashMap<&'a ObjectUid, ServiceId> {
    let services = context
        .previous
        .map_or(&[][..], |generation| &generation.services);
    services
        .iter()
        .map(|service| (&service.uid, service.id))
        .collect()
}

impl<'a> Candidate<'a> {
    /// Sort key: services that keep their address first, then existing services by number, then
    /// new services by name.
    fn order(&self) -> (bool, bool, Option<ServiceId>, &'a str, &'a ObjectUid) {
        let former = self.previous().map(Service::endpoint);
        let number = self.previous().map(|service| service.id);
        let moves = former != Some(self.endpoint());
        (moves, former.is_none(), number, self.name(), self.uid())
    }

    fn previous(&self) -> Option<&'a Service> {
        match self {
            Self::Valid(_, previous) => *previous,
            Self::Unchanged(service) => Some(service),
        }
    }

    fn name(&self) -> &'a str {
        match self {
            Self::Valid(object, _) => &object.name,
            Self::Unchanged(service) => &service.name,
        }
    }

    fn uid(&self) -> &'a ObjectUid {
        match self {
            Self::Valid(object, _) => &object.uid,
            Self::Unchanged(service) => &service.uid,
        }
    }

    fn endpoint(&self) -> ServiceEndpoint {
        match self {
            Self::Valid(object, _) => ServiceEndpoint {
                transport: object.transport,
                address: object.address,
                port: object.port,
            },
            Self::Unchanged(service) => service.endpoint(),
        }
    }

    fn admit(
        self,
        id: ServiceId,
        endpoint: ServiceEndpoint,
        problems: &mut Vec<Problem>,
    ) -> AdmittedService<'a> {
        match self {
            Self::Unchanged(service) => AdmittedService {
                service: without_table(service),
                object: None,
                previous: Some(service),
                table_size: service.buckets.len(),
            },
            Self::Valid(object, previous) => AdmittedService {
                service: new_settings(object, id, endpoint),
                object: Some(object),
                previous,
                table_size: table_size(object, previous, problems),
            },
        }
    }
}

fn table_size(
    object: &ServiceObject,
    previous: Option<&Service>,
    problems: &mut Vec<Problem>,
) -> usize {
    let wanted = object.buckets as usize;
    let size = previous.map_or(wanted, |service| service.buckets.len());
    if size != wanted {
        problems.push(Problem::TableSizeFixed {
            service: object.name.clone(),
            current: size,
            wanted: object.buckets,
        });
    }
    size
}

fn new_settings(object: &ServiceObject, id: ServiceId, endpoint: ServiceEndpoint) -> Service {
    Service {
        id,
        uid: object.uid.clone(),
        name: object.name.clone(),
        address: endpoint.address,
        port: endpoint.port,
        transport: endpoint.transport,
        placement: object.placement,
        refusal: object.refusal,
        idle_timeout_seconds: object.idle_timeout_seconds,
        backends: Vec::new(),
        buckets: Vec::new(),
    }
}
