//! Incremental sweep over the flow table.

use crate::flow::tick::Tick;

/// Result of one step of the sweep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SweepReport {
    /// Number of slots visited. A table has three slots for every two flows of its capacity.
    pub visited: u32,
    /// Number of expired flows that were removed.
    pub expired: u32,
    /// Whether the step completed a pass over the whole table.
    pub pass_complete: bool,
}

/// Position of the sweep.
#[derive(Debug, Default)]
pub(super) struct SweepCursor {
    next: usize,
    pass_start: Tick,
    /// Whether a record was moved from ahead of the sweep to behind it in this pass.
    skipped_record: bool,
    last_complete_pass_start: Option<Tick>,
}

impl SweepCursor {
    /// Returns the next of `slots` slots to visit, or `None` at the end of a pass.
    pub(super) fn advance(&mut self, now: Tick, slots: usize) -> Option<usize> {
        if self.next == 0 {
            self.pass_start = now;
            self.skipped_record = false;
        }
        if self.next >= slots {
            self.end_pass();
            return None;
        }
        let slot = self.next;
        self.next += 1;
        Some(slot)
    }

    /// Visits `slot`, the most recently visited one, again.
    pub(super) fn step_back(&mut self, slot: usize) {
        self.next = slot;
    }

    /// Records that a record was moved between slots.
    pub(super) fn record_move(&mut self, from: usize, to: usize) {
        if to < self.next && self.next <= from {
            self.skipped_record = true;
        }
    }

    /// Returns the start of the latest completed pass that visited every record.
    pub(super) fn last_complete_pass_start(&self) -> Option<Tick> {
        self.last_complete_pass_start
    }

    fn end_pass(&mut self) {
        self.next = 0;
        if !self.skipped_record {
            self.last_complete_pass_start = Some(self.pass_start);
        }
    }
}
