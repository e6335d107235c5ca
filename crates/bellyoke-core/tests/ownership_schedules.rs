//! Ownership under thousands of schedules, each a seed: delay, reorder, loss, duplication,
//! crashes, pauses, cuts and changes. After each step no flow may have reached a second backend
//! or one of another service, or have been refused and delivered; nor may a flow that began
//! after the barrier have been opened on the base.

mod ownership_support;

use bellyoke_core::node::ownership::Ablation;
use ownership_support::simulation::{Faults, Outcome, run};

const SCHEDULES: u64 = 1500;
const ABLATION_SCHEDULES: u64 = 4000;

/// Panics with seed and trace if an invariant falls.
fn check(seed: u64, faults: Faults) -> Outcome {
    let outcome = run(seed, faults, Ablation::None, false);
    if let Some(violation) = &outcome.violation {
        let traced = run(seed, faults, Ablation::None, true);
        println!("{}", traced.trace.join("\n"));
        panic!("seed {seed}: {violation}");
    }
    outcome
}

/// The first seed whose schedule breaks an invariant with a mechanism off.
fn first_violation(ablation: Ablation) -> Option<(u64, String)> {
    (0..ABLATION_SCHEDULES).find_map(|seed| {
        let outcome = run(seed, Faults::All, ablation, false);
        outcome.violation.map(|violation| (seed, violation))
    })
}

fn assert_needed(ablation: Ablation) {
    let found = first_violation(ablation);
    println!("{ablation:?}: {found:?}");
    assert!(found.is_some(), "no schedule falls with {ablation:?}");
}

#[test]
fn planned_changes_break_no_flow() {
    let mut total = Outcome::default();
    for seed in 0..SCHEDULES {
        let outcome = check(seed, Faults::Planned);
        assert_eq!(outcome.reset, 0, "seed {seed} reset a flow");
        total.established += outcome.established;
        total.refused += outcome.refused;
        total.cleaned += outcome.cleaned;
        total.installed += outcome.installed;
    }
    println!("{total:?}");
    assert!(total.refused > 0 && total.cleaned > 0 && total.installed > 0);
}

#[test]
fn faults_send_no_flow_to_two_backends() {
    let mut total = Outcome::default();
    for seed in 0..SCHEDULES {
        let outcome = check(seed, Faults::All);
        total.established += outcome.established;
        total.refused += outcome.refused;
        total.reset += outcome.reset;
        total.cleaned += outcome.cleaned;
        total.installed += outcome.installed;
        total.abandoned += outcome.abandoned;
    }
    println!("{total:?}");
    assert!(total.refused > 0 && total.cleaned > 0 && total.installed > 0);
}

#[test]
fn barrier_wait_is_needed() {
    assert_needed(Ablation::NoBarrierWait);
}

#[test]
fn handover_list_is_needed() {
    assert_needed(Ablation::NoHandoverList);
}

#[test]
fn pin_replication_is_needed() {
    assert_needed(Ablation::NoPinReplication);
}

#[test]
fn ballot_check_is_needed() {
    assert_needed(Ablation::NoBallotCheck);
}

#[test]
fn read_confirmation_is_needed() {
    assert_needed(Ablation::NoReadConfirmation);
}

#[test]
fn a_seed_gives_the_same_schedule_each_time() {
    let first = run(7, Faults::All, Ablation::None, true);
    let second = run(7, Faults::All, Ablation::None, true);
    assert_eq!(first.trace, second.trace);
}
