//! From commands to changes of objects.

use crate::arguments::{LabelChange, ObjectKind};
use crate::documents::Document;
use crate::failure::Failure;
use crate::objects::{Change, ObjectSet};
use bellyoke_api::result_code::ResultCode;
use bellyoke_core::generation::{
    Labels, Requirement, SelectorOperator, WeightedSelector, validate_labels,
};
use bellyoke_kube::kinds::{Backend, MatchExpression, SelectorSpec, Service};
use kube::ResourceExt;

/// Changes labels of a backend.
///
/// # Errors
/// When there is no such backend or a label is malformed.
pub fn label(
    objects: &ObjectSet,
    name: &str,
    labels: &[LabelChange],
) -> Result<Vec<Change>, Failure> {
    let mut backend = existing_backend(objects, name)?;
    for change in labels {
        apply_label(backend.labels_mut(), change);
    }
    validate_labels(backend.labels())
        .map_err(|error| Failure::new(ResultCode::ObjectInvalid, error.to_string()))?;
    Ok(vec![Change::PutBackend(Box::new(backend))])
}

/// Replaces the selectors of a service.
///
/// # Errors
/// When there is no such service.
pub fn select(
    objects: &ObjectSet,
    name: &str,
    selectors: &[WeightedSelector],
) -> Result<Vec<Change>, Failure> {
    let mut service = existing_service(objects, name)?;
    service.spec.selectors = selectors.iter().map(selector_spec).collect();
    Ok(vec![Change::PutService(Box::new(service))])
}

/// Lets a backend drain, or take new flows again.
///
/// # Errors
/// When there is no such backend.
pub fn set_drain(objects: &ObjectSet, name: &str, drain: bool) -> Result<Vec<Change>, Failure> {
    let mut backend = existing_backend(objects, name)?;
    backend.spec.drain = drain;
    Ok(vec![Change::PutBackend(Box::new(backend))])
}

/// Deletes an object.
///
/// # Errors
/// When there is none of this name.
pub fn delete(objects: &ObjectSet, kind: ObjectKind, name: &str) -> Result<Vec<Change>, Failure> {
    let change = match kind {
        ObjectKind::Service => Change::DeleteService(Box::new(existing_service(objects, name)?)),
        ObjectKind::Backend => Change::DeleteBackend(Box::new(existing_backend(objects, name)?)),
    };
    Ok(vec![change])
}

/// Creates or changes the objects of a file: backends first, so that a new service isn't
/// without them for a moment. Objects that are already so aren't written.
#[must_use]
pub fn apply(objects: &ObjectSet, documents: Vec<Document>) -> Vec<Change> {
    let mut services = Vec::new();
    let mut backends = Vec::new();
    for document in documents {
        match document {
            Document::Service(service) => services.extend(apply_service(objects, *service)),
            Document::Backend(backend) => backends.extend(apply_backend(objects, *backend)),
        }
    }
    backends.extend(services);
    backends
}

fn apply_service(objects: &ObjectSet, wanted: Service) -> Option<Change> {
    let Some(found) = objects.service(&wanted.name_any()) else {
        return Some(Change::PutService(Box::new(wanted)));
    };
    let mut service = found.clone();
    service.spec = wanted.spec.clone();
    merge_metadata(&mut service, &wanted);
    let is_change = service.spec != found.spec || service.labels() != found.labels();
    is_change.then(|| Change::PutService(Box::new(service)))
}

fn apply_backend(objects: &ObjectSet, wanted: Backend) -> Option<Change> {
    let Some(found) = objects.backend(&wanted.name_any()) else {
        return Some(Change::PutBackend(Box::new(wanted)));
    };
    let mut backend = found.clone();
    backend.spec = wanted.spec.clone();
    merge_metadata(&mut backend, &wanted);
    let is_change = backend.spec != found.spec || backend.labels() != found.labels();
    is_change.then(|| Change::PutBackend(Box::new(backend)))
}

/// Labels are those of the file. A version in the file is the condition of the write.
fn merge_metadata<K: ResourceExt>(object: &mut K, wanted: &K) {
    object.labels_mut().clone_from(wanted.labels());
    if let Some(version) = wanted.resource_version() {
        object.meta_mut().resource_version = Some(version);
    }
}

fn existing_backend(objects: &ObjectSet, name: &str) -> Result<Backend, Failure> {
    let found = objects.backend(name).cloned();
    found.ok_or_else(|| missing(format!("there is no backend `{name}`")))
}

fn existing_service(objects: &ObjectSet, name: &str) -> Result<Service, Failure> {
    let found = objects.service(name).cloned();
    found.ok_or_else(|| missing(format!("there is no service `{name}`")))
}

fn missing(message: String) -> Failure {
    Failure::new(ResultCode::ObjectMissing, message)
}

fn apply_label(labels: &mut Labels, change: &LabelChange) {
    match change {
        LabelChange::Set { key, value } => {
            labels.insert(key.clone(), value.clone());
        }
        LabelChange::Remove { key } => {
            labels.remove(key);
        }
    }
}

fn selector_spec(weighted: &WeightedSelector) -> SelectorSpec {
    let expressions = weighted.selector.match_expressions.iter();
    SelectorSpec {
        match_labels: weighted.selector.match_labels.clone(),
        match_expressions: expressions.map(match_expression).collect(),
        weight: i64::from(weighted.weight),
    }
}

fn match_expression(requirement: &Requirement) -> MatchExpression {
    let operator = match requirement.operator {
        SelectorOperator::In => "In",
        SelectorOperator::NotIn => "NotIn",
        SelectorOperator::Exists => "Exists",
        SelectorOperator::DoesNotExist => "DoesNotExist",
    };
    MatchExpression {
        key: requirement.key.clone(),
        operator: operator.to_owned(),
        values: requirement.values.clone(),
    }
}
