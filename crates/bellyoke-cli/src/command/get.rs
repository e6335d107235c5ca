//! `get`: lists of objects.

use crate::arguments::{Listing, Options};
use crate::failure::Failure;
use crate::output::{Report, Table};
use crate::session::{Published, Session};
use bellyoke_core::generation::{BackendState, Generation};
use bellyoke_kube::kinds::{Backend, Balancer, MatchExpression, SelectorSpec, Service};
use kube::ResourceExt;
use serde_json::json;

pub(super) async fn run(options: &Options, listing: Listing) -> Result<Report, Failure> {
    let session = Session::connect(options)?;
    match listing {
        Listing::Services => {
            let objects = session.objects().await?;
            let table = service_table(&objects.services);
            Ok(Report::new(table.to_string(), &objects.services))
        }
        Listing::Backends => {
            let objects = session.objects().await?;
            let published = session.published().await?;
            let generation = published.as_ref().map(|published| &published.generation);
            let table = backend_table(&objects.backends, generation);
            Ok(Report::new(table.to_string(), &objects.backends))
        }
        Listing::Balancers => {
            let balancers = session.balancers().await?;
            let table = balancer_table(&balancers);
            Ok(Report::new(table.to_string(), &balancers))
        }
        Listing::Generation => match session.published().await? {
            Some(published) => Ok(generation_report(&published)),
            None => Ok(Report::new(
                "no generation was published yet\n",
                &json!(null),
            )),
        },
    }
}

/// Services, one a row.
#[must_use]
pub fn service_table(services: &[Service]) -> Table {
    let mut table = Table::new(&[
        "NAME",
        "ADDRESS",
        "PROTOCOL",
        "PLACEMENT",
        "BUCKETS",
        "SELECTORS",
    ]);
    for service in services {
        let spec = &service.spec;
        let selectors: Vec<String> = spec.selectors.iter().map(selector_text).collect();
        table.push(vec![
            service.name_any(),
            format!("{} port {}", spec.address, spec.port),
            spec.protocol.clone(),
            spec.placement.clone(),
            spec.buckets.to_string(),
            selectors.join(" | "),
        ]);
    }
    table
}

/// A selector in the form that `--selector` takes, with its weight.
#[must_use]
pub fn selector_text(selector: &SelectorSpec) -> String {
    let labels = selector.match_labels.iter();
    let mut conditions: Vec<String> = labels
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    conditions.extend(selector.match_expressions.iter().map(expression_text));
    format!("{} (weight {})", conditions.join(","), selector.weight)
}

fn expression_text(expression: &MatchExpression) -> String {
    let key = &expression.key;
    let values = expression.values.join(",");
    match expression.operator.as_str() {
        "In" => format!("{key} in ({values})"),
        "NotIn" => format!("{key} notin ({values})"),
        "Exists" => key.clone(),
        "DoesNotExist" => format!("!{key}"),
        other => format!("{key} {other} ({values})"),
    }
}

/// Backends, one a row, with their part in the published generation.
#[must_use]
pub fn backend_table(backends: &[Backend], generation: Option<&Generation>) -> Table {
    let mut table = Table::new(&[
        "NAME", "TUNNEL", "ZONE", "WEIGHT", "STATE", "SERVICE", "LABELS",
    ]);
    for backend in backends {
        let (state, service) = part_of(backend, generation);
        let labels = backend.labels().iter();
        let labels: Vec<String> = labels
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        table.push(vec![
            backend.name_any(),
            backend.spec.tunnel.clone(),
            backend.spec.zone.clone(),
            backend.spec.weight.to_string(),
            state.to_owned(),
            service,
            labels.join(","),
        ]);
    }
    table
}

/// State and service of a backend in a generation.
pub(super) fn part_of(
    backend: &Backend,
    generation: Option<&Generation>,
) -> (&'static str, String) {
    let uid = backend.uid().unwrap_or_default();
    let found = generation.and_then(|generation| {
        let mut backends = generation.backends.iter();
        backends.find(|candidate| candidate.uid.0 == uid)
    });
    let Some(found) = found else {
        return ("unused", "-".to_owned());
    };
    let services = generation.map_or(&[][..], |generation| &generation.services);
    let service = services
        .iter()
        .find(|service| Some(service.id) == found.service);
    let name = service.map_or("-", |service| service.name.as_str());
    (state_name(found.state), name.to_owned())
}

fn state_name(state: BackendState) -> &'static str {
    match state {
        BackendState::Active => "active",
        BackendState::Draining => "draining",
        BackendState::Dead => "dead",
    }
}

/// The platform's machine list, one balancer a row.
#[must_use]
pub fn balancer_table(balancers: &[Balancer]) -> Table {
    let mut table = Table::new(&["NAME", "NODE", "ZONE", "DATA", "PEER", "LEAVING"]);
    for balancer in balancers {
        let spec = &balancer.spec;
        table.push(vec![
            balancer.name_any(),
            spec.node.clone(),
            spec.zone.clone(),
            spec.data_address.clone(),
            spec.peer_address.clone(),
            if spec.leaving { "yes" } else { "no" }.to_owned(),
        ]);
    }
    table
}

/// The published generation and its services.
#[must_use]
pub fn generation_report(published: &Published) -> Report {
    let generation = &published.generation;
    let digest = generation.digest();
    let heading = format!(
        "generation {}, digest {digest}\n{} bytes, {} members, {} backends\n",
        generation.number,
        published.stored.content.len(),
        generation.members.len(),
        generation.backends.len(),
    );
    let mut table = Table::new(&["SERVICE", "BACKENDS", "BUCKETS", "CONTESTED"]);
    let mut services = Vec::with_capacity(generation.services.len());
    for service in &generation.services {
        let buckets = service.buckets.iter();
        let contested = buckets.filter(|bucket| bucket.is_contested()).count();
        table.push(vec![
            service.name.clone(),
            service.backends.len().to_string(),
            service.buckets.len().to_string(),
            contested.to_string(),
        ]);
        services.push(json!({
            "name": service.name,
            "backends": service.backends.len(),
            "buckets": service.buckets.len(),
            "contestedBuckets": contested,
        }));
    }
    let value = json!({
        "number": generation.number,
        "digest": digest.to_string(),
        "members": generation.members.len(),
        "backends": generation.backends.len(),
        "services": services,
    });
    Report::new(format!("{heading}{table}"), &value)
}
