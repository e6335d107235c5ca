//! Passive health checks from the progress of openings.

use crate::support::at;
use bellyoke_core::cookie::health::{
    HealthChange, HealthSettings, MAXIMUM_PENDING_OPENINGS, OpeningMonitor,
};
use bellyoke_core::cookie::instance::Cookie;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn monitor() -> OpeningMonitor {
    OpeningMonitor::new(HealthSettings::default())
}

fn cookie(bits: u32) -> Cookie {
    Cookie::from_bits(bits).unwrap()
}

/// A monitor that suspects instance 1 until 2,310 ms.
fn monitor_with_suspicion() -> OpeningMonitor {
    let mut monitor = monitor();
    monitor.record_opening(at(0), 11, cookie(1));
    monitor.record_opening(at(160), 12, cookie(1));
    monitor.expire(at(310));
    monitor
}

fn suspected_by_peers(number: u32) -> BTreeSet<Cookie> {
    BTreeSet::from([cookie(number)])
}

#[test]
fn an_instance_is_suspected_after_failed_openings_in_a_row() {
    let mut monitor = monitor_with_suspicion();
    assert!(monitor.is_suspected(at(310), cookie(1)));
    assert!(!monitor.is_suspected(at(310), cookie(2)));
    let suspected = HealthChange::Suspected {
        cookie: cookie(1),
        failures: 2,
    };
    assert_eq!(monitor.take_changes(), [suspected]);
    assert!(!monitor.is_suspected(at(2_310), cookie(1)));
}

#[test]
fn a_single_lost_opening_causes_no_suspicion() {
    let mut monitor = monitor();
    monitor.record_opening(at(0), 11, cookie(1));
    monitor.expire(at(1_000));
    assert!(!monitor.is_suspected(at(1_000), cookie(1)));
}

#[test]
fn a_completed_opening_resets_the_failure_count() {
    let mut monitor = monitor();
    monitor.record_opening(at(0), 11, cookie(1));
    monitor.record_opening(at(160), 12, cookie(1));
    monitor.record_progress(at(190), 12, cookie(1));
    monitor.record_opening(at(200), 13, cookie(1));
    monitor.expire(at(1_000));
    assert!(!monitor.is_suspected(at(1_000), cookie(1)));
}

#[test]
fn packets_of_already_open_flows_do_not_end_a_suspicion() {
    let mut monitor = monitor_with_suspicion();
    monitor.record_progress(at(310), 99, cookie(1));
    assert!(monitor.is_suspected(at(311), cookie(1)));
}

#[test]
fn a_copy_of_an_opening_counts_the_first_one_as_failed() {
    let mut monitor = monitor();
    monitor.record_opening(at(0), 11, cookie(1));
    monitor.record_opening(at(1), 12, cookie(1));
    monitor.record_opening(at(100), 11, cookie(2));
    monitor.record_opening(at(100), 12, cookie(2));
    assert!(monitor.is_suspected(at(100), cookie(1)));
    assert!(!monitor.is_suspected(at(100), cookie(2)));
}

#[test]
fn one_opening_at_a_time_tries_a_suspected_instance_again() {
    let mut monitor = monitor_with_suspicion();
    monitor.record_opening(at(2_310), 21, cookie(1));
    assert!(
        monitor.is_suspected(at(2_311), cookie(1)),
        "only one trial at a time"
    );
    monitor.record_progress(at(2_312), 21, cookie(1));
    assert!(!monitor.is_suspected(at(2_312), cookie(1)));
    let changes = monitor.take_changes();
    assert_eq!(changes[1], HealthChange::Recovered { cookie: cookie(1) });
}

#[test]
fn each_failed_trial_doubles_the_time_to_the_next() {
    let mut monitor = monitor_with_suspicion();
    let mut now = 2_310;
    for (trial, pause) in [4_000, 8_000, 16_000, 16_000, 16_000]
        .into_iter()
        .enumerate()
    {
        monitor.record_opening(at(now), 21 + trial as u64, cookie(1));
        now += 150;
        monitor.expire(at(now));
        assert!(monitor.is_suspected(at(now + pause - 1), cookie(1)));
        assert!(!monitor.is_suspected(at(now + pause), cookie(1)));
        now += pause;
    }
}

#[test]
fn simultaneous_failures_do_not_count_as_failed_trials() {
    let mut monitor = monitor();
    for flow in 0..20 {
        monitor.record_opening(at(0), flow, cookie(1));
    }
    monitor.expire(at(150));
    assert!(!monitor.is_suspected(at(2_150), cookie(1)));
}

#[test]
fn pending_openings_are_discarded_after_a_stall() {
    let mut monitor = monitor();
    monitor.record_opening(at(0), 11, cookie(1));
    monitor.record_opening(at(1), 12, cookie(1));
    monitor.forget_pending();
    monitor.expire(at(5_000));
    assert!(!monitor.is_suspected(at(5_000), cookie(1)));
}

#[test]
fn instances_that_peers_suspect_are_suspected_without_own_failures() {
    let mut monitor = monitor();
    monitor.set_peer_suspicions(&suspected_by_peers(1));
    assert!(monitor.is_suspected(at(100), cookie(1)));
    assert_eq!(
        monitor.failing_instances().count(),
        0,
        "suspicions of peers are not announced again"
    );
    monitor.set_peer_suspicions(&BTreeSet::new());
    assert!(!monitor.is_suspected(at(200), cookie(1)));
}

#[test]
fn an_own_success_overrides_suspicions_of_peers() {
    let mut monitor = monitor();
    monitor.record_opening(at(0), 11, cookie(1));
    monitor.record_progress(at(5), 11, cookie(1));
    monitor.set_peer_suspicions(&suspected_by_peers(1));
    assert!(!monitor.is_suspected(at(2_004), cookie(1)));
    assert!(monitor.is_suspected(at(2_005), cookie(1)));
}

#[test]
fn the_number_of_pending_openings_is_bounded() {
    let mut monitor = monitor();
    let openings = u64::try_from(MAXIMUM_PENDING_OPENINGS).unwrap() * 2;
    for number in 0..openings {
        monitor.record_opening(at(0), number, cookie(1));
    }
    monitor.expire(at(1_000));
    assert!(monitor.is_suspected(at(1_000), cookie(1)));
}

proptest! {
    /// An instance at which every opening succeeds is never suspected, no matter what others do.
    #[test]
    fn no_false_suspicion(outcomes in prop::collection::vec((1..4_u32, 0..400_u64), 1..200)) {
        let mut monitor = monitor();
        let mut now = 0;
        for (flow, (bits, pause)) in outcomes.into_iter().enumerate() {
            now += pause;
            monitor.record_opening(at(now), flow as u64, cookie(bits));
            if bits == 1 {
                monitor.record_progress(at(now), flow as u64, cookie(1));
            }
            prop_assert!(!monitor.is_suspected(at(now), cookie(1)));
        }
    }
}
