//! Pacing of forwarding table builds.
//!
//! A table is built from all instances, so its cost grows with their number, and a rolling
//! replacement of a service causes about 20 changes per second. Builds are therefore spaced in
//! proportion to their cost, and changes in between are included in the next table. With few
//! instances a build takes less than 0.1 ms, and each change is published at once.

use crate::cookie::replica::StateChange;
use crate::time::Timestamp;
use std::time::Duration;

/// Minimum interval between two tables.
const MINIMUM_TABLE_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum interval between two tables. It is 1/15 of the shortest time within which a change of
/// instances must take effect.
const MAXIMUM_TABLE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two tables as a multiple of the wall-clock time of the last build. It limits
/// builds to 1/20 of the thread's share of its processor, and to 1/10 if a build takes 20 ms
/// (10,000 instances on 1/8 of a core).
const BUILD_TIME_MULTIPLE: u32 = 20;

/// Decides when a node builds its next forwarding table.
///
/// ```
/// use bellyoke_core::cookie::publication::TablePacer;
/// use bellyoke_core::cookie::replica::StateChange;
/// use bellyoke_core::time::Timestamp;
/// use std::time::Duration;
///
/// let at = |milliseconds: u64| Timestamp::from_micros(milliseconds * 1_000);
/// let instances = StateChange { directory: true, ..StateChange::default() };
/// let mut pacer = TablePacer::default();
/// pacer.record_change(at(0), instances);
/// assert!(pacer.is_due(at(0)));
/// pacer.record_publication(at(0), Duration::from_millis(2));
/// pacer.record_change(at(10), instances);
/// assert!(!pacer.is_due(at(39)));
/// assert!(pacer.is_due(at(40)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TablePacer {
    /// Whether the state has changed since the last table.
    has_unpublished_changes: bool,
    /// Earliest time of the next table.
    next_at: Timestamp,
}

impl TablePacer {
    /// Records a change of state. Changes by operators are rare and are published without delay.
    pub fn record_change(&mut self, now: Timestamp, change: StateChange) {
        self.has_unpublished_changes |= change.any();
        if change.configuration || change.zones {
            self.next_at = now;
        }
    }

    /// Returns whether a table must be built now.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.has_unpublished_changes && now >= self.next_at
    }

    /// Returns whether the last table lacks a change.
    #[must_use]
    pub const fn has_unpublished_changes(&self) -> bool {
        self.has_unpublished_changes
    }

    /// Records the publication of a table whose build started at `now` and took `build_time`.
    pub fn record_publication(&mut self, now: Timestamp, build_time: Duration) {
        self.has_unpublished_changes = false;
        let interval = build_time.saturating_mul(BUILD_TIME_MULTIPLE);
        self.next_at = now.after(interval.clamp(MINIMUM_TABLE_INTERVAL, MAXIMUM_TABLE_INTERVAL));
    }
}
