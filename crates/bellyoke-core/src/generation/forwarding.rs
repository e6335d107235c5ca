//! Forwarding tables of a generation, which traffic threads read without a lock for each packet.

use crate::generation::objects::StoreRevision;
use crate::generation::types::{
    Backend, BackendState, Bucket, Generation, Placement, RefusalStyle, Service,
};
use crate::identity::{BackendId, BucketIndex, GenerationNumber, ServiceId};
use crate::packet::{FlowHash, FlowHasher, Transport};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Address, port and protocol of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServiceEndpoint {
    /// Transport protocol.
    pub transport: Transport,
    /// Address that callers use.
    pub address: IpAddr,
    /// Port that callers use.
    pub port: u16,
}

/// Route of the packets of a bucket that belong to no known flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BucketRoute {
    /// Forwarded by lookup table to this backend.
    Clean(BackendId),
    /// Escalated to the control thread, as only the owner of the bucket can determine the
    /// backend.
    Contested {
        /// Backend that new flows are placed on. A flow on it does not prevent the bucket from
        /// settling.
        target: Option<BackendId>,
    },
}

/// Forwarding properties of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceForwarding {
    /// The service.
    pub id: ServiceId,
    /// How its new flows are placed.
    pub placement: Placement,
    /// How a refused caller is answered.
    pub refusal: RefusalStyle,
    /// Idle time after which a flow is removed.
    pub idle_timeout: Duration,
    /// Route of each bucket. Never empty.
    pub routes: Vec<BucketRoute>,
}

impl ServiceForwarding {
    /// Returns the bucket of the flow with `hash`.
    #[must_use]
    pub fn bucket(&self, hash: FlowHash) -> BucketIndex {
        BucketIndex(hash.bucket(self.routes.len()) as u32)
    }

    /// Returns the route of `bucket`.
    #[must_use]
    pub fn route(&self, bucket: BucketIndex) -> BucketRoute {
        self.routes
            .get(bucket.0 as usize)
            .copied()
            .unwrap_or(BucketRoute::Contested { target: None })
    }
}

/// Forwarding properties of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendForwarding {
    /// UDP address that encapsulated packets are sent to.
    pub tunnel: SocketAddr,
    /// Whether packets may be sent to it.
    pub state: BackendState,
    /// The only service whose packets may be sent to it.
    pub service: Option<ServiceId>,
}

/// Forwarding tables of one generation.
#[derive(Clone, Debug)]
pub struct Forwarding {
    /// Number of the generation.
    pub generation: GenerationNumber,
    /// Store revision of the generation.
    pub revision: StoreRevision,
    /// Flow hasher with the seed of the cluster.
    pub hasher: FlowHasher,
    /// Services by endpoint.
    pub services: HashMap<ServiceEndpoint, ServiceForwarding>,
    /// Backends by number.
    pub backends: HashMap<BackendId, BackendForwarding>,
}

impl Forwarding {
    /// Returns the tables of a node without a generation, which drops all packets.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            generation: GenerationNumber(0),
            revision: StoreRevision::default(),
            hasher: FlowHasher::new(0),
            services: HashMap::new(),
            backends: HashMap::new(),
        }
    }

    /// Builds the forwarding tables of `generation`.
    #[must_use]
    pub fn from_generation(generation: &Generation) -> Self {
        let services = generation.services.iter();
        let backends = generation.backends.iter();
        Self {
            generation: generation.number,
            revision: generation.revision,
            hasher: FlowHasher::new(generation.parameters.flow_hash_seed),
            services: services.map(service_forwarding).collect(),
            backends: backends.map(backend_forwarding).collect(),
        }
    }
}

fn service_forwarding(service: &Service) -> (ServiceEndpoint, ServiceForwarding) {
    let routes = service.buckets.iter();
    let forwarding = ServiceForwarding {
        id: service.id,
        placement: service.placement,
        refusal: service.refusal,
        idle_timeout: Duration::from_secs(service.idle_timeout_seconds.into()),
        routes: routes
            .map(|bucket| bucket_route(service.placement, bucket))
            .collect(),
    };
    (service.endpoint(), forwarding)
}

fn bucket_route(placement: Placement, bucket: &Bucket) -> BucketRoute {
    match (placement, bucket.target) {
        (Placement::Hashed, Some(target)) if !bucket.is_contested() => BucketRoute::Clean(target),
        (_, target) => BucketRoute::Contested { target },
    }
}

fn backend_forwarding(backend: &Backend) -> (BackendId, BackendForwarding) {
    let forwarding = BackendForwarding {
        tunnel: backend.tunnel,
        state: backend.state,
        service: backend.service,
    };
    (backend.id, forwarding)
}
