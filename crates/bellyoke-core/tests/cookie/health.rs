//! Passive health from the progress of openings.

use crate::support::at;
use bellyoke_core::cookie::health::{
    HealthChange, HealthSettings, MAXIMUM_PENDING_OPENINGS, OpeningMonitor,
};
use bellyoke_core::cookie::instance::Cookie;
use proptest::prelude::*;

fn monitor() -> OpeningMonitor {
    OpeningMonitor::new(HealthSettings::default())
}

fn cookie(bits: u32) -> Cookie {
    Cookie::from_bits(bits).unwrap()
}

/// A monitor that suspects instance 1 until 2,310 ms.
fn suspecting() -> OpeningMonitor {
    let mut monitor = monitor();
    monitor.opening(at(0), 11, cookie(1));
    monitor.opening(at(160), 12, cookie(1));
    monitor.expire(at(310));
    monitor
}

#[test]
fn openings_in_a_row_that_come_to_nothing_make_an_instance_suspected() {
    let mut monitor = suspecting();
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
fn one_lost_opening_means_nothing() {
    let mut monitor = monitor();
    monitor.opening(at(0), 11, cookie(1));
    monitor.expire(at(1_000));
    assert!(!monitor.is_suspected(at(1_000), cookie(1)));
}

#[test]
fn a_flow_that_opens_clears_the_count() {
    let mut monitor = monitor();
    monitor.opening(at(0), 11, cookie(1));
    monitor.opening(at(160), 12, cookie(1));
    monitor.progress(12, cookie(1));
    monitor.opening(at(200), 13, cookie(1));
    monitor.expire(at(1_000));
    assert!(!monitor.is_suspected(at(1_000), cookie(1)));
}

#[test]
fn packets_of_flows_that_were_open_before_prove_nothing() {
    let mut monitor = suspecting();
    monitor.progress(99, cookie(1));
    assert!(monitor.is_suspected(at(311), cookie(1)));
}

#[test]
fn a_copy_tells_that_the_first_opening_failed() {
    let mut monitor = monitor();
    monitor.opening(at(0), 11, cookie(1));
    monitor.opening(at(1), 12, cookie(1));
    monitor.opening(at(100), 11, cookie(2));
    monitor.opening(at(100), 12, cookie(2));
    assert!(monitor.is_suspected(at(100), cookie(1)));
    assert!(!monitor.is_suspected(at(100), cookie(2)));
}

#[test]
fn one_opening_at_a_time_tries_a_suspected_instance_again() {
    let mut monitor = suspecting();
    monitor.opening(at(2_310), 21, cookie(1));
    assert!(
        monitor.is_suspected(at(2_311), cookie(1)),
        "others wait for its outcome"
    );
    monitor.progress(21, cookie(1));
    assert!(!monitor.is_suspected(at(2_312), cookie(1)));
    let changes = monitor.take_changes();
    assert_eq!(changes[1], HealthChange::Recovered { cookie: cookie(1) });
}

#[test]
fn a_failed_trial_prolongs_the_suspicion() {
    let mut monitor = suspecting();
    monitor.opening(at(2_310), 21, cookie(1));
    monitor.expire(at(2_460));
    assert!(monitor.is_suspected(at(4_459), cookie(1)));
    assert!(!monitor.is_suspected(at(4_460), cookie(1)));
}

#[test]
fn openings_under_way_in_a_stall_are_not_judged() {
    let mut monitor = monitor();
    monitor.opening(at(0), 11, cookie(1));
    monitor.opening(at(1), 12, cookie(1));
    monitor.forget_pending();
    monitor.expire(at(5_000));
    assert!(!monitor.is_suspected(at(5_000), cookie(1)));
}

#[test]
fn what_is_held_is_bounded() {
    let mut monitor = monitor();
    let openings = u64::try_from(MAXIMUM_PENDING_OPENINGS).unwrap() * 2;
    for number in 0..openings {
        monitor.opening(at(0), number, cookie(1));
    }
    monitor.expire(at(1_000));
    assert!(monitor.is_suspected(at(1_000), cookie(1)));
}

proptest! {
    /// An instance of which every opening succeeds is never suspected, whatever others do.
    #[test]
    fn no_false_suspicion(outcomes in prop::collection::vec((1..4_u32, 0..400_u64), 1..200)) {
        let mut monitor = monitor();
        let mut now = 0;
        for (flow, (bits, pause)) in outcomes.into_iter().enumerate() {
            now += pause;
            monitor.opening(at(now), flow as u64, cookie(bits));
            if bits == 1 {
                monitor.progress(flow as u64, cookie(1));
            }
            prop_assert!(!monitor.is_suspected(at(now), cookie(1)));
        }
    }
}
