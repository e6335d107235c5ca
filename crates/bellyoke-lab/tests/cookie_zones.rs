//! Zone drains in the simulation.
//!
//! No new flow may go to a drained zone, also while nodes, watchers and the store fail. The rule is violated as soon
//! as nodes ignore zone drains.

use bellyoke_lab::cookie::rules::Rule;
use bellyoke_lab::cookie::scenario::{Ablation, Action, Scenario};
use bellyoke_lab::cookie::seeds::{assert_each, seeds};
use bellyoke_lab::cookie::simulation::simulate;
use bellyoke_lab::cookie::store::StoreMode;
use std::time::Duration;

/// The seeds that every test plays unless the environment sets others.
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..5;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Drains one zone from 6 s to 15 s and another one from 8 s to 13 s.
fn two_drains() -> Scenario {
    Scenario::default()
        .at(6_000, Action::DrainZone(0))
        .at(8_000, Action::DrainZone(1))
        .at(13_000, Action::UndrainZone(1))
        .at(15_000, Action::UndrainZone(0))
}

/// Asserts that no rule is violated and that at least `minimum_served_share` of the requests are served.
fn assert_no_violations(scenario: &Scenario, minimum_served_share: f64) {
    assert_each(seeds(DEFAULT_SEEDS), |seed| {
        let report = simulate(scenario.clone(), seed);
        let served_share = report.served as f64 / (report.served + report.failed) as f64;
        report.check_rules()?;
        if served_share < minimum_served_share {
            return Err(format!("served share is {served_share}"));
        }
        Ok(())
    });
}

/// Asserts that the zone drain rule is violated with every seed when nodes ignore zone drains.
fn assert_violated_without_zone_drains(scenario: &Scenario) {
    let without_drains = scenario.clone().without(Ablation::IgnoreDrainedZones);
    assert_each(seeds(DEFAULT_SEEDS), |seed| {
        let violations = simulate(without_drains.clone(), seed).violations;
        let mut rules = violations.iter().map(|violation| violation.rule);
        let is_violated = rules.any(|rule| rule == Rule::ZoneDrain);
        is_violated
            .then_some(())
            .ok_or_else(|| "the rule holds".to_owned())
    });
}

#[test]
fn drained_zones_get_no_new_flows_and_all_requests_are_served() {
    assert_no_violations(&two_drains(), 1.0);
    assert_violated_without_zone_drains(&two_drains());
}

/// Nodes that start while the store is unreachable have to learn the drained zones from their peers.
#[test]
fn nodes_that_start_in_an_outage_apply_zone_drains() {
    let mut scenario = two_drains()
        .at(7_000, Action::SetStoreMode(StoreMode::Silent))
        .at(11_500, Action::SetStoreMode(StoreMode::Up));
    for node in 0..3 {
        let at = 7_500 + node as u64 * 300;
        let down = ms(200);
        scenario = scenario.at(at, Action::Kill { node, down });
    }
    assert_no_violations(&scenario, 0.97);
}

/// The nodes that watch the store fail just before the first drain is written, so other nodes have to take over.
#[test]
fn zone_drains_are_applied_when_the_watchers_die_or_lose_the_store() {
    let down = ms(1_000);
    assert_no_violations(&two_drains().at(5_990, Action::KillWatchers { down }), 0.97);
    assert_no_violations(&two_drains().at(5_990, Action::CutWatchers), 0.99);
    assert_violated_without_zone_drains(&two_drains().at(5_990, Action::CutWatchers));
}

/// The store compacts its history just before a drain and just before its end, so watches can't resume.
#[test]
fn zone_drains_are_applied_after_the_store_compacts_its_history() {
    let scenario = two_drains()
        .at(7_990, Action::Compact)
        .at(14_990, Action::Compact);
    assert_no_violations(&scenario, 1.0);
}

/// Clients of a route without an undrained zone must get a refusal instead of waiting for a timeout.
#[test]
fn requests_are_refused_at_once_when_all_zones_are_drained() {
    let mut scenario = Scenario::default();
    for zone in 0..3 {
        scenario = scenario.at(8_000, Action::DrainZone(zone));
        scenario = scenario.at(12_000, Action::UndrainZone(zone));
    }
    // Clients of the probe route can't distinguish this refusal from that of a missing route.
    scenario.probe_clients = 0;
    assert_each(seeds(DEFAULT_SEEDS), |seed| {
        let report = simulate(scenario.clone(), seed);
        report.check_rules()?;
        if report.failed == 0 {
            return Err("no request was refused".to_owned());
        }
        let highest_latency = report.latencies.last().unwrap();
        if *highest_latency >= ms(1_400) {
            return Err(format!("a request took {highest_latency:?}"));
        }
        Ok(())
    });
}
