//! One conversion for each kind.

use crate::convert::field::{
    InvalidField, InvalidObject, choice, integer, ip_address, parse, power_of_two, socket_address,
};
use crate::kinds::{
    Backend, Balancer, BalancerSpec, GENERATION_NAME, Generation, GenerationSpec, MatchExpression,
    SelectorSpec, Service,
};
use crate::store::{
    BalancerRecord, GenerationDigest, OperationId, PublishRequest, ResourceVersion,
    StoredGeneration,
};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bellyoke_core::generation::{
    BackendObject, ObjectUid, Placement, RefusalStyle, Requirement, Selector, SelectorOperator,
    ServiceObject, WeightedSelector, Zone,
};
use bellyoke_core::identity::{GenerationNumber, NodeId};
use bellyoke_core::packet::Transport;
use kube::api::ObjectMeta;
use std::ops::RangeInclusive;

const PORTS: RangeInclusive<i64> = 1..=65_535;
const SELECTOR_WEIGHTS: RangeInclusive<i64> = 0..=1_000;
const BACKEND_WEIGHTS: RangeInclusive<i64> = 1..=1_000;
const IDLE_TIMEOUT_SECONDS: RangeInclusive<i64> = 1..=86_400;
const BUCKETS: RangeInclusive<i64> = 64..=65_536;
const TRANSPORTS: &[(&str, Transport)] = &[("TCP", Transport::Tcp), ("UDP", Transport::Udp)];
const PLACEMENTS: &[(&str, Placement)] = &[
    ("hashed", Placement::Hashed),
    ("least-loaded", Placement::LeastLoaded),
];
const REFUSALS: &[(&str, RefusalStyle)] =
    &[("http", RefusalStyle::Http), ("reset", RefusalStyle::Reset)];
const OPERATORS: &[(&str, SelectorOperator)] = &[
    ("In", SelectorOperator::In),
    ("NotIn", SelectorOperator::NotIn),
    ("Exists", SelectorOperator::Exists),
    ("DoesNotExist", SelectorOperator::DoesNotExist),
];

/// The plain form of a service.
///
/// # Errors
/// Names the first field that holds something else than it may.
pub fn service_object(service: &Service) -> Result<ServiceObject, InvalidObject> {
    let name = name(&service.metadata);
    service_fields(service).map_err(|error| error.of("Service", &name))
}

/// The plain form of a backend.
///
/// # Errors
/// Names the first field that holds something else than it may.
pub fn backend_object(backend: &Backend) -> Result<BackendObject, InvalidObject> {
    let name = name(&backend.metadata);
    backend_fields(backend).map_err(|error| error.of("Backend", &name))
}

/// The plain form of an entry of the machine list.
///
/// # Errors
/// Names the first field that holds something else than it may.
pub fn balancer_record(balancer: &Balancer) -> Result<BalancerRecord, InvalidObject> {
    let name = name(&balancer.metadata);
    balancer_fields(balancer).map_err(|error| error.of("Balancer", &name))
}

/// The plain form of the stored generation.
///
/// # Errors
/// Names the first field that holds something else than it may.
pub fn stored_generation(generation: &Generation) -> Result<StoredGeneration, InvalidObject> {
    let name = name(&generation.metadata);
    generation_fields(generation).map_err(|error| error.of("Generation", &name))
}

/// The object that a publication writes.
#[must_use]
pub fn generation_object(request: &PublishRequest) -> Generation {
    let spec = GenerationSpec {
        number: request.number.0,
        digest: encode_hex(&request.digest.0),
        operation_id: request.operation.0.clone(),
        content: STANDARD.encode(&request.content),
    };
    let mut generation = Generation::new(GENERATION_NAME, spec);
    generation.metadata.resource_version =
        request.previous.as_ref().map(|version| version.0.clone());
    generation
}

/// Name of a balancer's entry in the machine list.
#[must_use]
pub fn balancer_name(node: NodeId) -> String {
    format!("balancer-{:016x}", node.0)
}

/// The entry of a balancer in the machine list.
#[must_use]
pub fn balancer_object(record: &BalancerRecord) -> Balancer {
    let spec = BalancerSpec {
        node: record.node.to_string(),
        data_address: record.data_address.to_string(),
        peer_address: record.peer_address.to_string(),
        zone: record.zone.0.clone(),
        leaving: record.leaving,
    };
    Balancer::new(&balancer_name(record.node), spec)
}

fn service_fields(service: &Service) -> Result<ServiceObject, InvalidField> {
    let spec = &service.spec;
    Ok(ServiceObject {
        uid: uid(&service.metadata)?,
        name: name(&service.metadata),
        address: ip_address("spec.address", &spec.address)?,
        port: integer("spec.port", spec.port, PORTS)?,
        transport: choice("spec.protocol", &spec.protocol, TRANSPORTS)?,
        selectors: selectors(&spec.selectors)?,
        placement: choice("spec.placement", &spec.placement, PLACEMENTS)?,
        refusal: choice("spec.refusal", &spec.refusal, REFUSALS)?,
        idle_timeout_seconds: integer(
            "spec.idleTimeoutSeconds",
            spec.idle_timeout_seconds,
            IDLE_TIMEOUT_SECONDS,
        )?,
        buckets: power_of_two("spec.buckets", spec.buckets, BUCKETS)?,
    })
}

fn selectors(specs: &[SelectorSpec]) -> Result<Vec<WeightedSelector>, InvalidField> {
    let numbered = specs.iter().enumerate();
    numbered
        .map(|(index, spec)| selector(&format!("spec.selectors[{index}]"), spec))
        .collect()
}

fn selector(field: &str, spec: &SelectorSpec) -> Result<WeightedSelector, InvalidField> {
    let numbered = spec.match_expressions.iter().enumerate();
    let match_expressions: Result<Vec<Requirement>, InvalidField> = numbered
        .map(|(index, expression)| {
            requirement(&format!("{field}.matchExpressions[{index}]"), expression)
        })
        .collect();
    Ok(WeightedSelector {
        selector: Selector {
            match_labels: spec.match_labels.clone(),
            match_expressions: match_expressions?,
        },
        weight: integer(&format!("{field}.weight"), spec.weight, SELECTOR_WEIGHTS)?,
    })
}

/// Kubernetes label selectors: `In` and `NotIn` need values, the others may have none.
fn requirement(field: &str, expression: &MatchExpression) -> Result<Requirement, InvalidField> {
    let operator = choice(
        &format!("{field}.operator"),
        &expression.operator,
        OPERATORS,
    )?;
    if expression.key.is_empty() {
        let allowed = "the name of a label";
        return Err(InvalidField::new(format!("{field}.key"), "", allowed));
    }
    let needs_values = matches!(operator, SelectorOperator::In | SelectorOperator::NotIn);
    if needs_values == expression.values.is_empty() {
        let allowed = if needs_values {
            "at least one value"
        } else {
            "empty, as the operator compares with no value"
        };
        let value = expression.values.join(",");
        return Err(InvalidField::new(format!("{field}.values"), value, allowed));
    }
    Ok(Requirement {
        key: expression.key.clone(),
        operator,
        values: expression.values.clone(),
    })
}

fn backend_fields(backend: &Backend) -> Result<BackendObject, InvalidField> {
    let spec = &backend.spec;
    Ok(BackendObject {
        uid: uid(&backend.metadata)?,
        name: name(&backend.metadata),
        labels: backend.metadata.labels.clone().unwrap_or_default(),
        tunnel: socket_address("spec.tunnel", &spec.tunnel)?,
        zone: Zone(spec.zone.clone()),
        weight: integer("spec.weight", spec.weight, BACKEND_WEIGHTS)?,
        drain: spec.drain,
    })
}

fn balancer_fields(balancer: &Balancer) -> Result<BalancerRecord, InvalidField> {
    let spec = &balancer.spec;
    Ok(BalancerRecord {
        node: NodeId(parse(
            "spec.node",
            &spec.node,
            "a decimal number of 64 bits",
        )?),
        data_address: socket_address("spec.dataAddress", &spec.data_address)?,
        peer_address: socket_address("spec.peerAddress", &spec.peer_address)?,
        zone: Zone(spec.zone.clone()),
        leaving: spec.leaving,
    })
}

fn generation_fields(generation: &Generation) -> Result<StoredGeneration, InvalidField> {
    let spec = &generation.spec;
    let version = generation.metadata.resource_version.clone();
    let content = STANDARD.decode(&spec.content).map_err(|error| {
        InvalidField::new("spec.content", error, "base64 (RFC 4648, section 4)")
    })?;
    Ok(StoredGeneration {
        number: GenerationNumber(spec.number),
        digest: GenerationDigest(decode_hex("spec.digest", &spec.digest)?),
        operation: OperationId(spec.operation_id.clone()),
        content,
        resource_version: ResourceVersion(version.unwrap_or_default()),
    })
}

fn name(metadata: &ObjectMeta) -> String {
    metadata.name.clone().unwrap_or_default()
}

fn uid(metadata: &ObjectMeta) -> Result<ObjectUid, InvalidField> {
    let uid = metadata.uid.clone().filter(|uid| !uid.is_empty());
    uid.map(ObjectUid)
        .ok_or_else(|| InvalidField::new("metadata.uid", "", "the UID that the store gives"))
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(field: &str, text: &str) -> Result<[u8; 32], InvalidField> {
    let error = || InvalidField::new(field, text, "64 hexadecimal digits");
    let mut bytes = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return Err(error());
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[index * 2..index * 2 + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
    }
    Ok(bytes)
}
