//! The store is away for a moment and comes back from a copy some seconds old.
//!
//! What users saw: a target that had said that it leaves went on getting new flows, and a route that a confirmed
//! configuration had dropped was served on. In both cases the store had been restored some seconds before. It had lost
//! its last changes, so that it gave their revisions out again: the drain got the number of a configuration that all
//! nodes held, was taken for old news, and was skipped by each watch that went on from what was known.
//!
//! Evidence: one revision named a configuration before the restoration and a change of instances after it, and two
//! acknowledged changes had no revision of their own among those seen.

use bellyoke_lab::cookie::rules::{Rule, Violation};
use bellyoke_lab::cookie::scenario::{Ablation, Action, Scenario};
use bellyoke_lab::cookie::simulation::simulate;
use bellyoke_lab::cookie::store::StoreMode;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..5;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Three configurations are written after the copy, and then the store is away for a moment.
fn outage() -> Scenario {
    let scenario = Scenario {
        duration: Duration::from_secs(30),
        ..Scenario::default()
    };
    scenario
        .at(6_000, Action::BackUpStore)
        .at(7_000, Action::Configure { probe: Some(1) })
        .at(9_000, Action::Configure { probe: Some(0) })
        .at(11_000, Action::Configure { probe: Some(1) })
        .at(12_000, Action::SetStoreMode(StoreMode::Silent))
}

/// It has lost the three configurations. The operator writes the last one again.
fn restored() -> Scenario {
    outage().at(14_300, Action::RestoreStore)
}

/// A target leaves and the configuration changes.
fn changes(scenario: Scenario) -> Scenario {
    let drain = Action::Drain {
        target: 0,
        serves_for: ms(6_000),
    };
    scenario
        .at(18_800, drain)
        .at(18_800, Action::Configure { probe: Some(0) })
}

fn violations(scenario: &Scenario) -> Vec<Violation> {
    let reports = SEEDS.map(|seed| simulate(scenario.clone(), seed));
    reports.flat_map(|report| report.violations).collect()
}

#[test]
fn a_target_that_drains_after_a_restoration_gets_no_new_flow() {
    let drain = Action::Drain {
        target: 0,
        serves_for: ms(6_000),
    };
    let scenario = restored().at(18_800, drain);
    assert_eq!(violations(&scenario), []);
}

#[test]
fn the_same_changes_after_an_outage_that_loses_nothing_are_in_force() {
    let scenario = outage().at(14_300, Action::SetStoreMode(StoreMode::Up));
    assert_eq!(violations(&changes(scenario)), []);
}

#[test]
fn a_configuration_that_is_written_after_a_restoration_is_in_force() {
    let scenario = restored().at(18_800, Action::Configure { probe: Some(0) });
    assert_eq!(violations(&scenario), []);
}

/// A store that doesn't tell its era is taken for restored once its newest list is older than what was known.
#[test]
fn a_restoration_that_the_store_does_not_tell_of_is_noticed() {
    let scenario = Scenario {
        store_reports_era: false,
        ..restored()
    };
    assert_eq!(violations(&changes(scenario)), []);
}

#[test]
fn changes_after_a_restoration_need_the_era() {
    let scenario = changes(restored().without(Ablation::IgnoreEras));
    let broken: Vec<Rule> = violations(&scenario)
        .into_iter()
        .map(|violation| violation.rule)
        .collect();
    assert!(broken.contains(&Rule::Drain), "{broken:?}");
    assert!(broken.contains(&Rule::Configuration), "{broken:?}");
}
