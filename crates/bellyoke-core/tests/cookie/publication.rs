//! Pacing of forwarding table builds.

use crate::support::at;
use bellyoke_core::cookie::publication::TablePacer;
use bellyoke_core::cookie::replica::StateChange;
use std::time::Duration;

const INSTANCES: StateChange = StateChange {
    configuration: false,
    directory: true,
    zones: false,
};

/// Returns the number of tables built in 10 s if a build takes `build_time`, instances change every
/// 20 ms and the control thread checks for changes every 20 ms.
fn tables_built(build_time: Duration) -> u32 {
    let mut pacer = TablePacer::default();
    let mut built = 0;
    for now in (0..10_000).step_by(20) {
        pacer.record_change(at(now), INSTANCES);
        if pacer.is_due(at(now)) {
            pacer.record_publication(at(now), build_time);
            built += 1;
        }
    }
    built
}

/// Builds must take at most 1/10 of the thread's time, also if one takes as long as with 10,000
/// instances on 1/8 of a core.
#[test]
fn builds_take_a_bounded_share_of_the_thread() {
    let quick = Duration::from_micros(100);
    assert_eq!(tables_built(quick), 500, "one table for each change");
    for milliseconds in [1, 5, 16, 20] {
        let build_time = Duration::from_millis(milliseconds);
        let share = build_time.as_secs_f64() * f64::from(tables_built(build_time)) / 10.0;
        assert!(share <= 0.1, "{milliseconds} ms per table: {share}");
    }
    assert_eq!(
        tables_built(Duration::from_secs(1)),
        50,
        "the interval is at most 200 ms"
    );
}

#[test]
fn changes_by_operators_are_published_at_once() {
    let mut pacer = TablePacer::default();
    pacer.record_change(at(0), INSTANCES);
    pacer.record_publication(at(0), Duration::from_millis(50));
    assert!(!pacer.has_unpublished_changes());
    pacer.record_change(at(10), INSTANCES);
    assert!(pacer.has_unpublished_changes() && !pacer.is_due(at(10)));
    for change in [(true, false), (false, true)] {
        let mut pacer = pacer;
        let (configuration, zones) = change;
        let change = StateChange {
            configuration,
            directory: false,
            zones,
        };
        pacer.record_change(at(20), change);
        assert!(pacer.is_due(at(20)));
    }
}
