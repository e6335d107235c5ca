//! The kind `Service`.

use kube::CustomResource;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A service that callers reach at one address and port.
#[derive(CustomResource, Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[kube(group = "bellyoke.dev", version = "v1", kind = "Service", namespaced)]
#[serde(rename_all = "camelCase")]
pub struct ServiceSpec {
    /// IP address that callers use.
    pub address: String,
    /// Port that callers use; 1 to 65535.
    pub port: i64,
    /// `TCP` or `UDP`.
    pub protocol: String,
    /// Which backends serve it. A backend that several match counts for the first.
    #[serde(default)]
    pub selectors: Vec<SelectorSpec>,
    /// `hashed` or `least-loaded`.
    #[serde(default = "default_placement")]
    pub placement: String,
    /// What a refused caller is told: `http` (a 503) or `reset`.
    #[serde(default = "default_refusal")]
    pub refusal: String,
    /// Idle time after which a flow is forgotten, seconds; 1 to 86400.
    #[serde(default = "default_idle_timeout_seconds")]
    pub idle_timeout_seconds: i64,
    /// Size of the lookup table; a power of two, 64 to 65536.
    #[serde(default = "default_buckets")]
    pub buckets: i64,
}

/// A label selector and the share of new flows that its backends take together.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct SelectorSpec {
    /// Labels that must have just these values.
    #[serde(default)]
    pub match_labels: BTreeMap<String, String>,
    /// Further conditions.
    #[serde(default)]
    pub match_expressions: Vec<MatchExpression>,
    /// Share of the service's new flows, relative to its other selectors; 0 to 1000.
    #[serde(default = "default_selector_weight")]
    pub weight: i64,
}

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
pub struct MatchExpression {
    /// Name of the label.
    pub key: String,
    /// `In`, `NotIn`, `Exists` or `DoesNotExist`.
    pub operator: String,
    /// The values it is compared with.
    #[serde(default)]
    pub values: Vec<String>,
}

fn default_placement() -> String {
    "hashed".to_owned()
}

fn default_refusal() -> String {
    "http".to_owned()
}

const fn default_idle_timeout_seconds() -> i64 {
    300
}

const fn default_buckets() -> i64 {
    1024
}

const fn default_selector_weight() -> i64 {
    100
}
