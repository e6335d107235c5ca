//! `describe`: all about one object.

use super::get::{part_of, selector_text};
use crate::arguments::{ObjectKind, Options};
use crate::failure::Failure;
use crate::output::Report;
use crate::session::Session;
use bellyoke_api::result_code::ResultCode;
use bellyoke_core::generation::Generation;
use bellyoke_kube::kinds::{Backend, Service};
use bellyoke_kube::store::OPERATION_ANNOTATION;
use kube::ResourceExt;

/// Width of the field names.
const NAME_WIDTH: usize = 20;

pub(super) async fn run(
    options: &Options,
    kind: ObjectKind,
    name: &str,
) -> Result<Report, Failure> {
    let session = Session::connect(options)?;
    let objects = session.objects().await?;
    let published = session.published().await?;
    let generation = published.as_ref().map(|published| &published.generation);
    match kind {
        ObjectKind::Service => {
            let service = objects
                .service(name)
                .ok_or_else(|| missing("service", name))?;
            Ok(Report::new(describe_service(service, generation), service))
        }
        ObjectKind::Backend => {
            let backend = objects
                .backend(name)
                .ok_or_else(|| missing("backend", name))?;
            Ok(Report::new(describe_backend(backend, generation), backend))
        }
    }
}

/// A service and its backends in the published generation.
#[must_use]
pub fn describe_service(service: &Service, generation: Option<&Generation>) -> String {
    let spec = &service.spec;
    let mut text = heading(service);
    field(&mut text, "address", &spec.address);
    field(&mut text, "port", &spec.port.to_string());
    field(&mut text, "protocol", &spec.protocol);
    field(&mut text, "placement", &spec.placement);
    field(&mut text, "refusal", &spec.refusal);
    field(
        &mut text,
        "idle timeout",
        &format!("{} s", spec.idle_timeout_seconds),
    );
    field(&mut text, "buckets", &spec.buckets.to_string());
    for selector in &spec.selectors {
        field(&mut text, "selector", &selector_text(selector));
    }
    let uid = service.uid().unwrap_or_default();
    let Some(generation) = generation else {
        field(&mut text, "in force", "no generation was published yet");
        return text;
    };
    let mut services = generation.services.iter();
    let Some(served) = services.find(|served| served.uid.0 == uid) else {
        field(
            &mut text,
            "in force",
            &format!("not in generation {}", generation.number),
        );
        return text;
    };
    field(
        &mut text,
        "in force",
        &format!("generation {}", generation.number),
    );
    for backend in &generation.backends {
        if backend.service != Some(served.id) {
            continue;
        }
        let targets = served.buckets.iter();
        let held = targets
            .filter(|bucket| bucket.target == Some(backend.id))
            .count();
        let share = format!("{} ({:?}, {held} buckets)", backend.name, backend.state);
        field(&mut text, "backend", &share.to_lowercase());
    }
    text
}

/// A backend and its part in the published generation.
#[must_use]
pub fn describe_backend(backend: &Backend, generation: Option<&Generation>) -> String {
    let spec = &backend.spec;
    let (state, service) = part_of(backend, generation);
    let mut text = heading(backend);
    field(&mut text, "tunnel", &spec.tunnel);
    field(&mut text, "zone", &spec.zone);
    field(&mut text, "weight", &spec.weight.to_string());
    field(&mut text, "drain", &spec.drain.to_string());
    for (key, value) in backend.labels() {
        field(&mut text, "label", &format!("{key}={value}"));
    }
    field(&mut text, "state", state);
    field(&mut text, "service", &service);
    text
}

fn heading<K: ResourceExt>(object: &K) -> String {
    let mut text = String::new();
    field(&mut text, "name", &object.name_any());
    field(&mut text, "uid", &object.uid().unwrap_or_default());
    let version = object.resource_version().unwrap_or_default();
    field(&mut text, "resource version", &version);
    if let Some(operation) = object.annotations().get(OPERATION_ANNOTATION) {
        field(&mut text, "last operation", operation);
    }
    text
}

fn field(text: &mut String, name: &str, value: &str) {
    let line = format!("{name:<NAME_WIDTH$}{value}");
    text.push_str(line.trim_end());
    text.push('\n');
}

fn missing(kind: &str, name: &str) -> Failure {
    let message = format!("there is no {kind} `{name}`");
    Failure::new(ResultCode::ObjectMissing, message)
}
