//! Objects that operators store in the platform's store.

use crate::generation::types::{Placement, RefusalStyle, Zone};
use crate::identity::NodeId;
use crate::packet::Transport;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Labels of an object.
pub type Labels = BTreeMap<String, String>;

/// UID that the platform assigned to an object. A recreated object of the same name has another
/// UID.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct ObjectUid(pub String);

/// Resource versions up to which the objects of each kind were read.
///
/// Resource versions of one store are compared as integers (Kubernetes API conventions).
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct StoreRevision {
    /// Resource version up to which services were read.
    pub services: u64,
    /// Resource version up to which backends were read.
    pub backends: u64,
}

/// Operator of a requirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum SelectorOperator {
    /// The label has one of the values.
    In,
    /// The label is missing or has none of the values.
    NotIn,
    /// The label is present.
    Exists,
    /// The label is missing.
    DoesNotExist,
}

/// A condition on a label (Kubernetes `matchExpressions`).
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Requirement {
    /// Name of the label.
    pub key: String,
    /// How the value of the label is compared.
    pub operator: SelectorOperator,
    /// The values to compare with.
    #[serde(default)]
    pub values: Vec<String>,
}

/// A label selector, which matches if all conditions hold (Kubernetes label selectors).
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Selector {
    /// Labels that must have exactly these values.
    pub match_labels: Labels,
    /// Further conditions.
    pub match_expressions: Vec<Requirement>,
}

/// A selector and the share of new flows that its backends receive together.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WeightedSelector {
    /// Selector of the backends.
    #[serde(flatten)]
    pub selector: Selector,
    /// Share of the new flows of the service, relative to its other selectors, from 0 to 1000.
    pub weight: u32,
}

/// A service as configured by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceObject {
    /// UID of the object.
    pub uid: ObjectUid,
    /// Name of the object.
    pub name: String,
    /// Address that callers use.
    pub address: IpAddr,
    /// Port that callers use.
    pub port: u16,
    /// Transport protocol.
    pub transport: Transport,
    /// Selectors of the backends. A backend that several selectors match is assigned to the
    /// first.
    pub selectors: Vec<WeightedSelector>,
    /// How its new flows are placed.
    pub placement: Placement,
    /// How a refused caller is answered.
    pub refusal: RefusalStyle,
    /// Idle time after which a flow is removed, in seconds.
    pub idle_timeout_seconds: u32,
    /// Number of buckets in the lookup table.
    pub buckets: u32,
}

/// A backend as configured by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendObject {
    /// UID of the object.
    pub uid: ObjectUid,
    /// Name of the object.
    pub name: String,
    /// Labels of the object.
    pub labels: Labels,
    /// UDP address that encapsulated packets are sent to.
    pub tunnel: SocketAddr,
    /// Zone that it is located in.
    pub zone: Zone,
    /// Relative capacity, from 1 to 1000.
    pub weight: u32,
    /// Whether the backend is drained: it receives no new flows.
    pub drain: bool,
}

/// A balancer that is a member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberObject {
    /// Identifier of the process.
    pub node: NodeId,
    /// Zone that it is located in.
    pub zone: Zone,
    /// UDP address of its peer socket.
    pub peer_address: SocketAddr,
}
