//! Walks the flow table a few slots at a time.

use crate::flow::tick::Tick;

/// What one step of the sweep did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SweepReport {
    /// Slots looked at. A table has three for two flows of its capacity.
    pub visited: u32,
    /// Flows forgotten because they had timed out.
    pub expired: u32,
    /// Whether the step ended a round through the whole table.
    pub pass_complete: bool,
}

/// Where the sweep stands.
#[derive(Debug, Default)]
pub(super) struct SweepCursor {
    next: usize,
    pass_start: Tick,
    /// Whether a record was moved from ahead of the sweep to behind it in this round.
    skipped_record: bool,
    last_complete_pass_start: Option<Tick>,
}

impl SweepCursor {
    /// The next slot to look at among `slots`; none at the end of a round.
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

    /// Looks at `slot`, the last one, again.
    pub(super) fn step_back(&mut self, slot: usize) {
        self.next = slot;
    }

    /// Takes note that a record was moved.
    pub(super) fn record_move(&mut self, from: usize, to: usize) {
        if to < self.next && self.next <= from {
            self.skipped_record = true;
        }
    }

    /// When the newest round began that is over and met every record.
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
