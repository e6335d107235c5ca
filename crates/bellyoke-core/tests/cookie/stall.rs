//! A stall is detected whichever thread runs first afterwards.

use crate::support::at;
use bellyoke_core::cookie::stall::{BacklogGuard, StallDetector, TickReport};
use std::time::Duration;

#[test]
fn a_gap_between_ticks_is_a_stall() {
    let mut detector = StallDetector::default();
    assert_eq!(detector.tick(at(0)), None);
    assert_eq!(detector.tick(at(100)), None);
    assert_eq!(detector.tick(at(700)), None, "late, as on a busy machine");
    assert_eq!(detector.tick(at(4_700)), Some(Duration::from_secs(4)));
    assert_eq!(detector.tick(at(4_800)), None);
}

#[test]
fn the_traffic_thread_detects_a_stall_before_the_control_thread_has_run() {
    let mut guard = BacklogGuard::default();
    let ticks = TickReport {
        last: at(1_000),
        stalls: 0,
    };
    assert!(!guard.may_have_waited(at(1_050), ticks));
    assert!(guard.may_have_waited(at(5_000), ticks));
}

#[test]
fn the_traffic_thread_detects_a_stall_after_the_control_thread_has_run() {
    let mut guard = BacklogGuard::default();
    let ticks = TickReport {
        last: at(5_000),
        stalls: 1,
    };
    assert!(guard.may_have_waited(at(5_001), ticks));
}

#[test]
fn packets_belong_to_the_stall_until_the_socket_is_empty() {
    let mut guard = BacklogGuard::default();
    let ticks = TickReport {
        last: at(5_000),
        stalls: 1,
    };
    assert!(guard.may_have_waited(at(5_001), ticks));
    assert!(guard.may_have_waited(at(5_002), ticks));
    guard.emptied();
    assert!(!guard.may_have_waited(at(5_003), ticks));
}
