//! Tests of the monotonic clock.

use bellyoke_core::time::Timestamp;
use bellyoke_process::clock::MonotonicClock;
use std::time::Duration;

#[test]
fn times_before_the_start_are_representable_with_a_non_zero_origin() {
    let origin = Timestamp::from_micros(60_000_000);
    let now = MonotonicClock::start_at(origin).now();
    let age = Duration::from_secs(50);
    assert_eq!(now.since(now.before(age)), age);
}

#[test]
fn instants_are_as_far_apart_as_their_timestamps() {
    let clock = MonotonicClock::start_at(Timestamp::from_micros(60_000_000));
    let now = clock.now();
    let ahead = Duration::from_secs(7);
    let instants = clock.instant(now.after(ahead)) - clock.instant(now);
    assert_eq!(instants, ahead);
}
