//! Ownership under thousands of random schedules, one per seed, with delay, reordering, loss,
//! duplication, crashes, pauses, partitions and changes.
//!
//! After each step these invariants are checked: no flow has reached a second backend or a backend
//! of another service, no flow was both refused and delivered, and no flow that started after the
//! barrier was opened on the base.

mod ownership_support;

use bellyoke_core::node::ownership::Ablation;
use ownership_support::simulation::{Faults, Outcome, run};

const SCHEDULES: u64 = 1500;
const ABLATION_SCHEDULES: u64 = 4000;

/// Panics with the seed and the trace if an invariant is violated.
fn check(seed: u64, faults: Faults) -> Outcome {
    let outcome = run(seed, faults, Ablation::None, false);
    if let Some(violation) = &outcome.violation {
        let traced = run(seed, faults, Ablation::None, true);
        println!("{}", traced.trace.join("\n"));
        panic!("seed {seed}: {violation}");
    }
    outcome
}

/// Returns the first seed whose schedule violates an invariant with a mechanism disabled.
fn first_violation(ablation: Ablation) -> Option<(u64, String)> {
    (0..ABLATION_SCHEDULES).find_map(|seed| {
        let outcome = run(seed, Faults::All, ablation, false);
        outcome.violation.map(|violation| (seed, violation))
    })
}

fn assert_needed(ablation: Ablation) {
    let found = first_violation(ablation);
    println!("{ablation:?}: {found:?}");
    assert!(
        found.is_some(),
        "no schedule violates an invariant with {ablation:?}"
    );
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
fn a_seed_determines_the_schedule() {
    let first = run(7, Faults::All, Ablation::None, true);
    let second = run(7, Faults::All, Ablation::None, true);
    assert_eq!(first.trace, second.trace);
}
