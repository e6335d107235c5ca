//! Parts of the control thread: joint reports of the traffic threads, the log limiter, the
//! publisher.

use bellyoke_api::event_code::EventCode;
use bellyoke_balancer::generation::{Publisher, PublisherInput};
use bellyoke_balancer::process::control::{AdoptionCollector, SettlingCollector};
use bellyoke_core::flow::{FlowPlace, OpenedFlow, SettledBucket};
use bellyoke_core::generation::{DesiredState, Generation, MemberObject, StoreRevision, Zone};
use bellyoke_core::identity::{BackendId, BucketIndex, GenerationNumber, NodeId, ServiceId};
use bellyoke_core::node::{AdoptionReport, Proposal};
use bellyoke_core::packet::FlowHash;
use bellyoke_core::time::Timestamp;
use bellyoke_kube::store::{
    GenerationDigest, OperationId, PublishRequest, ResourceVersion, StoredGeneration,
};
use bellyoke_process::log::LogLimiter;
use std::time::Duration;

fn opened(hash: u128) -> OpenedFlow {
    OpenedFlow {
        place: FlowPlace {
            service: ServiceId(1),
            bucket: BucketIndex(0),
            hash: FlowHash(hash),
        },
        backend: BackendId(1),
    }
}

fn report(generation: u64, hashes: &[u128]) -> AdoptionReport {
    AdoptionReport {
        generation: GenerationNumber(generation),
        opened: hashes.iter().map(|hash| opened(*hash)).collect(),
    }
}

#[test]
fn adoption_is_reported_once_all_threads_have_switched() {
    let mut collector = AdoptionCollector::new(2);
    collector.expect(GenerationNumber(1));
    assert_eq!(collector.collect(0, report(1, &[10])), None);
    assert_eq!(
        collector.collect(1, report(1, &[11])),
        Some(report(1, &[10, 11]))
    );
    assert_eq!(collector.collect(1, report(1, &[])), None);
}

#[test]
fn flows_of_an_overtaken_generation_are_handed_over_with_the_next() {
    let mut collector = AdoptionCollector::new(2);
    collector.expect(GenerationNumber(1));
    assert_eq!(collector.collect(0, report(1, &[10])), None);
    collector.expect(GenerationNumber(2));
    assert_eq!(collector.collect(1, report(2, &[12])), None);
    assert_eq!(
        collector.collect(0, report(2, &[11])),
        Some(report(2, &[10, 12, 11]))
    );
}

fn bucket(index: u32) -> SettledBucket {
    SettledBucket {
        service: ServiceId(1),
        bucket: BucketIndex(index),
    }
}

#[test]
fn a_bucket_settles_when_all_threads_say_so_under_one_generation() {
    let mut collector = SettlingCollector::new(2);
    let (one, two) = (GenerationNumber(1), GenerationNumber(2));
    assert!(
        collector
            .collect(0, one, vec![bucket(1), bucket(2)])
            .is_empty()
    );
    assert!(collector.collect(0, one, vec![bucket(1)]).is_empty());
    assert_eq!(collector.collect(1, one, vec![bucket(1)]), [bucket(1)]);
    assert!(collector.collect(1, two, vec![bucket(2)]).is_empty());
    assert!(collector.collect(0, one, vec![bucket(2)]).is_empty());
    assert_eq!(collector.collect(0, two, vec![bucket(2)]), [bucket(2)]);
}

#[test]
fn an_event_is_logged_once_in_a_period_and_the_others_counted() {
    let mut limiter = LogLimiter::new(Duration::from_secs(10));
    let at = |seconds: u64| Timestamp::from_micros(seconds * 1_000_000);
    let event = EventCode::PacketsDropped;
    assert_eq!(limiter.admit(event, at(0)), Some(0));
    assert_eq!(limiter.admit(event, at(1)), None);
    assert_eq!(limiter.admit(EventCode::QueueFull, at(1)), Some(0));
    assert_eq!(limiter.admit(event, at(9)), None);
    assert_eq!(limiter.admit(event, at(10)), Some(2));
}

fn member(node: u64) -> MemberObject {
    MemberObject {
        node: NodeId(node),
        zone: Zone("a".to_owned()),
        peer_address: ([127, 0, 0, 1], 7000).into(),
    }
}

fn objects(revision: u64) -> PublisherInput {
    PublisherInput::Objects(DesiredState {
        revision: StoreRevision {
            services: revision,
            backends: revision,
        },
        ..DesiredState::default()
    })
}

fn members(known: u64, nodes: &[u64]) -> PublisherInput {
    PublisherInput::Proposal {
        proposal: Proposal::Members(nodes.iter().map(|node| member(*node)).collect()),
        known: GenerationNumber(known),
    }
}

fn next(publisher: &mut Publisher) -> Option<PublishRequest> {
    publisher.next(OperationId("o".to_owned())).unwrap()
}

fn accepted(request: &PublishRequest, version: &str) -> StoredGeneration {
    StoredGeneration {
        number: request.number,
        digest: request.digest,
        operation: request.operation.clone(),
        content: request.content.clone(),
        resource_version: ResourceVersion(version.to_owned()),
    }
}

#[test]
fn no_cluster_is_founded_without_objects_and_members() {
    let mut publisher = Publisher::new(7);
    publisher.input(members(0, &[1]));
    assert_eq!(next(&mut publisher), None);
    let mut publisher = Publisher::new(7);
    publisher.input(objects(1));
    assert_eq!(next(&mut publisher), None);
    publisher.input(members(0, &[1]));
    let request = next(&mut publisher).unwrap();
    assert_eq!(request.number, GenerationNumber(1));
    assert_eq!(request.previous, None);
}

#[test]
fn a_generation_is_conditional_on_the_one_it_follows() {
    let mut publisher = Publisher::new(7);
    publisher.input(objects(1));
    publisher.input(members(0, &[1]));
    let first = next(&mut publisher).unwrap();
    publisher.stored(&accepted(&first, "v1")).unwrap().unwrap();
    assert_eq!(next(&mut publisher), None, "nothing has changed");
    publisher.input(members(1, &[1, 2]));
    let second = next(&mut publisher).unwrap();
    assert_eq!(second.number, GenerationNumber(2));
    assert_eq!(second.previous, Some(ResourceVersion("v1".to_owned())));
}

#[test]
fn a_proposal_under_an_older_generation_is_not_followed() {
    let mut publisher = Publisher::new(7);
    publisher.input(objects(1));
    publisher.input(members(0, &[1]));
    let first = next(&mut publisher).unwrap();
    publisher.stored(&accepted(&first, "v1")).unwrap();
    publisher.input(members(0, &[2]));
    assert_eq!(next(&mut publisher), None);
}

#[test]
fn a_publisher_keeps_the_parameters_of_the_founder() {
    let mut founder = Publisher::new(7);
    founder.input(objects(1));
    founder.input(members(0, &[1]));
    let first = accepted(&next(&mut founder).unwrap(), "v1");
    let mut other = Publisher::new(8);
    other.stored(&first).unwrap();
    other.input(objects(1));
    other.input(members(1, &[1, 2]));
    let second = Generation::decode(&next(&mut other).unwrap().content).unwrap();
    assert_eq!(second.parameters.flow_hash_seed, 7);
}

#[test]
fn the_store_s_generation_never_goes_back_and_must_agree_with_its_digest() {
    let mut publisher = Publisher::new(7);
    publisher.input(objects(1));
    publisher.input(members(0, &[1]));
    let first = accepted(&next(&mut publisher).unwrap(), "v1");
    let mut damaged = first.clone();
    damaged.digest = GenerationDigest([0; 32]);
    assert!(publisher.stored(&damaged).is_err());
    let mut renumbered = first.clone();
    renumbered.number = GenerationNumber(5);
    assert!(publisher.stored(&renumbered).is_err());
    assert!(publisher.stored(&first).unwrap().is_some());
    assert!(publisher.stored(&first).unwrap().is_none());
    assert_eq!(publisher.number(), GenerationNumber(1));
}

#[test]
fn objects_older_than_the_generation_are_not_published() {
    let mut publisher = Publisher::new(7);
    publisher.input(objects(5));
    publisher.input(members(0, &[1]));
    let first = next(&mut publisher).unwrap();
    publisher.stored(&accepted(&first, "v1")).unwrap();
    publisher.input(objects(4));
    publisher.input(members(1, &[1, 2]));
    assert!(publisher.next(OperationId("o".to_owned())).is_err());
}
