//! From the store's objects to plain types, and the errors that name wrong fields.

use bellyoke_core::generation::{Placement, RefusalStyle, SelectorOperator, Zone};
use bellyoke_core::identity::{GenerationNumber, NodeId};
use bellyoke_core::packet::Transport;
use bellyoke_kube::convert::{
    backend_object, balancer_object, balancer_record, generation_object, parse_object,
    service_object, stored_generation,
};
use bellyoke_kube::kinds::{Backend, Service};
use bellyoke_kube::store::{
    BalancerRecord, GenerationDigest, OperationId, PublishRequest, ResourceVersion,
};
use kube::api::DynamicObject;
use serde_json::{Value, json};

fn object(kind: &str, spec: Value) -> DynamicObject {
    serde_json::from_value(json!({
        "apiVersion": "bellyoke.dev/v1",
        "kind": kind,
        "metadata": { "name": "x", "uid": "u-1", "labels": { "app": "shop" } },
        "spec": spec,
    }))
    .unwrap()
}

fn service_spec() -> Value {
    json!({ "address": "198.51.100.1", "port": 443, "protocol": "TCP" })
}

fn service_error(field: &str, value: Value) -> String {
    let mut spec = service_spec();
    spec[field] = value;
    let service = parse_object::<Service>(object("Service", spec));
    let result = service.and_then(|service| service_object(&service));
    result.unwrap_err().to_string()
}

fn backend_error(spec: Value) -> String {
    let backend = parse_object::<Backend>(object("Backend", spec));
    let result = backend.and_then(|backend| backend_object(&backend));
    result.unwrap_err().to_string()
}

#[test]
fn a_service_has_defaults() {
    let service = parse_object(object("Service", service_spec())).unwrap();
    let service = service_object(&service).unwrap();
    assert_eq!(service.uid.0, "u-1");
    assert_eq!(service.transport, Transport::Tcp);
    assert_eq!(service.placement, Placement::Hashed);
    assert_eq!(service.refusal, RefusalStyle::Http);
    assert_eq!(service.idle_timeout_seconds, 300);
    assert_eq!(service.buckets, 1024);
}

#[test]
fn a_service_is_read_whole() {
    let spec = json!({
        "address": "2001:db8::1", "port": 53, "protocol": "UDP",
        "selectors": [{
            "matchLabels": { "app": "shop" },
            "matchExpressions": [{ "key": "tier", "operator": "NotIn", "values": ["test"] }],
            "weight": 0,
        }],
        "placement": "least-loaded", "refusal": "reset",
        "idleTimeoutSeconds": 86400, "buckets": 65536,
    });
    let service = parse_object(object("Service", spec)).unwrap();
    let service = service_object(&service).unwrap();
    assert_eq!(service.transport, Transport::Udp);
    assert_eq!(service.placement, Placement::LeastLoaded);
    assert_eq!(service.refusal, RefusalStyle::Reset);
    let selector = &service.selectors[0];
    assert_eq!(selector.weight, 0);
    assert_eq!(selector.selector.match_labels["app"], "shop");
    let expression = &selector.selector.match_expressions[0];
    assert_eq!(expression.operator, SelectorOperator::NotIn);
}

#[test]
fn errors_name_the_field_the_value_and_what_is_allowed() {
    let cases = [
        (
            "address",
            json!("shop.example"),
            "spec.address: \"shop.example\" is not an IP address (host names are not allowed)",
        ),
        (
            "port",
            json!(0),
            "spec.port: \"0\" is not a number from 1 to 65535",
        ),
        (
            "port",
            json!(65_536),
            "spec.port: \"65536\" is not a number from 1 to 65535",
        ),
        (
            "protocol",
            json!("SCTP"),
            "spec.protocol: \"SCTP\" is not one of TCP, UDP",
        ),
        (
            "placement",
            json!("random"),
            "spec.placement: \"random\" is not one of hashed, least-loaded",
        ),
        (
            "refusal",
            json!(""),
            "spec.refusal: \"\" is not one of http, reset",
        ),
        (
            "idleTimeoutSeconds",
            json!(86_401),
            "spec.idleTimeoutSeconds: \"86401\" is not a number from 1 to 86400",
        ),
        (
            "buckets",
            json!(100),
            "spec.buckets: \"100\" is not a power of two from 64 to 65536",
        ),
        (
            "buckets",
            json!(32),
            "spec.buckets: \"32\" is not a power of two from 64 to 65536",
        ),
        (
            "selectors",
            json!([{ "weight": 1001 }]),
            "spec.selectors[0].weight: \"1001\" is not a number from 0 to 1000",
        ),
        (
            "selectors",
            json!([{ "matchExpressions": [{ "key": "a", "operator": "Like" }] }]),
            "spec.selectors[0].matchExpressions[0].operator: \"Like\" is not one of In, NotIn, Exists, DoesNotExist",
        ),
        (
            "selectors",
            json!([{ "matchExpressions": [{ "key": "a", "operator": "In" }] }]),
            "spec.selectors[0].matchExpressions[0].values: \"\" is not at least one value",
        ),
    ];
    for (field, value, expected) in cases {
        assert_eq!(
            service_error(field, value),
            format!("Service \"x\": {expected}")
        );
    }
    assert_eq!(
        backend_error(json!({ "tunnel": "shop.example:80" })),
        "Backend \"x\": spec.tunnel: \"shop.example:80\" is not IP:PORT with a port from 1 to 65535 \
         (host names are not allowed)"
    );
    assert_eq!(
        backend_error(json!({ "tunnel": "192.0.2.1:80", "weight": 0 })),
        "Backend \"x\": spec.weight: \"0\" is not a number from 1 to 1000"
    );
}

#[test]
fn a_specification_of_another_shape_is_an_error_of_that_object() {
    let message = service_error("port", json!("https"));
    assert!(message.starts_with("Service \"x\": spec: "), "{message}");
    assert!(backend_error(Value::Null).starts_with("Backend \"x\": spec: "));
}

#[test]
fn an_entry_of_the_machine_list_survives_the_way_there_and_back() {
    let record = BalancerRecord {
        node: NodeId(u64::MAX),
        data_address: "192.0.2.1:6000".parse().unwrap(),
        peer_address: "[2001:db8::2]:6001".parse().unwrap(),
        zone: Zone("zone-a".to_owned()),
        leaving: true,
    };
    let object = balancer_object(&record);
    assert_eq!(
        object.metadata.name.as_deref(),
        Some("balancer-ffffffffffffffff")
    );
    assert_eq!(balancer_record(&object).unwrap(), record);
}

#[test]
fn a_generation_survives_the_way_there_and_back() {
    let request = PublishRequest {
        previous: Some(ResourceVersion("41".to_owned())),
        number: GenerationNumber(7),
        digest: GenerationDigest([0xab; 32]),
        content: vec![0, 255, 1],
        operation: OperationId("op-1".to_owned()),
    };
    let object = generation_object(&request);
    let stored = stored_generation(&object).unwrap();
    assert_eq!(stored.number, request.number);
    assert_eq!(stored.digest, request.digest);
    assert_eq!(stored.content, request.content);
    assert_eq!(stored.operation, request.operation);
    assert_eq!(stored.resource_version, ResourceVersion("41".to_owned()));
    let mut wrong = object;
    wrong.spec.digest = "zz".repeat(32);
    let message = stored_generation(&wrong).unwrap_err().to_string();
    assert!(message.contains("spec.digest"), "{message}");
}
