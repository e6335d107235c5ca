//! Sequences of generations with random changes.

use bellyoke_core::generation::{
    Backend, BackendState, Bucket, ClusterParameters, Generation, Member, ObjectUid, Placement,
    RefusalStyle, Service, ServiceBackend, StoreRevision, Zone,
};
use bellyoke_core::identity::{BackendId, GenerationNumber, NodeId, ServiceId};
use bellyoke_core::packet::Transport;
use std::net::SocketAddr;

pub const GROUP_COUNT: u16 = 4;
/// Longer than the pauses of callers, even if nodes that drop packets receive some of them.
pub const IDLE_TIMEOUT_SECONDS: u32 = 3;
/// A hashed service whose targets change.
pub const FIRST_HASHED: ServiceId = ServiceId(0);
/// A hashed service whose buckets can be without a target.
pub const SECOND_HASHED: ServiceId = ServiceId(1);
/// A service with least-loaded placement.
pub const LEAST_LOADED: ServiceId = ServiceId(2);

/// The service of each backend.
const BACKENDS: [ServiceId; 8] = [
    FIRST_HASHED,
    FIRST_HASHED,
    FIRST_HASHED,
    FIRST_HASHED,
    SECOND_HASHED,
    SECOND_HASHED,
    LEAST_LOADED,
    LEAST_LOADED,
];

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn backend(index: usize, service: ServiceId) -> Backend {
    Backend {
        id: BackendId(index as u32),
        uid: ObjectUid(format!("backend-{index}")),
        name: format!("backend-{index}"),
        tunnel: address(),
        zone: Zone::default(),
        state: BackendState::Active,
        service: Some(service),
        draining_since: GenerationNumber(0),
    }
}

pub fn service(id: ServiceId, placement: Placement, buckets: usize) -> Service {
    let own: Vec<BackendId> = (0..)
        .zip(BACKENDS)
        .filter(|(_, service)| *service == id)
        .map(|(index, _)| BackendId(index))
        .collect();
    let target = |index: usize| (placement == Placement::Hashed).then(|| own[index % own.len()]);
    let bucket = |index: usize| Bucket {
        target: target(index),
        base: None,
        contested_since: match placement {
            Placement::Hashed => GenerationNumber(0),
            Placement::LeastLoaded => GenerationNumber(1),
        },
    };
    Service {
        id,
        uid: ObjectUid(format!("service-{id}")),
        name: format!("service-{id}"),
        address: [192, 0, 2, 1].into(),
        port: 80,
        transport: Transport::Tcp,
        placement,
        refusal: RefusalStyle::Http,
        idle_timeout_seconds: IDLE_TIMEOUT_SECONDS,
        backends: own
            .iter()
            .map(|backend| ServiceBackend {
                backend: *backend,
                weight: 1,
            })
            .collect(),
        buckets: (0..buckets).map(bucket).collect(),
    }
}

pub fn member(node: u64) -> Member {
    Member {
        node: NodeId(node),
        zone: Zone(format!("zone-{}", node % 3)),
        peer_address: address(),
    }
}

/// Returns the first generation. All buckets of hashed services are clean.
pub fn first(members: impl IntoIterator<Item = u64>) -> Generation {
    let backends = BACKENDS.iter().enumerate();
    Generation {
        number: GenerationNumber(1),
        revision: StoreRevision::default(),
        parameters: ClusterParameters {
            flow_hash_seed: 1,
            groups: GROUP_COUNT,
        },
        services: vec![
            service(FIRST_HASHED, Placement::Hashed, 4),
            service(SECOND_HASHED, Placement::Hashed, 2),
            service(LEAST_LOADED, Placement::LeastLoaded, 2),
        ],
        backends: backends
            .map(|(index, service)| backend(index, *service))
            .collect(),
        members: members.into_iter().map(member).collect(),
        next_service: ServiceId(3),
        next_backend: BackendId(BACKENDS.len() as u32),
    }
}

/// Returns the next generation with the same content.
pub fn next(generation: &Generation) -> Generation {
    let mut next = generation.clone();
    next.number = GenerationNumber(generation.number.0 + 1);
    next
}

/// Moves a bucket as `generation::compile` does: the previous target of a clean bucket becomes its
/// base.
pub fn retarget(
    generation: &mut Generation,
    service: ServiceId,
    bucket: usize,
    target: Option<BackendId>,
) {
    let number = generation.number;
    let bucket = &mut generation.services[service.0 as usize].buckets[bucket];
    if bucket.target == target {
        return;
    }
    if !bucket.is_contested() {
        bucket.base = bucket.target;
        bucket.contested_since = number;
    }
    bucket.target = target;
}

pub fn backends_of(service: ServiceId) -> Vec<BackendId> {
    let indexed = (0..).zip(BACKENDS);
    let own = indexed.filter(|(_, owner)| *owner == service);
    own.map(|(index, _)| BackendId(index)).collect()
}

pub fn service_of(backend: BackendId) -> ServiceId {
    BACKENDS[backend.0 as usize]
}
