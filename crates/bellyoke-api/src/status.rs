//! Types of the operator API, `GET /v1/status`, as JSON.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of a member as a node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer lately.
    Suspected,
    /// It is taken for dead.
    Failed,
    /// It announced that it leaves.
    Leaving,
}

/// A member as a node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its node number.
    pub node: u64,
    /// The zone it stands in.
    pub zone: String,
    /// Its peer socket.
    pub peer_address: String,
    /// Its state.
    pub state: MemberState,
    /// The newest generation it is known to have acknowledged.
    pub acknowledged: u64,
}

/// A backend as a node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Its object's name.
    pub name: String,
    /// The service that it serves or drains from.
    pub service: Option<String>,
    /// `active`, `draining` or `dead`.
    pub state: String,
    /// Flows that this node holds on it.
    pub flows: u64,
}

/// A service as a node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its object's name.
    pub name: String,
    /// Buckets of its table.
    pub buckets: u64,
    /// Buckets whose mapping moved while flows may live on the former backend.
    pub contested_buckets: u64,
    /// Backends that take new flows.
    pub active_backends: u64,
    /// Backends that only keep their flows.
    pub draining_backends: u64,
}

/// What a node knows of itself and its cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its node number.
    pub node: u64,
    /// The zone it stands in.
    pub zone: String,
    /// The generation it forwards by.
    pub generation: u64,
    /// The newest generation it has acknowledged.
    pub acknowledged: u64,
    /// The newest generation whose barrier has passed.
    pub barrier: u64,
    /// Resource versions of the store that the generation was read from.
    pub services_revision: u64,
    /// See `services_revision`.
    pub backends_revision: u64,
    /// Whether it may open flows.
    pub lease_valid: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Members of the generation.
    pub members: Vec<MemberStatus>,
    /// Services of the generation.
    pub services: Vec<ServiceStatus>,
    /// Backends of the generation.
    pub backends: Vec<BackendStatus>,
    /// Control bytes sent in the last second.
    pub control_bytes_per_second: u64,
    /// Limit of the control budget, bytes a second.
    pub control_budget_bytes_per_second: u64,
    /// Counters by their metric name.
    pub counters: BTreeMap<String, u64>,
}
