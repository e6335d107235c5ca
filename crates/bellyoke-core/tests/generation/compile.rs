use crate::fixture::{
    PARAMETERS, advance, backend, contested, members, named_backend, named_service, select,
    service, two_services,
};
use bellyoke_core::flow::SettledBucket;
use bellyoke_core::generation::{
    BackendState, BucketRoute, ClusterParameters, CompileError, Forwarding, Placement, Problem,
    compile,
};
use bellyoke_core::identity::{BucketIndex, GenerationNumber};

#[test]
fn a_first_generation_is_clean_and_numbered_by_name() {
    let compilation = advance(None, &two_services(3, 2), &[]);
    let generation = compilation.generation;
    assert!(compilation.changed);
    assert_eq!(compilation.problems, []);
    assert_eq!(generation.number, GenerationNumber(1));
    assert_eq!(contested(&generation), []);
    assert_eq!(generation.members.len(), 3);
    let names: Vec<_> = generation
        .services
        .iter()
        .map(|s| s.name.as_str())
        .collect();
    assert_eq!(names, ["listings", "till"]);
}

#[test]
fn unchanged_objects_leave_the_generation_unchanged() {
    let mut desired = two_services(3, 2);
    let first = advance(None, &desired, &[]).generation;
    desired.revision.backends += 5;
    desired.backends.reverse();
    desired.services.reverse();
    let second = advance(Some(&first), &desired, &[]);
    assert!(!second.changed);
}

#[test]
fn older_objects_are_rejected() {
    let mut desired = two_services(3, 2);
    let first = advance(None, &desired, &[]).generation;
    desired.revision.services -= 1;
    let result = compile(Some(&first), &desired, &members(3), &[], PARAMETERS);
    assert!(matches!(result, Err(CompileError::StaleRevision { .. })));
}

#[test]
fn different_parameters_are_rejected() {
    let desired = two_services(3, 2);
    let first = advance(None, &desired, &[]).generation;
    let other = ClusterParameters {
        flow_hash_seed: 8,
        ..PARAMETERS
    };
    let result = compile(Some(&first), &desired, &members(3), &[], other);
    assert!(matches!(result, Err(CompileError::ParametersDiffer { .. })));
}

#[test]
fn a_drain_contests_only_the_buckets_of_the_backend() {
    let mut desired = two_services(4, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.backends[1].drain = true;
    let second = advance(Some(&first), &desired, &[]).generation;
    let drained = named_backend(&second, "b2").unwrap();
    assert_eq!(drained.state, BackendState::Draining);
    assert_eq!(drained.draining_since, second.number);
    let before = named_service(&first, "till");
    let after = named_service(&second, "till");
    for (old, new) in before.buckets.iter().zip(&after.buckets) {
        if old.target == Some(drained.id) {
            assert_eq!(new.base, Some(drained.id));
            assert_eq!(new.contested_since, second.number);
            assert_ne!(new.target, Some(drained.id));
        } else {
            assert_eq!(new, old);
        }
    }
}

#[test]
fn the_base_is_kept_until_the_bucket_is_settled() {
    let mut desired = two_services(3, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.backends[0].drain = true;
    let second = advance(Some(&first), &desired, &[]).generation;
    desired.backends[1].drain = true;
    let third = advance(Some(&second), &desired, &[]).generation;
    let drained = named_backend(&first, "b1").unwrap().id;
    let of_first = |generation| {
        let service = named_service(generation, "till");
        let buckets = service.buckets.iter();
        buckets
            .filter(|bucket| bucket.base == Some(drained))
            .count()
    };
    assert_eq!(of_first(&third), of_first(&second));
    let since = named_service(&third, "till").buckets.iter();
    let since = since.filter(|bucket| bucket.base == Some(drained));
    assert!(
        since
            .clone()
            .all(|bucket| bucket.contested_since == second.number)
    );
    let fourth = advance(Some(&third), &desired, &contested(&third));
    assert!(fourth.changed);
    assert_eq!(contested(&fourth.generation), []);
}

#[test]
fn a_backend_drains_from_one_service_before_it_joins_another() {
    let mut desired = two_services(3, 2);
    let first = advance(None, &desired, &[]).generation;
    let till = named_service(&first, "till").id;
    let listings = named_service(&first, "listings").id;
    desired.backends[0] = backend(1, "listings");
    let second = advance(Some(&first), &desired, &[]);
    let moving = named_backend(&second.generation, "b1").unwrap();
    assert_eq!(
        (moving.service, moving.state),
        (Some(till), BackendState::Draining)
    );
    let still_draining = Problem::StillDraining {
        backend: "b1".to_owned(),
        from: "till".to_owned(),
        to: Some("listings".to_owned()),
    };
    assert_eq!(second.problems, [still_draining]);
    let settled = contested(&second.generation);
    let third = advance(Some(&second.generation), &desired, &settled).generation;
    assert_eq!(named_backend(&third, "b1").unwrap().service, Some(till));
    let fourth = advance(Some(&third), &desired, &[]).generation;
    let moved = named_backend(&fourth, "b1").unwrap();
    assert_eq!(
        (moved.service, moved.state),
        (Some(listings), BackendState::Active)
    );
}

/// A bucket that was contested before the backend left may have flows pinned to the backend,
/// although it is neither the base nor the target of the bucket.
#[test]
fn a_backend_with_pinned_flows_stays_in_its_service() {
    let mut desired = two_services(3, 2);
    let first = advance(None, &desired, &[]).generation;
    desired.backends[0].drain = true;
    let second = advance(Some(&first), &desired, &[]).generation;
    desired.backends[1] = backend(2, "listings");
    let third = advance(Some(&second), &desired, &[]).generation;
    let leaving = named_backend(&third, "b2").unwrap().id;
    let on_leaving: Vec<_> = contested(&third)
        .into_iter()
        .filter(|settled| {
            let bucket = named_service(&third, "till").bucket(settled.bucket);
            bucket.is_some_and(|bucket| bucket.base == Some(leaving))
        })
        .collect();
    let fourth = advance(Some(&third), &desired, &on_leaving).generation;
    let fifth = advance(Some(&fourth), &desired, &[]).generation;
    let retained = named_backend(&fifth, "b2").unwrap();
    assert_eq!(retained.service, Some(named_service(&first, "till").id));
    let sixth = advance(Some(&fifth), &desired, &contested(&fifth)).generation;
    let seventh = advance(Some(&sixth), &desired, &[]).generation;
    let joined = named_backend(&seventh, "b2").unwrap();
    assert_eq!(joined.service, Some(named_service(&first, "listings").id));
}

#[test]
fn a_deleted_backend_stays_dead_until_no_bucket_references_it() {
    let mut desired = two_services(3, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.backends.remove(0);
    let second = advance(Some(&first), &desired, &[]).generation;
    assert_eq!(
        named_backend(&second, "b1").unwrap().state,
        BackendState::Dead
    );
    let third = advance(Some(&second), &desired, &contested(&second)).generation;
    assert_eq!(named_backend(&third, "b1"), None);
}

#[test]
fn a_reused_address_gets_a_new_backend_number() {
    let mut desired = two_services(3, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.backends[0].uid.0.push_str("-again");
    let second = advance(Some(&first), &desired, &[]);
    let taken = Problem::BackendAddressTaken {
        backend: "b1".to_owned(),
        holder: "b1".to_owned(),
    };
    assert_eq!(second.problems, [taken]);
    let third = advance(Some(&second.generation), &desired, &[]).generation;
    let ids: Vec<_> = third
        .backends
        .iter()
        .filter(|backend| backend.name == "b1")
        .map(|backend| (backend.id.0, backend.state))
        .collect();
    assert_eq!(ids[0].1, BackendState::Dead);
    assert_eq!(ids[1].1, BackendState::Active);
    assert_eq!(ids[1].0, first.next_backend.0);
}

#[test]
fn a_changed_backend_address_is_ignored() {
    let mut desired = two_services(3, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.backends[0].tunnel.set_port(6081);
    let second = advance(Some(&first), &desired, &[]);
    assert!(!second.changed);
    assert!(matches!(
        second.problems[..],
        [Problem::BackendAddressFixed { .. }]
    ));
}

#[test]
fn the_older_service_keeps_a_shared_address() {
    let mut desired = two_services(2, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.services.push(service("aaa", 1));
    let second = advance(Some(&first), &desired, &[]);
    assert!(!second.changed);
    let taken = Problem::AddressTaken {
        service: "aaa".to_owned(),
        holder: "till".to_owned(),
    };
    assert_eq!(second.problems, [taken]);
}

#[test]
fn a_service_whose_new_address_is_taken_keeps_its_address() {
    let mut desired = two_services(2, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.services[0].address = desired.services[1].address;
    let second = advance(Some(&first), &desired, &[]);
    assert!(!second.changed);
    assert!(matches!(
        second.problems[..],
        [Problem::AddressTaken { .. }]
    ));
}

#[test]
fn an_invalid_service_keeps_its_previous_settings() {
    let mut desired = two_services(2, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.services[0].port = 0;
    desired.services[0].selectors.clear();
    let second = advance(Some(&first), &desired, &[]);
    assert!(!second.changed);
    assert!(matches!(
        second.problems[..],
        [Problem::InvalidService { .. }]
    ));
}

/// An invalid field must not interrupt the flows of a service or a backend.
#[test]
fn unreadable_objects_are_not_treated_as_deleted() {
    let mut desired = two_services(2, 1);
    let first = advance(None, &desired, &[]).generation;
    let service = desired.services.remove(0);
    desired.unreadable.services.insert(service.name);
    let second = advance(Some(&first), &desired, &[]);
    assert!(!second.changed);
    let backend = desired.backends.remove(0);
    desired.unreadable.backends.insert(backend.name);
    let third = advance(Some(&second.generation), &desired, &[]).generation;
    let drains = named_backend(&third, "b1").unwrap();
    assert_eq!(drains.state, BackendState::Draining);
}

#[test]
fn a_backend_selected_by_two_services_serves_the_first_by_name() {
    let mut desired = two_services(2, 0);
    desired.services[1].selectors = vec![select(&[("service", "till")], 1)];
    let compilation = advance(None, &desired, &[]);
    let twice = Problem::SelectedTwice {
        backend: "b1".to_owned(),
        service: "listings".to_owned(),
        other: "till".to_owned(),
    };
    assert_eq!(compilation.problems[0], twice);
    let generation = &compilation.generation;
    let listings = named_service(generation, "listings").id;
    assert!(
        generation
            .backends
            .iter()
            .all(|b| b.service == Some(listings))
    );
}

#[test]
fn selector_weights_are_distributed_over_their_backends() {
    let mut desired = two_services(9, 0);
    desired.services[0].buckets = 100;
    desired.services[0].selectors = vec![
        select(&[("service", "till")], 90),
        select(&[("service", "canary")], 10),
        select(&[("service", "parked")], 0),
    ];
    desired.backends.push(backend(50, "canary"));
    desired.backends.push(backend(51, "parked"));
    let generation = advance(None, &desired, &[]).generation;
    let buckets = &named_service(&generation, "till").buckets;
    let bucket_count = |name| {
        let id = named_backend(&generation, name).unwrap().id;
        buckets
            .iter()
            .filter(|bucket| bucket.target == Some(id))
            .count()
    };
    assert_eq!(
        [
            bucket_count("b1"),
            bucket_count("b9"),
            bucket_count("b50"),
            bucket_count("b51")
        ],
        [10, 10, 10, 0]
    );
}

/// A flow that the owner refused must not be forwarded to a backend that is added later.
#[test]
fn a_service_without_backends_stays_contested_when_one_is_added() {
    let mut desired = two_services(0, 0);
    let first = advance(None, &desired, &[]).generation;
    desired.backends.push(backend(1, "till"));
    let second = advance(Some(&first), &desired, &contested(&first)).generation;
    let till = named_service(&second, "till");
    let is_contested_without_base = |bucket: &bellyoke_core::generation::Bucket| {
        bucket.is_contested() && bucket.base.is_none() && bucket.target.is_some()
    };
    assert!(till.buckets.iter().all(is_contested_without_base));
    let third = advance(Some(&second), &desired, &contested(&second)).generation;
    assert!(
        !named_service(&third, "till")
            .buckets
            .iter()
            .any(is_contested_without_base)
    );
}

#[test]
fn a_least_loaded_service_is_contested_without_base() {
    let mut desired = two_services(2, 1);
    desired.services[0].placement = Placement::LeastLoaded;
    let first = advance(None, &desired, &[]).generation;
    desired.backends[0] = backend(1, "listings");
    let second = advance(Some(&first), &desired, &[]).generation;
    let till = named_service(&second, "till");
    assert!(
        till.buckets
            .iter()
            .all(|b| b.is_contested() && b.base.is_none())
    );
    let all: Vec<_> = (0..till.buckets.len() as u32)
        .map(|index| SettledBucket {
            service: till.id,
            bucket: BucketIndex(index),
        })
        .collect();
    let waiting = advance(Some(&second), &desired, &all[1..]).generation;
    assert_eq!(
        named_backend(&waiting, "b1").unwrap().service,
        Some(till.id)
    );
    let joined = advance(Some(&second), &desired, &all).generation;
    let listings = named_service(&second, "listings").id;
    assert_eq!(
        named_backend(&joined, "b1").unwrap().service,
        Some(listings)
    );
}

#[test]
fn a_change_of_placement_keeps_flows_on_their_backends() {
    let mut desired = two_services(2, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.services[0].placement = Placement::LeastLoaded;
    let second = advance(Some(&first), &desired, &[]).generation;
    let before = named_service(&first, "till");
    let after = named_service(&second, "till");
    for (old, new) in before.buckets.iter().zip(&after.buckets) {
        assert_eq!(new.base, old.target);
    }
}

#[test]
fn forwarding_routes_clean_buckets_by_table() {
    let mut desired = two_services(2, 1);
    let first = advance(None, &desired, &[]).generation;
    desired.backends[0].drain = true;
    let second = advance(Some(&first), &desired, &[]).generation;
    let forwarding = Forwarding::from_generation(&second);
    let till = named_service(&second, "till");
    let routes = &forwarding.services[&till.endpoint()].routes;
    for (route, bucket) in routes.iter().zip(&till.buckets) {
        let target = bucket.target;
        let expected = match target {
            Some(target) if bucket.base.is_none() => BucketRoute::Clean(target),
            _ => BucketRoute::Contested { target },
        };
        assert_eq!(*route, expected);
    }
    assert_eq!(forwarding.generation, second.number);
    assert_eq!(forwarding.backends.len(), second.backends.len());
}
