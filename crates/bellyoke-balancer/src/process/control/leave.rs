//! How a node leaves: it announces it, goes on forwarding for the grace time, and stops when
//! everything is handed over.

use bellyoke_core::time::Timestamp;
use std::time::Duration;

/// How much longer than the grace time a node waits for its handover.
const LONGEST_HANDOVER: Duration = Duration::from_secs(15);

/// A leave that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Leave {
    grace_ends: Timestamp,
    gives_up: Timestamp,
    withdrawal_began: Option<Timestamp>,
}

/// How far a leave is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveState {
    /// The fabric may still send packets, or others still need the node.
    Forwarding,
    /// The process may stop.
    Done,
}

impl Leave {
    /// A leave that begins now.
    #[must_use]
    pub fn begin(now: Timestamp, grace: Duration) -> Self {
        let grace_ends = now.after(grace);
        Self {
            grace_ends,
            gives_up: grace_ends.after(LONGEST_HANDOVER),
            withdrawal_began: None,
        }
    }

    /// How far the leave is, given whether everything is handed over and whether anyone is
    /// there to take it.
    #[must_use]
    pub fn state(&self, now: Timestamp, handed_over: bool, has_peers: bool) -> LeaveState {
        let released = handed_over || !has_peers || now >= self.gives_up;
        if now >= self.grace_ends && released {
            LeaveState::Done
        } else {
            LeaveState::Forwarding
        }
    }

    /// Notes that the deletion of the node's entry begins; true for the first call.
    pub const fn begin_withdrawal(&mut self, now: Timestamp) -> bool {
        let first = self.withdrawal_began.is_none();
        if first {
            self.withdrawal_began = Some(now);
        }
        first
    }

    /// Whether the deletion has taken longer than `longest`.
    #[must_use]
    pub fn withdrawal_overdue(&self, now: Timestamp, longest: Duration) -> bool {
        self.withdrawal_began
            .is_some_and(|began| now.since(began) > longest)
    }
}
