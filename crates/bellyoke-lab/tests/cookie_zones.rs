//! Zones that operators drain, in the model: the rule holds while nodes, watchers and the store fail, and
//! is broken once nodes know nothing of drained zones.

use bellyoke_lab::cookie::rules::Rule;
use bellyoke_lab::cookie::scenario::{Ablation, Action, Scenario};
use bellyoke_lab::cookie::simulation::simulate;
use bellyoke_lab::cookie::store::StoreMode;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..5;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// One zone is drained at 6 s and taken back at 15 s; another overlaps it.
fn two_drains() -> Scenario {
    Scenario::default()
        .at(6_000, Action::DrainZone(0))
        .at(8_000, Action::DrainZone(1))
        .at(13_000, Action::UndrainZone(1))
        .at(15_000, Action::UndrainZone(0))
}

fn holds(scenario: &Scenario, least: f64) {
    for seed in SEEDS {
        let report = simulate(scenario.clone(), seed);
        let share = report.served as f64 / (report.served + report.failed) as f64;
        assert_eq!(report.violations, [], "seed {seed}");
        assert!(share >= least, "seed {seed}: {share} served");
    }
}

fn breaks(scenario: &Scenario) {
    let blind = scenario.clone().without(Ablation::IgnoreDrainedZones);
    for seed in SEEDS {
        let violations = simulate(blind.clone(), seed).violations;
        let mut rules = violations.iter().map(|violation| violation.rule);
        assert!(rules.any(|rule| rule == Rule::ZoneDrain), "seed {seed}");
    }
}

#[test]
fn drained_zones_get_no_new_flow_and_all_is_served() {
    holds(&two_drains(), 1.0);
    breaks(&two_drains());
}

#[test]
fn drained_zones_stay_so_for_nodes_that_start_in_an_outage() {
    let mut scenario = two_drains()
        .at(7_000, Action::SetStoreMode(StoreMode::Silent))
        .at(11_500, Action::SetStoreMode(StoreMode::Up));
    for node in 0..3 {
        let at = 7_500 + node as u64 * 300;
        let down = ms(200);
        scenario = scenario.at(at, Action::Kill { node, down });
    }
    holds(&scenario, 0.97);
}

#[test]
fn drained_zones_are_known_though_the_watchers_die_or_lose_the_store() {
    let down = ms(1_000);
    holds(&two_drains().at(5_990, Action::KillWatchers { down }), 0.97);
    holds(&two_drains().at(5_990, Action::CutWatchers), 0.99);
    breaks(&two_drains().at(5_990, Action::CutWatchers));
}

#[test]
fn drained_zones_are_known_after_history_was_forgotten() {
    let scenario = two_drains()
        .at(7_990, Action::Compact)
        .at(14_990, Action::Compact);
    holds(&scenario, 1.0);
}

#[test]
fn a_route_whose_zones_are_all_drained_is_refused_at_once() {
    let mut scenario = Scenario::default();
    for zone in 0..3 {
        scenario = scenario.at(8_000, Action::DrainZone(zone));
        scenario = scenario.at(12_000, Action::UndrainZone(zone));
    }
    // The probe route can't tell such a refusal from one for want of a route.
    scenario.probe_clients = 0;
    for seed in SEEDS {
        let report = simulate(scenario.clone(), seed);
        assert_eq!(report.violations, [], "seed {seed}");
        assert!(report.failed > 0, "seed {seed}: nothing was refused");
        let slowest = report.latencies.last().unwrap();
        assert!(*slowest < ms(1_400), "seed {seed}: one waited {slowest:?}");
    }
}
