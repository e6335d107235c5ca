//! What a change of objects would do, before it is written.

use bellyoke_core::generation::ClusterParameters;
use bellyoke_core::generation::{
    Backend, BackendState, Compilation, CompileError, DesiredState, Generation, MemberObject,
    Problem, Service, compile,
};
use bellyoke_core::identity::{BackendId, ServiceId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Parameters to plan with when no balancer has published a generation yet. They don't
/// change what a plan shows.
const UNFOUNDED: ClusterParameters = ClusterParameters {
    flow_hash_seed: 0,
    groups: 1,
};

/// What a change does to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ServicePlan {
    /// The service.
    pub name: String,
    /// Backends that start to take its new flows.
    pub enter: Vec<String>,
    /// Backends that take no new flow of it any more and keep those they have.
    pub drain: Vec<String>,
    /// Backends whose flows of it are cut: their objects are deleted.
    pub cut: Vec<String>,
    /// Backends that join it once their flows in another service have ended.
    pub wait: Vec<String>,
    /// Buckets whose new flows go to another backend.
    pub moved_buckets: usize,
    /// Buckets of its table.
    pub buckets: usize,
}

impl ServicePlan {
    /// Share of the service's new flows that go to another backend, per cent.
    #[must_use]
    pub fn moved_percent(&self) -> f64 {
        if self.buckets == 0 {
            return 0.0;
        }
        100.0 * self.moved_buckets as f64 / self.buckets as f64
    }

    fn is_change(&self) -> bool {
        let lists = [&self.enter, &self.drain, &self.cut, &self.wait];
        self.moved_buckets > 0 || lists.iter().any(|list| !list.is_empty())
    }
}

/// What a change of objects does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangePlan {
    /// Services that change, by name.
    pub services: Vec<ServicePlan>,
    /// Problems that the change causes.
    pub new_problems: Vec<Problem>,
}

/// Plans the change from the objects `before` to `after`, starting at `published`.
///
/// # Errors
/// When the objects are older than the published generation.
pub fn plan_change(
    published: Option<&Generation>,
    before: &DesiredState,
    after: &DesiredState,
) -> Result<ChangePlan, CompileError> {
    let current = compile_next(published, before)?;
    let next = compile_next(Some(&current.generation), after)?;
    let known: BTreeSet<String> = current.problems.iter().map(Problem::to_string).collect();
    let is_new = |problem: &&Problem| !known.contains(&problem.to_string()) && !is_listed(problem);
    Ok(ChangePlan {
        services: service_plans(&current.generation, &next),
        new_problems: next.problems.iter().filter(is_new).cloned().collect(),
    })
}

/// Whether a problem only says what the list of draining backends says.
fn is_listed(problem: &Problem) -> bool {
    matches!(problem, Problem::StillDraining { to: None, .. })
}

fn compile_next(
    previous: Option<&Generation>,
    desired: &DesiredState,
) -> Result<Compilation, CompileError> {
    let members = previous.map_or(&[][..], |generation| &generation.members);
    let members: Vec<MemberObject> = members
        .iter()
        .map(|member| MemberObject {
            node: member.node,
            zone: member.zone.clone(),
            peer_address: member.peer_address,
        })
        .collect();
    let parameters = previous.map_or(UNFOUNDED, |generation| generation.parameters);
    compile(previous, desired, &members, &[], parameters)
}

/// Backends of a service by what may happen to them.
struct Members<'a> {
    by_service: BTreeMap<ServiceId, Vec<&'a Backend>>,
}

impl<'a> Members<'a> {
    fn new(generation: &'a Generation) -> Self {
        let mut by_service = BTreeMap::<ServiceId, Vec<&Backend>>::new();
        for backend in &generation.backends {
            if let Some(service) = backend.service {
                by_service.entry(service).or_default().push(backend);
            }
        }
        Self { by_service }
    }

    fn in_state(&self, service: ServiceId, state: BackendState) -> BTreeMap<BackendId, &'a str> {
        let members = self.by_service.get(&service).into_iter().flatten();
        members
            .filter(|backend| backend.state == state)
            .map(|backend| (backend.id, backend.name.as_str()))
            .collect()
    }
}

fn service_plans(current: &Generation, next: &Compilation) -> Vec<ServicePlan> {
    let former: BTreeMap<ServiceId, &Service> = by_id(current);
    let latter: BTreeMap<ServiceId, &Service> = by_id(&next.generation);
    let before = Members::new(current);
    let after = Members::new(&next.generation);
    let ids: BTreeSet<ServiceId> = former.keys().chain(latter.keys()).copied().collect();
    let mut plans = Vec::with_capacity(ids.len());
    for id in ids {
        let old = former.get(&id).copied();
        let new = latter.get(&id).copied();
        let Some(service) = new.or(old) else {
            continue;
        };
        let was_active = before.in_state(id, BackendState::Active);
        let is_active = after.in_state(id, BackendState::Active);
        let is_draining = after.in_state(id, BackendState::Draining);
        let remains = |backend: &BackendId| {
            is_active.contains_key(backend) || is_draining.contains_key(backend)
        };
        let lists = before.in_state(id, BackendState::Draining);
        let had = was_active.iter().chain(&lists);
        let cut = had.filter(|(backend, _)| new.is_none() || !remains(backend));
        plans.push(ServicePlan {
            name: service.name.clone(),
            enter: names_without(&is_active, &was_active),
            drain: names_within(&is_draining, &was_active, new.is_some()),
            cut: sorted(cut.map(|(_, name)| (*name).to_owned())),
            wait: waiting_for(&service.name, &next.problems),
            moved_buckets: moved_buckets(old, new),
            buckets: service.buckets.len(),
        });
    }
    plans.retain(ServicePlan::is_change);
    plans.sort_by(|left, right| left.name.cmp(&right.name));
    plans
}

fn by_id(generation: &Generation) -> BTreeMap<ServiceId, &Service> {
    let services = generation.services.iter();
    services.map(|service| (service.id, service)).collect()
}

fn names_without(
    members: &BTreeMap<BackendId, &str>,
    excluded: &BTreeMap<BackendId, &str>,
) -> Vec<String> {
    let kept = members.iter().filter(|(id, _)| !excluded.contains_key(id));
    sorted(kept.map(|(_, name)| (*name).to_owned()))
}

fn names_within(
    members: &BTreeMap<BackendId, &str>,
    included: &BTreeMap<BackendId, &str>,
    is_served: bool,
) -> Vec<String> {
    let kept = members.iter().filter(|(id, _)| included.contains_key(id));
    sorted(
        kept.filter(|_| is_served)
            .map(|(_, name)| (*name).to_owned()),
    )
}

fn waiting_for(service: &str, problems: &[Problem]) -> Vec<String> {
    let waiting = problems.iter().filter_map(|problem| match problem {
        Problem::StillDraining { backend, to, .. } if to.as_deref() == Some(service) => {
            Some(backend.clone())
        }
        _ => None,
    });
    sorted(waiting)
}

fn sorted(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut names: Vec<String> = names.collect();
    names.sort();
    names
}

fn moved_buckets(old: Option<&Service>, new: Option<&Service>) -> usize {
    let (Some(old), Some(new)) = (old, new) else {
        return new.or(old).map_or(0, |service| service.buckets.len());
    };
    let pairs = old.buckets.iter().zip(&new.buckets);
    pairs.filter(|(old, new)| old.target != new.target).count()
}

/// Whether `published` holds all of `desired` that can be in force now.
#[must_use]
pub fn is_published(published: &Generation, desired: &DesiredState) -> bool {
    compile_next(Some(published), desired).is_ok_and(|compilation| !compilation.changed)
}
