//! Content of a generation, on which all nodes agree.

use crate::generation::forwarding::ServiceEndpoint;
use crate::generation::objects::{ObjectUid, StoreRevision};
use crate::identity::{BackendId, BucketIndex, GenerationNumber, NodeId, ServiceId};
use crate::packet::Transport;
use rkyv::{Archive, Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// Name of a zone, a group of machines that may fail together.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Zone(pub String);

/// How new flows of a service are assigned to backends.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// By lookup table, without messages or shared state per flow.
    #[default]
    Hashed,
    /// By the owner of the bucket, on the backend with the least load. All buckets of such a
    /// service are always contested.
    LeastLoaded,
}

/// How the caller of a refused flow is answered.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalStyle {
    /// HTTP 503 with `Retry-After` (RFC 9110, 15.6.4).
    #[default]
    Http,
    /// A TCP reset or an ICMP "unreachable".
    Reset,
}

/// Whether packets may be sent to a backend.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// Receives new flows.
    Active,
    /// Keeps its flows and receives no new ones.
    Draining,
    /// Removed. Its flows are reset.
    Dead,
}

/// A backend of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Backend {
    /// Its number, which is never reused.
    pub id: BackendId,
    /// UID of the object in the store.
    pub uid: ObjectUid,
    /// Name of the object, for display.
    pub name: String,
    /// UDP address that encapsulated packets are sent to.
    pub tunnel: SocketAddr,
    /// Zone that it is located in.
    pub zone: Zone,
    /// Whether packets may be sent to it.
    pub state: BackendState,
    /// The service that it serves or drains from, at most one at any time.
    pub service: Option<ServiceId>,
    /// Generation since which it receives no new flows, or 0 while it receives them. Buckets
    /// that were contested before may have flows that are pinned to it.
    pub draining_since: GenerationNumber,
}

/// Weight of a backend in a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ServiceBackend {
    /// The backend.
    pub backend: BackendId,
    /// Its share of new flows, relative to the other backends of the service.
    pub weight: u32,
}

/// One entry of a lookup table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Bucket {
    /// Backend that new flows are placed on, or `None` if the service has no backend.
    pub target: Option<BackendId>,
    /// Backend that the bucket was mapped to when it was last clean, as long as it may have
    /// flows there. A bucket with a base is contested, and a flow that no owner has pinned
    /// belongs to the base.
    pub base: Option<BackendId>,
    /// Generation in which the bucket became contested, or 0 while it is clean.
    pub contested_since: GenerationNumber,
}

impl Bucket {
    /// Returns whether only the owner can determine the backend of an unknown flow.
    ///
    /// A bucket without a base can be contested: if it had no target, so that the owner refused
    /// its flows, or if the service uses [`Placement::LeastLoaded`].
    #[must_use]
    pub fn is_contested(&self) -> bool {
        self.base.is_some() || self.contested_since != GenerationNumber::default()
    }
}

/// A service of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Service {
    /// Its number, which is never reused.
    pub id: ServiceId,
    /// UID of the object in the store.
    pub uid: ObjectUid,
    /// Name of the object, for display.
    pub name: String,
    /// Address of the service.
    pub address: IpAddr,
    /// Port of the service.
    pub port: u16,
    /// Transport protocol.
    pub transport: Transport,
    /// How new flows are assigned to backends.
    pub placement: Placement,
    /// How a refused caller is answered.
    pub refusal: RefusalStyle,
    /// Idle time after which a flow is removed, in seconds.
    pub idle_timeout_seconds: u32,
    /// Backends that receive new flows.
    pub backends: Vec<ServiceBackend>,
    /// The lookup table.
    pub buckets: Vec<Bucket>,
}

impl Service {
    /// Returns the bucket at `index`, or `None` if the index is out of range.
    #[must_use]
    pub fn bucket(&self, index: BucketIndex) -> Option<&Bucket> {
        self.buckets.get(index.0 as usize)
    }

    /// Returns the address, port and protocol of the service.
    #[must_use]
    pub fn endpoint(&self) -> ServiceEndpoint {
        ServiceEndpoint {
            transport: self.transport,
            address: self.address,
            port: self.port,
        }
    }
}

/// A balancer that is a member of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the process.
    pub node: NodeId,
    /// Zone that it is located in.
    pub zone: Zone,
    /// UDP address of its peer socket.
    pub peer_address: SocketAddr,
}

/// Cluster-wide parameters that are fixed when the cluster is created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ClusterParameters {
    /// Seed of the flow hash.
    pub flow_hash_seed: u64,
    /// Number of ownership groups.
    pub groups: u16,
}

/// One version of the configuration.
///
/// A conditional write to the platform's store assigns the number and includes the digest, so
/// all nodes have the same content for the same number.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Generation {
    /// Position in the sequence of generations.
    pub number: GenerationNumber,
    /// Store revision of the objects that it was compiled from.
    pub revision: StoreRevision,
    /// Parameters of the cluster.
    pub parameters: ClusterParameters,
    /// All services, by number.
    pub services: Vec<Service>,
    /// All backends that serve, drain or are still referenced by a bucket, by number.
    pub backends: Vec<Backend>,
    /// All balancers that must acknowledge the generation, by node.
    pub members: Vec<Member>,
    /// Number for the next new service.
    pub next_service: ServiceId,
    /// Number for the next new backend.
    pub next_backend: BackendId,
}
