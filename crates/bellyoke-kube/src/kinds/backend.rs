//! The kind `Backend`.

use kube::CustomResource;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A machine that serves; its labels decide what.
#[derive(CustomResource, Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[kube(group = "bellyoke.dev", version = "v1", kind = "Backend", namespaced)]
#[serde(rename_all = "camelCase")]
pub struct BackendSpec {
    /// `IP:PORT` that encapsulated packets are sent to by UDP.
    pub tunnel: String,
    /// The zone it stands in.
    #[serde(default)]
    pub zone: String,
    /// Relative capacity; 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: i64,
    /// True once it shall get no new flow.
    #[serde(default)]
    pub drain: bool,
}

const fn default_weight() -> i64 {
    100
}
