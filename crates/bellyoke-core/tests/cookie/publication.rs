//! When forwarding tables are built.

use crate::support::at;
use bellyoke_core::cookie::publication::TablePacer;
use bellyoke_core::cookie::replica::StateChange;
use std::time::Duration;

const INSTANCES: StateChange = StateChange {
    configuration: false,
    directory: true,
    zones: false,
};

/// Tables built in ten seconds in which instances change every 20 ms and the control thread looks each 20 ms, if one
/// takes so long.
fn built(took: Duration) -> u32 {
    let mut pacer = TablePacer::default();
    let mut built = 0;
    for now in (0..10_000).step_by(20) {
        pacer.record_change(at(now), INSTANCES);
        if pacer.is_due(at(now)) {
            pacer.record_publication(at(now), took);
            built += 1;
        }
    }
    built
}

/// A tenth of the thread's time at most, where a table takes as long as one of 10,000 instances on an eighth of a core.
#[test]
fn tables_take_a_bounded_part_of_the_thread() {
    let quick = Duration::from_micros(100);
    assert_eq!(built(quick), 500, "each change");
    for milliseconds in [1, 5, 16, 20] {
        let took = Duration::from_millis(milliseconds);
        let share = took.as_secs_f64() * f64::from(built(took)) / 10.0;
        assert!(share <= 0.1, "{milliseconds} ms a table: {share}");
    }
    assert_eq!(
        built(Duration::from_secs(1)),
        50,
        "none waits longer than 200 ms"
    );
}

#[test]
fn what_operators_change_is_published_at_once() {
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
