//! Assignment of backends to services by label selectors.

use super::services::AdmittedService;
use super::{CompileContext, Problem};
use crate::generation::objects::{BackendObject, ObjectUid, WeightedSelector};
use crate::identity::ServiceId;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The service that a backend should serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Membership {
    /// The service.
    pub service: ServiceId,
    /// Position of the matching selector, or `None` if an invalid service keeps the backend.
    pub selector: Option<usize>,
    /// Weight of that selector.
    pub weight: u32,
}

/// A backend object and the service that it is assigned to.
pub(super) struct DesiredBackend<'a> {
    /// The object.
    pub object: &'a BackendObject,
    /// Whether the object is valid.
    pub valid: bool,
    /// The service, if one selects the backend.
    pub membership: Option<Membership>,
}

/// Backends by UID.
pub(super) type Memberships<'a> = BTreeMap<&'a ObjectUid, DesiredBackend<'a>>;

/// Assigns each backend to a service: the first by name among those that select it.
pub(super) fn memberships<'a>(
    context: &CompileContext<'a>,
    services: &[AdmittedService<'a>],
    objects: &'a [BackendObject],
    problems: &mut Vec<Problem>,
) -> Memberships<'a> {
    let index = SelectorIndex::new(services);
    let kept = memberships_of_invalid_services(context, services);
    let mut matched = BTreeSet::new();
    let mut memberships = Memberships::new();
    for object in objects {
        let result = object.validate();
        let valid = result.is_ok();
        if let Err(error) = result {
            problems.push(Problem::InvalidBackend {
                backend: object.name.clone(),
                error,
            });
        }
        let chosen = index.matches(object);
        matched.extend(chosen.iter().map(|entry| (entry.service, entry.index)));
        report_ambiguous_selection(object, &chosen, problems);
        let selected = chosen.first().map(SelectorEntry::membership);
        let membership = kept.get(&object.uid).copied().or(selected);
        let desired = DesiredBackend {
            object,
            valid,
            membership,
        };
        memberships.insert(&object.uid, desired);
    }
    report_unmatched(&index, &matched, problems);
    memberships
}

/// A selector of a service.
#[derive(Clone, Copy)]
struct SelectorEntry<'a> {
    name: &'a str,
    service: ServiceId,
    index: usize,
    weighted: &'a WeightedSelector,
}

impl SelectorEntry<'_> {
    fn membership(&self) -> Membership {
        Membership {
            service: self.service,
            selector: Some(self.index),
            weight: self.weighted.weight,
        }
    }
}

/// Index of selectors by one required label. It avoids matching a backend against all selectors.
struct SelectorIndex<'a> {
    by_label: HashMap<(&'a str, &'a str), Vec<SelectorEntry<'a>>>,
    others: Vec<SelectorEntry<'a>>,
}

impl<'a> SelectorIndex<'a> {
    fn new(services: &[AdmittedService<'a>]) -> Self {
        let mut index = Self {
            by_label: HashMap::new(),
            others: Vec::new(),
        };
        for service in services {
            let Some(object) = service.object else {
                continue;
            };
            for (position, weighted) in object.selectors.iter().enumerate() {
                index.insert(SelectorEntry {
                    name: &object.name,
                    service: service.service.id,
                    index: position,
                    weighted,
                });
            }
        }
        index
    }

    fn insert(&mut self, entry: SelectorEntry<'a>) {
        let label = entry.weighted.selector.match_labels.first_key_value();
        match label {
            Some((key, value)) => self.by_label.entry((key, value)).or_default().push(entry),
            None => self.others.push(entry),
        }
    }

    /// Returns the selectors that match `backend`, ordered by service name and position.
    fn matches(&self, backend: &BackendObject) -> Vec<SelectorEntry<'a>> {
        let labels = backend.labels.iter();
        let by_label = labels
            .filter_map(|(key, value)| self.by_label.get(&(key.as_str(), value.as_str())))
            .flatten();
        let mut matches: Vec<_> = by_label
            .chain(&self.others)
            .filter(|entry| entry.weighted.selector.matches(&backend.labels))
            .copied()
            .collect();
        matches.sort_by_key(|entry| (entry.name, entry.service, entry.index));
        matches
    }

    fn entries(&self) -> impl Iterator<Item = &SelectorEntry<'a>> {
        self.by_label.values().flatten().chain(&self.others)
    }
}

/// Returns the backends of invalid services, which keep their previous backends.
fn memberships_of_invalid_services<'a>(
    context: &CompileContext<'a>,
    services: &[AdmittedService<'a>],
) -> HashMap<&'a ObjectUid, Membership> {
    let mut kept = HashMap::new();
    let Some(previous) = context.previous else {
        return kept;
    };
    let uids: HashMap<_, _> = previous.backends.iter().map(|b| (b.id, &b.uid)).collect();
    for service in services.iter().filter(|service| service.object.is_none()) {
        let former = service.previous.map_or(&[][..], |former| &former.backends);
        for share in former {
            let Some(uid) = uids.get(&share.backend) else {
                continue;
            };
            let membership = Membership {
                service: service.service.id,
                selector: None,
                weight: share.weight,
            };
            kept.insert(*uid, membership);
        }
    }
    kept
}

fn report_ambiguous_selection(
    object: &BackendObject,
    chosen: &[SelectorEntry<'_>],
    problems: &mut Vec<Problem>,
) {
    let Some(first) = chosen.first() else {
        return;
    };
    if let Some(other) = chosen.iter().find(|entry| entry.service != first.service) {
        problems.push(Problem::SelectedTwice {
            backend: object.name.clone(),
            service: first.name.to_owned(),
            other: other.name.to_owned(),
        });
    }
}

fn report_unmatched(
    index: &SelectorIndex<'_>,
    matched: &BTreeSet<(ServiceId, usize)>,
    problems: &mut Vec<Problem>,
) {
    let mut unmatched: Vec<_> = index
        .entries()
        .filter(|entry| !matched.contains(&(entry.service, entry.index)))
        .collect();
    unmatched.sort_by_key(|entry| (entry.name, entry.service, entry.index));
    problems.extend(unmatched.into_iter().map(|entry| Problem::NothingSelected {
        service: entry.name.to_owned(),
        index: entry.index,
    }));
}
