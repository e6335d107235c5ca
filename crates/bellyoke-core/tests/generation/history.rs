//! Random histories, compared with a model of the backends that may have flows.

use crate::fixture::{advance, backend, seeded, two_services};
use bellyoke_core::flow::SettledBucket;
use bellyoke_core::generation::{BackendState, DesiredState, Generation, Placement};
use bellyoke_core::identity::{BackendId, BucketIndex, ServiceId};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
enum Step {
    Move { position: usize, service: usize },
    Drain { position: usize },
    Delete { position: usize },
    Add { service: usize },
    Settle { bucket: u32 },
    SettleAll,
}

const SERVICE_NAMES: [&str; 3] = ["till", "listings", "none"];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_usize..20, 0_usize..3).prop_map(|(position, service)| Step::Move { position, service }),
        (0_usize..20).prop_map(|position| Step::Drain { position }),
        (0_usize..20).prop_map(|position| Step::Delete { position }),
        (0_usize..2).prop_map(|service| Step::Add { service }),
        (0_u32..16).prop_map(|bucket| Step::Settle { bucket }),
        Just(Step::SettleAll),
    ]
}

/// Backends that may have flows of a bucket, by service and bucket.
type FlowBackends = BTreeMap<(ServiceId, u32), BTreeSet<BackendId>>;

/// Returns the buckets that a step settles. Their flows are only on their targets.
fn settled(step: Step, generation: &Generation) -> Vec<SettledBucket> {
    let mut buckets = Vec::new();
    for service in &generation.services {
        for index in 0..service.buckets.len() as u32 {
            let chosen = match step {
                Step::Settle { bucket } => index == bucket,
                Step::SettleAll => true,
                _ => false,
            };
            let bucket = BucketIndex(index);
            let service = service.id;
            buckets.extend(chosen.then_some(SettledBucket { service, bucket }));
        }
    }
    buckets
}

fn apply_step(step: Step, desired: &mut DesiredState, next_host: &mut u16) {
    let count = desired.backends.len();
    match step {
        Step::Move { position, service } if position < count => {
            let name = SERVICE_NAMES[service].to_owned();
            desired.backends[position]
                .labels
                .insert("service".to_owned(), name);
        }
        Step::Drain { position } if position < count => {
            desired.backends[position].drain ^= true;
        }
        Step::Delete { position } if position < count => {
            desired.backends.remove(position);
        }
        Step::Add { service } => {
            *next_host += 1;
            desired
                .backends
                .push(backend(*next_host, SERVICE_NAMES[service]));
        }
        _ => {}
    }
}

fn check_generation(
    flow_backends: &FlowBackends,
    generation: &Generation,
) -> Result<(), TestCaseError> {
    for service in &generation.services {
        for (index, bucket) in service.buckets.iter().enumerate() {
            let target = bucket.target;
            if let Some(target) = target {
                let found = generation.backends.iter().find(|b| b.id == target);
                let state = found.map(|backend| (backend.state, backend.service));
                prop_assert_eq!(state, Some((BackendState::Active, Some(service.id))));
            }
            if !bucket.is_contested() {
                let flow_backends = &flow_backends[&(service.id, index as u32)];
                prop_assert!(flow_backends.iter().all(|backend| Some(*backend) == target));
            }
        }
    }
    for backend in &generation.backends {
        let has_flows =
            |((service, _), flow_backends): (&(ServiceId, u32), &BTreeSet<BackendId>)| {
                flow_backends.contains(&backend.id).then_some(*service)
            };
        for service in flow_backends.iter().filter_map(has_flows) {
            prop_assert_eq!(backend.service, Some(service), "{:?}", backend);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn no_backend_serves_two_services(
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        let mut desired = two_services(4, 3);
        for service in &mut desired.services {
            service.buckets = 16;
        }
        let mut generation = advance(None, &desired, &[]).generation;
        let mut flow_backends = FlowBackends::new();
        let mut next_host = 5000;
        record_targets(&mut flow_backends, &generation);
        for step in steps {
            let settled_buckets = settled(step, &generation);
            for bucket in &settled_buckets {
                let service = generation.services.iter().find(|s| s.id == bucket.service).unwrap();
                let target = service.bucket(bucket.bucket).unwrap().target;
                if target.is_some() {
                    flow_backends.insert((bucket.service, bucket.bucket.0), target.into_iter().collect());
                }
            }
            apply_step(step, &mut desired, &mut next_host);
            generation = advance(Some(&generation), &desired, &settled_buckets).generation;
            prop_assert!(generation.services.iter().all(|s| s.placement == Placement::Hashed));
            record_targets(&mut flow_backends, &generation);
            check_generation(&flow_backends, &generation)?;
        }
    }
}

/// Records that the targets may have new flows.
fn record_targets(flow_backends: &mut FlowBackends, generation: &Generation) {
    for service in &generation.services {
        for (index, bucket) in service.buckets.iter().enumerate() {
            let entry = flow_backends.entry((service.id, index as u32)).or_default();
            entry.extend(bucket.target);
        }
    }
}
