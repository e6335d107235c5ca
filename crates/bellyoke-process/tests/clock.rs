//! The process's clock.

use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use std::time::Duration;

#[test]
fn a_clock_that_starts_late_tells_times_before_its_start() {
    let origin = Timestamp::from_micros(60_000_000);
    let now = MonotonicClock::start_at(origin).now();
    let age = Duration::from_secs(50);
    assert_eq!(now.since(now.before(age)), age);
}

#[test]
fn an_instant_and_its_timestamp_are_as_far_from_now() {
    let clock = MonotonicClock::start_at(Timestamp::from_micros(60_000_000));
    let now = clock.now();
    let ahead = Duration::from_secs(7);
    let instants = clock.instant(now.after(ahead)) - clock.instant(now);
    assert_eq!(instants, ahead);
}
