//! Test objects and generations.

use bellyoke_core::flow::SettledBucket;
use bellyoke_core::generation::{
    Backend, BackendObject, ClusterParameters, Compilation, DesiredState, Generation, Labels,
    MemberObject, ObjectUid, Placement, RefusalStyle, Selector, Service, ServiceObject,
    StoreRevision, WeightedSelector, Zone, compile,
};
use bellyoke_core::identity::{BucketIndex, NodeId};
use bellyoke_core::packet::Transport;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub const PARAMETERS: ClusterParameters = ClusterParameters {
    flow_hash_seed: 7,
    groups: 16,
};

pub fn labels(pairs: &[(&str, &str)]) -> Labels {
    let owned = |(key, value): &(&str, &str)| ((*key).to_owned(), (*value).to_owned());
    pairs.iter().map(owned).collect()
}

pub fn select(pairs: &[(&str, &str)], weight: u32) -> WeightedSelector {
    WeightedSelector {
        selector: Selector {
            match_labels: labels(pairs),
            match_expressions: Vec::new(),
        },
        weight,
    }
}

/// Returns a service that selects backends whose label `service` has its name.
pub fn service(name: &str, host: u8) -> ServiceObject {
    ServiceObject {
        uid: ObjectUid(format!("uid-{name}")),
        name: name.to_owned(),
        address: IpAddr::V4(Ipv4Addr::new(192, 0, 2, host)),
        port: 443,
        transport: Transport::Tcp,
        selectors: vec![select(&[("service", name)], 100)],
        placement: Placement::Hashed,
        refusal: RefusalStyle::Http,
        idle_timeout_seconds: 60,
        buckets: 64,
    }
}

/// Returns a backend with the given label `service`. `host` determines its name and address.
pub fn backend(host: u16, service: &str) -> BackendObject {
    let [high, low] = host.to_be_bytes();
    BackendObject {
        uid: ObjectUid(format!("uid-{host}")),
        name: format!("b{host}"),
        labels: labels(&[("service", service)]),
        tunnel: SocketAddr::from(([10, 0, high, low], 6080)),
        zone: Zone("a".to_owned()),
        weight: 1,
        drain: false,
    }
}

pub fn members(count: u64) -> Vec<MemberObject> {
    let member = |node| MemberObject {
        node: NodeId(node),
        zone: Zone("a".to_owned()),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7000 + node as u16)),
    };
    (1..=count).map(member).collect()
}

/// Returns two services, `till` with `till_backends` backends and `listings` with `listings`.
pub fn two_services(till_backends: u16, listings: u16) -> DesiredState {
    let mut backends: Vec<_> = (1..=till_backends)
        .map(|host| backend(host, "till"))
        .collect();
    backends.extend((1..=listings).map(|host| backend(1000 + host, "listings")));
    DesiredState {
        services: vec![service("till", 1), service("listings", 2)],
        backends,
        revision: StoreRevision {
            services: 10,
            backends: 10,
        },
        ..DesiredState::default()
    }
}

pub fn advance(
    previous: Option<&Generation>,
    desired: &DesiredState,
    settled_buckets: &[SettledBucket],
) -> Compilation {
    let result = compile(previous, desired, &members(3), settled_buckets, PARAMETERS);
    result.expect("the input follows the previous generation")
}

pub fn named_service<'a>(generation: &'a Generation, name: &str) -> &'a Service {
    let mut services = generation.services.iter();
    services.find(|service| service.name == name).expect(name)
}

pub fn named_backend<'a>(generation: &'a Generation, name: &str) -> Option<&'a Backend> {
    let mut backends = generation.backends.iter();
    backends.find(|backend| backend.name == name)
}

/// Returns all contested buckets of a generation.
pub fn contested(generation: &Generation) -> Vec<SettledBucket> {
    let of_service = |service: &Service| {
        let id = service.id;
        let buckets = service.buckets.clone().into_iter().enumerate();
        buckets
            .filter(|(_, bucket)| bucket.is_contested())
            .map(move |(index, _)| SettledBucket {
                service: id,
                bucket: BucketIndex(index as u32),
            })
            .collect::<Vec<_>>()
    };
    generation.services.iter().flat_map(of_service).collect()
}

/// Returns a proptest configuration with a fixed seed.
pub fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
