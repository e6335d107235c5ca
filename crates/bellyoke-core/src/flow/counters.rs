//! Counters of a traffic thread, for metrics.

use crate::flow::{Decision, DropReason};

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounters {
    /// Packets forwarded to a backend.
    pub forwarded: u64,
    /// Packets passed to the control thread.
    pub escalated: u64,
    /// Packets answered with a reset.
    pub reset: u64,
    /// Packets dropped because no service has their destination address, port and protocol.
    pub dropped_unknown_service: u64,
    /// Packets of unknown flows dropped because the node had no valid lease.
    pub dropped_fenced: u64,
    /// UDP packets dropped because their flow could not be recorded.
    pub dropped_table_full: u64,
    /// Flows opened by lookup table.
    pub opened: u64,
    /// Flows taken over by lookup table on a packet that does not open a flow.
    pub taken_over: u64,
    /// Flows reported by the owner of their bucket.
    pub learned: u64,
    /// Flows reported by the owner of their bucket before the generation that adds their
    /// backend was applied.
    pub learned_early: u64,
    /// Flows that timed out.
    pub expired: u64,
    /// Flows evicted from a full table. Their buckets are clean, so the lookup table still
    /// gives their backends.
    pub evicted: u64,
    /// Flows that could not be recorded in the full table, whether or not their packet was
    /// forwarded.
    pub table_full: u64,
    /// Packets answered with a reset because their backend serves another service than that of
    /// their flow.
    pub service_mismatch: u64,
}

impl FlowCounters {
    pub(super) fn count(&mut self, decision: Decision) {
        match decision {
            Decision::Forward(_) => self.forwarded += 1,
            Decision::Escalate(_) => self.escalated += 1,
            Decision::Reset => self.reset += 1,
            Decision::Drop(DropReason::Fenced) => self.dropped_fenced += 1,
            Decision::Drop(DropReason::TableFull) => self.dropped_table_full += 1,
            Decision::Drop(_) => self.dropped_unknown_service += 1,
        }
    }
}
