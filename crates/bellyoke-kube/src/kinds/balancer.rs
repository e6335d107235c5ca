//! The kind `Balancer`.

use kube::CustomResource;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A balancer process in the machine list, written by the process itself.
#[derive(CustomResource, Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[kube(group = "bellyoke.dev", version = "v1", kind = "Balancer", namespaced)]
#[serde(rename_all = "camelCase")]
pub struct BalancerSpec {
    /// Number of the process, decimal: JSON numbers don't hold 64 bits everywhere.
    pub node: String,
    /// `IP:PORT` that the fabric sends packets to.
    pub data_address: String,
    /// `IP:PORT` of the peer socket.
    pub peer_address: String,
    /// The zone it stands in.
    #[serde(default)]
    pub zone: String,
    /// Whether it leaves.
    #[serde(default)]
    pub leaving: bool,
}
