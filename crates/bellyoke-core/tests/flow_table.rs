//! Comparison of the flow table with a hash map, and its memory usage.

mod flow_support;

use bellyoke_core::flow::{Decider, Decision, FlowTable};
use bellyoke_core::generation::Forwarding;
use bellyoke_core::identity::BackendId;
use flow_support::*;
use proptest::prelude::*;
use std::collections::HashMap;

/// Maximum memory per flow.
const MAXIMUM_BYTES_PER_FLOW: usize = 64;

#[test]
fn a_flow_takes_no_more_than_64_bytes() {
    for capacity in [1_000, 50_000, 500_000, 917_505] {
        let table = FlowTable::new(capacity);
        let bytes = table.memory_bytes() / capacity as usize;
        assert!(
            bytes <= MAXIMUM_BYTES_PER_FLOW,
            "{bytes} bytes per flow with a capacity of {capacity} flows"
        );
    }
}

#[test]
fn memory_stays_constant() {
    let forwarding = clean(1);
    let mut decider = Decider::new(&settings(1_000));
    let before = decider.table().memory_bytes();
    for port in 0..u16::MAX {
        decide(
            &mut decider,
            u64::from(port / 1_000) * 5,
            &forwarding,
            &tcp(port, ACK),
        );
    }
    assert_eq!(decider.table().memory_bytes(), before);
    assert_eq!(decider.table().len(), 1_000);
    assert_eq!(decider.table().capacity(), 1_000);
}

#[test]
fn the_capacity_is_at_least_one_flow() {
    assert_eq!(FlowTable::new(0).capacity(), 1);
}

/// An operation on the table. Ports are few, so operations repeat on the same flow.
#[derive(Clone, Copy, Debug)]
enum Step {
    Packet(u16),
    Learn(u16, BackendId),
    Remove(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let port = 0..200_u16;
    let backend = prop_oneof![Just(FIRST), Just(SECOND)];
    let step = prop_oneof![
        4 => port.clone().prop_map(Step::Packet),
        2 => (port.clone(), backend).prop_map(|(port, backend)| Step::Learn(port, backend)),
        3 => port.prop_map(Step::Remove),
    ];
    proptest::collection::vec(step, 0..1_500)
}

/// Applies a step to the table and to a hash map as its model.
fn apply(
    decider: &mut Decider,
    forwarding: &Forwarding,
    model: &mut HashMap<u16, BackendId>,
    step: Step,
) -> Result<(), TestCaseError> {
    match step {
        Step::Packet(port) => {
            let decision = decide(decider, 0, forwarding, &tcp(port, ACK));
            let backend = *model.entry(port).or_insert(FIRST);
            prop_assert_eq!(decision, Decision::Forward(backend));
        }
        Step::Learn(port, backend) => {
            decider.learn(second(0), &place(forwarding, &tcp(port, ACK)), backend);
            model.insert(port, backend);
        }
        Step::Remove(port) => {
            decider.remove_flow(&place(forwarding, &tcp(port, ACK)));
            model.remove(&port);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(seeded(64))]

    #[test]
    fn the_table_behaves_like_a_hash_map(steps in steps()) {
        let forwarding = clean(1);
        // The capacity is the number of possible flows, so runs are long and wrap around.
        let mut decider = Decider::new(&settings(200));
        decider.apply_generation(second(0), &forwarding);
        let mut model = HashMap::new();
        for step in steps {
            apply(&mut decider, &forwarding, &mut model, step)?;
        }
        prop_assert_eq!(decider.table().len() as usize, model.len());
        let mut by_backend = HashMap::new();
        for (port, backend) in &model {
            let hash = forwarding.hasher.hash(&tcp(*port, ACK).key);
            prop_assert_eq!(decider.table().get(hash).map(|record| record.backend), Some(*backend));
            *by_backend.entry(*backend).or_insert(0_u32) += 1;
        }
        prop_assert_eq!(decider.flows_by_backend(), &by_backend);
    }
}
