//! When a node builds its next forwarding table.
//!
//! A table is built from all instances, so that its cost grows with them, and while a service is replaced changes come
//! twenty times a second. So tables wait for each other, the longer the dearer they are; what changes meanwhile is in
//! the next one. A node of few instances builds one in less than a tenth of a millisecond, and publishes each change at
//! once.

use crate::cookie::replica::StateChange;
use crate::time::Timestamp;
use std::time::Duration;

/// Least time between two tables.
const MINIMUM_TABLE_INTERVAL: Duration = Duration::from_millis(5);

/// Most time between two tables: a fifteenth of the shortest time within which a change of instances must be in force.
const MAXIMUM_TABLE_INTERVAL: Duration = Duration::from_millis(200);

/// So much longer than the building of a table took, by the clock, another one has to wait: building them takes a
/// twentieth of what the thread gets of its processor, and a tenth where one takes 20 ms (10,000 instances on an eighth of
/// a core).
const BUILD_TIME_MULTIPLE: u32 = 20;

/// Paces the tables of one node.
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
    next_at: Timestamp,
}

impl TablePacer {
    /// The state has changed. What operators have changed doesn't wait: that is rare.
    pub fn record_change(&mut self, now: Timestamp, change: StateChange) {
        self.has_unpublished_changes |= change.any();
        if change.configuration || change.zones {
            self.next_at = now;
        }
    }

    /// Whether a table is to be built now.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.has_unpublished_changes && now >= self.next_at
    }

    /// Whether the last table lacks something.
    #[must_use]
    pub const fn has_unpublished_changes(&self) -> bool {
        self.has_unpublished_changes
    }

    /// A table was published whose building began at `now` and took so long.
    pub fn record_publication(&mut self, now: Timestamp, took: Duration) {
        self.has_unpublished_changes = false;
        let interval = took.saturating_mul(BUILD_TIME_MULTIPLE);
        self.next_at = now.after(interval.clamp(MINIMUM_TABLE_INTERVAL, MAXIMUM_TABLE_INTERVAL));
    }
}
